//! Turns what a driver is told at its start into the module's settings: the bench's text and a deployment's
//! nested JSON become one map of keys, so that both hosts decide alike. Keys it doesn't know are skipped.

use asterlatch::interface::{DeduplicationScope, Freshness, RetrySafety, Settings, WorkloadSettings};
use asterlatch::time::{TimeSpan, Timestamp};
use serde_json::Value;
use std::collections::BTreeMap;
use std::str::FromStr;

pub type Fault = String;

/// What only a host needs to decode with.
#[derive(Clone, Debug, PartialEq)]
pub struct Decoding {
    pub epoch: Timestamp,
    pub position_field: Option<usize>,
    pub role_field: Option<usize>,
    pub positions: bool,
    /// Names in the order of their numbers.
    pub workloads: Vec<String>,
    pub zones: Vec<String>,
    pub report_fields: Vec<String>,
    pub reported: bool,
    pub connect_timeout: TimeSpan,
}

/// One value a path, as in the bench's text.
pub struct Pairs(BTreeMap<String, String>);

impl Pairs {
    pub fn from_text(text: &str) -> Result<Pairs, Fault> {
        let mut map = BTreeMap::new();
        for line in text.lines().filter(|l| !l.trim().is_empty()) {
            let (key, value) = line
                .split_once('=')
                .ok_or_else(|| format!("setting without a value: '{line}'"))?;
            map.insert(key.trim().to_owned(), value.trim().to_owned());
        }
        Ok(Pairs(map))
    }

    pub fn from_json(value: &Value) -> Result<Pairs, Fault> {
        let mut map = BTreeMap::new();
        match value {
            Value::Object(_) => flatten(value, "", &mut map),
            _ => return Err("the settings are not an object".to_owned()),
        }
        Ok(Pairs(map))
    }

    fn text(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str).filter(|v| !v.is_empty())
    }

    fn value<T: FromStr>(&self, key: &str, absent: T) -> Result<T, Fault> {
        match self.text(key) {
            None => Ok(absent),
            Some(v) => v
                .parse()
                .map_err(|_| format!("setting {key} has the unreadable value '{v}'")),
        }
    }

    fn span(&self, key: &str, absent: TimeSpan) -> Result<TimeSpan, Fault> {
        Ok(TimeSpan(self.value::<f64>(key, absent.0 as f64)?.max(0.0) as u64))
    }

    fn flag(&self, key: &str, absent: bool) -> Result<bool, Fault> {
        self.value(key, absent)
    }

    fn list(&self, key: &str) -> Vec<&str> {
        self.text(key).map(|v| v.split(',').collect()).unwrap_or_default()
    }
}

/// A name as the bench's text writes it, where lists are joined by commas.
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

/// Lists of objects are counted and numbered, other lists joined: the form of the bench's text.
fn flatten(value: &Value, path: &str, map: &mut BTreeMap<String, String>) {
    let below = |name: &str| match path {
        "" => name.to_owned(),
        _ => format!("{path}.{name}"),
    };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, v)| flatten(v, &below(name), map)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            map.insert(below("count"), items.len().to_string());
            let numbered = items.iter().enumerate();
            numbered.for_each(|(n, v)| flatten(v, &below(&n.to_string()), map));
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

