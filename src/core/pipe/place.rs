//! Placement: which layers each engine should hold.
//!
//! Transfers between domains are slow, so each domain that can hold a whole model gets its own
//! copy. The remaining memory of a domain holds further whole copies ([`super::even`]), or second
//! copies of some layers, different ones in each domain, where it is too small for that. The rest of
//! an engine's memory holds the KV cache of requests (docs/design/placement.md).

use std::collections::BTreeMap;

use super::Span;
use super::even::domains_with_copies;
use super::even::plan_copies;
use super::room::Rooms;
use crate::clock::Millis;
use crate::core::roster::LAPSE_GRACE;
use crate::core::site::Model;
use crate::names::Domain;
use crate::names::EndpointName;

/// The share of an engine's memory that is planned for layers; the rest holds requests.
const LAYER_MEMORY_SHARE: f64 = 0.73;
/// The largest share of an engine's memory used for layers when it takes over those of a lost
/// engine.
const MAX_LAYER_MEMORY_SHARE: f64 = 0.9;

/// The time without a removed entry that must pass before layers that a domain lacks are moved
/// there: an engine that crashed or lost the store is usually back within that time.
const REMOVAL_QUIET: Millis = Millis(6000);
/// How long after a leader learned the endpoints some may still be missing: those whose entries expired
/// while the store was away write them again.
const LIST_QUIET: Millis = LAPSE_GRACE;

/// Which engines that hold layers may be moved, by what the leader knows of lost ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departures {
    /// None: engines that seem to be lost may only not be known yet.
    Unknown,
    /// Those that a layer needs which no engine holds.
    Recent,
    /// Also those that a domain needs which lacks a layer.
    Settled,
}

/// Returns which engines may be moved at `now`, if this VM learned the endpoints at `known` and then saw the last
/// one removed at `removed`.
///
/// This answers a start of all VMs while engines or the store are away: the first leader has not seen which
/// engines were removed when. If it took all that are missing for lost long ago, it would move engines that
/// serve, for seconds each, to layers whose engines are back a moment later.
#[must_use]
pub fn judge_departures(now: Millis, known: Millis, removed: Millis) -> Departures {
    if now.since(known) < LIST_QUIET {
        Departures::Unknown
    } else if now.since(known.max(removed)) < REMOVAL_QUIET {
        Departures::Recent
    } else {
        Departures::Settled
    }
}

/// An engine on which layers are placed.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// The name under which the engine is registered.
    pub endpoint: EndpointName,
    /// The failure domain, within which a whole copy of the model is placed if it fits.
    pub domain: Domain,
    /// The memory for layers and requests, in megabytes.
    pub memory: f64,
    /// The factor on the time of a token step; lower is faster.
    pub pace: f64,
    /// The layers that the engine holds or was ordered to load; `None` if it is empty.
    pub span: Option<Span>,
}

impl Engine {
    /// Returns how many layers fit into a share of the engine's memory.
    fn max_layers(&self, model: &Model, share: f64) -> u32 {
        let max = (self.memory * share / model.weight).floor();
        (max as u32).min(model.layers)
    }

    /// Returns how many layers the engine holds at most as long as no other was lost.
    pub(super) fn planned_layers(&self, model: &Model) -> u32 {
        self.max_layers(model, LAYER_MEMORY_SHARE)
    }
}

/// Plans the layers of a fleet whose engines are all empty.
///
/// Within a domain, layers are assigned in order to the fastest engines first, one copy of the
/// model after the other. A domain with memory for two copies gets only whole ones, with the same room
/// for requests on each layer of a copy. In smaller ones the last copy, which is incomplete, starts at
/// a different layer in each domain.
pub fn plan_placement(engines: &[Engine], model: &Model) -> BTreeMap<EndpointName, Span> {
    let mut plan = BTreeMap::new();
    let even = domains_with_copies(engines, model);
    let groups = group_by_domain(engines, model);
    let count = groups.len().max(1) as u32;
    for (index, mut group) in groups.into_iter().enumerate() {
        group.sort_by(|a, b| a.pace.total_cmp(&b.pace).then(a.endpoint.cmp(&b.endpoint)));
        if group.iter().all(|engine| even.contains(&engine.domain)) {
            plan_copies(&group, model, &mut plan);
            continue;
        }
        let offset = model.layers * index as u32 / count;
        assign(&group, model, offset, &mut plan);
    }
    plan
}

