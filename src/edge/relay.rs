//! Streams: a request passes through a path of engines, and its events are passed on as they come.
//!
//! Only whole events are passed on, so a stream that breaks off in the middle of one goes on at
//! another path without a gap, a repeat or a joined half (docs/PLATFORM.md).

use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderValue;
use http::StatusCode;
use http::header;

use super::call::closes;
use super::call::judge;
use super::dialect::OrderAnswer;
use super::engine;
use super::forward;
use super::forward::Orders;
use super::forward::forward;
use super::front::After;
use super::front::Job;
use super::front::respond;
use super::state::Edge;
use crate::clock::Millis;
use crate::core::attempt::Ending;
use crate::core::pipe::Demand;
use crate::core::pipe::Part;
use crate::core::pipe::choose;
use crate::core::site::Model;
use crate::io::http::Conn;
use crate::io::http::HttpError;
use crate::io::http::Reader;
use crate::io::http::Response;
use crate::io::http::Writer;
use crate::names::EndpointName;

/// When a caller whose request found no path may come back.
const BACK_SPAN: Millis = Millis(1000);
/// With less time left than this, no other path is tried.
const RETRY_LEAST: Millis = Millis(300);
/// The paths that one request is offered in vain.
const OFFERS: u32 = 4;
/// Without an event for this long, the first engine is asked what holds it up.
const QUIET_SPAN: Millis = Millis(600);
/// The longest event, in bytes.
const EVENT_BYTES: usize = 256 * 1024;

type Next<T> = Pin<Box<dyn Future<Output = T>>>;
type Piece = (Reader, Result<Option<Bytes>, HttpError>);

/// How one path ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
    /// The stream is complete.
    Done,
    /// The engines did not run the request.
    NotRun,
    /// The stream broke off, or the path stands still.
    Broke,
    /// The engine answered with a failure of its own, which was passed on.
    Failed(u16),
    /// The caller left.
    Left,
    /// The caller's time is over.
    Late,
}

/// What a stream has done so far.
#[derive(Debug, Default)]
struct Progress {
    begun: bool,
    last: Option<u64>,
    events: u64,
    paths: u32,
    offers: u32,
    ran: bool,
    bad: Vec<SocketAddr>,
    first: Option<Millis>,
}

/// Serves a stream.
pub async fn stream(edge: &Edge, conn: &mut Conn, job: &Job) -> After {
    let Some(model) = job
        .site
        .services
        .get(&job.service)
        .and_then(|service| service.model.clone())
    else {
        log::warn!(id = job.id, service:% = job.service, reason = "no_model"; "refused");
        return respond(edge, conn, forward::refusal(BACK_SPAN), false, job.start).await;
    };
    let mut progress = Progress::default();
    let Conn { reader, writer } = conn;
    let ended = {
        let mut gone = pin!(reader.closed());
        let mut work = pin!(paths(edge, writer, job, &model, &mut progress));
        monoio::select! {
            ended = &mut work => ended,
            () = &mut gone => Ended::Left,
        }
    };
    log::info!(
        id = job.id,
        version = job.site.version,
        route = job.route.name,
        team = job.team.as_ref().map_or("-", |team| team.as_str()),
        paths = progress.paths,
        events = progress.events,
        last = progress.last.unwrap_or(0),
        first_ms = progress.first.map_or(0, |at| at.since(job.start).0),
        ms = edge.now().since(job.start).0,
        outcome:? = ended;
        "stream"
    );
    match ended {
        Ended::Done | Ended::Failed(_) if edge.stopping().is_none() => After::Keep,
        Ended::Done | Ended::Failed(_) | Ended::Left => After::Close,
        _ if progress.begun => After::Close,
        Ended::NotRun if !progress.ran => {
            respond(edge, conn, forward::refusal(BACK_SPAN), false, job.start).await
        }
        Ended::Late => {
            let response = Response::new(StatusCode::GATEWAY_TIMEOUT);
            respond(edge, conn, response, false, job.start).await
        }
        Ended::NotRun | Ended::Broke => {
            let response = Response::new(StatusCode::BAD_GATEWAY);
            respond(edge, conn, response, false, job.start).await
        }
    }
}

async fn paths(
    edge: &Edge,
    writer: &mut Writer,
    job: &Job,
    model: &Model,
    progress: &mut Progress,
) -> Ended {
    loop {
        let Some(path) = pick(edge, job, model, &progress.bad) else {
            return Ended::NotRun;
        };
        let load = Load::begin(edge, &path, demand(edge, job, model));
        let ended = one(edge, writer, job, model, progress, path).await;
        drop(load);
        let now = edge.now();
        let more = match ended {
            Ended::NotRun => {
                progress.offers += 1;
                progress.offers < OFFERS
            }
            Ended::Broke => {
                progress.ran = true;
                progress.paths < job.route.attempts.max(2) && job.route.may_repeat()
            }
            _ => false,
        };
        if !more || job.left(now) < RETRY_LEAST {
            return ended;
        }
        let vms = edge.fleet(|fleet| fleet.serving(now));
        if !edge.budget(|budget| budget.retry(now, vms)) {
            log::info!(id = job.id, reason = "budget"; "not_retried");
            return ended;
        }
    }
}

