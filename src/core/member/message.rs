//! The messages between daemons that carry membership.
//!
//! Field names on the wire are short because every daemon sends them several times a second.
//! Unknown fields are ignored and unknown bodies are dropped, so that neighbouring releases can
//! communicate (docs/operators/membership.md).

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::names::Domain;
use crate::names::Vm;

/// The version of the protocol that this release speaks.
pub const VERSION: u16 = 1;
/// The oldest version that this release understands.
pub const MIN_VERSION: u16 = 1;

/// One daemon of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The VM that the daemon runs on.
    #[serde(rename = "v")]
    pub vm: Vm,
    /// The failure domain of the VM.
    #[serde(rename = "d")]
    pub domain: Domain,
    /// Where other daemons connect.
    #[serde(rename = "p")]
    pub peer: SocketAddr,
    /// Where callers connect.
    #[serde(rename = "c")]
    pub caller: SocketAddr,
    /// Identifies this run of the daemon by its start time in milliseconds. A greater boot
    /// replaces a smaller one; 0 means that the VM was listed but never heard from.
    #[serde(rename = "b")]
    pub boot: u64,
}

/// A daemon's believed status. For the same boot and incarnation, a later variant
/// overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Status {
    /// It runs but has not read the `config` stream to its tail yet.
    #[serde(rename = "st")]
    Starting,
    /// It takes new work.
    #[serde(rename = "se")]
    Serving,
    /// It finishes its requests in progress and takes no new callers.
    #[serde(rename = "le")]
    Leaving,
    /// It did not answer and may be dead.
    #[serde(rename = "su")]
    Suspect,
    /// It did not refute the suspicion in time and was declared dead.
    #[serde(rename = "go")]
    Gone,
}

/// A claim about one daemon that is passed on from peer to peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumour {
    /// The daemon that the rumour is about.
    #[serde(rename = "m")]
    pub member: Member,
    /// A counter that only the daemon itself raises, to refute a suspicion.
    #[serde(rename = "i")]
    pub incarnation: u32,
    /// The status that the rumour claims.
    #[serde(rename = "s")]
    pub status: Status,
}

impl Rumour {
    /// Returns whether this rumour replaces `other`, which is about the same VM.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        self.precedence() > other.precedence()
    }

    fn precedence(&self) -> (u64, u32, Status) {
        (self.member.boot, self.incarnation, self.status)
    }
}

/// The load of a daemon, ordered by the number of messages that it had sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The VM whose load this is.
    #[serde(rename = "v")]
    pub vm: Vm,
    /// How many messages the daemon had sent in this boot; a greater count is newer.
    #[serde(rename = "n")]
    pub count: u64,
    /// The load, in requests in progress.
    #[serde(rename = "l")]
    pub load: u32,
}

/// How far a daemon has followed the `config` stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The offset after the last record that it holds.
    #[serde(rename = "o")]
    pub offset: u64,
    /// How long ago this offset was known to be the tail; `None` if it never was.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub age: Option<Millis>,
}

/// How long ago a daemon of a failure domain was heard from, directly or through peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// The failure domain that was heard from.
    #[serde(rename = "d")]
    pub domain: Domain,
    /// The age of the evidence when the message was sent.
    #[serde(rename = "a")]
    pub age: Millis,
}

/// The purpose of a message and its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "t", rename_all = "snake_case")]
pub enum Body {
    /// Asks for a [`Body::Ack`] with the same number.
    Ping {
        /// The number of the probe.
        n: u64,
    },
    /// Answers a ping.
    Ack {
        /// The number of the probe.
        n: u64,
    },
    /// Asks a peer to ping a daemon that did not answer.
    Probe {
        /// The number of the probe.
        n: u64,
        /// The daemon to ping.
        vm: Vm,
    },
    /// Confirms that the target of a [`Body::Probe`] answered.
    Vouch {
        /// The number of the probe.
        n: u64,
    },
    /// Asks for the receiver's whole view.
    Hello,
    /// Answers a [`Body::Hello`].
    View {
        /// The rumours about all daemons that the sender knows.
        members: Vec<Rumour>,
    },
    /// Only carries the rumours of [`Message::rumours`].
    Gossip,
    /// A body added by a later release; it is ignored.
    #[serde(other)]
    Unknown,
}

/// A membership message; every message carries rumours, loads and contacts besides its body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The version that the sender speaks.
    #[serde(rename = "v")]
    pub version: u16,
    /// The oldest version that the sender understands.
    #[serde(rename = "mv")]
    pub minimum: u16,
    /// The sender's rumour about itself.
    #[serde(rename = "f")]
    pub from: Rumour,
    /// What the sender asks or answers.
    #[serde(rename = "b")]
    pub body: Body,
    /// The sender's progress in the `config` stream.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub progress: Option<Progress>,
    /// The failure domains that the sender was recently in contact with.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub contacts: Vec<Contact>,
    /// A bounded number of rumours to pass on.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub rumours: Vec<Rumour>,
    /// A bounded number of loads, the sender's own first.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<Load>,
}

impl Message {
    /// Returns whether this release and the sender's have a common protocol version.
    #[must_use]
    pub fn is_compatible(&self) -> bool {
        self.version >= MIN_VERSION && self.minimum <= VERSION
    }
}
