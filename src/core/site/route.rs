//! Routes: which service a request goes to, and what may be done with it.

use serde::Deserialize;
use serde::Serialize;

use super::KeyHolder;
use super::SiteConfig;
use crate::clock::Millis;
use crate::names::ServiceName;

/// What a route promises about repeated runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    Once,
    /// A request is answered by a stream of events; it runs once unless the route may be resumed.
    Stream,
}

/// A service's part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its weight against the others of the route.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// The beginning of their path; it begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest that a caller is kept waiting.
    pub timeout: Millis,
    /// The time within which an answer has its full worth.
    pub target: Millis,
    /// The longest pause between the events of a stream that is still in time.
    pub gap: Option<Millis>,
    /// The most endpoints to which one request may be sent.
    pub attempts: u32,
    /// Its rank, 0 first.
    pub priority: u8,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a broken stream may go on at another endpoint.
    pub resume: bool,
    /// The services.
    pub split: Vec<WeightedService>,
}

impl Route {
    /// Says whether a request of this route may run again after an attempt of unknown outcome.
    #[must_use]
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.resume,
        }
    }

    /// Returns the service for a draw between 0 and 1.
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceName> {
        let total = self
            .split
            .iter()
            .map(|share| f64::from(share.weight))
            .sum::<f64>();
        let mut remaining = draw * total;
        for share in &self.split {
            remaining -= f64::from(share.weight);
            if remaining < 0.0 {
                return Some(&share.service);
            }
        }
        self.split.last().map(|share| &share.service)
    }
}

/// A request that no route allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// No route matches.
    NoRoute,
    /// The key is missing or held by no team.
    InvalidKey,
}

/// The route of a request, and who sends it.
#[derive(Clone, Copy, Debug)]
pub struct RouteMatch<'a> {
    /// The route.
    pub route: &'a Route,
    /// The holder of the request's key, if it needs one.
    pub holder: Option<&'a KeyHolder>,
}

impl RouteMatch<'_> {
    /// Returns the rank of the request, 0 first: the team's goes before the route's.
    #[must_use]
    pub fn priority(&self) -> u8 {
        let team = self.holder.and_then(|holder| holder.priority);
        team.unwrap_or(self.route.priority)
    }
}

impl SiteConfig {
    /// Finds the route of a request: the longest prefix among those of its host.
    ///
    /// # Errors
    ///
    /// Fails if no route matches, or the route needs a key that no team holds.
    pub fn find(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<RouteMatch<'_>, RouteError> {
        let host = host.split(':').next().unwrap_or(host);
        let route = self
            .routes
            .iter()
            .filter(|route| {
                route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
            })
            .max_by_key(|route| route.prefix.len())
            .ok_or(RouteError::NoRoute)?;
        let Some(keys) = &self.keys else {
            return Ok(RouteMatch {
                route,
                holder: None,
            });
        };
        let holder = key.and_then(|key| keys.get(key));
        if holder.is_none() && !route.public {
            return Err(RouteError::InvalidKey);
        }
        Ok(RouteMatch { route, holder })
    }
}
