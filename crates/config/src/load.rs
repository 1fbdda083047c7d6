//! Reads a root file and all that it includes, each file once, into one meaning or the reports of what is wrong.

use crate::eval::{Run, Sections};
use crate::lex::Token;
use crate::meaning::{Meaning, Places};
use crate::parse::parse;
use crate::registry::{Conflict, Machine, Registry};
use crate::report::{Place, Report, Shown, Weight};
use crate::syntax::Stmt;
use crate::value::Value;
use std::collections::BTreeMap;
use std::path::{Component, PathBuf};

/// The longest file, and the longest all together may be.
pub const LONGEST_FILE: usize = 2 * 1024 * 1024;
pub const LONGEST_TOGETHER: usize = 8 * 1024 * 1024;
pub const MOST_FILES: usize = 256;
/// How deep files may include files.
pub const DEEPEST_LOADS: usize = 16;

/// Why a file isn't there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Missing {
    /// Outside the folder of the root file.
    Outside,
    TooLong,
    Unreadable(String),
}

/// Where files come from. Each is asked for once by name, and read once for each identity.
pub trait Source {
    /// What a file is, whatever it is called: two names of one file have the same.
    fn identity(&self, name: &str) -> Result<String, Missing>;
    /// Its bytes, of which one more than the longest is enough.
    fn bytes(&self, identity: &str, longest: usize) -> Result<Vec<u8>, Missing>;
}

pub struct Outcome {
    /// Only where nothing is wrong.
    pub meaning: Option<Meaning>,
    pub places: Places,
    pub reports: Vec<Report>,
    pub files: Vec<Shown>,
}

impl Outcome {
    /// All reports as text.
    pub fn text(&self) -> String {
        self.reports
            .iter()
            .map(|r| crate::report::text(r, &self.files))
            .collect()
    }

    pub fn errors(&self) -> usize {
        self.reports.iter().filter(|r| r.weight == Weight::Error).count()
    }
}

struct Loader<'a> {
    source: &'a dyn Source,
    sections: Vec<(&'static str, bool)>,
    run: Run,
    files: Vec<Shown>,
    /// By identity: the number, and whether it has been run to its end.
    known: BTreeMap<String, (u32, bool)>,
    /// The files that are being run, with the place of the load that wanted the next one.
    stack: Vec<(u32, Option<Place>)>,
    bytes: usize,
}

/// Reads the root file of this name. The machine, where known, is what the settings are held against.
pub fn read(root: &str, source: &dyn Source, registry: &Registry, machine: Machine) -> Outcome {
    let sections = registry
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
    let (meaning, places) = Meaning::of(registry, &stated, &mut |r| run.report(r));
    let mut reports = std::mem::take(&mut run.reports);
    if reports.is_empty() {
        let conflicts = registry
            .checks
            .iter()
            .flat_map(|check| check(registry, &meaning, machine));
        reports.extend(conflicts.map(|c| conflict_report(registry, c, &places)));
    }
    reports.sort_by_key(|r| (r.weight, r.place));
    let faultless = reports.iter().all(|r| r.weight != Weight::Error);
    Outcome {
        meaning: faultless.then_some(meaning),
        places,
        reports,
        files,
    }
}

/// A conflict is told at the setting stated last, since the others stood without it.
fn conflict_report(registry: &Registry, conflict: Conflict, places: &Places) -> Report {
    let mut at: Vec<_> = conflict
        .paths
        .iter()
        .filter_map(|p| Some((*places.get(p)?, registry.written(p))))
        .collect();
    at.sort();
    let (place, _) = at.pop().unwrap_or_default();
    let weight = if conflict.warning {
        Weight::Warning
    } else {
        Weight::Error
    };
    Report {
        weight,
        place,
        message: conflict.reason,
        help: None,
        beside: at
            .into_iter()
            .map(|(place, path)| (place, format!("with {path} here")))
            .collect(),
    }
}

