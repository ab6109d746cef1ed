//! Fleet membership by gossip, and the addresses where callers may connect.
//!
//! Each VM sends a few random others a sample of the VMs it knows. A VM whose heartbeat counter has
//! not risen for [`ALIVE_TIMEOUT`] is considered gone. The size of a message is bounded, so the
//! traffic of a VM does not grow with the fleet (docs/PLATFORM.md).

mod cut;
mod hubs;

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

pub use self::cut::CutNotice;
pub use self::hubs::Hubs;
use crate::clock::Millis;
use crate::core::position::Position;
use crate::core::roster::Mark;
use crate::names::Domain;
use crate::names::Vm;

/// How long a VM without a new heartbeat is considered alive, in a fleet of a few VMs.
pub const ALIVE_TIMEOUT: Millis = Millis(1500);
/// What each known VM adds to that timeout: messages are bounded, so the heartbeats of one VM
/// arrive less often in a larger fleet.
const ALIVE_TIMEOUT_PER_VM: Millis = Millis(20);
/// The longest interval between two messages of a VM.
pub const HEARTBEAT_INTERVAL: Millis = Millis(300);
/// The number of random VMs that each message goes to.
const FANOUT: usize = 3;
/// The most VMs that get one message because their first message arrived.
const MAX_GREETED: usize = 16;
/// One in so many messages also goes to a contact, so that separate parts of the fleet merge.
const HEARTBEATS_PER_CONTACT: u64 = 8;
/// The largest number of random VMs that one message describes in full.
const MAX_MEMBERS: usize = 6;
/// The largest number of VMs that one message describes by a [`Digest`] only.
const MAX_DIGESTS: usize = 48;
/// The largest number of addresses that a caller gets.
const MAX_ADDRESSES: usize = 64;
/// A domain has one VM that reads the store, and one more for each so many VMs, so that changes
/// reach all of them well within the time limit for changes. If all readers fail at once, the
/// others notice because the newest answer of the store that they know of gets too old.
const VMS_PER_READER: usize = 72;
/// How long a VM waits after its start before it may become a reader of the store. By then it has
/// learned which other VMs read.
const STARTUP_DELAY: Millis = Millis(1200);
/// How long a reader waits before it retries a failed call to the store.
const BASE_RETRY_DELAY: Millis = Millis(300);
/// The longest wait of the other VMs. They back off, as together they would overload a failing
/// store.
const MAX_RETRY_DELAY: Millis = Millis(2400);
/// The fleet size that is assumed before the store's list of VMs was read.
const ASSUMED_VMS: usize = 50;
/// How long a VM that is gone is kept, so that outdated messages do not add it again.
const FORGET_TIMEOUT: Millis = Millis::seconds(20);

/// How long a VM that is not kept any more still counts among those that share a limit. Parts of
/// the fleet that are cut off from each other all go on serving callers.
const SHARE_TIMEOUT: Millis = Millis::seconds(600);

/// What a VM publishes about itself, in messages and in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The name of the VM.
    pub vm: Vm,
    /// The failure domain that the VM runs in.
    pub domain: Domain,
    /// The address for callers.
    pub front: SocketAddr,
    /// The address for other VMs.
    pub peer: SocketAddr,
    /// When the daemon started, by its own clock, in milliseconds; tells a restart from an older
    /// run.
    pub boot: u64,
    /// A counter that rises with each message sent; starts at 0.
    pub heartbeat: u64,
    /// Whether the VM serves callers.
    pub ready: bool,
    /// The version of the configuration in force.
    pub version: u64,
    /// The position before which the VM knows all changes of endpoints.
    pub roster_end: Position,
    /// Whether the store answers this VM.
    pub has_store: bool,
    /// The tokens of the streams that the VM has in progress.
    pub load: u32,
}

impl Member {
    /// Returns whether the VM can lead: it serves callers and reaches the store.
    fn may_lead(&self) -> bool {
        self.ready && self.has_store
    }
}

