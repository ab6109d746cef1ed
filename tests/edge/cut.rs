//! One of three daemons loses its links to all endpoints, while callers, the store and the other
//! daemons still reach it.

use std::cell::Cell;
use std::rc::Rc;

use cornelwharf::clock::Millis;
use cornelwharf::edge::Edge;
use cornelwharf::io::http::Conn;
use cornelwharf::io::http::Response;
use cornelwharf::standin::serve;
use cornelwharf::standin::serve::Reply;
use http::StatusCode;
use monoio::io::AsyncReadRent;
use monoio::io::AsyncWriteRentExt;
use monoio::io::Splitable;
use monoio::net::TcpListener;
use monoio::net::TcpStream;

use super::CONTACT_SPAN;
use super::World;
use super::run;
use super::set_unframed;
use super::sleep;

/// The first tries sent to the daemon that is cut off.
const TRIES: usize = 12;

/// What the daemon's connections to endpoints meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cut {
    None,
    /// No byte arrives.
    Hangs,
    /// Open connections are closed, and new ones refused.
    Resets,
    /// New connections are closed at once, and open ones work.
    ClosesNew,
}

/// Puts a proxy between the first daemon and each endpoint, and returns the fault of all proxies.
fn cut_links(world: &World) -> Rc<Cell<Cut>> {
    let cut = Rc::new(Cell::new(Cut::None));
    let edge = &world.edges[0];
    for endpoint in world.endpoints.list() {
        let target = endpoint.entry.addr;
        let mut addr = target;
        addr.set_port(target.port() + 10_000);
        let listener = TcpListener::bind(addr).expect("a proxy");
        monoio::spawn(accept(listener, target, Rc::clone(&cut)));
        edge.pool().clear(target);
    }
    let store = world.store_addr;
    let vms: Vec<_> = world.edges.iter().map(peer_of).collect();
    let state = Rc::clone(&cut);
    edge.pool().set_resolver(move |mut addr| {
        if addr != store && !vms.contains(&addr) {
            // Nothing listens at the higher port.
            let shift = if state.get() == Cut::Resets {
                20_000
            } else {
                10_000
            };
            addr.set_port(addr.port() + shift);
        }
        addr
    });
    cut
}

fn peer_of(edge: &Edge) -> std::net::SocketAddr {
    edge.settings().peer
}

async fn accept(listener: TcpListener, target: std::net::SocketAddr, cut: Rc<Cell<Cut>>) {
    while let Ok((client, _)) = listener.accept().await {
        if cut.get() == Cut::ClosesNew {
            continue;
        }
        let Ok(server) = TcpStream::connect(target).await else {
            continue;
        };
        let (from_client, to_client) = client.into_split();
        let (from_server, to_server) = server.into_split();
        monoio::spawn(pass(from_client, to_server, Rc::clone(&cut)));
        monoio::spawn(pass(from_server, to_client, Rc::clone(&cut)));
    }
}

async fn pass<R, W>(mut from: R, mut to: W, cut: Rc<Cell<Cut>>)
where
    R: AsyncReadRent,
    W: AsyncWriteRentExt,
{
    loop {
        let (read, buf) = from.read(vec![0; 8192]).await;
        let Ok(size @ 1..) = read else {
            return;
        };
        while cut.get() == Cut::Hangs {
            sleep(Millis(20)).await;
        }
        if cut.get() == Cut::Resets {
            return;
        }
        let (written, _) = to.write_all(buf[..size].to_vec()).await;
        if written.is_err() {
            return;
        }
    }
}

/// Returns how many of `TRIES` requests to the first daemon are served, with streams and plain
/// requests in turn.
async fn count_served(world: &World) -> usize {
    let mut served = 0;
    for index in 0..TRIES {
        let path = ["/draft/1", "/post/1"][index % 2];
        let answer = world.call(0, path, "red-key").await;
        served += usize::from(answer.status == StatusCode::OK && answer.whole);
    }
    served
}

/// Checks that first tries at a daemon that is cut off are served, as the users' rule demands: at
/// least two thirds as often as at the others, from 3 s after the cut began.
async fn check_first_tries(world: Rc<World>, kind: Cut) {
    let cut = cut_links(&world);
    assert_eq!(count_served(&world).await, TRIES, "before the cut");
    cut.set(kind);
    let start = world.edges[0].now();
    while world.edges[0].now().since(start) < CONTACT_SPAN {
        let calls = ["/draft/1", "/post/1"].map(|path| {
            let world = Rc::clone(&world);
            monoio::spawn(async move { world.call(0, path, "red-key").await })
        });
        drop(calls);
        sleep(Millis(300)).await;
    }
    let served = count_served(&world).await;
    assert!(
        served * 3 >= TRIES * 2,
        "{kind:?}: {served} of {TRIES} served"
    );
    assert_eq!(world.endpoints.path_violations(), Vec::<String>::new());
    cut.set(Cut::None);
    sleep(CONTACT_SPAN).await;
    assert_eq!(count_served(&world).await, TRIES, "after the cut");
}

