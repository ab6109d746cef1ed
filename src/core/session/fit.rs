//! The check of a reply against the one hop that is outstanding.

use crate::core::session::event::Leg;
use crate::core::session::wire::HopReply;
use crate::core::session::wire::Output;
use crate::core::session::wire::SessionId;

/// How an answer fits the outstanding hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fit {
    /// It answers the hop.
    Fits,
    /// It belongs to another session.
    Crossed,
    /// It belongs to an earlier attempt or hop.
    Late,
    /// It answers what was answered before.
    Doubled,
    /// It contradicts the hop, which ends the attempt.
    Doubtful,
}

/// The answer that a session waits for.
#[derive(Clone, Copy, Debug)]
pub struct Awaited<'a> {
    /// The session.
    pub session: SessionId,
    /// The attempt.
    pub attempt: u32,
    /// The index of the next token.
    pub token: u32,
    /// The chain.
    pub chain: &'a [Leg],
    /// The place of the leg that has the hop.
    pub leg: usize,
}

impl Awaited<'_> {
    /// Returns how a reply fits; what is not awaited is never patched in.
    #[must_use]
    pub fn judge(&self, reply: &HopReply) -> Fit {
        if reply.session != self.session {
            return Fit::Crossed;
        }
        if reply.attempt < self.attempt {
            return Fit::Late;
        }
        if reply.attempt > self.attempt || reply.token > self.token {
            return Fit::Doubtful;
        }
        if reply.token < self.token || self.is_done(reply) {
            return Fit::Doubled;
        }
        if self.is_due(reply) {
            Fit::Fits
        } else {
            Fit::Doubtful
        }
    }

    fn is_done(&self, reply: &HopReply) -> bool {
        let earlier = &self.chain[..self.leg];
        earlier.iter().any(|leg| leg.layers == reply.layers)
    }

    fn is_due(&self, reply: &HopReply) -> bool {
        let last = self.leg + 1 == self.chain.len();
        let token = matches!(reply.output, Output::Token { .. });
        reply.layers == self.chain[self.leg].layers && last == token
    }
}
