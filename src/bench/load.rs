//! Sends the requests of a scenario and counts their outcomes.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::HeaderName;
use http::Method;
use monoio::time::sleep;

use super::arrival::Arrivals;
use super::completion::Stream;
use super::effects::KeyedCall;
use super::entries::Entries;
use super::fault;
use super::outcome::FailKind;
use super::outcome::Outcome;
use super::outcome::RequestFailure;
use super::plain;
use super::scenario::Class;
use super::scenario::Completion;
use super::scenario::Scenario;
use super::scenario::Work;
use super::tally::Tally;
use crate::clock::Clock;
use crate::clock::Millis;
use crate::error::Ran;

const KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// How often to check for open requests at the end of a run.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A run in progress; clones share it.
#[derive(Clone, Debug)]
pub(super) struct Load {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    scenario: Scenario,
    /// The start time, part of each idempotency key so that runs on the same stand-ins don't share
    /// keys.
    run: Millis,
    start: Instant,
    entries: Entries,
    tally: RefCell<Tally>,
    keys: RefCell<Vec<KeyedCall>>,
    next: Cell<u64>,
    open: Cell<u64>,
}

impl Load {
    pub(super) fn new(scenario: Scenario) -> Self {
        let clock = Clock::start();
        let entries = Entries::new(clock, scenario.entries.clone(), scenario.discover);
        let inner = Inner {
            run: clock.now(),
            start: Instant::now(),
            entries,
            tally: RefCell::new(Tally::new(scenario.classes.len())),
            keys: RefCell::default(),
            next: Cell::new(0),
            open: Cell::new(0),
            scenario,
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// Returns the reported outcome of each keyed call.
    pub(super) fn keyed_calls(&self) -> Vec<KeyedCall> {
        self.inner.keys.borrow().clone()
    }

    /// Sends all requests, waits until they end or time out, and returns the counts.
    pub(super) async fn run(&self) -> Tally {
        let scenario = &self.inner.scenario;
        for fault in scenario.faults.clone() {
            monoio::spawn(fault::inject(fault));
        }
        for class in 0..scenario.classes.len() {
            if scenario.loops == 0 {
                monoio::spawn(self.clone().run_open_loop(class));
            }
            for _ in 0..scenario.loops {
                monoio::spawn(self.clone().run_closed_loop(class));
            }
        }
        sleep(scenario.span.duration()).await;
        let last = Instant::now() + scenario.patience.duration();
        while self.inner.open.get() > 0 && Instant::now() < last {
            sleep(POLL_INTERVAL).await;
        }
        let mut tally = self.inner.tally.borrow().clone();
        tally.span = scenario.span.since(scenario.warmup).duration();
        tally
    }

    /// Starts each request when it is due, without waiting for earlier ones (open loop).
    async fn run_open_loop(self, class: usize) {
        let scenario = &self.inner.scenario;
        let rate = scenario.classes[class].rate;
        let span = scenario.span.duration();
        let arrivals = Arrivals::new(scenario.seed, class as u64, rate);
        for at in arrivals.take_while(|at| *at < span) {
            let due = self.inner.start + at;
            sleep(due.saturating_duration_since(Instant::now())).await;
            monoio::spawn(self.clone().request(class, due));
        }
    }

    /// Sends each request when the one before it has ended (closed loop).
    async fn run_closed_loop(self, class: usize) {
        let span = self.inner.scenario.span.duration();
        while self.inner.start.elapsed() < span {
            self.clone().request(class, Instant::now()).await;
        }
    }

    async fn request(self, class: usize, due: Instant) {
        let inner = &self.inner;
        inner.open.set(inner.open.get() + 1);
        let number = inner.next.get() + 1;
        inner.next.set(number);
        let kind = &inner.scenario.classes[class];
        let mut outcome = Outcome {
            span: Duration::ZERO,
            first: None,
            gaps: Vec::new(),
            tokens: 0,
            retries: 0,
            fail: None,
        };
        match &kind.work {
            Work::Plain { path } => self.plain(kind, due, path, &mut outcome).await,
            Work::Keyed { path } => self.keyed(kind, due, path, number, &mut outcome).await,
            Work::Completion(work) => self.complete(kind, due, work, number, &mut outcome).await,
        }
        outcome.span = due.elapsed();
        self.count(class, due, &outcome);
        inner.open.set(inner.open.get() - 1);
    }

    /// Counts a request, unless it was due during warm-up or, in a closed loop, ended after the
    /// run's span.
    fn count(&self, class: usize, due: Instant, outcome: &Outcome) {
        let inner = &self.inner;
        let scenario = &inner.scenario;
        let late = scenario.loops > 0 && inner.start.elapsed() > scenario.span.duration();
        if due - inner.start >= scenario.warmup.duration() && !late {
            let at = inner.start.elapsed();
            inner.tally.borrow_mut().add(class, at, outcome);
        }
    }

    fn patience(&self) -> Millis {
        self.inner.scenario.patience
    }

    async fn plain(&self, class: &Class, due: Instant, path: &str, outcome: &mut Outcome) {
        let Some(request) = plain::request(Method::GET, path, &class.token, self.patience()) else {
            outcome.fail = Some(RequestFailure::unknown(FailKind::Malformed));
            return;
        };
        let entries = &self.inner.entries;
        let attempt = async |addr, left| {
            let result = plain::attempt(entries, addr, &request, left).await;
            result.map(drop)
        };
        self.with_retries(class, due, outcome, attempt).await;
    }

    async fn keyed(
        &self,
        class: &Class,
        due: Instant,
        path: &str,
        number: u64,
        outcome: &mut Outcome,
    ) {
        let key = format!("bench-{}-{}-{number}", self.inner.run, class.team);
        let request = plain::request(Method::POST, path, &class.token, self.patience());
        let (Some(mut request), Ok(value)) = (request, key.parse()) else {
            outcome.fail = Some(RequestFailure::unknown(FailKind::Malformed));
            return;
        };
        request.headers.insert(KEY, value);
        request.body = key.clone().into();
        let entries = &self.inner.entries;
        let attempt = async |addr, left| {
            let result = plain::attempt(entries, addr, &request, left).await;
            result.map(drop)
        };
        let may_have_run = self.with_retries(class, due, outcome, attempt).await;
        let ran = match outcome.fail {
            None => Ran::Yes,
            Some(fail) if !may_have_run => fail.ran,
            Some(_) => Ran::Unknown,
        };
        self.inner.keys.borrow_mut().push(KeyedCall { key, ran });
    }

    async fn complete(
        &self,
        class: &Class,
        due: Instant,
        work: &Completion,
        number: u64,
        outcome: &mut Outcome,
    ) {
        let inner = &self.inner;
        let seed = inner.scenario.seed.wrapping_mul(1_000_003) ^ number;
        let mut stream = Stream::new(due, work, seed);
        let on_token = || {
            let at = inner.start.elapsed();
            inner.tally.borrow_mut().tokens(at, 1);
        };
        let attempt = async |addr, left| {
            let entries = &inner.entries;
            stream
                .attempt(entries, addr, class, work, left, on_token)
                .await
        };
        self.with_retries(class, due, outcome, attempt).await;
        outcome.first = stream.first;
        outcome.tokens = stream.tokens();
        outcome.gaps = stream.gaps;
    }

    /// Makes attempts until one succeeds, the retries are used up, or the timeout expires. Returns
    /// whether a failed attempt may have run.
    async fn with_retries<A>(
        &self,
        class: &Class,
        due: Instant,
        outcome: &mut Outcome,
        mut attempt: A,
    ) -> bool
    where
        A: AsyncFnMut(SocketAddr, Millis) -> Result<(), RequestFailure>,
    {
        let entries = &self.inner.entries;
        let patience = self.inner.scenario.patience.duration();
        let mut last = None;
        let mut may_have_run = false;
        loop {
            let left = Millis(patience.saturating_sub(due.elapsed()).as_millis() as u64);
            let Some(addr) = entries.next(last).await else {
                outcome.fail = Some(RequestFailure::unsent());
                return may_have_run;
            };
            let Err(fail) = attempt(addr, left).await else {
                outcome.fail = None;
                return may_have_run;
            };
            outcome.fail = Some(fail);
            may_have_run |= fail.ran != Ran::No;
            if matches!(fail.kind, FailKind::Unsent | FailKind::Broken) {
                entries.exclude(addr);
            }
            let pause = fail.retry.unwrap_or_default();
            if !fail.is_retryable() || outcome.retries >= class.retries || pause >= left {
                return may_have_run;
            }
            outcome.retries += 1;
            last = Some(addr);
            sleep(pause.duration()).await;
        }
    }
}
