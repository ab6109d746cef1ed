//! The arguments of the programs.

mod daemon;
mod standin;

pub use daemon::Daemon;
pub use standin::Stand;
pub use standin::Standin;
