//! The part of a daemon that gives one endpoint its orders, while it holds the lease.

use serde::Deserialize;
use serde::Serialize;

use super::lease::CurrentLease;
use super::lease::LEASE_DURATION;
use super::lease::Lease;
use crate::clock::Millis;
use crate::core::config::object::Layers;
use crate::names::EndpointName;
use crate::names::Version;
use crate::names::Vm;

/// How much of a lease is left when its holder renews it.
const RENEW_MARGIN: Millis = Millis::seconds(7);
/// How long to wait before an append is tried again.
const APPEND_RETRY_DELAY: Millis = Millis::seconds(2);
/// How long an order may wait between its making and its sending.
const ORDER_TIMEOUT: Millis = Millis::seconds(1);
/// The interval between two orders of the same wanted state.
const REPEAT_INTERVAL: Millis = Millis::seconds(3);

/// What an endpoint should run. It is a state and not a step, so a repeated order is harmless.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DesiredState {
    /// The layers that it should hold.
    pub layers: Option<Layers>,
    /// The version of the weights.
    pub version: Option<Version>,
    /// The adapters that it should hold.
    pub adapters: Vec<String>,
    /// The role that it should play, as its engine names it.
    pub role: Option<String>,
}

/// An order to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// The endpoint.
    pub endpoint: EndpointName,
    /// The fencing number.
    pub fence: u64,
    /// After this time of the sender's clock it must not be sent any more.
    pub deadline: Millis,
    /// What the endpoint should run.
    pub wanted: DesiredState,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The endpoint took it.
    Done,
    /// The endpoint knows a higher fencing number.
    Refused,
    /// No answer came; the endpoint may have taken it.
    Unreachable,
}

/// What the surrounding program should do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append a lease record.
    AppendLease(Lease),
    /// Send an order, if [`Holder::check`] allows it right before the write.
    SendOrder(Order),
}

/// An append whose record was not read back yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct AppendAttempt {
    after: Option<u64>,
    first_sent: Millis,
    last_sent: Millis,
}

/// The part of a daemon that may give one endpoint its orders.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    endpoint: EndpointName,
    fencing: bool,
    me: Vm,
    boot: u64,
    elected: bool,
    current: Option<CurrentLease>,
    attempt: Option<AppendAttempt>,
    valid_until: Millis,
    orders_from: Millis,
    wanted: Option<DesiredState>,
    reported: Option<DesiredState>,
    last_order: Option<Millis>,
}

impl Holder {
    /// Creates the part for an endpoint; `fencing` says whether it checks fencing numbers.
    #[must_use]
    pub fn new(endpoint: EndpointName, fencing: bool, me: Vm, boot: u64) -> Self {
        Self {
            endpoint,
            fencing,
            me,
            boot,
            elected: false,
            current: None,
            attempt: None,
            valid_until: Millis(0),
            orders_from: Millis(0),
            wanted: None,
            reported: None,
            last_order: None,
        }
    }

    /// Says whether this daemon ranks first for the endpoint and should try for the lease. A
    /// wrong opinion costs an append, never safety.
    pub fn set_elected(&mut self, elected: bool) {
        self.elected = elected;
    }

    /// Sets what the endpoint should run.
    pub fn set_wanted(&mut self, wanted: Option<DesiredState>) {
        self.wanted = wanted;
        self.last_order = None;
    }

    /// Takes in what the endpoint reports to run.
    pub fn record_running(&mut self, running: DesiredState) {
        self.reported = Some(running);
    }

    /// Folds a lease record of the log, in the order of offsets; `now` is when it was read.
    pub fn fold(&mut self, now: Millis, offset: u64, lease: Lease) {
        let in_force = self.current.as_ref().map(|current| current.offset);
        if lease.name != self.endpoint || lease.after != in_force {
            return;
        }
        if self.is_own(&lease) {
            self.accept_own_lease(&lease);
        } else {
            self.valid_until = Millis(0);
        }
        self.attempt = None;
        self.current = Some(CurrentLease {
            lease,
            offset,
            read_at: now,
        });
    }

