//! A small fake: daemons' member and sync parts, a queue of messages and a log.
#![allow(dead_code, reason = "each test uses a part")]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use cornelwharf::clock::Millis;
use cornelwharf::consts::TICK_INTERVAL;
use cornelwharf::core::member;
use cornelwharf::core::member::Listed;
use cornelwharf::core::member::Members;
use cornelwharf::core::member::message::Member;
use cornelwharf::core::sync;
use cornelwharf::core::sync::Peer;
use cornelwharf::core::sync::Sync;
use cornelwharf::core::sync::Tail;
use cornelwharf::core::sync::message::Batch;
use cornelwharf::core::sync::message::Record;
use cornelwharf::names::Domain;
use cornelwharf::names::Vm;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

#[derive(Clone)]
pub enum Wire {
    Member(Box<member::message::Message>),
    Sync(sync::message::Message),
    Tail(Tail),
    Failed(u64),
}

pub struct Daemon {
    pub members: Members,
    pub sync: Sync,
    pub paused: bool,
    dirty: bool,
    /// The part of the network that it is in, and whether that part reaches the log.
    pub side: u8,
    pub log: bool,
    pub delivered: Vec<(u64, Millis)>,
    pub changes: Vec<(Millis, member::Action)>,
}

#[derive(Default)]
pub struct Meter {
    pub sent: (u64, u64),
    pub got: (u64, u64),
    pub core: Duration,
    pub codec: Duration,
}

pub struct World {
    pub now: Millis,
    pub daemons: BTreeMap<Vm, Daemon>,
    pub records: Vec<Record>,
    pub log_up: bool,
    pub loss: f64,
    pub metered: Option<Vm>,
    pub meter: Meter,
    queue: BTreeMap<(Millis, u64), (Vm, Vm, Wire)>,
    count: u64,
    rng: ChaCha8Rng,
}

pub fn vm(index: usize) -> Vm {
    Vm::from(format!("vm-{index:03}"))
}

pub fn member(index: usize, domains: usize, boot: u64) -> Member {
    Member {
        vm: vm(index),
        domain: Domain::from(format!("domain-{}", index % domains)),
        peer: format!("10.0.{}.{}:7000", index / 250, index % 250)
            .parse()
            .expect("an address"),
        caller: format!("10.0.{}.{}:8000", index / 250, index % 250)
            .parse()
            .expect("an address"),
        boot,
    }
}

pub fn listed(member: &Member) -> Listed {
    Listed {
        vm: member.vm.clone(),
        domain: member.domain.clone(),
        peer: member.peer,
        caller: member.caller,
        leaving: false,
    }
}

