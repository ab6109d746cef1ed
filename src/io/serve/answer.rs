//! Error answers and the keep-alive rule, shared by all routes.

use http::HeaderValue;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::RETRY_AFTER;

use crate::api::ErrorBody;
use crate::error::Code;
use crate::error::Failure;
use crate::io::http::HttpError;
use crate::io::http::Request;
use crate::io::http::Response;

/// The `connection` header of the last answer on a connection.
pub(super) const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// Builds the error answer for a failure, with a `retry-after` header if the failure sets a delay.
pub(super) fn from_failure(failure: Failure) -> Response {
    let status = StatusCode::from_u16(failure.code.status());
    let retry_after = failure.retry;
    let body = ErrorBody::from(failure);
    let mut response = Response::json(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), &body);
    if let Some(delay) = retry_after {
        let seconds = delay.0.div_ceil(1000);
        response
            .headers
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Builds the error answer to a request that cannot be read; `None` if the connection is already
/// closed or broken.
pub(super) fn from_error(error: &HttpError) -> Option<Response> {
    let (code, message) = match error {
        HttpError::TooLarge => (Code::TooLarge, "The message is over its bound."),
        HttpError::Malformed => (Code::BadRequest, "The message is not HTTP/1.1."),
        HttpError::TimedOut => (Code::DeadlinePassed, "The message did not arrive in time."),
        HttpError::Closed | HttpError::OverLimit | HttpError::Io(_) => return None,
    };
    let mut response = from_failure(Failure::not_run(code, message));
    response.headers.insert(CONNECTION, CLOSE);
    Some(response)
}

/// Returns whether the caller asks to close the connection after this request.
pub(super) fn wants_close(request: &Request) -> bool {
    request
        .header(&CONNECTION)
        .is_some_and(|value| value.eq_ignore_ascii_case("close"))
}
