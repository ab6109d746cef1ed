//! The digest of a request's bearer token.

use http::header::AUTHORIZATION;

use crate::core::config::object::Digest;
use crate::io::http::Request;

/// Returns the digest of the request's bearer token; `None` if there is no `authorization` header
/// of the Bearer scheme.
pub(super) fn token(request: &Request) -> Option<Digest> {
    let value = request.header(&AUTHORIZATION)?;
    value.strip_prefix("Bearer ").map(Digest::of)
}
