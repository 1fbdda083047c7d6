//! Reads the settings of a deployment, from nested JSON or from text with one key a line. Both become one map of keys, so
//! that every host decides alike. Unknown keys are skipped.
//!
//! | key | meaning | field |
//! | --- | --- | --- |
//! | `peers_total` | drivers in the fleet | `Settings::driver_count` |
//! | `tick_us` | granularity of timers | `Settings::tick` |
//! | `categories.N.name` | name of a workload | `Decoding::workloads` |
//! | `categories.N.worth`, `.late_worth` | value of an answer, share of a late one | `importance`, `late_share` |
//! | `categories.N.objective_us` | SLO time | `slo_time` |
//! | `categories.N.give_up_us` | how long clients wait | `max_client_wait` |
//! | `categories.N.idempotency` | `retryable`, `dedup` or `fragile` | `retry_safety` |
//! | `categories.N.key_scope`, `.window_us` | where and how long further executions are dropped | `deduplication_scope`, `deduplication_window` |
//! | `family_info.freshness` | by workload: `loose`, `recent`, `own_writes`, `latest` or `update` | `freshness` |
//! | `family_info.staleness_bound_us` | by workload: bound of `recent` | `Freshness::Bounded` |
//! | `family_info.behind` | whether members reject reads that they are too far behind for | `members_check_reads` |
//! | `family_info.tokens` | `router`: drivers remember sessions' writes | `carries_session_position` |
//! | `family_info.counted_from_us`, `.answers_stamped` | origin of positions, and whether answers carry them | `Decoding::epoch`, `positions` |
//! | `parties.N.quota_per_s`, `over_share_worth` | tenants' quotas, importance beyond them | `tenant_quotas`, `over_quota_share` |
//! | `discovery`, `rules.ask_within_us` | `ask`: the endpoint list is polled, this often | `poll_endpoint_list`, `max_poll_interval` |
//! | `rules.gone_is_advice` | a member that the list calls gone may be used | `may_use_gone_members` |
//! | `rules.cold_from`, `.warm_within_us` | capacity at a start, time to full capacity | `cold_start_fraction`, `warm_up_time` |
//! | `rules.tip_multiple`, `.fall_us` | overload of a warming member | `overload_multiple`, `overload_window` |
//! | `limits.try_limit`, `.cancel`, `.probes` | executions a statement, cancellations, health checks | `max_executions`, `cancel_allowed`, `health_checks_allowed` |
//! | `limits.conn_idle_us`, `.connect_timeout_us` | idle connections, time to establish one | `idle_connection_timeout`, `Decoding::connect_timeout` |
//! | `limits.retry_after`, `.max_retry_after_us` | whether and how long clients follow a retry-after time | `max_retry_after` |
//! | `report.how`, `report.fields` | load reports and their fields (`x0`: position, `x1`: role) | `Decoding` |
//! | `zones` | names of the zones | `Decoding::zones` |

use asterlatch::interface::{DeduplicationScope, Freshness, RetrySafety, Settings, WorkloadSettings};
use asterlatch::time::{TimeSpan, Timestamp};
use serde_json::Value;
use std::collections::BTreeMap;
use std::str::FromStr;

/// Settings that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A line of text has no `=`.
    #[error("setting without a value: '{0}'")]
    MissingValue(String),
    /// The JSON value is no object.
    #[error("the settings are not an object")]
    NotAnObject,
    /// A value has another type than its key.
    #[error("setting {key} has the unreadable value '{value}'")]
    UnreadableValue {
        /// The key.
        key: String,
        /// Its value.
        value: String,
    },
    /// A workload's staleness bound is no number.
    #[error("unreadable staleness bound '{0}'")]
    UnreadableBound(String),
    /// A workload's freshness is unknown.
    #[error("unknown freshness '{0}'")]
    UnknownFreshness(String),
    /// A workload's idempotency is unknown.
    #[error("unknown idempotency '{0}'")]
    UnknownIdempotency(String),
}

/// What a host needs to decode the deployment's protocol; the policy doesn't depend on it.
#[derive(Clone, Debug, PartialEq)]
pub struct Decoding {
    /// Origin of positions.
    pub epoch: Timestamp,
    /// Index of the position among the report's fields.
    pub position_field: Option<usize>,
    /// Index of the role among the report's fields.
    pub role_field: Option<usize>,
    /// Answers carry positions.
    pub positions: bool,
    /// Names of the workloads, by index.
    pub workloads: Vec<String>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// Names of a load report's fields.
    pub report_fields: Vec<String>,
    /// Members send load reports.
    pub reported: bool,
    /// Time within which a connection to a member has to be established.
    pub connect_timeout: TimeSpan,
}

/// Values by key; keys of nested objects are joined by dots.
pub struct Pairs(BTreeMap<String, String>);

