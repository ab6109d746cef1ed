//! A loopback proxy that injects network faults.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use cornelwharf::clock::Millis;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRentExt;
use monoio::io::OwnedReadHalf;
use monoio::io::OwnedWriteHalf;
use monoio::io::Splitable;
use monoio::net::TcpListener;
use monoio::net::TcpStream;

/// The fault that applies to all connections of a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyFault {
    /// Bytes are forwarded.
    #[default]
    None,
    /// Each read is forwarded after this delay.
    Delay(Millis),
    /// New connections are closed at once, and open ones at their next bytes.
    Reset,
    /// No bytes are forwarded, and connections stay open.
    Silence,
    /// Only bytes from the client are forwarded.
    OneWay,
}

/// A proxy for one target address; clones share the fault.
#[derive(Clone, Debug, Default)]
pub struct Proxy {
    fault: Rc<Cell<ProxyFault>>,
}

impl Proxy {
    /// Listens at `addr` and forwards connections to `target`.
    pub fn listen(&self, addr: SocketAddr, target: SocketAddr) {
        let listener = TcpListener::bind(addr).expect("failed to bind the proxy");
        let proxy = self.clone();
        monoio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                if proxy.fault.get() == ProxyFault::Reset {
                    continue;
                }
                if let Ok(server) = TcpStream::connect(target).await {
                    let (from_client, to_client) = client.into_split();
                    let (from_server, to_server) = server.into_split();
                    monoio::spawn(proxy.clone().pass(from_client, to_server, true));
                    monoio::spawn(proxy.clone().pass(from_server, to_client, false));
                }
            }
        });
    }

    /// Sets the fault for new connections and for later bytes on open ones.
    pub fn set(&self, fault: ProxyFault) {
        self.fault.set(fault);
    }

    async fn pass(
        self,
        mut from: OwnedReadHalf<TcpStream>,
        mut to: OwnedWriteHalf<TcpStream>,
        is_upstream: bool,
    ) {
        loop {
            let (read, buf) = from.read(vec![0; 8192]).await;
            let Ok(size @ 1..) = read else {
                return;
            };
            match self.fault.get() {
                ProxyFault::None => {}
                ProxyFault::Delay(span) => monoio::time::sleep(span.duration()).await,
                ProxyFault::Reset => return,
                ProxyFault::OneWay if is_upstream => {}
                ProxyFault::Silence | ProxyFault::OneWay => std::future::pending().await,
            }
            let (written, _) = to.write_all(buf[..size].to_vec()).await;
            if written.is_err() {
                return;
            }
        }
    }
}
