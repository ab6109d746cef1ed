//! How the VMs exchange their loads: reports to a hub, sums between hubs, and the total to each VM.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

use super::EngineLoad;
use super::Load;
use super::NameHash;
use crate::clock::Millis;

/// The interval between two reports of a VM, and between two messages of a hub.
pub const REPORT_INTERVAL: Millis = Millis(100);
/// How long a report or a sum counts. Ten messages in a row are rarely lost, and the requests of a VM
/// that is gone end soon after.
const REPORT_TTL: Millis = Millis(1000);
/// How long a total is used; with an older one this VM relies on its own load.
const TOTAL_TTL: Millis = Millis(2000);
/// How many reports in a row a hub may leave without a total before another one is used.
const MAX_UNANSWERED: u32 = 6;
/// How long a hub that sent no total is not used.
const SILENT_TTL: Millis = Millis::seconds(5);
/// The number of own reports that are kept to subtract them from the totals that include them.
const MAX_REPORTS: usize = 32;
/// The largest number of reports and sums that a hub keeps.
const MAX_SENDERS: usize = 1024;
/// What such a message begins with. VMs of earlier releases take it for the length of a name that is
/// longer than the message, and drop it.
const MAGIC: [u8; 6] = [0xff, 0xff, 0xff, 0xff, 0x7f, 0x01];

/// An error in a message from another VM.
#[derive(Debug, Display, Error, From)]
pub enum LoadError {
    /// The message cannot be decoded.
    #[display("{_0}")]
    Postcard(postcard::Error),
}

/// A message about load between two VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadMessage {
    /// The load of one VM, for its hub.
    Report {
        /// The VM, and its start.
        from: NameHash,
        /// Rises with each report of the VM.
        number: u64,
        /// The load of the VM.
        load: Load,
    },
    /// The load of the VMs that report to one hub, for other hubs.
    Sum {
        /// The hub, and its start.
        from: NameHash,
        /// Rises with each message of the hub.
        number: u64,
        /// The mean age of the reports.
        age: Millis,
        /// The sum of the reports.
        load: Load,
    },
    /// The load of all VMs, for a VM that reports to the hub.
    Total {
        /// The number of the receiver's latest report that the total includes.
        counted: u64,
        /// The mean age of the reports.
        age: Millis,
        /// The sum of the reports.
        load: Load,
    },
}

impl LoadMessage {
    /// Encodes the message.
    ///
    /// # Errors
    ///
    /// Fails if the message cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, LoadError> {
        Ok(postcard::to_extend(self, MAGIC.to_vec())?)
    }

    /// Decodes a message; `None` if the bytes are of another kind.
    ///
    /// # Errors
    ///
    /// Fails if the bytes begin like such a message and cannot be decoded.
    pub fn decode(bytes: &[u8]) -> Option<Result<Self, LoadError>> {
        let body = bytes.strip_prefix(&MAGIC)?;
        Some(postcard::from_bytes(body).map_err(LoadError::from))
    }
}

/// The latest load from one sender.
#[derive(Clone, Debug)]
struct Received<A> {
    addr: A,
    number: u64,
    /// When its content was true, on average.
    at: Millis,
    heard: Millis,
    load: Load,
}

/// The total of all VMs, without this one.
#[derive(Clone, Debug)]
struct Total {
    others: Load,
    /// When its content was true, on average.
    at: Millis,
}

/// One VM's part in the exchange: its own load, what it knows of the others', and, if others report to
/// it, their reports. `A` is the type of addresses.
#[derive(Clone, Debug)]
pub struct Exchange<A> {
    me: NameHash,
    own: Load,
    number: u64,
    sent: VecDeque<(u64, Load)>,
    total: Option<Total>,
    /// The hub that this VM reports to, and the reports since it last sent a total.
    hub: Option<(A, u32)>,
    /// The hubs that sent no total, and until when they are not used.
    silent: Vec<(A, Millis)>,
    reports: BTreeMap<NameHash, Received<A>>,
    sums: BTreeMap<NameHash, Received<A>>,
}

