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
const ALIVE_TIMEOUT_PER_VM: Millis = Millis(20);
/// The interval between two messages of a VM.
pub const HEARTBEAT_INTERVAL: Millis = Millis(300);
/// The VMs that each message goes to.
const FANOUT: usize = 3;
/// The messages after which one goes to a contact too, so that parts of the fleet find together.
const HEARTBEATS_PER_CONTACT: u64 = 8;
/// The most VMs that one message describes, besides its sender.
const MAX_MEMBERS: usize = 6;
/// The most VMs of which one message says only that they are alive.
const MAX_DIGESTS: usize = 48;
/// The most addresses that a caller is told.
const MAX_ADDRESSES: usize = 64;
/// The number of VMs in a domain for which one more reads the store beside the first: the news must
/// reach all of them well within the bound on changes. If all readers are lost at once, the others
/// notice by the age of the newest answer that they know of.
const VMS_PER_READER: usize = 72;
/// How long after its start a VM goes on to read the store: by then it has heard whether others read.
const STARTUP_DELAY: Millis = Millis(1200);
/// How long a VM that reads for others waits before a call that failed is made again.
const BASE_RETRY_DELAY: Millis = Millis(300);
/// The longest that any other VM waits: all of them together would load a store that is away.
const MAX_RETRY_DELAY: Millis = Millis(2400);
/// The VMs that are assumed to share something before the store's list of them was read.
const ASSUMED_VMS: usize = 50;
/// How long a VM that is gone is remembered, so that stale rumours do not bring it back.
const FORGET_TIMEOUT: Millis = Millis::seconds(20);

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
    pub heartbeat: u64,
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
    pub start_hash: u32,
    /// Its count.
    pub heartbeat: u64,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether the store answers it.
    pub has_store: bool,
    /// The tokens of the streams that it has in progress.
    pub load: u32,
}

/// Names a start of a VM in few bytes; one that two VMs share only makes both be heard of.
fn start_hash(member: &Member) -> u32 {
    let mut hasher = DefaultHasher::new();
    (&member.vm, member.boot).hash(&mut hasher);
    hasher.finish() as u32
}

#[derive(Clone, Debug)]
struct KnownVm {
    member: Member,
    last_heard: Millis,
    learned: Millis,
}

/// The fleet as one VM sees it.
#[derive(Clone, Debug)]
pub struct Fleet {
    me: Member,
    others: BTreeMap<Vm, KnownVm>,
    vms_by_start: BTreeMap<u32, Vm>,
    contacts: Vec<SocketAddr>,
    store_answered: Millis,
    has_list: bool,
    rng: ChaCha8Rng,
}

