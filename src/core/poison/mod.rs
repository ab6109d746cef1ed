//! Requests that crash the endpoints that run them (docs/operators/barred-requests.md).
//!
//! A request is identified by the [`RequestDigest`] of its content. A request that was running on
//! an endpoint at the time of a crash becomes a suspect: it runs only alone, with a permit of its
//! home VM ([`home_vm`]), and a crash while alone bars it on all VMs for [`BAR_TTL`]. Gossip about
//! suspects spreads slowly and may be lost, so it cannot bound the number of crashed endpoints. The
//! [`shortlist`] does so without any message: every VM sends the same content to the same few
//! endpoints only.
//!
//! Requests whose contents differ may have a part of their prompts in common that crashes endpoints.
//! The [`PartTable`] keeps the crashes by [`PartDigest`], and [`find_bars`] decides which parts are
//! guilty.

mod digest;
mod ending;
mod history;
mod message;
mod part;
mod part_table;
mod permit;
mod rank;
mod running;
mod table;
mod verdict;

pub use digest::DigestError;
pub use digest::RequestDigest;
pub use ending::EndingWatch;
pub use ending::Finding;
pub use ending::SETTLE_TIME;
pub use ending::Sight;
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
pub use part::PartDigest;
pub use part_table::BarChanges;
pub use part_table::PartRecord;
pub use part_table::PartTable;
pub use permit::PERMIT_TTL;
pub use rank::NodeHash;
pub use rank::SHORTLIST_LEN;
pub use rank::home_of;
pub use rank::home_vm;
pub use rank::shortlist;
pub use running::CRASH_WINDOW;
pub use running::Run;
pub use running::RunOutcome;
pub use table::ENTRY_LIMIT;
pub use table::RunPlan;
pub use table::SuspectTable;
pub use verdict::CLEAR_VERDICT;
pub use verdict::MAX_CRASHES;
pub use verdict::PartBar;
pub use verdict::PartCrash;
pub use verdict::PartHistory;
pub use verdict::TIED_VERDICT;
pub use verdict::find_bars;