/// A gossip message between two VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's own description.
    pub from: Member,
    /// A random sample of other VMs, the one that should lead, and the hub of the sender's domain.
    pub others: Vec<Member>,
    /// A random sample of VMs, which may overlap with `others`.
    pub digests: Vec<Digest>,
    /// The time since the store last answered any VM, as far as the sender knows.
    pub store_age: Millis,
    /// The endpoints that are slow or have stalled.
    pub marks: Vec<Mark>,
}

/// The latest heartbeat of a VM; ignored by a receiver that does not know the VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Identifies the VM and its start: a hash of its name and boot time.
    pub start_hash: u32,
    /// As [`Member::heartbeat`].
    pub heartbeat: u64,
    /// As [`Member::ready`].
    pub ready: bool,
    /// As [`Member::has_store`].
    pub has_store: bool,
    /// As [`Member::load`].
    pub load: u32,
}

/// Returns a short hash that identifies one start of a VM. After a collision, a digest of one VM
/// may only keep the other one alive in the receiver's view for longer.
fn start_hash(member: &Member) -> u32 {
    let mut hasher = DefaultHasher::new();
    (&member.vm, member.boot).hash(&mut hasher);
    hasher.finish() as u32
}

#[derive(Clone, Debug)]
struct KnownVm {
    member: Member,
    /// When a heartbeat last arrived; 0 if none did.
    last_heard: Millis,
    /// When the VM was added or last updated.
    learned: Millis,
}

/// One VM's view of the fleet.
#[derive(Clone, Debug)]
pub struct Fleet {
    me: Member,
    others: BTreeMap<Vm, KnownVm>,
    vms_by_start: BTreeMap<u32, Vm>,
    /// The VMs that are not kept any more, and when each was last known.
    forgotten: BTreeMap<Vm, Millis>,
    contacts: Vec<SocketAddr>,
    /// The VMs that sent this one their first message, which get the next one of this VM.
    greeted: Vec<SocketAddr>,
    /// The share of a core that each VM has, in thousandths, where it is known.
    capacities: BTreeMap<Vm, u16>,
    /// Whether this VM reaches no endpoint.
    is_cut_off: bool,
    /// The VMs that reach no endpoint, by start hash, and when each last said so.
    cut_vms: BTreeMap<u32, Millis>,
    /// When the store last answered any VM, as far as this one knows.
    store_answered: Millis,
    /// Whether the store's list of VMs was read.
    has_list: bool,
    rng: ChaCha8Rng,
}

impl Fleet {
    /// Creates the view of the VM `me`, which knows no other VMs yet, only the peer addresses
    /// `contacts` at which some may be reached.
    pub fn new(me: Member, contacts: Vec<SocketAddr>, rng: ChaCha8Rng) -> Self {
        Self {
            me,
            others: BTreeMap::new(),
            vms_by_start: BTreeMap::new(),
            forgotten: BTreeMap::new(),
            contacts,
            greeted: Vec::new(),
            capacities: BTreeMap::new(),
            is_cut_off: false,
            cut_vms: BTreeMap::new(),
            store_answered: Millis(0),
            has_list: false,
            rng,
        }
    }

    /// Returns what this VM publishes about itself. The caller keeps it up to date, except for the
    /// heartbeat.
    pub fn me(&mut self) -> &mut Member {
        &mut self.me
    }

    /// Adds an address at which another VM may be reached.
    fn add_contact(&mut self, addr: SocketAddr) {
        if addr != self.me.peer && !self.contacts.contains(&addr) {
            self.contacts.push(addr);
        }
    }

    /// Records that the store's list of VMs was read after all VMs that start together have written to it.
    pub fn record_list(&mut self) {
        self.has_list = true;
    }

    /// Adds a VM from the store's list. It counts as alive only once a heartbeat arrives.
    pub fn add_listed(&mut self, now: Millis, member: Member) {
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
        self.keep(known);
    }

    fn forget_gone(&mut self, now: Millis) {
        let forgotten = &mut self.forgotten;
        self.others.retain(|vm, known| {
            let last = known.last_heard.max(known.learned);
            let is_kept = now.since(last) < FORGET_TIMEOUT;
            if !is_kept {
                forgotten.insert(vm.clone(), last);
            }
            is_kept
        });
        forgotten.retain(|_, last| now.since(*last) < SHARE_TIMEOUT);
    }

