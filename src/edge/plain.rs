//! Calls to plain services: the endpoint for each, the wait for room, and the failed calls that VMs
//! tell each other of ([`crate::core::plain`]).

use super::context::RequestContext;
use super::state::Edge;
use crate::clock::Millis;
use crate::core::load::NameHash;
use crate::core::plain::Admission;
use crate::core::plain::Attempt;
use crate::core::plain::Candidate;
use crate::core::plain::Choice;
use crate::core::plain::Draws;
use crate::core::plain::ErrorNotice;
use crate::core::plain::Limits;
use crate::core::plain::Room;
use crate::core::plain::Standing;
use crate::core::plain::Ticket;
use crate::core::plain::choose;
use crate::core::roster::Entry;
use crate::names::EndpointName;
use crate::names::ServiceName;

/// How often a call that waits for room looks whether it may be sent.
const ROOM_POLL: Millis = Millis(5);
/// A call that ended this long after its deadline says nothing of its endpoint: this VM was frozen.
const FROZEN_SPAN: Millis = Millis(500);

/// Counts a call as in progress at an endpoint until dropped, also when its caller leaves.
#[derive(Debug)]
pub struct CallGuard {
    edge: Edge,
    endpoint: EndpointName,
}

impl CallGuard {
    /// Counts a call at an endpoint.
    pub fn new(edge: &Edge, endpoint: &EndpointName) -> Self {
        edge.roster(|roster| roster.begin_request(endpoint, 0.0));
        let name = NameHash::of(endpoint.as_str());
        edge.load(|load| load.begin_request(name, true, 0));
        Self {
            edge: edge.clone(),
            endpoint: endpoint.clone(),
        }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let name = NameHash::of(self.endpoint.as_str());
        self.edge
            .roster(|roster| roster.end_request(&self.endpoint, 0.0));
        self.edge.load(|load| load.end_request(name, true, 0));
    }
}

/// Keeps a call's place among those that wait until dropped, also when its caller leaves.
#[derive(Debug)]
struct TicketGuard<'a> {
    edge: &'a Edge,
    service: &'a ServiceName,
    ticket: Ticket,
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        self.edge.room(self.service, |room| room.leave(self.ticket));
    }
}

/// Identifies an endpoint and its start: what failed before a restart says nothing of it.
fn start_name(entry: &Entry) -> NameHash {
    NameHash::of(&format!("{}@{}", entry.endpoint, entry.born))
}

/// Returns the endpoints that may run a call, except those in `tried` and those that asked for a
/// pause or take no more requests for now.
fn find_candidates(
    edge: &Edge,
    ctx: &RequestContext,
    tried: &[EndpointName],
) -> (Vec<Entry>, Vec<Candidate>) {
    let now = edge.now();
    let home = &edge.settings().domain;
    let serving: Vec<(Entry, Candidate)> = edge.roster(|roster| {
        roster
            .serving(&ctx.service, now)
            .filter(|(entry, health, _)| {
                health.paused_for(now).is_none()
                    && roster.limit_wait(now, &entry.endpoint) == Some(Millis(0))
            })
            .map(|(entry, health, work)| {
                let candidate = Candidate {
                    slots: entry.slots,
                    own: work.running,
                    fleet: None,
                    penalty: health.penalty(),
                    is_home: entry.domain == *home,
                    is_avoided: health.is_avoided(now),
                    stands_out: false,
                };
                (entry.clone(), candidate)
            })
            .collect()
    });
    let (entries, mut candidates): (Vec<Entry>, Vec<Candidate>) = serving.into_iter().unzip();
    let names: Vec<NameHash> = entries.iter().map(start_name).collect();
    let standings = edge.errors(|errors| errors.compare(now, &names));
    for ((entry, candidate), standing) in entries.iter().zip(&mut candidates).zip(&standings) {
        let name = NameHash::of(entry.endpoint.as_str());
        let (load, age) = edge.load(|load| load.engine(now, name));
        candidate.fleet = age.map(|age| (load.running, age));
        candidate.stands_out = standing.stands_out;
        if standing.is_changed {
            log_standing(edge, entry, standing);
        }
    }
    entries
        .into_iter()
        .zip(candidates)
        .filter(|(entry, _)| !tried.contains(&entry.endpoint))
        .unzip()
}

fn log_standing(edge: &Edge, entry: &Entry, standing: &Standing) {
    let label = if standing.stands_out {
        "endpoint_failing"
    } else {
        "endpoint_recovered"
    };
    log::info!(
        endpoint:% = entry.endpoint,
        service:% = entry.service,
        calls = standing.calls,
        failed = standing.failed,
        base = standing.base,
        vms = standing.vms;
        "{label}"
    );
    edge.metrics().count_standing(standing.stands_out);
}

