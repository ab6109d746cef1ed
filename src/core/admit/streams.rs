//! The admission of streams to services whose callers have several priorities: the order of classes
//! and customers, the queue, and the promised returns, as one VM keeps them.

use std::collections::BTreeMap;

use super::arrivals::Arrivals;
use super::duration::Durations;
use super::order::Claim;
use super::order::Grant;
use super::order::MAX_AGE;
use super::order::Order;
use super::order::RETURN_PART;
use super::order::View;
use super::order::priorities;
use super::queue::Outlook;
use super::queue::WaitQueue;
use super::queue::class_of;
use super::queue::longest_wait;
use super::returns;
use super::returns::Promise;
use super::returns::Refused;
use super::times::TimesLeft;
use crate::clock::Millis;
use crate::core::fair::Job;
use crate::core::load::ClassKey;
use crate::core::load::Load;
use crate::core::load::NameHash;
use crate::core::poison::RequestDigest;
use crate::core::site::SiteConfig;
use crate::names::ServiceName;
use crate::names::Team;

/// A request for a service, as admission sees it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The service that is called.
    pub service: ServiceName,
    /// The route, whose callers wait for similar times.
    pub route: String,
    /// The customer, if any.
    pub team: Option<Team>,
    /// The priority, 0 highest.
    pub priority: u8,
    /// The tokens of prompt and answer.
    pub size: u32,
    /// Identifies its content.
    pub content: RequestDigest,
    /// When its first event is due, from now.
    pub target: Millis,
    /// The time left until its deadline.
    pub left: Millis,
}

impl Arrival {
    /// Returns the class whose load it counts in.
    #[must_use]
    pub fn key(&self) -> ClassKey {
        let customer = self.team.as_ref().map(|team| NameHash::of(team.as_str()));
        ClassKey {
            service: NameHash::of(self.service.as_str()),
            priority: self.priority,
            customer: customer.unwrap_or_default(),
        }
    }
}

/// The admission of streams on one VM.
#[derive(Clone, Debug, Default)]
pub struct StreamAdmission {
    orders: BTreeMap<ServiceName, Order>,
    queues: BTreeMap<ServiceName, WaitQueue>,
    durations: Durations,
    arrivals: Arrivals,
    refusals: Arrivals,
    refused: Refused,
    times: TimesLeft,
    /// Whether callers of a service have several priorities, and by which configuration.
    ordered: BTreeMap<ServiceName, (u64, bool)>,
    last_id: u64,
}

impl StreamAdmission {
    /// Returns whether the callers of a service have several priorities.
    pub fn is_ordered(&mut self, site: &SiteConfig, service: &ServiceName) -> bool {
        let version = site.version;
        let known = self.ordered.get(service);
        if let Some((_, is_ordered)) = known.filter(|known| known.0 == version) {
            return *is_ordered;
        }
        let is_ordered = priorities(site, service).len() > 1;
        self.ordered.insert(service.clone(), (version, is_ordered));
        is_ordered
    }

    /// Records a request that arrived, and returns what the order depends on.
    pub fn arrive(
        &mut self,
        now: Millis,
        arrival: &Arrival,
        view: &View<'_>,
        own: &mut Load,
    ) -> Claim {
        let key = arrival.key();
        let class = returns::class_hash(&arrival.service, arrival.priority);
        let promised = returns::rate_at(view.load, class, now);
        let share = promised / (promised + class_offered(view.load, &key)).max(1.0);
        let is_late = self
            .times
            .detect_return(&arrival.route, arrival.left, share);
        let is_return = self.refused.take(&arrival.content, now) || is_late;
        // The ledger of returns counts those who come back.
        if !is_return {
            self.arrivals.record(now, key, arrival.size);
        }
        self.refresh(now, own);
        Claim {
            key,
            size: arrival.size,
            is_return,
        }
    }

    /// Brings this VM's own load up to date; called at least a few times a second.
    pub fn refresh(&mut self, now: Millis, own: &mut Load) {
        self.arrivals.refresh(now, own);
        returns::expire(now, own);
    }

    /// Returns what a request may take, for the fleet's load; `draw` is a random number between 0 and
    /// 1.
    pub fn grant(
        &mut self,
        now: Millis,
        arrival: &Arrival,
        claim: &Claim,
        view: &View<'_>,
        draw: f64,
    ) -> Grant {
        let durations = &self.durations;
        let order = order_of(&mut self.orders, &arrival.service);
        order.update(now, view, durations);
        order.grant(claim, view.fill, draw)
    }

    /// Returns the order of a service, for logs.
    pub fn order(&mut self, service: &ServiceName) -> &Order {
        order_of(&mut self.orders, service)
    }

