//! Stores generations in a folder. A crash between any two steps leaves the former generation intact.
//!
//! A disk may fail temporarily. A generation that can't be read is unreadable, not damaged, and is never
//! removed for that. The next start uses a generation from its rename on; it is durable once its folder is
//! synced. [`crate::generation_writer`] retries one that may not be durable.

use crate::generation_files::{self, Damage};
use crate::resolved::hash;
use asterlatch_storage::replace::{replace, FileNames, ReplaceStep};
use asterlatch_storage::{FileSystem, OsFileSystem};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Steps of storing a generation, in order. Tests stop after each.
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

/// Bound on the bytes that are read of a stored generation.
const MAX_READ_BYTES: u64 = 16 * 1024 * 1024;

/// Storing a generation failed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The former generation is still the newest.
    #[error("cannot store the generation: {0}")]
    NotStored(#[source] io::Error),
    /// It is the newest, but may be lost in a power failure.
    #[error("the generation is stored, but may be lost in a power failure: {source}")]
    NotDurable {
        /// Its number.
        number: u64,
        /// Error of syncing the folder.
        source: io::Error,
    },
    /// It is the newest and durable, but older ones could not be removed.
    #[error("the generation is stored, but older ones cannot be removed: {source}")]
    OldNotRemoved {
        /// Its number.
        number: u64,
        /// Error of removing them.
        source: io::Error,
    },
}

pub struct GenerationStore<F = OsFileSystem> {
    file_system: F,
    folder: PathBuf,
}

/// A stored generation that could be read; `canonical` is its text if it is intact.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredGeneration {
    pub number: u64,
    pub canonical: Result<String, Damage>,
}

/// A stored generation that can't be read now; it may be intact.
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
    /// The highest number in use; 0 if there is none.
    pub fn newest_number(&self) -> u64 {
        let stored = self.stored.first().map_or(0, |generation| generation.number);
        let unreadable = self.unreadable.first().map_or(0, |generation| generation.number);
        stored.max(unreadable)
    }
}

impl GenerationStore {
    /// Opens the folder; creates it if it doesn't exist.
    pub fn open(folder: &Path) -> io::Result<GenerationStore> {
        OsFileSystem.create_folder(folder)?;
        Ok(GenerationStore::new(OsFileSystem, folder))
    }
}

impl<F: FileSystem> GenerationStore<F> {
    /// A store in this folder; does no I/O.
    pub fn new(file_system: F, folder: &Path) -> GenerationStore<F> {
        let folder = folder.to_owned();
        GenerationStore { file_system, folder }
    }

    fn names(&self) -> io::Result<Vec<String>> {
        self.file_system.list(&self.folder)
    }

    fn read(&self, number: u64) -> io::Result<StoredGeneration> {
        let path = self.folder.join(generation_files::file_name(number));
        let bytes = self.file_system.read(&path, MAX_READ_BYTES + 1)?;
        let canonical = generation_files::decode(number, &bytes).map(str::to_owned);
        Ok(StoredGeneration { number, canonical })
    }

    /// All stored generations, those that can't be read now apart.
    ///
    /// # Errors
    /// If the folder can't be read.
    pub fn contents(&self) -> io::Result<Contents> {
        let mut contents = Contents::default();
        for number in generation_files::classify_files(self.names()?).generations {
            match self.read(number) {
                Ok(stored) => contents.stored.push(stored),
                // Another process removed it after the folder was listed.
                Err(error) if error.kind() == io::ErrorKind::NotFound => {}
                Err(error) => contents.unreadable.push(UnreadableGeneration { number, error }),
            }
        }
        Ok(contents)
    }

    /// All stored generations, newest first.
    ///
    /// # Errors
    /// If the folder or any generation can't be read.
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

    /// Stores a generation as the newest, and removes old ones. Returns its number: `number`, or the next
    /// free one if that is higher. Calls `after` behind each step.
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

    /// Stores a generation under exactly this number, which must be free or its own. It is always written
    /// anew: after a failed sync, a later sync of the same file may not make it durable.
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
        // Older ones stay until this one is durable.
        let not_durable = |source| StoreError::NotDurable { number, source };
        replaced.folder_sync.map_err(not_durable)?;
        let not_removed = |source| StoreError::OldNotRemoved { number, source };
        self.remove_old(max_generations).map_err(not_removed)?;
        after(Step::OldRemoved);
        Ok(number)
    }

    /// Removes old generations and files of interrupted writes. Unreadable generations stay.
    fn remove_old(&self, max_generations: usize) -> io::Result<()> {
        let stored = self.contents()?.stored;
        let intact: Vec<_> = stored
            .iter()
            .map(|generation| (generation.number, generation.canonical.is_ok()))
            .collect();
        for number in generation_files::generations_to_remove(&intact, max_generations) {
            self.file_system
                .remove(&self.folder.join(generation_files::file_name(number)))?;
        }
        for name in generation_files::classify_files(self.names()?).temporary {
            self.file_system.remove(&self.folder.join(name))?;
        }
        Ok(())
    }
}
