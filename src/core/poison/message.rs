//! The messages about suspects between daemons (docs/PROTOCOLS.md).

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::core::poison::digest::RequestDigest;
use crate::core::poison::history::CrashHistory;
use crate::core::session::RequestId;
use crate::names::Vm;

/// How many records one note carries at most.
pub const GOSSIP_LIMIT: usize = 64;

/// What one VM knows of one suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SuspectRecord {
    /// The request's content.
    pub digest: RequestDigest,
    /// Its crashes.
    pub entry: CrashHistory,
}

/// What a VM tells its peers, which pass on what is news to them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SuspectGossip {
    /// The records, at most [`NOTE_LIMIT`].
    pub records: Vec<SuspectRecord>,
}

/// A VM's question to a suspect's home whether it may run it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PermitRequest {
    /// The VM that asks.
    pub vm: Vm,
    /// Its request, so that a question asked again gets the same permit.
    pub id: RequestId,
    /// What it knows, since its note may not have reached the home.
    pub record: SuspectRecord,
}

/// The home's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum PermitReply {
    /// The request is no suspect any more.
    Shared,
    /// It may run once, alone on one endpoint, and must have ended by this time.
    Alone {
        /// When the permit ends.
        until: Millis,
    },
    /// Another VM has the permit.
    Busy {
        /// How long to wait before asking again.
        retry: Millis,
    },
    /// It is barred.
    Barred {
        /// When the bar ends.
        until: Millis,
    },
}

/// The return of a permit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PermitReturn {
    /// The VM that had it.
    pub vm: Vm,
    /// What came of the run; the home learns it before it grants the next permit.
    pub record: SuspectRecord,
}