#[test]
fn first_tries_at_a_vm_whose_links_to_endpoints_hang_are_served() {
    run(async |world: Rc<World>| check_first_tries(world, Cut::Hangs).await);
}

#[test]
fn first_tries_at_a_vm_whose_links_to_endpoints_are_reset_are_served() {
    run(async |world: Rc<World>| check_first_tries(world, Cut::Resets).await);
}

#[test]
fn first_tries_at_a_vm_that_opens_no_connection_to_endpoints_are_served() {
    run(async |world: Rc<World>| check_first_tries(world, Cut::ClosesNew).await);
}

#[test]
fn a_vm_that_does_not_know_detours_is_passed_over() {
    run(async |world: Rc<World>| {
        let cut = cut_links(&world);
        // Its peer address answers like an earlier release.
        let old = peer_of(&world.edges[1]);
        let mut earlier = old;
        earlier.set_port(old.port() + 10_000);
        serve::listen(earlier, async |_, conn| {
            let response = Response::new(StatusCode::NOT_FOUND);
            (conn, Reply::Response(response))
        })
        .expect("a server");
        let pool = world.edges[0].pool();
        pool.clear(old);
        let endpoints: Vec<_> = world.endpoints.list();
        pool.set_resolver(move |mut addr| {
            if addr == old {
                return earlier;
            }
            if endpoints.iter().any(|endpoint| endpoint.entry.addr == addr) {
                addr.set_port(addr.port() + 20_000);
            }
            addr
        });
        cut.set(Cut::Resets);
        sleep(CONTACT_SPAN).await;
        let served = count_served(&world).await;
        assert_eq!(served, TRIES);
    });
}

#[test]
fn a_vm_that_reaches_no_endpoint_marks_none_as_stalled_on_other_vms() {
    run(async |world: Rc<World>| {
        let cut = cut_links(&world);
        let streams: Vec<_> = (0..4)
            .map(|_| {
                let world = Rc::clone(&world);
                monoio::spawn(async move { world.call(0, "/draft/1", "red-key").await })
            })
            .collect();
        sleep(Millis(100)).await;
        cut.set(Cut::Hangs);
        for _ in 0..20 {
            sleep(Millis(100)).await;
            let edge = &world.edges[1];
            let marks = edge.roster(|roster| roster.marks(edge.now()));
            assert!(marks.is_empty(), "{marks:?}");
        }
        drop(streams);
    });
}

#[test]
fn a_vm_whose_links_are_reset_records_no_crash_of_an_endpoint() {
    run(async |world: Rc<World>| {
        let cut = cut_links(&world);
        let streams: Vec<_> = (0..6)
            .map(|_| {
                let world = Rc::clone(&world);
                monoio::spawn(async move { world.call(0, "/draft/1", "red-key").await })
            })
            .collect();
        sleep(Millis(25)).await;
        cut.set(Cut::Resets);
        sleep(Millis(1000)).await;
        let metrics = world.edges[0].metrics().render();
        let crashes = metrics
            .lines()
            .find(|line| line.starts_with("edge_crashes"));
        assert_eq!(crashes, None);
        drop(streams);
    });
}

#[test]
fn an_unframed_stream_that_ends_at_its_start_while_links_are_lost_is_not_complete() {
    run(async |world: Rc<World>| {
        set_unframed(&world);
        let cut = cut_links(&world);
        let mut conn = Conn::dial(world.fronts[0]).await.expect("a connection");
        let request = world.request("/sole/1", "red-key");
        conn.writer.request(&request).await.expect("sent");
        conn.reader.response_head(false).await.expect("a head");
        conn.reader.chunk().await.expect("an event");
        cut.set(Cut::Resets);
        let is_whole = loop {
            match conn.reader.chunk().await {
                Ok(Some(_)) => {}
                Ok(None) => break true,
                Err(_) => break false,
            }
        };
        assert!(!is_whole);
    });
}

#[test]
fn layers_are_placed_while_the_leader_reaches_no_endpoint() {
    run(async |world: Rc<World>| {
        let cut = cut_links(&world);
        cut.set(Cut::Hangs);
        sleep(CONTACT_SPAN).await;
        let addr = world.first_engines()[0];
        world.endpoints.crash(addr);
        for _ in 0..80 {
            sleep(Millis(100)).await;
            let span = world.endpoints.with_endpoint(addr, |endpoint| {
                (endpoint.crashes, endpoint.broken, endpoint.entry.span)
            });
            if let Some((1, false, Some(_))) = span {
                return;
            }
        }
        panic!("the restarted engine got no layers");
    });
}
