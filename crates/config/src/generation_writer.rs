//! Stores the generation that was kept last, and stores it again, later each time, while the disk fails.

use crate::store::{GenerationStore, StoreError};
use asterlatch_storage::FileSystem;
use std::time::Duration;

/// Time between two attempts on a disk that fails; doubles up to [`MAX_BACKOFF`].
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Longest time between two attempts.
pub const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// A generation that isn't known to survive a power failure.
struct PendingGeneration {
    number: u64,
    canonical: String,
    max_generations: usize,
    /// Whether the number is this generation's own already.
    is_in_force: bool,
    backoff: Duration,
}

/// A store, and a generation that is pending: not stored yet, or not known to be durable.
pub struct GenerationWriter<F: FileSystem> {
    store: GenerationStore<F>,
    pending: Option<PendingGeneration>,
}

impl<F: FileSystem> GenerationWriter<F> {
    pub fn new(store: GenerationStore<F>) -> GenerationWriter<F> {
        GenerationWriter { store, pending: None }
    }

    /// Stores a generation; one that was pending before is older, and dropped.
    pub fn store(
        &mut self,
        number: u64,
        canonical: String,
        max_generations: usize,
    ) -> Result<u64, StoreError> {
        self.attempt(PendingGeneration {
            number,
            canonical,
            max_generations,
            is_in_force: false,
            backoff: INITIAL_BACKOFF,
        })
    }

    /// How long to wait until [`GenerationWriter::retry`]; `None` if nothing is pending.
    pub fn retry_backoff(&self) -> Option<Duration> {
        self.pending.as_ref().map(|pending| pending.backoff)
    }

    /// Stores the pending generation again.
    pub fn retry(&mut self) -> Option<Result<u64, StoreError>> {
        let mut pending = self.pending.take()?;
        pending.backoff = (pending.backoff * 2).min(MAX_BACKOFF);
        Some(self.attempt(pending))
    }

    fn attempt(&mut self, mut pending: PendingGeneration) -> Result<u64, StoreError> {
        let (number, max_generations) = (pending.number, pending.max_generations);
        let result = match pending.is_in_force {
            true => self
                .store
                .store_as(number, &pending.canonical, max_generations, |_| ()),
            false => self
                .store
                .store(number, &pending.canonical, max_generations, |_| ()),
        };
        self.pending = match &result {
            Ok(_) | Err(StoreError::OldNotRemoved { .. }) => None,
            Err(StoreError::NotStored(_)) => Some(pending),
            Err(StoreError::NotDurable { number, .. }) => {
                pending.number = *number;
                pending.is_in_force = true;
                Some(pending)
            }
        };
        result
    }
}
