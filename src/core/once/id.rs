//! Identifiers of keys, calls, boots and positions.

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

/// The text is not 32 hexadecimal digits.
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
    /// An idempotency key of one team: the first 128 bits of the SHA-256 digest of both.
    KeyId;
    /// What a key is bound to: the first 128 bits of the SHA-256 digest of a call.
    CallDigest;
}

impl KeyId {
    /// Returns the id of a team's key.
    pub fn of(team: &Team, key: &str) -> Self {
        Self(digest(&[team.as_bytes(), key.as_bytes()]))
    }

    /// Returns the stream that the key's claims go to.
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

/// Digests the parts, each preceded by its length, so that no two lists of parts look alike.
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
    /// One start of a daemon; never used twice on a VM.
    Boot(u64);
    /// One attempt of a boot to claim a key; a boot counts its attempts up from 1.
    Attempt(u64);
    /// One call that a daemon holds a caller's connection for.
    CallId(u64);
    /// One append that io was asked for.
    Ticket(u64);
    /// The position of a record in a stream, counted from 0.
    Offset(u64);
    /// One of the `once` streams.
    StreamId(u16);
}

impl Offset {
    /// Returns the position after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The one boot of the one VM that may send a call.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{vm}/{boot}")]
#[serde(deny_unknown_fields)]
pub struct Holder {
    /// The VM.
    pub vm: Vm,
    /// Its boot.
    pub boot: Boot,
}

/// Returns the time within a key that is a UUID of version 7, or `None` for any other key.
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
