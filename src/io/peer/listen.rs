//! Accepts connections from other daemons.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use monoio::time::timeout;

use super::auth;
use super::auth::Greeting;
use super::frame;
use crate::consts::READ_TIMEOUT;
use crate::io::http::Conn;
use crate::io::listen;
use crate::names::Vm;

/// Binds `addr` and starts a task that accepts connections. After the handshake, the content of
/// each frame is passed to `deliver` together with the sender's greeting.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn listen<D>(addr: SocketAddr, own: Greeting, secret: Rc<str>, deliver: D) -> io::Result<()>
where
    D: Fn(&Greeting, Bytes) + Clone + 'static,
{
    let listener = listen::bind(addr)?;
    let vm = own.vm;
    let boot = own.boot;
    let serve = move |conn, _| serve(conn, vm.clone(), boot, Rc::clone(&secret), deliver.clone());
    // Links to other daemons are few; the callers' listener closes what is idle.
    monoio::spawn(listen::accept(listener, serve, || 0));
    Ok(())
}

async fn serve<D>(mut conn: Conn, vm: Vm, boot: u64, secret: Rc<str>, deliver: D)
where
    D: Fn(&Greeting, Bytes),
{
    let Ok(own) = Greeting::new(vm, boot) else {
        return;
    };
    let handshake = auth::answer(&mut conn, &own, &secret);
    let other = match timeout(READ_TIMEOUT.duration(), handshake).await {
        Ok(Ok(other)) => other,
        Ok(Err(error)) => {
            log::warn!(error:% = error; "peer_refused");
            return;
        }
        Err(_) => return,
    };
    while let Ok(content) = frame::read(&mut conn.reader).await {
        deliver(&other, content);
    }
}
