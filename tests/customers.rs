//! Thousands of customers call one service at once: what VMs tell each other of them, and what each gets.

use std::collections::BTreeMap;

use cornelwharf::clock::Millis;
use cornelwharf::core::admit::order::View;
use cornelwharf::core::admit::streams::Arrival;
use cornelwharf::core::admit::streams::StreamAdmission;
use cornelwharf::core::load::ClassKey;
use cornelwharf::core::load::ClassLoad;
use cornelwharf::core::load::Exchange;
use cornelwharf::core::load::Load;
use cornelwharf::core::load::NameHash;
use cornelwharf::core::load::REPORT_INTERVAL;
use cornelwharf::core::poison::RequestDigest;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const CUSTOMERS: usize = 21_000;
const VMS: u32 = 120;
const DOMAINS: u32 = 3;
/// The size of the largest UDP datagram over IPv4, in bytes.
const DATAGRAM: usize = 65_507;
/// The tokens that each customer asks for in a second, but for the burst.
const USUAL: u32 = 300;
const BURST: u32 = 3_000_000;
const SIZE: u32 = 900;

fn key(customer: usize) -> ClassKey {
    ClassKey {
        service: NameHash::of("s"),
        priority: 1,
        customer: NameHash::of(&format!("customer-{customer}")),
    }
}

/// Returns VMs whose callers are all customers, each at some of the VMs; customer 0 has a burst at all VMs.
fn vms(seed: u64) -> Vec<Exchange<u32>> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut vms: Vec<_> = (0..VMS)
        .map(|vm| Exchange::new(NameHash::of(&format!("vm-{vm}"))))
        .collect();
    for customer in 0..CUSTOMERS {
        for _ in 0..3 {
            let vm = &mut vms[rng.random_range(0..VMS as usize)];
            let load = vm.own().classes.entry(key(customer)).or_default();
            load.offered += USUAL / 3;
            load.held += SIZE / 3;
        }
    }
    for vm in &mut vms {
        let load = vm.own().classes.entry(key(0)).or_default();
        load.offered += BURST / VMS;
    }
    vms
}

/// Passes all messages on for some rounds, and returns the size of the longest.
fn exchange(vms: &mut [Exchange<u32>], now: &mut Millis) -> usize {
    let mut longest = 0;
    for _ in 0..4 {
        *now += REPORT_INTERVAL;
        let mut sent = Vec::new();
        for (me, vm) in vms.iter_mut().enumerate() {
            let me = me as u32;
            let near = [me % DOMAINS];
            let far: Vec<u32> = (0..DOMAINS).filter(|hub| *hub != near[0]).collect();
            for (to, message) in vm.next_messages(*now, &me, &near, &far, false) {
                let bytes = message.encode().expect("a load");
                longest = longest.max(bytes.len());
                sent.push((me, to, message));
            }
        }
        for (from, to, message) in sent {
            vms[to as usize].receive(*now, from, message);
        }
    }
    longest
}

fn class_sum(load: &Load, field: fn(&ClassLoad) -> u32) -> u64 {
    load.classes
        .values()
        .map(|load| u64::from(field(load)))
        .sum()
}

#[test]
fn the_load_of_all_customers_outgrows_a_datagram() {
    let mut vms = vms(1);
    let mut now = Millis::seconds(1000);
    let longest = exchange(&mut vms, &mut now);
    assert!(longest <= DATAGRAM, "{longest} bytes");
    for vm in &vms {
        let (load, age) = vm.callers(now);
        assert!(age.is_some());
        let offered = class_sum(&load, |load| load.offered);
        assert_eq!(
            offered,
            u64::from(BURST) + CUSTOMERS as u64 * u64::from(USUAL)
        );
        let held = class_sum(&load, |load| load.held);
        assert_eq!(held, CUSTOMERS as u64 * u64::from(SIZE / 3 * 3));
    }
}

#[test]
fn each_request_copies_what_all_customers_ask_for() {
    let mut vms = vms(2);
    let mut now = Millis::seconds(1000);
    exchange(&mut vms, &mut now);
    for vm in &mut vms {
        let own = vm.own().classes.len();
        let known = vm.callers(now).0.classes.len();
        assert!(
            known <= own + 1024,
            "{known} classes, {own} of them its own"
        );
    }
}

#[test]
fn small_customers_are_shed_for_the_burst_of_one_that_shares_their_class() {
    let mut vms = vms(3);
    let mut now = Millis::seconds(1000);
    exchange(&mut vms, &mut now);
    let (load, age) = vms[7].callers(now);
    let mut streams = StreamAdmission::default();
    let mut own = Load::default();
    let all = f64::from(CUSTOMERS as u32 * USUAL);
    // Streams last 3 s: all but the burst fit, beside what customers over their share leave free.
    let view = View {
        load: &load,
        age,
        capacity: all * 4.2,
        fill: 0.99,
    };
    let mut shed = BTreeMap::new();
    for (customer, draw) in (0..50).flat_map(|customer| [(customer, 0.3), (customer, 0.9)]) {
        let arrival = Arrival {
            service: "s".into(),
            route: "r".to_owned(),
            team: Some(format!("customer-{customer}").as_str().into()),
            priority: 1,
            size: SIZE,
            content: RequestDigest::of_call("", "POST", "/", b""),
            target: Millis(500),
            left: Millis::seconds(20),
        };
        let claim = streams.arrive(now, &arrival, &view, &mut own);
        streams.record_duration(&claim.key, Millis::seconds(3));
        let grant = streams.grant(now, &arrival, &claim, &view, draw);
        *shed.entry(customer).or_insert(0) += u32::from(grant.is_shed);
    }
    assert!(shed[&0] > 0, "the burst is not shed");
    let others = shed.iter().filter(|(customer, _)| **customer != 0);
    let others: u32 = others.map(|(_, count)| count).sum();
    assert_eq!(others, 0, "small customers are shed");
}
