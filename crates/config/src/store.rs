//! Stores generations in a folder, step by step, so that a stop between any two steps leaves the former one whole.

use crate::meaning::hash;
use crate::shelf::{self, Damage};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

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

/// The longest stored generation that is read.
const LONGEST: u64 = 16 * 1024 * 1024;

pub struct Store {
    folder: PathBuf,
}

/// One stored generation, with its canonical meaning where it is whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    pub number: u64,
    pub canonical: Result<String, Damage>,
}

impl Stored {
    pub fn hash(&self) -> Option<String> {
        self.canonical.as_ref().ok().map(|c| hash(c))
    }
}

impl Store {
    /// Opens the folder, and makes it where it isn't there.
    pub fn open(folder: &Path) -> io::Result<Store> {
        fs::create_dir_all(folder)?;
        let folder = folder.to_owned();
        Ok(Store { folder })
    }

    fn names(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            names.extend(entry?.file_name().into_string());
        }
        Ok(names)
    }

    fn read(&self, number: u64) -> io::Result<Stored> {
        let mut bytes = Vec::new();
        let file = File::open(self.folder.join(shelf::name(number)))?;
        file.take(LONGEST + 1).read_to_end(&mut bytes)?;
        let canonical = shelf::read(number, &bytes).map(str::to_owned);
        Ok(Stored { number, canonical })
    }

    /// All that is stored, newest first. What can't be read for its disk's sake counts as damaged.
    pub fn all(&self) -> io::Result<Vec<Stored>> {
        let plan = shelf::plan(self.names()?);
        let unread = |number| Stored {
            number,
            canonical: Err(Damage::CutShort),
        };
        Ok(plan
            .generations
            .into_iter()
            .map(|n| self.read(n).unwrap_or(unread(n)))
            .collect())
    }

    /// Stores a generation as the newest one, under the next free number at least, and lets old ones go.
    pub fn keep(
        &self,
        number: u64,
        canonical: &str,
        most: usize,
        mut after: impl FnMut(Step),
    ) -> io::Result<u64> {
        let plan = shelf::plan(self.names()?);
        let number = number.max(plan.generations.first().map_or(0, |n| n + 1));
        let name = shelf::name(number);
        let unfinished = self.folder.join(format!("{name}{}", shelf::UNFINISHED));
        let text = shelf::written(number, canonical);
        let mut file = OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(true)
            .open(&unfinished)?;
        after(Step::Created);
        let (first, second) = text.as_bytes().split_at(text.len() / 2);
        file.write_all(first)?;
        after(Step::HalfWritten);
        file.write_all(second)?;
        after(Step::Written);
        file.sync_all()?;
        after(Step::Synced);
        fs::rename(&unfinished, self.folder.join(name))?;
        after(Step::Renamed);
        File::open(&self.folder)?.sync_all()?;
        after(Step::FolderSynced);
        self.let_go(most)?;
        after(Step::OldLetGo);
        Ok(number)
    }

    /// Lets go of what is too old, and of what was never ended.
    fn let_go(&self, most: usize) -> io::Result<()> {
        let all = self.all()?;
        let whole: Vec<_> = all.iter().map(|s| (s.number, s.canonical.is_ok())).collect();
        for number in shelf::to_let_go(&whole, most) {
            fs::remove_file(self.folder.join(shelf::name(number)))?;
        }
        for name in shelf::plan(self.names()?).unfinished {
            fs::remove_file(self.folder.join(name))?;
        }
        Ok(())
    }
}
