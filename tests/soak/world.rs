//! The daemon processes, stand-ins, injected faults and checks of one seed.
#![expect(
    clippy::disallowed_types,
    reason = "the soak runs the real programs as processes"
)]

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt::Write;
use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
#[expect(
    clippy::disallowed_types,
    reason = "the soak runs the real programs as processes"
)]
use std::process::Command;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use cornelwharf::clock::Millis;
use cornelwharf::core::pipe::Span;
use cornelwharf::core::roster::Entry;
use cornelwharf::io::http::Conn;
use cornelwharf::io::http::Request;
use cornelwharf::io::runtime;
use cornelwharf::standin::fleet::EVENTS;
use cornelwharf::standin::fleet::Endpoints;
use cornelwharf::standin::fleet::Store;
use http::HeaderName;
use http::Method;
use http::StatusCode;
use http::Uri;
use monoio::time::timeout;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::proxy::Proxy;
use crate::proxy::ProxyFault;

const LAYERS: u32 = 8;
const VMS: usize = 3;
const CALLERS: usize = 6;
/// The time for which faults are injected.
const FAULT_DURATION: Millis = Millis::seconds(8);
/// The daemons must serve again within this time after the last fault, a bound set by the users.
const RECOVERY_TIMEOUT: Millis = Millis::seconds(12);
/// The time that a caller waits for an answer.
const CALL_TIMEOUT: Millis = Millis::seconds(9);
/// The time limit of every route in `site.json`. A request that reaches it counts as timed out, not as
/// cut off (the users' rule on planned work).
const ROUTE_TIMEOUT: Duration = Duration::from_secs(8);

struct Vm {
    front: SocketAddr,
    settings: PathBuf,
    child: Option<std::process::Child>,
}

/// The result of one call, as the caller saw it.
#[derive(Debug)]
struct Seen {
    id: String,
    stream: bool,
    status: Option<StatusCode>,
    body: String,
    whole: bool,
    /// The time from sending the request to the end of the call.
    took: Duration,
}

struct World {
    rng: RefCell<ChaCha8Rng>,
    store: Store,
    endpoints: Endpoints,
    proxies: Vec<Proxy>,
    vms: RefCell<Vec<Vm>>,
    seen: RefCell<Vec<Seen>>,
    next: Cell<u64>,
    is_over: Cell<bool>,
}

async fn sleep(span: Millis) {
    monoio::time::sleep(span.duration()).await;
}

/// Runs one seed and returns a one-line summary.
///
/// # Panics
///
/// Panics if a promise is broken.
pub fn run_seed(seed: u64) -> String {
    let only_planned = seed.is_multiple_of(3);
    runtime::run(async {
        let world = Rc::new(World::new(seed));
        monoio::spawn(publish_endpoints(Rc::clone(&world)));
        for vm in 0..VMS {
            world.launch(vm);
        }
        world.wait_until_serving().await;
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| monoio::spawn(call_repeatedly(Rc::clone(&world))))
            .collect();
        let mut left = FAULT_DURATION;
        let mut faults = Vec::new();
        while left > Millis(0) {
            let pause = Millis(world.random(300, 1200));
            sleep(pause).await;
            left = left - pause;
            faults.push(world.inject_fault(only_planned));
        }
        sleep(Millis::seconds(1)).await;
        world.is_over.set(true);
        for caller in callers {
            caller.await;
        }
        world.clear_faults().await;
        world.wait_until_serving().await;
        world.stop_vms();
        world.check(only_planned, &faults)
    })
    .expect("failed to start the runtime")
}

