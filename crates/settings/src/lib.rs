//! Reads a deployment's settings from nested JSON or from `key=value` lines. Both forms become one flat map
//! of keys, so that equal settings resolve equally in every host. Unknown keys are ignored.
//!
//! | key | meaning | field |
//! | --- | --- | --- |
//! | `peers_total` | drivers in the fleet | `Settings::driver_count` |
//! | `tick_us` | granularity of timers | `Settings::tick` |
//! | `categories.N.name` | name of a workload | `Decoding::workload_names` |
//! | `categories.N.worth`, `.late_worth` | value of an answer, fraction of it for a late one | `importance`, `late_share` |
//! | `categories.N.objective_us` | latency objective | `slo_time` |
//! | `categories.N.give_up_us` | how long clients wait | `max_client_wait` |
//! | `categories.N.idempotency` | `retryable`, `dedup` or `fragile` | `retry_safety` |
//! | `categories.N.key_scope`, `.window_us` | scope and duration of deduplication | `deduplication_scope`, `deduplication_window` |
//! | `family_info.freshness` | by workload: `loose`, `recent`, `own_writes`, `latest` or `update` | `freshness` |
//! | `family_info.staleness_bound_us` | by workload: staleness bound of `recent` | `Freshness::Bounded` |
//! | `family_info.behind` | whether members reject reads that they are too stale to answer | `members_check_reads` |
//! | `family_info.tokens` | `router`: drivers track the sessions' write positions | `carries_session_position` |
//! | `family_info.counted_from_us`, `.answers_stamped` | origin of positions, and whether answers carry them | `Decoding::position_epoch`, `answers_carry_positions` |
//! | `parties.N.quota_per_s`, `over_share_worth` | tenants' quotas, importance factor beyond them | `tenant_quotas`, `over_quota_share` |
//! | `discovery`, `rules.ask_within_us` | `ask`: the endpoint list is polled, at least this often | `poll_endpoint_list`, `max_poll_interval` |
//! | `rules.drain_grace_us` | how long a draining member may still get statements | `Decoding::drain_grace` |
//! | `rules.gone_is_advice` | members listed as gone may be used | `may_use_gone_members` |
//! | `rules.cold_from`, `.warm_within_us` | capacity at a start, time to full capacity | `cold_start_fraction`, `warm_up_time` |
//! | `rules.tip_multiple`, `.fall_us` | overload of a warming member | `overload_multiple`, `overload_window` |
//! | `limits.try_limit`, `.cancel`, `.probes` | executions per statement, cancellations, health checks | `max_executions`, `cancel_allowed`, `health_checks_allowed` |
//! | `limits.conn_idle_us`, `.connect_timeout_us` | idle connections, time to establish one | `idle_connection_timeout`, `Decoding::connect_timeout` |
//! | `limits.retry_after`, `.max_retry_after_us` | whether clients honor a retry-after time, and up to which | `max_retry_after` |
//! | `report.how`, `report.fields` | load reports and their fields (`x0`: position, `x1`: role) | `Decoding` |
//! | `zones` | names of the zones | `Decoding::zone_names` |

use asterlatch::interface::{DeduplicationScope, Freshness, RetrySafety, Settings, WorkloadSettings};
use asterlatch::time::{TimeSpan, Timestamp};
use serde_json::Value;
use std::collections::BTreeMap;
use std::str::FromStr;

/// An error in a deployment's settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A line has no `=`.
    #[error("setting without '=': '{0}'")]
    MissingValue(String),
    /// The JSON value isn't an object.
    #[error("the settings are not an object")]
    NotAnObject,
    /// The value can't be parsed as the key's type.
    #[error("setting {key} has the invalid value '{value}'")]
    InvalidValue {
        /// The full key.
        key: String,
        /// The value as given.
        value: String,
    },
    /// A workload's staleness bound isn't a number.
    #[error("invalid staleness bound '{0}'")]
    InvalidStalenessBound(String),
    /// A workload's freshness has no such keyword.
    #[error("unknown freshness '{0}'")]
    UnknownFreshness(String),
    /// A workload's idempotency has no such keyword.
    #[error("unknown idempotency '{0}'")]
    UnknownIdempotency(String),
}

/// Settings for decoding the deployment's protocol, used by hosts; the policy doesn't depend on them.
#[derive(Clone, Debug, PartialEq)]
pub struct Decoding {
    /// Time at log position zero.
    pub position_epoch: Timestamp,
    /// Index of the log position among a load report's fields.
    pub position_field: Option<usize>,
    /// Index of the role among a load report's fields.
    pub role_field: Option<usize>,
    /// Whether members' answers carry log positions.
    pub answers_carry_positions: bool,
    /// Names of the workloads, by index.
    pub workload_names: Vec<String>,
    /// Names of the zones, by index.
    pub zone_names: Vec<String>,
    /// Names of a load report's fields.
    pub report_fields: Vec<String>,
    /// Whether members send load reports.
    pub has_load_reports: bool,
    /// Maximum time to establish a connection to a member.
    pub connect_timeout: TimeSpan,
    /// Time after a drain is announced in which its member may still get statements; `None` if not stated.
    pub drain_grace: Option<TimeSpan>,
}