impl<A> Exchange<A>
where
    A: Clone + PartialEq,
{
    /// Creates the part of the VM `me`, a hash of its name and start, which has no load yet.
    pub fn new(me: NameHash) -> Self {
        Self {
            me,
            own: Load::default(),
            number: 0,
            sent: VecDeque::new(),
            total: None,
            hub: None,
            silent: Vec::new(),
            reports: BTreeMap::new(),
            sums: BTreeMap::new(),
        }
    }

    /// Returns this VM's own load, to be kept up to date.
    pub fn own(&mut self) -> &mut Load {
        &mut self.own
    }

    /// Returns the load of all VMs, and the age of the others' part; `None` if that is unknown or too
    /// old, and only this VM's load is included.
    pub fn fleet(&self, now: Millis) -> (Load, Option<Millis>) {
        let mut load = self.own.clone();
        let total = self.fresh(now);
        if let Some(total) = total {
            load.add(&total.others);
        }
        (load, total.map(|total| now.since(total.at)))
    }

    /// Returns the callers' part of [`Self::fleet`], without the engines: a request needs what its class asks
    /// for, and copying the load of each engine for it would cost as much as a search for a path.
    pub fn callers(&self, now: Millis) -> (Load, Option<Millis>) {
        let mut load = self.own.callers();
        let total = self.fresh(now);
        if let Some(total) = total {
            load.add_callers(&total.others);
        }
        (load, total.map(|total| now.since(total.at)))
    }

    /// Returns what all VMs run on an engine, and the age of the others' part; see [`Self::fleet`].
    pub fn engine(&self, now: Millis, engine: NameHash) -> (EngineLoad, Option<Millis>) {
        let mut load = self.own.engines.get(&engine).copied().unwrap_or_default();
        let total = self.fresh(now);
        if let Some(other) = total.and_then(|total| total.others.engines.get(&engine)) {
            load.running += other.running;
            load.leading += other.leading;
            load.cells += other.cells;
        }
        (load, total.map(|total| now.since(total.at)))
    }

    /// Returns the hub that this VM reports to, which may be itself; `None` before the first report.
    pub fn hub(&self) -> Option<&A> {
        self.hub.as_ref().map(|(hub, _)| hub)
    }

    /// Returns the age of what is known of the other VMs' load; `None` if that is nothing.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.fresh(now).map(|total| now.since(total.at))
    }

    fn fresh(&self, now: Millis) -> Option<&Total> {
        let total = self.total.as_ref();
        total.filter(|total| now.since(total.at) < TOTAL_TTL)
    }

    /// Adds a request to this VM's load on an engine; `leading` if its path begins there, `cells` are
    /// its tokens times the layers that it uses.
    pub fn begin_request(&mut self, engine: NameHash, leading: bool, cells: u64) {
        let load = self.own.engines.entry(engine).or_default();
        load.running += 1;
        load.leading += u32::from(leading);
        load.cells += cells;
    }

    /// Removes a request that [`Self::begin_request`] added with the same arguments.
    pub fn end_request(&mut self, engine: NameHash, leading: bool, cells: u64) {
        let Some(load) = self.own.engines.get_mut(&engine) else {
            return;
        };
        load.running = load.running.saturating_sub(1);
        load.leading = load.leading.saturating_sub(u32::from(leading));
        load.cells = load.cells.saturating_sub(cells);
        if load.running == 0 {
            self.own.engines.remove(&engine);
        }
    }

    /// Returns the messages that are due, once in [`REPORT_INTERVAL`]: this VM's report to the hub of
    /// its domain, and what it owes others if it is a hub. `near` are the hubs of its domain, the
    /// preferred one first, and `far` those of the others; `me` is this VM's address. `is_alone` says that
    /// there are no other VMs: else a hub that has heard of none, as after a start, does not know their
    /// load.
    ///
    /// A VM sums up the reports that it gets, whether or not it considers itself a hub, since VMs may
    /// differ on which ones are.
    pub fn next_messages(
        &mut self,
        now: Millis,
        me: &A,
        near: &[A],
        far: &[A],
        is_alone: bool,
    ) -> Vec<(A, LoadMessage)> {
        self.number += 1;
        let is_fresh = |received: &Received<A>| now.since(received.heard) < REPORT_TTL;
        self.reports.retain(|_, received| is_fresh(received));
        self.sums.retain(|_, received| is_fresh(received));
        let mut messages = Vec::new();
        let hub = self.choose_hub(now, me, near).filter(|hub| hub != me);
        let is_hub = hub.is_none();
        if let Some(hub) = hub {
            messages.push((hub, self.report()));
        }
        if !is_hub && self.reports.is_empty() {
            return messages;
        }
        let (reported, near_age) = sum(now, self.reports.values());
        let mut near_load = reported.clone();
        if is_hub {
            near_load.add(&self.own);
        }
        let mut near_sum = near_load.clone();
        near_sum.limit_customers();
        for addr in near.iter().chain(far).filter(|addr| *addr != me) {
            let message = LoadMessage::Sum {
                from: self.me,
                number: self.number,
                age: near_age,
                load: near_sum.clone(),
            };
            messages.push((addr.clone(), message));
        }
        let (far_load, far_age) = sum(now, self.sums.values());
        let age = near_age.max(far_age);
        let is_known = is_alone || !self.reports.is_empty() || !self.sums.is_empty();
        if is_hub && is_known {
            let mut others = reported;
            others.add(&far_load);
            others.limit_customers();
            let at = now - age;
            self.total = Some(Total { others, at });
        }
        near_load.add(&far_load);
        near_load.limit_customers();
        for received in self.reports.values() {
            let message = LoadMessage::Total {
                counted: received.number,
                age,
                load: near_load.clone(),
            };
            messages.push((received.addr.clone(), message));
        }
        messages
    }

    fn report(&mut self) -> LoadMessage {
        let mut load = self.own.clone();
        load.limit_customers();
        self.sent.push_back((self.number, load.clone()));
        while self.sent.len() > MAX_REPORTS {
            self.sent.pop_front();
        }
        LoadMessage::Report {
            from: self.me,
            number: self.number,
            load,
        }
    }

    /// Returns the first hub that is not silent, and counts a report to it.
    fn choose_hub(&mut self, now: Millis, me: &A, near: &[A]) -> Option<A> {
        if let Some((hub, unanswered)) = &self.hub
            && *unanswered >= MAX_UNANSWERED
        {
            self.silent.push((hub.clone(), now + SILENT_TTL));
        }
        self.silent.retain(|(_, until)| now < *until);
        let is_silent = |hub: &A| self.silent.iter().any(|(silent, _)| silent == hub);
        let answering = near.iter().find(|hub| !is_silent(hub));
        let hub = answering.or(near.first()).cloned();
        let unanswered = match (&self.hub, &hub) {
            (Some((old, unanswered)), Some(new)) if old == new && new != me => unanswered + 1,
            _ => 0,
        };
        self.hub = hub.clone().map(|hub| (hub, unanswered));
        hub
    }

    /// Merges a message that arrived from an address.
    pub fn receive(&mut self, now: Millis, addr: A, message: LoadMessage) {
        match message {
            LoadMessage::Report { from, number, load } => {
                keep(&mut self.reports, now, addr, from, number, Millis(0), load);
            }
            LoadMessage::Sum {
                from,
                number,
                age,
                load,
            } => keep(&mut self.sums, now, addr, from, number, age, load),
            LoadMessage::Total { counted, age, load } => self.set_total(now, counted, age, load),
        }
    }

    fn set_total(&mut self, now: Millis, counted: u64, age: Millis, mut load: Load) {
        let at = now - age;
        if self.total.as_ref().is_some_and(|total| total.at > at) {
            return;
        }
        let Some((_, report)) = self.sent.iter().find(|(number, _)| *number == counted) else {
            return;
        };
        load.subtract(report);
        if let Some((_, unanswered)) = &mut self.hub {
            *unanswered = 0;
        }
        self.total = Some(Total { others: load, at });
    }
}

/// Keeps a load unless one with a higher number is known from the sender.
fn keep<A>(
    known: &mut BTreeMap<NameHash, Received<A>>,
    now: Millis,
    addr: A,
    from: NameHash,
    number: u64,
    age: Millis,
    load: Load,
) {
    let is_old = known
        .get(&from)
        .is_some_and(|received| received.number >= number);
    if is_old || (known.len() >= MAX_SENDERS && !known.contains_key(&from)) {
        return;
    }
    let received = Received {
        addr,
        number,
        at: now - age,
        heard: now,
        load,
    };
    known.insert(from, received);
}

/// Returns the sum of loads and their mean age.
fn sum<'a, A, I>(now: Millis, all: I) -> (Load, Millis)
where
    A: 'a,
    I: Iterator<Item = &'a Received<A>>,
{
    let mut load = Load::default();
    let mut ages = 0;
    let mut count = 0;
    for received in all {
        load.add(&received.load);
        ages += now.since(received.at).0;
        count += 1;
    }
    (load, Millis(ages.checked_div(count).unwrap_or(0)))
}
