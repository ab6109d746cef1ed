//! The entry of streams: whether one gets room on engines now, waits for it, or is refused
//! (docs/design/order.md).

use super::context::RequestContext;
use super::paths::PathSelector;
use super::state::Edge;
use crate::clock::Millis;
use crate::core::admit::Decision;
use crate::core::admit::order::Claim;
use crate::core::admit::order::View;
use crate::core::admit::queue::longest_wait;
use crate::core::admit::streams::Arrival;
use crate::core::load::ClassKey;
use crate::core::load::ClassLoad;
use crate::core::load::Load;
use crate::core::pipe::Part;
use crate::names::ServiceName;

/// How often the request whose turn it is looks for room.
const POLL: Millis = Millis(20);
/// How often this VM's own load is brought up to date.
const REFRESH: Millis = Millis(250);

/// What happens to a stream that arrived.
#[derive(Debug)]
pub enum Entry {
    /// It is sent to engines.
    Begin {
        /// The path on which there is room; `None` to choose one when it is sent.
        path: Option<Vec<Part>>,
        /// Counts it in the load of its class, where classes are ordered.
        held: Option<HeldGuard>,
    },
    /// It has not run, and its caller may come back after this time.
    Refuse(Millis),
}

/// Decides on a stream, and waits for room if that should come in time.
///
/// The future may be dropped at any time, which takes the request out of the queue.
pub async fn admit(selector: &PathSelector<'_>) -> Entry {
    let edge = selector.edge;
    let ctx = selector.ctx;
    let begin = Entry::Begin {
        path: None,
        held: None,
    };
    // The VM that serves it decides whether the engines have room.
    if ctx.needs_detour(edge, 0) {
        return begin;
    }
    if !edge.streams(|streams| streams.is_ordered(&ctx.site, &ctx.service)) {
        return match selector.admit() {
            Decision::Admit => begin,
            Decision::Refuse(wait) => Entry::Refuse(wait),
        };
    }
    let now = edge.now();
    let arrival = arrival(selector, now);
    let look = Look::new(selector, now);
    let draw = edge.random();
    let view = look.view();
    let claim =
        edge.load(|load| edge.streams(|streams| streams.arrive(now, &arrival, &view, load.own())));
    let grant = edge.streams(|streams| streams.grant(now, &arrival, &claim, &view, draw));
    if grant.is_shed {
        return refuse(edge, ctx, &arrival, &claim, "shed");
    }
    let must_follow = edge.streams(|streams| streams.must_follow(&arrival, &grant));
    if !must_follow && let Some(path) = selector.pick_path_within(grant.limit) {
        return begin_on(edge, &claim, Some(path));
    }
    if selector.pick_path().is_none() {
        // No path exists, which may be over in a moment and is handled when a path is chosen.
        return begin_on(edge, &claim, None);
    }
    let Some((id, longest)) = edge.streams(|streams| streams.wait(&arrival, &claim, &grant, &view))
    else {
        return refuse(edge, ctx, &arrival, &claim, "no_room");
    };
    let ticket = Ticket::begin(edge, &claim, &ctx.service, id);
    let shortest = longest_wait(arrival.target, arrival.left, false);
    loop {
        // What a stopping VM accepted must end within its grace period.
        let may_stay = edge.stopping().is_none();
        let waited = edge.now().since(now);
        if waited >= if may_stay { longest } else { shortest } {
            break;
        }
        monoio::time::sleep(POLL.duration()).await;
        if ctx.needs_detour(edge, 0) {
            return begin;
        }
        let is_next = edge.streams(|streams| streams.queue(&ctx.service).next()) == Some(id);
        if is_next && let Some(path) = selector.pick_path_within(grant.limit) {
            ticket.serve(ctx, now);
            return begin_on(edge, &claim, Some(path));
        }
    }
    drop(ticket);
    if selector.pick_path().is_none() {
        return begin_on(edge, &claim, None);
    }
    refuse(edge, ctx, &arrival, &claim, "waited")
}

/// Keeps this VM's own load up to date.
pub async fn run(edge: Edge) {
    loop {
        monoio::time::sleep(REFRESH.duration()).await;
        let now = edge.now();
        edge.load(|load| edge.streams(|streams| streams.refresh(now, load.own())));
        if let Some(site) = edge.site() {
            let exists = |service: &ServiceName| site.services.contains_key(service);
            edge.streams(|streams| streams.retain_services(exists));
        }
    }
}

fn arrival(selector: &PathSelector<'_>, now: Millis) -> Arrival {
    let ctx = selector.ctx;
    let demand = selector.demand();
    Arrival {
        service: ctx.service.clone(),
        route: ctx.route.name.clone(),
        team: ctx.team.clone(),
        priority: ctx.priority,
        size: (demand.prompt + demand.answer) as u32,
        content: ctx.content,
        target: ctx.route.target,
        left: ctx.remaining(now),
    }
}

