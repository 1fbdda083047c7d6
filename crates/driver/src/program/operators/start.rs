//! The settings with which a process starts.

use super::{read, schema, OperatorsError, DECISIONS_TOPIC, DIAGNOSTICS_TOPIC};
use asterlatch_config::load::LoadOutcome;
use asterlatch_config::resolved::ResolvedSettings;
use asterlatch_config::schema::Machine;
use asterlatch_config::store::{Contents, GenerationStore, StoredGeneration};
use std::io;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

/// Paths of the operators' file and its stored generations, and how to handle an invalid file.
#[derive(Clone, Debug, Default)]
pub struct OperatorsOptions {
    /// Path of the operators' file.
    pub file: Option<String>,
    /// Folder of the stored generations.
    pub state_folder: Option<PathBuf>,
    /// Whether a start with an invalid file fails even if a generation is stored.
    pub strict: bool,
}

/// A log line of the start, with its topic.
pub struct LogLine {
    /// Log topic.
    pub topic: &'static str,
    /// Text of the line.
    pub text: String,
}

/// The settings of a start.
pub struct InitialSettings {
    pub(super) number: u64,
    /// The settings to start with.
    pub resolved: ResolvedSettings,
    /// Lines to log.
    pub lines: Vec<LogLine>,
}

/// Determines the settings to start with: those of the file, or of the newest readable generation if the file
/// is invalid.
///
/// # Errors
/// If the stored generations can't be read, or the file is invalid and no generation may or can replace it.
pub fn load_initial_settings(
    options: &OperatorsOptions,
    machine: Machine,
) -> Result<InitialSettings, OperatorsError> {
    let contents = match &options.state_folder {
        Some(folder) => read_stored_generations(folder)?,
        None => Contents::default(),
    };
    let lines = unusable_generation_lines(&contents);
    let newest_number = contents.newest_number();
    let Some(path) = &options.file else {
        return Ok(InitialSettings {
            number: newest_number,
            resolved: ResolvedSettings::defaults(schema()),
            lines,
        });
    };
    let outcome = read(path, machine);
    if outcome.settings.is_none() {
        return load_newest_generation(options, &contents.stored, &outcome, lines);
    }
    Ok(InitialSettings {
        number: newest_number + 1,
        resolved: outcome
            .settings
            .unwrap_or_else(|| ResolvedSettings::defaults(schema())),
        lines,
    })
}

const READ_ATTEMPTS: u32 = 5;
const READ_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Reads the stored generations, with retries: an unreadable generation may be intact and newer than the
/// readable ones.
fn read_stored_generations(folder: &Path) -> Result<Contents, OperatorsError> {
    let read = || -> io::Result<Contents> { GenerationStore::open(folder)?.contents() };
    let mut contents = read();
    for _ in 1..READ_ATTEMPTS {
        if contents
            .as_ref()
            .is_ok_and(|contents| contents.unreadable.is_empty())
        {
            break;
        }
        thread::sleep(READ_RETRY_DELAY);
        contents = read();
    }
    contents.map_err(|source| OperatorsError::Store {
        folder: folder.to_owned(),
        source,
    })
}

fn unusable_generation_lines(contents: &Contents) -> Vec<LogLine> {
    let damaged_lines = contents.stored.iter().filter_map(|generation| {
        let reason = generation.canonical.as_ref().err()?.reason();
        Some(format!(
            "ignored stored generation {}: it {reason}",
            generation.number
        ))
    });
    let unreadable_lines = contents.unreadable.iter().map(|generation| {
        let (number, error) = (generation.number, &generation.error);
        format!("cannot read stored generation {number}, which is ignored and left in place: {error}")
    });
    let lines = damaged_lines.chain(unreadable_lines);
    lines
        .map(|text| LogLine {
            topic: DIAGNOSTICS_TOPIC,
            text,
        })
        .collect()
}

/// Loads the newest readable generation in place of an invalid file.
fn load_newest_generation(
    options: &OperatorsOptions,
    stored: &[StoredGeneration],
    outcome: &LoadOutcome,
    mut lines: Vec<LogLine>,
) -> Result<InitialSettings, OperatorsError> {
    let errors = outcome.render_diagnostics();
    if options.strict {
        return Err(OperatorsError::Invalid { errors });
    }
    let readable = stored.iter().find_map(|generation| {
        let canonical = generation.canonical.as_ref().ok()?;
        let (resolved, unknown) = ResolvedSettings::from_canonical(schema(), canonical).ok()?;
        Some((generation.number, resolved, unknown))
    });
    let Some((number, resolved, unknown)) = readable else {
        return Err(OperatorsError::NoStoredGeneration { errors });
    };
    let mut add = |topic, text| lines.push(LogLine { topic, text });
    for line in errors.lines() {
        add(DIAGNOSTICS_TOPIC, line.to_owned());
    }
    if !unknown.is_empty() {
        let names = unknown.join(", ");
        add(
            DIAGNOSTICS_TOPIC,
            format!("generation {number} has settings that this version does not know: {names}"),
        );
    }
    add(
        DECISIONS_TOPIC,
        format!("FILE INVALID: serving with generation {number}, the newest stored one"),
    );
    Ok(InitialSettings {
        number,
        resolved,
        lines,
    })
}
