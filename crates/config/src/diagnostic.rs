//! Diagnostics, rendered as `file:line:column: message` with the source line.

use std::fmt::Write;

/// A byte range of a source file, which `file` gives by its number.
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
    /// The settings are valid, but likely unintended.
    Warning,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    pub severity: Severity,
    pub location: SourceLocation,
    pub message: String,
    /// A suggested fix.
    pub help: Option<String>,
    /// Related locations, each with an explanation.
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

    pub fn with_related(mut self, location: SourceLocation, explanation: impl Into<String>) -> Diagnostic {
        self.related.push((location, explanation.into()));
        self
    }
}

/// A source file: its name in diagnostics, and its text.
#[derive(Clone, Debug, Default)]
pub struct SourceFile {
    pub name: String,
    pub text: String,
}

/// Characters of a source line that are rendered.
const MAX_LINE_CHARS: usize = 160;

impl SourceFile {
    /// Line and column of a byte offset, both one-based; columns count characters.
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

/// Replaces control characters and truncates: a file's content must not control the operator's terminal.
fn printable_line(line: &str) -> String {
    let replace_control = |c: char| match c {
        '\t' => ' ',
        c if c.is_control() => '\u{fffd}',
        c => c,
    };
    line.chars().take(MAX_LINE_CHARS).map(replace_control).collect()
}

fn write_source_line(out: &mut String, files: &[SourceFile], location: SourceLocation) {
    let Some(file) = files.get(location.file as usize) else {
        return;
    };
    let (_, column) = file.line_and_column(location.start);
    let line = printable_line(file.line(location.start));
    if column > MAX_LINE_CHARS {
        return;
    }
    let max_width = line.chars().count().saturating_sub(column - 1).max(1);
    let underlined = file.text.get(location.start as usize..location.end as usize);
    let underlined = underlined.and_then(|m| m.lines().next()).unwrap_or_default();
    let width = underlined.chars().count().clamp(1, max_width);
    let _ = writeln!(
        out,
        "    {line}\n    {}{}",
        " ".repeat(column - 1),
        "^".repeat(width)
    );
}

fn format_location(files: &[SourceFile], location: SourceLocation) -> String {
    match files.get(location.file as usize) {
        Some(file) => {
            let (line, column) = file.line_and_column(location.start);
            format!("{}:{line}:{column}", file.name)
        }
        None => "?:1:1".to_owned(),
    }
}

/// Renders a diagnostic; every line ends with a newline.
pub fn render(diagnostic: &Diagnostic, files: &[SourceFile]) -> String {
    let mut out = String::new();
    let prefix = match diagnostic.severity {
        Severity::Error => "",
        Severity::Warning => "warning: ",
    };
    let message: String = diagnostic.message.chars().take(600).collect();
    let _ = writeln!(
        out,
        "{}: {prefix}{}",
        format_location(files, diagnostic.location),
        printable(&message)
    );
    write_source_line(&mut out, files, diagnostic.location);
    for (location, explanation) in &diagnostic.related {
        let _ = writeln!(
            out,
            "  {}: {}",
            format_location(files, *location),
            printable(explanation)
        );
    }
    if let Some(help) = &diagnostic.help {
        let _ = writeln!(out, "  help: {}", printable(help));
    }
    out
}

fn printable(text: &str) -> String {
    text.chars()
        .map(|c| if c.is_control() { '\u{fffd}' } else { c })
        .collect()
}

/// The known name with the smallest edit distance to a misspelt one, if it is similar enough.
pub fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    // The edit distance costs the product of the lengths.
    let name: String = name.chars().take(64).collect();
    let distance_to = |k: &'a str| Some((strsim::damerau_levenshtein(&name, k), k));
    let (distance, found) = known.into_iter().filter_map(distance_to).min()?;
    (distance * 3 <= name.len().max(3)).then_some(found)
}
