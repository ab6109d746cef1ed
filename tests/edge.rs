//! Three edge daemons, a store, engines and plain endpoints over real sockets, in one event loop.

#[path = "edge/again.rs"]
mod again;
#[path = "edge/cut.rs"]
mod cut;
#[path = "edge/cut_head.rs"]
mod cut_head;
#[path = "edge/cut_stream.rs"]
mod cut_stream;
#[path = "edge/deadline.rs"]
mod deadline;
#[path = "edge/dropped.rs"]
mod dropped;
#[path = "edge/endless.rs"]
mod endless;
#[path = "edge/fake.rs"]
mod fake;
#[path = "edge/fleet.rs"]
mod fleet;
#[path = "edge/gone.rs"]
mod gone;
#[path = "edge/leave.rs"]
mod leave;
#[path = "edge/lost.rs"]
mod lost;
#[path = "edge/odd.rs"]
mod odd;
#[path = "edge/pause.rs"]
mod pause;
#[path = "edge/restart.rs"]
mod restart;
#[path = "edge/second.rs"]
mod second;
#[path = "edge/silent.rs"]
mod silent;
#[path = "edge/stop.rs"]
mod stop;
#[path = "edge/trickle.rs"]
mod trickle;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use bytes::BytesMut;
use cornelwharf::clock::Clock;
use cornelwharf::clock::Millis;
use cornelwharf::core::poison::Incident;
use cornelwharf::core::poison::PartCrash;
use cornelwharf::core::poison::PartDigest;
use cornelwharf::core::poison::RequestDigest;
use cornelwharf::core::roster::Entry;
use cornelwharf::core::site::Card;
use cornelwharf::core::site::KeyHolder;
use cornelwharf::core::site::Limits;
use cornelwharf::core::site::Model;
use cornelwharf::core::site::Route;
use cornelwharf::core::site::RouteKind;
use cornelwharf::core::site::Service;
use cornelwharf::core::site::SiteConfig;
use cornelwharf::core::site::WeightedService;
use cornelwharf::edge;
use cornelwharf::edge::Edge;
use cornelwharf::edge::settings::Settings;
use cornelwharf::io::http::Conn;
use cornelwharf::io::http::Request;
use cornelwharf::io::runtime;
use cornelwharf::names::ServiceName;
use cornelwharf::standin::fleet::CrashTarget;
use cornelwharf::standin::fleet::EVENTS;
use cornelwharf::standin::fleet::Endpoint;
use cornelwharf::standin::fleet::Endpoints;
use cornelwharf::standin::fleet::HiddenFault;
use cornelwharf::standin::fleet::Store;
use cornelwharf::standin::fleet::dialect;
use http::HeaderName;
use http::Method;
use http::StatusCode;
use http::Uri;

const LAYERS: u32 = 8;
/// The longest time until an accepted change is in force on every VM (the users' bound).
const APPLY_BOUND: Millis = Millis(2000);
/// The longest time until a leaving endpoint gets no new work (the users' bound).
const DRAIN_BOUND: Millis = Millis(2000);
/// The number of endpoints under one request after whose end it may not run again (the users'
/// rule on repeats).
const CRASH_LIMIT: u32 = 3;
/// The number of endpoints under one part of a prompt after whose end requests with that part may
/// not run again (the users' rule on repeats).
const PART_CRASH_LIMIT: u32 = 5;
/// The number of requests with such a part that may reach endpoints nevertheless (the same rule).
const PART_RUN_LIMIT: usize = 3;
/// The time after which these rules hold on every VM (the users' bound).
const CONTACT_SPAN: Millis = Millis::seconds(3);
/// The window of the retry budget, as in the daemons' settings.
const BUDGET_WINDOW: Millis = Millis::seconds(10);
/// How long the tests wait for the layers to be placed.
const PLACE_TIMEOUT: Millis = Millis::seconds(8);

/// Returns addresses that no other test and no other run of this file uses: each test has a
/// loopback IP of its own, where no outgoing connection takes a port either.
fn unused_addrs(count: u16) -> Vec<SocketAddr> {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let run = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(
        127,
        run[2].max(1),
        run[3],
        NEXT.fetch_add(1, Ordering::Relaxed),
    );
    (0..count)
        .map(|port| SocketAddr::from((ip, 20_000 + port)))
        .collect()
}

async fn sleep(span: Millis) {
    monoio::time::sleep(span.duration()).await;
}

struct World {
    store: Store,
    endpoints: Endpoints,
    edges: Vec<Edge>,
    fronts: Vec<SocketAddr>,
    spare: Vec<SocketAddr>,
    store_addr: SocketAddr,
    next_id: Cell<u64>,
    version: Cell<u64>,
}

struct Answer {
    status: StatusCode,
    body: String,
    whole: bool,
    /// The `Retry-After`, in seconds.
    retry_after: Option<f64>,
}

impl World {
    async fn start() -> Rc<Self> {
        Self::start_with(7, Millis(0)).await
    }

    /// Starts the daemons with this many engines, each of which takes `delay` for a report.
    async fn start_with(engine_count: usize, delay: Millis) -> Rc<Self> {
        let addrs = unused_addrs(1 + engine_count as u16 + 2 + 4 * 5);
        let (store_addr, rest) = addrs.split_first().expect("addresses");
        let (engines, vms) = rest.split_at(engine_count + 2);
        let (vms, spare) = vms.split_at(15);
        let store = Store::default();
        store.listen(*store_addr).expect("a store");
        let endpoints = Endpoints::new(LAYERS);
        endpoints.delay_reports(delay);
        let world = Self {
            store,
            endpoints,
            edges: Vec::new(),
            fronts: vms.chunks(5).map(|vm| vm[0]).collect(),
            spare: spare.to_vec(),
            store_addr: *store_addr,
            next_id: Cell::new(0),
            version: Cell::new(0),
        };
        world.configure(&["red"], "/post/");
        for (index, addr) in engines.iter().enumerate() {
            let plain = index >= engine_count;
            let entry = Entry {
                endpoint: format!("e{index}").as_str().into(),
                born: 1,
                service: if plain { "ledger" } else { "pool" }.into(),
                addr: *addr,
                domain: if index % 2 == 0 { "north" } else { "south" }.into(),
                leaving: false,
                slots: 16,
                kind: (!plain).then(|| "card".into()),
                span: None,
            };
            world.endpoints.start(entry).expect("an endpoint");
        }
        world.publish_entries();
        let mut edges = Vec::new();
        for (index, vm) in vms.chunks(5).enumerate() {
            edges.push(daemon(index, vm, *store_addr));
        }
        let world = Rc::new(Self { edges, ..world });
        monoio::spawn(publish_changes(Rc::clone(&world)));
        world.wait_for_placement().await;
        world
    }