impl World {
    fn new(seed: u64) -> Self {
        let run = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, run[2].max(1), run[3], 200 + (seed % 50) as u8);
        let addr = |port: u16| SocketAddr::from((ip, 30_000 + port));
        let store = Store::default();
        store.listen(addr(0)).expect("failed to bind the store");
        store.put("operator", "site", include_bytes!("site.json"));
        let endpoints = Endpoints::new(LAYERS);
        for index in 0..9_u16 {
            endpoints
                .start(entry(index, addr(10 + index)))
                .expect("failed to bind an endpoint");
        }
        let vm = |index: u16| {
            let proxy = Proxy::default();
            proxy.listen(addr(20 + index), addr(0));
            let text = settings(index, addr(20 + index), |port| {
                addr(100 + 10 * index + port)
            });
            let name = format!(
                "cornelwharf-soak-{}-{seed}-{index}.yaml",
                std::process::id()
            );
            let path = std::env::temp_dir().join(name);
            std::fs::write(&path, text).expect("failed to write the settings");
            let vm = Vm {
                front: addr(100 + 10 * index),
                settings: path,
                child: None,
            };
            (proxy, vm)
        };
        let (proxies, vms) = (0..VMS as u16).map(vm).unzip();
        Self {
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            store,
            endpoints,
            proxies,
            vms: RefCell::new(vms),
            seen: RefCell::default(),
            next: Cell::new(0),
            is_over: Cell::new(false),
        }
    }

    fn random(&self, from: u64, to: u64) -> u64 {
        self.rng.borrow_mut().random_range(from..to)
    }

    fn launch(&self, vm: usize) {
        let mut vms = self.vms.borrow_mut();
        let mut command = Command::new(env!("CARGO_BIN_EXE_standin"));
        command
            .arg("edge")
            .arg(&vms[vm].settings)
            .stdout(log_of(vm));
        vms[vm].child = Some(command.spawn().expect("failed to start a daemon"));
    }

    /// Sends a signal, such as `-TERM`, to a daemon that this test started.
    fn signal(&self, vm: usize, name: &str) {
        if let Some(child) = &self.vms.borrow()[vm].child {
            let pid = child.id().to_string();
            let sent = Command::new("kill")
                .arg(name)
                .arg(pid)
                .stderr(Stdio::null())
                .status();
            sent.expect("failed to run kill");
        }
    }

    /// Waits until the process of a daemon has exited, then starts it again.
    async fn restart(self: Rc<Self>, vm: usize) {
        loop {
            sleep(Millis(100)).await;
            let ended = match &mut self.vms.borrow_mut()[vm].child {
                Some(child) => child.try_wait().expect("failed to poll a daemon").is_some(),
                None => return,
            };
            if ended {
                return self.launch(vm);
            }
        }
    }

    fn addrs(&self, engines: bool) -> Vec<SocketAddr> {
        let list = self.endpoints.list();
        let wanted = list
            .iter()
            .filter(|endpoint| endpoint.entry.kind.is_some() == engines);
        wanted.map(|endpoint| endpoint.entry.addr).collect()
    }

    /// Injects a random fault and returns its name.
    fn inject_fault(self: &Rc<Self>, only_planned: bool) -> &'static str {
        let vm = self.random(0, VMS as u64) as usize;
        let engines = self.addrs(true);
        let engine = engines[self.random(0, engines.len() as u64) as usize];
        let span = Millis(self.random(500, 2000));
        let kind = if only_planned {
            self.random(0, 2)
        } else {
            self.random(0, 12)
        };
        let world = Rc::clone(self);
        match kind {
            0 => {
                self.signal(vm, "-TERM");
                monoio::spawn(world.restart(vm));
                return "stop";
            }
            1 => {
                self.store
                    .put("operator", "site", include_bytes!("site.json"));
                return "config";
            }
            2 | 3 => {
                self.signal(vm, "-KILL");
                monoio::spawn(world.restart(vm));
                return "kill";
            }
            4 => {
                self.signal(vm, "-STOP");
                monoio::spawn(async move {
                    sleep(span).await;
                    world.signal(vm, "-CONT");
                });
                return "pause";
            }
            5 | 6 => {
                let silent = kind == 5;
                self.endpoints.with_endpoint(engine, |endpoint| {
                    endpoint.silent |= silent;
                    endpoint.broken |= !silent;
                });
                monoio::spawn(async move {
                    sleep(span).await;
                    world.endpoints.with_endpoint(engine, |endpoint| {
                        endpoint.silent = false;
                        endpoint.broken = false;
                    });
                });
                return if silent {
                    "engine still"
                } else {
                    "engine broken"
                };
            }
            7 => {
                self.store.set_silent(true);
                monoio::spawn(async move {
                    sleep(span).await;
                    world.store.set_silent(false);
                });
                return "store away";
            }
            _ => {}
        }
        let (fault, name) = match kind {
            8 => (ProxyFault::Delay(Millis(150)), "delay"),
            9 => (ProxyFault::Reset, "reset"),
            10 => (ProxyFault::OneWay, "one way"),
            _ => (ProxyFault::Silence, "silence"),
        };
        self.proxies[vm].set(fault);
        monoio::spawn(async move {
            sleep(span).await;
            world.proxies[vm].set(ProxyFault::None);
        });
        name
    }

    /// Waits for faults to expire, then clears those of the proxies, the store and paused daemons.
    async fn clear_faults(self: &Rc<Self>) {
        sleep(Millis::seconds(2)).await;
        for proxy in &self.proxies {
            proxy.set(ProxyFault::None);
        }
        self.store.set_silent(false);
        for vm in 0..VMS {
            self.signal(vm, "-CONT");
        }
    }

    /// Waits until every daemon serves a stream and a plain request.
    async fn wait_until_serving(&self) {
        let mut left = RECOVERY_TIMEOUT;
        loop {
            let mut served = true;
            for vm in 0..VMS {
                for path in ["/draft/1", "/post/a"] {
                    let seen = self.call(vm, path).await;
                    served &= seen.status == Some(StatusCode::OK) && seen.whole;
                    self.seen.borrow_mut().push(seen);
                }
            }
            if served {
                return;
            }
            assert!(
                left > Millis(0),
                "not every daemon serves again after {RECOVERY_TIMEOUT} ms"
            );
            sleep(Millis(500)).await;
            left = left - Millis(500);
        }
    }

    async fn call(&self, vm: usize, path: &str) -> Seen {
        self.next.set(self.next.get() + 1);
        let id = format!("r{}", self.next.get());
        let mut request = Request::new(Method::POST, Uri::try_from(path).expect("invalid path"));
        for (name, value) in [
            ("host", "yard.example"),
            ("request-id", &id),
            ("key", "red-key"),
            ("deadline", "8000"),
        ] {
            request.headers.insert(
                HeaderName::from_static(name),
                value.parse().expect("invalid header value"),
            );
        }
        request.body = "{}".into();
        let mut seen = Seen {
            id,
            stream: path.starts_with("/draft/"),
            status: None,
            body: String::new(),
            whole: false,
            took: Duration::ZERO,
        };
        let start = Instant::now();
        let front = self.vms.borrow()[vm].front;
        // After a timeout, the remaining fields of `seen` keep their initial values.
        let _ = timeout(
            CALL_TIMEOUT.duration(),
            exchange(front, &request, &mut seen),
        )
        .await;
        seen.took = start.elapsed();
        seen
    }

    /// Stops the daemons and removes their settings. `Drop` cannot do this, because tasks that are
    /// still running hold references to the world.
    fn stop_vms(&self) {
        for vm in self.vms.borrow_mut().iter_mut() {
            if let Some(mut child) = vm.child.take() {
                child.kill().expect("failed to kill a daemon");
                child.wait().expect("failed to wait for a daemon");
            }
            std::fs::remove_file(&vm.settings).expect("failed to remove the settings");
        }
    }

    fn check(&self, only_planned: bool, faults: &[&str]) -> String {
        assert_eq!(
            self.endpoints.path_violations(),
            Vec::<String>::new(),
            "layers out of order"
        );
        let list = self.endpoints.list();
        let mut want = String::new();
        for id in 1..=EVENTS {
            write!(want, "id: {id}\ndata: token {id}\n\n")
                .expect("writing to a string cannot fail");
        }
        let mut served = 0;
        let seen = self.seen.borrow();
        for seen in seen.iter() {
            let id = &seen.id;
            let runs = |endpoint: &&_| {
                let endpoint: &cornelwharf::standin::fleet::Endpoint = endpoint;
                endpoint.ran.contains(id)
            };
            let ran: usize = list
                .iter()
                .map(|endpoint| endpoint.ran.iter().filter(|ran| *ran == id).count())
                .sum();
            let endpoints = list.iter().filter(runs).count();
            assert!(
                seen.stream || ran <= 1,
                "{id} ran {ran} times at {endpoints} endpoints"
            );
            if seen.status == Some(StatusCode::SERVICE_UNAVAILABLE) {
                assert_eq!(ran, 0, "{id} ran, but its answer said that it had not");
            }
            if seen.status == Some(StatusCode::OK) && seen.stream {
                assert!(want.starts_with(&seen.body), "{id}: {}", seen.body);
                assert!(
                    !seen.whole || seen.body == want,
                    "{id} ended early without an error"
                );
            }
            if only_planned && seen.status.is_some() && seen.took < ROUTE_TIMEOUT {
                assert!(seen.whole, "{id} was cut off by planned work: {seen:?}");
            }
            served += usize::from(seen.status == Some(StatusCode::OK) && seen.whole);
        }
        format!("{served} of {} served, {faults:?}", seen.len())
    }
}

