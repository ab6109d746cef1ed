//! The part of a daemon that gives one endpoint its orders, while it holds the lease.

use serde::Deserialize;
use serde::Serialize;

use super::lease::Current;
use super::lease::LEASE_DURATION;
use super::lease::Lease;
use crate::clock::Millis;
use crate::core::config::object::Layers;
use crate::names::EndpointName;
use crate::names::Version;
use crate::names::Vm;

/// How much of a lease is left when its holder renews it.
const RENEW_SPAN: Millis = Millis::seconds(7);
/// How long to wait before an append is tried again.
const APPEND_SPAN: Millis = Millis::seconds(2);
/// How long an order may wait between its making and its sending.
const ORDER_SPAN: Millis = Millis::seconds(1);
/// The interval between two orders of the same wanted state.
const REPEAT_SPAN: Millis = Millis::seconds(3);

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
struct Attempt {
    after: Option<u64>,
    first: Millis,
    last: Millis,
}

/// The part of a daemon that may give one endpoint its orders.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    endpoint: EndpointName,
    fencing: bool,
    me: Vm,
    boot: u64,
    elected: bool,
    current: Option<Current>,
    attempt: Option<Attempt>,
    until: Millis,
    start: Millis,
    wanted: Option<DesiredState>,
    running: Option<DesiredState>,
    sent: Option<Millis>,
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
            until: Millis(0),
            start: Millis(0),
            wanted: None,
            running: None,
            sent: None,
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
        self.sent = None;
    }

    /// Takes in what the endpoint reports to run.
    pub fn record_running(&mut self, running: DesiredState) {
        self.running = Some(running);
    }

    /// Folds a lease record of the log, in the order of offsets; `now` is when it was read.
    pub fn fold(&mut self, now: Millis, offset: u64, lease: Lease) {
        let in_force = self.current.as_ref().map(|current| current.offset);
        if lease.name != self.endpoint || lease.after != in_force {
            return;
        }
        if self.is_mine(&lease) {
            self.won(&lease);
        } else {
            self.until = Millis(0);
        }
        self.attempt = None;
        self.current = Some(Current {
            lease,
            offset,
            read: now,
        });
    }

    fn is_mine(&self, lease: &Lease) -> bool {
        lease.holder == self.me && lease.boot == self.boot
    }

    /// Counts a lease of our own from the first append that may have been the one that won.
    fn won(&mut self, lease: &Lease) {
        let attempt = self.attempt.as_ref();
        let first = attempt.filter(|attempt| attempt.after == lease.after);
        self.until = first.map_or(Millis(0), |attempt| attempt.first + lease.span);
        let renewed = self
            .current
            .as_ref()
            .is_some_and(|old| self.is_mine(&old.lease));
        if !renewed {
            self.start = self.current.as_ref().map_or(Millis(0), Current::over);
            self.running = None;
            self.sent = None;
        }
    }

    /// Takes in that the answer to an append was lost. It may be in the log, so the time of the
    /// first attempt still counts; another may be sent at once.
    pub fn record_lost_append(&mut self) {
        if let Some(attempt) = &mut self.attempt {
            attempt.last = Millis(0);
        }
    }

    /// Takes in what became of an order.
    pub fn answered(&mut self, fence: u64, answer: OrderOutcome) {
        let in_force = self.current.as_ref().map(|current| current.offset);
        if answer == OrderOutcome::Refused && Some(fence) == in_force {
            self.until = Millis(0);
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.append_if_due(now, actions);
        self.order_if_due(now, actions);
    }

    fn append_if_due(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if !self.elected || !self.lease_wanted(now) {
            return;
        }
        let after = self.current.as_ref().map(|current| current.offset);
        let open = self.attempt.as_ref();
        if open.is_some_and(|attempt| now.since(attempt.last) < APPEND_SPAN) {
            return;
        }
        self.attempt = Some(Attempt {
            after,
            first: open.map_or(now, |attempt| attempt.first),
            last: now,
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
    fn lease_wanted(&self, now: Millis) -> bool {
        let Some(current) = &self.current else {
            return true;
        };
        if self.is_mine(&current.lease) {
            return self.until < now + RENEW_SPAN;
        }
        current.read + current.lease.span <= now
    }

    fn order_if_due(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let waiting = self.sent.is_some_and(|at| now.since(at) < REPEAT_SPAN);
        if waiting || self.wanted.is_none() || self.wanted == self.running || !self.holds(now) {
            return;
        }
        let (Some(current), Some(wanted)) = (&self.current, &self.wanted) else {
            return;
        };
        self.sent = Some(now);
        actions.push(Action::SendOrder(Order {
            endpoint: self.endpoint.clone(),
            fence: current.offset,
            deadline: self.until.min(now + ORDER_SPAN),
            wanted: wanted.clone(),
        }));
    }

    /// Says whether this daemon may give orders now.
    #[must_use]
    pub fn holds(&self, now: Millis) -> bool {
        let mine = self
            .current
            .as_ref()
            .is_some_and(|current| self.is_mine(&current.lease));
        mine && now < self.until && (self.fencing || now >= self.start)
    }

    /// Says whether an order may still be sent. To be called with the time read right before the
    /// write: a pause between the order's making and its sending ends here.
    #[must_use]
    pub fn may_send(&self, now: Millis, order: &Order) -> bool {
        let in_force = self.current.as_ref().map(|current| current.offset);
        self.holds(now) && now < order.deadline && in_force == Some(order.fence)
    }
}