    /// Returns the next message, with `marks`, and the addresses to send it to.
    pub fn next_message(&mut self, now: Millis, marks: Vec<Mark>) -> (Message, Vec<SocketAddr>) {
        self.me.heartbeat += 1;
        self.forget_gone(now);
        let others = &self.others;
        self.vms_by_start.retain(|_, vm| others.contains_key(vm));
        let mut rng = self.rng.clone();
        let peers = self.alive(now).map(|member| member.peer);
        let mut to: Vec<SocketAddr> = peers.sample(&mut rng, FANOUT);
        self.rng = rng;
        let missing = FANOUT.saturating_sub(to.len());
        let due = self.me.heartbeat.is_multiple_of(HEARTBEATS_PER_CONTACT);
        let wanted = missing.max(usize::from(due));
        to.extend(self.contacts.iter().copied().sample(&mut self.rng, wanted));
        // Random recipients alone would reach the hub of VMs that start together only after seconds.
        to.extend(self.unheard_hub(now));
        let answered = self.greeted.len().min(MAX_GREETED);
        to.extend(self.greeted.drain(..answered));
        to.sort_unstable();
        to.dedup();
        to.retain(|addr| *addr != self.me.peer);
        let mut rng = self.rng.clone();
        let mut others: Vec<Member> = self.alive(now).cloned().sample(&mut rng, MAX_MEMBERS);
        let first = self.alive(now).find(|member| member.may_lead());
        if let Some(first) = first.filter(|first| !others.contains(first)) {
            others.push(first.clone());
        }
        let hub = self.own_hub(now).filter(|hub| !others.contains(hub));
        others.extend(hub.cloned());
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

    /// Merges a message from another VM into the view.
    pub fn receive(&mut self, now: Millis, message: Message) {
        self.store_answered = self.store_answered.max(now - message.store_age);
        let from = &message.from;
        let known = self.others.get(&from.vm);
        let is_first = known
            .is_none_or(|known| known.last_heard == Millis(0) || known.member.boot < from.boot);
        if is_first && self.greeted.len() < self.contacts.len().max(MAX_GREETED) {
            self.greeted.push(from.peer);
        }
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
        self.keep(known);
    }

    fn keep(&mut self, known: KnownVm) {
        self.forgotten.remove(&known.member.vm);
        self.others.insert(known.member.vm.clone(), known);
    }

    /// Returns the other VMs that are considered alive.
    pub fn alive(&self, now: Millis) -> impl Iterator<Item = &Member> {
        let span = ALIVE_TIMEOUT + Millis(ALIVE_TIMEOUT_PER_VM.0 * self.others.len() as u64);
        let fresh = self
            .others
            .values()
            .filter(move |known| now.since(known.last_heard) < span);
        fresh.map(|known| &known.member)
    }

    /// Returns whether no other VM has a newer configuration, as far as this one can know after its
    /// start: `false` if others may be reached and none was heard from.
    ///
    /// This answers requests at a VM that starts while the store has come back older: what was withdrawn
    /// meanwhile is in force there, and the other VMs know better.
    pub fn is_caught_up(&self, now: Millis) -> bool {
        let mut others = self.alive(now).peekable();
        if others.peek().is_none() {
            return self.contacts.is_empty();
        }
        others.all(|other| other.version <= self.me.version)
    }

    /// Returns whether there are no other VMs: none is alive, and this one has run for as long as it takes
    /// to hear of one.
    pub fn is_alone(&self, now: Millis) -> bool {
        let span = now.since(Millis(self.me.boot));
        span >= ALIVE_TIMEOUT && self.alive(now).next().is_none()
    }

    /// Returns the number of VMs that serve callers, always including this one.
    pub fn serving_count(&self, now: Millis) -> usize {
        1 + self.alive(now).filter(|member| member.ready).count()
    }

    /// Returns the tokens of the streams that all VMs alive have in progress, as last reported.
    pub fn total_load(&self, now: Millis) -> f64 {
        let others: f64 = self.alive(now).map(|member| f64::from(member.load)).sum();
        others + f64::from(self.me.load)
    }

    /// Returns the number of VMs among which to divide a shared limit, including this one: all that
    /// were known in the last `SHARE_TIMEOUT`, alive or not, but at least `ASSUMED_VMS` until the
    /// store's list was read.
    ///
    /// After a restart of the whole fleet, each VM knows only itself at first and would otherwise
    /// use the full limit, and so would each part of a fleet that is cut in two.
    pub fn assumed_size(&self) -> usize {
        let known = 1 + self.others.len() + self.forgotten.len();
        if self.has_list {
            known
        } else {
            known.max(ASSUMED_VMS)
        }
    }

    /// Returns the addresses that a caller may connect to: a random sample of the VMs that
    /// serve callers, and this VM if it does. VMs that reach no endpoint are left out, unless
    /// no VM reaches one.
    pub fn addresses(&mut self, now: Millis) -> Vec<SocketAddr> {
        let mut rng = self.rng.clone();
        let ready = self.alive(now).filter(|member| member.ready);
        let (reaching, cut_off): (Vec<&Member>, Vec<&Member>) =
            ready.partition(|member| self.reaches_endpoints(now, member));
        let is_listed = self.me.ready && (!self.is_cut_off || reaching.is_empty());
        let is_any_reaching = !reaching.is_empty() || (self.me.ready && !self.is_cut_off);
        let fit = if is_any_reaching { reaching } else { cut_off };
        let fit = fit.into_iter().map(|member| member.front);
        let mut list: Vec<SocketAddr> = fit.sample(&mut rng, MAX_ADDRESSES - 1);
        self.rng = rng;
        if is_listed {
            list.push(self.me.front);
        }
        list
    }

    /// Records that the store answered this VM at `now`.
    pub fn record_store_answer(&mut self, now: Millis) {
        self.store_answered = now;
    }

    /// Returns whether this VM should read the store: it is among the first by name in its domain
    /// that reach the store, or it knows of no answer of the store to any VM within `limit`.
    ///
    /// This keeps the calls to the store from growing in proportion to the fleet. If all readers
    /// fail, changes are still read soon after `limit`.
    pub fn should_read(&self, now: Millis, limit: Millis) -> bool {
        if now.since(Millis(self.me.boot)) < STARTUP_DELAY {
            return false;
        }
        self.is_reader(now, Member::may_lead) || now.since(self.store_answered) > limit
    }

    /// Returns whether this VM is among the first by name in its domain of those that `can_read`.
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

    /// Returns how long to wait before retrying a call to the store that failed `fails` times in a
    /// row: a short fixed delay for readers, an exponential backoff with jitter for other VMs.
    ///
    /// During an outage of the store, every VM tries to read it itself.
    pub fn retry_delay(&mut self, now: Millis, fails: u32) -> Millis {
        if self.is_reader(now, |member| member.ready) {
            return BASE_RETRY_DELAY;
        }
        let doubled = BASE_RETRY_DELAY.0 << fails.min(8);
        let most = doubled.min(MAX_RETRY_DELAY.0);
        Millis(self.rng.random_range(most / 2..=most))
    }

    /// Returns whether this VM should send orders to the endpoints: it is the first by name of
    /// those that serve callers and reach the store and endpoints.
    pub fn is_leader(&self, now: Millis) -> bool {
        let before = |member: &Member| {
            let may_lead = member.may_lead() && self.reaches_endpoints(now, member);
            may_lead && member.vm < self.me.vm
        };
        self.me.may_lead() && !self.is_cut_off && !self.alive(now).any(before)
    }

    /// Returns the peer address of a random VM with a newer configuration or newer endpoints than
    /// this one; `None` if there is none. VMs of the same domain come first, as traffic between
    /// domains costs.
    ///
    /// VMs in `failed` are left out: the one that knows most may be dead or cut off, and asking it
    /// again and again would yield nothing. With `urgent`, only a newer configuration counts.
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
