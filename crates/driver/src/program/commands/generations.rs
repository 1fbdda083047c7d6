//! Commands on stored generations of the operators' file: history, rollback.

use super::CommandOutput;
use crate::program::operators::schema;
use asterlatch_config::generation_files;
use asterlatch_config::resolved::{changes, ResolvedSettings};
use asterlatch_config::store::{GenerationStore, StoreError, StoredGeneration};
use std::io;
use std::path::Path;
use thiserror::Error;

/// Digits of a generation's hash that are shown.
const SHOWN_HASH_DIGITS: usize = 12;
/// Fewest generations that a rollback leaves: the one it stores and the one before.
const MIN_RETAINED: i64 = 2;

/// Why a command on stored generations fails.
#[derive(Debug, Error)]
pub(super) enum GenerationsError {
    #[error(transparent)]
    Folder(#[from] io::Error),
    #[error(transparent)]
    Keep(#[from] StoreError),
    #[error("it holds {available} changes to go back by, not {steps}")]
    TooFewChanges { available: usize, steps: usize },
    #[error("generation {number} is damaged")]
    Damaged { number: u64 },
    #[error("generation {number} can't be read here: {cause}")]
    Unreadable { number: u64, cause: String },
}

pub(super) fn output(folder: &Path, result: Result<String, GenerationsError>) -> CommandOutput {
    match result {
        Ok(text) => CommandOutput::success(text),
        Err(error) => CommandOutput::failure(format!("asterlatch: {}: {error}\n", folder.display())),
    }
}

/// Unlike the store itself this makes no folder that isn't there.
fn open_existing(folder: &Path) -> io::Result<GenerationStore> {
    std::fs::read_dir(folder)?;
    GenerationStore::open(folder)
}

/// One line a generation, the newest first.
pub(super) fn history(folder: &Path) -> Result<String, GenerationsError> {
    let contents = open_existing(folder)?.contents()?;
    let stored = &contents.stored;
    let known = stored.iter().enumerate().map(|(index, generation)| {
        let line = history_line(generation, &stored[index + 1..]);
        (generation.number, line)
    });
    let unread = contents.unreadable.iter().map(|one| {
        let line = format!("{} can't be read now: {}\n", one.number, one.error);
        (one.number, line)
    });
    let mut lines: Vec<_> = known.chain(unread).collect();
    lines.sort_by_key(|(number, _)| std::cmp::Reverse(*number));
    Ok(lines.into_iter().map(|(_, line)| line).collect())
}

fn history_line(generation: &StoredGeneration, older: &[StoredGeneration]) -> String {
    let number = generation.number;
    match &generation.canonical {
        Err(damage) => format!("{number} damaged: it {}\n", damage.reason()),
        Ok(canonical) => {
            let previous = older.iter().find_map(|stored| stored.canonical.as_ref().ok());
            let change = describe_change(previous.map(String::as_str), canonical);
            let hash = generation.hash().unwrap_or_default();
            let shown_hash = &hash[..SHOWN_HASH_DIGITS.min(hash.len())];
            format!("{number} {shown_hash} {change}\n")
        }
    }
}

/// What changed from the previous readable generation to this one.
fn describe_change(previous: Option<&str>, canonical: &str) -> String {
    let new = match ResolvedSettings::from_canonical(schema(), canonical) {
        Ok((settings, _)) => settings,
        Err(error) => return format!("can't be read here: {error}"),
    };
    let previous = previous.map(|canonical| ResolvedSettings::from_canonical(schema(), canonical));
    let Some(Ok((old, _))) = previous else {
        return "the oldest kept".to_owned();
    };
    let changes = changes(schema(), &old, &new);
    if changes.is_empty() {
        return "the same again".to_owned();
    }
    let texts: Vec<_> = changes.iter().map(|change| change.describe(schema())).collect();
    texts.join("; ")
}

/// Stores the generation again as the newest one that lies so many changes back. While any of them can't be read nothing
/// is stored: it isn't known how many changes there are.
pub(super) fn rollback(folder: &Path, steps: usize) -> Result<String, GenerationsError> {
    let store = open_existing(folder)?;
    let generations = store.read_all()?;
    let number = rollback_target(&generations, steps)?;
    let canonical = generations
        .iter()
        .find(|generation| generation.number == number)
        .and_then(|generation| generation.canonical.as_ref().ok())
        .ok_or(GenerationsError::Damaged { number })?;
    let (settings, _) = ResolvedSettings::from_canonical(schema(), canonical)
        .map_err(|cause| GenerationsError::Unreadable { number, cause })?;
    let retained = settings.amount(schema(), "activation", "kept");
    let kept = store.store(0, canonical, retained.max(MIN_RETAINED) as usize, |_| ());
    describe_rollback(number, kept)
}

/// Says which generation is in force for the next start, also where something behind its rename has failed.
fn describe_rollback(from: u64, kept: Result<u64, StoreError>) -> Result<String, GenerationsError> {
    let (stored, doubt) = match kept {
        Ok(number) => (number, None),
        Err(StoreError::NotStored(source)) => return Err(StoreError::NotStored(source).into()),
        Err(StoreError::NotDurable { number, source }) => {
            let text =
                format!("it may be lost in a power failure, store it again once the disk works: {source}");
            (number, Some(text))
        }
        Err(StoreError::OldNotRemoved { number, source }) => {
            (number, Some(format!("older ones could not be removed: {source}")))
        }
    };
    let doubt = doubt.map(|text| format!("{text}\n")).unwrap_or_default();
    Ok(format!("generation {from} is stored again as {stored}\n{doubt}"))
}

fn rollback_target(generations: &[StoredGeneration], steps: usize) -> Result<u64, GenerationsError> {
    let readable: Vec<_> = generations
        .iter()
        .filter_map(|generation| Some((generation.number, generation.hash()?)))
        .collect();
    generation_files::rollback_target(&readable, steps).ok_or_else(|| {
        let pairs = readable.windows(2);
        let available = pairs.filter(|pair| pair[0].1 != pair[1].1).count();
        GenerationsError::TooFewChanges { available, steps }
    })
}
