//! Starting a daemon: sockets, timers, and the core between them.

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

/// How long to wait before the platform's list of VMs is asked for again.
const LIST_SPAN: Millis = Millis::seconds(20);
/// How long to wait if it was not answered.
const LIST_RETRY: Millis = Millis::seconds(1);

/// A daemon that cannot start.
#[derive(Debug, Display, Error, From)]
pub enum StartError {
    /// An address cannot be bound.
    #[display("an address cannot be bound: {_0}")]
    Bind(std::io::Error),
    /// The daemon cannot greet others.
    #[display("{_0}")]
    Greet(AuthError),
}

/// Starts a daemon on the running loop and returns its shell.
///
/// # Errors
///
/// Fails if an address cannot be bound.
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
    monoio::spawn(list(shell.clone()));
    Ok(shell)
}

/// Waits until the daemon may stop; `stop` asks it to.
pub async fn wait(shell: &Shell, stop: Arc<AtomicBool>) {
    let mut told = false;
    while !shell.exits() {
        monoio::time::sleep(TICK_INTERVAL.duration()).await;
        if stop.load(Ordering::Relaxed) && !told {
            told = true;
            shell.feed(Event::Stop);
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

async fn list(shell: Shell) {
    loop {
        let span = match shell.platform().vms().await {
            Ok(list) => {
                shell.feed(Event::VmsListed(list.vms.into_iter().map(listed).collect()));
                LIST_SPAN
            }
            Err(_) => LIST_RETRY,
        };
        monoio::time::sleep(span.duration()).await;
    }
}

fn listed(entry: VmEntry) -> ListedVm {
    ListedVm {
        vm: entry.vm,
        domain: entry.domain,
        peer: entry.peer,
        caller: entry.caller,
        leaving: entry.leaving,
    }
}
