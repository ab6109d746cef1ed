//! The daemon of an entry VM on a platform of its users: callers, endpoints, store and peers.
//!
//! Every decision is made in the core ([`crate::core::site`], [`crate::core::roster`],
//! [`crate::core::pipe`], [`crate::core::fleet`], [`crate::core::attempt`]); what the platform
//! calls things is in the [`dialect`] that the program brings (docs/PLATFORM.md).

mod call;
pub mod dialect;
mod engine;
mod feed;
mod forward;
mod front;
mod gossip;
mod mend;
mod metrics;
mod orders;
mod registry;
mod relay;
pub mod settings;
mod state;
mod store;

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

pub use self::state::Edge;
pub use self::store::StoreError;
use crate::clock::Millis;
use crate::consts::TICK_SPAN;

/// How long a stopping daemon goes on accepting: callers keep its address for a while.
pub const ACCEPT_SPAN: Millis = Millis(3500);
/// How much of the time to the kill is left over for the exit.
const EXIT_SPAN: Millis = Millis(700);

/// Starts a daemon on the running loop.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub fn start(edge: &Edge) -> io::Result<()> {
    let settings = edge.settings();
    registry::start(edge)?;
    gossip::start(edge)?;
    front::start(edge)?;
    monoio::spawn(feed::config(edge.clone()));
    monoio::spawn(feed::roster(edge.clone()));
    monoio::spawn(feed::peers(edge.clone()));
    monoio::spawn(orders::run(edge.clone()));
    monoio::spawn(mend::probe(edge.clone()));
    log::info!(vm:% = settings.vm, domain:% = settings.domain, front:% = settings.front; "started");
    Ok(())
}

/// Waits until the daemon may exit; `stop` asks it to, `reload` says that the settings changed.
pub async fn wait(edge: &Edge, stop: Arc<AtomicBool>, reload: Arc<AtomicBool>) {
    let grace = edge.settings().bounds.grace() - EXIT_SPAN;
    loop {
        monoio::time::sleep(TICK_SPAN.duration()).await;
        if reload.swap(false, Ordering::Relaxed) {
            log::info!(open = edge.open(); "reload");
        }
        if stop.load(Ordering::Relaxed) && edge.stopping().is_none() {
            log::info!(open = edge.open(); "stopping");
            edge.stop();
        }
        if let Some(span) = edge.stopping() {
            let idle = edge.open() == 0 && span >= ACCEPT_SPAN;
            if idle || span >= grace {
                log::info!(open = edge.open(); "stopped");
                return;
            }
        }
    }
}
