//! Commands on the stored generations of an operators' file: history, rollback.

use super::CommandOutput;
use crate::program::operators::schema;
use asterlatch_config::generation_files;
use asterlatch_config::resolved::{changes, ResolvedSettings};
use asterlatch_config::store::{GenerationStore, StoreError, StoredGeneration};
use std::io;
use std::path::Path;
use thiserror::Error;

const SHOWN_HASH_DIGITS: usize = 12;
/// Minimum number of generations that a rollback retains: the one it stores and the previous one.
const MIN_RETAINED: i64 = 2;

/// Why a command on stored generations fails.
#[derive(Debug, Error)]
pub(super) enum GenerationsError {
    #[error(transparent)]
    Folder(#[from] io::Error),
    #[error(transparent)]
    Keep(#[from] StoreError),
    #[error("cannot go back by {steps} changes: only {available} are stored")]
    TooFewChanges { available: usize, steps: usize },
    #[error("generation {number} is damaged")]
    Damaged { number: u64 },
    #[error("cannot decode generation {number}: {cause}")]
    Unreadable { number: u64, cause: String },
}

pub(super) fn output(folder: &Path, result: Result<String, GenerationsError>) -> CommandOutput {
    match result {
        Ok(text) => CommandOutput::success(text),
        Err(error) => CommandOutput::failure(format!("asterlatch: {}: {error}\n", folder.display())),
    }
}

/// Opens the store without creating a missing folder, which [`GenerationStore::open`] would create.
fn open_existing(folder: &Path) -> io::Result<GenerationStore> {
    std::fs::read_dir(folder)?;
    GenerationStore::open(folder)
}

/// One line per generation, newest first.
pub(super) fn history(folder: &Path) -> Result<String, GenerationsError> {
    let contents = open_existing(folder)?.contents()?;
    let stored = &contents.stored;
    let stored_lines = stored.iter().enumerate().map(|(index, generation)| {
        let line = history_line(generation, &stored[index + 1..]);
        (generation.number, line)
    });
    let unreadable_lines = contents.unreadable.iter().map(|generation| {
        let line = format!("{} unreadable: {}\n", generation.number, generation.error);
        (generation.number, line)
    });
    let mut lines: Vec<_> = stored_lines.chain(unreadable_lines).collect();
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

/// Describes the changes from the previous readable generation to this one.
fn describe_change(previous: Option<&str>, canonical: &str) -> String {
    let new = match ResolvedSettings::from_canonical(schema(), canonical) {
        Ok((settings, _)) => settings,
        Err(error) => return format!("cannot be decoded: {error}"),
    };
    let previous = previous.map(|canonical| ResolvedSettings::from_canonical(schema(), canonical));
    let Some(Ok((old, _))) = previous else {
        return "oldest stored".to_owned();
    };
    let changes = changes(schema(), &old, &new);
    if changes.is_empty() {
        return "no changes".to_owned();
    }
    let texts: Vec<_> = changes.iter().map(|change| change.describe(schema())).collect();
    texts.join("; ")
}

/// Stores the generation from `steps` changes ago as the newest one. Nothing is stored while a generation is
/// unreadable, since the number of changes is then unknown.
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
    let result = store.store(0, canonical, retained.max(MIN_RETAINED) as usize, |_| ());
    describe_rollback(number, result)
}

/// Reports which generation the next start uses, even if a step after storing it has failed.
fn describe_rollback(from: u64, result: Result<u64, StoreError>) -> Result<String, GenerationsError> {
    let (stored, warning) = match result {
        Ok(number) => (number, None),
        Err(StoreError::NotStored(source)) => return Err(StoreError::NotStored(source).into()),
        Err(StoreError::NotDurable { number, source }) => {
            let text = format!(
                "it may not survive a power failure, repeat the rollback once the disk works: \
                 {source}"
            );
            (number, Some(text))
        }
        Err(StoreError::OldNotRemoved { number, source }) => {
            (number, Some(format!("older ones could not be removed: {source}")))
        }
    };
    let warning = warning.map(|text| format!("{text}\n")).unwrap_or_default();
    Ok(format!(
        "generation {from} is stored again as {stored}\n{warning}"
    ))
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
