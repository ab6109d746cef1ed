//! The arguments of the programs.

mod bench;
mod daemon;
mod standin;

pub use bench::Bench;
pub use daemon::Daemon;
pub use standin::Stand;
pub use standin::Standin;