    fn is_own(&self, lease: &Lease) -> bool {
        lease.holder == self.me && lease.boot == self.boot
    }

    /// Counts a lease of our own from the first append that may have been the one that won.
    fn accept_own_lease(&mut self, lease: &Lease) {
        let attempt = self.attempt.as_ref();
        let first = attempt.filter(|attempt| attempt.after == lease.after);
        self.valid_until = first.map_or(Millis(0), |attempt| attempt.first_sent + lease.span);
        let renewed = self
            .current
            .as_ref()
            .is_some_and(|old| self.is_own(&old.lease));
        if !renewed {
            self.orders_from = self
                .current
                .as_ref()
                .map_or(Millis(0), CurrentLease::orders_end);
            self.reported = None;
            self.last_order = None;
        }
    }

    /// Takes in that the answer to an append was lost. It may be in the log, so the time of the
    /// first attempt still counts; another may be sent at once.
    pub fn record_lost_append(&mut self) {
        if let Some(attempt) = &mut self.attempt {
            attempt.last_sent = Millis(0);
        }
    }

    /// Takes in what became of an order.
    pub fn record_outcome(&mut self, fence: u64, answer: OrderOutcome) {
        let in_force = self.current.as_ref().map(|current| current.offset);
        if answer == OrderOutcome::Refused && Some(fence) == in_force {
            self.valid_until = Millis(0);
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.append_if_due(now, actions);
        self.send_if_due(now, actions);
    }

    fn append_if_due(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if !self.elected || !self.should_append(now) {
            return;
        }
        let after = self.current.as_ref().map(|current| current.offset);
        let open = self.attempt.as_ref();
        if open.is_some_and(|attempt| now.since(attempt.last_sent) < APPEND_RETRY_DELAY) {
            return;
        }
        self.attempt = Some(AppendAttempt {
            after,
            first_sent: open.map_or(now, |attempt| attempt.first_sent),
            last_sent: now,
        });
        actions.push(Action::AppendLease(Lease {
            name: self.endpoint.clone(),
            holder: self.me.clone(),
            boot: self.boot,
            after,
            span: LEASE_DURATION,
        }));
    }

    /// Says whether the lease is free, or ours and due for renewal. The lease of another is taken
    /// when it has run out by our clock; the wait for late orders comes after.
    fn should_append(&self, now: Millis) -> bool {
        let Some(current) = &self.current else {
            return true;
        };
        if self.is_own(&current.lease) {
            return self.valid_until < now + RENEW_MARGIN;
        }
        current.read_at + current.lease.span <= now
    }

    fn send_if_due(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let waiting = self
            .last_order
            .is_some_and(|at| now.since(at) < REPEAT_INTERVAL);
        if waiting || self.wanted.is_none() || self.wanted == self.reported || !self.holds(now) {
            return;
        }
        let (Some(current), Some(wanted)) = (&self.current, &self.wanted) else {
            return;
        };
        self.last_order = Some(now);
        actions.push(Action::SendOrder(Order {
            endpoint: self.endpoint.clone(),
            fence: current.offset,
            deadline: self.valid_until.min(now + ORDER_TIMEOUT),
            wanted: wanted.clone(),
        }));
    }

    /// Says whether this daemon may give orders now.
    #[must_use]
    pub fn holds(&self, now: Millis) -> bool {
        let mine = self
            .current
            .as_ref()
            .is_some_and(|current| self.is_own(&current.lease));
        mine && now < self.valid_until && (self.fencing || now >= self.orders_from)
    }

    /// Says whether an order may still be sent. To be called with the time read right before the
    /// write: a pause between the order's making and its sending ends here.
    #[must_use]
    pub fn may_send(&self, now: Millis, order: &Order) -> bool {
        let in_force = self.current.as_ref().map(|current| current.offset);
        self.holds(now) && now < order.deadline && in_force == Some(order.fence)
    }
}
