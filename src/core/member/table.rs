//! The table of known daemons, with the newest rumour about each.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;

use super::message::Load;
use super::message::Member;
use super::message::Rumour;
use super::message::Status;
use super::rendezvous::hash;
use crate::clock::Millis;
use crate::names::Vm;

/// How often a daemon passes a rumour on. If each daemon passes it to `n` random peers, about one
/// daemon in e^n misses it; [`Table::next_entry`] repairs these.
const MAX_SENDS: u8 = 14;

/// The state of the daemon's current boot in the latest list of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Listing {
    /// The list has not contained the VM yet.
    Unknown,
    /// The VM was listed as leaving under an earlier boot, and the mark may be out of date.
    Outdated,
    /// The VM is listed and not leaving.
    Live,
    /// The VM is listed as leaving.
    Leaving,
}

/// What is known of one daemon.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    /// The newest rumour about the daemon.
    pub(super) rumour: Rumour,
    /// Whether this boot announced that it is leaving.
    pub(super) announced_leave: bool,
    /// When the last ping was sent that the daemon answered to this one directly.
    pub(super) heard: Option<Millis>,
    /// The VM's state on the platform's list.
    pub(super) listing: Listing,
    /// The last known load of this boot.
    pub(super) load: Load,
    sends: u8,
}

impl Entry {
    /// Returns whether new callers may be sent to the daemon.
    pub(super) fn is_usable(&self) -> bool {
        self.rumour.status == Status::Serving && self.listing != Listing::Leaving
    }

    /// Returns whether the daemon is part of the fleet's size, even if it does not answer.
    pub(super) fn is_counted(&self) -> bool {
        !self.announced_leave && self.listing != Listing::Leaving
    }

    /// Returns whether the daemon is believed to run.
    pub(super) fn is_live(&self) -> bool {
        self.rumour.status < Status::Suspect && self.rumour.member.boot > 0
    }
}

/// The known daemons except this one.
#[derive(Debug, Default)]
pub(super) struct Table {
    entries: BTreeMap<Vm, Entry>,
    ring: Vec<(u64, Vm)>,
    /// The daemons whose rumours are still passed on, those with the fewest sends first.
    pending: BTreeSet<(u8, Vm)>,
    cursor: Option<Vm>,
}

impl Table {
    pub(super) fn get(&self, vm: &Vm) -> Option<&Entry> {
        self.entries.get(vm)
    }

    pub(super) fn get_mut(&mut self, vm: &Vm) -> Option<&mut Entry> {
        self.entries.get_mut(vm)
    }

    pub(super) fn values(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Stores a rumour and returns the one that it replaces.
    pub(super) fn put(&mut self, rumour: Rumour) -> Option<Rumour> {
        let vm = rumour.member.vm.clone();
        let old = self.entries.remove(&vm);
        let before = old.clone();
        self.entries.insert(vm.clone(), merge_entry(rumour, old));
        if let Some(old) = &before {
            self.pending.remove(&(old.sends, vm.clone()));
        }
        self.pending.insert((0, vm.clone()));
        self.update_ring(&vm);
        before.map(|entry| entry.rumour)
    }

    /// Forgets a daemon.
    pub(super) fn remove(&mut self, vm: &Vm) {
        if let Some(entry) = self.entries.remove(vm) {
            self.pending.remove(&(entry.sends, vm.clone()));
        }
        self.update_ring(vm);
    }

    fn update_ring(&mut self, vm: &Vm) {
        let key = (ring_position(vm), vm.clone());
        let live = self.entries.get(vm).is_some_and(Entry::is_live);
        match (self.ring.binary_search(&key), live) {
            (Err(spot), true) => self.ring.insert(spot, key),
            (Ok(spot), false) => {
                self.ring.remove(spot);
            }
            _ => {}
        }
    }

    /// Returns the live daemons, in the order of the ring.
    pub(super) fn ring(&self) -> &[(u64, Vm)] {
        &self.ring
    }

    /// Returns the live daemon `steps` positions after the direct successor of `me` on the ring.
    pub(super) fn successor(&self, me: &Vm, steps: usize) -> Option<Vm> {
        if self.ring.len() <= steps {
            return None;
        }
        let key = (ring_position(me), me.clone());
        let start = self.ring.partition_point(|other| *other < key);
        let (_, vm) = &self.ring[(start + steps) % self.ring.len()];
        Some(vm.clone())
    }

    /// Returns whether there are rumours to pass on.
    pub(super) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns up to `count` rumours to pass on and counts one send for each.
    pub(super) fn take_pending(&mut self, count: usize) -> Vec<Rumour> {
        let mut out = Vec::new();
        let chosen: Vec<(u8, Vm)> = self.pending.iter().take(count).cloned().collect();
        for key in chosen {
            self.pending.remove(&key);
            let (sends, vm) = key;
            let Some(entry) = self.entries.get_mut(&vm) else {
                continue;
            };
            entry.sends = sends + 1;
            out.push(entry.rumour.clone());
            if entry.sends < MAX_SENDS {
                self.pending.insert((entry.sends, vm));
            }
        }
        out
    }

    /// Returns the next entry in round-robin order, so that a rumour that a daemon missed reaches
    /// it eventually.
    pub(super) fn next_entry(&mut self) -> Option<&Entry> {
        let next = match &self.cursor {
            Some(vm) => self.after(vm),
            None => None,
        };
        let next = next.or_else(|| self.entries.keys().next().cloned());
        self.cursor.clone_from(&next);
        self.entries.get(&next?)
    }

    fn after(&self, vm: &Vm) -> Option<Vm> {
        let range = (Bound::Excluded(vm), Bound::Unbounded);
        self.entries
            .range::<Vm, _>(range)
            .next()
            .map(|(vm, _)| vm.clone())
    }

    /// Returns the rumour about an older boot with the address of `member` but another VM name.
    pub(super) fn find_replaced(&self, member: &Member) -> Option<Rumour> {
        self.entries
            .values()
            .map(|entry| &entry.rumour)
            .find(|other| {
                other.member.peer == member.peer
                    && other.member.vm != member.vm
                    && other.member.boot < member.boot
                    && other.status != Status::Gone
            })
            .cloned()
    }
}

fn ring_position(vm: &Vm) -> u64 {
    hash(&[b"ring", vm.as_str().as_bytes()])
}

fn merge_entry(rumour: Rumour, old: Option<Entry>) -> Entry {
    let fresh = Entry {
        announced_leave: rumour.status == Status::Leaving,
        heard: None,
        listing: Listing::Unknown,
        load: Load {
            vm: rumour.member.vm.clone(),
            count: 0,
            load: 0,
        },
        sends: 0,
        rumour,
    };
    let Some(old) = old else {
        return fresh;
    };
    let boots = (old.rumour.member.boot, fresh.rumour.member.boot);
    let same = boots.0 == boots.1;
    let listing = match old.listing {
        Listing::Leaving if !same && boots.0 > 0 => Listing::Outdated,
        listing => listing,
    };
    Entry {
        announced_leave: fresh.announced_leave || (same && old.announced_leave),
        heard: old.heard.filter(|_| same),
        listing,
        load: if same { old.load } else { fresh.load },
        ..fresh
    }
}
