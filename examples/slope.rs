//! Measures the cost of membership and record distribution per daemon in fleets of several sizes.
//!
//! `cargo run --release --example slope [SECONDS]` runs a simulated fleet and measures one
//! daemon of it: messages and bytes (as JSON), and processor time of the core and of the JSON codec.
//! Its table is in docs/CAPACITY.md.

#[path = "../tests/net/mod.rs"]
mod net;

use cornelwharf::clock::Millis;
use net::Meter;
use net::World;
use tabled::Table;
use tabled::Tabled;

/// How long the fleet runs before the measurement, in seconds.
const WARM_UP_S: u64 = 20;
/// The interval between configuration changes, in seconds; it gives about 2,200 changes a day.
const CHANGE_INTERVAL_S: u64 = 39;
/// The size of a configuration change.
const CHANGE_BYTES: usize = 1024;

#[derive(Tabled)]
struct Row {
    vms: usize,
    sent: String,
    sent_bytes: String,
    received: String,
    received_bytes: String,
    core_us: String,
    json_us: String,
    rss_kib_per_vm: String,
}

fn main() {
    let seconds = std::env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(120);
    let rows: Vec<Row> = [3, 15, 60, 180, 360]
        .into_iter()
        .map(|n| measure(n, seconds))
        .collect();
    println!("per second of fake time, {seconds} s, seed 1");
    println!("{}", Table::new(rows));
}

fn measure(size: usize, seconds: u64) -> Row {
    let before = resident();
    let mut world = World::new(size, 6.min(size), 1);
    world.run(Millis::seconds(WARM_UP_S));
    world.metered = Some(net::vm(1));
    world.meter = Meter::default();
    for second in 0..seconds {
        if second % CHANGE_INTERVAL_S == 0 {
            world.append(&"x".repeat(CHANGE_BYTES));
        }
        world.run(Millis::seconds(1));
    }
    let used = resident().saturating_sub(before);
    let meter = &world.meter;
    let rate = |count: u64| format!("{:.1}", count as f64 / seconds as f64);
    Row {
        vms: size,
        sent: rate(meter.sent.0),
        sent_bytes: rate(meter.sent.1),
        received: rate(meter.got.0),
        received_bytes: rate(meter.got.1),
        core_us: rate(meter.core.as_micros() as u64),
        json_us: rate(meter.codec.as_micros() as u64),
        rss_kib_per_vm: format!("{:.0}", used as f64 / size as f64),
    }
}

/// Returns the resident memory of this process in KiB, or 0 where it can't be read.
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}
