//! Start-time fair queueing over teams, within priority classes.
//!
//! Each request gets a start tag: the later of the class's virtual time and its team's last finish
//! tag. The request with the least start tag goes first. So teams with queued requests share the
//! capacity in proportion to their weights, and get what idle teams don't use. State is kept only
//! for teams with queued requests, or with a finish tag ahead of the virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use super::Request;
use super::RequestId;
use crate::core::config::object::Priority;
use crate::names::Team;

/// The tag units per token step, so that the division by a weight loses little precision.
const TAG_UNIT: u64 = 1024;
/// How often a waiting class may be skipped before it is served: urgent, normal, batch. This keeps
/// the lower classes from starving.
const MAX_SKIPS: [u32; CLASS_COUNT] = [u32::MAX, 8, 16];
/// The factor by which the typical weight of waiting teams decays per tick. The slow decay keeps
/// teams in the estimates that wait only now and then.
const TYPICAL_DECAY: f64 = 0.995;
const CLASS_COUNT: usize = 3;

#[derive(Clone, Debug)]
struct Waiting {
    start_tag: u64,
    request: Request,
}

/// The queued requests of one team in one class.
#[derive(Clone, Debug, Default)]
struct TeamQueue {
    finish_tag: u64,
    weight: u64,
    queued_cost: u64,
    requests: VecDeque<Waiting>,
}

/// The queued requests of one priority class.
#[derive(Clone, Debug, Default)]
struct Class {
    virtual_time: u64,
    /// The total cost of the queued requests.
    queued_cost: u64,
    /// How often the class was skipped in a row while it had queued requests.
    skips: u32,
    teams: BTreeMap<Team, TeamQueue>,
    /// The start tag of the first request of each team that has any.
    heads: BTreeSet<(u64, Team)>,
    /// The total weight of the teams with queued requests.
    waiting_weight: u64,
    /// The recent maximum of `waiting_weight`, decaying slowly.
    typical_weight: f64,
}

impl Class {
    fn push(&mut self, request: Request) {
        let queue = self.teams.entry(request.team.clone()).or_default();
        let start_tag = queue.finish_tag.max(self.virtual_time);
        let cost = u64::from(request.cost.max(1));
        queue.finish_tag = start_tag + charge(&request);
        if queue.requests.is_empty() {
            self.heads.insert((start_tag, request.team.clone()));
            queue.weight = u64::from(request.weight.max(1));
            self.waiting_weight += queue.weight;
            self.typical_weight = self.typical_weight.max(self.waiting_weight as f64);
        }
        queue.queued_cost += cost;
        self.queued_cost += cost;
        queue.requests.push_back(Waiting { start_tag, request });
    }

    fn pop(&mut self) -> Option<Request> {
        let (start_tag, team) = self.heads.first()?.clone();
        self.virtual_time = self.virtual_time.max(start_tag);
        self.remove_at(&team, 0)
    }

    /// Removes the request at a position in a team's queue.
    fn remove_at(&mut self, team: &Team, position: usize) -> Option<Request> {
        let queue = self.teams.get_mut(team)?;
        let head = queue.requests.front()?.start_tag;
        let taken = queue.requests.remove(position)?.request;
        let cost = u64::from(taken.cost.max(1));
        queue.queued_cost -= cost;
        self.queued_cost -= cost;
        self.heads.remove(&(head, team.clone()));
        match queue.requests.front() {
            Some(next) => {
                self.heads.insert((next.start_tag, team.clone()));
            }
            None => self.waiting_weight -= queue.weight,
        }
        Some(taken)
    }

    /// Removes a request that was not served, and refunds its charge to the team.
    fn withdraw(&mut self, team: &Team, id: RequestId) -> Option<Request> {
        let position = self.find(team, id)?;
        let queue = self.teams.get_mut(team)?;
        let refund = charge(&queue.requests[position].request);
        queue.finish_tag -= refund;
        for later in queue.requests.iter_mut().skip(position + 1) {
            later.start_tag -= refund;
        }
        self.remove_at(team, position)
    }

    fn find(&self, team: &Team, id: RequestId) -> Option<usize> {
        let queue = self.teams.get(team)?;
        queue.requests.iter().position(|one| one.request.id == id)
    }

