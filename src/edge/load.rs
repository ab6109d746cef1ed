//! This VM's load on engines, and its exchange with the other VMs over the gossip socket
//! (docs/design/room.md).

use std::net::SocketAddr;
use std::rc::Rc;

use monoio::net::udp::UdpSocket;

use super::startup;
use super::startup::Step;
use super::state::Edge;
use crate::core::load::LoadMessage;
use crate::core::load::NameHash;
use crate::core::load::REPORT_INTERVAL;
use crate::core::pipe::Demand;
use crate::core::pipe::Part;
use crate::core::pipe::link_name;

/// Sends this VM's load to its hub, and what it owes other VMs if it is a hub, periodically.
pub async fn run(edge: Edge, socket: Rc<UdpSocket>) {
    let mut hub = None;
    loop {
        let planned = edge.now() + REPORT_INTERVAL;
        monoio::time::sleep(REPORT_INTERVAL.duration()).await;
        let now = edge.now();
        edge.record_loop_delay(now.since(planned));
        let hubs = edge.fleet(|fleet| fleet.hubs(now));
        let me = edge.settings().peer;
        let is_alone = edge.fleet(|fleet| fleet.is_alone(now));
        let messages =
            edge.load(|exchange| exchange.next_messages(now, &me, &hubs.near, &hubs.far, is_alone));
        let chosen = edge.load(|exchange| exchange.hub().copied());
        if chosen != hub {
            log::info!(hub:? = chosen, near:? = hubs.near, far:? = hubs.far; "hub_chosen");
            hub = chosen;
        }
        for (addr, message) in messages {
            send(&edge, &socket, addr, &message).await;
        }
    }
}

async fn send(edge: &Edge, socket: &UdpSocket, to: SocketAddr, message: &LoadMessage) {
    let bytes = match message.encode() {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!(error:% = error; "load_not_encoded");
            return;
        }
    };
    if let (Err(error), _) = socket.send_to(bytes, to).await {
        edge.metrics().count_load_message("not_sent");
        log::debug!(to:% = to, error:% = error; "load_not_sent");
    }
}

/// Merges a message if the bytes are one; returns whether they are.
pub fn receive(edge: &Edge, from: SocketAddr, bytes: &[u8]) -> bool {
    match LoadMessage::decode(bytes) {
        Some(Ok(message)) => {
            let now = edge.now();
            edge.load(|exchange| exchange.receive(now, from, message));
            if edge.load(|exchange| exchange.age(now)).is_some() {
                startup::record(edge, Step::Load, "peer");
            }
        }
        Some(Err(error)) => {
            edge.metrics().count_load_message("dropped");
            log::debug!(from:% = from, error:% = error; "load_dropped");
        }
        None => return false,
    }
    true
}

/// Counts the prompt of a request on the links that its path crosses, until it has passed or this is
/// dropped.
#[derive(Debug)]
pub struct LinkGuard {
    edge: Edge,
    links: Vec<NameHash>,
    tokens: u64,
}

impl LinkGuard {
    /// Adds a prompt to the links that a path crosses at engines that are not in `old`, the path before.
    pub fn begin(edge: &Edge, path: &[Part], old: &[Part], prompt: f64) -> Self {
        let is_new = |part: &Part| !old.iter().any(|known| known.addr == part.addr);
        let links: Vec<NameHash> = edge.roster(|roster| {
            let crossed = path.windows(2).filter_map(|pair| {
                let [from, to] = pair else { return None };
                let (a, b) = (
                    roster.domain_of(&from.endpoint)?,
                    roster.domain_of(&to.endpoint)?,
                );
                (a != b && (is_new(from) || is_new(to))).then(|| link_name(a, b))
            });
            crossed.collect()
        });
        let tokens = prompt as u64;
        edge.load(|exchange| {
            for link in &links {
                exchange.begin_request(*link, false, tokens);
            }
        });
        Self {
            edge: edge.clone(),
            links,
            tokens,
        }
    }
}

impl Drop for LinkGuard {
    fn drop(&mut self) {
        self.edge.load(|exchange| {
            for link in &self.links {
                exchange.end_request(*link, false, self.tokens);
            }
        });
    }
}

/// Counts a request as load on the engines of its path until dropped.
#[derive(Debug)]
pub struct LoadGuard {
    edge: Edge,
    tokens: u32,
    /// Each engine with whether the path begins there, and the request's tokens times the layers that
    /// it runs.
    parts: Vec<(NameHash, bool, u64)>,
}

impl LoadGuard {
    /// Adds a request to the load of its engines and of this VM.
    pub fn begin(edge: &Edge, path: &[Part], demand: Demand) -> Self {
        let tokens = demand.prompt + demand.answer;
        let claim = |(index, part): (usize, &Part)| {
            let cells = tokens * f64::from(part.span.len());
            (NameHash::of(&part.endpoint), index == 0, cells as u64)
        };
        let parts: Vec<_> = path.iter().enumerate().map(claim).collect();
        edge.load(|exchange| {
            for (engine, leading, cells) in &parts {
                exchange.begin_request(*engine, *leading, *cells);
            }
        });
        let tokens = tokens as u32;
        edge.fleet(|fleet| fleet.me().load += tokens);
        Self {
            edge: edge.clone(),
            tokens,
            parts,
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.edge.fleet(|fleet| {
            let load = &mut fleet.me().load;
            *load = load.saturating_sub(self.tokens);
        });
        self.edge.load(|exchange| {
            for (engine, leading, cells) in &self.parts {
                exchange.end_request(*engine, *leading, *cells);
            }
        });
    }
}
