//! A small deployment on loopback addresses: the store, engines and the daemons of the deploy file.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::net;
use crate::store::Store;

/// The command of the deploy file.
const DAEMON: &str = "target/release/cornelwharf-edge";
/// The host of all routes.
pub const HOST: &str = "wharf.example";
/// The service of plain requests.
pub const PLAIN: &str = "swap-ledger";
/// How often an engine writes its entry.
pub const HEARTBEAT_MS: u64 = 1200;
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const TENANT: &str = "hule930";

/// What was sent, answered and run, in the order in which it happened.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &PathBuf) -> io::Result<Self> {
        Ok(Self { start: Instant::now(), file: Arc::new(Mutex::new(fs::File::create(path)?)) })
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn add(&self, line: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} {line}", self.ms());
    }
}

/// A run or another event that an engine reports: the time, the engine, and its words.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: u64,
    pub engine: String,
    pub words: Vec<String>,
}

pub struct Engine {
    pub addr: SocketAddr,
    pub child: Child,
}

/// What an engine says of itself in the store.
#[derive(Clone, Debug)]
pub struct Entry {
    pub service: &'static str,
    pub addr: SocketAddr,
    pub zone: &'static str,
    pub state: &'static str,
    pub slots: u32,
    /// When it started, in milliseconds since 1970.
    pub born: u64,
    /// Further fields, each after a comma.
    pub more: String,
}

impl Entry {
    pub fn new(service: &'static str, addr: SocketAddr, zone: &'static str) -> Self {
        Self { service, addr, zone, state: "ready", slots: 6, born: unix_ms(), more: String::new() }
    }

    fn json(&self, sequence: u64) -> String {
        let Self { service, addr, zone, state, slots, born, more } = self;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\
             \"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{born}{more}}}"
        )
    }
}

pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |span| span.as_millis() as u64)
}

pub struct Daemon {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub child: Child,
}

pub struct World {
    pub dir: PathBuf,
    pub record: Record,
    pub store: Store,
    pub store_addr: SocketAddr,
    pub engines: BTreeMap<String, Engine>,
    pub daemons: Vec<Daemon>,
    events: Arc<Mutex<Vec<Event>>>,
    entries: Entries,
    /// The limit of a daemon's descriptors.
    pub descriptors: Option<u32>,
}

pub fn log_to_file(path: &PathBuf) -> Stdio {
    let file = fs::OpenOptions::new().create(true).append(true).open(path);
    file.map_or_else(|_| Stdio::null(), Stdio::from)
}

/// Returns a free port of a loopback address.
pub fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind(format!("{ip}:0")).expect("no free port");
    listener.local_addr().expect("no address").port()
}

pub fn addr(ip: &str, port: u16) -> SocketAddr {
    format!("{ip}:{port}").parse().expect("no address")
}