/// Returns what a request asks of a path, as far as its headers tell.
fn demand(edge: &Edge, job: &Job, model: &Model) -> Demand {
    let names = &edge.dialect().headers;
    let text = job.request.header(&names.tokens).unwrap_or_default();
    let mut numbers = text
        .split(',')
        .map(|number| number.trim().parse::<f64>().ok());
    let prompt = numbers.next().flatten().unwrap_or(model.usual.0);
    let most = numbers.next().flatten().unwrap_or(model.usual.1);
    let hint = job
        .request
        .header(&names.hint)
        .and_then(|text| text.parse::<f64>().ok());
    Demand {
        prompt,
        answer: hint.unwrap_or(model.usual.1).min(most),
    }
}

fn pick(edge: &Edge, job: &Job, model: &Model, bad: &[SocketAddr]) -> Option<Vec<Part>> {
    let now = edge.now();
    let vms = edge.fleet(|fleet| fleet.serving(now)) as f64;
    let mut stages = edge.roster(|roster| roster.stages(&job.service, model, now, vms));
    stages.retain(|stage| !bad.contains(&stage.addr));
    for stage in &mut stages {
        stage.penalty *= 1.0 + 0.15 * edge.draw();
    }
    choose(
        &stages,
        model,
        &edge.settings().domain,
        demand(edge, job, model),
    )
}

/// A request that counts at the engines of its path until this is dropped.
struct Load {
    edge: Edge,
    parts: Vec<(EndpointName, f64)>,
}

impl Load {
    fn begin(edge: &Edge, path: &[Part], demand: Demand) -> Self {
        let tokens = demand.prompt + demand.answer;
        let cells = |part: &Part| (part.endpoint.clone(), tokens * f64::from(part.span.len()));
        let parts: Vec<_> = path.iter().map(cells).collect();
        edge.roster(|roster| {
            for (endpoint, cells) in &parts {
                roster.begin(endpoint, *cells);
            }
        });
        Self {
            edge: edge.clone(),
            parts,
        }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.edge.roster(|roster| {
            for (endpoint, cells) in &self.parts {
                roster.end_work(endpoint, *cells);
            }
        });
    }
}

fn fail(edge: &Edge, addr: SocketAddr, progress: &mut Progress) {
    let now = edge.now();
    if !progress.bad.contains(&addr) {
        progress.bad.push(addr);
    }
    edge.roster(|roster| {
        let endpoint = roster.at(addr).map(|entry| entry.endpoint.clone());
        if let Some(health) = endpoint.and_then(|endpoint| roster.health(&endpoint)) {
            health.fail(now);
        }
    });
}

fn succeed(edge: &Edge, path: &[Part]) {
    edge.roster(|roster| {
        for part in path {
            if let Some(health) = roster.health(&part.endpoint) {
                health.succeed();
            }
        }
    });
}

