//! The periodic work: pings, indirect probes, suspicions and declaring daemons dead.

use rand::RngExt;

use super::Action;
use super::Members;
use super::message::Body;
use super::message::Rumour;
use super::message::Status;
use super::probe::Cause;
use super::probe::Probe;
use crate::clock::Millis;
use crate::names::Vm;

/// The interval between two pings that a daemon sends.
pub const PING_SPAN: Millis = Millis(333);
/// How long a suspected daemon has to refute the suspicion before it is declared dead.
pub const SUSPECT_SPAN: Millis = Millis::seconds(4);
/// The least gap between two ticks that counts as a pause of this daemon.
pub const WAKE_SPAN: Millis = Millis(1500);
/// The least interval between two gossip rounds.
const GOSSIP_SPAN: Millis = Millis(100);
/// The interval between two computations of [`super::Reach`].
const REACH_SPAN: Millis = Millis(200);
/// How many peers get a gossip round, and how many are asked for an indirect probe.
const FANOUT: usize = 3;
/// How many successors on the ring a daemon watches.
const WATCHED: u64 = 2;
/// One random ping in this many goes to a daemon not believed to run, so that the parts of a
/// partitioned fleet find each other again.
const DEAD_PING_RATIO: u64 = 4;

impl Members {
    /// Runs the periodic work that is due. Called every [`crate::consts::TICK_INTERVAL`].
    pub fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.last_tick.is_none() {
            self.refreshing = Some(now);
        }
        if self.was_paused(now) {
            self.resume(now, actions);
        }
        self.last_tick = Some(now);
        self.end_probes(now, actions);
        self.end_suspicions(now, actions);
        if now.since(self.last_ping) >= PING_SPAN {
            self.last_ping = now;
            self.ping_next(now, actions);
        }
        if self.own_repeats > 0 || self.table.has_pending() {
            self.gossip(now, actions);
        }
        if now.since(self.reach_checked) >= REACH_SPAN {
            self.reach_checked = now;
            self.reach = self.compute_reach(now);
        }
    }

    /// Restarts failure detection after a pause of this daemon, which could not receive answers.
    fn resume(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.probes.clear();
        self.refreshing = Some(now);
        self.me.incarnation += 1;
        self.own_repeats = super::OWN_REPEATS;
        for since in self.suspects.values_mut() {
            *since = now;
        }
        actions.push(Action::Resumed);
        self.gossip(now, actions);
    }

    fn end_probes(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for probe in self.probes.expire(now) {
            match probe.cause {
                Cause::Watch => self.ask_peers(now, probe, actions),
                Cause::Indirect => self.suspect(now, &probe, actions),
                Cause::OnBehalf { .. } => {}
            }
        }
    }

    fn ask_peers(&mut self, now: Millis, probe: Probe, actions: &mut Vec<Action>) {
        let vm = probe.target.clone();
        let live = self.table.get(&vm).is_some_and(super::Entry::is_live);
        if !live {
            return;
        }
        let n = self.probes.start(Probe {
            cause: Cause::Indirect,
            sent: now,
            ..probe
        });
        for helper in self.random_peers(FANOUT, &vm) {
            let vm = vm.clone();
            self.send(now, &helper, Body::Probe { n, vm }, actions);
        }
        self.send(now, &vm, Body::Ping { n }, actions);
    }

    fn suspect(&mut self, now: Millis, probe: &Probe, actions: &mut Vec<Action>) {
        let Some(entry) = self.table.get(&probe.target) else {
            return;
        };
        if entry.rumour.member.boot != probe.boot || !entry.is_live() {
            return;
        }
        let rumour = Rumour {
            status: Status::Suspect,
            ..entry.rumour.clone()
        };
        self.accept(now, rumour, actions);
    }

    fn end_suspicions(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let over: Vec<Vm> = self
            .suspects
            .iter()
            .filter(|(_, since)| now.since(**since) >= SUSPECT_SPAN)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in over {
            let Some(entry) = self.table.get(&vm) else {
                continue;
            };
            let rumour = Rumour {
                status: Status::Gone,
                ..entry.rumour.clone()
            };
            self.accept(now, rumour, actions);
        }
    }

    /// Pings the watched successors and a random daemon in turn, one per call.
    fn ping_next(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.slot += 1;
        let turn = self.slot % (WATCHED + 1);
        let target = if turn < WATCHED {
            self.table.successor(&self.me.member.vm, turn as usize)
        } else {
            None
        };
        let target = target.or_else(|| self.random_target());
        if let Some(vm) = target {
            self.ping(now, &vm, Cause::Watch, actions);
        }
    }

    /// Pings a daemon, and asks for its whole view while this daemon refreshes its own.
    pub(super) fn ping(&mut self, now: Millis, vm: &Vm, cause: Cause, actions: &mut Vec<Action>) {
        let Some(entry) = self.table.get(vm) else {
            return;
        };
        let boot = entry.rumour.member.boot;
        let n = self.probes.start(Probe {
            target: vm.clone(),
            boot,
            cause,
            sent: now,
        });
        self.send(now, vm, Body::Ping { n }, actions);
        if self.refreshing.is_some() {
            self.send(now, vm, Body::Hello, actions);
        }
    }

    /// Sends pending rumours and this daemon's own status to a few random peers.
    pub(super) fn gossip(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if now.since(self.last_gossip) < GOSSIP_SPAN {
            return;
        }
        self.last_gossip = now;
        self.own_repeats = self.own_repeats.saturating_sub(1);
        let nobody = self.me.member.vm.clone();
        for vm in self.random_peers(FANOUT, &nobody) {
            self.send(now, &vm, Body::Gossip, actions);
        }
    }

    fn random_peers(&mut self, count: usize, except: &Vm) -> Vec<Vm> {
        let mut out: Vec<Vm> = Vec::new();
        for _ in 0..count * 2 {
            if let Some(vm) = self.random_live()
                && vm != *except
                && !out.contains(&vm)
                && out.len() < count
            {
                out.push(vm);
            }
        }
        out
    }

    pub(super) fn random_live(&mut self) -> Option<Vm> {
        let ring = self.table.ring();
        if ring.is_empty() {
            return None;
        }
        let spot = self.rng.random_range(0..ring.len());
        Some(ring[spot].1.clone())
    }

    fn random_target(&mut self) -> Option<Vm> {
        let dead_turn = (self.slot / (WATCHED + 1)).is_multiple_of(DEAD_PING_RATIO);
        if dead_turn || self.table.ring().is_empty() {
            let dead = self.random_dead();
            return dead.or_else(|| self.random_live());
        }
        self.random_live()
    }

    fn random_dead(&mut self) -> Option<Vm> {
        let dead: Vec<&Vm> = self
            .table
            .values()
            .filter(|entry| !entry.is_live())
            .map(super::vm_of)
            .collect();
        if dead.is_empty() {
            return None;
        }
        let spot = self.rng.random_range(0..dead.len());
        Some(dead[spot].clone())
    }
}
