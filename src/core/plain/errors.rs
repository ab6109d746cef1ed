//! Which endpoints fail a part of their calls while their health is good, judged by the calls of all
//! VMs (docs/design/plain.md).
//!
//! One VM of a large fleet makes too few calls to tell. So each counts its calls and the failed ones
//! by endpoint, VMs pass the counts on, and an endpoint is compared with the others of its service:
//! what fails at all of them alike is due to the requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::core::load::NameHash;

/// The decay time of the counts that show that an endpoint began to fail.
const FAST: Millis = Millis(1000);
/// The decay time of the counts that show that it still fails, and of those it is compared with.
const SLOW: Millis = Millis(4000);
/// Counts are sent as multiples of this part of a call.
const UNITS_PER_CALL: f64 = 16.0;
/// How long a VM passes on the counts of another one after it learned of them.
const NEWS_TIME: Millis = Millis(1200);
/// The largest number of VMs whose counts are in one message.
const MAX_NOTICES: usize = 48;
/// The largest number of endpoints in a notice.
const MAX_ENDPOINTS: usize = 8;
/// Counts that are older than this say nothing any more.
const MAX_AGE: Millis = Millis(12_000);
/// Counts that decayed below this many calls are dropped.
const MIN_COUNT: f64 = 0.2;
/// The failed calls at one endpoint within about a second from which on new ones are passed on at
/// once instead of with the next message.
const URGENT_FAILED: f64 = 1.5;
/// How long a VM's word that an endpoint stands out lowers the bar for others.
const CLAIM_TTL: Millis = Millis(1500);
/// The fewest calls of the endpoints that another one is compared with.
const MIN_BASE: f64 = 3.0;
/// The fewest failed calls by which an endpoint stands out: two may be chance.
const MIN_FAILED: f64 = 2.4;
/// The least difference to the share of failed calls of the others by which an endpoint stands out;
/// below, avoiding it costs more than the calls that fail.
const MIN_EXCESS: f64 = 0.08;
/// The difference in standard deviations by which an endpoint stands out, by its newest calls.
const FAST_SIGMAS: f64 = 2.5;
/// The same by the calls of some seconds, in which chance has more attempts.
const SLOW_SIGMAS: f64 = 3.0;
/// The difference in standard deviations below which it stands out no longer. This is lower, as an
/// endpoint that is avoided has few calls.
const STAY_SIGMAS: f64 = 1.5;

/// Calls and failed calls that decay over time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Tally {
    calls: f64,
    failed: f64,
}

impl Tally {
    fn scaled(self, factor: f64) -> Self {
        Self {
            calls: self.calls * factor,
            failed: self.failed * factor,
        }
    }

    fn add(&mut self, other: Self) {
        self.calls += other.calls;
        self.failed += other.failed;
    }

    fn rate(self) -> f64 {
        self.failed / self.calls.max(MIN_COUNT)
    }

    /// Returns by how many standard deviations this share of failed calls exceeds that of `base`.
    fn sigmas_over(self, base: Self) -> f64 {
        // Half a failure more than seen, as none in a few calls doesn't prove that none fails.
        let share = ((base.failed + 0.5) / (base.calls + 1.0)).min(0.5);
        let spread = share * (1.0 - share) * (1.0 / self.calls.max(MIN_COUNT) + 1.0 / base.calls);
        (self.rate() - base.rate()) / spread.sqrt()
    }
}

/// The counts of one endpoint over the two decay times.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Pair {
    fast: Tally,
    slow: Tally,
}

impl Pair {
    fn after(self, age: Millis) -> Self {
        let factor = |decay: Millis| (-(age.0 as f64) / decay.0 as f64).exp();
        Self {
            fast: self.fast.scaled(factor(FAST)),
            slow: self.slow.scaled(factor(SLOW)),
        }
    }

    fn add(&mut self, other: Self) {
        self.fast.add(other.fast);
        self.slow.add(other.slow);
    }
}