/// Returns the file for a daemon's log in the folder that `SOAK_LOGS` names, if it is set.
fn log_of(vm: usize) -> Stdio {
    let Some(folder) = std::env::var_os("SOAK_LOGS") else {
        return Stdio::null();
    };
    let path = Path::new(&folder).join(format!("vm-{vm}.log"));
    let file = File::options().create(true).append(true).open(path);
    file.expect("a log file").into()
}

async fn exchange(front: SocketAddr, request: &Request, seen: &mut Seen) {
    let Ok(mut conn) = Conn::dial(front).await else {
        return;
    };
    if conn.writer.request(request).await.is_err() {
        return;
    }
    let Ok(head) = conn.reader.response_head(false).await else {
        return;
    };
    seen.status = Some(head.status);
    let mut body = BytesMut::new();
    loop {
        match conn.reader.chunk().await {
            Ok(Some(part)) => body.extend_from_slice(&part),
            Ok(None) => {
                seen.whole = true;
                break;
            }
            Err(_) => break,
        }
        seen.body = String::from_utf8_lossy(&body).into_owned();
    }
    seen.body = String::from_utf8_lossy(&body).into_owned();
}

async fn call_repeatedly(world: Rc<World>) {
    while !world.is_over.get() {
        let vm = world.random(0, VMS as u64) as usize;
        let path = if world.random(0, 3) == 0 {
            "/post/a"
        } else {
            "/draft/1"
        };
        let seen = world.call(vm, path).await;
        world.seen.borrow_mut().push(seen);
        sleep(Millis(world.random(5, 60))).await;
    }
}

