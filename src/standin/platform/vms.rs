//! The VM list, whose changes become visible with a delay.

use crate::clock::Millis;
use crate::io::platform::wire::VmList;

/// The visible VM list and a pending replacement.
#[derive(Debug)]
pub(super) struct Vms {
    visible: VmList,
    pending: Option<Change>,
}

#[derive(Debug)]
struct Change {
    at: Millis,
    list: VmList,
}

impl Vms {
    pub(super) fn new(visible: VmList) -> Self {
        Self {
            visible,
            pending: None,
        }
    }

    /// Replaces the list; the change becomes visible at the time `at`.
    pub(super) fn replace(&mut self, at: Millis, list: VmList) {
        self.pending = Some(Change { at, list });
    }

    pub(super) fn list(&mut self, now: Millis) -> &VmList {
        if let Some(change) = self.pending.take_if(|change| change.at <= now) {
            self.visible = change.list;
        }
        &self.visible
    }
}
