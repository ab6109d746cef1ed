//! Requests that crash the endpoints that run them (docs/operators/barred-requests.md).
//!
//! A request is known by a [`RequestDigest`] of its content. One that ran where an endpoint
//! crashed is a suspect: it runs only alone, under a permit of its home VM, and a crash while
//! alone bars it everywhere for a time. Notes of suspects spread slowly and get lost, so they
//! can't bound the damage by themselves; the [`shortlist`] does, with no message at all, since
//! every VM sends the same content to the same few endpoints only.

mod digest;
mod history;
mod message;
mod permit;
mod rank;
mod running;
mod table;

pub use digest::DigestError;
pub use digest::RequestDigest;
pub use history::BAR_TTL;
pub use history::CrashHistory;
pub use history::INCIDENT_LIMIT;
pub use history::Incident;
pub use history::SUSPECT_TTL;
pub use history::SuspectStatus;
pub use message::GOSSIP_LIMIT;
pub use message::PermitReply;
pub use message::PermitRequest;
pub use message::PermitReturn;
pub use message::SuspectGossip;
pub use message::SuspectRecord;
pub use permit::PERMIT_TTL;
pub use rank::NodeHash;
pub use rank::SHORTLIST_LEN;
pub use rank::home_vm;
pub use rank::shortlist;
pub use running::CRASH_WINDOW;
pub use running::Run;
pub use running::RunOutcome;
pub use table::ENTRY_LIMIT;
pub use table::RunPlan;
pub use table::SuspectTable;