/// Chooses the endpoint for an attempt at a call; `None` if none should get it.
pub fn pick_endpoint(
    edge: &Edge,
    ctx: &RequestContext,
    tried: &[EndpointName],
    sent: u32,
) -> Option<Entry> {
    let (mut entries, candidates) = find_candidates(edge, ctx, tried);
    let attempt = Attempt {
        is_first: sent == 0,
        may_repeat: ctx.route.may_repeat() && sent + 1 < ctx.route.attempts,
    };
    let draws = Draws {
        pick: edge.random(),
        test: edge.random(),
    };
    let Choice::Send(index) = choose(&candidates, attempt, draws) else {
        return None;
    };
    let candidate = candidates[index];
    let is_plain_choice = !candidate.stands_out && candidates.iter().all(|it| !it.stands_out);
    if !is_plain_choice {
        let (running, age) = candidate.fleet.unwrap_or((candidate.own, Millis(0)));
        log::info!(
            id = ctx.id,
            endpoint:% = entries[index].endpoint,
            failing = candidate.stands_out,
            own = candidate.own,
            running,
            age_ms = age.0,
            penalty = candidate.penalty;
            "endpoint_chosen"
        );
    }
    Some(entries.swap_remove(index))
}

/// Waits until the endpoints of a call's service have room for it.
///
/// # Errors
///
/// Fails with the time after which the caller may come back if the call can't be sent in time.
pub async fn wait_for_room(edge: &Edge, ctx: &RequestContext) -> Result<(), Millis> {
    let start = edge.now();
    let guard = TicketGuard {
        edge,
        service: &ctx.service,
        ticket: edge.room(&ctx.service, |room| room.enter(start, ctx.priority)),
    };
    let limits = Limits {
        arrival: ctx.start,
        target: ctx.route.target,
        deadline: ctx.deadline,
    };
    loop {
        let now = edge.now();
        let draw = edge.random();
        let admission = edge.room(&ctx.service, |room| {
            room.decide(now, guard.ticket, limits, draw)
        });
        let waited = now.since(start);
        let (outcome, retry) = match admission {
            Admission::Wait => {
                monoio::time::sleep(ROOM_POLL.duration()).await;
                continue;
            }
            Admission::Go if waited == Millis(0) => return Ok(()),
            Admission::Go => ("sent", None),
            Admission::Refuse(retry) => ("refused", Some(retry)),
        };
        let (waiting, interval) =
            edge.room(&ctx.service, |room| (room.waiting(), room.interval(now)));
        log::info!(
            id = ctx.id,
            service:% = ctx.service,
            priority = ctx.priority,
            outcome,
            waited_ms = waited.0,
            retry_ms = retry.map_or(0, |retry| retry.0),
            interval_ms = interval.0,
            waiting;
            "room"
        );
        edge.metrics().record_room(outcome, waited);
        return retry.map_or(Ok(()), Err);
    }
}

/// Counts a call that an endpoint answered or failed, unless this VM may be the cause.
pub fn record_call(edge: &Edge, ctx: &RequestContext, entry: &Entry, is_failed: bool) {
    let now = edge.now();
    let is_frozen = now > ctx.deadline + FROZEN_SPAN;
    if is_frozen || (is_failed && edge.is_cut_off()) {
        return;
    }
    let name = start_name(entry);
    if edge.errors(|errors| errors.record(now, name, is_failed)) {
        edge.trigger_gossip();
    }
}

/// Records how long an endpoint took to answer a call.
pub fn record_duration(edge: &Edge, ctx: &RequestContext, duration: Millis) {
    edge.room(&ctx.service, |room: &mut Room| {
        room.record_duration(duration);
    });
}

/// Records that an endpoint rejected a call because it is full.
pub fn record_rejection(edge: &Edge, ctx: &RequestContext, entry: &Entry) {
    let now = edge.now();
    let interval = edge.room(&ctx.service, |room| {
        room.record_rejection(now);
        room.interval(now)
    });
    log::info!(
        id = ctx.id,
        endpoint:% = entry.endpoint,
        service:% = ctx.service,
        interval_ms = interval.0;
        "call_rejected"
    );
}

/// Returns when the caller of a call that an endpoint rejected may come back; `None` if this VM
/// doesn't pace its calls.
pub fn book_return(edge: &Edge, ctx: &RequestContext) -> Option<Millis> {
    let now = edge.now();
    let draw = edge.random();
    edge.room(&ctx.service, |room| {
        let is_paced = room.interval(now) > Millis(0);
        is_paced.then(|| room.book_return(now, ctx.deadline, draw))
    })
}

/// Returns the counts for the next message to other VMs.
pub fn next_notices(edge: &Edge) -> Vec<ErrorNotice> {
    let now = edge.now();
    edge.errors(|errors| errors.next_notices(now))
}

/// Merges the counts of other VMs.
pub fn receive(edge: &Edge, notices: &[ErrorNotice]) {
    let now = edge.now();
    let receipt = edge.errors(|errors| errors.receive(now, notices));
    if receipt.dropped > 0 {
        log::debug!(dropped = receipt.dropped; "errors_dropped");
        edge.metrics().count_dropped_notices(receipt.dropped as u64);
    }
    if receipt.is_urgent {
        edge.trigger_gossip();
    }
}
