//! One to three real cores, and small fakes of all that they speak to, on a fake clock.
//!
//! The fakes decide nothing: they deliver what the cores order, each delivery one step, and a
//! fault can strike before any step. What must hold is checked by [`check`], from records that
//! the fakes keep.

pub mod check;
pub mod endpoints;
pub mod log;
pub mod random;
pub mod script;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cornelwharf::clock::Millis;
use cornelwharf::consts::FRESHNESS_TIMEOUT;
use cornelwharf::core::daemon::Action;
use cornelwharf::core::daemon::AppendId;
use cornelwharf::core::daemon::Body;
use cornelwharf::core::daemon::Core;
use cornelwharf::core::daemon::Event;
use cornelwharf::core::daemon::Message;
use cornelwharf::core::daemon::ReadId;
use cornelwharf::core::daemon::ReadResult;
use cornelwharf::core::daemon::Setup;
use cornelwharf::core::member::ListedVm;
use cornelwharf::core::member::message::Member;
use cornelwharf::core::session::event::RequestId;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use self::check::Answer;
use self::check::Ledger;
use self::endpoints::Endpoints;
use self::log::Log;

/// The interval of the cores' ticks.
const TICK: Millis = Millis(50);
/// How long a message, a call or an answer is on its way.
const LINK: Millis = Millis(1);
/// The request numbers of one VM, and of one boot of it; they are apart so that records are.
const NODE_IDS: u64 = 1_000_000_000_000;
const BOOT_IDS: u64 = 1_000_000;
/// The boot that a VM starts with; each restart adds one.
const BOOT: u64 = 1000;

/// A VM: its core while it runs, and what it is cut off from.
#[expect(clippy::struct_excessive_bools, reason = "each is a fault of its own")]
pub struct Node {
    pub core: Option<Core>,
    pub boot: u64,
    pub paused: bool,
    /// What reached it while it was paused, in order.
    held: Vec<Event>,
    pub cut_log: bool,
    pub cut_peers: bool,
    /// Whether it stopped by itself, as told.
    pub exited: bool,
    /// Since when it has reached neither the log nor another VM.
    apart: Option<Millis>,
    next: u64,
}

/// What is on its way.
pub enum Due {
    Tick(usize),
    Event {
        node: usize,
        boot: u64,
        event: Box<Event>,
    },
    Append {
        node: usize,
        boot: u64,
        append: AppendId,
        record: Vec<u8>,
    },
    Read {
        node: usize,
        boot: u64,
        read: ReadId,
        from: u64,
    },
    Order(Box<script::Order>),
}

/// The world.
pub struct World {
    pub now: Millis,
    pub nodes: Vec<Node>,
    pub log: Log,
    pub endpoints: Endpoints,
    pub ledger: Ledger,
    pub rng: ChaCha8Rng,
    /// The names of the steps taken, for the places that a fault can strike at.
    pub steps: Vec<&'static str>,
    /// Which of the next messages between VMs are lost or doubled.
    pub lose: u32,
    pub double: u32,
    pub late: u32,
    faults: Vec<script::Strike>,
    queue: BTreeMap<(Millis, u64), Due>,
    count: u64,
}

pub fn addr(node: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, node as u8 + 1], port))
}

fn member(node: usize, boot: u64) -> Member {
    Member {
        vm: format!("vm-{}", node + 1).as_str().into(),
        domain: format!("domain-{}", node + 1).as_str().into(),
        peer: addr(node, 7100),
        caller: addr(node, 7000),
        boot,
    }
}

impl World {
    pub fn new(vms: usize, seed: u64, faults: Vec<script::Strike>) -> Self {
        let mut world = Self {
            now: Millis(1_000_000),
            nodes: Vec::new(),
            log: Log::default(),
            endpoints: Endpoints::default(),
            ledger: Ledger::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            steps: Vec::new(),
            lose: 0,
            double: 0,
            late: 0,
            faults,
            queue: BTreeMap::new(),
            count: 0,
        };
        for node in 0..vms {
            world.nodes.push(Node {
                core: None,
                boot: BOOT,
                paused: false,
                held: Vec::new(),
                cut_log: false,
                cut_peers: false,
                exited: false,
                apart: None,
                next: 0,
            });
            world.boot(node);
        }
        world
    }

    /// Sets the faults that strike from here on.
    pub fn arm(&mut self, faults: Vec<script::Strike>) {
        self.faults = faults;
    }

