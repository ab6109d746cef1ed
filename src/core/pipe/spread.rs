//! Spreading of requests by VMs that do not know each other's load yet.

use super::Demand;
use super::Links;
use super::Span;
use super::Stage;
use super::search::Search;
use crate::clock::Millis;
use crate::core::site::Model;

/// The share of an engine's request memory that all VMs together should fill.
const TARGET_USE: f64 = 0.7;
/// The requests that are played together, and the largest number of such batches: each takes a search
/// for a path, and a small VM has a tenth of a core.
const REQUESTS_PER_BATCH: f64 = 8.0;
const MAX_BATCHES: f64 = 8.0;
/// The delay of a VM's timers up to which it plays all batches. Callers see a delay several times in a
/// request, and want their first event within half a second.
const USUAL_DELAY: Millis = Millis(20);
/// The margin for requests that begin and end at random, in standard deviations of their number.
const RANDOM_MARGIN: f64 = 1.5;
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

/// Returns how many batches of arrivals a VM plays whose timers fire `late`: at least one if there are arrivals.
///
/// This answers the load in which a VM has more to do than its share of a core allows. Plain calls and events
/// of streams wait behind each choice of a path, so choices become cheaper first, as the delay grows.
#[must_use]
pub fn count_batches(arrivals: f64, late: Millis) -> usize {
    let most = (arrivals / REQUESTS_PER_BATCH).ceil().min(MAX_BATCHES);
    let share = USUAL_DELAY.0 as f64 / late.max(USUAL_DELAY).0 as f64;
    if most >= 1.0 {
        (most * share).ceil() as usize
    } else {
        0
    }
}

/// Moves the engines' load from the time of its report to now: removes what has probably ended since,
/// and adds what other VMs have probably sent since. `turnover` is the share of the requests in
/// progress that ended and began in that time, `late` the delay of this VM's timers, and `draw` returns random
/// numbers from 0 to 1.
///
/// This answers the load in which many VMs choose by the same report: all would take the path that was
/// the cheapest then, until the next report. So the arrivals are played: in batches, each from a
/// random domain, along the path that a VM there would choose next. The older the report, the more
/// arrivals are played, and the further VMs with the same view spread; the number of VMs doesn't
/// matter, as all of them together make up the arrivals.
pub fn expect_arrivals<F>(
    stages: &mut [Stage],
    links: &Links,
    model: &Model,
    turnover: f64,
    late: Millis,
    mut draw: F,
) where
    F: FnMut() -> f64,
{
    let turnover = turnover.clamp(0.0, 1.0);
    let demand = Demand {
        prompt: model.usual.0,
        answer: model.usual.1,
    };
    let tokens = (demand.prompt + demand.answer).max(1.0);
    let arrivals = count_arrivals(stages, model, turnover);
    for stage in stages.iter_mut() {
        let changes = 2.0 * turnover * stage.running;
        let layers = f64::from(stage.span.len());
        let capacity = model.kv_capacity(stage.card, stage.span.len()).max(1.0);
        stage.running *= 1.0 - turnover;
        stage.memory_use *= 1.0 - turnover;
        stage.memory_use += RANDOM_MARGIN * changes.sqrt() * tokens * layers / capacity;
    }
    let batches = count_batches(arrivals, late);
    let size = arrivals / batches as f64;
    let all = Span {
        from: 0,
        to: model.layers,
    };
    let mut search = Search::new(stages, links, model, demand);
    for _ in 0..batches {
        let homes = search.domains();
        let home = &homes[(draw() * homes.len() as f64) as usize % homes.len()];
        let Some(path) = search.find(home, all) else {
            return;
        };
        // Batches differ in size, as requests do not come at even intervals.
        let size = size * 2.0 * draw();
        for (index, span) in path {
            let stage = &mut stages[index];
            let layers = f64::from(span.len());
            let capacity = model.kv_capacity(stage.card, stage.span.len()).max(1.0);
            stage.running += size;
            stage.memory_use += size * tokens * layers / capacity;
            search.update(index, stage);
        }
    }
}

/// Returns how many requests all VMs begin while a share of those in progress, `turnover`, ends.
#[must_use]
pub fn count_arrivals(stages: &[Stage], model: &Model, turnover: f64) -> f64 {
    let tokens = (model.usual.0 + model.usual.1).max(1.0);
    let cells: f64 = stages.iter().map(|stage| used_cells(stage, model)).sum();
    turnover * cells / (tokens * f64::from(model.layers.max(1)))
}

fn used_cells(stage: &Stage, model: &Model) -> f64 {
    stage.memory_use * model.kv_capacity(stage.card, stage.span.len()).max(0.0)
}

/// Returns the tokens for which an engine has memory beside its layers.
fn token_room(stage: &Stage, model: &Model) -> f64 {
    let layers = stage.span.len();
    (model.kv_capacity(stage.card, layers) / f64::from(layers.max(1))).max(0.0)
}
