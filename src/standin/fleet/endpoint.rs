//! Endpoints: engines that hold layers and run requests along paths, and plain endpoints.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::Rc;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use monoio::net::TcpListener;

use super::dialect::EVENT_INTERVAL;
use super::dialect::Order;
use super::dialect::ReportBody;
use crate::clock::Millis;
use crate::core::pipe::Span;
use crate::core::roster::Entry;
use crate::io::http::HttpError;
use crate::io::http::Request;
use crate::io::http::Response;
use crate::io::listen;
use crate::io::mailbox::Mailbox;
use crate::standin::serve;
use crate::standin::serve::BoxedConn;
use crate::standin::serve::Reply;

/// The number of events in a complete stream.
pub const EVENTS: u64 = 40;

/// How long a crashed endpoint refuses connections.
const RESTART_DELAY: Millis = Millis(600);

/// How long a path may stall before its first engine ends the request.
const STALL_TIMEOUT: Millis = Millis(2500);

/// A fault that the reports of an endpoint do not show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HiddenFault {
    /// Its reports do not list stalled engines.
    OmitsStalled,
    /// It answers every stream request with status 500.
    AnswersErrors,
    /// Streams through it make no progress.
    Pauses,
    /// Its streams have neither a length nor chunks and end with their connection.
    Unframed,
    /// The head of its streams never ends.
    EndlessHead,
    /// Instead of events, its streams have other bytes, without end.
    EndlessBody,
}

/// Which endpoint a request crashes that crashes those that run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashTarget {
    /// The one that it is sent to: a plain endpoint, or the first engine of the path.
    First,
    /// The last engine of the path.
    Last,
}

/// The state of an endpoint, which tests read and change.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The entry that describes the endpoint in the store.
    pub entry: Entry,
    /// Whether it is stalled: it answers no requests, and streams through it make no progress.
    pub silent: bool,
    /// The faults that its reports do not show.
    pub hidden_faults: Vec<HiddenFault>,
    /// Whether it closes its connections without an answer.
    pub broken: bool,
    /// Whether all its answers say that it is leaving, whatever its entry says.
    pub says_leaving: bool,
    /// The `Retry-After` with which it refuses all requests but reports and orders.
    pub pause: Option<&'static str>,
    /// The requests a second that it takes from all VMs together, which all its answers name.
    pub limit: Option<f64>,
    /// The number of requests of any kind that reached it.
    pub arrivals: u64,
    /// The number of orders that it has accepted.
    pub orders: u64,
    /// The highest fencing token that it has seen.
    pub fence: u64,
    /// The ids of the requests that it ran, one entry per run.
    pub ran: Vec<String>,
    /// How often it crashed.
    pub crashes: u32,
    /// Ends its process when something is sent.
    stop: Mailbox<()>,
}

/// The engines of a request's path, in order, each with the layers that it runs.
type Route = Vec<(SocketAddr, Span)>;

/// A request in progress.
#[derive(Clone, Debug, Default)]
struct Running {
    path: Route,
    /// The start of each engine of the path. An engine that crashed and started again has lost the
    /// request.
    births: Vec<u64>,
}

/// All endpoints by address; clones share their state.
#[derive(Clone, Debug)]
pub struct Endpoints {
    layers: u32,
    all: Rc<RefCell<BTreeMap<SocketAddr, Endpoint>>>,
    running: Rc<RefCell<BTreeMap<String, Running>>>,
    /// The paths of requests that crash the endpoints that run them.
    crashing: Rc<RefCell<BTreeMap<String, CrashTarget>>>,
    /// The parts of prompts that crash each endpoint that begins to answer on them.
    crashing_parts: Rc<RefCell<BTreeSet<String>>>,
    /// The ids of the requests with such a part that reached an endpoint, one entry per arrival.
    crashing_arrivals: Rc<RefCell<Vec<String>>>,
    violations: Rc<RefCell<Vec<String>>>,
    reports: Rc<RefCell<Reports>>,
}

/// The reports that are being made, of all endpoints.
#[derive(Clone, Copy, Debug, Default)]
struct Reports {
    delay: Millis,
    open: usize,
    most_open: usize,
}

impl Endpoints {
    /// Creates an empty set, for engines of a model with `layers` layers.
    #[must_use]
    pub fn new(layers: u32) -> Self {
        Self {
            layers,
            all: Rc::default(),
            running: Rc::default(),
            crashing: Rc::default(),
            crashing_parts: Rc::default(),
            crashing_arrivals: Rc::default(),
            violations: Rc::default(),
            reports: Rc::default(),
        }
    }

