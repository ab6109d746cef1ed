//! The order of priority classes and customers when a service's room is short.
//!
//! Load: callers of all classes together ask for more than the engines can hold. The least urgent
//! class gives way first, and within a class the customers who ask for most. Each VM decides alone,
//! on the load of the whole fleet at an age of up to [`MAX_AGE`]. So the decision follows the
//! offered load, which changes slowly, and sheds a share of the requests instead of switching: VMs
//! with views of different age then shed the same classes (docs/design/order.md).

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::duration::Durations;
use super::returns;
use crate::clock::Millis;
use crate::core::load::ClassKey;
use crate::core::load::ClassLoad;
use crate::core::load::Load;
use crate::core::load::NameHash;
use crate::core::site::SiteConfig;
use crate::names::ServiceName;

/// The share of an engine's request memory that new requests may fill. Answers may become longer
/// than announced, and claims of other VMs arrive late.
pub const NEW_LIMIT: f64 = 0.95;
/// The same for callers who were refused before, who should not be refused twice.
pub const RETURN_LIMIT: f64 = 1.05;
/// What each class leaves free for every more urgent one while room is short, as a share of an
/// engine's memory: what more urgent callers may take before other VMs hear of it.
const RESERVE: f64 = 0.05;
/// How much further than new requests of their class those may fill an engine who come back while
/// room is short; less than [`RESERVE`], so that the class goes first.
const RETURN_BONUS: f64 = 0.04;
/// The share of the room that each class keeps while room is short: its callers see a slow service
/// and not one that is down, whatever the more urgent ones ask for.
pub const FLOOR: f64 = 0.05;
/// Room is short from this ratio of demand to room on, and no longer below the second one.
const SHORT_RATIO: (f64, f64) = (1.0, 0.9);
/// How long demand must stay below the second ratio: longer than views differ in age.
const CALM_TIME: Millis = Millis::seconds(2);
/// Nobody is shed while less than the first share of the room is in use; from the second one on as
/// many as the demand says. So a wrong estimate of the demand leaves no room idle.
const USE_RANGE: (f64, f64) = (0.8, 0.95);
/// Room is short when the requests that wait are more than arrive in this many seconds.
const WAIT_SIGNAL_S: f64 = 0.05;
/// The oldest view that shares are decided on; with an older one, only the room on engines counts.
pub const MAX_AGE: Millis = Millis::seconds(3);
/// How long a plan is used before it is made again.
const PLAN_TIME: Millis = Millis(100);
/// The largest part of a class's rate that is kept for callers who come back: new ones can still be
/// served in time, those who come back no longer.
pub const RETURN_PART: f64 = 0.5;

/// What a VM knows of a service's load.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The load of all VMs.
    pub load: &'a Load,
    /// The age of the other VMs' part; `None` if it is not known.
    pub age: Option<Millis>,
    /// The tokens that fit on the engines.
    pub capacity: f64,
}

/// A request of a caller, as far as the order depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The service, priority and customer.
    pub key: ClassKey,
    /// The tokens of prompt and answer.
    pub size: u32,
    /// Whether its caller was refused before.
    pub is_return: bool,
}

/// What a request may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grant {
    /// The share of an engine's memory up to which requests like it may fill the engines of its
    /// path.
    pub limit: f64,
    /// Whether it is refused at once, whatever room there is.
    pub is_shed: bool,
}

/// What a class gets while room is short.
#[derive(Clone, Debug, Default)]
struct ClassPlan {
    /// The number of more urgent classes with demand.
    rank: u32,
    /// Tokens per second that the class may begin, those who come back included.
    rate: f64,
    /// Tokens per second that it keeps whatever others ask for.
    floor: f64,
    /// Tokens per second that its callers ask for.
    offered: f64,
    /// The share of its new requests that is not shed, by customer.
    shares: BTreeMap<NameHash, f64>,
    /// The share over all customers.
    share: f64,
}

