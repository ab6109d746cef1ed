//! The part of a daemon that acquires the lease of one endpoint and sends its orders.

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

/// How long before a lease expires its holder renews it.
const RENEW_MARGIN: Millis = Millis::seconds(7);
/// How long to wait for the record of an append before the append is retried.
const APPEND_RETRY_DELAY: Millis = Millis::seconds(2);
/// How long after its creation an order may be sent.
const ORDER_TIMEOUT: Millis = Millis::seconds(1);
/// The interval at which an order is repeated until the endpoint reports the wanted state.
const REPEAT_INTERVAL: Millis = Millis::seconds(3);

/// What an endpoint should run. Orders carry a state and not a step, so repeating one is harmless.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DesiredState {
    /// The model layers to load; `None` for none.
    pub layers: Option<Layers>,
    /// The version of the weights to load.
    pub version: Option<Version>,
    /// The adapters to load.
    pub adapters: Vec<String>,
    /// The role to take, by the engine's own name for it.
    pub role: Option<String>,
}

/// An order that tells an endpoint what to run.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// The endpoint that the order is for.
    pub endpoint: EndpointName,
    /// The fencing token: the offset of the sender's lease record.
    pub fence: u64,
    /// The time on the sender's clock from which the order must not be sent.
    pub deadline: Millis,
    /// What the endpoint should run.
    pub wanted: DesiredState,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The endpoint accepted the order.
    Done,
    /// The endpoint has seen a higher fencing token.
    Refused,
    /// No answer arrived; the endpoint may have accepted the order.
    Unreachable,
}

/// What the caller of [`Holder::tick`] should do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append this lease record to the log.
    AppendLease(Lease),
    /// Send this order, if [`Holder::may_send`] allows it right before the write.
    SendOrder(Order),
}

/// An append of a lease record that was not read back from the log yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct AppendAttempt {
    /// The lease that the record replaces, as [`Lease::after`].
    after: Option<u64>,
    first_sent: Millis,
    last_sent: Millis,
}

/// Tries for the lease of one endpoint and, while it holds the lease, creates the orders.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    endpoint: EndpointName,
    fencing: bool,
    me: Vm,
    boot: u64,
    elected: bool,
    current: Option<CurrentLease>,
    attempt: Option<AppendAttempt>,
    /// When the own lease expires; 0 if this daemon has none.
    valid_until: Millis,
    /// The earliest time of an order to an endpoint that does not check fencing tokens.
    orders_from: Millis,
    wanted: Option<DesiredState>,
    reported: Option<DesiredState>,
    last_order: Option<Millis>,
}

impl Holder {
    /// Creates a holder without a lease. `fencing` is whether the endpoint checks fencing tokens;
    /// `me` and `boot` identify this daemon in lease records.
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

    /// Sets whether this daemon should try for the lease. If two daemons try at once, the only cost
    /// is an append that has no effect.
    pub fn set_elected(&mut self, elected: bool) {
        self.elected = elected;
    }

    /// Sets what the endpoint should run; `None` stops the orders.
    pub fn set_wanted(&mut self, wanted: Option<DesiredState>) {
        self.wanted = wanted;
        self.last_order = None;
    }

    /// Records what the endpoint runs, as it reports.
    pub fn record_running(&mut self, running: DesiredState) {
        self.reported = Some(running);
    }

    /// Applies a lease record that was read at `now`. Records must come in the order of offsets.
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

    /// Sets the term of a lease of this daemon. The term starts at the first append attempt, as any
    /// of the attempts may be the one that took effect.
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

    /// Records that the answer to an append was lost. The record may be in the log, so the lease
    /// still counts from the first attempt; the next one may be sent at once.
    pub fn record_lost_append(&mut self) {
        if let Some(attempt) = &mut self.attempt {
            attempt.last_sent = Millis(0);
        }
    }

    /// Records the outcome of an order. A refusal of the current fencing token ends the lease here.
    pub fn record_outcome(&mut self, fence: u64, answer: OrderOutcome) {
        let in_force = self.current.as_ref().map(|current| current.offset);
        if answer == OrderOutcome::Refused && Some(fence) == in_force {
            self.valid_until = Millis(0);
        }
    }

    /// Adds the append and the order that are due to `actions`.
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

    /// Returns whether the lease is free, or is this daemon's and due for renewal. The lease of
    /// another daemon is free once it has expired by the clock of this one; the wait for delayed
    /// orders comes after the lease was taken.
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

    /// Returns whether this daemon may send orders at `now`.
    #[must_use]
    pub fn holds(&self, now: Millis) -> bool {
        let mine = self
            .current
            .as_ref()
            .is_some_and(|current| self.is_own(&current.lease));
        mine && now < self.valid_until && (self.fencing || now >= self.orders_from)
    }

    /// Returns whether an order may still be sent. Read `now` right before the write, so that an
    /// order that was held up by a pause of the process is dropped.
    #[must_use]
    pub fn may_send(&self, now: Millis, order: &Order) -> bool {
        let in_force = self.current.as_ref().map(|current| current.offset);
        self.holds(now) && now < order.deadline && in_force == Some(order.fence)
    }
}