    /// Starts an endpoint at the address in its entry.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn start(&self, entry: Entry) -> std::io::Result<()> {
        let addr = entry.addr;
        let stop = Mailbox::new(1);
        let listener = listen::bind(addr)?;
        let endpoint = Endpoint {
            entry,
            silent: false,
            hidden_faults: Vec::new(),
            broken: false,
            says_leaving: false,
            pause: None,
            limit: None,
            arrivals: 0,
            orders: 0,
            fence: 0,
            ran: Vec::new(),
            crashes: 0,
            stop: stop.clone(),
        };
        self.all.borrow_mut().insert(addr, endpoint);
        monoio::spawn(self.clone().run(addr, listener, stop));
        Ok(())
    }

    /// Serves an endpoint. After a crash it refuses connections for a while and then starts again,
    /// without layers.
    async fn run(self, addr: SocketAddr, mut listener: TcpListener, stop: Mailbox<()>) {
        loop {
            let endpoints = self.clone();
            let handle = move |request, conn| {
                let endpoints = endpoints.clone();
                async move { endpoints.answer(addr, request, conn).await }
            };
            monoio::select! {
                () = serve::accept(listener, handle) => return,
                () = stop.receive() => {}
            }
            monoio::time::sleep(RESTART_DELAY.duration()).await;
            let Ok(bound) = listen::bind(addr) else {
                log::error!(addr:% = addr; "endpoint_not_restarted");
                return;
            };
            listener = bound;
            self.with_endpoint(addr, |endpoint| {
                endpoint.broken = false;
                endpoint.says_leaving = false;
                endpoint.entry.born += 1;
                endpoint.entry.span = None;
                endpoint.orders = 0;
                endpoint.fence = 0;
            });
        }
    }

    /// Has every request with this path crash an endpoint that begins to run it.
    pub fn crash_on(&self, path: &str, target: CrashTarget) {
        self.crashing.borrow_mut().insert(path.to_owned(), target);
    }

    /// Has every request whose prompt has this part crash the endpoint that it is sent to, once that
    /// begins to answer.
    pub fn crash_on_part(&self, part: &str) {
        self.crashing_parts.borrow_mut().insert(part.to_owned());
    }

    /// Returns the number of times that a request with such a part reached an endpoint.
    #[must_use]
    pub fn crashing_arrivals(&self) -> usize {
        self.crashing_arrivals.borrow().len()
    }

    /// Returns which endpoint a request crashes, if any.
    fn crash_target(&self, request: &Request) -> Option<CrashTarget> {
        let list = header_text(&request.headers, "parts");
        let parts = self.crashing_parts.borrow();
        if list.split(',').any(|part| parts.contains(part)) {
            let id = header_text(&request.headers, "request-id");
            self.crashing_arrivals.borrow_mut().push(id);
            return Some(CrashTarget::First);
        }
        self.crashing.borrow().get(request.uri.path()).copied()
    }

    /// Crashes an endpoint, unless it is down.
    pub fn crash(&self, addr: SocketAddr) {
        self.with_endpoint(addr, |endpoint| {
            if !endpoint.broken {
                endpoint.broken = true;
                endpoint.crashes += 1;
                // A full mailbox means that the endpoint is already stopping.
                let _ = endpoint.stop.send(());
            }
        });
    }

    /// Sets how long an endpoint takes to make a report.
    pub fn delay_reports(&self, delay: Millis) {
        self.reports.borrow_mut().delay = delay;
    }

    /// Returns the largest number of reports that were being made at once.
    #[must_use]
    pub fn most_open_reports(&self) -> usize {
        self.reports.borrow().most_open
    }

    /// Returns the number of crashes of all endpoints.
    pub fn crash_count(&self) -> u32 {
        let all = self.all.borrow();
        all.values().map(|endpoint| endpoint.crashes).sum()
    }

    /// Calls `work` with the endpoint at `addr`, or returns `None` if there is none.
    pub fn with_endpoint<T, F>(&self, addr: SocketAddr, work: F) -> Option<T>
    where
        F: FnOnce(&mut Endpoint) -> T,
    {
        self.all.borrow_mut().get_mut(&addr).map(work)
    }

    /// Returns a copy of the state of all endpoints, ordered by address.
    pub fn list(&self) -> Vec<Endpoint> {
        self.all.borrow().values().cloned().collect()
    }

    /// Returns a line for each token generated on a path that did not run each layer once, in order.
    pub fn path_violations(&self) -> Vec<String> {
        self.violations.borrow().clone()
    }

    async fn answer(
        &self,
        addr: SocketAddr,
        request: Request,
        conn: BoxedConn,
    ) -> (BoxedConn, Reply) {
        let state = self.with_endpoint(addr, |endpoint| (endpoint.silent, endpoint.broken));
        match state {
            Some((false, false)) => {}
            Some((true, _)) => return (conn, Reply::NoAnswer),
            _ => return (conn, Reply::Close),
        }
        self.with_endpoint(addr, |endpoint| endpoint.arrivals += 1);
        let (conn, mut reply) = self.answer_kind(addr, request, conn).await;
        if let Reply::Response(response) = &mut reply
            && self.with_endpoint(addr, |endpoint| endpoint.says_leaving) == Some(true)
        {
            set(&mut response.headers, "leaving", "1");
        }
        if let Reply::Response(response) = &mut reply {
            self.name_limit(addr, &mut response.headers);
        }
        (conn, reply)
    }

    fn name_limit(&self, addr: SocketAddr, headers: &mut HeaderMap) {
        if let Some(Some(limit)) = self.with_endpoint(addr, |endpoint| endpoint.limit) {
            set(headers, "limit", &limit.to_string());
        }
    }

    async fn answer_kind(
        &self,
        addr: SocketAddr,
        request: Request,
        conn: BoxedConn,
    ) -> (BoxedConn, Reply) {
        let pause = self.with_endpoint(addr, |endpoint| endpoint.pause);
        match (&request.method, request.uri.path()) {
            (&Method::GET, "/report") => {
                self.wait_for_report().await;
                (conn, Reply::Response(self.report(addr)))
            }
            (&Method::POST, "/order") => (conn, Reply::Response(self.order(addr, &request))),
            _ if let Some(Some(pause)) = pause => {
                let mut response = refusal(StatusCode::SERVICE_UNAVAILABLE, addr);
                set(&mut response.headers, "retry-after", pause);
                (conn, Reply::Response(response))
            }
            _ if request.headers.contains_key("path") => self.stream(addr, &request, conn).await,
            _ if self.crash_target(&request).is_some() => {
                self.answer_plain(addr, &request);
                self.crash(addr);
                (conn, Reply::Close)
            }
            _ => (conn, Reply::Response(self.answer_plain(addr, &request))),
        }
    }

    async fn wait_for_report(&self) {
        let delay = {
            let mut reports = self.reports.borrow_mut();
            reports.open += 1;
            reports.most_open = reports.most_open.max(reports.open);
            reports.delay
        };
        if delay > Millis(0) {
            monoio::time::sleep(delay.duration()).await;
        }
        self.reports.borrow_mut().open -= 1;
    }

    fn report(&self, addr: SocketAddr) -> Response {
        let all = self.all.borrow();
        let stalled = all
            .iter()
            .filter(|(_, endpoint)| endpoint.silent || endpoint.broken);
        let body = ReportBody {
            stalled: match all.get(&addr) {
                Some(endpoint) if endpoint.hidden_faults.contains(&HiddenFault::OmitsStalled) => {
                    Vec::new()
                }
                _ => stalled.map(|(addr, _)| *addr).collect(),
            },
            orders: all.get(&addr).map_or(0, |endpoint| endpoint.orders),
            span: all.get(&addr).and_then(|endpoint| endpoint.entry.span),
            born: all.get(&addr).map(|endpoint| endpoint.entry.born),
        };
        Response::json(StatusCode::OK, &body)
    }

    fn order(&self, addr: SocketAddr, request: &Request) -> Response {
        let expected = header_text(&request.headers, "endpoint");
        let is_meant = |endpoint: &mut Endpoint| *endpoint.entry.endpoint == *expected;
        if !expected.is_empty() && self.with_endpoint(addr, is_meant) == Some(false) {
            return refusal(StatusCode::MISDIRECTED_REQUEST, addr);
        }
        let status = match serde_json::from_slice(&request.body) {
            Ok(Order::Hold { span, fence, after }) => self.with_endpoint(addr, |endpoint| {
                if fence < endpoint.fence {
                    return StatusCode::PRECONDITION_FAILED;
                }
                endpoint.fence = fence;
                if after != endpoint.orders {
                    return StatusCode::CONFLICT;
                }
                endpoint.orders += 1;
                endpoint.entry.span = Some(span);
                StatusCode::ACCEPTED
            }),
            Ok(Order::Repath { request, path }) => {
                let path = parse_path(&path);
                let is_running = self.running.borrow().contains_key(&request);
                let is_valid = is_running && self.find_missing_part(&path).is_none();
                is_valid.then(|| {
                    self.set_path(request, path);
                    StatusCode::ACCEPTED
                })
            }
            Err(_) => Some(StatusCode::BAD_REQUEST),
        };
        Response::new(status.unwrap_or(StatusCode::CONFLICT))
    }

    /// Returns the first engine of a path that is unavailable or does not hold its layers.
    fn find_missing_part(&self, path: &[(SocketAddr, Span)]) -> Option<SocketAddr> {
        let all = self.all.borrow();
        let holds = |addr: &SocketAddr, span: &Span| {
            all.get(addr).is_some_and(|endpoint| {
                let held = endpoint.entry.span;
                let inside = held.is_some_and(|held| held.from <= span.from && span.to <= held.to);
                inside && !endpoint.broken && !endpoint.entry.leaving
            })
        };
        path.iter()
            .find(|(addr, span)| !holds(addr, span))
            .map(|(addr, _)| *addr)
    }

    fn set_path(&self, id: String, path: Route) {
        let all = self.all.borrow();
        let born = |addr: &SocketAddr| all.get(addr).map_or(0, |endpoint| endpoint.entry.born);
        let births = path.iter().map(|(addr, _)| born(addr)).collect();
        self.running
            .borrow_mut()
            .insert(id, Running { path, births });
    }

    fn is_stalled(&self, running: &Running) -> bool {
        let all = self.all.borrow();
        let stalled = |addr, born| {
            let endpoint: Option<&Endpoint> = all.get(addr);
            endpoint.is_none_or(|endpoint| {
                let is_paused = endpoint.hidden_faults.contains(&HiddenFault::Pauses);
                endpoint.silent || endpoint.broken || is_paused || endpoint.entry.born != born
            })
        };
        let mut parts = running.path.iter().zip(&running.births);
        parts.any(|((addr, _), born)| stalled(addr, *born))
    }

    fn answer_plain(&self, addr: SocketAddr, request: &Request) -> Response {
        let id = header_text(&request.headers, "request-id");
        let expected = header_text(&request.headers, "endpoint");
        let ran = self.with_endpoint(addr, |endpoint| {
            let is_match = *endpoint.entry.endpoint == *expected;
            if is_match {
                endpoint.ran.push(id.clone());
            }
            is_match
        });
        if ran != Some(true) {
            return refusal(StatusCode::MISDIRECTED_REQUEST, addr);
        }
        let mut response = Response::text(StatusCode::OK, request.uri.path().to_owned());
        sign(&mut response.headers, &id);
        response
    }

    async fn stream(
        &self,
        addr: SocketAddr,
        request: &Request,
        conn: BoxedConn,
    ) -> (BoxedConn, Reply) {
        let mut conn = conn;
        let id = header_text(&request.headers, "request-id");
        let path = parse_path(&header_text(&request.headers, "path"));
        if let Some(fault) = self.find_missing_part(&path) {
            let response = refusal(StatusCode::SERVICE_UNAVAILABLE, fault);
            return (conn, Reply::Response(response));
        }
        self.set_path(id.clone(), path);
        self.with_endpoint(addr, |endpoint| endpoint.ran.push(id.clone()));
        if self.with_endpoint(addr, |endpoint| {
            endpoint.hidden_faults.contains(&HiddenFault::AnswersErrors)
        }) == Some(true)
        {
            let mut response = Response::new(StatusCode::INTERNAL_SERVER_ERROR);
            sign(&mut response.headers, &id);
            return (conn, Reply::Response(response));
        }
        let target = self.crash_target(request);
        let mut headers = HeaderMap::new();
        sign(&mut headers, &id);
        if self.with_endpoint(addr, |endpoint| endpoint.says_leaving) == Some(true) {
            set(&mut headers, "leaving", "1");
        }
        self.name_limit(addr, &mut headers);
        let from = header_text(&request.headers, "last-event-id")
            .parse()
            .unwrap_or(0);
        let faults = self.with_endpoint(addr, |endpoint| endpoint.hidden_faults.clone());
        let faults = faults.unwrap_or_default();
        if faults.contains(&HiddenFault::EndlessHead) {
            return send_forever(conn, "HTTP/1.1 200 OK\r\n", "x-field: value\r\n").await;
        }
        if faults.contains(&HiddenFault::EndlessBody) {
            let head = format!("HTTP/1.1 200 OK\r\nsignature: s\r\nrequest-id: {id}\r\n\r\n");
            return send_forever(conn, &head, "<\u{1}\u{2}>\n\n").await;
        }
        let is_unframed = self.with_endpoint(addr, |endpoint| {
            endpoint.hidden_faults.contains(&HiddenFault::Unframed)
        }) == Some(true);
        if send_head(&mut conn, &headers, is_unframed).await.is_err() {
            return (conn, Reply::Close);
        }
        for event in from + 1..=EVENTS {
            monoio::time::sleep(EVENT_INTERVAL.duration()).await;
            if !self.wait_for_token(addr, &id, target).await {
                return (conn, Reply::Close);
            }
            let line = format!("id: {event}\ndata: token {event}\n\n");
            let sent = if is_unframed {
                conn.writer.write_raw(line.as_bytes()).await
            } else {
                conn.writer.chunk(line.as_bytes()).await
            };
            if sent.is_err() {
                return (conn, Reply::Close);
            }
        }
        if is_unframed {
            return (conn, Reply::Close);
        }
        let reply = match conn.writer.finish().await {
            Ok(()) => Reply::Streamed,
            Err(_) => Reply::Close,
        };
        (conn, reply)
    }

    /// Waits until no engine of the path is stalled, then records whether the token ran each layer
    /// once. Returns `false` if the first engine of the path is broken, or if the path stalls for
    /// [`STALL_TIMEOUT`]. A request with a `target` crashes that engine instead, also after the
    /// path was changed.
    async fn wait_for_token(
        &self,
        addr: SocketAddr,
        id: &str,
        target: Option<CrashTarget>,
    ) -> bool {
        /// How often a stalled path is checked.
        const POLL_INTERVAL: Millis = Millis(5);
        for _ in 0..STALL_TIMEOUT.0 / POLL_INTERVAL.0 {
            if self.with_endpoint(addr, |endpoint| endpoint.broken) != Some(false) {
                return false;
            }
            let running = self.running.borrow().get(id).cloned().unwrap_or_default();
            if !self.is_stalled(&running) {
                let Some(target) = target else {
                    self.check_path(id, &running.path);
                    return true;
                };
                let crashed = match target {
                    CrashTarget::First => running.path.first(),
                    CrashTarget::Last => running.path.last(),
                };
                if let Some((crashed, _)) = crashed {
                    self.crash(*crashed);
                }
            }
            monoio::time::sleep(POLL_INTERVAL.duration()).await;
        }
        false
    }

    fn check_path(&self, id: &str, path: &[(SocketAddr, Span)]) {
        let mut position = 0;
        let in_order = path.iter().all(|(_, span)| {
            let next = span.from == position;
            position = span.to;
            next
        });
        if !in_order || position != self.layers {
            self.violations.borrow_mut().push(format!("{id}: {path:?}"));
        }
    }
}

