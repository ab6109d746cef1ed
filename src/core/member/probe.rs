//! Pings that wait for an answer.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::names::Vm;

/// How long to wait for the answer to a direct ping.
pub const DIRECT_SPAN: Millis = Millis(300);
/// How long to wait for the answer to an indirect ping, which peers send for this daemon.
pub const INDIRECT_SPAN: Millis = Millis(500);

/// Why a ping was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Cause {
    /// Regular failure detection.
    Watch,
    /// The daemon did not answer a direct ping, so peers were asked to ping it too.
    Indirect,
    /// A peer asked this daemon to ping the target.
    OnBehalf {
        /// The peer that asked.
        requester: Vm,
        /// The peer's number for the probe.
        number: u64,
    },
}

/// A ping that was not answered yet.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    /// The daemon that was pinged.
    pub(super) target: Vm,
    /// The target's boot when the ping was sent; 0 if unknown.
    pub(super) boot: u64,
    /// Decides what happens on an answer or a timeout.
    pub(super) cause: Cause,
    /// When the ping was sent. The content of an answer was true at this time or later.
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

/// The probes in progress. Their number is bounded by the ping rate and the timeouts above.
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

    /// Removes and returns a probe that was answered.
    pub(super) fn finish(&mut self, number: u64) -> Option<Probe> {
        self.open.remove(&number)
    }

    /// Returns a probe in progress.
    pub(super) fn get(&self, number: u64) -> Option<&Probe> {
        self.open.get(&number)
    }

    /// Removes and returns the probes that timed out.
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

    /// Drops all probes. After a pause of this daemon, a missing answer does not mean that the
    /// target failed.
    pub(super) fn clear(&mut self) {
        self.open.clear();
    }
}