/// What one VM counted, as of a point in time.
#[derive(Clone, Debug, Default)]
struct Origin {
    seq: u32,
    at: Millis,
    learned: Millis,
    pairs: BTreeMap<NameHash, Pair>,
    /// The endpoints that stand out by this VM's counts.
    failing: BTreeSet<NameHash>,
}

/// What a VM counted at one endpoint, in sixteenths of a call: the calls and the failed ones of about
/// a second, then of some seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorCount {
    /// The endpoint and its start.
    pub endpoint: NameHash,
    /// The calls of about a second.
    pub fast_calls: u32,
    /// Those of them that failed.
    pub fast_failed: u32,
    /// The calls of some seconds.
    pub calls: u32,
    /// Those of them that failed.
    pub failed: u32,
}

/// A notice of what a VM counted. It is passed on from VM to VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorNotice {
    /// The VM that counted, and its start.
    pub origin: NameHash,
    /// The number of calls that it had counted since its start.
    pub seq: u32,
    /// The time since it counted.
    pub age: Millis,
    /// What it counted, by endpoint.
    pub counts: Vec<ErrorCount>,
    /// The endpoints that stand out by its counts.
    pub failing: Vec<NameHash>,
}

/// What came of the notices of another VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Receipt {
    /// The notices that make no sense and were dropped.
    pub dropped: usize,
    /// Whether a new one is to be passed on at once.
    pub is_urgent: bool,
}

/// How an endpoint compares with the others of its service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Standing {
    /// Whether it fails more calls than the others.
    pub stands_out: bool,
    /// Whether that is new, or was until now.
    pub is_changed: bool,
    /// The calls of all VMs in the last seconds, weighted by age.
    pub calls: f64,
    /// Those of them that failed.
    pub failed: f64,
    /// The share of failed calls of the endpoints that it was compared with.
    pub base: f64,
    /// The VMs whose counts were used.
    pub vms: usize,
}

/// What this VM knows of the calls of all VMs, by endpoint.
#[derive(Clone, Debug, Default)]
pub struct ErrorTable {
    me: NameHash,
    own: Origin,
    others: BTreeMap<NameHash, Origin>,
    standing_out: BTreeSet<NameHash>,
    /// When this VM's own counts last showed that an endpoint stands out, whatever others say: VMs
    /// that follow each other's word would never stop.
    sure: BTreeMap<NameHash, Millis>,
}

impl ErrorTable {
    /// Creates an empty table of the VM that `me` identifies with its start.
    pub fn new(me: NameHash) -> Self {
        Self {
            me,
            ..Self::default()
        }
    }

    /// Counts a call of this VM that an endpoint answered or failed. Returns whether to tell other VMs
    /// at once.
    pub fn record(&mut self, now: Millis, endpoint: NameHash, is_failed: bool) -> bool {
        let age = now.since(self.own.at);
        self.own.at = now;
        self.own.seq = self.own.seq.wrapping_add(1);
        let is_sure = |at: &Millis| now.since(*at) < CLAIM_TTL;
        let sure = self.sure.iter().filter(|(_, at)| is_sure(at));
        self.own.failing = sure.map(|(endpoint, _)| *endpoint).collect();
        self.own.pairs.retain(|_, pair| {
            *pair = pair.after(age);
            pair.slow.calls >= MIN_COUNT
        });
        let one = Tally {
            calls: 1.0,
            failed: f64::from(u8::from(is_failed)),
        };
        let pair = self.own.pairs.entry(endpoint).or_default();
        pair.add(Pair {
            fast: one,
            slow: one,
        });
        is_failed && self.is_urgent(now, endpoint)
    }

    fn is_urgent(&self, now: Millis, endpoint: NameHash) -> bool {
        self.total(now, endpoint).0.fast.failed >= URGENT_FAILED
    }

