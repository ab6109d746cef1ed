//! The state of one `once` stream, folded from its records.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use super::MAX_KEPT_BYTES;
use super::id::Attempt;
use super::id::CallDigest;
use super::id::Holder;
use super::id::KeyId;
use super::id::Offset;
use super::record::Answer;
use super::record::Batch;
use super::record::Claim;
use super::record::Entry;
use super::record::Ident;
use super::record::Outcome;
use super::record::Release;
use super::record::Snapshot;
use crate::clock::Millis;

/// What the log decides about an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Verdict {
    /// The claim holds the key and has no outcome: its boot alone may send the call.
    Won {
        /// The offset of the record with the claim.
        offset: Offset,
    },
    /// Another claim, or an earlier attempt, holds the key.
    Lost {
        /// The boot that holds the key.
        holder: Holder,
        /// The outcome of its call, or `None` while the log has none.
        answer: Option<Answer>,
    },
    /// The key is bound to another call.
    Reused,
    /// The key is older than the floor, before which no key is remembered.
    Expired,
    /// The attempt was released, so its claim can't win.
    Void,
    /// The outcome or the release is in the log.
    Recorded,
}

/// The state of one stream up to an offset.
///
/// It has a base if it started at offset 0 or from a complete snapshot after which every record can
/// be read. Without a base it gives no verdicts, because a claim that it missed may have won.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Shard {
    pub(super) next: Offset,
    /// The offset at which the fold started.
    pub(super) origin: Offset,
    pub(super) has_base: bool,
    /// Keys with an earlier time are neither remembered nor admitted.
    pub(super) floor: Millis,
    /// Claims on opaque keys with an earlier time are not admitted.
    pub(super) opaque: Millis,
    pub(super) keys: BTreeMap<KeyId, KeyState>,
    pub(super) voids: BTreeMap<(KeyId, u32), Voided>,
    /// All holders; keys refer to them by index.
    pub(super) holders: Vec<Holder>,
    pub(super) holder_index: BTreeMap<Holder, u32>,
    /// The keys with a kept body and its size, oldest first.
    pub(super) bodies: VecDeque<(KeyId, u32)>,
    pub(super) body_bytes: usize,
    /// The parts of an incomplete snapshot.
    pub(super) pending_parts: Vec<Snapshot>,
}

/// The claim that holds a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct KeyState {
    pub(super) call: CallDigest,
    pub(super) offset: Offset,
    pub(super) attempt: Attempt,
    pub(super) time: Millis,
    pub(super) answer: Option<Box<Answer>>,
    /// The index in [`Shard::holders`].
    pub(super) holder: u32,
}

/// The released attempts of one holder on one key: all up to `attempt`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Voided {
    pub(super) attempt: Attempt,
    pub(super) time: Millis,
}

impl Default for Shard {
    fn default() -> Self {
        Self::start(Offset(0))
    }
}

impl Shard {
    /// Returns an empty state to fold from an offset; it has a base only if that is offset 0.
    #[must_use]
    pub fn start(from: Offset) -> Self {
        Self {
            next: from,
            origin: from,
            has_base: from == Offset(0),
            floor: Millis(0),
            opaque: Millis(0),
            keys: BTreeMap::new(),
            voids: BTreeMap::new(),
            holders: Vec::new(),
            holder_index: BTreeMap::new(),
            bodies: VecDeque::new(),
            body_bytes: 0,
            pending_parts: Vec::new(),
        }
    }

    /// Returns the offset of the next record to fold.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns whether the fold started at offset 0 or from a complete snapshot.
    pub fn has_base(&self) -> bool {
        self.has_base
    }

    /// Returns the time before which keys are neither remembered nor admitted.
    pub fn floor(&self) -> Millis {
        self.floor
    }

    /// Returns the number of claimed keys that are remembered.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether no claimed key is remembered.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Folds the record at the next offset and returns the verdicts on its entries.
    pub fn fold(&mut self, batch: &Batch) -> Vec<(Ident, Verdict)> {
        let offset = self.next;
        self.next = offset.next();
        let mut verdicts = Vec::new();
        for entry in &batch.0 {
            if let Entry::Snapshot(part) = entry {
                self.apply_snapshot(part);
            } else if self.has_base {
                let verdict = self.apply(offset, entry);
                verdicts.extend(entry.ident().map(|ident| (ident, verdict)));
            }
        }
        verdicts
    }

    /// Returns the verdict on an entry, or `None` if it takes an append to find out.
    pub fn known_verdict(&self, entry: &Entry) -> Option<Verdict> {
        if !self.has_base {
            return None;
        }
        match entry {
            Entry::Claim(claim) => self.check_claim(claim),
            Entry::Outcome(outcome) => self.has_outcome(outcome).then_some(Verdict::Recorded),
            Entry::Release(release) => self
                .is_void(release.key, &release.holder, release.attempt)
                .then_some(Verdict::Recorded),
            Entry::Snapshot(_) => None,
        }
    }

