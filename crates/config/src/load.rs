//! Loads a root file and the files that it loads, each once, into resolved settings or diagnostics.

use crate::diagnostic::{Diagnostic, Severity, SourceFile, SourceLocation};
use crate::eval::{Evaluator, Sections};
use crate::lex::Token;
use crate::parse::parse;
use crate::resolved::{ResolvedSettings, SettingLocations};
use crate::schema::{Conflict, Machine, Schema};
use crate::syntax::Stmt;
use crate::value::Value;
use std::collections::BTreeMap;
use std::path::{Component, PathBuf};

/// Bound on the size of one file.
pub const MAX_FILE_BYTES: usize = 2 * 1024 * 1024;
/// Bound on the total size of all files.
pub const MAX_TOTAL_BYTES: usize = 8 * 1024 * 1024;
/// Bound on the number of files.
pub const MAX_FILES: usize = 256;
/// Bound on nested loads.
pub const MAX_LOAD_DEPTH: usize = 16;

/// Why a source file can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SourceError {
    /// It is outside the folder of the root file.
    Outside,
    /// It is longer than [`MAX_FILE_BYTES`].
    TooLong,
    /// Text of the system's error.
    Unreadable(String),
}

/// Where files come from. Files are found by name, and read once per identity.
pub trait Source {
    /// Identity of a file: equal for all names of one file.
    fn identity(&self, name: &str) -> Result<String, SourceError>;
    /// Content of a file, truncated to one byte more than `max_bytes`.
    fn bytes(&self, identity: &str, max_bytes: usize) -> Result<Vec<u8>, SourceError>;
}

pub struct LoadOutcome {
    /// Present if there is no error.
    pub settings: Option<ResolvedSettings>,
    pub locations: SettingLocations,
    pub diagnostics: Vec<Diagnostic>,
    pub files: Vec<SourceFile>,
}

impl LoadOutcome {
    /// All diagnostics as text.
    pub fn render_diagnostics(&self) -> String {
        self.diagnostics
            .iter()
            .map(|r| crate::diagnostic::render(r, &self.files))
            .collect()
    }

    pub fn error_count(&self) -> usize {
        self.diagnostics
            .iter()
            .filter(|r| r.severity == Severity::Error)
            .count()
    }
}

struct Loader<'a> {
    source: &'a dyn Source,
    sections: Vec<(&'static str, bool)>,
    evaluator: Evaluator,
    files: Vec<SourceFile>,
    /// File number and whether evaluation is complete, by identity.
    loaded: BTreeMap<String, (u32, bool)>,
    /// Files under evaluation, each with the location of the load that requested it.
    load_stack: Vec<(u32, Option<SourceLocation>)>,
    bytes: usize,
}

/// Loads the root file of this name, and checks its settings against the schema and the machine's limits.
pub fn read(root: &str, source: &dyn Source, schema: &Schema, machine: Machine) -> LoadOutcome {
    let sections = schema
        .sections
        .iter()
        .map(|s| (s.name, s.key.is_some()))
        .collect();
    let mut loader = Loader {
        source,
        sections,
        evaluator: Evaluator::default(),
        files: Vec::new(),
        loaded: BTreeMap::new(),
        load_stack: Vec::new(),
        bytes: 0,
    };
    loader.load_file(root, None);
    let Loader {
        mut evaluator, files, ..
    } = loader;
    let statements = std::mem::take(&mut evaluator.statements);
    let (settings, locations) = ResolvedSettings::resolve(schema, &statements, &mut |r| evaluator.report(r));
    let mut diagnostics = std::mem::take(&mut evaluator.diagnostics);
    if diagnostics.is_empty() {
        let conflicts = schema
            .checks
            .iter()
            .flat_map(|check| check(schema, &settings, machine));
        diagnostics.extend(conflicts.map(|c| conflict_diagnostic(schema, c, &locations)));
    }
    diagnostics.sort_by_key(|r| (r.severity, r.location));
    let has_no_errors = diagnostics.iter().all(|r| r.severity != Severity::Error);
    LoadOutcome {
        settings: has_no_errors.then_some(settings),
        locations,
        diagnostics,
        files,
    }
}

/// A conflict is reported at the setting that was set last; the others are related locations.
fn conflict_diagnostic(schema: &Schema, conflict: Conflict, locations: &SettingLocations) -> Diagnostic {
    let mut set_locations: Vec<_> = conflict
        .paths
        .iter()
        .filter_map(|p| Some((*locations.get(p)?, schema.format_path(p))))
        .collect();
    set_locations.sort();
    let (location, _) = set_locations.pop().unwrap_or_default();
    let severity = if conflict.warning {
        Severity::Warning
    } else {
        Severity::Error
    };
    Diagnostic {
        severity,
        location,
        message: conflict.reason,
        help: None,
        related: set_locations
            .into_iter()
            .map(|(location, path)| (location, format!("{path} is set here")))
            .collect(),
    }
}

