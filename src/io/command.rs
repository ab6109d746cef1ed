//! The commands of the core for one caller's request.

use std::net::SocketAddr;

use crate::clock::Millis;
use crate::core::daemon::Reply;
use crate::core::once;
use crate::core::session::event::Reason;
use crate::core::session::resume::EventId;
use crate::error::Failure;
use crate::names::ServiceName;

/// A command of the core for one caller's request, executed by the task of the caller's connection.
#[derive(Debug)]
pub enum Command {
    /// Send the call to an endpoint and report the outcome to the core.
    Send(SendAttempt),
    /// Forward the endpoint's answer to the attempt of this number.
    Relay(u32),
    /// Send the answer that is recorded for the idempotency key.
    Replay(once::Answer),
    /// Send an error answer.
    Fail(Failure),
    /// End the request without an answer, because the caller went away.
    Drop,
    /// Send the next token of a completion.
    Token {
        /// The token id.
        value: u32,
        /// The event id with which the caller can resume the stream after this token.
        event: EventId,
    },
    /// End the completion; every token has been sent.
    Finish(Reason),
    /// Send the list of models that the team may use.
    Models(Vec<ServiceName>),
    /// Send the answer to an operator's or owner's request.
    Reply(Box<Reply>),
}

/// One attempt to send a plain call to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct SendAttempt {
    /// The number of the attempt within the request, from 1.
    pub number: u32,
    /// The address of the endpoint.
    pub addr: SocketAddr,
    /// How long to wait for the answer; also sent to the endpoint.
    pub timeout: Millis,
}
