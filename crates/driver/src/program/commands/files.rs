//! Commands on operators' files: check, format, diff, show.

use super::CommandOutput;
use crate::program::operators::{read, schema};
use asterlatch_config::diagnostic::{self, Severity, SourceFile};
use asterlatch_config::load::{FolderSource, Source, SourceError, MAX_FILE_BYTES};
use asterlatch_config::parse;
use asterlatch_config::resolved::{changes, ResolvedSettings};
use asterlatch_config::schema::Machine;
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Exit code of a diff with an invalid file.
const DIFF_UNREADABLE: u8 = 2;

pub(super) fn check(file: &str, machine: Machine) -> CommandOutput {
    let outcome = read(file, machine);
    if outcome.settings.is_none() {
        return CommandOutput::failure(outcome.render_diagnostics());
    }
    let diagnostics = outcome.diagnostics.iter();
    let warnings = diagnostics
        .filter(|diagnostic| diagnostic.severity == Severity::Warning)
        .count();
    let files = outcome.files.len();
    let settings = outcome.locations.len();
    CommandOutput {
        stderr: outcome.render_diagnostics(),
        stdout: format!("{file}: valid, {files} files, {settings} settings, {warnings} warnings\n"),
        exit_code: 0,
    }
}

/// Returns the resolved settings of a file, or its diagnostics.
fn resolve(file: &str, machine: Machine) -> Result<ResolvedSettings, String> {
    let outcome = read(file, machine);
    let diagnostics = outcome.render_diagnostics();
    outcome.settings.ok_or(diagnostics)
}

pub(super) fn show(file: &str, machine: Machine) -> CommandOutput {
    match resolve(file, machine) {
        Ok(settings) => CommandOutput::success(settings.canonical(schema())),
        Err(diagnostics) => CommandOutput::failure(diagnostics),
    }
}

pub(super) fn diff(old: &str, new: &str, machine: Machine) -> CommandOutput {
    let (old, new) = match (resolve(old, machine), resolve(new, machine)) {
        (Ok(old), Ok(new)) => (old, new),
        (old, new) => {
            let diagnostics = [old.err(), new.err()];
            return CommandOutput {
                stderr: diagnostics.into_iter().flatten().collect(),
                exit_code: DIFF_UNREADABLE,
                ..CommandOutput::default()
            };
        }
    };
    let changes = changes(schema(), &old, &new);
    let lines = changes.iter().map(|change| change.describe(schema()) + "\n");
    CommandOutput {
        stdout: lines.collect(),
        exit_code: u8::from(!changes.is_empty()),
        ..CommandOutput::default()
    }
}

/// Why a file can't be formatted, or is not formatted.
#[derive(Debug, Error)]
enum FormatError {
    #[error("{file}:1:1: cannot read the file: {cause:?}")]
    Unreadable { file: String, cause: SourceError },
    #[error("{file}:1:1: the file has more than {MAX_FILE_BYTES} bytes")]
    TooLong { file: String },
    #[error("{file}:1:1: the file is not UTF-8")]
    NotUtf8 { file: String },
    /// Diagnostics of the parser, without the final newline.
    #[error("{diagnostics}")]
    Syntax { diagnostics: String },
    #[error("{file}:1:1: not formatted; run asterlatch config format {file}")]
    NotFormatted { file: String },
    #[error("{file}:1:1: cannot write the file: {source}")]
    Unwritable { file: String, source: io::Error },
}

/// A file's text and its formatted text, without included files.
struct FormattedFile {
    identity: String,
    text: String,
    formatted: String,
}

impl FormattedFile {
    fn read(file: &str) -> Result<FormattedFile, FormatError> {
        let (identity, text) = read_text(file)?;
        let parsed = parse::parse(0, &text);
        if parsed.diagnostics.is_empty() {
            let formatted = asterlatch_config::format::format(&text);
            return Ok(FormattedFile {
                identity,
                text,
                formatted,
            });
        }
        let source_files = [SourceFile {
            name: file.to_owned(),
            text,
        }];
        let parsed_diagnostics = parsed.diagnostics.iter();
        let diagnostics: String = parsed_diagnostics
            .map(|one| diagnostic::render(one, &source_files))
            .collect();
        Err(FormatError::Syntax {
            diagnostics: diagnostics.trim_end_matches('\n').to_owned(),
        })
    }

    fn is_formatted(&self) -> bool {
        self.text == self.formatted
    }
}

/// Returns the identity and the text of a file.
fn read_text(file: &str) -> Result<(String, String), FormatError> {
    let name = || file.to_owned();
    let unreadable = |cause| FormatError::Unreadable { file: name(), cause };
    let (folder, root) = FolderSource::containing(file);
    let identity = folder.identity(&root).map_err(unreadable)?;
    let bytes = folder.bytes(&identity, MAX_FILE_BYTES).map_err(unreadable)?;
    if bytes.len() > MAX_FILE_BYTES {
        return Err(FormatError::TooLong { file: name() });
    }
    let text = String::from_utf8(bytes).map_err(|_| FormatError::NotUtf8 { file: name() })?;
    Ok((identity, text))
}

pub(super) fn format(file: &str) -> CommandOutput {
    format_output(write_formatted(file))
}

pub(super) fn check_format(file: &str) -> CommandOutput {
    format_output(require_formatted(file))
}

fn format_output(result: Result<(), FormatError>) -> CommandOutput {
    match result {
        Ok(()) => CommandOutput::default(),
        Err(error) => CommandOutput::failure(format!("{error}\n")),
    }
}

fn write_formatted(file: &str) -> Result<(), FormatError> {
    let read = FormattedFile::read(file)?;
    if read.is_formatted() {
        return Ok(());
    }
    replace(Path::new(&read.identity), &read.formatted).map_err(|source| FormatError::Unwritable {
        file: file.to_owned(),
        source,
    })
}

fn require_formatted(file: &str) -> Result<(), FormatError> {
    if FormattedFile::read(file)?.is_formatted() {
        return Ok(());
    }
    Err(FormatError::NotFormatted {
        file: file.to_owned(),
    })
}

/// Replaces a file atomically: a reader gets either the old text or the new one.
fn replace(path: &Path, text: &str) -> io::Result<()> {
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(".new");
    let temporary = PathBuf::from(temporary);
    let permissions = std::fs::metadata(path)?.permissions();
    let write = || {
        let mut file = File::create(&temporary)?;
        file.set_permissions(permissions)?;
        file.write_all(text.as_bytes())?;
        file.sync_all()?;
        std::fs::rename(&temporary, path)
    };
    write().inspect_err(|_| {
        let _ = std::fs::remove_file(&temporary);
    })
}