/// Sends the request along one path and passes on what comes back.
async fn one(
    edge: &Edge,
    writer: &mut Writer,
    job: &Job,
    model: &Model,
    progress: &mut Progress,
    mut path: Vec<Part>,
) -> Ended {
    let Some(first) = path.first().cloned() else {
        return Ended::NotRun;
    };
    let mut conn = match edge.pool().get(first.addr).await {
        Ok(conn) => conn,
        Err(error) => {
            log::info!(id = job.id, endpoint:% = first.endpoint, error:% = error; "not_connected");
            fail(edge, first.addr, progress);
            return Ended::NotRun;
        }
    };
    let last = progress.last.map(HeaderValue::from);
    let orders = Orders {
        endpoint: &first.endpoint,
        team: job.team.as_ref(),
        left: job.left(edge.now()),
        path: &path,
        last: last.as_ref(),
    };
    let request = forward(edge, &job.request, &orders);
    progress.paths += 1;
    log::info!(id = job.id, path:% = spell(&path), last = progress.last.unwrap_or(0); "path");
    if conn.writer.request(&request).await.is_err() {
        edge.pool().clear(first.addr);
        return Ended::Broke;
    }
    let Conn {
        reader,
        writer: upstream,
    } = conn;
    let mut head: Next<(Reader, Result<Response, HttpError>)> = Box::pin(read_head(reader));
    let (reader, response) = loop {
        match wait(edge, job, &mut head).await {
            Waited::Got((reader, Ok(response))) => break (reader, response),
            Waited::Got((_, Err(error))) => {
                log::info!(id = job.id, endpoint:% = first.endpoint, error:% = error; "head_broke");
                edge.pool().clear(first.addr);
                fail(edge, first.addr, progress);
                return Ended::Broke;
            }
            Waited::Late => return Ended::Late,
            Waited::Quiet => {
                if !mend(edge, job, model, progress, &mut path).await {
                    return Ended::Broke;
                }
            }
        }
    };
    let names = &edge.dialect().headers;
    let echo = response.header(&names.request);
    if echo.is_some_and(|echo| echo != job.id) {
        log::warn!(id = job.id, stray = echo.unwrap_or_default(); "stray_answer");
        return Ended::Broke;
    }
    match judge(edge, &response) {
        Ending::NotRun => {
            progress.paths -= 1;
            let fault = response
                .header(&names.fault)
                .and_then(|text| text.parse().ok());
            let addr = fault.unwrap_or(first.addr);
            let status = response.status.as_u16();
            log::info!(id = job.id, endpoint:% = first.endpoint, status, fault:% = addr; "turned_away");
            fail(edge, addr, progress);
            return Ended::NotRun;
        }
        Ending::Unknown => return Ended::Broke,
        Ending::Answered(_) => {}
    }
    if !response.status.is_success() {
        return pass_failure(edge, writer, job, progress, reader, response).await;
    }
    let keep = !closes(&response);
    if !progress.begun {
        let mut headers = response.headers.clone();
        forward::strip(&mut headers);
        if writer.start(response.status, &headers).await.is_err() {
            return Ended::Left;
        }
        progress.begun = true;
    }
    let mut events = Events::default();
    let mut next: Next<Piece> = Box::pin(read_piece(reader));
    loop {
        match wait(edge, job, &mut next).await {
            Waited::Got((reader, Ok(Some(part)))) => {
                if !events.add(&part, progress) {
                    log::warn!(id = job.id, endpoint:% = first.endpoint; "event_refused");
                    return Ended::Broke;
                }
                if progress.first.is_none() && progress.events > 0 {
                    progress.first = Some(edge.now());
                    edge.metrics().first(edge.now().since(job.start));
                }
                let whole = events.take();
                if !whole.is_empty() && writer.chunk(&whole).await.is_err() {
                    return Ended::Left;
                }
                next = Box::pin(read_piece(reader));
            }
            Waited::Got((reader, Ok(None))) => {
                if !events.is_empty() {
                    return Ended::Broke;
                }
                if writer.finish().await.is_err() {
                    return Ended::Left;
                }
                succeed(edge, &path);
                if keep {
                    let conn = Conn {
                        reader,
                        writer: upstream,
                    };
                    edge.pool().keep(first.addr, conn);
                }
                edge.metrics().answer(200, edge.now().since(job.start));
                return Ended::Done;
            }
            Waited::Got((_, Err(error))) => {
                log::info!(id = job.id, endpoint:% = first.endpoint, error:% = error; "stream_broke");
                fail(edge, first.addr, progress);
                return Ended::Broke;
            }
            Waited::Late => return Ended::Late,
            Waited::Quiet => {
                if !mend(edge, job, model, progress, &mut path).await {
                    return Ended::Broke;
                }
            }
        }
    }
}

async fn read_head(mut reader: Reader) -> (Reader, Result<Response, HttpError>) {
    let response = reader.response_head(false).await;
    (reader, response)
}

async fn read_piece(mut reader: Reader) -> Piece {
    let piece = reader.chunk().await;
    (reader, piece)
}

/// What a wait for an engine gave.
enum Waited<T> {
    /// What was waited for.
    Got(T),
    /// Nothing for a while.
    Quiet,
    /// Nothing until the request's time was over.
    Late,
}

async fn wait<T>(edge: &Edge, job: &Job, next: &mut Next<T>) -> Waited<T> {
    let left = job.left(edge.now());
    if left == Millis(0) {
        return Waited::Late;
    }
    let span = left.min(QUIET_SPAN);
    match crate::io::patience::within(span, next).await {
        Ok(got) => Waited::Got(got),
        Err(_) if span == left => Waited::Late,
        Err(_) => Waited::Quiet,
    }
}

