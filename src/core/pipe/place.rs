//! Placement: which layers each engine should hold.
//!
//! Transfers between domains are slow, so each domain that can hold a whole model gets a copy of
//! its own, and what is left over in a domain doubles layers that no other domain has doubled.
//! The rest of an engine's memory holds requests (docs/PLATFORM.md).

use std::collections::BTreeMap;

use super::Span;
use crate::core::site::Model;
use crate::names::Domain;
use crate::names::EndpointName;

/// The share of an engine's memory that is given to layers; the rest holds requests.
const FILL: f64 = 0.73;
/// The largest share of an engine's memory that layers take when a lost engine is made up for.
const FILL_MOST: f64 = 0.9;

/// An engine that layers are placed on.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// The engine.
    pub endpoint: EndpointName,
    /// Its failure domain.
    pub domain: Domain,
    /// Its memory, in megabytes.
    pub memory: f64,
    /// The factor on its time for a token step.
    pub pace: f64,
    /// The layers that it holds or was told to hold.
    pub span: Option<Span>,
}

impl Engine {
    fn layers(&self, model: &Model, fill: f64) -> u32 {
        let most = (self.memory * fill / model.weight).floor();
        (most as u32).min(model.layers)
    }
}

/// Plans the layers of engines that are all empty.
///
/// Within a domain the engines are taken fastest first, lap after lap over the layers; the last
/// lap, which is not whole, starts at another layer in each domain.
pub fn plan_placement(seats: &[Engine], model: &Model) -> BTreeMap<EndpointName, Span> {
    let mut plan = BTreeMap::new();
    let groups = groups(seats, model);
    let count = groups.len().max(1) as u32;
    for (index, mut group) in groups.into_iter().enumerate() {
        group.sort_by(|a, b| a.pace.total_cmp(&b.pace).then(a.endpoint.cmp(&b.endpoint)));
        let offset = model.layers * index as u32 / count;
        fill(&group, model, offset, &mut plan);
    }
    plan
}

/// Plans the next orders that make up for engines that came or went.
///
/// An empty engine whose domain lacks layers gets such ones at once; one whose domain is whole waits
/// until arrivals are `quiet`, since the engine that it replaces mostly leaves just after. A layer that
/// nobody holds stops all service and is made up for next. A hole in a domain's copy costs crossings
/// only, and an engine that is missing is mostly back within seconds, so others are moved there only
/// once the fleet is `calm`: each move takes an engine out of service for the time of its load.
pub fn repair_placement(
    seats: &[Engine],
    model: &Model,
    quiet: bool,
    calm: bool,
) -> Vec<(EndpointName, Span)> {
    let mut seats = seats.to_vec();
    let mut empty: Vec<usize> = (0..seats.len())
        .filter(|index| seats[*index].span.is_none())
        .collect();
    empty.sort_by_key(|index| std::cmp::Reverse(seats[*index].layers(model, FILL)));
    let mut plan = Vec::new();
    for index in empty {
        let (span, lacks) = least_held(&seats, &seats[index], model);
        if quiet || lacks {
            seats[index].span = Some(span);
            plan.push((seats[index].endpoint.clone(), span));
        }
    }
    if !plan.is_empty() {
        return plan;
    }
    let all: Vec<&Engine> = seats.iter().collect();
    if counts(&seats, model.layers).contains(&0) || !calm {
        return close(&all, model).into_iter().collect();
    }
    let groups = groups(&seats, model);
    let mut whole = groups
        .iter()
        .filter(|group| layers(group, model) >= model.layers);
    let hole = whole.find_map(|group| close(group, model));
    hole.into_iter().collect()
}

/// Returns the layers for an empty engine: those that are held least often, in its domain above all; and
/// whether its domain lacks some of them.
fn least_held(seats: &[Engine], seat: &Engine, model: &Model) -> (Span, bool) {
    let size = seat.layers(model, FILL).max(1);
    let far = counts(seats, model.layers);
    let near = counts(
        seats.iter().filter(|other| other.domain == seat.domain),
        model.layers,
    );
    let sum = |held: &[u32]| held.iter().map(|count| weight(*count)).sum::<u32>();
    let cost = |from: &u32| {
        let range = *from as usize..(from + size) as usize;
        sum(&far[range.clone()]) + sum(&near[range])
    };
    let last = model.layers.saturating_sub(size);
    let from = (0..=last).min_by_key(cost).unwrap_or(0);
    let to = from + size;
    let lacks = near[from as usize..to as usize].contains(&0);
    (Span { from, to }, lacks)
}

