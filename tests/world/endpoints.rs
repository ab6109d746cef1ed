//! Fakes of model engines and plain services.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cornelwharf::clock::Millis;
use cornelwharf::core::config::object::Layers;
use cornelwharf::core::daemon::Event;
use cornelwharf::core::daemon::LoadReport;
use cornelwharf::core::daemon::PlainAnswer;
use cornelwharf::core::daemon::PlainFault;
use cornelwharf::core::once;
use cornelwharf::core::session;
use cornelwharf::core::session::event::Fault;
use cornelwharf::core::session::event::Health;
use cornelwharf::core::session::event::HopKey;
use cornelwharf::core::session::event::RequestId;
use cornelwharf::core::session::wire::Hop;
use cornelwharf::core::session::wire::HopReply;
use cornelwharf::core::session::wire::Input;
use cornelwharf::core::session::wire::Output;
use cornelwharf::core::session::wire::Release;
use cornelwharf::core::session::wire::SessionId;
use cornelwharf::names::EndpointName;

use super::LINK;
use super::World;
use super::take;

/// How long an endpoint takes for a call or a hop.
const WORK: Millis = Millis(10);
/// How much longer a slow one takes.
const SLOW: Millis = Millis(700);
/// How long the daemon's side of a dead connection waits to be told.
const CUT: Millis = Millis(5);

/// A fake of an endpoint.
#[derive(Default)]
pub struct Endpoint {
    pub layers: Option<Layers>,
    pub total: u32,
    pub down: bool,
    /// It accepts connections and cuts them.
    pub cut: bool,
    pub leaving: bool,
    pub boot: u64,
    kv: BTreeMap<(SessionId, u32), Kv>,
}

/// What an engine remembers of an attempt.
#[derive(Clone, Default)]
struct Kv {
    next: u32,
    tokens: Vec<u32>,
}

/// What the next calls or hops meet, wherever they go.
#[derive(Default)]
pub struct Switches {
    /// They run, and no answer comes.
    pub silent: u32,
    /// They run, and the connection breaks.
    pub broken: u32,
    /// They are refused unrun.
    pub refuse: u32,
    /// They are answered late.
    pub slow: u32,
    /// They are answered twice.
    pub double: u32,
    /// Their answers name another attempt.
    pub cross: u32,
}

/// All endpoints, and the receipts that they gave.
#[derive(Default)]
pub struct Endpoints {
    pub all: BTreeMap<SocketAddr, Endpoint>,
    pub next: Switches,
    /// The endpoint that was used last.
    pub last: Option<SocketAddr>,
    receipts: BTreeMap<(RequestId, u32), u64>,
    count: u64,
}

/// Returns the activations of the tokens so far before the first layer.
pub fn embed(seed: u64, token: u32, tokens: &[u32]) -> u64 {
    tokens.iter().fold(seed ^ u64::from(token), |value, token| {
        mix(value, u64::from(*token))
    })
}

/// Applies one layer.
pub fn layer(value: u64, layer: u32) -> u64 {
    mix(value, 1 + u64::from(layer))
}

pub fn token(value: u64) -> u32 {
    (value >> 40) as u32 % 26 + 97
}