impl World {
    /// Starts a fleet; each daemon finds the others by the platform's list.
    pub fn new(size: usize, domains: usize, seed: u64) -> Self {
        let mut world = Self {
            now: Millis::seconds(1000),
            daemons: BTreeMap::new(),
            records: Vec::new(),
            log_up: true,
            loss: 0.0,
            metered: None,
            meter: Meter::default(),
            queue: BTreeMap::new(),
            count: seed << 20,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        let fleet: Vec<Member> = (0..size).map(|i| member(i, domains, 1)).collect();
        let list: Vec<Listed> = fleet.iter().map(listed).collect();
        for me in fleet {
            world.start(me, &list);
        }
        world
    }

    pub fn start(&mut self, me: Member, list: &[Listed]) {
        self.count += 1;
        let peer = Peer {
            vm: me.vm.clone(),
            domain: me.domain.clone(),
        };
        let mut daemon = Daemon {
            members: Members::new(me.clone(), self.count),
            sync: Sync::new(peer, self.count),
            paused: false,
            dirty: true,
            side: 0,
            log: true,
            delivered: Vec::new(),
            changes: Vec::new(),
        };
        daemon.members.listed(self.now, list, &mut Vec::new());
        self.daemons.insert(me.vm, daemon);
    }

    pub fn append(&mut self, data: &str) {
        let offset = self.records.len() as u64 * 3;
        self.records.push(Record {
            offset,
            data: data.into(),
        });
    }

    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    pub fn daemon(&mut self, index: usize) -> &mut Daemon {
        self.daemons.get_mut(&vm(index)).expect("a known VM")
    }

    pub fn serving(&self) -> usize {
        let ok = |d: &&Daemon| {
            d.sync
                .may_serve(self.now, d.members.reach(self.now))
                .is_ok()
        };
        self.daemons.values().filter(ok).count()
    }

    pub fn step(&mut self) {
        let end = self.now + TICK_INTERVAL;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, seq), (from, to, wire)) = entry.remove_entry();
            self.now = at;
            match self.daemons.get(&to) {
                Some(daemon) if daemon.paused => {
                    self.queue
                        .insert((end + TICK_INTERVAL, seq), (from, to, wire));
                }
                Some(_) => self.deliver(&from, &to, wire),
                None => {}
            }
        }
        self.now = end;
        for vm in self.daemons.keys().cloned().collect::<Vec<_>>() {
            self.act(&vm, |daemon, now, peers, records| {
                daemon.members.tick(now, peers);
                if std::mem::take(&mut daemon.dirty) {
                    daemon.sync.set_peers(&live(&daemon.members));
                }
                daemon.sync.tick(now, daemon.members.reach(now), records);
                let serving = daemon
                    .sync
                    .may_serve(now, daemon.members.reach(now))
                    .is_ok();
                daemon.members.set_serving(now, serving, peers);
            });
        }
    }

    fn deliver(&mut self, from: &Vm, to: &Vm, wire: Wire) {
        let bytes = if self.metered.as_ref() == Some(to) {
            encoded(&wire)
        } else {
            0
        };
        if bytes > 0 {
            let start = Instant::now();
            decode(&wire);
            self.meter.codec += start.elapsed();
            self.meter.got.0 += 1;
            self.meter.got.1 += bytes;
        }
        self.act(to, |daemon, now, peers, records| match wire {
            Wire::Member(message) => daemon.members.receive(now, &message, peers),
            Wire::Sync(message) => daemon.sync.receive(now, from, message, records),
            Wire::Tail(tail) => daemon.sync.tail(now, tail, records),
            Wire::Failed(number) => daemon.sync.read_failed(now, number),
        });
    }

    /// Lets one daemon act and carries out its actions; a paused one does nothing.
    pub fn act<F>(&mut self, vm: &Vm, run: F)
    where
        F: FnOnce(&mut Daemon, Millis, &mut Vec<member::Action>, &mut Vec<sync::Action>),
    {
        let now = self.now;
        let Some(daemon) = self.daemons.get_mut(vm).filter(|d| !d.paused) else {
            return;
        };
        let (mut peers, mut records) = (Vec::new(), Vec::new());
        let start = Instant::now();
        run(daemon, now, &mut peers, &mut records);
        relay(daemon, now, &peers, &mut records);
        if self.metered.as_ref() == Some(vm) {
            self.meter.core += start.elapsed();
        }
        for action in peers {
            match action {
                member::Action::Send { to, message, .. } => {
                    self.send(vm, &to, &Wire::Member(message));
                }
                change => self
                    .daemons
                    .get_mut(vm)
                    .expect("a known VM")
                    .changes
                    .push((now, change)),
            }
        }
        for action in records {
            self.carry(vm, action);
        }
    }

    fn carry(&mut self, vm: &Vm, action: sync::Action) {
        let now = self.now;
        match action {
            sync::Action::Tell { vm: to, message } => self.send(vm, &to, &Wire::Sync(message)),
            sync::Action::Read { number, from } => self.read(vm, number, from),
            sync::Action::Deliver(record) => {
                let daemon = self.daemons.get_mut(vm).expect("a known VM");
                daemon.delivered.push((record.offset, now));
            }
            sync::Action::NeedSnapshot { .. } | sync::Action::Freshness(_) => {}
        }
    }

    fn read(&mut self, vm: &Vm, number: u64, from: u64) {
        let records: Vec<Record> = self
            .records
            .iter()
            .filter(|r| r.offset >= from)
            .cloned()
            .collect();
        let next = records.last().map_or(from, |r| r.offset + 1);
        let batch = Batch {
            from,
            next,
            records,
        };
        let wire = if self.log_up && self.daemons[vm].log {
            Wire::Tail(Tail {
                number,
                batch,
                end: true,
            })
        } else {
            Wire::Failed(number)
        };
        self.count += 1;
        let log = Vm::from("log");
        self.queue
            .insert((self.now + Millis(20), self.count), (log, vm.clone(), wire));
    }

    /// Queues a message with a random delay; it may be lost or doubled.
    fn send(&mut self, from: &Vm, to: &Vm, wire: &Wire) {
        if self.metered.as_ref() == Some(from) {
            let start = Instant::now();
            self.meter.sent.1 += encoded(wire);
            self.meter.codec += start.elapsed();
            self.meter.sent.0 += 1;
        }
        let sides = (
            self.daemons[from].side,
            self.daemons.get(to).map(|d| d.side),
        );
        let copies = if self.rng.random_bool(self.loss / 4.0) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let lost = self.rng.random_bool(self.loss);
            let due = self.now + Millis(self.rng.random_range(1..20));
            self.count += 1;
            if Some(sides.0) == sides.1 && !lost {
                self.queue
                    .insert((due, self.count), (from.clone(), to.clone(), wire.clone()));
            }
        }
    }
}

/// Tells the sync part what the member part found.
fn relay(daemon: &mut Daemon, now: Millis, found: &[member::Action], out: &mut Vec<sync::Action>) {
    for action in found {
        match action {
            member::Action::Heard { vm, at, progress } => {
                daemon.sync.heard(now, vm, *at, *progress, out);
            }
            member::Action::Woke => daemon.sync.woke(),
            member::Action::Send { .. } => {}
            _ => daemon.dirty = true,
        }
    }
    daemon
        .members
        .set_progress(daemon.sync.offset(), daemon.sync.fresh());
}

fn live(members: &Members) -> Vec<Peer> {
    let peer = |m: Member| Peer {
        vm: m.vm,
        domain: m.domain,
    };
    members.live().into_iter().map(peer).collect()
}

fn encoded(wire: &Wire) -> u64 {
    match wire {
        Wire::Member(message) => serde_json::to_vec(message)
            .expect("messages have a JSON form")
            .len() as u64,
        Wire::Sync(message) => serde_json::to_vec(message)
            .expect("messages have a JSON form")
            .len() as u64,
        Wire::Tail(_) | Wire::Failed(_) => 0,
    }
}

fn decode(wire: &Wire) {
    match wire {
        Wire::Member(message) => {
            let text = serde_json::to_vec(message).expect("messages have a JSON form");
            let _: member::message::Message =
                serde_json::from_slice(&text).expect("what was encoded decodes");
        }
        Wire::Sync(message) => {
            let text = serde_json::to_vec(message).expect("messages have a JSON form");
            let _: sync::message::Message =
                serde_json::from_slice(&text).expect("what was encoded decodes");
        }
        Wire::Tail(_) | Wire::Failed(_) => {}
    }
}

/// Returns the names of the daemons that `daemon` would send callers to.
pub fn addresses(daemon: &mut Daemon, now: Millis, count: usize) -> BTreeSet<Vm> {
    let answer = daemon.members.addresses(now, count, 7);
    answer.members.into_iter().map(|m| m.vm).collect()
}
