//! Many users come at once, and leave again: more channels than a daemon has descriptors.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::process::Child;
use std::process::ChildStdin;
use std::process::Command;
use std::process::Stdio;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::net::Conn;
use crate::world::*;

/// The descriptors of a daemon, by the installation's sheet.
const DESCRIPTORS: u32 = 2940;
/// The users that the daemon serves at usual times; each keeps one channel.
const USERS: usize = 1750;
/// The factor of the burst.
const BURST: f64 = 1.7;
/// How long the users of the burst stay.
const BURST_MS: u64 = 3000;
/// The time limit of the route, and how long a client waits, in milliseconds.
const TIMEOUT_MS: u64 = 800;
const DEADLINE_MS: u64 = 1500;

pub fn run(dir: &str, is_troubled: bool) -> io::Result<bool> {
    let mut world = World::new(dir)?;
    world.descriptors = Some(DESCRIPTORS);
    world.write_config(&plain_config(1, &[("lookup", "/lookup/", "idempotent", TIMEOUT_MS, 2)]));
    for (at, id) in ["i-1", "i-2", "i-3"].into_iter().enumerate() {
        let own = addr("127.0.0.1", free_port("127.0.0.1"));
        world.spawn_engine(id, own, &["work=10", "slots=192"])?;
        world.write_entry(id, Entry { slots: 192, ..Entry::new(PLAIN, own, ZONES[at]) });
    }
    world.start_daemons(1)?;
    if !world.wait_ready(Duration::from_secs(20)) {
        return Err(io::Error::other("the daemon did not get ready"));
    }
    sleep(2000);

    let mut users = Crowd::start(&world, USERS, "user")?;
    world.record.add(&format!("clients {} have a channel each: {}", USERS, users.reply()?));
    if is_troubled {
        let count = (USERS as f64 * (BURST - 1.0)) as usize;
        world.record.add(&format!("burst   begins: {count} more clients"));
        let mut more = Crowd::start(&world, count, "burst")?;
        sleep(BURST_MS);
        more.end();
        world.record.add("burst   is over, its clients have left");
    } else {
        sleep(BURST_MS);
    }
    let over = world.record.ms();
    // The daemon counts as slowed until 5 s after the burst, and is in touch 3 s after that.
    while world.record.ms() < over + 10_000 {
        sleep(50);
    }

    let mut answers = Vec::new();
    for turn in 0..20 {
        let front = world.daemons[0].front;
        answers.push(call(&world.record, front, "GET", "/lookup/1", &format!("after-{turn}"), DEADLINE_MS, DEADLINE_MS, b""));
        sleep(100);
    }
    let is_ready = world.is_ready(0);
    users.end();
    sleep(2000);
    let last = call(&world.record, world.daemons[0].front, "GET", "/lookup/1", "last", DEADLINE_MS, DEADLINE_MS, b"");
    let has_ended = world.daemons[0].child.try_wait()?.is_some();
    let is_open = |answer: &&Seen, ms: u64| answer.status == 0 && answer.left || answer.took > ms;
    let long = answers.iter().filter(|answer| is_open(answer, TIMEOUT_MS)).count();
    let late = answers.iter().filter(|answer| is_open(answer, TIMEOUT_MS + 500)).count();
    let line = format!(
        "of {} requests sent over 10 s after the burst, {long} had no final answer at the route's {TIMEOUT_MS} ms, and {late} \
         none half a second later; ready: {is_ready}; without any other channel: status {}; the process has ended: {has_ended}",
        answers.len(),
        last.status,
    );
    world.record.add(&format!("check   {line}"));
    println!("{line}");
    Ok(!(late >= 8 && late * 4 > long))
}

/// Clients in processes of their own, so that none needs more descriptors than usual.
struct Crowd {
    parts: Vec<(Child, ChildStdin, mpsc::Receiver<(usize, usize)>)>,
}