impl Loader<'_> {
    /// Loads and evaluates a file unless that was done before. Returns its number, or `None` if it can't be
    /// loaded.
    fn load_file(&mut self, name: &str, requested_by: Option<SourceLocation>) -> Option<u32> {
        let error_at = |message: String| match requested_by {
            Some(location) => Diagnostic::error(location, message),
            None => Diagnostic::error(SourceLocation::default(), message),
        };
        if requested_by.is_none() {
            // Registered before it is read, so that diagnostics of an unreadable root file name it.
            let name = name.to_owned();
            self.files.push(SourceFile {
                name,
                text: String::new(),
            });
        }
        let identity = match self.source.identity(name) {
            Ok(identity) => identity,
            Err(error) => {
                self.evaluator.report(error_at(describe_error(&error, name)));
                return None;
            }
        };
        if let Some((number, is_complete)) = self.loaded.get(&identity).copied() {
            if !is_complete {
                let diagnostic = self.cycle_diagnostic(number, name, requested_by);
                self.evaluator.report(diagnostic);
                return None;
            }
            return Some(number);
        }
        if self.loaded.len() >= MAX_FILES || self.load_stack.len() >= MAX_LOAD_DEPTH {
            let message =
                format!("more than {MAX_FILES} files, or loads nested more than {MAX_LOAD_DEPTH} deep");
            self.evaluator.report(error_at(message));
            return None;
        }
        let bytes = self.source.bytes(&identity, MAX_FILE_BYTES);
        let bytes = bytes.and_then(|b| {
            if b.len() > MAX_FILE_BYTES {
                Err(SourceError::TooLong)
            } else {
                Ok(b)
            }
        });
        let bytes = match bytes {
            Ok(bytes) => bytes,
            Err(error) => {
                self.evaluator.report(error_at(describe_error(&error, name)));
                return None;
            }
        };
        self.bytes += bytes.len();
        if self.bytes > MAX_TOTAL_BYTES {
            self.evaluator.report(error_at(format!(
                "the files are longer than {MAX_TOTAL_BYTES} bytes in total"
            )));
            return None;
        }
        let number = match requested_by {
            None => 0,
            Some(_) => {
                let name = name.to_owned();
                self.files.push(SourceFile {
                    name,
                    text: String::new(),
                });
                self.files.len() as u32 - 1
            }
        };
        self.loaded.insert(identity.clone(), (number, false));
        self.evaluator
            .bindings
            .resize_with(self.files.len(), Default::default);
        let text = match String::from_utf8(bytes) {
            Ok(text) => text,
            Err(e) => {
                let valid_bytes = e.utf8_error().valid_up_to();
                let text = String::from_utf8_lossy(&e.into_bytes()[..valid_bytes]).into_owned();
                self.files[number as usize].text = text;
                let location = SourceLocation {
                    file: number,
                    start: valid_bytes as u32,
                    end: valid_bytes as u32,
                };
                self.evaluator
                    .report(Diagnostic::error(location, "invalid UTF-8"));
                return None;
            }
        };
        let parsed = parse(number, &text);
        self.files[number as usize].text = text;
        let has_errors = !parsed.diagnostics.is_empty();
        parsed
            .diagnostics
            .into_iter()
            .for_each(|r| self.evaluator.report(r));
        // Evaluates what was parsed, so that one pass reports all errors.
        if has_errors {
            self.evaluator.incomplete_files.insert(number);
        }
        self.load_stack.push((number, requested_by));
        self.run_file(number, &parsed.stmts);
        self.load_stack.pop();
        self.loaded.insert(identity, (number, true));
        Some(number)
    }

    fn run_file(&mut self, number: u32, stmts: &[Stmt]) {
        for stmt in stmts {
            if self.evaluator.is_stopped() {
                return;
            }
            match stmt {
                Stmt::Load {
                    location,
                    file,
                    names,
                } => {
                    let loaded = self.load_file(&file.name, Some(*location));
                    for (local_name, loaded_name) in names {
                        let value = match loaded {
                            None => Value::Invalid,
                            Some(file_number) => {
                                self.loaded_value(file_number, &file.name, loaded_name, local_name.location)
                            }
                        };
                        let sections: &Sections = &self.sections;
                        self.evaluator.bind_global(number, sections, local_name, value);
                    }
                }
                stmt => self.evaluator.run_statement(number, &self.sections, stmt),
            }
        }
    }

    fn loaded_value(&mut self, file_number: u32, file: &str, name: &str, location: SourceLocation) -> Value {
        if name.starts_with('_') {
            let message = format!("'{name}' is private: names that begin with '_' cannot be loaded");
            self.evaluator.report(Diagnostic::error(location, message));
            return Value::Invalid;
        }
        let bindings = &self.evaluator.bindings[file_number as usize];
        if let Some((value, _)) = bindings.get(name) {
            return value.clone();
        }
        let has_errors = self
            .evaluator
            .diagnostics
            .iter()
            .any(|r| r.location.file == file_number);
        if !has_errors {
            let near = crate::diagnostic::nearest(name, bindings.keys().map(|n| &**n));
            let help = near.map(|n| format!("did you mean '{n}'?"));
            let diagnostic = Diagnostic::error(location, format!("'{file}' does not define '{name}'"));
            self.evaluator.report(Diagnostic { help, ..diagnostic });
        }
        Value::Invalid
    }

    /// Diagnostic for a load cycle, with the location of each load in it.
    fn cycle_diagnostic(&self, number: u32, name: &str, requested_by: Option<SourceLocation>) -> Diagnostic {
        let location = requested_by.unwrap_or_default();
        let mut diagnostic = Diagnostic::error(location, format!("load cycle: '{name}' loads itself"));
        let cycle = self.load_stack.iter().skip_while(|(n, _)| *n != number).skip(1);
        for (_, load) in cycle {
            if let Some(load) = load {
                diagnostic = diagnostic.with_related(*load, "through this load");
            }
        }
        diagnostic
    }
}

