//! Start-time fair queueing over teams, within priority classes.
//!
//! Each request gets a start tag: the later of the class's virtual time and its team's last finish
//! tag. The request with the least start tag goes first. So teams with queued requests share the
//! capacity in proportion to their weights, and get what idle teams don't use. State is kept only
//! for teams with queued requests, or with a finish tag ahead of the virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::names::Team;

/// The tag units per token step, so that the division by a weight loses little precision.
const TAG_UNIT: u64 = 1024;
/// The factor by which the typical weight of waiting teams decays per tick. The slow decay keeps
/// teams in the estimates that wait only now and then.
const TYPICAL_DECAY: f64 = 0.995;

/// What the place of a queued request depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Unique in the queue.
    pub id: u64,
    /// The index of the priority class, 0 most urgent.
    pub class: usize,
    /// The calling team.
    pub team: Team,
    /// The team's weight.
    pub weight: u32,
    /// The expected work, in the same unit for all requests.
    pub cost: u32,
}

#[derive(Clone, Debug)]
struct Waiting<T> {
    start_tag: u64,
    job: Job,
    item: T,
}

/// The queued requests of one team in one class.
#[derive(Clone, Debug)]
struct TeamQueue<T> {
    finish_tag: u64,
    weight: u64,
    queued_cost: u64,
    requests: VecDeque<Waiting<T>>,
}

impl<T> Default for TeamQueue<T> {
    fn default() -> Self {
        Self {
            finish_tag: 0,
            weight: 0,
            queued_cost: 0,
            requests: VecDeque::new(),
        }
    }
}

/// The queued requests of one priority class.
#[derive(Clone, Debug)]
struct Class<T> {
    /// How often the class may be skipped in a row before it is served.
    max_skips: u32,
    virtual_time: u64,
    /// The total cost of the queued requests.
    queued_cost: u64,
    /// How often the class was skipped in a row while it had queued requests.
    skips: u32,
    teams: BTreeMap<Team, TeamQueue<T>>,
    /// The start tag of the first request of each team that has any.
    heads: BTreeSet<(u64, Team)>,
    /// The total weight of the teams with queued requests.
    waiting_weight: u64,
    /// The recent maximum of `waiting_weight`, decaying slowly.
    typical_weight: f64,
}

impl<T> Class<T> {
    fn new(max_skips: u32) -> Self {
        Self {
            max_skips,
            virtual_time: 0,
            queued_cost: 0,
            skips: 0,
            teams: BTreeMap::new(),
            heads: BTreeSet::new(),
            waiting_weight: 0,
            typical_weight: 0.0,
        }
    }

    fn push(&mut self, job: Job, item: T) {
        let queue = self.teams.entry(job.team.clone()).or_default();
        let start_tag = queue.finish_tag.max(self.virtual_time);
        let cost = u64::from(job.cost.max(1));
        queue.finish_tag = start_tag + charge(&job);
        if queue.requests.is_empty() {
            self.heads.insert((start_tag, job.team.clone()));
            queue.weight = u64::from(job.weight.max(1));
            self.waiting_weight += queue.weight;
            self.typical_weight = self.typical_weight.max(self.waiting_weight as f64);
        }
        queue.queued_cost += cost;
        self.queued_cost += cost;
        queue.requests.push_back(Waiting {
            start_tag,
            job,
            item,
        });
    }

    fn next(&self) -> Option<u64> {
        let (_, team) = self.heads.first()?;
        let first = self.teams.get(team)?.requests.front()?;
        Some(first.job.id)
    }

    fn pop(&mut self) -> Option<Waiting<T>> {
        let (start_tag, team) = self.heads.first()?.clone();
        self.virtual_time = self.virtual_time.max(start_tag);
        self.remove_at(&team, 0)
    }