    /// Writes a configuration of the next version, with the keys of these teams.
    fn configure(&self, teams: &[&str], post: &str) {
        self.version.set(self.version.get() + 3);
        let site = site(self.version.get(), teams, post);
        let bytes = serde_json::to_vec(&site).expect("json");
        self.store.put("operator", "site", &bytes);
    }

    /// Writes the endpoints' entries that changed.
    fn publish_entries(&self) {
        for endpoint in self.endpoints.list() {
            let entry = &endpoint.entry;
            let bytes = serde_json::to_vec(entry).expect("json");
            self.store.put("endpoints", &entry.endpoint, &bytes);
        }
    }

    async fn wait_for_placement(&self) {
        let mut left = PLACE_TIMEOUT;
        while left > Millis(0) {
            let list = self.endpoints.list();
            let engines = list.iter().filter(|endpoint| endpoint.entry.kind.is_some());
            if engines
                .clone()
                .all(|endpoint| endpoint.entry.span.is_some())
            {
                sleep(Millis(600)).await;
                return;
            }
            sleep(Millis(50)).await;
            left = left - Millis(50);
        }
        panic!("the layers are not placed");
    }

    fn request(&self, path: &str, key: &str) -> Request {
        self.next_id.set(self.next_id.get() + 1);
        let uri = Uri::try_from(path).expect("a path");
        let mut request = Request::new(Method::POST, uri);
        let id = format!("r{}", self.next_id.get());
        for (name, value) in [
            ("host", "yard.example"),
            ("request-id", &id),
            ("key", key),
            ("deadline", "6000"),
        ] {
            request.headers.insert(
                HeaderName::from_static(name),
                value.parse().expect("a value"),
            );
        }
        request.body = "{}".into();
        request
    }

    async fn call(&self, vm: usize, path: &str, key: &str) -> Answer {
        self.call_at(self.fronts[vm], path, key).await
    }

    async fn call_at(&self, front: SocketAddr, path: &str, key: &str) -> Answer {
        self.send(front, self.request(path, key)).await
    }

    /// Sends a request whose prompt has these shared parts and one of its own. No two are alike.
    async fn call_with_parts(&self, vm: usize, path: &str, parts: &str) -> Answer {
        let mut request = self.request(path, "red-key");
        let own = self.next_id.get();
        let list = format!("{parts},own{own}").parse().expect("a value");
        request
            .headers
            .insert(HeaderName::from_static("parts"), list);
        request.body = format!("{{\"own\":{own}}}").into();
        self.send(self.fronts[vm], request).await
    }

    async fn send(&self, front: SocketAddr, request: Request) -> Answer {
        let mut conn = Conn::dial(front).await.expect("a connection");
        conn.writer.request(&request).await.expect("sent");
        let head = conn.reader.response_head(false).await.expect("a head");
        let mut body = BytesMut::new();
        let whole = loop {
            match conn.reader.chunk().await {
                Ok(Some(part)) => body.extend_from_slice(&part),
                Ok(None) => break true,
                Err(_) => break false,
            }
        };
        let retry_after = head.header(&http::header::RETRY_AFTER);
        Answer {
            retry_after: retry_after.and_then(|text| text.parse().ok()),
            status: head.status,
            body: String::from_utf8(body.to_vec()).expect("text"),
            whole,
        }
    }

    async fn check_streams(&self) {
        for vm in 0..self.fronts.len() {
            let answer = self.call(vm, "/draft/1", "red-key").await;
            assert_stream(&answer);
        }
        assert_eq!(self.endpoints.path_violations(), Vec::<String>::new());
    }

    /// Runs [`Self::check_streams`] and changes an endpoint while the first stream is in progress.
    async fn streams_while<F>(self: Rc<Self>, addr: SocketAddr, change: F)
    where
        F: FnOnce(&mut Endpoint) + 'static,
    {
        let other = Rc::clone(&self);
        let switch = monoio::spawn(async move {
            sleep(Millis(150)).await;
            other.endpoints.with_endpoint(addr, change);
        });
        self.check_streams().await;
        switch.await;
    }

    fn plain_endpoints(&self) -> Vec<SocketAddr> {
        let list = self.endpoints.list();
        let plain = list.iter().map(|endpoint| &endpoint.entry);
        plain
            .filter(|entry| entry.kind.is_none())
            .map(|entry| entry.addr)
            .collect()
    }

    fn ran_at(&self, addr: SocketAddr) -> usize {
        self.endpoints
            .with_endpoint(addr, |endpoint| endpoint.ran.len())
            .expect("an endpoint")
    }

    /// Returns the number of requests of any kind that reached these endpoints.
    fn arrivals(&self, addrs: &[SocketAddr]) -> u64 {
        let count = |addr: &SocketAddr| {
            self.endpoints
                .with_endpoint(*addr, |endpoint| endpoint.arrivals)
        };
        addrs.iter().filter_map(count).sum()
    }

    fn run_count(&self) -> usize {
        self.endpoints
            .list()
            .iter()
            .map(|endpoint| endpoint.ran.len())
            .sum()
    }

    /// Returns the engines that may be the first of a path.
    fn first_engines(&self) -> Vec<SocketAddr> {
        let list = self.endpoints.list();
        let first = |entry: &Entry| entry.span.is_some_and(|span| span.from == 0);
        let first = list.iter().filter(|endpoint| first(&endpoint.entry));
        first.map(|endpoint| endpoint.entry.addr).collect()
    }