fn describe_error(error: &SourceError, name: &str) -> String {
    match error {
        SourceError::Outside => format!("'{name}' is outside the folder of the root file"),
        SourceError::TooLong => format!("'{name}' is longer than {MAX_FILE_BYTES} bytes"),
        SourceError::Unreadable(why) => format!("'{name}' can't be read: {why}"),
    }
}

/// Files of a folder on disk. Symbolic links are followed; their targets must be within the folder.
pub struct FolderSource {
    folder: PathBuf,
}

impl FolderSource {
    /// The folder that contains a root file, and the file's name in it.
    pub fn containing(root: &str) -> (FolderSource, String) {
        let path = PathBuf::from(root);
        let name = path.file_name().map(|n| n.to_string_lossy().into_owned());
        let folder = match path.parent() {
            Some(parent) if !parent.as_os_str().is_empty() => parent.to_owned(),
            _ => PathBuf::from("."),
        };
        (FolderSource { folder }, name.unwrap_or_default())
    }
}

fn unreadable_error(e: std::io::Error) -> SourceError {
    SourceError::Unreadable(e.to_string())
}

impl Source for FolderSource {
    fn identity(&self, name: &str) -> Result<String, SourceError> {
        let requested = PathBuf::from(name);
        if name.contains('\0') {
            return Err(SourceError::Unreadable("the name contains a NUL byte".to_owned()));
        }
        let inside = requested
            .components()
            .all(|c| matches!(c, Component::Normal(_) | Component::CurDir));
        if name.is_empty() || !inside {
            return Err(SourceError::Outside);
        }
        let folder = self.folder.canonicalize().map_err(unreadable_error)?;
        let found = folder.join(requested).canonicalize().map_err(unreadable_error)?;
        if !found.starts_with(&folder) {
            return Err(SourceError::Outside);
        }
        found
            .into_os_string()
            .into_string()
            .map_err(|_| SourceError::Unreadable("its path is not UTF-8".to_owned()))
    }

    fn bytes(&self, identity: &str, max_bytes: usize) -> Result<Vec<u8>, SourceError> {
        use std::io::Read;
        let kind = std::fs::metadata(identity).map_err(unreadable_error)?;
        // Reading a named pipe could block forever.
        if !kind.is_file() {
            return Err(SourceError::Unreadable("not a regular file".to_owned()));
        }
        let file = std::fs::File::open(identity).map_err(unreadable_error)?;
        let mut bytes = Vec::new();
        file.take(max_bytes as u64 + 1)
            .read_to_end(&mut bytes)
            .map_err(unreadable_error)?;
        Ok(bytes)
    }
}

/// Files in memory, for tests and tools.
#[derive(Default)]
pub struct MemorySource(pub BTreeMap<String, Vec<u8>>);

impl Source for MemorySource {
    fn identity(&self, name: &str) -> Result<String, SourceError> {
        match self.0.contains_key(name) {
            _ if name.split('/').any(|part| part == "..") || name.starts_with('/') => {
                Err(SourceError::Outside)
            }
            true => Ok(name.to_owned()),
            false => Err(SourceError::Unreadable("no such file".to_owned())),
        }
    }

    fn bytes(&self, identity: &str, max_bytes: usize) -> Result<Vec<u8>, SourceError> {
        let bytes = self.0.get(identity).map(|b| &b[..b.len().min(max_bytes + 1)]);
        Ok(bytes.unwrap_or_default().to_vec())
    }
}

/// Whether a text has no syntax errors; it is not evaluated.
pub fn is_well_formed(text: &str) -> bool {
    parse(0, text).diagnostics.is_empty()
}

/// Tokens without spaces, comments and line ends.
pub fn significant_tokens(text: &str) -> Vec<(Token, &str)> {
    let all = crate::lex::tokens(text);
    let significant = all.into_iter().filter(|(t, _)| !t.is_blank());
    significant.map(|(t, at)| (t, &text[at])).collect()
}
