//! A proxy that passes bytes on after a delay, like a link between regions.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Passes on what arrives at `addr` to `to`, each way `delay` later.
pub fn start(addr: SocketAddr, to: SocketAddr, delay: Duration) {
    let listener = TcpListener::bind(addr).expect("the proxy's address is in use");
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            thread::spawn(move || {
                let Ok(far) = TcpStream::connect(to) else { return };
                let _ = near.set_nodelay(true);
                let _ = far.set_nodelay(true);
                let (Ok(near_write), Ok(far_write)) = (near.try_clone(), far.try_clone()) else { return };
                thread::spawn(move || pass(far, near_write, delay));
                pass(near, far_write, delay);
            });
        }
    });
}

fn pass(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        for (due, bytes) in receiver {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    });
    let mut buf = [0; 16384];
    loop {
        let size = from.read(&mut buf).unwrap_or(0);
        if sender.send((Instant::now() + delay, buf[..size].to_vec())).is_err() || size == 0 {
            return;
        }
    }
}