    /// Returns an engine that runs layers of most streams and is not the first of their paths.
    /// Sends a stream to the first daemon, and returns the engine that it is sent to.
    async fn used_engine(&self) -> SocketAddr {
        let engines = self.first_engines();
        let counts: Vec<usize> = engines.iter().map(|addr| self.ran_at(*addr)).collect();
        assert_stream(&self.call(0, "/draft/used", "red-key").await);
        let mut pairs = engines.iter().zip(counts);
        let used = pairs.find(|(addr, count)| self.ran_at(**addr) > *count);
        *used.expect("an engine ran it").0
    }

    fn later_engine(&self) -> SocketAddr {
        let held = self.endpoints.list();
        let later = held.iter().find(|endpoint| {
            endpoint.entry.span.is_some_and(|span| span.from > 0) && endpoint.entry.kind.is_some()
        });
        later.expect("an engine").entry.addr
    }
}

async fn publish_changes(world: Rc<World>) {
    let mut published: BTreeMap<SocketAddr, Entry> = BTreeMap::new();
    loop {
        for endpoint in world.endpoints.list() {
            let entry = endpoint.entry;
            if !endpoint.silent && !endpoint.broken && published.get(&entry.addr) != Some(&entry) {
                let bytes = serde_json::to_vec(&entry).expect("json");
                world.store.put("endpoints", &entry.endpoint, &bytes);
                published.insert(entry.addr, entry);
            }
        }
        sleep(Millis(100)).await;
    }
}

fn daemon(index: usize, vm: &[SocketAddr], store: SocketAddr) -> Edge {
    let text = settings(index, vm, store, "");
    let settings = Settings::parse(&text).expect("settings");
    let edge = Edge::new(settings, dialect(), Clock::start(), 7 + index as u64);
    edge::start(&edge).expect("a daemon");
    edge
}

fn settings(index: usize, vm: &[SocketAddr], store: SocketAddr, contacts: &str) -> String {
    format!(
        "vm: vm-{index}\ndomain: {}\nfront: {}\nready: {}\nregistry: {}\nmetrics: {}\npeer: {}\n\
         contacts: [{contacts}]\nstore: {store}\nmemory: 112\nbounds:\n  grace: 8\n  ratio: 0.2\n  \
         extra: 100\n  apply: 2000\n  window: 10\n  keep: 5\n",
        if index.is_multiple_of(2) {
            "north"
        } else {
            "south"
        },
        vm[0],
        vm[1],
        vm[2],
        vm[3],
        vm[4],
    )
}

fn site(version: u64, teams: &[&str], post: &str) -> SiteConfig {
    let route = |name: &str, prefix: &str, kind, service: &str| Route {
        name: name.into(),
        host: "yard.example".into(),
        prefix: prefix.into(),
        kind,
        timeout: Millis::seconds(6),
        target: Millis(500),
        gap: Some(Millis(200)),
        attempts: 2,
        priority: 1,
        public: false,
        resume: kind == RouteKind::Stream,
        split: vec![WeightedService {
            service: service.into(),
            weight: 1,
        }],
    };
    let model = Model {
        layers: LAYERS,
        weight: 1000.0,
        token: 1000.0,
        slots: 64,
        load: Millis(100),
        step: 1.0,
        sequence: 0.01,
        context: 0.01,
        reading: 100.0,
        activation: 1000.0,
        pipe: 1000.0,
        delay: 0.1,
        usual: (10.0, 40.0),
        cards: BTreeMap::from([(
            "card".into(),
            Card {
                memory: 4200.0,
                pace: 1.0,
                read: 1.0,
            },
        )]),
    };
    let service = |model| Service {
        connections: 100,
        model,
    };
    let holder = |team: &&str| {
        let holder = KeyHolder {
            team: (*team).into(),
            priority: None,
        };
        (format!("{team}-key"), holder)
    };
    SiteConfig {
        version,
        routes: vec![
            route("draft", "/draft/", RouteKind::Stream, "pool"),
            Route {
                attempts: 1,
                ..route("sole", "/sole/", RouteKind::Stream, "pool")
            },
            Route {
                attempts: 8,
                ..route("long", "/long/", RouteKind::Stream, "pool")
            },
            Route {
                resume: false,
                ..route("fixed", "/fixed/", RouteKind::Stream, "pool")
            },
            route("read", "/read/", RouteKind::Idempotent, "ledger"),
            route("post", post, RouteKind::Once, "ledger"),
        ],
        services: BTreeMap::from([
            ("pool".into(), service(Some(model))),
            ("ledger".into(), service(None)),
        ]),
        keys: Some(teams.iter().map(holder).collect()),
        limits: Limits {
            head: 16_384,
            body: 65_536,
            arrival: Millis(3000),
            idle: Millis(6000),
        },
    }
}

fn assert_stream(answer: &Answer) {
    assert_eq!(answer.status, StatusCode::OK);
    assert!(answer.whole, "{}", answer.body);
    let mut want = String::new();
    for id in 1..=EVENTS {
        write!(want, "id: {id}\ndata: token {id}\n\n").expect("a string grows");
    }
    assert_eq!(answer.body, want);
}

fn run<F, T>(test: F)
where
    F: FnOnce(Rc<World>) -> T,
    T: Future<Output = ()>,
{
    runtime::run(async {
        let world = World::start().await;
        test(world).await;
    })
    .expect("a loop");
}

#[test]
fn a_leader_of_many_engines_calls_few_of_them_at_once() {
    /// 20 for each of the three VMs, which all lead until they have heard of each other.
    const MOST_CALLS: usize = 3 * 20;
    runtime::run(async {
        let world = World::start_with(90, Millis(30)).await;
        let most = world.endpoints.most_open_reports();
        assert!(most <= MOST_CALLS, "{most} calls at once");
        world.check_streams().await;
    })
    .expect("a loop");
}

