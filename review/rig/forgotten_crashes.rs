//! A request that crashes the engines that run it comes again, while the daemons are restarted in turn.

use std::io;
use std::thread;
use std::time::Duration;

use crate::world::*;

const TIMEOUT_MS: u64 = 800;
const DEADLINE_MS: u64 = 1500;
/// How long a harmless request takes, and how many run at the time of a crash.
const WORK: &str = "work=150";
const OTHERS: usize = 6;
/// How long a daemon must run before it is in touch.
const CONTACT_MS: u64 = 3000;
/// The pause between the restarts of two daemons.
const GAP_MS: u64 = 1000;
/// How long a crashed engine is down.
const DOWN_MS: u64 = 3000;
/// The retries that may reach engines later than [`CONTACT_MS`] after the third crash.
const MAX_RETRIES: usize = 3;

pub fn run(dir: &str, is_troubled: bool) -> io::Result<bool> {
    let mut world = World::new(dir)?;
    world.write_config(&plain_config(1, &[("credit", "/credit/", "non_idempotent", TIMEOUT_MS, 1)]));
    let ids = ["i-1", "i-2", "i-3"];
    for (at, id) in ids.into_iter().enumerate() {
        let own = addr("127.0.0.1", free_port("127.0.0.1"));
        world.start_engine(id, own, own, ZONES[at], &["crashes", WORK])?;
    }
    world.start_daemons(3)?;
    if !world.wait_ready(Duration::from_secs(20)) {
        return Err(io::Error::other("the daemons did not get ready"));
    }
    sleep(2000 + CONTACT_MS);

    // The same path, key and body each time, at one daemon after the other; each attempt has its own id.
    let mut crashes: Vec<u64> = Vec::new();
    let mut refused = 0;
    let mut lost = 0;
    for round in 0..4 {
        for turn in 0..2 {
            let number = round * 2 + turn;
            let front = world.daemons[number % 3].front;
            let before = world.events().len();
            // Other clients' requests are running on all engines.
            let others: Vec<_> = (0..OTHERS)
                .map(|other| {
                    let (record, front) = (world.record.clone(), world.daemons[other % 3].front);
                    let id = format!("other-{number}-{other}");
                    thread::spawn(move || call(&record, front, "POST", "/credit/1", &id, DEADLINE_MS, DEADLINE_MS, b"{}"))
                })
                .collect();
            sleep(50);
            let seen = call(&world.record, front, "POST", "/credit/crash", &format!("again-{number}"), DEADLINE_MS, DEADLINE_MS, b"{}");
            let others = others.into_iter().map(|client| client.join().expect("the client failed"));
            let cut = others.filter(|other| other.status == 502).count();
            sleep(200);
            let name = format!("again-{number}");
            let is_own = |event: &&Event| event.words[0] == "run" && event.words[1] == name;
            let ran: Vec<Event> = world.events()[before..].iter().filter(is_own).cloned().collect();
            lost += cut;
            refused += usize::from(seen.status == 503 && ran.is_empty());
            crashes.extend(ran.iter().map(|event| event.at));
            sleep(DOWN_MS);
            for event in ran {
                let own = world.engines[&event.engine].addr;
                world.kill_engine(&event.engine);
                let at = ids.iter().position(|id| *id == event.engine).unwrap_or(0);
                world.start_engine(&event.engine, own, own, ZONES[at], &["crashes", WORK])?;
            }
            sleep(1000);
        }
        if is_troubled && round < 2 {
            for at in 0..3 {
                world.stop_daemon(at);
                world.restart_daemon(at)?;
                if !world.wait_ready(Duration::from_secs(20)) {
                    return Err(io::Error::other("the daemons did not get ready again"));
                }
                sleep(GAP_MS);
            }
            sleep(CONTACT_MS + 1000);
        }
    }
    let third = crashes.get(2).copied().unwrap_or(u64::MAX);
    let late = crashes.iter().filter(|at| **at > third.saturating_add(CONTACT_MS)).count();
    let line = format!(
        "the request crashed {} engines, {late} of them later than {CONTACT_MS} ms after the third crash; it was refused {refused} times; \
         {lost} requests of others were cut off with the engines",
        crashes.len()
    );
    world.record.add(&format!("check   {line}"));
    println!("{line}");
    Ok(late <= MAX_RETRIES)
}