/// Plans the next layer loads after engines joined or left.
///
/// An empty engine gets layers that its domain lacks at once. If its domain lacks none, it waits
/// for `arrivals_settled`, because the engine that it replaces usually leaves soon after. Next
/// comes a layer that no engine holds, since without it no request can be served. A gap in the copy
/// of one domain only adds transfers between domains, and a missing engine is usually back within
/// seconds. As each move takes an engine out of service while it loads, such gaps wait until the
/// `departures` are settled.
///
/// In a domain with memory for two copies, the layers of an empty engine are those with the least room
/// for requests, else those with the fewest copies.
pub fn repair_placement(
    engines: &[Engine],
    model: &Model,
    arrivals_settled: bool,
    departures: Departures,
) -> Vec<(EndpointName, Span)> {
    let mut empty: Vec<usize> = (0..engines.len())
        .filter(|index| engines[*index].span.is_none())
        .collect();
    empty.sort_by_key(|index| {
        std::cmp::Reverse(engines[*index].max_layers(model, LAYER_MEMORY_SHARE))
    });
    let mut plan = Vec::new();
    let mut copies = Copies::count(engines, model.layers);
    let mut rooms = Rooms::count(engines, model);
    let even = domains_with_copies(engines, model);
    for index in empty {
        let engine = &engines[index];
        let (span, fills_gap) = if even.contains(&engine.domain) {
            rooms.scarcest(engine, engine.planned_layers(model), model)
        } else {
            copies.least_held(engine, model)
        };
        if arrivals_settled || fills_gap {
            copies.add(&engine.domain, span);
            rooms.add(engine, span, model);
            plan.push((engine.endpoint.clone(), span));
        }
    }
    if !plan.is_empty() {
        return plan;
    }
    if departures == Departures::Unknown {
        return plan;
    }
    let all: Vec<&Engine> = engines.iter().collect();
    if copies.all.contains(&0) || departures == Departures::Recent {
        return fill_gap(&all, model).into_iter().collect();
    }
    let groups = group_by_domain(engines, model);
    let mut whole = groups
        .iter()
        .filter(|group| total_layers(group, model) >= model.layers);
    let gap = whole.find_map(|group| fill_gap(group, model));
    gap.into_iter().collect()
}

/// The number of copies of each layer, in the fleet and in each domain. It is updated with each
/// decision: counting anew for each of hundreds of empty engines would stop a small VM for a second.
#[derive(Debug)]
struct Copies<'a> {
    all: Vec<u32>,
    by_domain: BTreeMap<&'a Domain, Vec<u32>>,
}

impl<'a> Copies<'a> {
    fn count(engines: &'a [Engine], layers: u32) -> Self {
        let mut copies = Self {
            all: vec![0; layers as usize],
            by_domain: BTreeMap::new(),
        };
        for engine in engines {
            let span = engine.span.unwrap_or(Span { from: 0, to: 0 });
            copies.add(&engine.domain, span);
        }
        copies
    }

    fn add(&mut self, domain: &'a Domain, span: Span) {
        let size = self.all.len();
        let near = self.by_domain.entry(domain).or_insert(vec![0; size]);
        let to = size.min(span.to as usize);
        let held = (span.from as usize).min(to)..to;
        for count in self.all[held.clone()].iter_mut().chain(&mut near[held]) {
            *count += 1;
        }
    }

    /// Returns the layers for an empty engine, and whether its domain lacks some of them. The
    /// layers are those with the fewest copies, where copies in its own domain count twice.
    fn least_held(&self, engine: &Engine, model: &Model) -> (Span, bool) {
        let size = engine.max_layers(model, LAYER_MEMORY_SHARE).max(1);
        let none = vec![0; self.all.len()];
        let near = self.by_domain.get(&engine.domain).unwrap_or(&none);
        let sum = |held: &[u32]| held.iter().map(|count| copy_weight(*count)).sum::<u32>();
        let cost = |from: &u32| {
            let range = *from as usize..(from + size) as usize;
            sum(&self.all[range.clone()]) + sum(&near[range])
        };
        let last = model.layers.saturating_sub(size);
        let from = (0..=last).min_by_key(cost).unwrap_or(0);
        let to = from + size;
        let fills_gap = near[from as usize..to as usize].contains(&0);
        (Span { from, to }, fills_gap)
    }
}

/// Returns the weight of a layer with `count` copies; the first copies matter most.
const fn copy_weight(count: u32) -> u32 {
    match count {
        0 => 0,
        1 => 20,
        2 => 30,
        more => 30 + more,
    }
}

/// Fills the first gap in the layers of a group: moves an engine whose layers all have another
/// copy, or else extends an adjacent engine that has memory left.
fn fill_gap(engines: &[&Engine], model: &Model) -> Option<(EndpointName, Span)> {
    let held = count_copies(engines.iter().copied(), model.layers);
    let from = held.iter().position(|count| *count == 0)? as u32;
    let to = held[from as usize..]
        .iter()
        .position(|count| *count > 0)
        .map_or(model.layers, |len| from + len as u32);
    let gap = Span { from, to };
    move_spare(engines, model, &held, gap).or_else(|| extend_neighbour(engines, model, gap))
}

