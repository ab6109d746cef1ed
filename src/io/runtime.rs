//! The event loop of a process.
//!
//! `io_uring` is forbidden on the VMs, so every runtime uses monoio's legacy epoll driver. It is
//! built only here (docs/DESIGN.md).

use std::io;

use monoio::LegacyDriver;
use monoio::RuntimeBuilder;

/// Runs `main` to completion on the current thread, with timers enabled.
///
/// # Errors
///
/// Fails if the operating system cannot create an epoll instance.
pub fn run<F>(main: F) -> io::Result<F::Output>
where
    F: Future,
{
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()?;
    Ok(runtime.block_on(main))
}
