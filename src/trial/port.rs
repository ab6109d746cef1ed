//! Free ports of the operating system.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;

/// Returns `count` different loopback addresses that nothing listens at.
pub(super) fn free(count: usize) -> io::Result<Vec<SocketAddr>> {
    let bind = |_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
    let held: Vec<TcpListener> = (0..count).map(bind).collect::<io::Result<_>>()?;
    held.iter().map(TcpListener::local_addr).collect()
}
