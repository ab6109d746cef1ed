//! The daemon's local view of the other daemons: which run, which may be dead, their load.
//!
//! Each daemon pings two successors on a ring and one random peer a second, so the cost of a
//! daemon does not depend on the fleet's size, and its two predecessors on the ring detect a dead
//! VM within a fixed time. Rumours about daemons are carried by pings and acks, and new ones are
//! also gossiped at once to a few peers (docs/operators/membership.md).
//!
//! The views are not agreed by consensus: a wrong view costs speed, never safety.

pub mod addresses;
pub mod message;
mod probe;
mod reach;
mod receive;
pub mod rendezvous;
mod table;
mod watch;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::addresses::Addresses;
use self::addresses::Candidate;
use self::addresses::Candidates;
use self::message::Body;
use self::message::Contact;
use self::message::Load;
use self::message::MIN_VERSION;
use self::message::Member;
use self::message::Message;
use self::message::Progress;
use self::message::Rumour;
use self::message::Status;
use self::message::VERSION;
use self::probe::Probes;
use self::table::Entry;
use self::table::Listing;
use self::table::Table;
use crate::clock::Millis;
use crate::names::Domain;
use crate::names::Vm;

pub use self::probe::DIRECT_SPAN;
pub use self::probe::INDIRECT_SPAN;
pub use self::reach::Reach;
pub use self::watch::PING_SPAN;
pub use self::watch::SUSPECT_SPAN;
pub use self::watch::WAKE_SPAN;

/// How old the evidence of a failure domain may be to count as contact. It is shorter than
/// [`crate::consts::FRESHNESS_TIMEOUT`], so that a daemon that is cut off has lost its contacts by the
/// time its state is no longer fresh.
pub const CONTACT_SPAN: Millis = Millis::seconds(4);
/// The most VMs in one answer to a caller.
const MAX_ADDRESSES: usize = 16;
/// The most urgent rumours in one message.
const MAX_URGENT: usize = 8;
/// How many gossip rounds carry a change of this daemon's own status.
const OWN_REPEATS: u8 = 3;
/// How long to wait for a peer's view before the daemon trusts its own without one.
const REFRESH_SPAN: Millis = Millis::seconds(2);
/// The most loads in one message, the sender's own included.
const MAX_LOADS: usize = 4;

/// A VM on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVm {
    /// The name under which the platform lists the VM.
    pub vm: Vm,
    /// The failure domain in which the VM runs.
    pub domain: Domain,
    /// The address on which its daemon listens for other daemons.
    pub peer: SocketAddr,
    /// The address on which its daemon listens for callers.
    pub caller: SocketAddr,
    /// Whether the platform is removing the VM.
    pub leaving: bool,
}

/// An effect to carry out or a change to pass on to other parts of the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message; it may be lost.
    Send {
        /// The receiving VM.
        to: Vm,
        /// The address on which its daemon listens for other daemons.
        peer: SocketAddr,
        /// Boxed because it is much larger than the other actions.
        message: Box<Message>,
    },
    /// A daemon that was unknown, or believed not to run, is running.
    Joined(Member),
    /// A daemon does not answer; it gets no new work.
    Suspected(Member),
    /// A daemon was declared dead.
    Gone(Member),
    /// A daemon, possibly this one, no longer takes new callers.
    Leaving(Member),
    /// A peer sent its progress in an ack. The progress was true at `at` or later.
    PeerProgress {
        /// The peer that answered.
        vm: Vm,
        /// When the ping that it answered was sent, by this daemon's clock.
        at: Millis,
        /// How far the peer has read the `config` stream.
        progress: Progress,
    },
    /// This daemon was paused and runs again; its view may be outdated.
    Resumed,
}

