//! An empty engine crashes, and its address goes to an engine of another service with less memory.

use std::io;
use std::time::Duration;

use crate::world::*;

/// The service whose engine crashes: 80 layers on cards of 36,000 MB, which have memory for 20 of them.
const LARGE: &str = "assist-llm";
/// The service that gets the address: 8 layers on cards of 14,400 MB, which have memory for all of them.
const SMALL: &str = "label-llm";
/// How many layers of 1,750 MB fit into the memory of each kind of card.
const LARGE_FITS: u64 = 20;
const SMALL_FITS: u64 = 8;
/// How long after the end of an engine its address may be used again.
const REUSE_MS: u64 = 2000;

pub fn run(dir: &str, is_troubled: bool) -> io::Result<bool> {
    let mut world = World::new(dir)?;
    world.write_config(&config());
    // Both services hold their models; those of the large one are in two zones.
    for at in 0..6 {
        let (from, to) = (at * 14, (at * 14 + 14).min(80));
        start(&mut world, &format!("a-{at}"), LARGE, ZONES[at as usize % 2], "a100s", LARGE_FITS, (from, to))?;
    }
    for at in 0..2 {
        start(&mut world, &format!("b-{at}"), SMALL, ZONES[at as usize], "t4", SMALL_FITS, (at * 4, at * 4 + 4))?;
    }
    world.start_daemons(3)?;
    if !world.wait_ready(Duration::from_secs(20)) {
        return Err(io::Error::other("the daemons did not get ready"));
    }
    sleep(5000);

    // An empty engine is added to the large service.
    let own = start(&mut world, "a-new", LARGE, ZONES[2], "a100s", LARGE_FITS, (0, 0))?;
    if is_troubled {
        // It crashes for good. Its entry lapses after three heartbeats of silence; its address is used
        // again before that.
        world.kill_engine("a-new");
        sleep(REUSE_MS + 100);
        world.spawn_engine("b-new", own, &[&format!("layers={SMALL_FITS}")])?;
        register(&world, "b-new", own, SMALL, ZONES[2], "t4", (0, 0));
        sleep(3 * HEARTBEAT_MS - REUSE_MS);
    } else {
        sleep(2000);
        let other = addr("127.0.0.1", free_port("127.0.0.1"));
        world.spawn_engine("b-new", other, &[&format!("layers={SMALL_FITS}")])?;
        register(&world, "b-new", other, SMALL, ZONES[2], "t4", (0, 0));
    }
    sleep(5000);

    let orders: Vec<Event> = world.events().into_iter().filter(|event| event.words[0] == "order").collect();
    let size = |event: &Event| -> u64 {
        let number = |at: usize| event.words[at].parse::<u64>().unwrap_or(0);
        number(2).saturating_sub(number(1))
    };
    let fits = |event: &Event| if event.engine.starts_with("b-") { SMALL_FITS } else { LARGE_FITS };
    let wrong: Vec<&Event> = orders.iter().filter(|event| size(event) > fits(event)).collect();
    let crashes = world.events().iter().filter(|event| event.words[0] == "crashes").count();
    let line = format!(
        "{} orders; {} to hold more layers than the engine has memory for{}; {crashes} engines crashed of it",
        orders.len(),
        wrong.len(),
        wrong.first().map_or(String::new(), |event| format!(": {} was ordered to hold {}, and {} fit", event.engine, size(event), fits(event))),
    );
    world.record.add(&format!("check   {line}"));
    println!("{line}");
    Ok(wrong.is_empty())
}

/// Starts an engine of a model that holds some layers, and registers it.
fn start(world: &mut World, id: &str, service: &'static str, zone: &'static str, kind: &str, fits: u64, held: (u64, u64)) -> io::Result<std::net::SocketAddr> {
    let own = addr("127.0.0.1", free_port("127.0.0.1"));
    world.spawn_engine(id, own, &[&format!("layers={fits}"), &format!("from={}", held.0), &format!("to={}", held.1)])?;
    register(world, id, own, service, zone, kind, held);
    Ok(own)
}

fn register(world: &World, id: &str, own: std::net::SocketAddr, service: &'static str, zone: &'static str, kind: &str, held: (u64, u64)) {
    let layers = if held.0 < held.1 { format!("[{{\"source\":{},\"target\":{},\"version\":1}}]", held.0, held.1) } else { "[]".to_owned() };
    let more = format!(",\"phase\":\"all\",\"models\":[],\"routeType\":\"{kind}\",\"layers\":{layers}");
    world.write_entry(id, Entry { slots: 192, more, ..Entry::new(service, own, zone) });
}

fn config() -> String {
    let service = |name: &str, layers: u32| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConnections\":2292,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\
             \"slots\":192,\"kvCapacityTokens\":100000,\"kvTokenBytes\":459000,\"linkMbps\":480000.0,\"stride\":2,\
             \"models\":[{{\"name\":\"{name}-1\",\"pace\":1.0,\"loadS\":14.0,\"warmS\":1.0}}],\"step_ms\":0.85,\"per_seq_ms\":0.00297,\
             \"context_per_k\":0.00398,\"read_per_s\":252000.0,\"pairs_per_m\":0.129,\"chunk\":512,\"report_lag_ms\":200.0,\
             \"loadsPerS\":0.0,\"loads_at_once\":6,\"delays\":[],\"usual\":{{\"prompt\":772,\"answer\":154}},\"layers\":{layers},\
             \"layerMb\":1750.0,\"activationBytes\":22900,\"pipeMbps\":7900.0,\"types\":[{{\"name\":\"a100s\",\"sizeMb\":36000.0,\
             \"pace\":3.1,\"readFactor\":3.2}},{{\"name\":\"t4\",\"sizeMb\":14400.0,\"pace\":15.0,\"readFactor\":15.0}}]}}}}"
        )
    };
    let route = |name: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\"routeType\":\"streaming\",\"timeoutMs\":20000,\
             \"targetLatencyMs\":500,\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":2,\"public\":false,\"sessionAffinity\":true,\
             \"streamResume\":true,\"targetGapMs\":200}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{},{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"{TENANT}\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
        route("assist", LARGE),
        route("label", SMALL),
        service(LARGE, 80),
        service(SMALL, 8)
    )
}
