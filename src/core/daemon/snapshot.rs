//! Configuration snapshots: written well within the log's retention, and loaded by a VM that needs
//! records which have expired from the log.

use std::collections::VecDeque;

use crate::clock::Millis;
use crate::core::config::change::Offset;
use crate::core::config::publish;
use crate::core::config::record::Body;
use crate::core::config::record::Record;
use crate::core::config::snapshot::Loader;
use crate::core::config::snapshot::Part;
use crate::core::config::snapshot::Snapshot;
use crate::names::Vm;

use super::Core;
use super::action::Action;
use super::action::AppendId;
use super::action::LogEvent;
use super::action::ReadId;
use super::event::ReadResult;

/// The longest time between two snapshots.
const SNAPSHOT_INTERVAL: Millis = Millis::seconds(600);
/// The most records between two snapshots.
const MAX_RECORDS: u64 = 512;
/// How long each VM in rank order has to write a due snapshot before the next VM does it.
const RANK_DELAY: Millis = Millis::seconds(30);

/// The state of writing and loading snapshots.
#[derive(Debug, Default)]
pub(super) struct Snapshots {
    loader: Loader,
    parts: VecDeque<Part>,
    is_appending: bool,
    /// When the last complete snapshot was seen in the stream, or this VM started.
    last_seen: Option<Millis>,
    /// The offset up to which that snapshot covers the stream.
    covers: Offset,
}

impl Snapshots {
    /// Handles the append of a part; the next part can follow.
    pub(super) fn appended(&mut self) {
        self.is_appending = false;
    }

    /// Drops the rest of the snapshot, because a part may be missing; it is written anew when due.
    pub(super) fn abandon(&mut self) {
        self.is_appending = false;
        self.parts.clear();
    }

    /// Handles a part that was read from the stream.
    pub(super) fn part_seen(&mut self, now: Millis, part: &Part) {
        if part.number + 1 == part.count && part.covers >= self.covers {
            self.last_seen = Some(now);
            self.covers = part.covers;
        }
    }
}

impl Core {
    /// Appends the next part, or starts a snapshot if one is due and it is this VM's turn.
    pub(super) fn snapshot_if_due(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.snapshots.is_appending || self.ready(now).is_err() {
            return;
        }
        if self.snapshots.parts.is_empty() && self.snapshot_due(now) {
            self.begin_snapshot(now, out);
        }
        let Some(part) = self.snapshots.parts.pop_front() else {
            return;
        };
        self.snapshots.is_appending = true;
        let record = Record::new(self.state.next(), Body::Snapshot(part));
        out.push(Action::Append {
            append: AppendId::SnapshotPart,
            record: record.encode(),
        });
    }

    fn snapshot_due(&mut self, now: Millis) -> bool {
        let since = *self.snapshots.last_seen.get_or_insert(now);
        let Some(offset) = self.state.offset() else {
            return false;
        };
        let records = offset.since(self.snapshots.covers);
        if records <= u64::from(self.state.offset() == Some(self.snapshots.covers)) {
            return false;
        }
        let many = records >= MAX_RECORDS;
        let old = now.since(since) >= SNAPSHOT_INTERVAL;
        (many || old) && self.is_snapshot_turn(now.since(since))
    }

    /// Returns whether it is this VM's turn to write: the first in rank starts, and each
    /// [`RANK_DELAY`] adds the next one.
    fn is_snapshot_turn(&self, waited: Millis) -> bool {
        let late = waited.since(SNAPSHOT_INTERVAL).0 / RANK_DELAY.0;
        let ranked = self.members.rank("config-snapshot");
        let place = ranked.iter().position(|vm| *vm == self.me.vm);
        place.is_some_and(|place| place as u64 <= late)
    }

    fn begin_snapshot(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.snapshots.last_seen = Some(now);
        match Snapshot::of(&self.state) {
            Ok(snapshot) => {
                let subject = snapshot.covers.to_string().into();
                out.push(Action::Log(LogEvent {
                    event: "snapshot",
                    subject,
                }));
                self.snapshots.parts = snapshot.parts().into();
            }
            Err(error) => {
                let subject = error.to_string().into();
                out.push(Action::Log(LogEvent {
                    event: "snapshot_failed",
                    subject,
                }));
            }
        }
    }

    /// Requests a snapshot, from a peer or from the log, because needed records have expired.
    pub(super) fn need_snapshot(&self, first: u64, peer: Option<Vm>, out: &mut Vec<Action>) {
        match peer {
            Some(vm) => self.send_peer(&vm, super::peer::Body::WantState, out),
            None => out.push(Action::Read {
                read: ReadId::Snapshot,
                from: first,
            }),
        }
    }

    /// Searches a page of the stream's oldest records for a snapshot, and reads the next page if
    /// needed.
    pub(super) fn search_snapshot(
        &mut self,
        now: Millis,
        result: ReadResult,
        out: &mut Vec<Action>,
    ) {
        let ReadResult::Records { batch, end } = result else {
            return;
        };
        for record in &batch.records {
            if let Body::Snapshot(part) = Record::decode(record.data.as_bytes()).body {
                self.offer_part(now, &part, out);
            }
        }
        if !end && self.sync.offset() < batch.from {
            out.push(Action::Read {
                read: ReadId::Snapshot,
                from: batch.next,
            });
        }
    }

    /// Handles a part from the stream or from a peer, and loads the snapshot once it is complete.
    pub(super) fn offer_part(&mut self, now: Millis, part: &Part, out: &mut Vec<Action>) {
        let Some(snapshot) = self.snapshots.loader.offer(part) else {
            return;
        };
        let Ok(state) = snapshot.load() else {
            return;
        };
        if !self.state.adopt(state) {
            return;
        }
        let next = self.state.next();
        let subject = next.to_string().into();
        out.push(Action::Log(LogEvent {
            event: "snapshot_loaded",
            subject,
        }));
        self.sync.adopt(next.0);
        self.update_endpoints();
        self.step_publisher(now, publish::Event::Jumped { next }, out);
    }

    /// Sends a snapshot to a peer that cannot get the records from the log.
    pub(super) fn send_state(&self, vm: &Vm, out: &mut Vec<Action>) {
        if let Ok(snapshot) = Snapshot::of(&self.state) {
            for part in snapshot.parts() {
                self.send_peer(vm, part, out);
            }
        }
    }
}
