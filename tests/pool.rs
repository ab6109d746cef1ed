//! Idle connections take descriptors that callers need.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;

use cornelwharf::clock::Clock;
use cornelwharf::clock::Millis;
use cornelwharf::io::http::Request;
use cornelwharf::io::pool::Pool;
use cornelwharf::io::runtime;
use http::Method;
use http::Uri;

/// Answers one request on each connection, and returns how many of them are closed by the other side.
fn serve(listener: &TcpListener, count: usize) -> usize {
    let answer = |listener: &TcpListener| {
        let (mut stream, _) = listener.accept().expect("a connection");
        let size = stream.read(&mut [0; 1024]).expect("a request");
        assert!(size > 0);
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        stream.write_all(answer).expect("sent");
        stream
    };
    let streams: Vec<TcpStream> = (0..count).map(|_| answer(listener)).collect();
    let is_closed = |mut stream: TcpStream| {
        let wait = Millis(300).duration();
        stream.set_read_timeout(Some(wait)).expect("a timeout");
        matches!(stream.read(&mut [0; 1]), Ok(0))
    };
    streams
        .into_iter()
        .filter_map(|it| is_closed(it).then_some(()))
        .count()
}

#[test]
fn idle_connections_keep_their_descriptors_when_none_is_left() {
    let listeners: Vec<TcpListener> = (0..2)
        .map(|_| TcpListener::bind(("127.0.0.1", 0)).expect("free port"))
        .collect();
    let addrs: Vec<SocketAddr> = listeners
        .iter()
        .map(|listener| listener.local_addr().expect("bound address"))
        .collect();
    let servers: Vec<_> = listeners
        .into_iter()
        .map(|listener| std::thread::spawn(move || serve(&listener, 4)))
        .collect();
    let shed = runtime::run(async {
        let pool = Pool::new(Clock::start());
        let request = Request::new(Method::GET, Uri::from_static("/a"));
        // The oldest ones go first: those to the first address.
        for addr in &addrs {
            for _ in 0..4 {
                let conn = pool.dial(*addr).await.expect("a connection");
                let call = pool.call_on(*addr, conn, &request, Millis::seconds(2));
                call.await.expect("an answer");
            }
            monoio::time::sleep(Millis(5).duration()).await;
        }
        let shed = (
            pool.shed(),
            pool.has_idle(addrs[0]),
            pool.has_idle(addrs[1]),
        );
        monoio::time::sleep(Millis::seconds(2).duration()).await;
        shed
    })
    .expect("start the event loop");
    assert_eq!(shed, (4, false, true));
    let closed: Vec<usize> = servers
        .into_iter()
        .map(|server| server.join().expect("the server ended"))
        .collect();
    assert_eq!(closed, [4, 0]);
}