/// Passes on an engine's own failure; nothing of the stream was sent before.
async fn pass_failure(
    edge: &Edge,
    writer: &mut Writer,
    job: &Job,
    progress: &Progress,
    mut reader: Reader,
    mut response: Response,
) -> Ended {
    if progress.begun {
        return Ended::Broke;
    }
    let mut body = BytesMut::new();
    loop {
        let left = job.left(edge.now());
        match crate::io::patience::within(left, reader.chunk()).await {
            Ok(Ok(Some(part))) if body.len() + part.len() <= EVENT_BYTES => {
                body.extend_from_slice(&part);
            }
            Ok(Ok(None)) => break,
            _ => return Ended::Broke,
        }
    }
    let status = response.status.as_u16();
    response.body = body.freeze();
    forward::strip(&mut response.headers);
    if edge.stopping().is_some() {
        response
            .headers
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    edge.metrics().answer(status, edge.now().since(job.start));
    match writer.response(&response, false).await {
        Ok(()) => Ended::Failed(status),
        Err(_) => Ended::Left,
    }
}

/// Finds out why a path is quiet and changes it if an engine of it stands still.
///
/// Returns whether it is worth waiting on: `false` if the first engine is silent or the path
/// cannot be changed.
async fn mend(
    edge: &Edge,
    job: &Job,
    model: &Model,
    progress: &mut Progress,
    path: &mut Vec<Part>,
) -> bool {
    let Some(first) = path.first().cloned() else {
        return false;
    };
    let report = match engine::report(edge, first.addr).await {
        Ok(report) => report,
        Err(error) => {
            log::info!(id = job.id, endpoint:% = first.endpoint, error:% = error; "path_given_up");
            fail(edge, first.addr, progress);
            return false;
        }
    };
    let stalled: Vec<SocketAddr> = path
        .iter()
        .map(|part| part.addr)
        .filter(|addr| report.stalled.contains(addr))
        .collect();
    if stalled.is_empty() {
        return true;
    }
    for addr in &stalled {
        fail(edge, *addr, progress);
    }
    if stalled.contains(&first.addr) {
        return false;
    }
    let Some(other) = detour(edge, job, model, &progress.bad, &first) else {
        log::info!(id = job.id, stalled:? = stalled, reason = "no_path"; "path_given_up");
        return false;
    };
    let request = (edge.dialect().repath)(&job.id, &other);
    let answer = engine::order(edge, first.addr, &request).await;
    log::info!(id = job.id, stalled:? = stalled, path:% = spell(&other), answer:? = answer; "repath");
    if matches!(answer, Ok(OrderAnswer::Begun | OrderAnswer::Done)) {
        *path = other;
        return true;
    }
    false
}

/// Chooses a path that begins with the same part, so that the first engine can go on.
fn detour(
    edge: &Edge,
    job: &Job,
    model: &Model,
    bad: &[SocketAddr],
    first: &Part,
) -> Option<Vec<Part>> {
    let now = edge.now();
    let vms = edge.fleet(|fleet| fleet.serving(now)) as f64;
    let mut stages = edge.roster(|roster| roster.stages(&job.service, model, now, vms));
    stages.retain(|stage| stage.addr != first.addr && !bad.contains(&stage.addr));
    for stage in &mut stages {
        stage.first = false;
    }
    let own = edge.roster(|roster| roster.entry(&first.endpoint).cloned())?;
    let card = *model.cards.get(own.kind.as_ref()?)?;
    stages.push(crate::core::pipe::Stage {
        endpoint: first.endpoint.clone(),
        addr: first.addr,
        domain: own.domain,
        span: first.span,
        card,
        running: 0.0,
        room: 0.0,
        penalty: 0.0,
        first: true,
    });
    let path = choose(
        &stages,
        model,
        &edge.settings().domain,
        demand(edge, job, model),
    )?;
    (path.first() == Some(first)).then_some(path)
}

fn spell(path: &[Part]) -> String {
    let part = |part: &Part| format!("{}={}-{}", part.endpoint, part.span.from, part.span.to);
    path.iter().map(part).collect::<Vec<_>>().join(",")
}

/// Collects the bytes of a stream and gives out whole events.
#[derive(Debug, Default)]
struct Events {
    buf: BytesMut,
    ready: BytesMut,
}

impl Events {
    /// Adds bytes; `false` if they are no stream of events that can follow what was passed on.
    fn add(&mut self, part: &[u8], progress: &mut Progress) -> bool {
        self.buf.extend_from_slice(part);
        while let Some(end) = end_of_event(&self.buf) {
            let event = self.buf.split_to(end);
            match id_of(&event) {
                Some(id) if progress.last.is_some_and(|last| id <= last) => continue,
                Some(id) => {
                    progress.last = Some(id);
                    progress.events += 1;
                }
                None => {}
            }
            self.ready.extend_from_slice(&event);
        }
        self.buf.len() <= EVENT_BYTES
    }

    fn take(&mut self) -> Bytes {
        self.ready.split().freeze()
    }

    fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }
}

fn end_of_event(buf: &[u8]) -> Option<usize> {
    let lf = buf
        .windows(2)
        .position(|pair| pair == b"\n\n")
        .map(|at| at + 2);
    let crlf = buf
        .windows(4)
        .position(|four| four == b"\r\n\r\n")
        .map(|at| at + 4);
    match (lf, crlf) {
        (Some(lf), Some(crlf)) => Some(lf.min(crlf)),
        (lf, crlf) => lf.or(crlf),
    }
}

fn id_of(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
