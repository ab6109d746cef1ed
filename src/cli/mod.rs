//! The arguments of the programs, and the commands of `cornelwharf`.

mod bench;
mod control;
mod daemon;
mod exit;
mod run;
mod standin;

pub use bench::Bench;
pub use control::Command;
pub use control::Consent;
pub use control::Control;
pub use control::Global;
pub use control::RolloutStep;
pub use daemon::Daemon;
pub use exit::CommandError;
pub use exit::Exit;
pub use standin::Stand;
pub use standin::Standin;
