//! Stores generations in a folder, step by step, so that a stop between any two steps leaves the former one whole.
//!
//! A disk may fail for a while. What it doesn't give for a moment is unread, not damaged, and nothing is removed because
//! it could not be read. A generation is in force for the next start from its rename on; that it survives a power failure
//! is known once its folder is synced. [`crate::generation_writer`] writes again what isn't known to survive one.

use crate::generation_files::{self, Damage};
use crate::resolved::hash;
use asterlatch_storage::replace::{replace, FileNames, ReplaceStep};
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
    OldRemoved,
}

pub const STEPS: [Step; 7] = [
    Step::Created,
    Step::HalfWritten,
    Step::Written,
    Step::Synced,
    Step::Renamed,
    Step::FolderSynced,
    Step::OldRemoved,
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
pub enum StoreError {
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
    OldNotRemoved {
        /// The number it has.
        number: u64,
        /// Why they are left.
        source: io::Error,
    },
}

pub struct GenerationStore<F = OsFileSystem> {
    file_system: F,
    folder: PathBuf,
}

/// One stored generation that could be read, with its canonical meaning where it is whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredGeneration {
    pub number: u64,
    pub canonical: Result<String, Damage>,
}

/// One that the disk doesn't give now: it may be sound.
#[derive(Debug)]
pub struct UnreadableGeneration {
    pub number: u64,
    pub error: io::Error,
}

/// All generations of a folder, newest first.
#[derive(Debug, Default)]
pub struct Contents {
    pub stored: Vec<StoredGeneration>,
    pub unreadable: Vec<UnreadableGeneration>,
}

impl StoredGeneration {
    pub fn hash(&self) -> Option<String> {
        self.canonical.as_ref().ok().map(|c| hash(c))
    }
}

impl Contents {
    /// The highest number that is given away; zero if none is.
    pub fn newest_number(&self) -> u64 {
        let stored = self.stored.first().map_or(0, |one| one.number);
        let unreadable = self.unreadable.first().map_or(0, |one| one.number);
        stored.max(unreadable)
    }
}

impl GenerationStore {
    /// Opens the folder, and makes it where it isn't there.
    pub fn open(folder: &Path) -> io::Result<GenerationStore> {
        OsFileSystem.create_folder(folder)?;
        Ok(GenerationStore::new(OsFileSystem, folder))
    }
}

impl<F: FileSystem> GenerationStore<F> {
    /// The folder on this file system; nothing is touched yet.
    pub fn new(file_system: F, folder: &Path) -> GenerationStore<F> {
        let folder = folder.to_owned();
        GenerationStore { file_system, folder }
    }

    fn names(&self) -> io::Result<Vec<String>> {
        self.file_system.list(&self.folder)
    }

    fn read(&self, number: u64) -> io::Result<StoredGeneration> {
        let path = self.folder.join(generation_files::file_name(number));
        let bytes = self.file_system.read(&path, LONGEST + 1)?;
        let canonical = generation_files::decode(number, &bytes).map(str::to_owned);
        Ok(StoredGeneration { number, canonical })
    }

    /// All that is stored; what the disk doesn't give now stands by itself.
    pub fn contents(&self) -> io::Result<Contents> {
        let mut contents = Contents::default();
        for number in generation_files::classify_files(self.names()?).generations {
            match self.read(number) {
                Ok(stored) => contents.stored.push(stored),
                // Removed between the two calls, by another process that let it go.
                Err(error) if error.kind() == io::ErrorKind::NotFound => {}
                Err(error) => contents.unreadable.push(UnreadableGeneration { number, error }),
            }
        }
        Ok(contents)
    }

    /// All that is stored, newest first.
    ///
    /// # Errors
    /// If the folder, or any one of them, can't be read now.
    pub fn read_all(&self) -> io::Result<Vec<StoredGeneration>> {
        let contents = self.contents()?;
        match contents.unreadable.into_iter().next() {
            None => Ok(contents.stored),
            Some(UnreadableGeneration { number, error }) => {
                let text = format!("generation {number} can't be read now: {error}");
                Err(io::Error::new(error.kind(), text))
            }
        }
    }

    /// Stores a generation as the newest one, under the next free number at least, and lets old ones go.
    pub fn store(
        &self,
        number: u64,
        canonical: &str,
        max_generations: usize,
        after: impl FnMut(Step),
    ) -> Result<u64, StoreError> {
        let prepared = self.file_system.create_folder(&self.folder);
        let names = prepared.and_then(|()| self.names());
        let files = generation_files::classify_files(names.map_err(StoreError::NotStored)?);
        let number = number.max(files.generations.first().map_or(0, |n| n + 1));
        self.store_as(number, canonical, max_generations, after)
    }

    /// Stores a generation under exactly this number, which is free or its own: written anew, for a sync that failed
    /// leaves nothing that a later one could make durable.
    pub fn store_as(
        &self,
        number: u64,
        canonical: &str,
        max_generations: usize,
        mut after: impl FnMut(Step),
    ) -> Result<u64, StoreError> {
        let name = generation_files::file_name(number);
        let names = FileNames {
            folder: &self.folder,
            target: &name,
            temporary: &format!("{name}{}", generation_files::TEMPORARY_SUFFIX),
        };
        let text = generation_files::encode(number, canonical);
        let replaced = replace(&self.file_system, names, text.as_bytes(), |step| {
            after(step.into())
        });
        let replaced = replaced.map_err(StoreError::NotStored)?;
        // Nothing older goes before this one is known to stay.
        let not_durable = |source| StoreError::NotDurable { number, source };
        replaced.folder_sync.map_err(not_durable)?;
        let left = |source| StoreError::OldNotRemoved { number, source };
        self.remove_old(max_generations).map_err(left)?;
        after(Step::OldRemoved);
        Ok(number)
    }

    /// Lets go of what is too old, and of what was never ended. What can't be read now stays.
    fn remove_old(&self, max_generations: usize) -> io::Result<()> {
        let stored = self.contents()?.stored;
        let whole: Vec<_> = stored
            .iter()
            .map(|one| (one.number, one.canonical.is_ok()))
            .collect();
        for number in generation_files::generations_to_remove(&whole, max_generations) {
            self.file_system
                .remove(&self.folder.join(generation_files::file_name(number)))?;
        }
        for name in generation_files::classify_files(self.names()?).temporary {
            self.file_system.remove(&self.folder.join(name))?;
        }
        Ok(())
    }
}
