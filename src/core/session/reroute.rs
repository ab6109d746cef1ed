//! The search for another chain: what failed, what was asked, and what is ready.

use std::sync::Arc;

use crate::core::session::event::Leg;
use crate::names::EndpointName;

/// How many attempts may fail in a row without a new token.
pub const FAILURE_LIMIT: u32 = 4;

/// A session's search for another chain.
#[derive(Debug, Default)]
pub struct Reroute {
    failures: u32,
    query: u32,
    pending: bool,
    avoid: Vec<EndpointName>,
    /// The chain to move to at the next token.
    next: Option<Arc<[Leg]>>,
}

impl Reroute {
    /// Notes that an attempt failed, perhaps by the fault of an endpoint.
    pub fn record_failure(&mut self, culprit: Option<EndpointName>) {
        self.failures += 1;
        self.avoid.extend(culprit);
    }

    /// Takes back one try, before one is noted in which nothing ran.
    pub fn undo_failure(&mut self) {
        self.failures = self.failures.saturating_sub(1);
    }

    /// Returns whether too many attempts failed in a row.
    pub fn is_exhausted(&self) -> bool {
        self.failures >= FAILURE_LIMIT
    }

    /// Notes that a token came: what failed before counts no more.
    pub fn reset_failures(&mut self) {
        self.failures = 0;
        self.avoid = Vec::new();
    }

    /// Returns whether no chain is asked for or ready.
    pub fn is_idle(&self) -> bool {
        !self.pending && self.next.is_none()
    }

    /// Begins a question and returns its number; an older one is void.
    pub fn start_query(&mut self) -> u32 {
        self.query += 1;
        self.pending = true;
        self.query
    }

    /// Returns the endpoints that failed the session since its last token.
    pub fn avoid(&self) -> &[EndpointName] {
        &self.avoid
    }

    /// Ends a question; returns whether it was the open one.
    pub fn finish_query(&mut self, query: u32) -> bool {
        let open = self.pending && query == self.query;
        self.pending &= !open;
        open
    }

    /// Keeps a chain for the next token.
    pub fn set_next(&mut self, legs: Arc<[Leg]>) {
        self.next = Some(legs);
    }

    /// Takes the chain that is ready, unless one of its endpoints failed the session.
    pub fn take_next(&mut self) -> Option<Arc<[Leg]>> {
        let legs = self.next.take()?;
        let failed = legs.iter().any(|leg| self.avoid.contains(&leg.endpoint));
        (!failed).then_some(legs)
    }
}
