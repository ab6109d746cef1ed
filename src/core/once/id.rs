//! Identifiers of keys, calls, boots, streams and log positions.

use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::clock::Millis;
use crate::names::Team;
use crate::names::Vm;

/// The error for an id whose text is not 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not 32 hexadecimal digits")]
pub struct InvalidHexId;

macro_rules! hex_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {
        $(
            $(#[$doc])*
            #[derive(
                Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
                Deserialize,
            )]
            #[display("{_0:032x}")]
            #[serde(into = "String", try_from = "String")]
            pub struct $name(pub u128);

            impl From<$name> for String {
                fn from(id: $name) -> Self {
                    id.to_string()
                }
            }

            impl TryFrom<String> for $name {
                type Error = InvalidHexId;

                fn try_from(text: String) -> Result<Self, InvalidHexId> {
                    if text.len() != 32 {
                        return Err(InvalidHexId);
                    }
                    u128::from_str_radix(&text, 16).map(Self).map_err(|_| InvalidHexId)
                }
            }
        )*
    };
}

hex_ids! {
    /// Identifies an idempotency key of a team: the first 128 bits of the SHA-256 digest of both.
    KeyId;
    /// The first 128 bits of the SHA-256 digest of a call, by which reuse of its key for another
    /// call is detected. Also used for the body of an answer.
    CallDigest;
}

impl KeyId {
    /// Hashes the team with the key, since two teams may choose the same key.
    pub fn of(team: &Team, key: &str) -> Self {
        Self(digest(&[team.as_bytes(), key.as_bytes()]))
    }

    /// Returns the stream of the key's claims, out of `streams` streams.
    #[must_use]
    pub fn stream(self, streams: u16) -> StreamId {
        StreamId((self.0 % u128::from(streams.max(1))) as u16)
    }
}

impl CallDigest {
    /// Returns the digest of a call's method, path and body.
    #[must_use]
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        Self(digest(&[method.as_bytes(), path.as_bytes(), body]))
    }

    /// Returns the digest of an answer's body.
    #[must_use]
    pub fn of_body(body: &[u8]) -> Self {
        Self(digest(&[body]))
    }
}

/// Digests the parts, each preceded by its length, so that different lists of parts never form the
/// same input.
fn digest(parts: &[&[u8]]) -> u128 {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    let bytes = hash.finalize();
    bytes
        .iter()
        .take(16)
        .fold(0, |sum, byte| (sum << 8) | u128::from(*byte))
}

macro_rules! numeric_ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {
        $(
            $(#[$doc])*
            #[derive(
                Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash,
                Serialize, Deserialize,
            )]
            #[serde(transparent)]
            pub struct $name(pub $inner);
        )*
    };
}

numeric_ids! {
    /// The number of a daemon's start; a VM never uses one twice.
    Boot(u64);
    /// The number of an attempt to claim a key; a boot counts its attempts, for all keys, from 1.
    Attempt(u64);
    /// The number of a call that a caller waits for, unique in a boot.
    CallId(u64);
    /// The number of an append, by which its result is matched; unique in a boot.
    Ticket(u64);
    /// The position of a record in a stream, counted from 0.
    Offset(u64);
    /// The number of a `once` stream, from 0.
    StreamId(u16);
}

impl Offset {
    /// Returns the offset of the record after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A boot of a VM, as the claimant of a key. Once its claim has won, it alone may send the call.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{vm}/{boot}")]
#[serde(deny_unknown_fields)]
pub struct Holder {
    /// The VM that claims.
    pub vm: Vm,
    /// The boot that claims; a later boot of the VM doesn't inherit its claims.
    pub boot: Boot,
}

/// Returns the time in a key that is a UUID of version 7, or `None` for any other (opaque) key.
#[must_use]
pub fn key_time(key: &Arc<str>) -> Option<Millis> {
    let bytes = key.as_bytes();
    let dashes = [8, 13, 18, 23];
    let has_uuid_form = bytes.len() == 36
        && bytes.iter().enumerate().all(|(index, byte)| {
            if dashes.contains(&index) {
                *byte == b'-'
            } else {
                byte.is_ascii_hexdigit()
            }
        });
    if !has_uuid_form
        || bytes[14] != b'7'
        || !matches!(bytes[19], b'8' | b'9' | b'a' | b'b' | b'A' | b'B')
    {
        return None;
    }
    let digits = format!("{}{}", &key[..8], &key[9..13]);
    u64::from_str_radix(&digits, 16).ok().map(Millis)
}
