//! Inspects a running daemon process for what the VMs forbid: `io_uring` and child processes.

#![expect(clippy::disallowed_types, reason = "only the test starts a process")]

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

/// How many times to try to connect to the daemon before the test fails.
const TRIES: u32 = 600;
/// How long to wait between two tries.
const RETRY_DELAY_MS: u64 = 100;

/// How long callers use a list of addresses (`ADDRESS_TTL`).
const LIST_LIFETIME: Duration = Duration::from_secs(5);
/// The pause of a caller between two requests.
const CALL_PAUSE: Duration = Duration::from_millis(2);

/// A daemon process, killed when this is dropped.
struct Daemon {
    child: Child,
    caller: SocketAddr,
    file: PathBuf,
}

impl Daemon {
    fn start() -> Self {
        let listeners: Vec<TcpListener> = (0..3)
            .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
            .collect();
        let addrs: Vec<SocketAddr> = listeners
            .iter()
            .map(|listener| listener.local_addr().expect("an address"))
            .collect();
        drop(listeners);
        let text = format!(
            "vm: vm-1\ndomain: salem\ncaller: {}\npeer: {}\nplatform: {}\nsecret: a-secret-of-the-fleet\n",
            addrs[0], addrs[1], addrs[2]
        );
        let name = format!("cornelwharf-process-{}.yaml", addrs[0].port());
        let file = std::env::temp_dir().join(name);
        std::fs::write(&file, text).expect("a file in the temporary folder");
        let child = Command::new(env!("CARGO_BIN_EXE_cornelwharfd"))
            .arg(&file)
            .stdout(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        Self {
            child,
            caller: addrs[0],
            file,
        }
    }

    /// Waits until the daemon accepts connections, sends a request and returns the status line.
    fn get(&self, path: &str) -> String {
        for _ in 0..TRIES {
            if let Ok(mut stream) = TcpStream::connect(self.caller) {
                let request = format!("GET {path} HTTP/1.1\r\nconnection: close\r\n\r\n");
                stream
                    .write_all(request.as_bytes())
                    .expect("the request is sent");
                let mut answer = String::new();
                stream
                    .read_to_string(&mut answer)
                    .expect("an answer arrives");
                return answer.lines().next().unwrap_or_default().to_owned();
            }
            std::thread::sleep(Duration::from_millis(RETRY_DELAY_MS));
        }
        panic!("the daemon does not accept connections");
    }

    fn proc_path(&self, path: &str) -> PathBuf {
        PathBuf::from(format!("/proc/{}/{path}", self.child.id()))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

#[test]
fn daemon_uses_no_io_uring_and_no_child_process() {
    let daemon = Daemon::start();
    assert_eq!(daemon.get("/healthz"), "HTTP/1.1 200 OK");
    let links: Vec<String> = std::fs::read_dir(daemon.proc_path("fd"))
        .expect("the descriptors can be listed")
        .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
        .map(|link| link.display().to_string())
        .collect();
    assert!(
        links.iter().any(|link| link.contains("eventpoll")),
        "{links:?}"
    );
    assert!(
        !links.iter().any(|link| link.contains("io_uring")),
        "{links:?}"
    );
    let pid = daemon.child.id();
    let children = std::fs::read_to_string(daemon.proc_path(&format!("task/{pid}/children")));
    assert_eq!(children.unwrap_or_default().trim(), "");
    let status =
        std::fs::read_to_string(daemon.proc_path("status")).expect("the status can be read");
    assert!(
        status.contains("Threads:\t1\n"),
        "one loop on one thread: {status}"
    );
}

/// Sends requests one after the other, over one connection while the daemon keeps it, until it takes
/// no connection or the caller's list of addresses has expired; returns how many were served and how
/// many got no answer.
fn call_until_gone(daemon: SocketAddr, stopped: &OnceLock<Instant>) -> (u32, u32) {
    let (mut served, mut cut) = (0, 0);
    let has_expired = || stopped.get().is_some_and(|at| at.elapsed() > LIST_LIFETIME);
    while !has_expired() {
        let Ok(stream) = TcpStream::connect(daemon) else {
            break;
        };
        let mut reader = BufReader::new(stream);
        loop {
            let sent = reader.get_mut().write_all(b"GET /healthz HTTP/1.1\r\n\r\n");
            let mut head = String::new();
            while sent.is_ok() && !head.ends_with("\r\n\r\n") {
                if !matches!(reader.read_line(&mut head), Ok(1..)) {
                    break;
                }
            }
            let mut body = [0; 3];
            if !head.ends_with("\r\n\r\n") || reader.read_exact(&mut body).is_err() {
                cut += 1;
                break;
            }
            served += 1;
            if head.contains("connection: close") {
                break;
            }
            std::thread::sleep(CALL_PAUSE);
        }
    }
    (served, cut)
}

#[test]
fn a_stop_under_load_cuts_no_request_off() {
    let daemon = Daemon::start();
    assert_eq!(daemon.get("/healthz"), "HTTP/1.1 200 OK");
    let stopped = Arc::new(OnceLock::new());
    let callers: Vec<_> = (0..16)
        .map(|_| {
            let (addr, stopped) = (daemon.caller, Arc::clone(&stopped));
            std::thread::spawn(move || call_until_gone(addr, &stopped))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(1));
    let id = daemon.child.id().to_string();
    let sent = Command::new("kill").args(["-s", "TERM", &id]).status();
    assert!(sent.expect("kill runs").success());
    stopped.set(Instant::now()).expect("one stop");
    let counts = callers
        .into_iter()
        .map(|caller| caller.join().expect("counts"));
    let (served, cut) = counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1));
    assert!(served > 100, "{served} served");
    assert_eq!(cut, 0, "of {served}");
}

#[test]
fn daemon_without_the_log_is_not_ready() {
    let daemon = Daemon::start();
    assert_eq!(daemon.get("/readyz"), "HTTP/1.1 503 Service Unavailable");
}
