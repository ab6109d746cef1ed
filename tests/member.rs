//! Membership under crashes, pauses, partitions, departures and loss.

mod net;

use std::collections::BTreeSet;

use cornelwharf::clock::Millis;
use cornelwharf::core::member::Action;
use cornelwharf::core::member::Reach;
use cornelwharf::core::member::message::Body;
use cornelwharf::core::member::message::Message;
use cornelwharf::core::member::message::Status;
use cornelwharf::core::member::rendezvous::rank;
use cornelwharf::names::Vm;
use net::World;
use net::addresses;
use net::listed;
use net::member;
use net::vm;

fn settled(size: usize, domains: usize, seed: u64) -> World {
    let mut world = World::new(size, domains, seed);
    world.run(Millis::seconds(15));
    world
}

/// Counts the daemons that offer `target` to callers.
fn count_offering(world: &World, target: &Vm) -> usize {
    let now = world.now;
    let offers = |daemon: &&net::Daemon| daemon.members.is_offered(now, target);
    world.daemons.values().filter(offers).count()
}

/// Removes a VM and returns how long at least one other daemon still offered it to callers.
fn kill_and_time(world: &mut World, index: usize) -> Millis {
    world.daemons.remove(&vm(index));
    let start = world.now;
    while count_offering(world, &vm(index)) > 0 && world.now.since(start) < Millis::seconds(20) {
        world.step();
    }
    world.now.since(start)
}

#[test]
fn all_serve_and_know_each_other() {
    for (size, domains) in [(3, 3), (15, 3), (60, 6)] {
        let world = settled(size, domains, 1);
        assert_eq!(world.serving(), size);
        for index in 0..size {
            assert_eq!(count_offering(&world, &vm(index)), size);
        }
    }
}

#[test]
fn dead_vm_leaves_addresses_within_three_seconds() {
    for (size, domains, loss) in [(3, 3, 0.0), (15, 3, 0.0), (15, 3, 0.2), (360, 6, 0.0)] {
        let mut world = settled(size, domains, 2);
        world.loss = loss;
        let span = kill_and_time(&mut world, 1);
        println!("{size} VMs, loss {loss}: {span} ms");
        assert!(
            span <= Millis::seconds(3),
            "{size} VMs, loss {loss}: {span} ms"
        );
    }
}

#[test]
fn message_loss_declares_no_daemon_dead() {
    let mut world = settled(15, 3, 3);
    world.loss = 0.2;
    world.run(Millis::seconds(60));
    let gone = |d: &net::Daemon| {
        d.changes
            .iter()
            .filter(|(_, c)| matches!(c, Action::Gone(_)))
            .count()
    };
    assert_eq!(world.daemons.values().map(gone).sum::<usize>(), 0);
}

#[test]
fn paused_vm_refreshes_and_refutes() {
    let mut world = settled(15, 3, 4);
    world.daemon(1).paused = true;
    world.run(Millis::seconds(10));
    let now = world.now;
    let paused = world.daemon(1);
    paused.paused = false;
    assert!(addresses(paused, now, 3).is_empty());
    assert_eq!(paused.members.reach(now), Reach::Minority);
    assert!(
        paused
            .sync
            .may_serve(now, paused.members.reach(now))
            .is_err()
    );
    world.run(Millis::seconds(3));
    assert!(
        world
            .daemon(1)
            .changes
            .iter()
            .any(|(_, c)| *c == Action::Resumed)
    );
    assert_eq!(count_offering(&world, &vm(1)), 15);
}

#[test]
fn partitioned_fleet_recovers() {
    let mut world = settled(15, 3, 5);
    for index in 0..15 {
        world.daemon(index).partition = u8::from(index % 3 == 0);
    }
    world.run(Millis::seconds(30));
    let now = world.now;
    assert_eq!(world.daemon(0).members.reach(now), Reach::Minority);
    assert_eq!(world.daemon(1).members.reach(now), Reach::Majority);
    for daemon in world.daemons.values_mut() {
        daemon.partition = 0;
    }
    world.run(Millis::seconds(20));
    for index in 0..15 {
        assert_eq!(count_offering(&world, &vm(index)), 15, "vm {index}");
    }
}

#[test]
fn leaving_vm_drops_out_at_once() {
    let mut world = settled(15, 3, 6);
    world.act(&vm(1), |daemon, now, peers, _| {
        daemon.members.leave(now, peers);
    });
    world.run(Millis(600));
    assert_eq!(count_offering(&world, &vm(1)), 0);
    assert_eq!(world.daemon(1).members.status(), Status::Leaving);
}

