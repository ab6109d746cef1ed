//! Answers to calls that this VM does not run.

use super::ANSWER_BYTES;
use super::RECORD_SPAN;
use super::event::Reply;
use super::id::CallDigest;
use super::record::Answer;
use crate::error::Code;
use crate::error::Failure;
use crate::error::Ran;

/// Replaces a body of more than [`ANSWER_BYTES`] by its digest.
pub(super) fn without_large_body(answer: Answer) -> Answer {
    match answer {
        Answer::Small { status, body, .. } if body.len() > ANSWER_BYTES => Answer::Large {
            status,
            digest: CallDigest::of("", "", &body),
        },
        other => other,
    }
}

/// Returns the reply for a recorded answer; only a full one can be replayed.
pub(super) fn replay(answer: Answer) -> Reply {
    match answer {
        Answer::Large { status, .. } => Reply::Failure(Failure {
            code: Code::OutcomeUnknown,
            ran: Ran::Yes,
            message: format!("the call ran with status {status}; its answer is not kept"),
            retry: None,
        }),
        Answer::NotKnown => Reply::Failure(outcome_unknown()),
        small @ Answer::Small { .. } => Reply::Replay(small),
    }
}

pub(super) fn key_reused() -> Failure {
    Failure::not_run(
        Code::KeyReused,
        "the idempotency key belongs to another call",
    )
}

pub(super) fn key_expired() -> Failure {
    Failure::may_have_run(
        Code::KeyExpired,
        "the idempotency key is too old to be checked",
    )
}

pub(super) fn outcome_unknown() -> Failure {
    Failure::may_have_run(
        Code::OutcomeUnknown,
        "an earlier attempt has no recorded outcome",
    )
}

pub(super) fn in_progress() -> Failure {
    Failure::may_have_run(Code::InProgress, "a call with this key is in progress")
        .retry_after(RECORD_SPAN)
}

pub(super) fn log_unavailable() -> Failure {
    Failure::not_run(Code::LogUnavailable, "the log did not take the claim")
        .retry_after(RECORD_SPAN)
}
