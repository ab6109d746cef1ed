//! Work that is due at a timer tick.

use crate::clock::Millis;
use crate::core::config::publish;
use crate::core::once;

use super::Core;
use super::action::Action;

impl Core {
    /// Runs the timers of all modules. Called every [`crate::consts::TICK_INTERVAL`].
    pub(super) fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.extend_after_pause(now);
        self.members.set_load(self.requests.len() as u32);
        let mut actions = Vec::new();
        self.members.tick(now, &mut actions);
        self.apply_member_actions(now, actions, out);
        self.update_peers(now, out);
        let mut actions = Vec::new();
        let reach = self.members.reach(now);
        self.sync.tick(now, reach, &mut actions);
        self.apply_sync_actions(now, actions, out);
        self.step_publisher(now, publish::Event::Tick, out);
        self.step_once(now, once::Event::Tick, out);
        let mut actions = Vec::new();
        self.limiter.tick(now, &mut actions);
        self.apply_limiter_actions(now, actions, out);
        let mut actions = Vec::new();
        self.sessions.tick(now, &mut actions);
        self.apply_session_actions(now, actions, out);
        self.retry_chains(now, out);
        self.share_suspects(now, out);
        self.share_load(now, out);
        self.snapshot_if_due(now, out);
        self.exit_if_due(now, out);
    }
}
