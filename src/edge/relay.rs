//! Streaming requests: a path of engines runs the request, and its events are relayed as they
//! arrive.
//!
//! Only complete events are relayed, so a stream that breaks in the middle of an event resumes on
//! another path without a lost, repeated or corrupted event (docs/PLATFORM.md).

mod peer;

use std::pin::Pin;
use std::pin::pin;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header;

use super::call::MAX_STRAY;
use super::call::classify;
use super::call::closes_connection;
use super::context::ConnAction;
use super::context::RequestContext;
use super::context::respond;
use super::detour;
use super::engine;
use super::engine::ConnectError;
use super::engine::Link;
use super::entry;
use super::entry::Entry;
use super::forward;
use super::forward::ForwardInfo;
use super::forward::forward_request;
use super::load::LoadGuard;
use super::notice;
use super::paths;
use super::paths::MIN_RETRY_TIME;
use super::paths::PathSelector;
use super::reach;
use super::startup;
use super::startup::Step;
use super::state::Edge;
use super::suspect::RunEnd;
use crate::clock::Millis;
use crate::core::attempt::AnswerOwner;
use crate::core::attempt::Ending;
use crate::core::attempt::EventBuffer;
use crate::core::attempt::MAX_EVENT_BYTES;
use crate::core::attempt::answer_owner;
use crate::core::pipe::Part;
use crate::core::pipe::StallTimer;
use crate::io::http::Conn;
use crate::io::http::HttpError;
use crate::io::http::Reader;
use crate::io::http::Response;
use crate::io::http::Writer;
use crate::io::timeout::within;

/// The `Retry-After` of a refusal when no path could run the request.
const RETRY_AFTER: Millis = Millis(1000);
/// How often a started stream looks for a path while none exists; it is not ended while it has time
/// left.
const PATH_POLL: Millis = Millis(50);
/// The media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";
/// The most paths tried for one request that did not run it.
const MAX_NOT_RUN: u32 = 4;

/// How one path ended; the end of the last path is that of the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    /// The stream is complete.
    Done,
    /// The request was not sent, as no connection could be opened.
    NotSent,
    /// The engines did not run the request.
    NotRun,
    /// The stream broke, or its path stalled.
    Broke,
    /// The engine gave an answer with this status that is no stream, mostly an error; it was relayed.
    Answered(u16),
    /// The caller disconnected.
    Left,
    /// The request's deadline passed.
    Late,
}

/// The progress of a stream over all its paths.
#[derive(Debug, Default)]
#[expect(clippy::struct_excessive_bools, reason = "each is a fact of its own")]
struct Progress {
    /// Whether the response head was sent to the caller.
    is_started: bool,
    /// Whether that head states that the connection ends with the stream.
    announces_close: bool,
    /// The media type that the head stated, in lower case.
    media: Option<String>,
    events: EventBuffer,
    /// The paths that the request was sent along and that did not refuse it.
    paths: u32,
    /// The paths that did not run the request.
    not_run: u32,
    /// Whether a path may have run the request.
    ran: bool,
    /// Whether other VMs were asked to serve it.
    has_detoured: bool,
    first_event: Option<Millis>,
    last_event: Millis,
    /// The longest time between two events.
    longest_gap: Millis,
}

