//! Snapshots of a shard, which keep its state when old records leave the log's retention.

use super::MAX_PART_BYTES;
use super::ROW_BYTES;
use super::id::Holder;
use super::id::Offset;
use super::record::Answer;
use super::record::Row;
use super::record::RowState;
use super::record::Snapshot;
use super::shard::KeyState;
use super::shard::Shard;
use crate::clock::Millis;

impl Shard {
    /// Returns the parts of a snapshot of the state without the keys whose time is before `floor`.
    /// There are none if the fold has no base or has read no record.
    #[must_use]
    pub fn snapshot_parts(&self, holder: &Holder, floor: Millis) -> Vec<Snapshot> {
        let Some(upto) = self.next.0.checked_sub(1).filter(|_| self.has_base) else {
            return Vec::new();
        };
        let floor = floor.max(self.floor);
        let rows: Vec<Row> = self.rows().filter(|row| row.time >= floor).collect();
        let chunks = split_rows(rows);
        let parts = chunks.len() as u32;
        let numbered = (0..parts).zip(chunks);
        numbered
            .map(|(part, rows)| Snapshot {
                holder: holder.clone(),
                upto: Offset(upto),
                floor,
                opaque: self.opaque,
                part,
                parts,
                rows,
            })
            .collect()
    }

    /// Returns an empty snapshot for a stream whose earlier records are lost.
    ///
    /// `floor` must be later than the times of all keys in the lost records, so that none of them
    /// is admitted again. An opaque key has no time to compare, so opaque keys are refused until a
    /// whole `window` after `floor`.
    #[must_use]
    pub fn empty_snapshot(&self, holder: &Holder, floor: Millis, window: Millis) -> Snapshot {
        Snapshot {
            holder: holder.clone(),
            upto: Offset(self.next.0.saturating_sub(1)),
            floor,
            opaque: floor + window,
            part: 0,
            parts: 1,
            rows: Vec::new(),
        }
    }

    fn rows(&self) -> impl Iterator<Item = Row> + '_ {
        let claimed = self.keys.iter().map(|(id, key)| Row {
            key: *id,
            holder: self.holders[key.holder as usize].clone(),
            attempt: key.attempt,
            time: key.time,
            state: RowState::Claimed {
                call: key.call,
                offset: key.offset,
                answer: key.answer.as_deref().cloned(),
            },
        });
        let voided = self.voids.iter().map(|((id, holder), voided)| Row {
            key: *id,
            holder: self.holders[*holder as usize].clone(),
            attempt: voided.attempt,
            time: voided.time,
            state: RowState::Void,
        });
        claimed.chain(voided)
    }

    /// Applies a part of a snapshot from the log. A fold with a base only raises its floors and
    /// drops older keys; one without collects the parts until they are complete.
    pub(super) fn apply_snapshot(&mut self, part: &Snapshot) {
        if self.has_base {
            self.opaque = self.opaque.max(part.opaque);
            self.drop_keys_before(part.floor);
            return;
        }
        if part.part == 0 {
            self.pending_parts.clear();
        }
        if part.upto.next() < self.origin {
            return;
        }
        let fits = self.pending_parts.first().is_none_or(|first| {
            first.holder == part.holder && first.upto == part.upto && first.parts == part.parts
        });
        if fits && self.pending_parts.len() == part.part as usize {
            self.pending_parts.push(part.clone());
        }
        if self.pending_parts.len() == part.parts as usize {
            self.load_snapshot();
        }
    }

    /// Drops the keys whose time is before `floor`; no claim on such a key can win from here on.
    fn drop_keys_before(&mut self, floor: Millis) {
        self.floor = self.floor.max(floor);
        let floor = self.floor;
        self.keys.retain(|_, key| key.time >= floor);
        self.voids.retain(|_, voided| voided.time >= floor);
    }

    /// Replaces the state by the collected snapshot; the records after it are then read again.
    fn load_snapshot(&mut self) {
        let parts = std::mem::take(&mut self.pending_parts);
        let Some(first) = parts.first() else {
            return;
        };
        *self = Self::start(first.upto.next());
        self.has_base = true;
        self.floor = first.floor;
        self.opaque = first.opaque;
        for row in parts.into_iter().flat_map(|part| part.rows) {
            self.restore_row(row);
        }
    }

    fn restore_row(&mut self, row: Row) {
        let holder = self.intern(&row.holder);
        match row.state {
            RowState::Void => self.void_attempt(row.key, holder, row.attempt, row.time),
            RowState::Claimed {
                call,
                offset,
                answer,
            } => {
                let key = KeyState {
                    call,
                    offset,
                    attempt: row.attempt,
                    time: row.time,
                    answer: answer.clone().map(Box::new),
                    holder,
                };
                self.keys.insert(row.key, key);
                if let Some(answer) = answer {
                    self.keep_body(row.key, &answer);
                }
            }
        }
    }
}

/// Splits rows into parts that fit into one append each; there is at least one part.
fn split_rows(rows: Vec<Row>) -> Vec<Vec<Row>> {
    let mut chunks = vec![Vec::new()];
    let mut bytes = 0;
    for row in rows {
        let size = ROW_BYTES + row.answer().map_or(0, Answer::len);
        if bytes + size > MAX_PART_BYTES && bytes > 0 {
            chunks.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(last) = chunks.last_mut() {
            last.push(row);
        }
    }
    chunks
}