fn begin_on(edge: &Edge, claim: &Claim, path: Option<Vec<Part>>) -> Entry {
    let held = Some(HeldGuard::begin(edge, claim));
    Entry::Begin { path, held }
}

/// Refuses a stream, and logs what the refusal was decided on.
fn refuse(
    edge: &Edge,
    ctx: &RequestContext,
    arrival: &Arrival,
    claim: &Claim,
    reason: &'static str,
) -> Entry {
    let now = edge.now();
    let draw = edge.random();
    let (load, age) = edge.load(|load| load.callers(now));
    let (wait, inputs, is_short) = edge.load(|exchange| {
        edge.streams(|streams| {
            let wait = streams.refuse(now, arrival, &load, age, exchange.own(), draw);
            let order = streams.order(&ctx.service);
            (wait, order.inputs(), order.is_short())
        })
    });
    edge.metrics()
        .count_refusal(claim.key.priority, claim.is_return, claim.size);
    log::info!(
        id = ctx.id,
        version = ctx.site.version,
        route = ctx.route.name,
        team = ctx.team.as_ref().map_or("-", |team| team.as_str()),
        priority = claim.key.priority,
        used = inputs.used as u64,
        demand = inputs.demand as u64,
        room = inputs.room as u64,
        fill = inputs.fill,
        age_ms:? = inputs.age.map(|age| age.0),
        short = is_short,
        tokens = claim.size,
        back = claim.is_return,
        left_ms = arrival.left.0,
        waited_ms = now.since(ctx.start).0,
        retry_ms = wait.0,
        reason;
        "refused"
    );
    Entry::Refuse(wait)
}

/// What is known of a service's load when a stream arrives.
#[derive(Debug)]
struct Look {
    load: Load,
    age: Option<Millis>,
    capacity: f64,
    fill: f64,
}

impl Look {
    fn new(selector: &PathSelector<'_>, now: Millis) -> Self {
        let (load, age) = selector.edge.load(|load| load.callers(now));
        let (capacity, fill) = selector.capacity();
        Self {
            load,
            age,
            capacity,
            fill,
        }
    }

    fn view(&self) -> View<'_> {
        View {
            load: &self.load,
            age: self.age,
            capacity: self.capacity,
            fill: self.fill,
        }
    }
}

/// Changes what a class asks for and has on this VM.
fn change_load<F>(edge: &Edge, key: ClassKey, change: F)
where
    F: FnOnce(&mut ClassLoad),
{
    edge.load(|load| change(load.own().classes.entry(key).or_default()));
}

/// Counts a stream in the room that its class holds until dropped.
#[derive(Debug)]
pub struct HeldGuard {
    edge: Edge,
    key: ClassKey,
    size: u32,
    start: Millis,
}

impl HeldGuard {
    fn begin(edge: &Edge, claim: &Claim) -> Self {
        change_load(edge, claim.key, |load| load.held += claim.size);
        Self {
            edge: edge.clone(),
            key: claim.key,
            size: claim.size,
            start: edge.now(),
        }
    }

    /// Ends the stream; `has_run` says whether the time counts as that of a request.
    pub fn end(self, has_run: bool) {
        if has_run {
            let span = self.edge.now().since(self.start);
            let key = self.key;
            self.edge
                .streams(|streams| streams.record_duration(&key, span));
        }
    }
}

impl Drop for HeldGuard {
    fn drop(&mut self) {
        let size = self.size;
        change_load(&self.edge, self.key, |load| {
            load.held = load.held.saturating_sub(size);
        });
    }
}

/// The place of a stream in the queue until dropped.
#[derive(Debug)]
struct Ticket {
    edge: Edge,
    claim: Claim,
    service: ServiceName,
    id: u64,
}

impl Ticket {
    fn begin(edge: &Edge, claim: &Claim, service: &ServiceName, id: u64) -> Self {
        change_load(edge, claim.key, |load| load.waiting += claim.size);
        edge.metrics().add_queued(1);
        Self {
            edge: edge.clone(),
            claim: *claim,
            service: service.clone(),
            id,
        }
    }

    /// Ends the wait of the request whose turn it is, as it found room.
    fn serve(self, ctx: &RequestContext, since: Millis) {
        let waited = self.edge.now().since(since);
        self.edge.metrics().record_wait(waited);
        log::info!(
            id = ctx.id,
            priority = self.claim.key.priority,
            tokens = self.claim.size,
            back = self.claim.is_return,
            left_ms = ctx.remaining(since).0,
            waited_ms = waited.0;
            "waited"
        );
        self.edge
            .streams(|streams| streams.queue(&self.service).pop());
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        // After `serve` there is nothing left to remove.
        self.edge
            .streams(|streams| streams.queue(&self.service).remove(self.id));
        self.edge.metrics().add_queued(-1);
        let size = self.claim.size;
        change_load(&self.edge, self.claim.key, |load| {
            load.waiting = load.waiting.saturating_sub(size);
        });
    }
}
