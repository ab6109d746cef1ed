//! Stopping without cutting anybody off.
//!
//! A stopping VM leaves everybody's addresses at once, but serves whoever kept an answer that
//! names it, until that answer has lapsed and the last request is done.

use std::sync::Arc;

use crate::clock::Millis;
use crate::consts::ADDRESS_TTL;

use super::Core;
use super::action::Action;
use super::action::LogEvent;

/// How long news of the leaving may take to every VM that gives out addresses.
const SPREAD_SPAN: Millis = Millis::seconds(2);
/// A gap between two ticks from which on the daemon counts as having been paused.
const GAP_SPAN: Millis = Millis(500);
/// How long a daemon that was paused takes the calls that arrived meanwhile.
const WAKE_SPAN: Millis = Millis::seconds(1);

impl Core {
    pub(super) fn stop(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.stop.is_some() {
            return;
        }
        self.stop = Some(now + ADDRESS_TTL + SPREAD_SPAN);
        let subject = Arc::from(self.me.vm.as_str());
        out.push(Action::Note(LogEvent {
            event: "stopping",
            subject,
        }));
        let mut actions = Vec::new();
        self.members.leave(now, &mut actions);
        self.membership(now, actions, out);
    }

    /// Puts the exit off where the daemon was paused: calls that arrived meanwhile are unread yet.
    pub(super) fn note_gap(&mut self, now: Millis) {
        let paused = now.since(self.ticked) >= GAP_SPAN;
        self.ticked = now;
        if let Some(at) = self.stop.filter(|_| paused) {
            self.stop = Some(at.max(now + WAKE_SPAN));
        }
    }

    pub(super) fn exit_if_due(&self, now: Millis, out: &mut Vec<Action>) {
        let due = self.stop.is_some_and(|at| now >= at);
        if due && self.open.is_empty() && self.waiting.is_empty() && self.sessions.is_empty() {
            out.push(Action::Exit);
        }
    }
}