    /// Returns the expected work ahead of a new request of a team: the team's queued work, and the
    /// shares that other teams get until that work is done. Their requests may arrive later, so
    /// their queued work is no upper bound; the typical weight of waiting teams is used instead.
    fn work_ahead(&self, team: &Team, weight: u32) -> f64 {
        let own = self.teams.get(team).map_or(0, |queue| queue.queued_cost) as f64;
        let weight = f64::from(weight.max(1));
        let waits = self
            .teams
            .get(team)
            .is_some_and(|queue| !queue.requests.is_empty());
        let others = self.typical_weight - if waits { weight } else { 0.0 };
        own * (1.0 + others.max(0.0) / weight)
    }

    /// Decays the typical weight, and drops teams that have no queued requests and no finish tag
    /// ahead of the virtual time.
    fn sweep(&mut self) {
        self.typical_weight = (self.typical_weight * TYPICAL_DECAY).max(self.waiting_weight as f64);
        let idle = self.teams.values().all(|queue| queue.requests.is_empty());
        let virtual_time = self.virtual_time;
        self.teams.retain(|_, queue| {
            !queue.requests.is_empty() || (!idle && queue.finish_tag > virtual_time)
        });
    }
}

/// The queued requests of one service, by priority class and team.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    classes: [Class; CLASS_COUNT],
    index: BTreeMap<RequestId, (Priority, Team)>,
}

impl FairQueue {
    /// Adds a request behind the others of its team and class.
    pub fn push(&mut self, request: Request) {
        self.index
            .insert(request.id, (request.priority, request.team.clone()));
        self.classes[class_index(request.priority)].push(request);
    }

    /// Removes and returns the request that is next in order.
    pub fn pop(&mut self) -> Option<Request> {
        let chosen = self.next_class()?;
        for (at, class) in self.classes.iter_mut().enumerate() {
            let waits = class.queued_cost > 0;
            class.skips = if at != chosen && waits {
                class.skips + 1
            } else {
                0
            };
        }
        let request = self.classes[chosen].pop()?;
        self.index.remove(&request.id);
        Some(request)
    }

    /// Returns the class to serve next: one that was skipped too often, else the most urgent.
    fn next_class(&self) -> Option<usize> {
        let waits = |&at: &usize| self.classes[at].queued_cost > 0;
        let starved = |&at: &usize| waits(&at) && self.classes[at].skips >= MAX_SKIPS[at];
        let overdue = (0..CLASS_COUNT).rev().find(starved);
        overdue.or_else(|| (0..CLASS_COUNT).find(waits))
    }

    /// Removes a request from any position in the queue, and refunds its charge to its team.
    pub fn remove(&mut self, id: RequestId) -> Option<Request> {
        let (priority, team) = self.index.remove(&id)?;
        self.classes[class_index(priority)].withdraw(&team, id)
    }

    /// Returns the expected work ahead of a new request, in token steps.
    #[must_use]
    pub fn work_ahead(&self, request: &Request) -> f64 {
        let class = class_index(request.priority);
        let more_urgent: u64 = self.classes[..class]
            .iter()
            .map(|class| class.queued_cost)
            .sum();
        more_urgent as f64 + self.classes[class].work_ahead(&request.team, request.weight)
    }

    /// Returns how many requests are queued.
    #[must_use]
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns whether no requests are queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Returns how many teams state is kept for, counted once per class.
    #[must_use]
    pub fn teams(&self) -> usize {
        self.classes.iter().map(|class| class.teams.len()).sum()
    }

    /// Drops the state of teams that no longer affects the order. Called once per tick.
    pub fn sweep(&mut self) {
        self.classes.iter_mut().for_each(Class::sweep);
    }
}

/// Returns how far a request advances its team's finish tag.
fn charge(request: &Request) -> u64 {
    u64::from(request.cost.max(1)) * TAG_UNIT / u64::from(request.weight.max(1))
}

fn class_index(priority: Priority) -> usize {
    match priority {
        Priority::Urgent => 0,
        Priority::Normal => 1,
        Priority::Batch => 2,
    }
}
