//! The fold of one `once` stream.

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

/// What the log says of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Verdict {
    /// The claim holds the key, with no outcome: its boot alone may send.
    Won {
        /// Where it won.
        offset: Offset,
    },
    /// Another claim, or an earlier attempt, holds the key.
    Lost {
        /// Who holds it.
        holder: Holder,
        /// The outcome, once there is one.
        answer: Option<Answer>,
    },
    /// The key is bound to another call.
    Reused,
    /// The key is older than the fold remembers.
    Expired,
    /// The attempt was released before.
    Void,
    /// The outcome or the release is in the log.
    Recorded,
}

/// The state of one stream up to an offset.
///
/// It starts at offset 0, or at a whole snapshot from which every later record can be read. In
/// between it is without a base and gives no verdict, because a claim that it missed may have won.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Shard {
    pub(super) next: Offset,
    pub(super) origin: Offset,
    pub(super) has_base: bool,
    pub(super) floor: Millis,
    pub(super) opaque: Millis,
    pub(super) keys: BTreeMap<KeyId, KeyState>,
    pub(super) voids: BTreeMap<(KeyId, u32), Voided>,
    pub(super) holders: Vec<Holder>,
    pub(super) holder_index: BTreeMap<Holder, u32>,
    pub(super) bodies: VecDeque<(KeyId, u32)>,
    pub(super) body_bytes: usize,
    pub(super) pending_parts: Vec<Snapshot>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct KeyState {
    pub(super) call: CallDigest,
    pub(super) offset: Offset,
    pub(super) attempt: Attempt,
    pub(super) time: Millis,
    pub(super) answer: Option<Box<Answer>>,
    pub(super) holder: u32,
}

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
    /// Returns a fold that reads from an offset; it has a base only if that is the stream's start.
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

    /// Returns the next offset to read.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Says whether the fold rests on the stream's start or on a whole snapshot.
    pub fn has_base(&self) -> bool {
        self.has_base
    }

    /// Returns the time before which no key is remembered.
    pub fn floor(&self) -> Millis {
        self.floor
    }

    /// Returns the number of keys that are remembered.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Says whether no key is remembered.
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

    /// Returns the verdict on an entry if it is known without an append.
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

    /// Voids the attempt, whether its claim came before or is still under way.
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

    pub(super) fn intern(&mut self, holder: &Holder) -> u32 {
        if let Some(index) = self.holder_index.get(holder) {
            return *index;
        }
        let index = self.holders.len() as u32;
        self.holders.push(holder.clone());
        self.holder_index.insert(holder.clone(), index);
        index
    }

    /// Keeps an answer's body until the bodies of later answers need its room.
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
