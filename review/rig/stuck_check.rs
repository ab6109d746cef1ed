//! An engine crashes, and the client leaves whose request first showed it.

use std::io;
use std::thread;
use std::time::Duration;

use crate::proxy;
use crate::world::*;

/// The time limit of the route, in milliseconds.
const TIMEOUT_MS: u64 = 800;
/// How long a client waits that does not give up.
const DEADLINE_MS: u64 = 1500;
/// When a client gives up: half the latency objective of 150 ms.
const PATIENCE_MS: u64 = 75;
/// How long a request takes at an engine.
const WORK: &str = "work=200";
/// One way between the two regions.
const REGION_DELAY: Duration = Duration::from_millis(20);
/// How long a crashed engine is down.
const DOWN_MS: u64 = 4500;

/// With `TROUBLE=crash` the engines crash and nobody gives up.
pub fn run(dir: &str, is_troubled: bool) -> io::Result<bool> {
    let gives_up = is_troubled && std::env::var("TROUBLE").map_or(true, |text| text != "crash");
    let mut world = World::new(dir)?;
    world.write_config(&plain_config(1, &[("lookup", "/lookup/", "idempotent", TIMEOUT_MS, 2)]));
    for (at, id) in ["i-1", "i-2", "i-3"].into_iter().enumerate() {
        let own = addr("127.0.0.1", free_port("127.0.0.1"));
        let mut seen = own;
        if at > 0 {
            // The second and the third engine are in the other region.
            seen = addr("127.0.0.1", free_port("127.0.0.1"));
            proxy::start(seen, own, REGION_DELAY);
        }
        world.start_engine(id, own, seen, ZONES[at], &[WORK])?;
    }
    let near = world.engines["i-1"].addr;
    world.start_daemons(3)?;
    if !world.wait_ready(Duration::from_secs(20)) {
        return Err(io::Error::other("the daemons did not get ready"));
    }
    sleep(2000);

    // One client in five gives up. Its request's engine crashes while it runs, if that is the near one. This
    // happens twice.
    let mut crashes = 0;
    for round in 0..24 {
        for turn in 0..4 {
            lookup(&world, 0, &format!("before-{round}-{turn}"), DEADLINE_MS);
        }
        let id = format!("leaving-{round}");
        let (record, front, name) = (world.record.clone(), world.daemons[0].front, id.clone());
        let patience = if gives_up { PATIENCE_MS } else { DEADLINE_MS };
        let client = thread::spawn(move || {
            call(&record, front, "GET", "/lookup/1", &name, DEADLINE_MS, patience, b"")
        });
        sleep(50);
        let is_hit = is_troubled && world.runs(&id) == ["i-1"];
        if is_hit {
            world.kill_engine("i-1");
            crashes += 1;
        }
        let _ = client.join();
        if is_hit {
            sleep(DOWN_MS);
            world.start_engine("i-1", near, near, ZONES[0], &[WORK])?;
            sleep(1500);
        }
        if crashes == 2 || !is_troubled && round == 6 {
            break;
        }
    }
    if is_troubled && crashes == 0 {
        return Err(io::Error::other("no request that its client gave up ran on the near engine"));
    }
    sleep(3000);

    // The near engine crashes again, under requests whose clients wait. Nobody gives up any more.
    let mut answers = Vec::new();
    for round in 0..3 {
        let clients: Vec<_> = (0..12)
            .map(|turn| {
                let (record, front) = (world.record.clone(), world.daemons[0].front);
                let name = format!("after-{round}-{turn}");
                thread::spawn(move || call(&record, front, "GET", "/lookup/1", &name, DEADLINE_MS, DEADLINE_MS, b""))
            })
            .collect();
        sleep(100);
        if is_troubled {
            world.kill_engine("i-1");
        }
        answers.extend(clients.into_iter().map(|client| client.join().expect("the client failed")));
        if is_troubled {
            sleep(DOWN_MS);
            
            world.start_engine("i-1", near, near, ZONES[0], &[WORK])?;
        }
        sleep(1500);
    }

    let is_open = |answer: &&Seen, ms: u64| answer.status == 0 && answer.left || answer.took > ms;
    let long = answers.iter().filter(|answer| is_open(answer, TIMEOUT_MS)).count();
    let late = answers.iter().filter(|answer| is_open(answer, TIMEOUT_MS + 500)).count();
    let is_ready = world.is_ready(0);
    let line = format!(
        "of {} requests, {long} had no final answer at the route's {TIMEOUT_MS} ms, and {late} none half a second later; the daemon \
         is ready: {is_ready}",
        answers.len()
    );
    world.record.add(&format!("check   {line}"));
    println!("{line}");
    Ok(!(late >= 8 && late * 4 > long))
}

fn lookup(world: &World, at: usize, id: &str, patience: u64) -> Seen {
    call(&world.record, world.daemons[at].front, "GET", "/lookup/1", id, DEADLINE_MS, patience, b"")
}
