//! Requests that crash the endpoints that run them: the crashes that this VM sees, what it tells
//! other VMs, and whether a request may still run (docs/operators/barred-requests.md).

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use monoio::task::JoinHandle;

use super::bars;
use super::context::RequestContext;
use super::engine;
use super::engine::is_refusal;
use super::parts;
use super::reach;
use super::state::Edge;
use crate::clock::Millis;
use crate::core::poison::EndingWatch;
use crate::core::poison::Finding;
use crate::core::poison::Incident;
use crate::core::poison::PartCrash;
use crate::core::poison::PartDigest;
use crate::core::poison::RequestDigest;
use crate::core::poison::Sight;
use crate::core::poison::SuspectGossip;
use crate::core::poison::SuspectStatus;
use crate::io::http::HttpError;
use crate::io::mailbox::Mailbox;
use crate::io::timeout::within;
use crate::names::EndpointName;

/// The most changed records in one message, which keeps it within one packet.
const MAX_NEWS: usize = 4;
/// How long the first look at an endpoint whose connection broke may take. A refusal arrives within
/// milliseconds, and the request waits for the result.
const CHECK_TIMEOUT: Millis = Millis(100);
/// The least time between two looks at one endpoint, however many connections to it break.
const MIN_PAUSE: Millis = Millis(30);
/// How long a run whose end is unmarked waits for an answer of its endpoint's process. One that ends does so
/// within this time, and one that goes on answers within milliseconds.
const UNMARKED_TIMEOUT: Millis = Millis(300);
/// How often a request looks whether the first look at its endpoint has ended.
const POLL_INTERVAL: Millis = Millis(2);
/// The number of events after which a request cannot have crashed the engines of its path by its
/// start. The first events may still arrive although an engine crashes at the first token.
pub const SURVIVED_EVENTS: u32 = 3;
/// The interval at which expired records are removed.
const EXPIRY_INTERVAL: Millis = Millis::seconds(60);

/// How far a run had come when its endpoint failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunProgress {
    /// Whether the endpoint had begun to answer. It is assumed of plain endpoints, whose answers are
    /// read whole.
    pub has_begun: bool,
    /// The events that the path had produced.
    pub events: u32,
}

/// Formats parts of a prompt for logs.
fn format_parts(parts: &[PartDigest]) -> String {
    let parts = parts.iter().map(PartDigest::to_string);
    parts.collect::<Vec<_>>().join(",")
}

/// Returns whether a request may not run again: its content or a part of its prompt is barred.
pub fn is_barred(edge: &Edge, ctx: &RequestContext) -> bool {
    barred_for(edge, &ctx.content).is_some() || parts::find_barred(edge, ctx).is_some()
}

/// Returns how long a request's content is still barred; `None` if it may run.
///
/// Crashes that a barred part of a prompt explains do not count: a harmless request that was
/// beginning on the endpoint and is sent again meets the guilty part there again.
pub fn barred_for(edge: &Edge, content: &RequestDigest) -> Option<Millis> {
    let now = edge.now();
    let status = edge.suspects(|suspects| suspects.status(now, content));
    let SuspectStatus::Barred(until) = status else {
        return None;
    };
    let record = edge.suspects(|suspects| suspects.record(content));
    let is_explained =
        |incident: &Incident| edge.parts(|table| table.explains(&incident.endpoint, incident.boot));
    let mut incidents = record.entry.incidents().iter();
    if incidents.any(is_explained) {
        return None;
    }
    Some(until.since(now))
}

/// How a run ended whose endpoint may have crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// Its connection broke, or its endpoint fell silent.
    Broken,
    /// Its answer is whole unless the endpoint crashed: only the close of the connection marks its end.
    Unmarked,
}

/// The process of an endpoint that a request was sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Process {
    /// The endpoint's name.
    pub endpoint: EndpointName,
    /// Where it accepts requests.
    pub addr: SocketAddr,
    /// When it started, by the entry that was known when the request was sent.
    pub boot: u64,
}

