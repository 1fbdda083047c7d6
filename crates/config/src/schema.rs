//! Schema of the operators' file: sections of settings with unit, range and default. Checks, diffs and the
//! reference page derive from it.

use crate::resolved::ResolvedSettings;
use crate::unit::{Quantity, Unit};
use std::fmt::Write;
use std::sync::Arc;

/// When a changed setting takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakesEffect {
    Live,
    NextStart,
}

impl TakesEffect {
    pub fn name(self) -> &'static str {
        match self {
            TakesEffect::Live => "live",
            TakesEffect::NextStart => "next start",
        }
    }
}

/// Guarantees of the service whose safety margin a setting affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guarantee {
    OneFinalAnswer,
    NoDuplicateEffect,
    DrainsCompleted,
    NoColdMemberOverload,
    NoStaleRead,
    /// Clients and members can't exhaust each other's resources.
    ResourceShares,
}

impl Guarantee {
    pub fn name(self) -> &'static str {
        match self {
            Guarantee::OneFinalAnswer => "one final answer in time",
            Guarantee::NoDuplicateEffect => "no duplicate effect",
            Guarantee::DrainsCompleted => "drains completed",
            Guarantee::NoColdMemberOverload => "no cold member overloaded",
            Guarantee::NoStaleRead => "no stale read",
            Guarantee::ResourceShares => "no client or member exceeds its share",
        }
    }
}

/// A setting. Amounts are literals as in a file; the default `""` means none.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    pub name: &'static str,
    pub default: &'static str,
    pub range: (&'static str, &'static str),
    pub takes_effect: TakesEffect,
    pub affects: Option<Guarantee>,
    /// Resources that a change of this setting may exhaust; probation watches rejections for lack of them.
    pub may_exhaust: &'static [Resource],
    pub description: &'static str,
}

/// Resources for lack of which clients are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Resource {
    ClientSlots,
    Descriptors,
    Memory,
}

pub const RESOURCES: [Resource; 3] = [Resource::ClientSlots, Resource::Descriptors, Resource::Memory];

impl Resource {
    pub fn name(self) -> &'static str {
        match self {
            Resource::ClientSlots => "places for clients",
            Resource::Descriptors => "descriptors",
            Resource::Memory => "memory",
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Section {
    pub name: &'static str,
    /// What the key of an entry is, if the section has an entry per key.
    pub key: Option<&'static str>,
    pub description: &'static str,
    pub settings: &'static [Setting],
}

/// Unit, range and default of a setting, parsed.
#[derive(Clone, Debug)]
pub struct Bounds {
    pub unit: Unit,
    pub min: Quantity,
    pub max: Quantity,
    pub default: Option<Quantity>,
}

/// Resources of the process: bytes of memory, and file descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    pub memory: i64,
    pub descriptors: i64,
}

/// Settings that are each valid, but inconsistent with each other.
pub struct Conflict {
    /// The settings in conflict; it is reported at the one that was set last.
    pub paths: Vec<SettingPath>,
    pub reason: String,
    pub warning: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SettingPath {
    pub section_index: usize,
    pub key: Option<Arc<str>>,
    pub setting_index: usize,
}

pub type Check = fn(&Schema, &ResolvedSettings, Machine) -> Vec<Conflict>;

pub struct Schema {
    pub sections: Vec<Section>,
    pub bounds: Vec<Vec<Bounds>>,
    pub checks: Vec<Check>,
}

fn amount(text: &str) -> Quantity {
    // The literals are constants; a test parses all of them.
    Quantity::parse(text).unwrap_or(Quantity::new(Unit::Count, i64::MIN))
}

impl Schema {
    pub fn new(sections: &[Section], checks: &[Check]) -> Schema {
        let bounds = |setting: &Setting| {
            let (min, max) = (amount(setting.range.0), amount(setting.range.1));
            let default = (!setting.default.is_empty()).then(|| amount(setting.default));
            let unit = min.unit;
            Bounds {
                unit,
                min,
                max,
                default,
            }
        };
        let bounds = sections.iter().map(|s| s.settings.iter().map(bounds).collect());
        Schema {
            sections: sections.to_vec(),
            bounds: bounds.collect(),
            checks: checks.to_vec(),
        }
    }

    /// Indices of a section and a setting.
    pub fn find(&self, section: &str, setting: &str) -> Option<(usize, usize)> {
        let section_index = self.sections.iter().position(|s| s.name == section)?;
        let setting_index = self.sections[section_index]
            .settings
            .iter()
            .position(|s| s.name == setting)?;
        Some((section_index, setting_index))
    }

    pub fn setting(&self, path: &SettingPath) -> &Setting {
        &self.sections[path.section_index].settings[path.setting_index]
    }

    /// Path in diagnostics: `clients.rest`, `workload("history").timeout`.
    pub fn format_path(&self, path: &SettingPath) -> String {
        let section = &self.sections[path.section_index];
        match &path.key {
            None => format!("{}.{}", section.name, section.settings[path.setting_index].name),
            Some(key) => format!(
                "{}({key:?}).{}",
                section.name, section.settings[path.setting_index].name
            ),
        }
    }

    /// The reference page, as Markdown.
    pub fn reference(&self) -> String {
        let mut out = String::from(
            "# Settings\n\nWritten by `asterlatch config reference`; a test compares the two. Without a file \
             every setting has its default.\n",
        );
        for (section, bounds) in self.sections.iter().zip(&self.bounds) {
            let head = match section.key {
                None => section.name.to_owned(),
                Some(key) => format!("{}({key}, ...)", section.name),
            };
            let _ = write!(
                out,
                "\n## `{head}`\n\n{}\n\n\
                 | setting | unit | range | default | takes effect | bears on | description |\n\
                 | --- | --- | --- | --- | --- | --- | --- |\n",
                section.description
            );
            for (setting, b) in section.settings.iter().zip(bounds) {
                let default = b.default.map_or("none".to_owned(), |d| format!("`{d}`"));
                let affects = setting.affects.map_or("", Guarantee::name);
                let _ = writeln!(
                    out,
                    "| `{}` | {} | `{}` to `{}` | {default} | {} | {affects} | {} |",
                    setting.name,
                    b.unit.name().trim_start_matches("a "),
                    b.min,
                    b.max,
                    setting.takes_effect.name(),
                    setting.description
                );
            }
        }
        out
    }
}
