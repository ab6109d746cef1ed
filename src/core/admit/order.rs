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
/// For how many seconds of arrivals, its own and those of more urgent callers, a class leaves room
/// free while room is tight: until the use of engines shows them.
const RESERVE_S: f64 = 0.3;
/// The most that a class leaves free, as a share of an engine's memory.
const MAX_RESERVE: f64 = 0.2;
/// How much further than new requests of their class those may fill an engine who come back, as a part
/// of what the next more urgent class may fill beyond that.
const RETURN_BONUS: f64 = 0.5;
/// The share of the room that each class keeps while room is short: its callers see a slow service
/// and not one that is down, whatever the more urgent ones ask for.
pub const FLOOR: f64 = 0.05;
/// Room is short from this ratio of demand to room on, and no longer below the second one.
const SHORT_RATIO: (f64, f64) = (1.0, 0.9);
/// How long demand must stay below the second ratio: longer than views differ in age.
const CALM_TIME: Millis = Millis::seconds(2);
/// Nobody is shed while less than the first share of the memory is in use; from the second one on as
/// many as the demand says. So a wrong estimate of the demand leaves little room idle.
const USE_RANGE: (f64, f64) = (0.6, 0.85);
/// From this fill on, a class leaves room free for more urgent ones even if the demand is not known
/// to be too high: that is known some seconds later.
const TIGHT_FILL: f64 = 0.8;
/// Room is short when the requests that wait are more than arrive in this many seconds.
const WAIT_SIGNAL_S: f64 = 0.05;
/// The oldest view that shares are decided on; with an older one, only the room on engines counts.
pub const MAX_AGE: Millis = Millis::seconds(3);
/// How long a plan is used before it is made again.
const PLAN_TIME: Millis = Millis(100);
/// The part of a class's rate that is kept for callers who come back, beside what new ones leave: new
/// ones can still be served in time, those who come back no longer.
pub const RETURN_PART: f64 = 0.25;
/// The part of what new ones leave that is promised to those who come back: they would otherwise
/// displace new ones at every small peak, who then come back in turn.
const SPARE_PART: f64 = 0.7;

/// What a VM knows of a service's load.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The load of all VMs.
    pub load: &'a Load,
    /// The age of the other VMs' part; `None` if it is not known.
    pub age: Option<Millis>,
    /// The tokens that fit on the engines.
    pub capacity: f64,
    /// The share of them in use, as the engines' own reports and claims say, which are newer.
    pub fill: f64,
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
    /// Whether its customer asks for more than its share of a class that is short of room.
    pub is_over: bool,
}

