//! Answers of plain endpoints to a daemon, over real sockets, in one event loop.

use std::cell::Cell;
use std::fmt::Write;
use std::net::SocketAddr;
use std::net::TcpListener as StdListener;
use std::rc::Rc;

use cornelwharf::client::Approval;
use cornelwharf::client::Client;
use cornelwharf::clock::Clock;
use cornelwharf::clock::Millis;
use cornelwharf::core::config::object::Digest;
use cornelwharf::core::config::object::OperatorEntry;
use cornelwharf::core::daemon::Reply;
use cornelwharf::io::daemon;
use cornelwharf::io::http::Conn;
use cornelwharf::io::http::Request;
use cornelwharf::io::listen;
use cornelwharf::io::platform::wire::VmEntry;
use cornelwharf::io::platform::wire::VmList;
use cornelwharf::io::runtime;
use cornelwharf::settings::Settings;
use cornelwharf::standin::platform;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header::AUTHORIZATION;
use log::LevelFilter;
use monoio::net::TcpListener;

const ADA: &str = "token-of-ada";
const ELM: &str = "token-of-elm";
/// The word in the second copies.
const STRAY: &str = "stray";
/// How often and with which pause a test waits for the configuration.
const TRIES: u32 = 200;
const TRY_PAUSE: Millis = Millis(50);

/// Answers each request with its path, and sends a second copy of the answer ahead of the next one
/// on the connection.
async fn answer_twice(listener: TcpListener, calls: Rc<Cell<u32>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let calls = Rc::clone(&calls);
        monoio::spawn(async move {
            let mut conn = Conn::accept(stream).expect("a connection");
            let mut copy = String::new();
            while let Ok(Some(request)) = conn.reader.request().await {
                let path = request.uri.path();
                let answer = |body: &str| {
                    format!(
                        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
                        body.len()
                    )
                };
                let sent = std::mem::replace(&mut copy, answer(STRAY)) + &answer(path);
                if conn.writer.write_raw(sent.as_bytes()).await.is_err() {
                    return;
                }
                calls.set(calls.get() + 1);
            }
        });
    }
}

/// Starts a daemon with a plain service of one endpoint; returns its address for callers.
async fn start(endpoint: SocketAddr) -> SocketAddr {
    let addrs = free_addrs(3);
    let vm = VmEntry {
        vm: "vm-1".into(),
        domain: "north".into(),
        peer: addrs[1],
        caller: addrs[2],
        leaving: false,
    };
    platform::start(
        addrs[0],
        VmList {
            vms: vec![vm.clone()],
        },
    )
    .expect("a platform");
    let settings = Settings {
        vm: vm.vm,
        domain: vm.domain,
        caller: vm.caller,
        peer: vm.peer,
        platform: addrs[0],
        secret: "only-for-this-test".to_owned(),
        operators: vec![OperatorEntry {
            name: "ada".into(),
            token: Digest::of(ADA),
        }],
        level: LevelFilter::Off,
        shards: 4,
        opaque: true,
    };
    daemon::start(&settings, Clock::start()).expect("a daemon");
    configure(addrs[2], endpoint).await;
    addrs[2]
}

async fn configure(caller: SocketAddr, endpoint: SocketAddr) {
    let mut intent = String::new();
    for (list, name, token) in [
        ("operators", "ada", ADA),
        ("owners", "elm", ELM),
        ("teams", "web", "token-of-web"),
    ] {
        let digest = Digest::of(token);
        writeln!(intent, "{list}:\n  - {{name: {name}, token: '{digest}'}}").expect("text");
    }
    write!(
        intent,
        "services:\n  - {{name: ledger, kind: {{plain: {{}}}}}}\ngrants:\n  - {{team: web, service: \
         ledger}}\nendpoints:\n  - {{name: ledger-1, addr: '{endpoint}', domain: north, owner: elm, \
         service: ledger, slots: 16}}\n"
    )
    .expect("text");
    let client = Client::new(vec![caller], ADA.to_owned());
    let mut plan = None;
    for _ in 0..TRIES {
        if let Ok(Reply::Plan(made)) = client.plan(intent.clone()).await {
            plan = Some(made);
            break;
        }
        monoio::time::sleep(TRY_PAUSE.duration()).await;
    }
    client
        .confirm(&plan.expect("a plan").id)
        .await
        .expect("confirmed");
    let approval = Approval {
        team: "web".into(),
        service: "ledger".into(),
        endpoint: None,
        on: true,
    };
    let owner = Client::new(vec![caller], ELM.to_owned());
    for _ in 0..TRIES {
        if owner.approve(&approval).await.is_ok() {
            return;
        }
        monoio::time::sleep(TRY_PAUSE.duration()).await;
    }
    panic!("the owner cannot approve");
}

fn free_addrs(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<_> = (0..count)
        .map(|_| StdListener::bind("127.0.0.1:0").expect("a free port"))
        .collect();
    let addr = |listener: &StdListener| listener.local_addr().expect("an address");
    listeners.iter().map(addr).collect()
}

#[test]
fn a_second_answer_does_not_reach_the_next_caller() {
    runtime::run(async {
        let calls = Rc::new(Cell::new(0));
        let endpoint = free_addrs(1)[0];
        let listener = listen::bind(endpoint).expect("an address");
        monoio::spawn(answer_twice(listener, Rc::clone(&calls)));
        let caller = start(endpoint).await;
        let mut served = 0;
        for number in 0..TRIES {
            let path = format!("/n{number}");
            let uri = format!("/v1/services/ledger{path}")
                .parse()
                .expect("a path");
            let mut request = Request::new(Method::GET, uri);
            let token = HeaderValue::from_static("Bearer token-of-web");
            request.headers.insert(AUTHORIZATION, token);
            let mut conn = Conn::dial(caller).await.expect("a connection");
            let answer = conn
                .call(&request, Millis::seconds(5))
                .await
                .expect("an answer");
            if answer.status == StatusCode::OK {
                served += 1;
                assert_eq!(answer.body, path, "the answer to another call");
            } else {
                monoio::time::sleep(TRY_PAUSE.duration()).await;
            }
            if served == 10 {
                return;
            }
        }
        panic!("{served} served of {} calls", calls.get());
    })
    .expect("a loop");
}
