//! The decision after an attempt: relay the answer, retry at another endpoint, or fail the request.

mod budget;
mod events;
mod owner;

pub use self::budget::BudgetUsage;
pub use self::budget::RetryBudget;
pub use self::budget::RetryBudgets;
pub use self::events::EventBuffer;
pub use self::events::MAX_EVENT_BYTES;
pub use self::owner::AnswerOwner;
pub use self::owner::answer_owner;

/// How an attempt at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The endpoint sent a complete, signed answer with this HTTP status.
    Answered(u16),
    /// Nothing was sent, or the endpoint reports that it did not run the request.
    NotRun,
    /// The connection broke or the answer is incomplete; the request may have run.
    Unknown,
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Relay the endpoint's answer to the caller.
    Relay,
    /// Try another endpoint.
    Retry,
    /// Tell the caller that the request did not run, and when to retry.
    Refuse,
    /// Tell the caller that the outcome is unknown.
    Fail,
}

/// The facts about a request that decide whether it is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryState {
    /// Whether the request may run again after an unknown outcome.
    pub can_repeat: bool,
    /// Whether another attempt is within the route's limit, the retry budget and the deadline.
    pub can_retry: bool,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
}

/// Decides what to do after an attempt.
///
/// `Refuse` promises that the request did not run, so it is returned only if no attempt may have
/// run it.
pub const fn next_step(ending: Ending, state: RetryState) -> NextStep {
    match ending {
        Ending::Answered(status) if status >= 500 && state.can_repeat && state.can_retry => {
            NextStep::Retry
        }
        Ending::Answered(_) => NextStep::Relay,
        Ending::NotRun if state.can_retry => NextStep::Retry,
        Ending::NotRun if state.may_have_run => NextStep::Fail,
        Ending::NotRun => NextStep::Refuse,
        Ending::Unknown if state.can_repeat && state.can_retry => NextStep::Retry,
        Ending::Unknown => NextStep::Fail,
    }
}