/// This daemon's view of the fleet.
#[derive(Debug)]
pub struct Members {
    me: Rumour,
    load: u32,
    count: u64,
    progress: Option<LocalProgress>,
    table: Table,
    probes: Probes,
    suspects: BTreeMap<Vm, Millis>,
    contacts: BTreeMap<Domain, Millis>,
    last_answer: Option<Millis>,
    listed: Option<BTreeSet<Vm>>,
    refreshing: Option<Millis>,
    reach: Reach,
    reach_checked: Millis,
    own_repeats: u8,
    last_tick: Option<Millis>,
    last_ping: Millis,
    last_gossip: Millis,
    slot: u64,
    rng: ChaCha8Rng,
    candidates: Option<Candidates>,
}

impl Members {
    /// Creates the view of the daemon `me`, which is starting and knows no other daemon. `seed`
    /// seeds the choice of random peers.
    #[must_use]
    pub fn new(me: Member, seed: u64) -> Self {
        Self {
            me: Rumour {
                member: me,
                incarnation: 0,
                status: Status::Starting,
            },
            load: 0,
            count: 0,
            progress: None,
            table: Table::default(),
            probes: Probes::default(),
            suspects: BTreeMap::new(),
            contacts: BTreeMap::new(),
            last_answer: None,
            listed: None,
            refreshing: None,
            reach: Reach::Minority,
            reach_checked: Millis(0),
            own_repeats: 0,
            last_tick: None,
            last_ping: Millis(0),
            last_gossip: Millis(0),
            slot: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            candidates: None,
        }
    }

