//! The state that the tasks of an edge daemon share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::dialect::Dialect;
use super::metrics::Metrics;
use super::news::PackedNews;
use super::settings::Settings;
use super::startup::Startup;
use super::store::Store;
use super::suspect::WatchList;
use crate::clock::Clock;
use crate::clock::Millis;
use crate::core::admit::AdmissionController;
use crate::core::admit::Policy;
use crate::core::admit::streams::StreamAdmission;
use crate::core::attempt::RetryBudget;
use crate::core::attempt::RetryBudgets;
use crate::core::fleet::Fleet;
use crate::core::fleet::Member;
use crate::core::load::Exchange;
use crate::core::load::NameHash;
use crate::core::plain::ErrorTable;
use crate::core::plain::Room;
use crate::core::poison::PartTable;
use crate::core::poison::SuspectTable;
use crate::core::position::Position;
use crate::core::reach::Reach;
use crate::core::roster::Roster;
use crate::core::site::ActiveConfig;
use crate::core::site::SiteConfig;
use crate::io::http::KeepLimit;
use crate::io::mailbox::Mailbox;
use crate::io::pool::Pool;
use crate::names::ServiceName;

/// The state of an edge daemon; clones share it.
#[derive(Clone, Debug)]
pub struct Edge {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    clock: Clock,
    start: Millis,
    settings: Settings,
    dialect: Rc<Dialect>,
    store: Store,
    pool: Pool,
    requests: KeepLimit,
    accepted: RefCell<ActiveConfig>,
    roster: RefCell<Roster>,
    fleet: RefCell<Fleet>,
    load: RefCell<Exchange<SocketAddr>>,
    errors: RefCell<ErrorTable>,
    rooms: RefCell<BTreeMap<ServiceName, Room>>,
    reach: RefCell<Reach>,
    budgets: RefCell<RetryBudgets>,
    admission: RefCell<AdmissionController>,
    streams: RefCell<StreamAdmission>,
    suspects: RefCell<SuspectTable>,
    parts: RefCell<PartTable>,
    watches: RefCell<WatchList>,
    packed_news: RefCell<Option<PackedNews>>,
    rng: RefCell<ChaCha8Rng>,
    metrics: Metrics,
    startup: Startup,
    store_contact: Cell<Millis>,
    gossip_trigger: Mailbox<()>,
    stop_time: Cell<Option<Millis>>,
    open_requests: Cell<u64>,
    loop_delay: Cell<Millis>,
}

