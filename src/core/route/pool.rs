//! The endpoints of one service, with the layer boundaries and weights that are recomputed only
//! when the endpoints change.

use std::collections::BTreeMap;

use super::flow;
use super::flow::Bound;
use super::view::View;
use crate::core::config::object::Endpoint;
use crate::names::EndpointName;

/// The least weight of an endpoint, as a fraction of its capacity. Endpoints that the optimal flow
/// doesn't use still get some work, so that they can take over when others fail.
const IDLE_WEIGHT: f64 = 0.05;

/// The views of one service's endpoints.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    pub views: BTreeMap<EndpointName, View>,
    /// The layers at which the range of any endpoint begins or ends, with the model's ends.
    pub boundaries: Vec<u32>,
}

impl Pool {
    /// Replaces the service's endpoints, keeps the views of those that remain, and returns the
    /// bound of the new set.
    pub fn replace(&mut self, layers: u32, endpoints: &[&Endpoint]) -> Bound {
        let mut views = BTreeMap::new();
        for one in endpoints {
            let mut view = self
                .views
                .remove(&one.name)
                .unwrap_or_else(|| View::new(one));
            view.update(one);
            views.insert(one.name.clone(), view);
        }
        self.views = views;
        let held = endpoints.iter().filter_map(|one| one.layers.as_ref());
        self.boundaries = flow::boundaries(layers, held);
        let best = flow::bound(layers, endpoints);
        self.set_weights(endpoints, &best);
        best
    }

    fn set_weights(&mut self, endpoints: &[&Endpoint], best: &Bound) {
        for (one, flow) in endpoints.iter().zip(&best.flows) {
            let least = flow::capacity(one) * IDLE_WEIGHT;
            if let Some(view) = self.views.get_mut(&one.name) {
                let weight = flow.work.max(least);
                view.weight = if one.rate == 0 {
                    f64::from(one.slots)
                } else {
                    weight
                };
            }
        }
    }
}