/// Moves an engine to the gap if each of its present layers has another copy in the group.
fn move_spare(
    engines: &[&Engine],
    model: &Model,
    held: &[u32],
    gap: Span,
) -> Option<(EndpointName, Span)> {
    let spare = |engine: &&&Engine| {
        engine
            .span
            .is_some_and(|span| span.is_within(model.layers) && has_others(held, span))
    };
    let engine = engines.iter().filter(spare).max_by(|a, b| {
        let fit = |engine: &Engine| engine.max_layers(model, LAYER_MEMORY_SHARE).min(gap.len());
        fit(a).cmp(&fit(b)).then(b.pace.total_cmp(&a.pace))
    })?;
    let size = engine.max_layers(model, LAYER_MEMORY_SHARE).max(1);
    let from = gap.from.min(model.layers.saturating_sub(size));
    let span = Span {
        from,
        to: from + size,
    };
    Some((engine.endpoint.clone(), span))
}

/// Returns whether each layer of an engine has another copy.
fn has_others(held: &[u32], span: Span) -> bool {
    let copies = held.get(span.from as usize..span.to as usize);
    copies.is_some_and(|copies| copies.iter().all(|count| *count > 1))
}

/// Extends the range of an engine next to the gap, as far as its memory allows.
fn extend_neighbour(engines: &[&Engine], model: &Model, gap: Span) -> Option<(EndpointName, Span)> {
    engines
        .iter()
        .filter_map(|engine| {
            let span = engine.span.filter(|span| span.is_within(model.layers))?;
            let max = engine.max_layers(model, MAX_LAYER_MEMORY_SHARE);
            let spare = max.saturating_sub(span.len());
            if spare == 0 {
                return None;
            }
            if span.to == gap.from {
                let to = gap.to.min(span.to.saturating_add(spare));
                return Some((engine, Span { to, ..span }));
            }
            if span.from == gap.to {
                let from = gap.from.max(span.from.saturating_sub(spare));
                return Some((engine, Span { from, ..span }));
            }
            None
        })
        .max_by_key(|(engine, span)| span.len() - engine.span.map_or(0, Span::len))
        .map(|(engine, span)| (engine.endpoint.clone(), span))
}

/// Returns the number of copies of each layer.
fn count_copies<'a, I>(engines: I, layers: u32) -> Vec<u32>
where
    I: IntoIterator<Item = &'a Engine>,
{
    let mut held = vec![0; layers as usize];
    for span in engines.into_iter().filter_map(|engine| engine.span) {
        for layer in span.from..span.to.min(layers) {
            held[layer as usize] += 1;
        }
    }
    held
}

/// Returns the number of layers that fit on all engines of a group together.
fn total_layers(group: &[&Engine], model: &Model) -> u32 {
    group
        .iter()
        .map(|engine| engine.max_layers(model, LAYER_MEMORY_SHARE))
        .sum()
}

/// Groups the engines by domain; domains too small for a whole copy form one group together.
fn group_by_domain<'a>(engines: &'a [Engine], model: &Model) -> Vec<Vec<&'a Engine>> {
    let mut domains: BTreeMap<&Domain, Vec<&Engine>> = BTreeMap::new();
    for engine in engines {
        domains.entry(&engine.domain).or_default().push(engine);
    }
    let mut whole = Vec::new();
    let mut rest = Vec::new();
    for group in domains.into_values() {
        if total_layers(&group, model) >= model.layers {
            whole.push(group);
        } else {
            rest.extend(group);
        }
    }
    if !rest.is_empty() {
        whole.push(rest);
    }
    whole
}

/// Assigns layers to the engines of a group in order. An incomplete last copy starts at `offset`,
/// unless the plan is still empty.
fn assign(group: &[&Engine], model: &Model, offset: u32, plan: &mut BTreeMap<EndpointName, Span>) {
    let mut remaining = total_layers(group, model);
    let mut next_layer = 0;
    for engine in group {
        let size = engine.max_layers(model, LAYER_MEMORY_SHARE);
        if next_layer == 0 && remaining < model.layers && !plan.is_empty() {
            next_layer = offset.min(model.layers - size.min(model.layers));
        }
        remaining -= size;
        if size == 0 {
            continue;
        }
        let to = (next_layer + size).min(model.layers);
        let from = to - size;
        plan.insert(engine.endpoint.clone(), Span { from, to });
        next_layer = if to >= model.layers { 0 } else { to };
    }
}