    /// Returns whether a request must wait behind others of this VM.
    pub fn must_follow(&mut self, arrival: &Arrival, grant: &Grant) -> bool {
        let queue = self.queues.get(&arrival.service);
        queue.is_some_and(|queue| queue.must_follow(&job(arrival, grant, 0)))
    }

    /// Queues a request that found no room; returns its id and how long it may wait, or `None` if
    /// room should come too late for it.
    pub fn wait(
        &mut self,
        arrival: &Arrival,
        claim: &Claim,
        grant: &Grant,
        view: &View<'_>,
    ) -> Option<(u64, Millis)> {
        let service = NameHash::of(arrival.service.as_str());
        let is_known = view.age.is_some_and(|age| age <= MAX_AGE);
        let mut ahead = f64::from(arrival.size);
        let mut used = 0.0;
        for (key, load) in &view.load.classes {
            if key.service != service {
                continue;
            }
            used += f64::from(load.held);
            if key.priority <= arrival.priority && is_known {
                ahead += f64::from(load.waiting);
            }
        }
        if !is_known {
            used = view.capacity;
        }
        let outlook = Outlook {
            ahead,
            used,
            duration: self.durations.mean(service, arrival.priority),
        };
        self.last_id += 1;
        let longest = longest_wait(arrival.target, arrival.left, claim.is_return);
        let queue = self.queues.entry(arrival.service.clone()).or_default();
        let waits = queue.push(job(arrival, grant, self.last_id), &outlook, longest);
        waits.then_some((self.last_id, longest))
    }

    /// Returns the queue of a service.
    pub fn queue(&mut self, service: &ServiceName) -> &mut WaitQueue {
        self.queues.entry(service.clone()).or_default()
    }

    /// Refuses a request: returns after which time its caller should come back, and adds the promise
    /// to this VM's load.
    pub fn refuse(
        &mut self,
        now: Millis,
        arrival: &Arrival,
        fleet: &Load,
        age: Option<Millis>,
        own: &mut Load,
        draw: f64,
    ) -> Millis {
        let service = NameHash::of(arrival.service.as_str());
        let duration = self.durations.mean(service, arrival.priority);
        let order = order_of(&mut self.orders, &arrival.service);
        let seconds = duration.0.max(1) as f64 / 1000.0;
        let usual = order.inputs().room / seconds * RETURN_PART;
        let rate = order.return_rate(arrival.priority).unwrap_or(usual);
        let key = arrival.key();
        self.refusals.record(now, key, arrival.size);
        let others = class_offered(fleet, &key) / class_offered(own, &key).max(1.0) - 1.0;
        let age = age.unwrap_or_default().min(MAX_AGE);
        let recent = self.refusals.class_rate(now, &key) * age.0 as f64 / 1000.0;
        let promise = Promise {
            class: returns::class_hash(&arrival.service, arrival.priority),
            size: arrival.size,
            rate,
            unseen: recent * others.max(0.0),
            left: arrival.left,
            duration,
        };
        let wait = returns::promise(now, &promise, fleet, own, draw);
        self.refused.insert(arrival.content, now + wait);
        wait
    }

    /// Records how long a request that was admitted held its room.
    pub fn record_duration(&mut self, key: &ClassKey, duration: Millis) {
        self.durations.record(key.service, key.priority, duration);
    }

    /// Drops the state of routes that no longer exist.
    pub fn retain_routes<F>(&mut self, exists: F)
    where
        F: Fn(&str) -> bool,
    {
        self.times.retain_routes(exists);
    }

    /// Drops the state of services that no longer exist.
    pub fn retain_services<F>(&mut self, exists: F)
    where
        F: Fn(&ServiceName) -> bool,
    {
        self.orders.retain(|service, _| exists(service));
        self.ordered.retain(|service, _| exists(service));
        self.queues
            .retain(|service, queue| exists(service) || !queue.is_empty());
    }
}

/// Returns the tokens per second that callers of a class ask for, over its customers.
fn class_offered(load: &Load, class: &ClassKey) -> f64 {
    let same = |key: &ClassKey| key.service == class.service && key.priority == class.priority;
    let all = load.classes.iter().filter(|(key, _)| same(key));
    all.map(|(_, load)| f64::from(load.offered)).sum()
}

fn order_of<'a>(
    orders: &'a mut BTreeMap<ServiceName, Order>,
    service: &ServiceName,
) -> &'a mut Order {
    orders
        .entry(service.clone())
        .or_insert_with(|| Order::new(service))
}

fn job(arrival: &Arrival, grant: &Grant, id: u64) -> Job {
    Job {
        id,
        class: class_of(arrival.priority, grant.is_over),
        team: arrival.team.clone().unwrap_or_else(|| "".into()),
        weight: 1,
        cost: arrival.size,
    }
}
