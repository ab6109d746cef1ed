//! The engines of a model crash while some requests begin that share the first part of their prompts.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::net;
use crate::world::*;

const MODEL: &str = "assist-llm";
const ENGINES: [&str; 6] = ["m-1", "m-2", "m-3", "m-4", "m-5", "m-6"];
/// The requests that come at the same time, and the time between two such clumps.
const CLUMP: usize = 18;
const PAUSE_MS: u64 = 2500;
/// How long crashed engines are down.
const DOWN_MS: u64 = 4500;
/// How long after a final fault requests must be served again.
const RECOVER_MS: u64 = 12_000;
/// The events of a whole stream.
const EVENTS: usize = 10;

pub fn run(dir: &str, is_troubled: bool) -> io::Result<bool> {
    let mut world = World::new(dir)?;
    world.write_config(&config());
    for (at, id) in ["i-1", "i-2"].into_iter().enumerate() {
        let own = addr("127.0.0.1", free_port("127.0.0.1"));
        world.start_engine(id, own, own, ZONES[1 + at], &[])?;
    }
    // All engines of the model are in one zone, and each holds the whole model.
    for id in ENGINES {
        let own = addr("127.0.0.1", free_port("127.0.0.1"));
        start(&mut world, id, own, ZONES[0], &[])?;
    }
    world.start_daemons(3)?;
    if !world.wait_ready(Duration::from_secs(20)) {
        return Err(io::Error::other("the daemons did not get ready"));
    }
    sleep(3000);

    let mut before = Vec::new();
    for round in 0..4 {
        before.extend(wait(clump(&world, &format!("before-{round}"))));
        sleep(PAUSE_MS);
    }
    let clients = clump(&world, "at-crash");
    sleep(150);
    if is_troubled {
        for id in ENGINES {
            world.kill_engine(id);
        }
    }
    before.extend(wait(clients));
    if is_troubled {
        sleep(DOWN_MS);
        for id in ENGINES {
            let own = world.engines[id].addr;
            start(&mut world, id, own, ZONES[0], &[])?;
        }
    }
    sleep(2000);
    before.extend(wait(clump(&world, "engines-back")));
    sleep(PAUSE_MS);

    // The final fault: all daemons are killed.
    for at in 0..3 {
        world.kill_daemon(at);
    }
    sleep(1000);
    for at in 0..3 {
        world.restart_daemon(at)?;
    }
    if !world.wait_ready(Duration::from_secs(20)) {
        return Err(io::Error::other("the daemons did not get ready again"));
    }
    sleep(RECOVER_MS);
    let mut after = Vec::new();
    for round in 0..4 {
        after.extend(wait(clump(&world, &format!("after-{round}"))));
        sleep(PAUSE_MS);
    }

    let served = |list: &[bool]| list.iter().filter(|is_served| **is_served).count();
    let (had, has) = (served(&before), served(&after));
    let line = format!(
        "{had} of {} requests were served before the final fault, and {has} of {} later than {RECOVER_MS} ms after the daemons were back",
        before.len(),
        after.len()
    );
    world.record.add(&format!("check   {line}"));
    println!("{line}");
    Ok(!(had * 4 >= before.len() && has * 4 < after.len()))
}

/// Starts an engine of the model, which holds all layers, with further `flags`.
pub fn start(world: &mut World, id: &str, own: SocketAddr, zone: &'static str, flags: &[&str]) -> io::Result<()> {
    world.spawn_engine(id, own, &[&["layers=20", "from=0", "to=8", "work=100", "slots=192"], flags].concat())?;
    let more = ",\"phase\":\"all\",\"models\":[],\"routeType\":\"a100s\",\"layers\":[{\"source\":0,\"target\":8,\"version\":1}]".to_owned();
    world.write_entry(id, Entry { slots: 192, more, ..Entry::new(MODEL, own, zone) });
    Ok(())
}