/// Sends the head of a stream; an unframed one has nothing that marks the end of its body.
async fn send_head(
    conn: &mut BoxedConn,
    headers: &HeaderMap,
    is_unframed: bool,
) -> Result<(), HttpError> {
    if !is_unframed {
        return conn.writer.start(StatusCode::OK, headers).await;
    }
    let mut head = String::from("HTTP/1.1 200 OK\r\n");
    for (name, value) in headers {
        let value = value.to_str().unwrap_or_default();
        write!(head, "{name}: {value}\r\n").map_err(|_| HttpError::Malformed)?;
    }
    head += "\r\n";
    conn.writer.write_raw(head.as_bytes()).await
}

/// Sends a head and then a piece again and again, until the other side closes the connection.
async fn send_forever(mut conn: BoxedConn, head: &str, piece: &str) -> (BoxedConn, Reply) {
    const PIECES: usize = 256;
    let pieces = piece.repeat(PIECES);
    let mut sent = conn.writer.write_raw(head.as_bytes()).await;
    while sent.is_ok() {
        sent = conn.writer.write_raw(pieces.as_bytes()).await;
        // Other tasks of this event loop have to run too.
        monoio::time::sleep(Millis(1).duration()).await;
    }
    (conn, Reply::Close)
}

fn refusal(status: StatusCode, fault: SocketAddr) -> Response {
    let mut response = Response::new(status);
    set(&mut response.headers, "not-run", "1");
    set(&mut response.headers, "fault", &fault.to_string());
    response
}

fn sign(headers: &mut HeaderMap, id: &str) {
    set(headers, "signature", "s");
    set(headers, "request-id", id);
}

fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn parse_path(path: &str) -> Route {
    let part = |part: &str| {
        let (addr, span) = part.split_once('=')?;
        let (from, to) = span.split_once('-')?;
        let span = Span {
            from: from.parse().ok()?,
            to: to.parse().ok()?,
        };
        Some((addr.parse().ok()?, span))
    };
    path.split(',').filter_map(part).collect()
}
