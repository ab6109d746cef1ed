//! Starts a daemon: its core, listening sockets and background tasks.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;

use crate::clock::Clock;
use crate::clock::Millis;
use crate::consts::TICK_INTERVAL;
use crate::core::daemon::Core;
use crate::core::daemon::Event;
use crate::core::daemon::Message;
use crate::core::daemon::Setup;
use crate::core::member::ListedVm;
use crate::core::member::message::Member;
use crate::settings::Settings;

use super::peer;
use super::peer::AuthError;
use super::peer::Greeting;
use super::peer::Links;
use super::platform::Platform;
use super::platform::wire::VmEntry;
use super::pool::Pool;
use super::serve;
use super::shell::Shell;

/// The interval between two reads of the platform's list of VMs.
const LIST_INTERVAL: Millis = Millis::seconds(20);
/// How long to wait after a failed read of the list of VMs.
const LIST_RETRY_DELAY: Millis = Millis::seconds(1);

/// How long a daemon has no request before it exits. Its listener is closed by then, and each answer
/// ended its connection, so this covers what is on the way over those.
const EXIT_QUIET: Millis = Millis(150);

/// Why a daemon cannot start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// The address for callers or for peers cannot be bound.
    #[display("an address cannot be bound: {_0}")]
    Bind(std::io::Error),
    /// The greeting for other daemons cannot be created: there are no random bytes for its
    /// challenge.
    #[display("{_0}")]
    Greet(AuthError),
}

/// Starts a daemon on the current event loop and returns its shell. The boot number is the clock's
/// time.
///
/// # Errors
///
/// Fails if an address cannot be bound or the operating system provides no random bytes.
pub fn start(settings: &Settings, clock: Clock) -> Result<Shell, StartError> {
    let boot = clock.now().0;
    let secret: Rc<str> = settings.secret.as_str().into();
    let core = Core::new(setup(settings, boot));
    let pool = Pool::new(clock);
    let platform = Platform::new(settings.platform, pool.clone());
    let links = Links::new(settings.vm.clone(), boot, Rc::clone(&secret));
    let shell = Shell::new(clock, core, platform, links, pool);
    let own = Greeting::new(settings.vm.clone(), boot)?;
    let deliver = {
        let shell = shell.clone();
        move |from: &Greeting, frame: Bytes| deliver(&shell, from, &frame)
    };
    peer::listen(settings.peer, own, secret, deliver)?;
    serve::listen(settings.caller, shell.clone())?;
    monoio::spawn(tick(shell.clone()));
    monoio::spawn(poll_vms(shell.clone()));
    Ok(shell)
}

/// Waits until the daemon may exit: `stop` starts its shutdown, the core then asks for the exit, and
/// the last requests are answered.
pub async fn wait(shell: &Shell, stop: Arc<AtomicBool>) {
    let mut last_open = shell.now();
    while shell.now().since(last_open) < EXIT_QUIET {
        monoio::time::sleep(TICK_INTERVAL.duration()).await;
        if stop.load(Ordering::Relaxed) {
            shell.stop();
        }
        if !shell.should_exit() || shell.open_requests() > 0 {
            last_open = shell.now();
        }
    }
}

fn setup(settings: &Settings, boot: u64) -> Setup {
    Setup {
        me: Member {
            vm: settings.vm.clone(),
            domain: settings.domain.clone(),
            peer: settings.peer,
            caller: settings.caller,
            boot,
        },
        operators: settings.operators.clone(),
        shards: settings.shards,
        opaque: settings.opaque,
        seed: rand::random(),
    }
}

fn deliver(shell: &Shell, from: &Greeting, frame: &[u8]) {
    match peer::decode(frame) {
        Ok(body) => shell.feed(Event::Peer(Message {
            from: from.vm.clone(),
            body,
        })),
        Err(error) => log::debug!(vm:% = from.vm, error:% = error; "message_dropped"),
    }
}

async fn tick(shell: Shell) {
    loop {
        shell.feed(Event::Tick);
        monoio::time::sleep(TICK_INTERVAL.duration()).await;
    }
}

async fn poll_vms(shell: Shell) {
    loop {
        let delay = match shell.platform().vms().await {
            Ok(list) => {
                shell.feed(Event::VmsListed(
                    list.vms.into_iter().map(to_listed).collect(),
                ));
                LIST_INTERVAL
            }
            Err(_) => LIST_RETRY_DELAY,
        };
        monoio::time::sleep(delay.duration()).await;
    }
}

fn to_listed(entry: VmEntry) -> ListedVm {
    ListedVm {
        vm: entry.vm,
        domain: entry.domain,
        peer: entry.peer,
        caller: entry.caller,
        leaving: entry.leaving,
    }
}
