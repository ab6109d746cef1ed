//! Choice of a path: a sequence of engines that runs every layer once and in order.

use std::net::SocketAddr;

use super::Links;
use super::Span;
use super::search::Search;
use crate::core::site::Card;
use crate::core::site::Model;
use crate::names::Domain;
use crate::names::EndpointName;

/// The fixed cost of each engine in a path, in milliseconds per token: the token waits for the
/// engine's next forward pass.
const HOP_COST_MS: f64 = 0.4;
/// The share of an engine's request memory from which its cost rises: requests that were sent by other
/// VMs since its load was reported take the rest.
const HIGH_MEMORY_USE: f64 = 0.6;
/// How fast the cost rises from [`HIGH_MEMORY_USE`] on: by this factor for each tenth of the memory. The
/// slowest engines then take requests before the fastest run out of memory.
const MEMORY_COST_FACTOR: f64 = 3.0;

/// What opening a connection to the first engine adds, as a share of that engine's time. It decides
/// between first engines of nearly the same time only.
const COLD_SHARE: f64 = 0.1;

/// An engine that a path may use, with its present load.
#[derive(Clone, Debug)]
pub struct Stage {
    /// The name under which the engine is registered.
    pub endpoint: EndpointName,
    /// The address that identifies the engine in a path.
    pub addr: SocketAddr,
    /// The failure domain; transfers to other domains are slow.
    pub domain: Domain,
    /// The layers that the engine has loaded.
    pub span: Span,
    /// The memory and speed of its accelerator.
    pub card: Card,
    /// The estimated number of requests of all VMs that run on it now.
    pub running: f64,
    /// The estimated share of its request memory (KV cache) in use; above 1 if overcommitted.
    pub memory_use: f64,
    /// A factor on its cost; above 1 if the engine was slow or failed recently.
    pub penalty: f64,
    /// Whether it has a free slot to be the first engine of a path, which accepts the request and
    /// streams the answer, and this VM's share of its limit allows a request.
    pub can_lead: bool,
    /// Whether this VM has an idle connection to it.
    pub is_warm: bool,
}

impl Stage {
    /// Returns whether the engine has memory for a request on all of its layers, if requests may fill
    /// up to `limit` of its request memory.
    #[must_use]
    pub fn fits(&self, model: &Model, demand: Demand, limit: f64) -> bool {
        let layers = self.span.len();
        let cells = (demand.prompt + demand.answer) * f64::from(layers);
        self.memory_use + cells / model.kv_capacity(self.card, layers).max(1.0) <= limit
    }
}

/// One engine of a path and the layers that it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The name under which the engine is registered.
    pub endpoint: EndpointName,
    /// The address at which the engine is called.
    pub addr: SocketAddr,
    /// The layers that the engine runs for this request, a part of those that it holds.
    pub span: Span,
}

/// The number of tokens of a request, from which its cost is estimated.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// The tokens of the prompt.
    pub prompt: f64,
    /// The expected tokens of the answer.
    pub answer: f64,
}

/// Returns the path with the lowest estimated time, or `None` if no path runs all layers.
///
/// The estimate covers the prompt and every token on each engine at its present load, and the
/// transfers between domains. `home` is the domain of this VM. Links that take no new request are not
/// crossed.
pub fn choose_path(
    stages: &[Stage],
    links: &Links,
    model: &Model,
    home: &Domain,
    demand: Demand,
) -> Option<Vec<Part>> {
    let all = Span {
        from: 0,
        to: model.layers,
    };
    choose_subpath(stages, links, model, home, demand, all)
}

/// Returns the cheapest path through a range of layers; `home` is the domain from which it is
/// entered.
///
/// This replaces an engine that stalls during a request: the other engines keep their KV cache, so
/// only the layers in `range` process the prompt again.
pub fn choose_subpath(
    stages: &[Stage],
    links: &Links,
    model: &Model,
    home: &Domain,
    demand: Demand,
    range: Span,
) -> Option<Vec<Part>> {
    let parts = Search::new(stages, links, model, demand).find(home, range)?;
    let part = |(index, span): (usize, Span)| Part {
        endpoint: stages[index].endpoint.clone(),
        addr: stages[index].addr,
        span,
    };
    Some(parts.into_iter().map(part).collect())
}

/// The estimated time, in milliseconds, that a request spends on an engine at its present load.
#[derive(Clone, Copy, Debug)]
pub(super) struct StageCost {
    /// The time that does not depend on the layers.
    pub(super) fixed: f64,
    /// The time for each layer.
    pub(super) per_layer: f64,
    is_warm: bool,
}

impl StageCost {
    /// Estimates the time of a request on an engine.
    pub(super) fn of(stage: &Stage, model: &Model, demand: Demand) -> Self {
        let context = (demand.prompt + demand.answer) / 1000.0 * model.context;
        let step = model.step + (model.sequence + context) * stage.running;
        let tokens = stage.card.pace * step * demand.answer;
        let prompt = stage.card.read * demand.prompt / model.reading;
        let high = (stage.memory_use - HIGH_MEMORY_USE).max(0.0);
        let factor = stage.penalty * MEMORY_COST_FACTOR.powf(high * 10.0);
        Self {
            fixed: HOP_COST_MS * demand.answer * factor,
            per_layer: (tokens + prompt) / f64::from(model.layers.max(1)) * factor,
            is_warm: stage.is_warm,
        }
    }

    /// Returns what a new connection adds to the time of a first engine that runs `layers` layers.
    ///
    /// Without it, the requests of a VM that has few would each open a connection to another of the engines
    /// that are alike. The share is less than the random part of the costs, so that a VM's requests still
    /// go to several engines, and a full engine costs eight times as much.
    pub(super) fn opening(self, layers: u32) -> f64 {
        if self.is_warm {
            return 0.0;
        }
        COLD_SHARE * (self.fixed + self.per_layer * f64::from(layers))
    }
}

/// Returns the first layers of a model that none of the engines holds; `None` if each has one.
#[must_use]
pub fn find_gap(stages: &[Stage], layers: u32) -> Option<Span> {
    let is_held = |layer: &u32| stages.iter().any(|stage| stage.span.contains(*layer));
    let from = (0..layers).find(|layer| !is_held(layer))?;
    let to = (from..layers).find(is_held).unwrap_or(layers);
    Some(Span { from, to })
}