/// Publishes the changed entries of responsive endpoints to the store.
async fn publish_endpoints(world: Rc<World>) {
    let mut published: Vec<Entry> = Vec::new();
    loop {
        for endpoint in world.endpoints.list() {
            let entry = endpoint.entry;
            if !endpoint.silent && !endpoint.broken && !published.contains(&entry) {
                let bytes = serde_json::to_vec(&entry).expect("failed to encode an entry");
                world.store.put("endpoints", &entry.endpoint, &bytes);
                published.retain(|old| old.addr != entry.addr);
                published.push(entry);
            }
        }
        sleep(Millis(100)).await;
    }
}

fn entry(index: u16, addr: SocketAddr) -> Entry {
    let plain = index >= 7;
    Entry {
        endpoint: format!("e{index}").as_str().into(),
        born: 1,
        service: if plain { "ledger" } else { "pool" }.into(),
        addr,
        domain: if index.is_multiple_of(2) {
            "north"
        } else {
            "south"
        }
        .into(),
        leaving: false,
        slots: 16,
        kind: (!plain).then(|| "card".into()),
        span: None::<Span>,
    }
}

fn settings<A>(index: u16, store: SocketAddr, addr: A) -> String
where
    A: Fn(u16) -> SocketAddr,
{
    format!(
        "vm: vm-{index}\ndomain: {}\nfront: {}\nready: {}\nregistry: {}\nmetrics: {}\npeer: {}\n\
         store: {store}\nbounds:\n  grace: 8\n  ratio: 0.2\n  extra: 300\n  \
         apply: 2000\n  window: 10\n  keep: 5\n",
        if index.is_multiple_of(2) {
            "north"
        } else {
            "south"
        },
        addr(0),
        addr(1),
        addr(2),
        addr(3),
        addr(4),
    )
}