impl Pairs {
    /// Reads lines of `key=value`.
    ///
    /// # Errors
    /// If a line has no `=`.
    pub fn from_text(text: &str) -> Result<Pairs, SettingsError> {
        let mut map = BTreeMap::new();
        for line in text.lines().filter(|l| !l.trim().is_empty()) {
            let pair = line.split_once('=');
            let (key, value) = pair.ok_or_else(|| SettingsError::MissingValue(line.to_owned()))?;
            map.insert(key.trim().to_owned(), value.trim().to_owned());
        }
        Ok(Pairs(map))
    }

    /// Reads a JSON object.
    ///
    /// # Errors
    /// If the value is no object.
    pub fn from_json(value: &Value) -> Result<Pairs, SettingsError> {
        if !value.is_object() {
            return Err(SettingsError::NotAnObject);
        }
        let mut map = BTreeMap::new();
        flatten(value, "", &mut map);
        Ok(Pairs(map))
    }

    fn text(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str).filter(|v| !v.is_empty())
    }

    fn value<T: FromStr>(&self, key: &str, absent: T) -> Result<T, SettingsError> {
        let Some(text) = self.text(key) else {
            return Ok(absent);
        };
        text.parse().map_err(|_| SettingsError::UnreadableValue {
            key: key.to_owned(),
            value: text.to_owned(),
        })
    }

    fn span(&self, key: &str, absent: TimeSpan) -> Result<TimeSpan, SettingsError> {
        Ok(TimeSpan(self.value::<f64>(key, absent.0 as f64)?.max(0.0) as u64))
    }

    fn flag(&self, key: &str, absent: bool) -> Result<bool, SettingsError> {
        self.value(key, absent)
    }

    fn list(&self, key: &str) -> Vec<&str> {
        self.text(key).map(|v| v.split(',').collect()).unwrap_or_default()
    }
}

/// A name as text settings write it, where lists are joined by commas.
pub fn word(name: &str) -> String {
    name.replace([' ', ','], "_")
}

fn plain(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(s) => word(s),
        other => other.to_string(),
    }
}

/// Lists of objects are counted and numbered, other lists joined by commas: the form of text settings.
fn flatten(value: &Value, path: &str, map: &mut BTreeMap<String, String>) {
    let below = |name: &str| match path {
        "" => name.to_owned(),
        _ => format!("{path}.{name}"),
    };
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                flatten(field, &below(name), map);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            map.insert(below("count"), items.len().to_string());
            for (index, item) in items.iter().enumerate() {
                flatten(item, &below(&index.to_string()), map);
            }
        }
        Value::Array(items) => {
            let joined: Vec<_> = items.iter().map(plain).collect();
            map.insert(path.to_owned(), joined.join(","));
        }
        other => {
            map.insert(path.to_owned(), plain(other));
        }
    }
}

/// Settings of the workload with this index.
struct WorkloadReader<'a> {
    pairs: &'a Pairs,
    index: usize,
}

impl WorkloadReader<'_> {
    fn key(&self, name: &str) -> String {
        format!("categories.{}.{name}", self.index)
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.pairs.text(&self.key(name))
    }

    /// This workload's item of a list over all workloads.
    fn listed(&self, key: &str) -> Option<&str> {
        self.pairs.list(key).get(self.index).copied()
    }

    fn read(&self) -> Result<WorkloadSettings, SettingsError> {
        let slo_time = self.pairs.span(&self.key("objective_us"), TimeSpan::default())?;
        let freshness = self.freshness()?;
        let retry_safety = self.retry_safety()?;
        Ok(WorkloadSettings {
            importance: self.pairs.value(&self.key("worth"), 1.0)?,
            late_share: self.pairs.value(&self.key("late_worth"), 0.0)?,
            slo_time,
            retry_safety,
            deduplication_scope: match self.text("key_scope") {
                Some("all") => DeduplicationScope::All,
                Some("zone") => DeduplicationScope::Zone,
                _ => DeduplicationScope::Group,
            },
            deduplication_window: self.pairs.span(&self.key("window_us"), TimeSpan::default())?,
            freshness,
        })
    }

    fn freshness(&self) -> Result<Freshness, SettingsError> {
        match self.listed("family_info.freshness").unwrap_or("update") {
            "loose" => Ok(Freshness::Any),
            "recent" => Ok(Freshness::Bounded(self.staleness_bound()?)),
            "own_writes" => Ok(Freshness::Session),
            "latest" => Ok(Freshness::Fresh),
            "update" => Ok(Freshness::Write),
            other => Err(SettingsError::UnknownFreshness(other.to_owned())),
        }
    }

    fn staleness_bound(&self) -> Result<TimeSpan, SettingsError> {
        let text = self.listed("family_info.staleness_bound_us").unwrap_or("0");
        let microseconds = text.parse::<f64>();
        let microseconds = microseconds.map_err(|_| SettingsError::UnreadableBound(text.to_owned()))?;
        Ok(TimeSpan(microseconds as u64))
    }

    fn retry_safety(&self) -> Result<RetrySafety, SettingsError> {
        match self.text("idempotency").unwrap_or("fragile") {
            "retryable" => Ok(RetrySafety::Idempotent),
            "dedup" => Ok(RetrySafety::Deduplicated),
            "fragile" => Ok(RetrySafety::NonIdempotent),
            other => Err(SettingsError::UnknownIdempotency(other.to_owned())),
        }
    }
}

