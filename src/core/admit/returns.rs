//! The returns that were promised to refused callers: how much comes back when.
//!
//! Load: many callers are refused in the same second, by many VMs. If each VM names the next moment
//! at which there should be room, all come back at once and are refused again. So the promised sizes
//! are summed over the fleet by slots of time, and a refusal names the earliest time whose rate of
//! ending work is not promised yet. A promise lapses with its slot: after a VM's death its
//! callers come back at the times that they were told, which were spread before
//! (docs/design/order.md).

use std::collections::VecDeque;

use crate::clock::Millis;
use crate::core::load::Load;
use crate::core::load::NameHash;
use crate::core::load::RETURN_SLOT_MS;
use crate::core::load::ReturnKey;
use crate::core::poison::RequestDigest;
use crate::names::ServiceName;

/// The shortest time after which a caller is told to come back: ending work of the next moment goes
/// to requests that wait.
pub const MIN_DELAY: Millis = Millis(400);
/// The part of a class's mean duration by which a promised return must precede the deadline.
const RUN_PART: f64 = 1.25;
/// How long passed slots are kept, for VMs whose clocks differ.
const KEPT_SLOTS: u64 = 4;
/// The slots before and after the present one over which the rate of returns is taken.
const RATE_SLOTS: (u64, u64) = (1, 3);
/// The most refused requests that are remembered, some seconds of refusals of one VM.
const MAX_REFUSED: usize = 1024;
/// How much earlier than told a caller may come back.
const EARLY: Millis = Millis(100);

/// What a refused caller's return depends on.
#[derive(Clone, Copy, Debug)]
pub struct Promise {
    /// The class, from [`class_hash`].
    pub class: NameHash,
    /// The tokens of the request.
    pub size: u32,
    /// Tokens per second that callers of the class who come back may take.
    pub rate: f64,
    /// Tokens that other VMs may have promised since their part of the load was seen.
    pub unseen: f64,
    /// The time left until the request's deadline.
    pub left: Millis,
    /// The mean duration of requests of the class.
    pub duration: Millis,
}

/// Identifies the promised returns of a class of a service.
#[must_use]
pub fn class_hash(service: &ServiceName, priority: u8) -> NameHash {
    NameHash::of(&format!("{service}/{priority}"))
}

/// Returns the time after which a refused caller should come back, and adds it to this VM's
/// promises in `own`; `fleet` is the sum over all VMs.
///
/// VMs that decide on the same view name different times: `draw`, a random number between 0 and 1,
/// places the request among those that the fleet may have refused since.
pub fn promise(now: Millis, wanted: &Promise, fleet: &Load, own: &mut Load, draw: f64) -> Millis {
    let run = Millis((wanted.duration.0 as f64 * RUN_PART) as u64);
    let latest = wanted.left.since(run);
    if latest < MIN_DELAY {
        // No time is left for a return that is served; the caller decides.
        return MIN_DELAY;
    }
    let first = now + MIN_DELAY;
    let slot_size = wanted.rate * RETURN_SLOT_MS as f64 / 1000.0;
    let mut ahead = f64::from(wanted.size) + draw * wanted.unseen;
    for slot in slot_at(first)..=slot_at(now + latest) {
        let key = ReturnKey {
            service: wanted.class,
            slot,
        };
        let promised = fleet.returns.get(&key).copied().unwrap_or(0);
        let free = (slot_size - f64::from(promised)).max(0.0);
        if ahead > free {
            ahead -= free;
            continue;
        }
        let inside = (RETURN_SLOT_MS as f64 * ahead / free.max(1.0)) as u64;
        let at = Millis(slot * RETURN_SLOT_MS + inside).max(first);
        record(own, key, wanted.size);
        return at.since(now).min(latest);
    }
    // All is promised until the deadline: any time is as good, so the callers are spread.
    let wait = MIN_DELAY + Millis((latest.since(MIN_DELAY).0 as f64 * draw) as u64);
    let key = ReturnKey {
        service: wanted.class,
        slot: slot_at(now + wait),
    };
    record(own, key, wanted.size);
    wait
}

fn record(own: &mut Load, key: ReturnKey, size: u32) {
    let known = own.returns.entry(key).or_default();
    *known = known.saturating_add(size);
}

/// Returns the tokens per second of a class that are promised for the present.
#[must_use]
pub fn rate_at(load: &Load, class: NameHash, now: Millis) -> f64 {
    let (before, after) = RATE_SLOTS;
    let present = slot_at(now);
    let first = ReturnKey {
        service: class,
        slot: present.saturating_sub(before),
    };
    let last = ReturnKey {
        service: class,
        slot: present + after,
    };
    let due: f64 = load
        .returns
        .range(first..=last)
        .map(|(_, size)| f64::from(*size))
        .sum();
    due * 1000.0 / ((before + after + 1) * RETURN_SLOT_MS) as f64
}

/// Drops the promises whose time is over.
pub fn expire(now: Millis, own: &mut Load) {
    let oldest = slot_at(now).saturating_sub(KEPT_SLOTS);
    own.returns.retain(|key, _| key.slot >= oldest);
}

fn slot_at(time: Millis) -> u64 {
    time.0 / RETURN_SLOT_MS
}

/// The requests that this VM refused, by content: a caller's next attempt has another id, but the
/// same content.
#[derive(Clone, Debug, Default)]
pub struct Refused {
    requests: VecDeque<(RequestDigest, Millis)>,
}

impl Refused {
    /// Remembers a refused request and when its caller was told to come back.
    pub fn insert(&mut self, content: RequestDigest, due: Millis) {
        if self.requests.len() >= MAX_REFUSED {
            self.requests.pop_front();
        }
        self.requests.push_back((content, due));
    }

    /// Returns whether a request is the return of a refused one, which is then forgotten. Callers
    /// who come back earlier than they were told count as new.
    pub fn take(&mut self, content: &RequestDigest, now: Millis) -> bool {
        let is_due =
            |(refused, due): &(RequestDigest, Millis)| refused == content && now + EARLY >= *due;
        let Some(at) = self.requests.iter().position(is_due) else {
            return false;
        };
        self.requests.remove(at);
        true
    }
}
