//! Probes under way: who was asked when, and what to do when no answer came.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::names::Vm;

/// How long to wait for the answer to a direct ping.
pub const DIRECT_SPAN: Millis = Millis(300);
/// How long to wait for the answer that peers get on our behalf.
pub const INDIRECT_SPAN: Millis = Millis(500);

/// Why a ping was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Cause {
    /// To watch a daemon.
    Watch,
    /// A watched daemon did not answer; peers were asked to try.
    Indirect,
    /// A peer asked us to try, under its own number.
    OnBehalf {
        /// The peer.
        requester: Vm,
        /// Its number.
        number: u64,
    },
}

/// One ping without an answer yet.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    /// The daemon that was pinged.
    pub(super) target: Vm,
    /// The boot that was pinged.
    pub(super) boot: u64,
    /// Why.
    pub(super) cause: Cause,
    /// When the ping was sent; what an answer says was true at this time or later.
    pub(super) sent: Millis,
}

impl Probe {
    fn deadline(&self) -> Millis {
        match self.cause {
            Cause::Watch => self.sent + DIRECT_SPAN,
            Cause::Indirect | Cause::OnBehalf { .. } => self.sent + INDIRECT_SPAN,
        }
    }
}

/// The probes under way. Their number is bounded by the rate of pings and the spans above.
#[derive(Debug, Default)]
pub(super) struct Probes {
    last: u64,
    open: BTreeMap<u64, Probe>,
}

impl Probes {
    /// Starts a probe and returns its number.
    pub(super) fn start(&mut self, probe: Probe) -> u64 {
        self.last += 1;
        self.open.insert(self.last, probe);
        self.last
    }

    /// Ends a probe that was answered.
    pub(super) fn finish(&mut self, number: u64) -> Option<Probe> {
        self.open.remove(&number)
    }

    /// Returns a probe that is under way.
    pub(super) fn get(&self, number: u64) -> Option<&Probe> {
        self.open.get(&number)
    }

    /// Ends the probes that were not answered in time.
    pub(super) fn expire(&mut self, now: Millis) -> Vec<Probe> {
        let late: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, probe)| probe.deadline() <= now)
            .map(|(number, _)| *number)
            .collect();
        late.iter()
            .filter_map(|number| self.finish(*number))
            .collect()
    }

    /// Drops all probes, whose silence says nothing after a pause of our own.
    pub(super) fn clear(&mut self) {
        self.open.clear();
    }
}