/// A run of a request whose connection broke or whose endpoint fell silent.
#[derive(Clone, Debug)]
struct BrokenRun {
    id: String,
    content: RequestDigest,
    parts: Vec<PartDigest>,
    progress: RunProgress,
    /// Set with the first of its endpoints that is found to have ended: one run counts as one crash,
    /// however many endpoints of its path ended, since they may have ended for the same other reason.
    is_recorded: Rc<Cell<bool>>,
}

/// An endpoint that is looked at, and the runs under which its connections broke.
#[derive(Debug)]
pub struct Watched {
    watch: EndingWatch,
    runs: Vec<BrokenRun>,
    looks: u32,
    /// When the last look began that the process answered.
    answered: Option<Millis>,
    /// Has the next look made early, as a further connection broke.
    wake: Mailbox<()>,
}

/// The endpoints that are looked at, by name and start of the process.
pub type WatchList = BTreeMap<(EndpointName, u64), Watched>;

/// Starts to look at the endpoints whose connections broke or that fell silent under a request, until it
/// is known whether their processes ended; records that as a crash, also if the caller leaves meanwhile.
/// Requests that broke on the same process share the looks.
///
/// The task's result is whether one is known to have ended after a first look at each; after a run whose end
/// is unmarked, until the process has answered. What happens to the endpoint of such a run later does not count.
pub fn check_endpoints(
    edge: &Edge,
    ctx: &RequestContext,
    progress: RunProgress,
    processes: Vec<Process>,
    end: RunEnd,
) -> JoinHandle<bool> {
    let run = BrokenRun {
        id: ctx.id.clone(),
        content: ctx.content,
        parts: ctx.parts.clone(),
        progress,
        is_recorded: Rc::default(),
    };
    let now = edge.now();
    let mut keys = Vec::new();
    for process in processes {
        let Process {
            endpoint,
            addr,
            boot,
        } = process;
        let key = (endpoint, boot);
        let (is_new, looks) = edge.watches(|watches| {
            let is_new = !watches.contains_key(&key);
            let watched = watches.entry(key.clone()).or_insert_with(|| Watched {
                watch: EndingWatch::new(now, boot),
                runs: Vec::new(),
                looks: 0,
                answered: None,
                wake: Mailbox::new(1),
            });
            watched.watch.record_break(now);
            watched.runs.push(run.clone());
            if !is_new {
                // A full mailbox means that an early look is already due.
                let _ = watched.wake.send(());
            }
            (is_new, watched.looks)
        });
        if is_new {
            let asks = end == RunEnd::Unmarked;
            monoio::spawn(watch(edge.clone(), key.clone(), addr, asks));
        }
        keys.push((key, looks));
    }
    monoio::spawn(wait_for_looks(edge.clone(), run.is_recorded, keys, end))
}

/// Waits until one of the endpoints is known to have ended, or enough is known of all.
async fn wait_for_looks(
    edge: Edge,
    is_recorded: Rc<Cell<bool>>,
    keys: Vec<((EndpointName, u64), u32)>,
    end: RunEnd,
) -> bool {
    let start = edge.now();
    loop {
        let passed = edge.now().since(start);
        let must_wait = keys.iter().any(|(key, seen)| {
            edge.watches(|watches| {
                watches.get(key).is_some_and(|watched| match end {
                    RunEnd::Broken => watched.looks <= *seen && passed < CHECK_TIMEOUT,
                    RunEnd::Unmarked => {
                        watched.answered.is_none_or(|at| at < start) && passed < UNMARKED_TIMEOUT
                    }
                })
            })
        });
        if is_recorded.get() || !must_wait {
            break;
        }
        monoio::time::sleep(POLL_INTERVAL.duration()).await;
    }
    match end {
        RunEnd::Broken => is_recorded.get(),
        // The run is whole, and what happens to its endpoint from now on is not its fault.
        RunEnd::Unmarked => is_recorded.replace(true),
    }
}