/// Reads the settings.
///
/// # Errors
/// If a value can't be read; the first one found is named.
pub fn read(pairs: &Pairs) -> Result<(Settings, Decoding), SettingsError> {
    let settings = read_settings(pairs)?;
    let decoding = read_decoding(pairs, settings.workloads.len())?;
    Ok((settings, decoding))
}

fn read_settings(pairs: &Pairs) -> Result<Settings, SettingsError> {
    let mut workloads = Vec::new();
    for index in 0..pairs.value("categories.count", 0usize)? {
        workloads.push(WorkloadReader { pairs, index }.read()?);
    }
    let mut tenant_quotas = Vec::new();
    for index in 0..pairs.value("parties.count", 0usize)? {
        let key = format!("parties.{index}.quota_per_s");
        tenant_quotas.push(pairs.value(&key, f64::INFINITY)?);
    }
    let max_client_wait = max_client_wait(pairs, workloads.len())?;
    let has_retry_after = pairs.flag("limits.retry_after", true)?;
    Ok(Settings {
        driver_count: pairs.value("peers_total", 1u32)?.max(1),
        tick: pairs.span("tick_us", TimeSpan::millis(1))?,
        workloads,
        tenant_quotas,
        over_quota_share: pairs.value("over_share_worth", 1.0)?,
        members_check_reads: !matches!(pairs.text("family_info.behind"), None | Some("off")),
        carries_session_position: pairs.text("family_info.tokens") != Some("router"),
        poll_endpoint_list: pairs.text("discovery") == Some("ask"),
        max_poll_interval: pairs.span("rules.ask_within_us", TimeSpan::millis(10_000))?,
        may_use_gone_members: pairs.flag("rules.gone_is_advice", false)?,
        cold_start_fraction: pairs.value("rules.cold_from", 1.0)?,
        warm_up_time: pairs.span("rules.warm_within_us", TimeSpan::default())?,
        overload_multiple: pairs.value("rules.tip_multiple", f64::INFINITY)?,
        overload_window: pairs.span("rules.fall_us", TimeSpan::millis(2000))?,
        max_executions: pairs.value("limits.try_limit", 1usize)?.max(1),
        idle_connection_timeout: pairs.span("limits.conn_idle_us", TimeSpan::millis(15_000))?,
        cancel_allowed: pairs.flag("limits.cancel", false)?,
        health_checks_allowed: pairs.flag("limits.probes", false)?,
        max_retry_after: if has_retry_after {
            pairs.span("limits.max_retry_after_us", TimeSpan::default())?
        } else {
            TimeSpan(0)
        },
        max_client_wait,
    })
}

/// The longest time for which clients of any workload wait, where that is stated for any.
fn max_client_wait(pairs: &Pairs, workloads: usize) -> Result<Option<TimeSpan>, SettingsError> {
    let mut longest = TimeSpan(0);
    for index in 0..workloads {
        let key = format!("categories.{index}.give_up_us");
        longest = longest.max(pairs.span(&key, TimeSpan(0))?);
    }
    Ok(Some(longest).filter(|longest| *longest > TimeSpan(0)))
}

fn read_decoding(pairs: &Pairs, workloads: usize) -> Result<Decoding, SettingsError> {
    let fields = pairs.list("report.fields");
    let reported = pairs.text("report.how") != Some("off");
    let field = |name| fields.iter().position(|field| reported && *field == name);
    let owned = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    let names = (0..workloads).map(|index| pairs.text(&format!("categories.{index}.name")));
    Ok(Decoding {
        workloads: names.map(|name| name.unwrap_or_default().to_owned()).collect(),
        zones: owned(&pairs.list("zones")),
        report_fields: owned(&fields),
        reported,
        connect_timeout: pairs.span("limits.connect_timeout_us", TimeSpan::millis(250))?,
        epoch: Timestamp(pairs.value("family_info.counted_from_us", 0)?),
        position_field: field("x0"),
        role_field: field("x1"),
        positions: pairs.flag("family_info.answers_stamped", false)?,
    })
}
