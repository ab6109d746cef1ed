//! Room for requests on each layer of a domain, and which layers are short of it.

use std::collections::BTreeMap;

use super::Engine;
use super::Span;
use crate::core::site::Model;
use crate::names::Domain;

/// The tokens for which engines have memory beside their layers, for each layer of each domain.
#[derive(Clone, Debug, Default)]
pub struct Rooms<'a> {
    by_domain: BTreeMap<&'a Domain, Vec<f64>>,
    layers: usize,
}

impl<'a> Rooms<'a> {
    /// Sums up the room on the engines' layers.
    pub fn count<I>(engines: I, model: &Model) -> Self
    where
        I: IntoIterator<Item = &'a Engine>,
    {
        let mut rooms = Self {
            layers: model.layers as usize,
            ..Self::default()
        };
        for engine in engines {
            rooms.add(
                engine,
                engine.span.unwrap_or(Span { from: 0, to: 0 }),
                model,
            );
        }
        rooms
    }

    /// Returns the room on each layer of a domain.
    pub fn of(&self, domain: &Domain) -> Vec<f64> {
        let none = || vec![0.0; self.layers];
        self.by_domain.get(domain).cloned().unwrap_or_else(none)
    }

    /// Adds the room of an engine that holds `span`.
    pub fn add(&mut self, engine: &'a Engine, span: Span, model: &Model) {
        let layers = self.layers;
        let room = self.by_domain.entry(&engine.domain);
        let room = room.or_insert_with(|| vec![0.0; layers]);
        add_room(room, engine, span, model, 1.0);
    }

    /// Returns the layers for an empty engine that has memory for `max` of them, and whether its
    /// domain has no room on some of these; see [`best_span`].
    pub fn scarcest(&self, engine: &Engine, max: u32, model: &Model) -> (Span, bool) {
        let room = self.of(&engine.domain);
        let span = best_span(&room, engine, max, model);
        let fills_gap = (span.from..span.to).any(|layer| room[layer as usize] <= 0.0);
        (span, fills_gap)
    }
}

/// Returns the least room on a layer.
pub fn least(room: &[f64]) -> f64 {
    room.iter().copied().fold(f64::INFINITY, f64::min)
}

/// Adds `sign` times the room of an engine that holds `span` to each of its layers.
pub fn add_room(room: &mut [f64], engine: &Engine, span: Span, model: &Model, sign: f64) {
    let tokens = engine_room(engine, span.len(), model);
    for layer in span.from..span.to.min(room.len() as u32) {
        room[layer as usize] += sign * tokens;
    }
}

/// Returns the tokens for which an engine has memory beside `count` layers; at least 1.
fn engine_room(engine: &Engine, count: u32, model: &Model) -> f64 {
    let free = engine.memory - f64::from(count) * model.weight;
    let cell = model.token / f64::from(model.layers.max(1)) / 1e6;
    (free / cell / f64::from(count.max(1))).max(1.0)
}

/// Returns the layers, at most `max` and at least half as many, that an engine should hold so that the
/// layer with the least room has most. Where no choice changes that, as one engine cannot fill a gap,
/// the layers are those that are scarcest together.
pub fn best_span(room: &[f64], engine: &Engine, max: u32, model: &Model) -> Span {
    /// Choices count as equal if they differ by less than this share.
    const TOLERANCE: f64 = 1e-6;
    let layers = room.len();
    let max = (max as usize).clamp(1, layers.max(1));
    let scarcity: Vec<f64> = room.iter().map(|room| 1.0 / room.max(1.0)).collect();
    let mut below = vec![f64::INFINITY; layers + 1];
    let mut above = vec![f64::INFINITY; layers + 1];
    for (at, room) in room.iter().enumerate() {
        below[at + 1] = below[at].min(*room);
    }
    for (at, room) in room.iter().enumerate().rev() {
        above[at] = above[at + 1].min(*room);
    }
    let gains: Vec<f64> = (0..=max as u32)
        .map(|count| engine_room(engine, count, model))
        .collect();
    let mut best = (f64::NEG_INFINITY, 0.0, 0, max);
    for (from, below) in below.iter().enumerate().take(layers) {
        let (mut inside, mut covered) = (f64::INFINITY, 0.0);
        for to in from + 1..=(from + max).min(layers) {
            inside = inside.min(room[to - 1]);
            covered += scarcity[to - 1];
            let count = to - from;
            if count < (max / 2).max(1) {
                continue;
            }
            let after = below.min(above[to]).min(inside + gains[count]);
            let margin = best.0.abs() * TOLERANCE;
            let is_equal = (after - best.0).abs() <= margin;
            if after > best.0 + margin || is_equal && covered > best.1 * (1.0 + TOLERANCE) {
                best = (after, covered, from, to);
            }
        }
    }
    Span {
        from: best.2 as u32,
        to: best.3 as u32,
    }
}
