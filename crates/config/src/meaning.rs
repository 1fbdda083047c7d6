//! What files come to: every setting resolved, in one order, whatever order and form it was written in.

use crate::eval::Stated;
use crate::registry::{Path, Registry, Row, Takes};
use crate::report::{nearest, Place, Report};
use crate::unit::Quantity;
use crate::value::Value;
use serde_json::{Map, Value as Json};
use sha2::{Digest, Sha256};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The amounts of one section or entry, by row.
type Amounts = Vec<Option<Quantity>>;

/// Entries of a section; the one key of a section without keys is empty.
type Entries = BTreeMap<Arc<str>, Amounts>;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Meaning {
    sections: Vec<Entries>,
}

/// Where each setting that a file states was stated.
pub type Places = BTreeMap<Path, Place>;

/// How many entries a section may have: each is kept for as long as the settings are.
pub const MOST_ENTRIES: usize = 20_000;
/// The longest key of an entry.
pub const LONGEST_KEY: usize = 128;

impl Meaning {
    /// What holds without a file.
    pub fn default_of(registry: &Registry) -> Meaning {
        let all = registry.sections.iter().zip(&registry.bounds);
        let first = |(section, bounds): (&crate::registry::Section, &Vec<crate::registry::Bounds>)| {
            let amounts = bounds.iter().map(|b| b.default).collect();
            match section.key {
                None => Entries::from([(Arc::from(""), amounts)]),
                Some(_) => Entries::new(),
            }
        };
        Meaning {
            sections: all.map(first).collect(),
        }
    }

    /// Puts together what the files state; faults go to the reports.
    pub fn of(registry: &Registry, stated: &[Stated], report: &mut impl FnMut(Report)) -> (Meaning, Places) {
        let mut meaning = Meaning::default_of(registry);
        let mut places = Places::new();
        let mut keys: BTreeMap<(usize, Arc<str>), Place> = BTreeMap::new();
        for one in stated {
            let section = &registry.sections[one.section];
            let key = match &one.key {
                None => Arc::from(""),
                Some((key, at)) => {
                    if key.is_empty() || key.len() > LONGEST_KEY || key.chars().any(char::is_control) {
                        let message =
                            format!("a name has 1 to {LONGEST_KEY} bytes and no control characters");
                        report(Report::error(*at, message));
                        continue;
                    }
                    let own: Arc<str> = Arc::from(&**key);
                    if let Some(before) = keys.insert((one.section, own.clone()), *at) {
                        let message = format!("{}({key:?}) is stated a second time", section.name);
                        report(Report::error(*at, message).beside(before, "first stated here"));
                        continue;
                    }
                    if keys.len() > MOST_ENTRIES {
                        report(Report::error(*at, format!("more than {MOST_ENTRIES} entries")));
                        return (meaning, places);
                    }
                    own
                }
            };
            let first = || registry.bounds[one.section].iter().map(|b| b.default).collect();
            let amounts = meaning.sections[one.section]
                .entry(key.clone())
                .or_insert_with(first);
            for (name, value, at) in &one.settings {
                let Some(row) = section.rows.iter().position(|r| *r.name == *name.name) else {
                    report(unknown(section.name, section.rows, &name.name, name.place));
                    continue;
                };
                let path = Path {
                    section: one.section,
                    key: one.key.as_ref().map(|_| key.clone()),
                    row,
                };
                match amount(registry, &path, value, *at) {
                    Ok(amount) => amounts[row] = amount,
                    Err(None) => {}
                    Err(Some(fault)) => report(*fault),
                }
                if let Some(before) = places.insert(path.clone(), *at) {
                    let message = format!("{} is set a second time", registry.written(&path));
                    report(Report::error(*at, message).beside(before, "first set here"));
                }
            }
        }
        (meaning, places)
    }

    pub fn at(&self, path: &Path) -> Option<Quantity> {
        let entry = self.sections[path.section].get(path.key.as_deref().unwrap_or_default())?;
        entry[path.row]
    }

    /// The amount of a setting that has a default, in the base of its unit.
    pub fn amount(&self, registry: &Registry, section: &str, row: &str) -> i64 {
        let at = registry.find(section, row);
        debug_assert!(at.is_some(), "no setting {section}.{row}");
        let found = at.and_then(|(s, r)| self.sections[s].get("")?.get(r).copied()?);
        found.map_or(0, |q| q.amount)
    }

