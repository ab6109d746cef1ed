//! Free loopback ports.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;

/// Returns `count` different loopback addresses that are not in use. Another process may still
/// take one before the trial binds it.
pub(super) fn free(count: usize) -> io::Result<Vec<SocketAddr>> {
    let bind = |_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
    let held: Vec<TcpListener> = (0..count).map(bind).collect::<io::Result<_>>()?;
    held.iter().map(TcpListener::local_addr).collect()
}
