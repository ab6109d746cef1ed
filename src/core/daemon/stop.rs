//! Graceful shutdown.
//!
//! A stopping VM is removed from the address lists at once. It still serves callers that hold an
//! older list, until that list has expired and the last request has ended.

use std::sync::Arc;

use crate::clock::Millis;
use crate::consts::ADDRESS_TTL;

use super::Core;
use super::action::Action;
use super::action::LogEvent;

/// How long it may take until all VMs have removed this one from their address lists.
const SPREAD_TIMEOUT: Millis = Millis::seconds(2);
/// The gap between two ticks from which the daemon counts as paused.
const PAUSE_THRESHOLD: Millis = Millis(500);
/// How long a daemon keeps running after a pause, to serve the calls that arrived during it.
const RESUME_GRACE: Millis = Millis::seconds(1);

impl Core {
    pub(super) fn stop(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.exit_at.is_some() {
            return;
        }
        self.exit_at = Some(now + ADDRESS_TTL + SPREAD_TIMEOUT);
        let subject = Arc::from(self.me.vm.as_str());
        out.push(Action::Log(LogEvent {
            event: "stopping",
            subject,
        }));
        let mut actions = Vec::new();
        self.members.leave(now, &mut actions);
        self.apply_member_actions(now, actions, out);
    }

    /// Delays the exit after a pause of the daemon, because calls that arrived during it are still
    /// unread.
    pub(super) fn extend_after_pause(&mut self, now: Millis) {
        let paused = now.since(self.last_tick) >= PAUSE_THRESHOLD;
        self.last_tick = now;
        if let Some(at) = self.exit_at.filter(|_| paused) {
            self.exit_at = Some(at.max(now + RESUME_GRACE));
        }
    }

    pub(super) fn exit_if_due(&self, now: Millis, out: &mut Vec<Action>) {
        let due = self.exit_at.is_some_and(|at| now >= at);
        if due
            && self.requests.is_empty()
            && self.pending_replies.is_empty()
            && self.sessions.is_empty()
        {
            out.push(Action::Exit);
        }
    }
}