    /// Removes the request at a position in a team's queue.
    fn remove_at(&mut self, team: &Team, position: usize) -> Option<Waiting<T>> {
        let queue = self.teams.get_mut(team)?;
        let head = queue.requests.front()?.start_tag;
        let taken = queue.requests.remove(position)?;
        let cost = u64::from(taken.job.cost.max(1));
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
    fn withdraw(&mut self, team: &Team, id: u64) -> Option<Waiting<T>> {
        let position = self.find(team, id)?;
        let queue = self.teams.get_mut(team)?;
        let refund = charge(&queue.requests[position].job);
        queue.finish_tag -= refund;
        for later in queue.requests.iter_mut().skip(position + 1) {
            later.start_tag -= refund;
        }
        self.remove_at(team, position)
    }

    fn find(&self, team: &Team, id: u64) -> Option<usize> {
        let queue = self.teams.get(team)?;
        queue.requests.iter().position(|one| one.job.id == id)
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

/// The queued requests of one service, by priority class and team, each with an item of the queue's
/// owner.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    classes: Vec<Class<T>>,
    index: BTreeMap<u64, (usize, Team)>,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue with a class for each of `max_skips`, most urgent first: how often
    /// the class may be skipped in a row while it waits. This keeps the lower classes from starving.
    #[must_use]
    pub fn new(max_skips: &[u32]) -> Self {
        Self {
            classes: max_skips.iter().copied().map(Class::new).collect(),
            index: BTreeMap::new(),
        }
    }

    /// Adds a request behind the others of its team and class; a class that the queue doesn't have
    /// counts as the least urgent.
    pub fn push(&mut self, job: Job, item: T) {
        let class = self.class_of(&job);
        self.index.insert(job.id, (class, job.team.clone()));
        self.classes[class].push(job, item);
    }

    /// Removes and returns the request that is next in order.
    pub fn pop(&mut self) -> Option<T> {
        let chosen = self.next_class()?;
        for (at, class) in self.classes.iter_mut().enumerate() {
            let waits = class.queued_cost > 0;
            class.skips = if at != chosen && waits {
                class.skips + 1
            } else {
                0
            };
        }
        let taken = self.classes[chosen].pop()?;
        self.index.remove(&taken.job.id);
        Some(taken.item)
    }

    /// Returns the id of the request that is next in order.
    #[must_use]
    pub fn next(&self) -> Option<u64> {
        self.classes[self.next_class()?].next()
    }

    /// Returns the class to serve next: one that was skipped too often, else the most urgent.
    fn next_class(&self) -> Option<usize> {
        let waits = |&at: &usize| self.classes[at].queued_cost > 0;
        let starved =
            |&at: &usize| waits(&at) && self.classes[at].skips >= self.classes[at].max_skips;
        let count = self.classes.len();
        let overdue = (0..count).rev().find(starved);
        overdue.or_else(|| (0..count).find(waits))
    }

    /// Removes a request from any position in the queue, and refunds its charge to its team.
    pub fn remove(&mut self, id: u64) -> Option<T> {
        let (class, team) = self.index.remove(&id)?;
        let taken = self.classes[class].withdraw(&team, id)?;
        Some(taken.item)
    }

    /// Returns the expected work ahead of a new request, in the unit of [`Job::cost`].
    #[must_use]
    pub fn work_ahead(&self, job: &Job) -> f64 {
        let class = self.class_of(job);
        let more_urgent: u64 = self.classes[..class]
            .iter()
            .map(|class| class.queued_cost)
            .sum();
        more_urgent as f64 + self.classes[class].work_ahead(&job.team, job.weight)
    }

    /// Returns whether requests of this class or a more urgent one are queued.
    #[must_use]
    pub fn has_ahead(&self, job: &Job) -> bool {
        let class = self.class_of(job);
        self.classes[..=class]
            .iter()
            .any(|class| class.queued_cost > 0)
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

    fn class_of(&self, job: &Job) -> usize {
        job.class.min(self.classes.len().saturating_sub(1))
    }
}

/// Returns how far a request advances its team's finish tag.
fn charge(job: &Job) -> u64 {
    u64::from(job.cost.max(1)) * TAG_UNIT / u64::from(job.weight.max(1))
}
