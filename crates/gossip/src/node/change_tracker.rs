//! Tracks the persistent records that have changed since the last snapshot write.

use crate::record::RecordKey;
use std::collections::BTreeSet;

/// Maximum number of tracked changes; beyond it only a complete snapshot contains them all.
const MAX_TRACKED_CHANGES: usize = 8192;

#[derive(Default)]
pub(super) struct ChangeTracker {
    changed: BTreeSet<RecordKey>,
    has_overflowed: bool,
}

impl ChangeTracker {
    pub(super) fn record_change(&mut self, key: &RecordKey) {
        if !key.kind.is_persistent() {
            return;
        }
        if self.changed.len() < MAX_TRACKED_CHANGES {
            self.changed.insert(key.clone());
        } else {
            self.has_overflowed = true;
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.changed.is_empty()
    }

    /// Removes and returns all changes; `None` if there were too many to track.
    pub(super) fn take(&mut self) -> Option<BTreeSet<RecordKey>> {
        let changed = std::mem::take(&mut self.changed);
        let has_overflowed = std::mem::take(&mut self.has_overflowed);
        (!has_overflowed).then_some(changed)
    }
}
