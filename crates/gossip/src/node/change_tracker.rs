//! Which persistent records have changed since the snapshot was last written.

use crate::record::RecordKey;
use std::collections::BTreeSet;

/// Most changes that are tracked; beyond it only a complete snapshot contains them all.
const MAX_TRACKED_CHANGES: usize = 8192;

#[derive(Default)]
pub(super) struct ChangeTracker {
    changed: BTreeSet<RecordKey>,
    has_overflowed: bool,
}

impl ChangeTracker {
    pub(super) fn note(&mut self, key: &RecordKey) {
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

    /// Forgets all changes and returns them; none if there were too many to track.
    pub(super) fn take(&mut self) -> Option<BTreeSet<RecordKey>> {
        let changed = std::mem::take(&mut self.changed);
        let has_overflowed = std::mem::take(&mut self.has_overflowed);
        (!has_overflowed).then_some(changed)
    }
}
