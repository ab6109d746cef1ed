//! A daemon in a process of its own, which can be paused and stopped.

#![expect(clippy::disallowed_types, reason = "a pause and a stop need a process")]

use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use cornelwharf::edge;
use cornelwharf::edge::settings::Settings;
use cornelwharf::standin::fleet::dialect;

/// Holds the settings of a daemon that a process of this file is to run.
const SETTINGS: &str = "CORNELWHARF_TEST_DAEMON";

/// A process with a daemon, killed when this is dropped.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
}

impl Daemon {
    pub fn start(settings: &str) -> Self {
        let program = std::env::current_exe().expect("this program");
        let child = Command::new(program)
            .args(["--exact", "fleet::daemon_process", "--nocapture"])
            .env(SETTINGS, settings)
            .stdout(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        Self { child }
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Returns whether the process has ended by itself.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The daemon of another test, if the environment has its settings.
#[test]
fn daemon_process() {
    if let Ok(text) = std::env::var(SETTINGS) {
        let settings = Settings::parse(&text).expect("settings");
        edge::run(settings, dialect()).expect("a daemon");
    }
}
