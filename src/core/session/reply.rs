//! Matches an engine's reply to the session's pending hop.

use crate::core::session::event::Leg;
use crate::core::session::wire::HopReply;
use crate::core::session::wire::Output;
use crate::core::session::wire::SessionId;

/// Whether a reply, fault or probe result belongs to the pending hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyStatus {
    /// It belongs to the pending hop.
    Expected,
    /// It names another session.
    WrongSession,
    /// It belongs to an earlier attempt or hop.
    Stale,
    /// It repeats a reply that was already received in this attempt.
    Duplicate,
    /// It contradicts the hop, for example by other layers; the attempt is given up.
    Invalid,
}

/// What the next reply to a session has to match.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedReply<'a> {
    /// The session that waits for the reply.
    pub session: SessionId,
    /// The current attempt.
    pub attempt: u32,
    /// The index of the next token.
    pub token: u32,
    /// The chain of the current attempt.
    pub chain: &'a [Leg],
    /// The index in `chain` of the leg that was sent the pending hop.
    pub leg: usize,
}

impl ExpectedReply<'_> {
    /// Compares a reply with the pending hop. Only an exact match is ever used.
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