impl Crowd {
    /// Starts clients, which open a channel each and send one request over it.
    fn start(world: &World, count: usize, name: &str) -> io::Result<Self> {
        let mut parts = Vec::new();
        let mut left = count;
        while left > 0 {
            let size = left.min(500);
            left -= size;
            let mut child = Command::new(std::env::current_exe()?)
                .arg("clients")
                .arg(world.daemons[0].front.to_string())
                .arg(size.to_string())
                .arg(format!("{name}-{left}"))
                .stdin(Stdio::piped())
                .stdout(Stdio::piped())
                .spawn()?;
            let (input, output) = (child.stdin.take().expect("piped"), child.stdout.take().expect("piped"));
            let (sender, total) = mpsc::channel();
            let record = world.record.clone();
            thread::spawn(move || {
                for line in BufReader::new(output).lines().map_while(Result::ok) {
                    record.add(&format!("clients {line}"));
                    let numbers: Vec<usize> = line.split(' ').skip(1).filter_map(|text| text.parse().ok()).collect();
                    if let ("total", [opened, answered]) = (line.split(' ').next().unwrap_or(""), &numbers[..]) {
                        let _ = sender.send((*opened, *answered));
                    }
                }
            });
            parts.push((child, input, total));
        }
        Ok(Self { parts })
    }

    /// Waits until all have been answered or have failed, and says how they fared.
    fn reply(&mut self) -> io::Result<String> {
        let (mut opened, mut answered) = (0, 0);
        for (_, _, total) in &self.parts {
            let total = total.recv_timeout(Duration::from_secs(30)).map_err(io::Error::other)?;
            opened += total.0;
            answered += total.1;
        }
        Ok(format!("{opened} channels opened, {answered} requests answered with 200"))
    }

    /// Has all clients close their channels.
    fn end(&mut self) {
        for (child, input, _) in &mut self.parts {
            let _ = input.write_all(b"end\n");
            let _ = input.flush();
            let _ = child.wait();
        }
        self.parts.clear();
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        for (child, _, _) in &mut self.parts {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The clients that share a thread, and those of them that send at the same time.
const GROUP: usize = 50;
const BATCH: usize = 5;

/// The process of some clients: each opens a channel, and sends a request at once and again every 8 s, well
/// before its channel has been idle for too long. They leave when a line arrives on the standard input.
pub fn clients(front: &str, count: usize, name: &str) {
    let front = front.parse().expect("no address");
    let (done, counted) = mpsc::channel();
    let mut groups = 0;
    for first in (0..count).step_by(GROUP) {
        let (done, name) = (done.clone(), name.to_owned());
        groups += 1;
        thread::spawn(move || {
            let size = GROUP.min(count - first);
            let mut conns: Vec<Conn> = (0..size).filter_map(|_| Conn::open(front).ok()).collect();
            for round in 0.. {
                let mut answered = 0;
                for (at, batch) in conns.chunks_mut(BATCH).enumerate() {
                    let name = format!("{name}-{round}-{}", first + at * BATCH);
                    let count = ask(batch, &name);
                    println!("sent {name}-0 to -{}, answered with 200: {count}", batch.len() - 1);
                    answered += count;
                }
                if round == 0 {
                    let _ = done.send((conns.len(), answered));
                }
                sleep(8000);
            }
        });
    }
    thread::spawn(move || {
        let results: Vec<(usize, usize)> = counted.iter().take(groups).collect();
        let opened: usize = results.iter().map(|result| result.0).sum();
        let answered: usize = results.iter().map(|result| result.1).sum();
        println!("total {opened} {answered}");
    });
    let _ = io::stdin().read_line(&mut String::new());
}

/// Sends a request over each of some kept channels and returns how many are answered with 200.
fn ask(conns: &mut [Conn], name: &str) -> usize {
    for (at, conn) in conns.iter_mut().enumerate() {
        let text = format!(
            "GET /lookup/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {name}-{at}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n\
             Authorization: Token {KEY}\r\n\r\n"
        );
        let _ = conn.write(text.as_bytes());
    }
    let until = Instant::now() + Duration::from_millis(DEADLINE_MS);
    let answers = conns.iter_mut().filter_map(|conn| {
        let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        conn.stream.set_read_timeout(Some(left)).ok()?;
        conn.message(true).ok().flatten()
    });
    answers.filter(|answer| answer.status() == 200).count()
}
