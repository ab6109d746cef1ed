//! Streams that another VM serves, because this one reaches no endpoint.

use http::HeaderValue;

use super::Progress;
use super::StreamEnd;
use super::media_type;
use super::relay_whole;
use crate::edge::detour;
use crate::edge::detour::DetourFault;
use crate::edge::detour::Taken;
use crate::edge::forward;
use crate::edge::paths::PathSelector;
use crate::io::http::Writer;

/// Has another VM serve the request, and relays its response; `None` if no VM takes it.
pub(super) async fn relay(
    selector: &mut PathSelector<'_>,
    writer: &mut Writer,
    progress: &mut Progress,
) -> Option<StreamEnd> {
    let edge = selector.edge;
    let ctx = selector.ctx;
    let last = progress.events.last_id().map(HeaderValue::from);
    let sent = detour::send(edge, ctx, progress.paths, last.as_ref()).await;
    if sent
        .as_ref()
        .is_err_and(|fault| *fault == DetourFault::NotTaken)
    {
        return None;
    }
    progress.paths += 1;
    selector.set_attempts(progress.paths);
    let taken = match sent {
        Ok(taken) => taken,
        Err(DetourFault::Late) => return Some(StreamEnd::Late),
        Err(_) => return Some(StreamEnd::Broke),
    };
    let status = taken.head.status;
    if !progress.is_stream(&taken.head) {
        // A refusal is passed on with its time to come back, unless the request may have run.
        if detour::is_refused(edge, &taken.head) && (progress.ran || progress.is_started) {
            progress.paths -= 1;
            return Some(StreamEnd::NotRun);
        }
        return Some(relay_whole(selector, writer, progress, taken.conn.reader, taken.head).await);
    }
    if !progress.is_started {
        progress.media = media_type(&taken.head);
        let mut headers = taken.head.headers.clone();
        forward::strip_hop_headers(&mut headers);
        progress.announce_close(edge, &mut headers);
        if writer.start(status, &headers).await.is_err() {
            return Some(StreamEnd::Left);
        }
        progress.is_started = true;
    }
    Some(relay_events(selector, writer, progress, taken).await)
}

/// Relays the events of a stream that another VM serves until it ends.
async fn relay_events(
    selector: &PathSelector<'_>,
    writer: &mut Writer,
    progress: &mut Progress,
    taken: Taken,
) -> StreamEnd {
    let edge = selector.edge;
    let ctx = selector.ctx;
    let Taken { peer, mut conn, .. } = taken;
    loop {
        match detour::wait(edge, ctx, peer, conn.reader.chunk()).await {
            Ok(Ok(Some(part))) => {
                if !progress.events.push(&part) {
                    return StreamEnd::Broke;
                }
                if progress.events.has_progress() {
                    progress.record_event(edge, ctx);
                }
                if writer.chunk(&progress.events.take()).await.is_err() {
                    return StreamEnd::Left;
                }
            }
            Ok(Ok(None)) if progress.events.is_complete() && conn.reader.has_marked_end() => {
                edge.metrics()
                    .record_answer(200, edge.now().since(ctx.start));
                edge.pool().put(peer, conn);
                return match writer.finish().await {
                    Ok(()) => StreamEnd::Done,
                    Err(_) => StreamEnd::Left,
                };
            }
            Err(DetourFault::Late) => return StreamEnd::Late,
            Ok(Ok(None) | Err(_)) | Err(_) => {
                log::info!(id = ctx.id, peer:% = peer; "detour_broke");
                return StreamEnd::Broke;
            }
        }
    }
}
