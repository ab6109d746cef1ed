//! Whether a VM reaches any endpoint, and which VM serves callers of one that does not.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use cornelwharf::clock::Millis;
use cornelwharf::core::fleet::Fleet;
use cornelwharf::core::fleet::Member;
use cornelwharf::core::position::Position;
use cornelwharf::core::reach::Reach;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn addr(index: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 0, 0, index), 80))
}

fn member(index: u8, version: u64) -> Member {
    Member {
        vm: format!("vm-{index}").as_str().into(),
        domain: "north".into(),
        front: SocketAddr::from((Ipv4Addr::new(10, 0, 1, index), 80)),
        peer: addr(index),
        boot: 1,
        heartbeat: 1,
        ready: true,
        version,
        roster_end: Position::default(),
        has_store: true,
        load: u32::from(index),
    }
}

fn fleet(index: u8) -> Fleet {
    Fleet::new(
        member(index, 5),
        Vec::new(),
        ChaCha8Rng::seed_from_u64(u64::from(index)),
    )
}

/// Passes the messages and notices of one VM to another.
fn tell(now: Millis, from: &mut Fleet, to: &mut Fleet) {
    let (message, _) = from.next_message(now, Vec::new());
    let notices = from.cut_notices(now);
    to.receive(now, message);
    to.receive_cut_notices(now, &notices);
}

#[test]
fn one_failed_endpoint_makes_no_check_due() {
    let mut reach = Reach::default();
    for at in 0..5 {
        reach.record_failure(Millis(at), addr(1));
        assert!(!reach.begin_check(Millis(at), 10));
    }
    reach.record_failure(Millis(5), addr(2));
    assert!(reach.begin_check(Millis(5), 10));
    assert!(!reach.begin_check(Millis(5), 10), "one check at a time");
}

#[test]
fn failures_before_a_contact_or_long_ago_make_no_check_due() {
    let mut reach = Reach::default();
    reach.record_failure(Millis(0), addr(1));
    assert_eq!(reach.record_contact(Millis(1)), None);
    reach.record_failure(Millis(2), addr(2));
    assert!(!reach.begin_check(Millis(2), 10));
    reach.record_failure(Millis(5000), addr(3));
    assert!(!reach.begin_check(Millis(5000), 10));
}

#[test]
fn a_vm_is_cut_off_only_if_no_endpoint_answers_during_the_check() {
    let mut reach = Reach::default();
    assert!(reach.begin_recheck());
    reach.record_contact(Millis(120));
    assert!(!reach.end_check(Millis(200), Millis(100), 5));
    assert!(!reach.is_cut_off());
    assert!(reach.begin_recheck());
    assert!(
        !reach.end_check(Millis(250), Millis(240), 0),
        "none was asked"
    );
    assert!(reach.begin_recheck());
    assert!(reach.end_check(Millis(500), Millis(300), 5));
    assert!(reach.is_cut_off());
    assert_eq!(reach.record_contact(Millis(900)), Some(Millis(400)));
    assert!(!reach.is_cut_off());
}

#[test]
fn a_vm_that_reaches_no_endpoint_neither_leads_nor_is_named_to_callers() {
    let now = Millis(100);
    let (mut first, mut second) = (fleet(1), fleet(2));
    tell(now, &mut first, &mut second);
    tell(now, &mut second, &mut first);
    assert!(first.is_leader(now) && !second.is_leader(now));
    first.set_cut_off(true);
    tell(now, &mut first, &mut second);
    assert!(!first.is_leader(now) && second.is_leader(now));
    let only_second = vec![member(2, 5).front];
    assert_eq!(first.addresses(now), only_second);
    assert_eq!(second.addresses(now), only_second);
    second.set_cut_off(true);
    assert_eq!(second.addresses(now).len(), 2, "all are cut off");
}

#[test]
fn a_notice_is_passed_on_and_ends_unless_it_is_renewed() {
    let (mut first, mut second, mut third) = (fleet(1), fleet(2), fleet(3));
    first.set_cut_off(true);
    tell(Millis(100), &mut first, &mut second);
    tell(Millis(200), &mut second, &mut third);
    tell(Millis(200), &mut first, &mut third);
    assert_eq!(third.choose_detour(Millis(200), &[]), Some(addr(2)));
    first.set_cut_off(false);
    for step in 1..=10 {
        let now = Millis(200 + 200 * step);
        tell(now, &mut first, &mut third);
        tell(now, &mut second, &mut third);
    }
    let found = (0..20).any(|_| third.choose_detour(Millis(2200), &[]) == Some(addr(1)));
    assert!(found);
}

#[test]
fn a_detour_leads_to_an_older_configuration_last_and_more_often_to_the_less_loaded_vm() {
    let now = Millis(100);
    let mut own = fleet(9);
    let mut message = fleet(1).next_message(now, Vec::new()).0;
    message.others = vec![member(2, 5), member(3, 4), member(4, 6)];
    own.receive(now, message);
    let mut counts = [0; 5];
    for _ in 0..300 {
        let peer = own.choose_detour(now, &[]).expect("a VM");
        let index = (1..5).find(|index| addr(*index) == peer).expect("known");
        counts[usize::from(index)] += 1;
    }
    assert_eq!(counts[3], 0, "it has an older configuration");
    assert!(counts[1] > counts[2] && counts[2] > counts[4], "{counts:?}");
    let newer = [addr(1), addr(2), addr(4)];
    assert_eq!(own.choose_detour(now, &newer), Some(addr(3)));
    let all = [addr(1), addr(2), addr(3), addr(4)];
    assert_eq!(own.choose_detour(now, &all), None);
}

#[test]
fn callers_of_many_vms_that_are_cut_off_do_not_overload_a_few_others() {
    /// The others know the load of a VM as it was some requests ago.
    const STALE_REQUESTS: u64 = 20;
    const REQUESTS: u64 = 2000;
    let mut cut_off: Vec<Fleet> = (1..=8).map(fleet).collect();
    let mut loads = [0_u32; 7];
    let reaching = |loads: &[u32; 7]| -> Vec<Member> {
        let members = loads.iter().zip(9..);
        let member = |(load, index): (&u32, u8)| Member {
            load: *load,
            ..member(index, 5)
        };
        members.map(member).collect()
    };
    for request in 0..REQUESTS {
        let now = Millis(100 + request);
        if request % STALE_REQUESTS == 0 {
            for own in &mut cut_off {
                let mut message = fleet(20).next_message(now, Vec::new()).0;
                message.from.ready = false;
                message.others = reaching(&loads);
                for member in &mut message.others {
                    member.heartbeat = 2 + request;
                }
                own.receive(now, message);
            }
        }
        let own = &mut cut_off[(request % 8) as usize];
        let peer = own.choose_detour(now, &[]).expect("a VM");
        let index = (0..7).find(|index| addr(9 + index) == peer).expect("known");
        loads[usize::from(index)] += 100;
    }
    let mean = REQUESTS as u32 * 100 / 7;
    let busiest = loads.iter().max().expect("loads");
    assert!(*busiest * 10 <= mean * 12, "{loads:?}");
}
