//! Reads a root file and all that it includes, each file once, into one meaning or the reports of what is wrong.

use crate::diagnostic::{Diagnostic, Severity, SourceFile, SourceLocation};
use crate::eval::{Run, Sections};
use crate::lex::Token;
use crate::parse::parse;
use crate::resolved::{ResolvedSettings, SettingLocations};
use crate::schema::{Conflict, Machine, Schema};
use crate::syntax::Stmt;
use crate::value::Value;
use std::collections::BTreeMap;
use std::path::{Component, PathBuf};

/// The longest file, and the longest all together may be.
pub const MAX_FILE_BYTES: usize = 2 * 1024 * 1024;
pub const MAX_TOTAL_BYTES: usize = 8 * 1024 * 1024;
pub const MAX_FILES: usize = 256;
/// How deep files may include files.
pub const MAX_LOAD_DEPTH: usize = 16;

/// Why a file isn't there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SourceError {
    /// Outside the folder of the root file.
    Outside,
    TooLong,
    Unreadable(String),
}

/// Where files come from. Each is asked for once by name, and read once for each identity.
pub trait Source {
    /// What a file is, whatever it is called: two names of one file have the same.
    fn identity(&self, name: &str) -> Result<String, SourceError>;
    /// Its bytes, of which one more than the longest is enough.
    fn bytes(&self, identity: &str, max_bytes: usize) -> Result<Vec<u8>, SourceError>;
}

pub struct LoadOutcome {
    /// Only where nothing is wrong.
    pub settings: Option<ResolvedSettings>,
    pub locations: SettingLocations,
    pub diagnostics: Vec<Diagnostic>,
    pub files: Vec<SourceFile>,
}

impl LoadOutcome {
    /// All reports as text.
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
    run: Run,
    files: Vec<SourceFile>,
    /// By identity: the number, and whether it has been run to its end.
    known: BTreeMap<String, (u32, bool)>,
    /// The files that are being run, with the place of the load that wanted the next one.
    stack: Vec<(u32, Option<SourceLocation>)>,
    bytes: usize,
}

/// Reads the root file of this name. The machine, where known, is what the settings are held against.
pub fn read(root: &str, source: &dyn Source, schema: &Schema, machine: Machine) -> LoadOutcome {
    let sections = schema
        .sections
        .iter()
        .map(|s| (s.name, s.key.is_some()))
        .collect();
    let mut loader = Loader {
        source,
        sections,
        run: Run::default(),
        files: Vec::new(),
        known: BTreeMap::new(),
        stack: Vec::new(),
        bytes: 0,
    };
    loader.file(root, None);
    let Loader { mut run, files, .. } = loader;
    let stated = std::mem::take(&mut run.stated);
    let (settings, locations) = ResolvedSettings::resolve(schema, &stated, &mut |r| run.report(r));
    let mut diagnostics = std::mem::take(&mut run.diagnostics);
    if diagnostics.is_empty() {
        let conflicts = schema
            .checks
            .iter()
            .flat_map(|check| check(schema, &settings, machine));
        diagnostics.extend(conflicts.map(|c| conflict_report(schema, c, &locations)));
    }
    diagnostics.sort_by_key(|r| (r.severity, r.location));
    let faultless = diagnostics.iter().all(|r| r.severity != Severity::Error);
    LoadOutcome {
        settings: faultless.then_some(settings),
        locations,
        diagnostics,
        files,
    }
}

/// A conflict is told at the setting stated last, since the others stood without it.
fn conflict_report(schema: &Schema, conflict: Conflict, locations: &SettingLocations) -> Diagnostic {
    let mut at: Vec<_> = conflict
        .paths
        .iter()
        .filter_map(|p| Some((*locations.get(p)?, schema.format_path(p))))
        .collect();
    at.sort();
    let (location, _) = at.pop().unwrap_or_default();
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
        related: at
            .into_iter()
            .map(|(location, path)| (location, format!("with {path} here")))
            .collect(),
    }
}