    /// Starts a VM's daemon anew.
    pub fn boot(&mut self, node: usize) {
        let vms = self.nodes.len().max(node + 1);
        let place = &mut self.nodes[node];
        place.boot += 1;
        place.paused = false;
        place.held.clear();
        place.exited = false;
        let boot = place.boot;
        place.core = Some(Core::new(Setup {
            me: member(node, boot),
            operators: script::operators(),
            shards: 2,
            opaque: true,
            seed: self.rng.random(),
        }));
        self.push(Millis(0), Due::Tick(node));
        let list = (0..vms.max(3))
            .filter(|each| *each < self.nodes.len())
            .map(listed)
            .collect();
        self.event(node, LINK, Event::VmsListed(list));
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].core = None;
    }

    pub fn push(&mut self, after: Millis, due: Due) {
        self.count += 1;
        self.queue.insert((self.now + after, self.count), due);
    }

    pub fn event(&mut self, node: usize, after: Millis, event: Event) {
        let boot = self.nodes[node].boot;
        self.answer(node, boot, after, event);
    }

    /// Sends an event to one boot of a VM.
    pub fn answer(&mut self, node: usize, boot: u64, after: Millis, event: Event) {
        let event = Box::new(event);
        self.push(after, Due::Event { node, boot, event });
    }

    /// Returns the next request number of a VM.
    pub fn request(&mut self, node: usize) -> RequestId {
        self.nodes[node].next += 1;
        RequestId(
            (node as u64 + 1) * NODE_IDS + self.nodes[node].boot * BOOT_IDS + self.nodes[node].next,
        )
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let (at, _) = *entry.key();
            let due = entry.remove();
            self.now = self.now.max(at);
            self.deliver(due);
        }
        self.now = end;
    }

    /// Counts a step, and lets the faults strike that are due before it.
    fn step(&mut self, name: &'static str) {
        let index = self.steps.len();
        self.steps.push(name);
        let due: Vec<script::Strike> = self
            .faults
            .extract_if(.., |strike| strike.step == index)
            .collect();
        for strike in due {
            strike.fault.strike(self);
        }
    }

    fn deliver(&mut self, due: Due) {
        match due {
            Due::Tick(node) => self.tick(node),
            Due::Order(order) => order.run(self),
            Due::Event { node, boot, event } => {
                if let Some(name) = name(&event) {
                    self.step(name);
                }
                self.feed(node, boot, *event);
            }
            Due::Append {
                node,
                boot,
                append,
                record,
            } => {
                self.step("append");
                self.append(node, boot, append, &record);
            }
            Due::Read {
                node,
                boot,
                read,
                from,
            } => {
                self.read(node, boot, read, from);
            }
        }
    }

    /// Lets a paused VM go on; what reached it meanwhile comes in the order that it came in.
    pub fn wake(&mut self, node: usize) {
        let place = &mut self.nodes[node];
        place.paused = false;
        let boot = place.boot;
        for event in std::mem::take(&mut place.held) {
            self.answer(node, boot, Millis(0), event);
        }
    }

    fn tick(&mut self, node: usize) {
        let place = &self.nodes[node];
        if place.core.is_none() {
            return;
        }
        self.push(TICK, Due::Tick(node));
        self.observe(node);
        if !self.nodes[node].paused {
            let boot = self.nodes[node].boot;
            self.feed(node, boot, Event::Tick);
        }
    }

    /// Notes whether a VM is cut off, and whether it has in force what it could have heard of.
    fn observe(&mut self, node: usize) {
        let log = |place: &Node| !place.cut_log && !self.log.down;
        let well = |place: &Node| place.core.is_some() && !place.paused;
        let place = &self.nodes[node];
        let peer = |at: usize, other: &Node| {
            at != node && !other.cut_peers && !place.cut_peers && well(other) && log(other)
        };
        let peers = self.nodes.iter().enumerate();
        let hears = log(place) || peers.clone().any(|(at, other)| peer(at, other));
        let hears = hears && well(place);
        let apart = place.cut_peers && !log(place);
        let next = place.core.as_ref().map_or(0, |core| core.state().next().0);
        let since = self.nodes[node].apart.unwrap_or(self.now);
        self.nodes[node].apart = apart.then_some(since);
        if !hears {
            self.ledger.disturbed.insert(node, self.now);
        } else if let Some(appended) = self.log.times.get(&next) {
            // A read that began before the append, and another one, come before it is seen.
            let read = *appended + self.log.slow;
            self.ledger.overdue(self.now, node, next, read);
        }
    }

    /// Says whether a VM has been cut off for so long that it may take no new work.
    fn barred(&self, node: usize) -> bool {
        let place = &self.nodes[node];
        let apart = place.apart.filter(|_| !place.paused);
        apart.is_some_and(|since| self.now.since(since) > FRESHNESS_TIMEOUT + TICK)
    }

    /// Feeds an event to a core; what reaches a paused VM waits, what reaches a dead one is lost.
    fn feed(&mut self, node: usize, boot: u64, event: Event) {
        let place = &mut self.nodes[node];
        if place.boot != boot {
            return;
        }
        if place.paused {
            place.held.push(event);
            return;
        }
        let Some(core) = &mut place.core else {
            return;
        };
        let mut actions = Vec::new();
        core.step(self.now, event, &mut actions);
        let state = core.state().next().0;
        self.ledger.in_force(node, boot, state);
        for action in actions {
            self.carry_out(node, boot, action);
        }
    }

    fn carry_out(&mut self, node: usize, boot: u64, action: Action) {
        match action {
            Action::Append { append, record } => {
                self.push(
                    LINK,
                    Due::Append {
                        node,
                        boot,
                        append,
                        record,
                    },
                );
            }
            Action::Read { read, from } => self.push(
                LINK,
                Due::Read {
                    node,
                    boot,
                    read,
                    from,
                },
            ),
            Action::SendPeer { vm, message, .. } => self.tell(node, &vm, *message),
            Action::Send {
                id,
                attempt,
                addr,
                timeout: span,
                ..
            } => {
                self.call_endpoint(node, boot, id, attempt, addr, span);
            }
            Action::Hop { id, addr, hop } => self.hop(node, boot, id, addr, &hop),
            Action::Probe { id, addr, key } => self.probe(node, boot, id, addr, key),
            Action::Poll { endpoint, addr } => self.poll(node, boot, endpoint, addr),
            Action::Release { addr, release } => self.endpoints.release(addr, release),
            Action::Token { id, value, event } => self.ledger.token(self.now, id, value, event),
            Action::Finish { id, .. } => self.ledger.answer(self.now, id, Answer::Finished),
            Action::Fail { id, failure } => {
                self.ledger.answer(self.now, id, Answer::Failed(failure));
            }
            Action::Relay { id, attempt } => {
                let receipt = self.endpoints.receipt(id, attempt);
                self.ledger.answer(self.now, id, Answer::Receipt(receipt));
            }
            Action::Replay { id, answer } => {
                self.ledger.answer(self.now, id, Answer::replay(&answer));
            }
            Action::Reply { id, reply } => self.ledger.answer(self.now, id, Answer::reply(reply)),
            Action::Models { id, models } => {
                self.ledger.answer(self.now, id, Answer::Models(models));
            }
            Action::Drop(id) => self.ledger.answer(self.now, id, Answer::Dropped),
            Action::Exit => {
                self.kill(node);
                self.nodes[node].exited = true;
            }
            Action::Log(_) => {}
        }
    }

    fn tell(&mut self, node: usize, vm: &cornelwharf::names::Vm, message: Message) {
        let to = self
            .nodes
            .iter()
            .enumerate()
            .find_map(|(to, _)| (member(to, 0).vm == *vm).then_some(to));
        let Some(to) = to else {
            return;
        };
        if self.nodes[node].cut_peers || self.nodes[to].cut_peers {
            return;
        }
        if take(&mut self.lose) {
            return;
        }
        let delay = if take(&mut self.late) {
            Millis(400)
        } else {
            LINK
        };
        if take(&mut self.double) {
            self.event(to, Millis(30), Event::Peer(message.clone()));
        }
        self.event(to, delay, Event::Peer(message));
    }

    fn append(&mut self, node: usize, boot: u64, append: AppendId, record: &[u8]) {
        let cut = self.nodes[node].cut_log;
        let answer = self.log.append(self.now, append.stream(), record, cut);
        let event = match answer {
            log::Append::Done(offset) => Event::Appended { append, offset },
            log::Append::Lost => Event::AppendLost(append),
            log::Append::Refused => Event::AppendRefused(append),
            log::Append::Later => {
                let later = Due::Append {
                    node,
                    boot: 0,
                    append,
                    record: record.to_vec(),
                };
                self.push(Millis(2500), later);
                Event::AppendLost(append)
            }
        };
        let delay = if matches!(event, Event::AppendLost(_)) {
            Millis(2000)
        } else {
            LINK
        };
        self.answer(node, boot, delay + self.log.slow, event);
    }

    fn read(&mut self, node: usize, boot: u64, read: ReadId, from: u64) {
        let cut = self.nodes[node].cut_log;
        let result = self.log.read(read.stream(), from, cut);
        let delay = if matches!(result, ReadResult::Failed) {
            Millis(500)
        } else {
            LINK
        };
        let event = Event::ReadDone { read, result };
        self.answer(node, boot, delay + self.log.slow, event);
    }
}