/// Looks at an endpoint until it is known whether the process ended to which connections broke. One that is
/// leaving ends as planned.
async fn watch(edge: Edge, key: (EndpointName, u64), addr: SocketAddr, asks_first: bool) {
    let start = edge.now();
    let (endpoint, boot) = &key;
    let mut asks = asks_first;
    loop {
        if edge.roster(|roster| roster.is_leaving(endpoint)) {
            edge.watches(|watches| watches.remove(&key));
            log::info!(endpoint:% = endpoint, boot, reason = "leaving"; "endpoint_not_checked");
            return;
        }
        let begun = edge.now();
        let sight = look(&edge, &key, addr, start, asks).await;
        asks = true;
        let now = edge.now();
        let finding = edge.watches(|watches| {
            let watched = watches.get_mut(&key)?;
            watched.looks += 1;
            let finding = watched.watch.judge(now, sight);
            if matches!(sight, Sight::Answered(_)) && finding != Finding::Ended {
                watched.answered = Some(begun);
            }
            Some(finding)
        });
        let pause = match finding {
            Some(Finding::Open(pause)) => pause,
            Some(Finding::Ended) => {
                let watched = edge.watches(|watches| watches.remove(&key));
                for run in watched.into_iter().flat_map(|watched| watched.runs) {
                    if !run.is_recorded.replace(true) {
                        record_crash(&edge, &run, endpoint, *boot);
                    }
                }
                return;
            }
            Some(Finding::GoesOn | Finding::Unknown) | None => {
                edge.watches(|watches| watches.remove(&key));
                let (ms, goes_on) = (now.since(start).0, finding == Some(Finding::GoesOn));
                log::info!(endpoint:% = endpoint, boot, ms, goes_on; "crash_not_recorded");
                return;
            }
        };
        let wake = edge.watches(|watches| Some(watches.get(&key)?.wake.clone()));
        let least = pause.min(MIN_PAUSE);
        monoio::time::sleep(least.duration()).await;
        if let Some(wake) = wake {
            // Woken or timed out, the next look is due.
            let _ = within(pause - least, wake.receive()).await;
        }
    }
}

/// Looks at an endpoint once, and `asks` its process when it started. Else the look only opens a connection,
/// so that a request that waits for it goes on at once.
///
/// A refusal counts only if another endpoint is reached: where this VM is cut off, all connections may be
/// refused on the way. A reset or no answer shows nothing: both happen on the way to an endpoint that goes
/// on. An endpoint that asked for a pause is left alone.
async fn look(
    edge: &Edge,
    key: &(EndpointName, u64),
    addr: SocketAddr,
    start: Millis,
    asks: bool,
) -> Sight {
    let (endpoint, boot) = key;
    let now = edge.now();
    let newest = edge.roster(|roster| roster.entry_at(addr).map(|entry| entry.born));
    let is_restarted = newest.is_some_and(|born| born > *boot);
    let wants_rest = edge.roster(|roster| roster.paused_for(now, endpoint).is_some());
    if !is_restarted && (wants_rest || edge.is_cut_off()) {
        return Sight::Unclear;
    }
    let seen = if is_restarted {
        Ok(newest)
    } else if !asks {
        let dialed = within(CHECK_TIMEOUT, edge.pool().dial(addr)).await;
        let dialed = dialed.unwrap_or(Err(HttpError::TimedOut));
        // Only an answer shows that the process behind the listener still runs, so the connection is not
        // kept for requests.
        dialed.map(|_| None)
    } else {
        engine::ask_start(edge, addr).await
    };
    let saw = match &seen {
        Ok(Some(born)) if born != boot => "restarted",
        Ok(_) if !asks => "accepted",
        Ok(_) => "answered",
        Err(error) if is_refusal(error) => "refused",
        Err(HttpError::TimedOut) => "silent",
        Err(_) => "broke",
    };
    let ms = edge.now().since(start).0;
    log::info!(endpoint:% = endpoint, boot, saw, ms; "endpoint_checked");
    edge.metrics().count_endpoint_check(saw);
    match seen {
        Ok(born) if born.is_some() || asks => Sight::Answered(born),
        Err(error) if is_refusal(&error) && reach::confirm(edge).await => Sight::Refused,
        Ok(_) | Err(_) => Sight::Unclear,
    }
}

