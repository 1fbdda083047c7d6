//! What may be set: sections of rows, each with unit, range, default, and what it bears on. Every part of the
//! program that lets operators set something states a section here, and gets checker, diff and reference page.

use crate::resolved::ResolvedSettings;
use crate::unit::{Quantity, Unit};
use std::fmt::Write;
use std::sync::Arc;

/// When a changed setting is taken over.
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

/// The rules that a setting may move the margin of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guarantee {
    OneAnswer,
    NoEffectTwice,
    DrainsKept,
    ColdMembers,
    NoStaleRead,
    /// Peers take nothing from one another.
    Bounds,
}

impl Guarantee {
    pub fn name(self) -> &'static str {
        match self {
            Guarantee::OneAnswer => "one final answer in time",
            Guarantee::NoEffectTwice => "no effect twice",
            Guarantee::DrainsKept => "drains kept",
            Guarantee::ColdMembers => "no cold member pushed over",
            Guarantee::NoStaleRead => "no stale read",
            Guarantee::Bounds => "no peer spends another's share",
        }
    }
}

/// A setting. Amounts are written as in a file; a default of `""` is none.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    pub name: &'static str,
    pub default: &'static str,
    pub range: (&'static str, &'static str),
    pub takes_effect: TakesEffect,
    pub affects: Option<Guarantee>,
    /// A want of which a change to this setting may cause, and which activation watches for.
    pub may_exhaust: &'static [Resource],
    pub description: &'static str,
}

/// What clients may be turned away for.
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
    /// What its entries are named after, where there is one for each name.
    pub key: Option<&'static str>,
    pub description: &'static str,
    pub settings: &'static [Setting],
}

/// A setting as it is checked by.
#[derive(Clone, Debug)]
pub struct Bounds {
    pub unit: Unit,
    pub min: Quantity,
    pub max: Quantity,
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
    // The tables are the program's own; a test reads them all.
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

    /// Section and row of a setting.
    pub fn find(&self, section: &str, setting: &str) -> Option<(usize, usize)> {
        let s = self.sections.iter().position(|s| s.name == section)?;
        let r = self.sections[s].settings.iter().position(|r| r.name == setting)?;
        Some((s, r))
    }

    pub fn setting(&self, path: &SettingPath) -> &Setting {
        &self.sections[path.section_index].settings[path.setting_index]
    }

    /// As messages write it: `clients.rest`, `workload("history").timeout`.
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