/// What a class gets.
#[derive(Clone, Debug, Default)]
struct ClassPlan {
    /// Whether a more urgent class has callers.
    has_urgent: bool,
    /// What it leaves free for more urgent ones, as a share of an engine's memory.
    reserve: f64,
    /// What the next more urgent class leaves free.
    next_reserve: f64,
    /// What its customers over their share leave free, for more urgent ones and for the others.
    over_reserve: f64,
    /// Whether it holds less than its floor.
    is_low: bool,
    /// Tokens per second that the class may begin, those who come back included.
    rate: f64,
    /// Tokens per second that it keeps whatever others ask for.
    floor: f64,
    /// Tokens per second that those who come back may take.
    back: f64,
    /// The share of its new requests that is not shed while all room is in use, by customer.
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
    /// The share of the engines' memory in use.
    pub fill: f64,
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
        let room = view.capacity * NEW_LIMIT;
        self.inputs = Inputs {
            used: sum(&loads, |load| load.held),
            demand: 0.0,
            room,
            fill: view.fill,
            age: view.age,
        };
        if view.age.is_none_or(|age| age > MAX_AGE) || room <= 0.0 {
            self.is_short = false;
            return;
        }
        self.plan(now, room, &loads, view.load, durations);
        let waiting = sum(&loads, |load| load.waiting);
        let is_waiting = waiting > sum(&loads, |load| load.offered) * WAIT_SIGNAL_S;
        self.judge(now, room, is_waiting);
    }

    /// Decides with hysteresis whether room is short.
    fn judge(&mut self, now: Millis, room: f64, is_waiting: bool) {
        let (begin, end) = SHORT_RATIO;
        let need = self.inputs.demand;
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
        let need = |(priority, customers): (&u8, &Customers)| {
            let span = durations.seconds(self.service, *priority);
            let class = returns::class_hash(&self.name, *priority);
            Need {
                priority: *priority,
                span,
                offered: offered_by(customers),
                promised: returns::rate_at(load, class, now),
                floor: (offered_by(customers) * span).min(room * FLOOR),
            }
        };
        let needs: Vec<Need> = loads.iter().map(need).collect();
        let mut left = room - needs.iter().map(|need| need.floor).sum::<f64>();
        let mut urgent = 0.0;
        let mut next_reserve = 0.0;
        for need in needs {
            let wanted = need.offered + need.promised;
            let full = (need.floor + left.max(0.0)) / need.span;
            let reserve = |rate: f64| (rate * RESERVE_S / room).min(MAX_RESERVE);
            let over_reserve = reserve(urgent + wanted.min(full));
            let reserve = reserve(urgent);
            let most = (need.floor + (left - over_reserve * room).max(0.0)) / need.span;
            let rate = wanted.min(most);
            left -= rate * need.span - need.floor;
            let back = (most * RETURN_PART).max((most - need.offered) * SPARE_PART);
            let fresh = rate - need.promised.min(most * RETURN_PART);
            let customers = &loads[&need.priority];
            let count = count_others(customers);
            let level = fair_level(customers, count, fresh);
            let share = |(name, load): (&NameHash, &ClassLoad)| {
                let members = if *name == NameHash::OTHERS {
                    count
                } else {
                    1.0
                };
                let offer = f64::from(load.offered.max(1)) / members;
                (*name, (level / offer).min(1.0))
            };
            let shares = customers.iter().map(share);
            let held: f64 = customers.values().map(|load| f64::from(load.held)).sum();
            let plan = ClassPlan {
                has_urgent: urgent > 0.0,
                reserve,
                next_reserve,
                over_reserve,
                is_low: held < need.floor,
                rate,
                floor: need.floor / need.span,
                back,
                shares: shares.collect(),
                share: (fresh / need.offered.max(1.0)).min(1.0),
            };
            urgent += wanted;
            next_reserve = reserve;
            self.inputs.demand += wanted * need.span;
            self.classes.insert(need.priority, plan);
        }
    }

    /// Returns what a request may take, with the engines filled to `fill`; `draw` is a random number
    /// between 0 and 1.
    #[must_use]
    pub fn grant(&self, claim: &Claim, fill: f64, draw: f64) -> Grant {
        let is_tight = self.is_short || fill >= TIGHT_FILL;
        let plan = self.classes.get(&claim.key.priority);
        let Some(plan) = plan.filter(|_| is_tight) else {
            let limit = if claim.is_return {
                RETURN_LIMIT
            } else {
                NEW_LIMIT
            };
            return Grant {
                limit,
                is_shed: false,
                is_over: false,
            };
        };
        let share = plan.shares.get(&claim.key.customer);
        let share = share.or_else(|| plan.shares.get(&NameHash::OTHERS));
        let share = share.copied().unwrap_or(plan.share);
        let is_over = self.is_short && share < 1.0;
        let (idle, busy) = USE_RANGE;
        let ease = ((busy - fill) / (busy - idle)).clamp(0.0, 1.0);
        let share = share + (1.0 - share) * ease;
        let is_floor = plan.is_low && draw < share * plan.floor / plan.rate.max(1.0);
        let (free, next_free) = if is_over {
            (plan.over_reserve, plan.reserve)
        } else {
            (plan.reserve, plan.next_reserve)
        };
        let limit = match claim.is_return {
            true if !plan.has_urgent && !is_over => RETURN_LIMIT,
            true => NEW_LIMIT - free + RETURN_BONUS * (free - next_free),
            false if is_floor => NEW_LIMIT,
            false => NEW_LIMIT - free,
        };
        Grant {
            limit,
            is_shed: self.is_short && !claim.is_return && draw >= share,
            is_over,
        }
    }

    /// Returns the tokens per second that callers of a class who come back may take, if its load is
    /// known.
    #[must_use]
    pub fn return_rate(&self, priority: u8) -> Option<f64> {
        Some(self.classes.get(&priority)?.back)
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

/// What a class asks for.
#[derive(Clone, Copy, Debug)]
struct Need {
    priority: u8,
    /// The mean duration of its requests, in seconds.
    span: f64,
    /// Tokens per second of new requests.
    offered: f64,
    /// Tokens per second of those who come back.
    promised: f64,
    /// The tokens that it keeps.
    floor: f64,
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

/// Returns the least number of customers that [`NameHash::OTHERS`] stands for, each of which asks for no more than any
/// listed one.
fn count_others(customers: &Customers) -> f64 {
    let offer = |load: &ClassLoad| f64::from(load.offered);
    let others = customers.get(&NameHash::OTHERS).map_or(0.0, offer);
    let listed = customers
        .iter()
        .filter(|(name, _)| **name != NameHash::OTHERS);
    let least = listed
        .map(|(_, load)| offer(load))
        .fold(f64::INFINITY, f64::min);
    (others / least.max(1.0)).ceil().max(1.0)
}

/// Returns the most that one customer gets so that all together get `rate` (max-min fairness):
/// those who ask for less get it all, the others the same each. `others` is the number of customers that are not
/// listed.
#[must_use]
fn fair_level(customers: &Customers, others: f64, rate: f64) -> f64 {
    let offer = |(name, load): (&NameHash, &ClassLoad)| {
        let members = if *name == NameHash::OTHERS {
            others
        } else {
            1.0
        };
        (f64::from(load.offered) / members, members)
    };
    let mut offers: Vec<(f64, f64)> = customers.iter().map(offer).collect();
    offers.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut left = rate.max(0.0);
    let mut count: f64 = offers.iter().map(|(_, members)| members).sum();
    for (offer, members) in offers {
        let level = left / count;
        if offer >= level {
            return level;
        }
        left -= offer * members;
        count -= members;
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
