//! Records of the `config` stream under loss, crashes, partitions and outages of the log.

mod net;

use cornelwharf::clock::Millis;
use cornelwharf::consts::FRESHNESS_TIMEOUT;
use cornelwharf::core::sync::NotServing;
use net::World;
use net::vm;

fn settled(size: usize, domains: usize, seed: u64) -> World {
    let mut world = World::new(size, domains, seed);
    world.append("first");
    world.run(Millis::seconds(12));
    assert_eq!(world.serving(), size);
    world
}

fn verdict(world: &World, index: usize) -> Result<(), NotServing> {
    let daemon = &world.daemons[&vm(index)];
    let reach = daemon.members.reach(world.now);
    daemon.sync.may_serve(world.now, reach)
}

fn confirm(world: &World, index: usize) -> Result<(), NotServing> {
    let daemon = &world.daemons[&vm(index)];
    let reach = daemon.members.reach(world.now);
    daemon.sync.may_confirm(world.now, reach)
}

/// Checks that every daemon got every record once, in order.
fn check_order(world: &World) {
    for (vm, daemon) in &world.daemons {
        let got: Vec<u64> = daemon.delivered.iter().map(|(offset, _)| *offset).collect();
        let want: Vec<u64> = world.records.iter().map(|record| record.offset).collect();
        assert_eq!(got, want, "{vm}");
    }
}

#[test]
fn records_reach_all_within_three_seconds() {
    for (size, domains) in [(15, 3), (360, 6)] {
        let mut world = settled(size, domains, 21);
        world.loss = 0.2;
        let doomed =
            |d: &net::Daemon| d.sync.is_reader() && d.members.me().domain.as_str() == "domain-1";
        world.daemons.retain(|_, daemon| !doomed(daemon));
        for _ in 0..3 {
            world.append("change");
            let start = world.now;
            world.run(Millis::seconds(3));
            check_order(&world);
            let times = world.daemons.values().filter_map(|d| d.delivered.last());
            let last = times.map(|(_, at)| at.since(start)).max();
            println!("{size} VMs: last at {last:?}");
        }
    }
}

#[test]
fn vm_cut_off_from_all_stops_in_time() {
    for (size, domains) in [(3, 3), (15, 3), (60, 6)] {
        let mut world = settled(size, domains, 22);
        world.daemon(1).partition = 1;
        world.daemon(1).log_reachable = false;
        world.run(FRESHNESS_TIMEOUT + Millis(100));
        assert_eq!(verdict(&world, 1), Err(NotServing::CutOff), "{size} VMs");
        assert_eq!(world.serving(), size - 1);
    }
}

#[test]
fn vm_without_the_log_keeps_serving_through_its_peers() {
    let mut world = settled(15, 3, 23);
    world.daemon(1).log_reachable = false;
    world.append("change");
    world.run(Millis::seconds(10));
    assert_eq!(world.serving(), 15);
    check_order(&world);
}

#[test]
fn log_outage_stops_no_daemon() {
    let mut world = settled(15, 3, 24);
    world.log_up = false;
    world.loss = 0.1;
    for _ in 0..60 {
        world.run(Millis::seconds(1));
        assert_eq!(world.serving(), 15);
    }
    assert_eq!(confirm(&world, 1), Err(NotServing::LogDown));
    world.log_up = true;
    world.run(Millis::seconds(3));
    assert_eq!(confirm(&world, 1), Ok(()));
}

#[test]
fn minority_without_the_log_stops() {
    let mut world = settled(15, 3, 25);
    for index in (0..15).step_by(3) {
        world.daemon(index).partition = 1;
        world.daemon(index).log_reachable = false;
    }
    world.run(FRESHNESS_TIMEOUT + Millis(100));
    assert_eq!(verdict(&world, 0), Err(NotServing::CutOff));
    assert_eq!(world.serving(), 10);
    assert_eq!(confirm(&world, 1), Ok(()));
}

#[test]
fn minority_with_the_log_serves_but_confirms_nothing() {
    let mut world = settled(15, 3, 26);
    for index in 0..15 {
        let small = index % 3 == 0;
        world.daemon(index).partition = u8::from(small);
        world.daemon(index).log_reachable = small;
    }
    world.run(Millis::seconds(20));
    assert_eq!(world.serving(), 15);
    assert_eq!(confirm(&world, 0), Err(NotServing::CutOff));
    assert_eq!(confirm(&world, 1), Err(NotServing::LogDown));
}

#[test]
fn starting_vm_takes_the_state_of_its_peers_when_the_log_is_down() {
    let mut world = settled(15, 3, 27);
    world.log_up = false;
    world.run(Millis::seconds(20));
    world.daemons.remove(&vm(1));
    world.start(net::member(1, 3, 2), &[net::listed(&net::member(2, 3, 1))]);
    assert_eq!(verdict(&world, 1), Err(NotServing::Starting));
    world.run(Millis::seconds(10));
    assert_eq!(verdict(&world, 1), Ok(()));
    check_order(&world);
}

#[test]
fn lone_vm_never_starts_without_the_log() {
    let mut world = World::new(3, 3, 28);
    world.log_up = false;
    world.run(Millis::seconds(30));
    assert_eq!(world.serving(), 0);
}