#[test]
fn a_plain_endpoint_that_says_it_leaves_gets_no_new_work_from_any_vm() {
    run(async |world: Rc<World>| {
        let leaving = world.plain_endpoints()[0];
        world
            .endpoints
            .with_endpoint(leaving, |endpoint| endpoint.says_leaving = true);
        while world.ran_at(leaving) == 0 {
            world.call(0, "/post/a", "red-key").await;
        }
        for _ in 0..20 {
            world.call(0, "/post/a", "red-key").await;
        }
        assert_eq!(
            world.ran_at(leaving),
            1,
            "on the VM that passed the answer on"
        );
        sleep(DRAIN_BOUND).await;
        for index in 0..60 {
            let answer = world.call(index % 3, "/post/a", "red-key").await;
            assert_eq!(answer.status, StatusCode::OK);
        }
        assert_eq!(world.ran_at(leaving), 1, "on the other VMs");
        world.endpoints.crash(leaving);
        sleep(Millis::seconds(2)).await;
        let is_used = async {
            for _ in 0..60 {
                world.call(0, "/post/a", "red-key").await;
            }
            world.ran_at(leaving) > 1
        };
        assert!(is_used.await, "a new start of the endpoint is not leaving");
    });
}

#[test]
fn a_stream_goes_on_at_an_engine_that_says_it_leaves_and_new_ones_avoid_it() {
    run(async |world: Rc<World>| {
        world.check_streams().await;
        let leaving = world.first_engines()[0];
        world
            .endpoints
            .with_endpoint(leaving, |endpoint| endpoint.says_leaving = true);
        let before = world.ran_at(leaving);
        while world.ran_at(leaving) == before {
            world.check_streams().await;
        }
        sleep(DRAIN_BOUND).await;
        let before = world.ran_at(leaving);
        for _ in 0..4 {
            world.check_streams().await;
        }
        assert_eq!(world.ran_at(leaving), before);
    });
}

#[test]
fn endpoints_that_ask_for_a_pause_get_nothing_and_callers_learn_when_it_ends() {
    /// The most requests that may still be on the way (the users' rule).
    const ON_THE_WAY: u64 = 2;
    run(async |world: Rc<World>| {
        let plain = world.plain_endpoints();
        for addr in &plain {
            world
                .endpoints
                .with_endpoint(*addr, |endpoint| endpoint.pause = Some("2.5"));
        }
        let first = world.call(0, "/post/a", "red-key").await;
        assert_eq!(first.status, StatusCode::SERVICE_UNAVAILABLE);
        sleep(Millis(500)).await;
        let before = world.arrivals(&plain);
        let mut waits = Vec::new();
        for _ in 0..30 {
            let refused = world.call(0, "/post/a", "red-key").await;
            assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
            waits.push(refused.retry_after.expect("a time"));
            sleep(Millis(20)).await;
        }
        let arrivals = world.arrivals(&plain) - before;
        assert!(arrivals <= ON_THE_WAY, "{arrivals} requests in the pause");
        let right = |wait: &f64| (0.4..=2.5).contains(wait);
        assert!(waits.iter().all(right), "{waits:?}");
        assert!(waits[0] > 1.2, "the rest of the pause: {waits:?}");
        for addr in &plain {
            world
                .endpoints
                .with_endpoint(*addr, |endpoint| endpoint.pause = None);
        }
        sleep(Millis(2000)).await;
        let served = world.call(0, "/post/a", "red-key").await;
        assert_eq!(served.status, StatusCode::OK);
    });
}

#[test]
fn an_engine_that_asks_for_a_pause_gets_neither_streams_nor_probes() {
    run(async |world: Rc<World>| {
        let engines = world.first_engines();
        let paused = engines[0];
        world
            .endpoints
            .with_endpoint(paused, |endpoint| endpoint.pause = Some("3"));
        let before = world.arrivals(&[paused]);
        while world.arrivals(&[paused]) == before {
            world.call(0, "/draft/1", "red-key").await;
        }
        sleep(Millis(500)).await;
        let before = world.arrivals(&[paused]);
        for _ in 0..4 {
            world.call(0, "/draft/1", "red-key").await;
        }
        let arrivals = world.arrivals(&[paused]) - before;
        assert!(arrivals <= 2, "{arrivals} in the pause");
    });
}

#[test]
fn a_store_that_comes_back_older_reverts_neither_leavings_nor_the_configuration() {
    run(async |world: Rc<World>| {
        let ends = [
            ("endpoints", world.store.end("endpoints") as usize),
            ("operator", world.store.end("operator") as usize),
        ];
        let old_version = world.version.get();
        let leaving = world.plain_endpoints()[0];
        world
            .endpoints
            .with_endpoint(leaving, |endpoint| endpoint.entry.leaving = true);
        world.configure(&["red", "blue"], "/post/");
        sleep(APPLY_BOUND).await;
        world.store.fall(&ends);
        for _ in 0..20 {
            sleep(Millis(100)).await;
            let before = world.ran_at(leaving);
            for vm in 0..3 {
                let answer = world.call(vm, "/post/a", "blue-key").await;
                assert_eq!(answer.status, StatusCode::OK, "the new key on VM {vm}");
            }
            assert_eq!(world.ran_at(leaving), before, "the endpoint has left");
        }
        let versions: Vec<_> = world.edges.iter().map(Edge::site).collect();
        for site in versions {
            assert!(site.expect("a configuration").version > old_version);
        }
    });
}

#[test]
fn changes_after_a_fall_of_the_store_are_read_and_orders_are_accepted() {
    run(async |world: Rc<World>| {
        let fences = |world: &World| {
            let list = world.endpoints.list();
            list.iter().map(|endpoint| endpoint.fence).max()
        };
        let before = fences(&world);
        world
            .store
            .fall(&[("endpoints", 0), ("operator", 0), ("terms", 0)]);
        world.publish_entries();
        world.configure(&["red", "blue"], "/post/");
        sleep(APPLY_BOUND).await;
        for vm in 0..3 {
            let answer = world.call(vm, "/post/a", "blue-key").await;
            assert_eq!(answer.status, StatusCode::OK, "the new key on VM {vm}");
        }
        let engine = world.later_engine();
        world.endpoints.crash(engine);
        world.wait_for_placement().await;
        sleep(Millis::seconds(2)).await;
        world.wait_for_placement().await;
        world.check_streams().await;
        assert!(fences(&world) >= before);
        assert!(world.store.end("vms") > 0, "the VMs' records");
    });
}

