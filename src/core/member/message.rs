//! The messages between daemons that carry membership.
//!
//! Field names on the wire are short because every daemon pays for each byte every second.
//! Unknown fields are ignored and unknown bodies are dropped, so that neighbouring releases talk
//! (docs/operators/membership.md).

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
    /// The identity of this run of the daemon: its start time in milliseconds. A greater boot
    /// replaces a smaller one; 0 stands for a VM that was only listed and never heard.
    #[serde(rename = "b")]
    pub boot: u64,
}

/// What a daemon is thought to be doing, in the order in which reports override each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Status {
    /// It runs but does not hold the state at the tail yet.
    #[serde(rename = "st")]
    Starting,
    /// It takes new work.
    #[serde(rename = "se")]
    Serving,
    /// It finishes what it has and takes no new callers.
    #[serde(rename = "le")]
    Leaving,
    /// It did not answer and may be dead.
    #[serde(rename = "su")]
    Suspect,
    /// It did not answer for the whole suspicion span.
    #[serde(rename = "go")]
    Gone,
}

/// A report about one daemon, which spreads from peer to peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumour {
    /// The daemon.
    #[serde(rename = "m")]
    pub member: Member,
    /// A counter that only the daemon itself raises, to refute a suspicion.
    #[serde(rename = "i")]
    pub incarnation: u32,
    /// What it is thought to be doing.
    #[serde(rename = "s")]
    pub status: Status,
}

impl Rumour {
    /// Says whether this report replaces `other`, which is about the same VM.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        self.precedence() > other.precedence()
    }

    fn precedence(&self) -> (u64, u32, Status) {
        (self.member.boot, self.incarnation, self.status)
    }
}

/// The load of a daemon at a point in its own count of heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The daemon.
    #[serde(rename = "v")]
    pub vm: Vm,
    /// The count that tells a later number of the same boot from an earlier one.
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

/// How long ago some daemon of a failure domain was heard, directly or through peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// The failure domain.
    #[serde(rename = "d")]
    pub domain: Domain,
    /// The age of the evidence when the message was sent.
    #[serde(rename = "a")]
    pub age: Millis,
}

/// What a message is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "t", rename_all = "snake_case")]
pub enum Body {
    /// Asks for an [`Body::Ack`] with the same number.
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
        /// The daemon.
        vm: Vm,
    },
    /// Tells that the daemon of a [`Body::Probe`] answered.
    Vouch {
        /// The number of the probe.
        n: u64,
    },
    /// Asks for the whole view.
    Hello,
    /// Answers a [`Body::Hello`].
    View {
        /// All that the sender knows.
        members: Vec<Rumour>,
    },
    /// Carries urgent rumours.
    Gossip,
    /// A body of a later release.
    #[serde(other)]
    Unknown,
}

/// One message between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The version that the sender speaks.
    #[serde(rename = "v")]
    pub version: u16,
    /// The oldest version that the sender understands.
    #[serde(rename = "mv")]
    pub minimum: u16,
    /// The sender's report about itself.
    #[serde(rename = "f")]
    pub from: Rumour,
    /// What the message is for.
    #[serde(rename = "b")]
    pub body: Body,
    /// The sender's progress in the `config` stream.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub progress: Option<Progress>,
    /// Which failure domains the sender is in contact with.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub contacts: Vec<Contact>,
    /// A bounded number of reports.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub rumours: Vec<Rumour>,
    /// A bounded number of loads, the sender's own first.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<Load>,
}

impl Message {
    /// Says whether this release can talk with the sender's.
    #[must_use]
    pub fn is_compatible(&self) -> bool {
        self.version >= MIN_VERSION && self.minimum <= VERSION
    }
}