pub fn sleep(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn signal(child: &Child, name: &str) {
    let _ = Command::new("sh").arg("-c").arg(format!("kill -{name} {}", child.id())).status();
}

/// The entries of living engines, and how often each was written.
type Entries = Arc<Mutex<BTreeMap<String, (Entry, u64)>>>;

/// Ends the heartbeats of an engine that has crashed, and removes its entry after three of them, unless the
/// engine is back by then.
fn lapse(store: &Store, entries: &Entries, record: &Record, id: &str) {
    if entries.lock().unwrap().remove(id).is_none() {
        return;
    }
    let (store, entries, record, id) = (store.clone(), Arc::clone(entries), record.clone(), id.to_owned());
    thread::spawn(move || {
        sleep(3 * HEARTBEAT_MS);
        let entries = entries.lock().unwrap();
        if !entries.contains_key(&id) {
            record.add(&format!("store   servers/{id} removed"));
            store.put("keyed.servers", &id, b"");
        }
    });
}

/// Writes the entries of living engines at every heartbeat.
fn beat(store: Store, entries: Entries) {
    thread::spawn(move || {
        loop {
            sleep(HEARTBEAT_MS);
            for (id, (entry, count)) in &mut *entries.lock().unwrap() {
                *count += 1;
                store.put("keyed.servers", id, entry.json(*count).as_bytes());
            }
        }
    });
}

impl World {
    pub fn new(case: &str) -> io::Result<Self> {
        let dir = std::env::temp_dir().join(format!("cornelwharf-review-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let record = Record::create(&PathBuf::from(case).join("record.txt"))?;
        let store_addr = addr("127.0.0.1", free_port("127.0.0.1"));
        let store = Store::listen(store_addr)?;
        let entries = Arc::default();
        beat(store.clone(), Arc::clone(&entries));
        Ok(Self {
            entries,
            dir,
            record,
            store,
            store_addr,
            engines: BTreeMap::new(),
            daemons: Vec::new(),
            events: Arc::default(),
            descriptors: None,
        })
    }

    /// Writes the entry of an engine, and again at every heartbeat, until its state changes.
    pub fn write_entry(&self, id: &str, entry: Entry) {
        self.record.add(&format!("store   servers/{id} {} at {}", entry.state, entry.addr));
        let mut entries = self.entries.lock().unwrap();
        self.store.put("keyed.servers", id, entry.json(1).as_bytes());
        entries.insert(id.to_owned(), (entry, 1));
    }

    /// Removes the entry of an engine.
    pub fn remove_entry(&self, id: &str) {
        self.record.add(&format!("store   servers/{id} removed"));
        let mut entries = self.entries.lock().unwrap();
        entries.remove(id);
        self.store.put("keyed.servers", id, b"");
    }

    /// Starts the process of an engine, and waits until it answers.
    pub fn spawn_engine(&mut self, id: &str, at: SocketAddr, args: &[&str]) -> io::Result<()> {
        let mut child = Command::new(std::env::current_exe()?)
            .arg("engine")
            .arg(id)
            .arg(at.to_string())
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child.stdout.take().expect("piped");
        let (events, record, name) = (Arc::clone(&self.events), self.record.clone(), id.to_owned());
        let (store, entries) = (self.store.clone(), Arc::clone(&self.entries));
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                record.add(&format!("engine  {name} {line}"));
                if line.starts_with("crashes") {
                    lapse(&store, &entries, &record, &name);
                }
                let words = line.split(' ').map(str::to_owned).collect();
                events.lock().unwrap().push(Event { at: record.ms(), engine: name.clone(), words });
            }
        });
        self.engines.insert(id.to_owned(), Engine { addr: at, child });
        let until = Instant::now() + Duration::from_secs(5);
        while net::get(at, "/v1/report", Duration::from_secs(1)).is_err() && Instant::now() < until {
            sleep(5);
        }
        Ok(())
    }

    /// Starts an engine of the plain service and registers it under the address `seen`.
    pub fn start_engine(&mut self, id: &str, at: SocketAddr, seen: SocketAddr, zone: &'static str, args: &[&str]) -> io::Result<()> {
        self.spawn_engine(id, at, args)?;
        self.write_entry(id, Entry::new(PLAIN, seen, zone));
        Ok(())
    }

    /// Kills an engine without notice. Its entry is removed after three heartbeats of silence.
    pub fn kill_engine(&mut self, id: &str) {
        let engine = self.engines.get_mut(id).expect("no such engine");
        let _ = engine.child.kill();
        let _ = engine.child.wait();
        self.record.add(&format!("engine  {id} killed"));
        lapse(&self.store, &self.entries, &self.record, id);
    }

    /// Returns what the engines have reported so far.
    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap().clone()
    }

    /// Returns the engines that ran a request so far.
    pub fn runs(&self, request: &str) -> Vec<String> {
        let events = self.events();
        let runs = events.iter().filter(|event| event.words[0] == "run" && event.words.get(1).is_some_and(|id| id == request));
        runs.map(|event| event.engine.clone()).collect()
    }

    pub fn write_config(&self, json: &str) {
        self.store.put("keyed.op", "config", json.as_bytes());
        self.record.add("store   op/config written");
    }

    /// Prepares `count` daemons of one zone each and starts them with the command of the deploy file.
    pub fn start_daemons(&mut self, count: usize) -> io::Result<()> {
        let ips: Vec<String> = (0..count).map(|at| format!("127.0.0.{}", 11 + at)).collect();
        // Ports are the same on all machines.
        let ports: Vec<u16> = (0..5).map(|_| free_port(&ips[0])).collect();
        let seeds: Vec<String> = ips.iter().map(|ip| format!("\"{ip}:{}\"", ports[2])).collect();
        let template = fs::read_to_string("deploy/settings.yaml")?;
        for (at, ip) in ips.iter().enumerate() {
            let name = format!("edge-{}-{}", ZONES[at % ZONES.len()], 1 + at / ZONES.len());
                let text = template
                .replace("{{nodeName}}", &name)
                .replace("{{zone}}", ZONES[at % ZONES.len()])
                .replace("{{listen.frontend}}", &format!("{ip}:{}", ports[0]))
                .replace("{{listen.ready}}", &format!("{ip}:{}", ports[1]))
                .replace("{{listen.controlPlane}}", &format!("{ip}:{}", ports[2]))
                .replace("{{listen.directoryAddr}}", &format!("{ip}:{}", ports[3]))
                .replace("{{internalPorts.0}}", &ports[4].to_string())
                .replace("{{ip}}", ip)
                .replace("{{seeds|json}}", &format!("[{}]", seeds.join(",")))
                .replace("{{platform.address}}", &self.store_addr.to_string())
                .replace("{{limits.cpuShare}}", "0.17")
                .replace("{{bounds.graceS}}", "8")
                .replace("{{bounds.retryBudgetRatio}}", "0.2")
                .replace("{{bounds.retryBudgetExtra}}", "425")
                .replace("{{bounds.configApplyMs}}", "2000")
                .replace("{{bounds.budgetWindowS}}", "10")
                .replace("{{bounds.ttl_max_s}}", "5");
            let settings = self.dir.join(format!("{name}.yaml"));
            fs::write(&settings, text)?;
            let child = self.spawn_daemon(&name, &settings)?;
            self.daemons.push(Daemon {
                front: addr(ip, ports[0]),
                ready: addr(ip, ports[1]),
                child,
            });
        }
        Ok(())
    }

    fn spawn_daemon(&self, name: &str, settings: &PathBuf) -> io::Result<Child> {
        self.record.add(&format!("daemon  {name} started"));
        let log = self.dir.join(format!("{name}.log"));
        let mut command = match self.descriptors {
            // The platform limits the descriptors of each process; the shell sets that limit and is replaced.
            Some(count) => {
                let mut shell = Command::new("sh");
                shell.arg("-c").arg(format!("ulimit -n {count} && exec {DAEMON}"));
                shell
            }
            None => Command::new(DAEMON),
        };
        command
            .env("CORNELWHARF_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(log_to_file(&log))
            .spawn()
    }

    pub fn is_ready(&self, at: usize) -> bool {
        net::get(self.daemons[at].ready, "/v1/readyz", Duration::from_secs(1)).is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until all daemons say that they are ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        loop {
            if (0..self.daemons.len()).all(|at| self.is_ready(at)) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            sleep(50);
        }
    }
}