    /// Merges what other VMs counted.
    pub fn receive(&mut self, now: Millis, notices: &[ErrorNotice]) -> Receipt {
        let mut receipt = Receipt::default();
        for notice in notices {
            let is_sound = |count: &ErrorCount| {
                count.failed <= count.calls && count.fast_failed <= count.fast_calls
            };
            let size = notice.counts.len().max(notice.failing.len());
            if size > MAX_ENDPOINTS || !notice.counts.iter().all(is_sound) {
                receipt.dropped += 1;
                continue;
            }
            let known = self.others.get(&notice.origin);
            let is_news = known.is_none_or(|known| known.seq < notice.seq);
            if notice.origin == self.me || notice.age > MAX_AGE || !is_news {
                continue;
            }
            let origin = Origin {
                seq: notice.seq,
                at: now - notice.age,
                learned: now,
                pairs: notice.counts.iter().map(read_count).collect(),
                failing: notice.failing.iter().copied().collect(),
            };
            receipt.is_urgent |= !origin.failing.is_subset(&self.standing_out);
            self.others.insert(notice.origin, origin);
            receipt.is_urgent |= notice.counts.iter().any(|count| {
                let is_fresh = f64::from(count.fast_failed) >= UNITS_PER_CALL / 2.0;
                is_fresh && self.is_urgent(now, count.endpoint)
            });
        }
        self.others
            .retain(|_, origin| now.since(origin.at) < MAX_AGE);
        receipt
    }

    /// Returns the notices for the next message: this VM's counts, and those of others that it
    /// learned of lately: those with failed calls first, then the newest. As long as no VM has a failed call there are none, so the
    /// messages of a fleet without failures stay as they are.
    pub fn next_notices(&self, now: Millis) -> Vec<ErrorNotice> {
        if !self.knows_failure(now) {
            return Vec::new();
        }
        let own = (self.me, &self.own);
        let is_news = |origin: &Origin| now.since(origin.learned) < NEWS_TIME;
        let mut news: Vec<(NameHash, &Origin)> = self
            .others
            .iter()
            .filter(|(_, origin)| is_news(origin))
            .map(|(name, origin)| (*name, origin))
            .collect();
        news.sort_by_key(|(_, origin)| {
            let has_failed = origin.pairs.values().any(|pair| pair.fast.failed > 0.0);
            (!has_failed, now.since(origin.learned))
        });
        let origins = std::iter::once(own).chain(news);
        origins
            .filter(|(_, origin)| !origin.pairs.is_empty() && now.since(origin.at) < MAX_AGE)
            .take(MAX_NOTICES)
            .map(|(name, origin)| ErrorNotice {
                origin: name,
                seq: origin.seq,
                age: now.since(origin.at),
                counts: write_counts(&origin.pairs),
                failing: origin.failing.iter().copied().take(MAX_ENDPOINTS).collect(),
            })
            .collect()
    }

    fn knows_failure(&self, now: Millis) -> bool {
        self.origins().any(|origin| {
            let mut pairs = origin.pairs.values();
            pairs.any(|pair| pair.after(now.since(origin.at)).slow.failed >= MIN_COUNT)
        })
    }

    fn origins(&self) -> impl Iterator<Item = &Origin> {
        std::iter::once(&self.own).chain(self.others.values())
    }

    fn total(&self, now: Millis, endpoint: NameHash) -> (Pair, usize) {
        let mut sum = Pair::default();
        let mut vms = 0;
        for origin in self.origins() {
            if let Some(pair) = origin.pairs.get(&endpoint) {
                sum.add(pair.after(now.since(origin.at)));
                vms += 1;
            }
        }
        (sum, vms)
    }

    /// Returns whether another VM says that an endpoint stands out. VMs hear of the same calls at
    /// different times, and the first that is sure is enough where the others' counts agree.
    fn is_claimed(&self, now: Millis, endpoint: NameHash) -> bool {
        self.others
            .values()
            .any(|origin| origin.failing.contains(&endpoint) && now.since(origin.at) < CLAIM_TTL)
    }

