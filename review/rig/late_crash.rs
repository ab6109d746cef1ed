//! A request that crashes the engines that run it, after some events of its stream, comes again.

use std::io;
use std::thread;
use std::time::Duration;

use crate::assist::config;
use crate::assist::start;
use crate::assist::stream;
use crate::world::*;

const ENGINES: [&str; 6] = ["m-1", "m-2", "m-3", "m-4", "m-5", "m-6"];
/// How long a daemon must have been undisturbed to be in touch.
const CONTACT_MS: u64 = 3000;
/// How long a crashed engine is down.
const DOWN_MS: u64 = 3000;
/// The retries that may reach engines later than [`CONTACT_MS`] after the third crash.
const MAX_RETRIES: usize = 3;
/// How often the request comes.
const TIMES: usize = 9;

/// With `TROUBLE=early` the engines crash after the first event.
pub fn run(dir: &str, is_troubled: bool) -> io::Result<bool> {
    let is_early = std::env::var("TROUBLE").is_ok_and(|text| text == "early");
    let crash_at = match (is_troubled, is_early) {
        (false, _) => "crash-at=0",
        (true, true) => "crash-at=1",
        (true, false) => "crash-at=4",
    };
    let mut world = World::new(dir)?;
    world.write_config(&config());
    for (at, id) in ["i-1", "i-2"].into_iter().enumerate() {
        let own = addr("127.0.0.1", free_port("127.0.0.1"));
        world.start_engine(id, own, own, ZONES[1 + at], &[])?;
    }
    for (at, id) in ENGINES.into_iter().enumerate() {
        let own = addr("127.0.0.1", free_port("127.0.0.1"));
        start(&mut world, id, own, ZONES[at % 3], &[crash_at])?;
    }
    world.start_daemons(3)?;
    if !world.wait_ready(Duration::from_secs(20)) {
        return Err(io::Error::other("the daemons did not get ready"));
    }
    sleep(CONTACT_MS);

    let mut crashes: Vec<u64> = Vec::new();
    let (mut late, mut cut, mut others) = (0, 0, 0);
    for turn in 0..TIMES {
        // Streams of other clients are running.
        let clients: Vec<_> = (0..6)
            .map(|other| {
                let (record, front, id) = (world.record.clone(), world.daemons[other % 3].front, format!("other-{turn}-{other}"));
                thread::spawn(move || stream(&record, front, &id, "/assist/1", &id))
            })
            .collect();
        sleep(50);
        // The same path, key and body each time, at one daemon after the other; each attempt has its own id.
        let id = format!("again-{turn}");
        let sent = world.record.ms();
        stream(&world.record, world.daemons[turn % 3].front, &id, "/assist/crash", "again");
        let served = clients.into_iter().map(|client| client.join().expect("the client failed"));
        for is_served in served {
            others += 1;
            cut += usize::from(!is_served);
        }
        let runs = world.runs(&id);
        if crashes.len() >= 3 && sent > crashes[2] + CONTACT_MS && !runs.is_empty() {
            late += 1;
        }
        let ended: Vec<Event> = world.events().into_iter().filter(|event| event.words[0] == "crashes" && event.words[1] == id).collect();
        crashes.extend(ended.iter().map(|event| event.at));
        for event in &ended {
            world.kill_engine(&event.engine);
        }
        sleep(DOWN_MS);
        for event in ended {
            let own = world.engines[&event.engine].addr;
            let at = ENGINES.iter().position(|id| *id == event.engine).unwrap_or(0);
            start(&mut world, &event.engine, own, ZONES[at % 3], &[crash_at])?;
        }
        sleep(1500);
    }
    let line = format!(
        "the request came {TIMES} times and crashed {} engines; {late} retries reached engines later than {CONTACT_MS} ms after the third \
         crash; {cut} of {others} streams of others were not served",
        crashes.len()
    );
    world.record.add(&format!("check   {line}"));
    println!("{line}");
    Ok(late <= MAX_RETRIES)
}
