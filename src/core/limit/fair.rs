//! Fair order: start-time fair queueing over teams, within priority classes.
//!
//! Each request gets a start tag: the later of the class's virtual time and its team's last finish
//! tag. The least start tag goes first, so teams that wait share in proportion to their weights,
//! and what an idle team leaves goes to the others. Only teams with waiting requests, or with a
//! finish tag still ahead of the virtual time, hold state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use super::Ask;
use super::RequestId;
use crate::core::config::object::Priority;
use crate::names::Team;

/// A unit of work in the tags, so that weights divide it finely.
const TAG_UNIT: u64 = 1024;
/// A class that waits is served after it was passed over this often: normal, then batch.
const PASSES: [u32; CLASSES] = [u32::MAX, 8, 16];
/// The weight of the teams that wait is remembered, less this factor each tick: teams that wait
/// now and then count in the estimates also while they do not.
const USUAL_KEPT: f64 = 0.995;
/// The number of priority classes.
const CLASSES: usize = 3;

#[derive(Clone, Debug)]
struct Waiting {
    start: u64,
    ask: Ask,
}

/// The waiting requests of one team in one class.
#[derive(Clone, Debug, Default)]
struct Line {
    finish: u64,
    weight: u64,
    cost: u64,
    asks: VecDeque<Waiting>,
}

/// The waiting requests of one priority class.
#[derive(Clone, Debug, Default)]
struct Class {
    time: u64,
    cost: u64,
    passed: u32,
    lines: BTreeMap<Team, Line>,
    heads: BTreeSet<(u64, Team)>,
    weights: u64,
    usual: f64,
}

impl Class {
    fn push(&mut self, ask: Ask) {
        let line = self.lines.entry(ask.team.clone()).or_default();
        let start = line.finish.max(self.time);
        let cost = u64::from(ask.cost.max(1));
        line.finish = start + charge(&ask);
        if line.asks.is_empty() {
            self.heads.insert((start, ask.team.clone()));
            line.weight = u64::from(ask.weight.max(1));
            self.weights += line.weight;
            self.usual = self.usual.max(self.weights as f64);
        }
        line.cost += cost;
        self.cost += cost;
        line.asks.push_back(Waiting { start, ask });
    }

    fn pop(&mut self) -> Option<Ask> {
        let (start, team) = self.heads.first()?.clone();
        self.time = self.time.max(start);
        self.take(&team, 0)
    }

    /// Takes the request at a place in a team's line.
    fn take(&mut self, team: &Team, place: usize) -> Option<Ask> {
        let line = self.lines.get_mut(team)?;
        let head = line.asks.front()?.start;
        let taken = line.asks.remove(place)?.ask;
        let cost = u64::from(taken.cost.max(1));
        line.cost -= cost;
        self.cost -= cost;
        self.heads.remove(&(head, team.clone()));
        match line.asks.front() {
            Some(next) => {
                self.heads.insert((next.start, team.clone()));
            }
            None => self.weights -= line.weight,
        }
        Some(taken)
    }

    /// Takes out a request that was not served; its team is not charged for it.
    fn give_up(&mut self, team: &Team, id: RequestId) -> Option<Ask> {
        let place = self.find(team, id)?;
        let line = self.lines.get_mut(team)?;
        let refund = charge(&line.asks[place].ask);
        line.finish -= refund;
        for later in line.asks.iter_mut().skip(place + 1) {
            later.start -= refund;
        }
        self.take(team, place)
    }

    fn find(&self, team: &Team, id: RequestId) -> Option<usize> {
        let line = self.lines.get(team)?;
        line.asks.iter().position(|one| one.ask.id == id)
    }

    /// Returns the work that goes before a new request of a team: its own and the shares of the
    /// others meanwhile. Those may arrive later, so what waits now is no upper bound.
    fn ahead(&self, team: &Team, weight: u32) -> f64 {
        let own = self.lines.get(team).map_or(0, |line| line.cost) as f64;
        let weight = f64::from(weight.max(1));
        let waits = self
            .lines
            .get(team)
            .is_some_and(|line| !line.asks.is_empty());
        let others = self.usual - if waits { weight } else { 0.0 };
        own * (1.0 + others.max(0.0) / weight)
    }

    /// Forgets teams that wait for nothing and whose finish tag has passed.
    fn sweep(&mut self) {
        self.usual = (self.usual * USUAL_KEPT).max(self.weights as f64);
        let idle = self.lines.values().all(|line| line.asks.is_empty());
        let time = self.time;
        self.lines
            .retain(|_, line| !line.asks.is_empty() || (!idle && line.finish > time));
    }
}

/// The waiting requests of one service.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    classes: [Class; CLASSES],
    index: BTreeMap<RequestId, (Priority, Team)>,
}

impl FairQueue {
    /// Adds a request.
    pub fn push(&mut self, ask: Ask) {
        self.index.insert(ask.id, (ask.priority, ask.team.clone()));
        self.classes[rank(ask.priority)].push(ask);
    }

    /// Takes the request whose turn it is.
    pub fn pop(&mut self) -> Option<Ask> {
        let chosen = self.turn()?;
        for (at, class) in self.classes.iter_mut().enumerate() {
            let waits = class.cost > 0;
            class.passed = if at != chosen && waits {
                class.passed + 1
            } else {
                0
            };
        }
        let ask = self.classes[chosen].pop()?;
        self.index.remove(&ask.id);
        Some(ask)
    }

    /// Returns the class whose turn it is: one passed over too often, else the most urgent.
    fn turn(&self) -> Option<usize> {
        let waits = |&at: &usize| self.classes[at].cost > 0;
        let starved = |&at: &usize| waits(&at) && self.classes[at].passed >= PASSES[at];
        let late = (0..CLASSES).rev().find(starved);
        late.or_else(|| (0..CLASSES).find(waits))
    }

    /// Takes out a request, wherever it waits.
    pub fn remove(&mut self, id: RequestId) -> Option<Ask> {
        let (priority, team) = self.index.remove(&id)?;
        self.classes[rank(priority)].give_up(&team, id)
    }

    /// Returns the work that goes before a new request.
    #[must_use]
    pub fn ahead(&self, ask: &Ask) -> f64 {
        let rank = rank(ask.priority);
        let above: u64 = self.classes[..rank].iter().map(|class| class.cost).sum();
        above as f64 + self.classes[rank].ahead(&ask.team, ask.weight)
    }

    /// Returns how many requests wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Returns how many teams hold state.
    #[must_use]
    pub fn teams(&self) -> usize {
        self.classes.iter().map(|class| class.lines.len()).sum()
    }

    /// Forgets teams that no longer matter.
    pub fn sweep(&mut self) {
        self.classes.iter_mut().for_each(Class::sweep);
    }
}

/// Returns how far a request moves its team's finish tag.
fn charge(ask: &Ask) -> u64 {
    u64::from(ask.cost.max(1)) * TAG_UNIT / u64::from(ask.weight.max(1))
}

fn rank(priority: Priority) -> usize {
    match priority {
        Priority::Urgent => 0,
        Priority::Normal => 1,
        Priority::Batch => 2,
    }
}
