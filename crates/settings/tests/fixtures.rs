//! Guards the meaning of each key: stored settings resolve as they did in earlier builds.
//!
//! `cargo test -p asterlatch-settings --test fixtures -- --ignored` regenerates the fixtures.

use asterlatch::interface::{DeduplicationScope, Freshness, RetrySafety, Settings, WorkloadSettings};
use asterlatch_settings::{read, Decoding, SettingsMap};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};

const JSON: &str = "settings.json";
/// The settings of `JSON` as text.
const TEXT: &str = "settings.txt";
/// Resolved values of `JSON` and `TEXT`.
const RESOLVED: &str = "settings.resolved.txt";
/// Resolved values of empty settings: the defaults.
const RESOLVED_DEFAULTS: &str = "defaults.resolved.txt";

fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures")
}

fn text(name: &str) -> String {
    fs::read_to_string(fixtures().join(name)).expect("read the fixture")
}

fn json() -> serde_json::Value {
    serde_json::from_str(&text(JSON)).expect("parse the JSON fixture")
}

/// Flattens JSON as text settings do, independently of the code under test.
fn flatten(value: &serde_json::Value, path: &str, lines: &mut BTreeMap<String, String>) {
    let child_path = |name: &str| match path {
        "" => name.to_owned(),
        _ => format!("{path}.{name}"),
    };
    let plain = |value: &serde_json::Value| match value.as_str() {
        Some(text) => text.replace([' ', ','], "_"),
        None => value.to_string(),
    };
    if let Some(fields) = value.as_object() {
        for (name, value) in fields {
            flatten(value, &child_path(name), lines);
        }
        return;
    }
    let Some(items) = value.as_array() else {
        lines.insert(path.to_owned(), plain(value));
        return;
    };
    if !items.iter().any(serde_json::Value::is_object) {
        let joined: Vec<_> = items.iter().map(plain).collect();
        lines.insert(path.to_owned(), joined.join(","));
        return;
    }
    lines.insert(child_path("count"), items.len().to_string());
    for (index, item) in items.iter().enumerate() {
        flatten(item, &child_path(&index.to_string()), lines);
    }
}

fn describe_workload(text: &mut String, index: usize, workload: &WorkloadSettings) {
    let freshness = match workload.freshness {
        Freshness::Any => "loose".to_owned(),
        Freshness::Bounded(bound) => format!("recent within {}", bound.0),
        Freshness::Session => "own_writes".to_owned(),
        Freshness::Fresh => "latest".to_owned(),
        Freshness::Write => "update".to_owned(),
    };
    let idempotency = match workload.retry_safety {
        RetrySafety::Idempotent => "retryable",
        RetrySafety::Deduplicated => "dedup",
        RetrySafety::NonIdempotent => "fragile",
    };
    let scope = match workload.deduplication_scope {
        DeduplicationScope::Group => "group",
        DeduplicationScope::Zone => "zone",
        DeduplicationScope::All => "all",
    };
    let values: [(&str, String); 7] = [
        ("worth", workload.importance.to_string()),
        ("late_worth", workload.late_share.to_string()),
        ("objective_us", workload.slo_time.0.to_string()),
        ("idempotency", idempotency.to_owned()),
        ("key_scope", scope.to_owned()),
        ("window_us", workload.deduplication_window.0.to_string()),
        ("freshness", freshness),
    ];
    for (name, value) in values {
        writeln!(text, "categories.{index}.{name} = {value}").expect("write the text");
    }
}

