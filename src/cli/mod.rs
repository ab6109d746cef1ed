//! Command-line arguments of the programs, and the commands of `cornelwharf`.

mod bench;
mod control;
mod daemon;
mod exit;
mod run;
mod standin;

pub use bench::BenchArgs;
pub use control::ApprovalArgs;
pub use control::Command;
pub use control::ControlArgs;
pub use control::GlobalArgs;
pub use control::RolloutStep;
pub use daemon::DaemonArgs;
pub use exit::CommandError;
pub use exit::Exit;
pub use standin::StandinArgs;
pub use standin::StandinCommand;
