//! A simulation of one to three real cores on a fake clock, with fakes of everything they talk to.
//!
//! The fakes make no decisions: they carry out the cores' actions. Each call, hop and delivery that
//! belongs to a request or to replication is one step, and a fault can be injected before any
//! step. [`check`] verifies the guarantees from the history that the fakes record.

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
use self::check::History;
use self::endpoints::Endpoints;
use self::log::Log;

/// The interval of the cores' ticks.
const TICK_INTERVAL: Millis = Millis(50);
/// How long a message, a call or an answer takes to arrive.
const LINK_DELAY: Millis = Millis(1);
/// The ranges of request ids of each VM and of each of its boots. They don't overlap, so the
/// history never mixes the requests of two VMs or two boots.
const NODE_ID_STRIDE: u64 = 1_000_000_000_000;
const BOOT_ID_STRIDE: u64 = 1_000_000;
/// The boot number before the first start of a VM; each start adds one.
const FIRST_BOOT: u64 = 1000;

/// A VM: its core while it runs, and the faults that affect it.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is an independent fault"
)]
pub struct Node {
    pub core: Option<Core>,
    pub boot: u64,
    pub paused: bool,
    /// The events that arrived while it was paused, in order.
    backlog: Vec<Event>,
    pub cut_log: bool,
    pub cut_peers: bool,
    /// Whether its daemon exited after [`Event::Stop`].
    pub exited: bool,
    /// Since when it has been cut off from both the log and its peers; `None` if it is not.
    isolated_since: Option<Millis>,
    next: u64,
}

/// A delivery to a core or a fake that is scheduled for a later time.
pub enum Delivery {
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
    Command(Box<script::Command>),
}

/// The simulated cluster, its surroundings and its clock.
pub struct World {
    pub now: Millis,
    pub nodes: Vec<Node>,
    pub log: Log,
    pub endpoints: Endpoints,
    pub history: History,
    pub rng: ChaCha8Rng,
    /// The names of the steps so far. A fault is injected before a step, given by its index.
    pub steps: Vec<&'static str>,
    /// How many of the next messages between VMs are lost.
    pub lose_messages: u32,
    /// How many of the next messages between VMs arrive twice.
    pub double_messages: u32,
    /// How many of the next messages between VMs arrive late.
    pub delay_messages: u32,
    faults: Vec<script::ScheduledFault>,
    queue: BTreeMap<(Millis, u64), Delivery>,
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
    pub fn new(vms: usize, seed: u64, faults: Vec<script::ScheduledFault>) -> Self {
        let mut world = Self {
            now: Millis(1_000_000),
            nodes: Vec::new(),
            log: Log::default(),
            endpoints: Endpoints::default(),
            history: History::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            steps: Vec::new(),
            lose_messages: 0,
            double_messages: 0,
            delay_messages: 0,
            faults,
            queue: BTreeMap::new(),
            count: 0,
        };
        for node in 0..vms {
            world.nodes.push(Node {
                core: None,
                boot: FIRST_BOOT,
                paused: false,
                backlog: Vec::new(),
                cut_log: false,
                cut_peers: false,
                exited: false,
                isolated_since: None,
                next: 0,
            });
            world.boot(node);
        }
        world
    }

    /// Replaces the faults that are still to be injected.
    pub fn set_faults(&mut self, faults: Vec<script::ScheduledFault>) {
        self.faults = faults;
    }

