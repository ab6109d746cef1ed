//! Whole copies of a model that give each of their engines the same share of memory for requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Engine;
use super::Span;
use crate::core::site::Model;
use crate::names::Domain;
use crate::names::EndpointName;

/// The largest share of a copy's memory that is planned for layers. Fewer copies with more room each
/// take more streams at the crest of demand; more copies run a stream in less time. Of the shares whose
/// times stay well within what callers wait between events, this one takes most.
const COPY_MEMORY_SHARE: f64 = 0.6;
/// The copies for which a domain must have memory. With fewer, the memory beside the first copy holds
/// second copies of single layers, so that no loss of one engine takes the whole domain's copy.
const MIN_COPIES: f64 = 2.0;
/// The most engines of a copy before what remains joins it. A token waits for the next pass of each
/// engine, and engines take paths of at most 32.
const MAX_COPY_ENGINES: f64 = 16.0;

/// Returns the domains whose layers are planned as whole copies: those with memory for two of them, and
/// without engines so small that a copy would need many.
pub fn domains_with_copies<'a>(engines: &'a [Engine], model: &Model) -> BTreeSet<&'a Domain> {
    let mut memory: BTreeMap<&Domain, (f64, f64)> = BTreeMap::new();
    for engine in engines {
        let (sum, least) = memory.entry(&engine.domain).or_insert((0.0, f64::MAX));
        *sum += engine.memory;
        *least = least.min(engine.memory);
    }
    let copy = copy_size(model) / COPY_MEMORY_SHARE;
    let enough = memory
        .into_iter()
        .filter(|(_, (sum, least))| *sum >= MIN_COPIES * copy && least * MAX_COPY_ENGINES >= copy);
    enough.map(|(domain, _)| domain).collect()
}

/// Plans the layers of one domain's engines, the fastest first, as whole copies.
///
/// A copy takes engines until [`COPY_MEMORY_SHARE`] of their memory holds all layers; what remains
/// too small for a copy joins the last one. Within a copy each engine holds layers in proportion to
/// its memory. So no layer of a copy has less room for requests than the others, which would leave
/// the memory of the others unused: a request needs room on each layer.
pub fn plan_copies(group: &[&Engine], model: &Model, plan: &mut BTreeMap<EndpointName, Span>) {
    let mut copies: Vec<Vec<&Engine>> = Vec::new();
    let mut open: Vec<&Engine> = Vec::new();
    let mut memory = 0.0;
    for engine in group {
        open.push(engine);
        memory += engine.memory;
        if memory * COPY_MEMORY_SHARE >= copy_size(model) {
            copies.push(std::mem::take(&mut open));
            memory = 0.0;
        }
    }
    match copies.last_mut() {
        Some(last) => last.append(&mut open),
        None => copies.push(open),
    }
    for copy in copies {
        place_copy(&copy, model, plan);
    }
}

/// Returns the memory of all layers, in megabytes.
fn copy_size(model: &Model) -> f64 {
    model.weight * f64::from(model.layers)
}

/// Divides all layers among the engines in proportion to their memory.
fn place_copy(copy: &[&Engine], model: &Model, plan: &mut BTreeMap<EndpointName, Span>) {
    let total: f64 = copy.iter().map(|engine| engine.memory).sum();
    let mut memory = 0.0;
    let mut from = 0;
    for engine in copy {
        memory += engine.memory;
        let to = (f64::from(model.layers) * memory / total).round() as u32;
        if to > from {
            plan.insert(engine.endpoint.clone(), Span { from, to });
        }
        from = to;
    }
}
