//! Stores the generation that was kept last, and stores it again, later each time, while the disk fails.

use crate::store::{KeepError, Store};
use asterlatch_storage::FileSystem;
use std::time::Duration;

/// Time between two attempts on a disk that fails; doubles up to [`LONGEST_PAUSE`].
pub const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest time between two attempts.
pub const LONGEST_PAUSE: Duration = Duration::from_secs(30);

/// A generation that isn't known to survive a power failure.
struct PendingGeneration {
    number: u64,
    canonical: String,
    most: usize,
    /// Whether the number is this generation's own already.
    is_in_force: bool,
    pause: Duration,
}

/// A store, and a generation that is pending: not stored yet, or not known to be durable.
pub struct GenerationWriter<F: FileSystem> {
    store: Store<F>,
    pending: Option<PendingGeneration>,
}

impl<F: FileSystem> GenerationWriter<F> {
    pub fn new(store: Store<F>) -> GenerationWriter<F> {
        GenerationWriter { store, pending: None }
    }

    /// Stores a generation; one that was pending before is older, and dropped.
    pub fn keep(&mut self, number: u64, canonical: String, most: usize) -> Result<u64, KeepError> {
        self.attempt(PendingGeneration {
            number,
            canonical,
            most,
            is_in_force: false,
            pause: FIRST_PAUSE,
        })
    }

    /// How long to wait until [`GenerationWriter::retry`]; `None` if nothing is pending.
    pub fn pause(&self) -> Option<Duration> {
        self.pending.as_ref().map(|pending| pending.pause)
    }

    /// Stores the pending generation again.
    pub fn retry(&mut self) -> Option<Result<u64, KeepError>> {
        let mut pending = self.pending.take()?;
        pending.pause = (pending.pause * 2).min(LONGEST_PAUSE);
        Some(self.attempt(pending))
    }

    fn attempt(&mut self, mut pending: PendingGeneration) -> Result<u64, KeepError> {
        let (number, most) = (pending.number, pending.most);
        let result = match pending.is_in_force {
            true => self.store.keep_as(number, &pending.canonical, most, |_| ()),
            false => self.store.keep(number, &pending.canonical, most, |_| ()),
        };
        self.pending = match &result {
            Ok(_) | Err(KeepError::OldNotLetGo { .. }) => None,
            Err(KeepError::NotStored(_)) => Some(pending),
            Err(KeepError::NotDurable { number, .. }) => {
                pending.number = *number;
                pending.is_in_force = true;
                Some(pending)
            }
        };
        result
    }
}