    /// Starts or restarts a VM's daemon under a new boot number.
    pub fn boot(&mut self, node: usize) {
        let vms = self.nodes.len().max(node + 1);
        let vm = &mut self.nodes[node];
        vm.boot += 1;
        vm.paused = false;
        vm.backlog.clear();
        vm.exited = false;
        let boot = vm.boot;
        vm.core = Some(Core::new(Setup {
            me: member(node, boot),
            operators: script::operators(),
            shards: 2,
            opaque: true,
            seed: self.rng.random(),
        }));
        self.schedule(Millis(0), Delivery::Tick(node));
        let list = (0..vms.max(3))
            .filter(|each| *each < self.nodes.len())
            .map(listed)
            .collect();
        self.send(node, LINK_DELAY, Event::VmsListed(list));
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].core = None;
    }

    pub fn schedule(&mut self, after: Millis, due: Delivery) {
        self.count += 1;
        self.queue.insert((self.now + after, self.count), due);
    }

    pub fn send(&mut self, node: usize, after: Millis, event: Event) {
        let boot = self.nodes[node].boot;
        self.send_to_boot(node, boot, after, event);
    }

    /// Sends an event to one boot of a VM; a later boot ignores it.
    pub fn send_to_boot(&mut self, node: usize, boot: u64, after: Millis, event: Event) {
        let event = Box::new(event);
        self.schedule(after, Delivery::Event { node, boot, event });
    }

    /// Allocates the next request id of a VM.
    pub fn next_request(&mut self, node: usize) -> RequestId {
        self.nodes[node].next += 1;
        RequestId(
            (node as u64 + 1) * NODE_ID_STRIDE
                + self.nodes[node].boot * BOOT_ID_STRIDE
                + self.nodes[node].next,
        )
    }

    /// Advances the clock by `span` and makes all deliveries that become due.
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

    /// Records a step, and injects the faults scheduled before it.
    fn step(&mut self, name: &'static str) {
        let index = self.steps.len();
        self.steps.push(name);
        let due: Vec<script::ScheduledFault> = self
            .faults
            .extract_if(.., |scheduled| scheduled.step == index)
            .collect();
        for scheduled in due {
            scheduled.fault.inject(self);
        }
    }

    fn deliver(&mut self, due: Delivery) {
        match due {
            Delivery::Tick(node) => self.tick(node),
            Delivery::Command(command) => command.run(self),
            Delivery::Event { node, boot, event } => {
                if let Some(name) = step_name(&event) {
                    self.step(name);
                }
                self.feed(node, boot, *event);
            }
            Delivery::Append {
                node,
                boot,
                append,
                record,
            } => {
                self.step("append");
                self.append(node, boot, append, &record);
            }
            Delivery::Read {
                node,
                boot,
                read,
                from,
            } => {
                self.read(node, boot, read, from);
            }
        }
    }

    /// Resumes a paused VM and delivers the events that arrived meanwhile, in their order.
    pub fn resume(&mut self, node: usize) {
        let vm = &mut self.nodes[node];
        vm.paused = false;
        let boot = vm.boot;
        for event in std::mem::take(&mut vm.backlog) {
            self.send_to_boot(node, boot, Millis(0), event);
        }
    }

    fn tick(&mut self, node: usize) {
        let vm = &self.nodes[node];
        if vm.core.is_none() {
            return;
        }
        self.schedule(TICK_INTERVAL, Delivery::Tick(node));
        self.observe(node);
        if !self.nodes[node].paused {
            let boot = self.nodes[node].boot;
            self.feed(node, boot, Event::Tick);
        }
    }

    /// Updates whether a VM is cut off, and reports a configuration record that it should have
    /// applied by now.
    fn observe(&mut self, node: usize) {
        let has_log = |vm: &Node| !vm.cut_log && !self.log.down;
        let is_running = |vm: &Node| vm.core.is_some() && !vm.paused;
        let vm = &self.nodes[node];
        let can_relay = |at: usize, other: &Node| {
            at != node && !other.cut_peers && !vm.cut_peers && is_running(other) && has_log(other)
        };
        let peers = self.nodes.iter().enumerate();
        let reachable = has_log(vm) || peers.clone().any(|(at, other)| can_relay(at, other));
        let connected = reachable && is_running(vm);
        let isolated = vm.cut_peers && !has_log(vm);
        let next = vm.core.as_ref().map_or(0, |core| core.state().next().0);
        let since = self.nodes[node].isolated_since.unwrap_or(self.now);
        self.nodes[node].isolated_since = isolated.then_some(since);
        if !connected {
            self.history.disturbed.insert(node, self.now);
        } else if let Some(appended) = self.log.config_times.get(&next) {
            // A read that began before the append returns without it; only the next one finds it.
            let read = *appended + self.log.slow;
            self.history.overdue(self.now, node, next, read);
        }
    }

    /// Returns whether a VM has been cut off for so long that it must refuse new work.
    fn is_cut_off(&self, node: usize) -> bool {
        let vm = &self.nodes[node];
        let since = vm.isolated_since.filter(|_| !vm.paused);
        since.is_some_and(|since| self.now.since(since) > FRESHNESS_TIMEOUT + TICK_INTERVAL)
    }

    /// Passes an event to a core and carries out its actions. Events for a paused VM wait; events
    /// for a stopped VM or an earlier boot are lost.
    fn feed(&mut self, node: usize, boot: u64, event: Event) {
        let vm = &mut self.nodes[node];
        if vm.boot != boot {
            return;
        }
        if vm.paused {
            vm.backlog.push(event);
            return;
        }
        let Some(core) = &mut vm.core else {
            return;
        };
        let mut actions = Vec::new();
        core.step(self.now, event, &mut actions);
        let state = core.state().next().0;
        self.history.in_force(node, boot, state);
        for action in actions {
            self.carry_out(node, boot, action);
        }
    }

    fn carry_out(&mut self, node: usize, boot: u64, action: Action) {
        match action {
            Action::Append { append, record } => {
                self.schedule(
                    LINK_DELAY,
                    Delivery::Append {
                        node,
                        boot,
                        append,
                        record,
                    },
                );
            }
            Action::Read { read, from } => self.schedule(
                LINK_DELAY,
                Delivery::Read {
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
                timeout,
                ..
            } => {
                self.call_endpoint(node, boot, id, attempt, addr, timeout);
            }
            Action::Hop { id, addr, hop } => self.hop(node, boot, id, addr, &hop),
            Action::Probe { id, addr, key } => self.probe(node, boot, id, addr, key),
            Action::Poll { endpoint, addr } => self.poll(node, boot, endpoint, addr),
            Action::Release { addr, release } => self.endpoints.release(addr, release),
            Action::Token { id, value, event } => self.history.token(self.now, id, value, event),
            Action::Finish { id, .. } => self.history.answer(self.now, id, Answer::Finished),
            Action::Fail { id, failure } => {
                self.history.answer(self.now, id, Answer::Failed(failure));
            }
            Action::Relay { id, attempt } => {
                let receipt = self.endpoints.receipt(id, attempt);
                self.history.answer(self.now, id, Answer::Receipt(receipt));
            }
            Action::Replay { id, answer } => {
                self.history.answer(self.now, id, Answer::replay(&answer));
            }
            Action::Reply { id, reply } => self.history.answer(self.now, id, Answer::reply(reply)),
            Action::Models { id, models } => {
                self.history.answer(self.now, id, Answer::Models(models));
            }
            Action::Drop(id) => self.history.answer(self.now, id, Answer::Dropped),
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
        if consume(&mut self.lose_messages) {
            return;
        }
        let delay = if consume(&mut self.delay_messages) {
            Millis(400)
        } else {
            LINK_DELAY
        };
        if consume(&mut self.double_messages) {
            self.send(to, Millis(30), Event::Peer(message.clone()));
        }
        self.send(to, delay, Event::Peer(message));
    }

    fn append(&mut self, node: usize, boot: u64, append: AppendId, record: &[u8]) {
        let cut = self.nodes[node].cut_log;
        let answer = self.log.append(self.now, append.stream(), record, cut);
        let event = match answer {
            log::Append::Done(offset) => Event::Appended { append, offset },
            log::Append::Lost => Event::AppendLost(append),
            log::Append::Refused => Event::AppendRefused(append),
            log::Append::Delayed => {
                let later = Delivery::Append {
                    node,
                    // No VM ever has boot number 0, so the late answer is dropped.
                    boot: 0,
                    append,
                    record: record.to_vec(),
                };
                self.schedule(Millis(2500), later);
                Event::AppendLost(append)
            }
        };
        let delay = if matches!(event, Event::AppendLost(_)) {
            Millis(2000)
        } else {
            LINK_DELAY
        };
        self.send_to_boot(node, boot, delay + self.log.slow, event);
    }

    fn read(&mut self, node: usize, boot: u64, read: ReadId, from: u64) {
        let cut = self.nodes[node].cut_log;
        let result = self.log.read(read.stream(), from, cut);
        let delay = if matches!(result, ReadResult::Failed) {
            Millis(500)
        } else {
            LINK_DELAY
        };
        let event = Event::ReadDone { read, result };
        self.send_to_boot(node, boot, delay + self.log.slow, event);
    }
}

/// Decrements a counter of pending faults and returns whether it was above zero.
pub fn consume(count: &mut u32) -> bool {
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

/// Returns the step name of an event that belongs to a request or to replication; `None` for
/// background events.
fn step_name(event: &Event) -> Option<&'static str> {
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
