//! The JSON of the platform's log, its list of VMs and its weight store (docs/PROTOCOLS.md).

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

use crate::names::Domain;
use crate::names::Vm;

/// The answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// The offset that the record got.
    pub offset: u64,
}

/// A page of a stream.
#[derive(Debug, Serialize, Deserialize)]
pub struct Page {
    /// The offset of the oldest record that the stream still holds.
    pub first: u64,
    /// The offset that the next record will get.
    pub next: u64,
    /// The records, in the order of their offsets.
    pub records: Vec<StoredRecord>,
}

/// A record of a stream.
#[derive(Debug, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Its offset.
    pub offset: u64,
    /// Its content.
    pub data: Box<RawValue>,
}

/// The list of VMs, which lags behind the truth.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// The entries, in no order.
    pub vms: Vec<VmEntry>,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Its name.
    pub vm: Vm,
    /// Its failure domain.
    pub domain: Domain,
    /// Where other daemons reach it.
    pub peer: SocketAddr,
    /// Where callers reach it.
    pub caller: SocketAddr,
    /// Whether the platform is about to stop it.
    #[serde(default)]
    pub leaving: bool,
}
