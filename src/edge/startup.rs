//! What a VM gets after its start, and when: what it lacked until it served shows why it was late.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;

use derive_more::Display;

use super::state::Edge;

/// Something that a VM needs to serve callers as well as the others do.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// A configuration.
    #[display("config")]
    Config,
    /// A list of endpoints.
    #[display("endpoints")]
    Endpoints,
    /// A message of another VM.
    #[display("peer")]
    Peer,
    /// The store's list of VMs.
    #[display("vms")]
    Vms,
    /// The load of the other VMs.
    #[display("load")]
    Load,
    /// It is ready, so that callers are sent to it.
    #[display("ready")]
    Ready,
    /// It answered a request with success.
    #[display("answer")]
    Answer,
}

/// The steps that a VM has made since its start.
#[derive(Debug, Default)]
pub struct Startup {
    made: RefCell<BTreeSet<Step>>,
    calls: Cell<u32>,
    failed: Cell<u32>,
}

impl Startup {
    /// Counts a call to the store.
    pub fn count_call(&self, is_answered: bool) {
        self.calls.set(self.calls.get().saturating_add(1));
        if !is_answered {
            self.failed.set(self.failed.get().saturating_add(1));
        }
    }
}

/// Records that this VM has made a step; the first time is logged, with the calls to the store that were
/// made until then.
pub fn record(edge: &Edge, step: Step, source: &'static str) {
    let startup = edge.startup();
    if !startup.made.borrow_mut().insert(step) {
        return;
    }
    let span = edge.uptime();
    let (calls, failed) = (startup.calls.get(), startup.failed.get());
    log::info!(step:% = step, source, ms = span.0, calls, failed; "startup");
    edge.metrics().record_startup(&step.to_string(), span);
}