pub const ZONES: [&str; 3] = ["zone-portland", "zone-worcester", "zone-hartford"];

impl Drop for World {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            signal(&daemon.child, "CONT");
            let _ = daemon.child.kill();
            let _ = daemon.child.wait();
        }
        for engine in self.engines.values_mut() {
            let _ = engine.child.kill();
            let _ = engine.child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        } else {
            eprintln!("kept {}", self.dir.display());
        }
    }
}

/// Returns a configuration with routes to plain services: name, path prefix, kind and time limit of
/// each route, all to the service `swap-ledger`.
pub fn plain_config(version: u64, routes: &[(&str, &str, &str, u64, u32)]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(name, prefix, kind, timeout, attempts)| {
            format!(
                "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\"routeType\":\"{kind}\",\
                 \"timeoutMs\":{timeout},\"targetLatencyMs\":150,\"priority\":2,\"service\":\"swap-ledger\",\
                 \"maxAttempts\":{attempts},\"public\":false,\"sessionAffinity\":false,\"streamResume\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"swap-ledger\",\"healthPath\":\"/healthz\",\
         \"maxConnections\":208,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"{TENANT}\",\
         \"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

/// What a client saw of a request.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// 0 if there was no answer.
    pub status: u16,
    pub signed: bool,
    pub whole: bool,
    pub body: Vec<u8>,
    /// When it was sent, and how long it took until the answer, the close or the client's leaving.
    pub sent: u64,
    pub took: u64,
    pub left: bool,
}

/// Sends a request on a new connection; the client leaves after `patience` milliseconds.
pub fn call(record: &Record, front: SocketAddr, method: &str, path: &str, id: &str, deadline: u64, patience: u64, body: &[u8]) -> Seen {
    let mut seen = Seen { sent: record.ms(), ..Seen::default() };
    let start = Instant::now();
    let answer = (|| -> io::Result<Option<net::Message>> {
        let mut conn = net::Conn::open(front)?;
        let mut text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline}\r\n\
             Authorization: Token {KEY}\r\n"
        );
        if method == "POST" {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        conn.stream.set_read_timeout(Some(Duration::from_millis(patience)))?;
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        conn.write(&bytes)?;
        conn.message(true)
    })();
    seen.took = start.elapsed().as_millis() as u64;
    match answer {
        Ok(Some(answer)) => {
            seen.status = answer.status();
            seen.signed = answer.header("x-server-signature").is_some();
            seen.whole = answer.whole;
            seen.body = answer.body;
        }
        Ok(None) => {}
        Err(error) => seen.left = matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut),
    }
    let what = match seen.status {
        0 if seen.left => "no answer, client left".to_owned(),
        0 => "connection ended without an answer".to_owned(),
        status => format!("{status}{}{} {} bytes", if seen.signed { " signed" } else { "" }, if seen.whole { "" } else { " incomplete" }, seen.body.len()),
    };
    record.add(&format!("client  {id} sent at {} to {front}: {what} after {} ms", seen.sent, seen.took));
    seen
}
