//! Requests that crash the endpoints that run them (docs/operators/barred-requests.md).
//!
//! A request is known by a [`RequestDigest`] of its content. One that ran where an endpoint
//! crashed is a suspect: it runs only alone, under a permit of its home VM, and a crash while
//! alone bars it everywhere for a time. Notes of suspects spread slowly and get lost, so they
//! can't bound the damage by themselves; the [`shortlist`] does, with no message at all, since
//! every VM sends the same content to the same few endpoints only.

mod digest;
mod entry;
mod ledger;
mod message;
mod permit;
mod rank;
mod running;

pub use digest::DigestError;
pub use digest::RequestDigest;
pub use entry::BAR_SPAN;
pub use entry::Entry;
pub use entry::INCIDENT_LIMIT;
pub use entry::Incident;
pub use entry::SUSPECT_SPAN;
pub use entry::Standing;
pub use ledger::ENTRY_LIMIT;
pub use ledger::Ledger;
pub use ledger::Plan;
pub use message::Ask;
pub use message::Done;
pub use message::Grant;
pub use message::NOTE_LIMIT;
pub use message::Note;
pub use message::Record;
pub use permit::PERMIT_SPAN;
pub use rank::SHORTLIST;
pub use rank::Seat;
pub use rank::home;
pub use rank::shortlist;
pub use running::CONFIRM_SPAN;
pub use running::Left;
pub use running::Run;