#[test]
fn streams_and_plain_requests_are_served_and_others_refused() {
    run(async |world: Rc<World>| {
        world.check_streams().await;
        let before = world.run_count();
        let answer = world.call(0, "/post/a", "red-key").await;
        assert_eq!(
            (answer.status, answer.body.as_str()),
            (StatusCode::OK, "/post/a")
        );
        assert_eq!(world.run_count(), before + 1);
        let refused = world.call(1, "/post/a", "blue-key").await;
        assert_eq!(refused.status, StatusCode::UNAUTHORIZED);
        let unknown = world.call(2, "/nothing/", "red-key").await;
        assert_eq!(unknown.status, StatusCode::NOT_FOUND);
        assert_eq!(world.run_count(), before + 1);
    });
}

#[test]
fn a_starting_daemon_holds_requests_until_it_is_synced() {
    run(async |world: Rc<World>| {
        let edge = daemon(3, &world.spare, world.store_addr);
        assert!(!edge.is_synced());
        for path in ["/draft/1", "/post/a"] {
            let answer = world.call_at(world.spare[0], path, "red-key").await;
            assert_eq!(answer.status, StatusCode::OK, "{path}: {}", answer.body);
        }
    });
}

#[test]
fn a_request_over_the_limits_of_the_configuration_is_refused_without_running() {
    run(async |world: Rc<World>| {
        let before = world.run_count();
        let mut request = world.request("/post/a", "red-key");
        request.body = vec![b'x'; 70_000].into();
        let mut conn = Conn::dial(world.fronts[0]).await.expect("a connection");
        conn.writer.request(&request).await.expect("sent");
        let head = conn.reader.response_head(false).await.expect("a head");
        assert_eq!(head.status, StatusCode::PAYLOAD_TOO_LARGE);
        assert_eq!(world.run_count(), before);
        let mut conn = Conn::dial(world.fronts[0]).await.expect("a connection");
        sleep(Millis(6500)).await;
        let fit = world.request("/post/a", "red-key");
        conn.writer.request(&fit).await.expect("sent");
        assert!(
            conn.reader.response_head(false).await.is_err(),
            "the connection was idle for too long"
        );
        assert_eq!(world.run_count(), before);
    });
}

#[test]
fn a_stream_continues_when_an_engine_of_its_path_stalls() {
    run(async |world: Rc<World>| {
        let addr = world.later_engine();
        world
            .streams_while(addr, |endpoint| endpoint.silent = true)
            .await;
    });
}

#[test]
fn a_silent_engine_is_detected_although_no_report_names_it() {
    run(async |world: Rc<World>| {
        let addr = world.later_engine();
        for endpoint in world.endpoints.list() {
            world
                .endpoints
                .with_endpoint(endpoint.entry.addr, |endpoint| {
                    endpoint.hidden_faults.push(HiddenFault::OmitsStalled);
                });
        }
        world
            .streams_while(addr, |endpoint| endpoint.silent = true)
            .await;
    });
}

#[test]
fn a_stream_avoids_an_engine_that_fails_but_reports_itself_healthy() {
    run(async |world: Rc<World>| {
        let addr = world.first_engines()[0];
        world.endpoints.with_endpoint(addr, |endpoint| {
            endpoint.hidden_faults.push(HiddenFault::AnswersErrors);
        });
        for _ in 0..3 {
            world.check_streams().await;
        }
        let ran = world
            .endpoints
            .with_endpoint(addr, |endpoint| endpoint.ran.len());
        assert!(ran <= Some(3), "each VM tries it once: {ran:?}");
    });
}

#[test]
fn a_stream_waits_for_a_silent_engine_when_no_retry_is_allowed() {
    run(async |world: Rc<World>| {
        let first = world.first_engines();
        let other = Rc::clone(&world);
        let switch = monoio::spawn(async move {
            for silent in [true, false] {
                sleep(Millis(150)).await;
                for addr in &first {
                    other
                        .endpoints
                        .with_endpoint(*addr, |endpoint| endpoint.silent = silent);
                }
                sleep(Millis(600)).await;
            }
        });
        let answer = world.call(0, "/sole/1", "red-key").await;
        assert_stream(&answer);
        switch.await;
    });
}

#[test]
fn a_started_stream_waits_while_no_path_exists() {
    run(async |world: Rc<World>| {
        // A daemon that has just started may not take enough retries.
        sleep(BUDGET_WINDOW).await;
        let other = Rc::clone(&world);
        let switch = monoio::spawn(async move {
            for broken in [true, false] {
                sleep(Millis(200)).await;
                for addr in other.first_engines() {
                    other
                        .endpoints
                        .with_endpoint(addr, |endpoint| endpoint.broken = broken);
                }
            }
        });
        let answer = world.call(0, "/long/1", "red-key").await;
        assert_stream(&answer);
        switch.await;
    });
}

#[test]
fn a_stream_continues_when_its_first_engine_fails() {
    run(async |world: Rc<World>| {
        let addr = world.first_engines()[0];
        world
            .streams_while(addr, |endpoint| endpoint.broken = true)
            .await;
    });
}

#[test]
fn a_leaving_endpoint_gets_no_new_work_after_its_bound() {
    run(async |world: Rc<World>| {
        let list = world.endpoints.list();
        let ledger = list.iter().find(|endpoint| endpoint.entry.kind.is_none());
        let addr = ledger.expect("a ledger").entry.addr;
        world
            .endpoints
            .with_endpoint(addr, |endpoint| endpoint.entry.leaving = true);
        world.publish_entries();
        sleep(DRAIN_BOUND).await;
        let before = world
            .endpoints
            .with_endpoint(addr, |endpoint| endpoint.ran.len());
        for turn in 0..12 {
            let answer = world.call(turn % 3, "/post/a", "red-key").await;
            assert_eq!(answer.status, StatusCode::OK);
        }
        assert_eq!(
            world
                .endpoints
                .with_endpoint(addr, |endpoint| endpoint.ran.len()),
            before
        );
    });
}

