//! Measures the processor time of decisions that read the whole fleet, by its size: those that a VM makes for each
//! request, and those that it makes several times a second. Prints the table for docs/CAPACITY.md.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cornelwharf::clock::Millis;
use cornelwharf::core::admit::token_capacity;
use cornelwharf::core::fleet::Fleet;
use cornelwharf::core::fleet::Member;
use cornelwharf::core::fleet::Message;
use cornelwharf::core::load::ClassKey;
use cornelwharf::core::load::ClassLoad;
use cornelwharf::core::load::Exchange;
use cornelwharf::core::load::LoadMessage;
use cornelwharf::core::load::NameHash;
use cornelwharf::core::pipe::Span;
use cornelwharf::core::position::Position;
use cornelwharf::core::roster::Change;
use cornelwharf::core::roster::Entry;
use cornelwharf::core::roster::Roster;
use cornelwharf::core::site::Card;
use cornelwharf::core::site::Model;
use cornelwharf::names::ServiceName;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The VMs, engines and customers of each row.
const SIZES: [(usize, usize, usize); 3] = [(13, 41, 10), (195, 218, 30), (300, 3000, 21_000)];
/// How long each cell is measured.
const SPAN: Duration = Duration::from_millis(200);
const NOW: Millis = Millis::seconds(1000);

fn addr(index: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], port))
}

/// Returns the time of one call, in milliseconds.
fn time<F>(mut work: F) -> f64
where
    F: FnMut(),
{
    let (start, mut calls) = (Instant::now(), 0_u32);
    while start.elapsed() < SPAN {
        work();
        calls += 1;
    }
    start.elapsed().as_secs_f64() * 1000.0 / f64::from(calls)
}

fn model() -> Model {
    let card = Card {
        memory: 21_600.0,
        pace: 16.0,
        read: 8.2,
    };
    Model {
        layers: 80,
        weight: 1750.0,
        token: 459e3,
        slots: 192,
        load: Millis::seconds(14),
        step: 0.85,
        sequence: 0.003,
        context: 0.004,
        reading: 252.0,
        activation: 22_900.0,
        pipe: 5_600.0,
        delay: 0.25,
        usual: (760.0, 140.0),
        cards: BTreeMap::from([("l4".into(), card)]),
    }
}

fn engine_name(index: usize) -> String {
    format!("i-{index:010x}")
}

fn roster(engines: usize) -> Roster {
    let mut roster = Roster::default();
    for index in 0..engines {
        let from = (index % 8) as u32 * 10;
        let entry = Entry {
            endpoint: engine_name(index).as_str().into(),
            born: 1,
            service: "llm".into(),
            addr: addr(index, 80),
            domain: format!("zone-{}", index % 5).as_str().into(),
            leaving: false,
            slots: 192,
            kind: Some("l4".into()),
            span: Some(Span {
                from,
                to: from + 10,
            }),
        };
        let change = Change {
            endpoint: entry.endpoint.clone(),
            offset: Position::new(1, index as u64 + 1),
            entry: Some(entry),
        };
        roster.apply(NOW, change);
    }
    roster
}

/// Returns the exchange of a VM that has heard the load of all others.
fn exchange(engines: usize, customers: usize) -> Exchange<u32> {
    let mut hub = Exchange::new(NameHash::of("hub"));
    let mut vm = Exchange::new(NameHash::of("vm"));
    let mut other = Exchange::new(NameHash::of("other"));
    for index in 0..engines {
        other.begin_request(NameHash::of(&engine_name(index)), index % 8 == 0, 9000);
    }
    for index in 0..customers {
        let key = ClassKey {
            service: NameHash::of("llm"),
            priority: 1,
            customer: NameHash::of(&format!("customer-{index}")),
        };
        other.own().classes.insert(key, ClassLoad::default());
    }
    for (sender, from) in [(&mut other, 2), (&mut vm, 3)] {
        for (_, message) in sender.next_messages(NOW, &from, &[1], &[], false) {
            hub.receive(NOW, from, message);
        }
    }
    for (to, message) in hub.next_messages(NOW, &1, &[1], &[], false) {
        if to == 3 && matches!(message, LoadMessage::Total { .. }) {
            vm.receive(NOW, 1, message);
        }
    }
    assert!(vm.age(NOW).is_some());
    vm
}

fn member(index: usize) -> Member {
    Member {
        vm: format!("edge-{index:04}").as_str().into(),
        domain: format!("zone-{}", index % 5).as_str().into(),
        front: addr(index, 80),
        peer: addr(index, 90),
        boot: 1,
        heartbeat: 1,
        ready: true,
        version: 0,
        roster_end: Position::default(),
        has_store: true,
        load: 900,
    }
}

fn fleet(vms: usize) -> Fleet {
    let rng = ChaCha8Rng::seed_from_u64(1);
    let mut fleet = Fleet::new(member(0), vec![addr(1, 90)], rng);
    for index in 1..vms {
        let message = Message {
            from: member(index),
            others: Vec::new(),
            digests: Vec::new(),
            store_age: Millis(0),
            marks: Vec::new(),
        };
        fleet.receive(NOW, message);
        fleet.record_capacity(&member(index).vm, 120);
    }
    assert_eq!(fleet.serving_count(NOW), vms);
    fleet
}

fn main() {
    let model = model();
    let service = ServiceName::from("llm");
    println!(
        "| VMs, engines, customers | engines and their load | room | callers' load | hubs | gossip message | load of all VMs |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (vms, engines, customers) in SIZES {
        let roster = roster(engines);
        let exchange = exchange(engines, customers);
        let mut fleet = fleet(vms);
        let load = |engine| exchange.engine(NOW, engine).0;
        let stages = roster.stages(&service, &model, NOW, load);
        assert_eq!(stages.len(), engines);
        let cells = [
            time(|| drop(black_box(roster.stages(&service, &model, NOW, load)))),
            time(|| _ = black_box(token_capacity(&stages, &model))),
            time(|| drop(black_box(exchange.callers(NOW)))),
            time(|| drop(black_box(fleet.hubs(NOW)))),
            time(|| drop(black_box(fleet.next_message(NOW, Vec::new())))),
            time(|| _ = black_box(fleet.total_load(NOW))),
        ];
        let cells: Vec<String> = cells.iter().map(|ms| format!("{ms:.3}")).collect();
        println!("| {vms}, {engines}, {customers} | {} |", cells.join(" | "));
    }
}
