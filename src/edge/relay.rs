//! Streams: a request passes through a path of engines, and its events are passed on as they come.
//!
//! Only whole events are passed on, so a stream that breaks off in the middle of one goes on at
//! another path without a gap, a repeat or a joined half (docs/PLATFORM.md).

use std::pin::Pin;
use std::pin::pin;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderValue;
use http::StatusCode;
use http::header;

use super::call::closes;
use super::call::judge;
use super::forward;
use super::forward::Orders;
use super::forward::forward;
use super::front::After;
use super::front::Job;
use super::front::respond;
use super::mend;
use super::mend::Load;
use super::mend::RETRY_LEAST;
use super::mend::Trip;
use super::state::Edge;
use crate::clock::Millis;
use crate::core::admit::Decision;
use crate::core::attempt::Ending;
use crate::core::attempt::EventBuffer;
use crate::core::attempt::MAX_EVENT_BYTES;
use crate::core::pipe::Part;
use crate::core::pipe::StallTimer;
use crate::io::http::Conn;
use crate::io::http::HttpError;
use crate::io::http::Reader;
use crate::io::http::Response;
use crate::io::http::Writer;
use crate::io::patience::within;

/// When a caller whose request found no path may come back.
const BACK_SPAN: Millis = Millis(1000);
/// The interval at which a stream that has begun looks for a path while none stands: it is not cut off
/// as long as it may go on.
const PATH_LOOK: Millis = Millis(50);
/// The paths that one request is offered in vain.
const OFFERS: u32 = 4;
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
    events: EventBuffer,
    paths: u32,
    offers: u32,
    ran: bool,
    first: Option<Millis>,
    last: Millis,
    pause: Millis,
}

impl Progress {
    /// Takes the time of an event that is passed on.
    fn time(&mut self, edge: &Edge, job: &Job) {
        let now = edge.now();
        if self.first.is_none() {
            self.first = Some(now);
            edge.metrics().first(now.since(job.start));
        } else {
            self.pause = self.pause.max(now.since(self.last));
        }
        self.last = now;
    }
}

