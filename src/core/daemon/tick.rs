//! What is due as time passes.

use crate::clock::Millis;
use crate::core::config::publish;
use crate::core::once;

use super::Core;
use super::action::Action;

impl Core {
    /// Does what is due. Called every [`crate::consts::TICK_INTERVAL`].
    pub(super) fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.note_gap(now);
        self.members.set_load(self.open.len() as u32);
        let mut actions = Vec::new();
        self.members.tick(now, &mut actions);
        self.membership(now, actions, out);
        self.regroup(now, out);
        let mut actions = Vec::new();
        let reach = self.members.reach(now);
        self.sync.tick(now, reach, &mut actions);
        self.synced(now, actions, out);
        self.publisher(now, publish::Event::Tick, out);
        self.once(now, once::Event::Tick, out);
        let mut actions = Vec::new();
        self.gate.tick(now, &mut actions);
        self.gated(now, actions, out);
        let mut actions = Vec::new();
        self.sessions.tick(now, &mut actions);
        self.sessions_out(now, actions, out);
        self.unpark(now, out);
        self.tell_suspects(now, out);
        self.share(now, out);
        self.snapshot_if_due(now, out);
        self.exit_if_due(now, out);
    }
}