/// Lists every resolved value by the key that sets it.
fn describe(settings: &Settings, decoding: &Decoding) -> String {
    let mut text = String::new();
    for (index, workload) in settings.workloads.iter().enumerate() {
        describe_workload(&mut text, index, workload);
    }
    let values: Vec<(&str, String)> = vec![
        ("peers_total", settings.driver_count.to_string()),
        ("tick_us", settings.tick.0.to_string()),
        ("parties.quota_per_s", format!("{:?}", settings.tenant_quotas)),
        ("over_share_worth", settings.over_quota_share.to_string()),
        ("family_info.behind", settings.members_check_reads.to_string()),
        (
            "family_info.tokens",
            settings.carries_session_position.to_string(),
        ),
        ("discovery", settings.poll_endpoint_list.to_string()),
        ("rules.ask_within_us", settings.max_poll_interval.0.to_string()),
        ("rules.gone_is_advice", settings.may_use_gone_members.to_string()),
        ("rules.cold_from", settings.cold_start_fraction.to_string()),
        ("rules.warm_within_us", settings.warm_up_time.0.to_string()),
        ("rules.tip_multiple", settings.overload_multiple.to_string()),
        ("rules.fall_us", settings.overload_window.0.to_string()),
        ("limits.try_limit", settings.max_executions.to_string()),
        (
            "limits.conn_idle_us",
            settings.idle_connection_timeout.0.to_string(),
        ),
        ("limits.cancel", settings.cancel_allowed.to_string()),
        ("limits.probes", settings.health_checks_allowed.to_string()),
        (
            "limits.max_retry_after_us",
            settings.max_retry_after.0.to_string(),
        ),
        (
            "family_info.counted_from_us",
            decoding.position_epoch.0.to_string(),
        ),
        ("report.fields x0", format!("{:?}", decoding.position_field)),
        ("report.fields x1", format!("{:?}", decoding.role_field)),
        (
            "family_info.answers_stamped",
            decoding.answers_carry_positions.to_string(),
        ),
        ("categories.name", format!("{:?}", decoding.workload_names)),
        ("zones", format!("{:?}", decoding.zone_names)),
        ("report.fields", format!("{:?}", decoding.report_fields)),
        ("report.how", decoding.has_load_reports.to_string()),
        (
            "limits.connect_timeout_us",
            decoding.connect_timeout.0.to_string(),
        ),
    ];
    for (name, value) in values {
        writeln!(text, "{name} = {value}").expect("write the text");
    }
    text
}

fn resolved_json() -> String {
    let (settings, decoding) = SettingsMap::from_json(&json())
        .and_then(|map| read(&map))
        .expect("read the settings");
    describe(&settings, &decoding)
}

fn resolved_defaults() -> String {
    let (settings, decoding) = SettingsMap::from_text("categories.count=1\nparties.count=1\n")
        .and_then(|map| read(&map))
        .expect("read the settings");
    describe(&settings, &decoding)
}

#[test]
#[ignore = "writes the fixtures"]
fn write_fixtures() {
    let mut lines = BTreeMap::new();
    flatten(&json(), "", &mut lines);
    let flat: String = lines
        .iter()
        .map(|(path, value)| format!("{path}={value}\n"))
        .collect();
    fs::write(fixtures().join(TEXT), flat).expect("write the text");
    fs::write(fixtures().join(RESOLVED), resolved_json()).expect("write the text");
    fs::write(fixtures().join(RESOLVED_DEFAULTS), resolved_defaults()).expect("write the text");
}

#[test]
fn read_json_with_every_key_matches_the_fixture() {
    assert_eq!(resolved_json(), text(RESOLVED));
}

#[test]
fn read_text_with_every_key_matches_the_fixture() {
    let (settings, decoding) = SettingsMap::from_text(&text(TEXT))
        .and_then(|map| read(&map))
        .expect("read the settings");
    assert_eq!(describe(&settings, &decoding), text(RESOLVED));
}

#[test]
fn read_without_keys_matches_the_default_fixture() {
    assert_eq!(resolved_defaults(), text(RESOLVED_DEFAULTS));
}

/// Guards against a key that is ignored: its value would equal the default.
#[test]
fn fixture_values_differ_from_defaults() {
    let (resolved, defaults) = (text(RESOLVED), text(RESOLVED_DEFAULTS));
    let same: Vec<_> = resolved
        .lines()
        .filter(|line| !line.starts_with("categories.") || line.starts_with("categories.0."))
        .filter(|line| defaults.lines().any(|default| default == *line))
        .collect();
    // Load reports are on by default; the fixture has them on, too.
    assert_eq!(same, ["report.how = true"]);
    assert_eq!(resolved.lines().count(), 5 * 7 + 27);
}

#[test]
fn read_disabled_reports_and_retry_after_resolves_to_off() {
    let off = text(TEXT)
        .replace("report.how=on_probe", "report.how=off")
        .replace("limits.retry_after=true", "limits.retry_after=false");
    let (settings, decoding) = SettingsMap::from_text(&off)
        .and_then(|map| read(&map))
        .expect("read the settings");
    let resolved = describe(&settings, &decoding);
    for line in [
        "report.how = false",
        "report.fields x0 = None",
        "report.fields x1 = None",
        "limits.max_retry_after_us = 0",
    ] {
        assert!(resolved.lines().any(|l| l == line), "no '{line}' in {resolved}");
    }
}
