//! The messages about suspects that daemons exchange (docs/PROTOCOLS.md).

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::core::poison::digest::RequestDigest;
use crate::core::poison::history::CrashHistory;
use crate::core::session::RequestId;
use crate::names::Vm;

/// The maximum number of records in one gossip message.
pub const GOSSIP_LIMIT: usize = 64;

/// What one VM knows about one suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SuspectRecord {
    /// Identifies the request's content.
    pub digest: RequestDigest,
    /// The crashes and the latest completed run of the request.
    pub entry: CrashHistory,
}

/// A gossip message with suspects. Receivers pass on the records that are new to them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SuspectGossip {
    /// The records of any number of suspects up to [`GOSSIP_LIMIT`]; any further are ignored.
    pub records: Vec<SuspectRecord>,
}

/// A VM's request to a suspect's home VM for the permit to run it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PermitRequest {
    /// The VM that wants to run the suspect.
    pub vm: Vm,
    /// The caller's request on that VM; a repeated message with the same id gets the same permit.
    pub id: RequestId,
    /// The VM's own record of the suspect, since its gossip may not have reached the home VM.
    pub record: SuspectRecord,
}

/// The home VM's answer to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum PermitReply {
    /// The request is not a suspect any more and may run alongside others.
    Shared,
    /// The request may run once, alone on one endpoint.
    Alone {
        /// When the permit expires, by which the run must have ended.
        until: Millis,
    },
    /// Another request of the same content holds the permit.
    Busy {
        /// How long to wait before the next request for a permit.
        retry: Millis,
    },
    /// The request may not run at all.
    Barred {
        /// When the request may run again.
        until: Millis,
    },
}

/// Returns a permit to the home VM after the run has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PermitReturn {
    /// The VM that held the permit.
    pub vm: Vm,
    /// The record after the run, which the home VM merges before it grants the next permit.
    pub record: SuspectRecord,
}