    /// Compares the endpoints of a service by the calls of all VMs, in the order given.
    ///
    /// This answers the load of a few calls a second at each endpoint, made by hundreds of VMs. From
    /// the lowest share of failed calls upwards, an endpoint either is like those below, and the next
    /// is compared with all of them, or it stands out. One that stands out gets few calls, so it is
    /// like the others again when new calls say so, or when the old ones have decayed.
    pub fn compare(&mut self, now: Millis, endpoints: &[NameHash]) -> Vec<Standing> {
        let totals: Vec<(Pair, usize)> = endpoints
            .iter()
            .map(|endpoint| self.total(now, *endpoint))
            .collect();
        let mut order: Vec<usize> = (0..endpoints.len()).collect();
        order.sort_by(|a, b| {
            let rate = |index: &usize| totals[*index].0.slow.rate();
            rate(a).total_cmp(&rate(b))
        });
        self.sure.retain(|_, at| now.since(*at) < CLAIM_TTL);
        let mut base = Tally::default();
        let mut standings = vec![Standing::default(); endpoints.len()];
        for index in order {
            let (pair, vms) = totals[index];
            let was_out = self.standing_out.contains(&endpoints[index]);
            let is_claimed = was_out || self.is_claimed(now, endpoints[index]);
            let has_base = base.calls >= MIN_BASE;
            let is_sure = has_base && is_outlier(pair, base, false);
            let stands_out = is_sure || has_base && is_outlier(pair, base, is_claimed);
            if is_sure {
                self.sure.insert(endpoints[index], now);
            }
            standings[index] = Standing {
                stands_out,
                is_changed: stands_out != was_out,
                calls: pair.slow.calls,
                failed: pair.slow.failed,
                base: base.rate(),
                vms,
            };
            if stands_out {
                self.standing_out.insert(endpoints[index]);
            } else {
                self.standing_out.remove(&endpoints[index]);
                base.add(pair.slow);
            }
        }
        standings
    }
}

fn is_outlier(pair: Pair, base: Tally, is_claimed: bool) -> bool {
    if is_claimed {
        return pair.slow.sigmas_over(base) >= STAY_SIGMAS;
    }
    let exceeds = |tally: Tally, sigmas: f64| {
        tally.failed >= MIN_FAILED
            && tally.rate() - base.rate() >= MIN_EXCESS
            && tally.sigmas_over(base) >= sigmas
    };
    exceeds(pair.fast, FAST_SIGMAS) || exceeds(pair.slow, SLOW_SIGMAS)
}

fn read_count(count: &ErrorCount) -> (NameHash, Pair) {
    let tally = |calls: u32, failed: u32| Tally {
        calls: f64::from(calls) / UNITS_PER_CALL,
        failed: f64::from(failed) / UNITS_PER_CALL,
    };
    let pair = Pair {
        fast: tally(count.fast_calls, count.fast_failed),
        slow: tally(count.calls, count.failed),
    };
    (count.endpoint, pair)
}

/// Returns the counts of the endpoints with the most failed calls, then the most calls.
fn write_counts(pairs: &BTreeMap<NameHash, Pair>) -> Vec<ErrorCount> {
    let mut list: Vec<(&NameHash, &Pair)> = pairs.iter().collect();
    list.sort_by(|(_, a), (_, b)| {
        let key = |pair: &Pair| pair.slow.failed * 1e6 + pair.slow.calls;
        key(b).total_cmp(&key(a))
    });
    let units = |count: f64| (count * UNITS_PER_CALL).round() as u32;
    list.into_iter()
        .take(MAX_ENDPOINTS)
        .map(|(endpoint, pair)| ErrorCount {
            endpoint: *endpoint,
            fast_calls: units(pair.fast.calls),
            fast_failed: units(pair.fast.failed),
            calls: units(pair.slow.calls),
            failed: units(pair.slow.failed),
        })
        .collect()
}