/// The order among the callers of one service, as one VM applies it.
#[derive(Clone, Debug)]
pub struct Order {
    name: ServiceName,
    service: NameHash,
    is_short: bool,
    /// When demand was last too high to end a shortage.
    last_busy: Millis,
    made: Option<Millis>,
    inputs: Inputs,
    classes: BTreeMap<u8, ClassPlan>,
}

/// What a plan was made from.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Inputs {
    /// The tokens in use.
    pub used: f64,
    /// The tokens that the offered load would use.
    pub demand: f64,
    /// The tokens that may be in use.
    pub room: f64,
    /// The age of the other VMs' part of the load.
    pub age: Option<Millis>,
}

impl Order {
    /// Creates the order of a service of which nothing is known yet.
    #[must_use]
    pub fn new(name: &ServiceName) -> Self {
        Self {
            name: name.clone(),
            service: NameHash::of(name.as_str()),
            is_short: false,
            last_busy: Millis(0),
            made: None,
            inputs: Inputs::default(),
            classes: BTreeMap::new(),
        }
    }

    /// Renews the plan from the fleet's load, unless it is recent.
    pub fn update(&mut self, now: Millis, view: &View<'_>, durations: &Durations) {
        if self.made.is_some_and(|at| now.since(at) < PLAN_TIME) {
            return;
        }
        self.made = Some(now);
        self.classes.clear();
        let service = self.service;
        let loads = class_loads(service, view.load);
        let demand = |(priority, customers): (&u8, &Customers)| {
            offered_by(customers) * durations.seconds(service, *priority)
        };
        let room = view.capacity * NEW_LIMIT;
        self.inputs = Inputs {
            used: sum(&loads, |load| load.held),
            demand: loads.iter().map(demand).sum(),
            room,
            age: view.age,
        };
        if view.age.is_none_or(|age| age > MAX_AGE) || room <= 0.0 {
            self.is_short = false;
            return;
        }
        let waiting = sum(&loads, |load| load.waiting);
        let is_waiting = waiting > sum(&loads, |load| load.offered) * WAIT_SIGNAL_S;
        self.judge(now, room, is_waiting);
        if self.is_short {
            self.plan(now, room, &loads, view.load, durations);
        }
    }

    /// Decides with hysteresis whether room is short.
    fn judge(&mut self, now: Millis, room: f64, is_waiting: bool) {
        let (begin, end) = SHORT_RATIO;
        let need = self.inputs.demand.max(self.inputs.used);
        if need > room * begin || is_waiting {
            self.is_short = true;
        }
        if need > room * end || is_waiting {
            self.last_busy = now;
        }
        self.is_short &= now.since(self.last_busy) < CALM_TIME;
    }

    /// Divides the room: first the floors, then the rest in the order of priority.
    fn plan(
        &mut self,
        now: Millis,
        room: f64,
        loads: &BTreeMap<u8, Customers>,
        load: &Load,
        durations: &Durations,
    ) {
        let mut needs = Vec::new();
        for (priority, customers) in loads {
            let offered = offered_by(customers);
            let span = durations.seconds(self.service, *priority);
            let floor = (offered * span).min(room * FLOOR);
            needs.push((*priority, offered, span, floor));
        }
        let mut left = room - needs.iter().map(|need| need.3).sum::<f64>();
        let (idle, full) = USE_RANGE;
        let ease = ((full - self.inputs.used / room) / (full - idle)).clamp(0.0, 1.0);
        let mut rank = 0;
        for (priority, offered, span, floor) in needs {
            let extra = (offered * span - floor).clamp(0.0, left.max(0.0));
            left -= extra;
            let rate = (floor + extra) / span;
            let key = returns::class_hash(&self.name, priority);
            let promised = returns::rate_at(load, key, now).min(rate * RETURN_PART);
            let mut plan = ClassPlan {
                rank,
                rate,
                floor: floor / span,
                offered,
                ..ClassPlan::default()
            };
            let customers = &loads[&priority];
            let level = fair_level(customers, rate - promised);
            for (customer, load) in customers {
                let share = (level / f64::from(load.offered.max(1))).min(1.0);
                plan.shares.insert(*customer, share + (1.0 - share) * ease);
            }
            let share = ((rate - promised) / (offered - promised).max(1.0)).clamp(0.0, 1.0);
            plan.share = share + (1.0 - share) * ease;
            rank += u32::from(offered > 0.0);
            self.classes.insert(priority, plan);
        }
    }

