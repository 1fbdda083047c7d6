//! With which settings a process starts.

use super::{read, schema, OperatorsError, DECISIONS, DETAILS};
use asterlatch_config::load::LoadOutcome;
use asterlatch_config::resolved::ResolvedSettings;
use asterlatch_config::schema::Machine;
use asterlatch_config::store::{Contents, GenerationStore, StoredGeneration};
use std::io;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

/// Where the operators' file and its former generations are.
#[derive(Clone, Debug, Default)]
pub struct Given {
    /// The operators' file.
    pub file: Option<String>,
    /// The folder of former generations.
    pub state: Option<PathBuf>,
    /// A start with a faulty file fails, whatever generations are stored.
    pub strict: bool,
}

/// A log line with its topic.
pub struct StartLine {
    /// Topic of the line.
    pub topic: &'static str,
    /// Its text.
    pub text: String,
}

/// What a start found.
pub struct Start {
    pub(super) number: u64,
    /// The meaning to start with.
    pub meaning: ResolvedSettings,
    /// Lines to be logged.
    pub lines: Vec<StartLine>,
}

/// Finds the meaning to start with: the file's, otherwise the generation that was stored last.
///
/// # Errors
/// If the stored generations can't be read, or the file is faulty and may not, or can't, be replaced by one of them.
pub fn start(given: &Given, machine: Machine) -> Result<Start, OperatorsError> {
    let stored = match &given.state {
        Some(folder) => stored_generations(folder)?,
        None => Contents::default(),
    };
    let lines = unusable_lines(&stored);
    let newest = stored.newest_number();
    let Some(path) = &given.file else {
        return Ok(Start {
            number: newest,
            meaning: ResolvedSettings::defaults(schema()),
            lines,
        });
    };
    let outcome = read(path, machine);
    if outcome.settings.is_none() {
        return start_on_stored(given, &stored.stored, &outcome, lines);
    }
    Ok(Start {
        number: newest + 1,
        meaning: outcome
            .settings
            .unwrap_or_else(|| ResolvedSettings::defaults(schema())),
        lines,
    })
}

/// Attempts to read what the disk doesn't give at once, and the time between two.
const READ_ATTEMPTS: u32 = 5;
const READ_PAUSE: Duration = Duration::from_millis(100);

/// The stored generations; reading is tried again where it fails, for a newer generation than those that could be read
/// may be sound.
fn stored_generations(folder: &Path) -> Result<Contents, OperatorsError> {
    let read = || -> io::Result<Contents> { GenerationStore::open(folder)?.contents() };
    let mut contents = read();
    for _ in 1..READ_ATTEMPTS {
        if contents
            .as_ref()
            .is_ok_and(|contents| contents.unreadable.is_empty())
        {
            break;
        }
        thread::sleep(READ_PAUSE);
        contents = read();
    }
    contents.map_err(|source| OperatorsError::Store {
        folder: folder.to_owned(),
        source,
    })
}

fn unusable_lines(contents: &Contents) -> Vec<StartLine> {
    let damaged = contents.stored.iter().filter_map(|one| {
        let reason = one.canonical.as_ref().err()?.reason();
        Some(format!("stored generation {} {reason}, passed over", one.number))
    });
    let unread = contents.unreadable.iter().map(|one| {
        let (number, error) = (one.number, &one.error);
        format!("stored generation {number} can't be read now, passed over and left as it is: {error}")
    });
    let lines = damaged.chain(unread);
    lines.map(|text| StartLine { topic: DETAILS, text }).collect()
}

/// Starts with the newest stored generation that can be read, since the file is faulty.
fn start_on_stored(
    given: &Given,
    stored: &[StoredGeneration],
    outcome: &LoadOutcome,
    mut lines: Vec<StartLine>,
) -> Result<Start, OperatorsError> {
    let errors = outcome.render_diagnostics();
    if given.strict {
        return Err(OperatorsError::Faulty { errors });
    }
    let readable = stored.iter().find_map(|one| {
        let canonical = one.canonical.as_ref().ok()?;
        let (meaning, unknown) = ResolvedSettings::from_canonical(schema(), canonical).ok()?;
        Some((one.number, meaning, unknown))
    });
    let Some((number, meaning, unknown)) = readable else {
        return Err(OperatorsError::NoStoredGeneration { errors });
    };
    let mut add = |topic, text| lines.push(StartLine { topic, text });
    for line in errors.lines() {
        add(DETAILS, line.to_owned());
    }
    if !unknown.is_empty() {
        let all = unknown.join(", ");
        add(
            DETAILS,
            format!("generation {number} states what is not known here: {all}"),
        );
    }
    add(
        DECISIONS,
        format!("THE FILE IS FAULTY: serving on generation {number}, the one kept last"),
    );
    Ok(Start {
        number,
        meaning,
        lines,
    })
}
