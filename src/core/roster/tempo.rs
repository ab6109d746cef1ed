//! How long the events of paths through an endpoint take, as this VM's streams showed lately.

use super::Roster;
use crate::clock::Millis;
use crate::core::pipe::Demand;
use crate::core::pipe::Part;
use crate::core::site::Model;
use crate::names::Domain;
use crate::names::EndpointName;

/// The weight of the newest value in the moving averages.
const WEIGHT: f64 = 0.1;
/// How long after the last event the averages are used; the load changes within seconds.
const TEMPO_TTL: Millis = Millis::seconds(10);
/// The highest ratio of the time to a first event to its estimate, which holds for an idle engine.
/// Beyond it the path is overloaded.
const MAX_LAG: f64 = 20.0;
/// The longest gap that counts; a path is checked for failures at the latest after this time.
const MAX_GAP: Millis = Millis(350);
/// One megabit per second in bytes per millisecond.
const BYTES_PER_MS: f64 = 125.0;

/// Moving averages over the streams that pass through an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tempo {
    /// The mean gap between two events, in milliseconds.
    gap: Option<f64>,
    /// The mean ratio of the time to the first event to its estimate.
    lag: Option<f64>,
    last_event: Millis,
}

fn add_to(average: &mut Option<f64>, value: f64) {
    let old = average.unwrap_or(value);
    *average = Some(old + (value - old) * WEIGHT);
}

impl Roster {
    /// Records a gap between two events of a stream through an endpoint, unless it is so long that it
    /// tells of a failure.
    pub fn record_gap(&mut self, now: Millis, endpoint: &EndpointName, gap: Millis) {
        if gap > MAX_GAP {
            return;
        }
        if let Some(tempo) = self.tempo_at(now, endpoint) {
            add_to(&mut tempo.gap, gap.0 as f64);
        }
    }

    /// Records how long a stream through an endpoint took to its first event, and the
    /// [`Self::estimate_first`] of its path; 0 if there is none.
    pub fn record_lag(
        &mut self,
        now: Millis,
        endpoint: &EndpointName,
        waited: Millis,
        estimate: f64,
    ) {
        if estimate <= 0.0 {
            return;
        }
        let ratio = waited.0 as f64 / estimate;
        if let Some(tempo) = self.tempo_at(now, endpoint) {
            add_to(&mut tempo.lag, ratio.clamp(0.0, MAX_LAG));
        }
    }

    /// Returns the averages of an endpoint, which start anew if they are too old.
    fn tempo_at(&mut self, now: Millis, endpoint: &EndpointName) -> Option<&mut Tempo> {
        let tempo = &mut self.endpoints.get_mut(endpoint)?.tempo;
        if now.since(tempo.last_event) > TEMPO_TTL {
            *tempo = Tempo::default();
        }
        tempo.last_event = now;
        Some(tempo)
    }

    /// Returns the largest of the values that `read` returns for the endpoints of a path.
    fn largest<F>(&self, now: Millis, path: &[Part], read: F) -> Option<f64>
    where
        F: Fn(&Tempo) -> Option<f64>,
    {
        let states = path
            .iter()
            .filter_map(|part| self.endpoints.get(&part.endpoint));
        let fresh = states.filter(|state| now.since(state.tempo.last_event) <= TEMPO_TTL);
        fresh
            .filter_map(|state| read(&state.tempo))
            .max_by(f64::total_cmp)
    }

    /// Returns the mean gap between events that streams through the slowest engine of a path showed
    /// lately; `None` if there were none.
    pub fn usual_gap(&self, now: Millis, path: &[Part]) -> Option<Millis> {
        let gap = self.largest(now, path, |tempo| tempo.gap)?;
        Some(Millis(gap as u64))
    }

    /// Returns the factor on [`Self::estimate_first`] for a path, at least 1, from the streams through
    /// its engines.
    pub fn usual_lag(&self, now: Millis, path: &[Part]) -> f64 {
        self.largest(now, path, |tempo| tempo.lag)
            .unwrap_or(1.0)
            .max(1.0)
    }

    /// Returns the estimated time until a path without other requests sends its first event, in
    /// milliseconds: each engine reads the prompt and makes one step, and the prompt crosses the
    /// links between domains.
    pub fn estimate_first(&self, path: &[Part], model: &Model, demand: Demand) -> f64 {
        let mut time = 0.0;
        let mut last: Option<&Domain> = None;
        for part in path {
            let state = self.endpoints.get(&part.endpoint);
            let Some(entry) = state.and_then(|state| state.last_entry.as_ref()) else {
                continue;
            };
            let Some(card) = entry.kind.as_ref().and_then(|kind| model.cards.get(kind)) else {
                continue;
            };
            let share = f64::from(part.span.len()) / f64::from(model.layers.max(1));
            time += share * (card.read * demand.prompt / model.reading + card.pace * model.step);
            if last.is_some_and(|last| *last != entry.domain) {
                time += demand.prompt * model.activation / (model.pipe * BYTES_PER_MS);
                time += model.delay;
            }
            last = Some(&entry.domain);
        }
        time
    }
}