    /// Returns this daemon's own entry.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me.member
    }

    /// Returns the status that this daemon announces.
    #[must_use]
    pub fn status(&self) -> Status {
        self.me.status
    }

    /// Sets the load that this daemon reports to its peers, in requests in progress.
    pub fn set_load(&mut self, load: u32) {
        self.load = load;
    }

    /// Sets the progress in the `config` stream that this daemon reports to its peers: it holds
    /// every record before `offset`, which was the log's tail at `fresh` (`None` if that was never
    /// known).
    pub fn set_progress(&mut self, offset: u64, fresh: Option<Millis>) {
        self.progress = Some(LocalProgress { offset, fresh });
    }

    /// Announces whether this daemon takes new work. A leaving daemon stays leaving.
    pub fn set_serving(&mut self, now: Millis, serving: bool, actions: &mut Vec<Action>) {
        let status = if serving {
            Status::Serving
        } else {
            Status::Starting
        };
        if self.me.status != status && self.me.status != Status::Leaving {
            self.announce(now, status, actions);
        }
    }

    /// Announces that this daemon is leaving, so that peers stop sending callers to it at once.
    pub fn leave(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.me.status == Status::Leaving {
            return;
        }
        self.announce(now, Status::Leaving, actions);
        actions.push(Action::Leaving(self.me.member.clone()));
    }

    fn announce(&mut self, now: Millis, status: Status, actions: &mut Vec<Action>) {
        self.me.incarnation += 1;
        self.me.status = status;
        self.candidates = None;
        self.own_repeats = OWN_REPEATS;
        self.gossip(now, actions);
    }

    /// Applies the platform's list, which may lag behind and disagree with what peers report.
    ///
    /// The list adds daemons to ping and marks VMs that the platform removes. It never declares a
    /// daemon dead, and a mark on an earlier boot does not apply to a later one.
    pub fn apply_list(&mut self, now: Millis, list: &[ListedVm], actions: &mut Vec<Action>) {
        self.candidates = None;
        for item in list {
            if item.vm == self.me.member.vm {
                self.apply_own_listing(now, item, actions);
            } else {
                self.apply_peer_listing(item, actions);
            }
        }
        let names: BTreeSet<Vm> = list.iter().map(|item| item.vm.clone()).collect();
        self.drop_absent(&names);
        self.listed = Some(names);
    }

    fn apply_own_listing(&mut self, now: Millis, item: &ListedVm, actions: &mut Vec<Action>) {
        let earlier = self.listed.as_ref();
        let known = earlier.is_some_and(|names| names.contains(&item.vm));
        if item.leaving && known {
            self.leave(now, actions);
        }
    }

    fn apply_peer_listing(&mut self, item: &ListedVm, actions: &mut Vec<Action>) {
        if self.table.get(&item.vm).is_none() {
            self.table.put(initial_rumour(item));
        }
        let Some(entry) = self.table.get_mut(&item.vm) else {
            return;
        };
        let before = entry.listing;
        entry.listing = match (item.leaving, before) {
            (true, Listing::Outdated) => Listing::Outdated,
            (true, _) => Listing::Leaving,
            (false, _) => Listing::Live,
        };
        if entry.listing == Listing::Leaving && before != Listing::Leaving && entry.is_live() {
            actions.push(Action::Leaving(entry.rumour.member.clone()));
        }
    }

    /// Forgets the daemons that neither answer nor are listed. Listed daemons stay known however
    /// long they are silent, because [`Members::reach`] counts them.
    fn drop_absent(&mut self, names: &BTreeSet<Vm>) {
        let absent: Vec<Vm> = self
            .table
            .values()
            .filter(|entry| !entry.is_live() && !self.suspects.contains_key(vm_of(entry)))
            .map(vm_of)
            .filter(|vm| !names.contains(*vm))
            .cloned()
            .collect();
        for vm in absent {
            self.table.remove(&vm);
        }
    }

    /// Returns whether this daemon is in contact with most of the fleet as last known.
    ///
    /// Two daemons that both reach a majority have a failure domain in common, through which a
    /// record of the log gets from one to the other (docs/operators/membership.md).
    #[must_use]
    pub fn reach(&self, now: Millis) -> Reach {
        if self.was_paused(now) {
            return Reach::Minority;
        }
        self.reach
    }

    /// Returns whether this daemon was paused and has not ticked since.
    fn was_paused(&self, now: Millis) -> bool {
        self.last_tick
            .is_some_and(|last| now.since(last) >= WAKE_SPAN)
    }

    /// Returns whether the view was refreshed from a peer since the start or the last pause, or the
    /// wait for one timed out.
    fn is_trusted(&self, now: Millis) -> bool {
        let waited = |since: Millis| now.since(since) >= REFRESH_SPAN;
        !self.was_paused(now) && self.refreshing.is_none_or(waited)
    }

    /// Returns the daemons believed to run, including this one, ordered by VM name.
    #[must_use]
    pub fn live(&self) -> Vec<Member> {
        let mut out: Vec<Member> = self
            .table
            .values()
            .filter(|entry| entry.is_live())
            .map(|entry| entry.rumour.member.clone())
            .collect();
        out.push(self.me.member.clone());
        out.sort_by(|a, b| a.vm.cmp(&b.vm));
        out
    }

    /// Ranks the running daemons that are not leaving, including this one, for the role `key`.
    #[must_use]
    pub fn rank(&self, key: &str) -> Vec<Vm> {
        let staying = self
            .table
            .values()
            .filter(|entry| entry.is_live() && entry.rumour.status != Status::Leaving)
            .map(vm_of);
        let me = (self.me.status != Status::Leaving).then_some(&self.me.member.vm);
        rendezvous::rank(key, staying.chain(me))
    }

    /// Returns up to `count` VMs that a caller should use, from at least two failure domains if
    /// there are two. The answer is empty until the daemon has refreshed its view.
    pub fn addresses(&mut self, now: Millis, count: usize, salt: u64) -> Addresses {
        if !self.is_trusted(now) {
            return Candidates::default().choose(0, salt);
        }
        let candidates = self
            .candidates
            .take()
            .unwrap_or_else(|| self.collect_candidates());
        let out = candidates.choose(count.min(MAX_ADDRESSES), salt);
        self.candidates = Some(candidates);
        out
    }

    /// Returns whether [`Members::addresses`] may return the VM.
    #[must_use]
    pub fn is_offered(&self, now: Millis, vm: &Vm) -> bool {
        let usable = if *vm == self.me.member.vm {
            self.me.status == Status::Serving
        } else {
            self.table.get(vm).is_some_and(Entry::is_usable)
        };
        usable && self.is_trusted(now)
    }

    fn collect_candidates(&self) -> Candidates {
        let mut out = Candidates::default();
        if self.me.status == Status::Serving {
            out.add(Candidate {
                member: self.me.member.clone(),
                load: self.load,
            });
        }
        for entry in self.table.values().filter(|entry| entry.is_usable()) {
            out.add(Candidate {
                member: entry.rumour.member.clone(),
                load: entry.load.load,
            });
        }
        out
    }

    /// Builds a message that carries a bounded number of rumours and loads.
    fn build_message(&mut self, now: Millis, to: &Vm, body: Body) -> Message {
        self.count += 1;
        Message {
            version: VERSION,
            minimum: MIN_VERSION,
            from: self.me.clone(),
            body,
            progress: self.progress.map(|mark| mark.to_progress(now)),
            contacts: self.recent_contacts(now),
            rumours: self.select_rumours(to),
            loads: self.sample_loads(),
        }
    }

    fn send(&mut self, now: Millis, to: &Vm, body: Body, actions: &mut Vec<Action>) {
        let Some(entry) = self.table.get(to) else {
            return;
        };
        let peer = entry.rumour.member.peer;
        let message = Box::new(self.build_message(now, to, body));
        let to = to.clone();
        actions.push(Action::Send { to, peer, message });
    }

    fn recent_contacts(&self, now: Millis) -> Vec<Contact> {
        self.contacts
            .iter()
            .filter(|(_, at)| is_recent(now, **at))
            .map(|(domain, at)| Contact {
                domain: domain.clone(),
                age: now.since(*at),
            })
            .collect()
    }

    /// Selects the rumours for a message: a suspicion that the receiver has to refute, the urgent
    /// ones, and one more entry of the table in round-robin order.
    fn select_rumours(&mut self, to: &Vm) -> Vec<Rumour> {
        let own = self.table.get(to).map(|entry| &entry.rumour);
        let refute = own.filter(|own| own.status >= Status::Suspect).cloned();
        let mut out: Vec<Rumour> = refute.into_iter().collect();
        out.extend(self.table.take_pending(MAX_URGENT));
        if let Some(entry) = self.table.next_entry()
            && entry.rumour.member.boot > 0
        {
            out.push(entry.rumour.clone());
        }
        out
    }

    fn sample_loads(&mut self) -> Vec<Load> {
        let mut out = vec![Load {
            vm: self.me.member.vm.clone(),
            count: self.count,
            load: self.load,
        }];
        for _ in 1..MAX_LOADS {
            if let Some(vm) = self.random_live()
                && let Some(entry) = self.table.get(&vm)
                && entry.load.count > 0
            {
                out.push(entry.load.clone());
            }
        }
        out
    }
}

/// This daemon's progress in the `config` stream, with the time by its own clock.
#[derive(Clone, Copy, Debug)]
struct LocalProgress {
    offset: u64,
    fresh: Option<Millis>,
}

impl LocalProgress {
    fn to_progress(self, now: Millis) -> Progress {
        Progress {
            offset: self.offset,
            age: self.fresh.map(|at| now.since(at)),
        }
    }
}

fn is_recent(now: Millis, at: Millis) -> bool {
    now.since(at) <= CONTACT_SPAN
}

fn vm_of(entry: &Entry) -> &Vm {
    &entry.rumour.member.vm
}

fn initial_rumour(item: &ListedVm) -> Rumour {
    Rumour {
        member: Member {
            vm: item.vm.clone(),
            domain: item.domain.clone(),
            peer: item.peer,
            caller: item.caller,
            boot: 0,
        },
        incarnation: 0,
        status: Status::Starting,
    }
}
