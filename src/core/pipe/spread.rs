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

/// Returns the tokens for which an engine has memory beside its layers.
fn token_room(stage: &Stage, model: &Model) -> f64 {
    let layers = stage.span.len();
    (model.kv_capacity(stage.card, layers) / f64::from(layers.max(1))).max(0.0)
}