/// Counts one use of a switch down and says whether it was on.
pub fn take(count: &mut u32) -> bool {
    let on = *count > 0;
    *count = count.saturating_sub(1);
    on
}

fn listed(node: usize) -> ListedVm {
    let member = member(node, 0);
    ListedVm {
        vm: member.vm,
        domain: member.domain,
        peer: member.peer,
        caller: member.caller,
        leaving: false,
    }
}

/// Returns the name of an event that is a step of some work, not of the background.
fn name(event: &Event) -> Option<&'static str> {
    match event {
        Event::Call(_) => Some("call"),
        Event::Answered { .. } | Event::Failed { .. } => Some("answer"),
        Event::Session(_) => Some("reply"),
        Event::Operate(_) => Some("operate"),
        Event::Appended { .. } | Event::AppendLost(_) | Event::AppendRefused(_) => Some("appended"),
        Event::ReadDone {
            result: ReadResult::Records { batch, .. },
            ..
        } if !batch.records.is_empty() => Some("read"),
        Event::Peer(Message {
            body: Body::Once(_),
            ..
        }) => Some("once-message"),
        Event::Peer(Message {
            body: Body::Sync(_),
            ..
        }) => Some("sync-message"),
        Event::Stop => Some("stop"),
        _ => None,
    }
}