    /// The entries of a section that has one for each name.
    pub fn entries(
        &self,
        registry: &Registry,
        section: &str,
    ) -> impl Iterator<Item = (&str, &[Option<Quantity>])> {
        let at = registry.sections.iter().position(|s| s.name == section);
        let entries = at.into_iter().flat_map(|s| &self.sections[s]);
        entries.map(|(key, amounts)| (&**key, amounts.as_slice()))
    }

    /// All settings with their amounts, in the order of the registry and of their keys.
    pub fn all<'a>(&'a self, registry: &'a Registry) -> impl Iterator<Item = (Path, Option<Quantity>)> + 'a {
        self.sections.iter().enumerate().flat_map(move |(s, entries)| {
            let keyed = registry.sections[s].key.is_some();
            entries.iter().flat_map(move |(key, amounts)| {
                amounts.iter().enumerate().map(move |(row, amount)| {
                    let key = keyed.then(|| key.clone());
                    (Path { section: s, key, row }, *amount)
                })
            })
        })
    }

    /// The same for the same meaning, and only for that.
    pub fn canonical(&self, registry: &Registry) -> String {
        let row = |(row, amount): (&Row, &Option<Quantity>)| {
            let written = amount.map_or(Json::Null, |q| Json::String(q.to_string()));
            (row.name.to_owned(), written)
        };
        let mut all = Map::new();
        for (section, entries) in registry.sections.iter().zip(&self.sections) {
            let object =
                |amounts: &Amounts| Json::Object(section.rows.iter().zip(amounts).map(row).collect());
            let value = match section.key {
                None => entries.get("").map_or(Json::Null, object),
                Some(_) => Json::Object(entries.iter().map(|(k, a)| (k.to_string(), object(a))).collect()),
            };
            all.insert(section.name.to_owned(), value);
        }
        let mut text = serde_json::to_string_pretty(&Json::Object(all)).unwrap_or_default();
        text.push('\n');
        text
    }

    /// Reads what `canonical` wrote, here or in a neighbouring version: settings that this program doesn't know are
    /// told, those that the text doesn't know have their default.
    pub fn from_canonical(registry: &Registry, text: &str) -> Result<(Meaning, Vec<String>), String> {
        let value: Json = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let sections = value.as_object().ok_or("not an object")?;
        let (mut meaning, mut left_out) = (Meaning::default_of(registry), Vec::new());
        for (name, value) in sections {
            let Some(s) = registry.sections.iter().position(|s| s.name == name) else {
                left_out.push(name.clone());
                continue;
            };
            let value = value.as_object().ok_or_else(|| format!("{name} is no object"))?;
            let entries: Vec<(&str, &Map<String, Json>)> = match registry.sections[s].key {
                None => vec![("", value)],
                Some(_) => {
                    if !value.values().all(Json::is_object) {
                        return Err(format!("{name} has an entry that is no object"));
                    }
                    value
                        .iter()
                        .filter_map(|(k, v)| Some((k.as_str(), v.as_object()?)))
                        .collect()
                }
            };
            for (key, rows) in entries {
                let first = || registry.bounds[s].iter().map(|b| b.default).collect();
                let amounts: &mut Amounts = meaning.sections[s].entry(Arc::from(key)).or_insert_with(first);
                for (row, value) in rows {
                    let Some(r) = registry.sections[s]
                        .rows
                        .iter()
                        .position(|known| known.name == row)
                    else {
                        left_out.push(format!("{name}.{row}"));
                        continue;
                    };
                    let bounds = &registry.bounds[s][r];
                    let within = |q: &Quantity| {
                        q.unit == bounds.unit && (bounds.low.amount..=bounds.high.amount).contains(&q.amount)
                    };
                    amounts[r] = match value {
                        Json::Null if bounds.default.is_none() => None,
                        Json::String(text) => {
                            let read = Quantity::read(text).ok().filter(within);
                            Some(read.ok_or_else(|| format!("{name}.{row} can't be {text}"))?)
                        }
                        _ => return Err(format!("{name}.{row} is no text")),
                    };
                }
            }
        }
        Ok((meaning, left_out))
    }
}

