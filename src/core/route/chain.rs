//! Finds the cheapest chain of endpoints for a model, as a shortest path over its layers.
//!
//! The boundaries of the endpoints' layer ranges divide the model into segments. An endpoint may
//! run any sub-range of the layers that it holds. Entering an endpoint has a price, and so has each
//! layer that it runs. One pass over the segments finds the cheapest chain, in time proportional to
//! the number of segments times the number of endpoints of the service.

use crate::core::config::object::Layers;
use crate::names::EndpointName;

/// One endpoint of a chain and the layers that it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leg {
    /// The endpoint that runs this part.
    pub endpoint: EndpointName,
    /// The layers that it runs in this chain; these may be fewer than it holds.
    pub layers: Layers,
}

/// An endpoint that may be part of a chain.
#[derive(Clone, Copy, Debug)]
pub struct Stage<'a> {
    /// The endpoint's name.
    pub endpoint: &'a EndpointName,
    /// All layers that the endpoint holds.
    pub held: Layers,
    /// The price of adding the endpoint to a chain, on the scale of `layer_price`.
    pub entry_price: f64,
    /// The price of running one layer on it.
    pub layer_price: f64,
}

/// The cheapest path to the end of a segment, where a given stage runs that segment.
#[derive(Clone, Copy, Debug)]
struct Step {
    price: f64,
    /// The index of the stage that runs the previous segment; `None` for the first segment.
    previous: Option<usize>,
}

/// Returns the cheapest chain over the segments between `bounds`.
///
/// # Errors
///
/// Returns the first layer of the first segment that no stage holds.
pub fn cheapest(bounds: &[u32], stages: &[Stage<'_>]) -> Result<Vec<Leg>, u32> {
    let mut rows = Vec::<Vec<Option<Step>>>::new();
    for pair in bounds.windows(2) {
        let segment = Layers {
            from: pair[0],
            to: pair[1],
        };
        let row = next_row(rows.last(), segment, stages);
        if row.iter().all(Option::is_none) {
            return Err(segment.from);
        }
        rows.push(row);
    }
    Ok(backtrack(bounds, stages, &rows))
}

fn next_row(
    last: Option<&Vec<Option<Step>>>,
    segment: Layers,
    stages: &[Stage<'_>],
) -> Vec<Option<Step>> {
    let reached = last.map_or(Some((None, 0.0)), |row| {
        cheapest_step(row).map(|(at, step)| (Some(at), step.price))
    });
    let size = f64::from(segment.to - segment.from);
    let step = |(at, stage): (usize, &Stage<'_>)| {
        if stage.held.from > segment.from || stage.held.to < segment.to {
            return None;
        }
        let (previous, price) = reached?;
        let entered = Step {
            price: price + stage.entry_price,
            previous,
        };
        let kept = last.and_then(|row| row[at]).map(|one| Step {
            price: one.price,
            previous: Some(at),
        });
        let best = kept
            .filter(|one| one.price <= entered.price)
            .unwrap_or(entered);
        Some(Step {
            price: best.price + stage.layer_price * size,
            ..best
        })
    };
    stages.iter().enumerate().map(step).collect()
}

fn cheapest_step(row: &[Option<Step>]) -> Option<(usize, Step)> {
    row.iter()
        .enumerate()
        .filter_map(|(at, step)| step.map(|one| (at, one)))
        .min_by(|left, right| left.1.price.total_cmp(&right.1.price))
}

fn backtrack(bounds: &[u32], stages: &[Stage<'_>], rows: &[Vec<Option<Step>>]) -> Vec<Leg> {
    let mut legs = Vec::<Leg>::new();
    let mut at = rows
        .last()
        .and_then(|row| cheapest_step(row))
        .map(|(at, _)| at);
    for (row, pair) in rows.iter().zip(bounds.windows(2)).rev() {
        let Some(stage) = at else {
            break;
        };
        let name = stages[stage].endpoint;
        match legs.last_mut() {
            Some(leg) if leg.endpoint == *name => leg.layers.from = pair[0],
            _ => legs.push(Leg {
                endpoint: name.clone(),
                layers: Layers {
                    from: pair[0],
                    to: pair[1],
                },
            }),
        }
        at = row[stage].and_then(|step| step.previous);
    }
    legs.reverse();
    legs
}
