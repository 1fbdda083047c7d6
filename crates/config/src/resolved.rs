//! Resolved settings: the value of every setting of the schema, independent of how the files state it.

use crate::diagnostic::{nearest, Diagnostic, SourceLocation};
use crate::eval::SectionStatement;
use crate::schema::{Schema, Setting, SettingPath, TakesEffect};
use crate::unit::Quantity;
use crate::value::Value;
use serde_json::{Map, Value as Json};
use sha2::{Digest, Sha256};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Amounts of a section or entry, by index of the setting; `None` is the value `None` of a setting without
/// default.
type Amounts = Vec<Option<Quantity>>;

/// Entries of a section by key; a section without keys has one entry with the empty key.
type Entries = BTreeMap<Arc<str>, Amounts>;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedSettings {
    sections: Vec<Entries>,
}

/// Source location of each setting that a file sets.
pub type SettingLocations = BTreeMap<SettingPath, SourceLocation>;

/// Bound on the entries of all keyed sections together; they stay in memory as long as the settings.
pub const MAX_ENTRIES: usize = 20_000;
/// Bound on the length of an entry's key.
pub const MAX_KEY_BYTES: usize = 128;

impl ResolvedSettings {
    /// The settings without a file.
    pub fn defaults(schema: &Schema) -> ResolvedSettings {
        let all = schema.sections.iter().zip(&schema.bounds);
        let default_entries = |(section, bounds): (&crate::schema::Section, &Vec<crate::schema::Bounds>)| {
            let amounts = bounds.iter().map(|b| b.default).collect();
            match section.key {
                None => Entries::from([(Arc::from(""), amounts)]),
                Some(_) => Entries::new(),
            }
        };
        ResolvedSettings {
            sections: all.map(default_entries).collect(),
        }
    }

    /// Checks the sections that the files set against the schema, and resolves all settings. Errors go to
    /// `report`.
    pub fn resolve(
        schema: &Schema,
        statements: &[SectionStatement],
        report: &mut impl FnMut(Diagnostic),
    ) -> (ResolvedSettings, SettingLocations) {
        let mut resolved = ResolvedSettings::defaults(schema);
        let mut locations = SettingLocations::new();
        let mut keys: BTreeMap<(usize, Arc<str>), SourceLocation> = BTreeMap::new();
        for statement in statements {
            let section = &schema.sections[statement.section_index];
            let key = match &statement.key {
                None => Arc::from(""),
                Some((key, at)) => {
                    if key.is_empty() || key.len() > MAX_KEY_BYTES || key.chars().any(char::is_control) {
                        let message =
                            format!("a name must have 1 to {MAX_KEY_BYTES} bytes and no control characters");
                        report(Diagnostic::error(*at, message));
                        continue;
                    }
                    let owned_key: Arc<str> = Arc::from(&**key);
                    if let Some(before) = keys.insert((statement.section_index, owned_key.clone()), *at) {
                        let message = format!("{}({key:?}) is already set", section.name);
                        report(Diagnostic::error(*at, message).with_related(before, "first set here"));
                        continue;
                    }
                    if keys.len() > MAX_ENTRIES {
                        report(Diagnostic::error(*at, format!("more than {MAX_ENTRIES} entries")));
                        return (resolved, locations);
                    }
                    owned_key
                }
            };
            let default_amounts = || {
                schema.bounds[statement.section_index]
                    .iter()
                    .map(|b| b.default)
                    .collect()
            };
            let amounts = resolved.sections[statement.section_index]
                .entry(key.clone())
                .or_insert_with(default_amounts);
            for (name, value, at) in &statement.settings {
                let Some(setting_index) = section.settings.iter().position(|r| *r.name == *name.name) else {
                    report(unknown_setting(
                        section.name,
                        section.settings,
                        &name.name,
                        name.location,
                    ));
                    continue;
                };
                let path = SettingPath {
                    section_index: statement.section_index,
                    key: statement.key.as_ref().map(|_| key.clone()),
                    setting_index,
                };
                match amount(schema, &path, value, *at) {
                    Ok(amount) => amounts[setting_index] = amount,
                    Err(None) => {}
                    Err(Some(error)) => report(*error),
                }
                if let Some(before) = locations.insert(path.clone(), *at) {
                    let message = format!("{} is already set", schema.format_path(&path));
                    report(Diagnostic::error(*at, message).with_related(before, "first set here"));
                }
            }
        }
        (resolved, locations)
    }

