//! Calls to plain services, which one endpoint runs and answers as a whole: the endpoint for each
//! call, by what all VMs have there and what fails there, and the wait for room
//! (docs/design/plain.md).

mod choice;
mod errors;
mod room;

pub use self::choice::Attempt;
pub use self::choice::CALLS_PER_SLOT;
pub use self::choice::Candidate;
pub use self::choice::Choice;
pub use self::choice::Draws;
pub use self::choice::choose;
pub use self::choice::estimate_running;
pub use self::errors::ErrorCount;
pub use self::errors::ErrorNotice;
pub use self::errors::ErrorTable;
pub use self::errors::Receipt;
pub use self::errors::Standing;
pub use self::room::Admission;
pub use self::room::Limits;
pub use self::room::Room;
pub use self::room::Ticket;
