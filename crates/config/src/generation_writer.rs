//! Stores the last confirmed generation, and retries with exponential backoff while the disk fails.

use crate::store::{GenerationStore, StoreError};
use asterlatch_storage::FileSystem;
use std::time::Duration;

/// Backoff after the first failure; doubled by each further one up to [`MAX_BACKOFF`].
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Bound on the backoff.
pub const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// A generation that isn't known to survive a power failure.
struct PendingGeneration {
    number: u64,
    canonical: String,
    max_generations: usize,
    /// Whether a file with this number holds this generation already.
    is_written: bool,
    backoff: Duration,
}

/// A store, and the pending generation: one that is not stored yet, or not known to be durable.
pub struct GenerationWriter<F: FileSystem> {
    store: GenerationStore<F>,
    pending: Option<PendingGeneration>,
}

impl<F: FileSystem> GenerationWriter<F> {
    pub fn new(store: GenerationStore<F>) -> GenerationWriter<F> {
        GenerationWriter { store, pending: None }
    }

    /// Stores a generation. A pending one is older, and dropped.
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
            is_written: false,
            backoff: INITIAL_BACKOFF,
        })
    }

    /// Time to wait before [`GenerationWriter::retry`]; `None` if nothing is pending.
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
        let result = match pending.is_written {
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
                pending.is_written = true;
                Some(pending)
            }
        };
        result
    }
}