#[test]
fn a_change_is_in_force_everywhere_within_its_bound() {
    run(async |world: Rc<World>| {
        world.configure(&["blue"], "/book/");
        sleep(APPLY_BOUND).await;
        for vm in 0..3 {
            let old = world.call(vm, "/post/a", "blue-key").await;
            assert_eq!(old.status, StatusCode::NOT_FOUND, "vm {vm}");
            let revoked = world.call(vm, "/book/a", "red-key").await;
            assert_eq!(revoked.status, StatusCode::UNAUTHORIZED, "vm {vm}");
            let new = world.call(vm, "/book/a", "blue-key").await;
            assert_eq!(new.status, StatusCode::OK, "vm {vm}");
        }
    });
}

#[test]
fn service_continues_while_the_store_is_unavailable() {
    run(async |world: Rc<World>| {
        world.store.set_silent(true);
        sleep(Millis::seconds(3)).await;
        world.check_streams().await;
        world.store.set_silent(false);
        world.configure(&["red"], "/book/");
        sleep(APPLY_BOUND).await;
        for vm in 0..3 {
            let answer = world.call(vm, "/book/a", "red-key").await;
            assert_eq!(answer.status, StatusCode::OK, "vm {vm}");
        }
    });
}

#[test]
fn a_stopping_daemon_finishes_and_still_accepts_requests() {
    run(async |world: Rc<World>| {
        let other = Rc::clone(&world);
        let stream = monoio::spawn(async move { other.call(0, "/draft/1", "red-key").await });
        sleep(Millis(100)).await;
        world.edges[0].stop();
        assert_stream(&stream.await);
        let late = world.call(0, "/post/a", "red-key").await;
        assert_eq!(late.status, StatusCode::OK);
        assert!(!world.edges[0].is_ready());
    });
}

