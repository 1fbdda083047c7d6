//! Stores the generation that was kept last, and stores it again, later each time, while the disk fails.

use crate::store::{KeepError, Store};
use asterlatch_storage::FileSystem;
use std::time::Duration;

/// Time between two attempts on a disk that fails; doubles up to [`LONGEST_PAUSE`].
pub const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest time between two attempts.
pub const LONGEST_PAUSE: Duration = Duration::from_secs(30);

/// A generation that isn't known to survive a power failure.
struct Owed {
    number: u64,
    canonical: String,
    most: usize,
    /// Whether the number is this generation's own already.
    is_in_force: bool,
    pause: Duration,
}

/// A store, and what is owed to it.
pub struct Keeper<F: FileSystem> {
    store: Store<F>,
    owed: Option<Owed>,
}

impl<F: FileSystem> Keeper<F> {
    pub fn new(store: Store<F>) -> Keeper<F> {
        Keeper { store, owed: None }
    }

    /// Stores a generation; what was owed before is older, and not owed any more.
    pub fn keep(&mut self, number: u64, canonical: String, most: usize) -> Result<u64, KeepError> {
        self.attempt(Owed {
            number,
            canonical,
            most,
            is_in_force: false,
            pause: FIRST_PAUSE,
        })
    }

    /// How long to wait until [`Keeper::retry`]; `None` if nothing is owed.
    pub fn pause(&self) -> Option<Duration> {
        self.owed.as_ref().map(|owed| owed.pause)
    }

    /// Stores again what is owed.
    pub fn retry(&mut self) -> Option<Result<u64, KeepError>> {
        let mut owed = self.owed.take()?;
        owed.pause = (owed.pause * 2).min(LONGEST_PAUSE);
        Some(self.attempt(owed))
    }

    fn attempt(&mut self, mut owed: Owed) -> Result<u64, KeepError> {
        let (number, most) = (owed.number, owed.most);
        let result = match owed.is_in_force {
            true => self.store.keep_as(number, &owed.canonical, most, |_| ()),
            false => self.store.keep(number, &owed.canonical, most, |_| ()),
        };
        self.owed = match &result {
            Ok(_) | Err(KeepError::OldNotLetGo { .. }) => None,
            Err(KeepError::NotStored(_)) => Some(owed),
            Err(KeepError::NotDurable { number, .. }) => {
                owed.number = *number;
                owed.is_in_force = true;
                Some(owed)
            }
        };
        result
    }
}
