//! Replacement of failed engines in the path of a running request.

use std::net::SocketAddr;

use super::Demand;
use super::Links;
use super::Part;
use super::Span;
use super::Stage;
use super::choose_subpath;
use crate::core::site::Model;

/// Replaces the parts of a path whose engines are in `bad`. All other parts stay, so their engines
/// keep the KV cache of the request.
///
/// Returns `None` if the first engine is bad, since it drives the path and cannot be replaced, or
/// if no other engines hold the missing layers.
pub fn reroute(
    stages: &[Stage],
    links: &Links,
    model: &Model,
    demand: Demand,
    path: &[Part],
    bad: &[SocketAddr],
) -> Option<Vec<Part>> {
    let is_bad = |part: &Part| bad.contains(&part.addr);
    if path.first().is_none_or(is_bad) {
        return None;
    }
    let mut free: Vec<Stage> = stages.to_vec();
    free.retain(|stage| {
        !bad.contains(&stage.addr) && !path.iter().any(|part| part.addr == stage.addr)
    });
    let mut rerouted: Vec<Part> = Vec::new();
    let mut index = 0;
    while index < path.len() {
        if !is_bad(&path[index]) {
            rerouted.push(path[index].clone());
            index += 1;
            continue;
        }
        let from = path[index].span.from;
        while index < path.len() && is_bad(&path[index]) {
            index += 1;
        }
        let to = path[index - 1].span.to;
        let previous = rerouted.last()?.addr;
        let home = stages.iter().find(|stage| stage.addr == previous);
        let home = home.or(stages.first())?.domain.clone();
        let parts = choose_subpath(&free, links, model, &home, demand, Span { from, to })?;
        free.retain(|stage| !parts.iter().any(|part| part.addr == stage.addr));
        rerouted.extend(parts);
    }
    Some(rerouted)
}
