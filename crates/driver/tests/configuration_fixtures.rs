//! Values of the configuration file and of the operators' settings as an earlier build resolved them: the
//! meaning of each key must not change.
//!
//! To rewrite the fixtures: `cargo test -p asterlatch-driver --test configuration_fixtures -- --ignored`.

use asterlatch_config::load::{read, FolderSource};
use asterlatch_config::service_schema::DEFAULT_MACHINE;
use asterlatch_driver::program::config::{self, Config};
use asterlatch_driver::program::operators::{schema, AppliedSettings};
use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};

const CONFIG: &str = "config.json";
const CONFIG_RESOLVED: &str = "config.resolved.txt";
/// Belongs to the crate of the configuration language.
const EVERY_SETTING: &str = "../config/tests/fixtures/every-setting.latch";
const EVERY_SETTING_APPLIED: &str = "every-setting.in-force.txt";

fn package_path() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn fixture_path(name: &str) -> PathBuf {
    package_path().join("tests/fixtures").join(name)
}

fn fixture_text(name: &str) -> String {
    fs::read_to_string(fixture_path(name)).expect("read the fixture")
}

fn format_lines(values: &[(&str, String)]) -> String {
    let mut text = String::new();
    for (name, value) in values {
        writeln!(text, "{name} = {value}").expect("write to a string");
    }
    text
}

fn load_config() -> Config {
    let path = fixture_path(CONFIG);
    config::load(path.to_str().expect("the path is UTF-8"), |_| None).expect("load the configuration")
}

/// Lists every value of the file by its key. Of the settings only the hash, as their crate has its own
/// fixtures.
fn describe_config(config: &Config) -> String {
    let known = config
        .known_endpoints
        .as_ref()
        .expect("the configuration has an endpoint list");
    let mut text = format_lines(&[
        ("name", config.name.clone()),
        ("listen", config.listen.to_string()),
        ("discovery", config.runtime.discovery.to_string()),
        ("seed", config.seed.to_string()),
        ("limits.memory_mb in bytes", config.runtime.max_memory.to_string()),
        ("limits.sockets", config.runtime.max_descriptors.to_string()),
        ("settings' hash", config.settings_hash.to_string()),
        ("settings' workloads", config.settings.workloads.len().to_string()),
        ("known.index", known.index.to_string()),
        ("known.snapshot", known.is_complete.to_string()),
        ("known.endpoints left out", known.skipped.to_string()),
    ]);
    for entry in &known.entries {
        text += &format_lines(&[
            ("known.endpoints.name", entry.name.clone()),
            ("known.endpoints.address", entry.address.clone()),
            ("known.endpoints.zone", entry.zone.clone()),
            ("known.endpoints.group", entry.group.to_string()),
            ("known.endpoints.status", format!("{:?}", entry.status)),
            ("known.endpoints.weight", entry.weight.to_string()),
            ("known.endpoints.since_ms", entry.since_ms.to_string()),
            ("known.endpoints.rank source", entry.is_primary.to_string()),
        ]);
    }
    text
}

fn load_every_setting() -> AppliedSettings {
    let path = package_path().join(EVERY_SETTING);
    let (folder, name) = FolderSource::containing(path.to_str().expect("the path is UTF-8"));
    let outcome = read(&name, &folder, schema(), DEFAULT_MACHINE);
    AppliedSettings::from_resolved(&outcome.settings.expect("the operators' file is valid"))
}

