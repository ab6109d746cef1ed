//! An engine of a plain service or of a model. It runs in a process of its own and prints a line for each run.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::net::Conn;
use crate::net::Message;
use crate::world::unix_ms;

/// The events of a stream.
const EVENTS: u64 = 10;
/// How long loading layers takes.
const LOAD_TIME: Duration = Duration::from_millis(1400);

/// How an engine behaves beyond the page's rules for a sound one.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// How long a request takes, or one event of a stream.
    pub work_ms: u64,
    /// Requests to run at a time, and as many more in the queue.
    pub slots: usize,
    /// The layers that an engine of a model has memory for; 0 for an engine of a plain service.
    pub layers: u64,
    /// The layers that it holds from the start.
    pub held: (u64, u64),
    /// The event after which a stream whose path contains `crash` ends the process; 0 for none.
    pub crash_at: u64,
}

/// The layers that an engine holds, and the orders that it has accepted.
#[derive(Debug, Default)]
struct Holding {
    held: (u64, u64),
    orders: u64,
    fence: u64,
    /// Until when it loads layers.
    busy: Option<Instant>,
}

pub fn run(id: &str, addr: &str, behaviour: Behaviour) {
    let listener = TcpListener::bind(addr).expect("the engine's address is in use");
    let running = Arc::new(AtomicUsize::new(0));
    let holding = Arc::new(Mutex::new(Holding { held: behaviour.held, ..Holding::default() }));
    let born = unix_ms();
    // A call that waits in `accept` would keep the listener open for a moment after the process was killed.
    listener.set_nonblocking(true).expect("no socket option");
    loop {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(Duration::from_millis(1));
            continue;
        };
        let _ = stream.set_nonblocking(false);
        let (id, running, holding) = (id.to_owned(), Arc::clone(&running), Arc::clone(&holding));
        thread::spawn(move || serve(&id, born, Conn::new(stream), behaviour, &running, &holding));
    }
}

fn serve(id: &str, born: u64, mut conn: Conn, behaviour: Behaviour, running: &AtomicUsize, holding: &Mutex<Holding>) {
    while let Ok(Some(request)) = conn.message(false) {
        if request.path() == "/v1/report" {
            let body = {
                let state = holding.lock().unwrap();
                let busy = state.busy.is_some_and(|until| Instant::now() < until);
                let layers = match state.held {
                    (from, to) if from < to && !busy => format!("[{{\"source\":{from},\"target\":{to},\"version\":1}}]"),
                    _ => "[]".to_owned(),
                };
                format!(
                    "{{\"phase\":\"all\",\"models\":[],\"layers\":{layers},\"busy\":{busy},\"sequence\":{},\"queued\":0,\"active\":0,\
                     \"kvUsed\":0,\"kvTotal\":0,\"handlers\":0,\"pace\":1.0,\"born\":{born}}}",
                    state.orders
                )
            };
            if conn.respond("200 OK", &[("Content-Type", "application/json")], body.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if request.path() == "/v1/order" {
            order(&mut conn, &request, behaviour, holding);
            continue;
        }
        let request_id = request.header("x-request-id").unwrap_or("-").to_owned();
        let echo = [("X-Request-Id", request_id.as_str())];
        if request.header("x-expect-instance").is_some_and(|name| name != id) {
            if conn.respond("421 Misdirected Request", &[echo[0], ("X-Instance-Id", id)], b"").is_err() {
                return;
            }
            continue;
        }
        if running.fetch_add(1, Ordering::SeqCst) >= behaviour.slots * 5 {
            running.fetch_sub(1, Ordering::SeqCst);
            if conn.respond("503 Service Unavailable", &[echo[0], ("X-Not-Executed", "1")], b"").is_err() {
                return;
            }
            continue;
        }
        println!("run {request_id} {}", request.target());
        if behaviour.layers > 0 {
            let crash_at = if request.path().contains("crash") { behaviour.crash_at } else { 0 };
            let ended = stream(&mut conn, &request, &format!("{id}.{request_id}"), behaviour.work_ms, crash_at);
            running.fetch_sub(1, Ordering::SeqCst);
            if ended.is_err() {
                return;
            }
            continue;
        }
        let body = format!("{request_id} ").repeat(40);
        let signature = format!("{id}.{request_id}");
        thread::sleep(Duration::from_millis(behaviour.work_ms));
        let answered = conn.respond("200 OK", &[echo[0], ("X-Server-Signature", &signature)], body.as_bytes());
        running.fetch_sub(1, Ordering::SeqCst);
        if answered.is_err() {
            return;
        }
    }
}

/// Takes an order to hold layers. An engine that is ordered to hold more than it has memory for crashes.
fn order(conn: &mut Conn, request: &Message, behaviour: Behaviour, holding: &Mutex<Holding>) {
    let text = String::from_utf8_lossy(&request.body).into_owned();
    let number = |name: &str| -> u64 {
        let rest = text.split(&format!("\"{name}\":")).nth(1).unwrap_or("");
        let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
        digits.parse().unwrap_or(0)
    };
    let (from, to) = (number("source"), number("target"));
    let status = {
        let mut state = holding.lock().unwrap();
        let busy = state.busy.is_some_and(|until| Instant::now() < until);
        if behaviour.layers == 0 {
            "400 Bad Request"
        } else if number("fencingToken") < state.fence {
            "412 Precondition Failed"
        } else if busy || number("precondition") != state.orders {
            "409 Conflict"
        } else {
            state.fence = number("fencingToken");
            state.orders += 1;
            state.held = (from, to);
            state.busy = Some(Instant::now() + LOAD_TIME);
            "202 Accepted"
        }
    };
    println!("order {from} {to} {}", status.split(' ').next().unwrap_or(""));
    let _ = conn.respond(status, &[], b"");
    if status.starts_with("202") && to.saturating_sub(from) > behaviour.layers {
        println!("crashes");
        std::process::abort();
    }
}

/// Answers with a stream of events, which goes on after the event that the client has.
fn stream(conn: &mut Conn, request: &Message, signature: &str, gap_ms: u64, crash_at: u64) -> std::io::Result<()> {
    let request_id = request.header("x-request-id").unwrap_or("-");
    let last: u64 = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {request_id}\r\nX-Server-Signature: {signature}\r\n\
         X-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    conn.write(head.as_bytes())?;
    for at in last + 1..=EVENTS {
        thread::sleep(Duration::from_millis(gap_ms));
        let event = format!("id: {at}\ndata: token {at}\n\n");
        conn.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        if crash_at > 0 && at - last == crash_at {
            println!("crashes {request_id}");
            std::process::abort();
        }
    }
    conn.write(b"0\r\n\r\n")
}