impl Progress {
    /// States in the head of the response that the connection ends with it, if the VM is stopping.
    fn announce_close(&mut self, edge: &Edge, headers: &mut HeaderMap) {
        if edge.stopping().is_some() {
            self.announces_close = true;
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
    }

    /// Returns whether an answer is a stream of events, and the same one as before if it has begun. Only
    /// the media type tells a stream from an answer of one piece.
    fn is_stream(&self, response: &Response) -> bool {
        let media = media_type(response);
        let is_same = if self.is_started {
            media == self.media
        } else {
            media.is_none_or(|media| media == EVENT_STREAM)
        };
        response.status == StatusCode::OK && is_same
    }

    /// Records the time of an event that is about to be relayed.
    fn record_event(&mut self, edge: &Edge, ctx: &RequestContext) {
        let now = edge.now();
        if self.first_event.is_none() {
            self.first_event = Some(now);
            edge.metrics().record_first_event(now.since(ctx.start));
        } else {
            self.longest_gap = self.longest_gap.max(now.since(self.last_event));
        }
        self.last_event = now;
    }

    /// Returns how long the next event may take: until the target of the route, or for a stream that
    /// has begun, until its pause is too long.
    fn event_target(&self, edge: &Edge, ctx: &RequestContext) -> Millis {
        let now = edge.now();
        match ctx.route.gap {
            Some(gap) if self.first_event.is_some() => gap - now.since(self.last_event),
            _ => ctx.route.target - now.since(ctx.start),
        }
    }
}

/// Serves a streaming request until its stream ends or the caller disconnects.
pub async fn serve(edge: &Edge, conn: &mut Conn, ctx: &RequestContext) -> ConnAction {
    let service = ctx.site.services.get(&ctx.service);
    let Some(model) = service.and_then(|service| service.model.as_ref()) else {
        log::warn!(id = ctx.id, service:% = ctx.service, reason = "no_model"; "refused");
        return respond(edge, conn, forward::refusal(RETRY_AFTER), false, ctx.start).await;
    };
    let mut selector = PathSelector::new(edge, ctx, model);
    let mut progress = Progress {
        paths: ctx.detour.map_or(0, |info| info.attempts),
        ..Progress::default()
    };
    let Conn { reader, writer } = conn;
    let ended = {
        let mut gone = pin!(reader.closed());
        let mut work = pin!(run(&mut selector, writer, &mut progress));
        monoio::select! {
            // First, so that nothing is sent if the caller left before its request was read.
            biased;
            () = &mut gone => Ok(StreamEnd::Left),
            ended = &mut work => ended,
            () = ctx.wait_for_deadline(edge) => Ok(StreamEnd::Late),
        }
    };
    let ended = match ended {
        Ok(ended) => ended,
        Err(wait) => return respond(edge, conn, forward::refusal(wait), false, ctx.start).await,
    };
    log_end(edge, ctx, &progress, ended);
    edge.admission(|controller| controller.record_duration(edge.now().since(ctx.start)));
    match ended {
        // A caller that was not told so may use the connection again, and is told then.
        StreamEnd::Done if !progress.announces_close => ConnAction::Keep,
        StreamEnd::Answered(_) if edge.stopping().is_none() => ConnAction::Keep,
        StreamEnd::Done | StreamEnd::Answered(_) | StreamEnd::Left => ConnAction::Close,
        _ if progress.is_started => ConnAction::Close,
        // This VM may reach no endpoint and not know it yet; the one that asked it tries another.
        StreamEnd::NotRun | StreamEnd::NotSent
            if !progress.ran && ctx.detour.is_some() && selector.unreached() > 0 =>
        {
            let response = detour::decline("not_reached");
            respond(edge, conn, response, false, ctx.start).await
        }
        StreamEnd::NotRun | StreamEnd::NotSent if !progress.ran => {
            let wait = selector.pause().unwrap_or(RETRY_AFTER);
            respond(edge, conn, forward::refusal(wait), false, ctx.start).await
        }
        StreamEnd::Late => {
            let response = Response::new(StatusCode::GATEWAY_TIMEOUT);
            respond(edge, conn, response, false, ctx.start).await
        }
        StreamEnd::NotRun | StreamEnd::NotSent | StreamEnd::Broke => {
            let response = Response::new(StatusCode::BAD_GATEWAY);
            respond(edge, conn, response, false, ctx.start).await
        }
    }
}

fn log_end(edge: &Edge, ctx: &RequestContext, progress: &Progress, ended: StreamEnd) {
    log::info!(
        id = ctx.id,
        content = ctx.content.short(),
        version = ctx.site.version,
        route = ctx.route.name,
        team = ctx.team.as_ref().map_or("-", |team| team.as_str()),
        paths = progress.paths,
        events = progress.events.count(),
        last = progress.events.last_id().unwrap_or(0),
        first_ms = progress.first_event.map_or(0, |at| at.since(ctx.start).0),
        pause_ms = progress.longest_gap.0,
        cut_off = edge.is_cut_off(),
        ms = edge.now().since(ctx.start).0,
        outcome:? = ended;
        "stream"
    );
}

/// Runs the request once there is room for it; fails with the time after which its caller may come
/// back if it is refused.
async fn run(
    selector: &mut PathSelector<'_>,
    writer: &mut Writer,
    progress: &mut Progress,
) -> Result<StreamEnd, Millis> {
    let held = match entry::admit(selector).await {
        Entry::Begin { path, held } => {
            selector.set_first(path);
            held
        }
        Entry::Refuse(wait) => return Err(wait),
    };
    let ended = try_paths(selector, writer, progress).await;
    if let Some(held) = held {
        held.end(!matches!(ended, StreamEnd::NotRun | StreamEnd::NotSent));
    }
    Ok(ended)
}

async fn try_paths(
    selector: &mut PathSelector<'_>,
    writer: &mut Writer,
    progress: &mut Progress,
) -> StreamEnd {
    let edge = selector.edge;
    let ctx = selector.ctx;
    loop {
        let Some(ended) = try_path(selector, writer, progress).await else {
            let has_time = ctx.remaining(edge.now()) >= MIN_RETRY_TIME;
            if progress.is_started && has_time && !selector.is_barred() {
                monoio::time::sleep(PATH_POLL.duration()).await;
                selector.clear_excluded();
                continue;
            }
            selector.log_no_path();
            return StreamEnd::NotRun;
        };
        progress.events.discard_partial();
        let now = edge.now();
        let more = match ended {
            StreamEnd::NotSent | StreamEnd::NotRun => {
                progress.not_run += 1;
                progress.not_run < MAX_NOT_RUN
            }
            StreamEnd::Broke => {
                progress.ran = true;
                progress.paths < ctx.route.attempts && ctx.route.may_repeat()
            }
            _ => false,
        };
        if !more || ctx.remaining(now) < MIN_RETRY_TIME {
            return ended;
        }
        // What no engine got is no retry.
        let is_sent = ended != StreamEnd::NotSent;
        if selector.is_barred() || (is_sent && !selector.take_retry()) {
            return ended;
        }
    }
}

/// Sends the request along a path of engines, or has another VM serve it, and relays the response;
/// `None` if there is neither.
async fn try_path(
    selector: &mut PathSelector<'_>,
    writer: &mut Writer,
    progress: &mut Progress,
) -> Option<StreamEnd> {
    let edge = selector.edge;
    let may_detour = edge.is_cut_off() || !progress.has_detoured;
    if may_detour && selector.ctx.needs_detour(edge, selector.unreached()) {
        progress.has_detoured = true;
        let ended = peer::relay(selector, writer, progress).await;
        if ended.is_some() || edge.is_cut_off() {
            return ended;
        }
    }
    let path = selector.take_first().or_else(|| selector.pick_path())?;
    if let Some(first) = path.first() {
        edge.roster(|roster| roster.take_limited(edge.now(), &first.endpoint));
    }
    let load = LoadGuard::begin(edge, &path, selector.demand());
    let ended = relay_path(selector, writer, progress, path).await;
    selector.end_run();
    drop(load);
    Some(ended)
}

/// Sends the request along one path and relays the response.
async fn relay_path(
    selector: &mut PathSelector<'_>,
    writer: &mut Writer,
    progress: &mut Progress,
    mut path: Vec<Part>,
) -> StreamEnd {
    let edge = selector.edge;
    let Some(first) = path.first().cloned() else {
        return StreamEnd::NotRun;
    };
    let Link { conn, is_new } = match send_request(selector, progress, &path, &first).await {
        Ok(link) => link,
        Err(ended) => return ended,
    };
    let Conn {
        reader,
        writer: upstream,
    } = conn;
    let target = progress.event_target(edge, selector.ctx);
    let mut watch = selector.watch(&path, target);
    let head = read_head(edge, selector.ctx, reader, is_new);
    let (reader, response) = match wait_for_head(selector, &mut path, head, &mut watch).await {
        Ok(head) => head,
        Err(ended) => return ended,
    };
    if is_new {
        reach::record_contact(edge);
    }
    notice::read_answer(edge, &first.endpoint, &response);
    if let Some(ended) = check_head(selector, progress, &first, &response) {
        return ended;
    }
    selector.record_head();
    let is_stream = progress.is_stream(&response);
    if !is_stream {
        selector.record_completion();
    }
    if response.status.is_server_error() {
        log::info!(id = selector.ctx.id, endpoint:% = first.endpoint, status = response.status.as_u16(); "engine_failed");
        selector.record_refusal(first.addr);
        if selector.try_leave() {
            return StreamEnd::Broke;
        }
    }
    if !is_stream {
        return relay_whole(selector, writer, progress, reader, response).await;
    }
    if !progress.is_started {
        progress.media = media_type(&response);
        let mut headers = response.headers.clone();
        forward::strip_hop_headers(&mut headers);
        progress.announce_close(edge, &mut headers);
        if writer.start(response.status, &headers).await.is_err() {
            return StreamEnd::Left;
        }
        progress.is_started = true;
    }
    match relay_events(selector, writer, progress, &mut path, reader, &mut watch).await {
        Ok(reader) => {
            paths::record_success(edge, &path);
            selector.record_completion();
            if !closes_connection(&response) {
                let conn = Conn {
                    reader,
                    writer: upstream,
                };
                edge.pool().put(first.addr, conn);
            }
            StreamEnd::Done
        }
        Err(ended) => ended,
    }
}

/// Connects to the first engine and sends it the request, with the id of the last relayed event.
async fn send_request(
    selector: &mut PathSelector<'_>,
    progress: &mut Progress,
    path: &[Part],
    first: &Part,
) -> Result<Link, StreamEnd> {
    let edge = selector.edge;
    let ctx = selector.ctx;
    let reuse_for = ctx.has_id().then_some(ctx.id.as_str());
    let mut link = match engine::connect(edge, &first.endpoint, first.addr, reuse_for).await {
        Ok(link) => link,
        Err(error @ ConnectError::Withdrawn) => {
            log::info!(id = ctx.id, endpoint:% = first.endpoint, error:% = error; "not_connected");
            return Err(StreamEnd::NotSent);
        }
        Err(error) => {
            log::info!(id = ctx.id, endpoint:% = first.endpoint, error:% = error; "not_connected");
            if matches!(&error, ConnectError::Http(error) if error.is_exhausted()) {
                selector.exclude(first.addr);
            } else {
                selector.record_failure(first.addr);
                selector.record_unreached();
            }
            return Err(StreamEnd::NotSent);
        }
    };
    let last = progress.events.last_id().map(HeaderValue::from);
    let info = ForwardInfo {
        endpoint: &first.endpoint,
        team: ctx.team.as_ref(),
        priority: ctx.priority,
        remaining: ctx.remaining(edge.now()),
        path,
        last_event: last.as_ref(),
    };
    let request = forward_request(edge, &ctx.request, &info);
    progress.paths += 1;
    selector.set_attempts(progress.paths);
    selector.begin_run(path, &[]);
    ctx.record_sent();
    link.conn.writer.record_id(&ctx.id);
    let from = progress.events.last_id().unwrap_or(0);
    let crossings = paths::count_crossings(edge, path);
    let choice = selector.choice();
    log::info!(
        id = ctx.id,
        path:% = paths::format_path(path),
        last = from,
        crossings,
        engines = choice.engines,
        open = choice.links.open,
        closed = choice.links.closed,
        unknown = choice.links.unknown,
        age_ms:? = choice.age.map(|age| age.0),
        choice_us = (choice.ms * 1000.0) as u64,
        late_ms = edge.loop_delay().0;
        "path"
    );
    match link.conn.writer.request(&request).await {
        Ok(()) => Ok(link),
        Err(error) => {
            log::info!(id = ctx.id, endpoint:% = first.endpoint, error:% = error; "not_sent");
            edge.pool().clear(first.addr);
            selector.check_first(path, RunEnd::Broken).await;
            Err(StreamEnd::Broke)
        }
    }
}

/// Waits for the head of the response.
async fn wait_for_head(
    selector: &mut PathSelector<'_>,
    path: &mut Vec<Part>,
    head: impl Future<Output = (Reader, Result<Response, HttpError>)>,
    watch: &mut StallTimer,
) -> Result<(Reader, Response), StreamEnd> {
    let next = pin!(head);
    match wait_or_repair(selector, path, next, watch).await? {
        (reader, Ok(response)) => Ok((reader, response)),
        (_, Err(error)) => {
            let id = &selector.ctx.id;
            log::info!(id, endpoint:% = path[0].endpoint, error:% = error; "head_broke");
            selector.edge.pool().clear(path[0].addr);
            selector.record_failure(path[0].addr);
            reach::record_failure(selector.edge, path[0].addr);
            selector.check_first(path, RunEnd::Broken).await;
            Err(StreamEnd::Broke)
        }
    }
}

/// Returns how the path ended if the response head is not a signed answer.
fn check_head(
    selector: &mut PathSelector<'_>,
    progress: &mut Progress,
    first: &Part,
    response: &Response,
) -> Option<StreamEnd> {
    let edge = selector.edge;
    let ctx = selector.ctx;
    let names = &edge.dialect().headers;
    let status = response.status.as_u16();
    match classify(edge, response) {
        Ending::NotRun => {
            progress.paths -= 1;
            let fault = response
                .header(&names.faulty_addr)
                .and_then(|text| text.parse().ok());
            let addr = fault.unwrap_or(first.addr);
            let endpoint = &first.endpoint;
            log::info!(id = ctx.id, endpoint:% = endpoint, status, fault:% = addr; "turned_away");
            selector.record_refusal(addr);
            Some(StreamEnd::NotRun)
        }
        Ending::Unknown => {
            log::warn!(id = ctx.id, endpoint:% = first.endpoint, status; "answer_unsigned");
            Some(StreamEnd::Broke)
        }
        Ending::Answered(_) => None,
    }
}

/// Relays the events of a stream until it ends.
async fn relay_events(
    selector: &mut PathSelector<'_>,
    writer: &mut Writer,
    progress: &mut Progress,
    path: &mut Vec<Part>,
    mut reader: Reader,
    watch: &mut StallTimer,
) -> Result<Reader, StreamEnd> {
    let edge = selector.edge;
    let ctx = selector.ctx;
    loop {
        let next = pin!(read_chunk(reader));
        let (back, chunk) = wait_or_repair(selector, path, next, watch).await?;
        reader = back;
        match chunk {
            Ok(Some(part)) => {
                if !progress.events.push(&part) {
                    log::warn!(id = ctx.id, endpoint:% = path[0].endpoint; "event_malformed");
                    selector.record_failure(path[0].addr);
                    return Err(StreamEnd::Broke);
                }
                if progress.events.has_progress() {
                    progress.record_event(edge, ctx);
                    let now = edge.now();
                    selector.record_event(path, watch.gap(now));
                    watch.record_event(now);
                } else {
                    watch.record_bytes();
                }
                reader.set_taken(progress.events.partial_len());
                if writer.chunk(&progress.events.take()).await.is_err() {
                    return Err(StreamEnd::Left);
                }
            }
            Ok(None) if is_whole(selector, progress, path, &reader).await => {
                edge.metrics()
                    .record_answer(200, edge.now().since(ctx.start));
                startup::record(edge, Step::Answer, "self");
                return match writer.finish().await {
                    Ok(()) => Ok(reader),
                    Err(_) => Err(StreamEnd::Left),
                };
            }
            Ok(None) => {
                log::info!(id = ctx.id, endpoint:% = path[0].endpoint; "stream_torn");
                selector.check_first(path, RunEnd::Broken).await;
                return Err(StreamEnd::Broke);
            }
            Err(error) => {
                let endpoint = &path[0].endpoint;
                log::info!(id = ctx.id, endpoint:% = endpoint, error:% = error; "stream_broke");
                selector.record_failure(path[0].addr);
                reach::record_failure(edge, path[0].addr);
                selector.check_first(path, RunEnd::Broken).await;
                return Err(StreamEnd::Broke);
            }
        }
    }
}

/// Returns whether a stream is complete at the end of its body.
///
/// Where the close of the connection is the only mark, a crash of the engine looks the same. A stream
/// without an event is not complete then, nor is one that ended right after its start and whose
/// engine refuses connections.
async fn is_whole(
    selector: &mut PathSelector<'_>,
    progress: &Progress,
    path: &[Part],
    reader: &Reader,
) -> bool {
    if !progress.events.is_complete() {
        return false;
    }
    if reader.has_marked_end() {
        return true;
    }
    // Without a link to any endpoint, a crash cannot be told.
    progress.events.count() > 0
        && !selector.check_first(path, RunEnd::Unmarked).await
        && !selector.edge.is_cut_off()
}

/// Reads the head of the response to this request, after second copies of earlier ones.
async fn read_head(
    edge: &Edge,
    ctx: &RequestContext,
    mut reader: Reader,
    is_new: bool,
) -> (Reader, Result<Response, HttpError>) {
    let response = find_head(edge, ctx, &mut reader, is_new).await;
    (reader, response)
}

async fn find_head(
    edge: &Edge,
    ctx: &RequestContext,
    reader: &mut Reader,
    is_new: bool,
) -> Result<Response, HttpError> {
    for _ in 0..MAX_STRAY {
        let head = reader.response_head(false).await?;
        let echo = head.header(&edge.dialect().headers.request_id);
        match answer_owner(echo, &ctx.id, is_new) {
            AnswerOwner::Own => return Ok(head),
            AnswerOwner::Other => {
                log::warn!(id = ctx.id, stray = echo.unwrap_or_default(); "stray_answer");
                while reader.chunk().await?.is_some() {}
            }
            AnswerOwner::Unclear => {
                log::warn!(id = ctx.id, status = head.status.as_u16(); "answer_without_id");
                break;
            }
        }
    }
    Err(HttpError::Malformed)
}

async fn read_chunk(mut reader: Reader) -> (Reader, Result<Option<Bytes>, HttpError>) {
    let chunk = reader.chunk().await;
    (reader, chunk)
}

/// Waits for `next`, and checks and repairs the path whenever it has been quiet for too long.
async fn wait_or_repair<F>(
    selector: &mut PathSelector<'_>,
    path: &mut Vec<Part>,
    mut next: Pin<&mut F>,
    watch: &mut StallTimer,
) -> Result<F::Output, StreamEnd>
where
    F: Future,
{
    loop {
        let remaining = selector.ctx.remaining(selector.edge.now());
        if remaining == Millis(0) {
            return Err(StreamEnd::Late);
        }
        let now = selector.edge.now();
        if !watch.is_overdue(now)
            && let Ok(got) = within(remaining.min(watch.until_check(now)), next.as_mut()).await
        {
            return Ok(got);
        }
        if selector.ctx.remaining(selector.edge.now()) == Millis(0) {
            return Err(StreamEnd::Late);
        }
        watch.record_check(selector.edge.now());
        let is_repaired = selector.repair(path, watch).await;
        if !is_repaired && (selector.is_barred() || selector.try_leave()) {
            return Err(StreamEnd::Broke);
        }
    }
}

/// Returns the media type of a response without its parameters, in lower case.
fn media_type(response: &Response) -> Option<String> {
    let text = response.header(&header::CONTENT_TYPE)?;
    let media = text.split(';').next().unwrap_or(text);
    Some(media.trim().to_ascii_lowercase())
}

/// Relays an answer that is no stream, unless part of the stream was already sent.
async fn relay_whole(
    selector: &PathSelector<'_>,
    writer: &mut Writer,
    progress: &Progress,
    mut reader: Reader,
    mut response: Response,
) -> StreamEnd {
    let edge = selector.edge;
    if progress.is_started {
        let (id, status) = (&selector.ctx.id, response.status.as_u16());
        let media = media_type(&response).unwrap_or_default();
        log::info!(id, status, media; "answer_not_continued");
        return StreamEnd::Broke;
    }
    let mut body = BytesMut::new();
    loop {
        match within(selector.ctx.remaining(edge.now()), reader.chunk()).await {
            Ok(Ok(Some(part))) if body.len() + part.len() <= MAX_EVENT_BYTES => {
                body.extend_from_slice(&part);
                reader.set_taken(body.capacity());
            }
            Ok(Ok(None)) => break,
            _ => return StreamEnd::Broke,
        }
    }
    if !reader.has_marked_end() && body.is_empty() && response.status.is_success() {
        // The engine may have stopped after its head.
        return StreamEnd::Broke;
    }
    let status = response.status.as_u16();
    response.body = body.freeze();
    forward::strip_hop_headers(&mut response.headers);
    if edge.stopping().is_some() {
        let close = HeaderValue::from_static("close");
        response.headers.insert(header::CONNECTION, close);
    }
    edge.metrics()
        .record_answer(status, edge.now().since(selector.ctx.start));
    match writer.response(&response, false).await {
        Ok(()) => StreamEnd::Answered(status),
        Err(_) => StreamEnd::Left,
    }
}
