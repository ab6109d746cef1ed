//! The search for another chain: failed attempts, endpoints to avoid and the query to the router.

use std::sync::Arc;

use crate::core::session::event::Leg;
use crate::names::EndpointName;

/// How many attempts may fail in a row without a new token.
pub const FAILURE_LIMIT: u32 = 4;

/// A session's search for another chain.
#[derive(Debug, Default)]
pub struct Reroute {
    /// The attempts that failed since the last token.
    failures: u32,
    /// The number of the latest query to the router.
    query: u32,
    /// Whether that query has not been answered.
    pending: bool,
    /// The endpoints that failed the session since its last token.
    avoid: Vec<EndpointName>,
    /// The chain to move to at the next token.
    next: Option<Arc<[Leg]>>,
}

impl Reroute {
    /// Counts a failed attempt; `endpoint` is the one to avoid, if one caused the failure.
    pub fn record_failure(&mut self, endpoint: Option<EndpointName>) {
        self.failures += 1;
        self.avoid.extend(endpoint);
    }

    /// Takes one failure off the count, before a failure is recorded in which nothing ran.
    pub fn undo_failure(&mut self) {
        self.failures = self.failures.saturating_sub(1);
    }

    /// Returns whether too many attempts failed in a row.
    pub fn is_exhausted(&self) -> bool {
        self.failures >= FAILURE_LIMIT
    }

    /// Resets the failure count and the endpoints to avoid, after a new token.
    pub fn reset_failures(&mut self) {
        self.failures = 0;
        self.avoid = Vec::new();
    }

    /// Returns whether no query is open and no chain is ready.
    pub fn is_idle(&self) -> bool {
        !self.pending && self.next.is_none()
    }

    /// Starts a query to the router and returns its number; an older open query becomes invalid.
    pub fn start_query(&mut self) -> u32 {
        self.query += 1;
        self.pending = true;
        self.query
    }

    /// Returns the endpoints that failed the session since its last token.
    pub fn avoid(&self) -> &[EndpointName] {
        &self.avoid
    }

    /// Ends the query with this number; returns whether it was the open one.
    pub fn finish_query(&mut self, query: u32) -> bool {
        let open = self.pending && query == self.query;
        self.pending &= !open;
        open
    }

    /// Sets the chain to move to at the next token.
    pub fn set_next(&mut self, legs: Arc<[Leg]>) {
        self.next = Some(legs);
    }

    /// Takes the chain that is ready. Drops it if one of its endpoints has failed the session.
    pub fn take_next(&mut self) -> Option<Arc<[Leg]>> {
        let legs = self.next.take()?;
        let failed = legs.iter().any(|leg| self.avoid.contains(&leg.endpoint));
        (!failed).then_some(legs)
    }
}
