//! What the core orders for one caller.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::core::daemon::Reply;
use crate::core::once;
use crate::core::session::event::Reason;
use crate::core::session::resume::EventId;
use crate::error::Failure;
use crate::names::ServiceName;

/// What the core orders for one caller; the task of the caller's connection carries it out.
#[derive(Debug)]
pub enum Command {
    /// Send the call to an endpoint.
    Send(SendAttempt),
    /// Pass on the endpoint's answer to this attempt.
    Relay(u32),
    /// Give the answer that was recorded for the key.
    Replay(once::Answer),
    /// Give a failure.
    Fail(Failure),
    /// Do nothing more; the caller went away.
    Drop,
    /// Give a token.
    Token {
        /// The token.
        value: u32,
        /// The id to resume from.
        event: EventId,
    },
    /// Complete the answer.
    Finish(Reason),
    /// Give the list of models.
    Models(Vec<ServiceName>),
    /// Answer an operator or an owner.
    Reply(Box<Reply>),
}

/// An attempt to send a plain call.
#[derive(Clone, Copy, Debug)]
pub struct SendAttempt {
    /// The attempt.
    pub number: u32,
    /// The endpoint's address.
    pub addr: SocketAddr,
    /// Whether only a fresh connection will do.
    pub fresh: bool,
    /// How long to wait for the answer.
    pub timeout: Millis,
}
