//! Checks whether this VM reaches any endpoint ([`crate::core::reach`]).

use std::net::SocketAddr;
use std::rc::Rc;

use super::engine;
use super::state::Edge;
use crate::clock::Millis;
use crate::core::reach::Reach;
use crate::core::roster::Roster;
use crate::io::mailbox::Mailbox;
use crate::io::timeout::within;

/// How long a check waits for an answer, connecting included. An endpoint answers within a few
/// milliseconds; a packet that is lost is sent again only after a second.
const CHECK_TIMEOUT: Millis = Millis(200);
/// The number of endpoints asked in the first check. With 5 % packet loss, a request on a new
/// connection is lost with probability 0.2, and all of them in about one of 3,000 checks.
const CHECKED: usize = 5;
/// The number of endpoints asked in each later check.
const RECHECKED: usize = 2;
/// The interval between checks while none is reached.
const RECHECK_INTERVAL: Millis = Millis(400);
/// How often a task looks whether the check of another one has ended.
const POLL_INTERVAL: Millis = Millis(10);

/// Records that a connection to an endpoint could not be opened or broke, or that the endpoint did
/// not answer in time; starts a check if that is due.
pub fn record_failure(edge: &Edge, addr: SocketAddr) {
    let now = edge.now();
    let known = edge.roster(|roster| roster.reachable(now).count());
    let is_due = edge.reach(|reach| {
        reach.record_failure(now, addr);
        reach.begin_check(now, known)
    });
    if is_due {
        monoio::spawn(check(CheckGuard::new(edge), CHECKED));
    }
}

/// Records that an endpoint answered over a new connection.
pub fn record_contact(edge: &Edge) {
    let now = edge.now();
    if let Some(span) = edge.reach(|reach| reach.record_contact(now)) {
        log::warn!(ms = span.0; "endpoints_regained");
        edge.fleet(|fleet| fleet.set_cut_off(false));
        // What failed during the cut may have failed because of it.
        edge.roster(Roster::forget_failures);
        edge.trigger_gossip();
    }
}

/// Checks whether an endpoint is reached, or waits for a check that is in progress.
///
/// The check is a task of its own: the request that asked for it may end with its caller's connection,
/// and others wait for the same check.
pub async fn confirm(edge: &Edge) -> bool {
    if let Some(begun) = CheckGuard::begin(edge) {
        monoio::spawn(check(begun, CHECKED));
    }
    while edge.reach(|reach| reach.is_checking()) {
        monoio::time::sleep(POLL_INTERVAL.duration()).await;
    }
    !edge.is_cut_off()
}

/// A check in progress; dropped before its end, it shows nothing, and another one may begin.
#[derive(Debug)]
struct CheckGuard {
    edge: Edge,
    start: Millis,
}

impl CheckGuard {
    /// Begins a check that does not depend on failures, unless one is in progress.
    fn begin(edge: &Edge) -> Option<Self> {
        let is_begun = edge.reach(Reach::begin_recheck);
        is_begun.then(|| Self::new(edge))
    }

    fn new(edge: &Edge) -> Self {
        Self {
            edge: edge.clone(),
            start: edge.now(),
        }
    }

    /// Ends the check, in which so many endpoints were asked.
    fn end(self, asked: usize) {
        let Self { edge, start } = &self;
        let now = edge.now();
        let is_lost = edge.reach(|reach| reach.end_check(now, *start, asked));
        let ms = now.since(*start).0;
        log::info!(asked, ms, cut_off = edge.is_cut_off(); "endpoint_check_ended");
        if is_lost {
            log::warn!(asked, ms; "endpoints_lost");
            edge.metrics().count_cut_off();
            edge.fleet(|fleet| fleet.set_cut_off(true));
            edge.trigger_gossip();
        }
    }
}

impl Drop for CheckGuard {
    fn drop(&mut self) {
        self.edge.reach(Reach::cancel_check);
    }
}

/// Checks again and again while no endpoint is reached, forever.
pub async fn run(edge: Edge) {
    loop {
        monoio::time::sleep(RECHECK_INTERVAL.duration()).await;
        if edge.is_cut_off()
            && let Some(begun) = CheckGuard::begin(&edge)
        {
            check(begun, RECHECKED).await;
        }
    }
}

/// Asks some endpoints for a report over new connections, those first that have not failed.
async fn check(begun: CheckGuard, count: usize) {
    let (edge, start) = (begun.edge.clone(), begun.start);
    let mut targets = edge.roster(|roster| roster.reachable(start).collect::<Vec<_>>());
    targets.sort_by_cached_key(|addr| {
        let has_failed = edge.reach(|reach| reach.has_failed(addr));
        (has_failed, (edge.random() * f64::from(u32::MAX)) as u32)
    });
    targets.truncate(count);
    log::info!(asked = targets.len(); "endpoint_check_begun");
    let answers = Rc::new(Mailbox::new(targets.len().max(1)));
    for addr in &targets {
        monoio::spawn(ask(edge.clone(), *addr, Rc::clone(&answers)));
    }
    for _ in &targets {
        let left = CHECK_TIMEOUT - edge.now().since(start);
        match within(left, answers.receive()).await {
            Ok(true) => {
                record_contact(&edge);
                break;
            }
            Ok(false) => {}
            Err(_) => break,
        }
    }
    begun.end(targets.len());
}

async fn ask(edge: Edge, addr: SocketAddr, answers: Rc<Mailbox<bool>>) {
    let answer = within(CHECK_TIMEOUT, engine::ask_anew(&edge, addr)).await;
    // A full mailbox means that the check has ended.
    let _ = answers.send(answer.is_ok_and(|answer| answer.is_ok()));
}
