//! The edge daemon, which runs on the entry VMs of a platform: it serves callers, relays their
//! requests to endpoints, follows the store and exchanges state with its peers.
//!
//! Every decision is made in the core ([`crate::core::site`], [`crate::core::roster`],
//! [`crate::core::pipe`], [`crate::core::fleet`], [`crate::core::attempt`]). The platform's message
//! formats are in the [`dialect`], which the program supplies (docs/PLATFORM.md).

mod bars;
mod call;
mod context;
mod detour;
pub mod dialect;
mod engine;
mod entry;
mod feed;
mod forward;
mod front;
mod gossip;
mod load;
mod metrics;
mod news;
mod notice;
mod orders;
mod parts;
mod paths;
mod placement;
mod plain;
mod probe;
mod reach;
mod registry;
mod relay;
mod retry;
pub mod settings;
mod startup;
mod state;
mod store;
mod suspect;

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGTERM;

use self::dialect::Dialect;
pub use self::front::serve;
use self::settings::Settings;
pub use self::state::Edge;
pub use self::store::StoreError;
use crate::clock::Clock;
use crate::clock::Millis;
use crate::consts::TICK_INTERVAL;
use crate::io::log as io_log;
use crate::io::log::LogError;
use crate::io::runtime;

/// How long a stopping daemon takes connections. The requests on those of the last part are refused with
/// the time to come back, so that few callers still connect when the listener closes.
const LISTEN_AFTER_STOP: Millis = Millis(3000);
/// How long a stopping daemon has no request before it exits. Its listener is closed by then, and each
/// answer ended its connection, so this covers what is on the way over those.
const EXIT_QUIET: Millis = Millis(150);
/// The end of the grace period by which the daemon exits whatever is still open; the requests were
/// answered before ([`END_MARGIN`](crate::core::stop::END_MARGIN)).
const EXIT_MARGIN: Millis = Millis(150);

/// An error that keeps a daemon from running.
#[derive(Debug, Display, Error, From)]
pub enum RunError {
    /// An address cannot be bound, a signal handler cannot be registered, or the event loop cannot
    /// be created.
    #[display("{_0}")]
    Io(io::Error),
    /// Logging cannot be started.
    #[display("{_0}")]
    Log(LogError),
    /// The system provides no random seed.
    #[display("no random seed: {_0}")]
    Seed(getrandom::Error),
}

/// Runs a daemon until it has stopped after SIGTERM.
///
/// # Errors
///
/// Fails if an address cannot be bound or the process cannot be set up.
pub fn run(settings: Settings, dialect: Dialect) -> Result<(), RunError> {
    let clock = Clock::start();
    io_log::start(clock, log::LevelFilter::Info)?;
    let stop = Arc::new(AtomicBool::new(false));
    let reload = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGTERM, Arc::clone(&stop))?;
    signal_hook::flag::register(SIGHUP, Arc::clone(&reload))?;
    let seed = getrandom::u64()?;
    runtime::run(async {
        let edge = Edge::new(settings, dialect, clock, seed);
        start(&edge)?;
        wait(&edge, stop, reload).await;
        Ok(())
    })?
}

/// Starts a daemon's tasks on the running event loop.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub fn start(edge: &Edge) -> io::Result<()> {
    let settings = edge.settings();
    registry::start(edge)?;
    gossip::start(edge)?;
    front::start(edge)?;
    monoio::spawn(feed::follow_config(edge.clone()));
    monoio::spawn(feed::follow_endpoints(edge.clone()));
    monoio::spawn(news::poll_peers(edge.clone()));
    monoio::spawn(placement::run(edge.clone()));
    monoio::spawn(probe::run(edge.clone()));
    monoio::spawn(reach::run(edge.clone()));
    monoio::spawn(suspect::expire(edge.clone()));
    monoio::spawn(entry::run(edge.clone()));
    monoio::spawn(notice::watch_limits(edge.clone()));
    monoio::spawn(bars::read(edge.clone()));
    monoio::spawn(bars::restore(edge.clone()));
    log::info!(vm:% = settings.vm, domain:% = settings.domain, front:% = settings.front; "started");
    Ok(())
}

/// Waits until the daemon may exit: `stop` starts its shutdown, and `reload` is only logged.
pub async fn wait(edge: &Edge, stop: Arc<AtomicBool>, reload: Arc<AtomicBool>) {
    let grace = edge.settings().bounds.grace() - EXIT_MARGIN;
    let mut last_open = edge.now();
    loop {
        monoio::time::sleep(TICK_INTERVAL.duration()).await;
        if reload.swap(false, Ordering::Relaxed) {
            log::info!(open = edge.open_requests(); "reload");
        }
        if stop.load(Ordering::Relaxed) && edge.stopping().is_none() {
            log::info!(open = edge.open_requests(); "stopping");
            edge.stop();
        }
        if let Some(span) = edge.stopping() {
            if edge.open_requests() > 0 || span <= LISTEN_AFTER_STOP {
                last_open = edge.now();
            }
            let idle = edge.now().since(last_open) >= EXIT_QUIET;
            if idle || span >= grace {
                log::info!(open = edge.open_requests(); "stopped");
                return;
            }
        }
    }
}
