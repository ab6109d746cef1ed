//! Spreading of requests by VMs that do not know each other's load yet.

use super::Stage;
use crate::core::site::Model;

/// The share of an engine's request memory that all VMs together should fill.
const TARGET_USE: f64 = 0.7;
/// How much more than the mean engine a fast one costs a request that it is not offered to: the
/// least and the largest factor.
const AVOIDANCE: (f64, f64) = (1.2, 2.0);

/// Offers the fast engines to a share of the requests only, in proportion to their memory: to others
/// they cost more than the mean engine. `used` is the number of tokens of all VMs that are in
/// progress, as far as this VM knows, and `draw` returns random numbers from 0 to 1.
///
/// This answers the load after a start of all VMs, when callers come back at once and no VM knows what
/// the others run: all would choose the same fastest engines, which refuse what exceeds their memory.
/// At other times it is not used: streams on slower engines last longer, so a fault meets more of
/// them.
pub fn spread_load<F>(stages: &mut [Stage], model: &Model, used: f64, mut draw: F)
where
    F: FnMut() -> f64,
{
    let held: f64 = stages.iter().map(|stage| f64::from(stage.span.len())).sum();
    let time = |stage: &Stage| f64::from(stage.span.len()) * stage.card.pace;
    let mean_pace = stages.iter().map(time).sum::<f64>() / held.max(1.0);
    for stage in stages {
        let is_fast = stage.card.pace < mean_pace;
        if is_fast && draw() * used >= token_room(stage, model) * TARGET_USE {
            let (least, most) = AVOIDANCE;
            stage.penalty *= mean_pace / stage.card.pace * (least + (most - least) * draw());
        }
    }
}

/// Adds to each engine the requests that other VMs have probably sent there since its load was
/// reported: `arrivals` is their number as a share of those in progress, and `draw` returns random
/// numbers from 0 to 1.
///
/// This answers the load in which many VMs choose by the same report: all would take the same engine,
/// which is the cheapest until the next one. Fast engines attract most requests, so each engine gets
/// an exponentially distributed number, on average in proportion to its speed. The spread grows with
/// the age of the reports; the number of VMs adds nothing to it, as each has the fewer requests the
/// more they are.
pub fn expect_arrivals<F>(stages: &mut [Stage], model: &Model, arrivals: f64, mut draw: F)
where
    F: FnMut() -> f64,
{
    let speed = |stage: &Stage| f64::from(stage.span.len()) / stage.card.pace;
    let speeds: f64 = stages.iter().map(speed).sum();
    let cells = |stage: &Stage| model.kv_capacity(stage.card, stage.span.len()).max(1.0);
    let used = stages.iter().map(|stage| stage.memory_use * cells(stage));
    let new_cells = arrivals * used.sum::<f64>() / speeds.max(1e-9);
    let running = stages
        .iter()
        .map(|stage| stage.running * f64::from(stage.span.len()));
    let new_running = arrivals * running.sum::<f64>() / speeds.max(1e-9);
    for stage in stages {
        let share = speed(stage) * -(1.0 - draw()).ln();
        stage.memory_use += new_cells * share / cells(stage);
        stage.running += new_running * share / f64::from(stage.span.len().max(1));
    }
}

/// Returns the tokens for which an engine has memory beside its layers.
fn token_room(stage: &Stage, model: &Model) -> f64 {
    let layers = stage.span.len();
    (model.kv_capacity(stage.card, layers) / f64::from(layers.max(1))).max(0.0)
}