/// Settings by key, where keys of nested objects are joined by dots.
pub struct SettingsMap(BTreeMap<String, String>);

impl SettingsMap {
    /// Parses lines of `key=value`; blank lines are ignored, and the last value of a key counts.
    ///
    /// # Errors
    /// If a line has no `=`.
    pub fn from_text(text: &str) -> Result<SettingsMap, SettingsError> {
        let mut map = BTreeMap::new();
        for line in text.lines().filter(|l| !l.trim().is_empty()) {
            let entry = line.split_once('=');
            let (key, value) = entry.ok_or_else(|| SettingsError::MissingValue(line.to_owned()))?;
            map.insert(key.trim().to_owned(), value.trim().to_owned());
        }
        Ok(SettingsMap(map))
    }

    /// Flattens a JSON object.
    ///
    /// # Errors
    /// If the value isn't an object.
    pub fn from_json(value: &Value) -> Result<SettingsMap, SettingsError> {
        if !value.is_object() {
            return Err(SettingsError::NotAnObject);
        }
        let mut map = BTreeMap::new();
        flatten(value, "", &mut map);
        Ok(SettingsMap(map))
    }

    fn text(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str).filter(|v| !v.is_empty())
    }

    fn value<T: FromStr>(&self, key: &str, default: T) -> Result<T, SettingsError> {
        let Some(text) = self.text(key) else {
            return Ok(default);
        };
        text.parse().map_err(|_| SettingsError::InvalidValue {
            key: key.to_owned(),
            value: text.to_owned(),
        })
    }

    fn span(&self, key: &str, default: TimeSpan) -> Result<TimeSpan, SettingsError> {
        Ok(TimeSpan(self.value::<f64>(key, default.0 as f64)?.max(0.0) as u64))
    }

    fn flag(&self, key: &str, default: bool) -> Result<bool, SettingsError> {
        self.value(key, default)
    }

    fn list(&self, key: &str) -> Vec<&str> {
        self.text(key).map(|v| v.split(',').collect()).unwrap_or_default()
    }
}

/// Replaces spaces and commas by underscores, because text settings join lists by commas.
pub fn normalize_name(name: &str) -> String {
    name.replace([' ', ','], "_")
}

fn scalar_text(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(s) => normalize_name(s),
        other => other.to_string(),
    }
}

/// Adds a JSON value in the form of text settings: a list of objects becomes a count and numbered keys, other
/// lists are joined by commas.
fn flatten(value: &Value, path: &str, map: &mut BTreeMap<String, String>) {
    let child_path = |name: &str| match path {
        "" => name.to_owned(),
        _ => format!("{path}.{name}"),
    };
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                flatten(field, &child_path(name), map);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            map.insert(child_path("count"), items.len().to_string());
            for (index, item) in items.iter().enumerate() {
                flatten(item, &child_path(&index.to_string()), map);
            }
        }
        Value::Array(items) => {
            let joined: Vec<_> = items.iter().map(scalar_text).collect();
            map.insert(path.to_owned(), joined.join(","));
        }
        other => {
            map.insert(path.to_owned(), scalar_text(other));
        }
    }
}

/// Reads the settings of the workload with this index.
struct WorkloadReader<'a> {
    map: &'a SettingsMap,
    index: usize,
}

