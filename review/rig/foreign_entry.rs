//! Another writer's entry, which lacks fields, under the name of an engine that is leaving.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::world::*;

const TIMEOUT_MS: u64 = 800;
const DEADLINE_MS: u64 = 1500;
/// How long requests may still reach an engine that is leaving.
const DRAIN_MS: u64 = 2000;

pub fn run(dir: &str, is_troubled: bool) -> io::Result<bool> {
    let mut world = World::new(dir)?;
    let routes = [("lookup", "/lookup/", "idempotent", TIMEOUT_MS, 2), ("credit", "/credit/", "non_idempotent", TIMEOUT_MS, 1)];
    world.write_config(&plain_config(1, &routes));
    for (at, id) in ["i-1", "i-2", "i-3"].into_iter().enumerate() {
        let own = addr("127.0.0.1", free_port("127.0.0.1"));
        world.start_engine(id, own, own, ZONES[at], &[])?;
    }
    world.start_daemons(3)?;
    if !world.wait_ready(Duration::from_secs(20)) {
        return Err(io::Error::other("the daemons did not get ready"));
    }
    sleep(2000);

    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..6)
        .map(|client| {
            let (record, front, is_over) = (world.record.clone(), world.daemons[client % 3].front, Arc::clone(&is_over));
            thread::spawn(move || {
                let mut answers = Vec::new();
                for turn in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        break;
                    }
                    let id = format!("c{client}-{turn}");
                    let (method, path) = if turn % 2 == 0 { ("POST", "/credit/1") } else { ("GET", "/lookup/1") };
                    answers.push(call(&record, front, method, path, &id, DEADLINE_MS, DEADLINE_MS, b"{}"));
                    sleep(40);
                }
                answers
            })
        })
        .collect();
    sleep(2000);

    // A planned shutdown: the engine has its entry removed, and serves on for some time.
    let own = world.engines["i-1"].addr;
    let left = world.record.ms();
    world.remove_entry("i-1");
    sleep(4000);
    if is_troubled {
        let text = format!("{{\"service\":\"{PLAIN}\",\"address\":\"{own}\",\"zone\":\"{}\",\"slots\":6,\"state\":\"ready\"}}", ZONES[0]);
        world.record.add(&format!("store   servers/i-1 by another writer: {text}"));
        world.store.put("keyed.servers", "i-1", text.as_bytes());
    }
    sleep(4000);
    // It exits now.
    let exit = world.record.ms();
    world.kill_engine("i-1");
    sleep(1500);
    is_over.store(true, Ordering::SeqCst);
    let answers: Vec<Seen> = clients.into_iter().flat_map(|client| client.join().expect("the client failed")).collect();

    let late = world.events().into_iter().filter(|event| {
        event.engine == "i-1" && event.words[0] == "run" && event.at > left + DRAIN_MS && event.at <= exit
    });
    let late: Vec<u64> = late.map(|event| event.at - left).collect();
    let failed = answers.iter().filter(|answer| answer.status != 200).count();
    let line = format!(
        "{} requests ran on the engine later than {DRAIN_MS} ms after the store had accepted its removal{}; of {} requests in all, \
         {failed} were not answered with 200",
        late.len(),
        late.first().map_or(String::new(), |first| format!(", the first one {first} ms after")),
        answers.len()
    );
    world.record.add(&format!("check   {line}"));
    println!("{line}");
    Ok(late.is_empty())
}
