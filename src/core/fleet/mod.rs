//! The VMs of the fleet, as each of them sees it by gossip, and where callers may connect.
//!
//! Each VM tells a few others, chosen at random, what it knows of all; a VM whose own count has
//! not risen for [`ALIVE_SPAN`] is taken as gone. A message is bounded, so the bytes of a VM do not
//! grow with the fleet (docs/PLATFORM.md).

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::RngExt;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::names::Domain;
use crate::names::Vm;

/// A VM that was not heard of for this long is taken as gone.
pub const ALIVE_SPAN: Millis = Millis(1500);
/// The interval between two messages of a VM.
pub const BEAT_SPAN: Millis = Millis(300);
/// The VMs that each message goes to.
const FANOUT: usize = 3;
/// The messages after which one goes to a contact too, so that parts of the fleet find together.
const CONTACT_BEATS: u64 = 8;
/// The most VMs that one message speaks of, besides its sender.
const RUMOURS: usize = 16;
/// The most addresses that a caller is told.
const ADDRESSES: usize = 64;
/// How long a VM that is gone is remembered, so that stale rumours do not bring it back.
const FORGET_SPAN: Millis = Millis::seconds(20);

/// What a VM says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub vm: Vm,
    /// Its failure domain.
    pub domain: Domain,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where other VMs connect.
    pub peer: SocketAddr,
    /// When it started.
    pub boot: u64,
    /// A count that rises with each message.
    pub beat: u64,
    /// Whether it serves callers.
    pub ready: bool,
    /// The version of the configuration in force.
    pub version: u64,
    /// Up to which offset it knows the endpoints.
    pub known: u64,
    /// Whether the store answers it.
    pub linked: bool,
}

/// A message between two VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: Member,
    /// Others, some of them drawn at random.
    pub others: Vec<Member>,
}

#[derive(Clone, Debug)]
struct Seen {
    member: Member,
    at: Millis,
}

/// The fleet as one VM sees it.
#[derive(Clone, Debug)]
pub struct Fleet {
    me: Member,
    others: BTreeMap<Vm, Seen>,
    contacts: Vec<SocketAddr>,
    rng: ChaCha8Rng,
}

impl Fleet {
    /// Starts with nothing known but addresses at which others may be found.
    pub fn new(me: Member, contacts: Vec<SocketAddr>, rng: ChaCha8Rng) -> Self {
        Self {
            me,
            others: BTreeMap::new(),
            contacts,
            rng,
        }
    }

    /// Returns what this VM says of itself, to be kept up to date by its owner.
    pub fn me(&mut self) -> &mut Member {
        &mut self.me
    }

    /// Adds an address at which a VM may be found.
    pub fn add_contact(&mut self, addr: SocketAddr) {
        if addr != self.me.peer && !self.contacts.contains(&addr) {
            self.contacts.push(addr);
        }
    }

    /// Returns the next message and the addresses that it goes to.
    pub fn beat(&mut self, now: Millis) -> (Message, Vec<SocketAddr>) {
        self.me.beat += 1;
        self.others
            .retain(|_, seen| now.since(seen.at) < FORGET_SPAN);
        let mut to: Vec<SocketAddr> = self
            .alive(now)
            .map(|member| member.peer)
            .sample(&mut self.rng.clone(), FANOUT);
        let alone = to.len() < FANOUT;
        let due = self.me.beat.is_multiple_of(CONTACT_BEATS);
        if (alone || due) && !self.contacts.is_empty() {
            let one = self.rng.random_range(0..self.contacts.len());
            to.push(self.contacts[one]);
        }
        to.sort_unstable();
        to.dedup();
        to.retain(|addr| *addr != self.me.peer);
        let others = self
            .others
            .values()
            .filter(|seen| now.since(seen.at) < ALIVE_SPAN)
            .map(|seen| seen.member.clone())
            .sample(&mut self.rng, RUMOURS);
        let message = Message {
            from: self.me.clone(),
            others,
        };
        (message, to)
    }

    /// Takes a message in.
    pub fn receive(&mut self, now: Millis, message: Message) {
        self.hear(now, message.from);
        for member in message.others {
            self.hear(now, member);
        }
    }

    fn hear(&mut self, now: Millis, member: Member) {
        if member.vm == self.me.vm {
            return;
        }
        if let Some(seen) = self.others.get(&member.vm) {
            let old = (seen.member.boot, seen.member.beat);
            if (member.boot, member.beat) <= old {
                return;
            }
        }
        let seen = Seen { member, at: now };
        self.others.insert(seen.member.vm.clone(), seen);
    }

    /// Returns the other VMs that were heard of lately.
    pub fn alive(&self, now: Millis) -> impl Iterator<Item = &Member> {
        let fresh = self
            .others
            .values()
            .filter(move |seen| now.since(seen.at) < ALIVE_SPAN);
        fresh.map(|seen| &seen.member)
    }

    /// Returns the number of VMs that serve callers, this one counted in any case.
    pub fn serving(&self, now: Millis) -> usize {
        1 + self.alive(now).filter(|member| member.ready).count()
    }

    /// Returns the addresses that a caller may connect to.
    pub fn addresses(&mut self, now: Millis) -> Vec<SocketAddr> {
        let mut rng = self.rng.clone();
        let mut list: Vec<SocketAddr> = self
            .alive(now)
            .filter(|member| member.ready)
            .map(|member| member.front)
            .sample(&mut rng, ADDRESSES - 1);
        self.rng = rng;
        if self.me.ready {
            list.push(self.me.front);
        }
        list
    }

    /// Says whether this VM is the one that should give orders: the first by name of those that
    /// are ready and whose store answers.
    pub fn leads(&self, now: Millis) -> bool {
        let able = |member: &Member| member.ready && member.linked;
        let before = |member: &Member| able(member) && member.vm < self.me.vm;
        able(&self.me) && !self.alive(now).any(before)
    }

    /// Returns the VM that knows most, if it knows more than this one.
    pub fn ahead(&self, now: Millis) -> Option<&Member> {
        let more =
            |member: &&Member| member.version > self.me.version || member.known > self.me.known;
        self.alive(now)
            .filter(more)
            .max_by_key(|member| (member.version, member.known))
    }
}
