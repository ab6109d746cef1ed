//! The links between domains, which carry the prompts and tokens of all requests that cross them, one
//! transfer after another (docs/design/return.md).

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Demand;
use crate::clock::Millis;
use crate::core::load::NameHash;
use crate::core::site::Model;
use crate::names::Domain;

/// The longest wait on a link, in milliseconds, to which a new stream may add its prompt. Each token passes the
/// link after all that waits there, and callers want an event of several tokens within a quarter of a second.
const MAX_WAIT: f64 = 50.0;

/// The time, in milliseconds, that engines take to read a prompt and to make the first event, in which a
/// prompt still counts as on its way.
const READ_TIME: f64 = 100.0;

/// One megabit per second in bytes per millisecond.
const BYTES_PER_MS: f64 = 125.0;

/// The two domains that a link joins, in order: both directions share it.
type Ends = (Domain, Domain);

/// What a VM cannot see of the links: what all VMs have begun since the loads were reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Unseen {
    /// The time since the report, and until the next one.
    pub span: Millis,
    /// The requests that all VMs begin in that time.
    pub arrivals: f64,
}

/// The links between domains as one request finds them.
///
/// This answers the load in which engines of a domain are lost or full and the paths of many streams lead
/// through others: each costs a link a prompt's transfer, which the loads of engines do not show. Once
/// prompts wait for longer than callers do, these come back, and the link carries what nobody waits for.
///
/// All VMs see a free link at the same time, and see it taken only some time later. So a link is open to a
/// share of the requests, such that those of the unseen time fill it if all others would cross it too.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Links {
    /// The time, in milliseconds, that prompts before this one take over each link.
    waits: BTreeMap<Ends, f64>,
    /// The links that this request may not cross.
    closed: BTreeSet<Ends>,
    /// Whether what other VMs send over the links is not known.
    is_unknown: bool,
    /// Whether links are used however much waits there.
    is_unlimited: bool,
}

/// How many links are in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounts {
    /// Those that a request may cross.
    pub open: u64,
    /// Those that carry as much as they can.
    pub closed: u64,
    /// Those of which nothing is known: 1 for all, as their number is not known either.
    pub unknown: u64,
}

impl Links {
    /// Counts the links by their state, for logs and metrics.
    #[must_use]
    pub fn count(&self) -> LinkCounts {
        let closed = self.closed.len() as u64;
        LinkCounts {
            open: self.waits.len() as u64 - closed,
            closed,
            unknown: u64::from(self.is_unknown),
        }
    }

    /// Returns links of which nothing is known, as after a start: no new stream should cross them.
    #[must_use]
    pub fn unknown() -> Self {
        Self {
            is_unknown: true,
            ..Self::default()
        }
    }

    /// Returns the links between some domains; `load` returns the prompt tokens on a link by its name, and
    /// `draw` random numbers from 0 to 1.
    pub fn between<'a, I, F, D>(
        domains: I,
        model: &Model,
        unseen: Unseen,
        load: F,
        mut draw: D,
    ) -> Self
    where
        I: IntoIterator<Item = &'a Domain>,
        F: Fn(NameHash) -> u64,
        D: FnMut() -> f64,
    {
        let mut domains: Vec<&Domain> = domains.into_iter().collect();
        domains.sort_unstable();
        domains.dedup();
        let mut links = Self::default();
        let prompt = model.usual.0 * time_per_token(model);
        for (index, a) in domains.iter().enumerate() {
            for b in &domains[index + 1..] {
                let wait = load(link_name(a, b)) as f64 * time_per_token(model);
                let free = MAX_WAIT + READ_TIME + unseen.span.0 as f64 - wait;
                if free <= draw() * unseen.arrivals * prompt {
                    links.closed.insert(ends(a, b));
                }
                links.waits.insert(ends(a, b), (wait - READ_TIME).max(0.0));
            }
        }
        links
    }

    /// Returns the same links without a limit, for requests that have no other way.
    #[must_use]
    pub fn unlimited(mut self) -> Self {
        self.is_unlimited = true;
        self
    }

    /// Returns the time, in milliseconds, that all transfers of a request take from each of some domains to each,
    /// row by row: 0 within a domain, and infinite where the request may not cross.
    pub(super) fn crossings(&self, domains: &[Domain], model: &Model, demand: Demand) -> Vec<f64> {
        let transfer = transfer_time(model, demand);
        let mut times = vec![0.0; domains.len() * domains.len()];
        for (from, a) in domains.iter().enumerate() {
            for (to, b) in domains.iter().enumerate().skip(from + 1) {
                let ends = ends(a, b);
                let is_closed = self.is_unknown || self.closed.contains(&ends);
                let wait = self.waits.get(&ends).copied().unwrap_or(0.0);
                let time = if self.is_unlimited || !is_closed {
                    wait + transfer
                } else {
                    f64::INFINITY
                };
                times[from * domains.len() + to] = time;
                times[to * domains.len() + from] = time;
            }
        }
        times
    }
}

/// Returns the name under which VMs exchange the load of the link between two domains, like that of an
/// engine.
#[must_use]
pub fn link_name(a: &Domain, b: &Domain) -> NameHash {
    let (a, b) = ends(a, b);
    NameHash::of(&format!("link {a} {b}"))
}

fn ends(a: &Domain, b: &Domain) -> Ends {
    (a.clone().min(b.clone()), a.clone().max(b.clone()))
}

/// Returns the time, in milliseconds, that a token takes over a link.
fn time_per_token(model: &Model) -> f64 {
    model.activation / (model.pipe * BYTES_PER_MS)
}

/// The assumed queueing delay of each token of an answer, in milliseconds: the transfer of a prompt takes tens
/// of milliseconds.
const TOKEN_WAIT_MS: f64 = 6.0;

/// Returns the time, in milliseconds, of all transfers of a request over a link, the usual wait included.
pub(super) fn transfer_time(model: &Model, demand: Demand) -> f64 {
    let tokens = demand.prompt + demand.answer;
    tokens * time_per_token(model) + (model.delay + TOKEN_WAIT_MS) * demand.answer
}
