//! The lease for the orders of an endpoint. A depth-first search over the production code covers
//! every interleaving of two VMs with a pause, a lost answer and a crash.

use std::collections::HashSet;

use cornelwharf::clock::Millis;
use cornelwharf::core::order::Action;
use cornelwharf::core::order::DesiredState;
use cornelwharf::core::order::Holder;
use cornelwharf::core::order::LEASE_DURATION;
use cornelwharf::core::order::Lease;
use cornelwharf::core::order::MAX_ORDER_DELAY;
use cornelwharf::core::order::Order;
use cornelwharf::core::order::OrderOutcome;
use cornelwharf::names::EndpointName;
use cornelwharf::names::Vm;

/// The time step of the search. A paused VM still sends the order that it had checked before.
const STEP: Millis = Millis::seconds(5);
/// The time covered by the search, enough for a second holder to wait for its lease and send
/// orders.
const END: Millis = Millis::seconds(30);

#[derive(Clone, PartialEq, Eq, Hash)]
struct Node {
    holder: Holder,
    read: usize,
    paused: bool,
    crashed: bool,
    /// An order that was checked but not written yet, and when it was checked.
    checked: Option<(Millis, Order)>,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct State {
    now: Millis,
    log: Vec<Lease>,
    nodes: [Node; 2],
    pauses: u8,
    losses: u8,
    crashes: u8,
    /// The highest fencing token of an order that the endpoint received.
    fence: u64,
    stale: bool,
    orders: u8,
}

fn wanted() -> DesiredState {
    DesiredState {
        layers: None,
        version: Some("v2".into()),
        adapters: Vec::new(),
        role: None,
    }
}

fn holder(index: usize, fencing: bool) -> Holder {
    let vm = Vm::from(format!("vm-{index}"));
    let mut holder = Holder::new(EndpointName::from("engine"), fencing, vm, 1);
    holder.set_elected(true);
    holder.set_wanted(Some(wanted()));
    holder
}

fn initial_state(fencing: bool) -> State {
    let node = |index| Node {
        holder: holder(index, fencing),
        read: 0,
        paused: false,
        crashed: false,
        checked: None,
    };
    State {
        now: Millis::seconds(100),
        log: Vec::new(),
        nodes: [node(0), node(1)],
        pauses: 1,
        losses: 1,
        crashes: 1,
        fence: 0,
        stale: false,
        orders: 0,
    }
}

impl State {
    /// Lets a VM read the log and perform its actions; with `lose`, the answer to its append is
    /// lost.
    fn act(&mut self, index: usize, lose: bool) {
        let now = self.now;
        let node = &mut self.nodes[index];
        for (offset, lease) in self.log.iter().enumerate().skip(node.read) {
            node.holder.fold(now, offset as u64 + 1, lease.clone());
        }
        node.read = self.log.len();
        let mut actions = Vec::new();
        node.holder.tick(now, &mut actions);
        for action in actions {
            match action {
                Action::AppendLease(lease) => self.log.push(lease),
                Action::SendOrder(order) if node.holder.may_send(now, &order) => {
                    node.checked = Some((now, order));
                }
                Action::SendOrder(_) => {}
            }
        }
        if lose {
            node.holder.record_lost_append();
        }
    }

    /// Writes the order that was checked. An endpoint with `fencing` refuses an outdated token;
    /// without it, the order counts as stale.
    fn write(&mut self, index: usize, fencing: bool) {
        let Some((_, order)) = self.nodes[index].checked.take() else {
            return;
        };
        if order.fence < self.fence {
            self.stale |= !fencing;
            self.nodes[index]
                .holder
                .record_outcome(order.fence, OrderOutcome::Refused);
            return;
        }
        self.fence = order.fence;
        self.orders = self.orders.saturating_add(1).min(2);
    }