/// The hash by which meanings are told apart and stored ones are known to be whole.
pub fn hash(text: &str) -> String {
    let bytes = Sha256::digest(text.as_bytes());
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn unknown(section: &str, rows: &[Row], name: &str, place: Place) -> Report {
    let report = Report::error(place, format!("'{section}' has no setting '{name}'"));
    match nearest(name, rows.iter().map(|r| r.name)) {
        Some(near) => report.help(format!("'{near}' was meant?")),
        None => {
            let all: Vec<_> = rows.iter().map(|r| r.name).collect();
            report.help(format!("it has {}", all.join(", ")))
        }
    }
}

/// The amount that a value gives a setting, or why it can't; a broken value was told before.
fn amount(
    registry: &Registry,
    path: &Path,
    value: &Value,
    place: Place,
) -> Result<Option<Quantity>, Option<Box<Report>>> {
    let bounds = &registry.bounds[path.section][path.row];
    let (name, unit) = (registry.written(path), bounds.unit);
    let fault = |message: String| Err(Some(Box::new(Report::error(place, message))));
    match value {
        Value::Broken => Err(None),
        Value::None if bounds.default.is_none() => Ok(None),
        Value::Quantity(q) if q.unit == unit => {
            if (bounds.low.amount..=bounds.high.amount).contains(&q.amount) {
                return Ok(Some(*q));
            }
            fault(format!("{name} is {} to {}, not {q}", bounds.low, bounds.high))
        }
        Value::Quantity(q) => {
            let found = match q.unit {
                crate::unit::Unit::Count => format!("the bare number {q}"),
                other => format!("{} ({q})", other.name()),
            };
            let message = format!(
                "{name} is {}, such as {}, not {found}",
                unit.name(),
                unit.example()
            );
            fault(message)
        }
        other => fault(format!("{name} is {}, not {}", unit.name(), other.name())),
    }
}

/// One setting that two meanings differ in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub path: Path,
    /// Missing where the entry isn't there; nothing inside where the setting is none.
    pub old: Option<Option<Quantity>>,
    pub new: Option<Option<Quantity>>,
}

/// What changes from one meaning to the next, in the order of the registry and of the keys.
pub fn changes(registry: &Registry, old: &Meaning, new: &Meaning) -> Vec<Change> {
    let mut all = Vec::new();
    for (section, (a, b)) in old.sections.iter().zip(&new.sections).enumerate() {
        let keyed = registry.sections[section].key.is_some();
        let rows = registry.sections[section].rows.len();
        let mut differ = |key: &Arc<str>, a: Option<&Amounts>, b: Option<&Amounts>| {
            for row in 0..rows {
                let (old, new) = (a.map(|a| a[row]), b.map(|b| b[row]));
                if old != new {
                    let key = keyed.then(|| key.clone());
                    let path = Path { section, key, row };
                    all.push(Change { path, old, new });
                }
            }
        };
        // Both are in the order of their keys, so one walk finds what they share.
        let (mut a, mut b) = (a.iter().peekable(), b.iter().peekable());
        loop {
            let order = match (a.peek(), b.peek()) {
                (Some((x, _)), Some((y, _))) => x.cmp(y),
                (Some(_), None) => Ordering::Less,
                (None, Some(_)) => Ordering::Greater,
                (None, None) => break,
            };
            let left = a.next_if(|_| order.is_le());
            let right = b.next_if(|_| order.is_ge());
            if let Some((key, _)) = left.or(right) {
                differ(key, left.map(|(_, v)| v), right.map(|(_, v)| v));
            }
        }
    }
    all
}

impl Change {
    /// One line: path, old and new amount, when it is taken over, and the rule whose margin it moves.
    pub fn written(&self, registry: &Registry) -> String {
        let amount = |a: &Option<Option<Quantity>>| match a {
            None => "not there".to_owned(),
            Some(None) => "none".to_owned(),
            Some(Some(q)) => q.to_string(),
        };
        let row = registry.row(&self.path);
        let bears = row
            .bears_on
            .map_or(String::new(), |r| format!("; bears on: {}", r.name()));
        format!(
            "{}: {} -> {} ({}{bears})",
            registry.written(&self.path),
            amount(&self.old),
            amount(&self.new),
            row.takes.name()
        )
    }

    pub fn is_live(&self, registry: &Registry) -> bool {
        registry.row(&self.path).takes == Takes::Live
    }
}
