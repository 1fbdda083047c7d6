//! What may be set: sections of rows, each with unit, range, default, and what it bears on. Every part of the
//! program that lets operators set something states a section here, and gets checker, diff and reference page.

use crate::meaning::Meaning;
use crate::unit::{Quantity, Unit};
use std::fmt::Write;
use std::sync::Arc;

/// When a changed setting is taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Takes {
    Live,
    NextStart,
}

impl Takes {
    pub fn name(self) -> &'static str {
        match self {
            Takes::Live => "live",
            Takes::NextStart => "next start",
        }
    }
}

/// The rules that a setting may move the margin of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    OneAnswer,
    NoEffectTwice,
    DrainsKept,
    ColdMembers,
    NoStaleRead,
    /// Peers take nothing from one another.
    Bounds,
}

impl Rule {
    pub fn name(self) -> &'static str {
        match self {
            Rule::OneAnswer => "one final answer in time",
            Rule::NoEffectTwice => "no effect twice",
            Rule::DrainsKept => "drains kept",
            Rule::ColdMembers => "no cold member pushed over",
            Rule::NoStaleRead => "no stale read",
            Rule::Bounds => "no peer spends another's share",
        }
    }
}

/// A setting. Amounts are written as in a file; a default of `""` is none.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    pub name: &'static str,
    pub default: &'static str,
    pub range: (&'static str, &'static str),
    pub takes: Takes,
    pub bears_on: Option<Rule>,
    /// A want of which a change to this setting may cause, and which activation watches for.
    pub may_want: &'static [Want],
    pub says: &'static str,
}

/// What clients may be turned away for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Want {
    Places,
    Descriptors,
    Memory,
}

pub const WANTS: [Want; 3] = [Want::Places, Want::Descriptors, Want::Memory];

impl Want {
    pub fn name(self) -> &'static str {
        match self {
            Want::Places => "places for clients",
            Want::Descriptors => "descriptors",
            Want::Memory => "memory",
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Section {
    pub name: &'static str,
    /// What its entries are named after, where there is one for each name.
    pub key: Option<&'static str>,
    pub says: &'static str,
    pub rows: &'static [Row],
}

/// A setting as it is checked by.
#[derive(Clone, Debug)]
pub struct Bounds {
    pub unit: Unit,
    pub low: Quantity,
    pub high: Quantity,
    pub default: Option<Quantity>,
}

/// The machine that the settings are for, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    pub memory: i64,
    pub descriptors: i64,
}

/// Settings that are legal alone and not together.
pub struct Conflict {
    /// The settings at fault, as section, key and row; the last one set is where the fault is told.
    pub paths: Vec<Path>,
    pub reason: String,
    pub warning: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Path {
    pub section: usize,
    pub key: Option<Arc<str>>,
    pub row: usize,
}

pub type Check = fn(&Registry, &Meaning, Machine) -> Vec<Conflict>;

pub struct Registry {
    pub sections: Vec<Section>,
    pub bounds: Vec<Vec<Bounds>>,
    pub checks: Vec<Check>,
}

fn amount(text: &str) -> Quantity {
    // The tables are the program's own; a test reads them all.
    Quantity::read(text).unwrap_or(Quantity::new(Unit::Count, i64::MIN))
}

impl Registry {
    pub fn new(sections: &[Section], checks: &[Check]) -> Registry {
        let bounds = |row: &Row| {
            let (low, high) = (amount(row.range.0), amount(row.range.1));
            let default = (!row.default.is_empty()).then(|| amount(row.default));
            let unit = low.unit;
            Bounds {
                unit,
                low,
                high,
                default,
            }
        };
        let bounds = sections.iter().map(|s| s.rows.iter().map(bounds).collect());
        Registry {
            sections: sections.to_vec(),
            bounds: bounds.collect(),
            checks: checks.to_vec(),
        }
    }

    /// Section and row of a setting.
    pub fn find(&self, section: &str, row: &str) -> Option<(usize, usize)> {
        let s = self.sections.iter().position(|s| s.name == section)?;
        let r = self.sections[s].rows.iter().position(|r| r.name == row)?;
        Some((s, r))
    }

    pub fn row(&self, path: &Path) -> &Row {
        &self.sections[path.section].rows[path.row]
    }

    /// As messages write it: `clients.rest`, `workload("history").timeout`.
    pub fn written(&self, path: &Path) -> String {
        let section = &self.sections[path.section];
        match &path.key {
            None => format!("{}.{}", section.name, section.rows[path.row].name),
            Some(key) => format!("{}({key:?}).{}", section.name, section.rows[path.row].name),
        }
    }

    /// The page that lists everything that may be set.
    pub fn reference(&self) -> String {
        let mut out = String::from(
            "# Settings\n\nWritten by `asterlatch config reference`; a test compares the two. Every setting has its \
             default without a file.\n",
        );
        for (section, bounds) in self.sections.iter().zip(&self.bounds) {
            let head = match section.key {
                None => section.name.to_owned(),
                Some(key) => format!("{}({key}, ...)", section.name),
            };
            let _ = write!(
                out,
                "\n## `{head}`\n\n{}\n\n| setting | unit | range | default | taken over | bears on | what it says |\n\
                 | --- | --- | --- | --- | --- | --- | --- |\n",
                section.says
            );
            for (row, b) in section.rows.iter().zip(bounds) {
                let default = b.default.map_or("none".to_owned(), |d| format!("`{d}`"));
                let bears = row.bears_on.map_or("", Rule::name);
                let _ = writeln!(
                    out,
                    "| `{}` | {} | `{}` to `{}` | {default} | {} | {bears} | {} |",
                    row.name,
                    b.unit.name().trim_start_matches("a "),
                    b.low,
                    b.high,
                    row.takes.name(),
                    row.says
                );
            }
        }
        out
    }
}
