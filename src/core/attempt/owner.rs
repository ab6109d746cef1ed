//! Whose answer a response is.

/// The request that a response answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerOwner {
    /// The request that was sent last on the connection.
    Own,
    /// Another request: a second copy of its answer.
    Other,
    /// This cannot be told, so the response must not be used.
    Unclear,
}

/// Decides whose answer a response is, by the request id that it names.
///
/// This answers load on connections that are used for one request after another: an endpoint may send
/// a second copy of an answer late, after the next request was sent there. Without an id, only the
/// answer on a new connection (`is_new`) is certain.
#[must_use]
pub fn answer_owner(echo: Option<&str>, id: &str, is_new: bool) -> AnswerOwner {
    match echo {
        Some(echo) if echo == id => AnswerOwner::Own,
        Some(_) => AnswerOwner::Other,
        None if is_new => AnswerOwner::Own,
        None => AnswerOwner::Unclear,
    }
}
