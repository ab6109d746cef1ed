//! The VMs of the fleet, as each of them sees it by gossip, and where callers may connect.
//!
//! Each VM tells a few others, chosen at random, what it knows of all; a VM whose own count has
//! not risen for [`ALIVE_SPAN`] is taken as gone. A message is bounded, so the bytes of a VM do not
//! grow with the fleet (docs/PLATFORM.md).

use std::collections::BTreeMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;

use rand::RngExt;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::core::roster::Mark;
use crate::names::Domain;
use crate::names::Vm;

/// A VM that was not heard of for this long is taken as gone, in a fleet of a few VMs.
pub const ALIVE_TIMEOUT: Millis = Millis(1500);
/// What each known VM adds to that span: messages are bounded, so news of one VM comes the more
/// seldom the more there are.
const ALIVE_EACH: Millis = Millis(20);
/// The interval between two messages of a VM.
pub const HEARTBEAT_INTERVAL: Millis = Millis(300);
/// The VMs that each message goes to.
const FANOUT: usize = 3;
/// The messages after which one goes to a contact too, so that parts of the fleet find together.
const CONTACT_BEATS: u64 = 8;
/// The most VMs that one message describes, besides its sender.
const RUMOURS: usize = 6;
/// The most VMs of which one message says only that they are alive.
const DIGESTS: usize = 48;
/// The most addresses that a caller is told.
const ADDRESSES: usize = 64;
/// The number of VMs in a domain for which one more reads the store beside the first: the news must
/// reach all of them well within the bound on changes. If all readers are lost at once, the others
/// notice by the age of the newest answer that they know of.
const READ_FOR: usize = 72;
/// How long after its start a VM goes on to read the store: by then it has heard whether others read.
const SETTLE_SPAN: Millis = Millis(1200);
/// How long a VM that reads for others waits before a call that failed is made again.
const RETRY_SPAN: Millis = Millis(300);
/// The longest that any other VM waits: all of them together would load a store that is away.
const RETRY_MOST: Millis = Millis(2400);
/// The VMs that are assumed to share something before the store's list of them was read.
const SHARERS: usize = 50;
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
    pub roster_end: u64,
    /// Whether the store answers it.
    pub has_store: bool,
    /// The tokens of the streams that it has in progress.
    pub load: u32,
}

impl Member {
    /// Says whether the VM could give orders: it serves, and the store answers it.
    fn may_lead(&self) -> bool {
        self.ready && self.has_store
    }
}

/// A message between two VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: Member,
    /// Others, drawn at random, and the one that leads.
    pub others: Vec<Member>,
    /// Signs of life of more of them.
    pub digests: Vec<Digest>,
    /// How long ago the store answered any VM that the sender knows of.
    pub store_age: Millis,
    /// Endpoints that are slow or stand still.
    pub marks: Vec<Mark>,
}

/// A sign of life of a VM that the receiver knows already.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The start of the VM that it is about.
    pub start: u32,
    /// Its count.
    pub beat: u64,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether the store answers it.
    pub linked: bool,
    /// The tokens of the streams that it has in progress.
    pub load: u32,
}

/// Names a start of a VM in few bytes; one that two VMs share only makes both be heard of.
fn start(member: &Member) -> u32 {
    let mut hasher = DefaultHasher::new();
    (&member.vm, member.boot).hash(&mut hasher);
    hasher.finish() as u32
}

#[derive(Clone, Debug)]
struct Seen {
    member: Member,
    at: Millis,
    learned: Millis,
}

/// The fleet as one VM sees it.
#[derive(Clone, Debug)]
pub struct Fleet {
    me: Member,
    others: BTreeMap<Vm, Seen>,
    starts: BTreeMap<u32, Vm>,
    contacts: Vec<SocketAddr>,
    fresh: Millis,
    listed: bool,
    rng: ChaCha8Rng,
}

impl Fleet {
    /// Starts with nothing known but addresses at which others may be found.
    pub fn new(me: Member, contacts: Vec<SocketAddr>, rng: ChaCha8Rng) -> Self {
        Self {
            me,
            others: BTreeMap::new(),
            starts: BTreeMap::new(),
            contacts,
            fresh: Millis(0),
            listed: false,
            rng,
        }
    }

