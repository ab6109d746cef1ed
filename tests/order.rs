//! The lease of an endpoint's orders: every interleaving of two VMs, a pause, a lost answer and a
//! crash, by depth-first search over the real functions.

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

/// The step of time in the search. A paused VM sends what it had checked when it wakes.
const STEP: Millis = Millis::seconds(5);
/// The search ends when the second lease has been waited for and used.
const END: Millis = Millis::seconds(30);

#[derive(Clone, PartialEq, Eq, Hash)]
struct Node {
    holder: Holder,
    read: usize,
    paused: bool,
    crashed: bool,
    /// An order that was checked at a time and not written yet.
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
    /// The highest fencing number that the endpoint got an order with.
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

fn first(fencing: bool) -> State {
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
    /// Lets a VM read the log and act; `lose` says that the answer to its append is lost.
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

    /// Writes the order that was checked. A fenced endpoint refuses an old number.
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

    /// Returns the states that can follow. An order in hand is written within the pause bound
    /// unless `bounded` is false.
    fn following(&self, fencing: bool, bounded: bool) -> Vec<Self> {
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
        let held = bounded && self.nodes.iter().any(late);
        if !held && self.now < Millis::seconds(100) + END {
            let mut next = self.clone();
            next.now += STEP;
            out.push(next);
        }
        out
    }
}

/// Searches all states and returns how many there are, whether one was stale, and whether two
/// holders got orders through.
fn search(fencing: bool, bounded: bool) -> (usize, bool, bool) {
    let mut seen = HashSet::new();
    let mut open = vec![first(fencing)];
    let (mut stale, mut both) = (false, false);
    while let Some(state) = open.pop() {
        if state.log.len() > 3 || !seen.insert(state.clone()) {
            continue;
        }
        stale |= state.stale;
        both |= state.fence > 1 && state.orders > 1;
        open.extend(state.following(fencing, bounded));
    }
    (seen.len(), stale, both)
}

#[test]
fn no_old_order_after_a_new_one_within_the_pause_bound() {
    let (states, stale, both) = search(false, true);
    println!("unfenced, bounded: {states} states");
    assert!(!stale);
    assert!(both, "the search reaches orders of a second lease");
}

#[test]
fn fenced_endpoint_needs_no_pause_bound() {
    let (states, stale, both) = search(true, false);
    println!("fenced, unbounded: {states} states");
    assert!(!stale);
    assert!(both, "the search reaches orders of a second lease");
}

#[test]
fn search_finds_the_fault_without_the_pause_bound() {
    let (states, stale, _) = search(false, false);
    println!("unfenced, unbounded: {states} states");
    assert!(
        stale,
        "a pause beyond the bound is the one thing that remains possible"
    );
}

#[test]
fn order_is_repeated_until_what_runs_is_what_is_wanted() {
    let mut state = first(false);
    state.act(0, false);
    state.act(0, false);
    assert!(state.nodes[0].checked.take().is_some());
    state.now += STEP;
    state.act(0, false);
    assert!(state.nodes[0].checked.take().is_some(), "asserted again");
    state.nodes[0].holder.record_running(wanted());
    state.now += STEP;
    state.act(0, false);
    assert!(state.nodes[0].checked.is_none());
}

#[test]
fn pause_past_the_lease_ends_it() {
    let mut state = first(false);
    state.act(0, false);
    state.act(0, false);
    let (_, order) = state.nodes[0].checked.take().expect("an order");
    state.now += LEASE_DURATION;
    assert!(!state.nodes[0].holder.may_send(state.now, &order));
    assert!(!state.nodes[0].holder.holds(state.now));
}
