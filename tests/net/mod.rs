//! A simulated network: the membership and sync state of daemons, a message queue and a log.
#![allow(dead_code, reason = "each test binary uses a part of it")]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use cornelwharf::clock::Millis;
use cornelwharf::consts::TICK_INTERVAL;
use cornelwharf::core::member;
use cornelwharf::core::member::ListedVm;
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
pub enum Payload {
    Member(Box<member::message::Message>),
    Sync(sync::message::Message),
    Tail(Tail),
    Failed(u64),
}

pub struct Daemon {
    pub members: Members,
    pub sync: Sync,
    pub paused: bool,
    peers_changed: bool,
    /// Daemons exchange messages only with those of the same partition.
    pub partition: u8,
    pub log_reachable: bool,
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
    queue: BTreeMap<(Millis, u64), (Vm, Vm, Payload)>,
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

pub fn listed(member: &Member) -> ListedVm {
    ListedVm {
        vm: member.vm.clone(),
        domain: member.domain.clone(),
        peer: member.peer,
        caller: member.caller,
        leaving: false,
    }
}

impl World {
    /// Starts a fleet in which each daemon knows the others from the platform's list.
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
        let list: Vec<ListedVm> = fleet.iter().map(listed).collect();
        for me in fleet {
            world.start(me, &list);
        }
        world
    }

    pub fn start(&mut self, me: Member, list: &[ListedVm]) {
        self.count += 1;
        let peer = Peer {
            vm: me.vm.clone(),
            domain: me.domain.clone(),
        };
        let mut daemon = Daemon {
            members: Members::new(me.clone(), self.count),
            sync: Sync::new(peer, self.count),
            paused: false,
            peers_changed: true,
            partition: 0,
            log_reachable: true,
            delivered: Vec::new(),
            changes: Vec::new(),
        };
        daemon.members.apply_list(self.now, list, &mut Vec::new());
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
            let ((at, seq), (from, to, payload)) = entry.remove_entry();
            self.now = at;
            match self.daemons.get(&to) {
                Some(daemon) if daemon.paused => {
                    self.queue
                        .insert((end + TICK_INTERVAL, seq), (from, to, payload));
                }
                Some(_) => self.deliver(&from, &to, payload),
                None => {}
            }
        }
        self.now = end;
        for vm in self.daemons.keys().cloned().collect::<Vec<_>>() {
            self.act(&vm, |daemon, now, peers, records| {
                daemon.members.tick(now, peers);
                if std::mem::take(&mut daemon.peers_changed) {
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

    fn deliver(&mut self, from: &Vm, to: &Vm, payload: Payload) {
        let bytes = if self.metered.as_ref() == Some(to) {
            encoded(&payload)
        } else {
            0
        };
        if bytes > 0 {
            let start = Instant::now();
            decode(&payload);
            self.meter.codec += start.elapsed();
            self.meter.got.0 += 1;
            self.meter.got.1 += bytes;
        }
        self.act(to, |daemon, now, peers, records| match payload {
            Payload::Member(message) => daemon.members.receive(now, &message, peers),
            Payload::Sync(message) => daemon.sync.receive(now, from, message, records),
            Payload::Tail(tail) => daemon.sync.finish_read(now, tail, records),
            Payload::Failed(number) => daemon.sync.fail_read(now, number),
        });
    }

    /// Runs `run` on one daemon and performs the resulting actions; does nothing if it is paused.
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
                    self.send(vm, &to, &Payload::Member(message));
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
            self.perform(vm, action);
        }
    }

    fn perform(&mut self, vm: &Vm, action: sync::Action) {
        let now = self.now;
        match action {
            sync::Action::Tell { vm: to, message } => self.send(vm, &to, &Payload::Sync(message)),
            sync::Action::Read { number, from } => self.read(vm, number, from),
            sync::Action::Deliver(record) => {
                let daemon = self.daemons.get_mut(vm).expect("a known VM");
                daemon.delivered.push((record.offset, now));
            }
            sync::Action::NeedSnapshot { .. } | sync::Action::ServingChanged(_) => {}
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
        let payload = if self.log_up && self.daemons[vm].log_reachable {
            Payload::Tail(Tail {
                number,
                batch,
                end: true,
            })
        } else {
            Payload::Failed(number)
        };
        self.count += 1;
        let log = Vm::from("log");
        self.queue.insert(
            (self.now + Millis(20), self.count),
            (log, vm.clone(), payload),
        );
    }

    /// Queues a message with a random delay; it may be lost or duplicated.
    fn send(&mut self, from: &Vm, to: &Vm, payload: &Payload) {
        if self.metered.as_ref() == Some(from) {
            let start = Instant::now();
            self.meter.sent.1 += encoded(payload);
            self.meter.codec += start.elapsed();
            self.meter.sent.0 += 1;
        }
        let partitions = (
            self.daemons[from].partition,
            self.daemons.get(to).map(|d| d.partition),
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
            if Some(partitions.0) == partitions.1 && !lost {
                self.queue.insert(
                    (due, self.count),
                    (from.clone(), to.clone(), payload.clone()),
                );
            }
        }
    }
}

/// Passes the changes that membership reported on to sync.
fn relay(daemon: &mut Daemon, now: Millis, found: &[member::Action], out: &mut Vec<sync::Action>) {
    for action in found {
        match action {
            member::Action::PeerProgress { vm, at, progress } => {
                daemon.sync.receive_progress(now, vm, *at, *progress, out);
            }
            member::Action::Resumed => daemon.sync.abandon_requests(),
            member::Action::Send { .. } => {}
            _ => daemon.peers_changed = true,
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

fn encoded(payload: &Payload) -> u64 {
    match payload {
        Payload::Member(message) => serde_json::to_vec(message)
            .expect("messages have a JSON form")
            .len() as u64,
        Payload::Sync(message) => serde_json::to_vec(message)
            .expect("messages have a JSON form")
            .len() as u64,
        Payload::Tail(_) | Payload::Failed(_) => 0,
    }
}

fn decode(payload: &Payload) {
    match payload {
        Payload::Member(message) => {
            let text = serde_json::to_vec(message).expect("messages have a JSON form");
            let _: member::message::Message =
                serde_json::from_slice(&text).expect("what was encoded decodes");
        }
        Payload::Sync(message) => {
            let text = serde_json::to_vec(message).expect("messages have a JSON form");
            let _: sync::message::Message =
                serde_json::from_slice(&text).expect("what was encoded decodes");
        }
        Payload::Tail(_) | Payload::Failed(_) => {}
    }
}

/// Returns the VMs that `daemon` offers to callers.
pub fn addresses(daemon: &mut Daemon, now: Millis, count: usize) -> BTreeSet<Vm> {
    let answer = daemon.members.addresses(now, count, 7);
    answer.members.into_iter().map(|m| m.vm).collect()
}
