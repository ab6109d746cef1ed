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

use super::LINK_DELAY;
use super::World;
use super::consume;

/// How long an endpoint takes to run a call or a hop.
const WORK_TIME: Millis = Millis(10);
/// How much longer a slow call or hop takes.
const SLOW_DELAY: Millis = Millis(700);
/// How long it takes until the daemon notices a broken connection.
const FAILURE_DELAY: Millis = Millis(5);

/// A fake endpoint: a model engine if it holds layers, else a plain service.
#[derive(Default)]
pub struct Endpoint {
    pub layers: Option<Layers>,
    pub total: u32,
    pub down: bool,
    /// Whether it accepts connections and then breaks them.
    pub cut: bool,
    pub leaving: bool,
    pub boot: u64,
    kv: BTreeMap<(SessionId, u32), Kv>,
}

/// An engine's KV cache for one attempt of a session.
#[derive(Clone, Default)]
struct Kv {
    next: u32,
    tokens: Vec<u32>,
}

/// How many of the next calls or hops each fault affects, whichever endpoint they go to.
#[derive(Default)]
pub struct CallFaults {
    /// They run and are never answered.
    pub silent: u32,
    /// They run, but the connection breaks before the answer.
    pub broken: u32,
    /// They are refused without running.
    pub refuse: u32,
    /// They are answered late.
    pub slow: u32,
    /// They are answered twice.
    pub double: u32,
    /// Their answers name another attempt.
    pub cross: u32,
}

/// All endpoints, and the receipts for the calls that they ran.
#[derive(Default)]
pub struct Endpoints {
    pub all: BTreeMap<SocketAddr, Endpoint>,
    pub faults: CallFaults,
    /// The endpoint that received the last call or hop.
    pub last: Option<SocketAddr>,
    receipts: BTreeMap<(RequestId, u32), u64>,
    count: u64,
}

/// Returns the activation before the first layer for `tokens` and the position `token`.
pub fn embed(seed: u64, token: u32, tokens: &[u32]) -> u64 {
    tokens.iter().fold(seed ^ u64::from(token), |value, token| {
        mix(value, u64::from(*token))
    })
}

/// Returns the activation after one layer.
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

    /// Runs the layers of a hop and returns the activation and the updated KV cache, or the fault to
    /// report.
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
        let isolated = self.nodes[node].isolated_since.is_some();
        self.history.work(self.now, addr, isolated);
    }

    pub fn call_endpoint(
        &mut self,
        node: usize,
        boot: u64,
        id: RequestId,
        attempt: u32,
        addr: SocketAddr,
        timeout: Millis,
    ) {
        self.step("send");
        self.endpoints.last = Some(addr);
        let Some(endpoint) = self.endpoints.all.get_mut(&addr) else {
            return;
        };
        let failed = |fault| Event::Failed { id, attempt, fault };
        if endpoint.down {
            self.send_to_boot(node, boot, LINK_DELAY, failed(PlainFault::Unsent));
            return;
        }
        if endpoint.cut {
            self.send_to_boot(node, boot, FAILURE_DELAY, failed(PlainFault::Broken));
            return;
        }
        self.work(node, addr);
        if consume(&mut self.endpoints.faults.refuse) {
            let answer = PlainAnswer {
                refused: true,
                pause: None,
                record: None,
            };
            let event = Event::Answered {
                id,
                attempt,
                answer,
            };
            self.send_to_boot(node, boot, WORK_TIME, event);
            return;
        }
        let silent = consume(&mut self.endpoints.faults.silent);
        let broken = consume(&mut self.endpoints.faults.broken);
        let slow = consume(&mut self.endpoints.faults.slow);
        self.endpoints.count += 1;
        let receipt = self.endpoints.count;
        self.endpoints.receipts.insert((id, attempt), receipt);
        self.history.effect(id, receipt);
        let record = once::Answer::Small {
            status: 200,
            headers: Vec::new(),
            body: bytes::Bytes::from(receipt.to_string()).into(),
        };
        let answer = PlainAnswer {
            refused: false,
            pause: None,
            record: Some(record),
        };
        let (delay, event) = if silent {
            (timeout, failed(PlainFault::Silent))
        } else if broken {
            (WORK_TIME, failed(PlainFault::Broken))
        } else {
            let delay = if slow {
                SLOW_DELAY + WORK_TIME
            } else {
                WORK_TIME
            };
            (
                delay,
                Event::Answered {
                    id,
                    attempt,
                    answer,
                },
            )
        };
        self.send_to_boot(node, boot, delay, event);
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
            self.send_to_boot(node, boot, FAILURE_DELAY, fault(Fault::Unreachable));
            return;
        }
        if endpoint.cut {
            self.send_to_boot(node, boot, FAILURE_DELAY, fault(Fault::Broken));
            return;
        }
        if consume(&mut self.endpoints.faults.refuse) {
            self.send_to_boot(node, boot, FAILURE_DELAY, fault(Fault::Refused));
            return;
        }
        let run = endpoint.run(hop);
        let (value, kv) = match run {
            Ok(run) => run,
            Err(why) => {
                self.send_to_boot(node, boot, FAILURE_DELAY, fault(why));
                return;
            }
        };
        endpoint.kv.insert((hop.session, hop.attempt), kv);
        self.history.layers(hop);
        if consume(&mut self.endpoints.faults.silent) {
            self.history.fault_hit(self.now, id);
            return;
        }
        if consume(&mut self.endpoints.faults.broken) {
            self.send_to_boot(node, boot, WORK_TIME, fault(Fault::Broken));
            return;
        }
        let replies = self.endpoints.replies(addr, hop, value);
        let cross = consume(&mut self.endpoints.faults.cross);
        let double = consume(&mut self.endpoints.faults.double);
        let late = if consume(&mut self.endpoints.faults.slow) {
            SLOW_DELAY
        } else {
            Millis(0)
        };
        let mut delay = late;
        for mut reply in replies {
            delay += WORK_TIME;
            reply.attempt += u32::from(cross);
            let event = Event::Session(session::Event::Reply { id, reply });
            if double {
                let event = event.clone();
                self.send_to_boot(node, boot, delay + FAILURE_DELAY, event);
            }
            self.send_to_boot(node, boot, delay, event);
        }
    }

    pub fn probe(&mut self, node: usize, boot: u64, id: RequestId, addr: SocketAddr, key: HopKey) {
        let endpoint = self.endpoints.all.get(&addr);
        let (delay, health) = match endpoint {
            Some(endpoint) if !endpoint.down && !endpoint.cut => (LINK_DELAY, Health::Idle),
            _ => (Millis(400), Health::Gone),
        };
        let event = Event::Session(session::Event::Probed { id, key, health });
        self.send_to_boot(node, boot, delay, event);
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
        self.send_to_boot(node, boot, LINK_DELAY, event);
    }
}
