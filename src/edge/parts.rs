//! Parts of prompts that crash the endpoints that begin to answer on them: what this VM sees, what
//! it tells other VMs, and whether a request may run (docs/operators/barred-requests.md).

use std::cell::Cell;

use super::bars;
use super::context::RequestContext;
use super::state::Edge;
use crate::clock::Millis;
use crate::core::poison::PartCrash;
use crate::core::poison::PartDigest;
use crate::core::poison::PartRecord;
use crate::core::poison::PartTable;
use crate::core::poison::home_of;
use crate::names::Vm;

/// The most changed records in one message, which keeps it small.
const MAX_NEWS: usize = 6;

/// Returns the first part of a request's prompt that is barred, and for how long.
pub fn find_barred(edge: &Edge, ctx: &RequestContext) -> Option<(PartDigest, Millis)> {
    let now = edge.now();
    edge.parts(|table| {
        let mut parts = ctx.parts.iter();
        parts.find_map(|part| Some((*part, table.barred_for(now, *part)?)))
    })
}

/// Lets a request with a barred part run once to find out whether the part is guilty, if a trial is due.
pub fn begin_trial(edge: &Edge, ctx: &RequestContext, part: PartDigest) -> Option<Trial> {
    let now = edge.now();
    if !is_home(edge, part) || !edge.parts(|table| table.begin_trial(now, part)) {
        return None;
    }
    log::info!(id = ctx.id, part:% = part; "part_tried");
    Some(Trial {
        edge: edge.clone(),
        part,
        is_sent: Cell::new(false),
    })
}

/// The trial of a barred part, given back if it is dropped before its request was sent.
#[derive(Debug)]
pub struct Trial {
    edge: Edge,
    part: PartDigest,
    is_sent: Cell<bool>,
}

impl Trial {
    /// Records that the trial's request was sent, so that it may have run.
    pub fn record_sent(&self) {
        self.is_sent.set(true);
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        if !self.is_sent.get() {
            self.edge.parts(|table| table.return_trial(self.part));
        }
    }
}

/// Returns whether this VM is the first in the ranking for a part, among the VMs that it hears of.
fn is_home(edge: &Edge, part: PartDigest) -> bool {
    let now = edge.now();
    let me = &edge.settings().vm;
    let mut vms: Vec<Vm> = edge.fleet(|fleet| fleet.alive(now).map(|m| m.vm.clone()).collect());
    vms.push(me.clone());
    home_of(part.key(), &vms) == Some(me)
}

/// Records that an endpoint crashed right after it began to answer a request with these parts.
pub fn record_crash(edge: &Edge, parts: &[PartDigest], crash: &PartCrash) {
    let now = edge.now();
    edge.parts(|table| table.record_crash(now, parts, crash));
    report_changes(edge, "self");
}

/// Records that a run of a request survived its start.
pub fn record_survival(edge: &Edge, ctx: &RequestContext) {
    if ctx.parts.is_empty() {
        return;
    }
    let now = edge.now();
    edge.parts(|table| table.record_survival(now, &ctx.parts));
    report_changes(edge, "self");
}

/// Merges the records of a `source`: another VM or the store.
pub fn receive(edge: &Edge, records: Vec<PartRecord>, source: &str) {
    let now = edge.now();
    edge.parts(|table| table.merge(now, records));
    report_changes(edge, source);
}

/// Returns the records for the next message to other VMs.
pub fn next_records(edge: &Edge) -> Vec<PartRecord> {
    edge.parts(|table| table.next_records(MAX_NEWS))
}

/// Removes expired records.
pub fn expire(edge: &Edge) {
    let now = edge.now();
    edge.parts(|table| table.expire(now));
    report_changes(edge, "self");
}

/// Logs the bars that began and ended, writes them to the store, and has other VMs told.
fn report_changes(edge: &Edge, source: &str) {
    let now = edge.now();
    let changes = edge.parts(PartTable::take_changes);
    for (part, bar) in changes.begun {
        let wait = bar.until.since(now);
        log::warn!(part:% = part, source, crashes = bar.crashes, certain = bar.is_certain, ms = wait.0; "part_barred");
        edge.metrics().count_part_bar();
        if source == "self" || source == "peer" && is_home(edge, part) {
            monoio::spawn(bars::publish_part(edge.clone(), part));
        }
    }
    for part in changes.ended {
        log::info!(part:% = part, source; "part_bar_ended");
        if source == "self" || is_home(edge, part) {
            monoio::spawn(bars::withdraw_part(edge.clone(), part));
        }
    }
    if edge.parts(|table| table.has_news()) {
        edge.trigger_gossip();
    }
}