/// Serves a stream.
pub async fn stream(edge: &Edge, conn: &mut Conn, job: &Job) -> After {
    let service = job.site.services.get(&job.service);
    let Some(model) = service.and_then(|service| service.model.as_ref()) else {
        log::warn!(id = job.id, service:% = job.service, reason = "no_model"; "refused");
        return respond(edge, conn, forward::refusal(BACK_SPAN), false, job.start).await;
    };
    let mut trip = Trip::new(edge, job, model);
    if let Decision::Refuse(wait) = trip.admit() {
        return respond(edge, conn, forward::refusal(wait), false, job.start).await;
    }
    let mut progress = Progress::default();
    let Conn { reader, writer } = conn;
    let ended = {
        let mut gone = pin!(reader.closed());
        let mut work = pin!(paths(&mut trip, writer, &mut progress));
        monoio::select! {
            ended = &mut work => ended,
            () = &mut gone => Ended::Left,
        }
    };
    report(edge, job, &progress, ended);
    edge.gate(|gate| gate.record_duration(edge.now().since(job.start)));
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

fn report(edge: &Edge, job: &Job, progress: &Progress, ended: Ended) {
    log::info!(
        id = job.id,
        version = job.site.version,
        route = job.route.name,
        team = job.team.as_ref().map_or("-", |team| team.as_str()),
        paths = progress.paths,
        events = progress.events.count(),
        last = progress.events.last_id().unwrap_or(0),
        first_ms = progress.first.map_or(0, |at| at.since(job.start).0),
        pause_ms = progress.pause.0,
        ms = edge.now().since(job.start).0,
        outcome:? = ended;
        "stream"
    );
}

async fn paths(trip: &mut Trip<'_>, writer: &mut Writer, progress: &mut Progress) -> Ended {
    let edge = trip.edge;
    let job = trip.job;
    loop {
        let Some(path) = trip.pick() else {
            if progress.begun && job.left(edge.now()) >= RETRY_LEAST {
                monoio::time::sleep(PATH_LOOK.duration()).await;
                trip.forgive();
                continue;
            }
            return Ended::NotRun;
        };
        let load = Load::begin(edge, &path, trip.demand());
        let ended = one(trip, writer, progress, path).await;
        drop(load);
        progress.events.discard_partial();
        let now = edge.now();
        let more = match ended {
            Ended::NotRun => {
                progress.offers += 1;
                progress.offers < OFFERS
            }
            Ended::Broke => {
                progress.ran = true;
                progress.paths < job.route.attempts && job.route.may_repeat()
            }
            _ => false,
        };
        if !more || job.left(now) < RETRY_LEAST {
            return ended;
        }
        if !trip.pay() {
            return ended;
        }
    }
}

/// Sends the request along one path and passes on what comes back.
async fn one(
    trip: &mut Trip<'_>,
    writer: &mut Writer,
    progress: &mut Progress,
    mut path: Vec<Part>,
) -> Ended {
    let edge = trip.edge;
    let Some(first) = path.first().cloned() else {
        return Ended::NotRun;
    };
    let conn = match send(trip, progress, &path, &first).await {
        Ok(conn) => conn,
        Err(ended) => return ended,
    };
    let Conn {
        reader,
        writer: upstream,
    } = conn;
    let mut watch = StallTimer::new(edge.now(), trip.job.route.gap);
    let (reader, response) = match head(trip, &mut path, reader, &mut watch).await {
        Ok(head) => head,
        Err(ended) => return ended,
    };
    if let Some(ended) = refused(trip, progress, &first, &response) {
        return ended;
    }
    if response.status.is_server_error() {
        log::info!(id = trip.job.id, endpoint:% = first.endpoint, status = response.status.as_u16(); "engine_failed");
        trip.turn_away(first.addr);
        if trip.leave() {
            return Ended::Broke;
        }
    }
    if !response.status.is_success() {
        return pass_failure(trip, writer, progress, reader, response).await;
    }
    if !progress.begun {
        let mut headers = response.headers.clone();
        forward::strip(&mut headers);
        if writer.start(response.status, &headers).await.is_err() {
            return Ended::Left;
        }
        progress.begun = true;
    }
    match pieces(trip, writer, progress, &mut path, reader, &mut watch).await {
        Ok(reader) => {
            mend::succeed(edge, &path);
            if !closes(&response) {
                let conn = Conn {
                    reader,
                    writer: upstream,
                };
                edge.pool().keep(first.addr, conn);
            }
            Ended::Done
        }
        Err(ended) => ended,
    }
}

/// Connects to the first engine and sends it the request.
async fn send(
    trip: &mut Trip<'_>,
    progress: &mut Progress,
    path: &[Part],
    first: &Part,
) -> Result<Conn, Ended> {
    let edge = trip.edge;
    let job = trip.job;
    let mut conn = match edge.pool().get(first.addr).await {
        Ok(conn) => conn,
        Err(error) => {
            log::info!(id = job.id, endpoint:% = first.endpoint, error:% = error; "not_connected");
            trip.fail(first.addr);
            return Err(Ended::NotRun);
        }
    };
    let last = progress.events.last_id().map(HeaderValue::from);
    let orders = Orders {
        endpoint: &first.endpoint,
        team: job.team.as_ref(),
        rank: job.rank,
        left: job.left(edge.now()),
        path,
        last: last.as_ref(),
    };
    let request = forward(edge, &job.request, &orders);
    progress.paths += 1;
    trip.sent(progress.paths);
    let from = progress.events.last_id().unwrap_or(0);
    log::info!(id = job.id, path:% = mend::spell(path), last = from; "path");
    match conn.writer.request(&request).await {
        Ok(()) => Ok(conn),
        Err(error) => {
            log::info!(id = job.id, endpoint:% = first.endpoint, error:% = error; "not_sent");
            edge.pool().clear(first.addr);
            Err(Ended::Broke)
        }
    }
}

/// Waits for the head of the answer.
async fn head(
    trip: &mut Trip<'_>,
    path: &mut Vec<Part>,
    reader: Reader,
    watch: &mut StallTimer,
) -> Result<(Reader, Response), Ended> {
    let next = pin!(read_head(reader));
    match wait(trip, path, next, watch).await? {
        (reader, Ok(response)) => Ok((reader, response)),
        (_, Err(error)) => {
            let id = &trip.job.id;
            log::info!(id, endpoint:% = path[0].endpoint, error:% = error; "head_broke");
            trip.edge.pool().clear(path[0].addr);
            trip.fail(path[0].addr);
            Err(Ended::Broke)
        }
    }
}

/// Says how a path ended whose first engine did not take the request.
fn refused(
    trip: &mut Trip<'_>,
    progress: &mut Progress,
    first: &Part,
    response: &Response,
) -> Option<Ended> {
    let edge = trip.edge;
    let job = trip.job;
    let names = &edge.dialect().headers;
    let echo = response.header(&names.request);
    if echo.is_some_and(|echo| echo != job.id) {
        log::warn!(id = job.id, stray = echo.unwrap_or_default(); "stray_answer");
        return Some(Ended::Broke);
    }
    let status = response.status.as_u16();
    match judge(edge, response) {
        Ending::NotRun => {
            progress.paths -= 1;
            let fault = response
                .header(&names.fault)
                .and_then(|text| text.parse().ok());
            let addr = fault.unwrap_or(first.addr);
            let endpoint = &first.endpoint;
            log::info!(id = job.id, endpoint:% = endpoint, status, fault:% = addr; "turned_away");
            trip.turn_away(addr);
            Some(Ended::NotRun)
        }
        Ending::Unknown => {
            log::warn!(id = job.id, endpoint:% = first.endpoint, status; "answer_unsigned");
            Some(Ended::Broke)
        }
        Ending::Answered(_) => None,
    }
}

/// Passes on the events of a stream to its end.
async fn pieces(
    trip: &mut Trip<'_>,
    writer: &mut Writer,
    progress: &mut Progress,
    path: &mut Vec<Part>,
    mut reader: Reader,
    watch: &mut StallTimer,
) -> Result<Reader, Ended> {
    let edge = trip.edge;
    let job = trip.job;
    loop {
        let next = pin!(read_piece(reader));
        let (back, piece) = wait(trip, path, next, watch).await?;
        reader = back;
        match piece {
            Ok(Some(part)) => {
                if !progress.events.push(&part) {
                    log::warn!(id = job.id, endpoint:% = path[0].endpoint; "event_too_long");
                    return Err(Ended::Broke);
                }
                let whole = progress.events.take();
                if whole.is_empty() {
                    continue;
                }
                progress.time(edge, job);
                watch.record_event(edge.now());
                mend::progress(edge, path);
                if writer.chunk(&whole).await.is_err() {
                    return Err(Ended::Left);
                }
            }
            Ok(None) if progress.events.is_complete() => {
                edge.metrics().answer(200, edge.now().since(job.start));
                return match writer.finish().await {
                    Ok(()) => Ok(reader),
                    Err(_) => Err(Ended::Left),
                };
            }
            Ok(None) => {
                log::info!(id = job.id, endpoint:% = path[0].endpoint; "stream_torn");
                return Err(Ended::Broke);
            }
            Err(error) => {
                let endpoint = &path[0].endpoint;
                log::info!(id = job.id, endpoint:% = endpoint, error:% = error; "stream_broke");
                trip.fail(path[0].addr);
                return Err(Ended::Broke);
            }
        }
    }
}

async fn read_head(mut reader: Reader) -> (Reader, Result<Response, HttpError>) {
    let response = reader.response_head(false).await;
    (reader, response)
}

async fn read_piece(mut reader: Reader) -> (Reader, Result<Option<Bytes>, HttpError>) {
    let piece = reader.chunk().await;
    (reader, piece)
}

/// Waits for what comes next along a path, and looks at the path whenever it is quiet.
async fn wait<F>(
    trip: &mut Trip<'_>,
    path: &mut Vec<Part>,
    mut next: Pin<&mut F>,
    watch: &mut StallTimer,
) -> Result<F::Output, Ended>
where
    F: Future,
{
    loop {
        let left = trip.job.left(trip.edge.now());
        if left == Millis(0) {
            return Err(Ended::Late);
        }
        if let Ok(got) = within(left.min(watch.check_delay()), next.as_mut()).await {
            return Ok(got);
        }
        if trip.job.left(trip.edge.now()) == Millis(0) {
            return Err(Ended::Late);
        }
        watch.record_check();
        if !trip.mend(path, watch).await && trip.leave() {
            return Err(Ended::Broke);
        }
    }
}

/// Passes on an engine's own failure, if nothing of the stream was sent before.
async fn pass_failure(
    trip: &Trip<'_>,
    writer: &mut Writer,
    progress: &Progress,
    mut reader: Reader,
    mut response: Response,
) -> Ended {
    let edge = trip.edge;
    if progress.begun {
        return Ended::Broke;
    }
    let mut body = BytesMut::new();
    loop {
        match within(trip.job.left(edge.now()), reader.chunk()).await {
            Ok(Ok(Some(part))) if body.len() + part.len() <= MAX_EVENT_BYTES => {
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
        let close = HeaderValue::from_static("close");
        response.headers.insert(header::CONNECTION, close);
    }
    edge.metrics()
        .answer(status, edge.now().since(trip.job.start));
    match writer.response(&response, false).await {
        Ok(()) => Ended::Failed(status),
        Err(_) => Ended::Left,
    }
}