fn record_crash(edge: &Edge, run: &BrokenRun, endpoint: &EndpointName, boot: u64) {
    let now = edge.now();
    let BrokenRun { id, content, .. } = run;
    let incident = Incident {
        alone: false,
        at: now,
        endpoint: endpoint.clone(),
        boot,
    };
    let RunProgress { has_begun, events } = run.progress;
    // A part of a prompt shows at the start of a run.
    if has_begun && events < SURVIVED_EVENTS {
        let crash = PartCrash {
            at: now,
            endpoint: endpoint.clone(),
            boot,
        };
        parts::record_crash(edge, &run.parts, &crash);
    }
    let was_barred = barred_for(edge, content).is_some();
    edge.suspects(|suspects| suspects.record_crash(now, *content, incident));
    let (short, parts) = (content.short(), format_parts(&run.parts));
    log::info!(id, content = short, parts, endpoint:% = endpoint, boot, has_begun, events; "endpoint_crashed");
    edge.metrics().count_crash();
    edge.trigger_gossip();
    if let Some(wait) = barred_for(edge, content).filter(|_| !was_barred) {
        log::warn!(content = short, source = "self", ms = wait.0; "request_barred");
        monoio::spawn(bars::publish(edge.clone(), *content));
    }
}

/// Records that a run of a request which started at `start` ended without a crash.
pub fn record_completion(edge: &Edge, ctx: &RequestContext, start: Millis) {
    let now = edge.now();
    let content = ctx.content;
    let was_barred = barred_for(edge, &content).is_some();
    edge.suspects(|suspects| {
        // Without a crash there is nothing to clear, and nothing to tell other VMs.
        if suspects.status(now, &content) != SuspectStatus::Clear {
            suspects.record_completion(&content, start);
        }
    });
    if was_barred && barred_for(edge, &content).is_none() {
        log::info!(id = ctx.id, content = content.short(); "bar_ended");
        monoio::spawn(bars::withdraw(edge.clone(), content));
    }
}

/// Returns the records for the next message to other VMs.
pub fn next_records(edge: &Edge) -> SuspectGossip {
    let now = edge.now();
    edge.suspects(|suspects| suspects.next_records(now, MAX_NEWS))
}

/// Merges the records of a `source`: another VM or the store.
pub fn receive(edge: &Edge, gossip: SuspectGossip, source: &str) {
    let now = edge.now();
    for record in gossip.records {
        let content = record.digest;
        let is_bar = record.entry.is_conclusive();
        let was_barred = barred_for(edge, &content).is_some();
        let records = vec![record];
        edge.suspects(|suspects| suspects.merge(now, SuspectGossip { records }));
        if let Some(wait) = barred_for(edge, &content).filter(|_| !was_barred) {
            log::warn!(content = content.short(), source, ms = wait.0; "request_barred");
            // Crashes on several VMs, none of which knew of all.
            if !is_bar {
                monoio::spawn(bars::publish(edge.clone(), content));
            }
        }
    }
    if edge.suspects(|suspects| suspects.has_news()) {
        edge.trigger_gossip();
    }
}

/// Removes expired records, forever.
pub async fn expire(edge: Edge) {
    loop {
        monoio::time::sleep(EXPIRY_INTERVAL.duration()).await;
        let now = edge.now();
        edge.suspects(|suspects| suspects.expire(now));
        parts::expire(&edge);
    }
}
