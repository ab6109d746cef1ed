//! The theoretical maximum throughput to which measured figures are compared.

use serde::Serialize;

use super::error::BenchError;
use crate::core::config::intent::Intent;
use crate::core::config::object::Endpoint;
use crate::core::config::object::ServiceKind;
use crate::core::route::flow;
use crate::names::EndpointName;
use crate::names::ServiceName;

/// The highest rate of one model that any router could reach with the configured endpoints.
#[derive(Clone, Debug, Serialize)]
pub struct Bound {
    /// The model that the bound applies to.
    pub service: ServiceName,
    /// Tokens per second.
    pub rate: f64,
    /// The layer ranges that limit the rate, separated by spaces.
    pub layers: String,
    /// The endpoints of the minimum cut.
    pub cut: Vec<EndpointName>,
}

/// Parses an intent and returns the bound of each model in it.
pub(super) fn read(text: &str) -> Result<Vec<Bound>, BenchError> {
    let intent = Intent::parse(text)?;
    let mut bounds = Vec::new();
    for service in &intent.services {
        if let ServiceKind::Model { layers, .. } = service.kind {
            bounds.push(bound(&intent, &service.name, layers));
        }
    }
    Ok(bounds)
}

fn bound(intent: &Intent, service: &ServiceName, layers: u32) -> Bound {
    let endpoints: Vec<&Endpoint> = intent
        .endpoints
        .iter()
        .filter(|one| one.service == *service)
        .collect();
    let found = flow::bound(layers, &endpoints);
    let ranges: Vec<String> = found.layers.iter().map(ToString::to_string).collect();
    Bound {
        service: service.clone(),
        rate: found.rate,
        layers: ranges.join(" "),
        cut: found.cut,
    }
}
