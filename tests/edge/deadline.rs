//! Callers get an answer by their deadline, whatever their requests wait for.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cornelwharf::clock::Clock;
use cornelwharf::clock::Millis;
use http::HeaderName;
use socket2::Domain;
use socket2::SockAddr;
use socket2::Socket;
use socket2::Type;

use super::World;
use super::run;
use super::unused_addrs;

const DEADLINE: Millis = Millis(300);
/// How long after the deadline an answer may come (the users' bound).
const LATE_BOUND: Millis = Millis(500);

/// Listens at an address where no further connection is accepted or refused; the sockets keep it so.
fn hang_connections(addr: SocketAddr) -> Vec<Socket> {
    let open = || Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let addr = SockAddr::from(addr);
    let listener = open();
    listener.bind(&addr).expect("an address");
    listener.listen(0).expect("a listener");
    let mut sockets = vec![listener];
    for _ in 0..3 {
        let socket = open();
        // Those that fit into the queue open, and the others hang.
        let _ = socket.connect_timeout(&addr, Duration::from_millis(30));
        sockets.push(socket);
    }
    sockets
}

async fn check_deadline(world: Rc<World>, path: &str) {
    let hung = unused_addrs(1)[0];
    let _sockets = hang_connections(hung);
    let endpoints: Vec<_> = world.endpoints.list();
    let endpoints: Vec<_> = endpoints.iter().map(|it| it.entry.addr).collect();
    let pool = world.edges[0].pool();
    for addr in &endpoints {
        pool.clear(*addr);
    }
    pool.set_resolver(move |addr| {
        if endpoints.contains(&addr) {
            hung
        } else {
            addr
        }
    });
    let mut request = world.request(path, "red-key");
    let name = HeaderName::from_static("deadline");
    request.headers.insert(name, DEADLINE.0.into());
    let clock = Clock::start();
    let start = clock.now();
    let answer = world.send(world.fronts[0], request).await;
    let took = clock.now().since(start);
    assert!(answer.status.is_server_error(), "{}", answer.status);
    assert!(took <= DEADLINE + LATE_BOUND, "{took} ms");
}

/// A connection that hangs was waited for for a second, whatever time the request had left.
#[test]
fn a_plain_request_whose_connection_hangs_is_answered_by_its_deadline() {
    run(async |world: Rc<World>| check_deadline(world, "/read/a").await);
}

#[test]
fn a_stream_whose_connection_hangs_is_answered_by_its_deadline() {
    run(async |world: Rc<World>| check_deadline(world, "/draft/a").await);
}