    pub fn get(&self, path: &SettingPath) -> Option<Quantity> {
        let entry = self.sections[path.section_index].get(path.key.as_deref().unwrap_or_default())?;
        entry[path.setting_index]
    }

    /// Amount of a setting with a default in a section without keys, in the base unit; 0 for an unknown
    /// setting.
    pub fn amount(&self, schema: &Schema, section: &str, setting: &str) -> i64 {
        let at = schema.find(section, setting);
        debug_assert!(at.is_some(), "no setting {section}.{setting}");
        let found = at.and_then(|(s, r)| self.sections[s].get("")?.get(r).copied()?);
        found.map_or(0, |q| q.amount)
    }

    /// Keys and amounts of the entries of a keyed section.
    pub fn entries(
        &self,
        schema: &Schema,
        section: &str,
    ) -> impl Iterator<Item = (&str, &[Option<Quantity>])> {
        let at = schema.sections.iter().position(|s| s.name == section);
        let entries = at.into_iter().flat_map(|s| &self.sections[s]);
        entries.map(|(key, amounts)| (&**key, amounts.as_slice()))
    }

    /// All settings with their amounts, in the order of the schema and of their keys.
    pub fn all<'a>(
        &'a self,
        schema: &'a Schema,
    ) -> impl Iterator<Item = (SettingPath, Option<Quantity>)> + 'a {
        self.sections.iter().enumerate().flat_map(move |(s, entries)| {
            let is_keyed = schema.sections[s].key.is_some();
            entries.iter().flat_map(move |(key, amounts)| {
                amounts.iter().enumerate().map(move |(setting_index, amount)| {
                    let key = is_keyed.then(|| key.clone());
                    (
                        SettingPath {
                            section_index: s,
                            key,
                            setting_index,
                        },
                        *amount,
                    )
                })
            })
        })
    }

    /// Canonical JSON: equal exactly for equal settings.
    pub fn canonical(&self, schema: &Schema) -> String {
        let setting = |(setting, amount): (&Setting, &Option<Quantity>)| {
            let amount_text = amount.map_or(Json::Null, |q| Json::String(q.to_string()));
            (setting.name.to_owned(), amount_text)
        };
        let mut all = Map::new();
        for (section, entries) in schema.sections.iter().zip(&self.sections) {
            let object =
                |amounts: &Amounts| Json::Object(section.settings.iter().zip(amounts).map(setting).collect());
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

    /// Parses canonical JSON of this or a neighbouring version. Returns the names of unknown settings, which
    /// are skipped; missing settings have their defaults.
    ///
    /// # Errors
    /// If the text isn't valid JSON of this form, or an amount is out of its bounds.
    pub fn from_canonical(schema: &Schema, text: &str) -> Result<(ResolvedSettings, Vec<String>), String> {
        let value: Json = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let sections = value.as_object().ok_or("not an object")?;
        let (mut resolved, mut unknown_names) = (ResolvedSettings::defaults(schema), Vec::new());
        for (name, value) in sections {
            let Some(section_index) = schema.sections.iter().position(|s| s.name == name) else {
                unknown_names.push(name.clone());
                continue;
            };
            let value = value
                .as_object()
                .ok_or_else(|| format!("{name} is not an object"))?;
            let entries: Vec<(&str, &Map<String, Json>)> = match schema.sections[section_index].key {
                None => vec![("", value)],
                Some(_) => {
                    if !value.values().all(Json::is_object) {
                        return Err(format!("{name} has an entry that is not an object"));
                    }
                    value
                        .iter()
                        .filter_map(|(k, v)| Some((k.as_str(), v.as_object()?)))
                        .collect()
                }
            };
            for (key, settings) in entries {
                let default_amounts = || schema.bounds[section_index].iter().map(|b| b.default).collect();
                let amounts: &mut Amounts = resolved.sections[section_index]
                    .entry(Arc::from(key))
                    .or_insert_with(default_amounts);
                for (setting, value) in settings {
                    let Some(setting_index) = schema.sections[section_index]
                        .settings
                        .iter()
                        .position(|known| known.name == setting)
                    else {
                        unknown_names.push(format!("{name}.{setting}"));
                        continue;
                    };
                    let bounds = &schema.bounds[section_index][setting_index];
                    let is_in_bounds = |q: &Quantity| {
                        q.unit == bounds.unit && (bounds.min.amount..=bounds.max.amount).contains(&q.amount)
                    };
                    amounts[setting_index] = match value {
                        Json::Null if bounds.default.is_none() => None,
                        Json::String(text) => {
                            let read = Quantity::parse(text).ok().filter(is_in_bounds);
                            Some(
                                read.ok_or_else(|| format!("{name}.{setting} has the invalid value {text}"))?,
                            )
                        }
                        _ => return Err(format!("{name}.{setting} is not a string")),
                    };
                }
            }
        }
        Ok((resolved, unknown_names))
    }
}

/// SHA-256 in hexadecimal: identifies settings by their canonical text, and detects damage to stored ones.
pub fn hash(text: &str) -> String {
    let bytes = Sha256::digest(text.as_bytes());
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn unknown_setting(section: &str, settings: &[Setting], name: &str, location: SourceLocation) -> Diagnostic {
    let diagnostic = Diagnostic::error(location, format!("'{section}' has no setting '{name}'"));
    match nearest(name, settings.iter().map(|r| r.name)) {
        Some(near) => diagnostic.with_help(format!("did you mean '{near}'?")),
        None => {
            let all: Vec<_> = settings.iter().map(|r| r.name).collect();
            diagnostic.with_help(format!("known settings are {}", all.join(", ")))
        }
    }
}

/// Checks a value against a setting's unit and bounds. The error is `None` if it was reported before.
fn amount(
    schema: &Schema,
    path: &SettingPath,
    value: &Value,
    location: SourceLocation,
) -> Result<Option<Quantity>, Option<Box<Diagnostic>>> {
    let bounds = &schema.bounds[path.section_index][path.setting_index];
    let (name, unit) = (schema.format_path(path), bounds.unit);
    let error = |message: String| Err(Some(Box::new(Diagnostic::error(location, message))));
    match value {
        Value::Invalid => Err(None),
        Value::None if bounds.default.is_none() => Ok(None),
        Value::Quantity(q) if q.unit == unit => {
            if (bounds.min.amount..=bounds.max.amount).contains(&q.amount) {
                return Ok(Some(*q));
            }
            error(format!(
                "{name} must be between {} and {}, found {q}",
                bounds.min, bounds.max
            ))
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
            error(message)
        }
        other => error(format!("{name} is {}, not {}", unit.name(), other.type_name())),
    }
}

/// A setting whose amount differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub path: SettingPath,
    /// `None` if the entry doesn't exist; `Some(None)` if the setting has no amount.
    pub old: Option<Option<Quantity>>,
    pub new: Option<Option<Quantity>>,
}

/// Settings that differ, in the order of the schema and of the keys.
pub fn changes(schema: &Schema, old: &ResolvedSettings, new: &ResolvedSettings) -> Vec<Change> {
    let mut all = Vec::new();
    for (section_index, (a, b)) in old.sections.iter().zip(&new.sections).enumerate() {
        let is_keyed = schema.sections[section_index].key.is_some();
        let setting_count = schema.sections[section_index].settings.len();
        let mut add_changes = |key: &Arc<str>, a: Option<&Amounts>, b: Option<&Amounts>| {
            for setting_index in 0..setting_count {
                let (old, new) = (a.map(|a| a[setting_index]), b.map(|b| b[setting_index]));
                if old != new {
                    let key = is_keyed.then(|| key.clone());
                    let path = SettingPath {
                        section_index,
                        key,
                        setting_index,
                    };
                    all.push(Change { path, old, new });
                }
            }
        };
        // Merges the two sorted lists of entries.
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
                add_changes(key, left.map(|(_, v)| v), right.map(|(_, v)| v));
            }
        }
    }
    all
}

impl Change {
    /// One line: path, old and new amount, when it takes effect, and the guarantee that it affects.
    pub fn describe(&self, schema: &Schema) -> String {
        let amount = |a: &Option<Option<Quantity>>| match a {
            None => "absent".to_owned(),
            Some(None) => "none".to_owned(),
            Some(Some(q)) => q.to_string(),
        };
        let setting = schema.setting(&self.path);
        let affects = setting
            .affects
            .map_or(String::new(), |r| format!("; bears on: {}", r.name()));
        format!(
            "{}: {} -> {} ({}{affects})",
            schema.format_path(&self.path),
            amount(&self.old),
            amount(&self.new),
            setting.takes_effect.name()
        )
    }

    pub fn is_live(&self, schema: &Schema) -> bool {
        schema.setting(&self.path).takes_effect == TakesEffect::Live
    }
}
