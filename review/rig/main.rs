//! The stand-ins and clients of the review's cases, and the cases themselves: `rig CASE DIRECTORY`.
//!
//! A case exits with 1 if its rule was broken, 0 if it held, and 2 if it could not run.

mod assist;
mod engine;
mod foreign_entry;
mod foreign_order;
mod late_crash;
mod many_channels;
mod net;
mod proxy;
mod stuck_check;
mod store;
mod world;

use engine::Behaviour;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = args.iter().skip(1).map(String::as_str).collect();
    if let ["engine", id, addr, flags @ ..] = &words[..] {
        return engine::run(id, addr, behaviour(flags));
    }
    if let ["clients", front, count, name] = &words[..] {
        return many_channels::clients(front, count.parse().unwrap_or(0), name);
    }
    let is_troubled = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let result = match words[..] {
        ["many-channels", dir] => many_channels::run(dir, is_troubled),
        ["foreign-entry", dir] => foreign_entry::run(dir, is_troubled),
        ["foreign-order", dir] => foreign_order::run(dir, is_troubled),
        ["late-crash", dir] => late_crash::run(dir, is_troubled),
        ["stuck-check", dir] => stuck_check::run(dir, is_troubled),
        _ => Err(std::io::Error::other("no such case")),
    };
    match result {
        Ok(has_held) => {
            println!("{}", if has_held { "the rule held" } else { "the rule was broken" });
            std::process::exit(i32::from(!has_held));
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            std::process::exit(2);
        }
    }
}

fn behaviour(flags: &[&str]) -> Behaviour {
    let number = |name: &str, default: u64| {
        let value = flags.iter().find_map(|flag| flag.strip_prefix(name)?.strip_prefix('='));
        value.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    Behaviour {
        work_ms: number("work", 30),
        slots: number("slots", 6) as usize,
        layers: number("layers", 0),
        held: (number("from", 0), number("to", 0)),
        crash_at: number("crash-at", 0),
    }
}
