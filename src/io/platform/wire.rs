//! The JSON messages of the platform's log and its list of VMs (docs/PROTOCOLS.md).

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

use crate::names::Domain;
use crate::names::Vm;

/// The answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// The offset at which the record was stored.
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
    /// The position in the stream.
    pub offset: u64,
    /// The content, which is any JSON value.
    pub data: Box<RawValue>,
}

/// The platform's list of VMs, which lags behind their actual state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// The entries, in no particular order.
    pub vms: Vec<VmEntry>,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The name of the VM.
    pub vm: Vm,
    /// The failure domain that the VM belongs to.
    pub domain: Domain,
    /// The address at which other daemons reach it.
    pub peer: SocketAddr,
    /// The address at which callers reach it.
    pub caller: SocketAddr,
    /// Whether the platform is about to stop it.
    #[serde(default)]
    pub leaving: bool,
}