#[test]
fn new_boot_replaces_the_old_one() {
    let mut world = settled(15, 3, 7);
    let old = world.daemons.remove(&vm(1)).expect("vm 1");
    let list = [listed(&member(2, 3, 1))];
    world.start(member(1, 3, 2), &list);
    world.run(Millis::seconds(8));
    assert_eq!(count_offering(&world, &vm(1)), 15);
    let hello = next_message(&mut world, 1, old.members.me().boot);
    let now = world.now;
    let mut actions = Vec::new();
    world.daemon(3).members.receive(now, &hello, &mut actions);
    assert!(
        actions.is_empty(),
        "a message of an old boot is dropped: {actions:?}"
    );
}

#[test]
fn new_name_at_an_old_address_replaces_it() {
    let mut world = settled(15, 3, 8);
    world.daemons.remove(&vm(1));
    let mut me = member(1, 3, 2);
    me.vm = Vm::from("replacement");
    world.start(me, &[listed(&member(2, 3, 1))]);
    world.run(Millis(1000));
    assert_eq!(count_offering(&world, &vm(1)), 0);
    world.run(Millis::seconds(7));
    assert_eq!(count_offering(&world, &Vm::from("replacement")), 15);
}

fn next_message(world: &mut World, index: usize, boot: u64) -> Message {
    let now = world.now;
    let mut actions = Vec::new();
    let daemon = world.daemon(index);
    for step in 1..20 {
        daemon.members.tick(now + Millis(step * 50), &mut actions);
    }
    let sent = actions.into_iter().find_map(|action| match action {
        Action::Send { message, .. } => Some(message),
        _ => None,
    });
    let mut message = *sent.expect("a heartbeat within a second");
    message.from.member.boot = boot;
    message
}

#[test]
fn disagreeing_list_declares_no_daemon_dead() {
    let mut world = settled(15, 3, 9);
    let ghost = listed(&member(99, 3, 0));
    let mut leaving = listed(&member(2, 3, 1));
    leaving.leaving = true;
    for index in (0..15).filter(|index| *index != 2) {
        world.act(&vm(index), |daemon, now, peers, _| {
            daemon
                .members
                .apply_list(now, &[ghost.clone(), leaving.clone()], peers);
        });
    }
    world.run(Millis::seconds(5));
    assert_eq!(count_offering(&world, &vm(99)), 0);
    assert_eq!(
        count_offering(&world, &vm(2)),
        1,
        "only vm 2 itself has not seen the list"
    );
    assert_eq!(count_offering(&world, &vm(3)), 15);
}

#[test]
fn leaving_mark_of_an_old_boot_does_not_apply_to_the_new_one() {
    let mut world = settled(3, 3, 10);
    let mut mark = listed(&member(1, 3, 1));
    mark.leaving = true;
    let list = [mark, listed(&member(2, 3, 1))];
    world.act(&vm(0), |d, now, peers, _| {
        d.members.apply_list(now, &list, peers);
    });
    world.daemons.remove(&vm(1));
    world.start(member(1, 3, 2), &list);
    world.run(Millis::seconds(8));
    world.act(&vm(0), |d, now, peers, _| {
        d.members.apply_list(now, &list, peers);
    });
    let now = world.now;
    assert!(addresses(world.daemon(0), now, 3).contains(&vm(1)));
}

#[test]
fn addresses_spread_over_domains_and_avoid_load() {
    let mut world = settled(15, 3, 11);
    world.daemon(4).members.set_load(1000);
    world.run(Millis::seconds(20));
    let now = world.now;
    let daemon = world.daemon(0);
    let mut firsts = BTreeSet::new();
    for salt in 0..600 {
        let answer = daemon.members.addresses(now, 2, salt);
        assert_ne!(answer.members[0].domain, answer.members[1].domain);
        firsts.insert(answer.members[0].vm.clone());
    }
    assert_eq!(
        firsts.len(),
        14,
        "all but the loaded VM come first for some salt"
    );
    assert!(!firsts.contains(&vm(4)));
}

#[test]
fn rank_moves_only_the_keys_of_the_vm_that_left() {
    let all: Vec<Vm> = (0..30).map(vm).collect();
    for key in (0..200).map(|k| format!("shard-{k}")) {
        let before = rank(&key, &all);
        let mut expected = before.clone();
        expected.retain(|other| *other != vm(3));
        assert_eq!(
            rank(&key, all.iter().filter(|other| **other != vm(3))),
            expected
        );
    }
}

#[test]
fn later_release_is_understood() {
    let mut world = settled(3, 3, 12);
    let message = next_message(&mut world, 1, 1);
    let mut json = serde_json::to_value(&message).expect("a JSON form");
    json["b"] = serde_json::json!({"t": "of_a_later_release", "x": 1});
    json["y"] = serde_json::json!({"z": 2});
    json["v"] = 2.into();
    let later: Message = serde_json::from_value(json.clone()).expect("unknown fields are ignored");
    assert_eq!(later.body, Body::Unknown);
    assert!(later.is_compatible());
    json["mv"] = 2.into();
    let cut: Message = serde_json::from_value(json).expect("unknown fields are ignored");
    assert!(!cut.is_compatible());
}