/// Lists the applied values by the setting that states them: times in microseconds, shares in millionths.
#[expect(clippy::too_many_lines, reason = "one row for each setting")]
fn describe_applied_settings(applied: &AppliedSettings) -> String {
    let limits = &applied.limits;
    let [crowded, filling] = limits.crowded_idle_timeouts;
    let (predecessor, successor) = (
        &applied.handover_timeouts.predecessor,
        &applied.handover_timeouts.successor,
    );
    let mut text = format_lines(&[
        ("descriptors.reserve", limits.reserved_descriptors.to_string()),
        ("descriptors.clients", limits.client_share.0.to_string()),
        ("memory.clients", limits.client_memory_share.0.to_string()),
        ("memory.members", limits.member_memory_share.0.to_string()),
        (
            "clients.first_statement",
            limits.first_statement_timeout.0.to_string(),
        ),
        ("clients.message", limits.message_timeout.0.to_string()),
        ("clients.rest", limits.client_idle_timeout.0.to_string()),
        ("clients.filling_from", filling.min_active_share.0.to_string()),
        ("clients.filling_rest", filling.timeout.0.to_string()),
        ("clients.crowded_from", crowded.min_active_share.0.to_string()),
        ("clients.crowded_rest", crowded.timeout.0.to_string()),
        ("clients.just_came", limits.arrival_grace.0.to_string()),
        ("clients.accept_again", limits.accept_backoff.0.to_string()),
        (
            "statements.longest_timeout",
            limits.max_statement_timeout.0.to_string(),
        ),
        ("members.idle", limits.member_idle_share.0.to_string()),
        ("discovery.watch", limits.watch_timeout.0.to_string()),
        ("discovery.watch_late", limits.watch_grace.0.to_string()),
        ("discovery.list_late", limits.list_timeout.0.to_string()),
        ("discovery.first_pause", limits.initial_backoff.0.to_string()),
        ("discovery.longest_pause", limits.max_backoff.0.to_string()),
        ("phases.arrivals", applied.phase_durations.arrivals.0.to_string()),
        ("phases.linger", applied.phase_durations.linger.0.to_string()),
        (
            "phases.longest_drain",
            applied.phase_durations.max_drain.0.to_string(),
        ),
        ("process.stack", applied.coroutine_stacks.stack_bytes.to_string()),
        (
            "process.spare_stacks",
            applied.coroutine_stacks.pool_capacity.to_string(),
        ),
        ("log.lines", applied.log_lines_per_second.to_string()),
        ("upgrade.hello", predecessor.hello.0.to_string()),
        ("upgrade.ready", predecessor.ready.0.to_string()),
        ("upgrade.taken", predecessor.commit_acknowledged.0.to_string()),
        (
            "upgrade.silence of the serving process",
            predecessor.heartbeat.0.to_string(),
        ),
        (
            "upgrade.ready twice",
            successor.predecessor_response.0.to_string(),
        ),
        ("upgrade.silence", successor.predecessor_heartbeat.0.to_string()),
        ("upgrade.beat", successor.heartbeat_interval.0.to_string()),
        ("upgrade.probation", successor.probation.0.to_string()),
    ]);
    for (name, workload_limits) in &applied.workload_limits {
        let timeout = workload_limits.max_timeout.map(|span| span.0);
        text += &format_lines(&[
            ("workload", name.clone()),
            ("workload.timeout", format!("{timeout:?}")),
            ("workload.longest", format!("{:?}", workload_limits.max_bytes)),
        ]);
    }
    text
}

#[test]
#[ignore = "writes the fixtures"]
fn write_fixtures() {
    fs::write(fixture_path(CONFIG_RESOLVED), describe_config(&load_config())).expect("write the file");
    let applied = describe_applied_settings(&load_every_setting());
    fs::write(fixture_path(EVERY_SETTING_APPLIED), applied).expect("write the file");
}

#[test]
fn configuration_with_every_key_resolves_to_the_same_values() {
    assert_eq!(describe_config(&load_config()), fixture_text(CONFIG_RESOLVED));
}

#[test]
fn configuration_reloaded_unchanged_requires_no_restart() {
    let (first, second) = (load_config(), load_config());
    assert_eq!(first.changes_requiring_restart(&second), Vec::<&str>::new());
    assert_eq!(first.settings_hash, second.settings_hash);
}

#[test]
fn operators_file_with_every_setting_applies_the_same_values() {
    assert_eq!(
        describe_applied_settings(&load_every_setting()),
        fixture_text(EVERY_SETTING_APPLIED)
    );
}