    /// Returns the possible next states. If `bounded`, a checked order is written before
    /// [`MAX_ORDER_DELAY`] has passed.
    fn successors(&self, fencing: bool, bounded: bool) -> Vec<Self> {
        let mut out = Vec::new();
        for index in 0..2 {
            let node = &self.nodes[index];
            let mut add = |change: &dyn Fn(&mut Self)| {
                let mut next = self.clone();
                change(&mut next);
                out.push(next);
            };
            if node.crashed {
                continue;
            }
            if node.checked.is_some() {
                add(&|s| s.write(index, fencing));
            }
            if node.paused {
                add(&|s| s.nodes[index].paused = false);
                continue;
            }
            if node.checked.is_none() {
                add(&|s| s.act(index, false));
                if self.losses > 0 {
                    add(&|s| {
                        s.losses -= 1;
                        s.act(index, true);
                    });
                }
            }
            if self.pauses > 0 {
                add(&|s| {
                    s.pauses -= 1;
                    s.nodes[index].paused = true;
                });
            }
            if self.crashes > 0 {
                add(&|s| {
                    s.crashes -= 1;
                    s.nodes[index].crashed = true;
                    s.nodes[index].checked = None;
                });
            }
        }
        let late = |node: &Node| {
            node.checked
                .as_ref()
                .is_some_and(|(at, _)| self.now + STEP > *at + MAX_ORDER_DELAY)
        };
        let must_write = bounded && self.nodes.iter().any(late);
        if !must_write && self.now < Millis::seconds(100) + END {
            let mut next = self.clone();
            next.now += STEP;
            out.push(next);
        }
        out
    }
}

/// Searches all states. Returns how many there are, whether a stale order was written in one, and
/// whether orders of a second lease were written in one.
fn search(fencing: bool, bounded: bool) -> (usize, bool, bool) {
    let mut seen = HashSet::new();
    let mut open = vec![initial_state(fencing)];
    let (mut stale, mut both) = (false, false);
    while let Some(state) = open.pop() {
        if state.log.len() > 3 || !seen.insert(state.clone()) {
            continue;
        }
        stale |= state.stale;
        both |= state.fence > 1 && state.orders > 1;
        open.extend(state.successors(fencing, bounded));
    }
    (seen.len(), stale, both)
}

#[test]
fn no_stale_order_within_the_delay_bound() {
    let (states, stale, both) = search(false, true);
    println!("unfenced, bounded: {states} states");
    assert!(!stale);
    assert!(both, "the search reaches orders of a second lease");
}

#[test]
fn endpoint_with_fencing_needs_no_delay_bound() {
    let (states, stale, both) = search(true, false);
    println!("fenced, unbounded: {states} states");
    assert!(!stale);
    assert!(both, "the search reaches orders of a second lease");
}

#[test]
fn search_finds_a_stale_order_without_the_delay_bound() {
    let (states, stale, _) = search(false, false);
    println!("unfenced, unbounded: {states} states");
    assert!(
        stale,
        "without the bound, a pause lets a stale order through"
    );
}

#[test]
fn order_is_repeated_until_the_wanted_state_runs() {
    let mut state = initial_state(false);
    state.act(0, false);
    state.act(0, false);
    assert!(state.nodes[0].checked.take().is_some());
    state.now += STEP;
    state.act(0, false);
    assert!(
        state.nodes[0].checked.take().is_some(),
        "the order is repeated"
    );
    state.nodes[0].holder.record_running(wanted());
    state.now += STEP;
    state.act(0, false);
    assert!(state.nodes[0].checked.is_none());
}

#[test]
fn expired_lease_allows_no_orders() {
    let mut state = initial_state(false);
    state.act(0, false);
    state.act(0, false);
    let (_, order) = state.nodes[0].checked.take().expect("an order");
    state.now += LEASE_DURATION;
    assert!(!state.nodes[0].holder.may_send(state.now, &order));
    assert!(!state.nodes[0].holder.holds(state.now));
}
