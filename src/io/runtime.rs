//! The one event loop of a process.
//!
//! The machines forbid `io_uring`, so every runtime is built with monoio's legacy epoll driver
//! here and nowhere else (docs/DESIGN.md).

use std::io;

use monoio::LegacyDriver;
use monoio::RuntimeBuilder;

/// Runs `main` to its end on one thread, with timers.
///
/// # Errors
///
/// Fails if the operating system refuses an epoll instance.
pub fn run<F>(main: F) -> io::Result<F::Output>
where
    F: Future,
{
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()?;
    Ok(runtime.block_on(main))
}
