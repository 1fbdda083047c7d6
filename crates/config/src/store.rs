//! Stores generations in a folder, step by step, so that a stop between any two steps leaves the former one whole.
//!
//! A disk may fail for a while. What it doesn't give for a moment is unread, not damaged, and nothing is removed because
//! it could not be read. A generation is in force for the next start from its rename on; that it survives a power failure
//! is known once its folder is synced. [`crate::generation_writer`] writes again what isn't known to survive one.

use crate::meaning::hash;
use crate::shelf::{self, Damage};
use asterlatch_storage::replace::{replace, Names, ReplaceStep};
use asterlatch_storage::{FileSystem, OsFileSystem};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// What storing does, one after another. Tests stop between any two.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Created,
    HalfWritten,
    Written,
    Synced,
    Renamed,
    FolderSynced,
    OldLetGo,
}

pub const STEPS: [Step; 7] = [
    Step::Created,
    Step::HalfWritten,
    Step::Written,
    Step::Synced,
    Step::Renamed,
    Step::FolderSynced,
    Step::OldLetGo,
];

impl From<ReplaceStep> for Step {
    fn from(step: ReplaceStep) -> Step {
        match step {
            ReplaceStep::Created => Step::Created,
            ReplaceStep::HalfWritten => Step::HalfWritten,
            ReplaceStep::Written => Step::Written,
            ReplaceStep::Synced => Step::Synced,
            ReplaceStep::Renamed => Step::Renamed,
            ReplaceStep::FolderSynced => Step::FolderSynced,
        }
    }
}

/// The longest stored generation that is read.
const LONGEST: u64 = 16 * 1024 * 1024;

/// How far storing a generation came before it failed.
#[derive(Debug, Error)]
pub enum KeepError {
    /// The former generation is still the newest.
    #[error("not stored: {0}")]
    NotStored(#[source] io::Error),
    /// It is the newest from now on, but may be gone after a power failure.
    #[error("stored, but not known to survive a power failure: {source}")]
    NotDurable {
        /// The number it has.
        number: u64,
        /// Why its folder isn't synced.
        source: io::Error,
    },
    /// It is the newest and durable; more old ones are left than were to be.
    #[error("stored, but old ones could not be removed: {source}")]
    OldNotLetGo {
        /// The number it has.
        number: u64,
        /// Why they are left.
        source: io::Error,
    },
}

pub struct Store<F = OsFileSystem> {
    file_system: F,
    folder: PathBuf,
}

/// One stored generation that could be read, with its canonical meaning where it is whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    pub number: u64,
    pub canonical: Result<String, Damage>,
}

/// One that the disk doesn't give now: it may be sound.
#[derive(Debug)]
pub struct Unread {
    pub number: u64,
    pub error: io::Error,
}

/// All generations of a folder, newest first.
#[derive(Debug, Default)]
pub struct Contents {
    pub stored: Vec<Stored>,
    pub unread: Vec<Unread>,
}

impl Stored {
    pub fn hash(&self) -> Option<String> {
        self.canonical.as_ref().ok().map(|c| hash(c))
    }
}

impl Contents {
    /// The highest number that is given away; zero if none is.
    pub fn newest_number(&self) -> u64 {
        let stored = self.stored.first().map_or(0, |one| one.number);
        let unread = self.unread.first().map_or(0, |one| one.number);
        stored.max(unread)
    }
}

impl Store {
    /// Opens the folder, and makes it where it isn't there.
    pub fn open(folder: &Path) -> io::Result<Store> {
        OsFileSystem.create_folder(folder)?;
        Ok(Store::on(OsFileSystem, folder))
    }
}

impl<F: FileSystem> Store<F> {
    /// The folder on this file system; nothing is touched yet.
    pub fn on(file_system: F, folder: &Path) -> Store<F> {
        let folder = folder.to_owned();
        Store { file_system, folder }
    }

    fn names(&self) -> io::Result<Vec<String>> {
        self.file_system.list(&self.folder)
    }

    fn read(&self, number: u64) -> io::Result<Stored> {
        let path = self.folder.join(shelf::name(number));
        let bytes = self.file_system.read(&path, LONGEST + 1)?;
        let canonical = shelf::read(number, &bytes).map(str::to_owned);
        Ok(Stored { number, canonical })
    }

    /// All that is stored; what the disk doesn't give now stands by itself.
    pub fn contents(&self) -> io::Result<Contents> {
        let mut contents = Contents::default();
        for number in shelf::plan(self.names()?).generations {
            match self.read(number) {
                Ok(stored) => contents.stored.push(stored),
                // Removed between the two calls, by another process that let it go.
                Err(error) if error.kind() == io::ErrorKind::NotFound => {}
                Err(error) => contents.unread.push(Unread { number, error }),
            }
        }
        Ok(contents)
    }

    /// All that is stored, newest first.
    ///
    /// # Errors
    /// If the folder, or any one of them, can't be read now.
    pub fn all(&self) -> io::Result<Vec<Stored>> {
        let contents = self.contents()?;
        match contents.unread.into_iter().next() {
            None => Ok(contents.stored),
            Some(Unread { number, error }) => {
                let text = format!("generation {number} can't be read now: {error}");
                Err(io::Error::new(error.kind(), text))
            }
        }
    }

    /// Stores a generation as the newest one, under the next free number at least, and lets old ones go.
    pub fn keep(
        &self,
        number: u64,
        canonical: &str,
        most: usize,
        after: impl FnMut(Step),
    ) -> Result<u64, KeepError> {
        let prepared = self.file_system.create_folder(&self.folder);
        let names = prepared.and_then(|()| self.names());
        let plan = shelf::plan(names.map_err(KeepError::NotStored)?);
        let number = number.max(plan.generations.first().map_or(0, |n| n + 1));
        self.keep_as(number, canonical, most, after)
    }

    /// Stores a generation under exactly this number, which is free or its own: written anew, for a sync that failed
    /// leaves nothing that a later one could make durable.
    pub fn keep_as(
        &self,
        number: u64,
        canonical: &str,
        most: usize,
        mut after: impl FnMut(Step),
    ) -> Result<u64, KeepError> {
        let name = shelf::name(number);
        let names = Names {
            folder: &self.folder,
            target: &name,
            temporary: &format!("{name}{}", shelf::UNFINISHED),
        };
        let text = shelf::written(number, canonical);
        let replaced = replace(&self.file_system, names, text.as_bytes(), |step| {
            after(step.into())
        });
        let replaced = replaced.map_err(KeepError::NotStored)?;
        // Nothing older goes before this one is known to stay.
        let not_durable = |source| KeepError::NotDurable { number, source };
        replaced.folder_sync.map_err(not_durable)?;
        let left = |source| KeepError::OldNotLetGo { number, source };
        self.let_go(most).map_err(left)?;
        after(Step::OldLetGo);
        Ok(number)
    }

    /// Lets go of what is too old, and of what was never ended. What can't be read now stays.
    fn let_go(&self, most: usize) -> io::Result<()> {
        let stored = self.contents()?.stored;
        let whole: Vec<_> = stored
            .iter()
            .map(|one| (one.number, one.canonical.is_ok()))
            .collect();
        for number in shelf::to_let_go(&whole, most) {
            self.file_system.remove(&self.folder.join(shelf::name(number)))?;
        }
        for name in shelf::plan(self.names()?).unfinished {
            self.file_system.remove(&self.folder.join(name))?;
        }
        Ok(())
    }
}