impl Edge {
    /// Creates the state of a daemon without a configuration or endpoints; `seed` seeds its random
    /// numbers.
    pub fn new(settings: Settings, dialect: Dialect, clock: Clock, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let pool = Pool::with_limit(clock, KeepLimit::new(settings.keep_limit()));
        let requests = KeepLimit::new(settings.keep_limit());
        let dialect = Rc::new(dialect);
        let store = Store::new(settings.store, pool.clone(), Rc::clone(&dialect));
        let me = Member {
            vm: settings.vm.clone(),
            domain: settings.domain.clone(),
            front: settings.front,
            peer: settings.peer,
            boot: clock.now().0,
            heartbeat: 0,
            ready: false,
            version: 0,
            roster_end: Position::default(),
            has_store: false,
            load: 0,
        };
        let start = NameHash::of(&format!("{}@{}", settings.vm, me.boot));
        let peers = settings.peers().filter(|addr| *addr != settings.peer);
        let fleet = Fleet::new(me, peers.collect(), ChaCha8Rng::seed_from_u64(rng.random()));
        let bounds = settings.bounds;
        let window = Millis::seconds(bounds.window);
        let budgets = RetryBudgets::new(bounds.ratio, bounds.extra, window, clock.now());
        let inner = Inner {
            clock,
            start: clock.now(),
            dialect,
            store,
            pool,
            requests,
            accepted: RefCell::default(),
            roster: RefCell::default(),
            fleet: RefCell::new(fleet),
            load: RefCell::new(Exchange::new(start)),
            errors: RefCell::new(ErrorTable::new(start)),
            rooms: RefCell::default(),
            reach: RefCell::default(),
            budgets: RefCell::new(budgets),
            suspects: RefCell::new(SuspectTable::new(settings.vm.clone())),
            parts: RefCell::default(),
            watches: RefCell::default(),
            admission: RefCell::new(AdmissionController::new(Policy::default())),
            streams: RefCell::default(),
            packed_news: RefCell::default(),
            rng: RefCell::new(rng),
            metrics: Metrics::new(),
            startup: Startup::default(),
            store_contact: Cell::new(Millis(0)),
            gossip_trigger: Mailbox::new(1),
            stop_time: Cell::new(None),
            open_requests: Cell::new(0),
            loop_delay: Cell::new(Millis(0)),
            settings,
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Millis {
        self.inner.clock.now()
    }

    /// Returns the settings that the daemon was started with.
    pub fn settings(&self) -> &Settings {
        &self.inner.settings
    }

    /// Returns the platform's message formats.
    pub fn dialect(&self) -> &Dialect {
        &self.inner.dialect
    }

    /// Returns the client of the platform's store.
    pub fn store(&self) -> &Store {
        &self.inner.store
    }

    /// Returns the pool of connections to endpoints, peers and the store.
    pub fn pool(&self) -> &Pool {
        &self.inner.pool
    }

    /// Returns the limit on what connections from callers and other VMs keep of incomplete requests.
    pub fn requests(&self) -> &KeepLimit {
        &self.inner.requests
    }

    /// Returns the daemon's counters and histograms.
    pub fn metrics(&self) -> &Metrics {
        &self.inner.metrics
    }

    /// Returns what this VM got since its start.
    pub fn startup(&self) -> &Startup {
        &self.inner.startup
    }

    /// Returns the newest era of the store that this VM knows of, from the store's answers or from
    /// other VMs.
    pub fn store_era(&self) -> u64 {
        let known = self.roster(|roster| roster.end());
        self.inner.store.era().max(known.era())
    }

    /// Returns the configuration in force, or `None` before the first one.
    pub fn site(&self) -> Option<Rc<SiteConfig>> {
        self.inner.accepted.borrow().site()
    }

    /// Runs `work` on the accepted configuration, to read or replace it.
    pub fn accepted<T, F>(&self, work: F) -> T
    where
        F: FnOnce(&mut ActiveConfig) -> T,
    {
        work(&mut self.inner.accepted.borrow_mut())
    }

    /// Runs `work` on the known endpoints.
    pub fn roster<T, F>(&self, work: F) -> T
    where
        F: FnOnce(&mut Roster) -> T,
    {
        work(&mut self.inner.roster.borrow_mut())
    }

    /// Runs `work` on the known VMs.
    pub fn fleet<T, F>(&self, work: F) -> T
    where
        F: FnOnce(&mut Fleet) -> T,
    {
        work(&mut self.inner.fleet.borrow_mut())
    }

    /// Runs `work` on the load of this VM and of the others.
    pub fn load<T, F>(&self, work: F) -> T
    where
        F: FnOnce(&mut Exchange<SocketAddr>) -> T,
    {
        work(&mut self.inner.load.borrow_mut())
    }

    /// Runs `work` on the counts of failed calls of this VM and of the others.
    pub fn errors<T, F>(&self, work: F) -> T
    where
        F: FnOnce(&mut ErrorTable) -> T,
    {
        work(&mut self.inner.errors.borrow_mut())
    }

    /// Runs `work` on the calls that wait for room in a plain service.
    pub fn room<T, F>(&self, service: &ServiceName, work: F) -> T
    where
        F: FnOnce(&mut Room) -> T,
    {
        let mut rooms = self.inner.rooms.borrow_mut();
        work(rooms.entry(service.clone()).or_default())
    }

    /// Runs `work` on what is known of the links to endpoints.
    pub fn reach<T, F>(&self, work: F) -> T
    where
        F: FnOnce(&mut Reach) -> T,
    {
        work(&mut self.inner.reach.borrow_mut())
    }

    /// Returns whether this VM reaches no endpoint.
    pub fn is_cut_off(&self) -> bool {
        self.reach(|reach| reach.is_cut_off())
    }

    /// Runs `work` on the retry budget of a service.
    pub fn budget<T, F>(&self, service: &ServiceName, work: F) -> T
    where
        F: FnOnce(&mut RetryBudget) -> T,
    {
        work(self.inner.budgets.borrow_mut().service(service))
    }

    /// Runs `work` on the admission of streams to services with several priorities.
    pub fn streams<T, F>(&self, work: F) -> T
    where
        F: FnOnce(&mut StreamAdmission) -> T,
    {
        work(&mut self.inner.streams.borrow_mut())
    }

    /// Runs `work` on the admission controller of streams.
    pub fn admission<T, F>(&self, work: F) -> T
    where
        F: FnOnce(&mut AdmissionController) -> T,
    {
        work(&mut self.inner.admission.borrow_mut())
    }

    /// Runs `work` on the requests that crashed endpoints.
    pub fn suspects<T, F>(&self, work: F) -> T
    where
        F: FnOnce(&mut SuspectTable) -> T,
    {
        work(&mut self.inner.suspects.borrow_mut())
    }

    /// Runs `work` on the parts of prompts that crashed endpoints.
    pub fn parts<T, F>(&self, work: F) -> T
    where
        F: FnOnce(&mut PartTable) -> T,
    {
        work(&mut self.inner.parts.borrow_mut())
    }

    /// Runs `work` on the endpoints that are looked at after a connection to them broke.
    pub fn watches<T, F>(&self, work: F) -> T
    where
        F: FnOnce(&mut WatchList) -> T,
    {
        work(&mut self.inner.watches.borrow_mut())
    }

    /// Runs `work` on the list of endpoints that is kept packed for other VMs.
    pub fn packed_news<T, F>(&self, work: F) -> T
    where
        F: FnOnce(&mut Option<PackedNews>) -> T,
    {
        work(&mut self.inner.packed_news.borrow_mut())
    }

    /// Returns a random number from 0 up to, but not including, 1.
    pub fn random(&self) -> f64 {
        self.inner.rng.borrow_mut().random()
    }

    /// Records that the store answered.
    pub fn mark_store_up(&self) {
        let now = self.now();
        self.inner.store_contact.set(now);
        self.fleet(|fleet| {
            fleet.me().has_store = true;
            fleet.record_store_answer(now);
        });
    }

    /// Records that the store did not answer.
    pub fn mark_store_down(&self) {
        self.fleet(|fleet| fleet.me().has_store = false);
    }

    /// Has the next message to other VMs sent early, because there is news.
    pub fn trigger_gossip(&self) {
        // A full mailbox means that a message is already due.
        let _ = self.inner.gossip_trigger.send(());
    }

    /// Waits for a call of [`Self::trigger_gossip`].
    pub async fn gossip_triggered(&self) {
        self.inner.gossip_trigger.receive().await;
    }

    /// Returns when the store last answered, or 0 if it has not.
    pub fn store_contact(&self) -> Millis {
        self.inner.store_contact.get()
    }

    /// Starts the shutdown; the VM no longer reports itself ready.
    pub fn stop(&self) {
        if self.inner.stop_time.get().is_none() {
            self.inner.stop_time.set(Some(self.now()));
            self.fleet(|fleet| fleet.me().ready = false);
        }
    }

    /// Returns how long the daemon has been stopping, or `None` if it is not.
    pub fn stopping(&self) -> Option<Millis> {
        self.inner.stop_time.get().map(|at| self.now().since(at))
    }

    /// Returns the number of requests in progress.
    pub fn open_requests(&self) -> u64 {
        self.inner.open_requests.get()
    }

    /// Returns how much later than planned the last timer of the exchange of loads fired.
    pub fn loop_delay(&self) -> Millis {
        self.inner.loop_delay.get()
    }

    /// Records how much later than planned a timer fired.
    pub fn record_loop_delay(&self, delay: Millis) {
        self.inner.loop_delay.set(delay);
        self.metrics().record_loop_delay(delay);
    }

    /// Counts a request as in progress until the guard is dropped.
    pub fn begin_request(&self) -> RequestGuard {
        self.inner.open_requests.set(self.open_requests() + 1);
        RequestGuard { edge: self.clone() }
    }

    /// Returns the time since the daemon started.
    pub fn uptime(&self) -> Millis {
        self.now().since(self.inner.start)
    }

    /// Returns whether the VM has a configuration and has read endpoints.
    pub fn is_synced(&self) -> bool {
        self.site().is_some() && self.roster(|roster| roster.end()) > Position::default()
    }

    /// Returns whether the VM is synced, and no other VM has a newer configuration.
    pub fn is_caught_up(&self) -> bool {
        self.is_synced() && self.fleet(|fleet| fleet.is_caught_up(self.now()))
    }

    /// Returns whether the VM serves callers: it has a configuration, the store has answered, and
    /// it is not stopping.
    pub fn is_ready(&self) -> bool {
        self.site().is_some() && self.stopping().is_none() && self.store_contact() > Millis(0)
    }
}

/// Counts a request as in progress until dropped.
#[derive(Debug)]
pub struct RequestGuard {
    edge: Edge,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let open = &self.edge.inner.open_requests;
        open.set(open.get().saturating_sub(1));
    }
}
