//! The bound that measured figures are held against.

use serde::Serialize;

use super::error::BenchError;
use crate::core::config::intent::Intent;
use crate::core::config::object::Endpoint;
use crate::core::config::object::ServiceKind;
use crate::core::route::flow;
use crate::names::EndpointName;
use crate::names::ServiceName;

/// The highest rate of one service that any router could reach.
#[derive(Clone, Debug, Serialize)]
pub struct Bound {
    /// The service.
    pub service: ServiceName,
    /// Tokens a second, or calls a second for a plain service.
    pub rate: f64,
    /// The layers that limit it.
    pub layers: String,
    /// The endpoints of the cut.
    pub cut: Vec<EndpointName>,
}

/// Returns the bound of each model of an intent.
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
