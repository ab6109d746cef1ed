//! The check of a reply against the one hop that is outstanding.

use crate::core::session::event::Leg;
use crate::core::session::wire::HopReply;
use crate::core::session::wire::Output;
use crate::core::session::wire::SessionId;

/// How an answer fits the outstanding hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyStatus {
    /// It answers the hop.
    Expected,
    /// It belongs to another session.
    WrongSession,
    /// It belongs to an earlier attempt or hop.
    Stale,
    /// It answers what was answered before.
    Duplicate,
    /// It contradicts the hop, which ends the attempt.
    Invalid,
}

/// The answer that a session waits for.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedReply<'a> {
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

impl ExpectedReply<'_> {
    /// Returns how a reply fits; what is not awaited is never patched in.
    #[must_use]
    pub fn check(&self, reply: &HopReply) -> ReplyStatus {
        if reply.session != self.session {
            return ReplyStatus::WrongSession;
        }
        if reply.attempt < self.attempt {
            return ReplyStatus::Stale;
        }
        if reply.attempt > self.attempt || reply.token > self.token {
            return ReplyStatus::Invalid;
        }
        if reply.token < self.token || self.is_duplicate(reply) {
            return ReplyStatus::Duplicate;
        }
        if self.is_expected(reply) {
            ReplyStatus::Expected
        } else {
            ReplyStatus::Invalid
        }
    }

    fn is_duplicate(&self, reply: &HopReply) -> bool {
        let earlier = &self.chain[..self.leg];
        earlier.iter().any(|leg| leg.layers == reply.layers)
    }

    fn is_expected(&self, reply: &HopReply) -> bool {
        let last = self.leg + 1 == self.chain.len();
        let token = matches!(reply.output, Output::Token { .. });
        reply.layers == self.chain[self.leg].layers && last == token
    }
}