/// Sends some requests at the same time.
fn clump(world: &World, name: &str) -> Vec<thread::JoinHandle<bool>> {
    let client = |at: usize| {
        let (record, front, id) = (world.record.clone(), world.daemons[at % 3].front, format!("{name}-{at}"));
        thread::spawn(move || stream(&record, front, &id, "/assist/1", &id))
    };
    (0..CLUMP).map(client).collect()
}

/// Waits for the clients; returns for each whether it was served.
fn wait(clients: Vec<thread::JoinHandle<bool>>) -> Vec<bool> {
    clients.into_iter().map(|client| client.join().expect("the client failed")).collect()
}

/// Sends a streaming request; returns whether its stream was complete.
pub fn stream(record: &Record, front: SocketAddr, id: &str, path: &str, prompt: &str) -> bool {
    let start = Instant::now();
    let answer = (|| -> io::Result<Option<net::Message>> {
        let mut conn = net::Conn::open(front)?;
        conn.stream.set_read_timeout(Some(Duration::from_secs(4)))?;
        // The first part of the prompt is that of all requests, the last one is the request's own.
        let own = prompt.bytes().fold(7u32, |hash, byte| hash.wrapping_mul(31).wrapping_add(u32::from(byte)));
        let body = format!("{{\"prompt\":\"{prompt}\"}}");
        let text = format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Model: m\r\nX-Token-Usage: 800,154\r\n\
             X-Prefix-Hash: 5c1e07a2:40,{own:08x}:760\r\nX-Deadline-Ms: 20000\r\nAuthorization: Token {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        conn.write(text.as_bytes())?;
        conn.message(true)
    })();
    let ms = start.elapsed().as_millis();
    match answer {
        Ok(Some(answer)) => {
            let events = String::from_utf8_lossy(&answer.body).matches("id: ").count();
            let retry = answer.header("retry-after").unwrap_or("-").to_owned();
            record.add(&format!("client  {id} to {front}: {} {events} events, whole {}, retry-after {retry}, after {ms} ms", answer.status(), answer.whole));
            answer.status() == 200 && answer.whole && events == EVENTS
        }
        other => {
            record.add(&format!("client  {id} to {front}: {other:?} after {ms} ms"));
            false
        }
    }
}

/// Returns a configuration with a model and a plain service.
pub fn config() -> String {
    let service = format!(
        "{{\"name\":\"{MODEL}\",\"healthPath\":\"/healthz\",\"maxConnections\":2292,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\
         \"slots\":192,\"kvCapacityTokens\":100000,\"kvTokenBytes\":459000,\"linkMbps\":480000.0,\"stride\":2,\
         \"models\":[{{\"name\":\"m\",\"pace\":1.0,\"loadS\":14.0,\"warmS\":1.0}}],\"step_ms\":0.85,\"per_seq_ms\":0.00297,\
         \"context_per_k\":0.00398,\"read_per_s\":252000.0,\"pairs_per_m\":0.129,\"chunk\":512,\"report_lag_ms\":200.0,\
         \"loadsPerS\":0.0,\"loads_at_once\":6,\"delays\":[],\"usual\":{{\"prompt\":772,\"answer\":154}},\"layers\":8,\
         \"layerMb\":1750.0,\"activationBytes\":22900,\"pipeMbps\":7900.0,\"types\":[{{\"name\":\"a100s\",\"sizeMb\":36000.0,\
         \"pace\":3.1,\"readFactor\":3.2}}]}}}}"
    );
    let plain = plain_config(1, &[("lookup", "/lookup/", "idempotent", 800, 2)]);
    let route = format!(
        "{{\"name\":\"assist\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"/assist/\",\"routeType\":\"streaming\",\"timeoutMs\":20000,\
         \"targetLatencyMs\":500,\"priority\":1,\"service\":\"{MODEL}\",\"maxAttempts\":2,\"public\":false,\"sessionAffinity\":true,\
         \"streamResume\":true,\"targetGapMs\":200}},"
    );
    let plain = plain.replacen("\"routes\":[", &format!("\"routes\":[{route}"), 1);
    plain.replacen("\"services\":[", &format!("\"services\":[{service},"), 1)
}
