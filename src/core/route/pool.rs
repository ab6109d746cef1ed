//! The endpoints of one service and what is worked out once for each change of them.

use std::collections::BTreeMap;

use super::flow;
use super::flow::Bound;
use super::view::View;
use crate::core::config::object::Endpoint;
use crate::names::EndpointName;

/// An endpoint that the best flow leaves idle still gets this share of its capacity as weight, so
/// that it can stand in for others.
const IDLE_WEIGHT: f64 = 0.05;

/// The endpoints of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    pub views: BTreeMap<EndpointName, View>,
    pub boundaries: Vec<u32>,
}

impl Pool {
    /// Takes over the service's endpoints; views of those that stay are kept.
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