#[test]
fn a_daemon_that_is_about_to_exit_refuses_requests() {
    run(async |world: Rc<World>| {
        let mut conn = Conn::dial(world.fronts[0]).await.expect("a connection");
        let first = conn
            .call(&world.request("/post/a", "red-key"), Millis::seconds(2))
            .await;
        assert_eq!(first.expect("an answer").status, StatusCode::OK);
        let before = world.run_count();
        world.edges[0].stop();
        sleep(Millis::seconds(3)).await;
        let late = conn
            .call(&world.request("/draft/1", "red-key"), Millis::seconds(2))
            .await;
        let late = late.expect("an answer");
        assert_eq!(late.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(late.headers.contains_key(http::header::RETRY_AFTER));
        assert_eq!(world.run_count(), before);
    });
}

/// Sends a request that crashes endpoints, until three have crashed and the VMs have had time to
/// tell each other; then sends it to every VM several times.
async fn check_crashing_request(world: Rc<World>, path: &str, target: CrashTarget) {
    world.endpoints.crash_on(path, target);
    for turn in 0..12 {
        if world.endpoints.crash_count() >= CRASH_LIMIT {
            break;
        }
        let answer = world.call(turn % 3, path, "red-key").await;
        assert!(answer.status != StatusCode::OK || !answer.whole);
        sleep(Millis(800)).await;
    }
    sleep(CONTACT_SPAN).await;
    world.wait_for_placement().await;
    let (crashes, runs) = (world.endpoints.crash_count(), world.run_count());
    let mut statuses = Vec::new();
    for turn in 0..9 {
        let answer = world.call(turn % 3, path, "red-key").await;
        statuses.push(answer.status);
        sleep(Millis(100)).await;
    }
    let crashes = world.endpoints.crash_count() - crashes;
    let runs = world.run_count() - runs;
    assert_eq!((crashes, runs), (0, 0), "crashes and runs after the third");
    let refused = StatusCode::SERVICE_UNAVAILABLE;
    assert!(
        statuses.iter().all(|status| *status == refused),
        "{statuses:?}"
    );
    world.check_streams().await;
}

#[test]
fn a_plain_request_that_succeeds_takes_no_retry() {
    run(async |world: Rc<World>| {
        for _ in 0..5 {
            let answer = world.call(0, "/post/a", "red-key").await;
            assert_eq!(answer.status, StatusCode::OK);
        }
        let now = world.edges[0].now();
        let ledger = ServiceName::from("ledger");
        let usage = world.edges[0].budget(&ledger, |budget| budget.usage(now, 1));
        assert_eq!((usage.requests, usage.retries), (5, 0));
    });
}

#[test]
fn requests_to_one_service_allow_no_retries_at_another() {
    run(async |world: Rc<World>| {
        world.check_streams().await;
        let now = world.edges[0].now();
        let ledger = ServiceName::from("ledger");
        let usage = world.edges[0].budget(&ledger, |budget| budget.usage(now, 1));
        assert_eq!(usage.requests, 0, "requests that the plain service got");
    });
}

/// Records a crash of an endpoint's `boot` under a content on one VM.
fn record_crash(edge: &Edge, content: RequestDigest, boot: u64) {
    let now = edge.now();
    let incident = Incident {
        alone: false,
        at: now,
        endpoint: "e0".into(),
        boot,
    };
    edge.suspects(|suspects| suspects.record_crash(now, content, incident));
}

#[test]
fn a_stream_that_completes_is_not_refused_for_crashes_beside_it() {
    run(async |world: Rc<World>| {
        for _ in 0..CRASH_LIMIT {
            let id = format!("r{}", world.next_id.get() + 1);
            let other = Rc::clone(&world);
            let crash = monoio::spawn(async move {
                sleep(Millis(15)).await;
                let list = other.endpoints.list();
                let first = list.iter().find(|endpoint| endpoint.ran.contains(&id));
                other.endpoints.crash(first.expect("an engine").entry.addr);
            });
            assert_stream(&world.call(0, "/draft/1", "red-key").await);
            crash.await;
            world.wait_for_placement().await;
        }
        assert_eq!(world.endpoints.crash_count(), CRASH_LIMIT);
        world.check_streams().await;
    });
}

#[test]
fn a_bar_does_not_end_a_stream_that_is_running() {
    run(async |world: Rc<World>| {
        let other = Rc::clone(&world);
        let pause = monoio::spawn(async move {
            sleep(Millis(150)).await;
            let edge = &other.edges[0];
            let content = RequestDigest::of_call("red", "POST", "/draft/1", b"{}");
            for boot in 0..u64::from(CRASH_LIMIT) {
                record_crash(edge, content, boot);
            }
            let addr = other.later_engine();
            for faults in [vec![HiddenFault::Pauses], Vec::new()] {
                other
                    .endpoints
                    .with_endpoint(addr, |endpoint| endpoint.hidden_faults = faults);
                sleep(Millis(400)).await;
            }
        });
        assert_stream(&world.call(0, "/draft/1", "red-key").await);
        pause.await;
    });
}

#[test]
fn a_daemon_that_starts_later_refuses_a_request_that_crashed_endpoints() {
    run(async |world: Rc<World>| {
        let path = "/post/crash";
        world.endpoints.crash_on(path, CrashTarget::First);
        while world.endpoints.crash_count() < CRASH_LIMIT {
            world.call(0, path, "red-key").await;
            sleep(Millis(800)).await;
        }
        daemon(3, &world.spare, world.store_addr);
        sleep(CONTACT_SPAN).await;
        let runs = world.run_count();
        let answer = world.call_at(world.spare[0], path, "red-key").await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(world.run_count(), runs);
    });
}

#[test]
fn a_bar_from_crashes_on_three_vms_is_written_to_the_store() {
    run(async |world: Rc<World>| {
        let content = RequestDigest::of_call("red", "POST", "/draft/1", b"{}");
        for (boot, edge) in (0..).zip(&world.edges) {
            record_crash(edge, content, boot);
            edge.trigger_gossip();
        }
        sleep(CONTACT_SPAN).await;
        let bars = world.store.records("bars");
        assert!(bars.iter().any(|record| record.key == content.to_string()));
    });
}

#[test]
fn a_bar_is_kept_when_all_daemons_are_replaced() {
    run(async |world: Rc<World>| {
        let path = "/post/crash";
        world.endpoints.crash_on(path, CrashTarget::First);
        while world.endpoints.crash_count() < CRASH_LIMIT {
            world.call(0, path, "red-key").await;
            sleep(Millis(800)).await;
        }
        // The new daemon's store doesn't list the old daemons, so they never meet.
        let store = Store::default();
        for topic in ["operator", "endpoints", "bars"] {
            for record in world.store.records(topic) {
                store.put(topic, &record.key, &record.value);
            }
        }
        let store_addr = unused_addrs(1)[0];
        store.listen(store_addr).expect("a store");
        daemon(3, &world.spare, store_addr);
        sleep(CONTACT_SPAN).await;
        let runs = world.run_count();
        let answer = world.call_at(world.spare[0], path, "red-key").await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(world.run_count(), runs);
        let other = world.call_at(world.spare[0], "/post/a", "red-key").await;
        assert_eq!(other.status, StatusCode::OK);
    });
}

#[test]
fn a_stream_that_crashes_the_first_engine_is_refused_on_every_vm() {
    run(async |world: Rc<World>| {
        check_crashing_request(world, "/draft/crash", CrashTarget::First).await;
    });
}

#[test]
fn a_stream_that_crashes_the_last_engine_is_refused_on_every_vm() {
    run(async |world: Rc<World>| {
        check_crashing_request(world, "/draft/crash", CrashTarget::Last).await;
    });
}

#[test]
fn a_plain_request_that_crashes_endpoints_is_refused_on_every_vm() {
    run(async |world: Rc<World>| {
        check_crashing_request(world, "/post/crash", CrashTarget::First).await;
    });
}

/// Sends requests that share a part of their prompts which crashes endpoints, until five have
/// crashed or no more requests run, and on for as long as a VM may take to learn of a crash; then
/// nine more. Meanwhile a caller on each VM sends sound requests that share the other part.
async fn check_crashing_part(world: Rc<World>, path: &'static str, parts: &str, guilty: &str) {
    world.endpoints.crash_on_part(guilty);
    let is_over = Rc::new(Cell::new(false));
    let callers: Vec<_> = (0..world.fronts.len())
        .map(|vm| {
            let (world, is_over) = (Rc::clone(&world), Rc::clone(&is_over));
            monoio::spawn(async move {
                let mut turn = 0;
                while !is_over.get() {
                    let parts = format!("shared,subject{}", turn % 4);
                    world.call_with_parts(vm, path, &parts).await;
                    sleep(Millis(50)).await;
                    turn += 1;
                }
            })
        })
        .collect();
    sleep(Millis(500)).await;
    let mut turn = 0;
    let mut fifth = None;
    while turn < 60 && fifth.is_none_or(|at| turn < at + CONTACT_SPAN.0 / 200) {
        world.call_with_parts(turn as usize % 3, path, parts).await;
        sleep(Millis(200)).await;
        turn += 1;
        if fifth.is_none() && world.endpoints.crash_count() >= PART_CRASH_LIMIT {
            fifth = Some(turn);
        }
    }
    let arrivals = world.endpoints.crashing_arrivals();
    for turn in 0..9 {
        world.wait_for_placement().await;
        let answer = world.call_with_parts(turn % 3, path, parts).await;
        assert!(answer.status != StatusCode::OK || !answer.whole);
    }
    let more = world.endpoints.crashing_arrivals() - arrivals;
    assert!(
        more <= PART_RUN_LIMIT,
        "{more} requests ran after the fifth crash"
    );
    is_over.set(true);
    for caller in callers {
        caller.await;
    }
    world.wait_for_placement().await;
    for turn in 0..12 {
        let refused = world.call_with_parts(turn % 3, path, parts).await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(refused.retry_after.is_some());
        let sound = format!("shared,subject{}", turn % 4);
        let answer = world.call_with_parts(turn % 3, path, &sound).await;
        assert_eq!(answer.status, StatusCode::OK, "{sound}: {}", answer.body);
        assert!(answer.whole, "{sound}: {}", answer.body);
    }
}

#[test]
fn a_part_that_crashes_engines_is_refused_on_every_vm_and_sound_requests_are_not() {
    run(async |world: Rc<World>| {
        check_crashing_part(world, "/draft/1", "shared,guilty", "guilty").await;
    });
}

#[test]
fn a_first_part_that_crashes_engines_is_refused_on_every_vm() {
    run(async |world: Rc<World>| {
        check_crashing_part(world, "/draft/1", "guilty,subject0", "guilty").await;
    });
}

#[test]
fn a_part_that_crashes_plain_endpoints_is_refused_on_every_vm() {
    run(async |world: Rc<World>| {
        check_crashing_part(world, "/post/1", "shared,guilty", "guilty").await;
    });
}

fn set_unframed(world: &World) {
    for endpoint in world.endpoints.list() {
        let addr = endpoint.entry.addr;
        world.endpoints.with_endpoint(addr, |endpoint| {
            endpoint.hidden_faults.push(HiddenFault::Unframed);
        });
    }
}

#[test]
fn streams_that_end_with_their_connection_are_relayed_whole() {
    run(async |world: Rc<World>| {
        set_unframed(&world);
        for _ in 0..3 {
            world.check_streams().await;
        }
    });
}

#[test]
fn a_stream_without_an_event_that_ends_with_its_connection_is_not_complete() {
    run(async |world: Rc<World>| {
        set_unframed(&world);
        world.endpoints.crash_on("/sole/crash", CrashTarget::First);
        let answer = world.call(0, "/sole/crash", "red-key").await;
        assert!(
            answer.status != StatusCode::OK || !answer.whole,
            "an empty stream looks complete"
        );
    });
}

#[test]
fn a_part_that_crashes_engines_of_unframed_streams_is_refused_on_every_vm() {
    run(async |world: Rc<World>| {
        set_unframed(&world);
        check_crashing_part(world, "/draft/1", "shared,guilty", "guilty").await;
    });
}

/// Checks that streams are whole although an engine that may be the first of a path answers in this
/// way.
async fn check_streams_beside(world: Rc<World>, fault: HiddenFault) {
    let addr = world.first_engines()[0];
    world
        .endpoints
        .with_endpoint(addr, |endpoint| endpoint.hidden_faults.push(fault));
    for _ in 0..3 {
        world.check_streams().await;
    }
    let ran = world.ran_at(addr);
    assert!(ran > 0, "no stream met the engine");
}

#[test]
fn a_head_without_end_does_not_hold_a_stream() {
    run(async |world: Rc<World>| {
        check_streams_beside(world, HiddenFault::EndlessHead).await;
    });
}

#[test]
fn bytes_without_end_are_not_relayed_as_events() {
    run(async |world: Rc<World>| {
        check_streams_beside(world, HiddenFault::EndlessBody).await;
    });
}

/// Has endpoints name a limit under a load far above it, and checks their arrivals from the users'
/// bound on; then ends the limit and checks that all requests are served again.
async fn check_limit(world: Rc<World>, addrs: &[SocketAddr], path: &'static str) {
    /// In requests a second, of each endpoint.
    const LIMIT: f64 = 2.0;
    const STEP: Millis = Millis(100);
    const WINDOW_STEPS: usize = 40;
    // What the users allow in 4 s: one and a half times the limit, and 5 more.
    let allowed = (1.5 * 4.0 * LIMIT) as usize + 5;
    let set_limit = |limit| {
        for addr in addrs {
            let endpoints = &world.endpoints;
            endpoints.with_endpoint(*addr, |endpoint| endpoint.limit = limit);
        }
    };
    set_limit(Some(LIMIT));
    let is_over = Rc::new(Cell::new(false));
    for caller in 0..24 {
        let (world, is_over) = (Rc::clone(&world), Rc::clone(&is_over));
        monoio::spawn(async move {
            while !is_over.get() {
                world.call(caller % 3, path, "red-key").await;
                sleep(Millis(150)).await;
            }
        });
    }
    sleep(CONTACT_SPAN).await;
    let mut counts: Vec<Vec<usize>> = Vec::new();
    for _ in 0..2 * WINDOW_STEPS {
        counts.push(addrs.iter().map(|addr| world.ran_at(*addr)).collect());
        sleep(STEP).await;
    }
    for (before, after) in counts.iter().zip(&counts[WINDOW_STEPS..]) {
        for (before, after) in before.iter().zip(after) {
            let count = after - before;
            assert!(
                count <= allowed,
                "{count} requests in 4 s, {allowed} allowed"
            );
        }
    }
    let total =
        counts[2 * WINDOW_STEPS - 1].iter().sum::<usize>() - counts[0].iter().sum::<usize>();
    let offered = LIMIT * 8.0 * addrs.len() as f64;
    assert!(total as f64 > 0.5 * offered, "{total} of {offered} served");
    set_limit(None);
    is_over.set(true);
    sleep(CONTACT_SPAN).await;
    for turn in 0..30 {
        let answer = world.call(turn % 3, path, "red-key").await;
        assert_eq!(answer.status, StatusCode::OK, "call {turn} after the limit");
    }
}

#[test]
fn plain_endpoints_get_no_more_requests_than_the_limit_that_they_name() {
    run(async |world: Rc<World>| {
        let addrs = world.plain_endpoints();
        check_limit(world, &addrs, "/post/a").await;
    });
}

#[test]
fn engines_get_no_more_requests_than_the_limit_that_they_name() {
    run(async |world: Rc<World>| {
        let addrs = world.first_engines();
        check_limit(world, &addrs, "/draft/1").await;
    });
}

#[test]
fn crashes_that_a_barred_part_explains_do_not_bar_the_contents_beside_it() {
    run(async |world: Rc<World>| {
        let edge = &world.edges[0];
        let content = RequestDigest::of_call("red", "POST", "/post/a", b"{}");
        let guilty = PartDigest::of(&"ledger".into(), "guilty");
        for boot in 0..u64::from(CRASH_LIMIT) {
            record_crash(edge, content, boot);
        }
        let refused = world.call(0, "/post/a", "red-key").await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        let now = edge.now();
        for boot in 0..u64::from(CRASH_LIMIT) {
            let crash = PartCrash {
                at: now,
                endpoint: "e0".into(),
                boot,
            };
            edge.parts(|table| table.record_crash(now, &[guilty], &crash));
        }
        let answer = world.call(0, "/post/a", "red-key").await;
        assert_eq!(answer.status, StatusCode::OK);
    });
}
