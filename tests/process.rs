//! Inspects a running daemon process for what the VMs forbid: `io_uring` and child processes.

#![expect(clippy::disallowed_types, reason = "only the test starts a process")]

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

/// How many times to try to connect to the daemon before the test fails.
const TRIES: u32 = 600;
/// How long to wait between two tries.
const RETRY_DELAY_MS: u64 = 100;

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
            std::thread::sleep(std::time::Duration::from_millis(RETRY_DELAY_MS));
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

#[test]
fn daemon_without_the_log_is_not_ready() {
    let daemon = Daemon::start();
    assert_eq!(daemon.get("/readyz"), "HTTP/1.1 503 Service Unavailable");
}
