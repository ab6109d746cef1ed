//! The daemon's core: a state machine that turns events into actions.
//!
//! [`Core::step`] passes each event to the module that handles it, and turns that module's actions
//! into events for other modules or into [`Action`]s for `io`. It reads no clock, socket or random
//! device, so a golden session and a daemon run the same code (docs/DESIGN.md).

mod action;
mod admit;
mod event;
mod fold;
mod hints;
mod log;
mod model;
mod open;
mod operate;
mod peer;
mod plain;
mod snapshot;
mod status;
mod stop;
mod suspect;
mod tick;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub use self::action::Action;
pub use self::action::AppendId;
pub use self::action::LogEvent;
pub use self::action::LogStream;
pub use self::action::ReadId;
pub use self::action::Reply;
pub use self::event::Call;
pub use self::event::CallKind;
pub use self::event::Event;
pub use self::event::LoadReport;
pub use self::event::OperatorCommand;
pub use self::event::OperatorRequest;
pub use self::event::PlainAnswer;
pub use self::event::PlainFault;
pub use self::event::ReadResult;
use self::hints::LoadSharing;
use self::open::OpenRequest;
pub use self::peer::Body;
pub use self::peer::Message;
use self::snapshot::Snapshots;
pub use self::status::EndpointStatus;
pub use self::status::Status;
use self::suspect::Suspects;
use crate::clock::Millis;
use crate::core::config::object::OperatorEntry;
use crate::core::config::publish::Publisher;
use crate::core::config::publish::Ticket;
use crate::core::config::state::State;
use crate::core::limit::Limiter;
use crate::core::member::Members;
use crate::core::member::message::Member;
use crate::core::once::Boot;
use crate::core::once::Holder;
use crate::core::once::Once;
use crate::core::once::Settings;
use crate::core::route::Router;
use crate::core::route::choice::Policy;
use crate::core::route::retry::RetryBudget;
use crate::core::session::Sessions;
use crate::core::session::event::RequestId;
use crate::core::sync::Peer;
use crate::core::sync::Sync;
use crate::names::Vm;

/// The parameters of a new [`Core`].
#[derive(Clone, Debug)]
pub struct Setup {
    /// This daemon's VM, addresses and boot number, as its peers see them.
    pub me: Member,
    /// The operators from the settings file; they apply only while the configuration names none.
    pub operators: Vec<OperatorEntry>,
    /// The number of log streams that claims of idempotency keys are spread over.
    pub shards: u16,
    /// Whether to accept idempotency keys that do not contain their creation time (docs/ONCE.md).
    pub opaque: bool,
    /// The seed of all random choices; the same seed and events give the same actions.
    pub seed: u64,
}

/// The state of a daemon and its decisions, without input or output.
#[derive(Debug)]
pub struct Core {
    me: Member,
    operators: Vec<OperatorEntry>,
    state: State,
    publisher: Publisher,
    members: Members,
    sync: Sync,
    once: Once,
    shards: u16,
    router: Router,
    limiter: Limiter,
    retry_budget: RetryBudget,
    sessions: Sessions,
    pending_chains: Vec<model::PendingChain>,
    suspects: Suspects,
    requests: BTreeMap<RequestId, OpenRequest>,
    pending_replies: BTreeMap<Ticket, operate::PendingReply>,
    last_ticket: u64,
    peers: BTreeMap<Vm, SocketAddr>,
    members_changed: bool,
    load_sharing: LoadSharing,
    snapshots: Snapshots,
    exit_at: Option<Millis>,
    last_tick: Millis,
    rng: ChaCha8Rng,
}

impl Core {
    /// Returns a core without configuration and without peers.
    #[must_use]
    pub fn new(setup: Setup) -> Self {
        let me = setup.me;
        let peer = Peer {
            vm: me.vm.clone(),
            domain: me.domain.clone(),
        };
        let holder = Holder {
            vm: me.vm.clone(),
            boot: Boot(me.boot),
        };
        let mut settings = Settings::new(holder);
        settings.streams = setup.shards;
        settings.opaque = setup.opaque;
        let mut seeds = ChaCha8Rng::seed_from_u64(setup.seed);
        let mut seed = || rand::Rng::next_u64(&mut seeds);
        Self {
            operators: setup.operators,
            state: State::new(),
            publisher: Publisher::default(),
            members: Members::new(me.clone(), seed()),
            sync: Sync::new(peer, seed()),
            once: Once::new(settings),
            shards: setup.shards,
            router: Router::new(seed(), Policy::TwoChoices),
            limiter: Limiter::default(),
            retry_budget: RetryBudget::default(),
            sessions: Sessions::new(seed()),
            pending_chains: Vec::new(),
            suspects: Suspects::new(me.vm.clone()),
            requests: BTreeMap::new(),
            pending_replies: BTreeMap::new(),
            last_ticket: 0,
            peers: BTreeMap::new(),
            members_changed: true,
            load_sharing: LoadSharing::default(),
            snapshots: Snapshots::default(),
            exit_at: None,
            last_tick: Millis(0),
            rng: ChaCha8Rng::seed_from_u64(seed()),
            me,
        }
    }

    /// Handles one event that happened at `now`, and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Call(call) => self.call(now, call, out),
            Event::CallerLeft(id) => self.caller_left(now, id, out),
            Event::Answered {
                id,
                attempt,
                answer,
            } => {
                self.plain_answered(now, id, attempt, answer, out);
            }
            Event::Failed { id, attempt, fault } => {
                self.plain_failed(now, id, attempt, fault, out);
            }
            Event::Session(event) => self.step_sessions(now, event, out),
            Event::PollAnswered { endpoint, report } => {
                self.poll_answered(now, &endpoint, report, out);
            }
            Event::HopReport { addr, report } => self.hop_report(now, addr, report, out),
            Event::PollFailed(endpoint) => self.poll_failed(now, &endpoint, out),
            Event::Operate(request) => self.operate(now, request, out),
            Event::Appended { append, offset } => self.appended(now, append, offset, out),
            Event::AppendLost(append) => self.append_lost(now, append, out),
            Event::AppendRefused(append) => self.append_refused(now, append, out),
            Event::ReadDone { read, result } => self.read_done(now, read, result, out),
            Event::Peer(message) => self.peer_message(now, message, out),
            Event::VmsListed(list) => self.vms_listed(now, &list, out),
            Event::Stop => self.stop(now, out),
        }
    }

    /// Returns the configuration that this VM has applied.
    #[must_use]
    pub const fn state(&self) -> &State {
        &self.state
    }

    /// Returns the addresses of the VMs that callers should use; `salt` varies the choice among
    /// them.
    pub fn addresses(
        &mut self,
        now: Millis,
        salt: u64,
    ) -> crate::core::member::addresses::Addresses {
        self.members.addresses(now, MAX_ADDRESSES, salt)
    }

    /// Checks whether this VM accepts new requests.
    ///
    /// # Errors
    ///
    /// Returns the reason if it doesn't.
    pub fn ready(&self, now: Millis) -> Result<(), crate::core::sync::NotServing> {
        self.sync.may_serve(now, self.members.reach(now))
    }
}

/// The most addresses that an answer of the addresses route contains.
const MAX_ADDRESSES: usize = 4;