    /// Returns what a request may take; `draw` is a random number between 0 and 1.
    #[must_use]
    pub fn grant(&self, claim: &Claim, draw: f64) -> Grant {
        let Some(plan) = self.classes.get(&claim.key.priority) else {
            return Grant {
                limit: if claim.is_return {
                    RETURN_LIMIT
                } else {
                    NEW_LIMIT
                },
                is_shed: false,
            };
        };
        let reserve = RESERVE * f64::from(plan.rank);
        let share = plan.shares.get(&claim.key.customer);
        let share = share.copied().unwrap_or(plan.share);
        let is_floor = draw < share * plan.floor / plan.rate.max(1.0);
        let limit = match (claim.is_return, plan.rank) {
            (true, 0) => RETURN_LIMIT,
            (true, _) => NEW_LIMIT - reserve + RETURN_BONUS,
            (false, _) if is_floor => NEW_LIMIT,
            (false, _) => NEW_LIMIT - reserve,
        };
        Grant {
            limit,
            is_shed: !claim.is_return && draw >= share,
        }
    }

    /// Returns the tokens per second that callers of a class who come back may take, and the tokens
    /// per second that the fleet refuses of it.
    #[must_use]
    pub fn return_rate(&self, priority: u8) -> Option<(f64, f64)> {
        let plan = self.classes.get(&priority)?;
        let refused = plan.offered * (1.0 - plan.share);
        Some((plan.rate * RETURN_PART, refused))
    }

    /// Returns whether room is short.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.is_short
    }

    /// Returns what the plan was made from, for logs.
    #[must_use]
    pub fn inputs(&self) -> Inputs {
        self.inputs
    }
}

type Customers = BTreeMap<NameHash, ClassLoad>;

/// Returns the load of a service by priority and customer.
fn class_loads(service: NameHash, load: &Load) -> BTreeMap<u8, Customers> {
    let mut loads: BTreeMap<u8, Customers> = BTreeMap::new();
    let keys = load
        .classes
        .iter()
        .filter(|(key, _)| key.service == service);
    for (key, class) in keys {
        let customers = loads.entry(key.priority).or_default();
        customers.insert(key.customer, *class);
    }
    loads
}

fn offered_by(customers: &Customers) -> f64 {
    customers.values().map(|load| f64::from(load.offered)).sum()
}

fn sum<F>(loads: &BTreeMap<u8, Customers>, field: F) -> f64
where
    F: Fn(&ClassLoad) -> u32,
{
    let all = loads.values().flat_map(BTreeMap::values);
    all.map(|load| f64::from(field(load))).sum()
}

/// Returns the most that one customer gets so that all together get `rate` (max-min fairness):
/// those who ask for less get it all, the others the same each.
#[must_use]
fn fair_level(customers: &Customers, rate: f64) -> f64 {
    let mut offers: Vec<f64> = customers
        .values()
        .map(|load| f64::from(load.offered))
        .collect();
    offers.sort_by(f64::total_cmp);
    let mut left = rate.max(0.0);
    for (at, offer) in offers.iter().enumerate() {
        let level = left / (offers.len() - at) as f64;
        if *offer >= level {
            return level;
        }
        left -= offer;
    }
    f64::INFINITY
}

/// Returns the priorities that the configuration gives to requests for a service; the order among
/// classes applies where there are several.
#[must_use]
pub fn priorities(site: &SiteConfig, service: &ServiceName) -> BTreeSet<u8> {
    let routes = site
        .routes
        .iter()
        .filter(|route| route.split.iter().any(|share| share.service == *service));
    let holders = site.keys.iter().flat_map(BTreeMap::values);
    let teams = holders.filter_map(|holder| holder.priority);
    let mut all: BTreeSet<u8> = routes.map(|route| route.priority).collect();
    all.extend(teams);
    all
}