impl Loader<'_> {
    /// The number of the file, once it has been run; nothing where that can't be.
    fn file(&mut self, name: &str, from: Option<Place>) -> Option<u32> {
        let fault = |message: String| match from {
            Some(place) => Report::error(place, message),
            None => Report::error(Place::default(), message),
        };
        if from.is_none() {
            // The root is the first file also where it can't be read, so that its name stands before the message.
            let name = name.to_owned();
            self.files.push(Shown {
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
                let report = self.cycle(number, name, from);
                self.run.report(report);
                return None;
            }
            return Some(number);
        }
        if self.known.len() >= MOST_FILES || self.stack.len() >= DEEPEST_LOADS {
            let message = format!("more than {MOST_FILES} files, or {DEEPEST_LOADS} within one another");
            self.run.report(fault(message));
            return None;
        }
        let bytes = self.source.bytes(&identity, LONGEST_FILE);
        let bytes = bytes.and_then(|b| {
            if b.len() > LONGEST_FILE {
                Err(Missing::TooLong)
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
        if self.bytes > LONGEST_TOGETHER {
            self.run.report(fault(format!(
                "the files are longer than {LONGEST_TOGETHER} bytes together"
            )));
            return None;
        }
        let number = match from {
            None => 0,
            Some(_) => {
                let name = name.to_owned();
                self.files.push(Shown {
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
                let place = Place {
                    file: number,
                    start: good as u32,
                    end: good as u32,
                };
                self.run.report(Report::error(place, "not UTF-8 from here on"));
                return None;
            }
        };
        let parsed = parse(number, &text);
        self.files[number as usize].text = text;
        let faulty = !parsed.reports.is_empty();
        parsed.reports.into_iter().for_each(|r| self.run.report(r));
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
                Stmt::Load { place, file, names } => {
                    let loaded = self.file(&file.name, Some(*place));
                    for (here, there) in names {
                        let value = match loaded {
                            None => Value::Broken,
                            Some(from) => self.loaded(from, &file.name, there, here.place),
                        };
                        let sections: &Sections = &self.sections;
                        self.run.set_top(number, sections, here, value);
                    }
                }
                stmt => self.run.top(number, &self.sections, stmt),
            }
        }
    }

    fn loaded(&mut self, from: u32, file: &str, name: &str, place: Place) -> Value {
        if name.starts_with('_') {
            let message = format!("'{name}' is the file's own: names with '_' first can't be loaded");
            self.run.report(Report::error(place, message));
            return Value::Broken;
        }
        let names = &self.run.names[from as usize];
        if let Some((value, _)) = names.get(name) {
            return value.clone();
        }
        let faulty = self.run.reports.iter().any(|r| r.place.file == from);
        if !faulty {
            let near = crate::report::nearest(name, names.keys().map(|n| &**n));
            let help = near.map(|n| format!("'{n}' was meant?"));
            let report = Report::error(place, format!("'{file}' sets no '{name}'"));
            self.run.report(Report { help, ..report });
        }
        Value::Broken
    }

    /// Names each load of the circle.
    fn cycle(&self, number: u32, name: &str, from: Option<Place>) -> Report {
        let place = from.unwrap_or_default();
        let mut report = Report::error(place, format!("'{name}' includes itself"));
        let within = self.stack.iter().skip_while(|(n, _)| *n != number).skip(1);
        for (_, load) in within {
            if let Some(load) = load {
                report = report.beside(*load, "by way of this load");
            }
        }
        report
    }
}

fn told(missing: &Missing, name: &str) -> String {
    match missing {
        Missing::Outside => format!("'{name}' is not within the folder of the root file"),
        Missing::TooLong => format!("'{name}' is longer than {LONGEST_FILE} bytes"),
        Missing::Unreadable(why) => format!("'{name}' can't be read: {why}"),
    }
}

/// Files of a folder on disk. Links are followed and must stay within it.
pub struct Folder {
    folder: PathBuf,
}

impl Folder {
    /// The folder of a root file, and the file's name in it.
    pub fn of(root: &str) -> (Folder, String) {
        let path = PathBuf::from(root);
        let name = path.file_name().map(|n| n.to_string_lossy().into_owned());
        let folder = match path.parent() {
            Some(parent) if !parent.as_os_str().is_empty() => parent.to_owned(),
            _ => PathBuf::from("."),
        };
        (Folder { folder }, name.unwrap_or_default())
    }
}

fn unreadable(e: std::io::Error) -> Missing {
    Missing::Unreadable(e.to_string())
}

impl Source for Folder {
    fn identity(&self, name: &str) -> Result<String, Missing> {
        let asked = PathBuf::from(name);
        if name.contains('\0') {
            return Err(Missing::Unreadable("no file has such a name".to_owned()));
        }
        let inside = asked
            .components()
            .all(|c| matches!(c, Component::Normal(_) | Component::CurDir));
        if name.is_empty() || !inside {
            return Err(Missing::Outside);
        }
        let folder = self.folder.canonicalize().map_err(unreadable)?;
        let found = folder.join(asked).canonicalize().map_err(unreadable)?;
        if !found.starts_with(&folder) {
            return Err(Missing::Outside);
        }
        found
            .into_os_string()
            .into_string()
            .map_err(|_| Missing::Unreadable("its name is not UTF-8".to_owned()))
    }

    fn bytes(&self, identity: &str, longest: usize) -> Result<Vec<u8>, Missing> {
        use std::io::Read;
        let kind = std::fs::metadata(identity).map_err(unreadable)?;
        // A pipe would keep the reader waiting for good.
        if !kind.is_file() {
            return Err(Missing::Unreadable("not a file".to_owned()));
        }
        let file = std::fs::File::open(identity).map_err(unreadable)?;
        let mut bytes = Vec::new();
        file.take(longest as u64 + 1)
            .read_to_end(&mut bytes)
            .map_err(unreadable)?;
        Ok(bytes)
    }
}

/// Files held in memory, for tests and tools.
#[derive(Default)]
pub struct Held(pub BTreeMap<String, Vec<u8>>);

impl Source for Held {
    fn identity(&self, name: &str) -> Result<String, Missing> {
        match self.0.contains_key(name) {
            _ if name.split('/').any(|part| part == "..") || name.starts_with('/') => Err(Missing::Outside),
            true => Ok(name.to_owned()),
            false => Err(Missing::Unreadable("no such file".to_owned())),
        }
    }

    fn bytes(&self, identity: &str, longest: usize) -> Result<Vec<u8>, Missing> {
        let bytes = self.0.get(identity).map(|b| &b[..b.len().min(longest + 1)]);
        Ok(bytes.unwrap_or_default().to_vec())
    }
}

/// Whether a text has the form of the language, whatever it means.
pub fn is_well_formed(text: &str) -> bool {
    parse(0, text).reports.is_empty()
}

/// The tokens that mean something, for comparing texts.
pub fn words(text: &str) -> Vec<(Token, &str)> {
    let all = crate::lex::tokens(text);
    let told = all.into_iter().filter(|(t, _)| !t.is_blank());
    told.map(|(t, at)| (t, &text[at])).collect()
}