impl Fleet {
    /// Starts with nothing known but addresses at which others may be found.
    pub fn new(me: Member, contacts: Vec<SocketAddr>, rng: ChaCha8Rng) -> Self {
        Self {
            me,
            others: BTreeMap::new(),
            vms_by_start: BTreeMap::new(),
            contacts,
            store_answered: Millis(0),
            has_list: false,
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
        self.has_list = true;
        self.add_contact(member.peer);
        if member.vm == self.me.vm || self.others.contains_key(&member.vm) {
            return;
        }
        self.vms_by_start
            .insert(start_hash(&member), member.vm.clone());
        let known = KnownVm {
            member,
            last_heard: Millis(0),
            learned: now,
        };
        self.others.insert(known.member.vm.clone(), known);
    }

    /// Returns the next message, which carries `marks`, and the addresses that it goes to.
    pub fn next_message(&mut self, now: Millis, marks: Vec<Mark>) -> (Message, Vec<SocketAddr>) {
        self.me.heartbeat += 1;
        self.others
            .retain(|_, known| now.since(known.last_heard.max(known.learned)) < FORGET_TIMEOUT);
        let others = &self.others;
        self.vms_by_start.retain(|_, vm| others.contains_key(vm));
        let mut rng = self.rng.clone();
        let peers = self.alive(now).map(|member| member.peer);
        let mut to: Vec<SocketAddr> = peers.sample(&mut rng, FANOUT);
        self.rng = rng;
        let too_few = to.len() < FANOUT;
        let due = self.me.heartbeat.is_multiple_of(HEARTBEATS_PER_CONTACT);
        if (too_few || due) && !self.contacts.is_empty() {
            let index = self.rng.random_range(0..self.contacts.len());
            to.push(self.contacts[index]);
        }
        to.sort_unstable();
        to.dedup();
        to.retain(|addr| *addr != self.me.peer);
        let mut rng = self.rng.clone();
        let mut others: Vec<Member> = self.alive(now).cloned().sample(&mut rng, MAX_MEMBERS);
        let first = self.alive(now).find(|member| member.may_lead());
        if let Some(first) = first.filter(|first| !others.contains(first)) {
            others.push(first.clone());
        }
        let digest = |member: &Member| Digest {
            start_hash: start_hash(member),
            heartbeat: member.heartbeat,
            ready: member.ready,
            has_store: member.has_store,
            load: member.load,
        };
        let digests = self.alive(now).map(digest).sample(&mut rng, MAX_DIGESTS);
        self.rng = rng;
        let message = Message {
            from: self.me.clone(),
            others,
            digests,
            store_age: now.since(self.store_answered),
            marks,
        };
        (message, to)
    }

    /// Takes a message in.
    pub fn receive(&mut self, now: Millis, message: Message) {
        self.store_answered = self.store_answered.max(now - message.store_age);
        self.merge(now, message.from);
        for member in message.others {
            self.merge(now, member);
        }
        for digest in message.digests {
            let Some(known) = self
                .vms_by_start
                .get(&digest.start_hash)
                .and_then(|vm| self.others.get_mut(vm))
            else {
                continue;
            };
            if digest.heartbeat > known.member.heartbeat
                && start_hash(&known.member) == digest.start_hash
            {
                known.member.heartbeat = digest.heartbeat;
                known.member.ready = digest.ready;
                known.member.has_store = digest.has_store;
                known.member.load = digest.load;
                known.last_heard = now;
            }
        }
    }

    fn merge(&mut self, now: Millis, member: Member) {
        if member.vm == self.me.vm {
            return;
        }
        if let Some(known) = self.others.get(&member.vm) {
            let old = (known.member.boot, known.member.heartbeat);
            let restarted =
                member.boot != known.member.boot && now.since(known.last_heard) > ALIVE_TIMEOUT;
            if (member.boot, member.heartbeat) <= old && !restarted {
                return;
            }
        }
        self.vms_by_start
            .insert(start_hash(&member), member.vm.clone());
        let known = KnownVm {
            member,
            last_heard: now,
            learned: now,
        };
        self.others.insert(known.member.vm.clone(), known);
    }

    /// Returns the other VMs that were heard of lately.
    pub fn alive(&self, now: Millis) -> impl Iterator<Item = &Member> {
        let span = ALIVE_TIMEOUT + Millis(ALIVE_TIMEOUT_PER_VM.0 * self.others.len() as u64);
        let fresh = self
            .others
            .values()
            .filter(move |known| now.since(known.last_heard) < span);
        fresh.map(|known| &known.member)
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
        if self.has_list {
            known
        } else {
            known.max(ASSUMED_VMS)
        }
    }

    /// Returns the addresses that a caller may connect to.
    pub fn addresses(&mut self, now: Millis) -> Vec<SocketAddr> {
        let mut rng = self.rng.clone();
        let mut list: Vec<SocketAddr> = self
            .alive(now)
            .filter(|member| member.ready)
            .map(|member| member.front)
            .sample(&mut rng, MAX_ADDRESSES - 1);
        self.rng = rng;
        if self.me.ready {
            list.push(self.me.front);
        }
        list
    }

    /// Notes that the store answered this VM.
    pub fn record_store_answer(&mut self, now: Millis) {
        self.store_answered = now;
    }

    /// Says whether this VM should read the store: it is among the first of its domain whose store
    /// answers, or has not heard for `limit` of any VM that the store answered.
    ///
    /// The answer to many VMs at one store: the calls do not grow with the fleet, and news that
    /// nobody reads is still read within the bound.
    pub fn should_read(&self, now: Millis, limit: Millis) -> bool {
        if now.since(Millis(self.me.boot)) < STARTUP_DELAY {
            return false;
        }
        self.is_reader(now, Member::may_lead) || now.since(self.store_answered) > limit
    }

    /// Says whether this VM is among the first of its domain, of those that `may` read for the others.
    fn is_reader<F>(&self, now: Millis, can_read: F) -> bool
    where
        F: Fn(&Member) -> bool,
    {
        let same_domain = |member: &&Member| member.domain == self.me.domain;
        let size = 1 + self.alive(now).filter(same_domain).count();
        let before = |member: &&Member| can_read(member) && member.vm < self.me.vm;
        let rank = self.alive(now).filter(same_domain).filter(before).count();
        rank <= size / VMS_PER_READER
    }

    /// Returns how long to wait before a call to the store is made again that failed `fails` times in a
    /// row: the VMs that read for the others try soon, the others ever more seldom.
    ///
    /// The answer to a store that is away from all VMs: each of them would read for itself.
    pub fn retry_delay(&mut self, now: Millis, fails: u32) -> Millis {
        if self.is_reader(now, |member| member.ready) {
            return BASE_RETRY_DELAY;
        }
        let doubled = BASE_RETRY_DELAY.0 << fails.min(8);
        let most = doubled.min(MAX_RETRY_DELAY.0);
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
        let is_newer = |member: &&Member| {
            let newer = member.version > self.me.version;
            let newer = newer || (!urgent && member.roster_end > self.me.roster_end);
            newer && !failed.contains(&member.peer)
        };
        let same_domain = |member: &&Member| member.domain == self.me.domain;
        let peer = self
            .alive(now)
            .filter(is_newer)
            .filter(same_domain)
            .choose(&mut rng);
        let peer = peer.or_else(|| self.alive(now).filter(is_newer).choose(&mut rng));
        let peer = peer.map(|member| member.peer);
        self.rng = rng;
        peer
    }
}
