//! Digests of tokens and calls.

use http::header::AUTHORIZATION;
use sha2::Digest as _;
use sha2::Sha256;

use crate::core::config::object::Digest;
use crate::core::once::CallDigest;
use crate::io::http::Request;

/// The digits of a digest's text.
const HEX: &[u8; 16] = b"0123456789abcdef";
/// The bytes of a SHA-256 digest that a call is known by.
const CALL_BYTES: usize = 16;

/// Returns the digest of the request's bearer token.
pub(super) fn token(request: &Request) -> Option<Digest> {
    let value = request.header(&AUTHORIZATION)?;
    let token = value.strip_prefix("Bearer ")?;
    Some(of_token(token))
}

/// Returns the digest that a bearer token is kept as.
fn of_token(token: &str) -> Digest {
    let digit = |half: u8| char::from(HEX[usize::from(half)]);
    let text: String = Sha256::digest(token.as_bytes())
        .iter()
        .flat_map(|byte| [digit(byte >> 4), digit(byte & 0xf)])
        .collect();
    Digest(text.into())
}

/// Returns the digest of a call: its method, its target and its body.
pub(super) fn call(request: &Request, target: &str) -> CallDigest {
    let mut hasher = Sha256::new();
    hasher.update(request.method.as_str());
    hasher.update([0]);
    hasher.update(target);
    hasher.update([0]);
    hasher.update(&request.body);
    body(&hasher.finalize())
}

/// Returns the digest of a recorded answer's body.
pub(super) fn of_body(bytes: &[u8]) -> CallDigest {
    body(&Sha256::digest(bytes))
}

fn body(bytes: &[u8]) -> CallDigest {
    let mut first = [0; CALL_BYTES];
    for (to, from) in first.iter_mut().zip(bytes) {
        *to = *from;
    }
    CallDigest(u128::from_be_bytes(first))
}