    fn apply(&mut self, offset: Offset, entry: &Entry) -> Verdict {
        match entry {
            Entry::Claim(claim) => self.apply_claim(offset, claim),
            Entry::Outcome(outcome) => self.apply_outcome(outcome),
            Entry::Release(release) => self.apply_release(release),
            Entry::Snapshot(_) => Verdict::Recorded,
        }
    }

    /// Returns the verdict on a claim unless it would win.
    fn check_claim(&self, claim: &Claim) -> Option<Verdict> {
        if let Some(key) = self.keys.get(&claim.key) {
            return Some(self.check_taken(key, claim));
        }
        if self.is_void(claim.key, &claim.holder, claim.attempt) {
            return Some(Verdict::Void);
        }
        let floor = if claim.opaque {
            self.opaque.max(self.floor)
        } else {
            self.floor
        };
        (claim.time < floor).then_some(Verdict::Expired)
    }

    /// Returns the verdict on a claim to a key that is held.
    fn check_taken(&self, key: &KeyState, claim: &Claim) -> Verdict {
        if key.call != claim.call {
            return Verdict::Reused;
        }
        let holder = &self.holders[key.holder as usize];
        if key.answer.is_none() && key.attempt == claim.attempt && *holder == claim.holder {
            return Verdict::Won { offset: key.offset };
        }
        Verdict::Lost {
            holder: holder.clone(),
            answer: key.answer.as_deref().cloned(),
        }
    }

    fn apply_claim(&mut self, offset: Offset, claim: &Claim) -> Verdict {
        if let Some(verdict) = self.check_claim(claim) {
            return verdict;
        }
        let key = KeyState {
            call: claim.call,
            offset,
            attempt: claim.attempt,
            time: claim.time,
            answer: None,
            holder: self.intern(&claim.holder),
        };
        self.keys.insert(claim.key, key);
        Verdict::Won { offset }
    }

    /// Stores the first outcome of the claim that holds the key; all others change nothing.
    fn apply_outcome(&mut self, outcome: &Outcome) -> Verdict {
        let holder = self.holder_index.get(&outcome.holder).copied();
        if let Some(key) = self.keys.get_mut(&outcome.key)
            && Some(key.holder) == holder
            && key.attempt == outcome.attempt
            && key.answer.is_none()
        {
            key.answer = Some(Box::new(outcome.answer.clone()));
            self.keep_body(outcome.key, &outcome.answer);
        }
        Verdict::Recorded
    }

    /// Voids the attempt, whether its claim is already in the log or arrives later. An attempt with
    /// an outcome stays.
    fn apply_release(&mut self, release: &Release) -> Verdict {
        let holder = self.intern(&release.holder);
        if let Some(key) = self.keys.get(&release.key)
            && key.holder == holder
            && key.attempt == release.attempt
        {
            if key.answer.is_some() {
                return Verdict::Recorded;
            }
            self.keys.remove(&release.key);
        }
        self.void_attempt(release.key, holder, release.attempt, release.time);
        Verdict::Recorded
    }

    pub(super) fn void_attempt(&mut self, key: KeyId, holder: u32, attempt: Attempt, time: Millis) {
        let voided = self
            .voids
            .entry((key, holder))
            .or_insert(Voided { attempt, time });
        voided.attempt = voided.attempt.max(attempt);
        voided.time = voided.time.max(time);
    }

    fn is_void(&self, key: KeyId, holder: &Holder, attempt: Attempt) -> bool {
        self.holder_index
            .get(holder)
            .and_then(|holder| self.voids.get(&(key, *holder)))
            .is_some_and(|voided| attempt <= voided.attempt)
    }

    fn has_outcome(&self, outcome: &Outcome) -> bool {
        self.keys
            .get(&outcome.key)
            .is_some_and(|key| key.answer.is_some())
    }

    /// Returns the index of a holder, which is added if it is new.
    pub(super) fn intern(&mut self, holder: &Holder) -> u32 {
        if let Some(index) = self.holder_index.get(holder) {
            return *index;
        }
        let index = self.holders.len() as u32;
        self.holders.push(holder.clone());
        self.holder_index.insert(holder.clone(), index);
        index
    }

    /// Counts a kept body, and drops the oldest ones beyond [`MAX_KEPT_BYTES`].
    pub(super) fn keep_body(&mut self, key: KeyId, answer: &Answer) {
        let Answer::Small { body, .. } = answer else {
            return;
        };
        self.bodies.push_back((key, body.len() as u32));
        self.body_bytes += body.len();
        while self.body_bytes > MAX_KEPT_BYTES
            && let Some((oldest, length)) = self.bodies.pop_front()
        {
            self.body_bytes -= length as usize;
            self.drop_body(oldest);
        }
    }

    /// Replaces the body of a key's answer by its digest.
    fn drop_body(&mut self, key: KeyId) {
        let Some(answer) = self.keys.get_mut(&key).and_then(|key| key.answer.as_mut()) else {
            return;
        };
        if let Answer::Small { status, body, .. } = &**answer {
            **answer = Answer::Large {
                status: *status,
                digest: CallDigest::of("", "", body),
            };
        }
    }
}