fn mix(value: u64, with: u64) -> u64 {
    (value.rotate_left(13) ^ with).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

impl Endpoints {
    pub fn receipt(&self, id: RequestId, attempt: u32) -> Option<u64> {
        self.receipts.get(&(id, attempt)).copied()
    }

    /// Returns the replies to a hop that has run, one for each of its tokens.
    fn replies(&mut self, addr: SocketAddr, hop: &Hop, value: u64) -> Vec<HopReply> {
        let Some(endpoint) = self.all.get_mut(&addr) else {
            return Vec::new();
        };
        let whole = hop.layers.to == endpoint.total;
        let reply = |at: u32, output| HopReply {
            session: hop.session,
            attempt: hop.attempt,
            token: hop.token + at,
            layers: hop.layers,
            output,
        };
        if !whole {
            return vec![reply(
                0,
                Output::State {
                    data: value.to_string(),
                },
            )];
        }
        let mut value = value;
        let mut replies = Vec::new();
        for at in 0..hop.steps.max(1) {
            let drawn = token(value);
            replies.push(reply(
                at,
                Output::Token {
                    value: drawn,
                    end: false,
                },
            ));
            if let Some(kv) = endpoint.kv.get_mut(&(hop.session, hop.attempt))
                && hop.steps > at + 1
            {
                kv.tokens.push(drawn);
                kv.next += 1;
                let start = embed(hop.seed, hop.token + at + 1, &kv.tokens);
                value = (0..hop.layers.to).fold(start, layer);
            }
        }
        replies
    }

    pub fn release(&mut self, addr: SocketAddr, release: Release) {
        if let Some(endpoint) = self.all.get_mut(&addr) {
            let kept = |key: &(SessionId, u32)| key.0 != release.session || key.1 > release.attempt;
            endpoint.kv.retain(|key, _| kept(key));
        }
    }
}

impl Endpoint {
    pub fn new(layers: Option<Layers>, total: u32) -> Self {
        Self {
            layers,
            total,
            boot: 1,
            ..Self::default()
        }
    }

    pub fn crash(&mut self) {
        self.boot += 1;
        self.kv.clear();
    }

    /// Runs the layers of a hop; `Err` is why it does not.
    fn run(&mut self, hop: &Hop) -> Result<(u64, Kv), Fault> {
        let held = self.layers.ok_or(Fault::Invalid)?;
        if hop.layers.from < held.from || hop.layers.to > held.to {
            return Err(Fault::Invalid);
        }
        let key = (hop.session, hop.attempt);
        let old = self.kv.get(&key).cloned();
        if old.is_none() && self.leaving {
            return Err(Fault::Refused);
        }
        let first = old.is_none();
        let mut kv = old.unwrap_or_default();
        let value = match &hop.input {
            Input::Prompt { tokens } => {
                kv.tokens.clone_from(tokens);
                embed(hop.seed, hop.token, &kv.tokens)
            }
            _ if first
                && !matches!(&hop.input, Input::State { positions, .. } if *positions > 1 || hop.token == 0) =>
            {
                return Err(Fault::CacheLost);
            }
            _ if !first && kv.next != hop.token => return Err(Fault::CacheLost),
            Input::Token { value } => {
                kv.tokens.push(*value);
                embed(hop.seed, hop.token, &kv.tokens)
            }
            Input::State { data, .. } => data.parse().map_err(|_| Fault::Invalid)?,
        };
        kv.next = hop.token + 1;
        Ok(((hop.layers.from..hop.layers.to).fold(value, layer), kv))
    }
}

impl World {
    fn work(&mut self, node: usize, addr: SocketAddr) {
        let apart = self.nodes[node].apart.is_some();
        self.ledger.work(self.now, addr, apart);
    }

    pub fn call_endpoint(
        &mut self,
        node: usize,
        boot: u64,
        id: RequestId,
        attempt: u32,
        addr: SocketAddr,
        span: Millis,
    ) {
        self.step("send");
        self.endpoints.last = Some(addr);
        let Some(endpoint) = self.endpoints.all.get_mut(&addr) else {
            return;
        };
        let failed = |fault| Event::Failed { id, attempt, fault };
        if endpoint.down {
            self.answer(node, boot, LINK, failed(PlainFault::Unsent));
            return;
        }
        if endpoint.cut {
            self.answer(node, boot, CUT, failed(PlainFault::Broken));
            return;
        }
        self.work(node, addr);
        if take(&mut self.endpoints.next.refuse) {
            let answer = PlainAnswer {
                refused: true,
                record: None,
            };
            let event = Event::Answered {
                id,
                attempt,
                answer,
            };
            self.answer(node, boot, WORK, event);
            return;
        }
        let silent = take(&mut self.endpoints.next.silent);
        let broken = take(&mut self.endpoints.next.broken);
        let slow = take(&mut self.endpoints.next.slow);
        self.endpoints.count += 1;
        let receipt = self.endpoints.count;
        self.endpoints.receipts.insert((id, attempt), receipt);
        self.ledger.effect(id, receipt);
        let record = once::Answer::Small {
            status: 200,
            headers: Vec::new(),
            body: bytes::Bytes::from(receipt.to_string()).into(),
        };
        let answer = PlainAnswer {
            refused: false,
            record: Some(record),
        };
        let (delay, event) = if silent {
            (span, failed(PlainFault::Silent))
        } else if broken {
            (WORK, failed(PlainFault::Broken))
        } else {
            let delay = if slow { SLOW + WORK } else { WORK };
            (
                delay,
                Event::Answered {
                    id,
                    attempt,
                    answer,
                },
            )
        };
        self.answer(node, boot, delay, event);
    }

    pub fn hop(&mut self, node: usize, boot: u64, id: RequestId, addr: SocketAddr, hop: &Hop) {
        self.step("hop");
        let key = hop.key();
        let fault = |fault| Event::Session(session::Event::Failed { id, key, fault });
        self.endpoints.last = Some(addr);
        let Some(endpoint) = self.endpoints.all.get_mut(&addr) else {
            return;
        };
        if endpoint.down {
            self.answer(node, boot, CUT, fault(Fault::Unreachable));
            return;
        }
        if endpoint.cut {
            self.answer(node, boot, CUT, fault(Fault::Broken));
            return;
        }
        if take(&mut self.endpoints.next.refuse) {
            self.answer(node, boot, CUT, fault(Fault::Refused));
            return;
        }
        let run = endpoint.run(hop);
        let (value, kv) = match run {
            Ok(run) => run,
            Err(why) => {
                self.answer(node, boot, CUT, fault(why));
                return;
            }
        };
        endpoint.kv.insert((hop.session, hop.attempt), kv);
        self.ledger.layers(hop);
        if take(&mut self.endpoints.next.silent) {
            self.ledger.hit(self.now, id);
            return;
        }
        if take(&mut self.endpoints.next.broken) {
            self.answer(node, boot, WORK, fault(Fault::Broken));
            return;
        }
        let replies = self.endpoints.replies(addr, hop, value);
        let cross = take(&mut self.endpoints.next.cross);
        let double = take(&mut self.endpoints.next.double);
        let late = if take(&mut self.endpoints.next.slow) {
            SLOW
        } else {
            Millis(0)
        };
        let mut delay = late;
        for mut reply in replies {
            delay += WORK;
            reply.attempt += u32::from(cross);
            let event = Event::Session(session::Event::Reply { id, reply });
            if double {
                let event = event.clone();
                self.answer(node, boot, delay + CUT, event);
            }
            self.answer(node, boot, delay, event);
        }
    }

    pub fn probe(&mut self, node: usize, boot: u64, id: RequestId, addr: SocketAddr, key: HopKey) {
        let endpoint = self.endpoints.all.get(&addr);
        let (delay, health) = match endpoint {
            Some(endpoint) if !endpoint.down && !endpoint.cut => (LINK, Health::Idle),
            _ => (Millis(400), Health::Gone),
        };
        let event = Event::Session(session::Event::Probed { id, key, health });
        self.answer(node, boot, delay, event);
    }

    pub fn poll(&mut self, node: usize, boot: u64, name: EndpointName, addr: SocketAddr) {
        let endpoint = self
            .endpoints
            .all
            .get(&addr)
            .filter(|endpoint| !endpoint.down && !endpoint.cut);
        let event = match endpoint {
            Some(endpoint) => {
                let report = LoadReport {
                    boot: endpoint.boot,
                    at: self.now,
                    running: 0,
                    waiting: 0,
                    free: 1000,
                    leaving: endpoint.leaving,
                };
                Event::PollAnswered {
                    endpoint: name,
                    report,
                }
            }
            None => Event::PollFailed(name),
        };
        self.answer(node, boot, LINK, event);
    }
}