fn workload(pairs: &Pairs, n: usize, bounds: &[&str], reads: &[&str]) -> Result<WorkloadSettings, Fault> {
    let key = |name: &str| format!("categories.{n}.{name}");
    let slo_time = pairs.span(&key("objective_us"), TimeSpan::default())?;
    let bound = || -> Result<TimeSpan, Fault> {
        let v = bounds.get(n).copied().unwrap_or("0");
        v.parse::<f64>()
            .map(|us| TimeSpan(us as u64))
            .map_err(|_| format!("unreadable staleness bound '{v}'"))
    };
    let freshness = match reads.get(n).copied().unwrap_or("update") {
        "loose" => Freshness::Any,
        "recent" => Freshness::Bounded(bound()?),
        "own_writes" => Freshness::Session,
        "latest" => Freshness::Fresh,
        "update" => Freshness::Write,
        other => return Err(format!("unknown freshness '{other}'")),
    };
    let repeat = match pairs.text(&key("idempotency")).unwrap_or("fragile") {
        "retryable" => RetrySafety::Idempotent,
        "dedup" => RetrySafety::Deduplicated,
        "fragile" => RetrySafety::NonIdempotent,
        other => return Err(format!("unknown idempotency '{other}'")),
    };
    Ok(WorkloadSettings {
        importance: pairs.value(&key("worth"), 1.0)?,
        late_share: pairs.value(&key("late_worth"), 0.0)?,
        slo_time,
        retry_safety: repeat,
        deduplication_scope: match pairs.text(&key("key_scope")) {
            Some("all") => DeduplicationScope::All,
            Some("zone") => DeduplicationScope::Zone,
            _ => DeduplicationScope::Group,
        },
        deduplication_window: pairs.span(&key("window_us"), TimeSpan::default())?,
        freshness,
    })
}

pub fn read(pairs: &Pairs) -> Result<(Settings, Decoding), Fault> {
    let (bounds, reads) = (
        pairs.list("family_info.staleness_bound_us"),
        pairs.list("family_info.freshness"),
    );
    let mut workloads = Vec::new();
    for n in 0..pairs.value("categories.count", 0usize)? {
        workloads.push(workload(pairs, n, &bounds, &reads)?);
    }
    let mut tenant_quotas = Vec::new();
    for n in 0..pairs.value("parties.count", 0usize)? {
        tenant_quotas.push(pairs.value(&format!("parties.{n}.quota_per_s"), f64::INFINITY)?);
    }
    let fields = pairs.list("report.fields");
    let reported = pairs.text("report.how") != Some("off");
    let field = |name| fields.iter().position(|f| reported && *f == name);
    let hold_off = pairs.flag("limits.retry_after", true)?;
    let settings = Settings {
        driver_count: pairs.value("peers_total", 1u32)?.max(1),
        tick: pairs.span("tick_us", TimeSpan::millis(1))?,
        workloads,
        tenant_quotas,
        over_quota_share: pairs.value("over_share_worth", 1.0)?,
        members_check_reads: !matches!(pairs.text("family_info.behind"), None | Some("off")),
        session_age_carried: pairs.text("family_info.tokens") != Some("router"),
        poll_endpoint_list: pairs.text("discovery") == Some("ask"),
        poll_within: pairs.span("rules.ask_within_us", TimeSpan::millis(10_000))?,
        gone_is_advice: pairs.flag("rules.gone_is_advice", false)?,
        cold_start_fraction: pairs.value("rules.cold_from", 1.0)?,
        warm_up_time: pairs.span("rules.warm_within_us", TimeSpan::default())?,
        overload_multiple: pairs.value("rules.tip_multiple", f64::INFINITY)?,
        overload_window: pairs.span("rules.fall_us", TimeSpan::millis(2000))?,
        max_executions: pairs.value("limits.try_limit", 1usize)?.max(1),
        idle_connection_timeout: pairs.span("limits.conn_idle_us", TimeSpan::millis(15_000))?,
        cancel_allowed: pairs.flag("limits.cancel", false)?,
        health_checks_allowed: pairs.flag("limits.probes", false)?,
        max_retry_after: if hold_off {
            pairs.span("limits.max_retry_after_us", TimeSpan::default())?
        } else {
            TimeSpan(0)
        },
    };
    let owned = |names: &[&str]| names.iter().map(|s| (*s).to_owned()).collect();
    let names = (0..settings.workloads.len()).map(|n| pairs.text(&format!("categories.{n}.name")));
    let decoding = Decoding {
        workloads: names.map(|n| n.unwrap_or_default().to_owned()).collect(),
        zones: owned(&pairs.list("zones")),
        report_fields: owned(&fields),
        reported,
        connect_timeout: pairs.span("limits.connect_timeout_us", TimeSpan::millis(250))?,
        epoch: Timestamp(pairs.value("family_info.counted_from_us", 0)?),
        position_field: field("x0"),
        role_field: field("x1"),
        positions: pairs.flag("family_info.answers_stamped", false)?,
    };
    Ok((settings, decoding))
}