impl Loader<'_> {
    /// The number of the file, once it has been run; nothing where that can't be.
    fn file(&mut self, name: &str, from: Option<SourceLocation>) -> Option<u32> {
        let fault = |message: String| match from {
            Some(location) => Diagnostic::error(location, message),
            None => Diagnostic::error(SourceLocation::default(), message),
        };
        if from.is_none() {
            // The root is the first file also where it can't be read, so that its name stands before the message.
            let name = name.to_owned();
            self.files.push(SourceFile {
                name,
                text: String::new(),
            });
        }
        let identity = match self.source.identity(name) {
            Ok(identity) => identity,
            Err(missing) => {
                self.run.report(fault(told(&missing, name)));
                return None;
            }
        };
        if let Some((number, done)) = self.known.get(&identity).copied() {
            if !done {
                let diagnostic = self.cycle(number, name, from);
                self.run.report(diagnostic);
                return None;
            }
            return Some(number);
        }
        if self.known.len() >= MAX_FILES || self.stack.len() >= MAX_LOAD_DEPTH {
            let message = format!("more than {MAX_FILES} files, or {MAX_LOAD_DEPTH} within one another");
            self.run.report(fault(message));
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
            Err(missing) => {
                self.run.report(fault(told(&missing, name)));
                return None;
            }
        };
        self.bytes += bytes.len();
        if self.bytes > MAX_TOTAL_BYTES {
            self.run.report(fault(format!(
                "the files are longer than {MAX_TOTAL_BYTES} bytes together"
            )));
            return None;
        }
        let number = match from {
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
        self.known.insert(identity.clone(), (number, false));
        self.run.names.resize_with(self.files.len(), Default::default);
        let text = match String::from_utf8(bytes) {
            Ok(text) => text,
            Err(e) => {
                let good = e.utf8_error().valid_up_to();
                let text = String::from_utf8_lossy(&e.into_bytes()[..good]).into_owned();
                self.files[number as usize].text = text;
                let location = SourceLocation {
                    file: number,
                    start: good as u32,
                    end: good as u32,
                };
                self.run
                    .report(Diagnostic::error(location, "not UTF-8 from here on"));
                return None;
            }
        };
        let parsed = parse(number, &text);
        self.files[number as usize].text = text;
        let faulty = !parsed.diagnostics.is_empty();
        parsed.diagnostics.into_iter().for_each(|r| self.run.report(r));
        // What can be read is run even so: one look tells all that is wrong.
        if faulty {
            self.run.torn.insert(number);
        }
        self.stack.push((number, from));
        self.run_file(number, &parsed.stmts);
        self.stack.pop();
        self.known.insert(identity, (number, true));
        Some(number)
    }

    fn run_file(&mut self, number: u32, stmts: &[Stmt]) {
        for stmt in stmts {
            if self.run.is_stopped() {
                return;
            }
            match stmt {
                Stmt::Load {
                    location,
                    file,
                    names,
                } => {
                    let loaded = self.file(&file.name, Some(*location));
                    for (here, there) in names {
                        let value = match loaded {
                            None => Value::Broken,
                            Some(from) => self.loaded(from, &file.name, there, here.location),
                        };
                        let sections: &Sections = &self.sections;
                        self.run.set_top(number, sections, here, value);
                    }
                }
                stmt => self.run.top(number, &self.sections, stmt),
            }
        }
    }

    fn loaded(&mut self, from: u32, file: &str, name: &str, location: SourceLocation) -> Value {
        if name.starts_with('_') {
            let message = format!("'{name}' is the file's own: names with '_' first can't be loaded");
            self.run.report(Diagnostic::error(location, message));
            return Value::Broken;
        }
        let names = &self.run.names[from as usize];
        if let Some((value, _)) = names.get(name) {
            return value.clone();
        }
        let faulty = self.run.diagnostics.iter().any(|r| r.location.file == from);
        if !faulty {
            let near = crate::diagnostic::nearest(name, names.keys().map(|n| &**n));
            let help = near.map(|n| format!("'{n}' was meant?"));
            let diagnostic = Diagnostic::error(location, format!("'{file}' sets no '{name}'"));
            self.run.report(Diagnostic { help, ..diagnostic });
        }
        Value::Broken
    }

    /// Names each load of the circle.
    fn cycle(&self, number: u32, name: &str, from: Option<SourceLocation>) -> Diagnostic {
        let location = from.unwrap_or_default();
        let mut diagnostic = Diagnostic::error(location, format!("'{name}' includes itself"));
        let within = self.stack.iter().skip_while(|(n, _)| *n != number).skip(1);
        for (_, load) in within {
            if let Some(load) = load {
                diagnostic = diagnostic.with_related(*load, "by way of this load");
            }
        }
        diagnostic
    }
}

fn told(missing: &SourceError, name: &str) -> String {
    match missing {
        SourceError::Outside => format!("'{name}' is not within the folder of the root file"),
        SourceError::TooLong => format!("'{name}' is longer than {MAX_FILE_BYTES} bytes"),
        SourceError::Unreadable(why) => format!("'{name}' can't be read: {why}"),
    }
}

/// Files of a folder on disk. Links are followed and must stay within it.
pub struct FolderSource {
    folder: PathBuf,
}

impl FolderSource {
    /// The folder of a root file, and the file's name in it.
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

fn unreadable(e: std::io::Error) -> SourceError {
    SourceError::Unreadable(e.to_string())
}

impl Source for FolderSource {
    fn identity(&self, name: &str) -> Result<String, SourceError> {
        let asked = PathBuf::from(name);
        if name.contains('\0') {
            return Err(SourceError::Unreadable("no file has such a name".to_owned()));
        }
        let inside = asked
            .components()
            .all(|c| matches!(c, Component::Normal(_) | Component::CurDir));
        if name.is_empty() || !inside {
            return Err(SourceError::Outside);
        }
        let folder = self.folder.canonicalize().map_err(unreadable)?;
        let found = folder.join(asked).canonicalize().map_err(unreadable)?;
        if !found.starts_with(&folder) {
            return Err(SourceError::Outside);
        }
        found
            .into_os_string()
            .into_string()
            .map_err(|_| SourceError::Unreadable("its name is not UTF-8".to_owned()))
    }

    fn bytes(&self, identity: &str, max_bytes: usize) -> Result<Vec<u8>, SourceError> {
        use std::io::Read;
        let kind = std::fs::metadata(identity).map_err(unreadable)?;
        // A pipe would keep the reader waiting for good.
        if !kind.is_file() {
            return Err(SourceError::Unreadable("not a file".to_owned()));
        }
        let file = std::fs::File::open(identity).map_err(unreadable)?;
        let mut bytes = Vec::new();
        file.take(max_bytes as u64 + 1)
            .read_to_end(&mut bytes)
            .map_err(unreadable)?;
        Ok(bytes)
    }
}

/// Files held in memory, for tests and tools.
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

/// Whether a text has the form of the language, whatever it means.
pub fn is_well_formed(text: &str) -> bool {
    parse(0, text).diagnostics.is_empty()
}

/// The tokens that mean something, for comparing texts.
pub fn significant_tokens(text: &str) -> Vec<(Token, &str)> {
    let all = crate::lex::tokens(text);
    let told = all.into_iter().filter(|(t, _)| !t.is_blank());
    told.map(|(t, at)| (t, &text[at])).collect()
}