    /// Returns what this VM says of itself, to be kept up to date by its owner.
    pub fn me(&mut self) -> &mut Member {
        &mut self.me
    }

    /// Adds an address at which a VM may be found.
    fn add_contact(&mut self, addr: SocketAddr) {
        if addr != self.me.peer && !self.contacts.contains(&addr) {
            self.contacts.push(addr);
        }
    }

    /// Takes in a VM from the store's list: whether it lives is not known yet.
    pub fn add_listed(&mut self, now: Millis, member: Member) {
        self.listed = true;
        self.add_contact(member.peer);
        if member.vm == self.me.vm || self.others.contains_key(&member.vm) {
            return;
        }
        self.starts.insert(start(&member), member.vm.clone());
        let seen = Seen {
            member,
            at: Millis(0),
            learned: now,
        };
        self.others.insert(seen.member.vm.clone(), seen);
    }

    /// Returns the next message, which carries `marks`, and the addresses that it goes to.
    pub fn next_message(&mut self, now: Millis, marks: Vec<Mark>) -> (Message, Vec<SocketAddr>) {
        self.me.beat += 1;
        self.others
            .retain(|_, seen| now.since(seen.at.max(seen.learned)) < FORGET_SPAN);
        let others = &self.others;
        self.starts.retain(|_, vm| others.contains_key(vm));
        let mut rng = self.rng.clone();
        let peers = self.alive(now).map(|member| member.peer);
        let mut to: Vec<SocketAddr> = peers.sample(&mut rng, FANOUT);
        self.rng = rng;
        let alone = to.len() < FANOUT;
        let due = self.me.beat.is_multiple_of(CONTACT_BEATS);
        if (alone || due) && !self.contacts.is_empty() {
            let one = self.rng.random_range(0..self.contacts.len());
            to.push(self.contacts[one]);
        }
        to.sort_unstable();
        to.dedup();
        to.retain(|addr| *addr != self.me.peer);
        let mut rng = self.rng.clone();
        let mut others: Vec<Member> = self.alive(now).cloned().sample(&mut rng, RUMOURS);
        let first = self.alive(now).find(|member| member.may_lead());
        if let Some(first) = first.filter(|first| !others.contains(first)) {
            others.push(first.clone());
        }
        let digest = |member: &Member| Digest {
            start: start(member),
            beat: member.beat,
            ready: member.ready,
            linked: member.has_store,
            load: member.load,
        };
        let digests = self.alive(now).map(digest).sample(&mut rng, DIGESTS);
        self.rng = rng;
        let message = Message {
            from: self.me.clone(),
            others,
            digests,
            store_age: now.since(self.fresh),
            marks,
        };
        (message, to)
    }

    /// Takes a message in.
    pub fn receive(&mut self, now: Millis, message: Message) {
        self.fresh = self.fresh.max(now - message.store_age);
        self.hear(now, message.from);
        for member in message.others {
            self.hear(now, member);
        }
        for digest in message.digests {
            let Some(seen) = self
                .starts
                .get(&digest.start)
                .and_then(|vm| self.others.get_mut(vm))
            else {
                continue;
            };
            if digest.beat > seen.member.beat && start(&seen.member) == digest.start {
                seen.member.beat = digest.beat;
                seen.member.ready = digest.ready;
                seen.member.has_store = digest.linked;
                seen.member.load = digest.load;
                seen.at = now;
            }
        }
    }

    fn hear(&mut self, now: Millis, member: Member) {
        if member.vm == self.me.vm {
            return;
        }
        if let Some(seen) = self.others.get(&member.vm) {
            let old = (seen.member.boot, seen.member.beat);
            let restarted = member.boot != seen.member.boot && now.since(seen.at) > ALIVE_TIMEOUT;
            if (member.boot, member.beat) <= old && !restarted {
                return;
            }
        }
        self.starts.insert(start(&member), member.vm.clone());
        let seen = Seen {
            member,
            at: now,
            learned: now,
        };
        self.others.insert(seen.member.vm.clone(), seen);
    }