impl WorkloadReader<'_> {
    fn key(&self, name: &str) -> String {
        format!("categories.{}.{name}", self.index)
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.map.text(&self.key(name))
    }

    /// This workload's item of a list with one item per workload.
    fn list_item(&self, key: &str) -> Option<&str> {
        self.map.list(key).get(self.index).copied()
    }

    fn read(&self) -> Result<WorkloadSettings, SettingsError> {
        let slo_time = self.map.span(&self.key("objective_us"), TimeSpan::default())?;
        let freshness = self.freshness()?;
        let retry_safety = self.retry_safety()?;
        Ok(WorkloadSettings {
            importance: self.map.value(&self.key("worth"), 1.0)?,
            late_share: self.map.value(&self.key("late_worth"), 0.0)?,
            slo_time,
            retry_safety,
            deduplication_scope: match self.text("key_scope") {
                Some("all") => DeduplicationScope::All,
                Some("zone") => DeduplicationScope::Zone,
                _ => DeduplicationScope::Group,
            },
            deduplication_window: self.map.span(&self.key("window_us"), TimeSpan::default())?,
            freshness,
        })
    }

    fn freshness(&self) -> Result<Freshness, SettingsError> {
        match self.list_item("family_info.freshness").unwrap_or("update") {
            "loose" => Ok(Freshness::Any),
            "recent" => Ok(Freshness::Bounded(self.staleness_bound()?)),
            "own_writes" => Ok(Freshness::Session),
            "latest" => Ok(Freshness::Fresh),
            "update" => Ok(Freshness::Write),
            other => Err(SettingsError::UnknownFreshness(other.to_owned())),
        }
    }

    fn staleness_bound(&self) -> Result<TimeSpan, SettingsError> {
        let text = self.list_item("family_info.staleness_bound_us").unwrap_or("0");
        let microseconds = text.parse::<f64>();
        let microseconds = microseconds.map_err(|_| SettingsError::InvalidStalenessBound(text.to_owned()))?;
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

/// Resolves the settings, with defaults for absent keys.
///
/// # Errors
/// If a value can't be parsed; only the first such value is reported.
pub fn read(map: &SettingsMap) -> Result<(Settings, Decoding), SettingsError> {
    let settings = read_settings(map)?;
    let decoding = read_decoding(map, settings.workloads.len())?;
    Ok((settings, decoding))
}

fn read_settings(map: &SettingsMap) -> Result<Settings, SettingsError> {
    let mut workloads = Vec::new();
    for index in 0..map.value("categories.count", 0usize)? {
        workloads.push(WorkloadReader { map, index }.read()?);
    }
    let mut tenant_quotas = Vec::new();
    for index in 0..map.value("parties.count", 0usize)? {
        let key = format!("parties.{index}.quota_per_s");
        tenant_quotas.push(map.value(&key, f64::INFINITY)?);
    }
    let max_client_wait = max_client_wait(map, workloads.len())?;
    let has_retry_after = map.flag("limits.retry_after", true)?;
    Ok(Settings {
        driver_count: map.value("peers_total", 1u32)?.max(1),
        tick: map.span("tick_us", TimeSpan::millis(1))?,
        workloads,
        tenant_quotas,
        over_quota_share: map.value("over_share_worth", 1.0)?,
        members_check_reads: !matches!(map.text("family_info.behind"), None | Some("off")),
        carries_session_position: map.text("family_info.tokens") != Some("router"),
        poll_endpoint_list: map.text("discovery") == Some("ask"),
        max_poll_interval: map.span("rules.ask_within_us", TimeSpan::millis(10_000))?,
        may_use_gone_members: map.flag("rules.gone_is_advice", false)?,
        cold_start_fraction: map.value("rules.cold_from", 1.0)?,
        warm_up_time: map.span("rules.warm_within_us", TimeSpan::default())?,
        overload_multiple: map.value("rules.tip_multiple", f64::INFINITY)?,
        overload_window: map.span("rules.fall_us", TimeSpan::millis(2000))?,
        max_executions: map.value("limits.try_limit", 1usize)?.max(1),
        idle_connection_timeout: map.span("limits.conn_idle_us", TimeSpan::millis(15_000))?,
        cancel_allowed: map.flag("limits.cancel", false)?,
        health_checks_allowed: map.flag("limits.probes", false)?,
        max_retry_after: if has_retry_after {
            map.span("limits.max_retry_after_us", TimeSpan::default())?
        } else {
            TimeSpan(0)
        },
        max_client_wait,
    })
}

/// The maximum client wait over all workloads; `None` if no workload states one.
fn max_client_wait(map: &SettingsMap, workload_count: usize) -> Result<Option<TimeSpan>, SettingsError> {
    let mut max_wait = TimeSpan(0);
    for index in 0..workload_count {
        let key = format!("categories.{index}.give_up_us");
        max_wait = max_wait.max(map.span(&key, TimeSpan(0))?);
    }
    Ok(Some(max_wait).filter(|max_wait| *max_wait > TimeSpan(0)))
}

fn drain_grace(map: &SettingsMap) -> Result<Option<TimeSpan>, SettingsError> {
    let key = "rules.drain_grace_us";
    if map.text(key).is_none() {
        return Ok(None);
    }
    Ok(Some(map.span(key, TimeSpan(0))?))
}

fn read_decoding(map: &SettingsMap, workload_count: usize) -> Result<Decoding, SettingsError> {
    let fields = map.list("report.fields");
    let has_load_reports = map.text("report.how") != Some("off");
    let field = |name| fields.iter().position(|field| has_load_reports && *field == name);
    let owned = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    let names = (0..workload_count).map(|index| map.text(&format!("categories.{index}.name")));
    Ok(Decoding {
        workload_names: names.map(|name| name.unwrap_or_default().to_owned()).collect(),
        zone_names: owned(&map.list("zones")),
        report_fields: owned(&fields),
        has_load_reports,
        connect_timeout: map.span("limits.connect_timeout_us", TimeSpan::millis(250))?,
        drain_grace: drain_grace(map)?,
        position_epoch: Timestamp(map.value("family_info.counted_from_us", 0)?),
        position_field: field("x0"),
        role_field: field("x1"),
        answers_carry_positions: map.flag("family_info.answers_stamped", false)?,
    })
}
