//! What is wrong and where, as `file:line:column: message` with the line itself.

use std::fmt::Write;

/// A stretch of a file's text, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceLocation {
    pub file: u32,
    pub start: u32,
    pub end: u32,
}

impl SourceLocation {
    pub fn to(self, last: SourceLocation) -> SourceLocation {
        SourceLocation {
            end: last.end,
            ..self
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    Error,
    /// Legal and unwise.
    Warning,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    pub severity: Severity,
    pub location: SourceLocation,
    pub message: String,
    /// What would mend it.
    pub help: Option<String>,
    /// Other places that have to do with it, each with its part in it.
    pub related: Vec<(SourceLocation, String)>,
}

impl Diagnostic {
    pub fn error(location: SourceLocation, message: impl Into<String>) -> Diagnostic {
        Diagnostic {
            severity: Severity::Error,
            location,
            message: message.into(),
            help: None,
            related: Vec::new(),
        }
    }

    pub fn with_help(mut self, help: impl Into<String>) -> Diagnostic {
        self.help = Some(help.into());
        self
    }

    pub fn with_related(mut self, location: SourceLocation, part: impl Into<String>) -> Diagnostic {
        self.related.push((location, part.into()));
        self
    }
}

/// A file as messages show it: its name as the operators know it, and its text.
#[derive(Clone, Debug, Default)]
pub struct SourceFile {
    pub name: String,
    pub text: String,
}

/// More of a line than this is not shown.
const WIDEST: usize = 160;

impl SourceFile {
    /// Line and column, counted from one, columns in characters.
    pub fn line_and_column(&self, start: u32) -> (usize, usize) {
        let start = (start as usize).min(self.text.len());
        let before = self.text.get(..start).unwrap_or_default();
        let line_start = before.rfind('\n').map_or(0, |n| n + 1);
        let line = before.bytes().filter(|b| *b == b'\n').count() + 1;
        (line, before[line_start..].chars().count() + 1)
    }

    fn line(&self, start: u32) -> &str {
        let start = (start as usize).min(self.text.len());
        let before = self.text.get(..start).unwrap_or_default();
        let from = before.rfind('\n').map_or(0, |n| n + 1);
        let line = self.text[from..].lines().next().unwrap_or_default();
        line.trim_end()
    }
}

/// The characters of a line as they may be shown: nothing in a file steers the operator's terminal.
fn shown(line: &str) -> String {
    let tame = |c: char| match c {
        '\t' => ' ',
        c if c.is_control() => '\u{fffd}',
        c => c,
    };
    line.chars().take(WIDEST).map(tame).collect()
}

fn put_line(out: &mut String, files: &[SourceFile], location: SourceLocation) {
    let Some(file) = files.get(location.file as usize) else {
        return;
    };
    let (_, column) = file.line_and_column(location.start);
    let line = shown(file.line(location.start));
    if column > WIDEST {
        return;
    }
    let left = line.chars().count().saturating_sub(column - 1).max(1);
    let marked = file.text.get(location.start as usize..location.end as usize);
    let marked = marked.and_then(|m| m.lines().next()).unwrap_or_default();
    let wide = marked.chars().count().clamp(1, left);
    let _ = writeln!(
        out,
        "    {line}\n    {}{}",
        " ".repeat(column - 1),
        "^".repeat(wide)
    );
}

fn head(files: &[SourceFile], location: SourceLocation) -> String {
    match files.get(location.file as usize) {
        Some(file) => {
            let (line, column) = file.line_and_column(location.start);
            format!("{}:{line}:{column}", file.name)
        }
        None => "?:1:1".to_owned(),
    }
}

/// One report as text, which ends its last line.
pub fn render(diagnostic: &Diagnostic, files: &[SourceFile]) -> String {
    let mut out = String::new();
    let mark = match diagnostic.severity {
        Severity::Error => "",
        Severity::Warning => "warning: ",
    };
    let message: String = diagnostic.message.chars().take(600).collect();
    let _ = writeln!(
        out,
        "{}: {mark}{}",
        head(files, diagnostic.location),
        shown_text(&message)
    );
    put_line(&mut out, files, diagnostic.location);
    for (location, part) in &diagnostic.related {
        let _ = writeln!(out, "  {}: {}", head(files, *location), shown_text(part));
    }
    if let Some(help) = &diagnostic.help {
        let _ = writeln!(out, "  help: {}", shown_text(help));
    }
    out
}

fn shown_text(text: &str) -> String {
    text.chars()
        .map(|c| if c.is_control() { '\u{fffd}' } else { c })
        .collect()
}

/// The known name that a misspelt one was meant for, if one is near.
pub fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    // Names are compared in time that grows with their product.
    let name: String = name.chars().take(64).collect();
    let near = |k: &'a str| Some((strsim::damerau_levenshtein(&name, k), k));
    let (distance, found) = known.into_iter().filter_map(near).min()?;
    (distance * 3 <= name.len().max(3)).then_some(found)
}