    /// Returns the other VMs that were heard of lately.
    pub fn alive(&self, now: Millis) -> impl Iterator<Item = &Member> {
        let span = ALIVE_TIMEOUT + Millis(ALIVE_EACH.0 * self.others.len() as u64);
        let fresh = self
            .others
            .values()
            .filter(move |seen| now.since(seen.at) < span);
        fresh.map(|seen| &seen.member)
    }

    /// Returns the number of VMs that serve callers, this one counted in any case.
    pub fn serving_count(&self, now: Millis) -> usize {
        1 + self.alive(now).filter(|member| member.ready).count()
    }

    /// Returns the tokens of the streams that all VMs have in progress, as far as was heard.
    pub fn total_load(&self, now: Millis) -> f64 {
        let others: f64 = self.alive(now).map(|member| f64::from(member.load)).sum();
        others + f64::from(self.me.load)
    }

    /// Returns the number of VMs that may share something, this one counted: those that are known,
    /// alive or not, and many as long as the store's list was not read.
    ///
    /// The answer to a restart of all VMs, where each sees itself alone at first.
    pub fn assumed_size(&self) -> usize {
        let known = 1 + self.others.len();
        if self.listed {
            known
        } else {
            known.max(SHARERS)
        }
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

    /// Notes that the store answered this VM.
    pub fn record_store_answer(&mut self, now: Millis) {
        self.fresh = now;
    }

    /// Says whether this VM should read the store: it is among the first of its domain whose store
    /// answers, or has not heard for `limit` of any VM that the store answered.
    ///
    /// The answer to many VMs at one store: the calls do not grow with the fleet, and news that
    /// nobody reads is still read within the bound.
    pub fn should_read(&self, now: Millis, limit: Millis) -> bool {
        if now.since(Millis(self.me.boot)) < SETTLE_SPAN {
            return false;
        }
        self.is_reader(now, Member::may_lead) || now.since(self.fresh) > limit
    }

    /// Says whether this VM is among the first of its domain, of those that `may` read for the others.
    fn is_reader<F>(&self, now: Millis, may: F) -> bool
    where
        F: Fn(&Member) -> bool,
    {
        let near = |member: &&Member| member.domain == self.me.domain;
        let size = 1 + self.alive(now).filter(near).count();
        let before = |member: &&Member| may(member) && member.vm < self.me.vm;
        let rank = self.alive(now).filter(near).filter(before).count();
        rank <= size / READ_FOR
    }

    /// Returns how long to wait before a call to the store is made again that failed `fails` times in a
    /// row: the VMs that read for the others try soon, the others ever more seldom.
    ///
    /// The answer to a store that is away from all VMs: each of them would read for itself.
    pub fn retry_delay(&mut self, now: Millis, fails: u32) -> Millis {
        if self.is_reader(now, |member| member.ready) {
            return RETRY_SPAN;
        }
        let doubled = RETRY_SPAN.0 << fails.min(8);
        let most = doubled.min(RETRY_MOST.0);
        Millis(self.rng.random_range(most / 2..=most))
    }

    /// Says whether this VM is the one that should give orders: the first by name of those that
    /// are ready and whose store answers.
    pub fn is_leader(&self, now: Millis) -> bool {
        let before = |member: &Member| member.may_lead() && member.vm < self.me.vm;
        self.me.may_lead() && !self.alive(now).any(before)
    }

    /// Returns a VM that knows more than this one, of the same domain if there is one, since traffic
    /// between domains costs; but none of those that just failed to tell: the one that knows most may
    /// be dead or cut off, and then nothing would be learned from it. `urgent` leaves out those that only
    /// know more of endpoints.
    pub fn choose_newer(
        &mut self,
        now: Millis,
        failed: &[SocketAddr],
        urgent: bool,
    ) -> Option<SocketAddr> {
        let mut rng = self.rng.clone();
        let more = |member: &&Member| {
            let newer = member.version > self.me.version;
            let newer = newer || (!urgent && member.roster_end > self.me.roster_end);
            newer && !failed.contains(&member.peer)
        };
        let near = |member: &&Member| member.domain == self.me.domain;
        let peer = self.alive(now).filter(more).filter(near).choose(&mut rng);
        let peer = peer.or_else(|| self.alive(now).filter(more).choose(&mut rng));
        let peer = peer.map(|member| member.peer);
        self.rng = rng;
        peer
    }
}