/// Weighs a layer that is held `count` times: the first copies matter most.
const fn weight(count: u32) -> u32 {
    match count {
        0 => 0,
        1 => 20,
        2 => 30,
        more => 30 + more,
    }
}

/// Closes a hole in what a group holds: by an engine whose layers others of the group hold too, or
/// else by one beside the hole that has room.
fn close(seats: &[&Engine], model: &Model) -> Option<(EndpointName, Span)> {
    let held = counts(seats.iter().copied(), model.layers);
    let from = held.iter().position(|count| *count == 0)? as u32;
    let to = held[from as usize..]
        .iter()
        .position(|count| *count > 0)
        .map_or(model.layers, |len| from + len as u32);
    let hole = Span { from, to };
    shift(seats, model, &held, hole).or_else(|| widen(seats, model, hole))
}

/// Moves an engine to a hole whose own layers are all held by others.
fn shift(
    seats: &[&Engine],
    model: &Model,
    held: &[u32],
    hole: Span,
) -> Option<(EndpointName, Span)> {
    let spare = |seat: &&&Engine| {
        seat.span
            .is_some_and(|span| (span.from..span.to).all(|layer| held[layer as usize] > 1))
    };
    let seat = seats.iter().filter(spare).max_by(|a, b| {
        let fit = |seat: &Engine| seat.layers(model, FILL).min(hole.len());
        fit(a).cmp(&fit(b)).then(b.pace.total_cmp(&a.pace))
    })?;
    let size = seat.layers(model, FILL).max(1);
    let from = hole.from.min(model.layers.saturating_sub(size));
    let span = Span {
        from,
        to: from + size,
    };
    Some((seat.endpoint.clone(), span))
}

/// Extends an engine over a neighbouring layer that none of the group holds.
fn widen(seats: &[&Engine], model: &Model, hole: Span) -> Option<(EndpointName, Span)> {
    seats
        .iter()
        .filter_map(|seat| {
            let span = seat.span?;
            let most = seat.layers(model, FILL_MOST);
            let room = most.saturating_sub(span.len());
            if room == 0 {
                return None;
            }
            if span.to == hole.from {
                let to = hole.to.min(span.to + room);
                return Some((seat, Span { to, ..span }));
            }
            if span.from == hole.to {
                let from = hole.from.max(span.from.saturating_sub(room));
                return Some((seat, Span { from, ..span }));
            }
            None
        })
        .max_by_key(|(seat, span)| span.len() - seat.span.map_or(0, Span::len))
        .map(|(seat, span)| (seat.endpoint.clone(), span))
}

fn counts<'a, I>(seats: I, layers: u32) -> Vec<u32>
where
    I: IntoIterator<Item = &'a Engine>,
{
    let mut held = vec![0; layers as usize];
    for span in seats.into_iter().filter_map(|seat| seat.span) {
        for layer in span.from..span.to.min(layers) {
            held[layer as usize] += 1;
        }
    }
    held
}

/// Returns the layers that a group holds, all engines together.
fn layers(group: &[&Engine], model: &Model) -> u32 {
    group.iter().map(|seat| seat.layers(model, FILL)).sum()
}

/// Groups the seats by domain; domains that hold no whole copy are taken together.
fn groups<'a>(seats: &'a [Engine], model: &Model) -> Vec<Vec<&'a Engine>> {
    let mut domains: BTreeMap<&Domain, Vec<&Engine>> = BTreeMap::new();
    for seat in seats {
        domains.entry(&seat.domain).or_default().push(seat);
    }
    let mut whole = Vec::new();
    let mut rest = Vec::new();
    for group in domains.into_values() {
        if layers(&group, model) >= model.layers {
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

fn fill(group: &[&Engine], model: &Model, offset: u32, plan: &mut BTreeMap<EndpointName, Span>) {
    let mut left = layers(group, model);
    let mut at = 0;
    for seat in group {
        let size = seat.layers(model, FILL);
        if at == 0 && left < model.layers && !plan.is_empty() {
            at = offset.min(model.layers - size.min(model.layers));
        }
        left -= size;
        if size == 0 {
            continue;
        }
        let to = (at + size).min(model.layers);
        let from = to - size;
        plan.insert(seat.endpoint.clone(), Span { from, to });
        at = if to >= model.layers { 0 } else { to };
    }
}
