//! The configuration file and the operators' settings as an earlier build read them: each key means what it
//! meant.
//!
//! `cargo test -p asterlatch-driver --test configuration_fixtures -- --ignored` writes the fixtures anew from
//! the build as it is.

use asterlatch_config::load::{read, FolderSource};
use asterlatch_config::service_schema::DEFAULT_MACHINE;
use asterlatch_driver::program::config::{self, Config};
use asterlatch_driver::program::operators::{schema, AppliedSettings};
use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};

const CONFIG: &str = "config.json";
const CONFIG_RESOLVED: &str = "config.resolved.txt";
/// Stands with the language that it is written in.
const EVERY_SETTING: &str = "../config/tests/fixtures/every-setting.latch";
const EVERY_SETTING_IN_FORCE: &str = "every-setting.in-force.txt";

fn package() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn fixture(name: &str) -> PathBuf {
    package().join("tests/fixtures").join(name)
}

fn text(name: &str) -> String {
    fs::read_to_string(fixture(name)).expect("read the fixture")
}

fn lines(values: &[(&str, String)]) -> String {
    let mut text = String::new();
    for (name, value) in values {
        writeln!(text, "{name} = {value}").expect("write to a string");
    }
    text
}

fn config() -> Config {
    let path = fixture(CONFIG);
    config::load(path.to_str().expect("the path is UTF-8"), |_| None).expect("load the configuration")
}

/// Every value of the file by its key; the settings stand with their own crate, here only their hash.
fn described_config(config: &Config) -> String {
    let known = config
        .known_endpoints
        .as_ref()
        .expect("the configuration has an endpoint list");
    let mut text = lines(&[
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
        text += &lines(&[
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

fn every_setting_in_force() -> AppliedSettings {
    let path = package().join(EVERY_SETTING);
    let (folder, name) = FolderSource::containing(path.to_str().expect("the path is UTF-8"));
    let outcome = read(&name, &folder, schema(), DEFAULT_MACHINE);
    AppliedSettings::from_resolved(&outcome.settings.expect("the operators' file is valid"))
}

/// What the parts of the program take over, by the setting that states it. Times in microseconds, shares in
/// millionths.
#[expect(clippy::too_many_lines, reason = "one row for each setting")]
fn described_in_force(force: &AppliedSettings) -> String {
    let limits = &force.limits;
    let [crowded, filling] = limits.crowded_idle_timeouts;
    let (serving, taking) = (
        &force.handover_timeouts.predecessor,
        &force.handover_timeouts.successor,
    );
    let mut text = lines(&[
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
        ("phases.arrivals", force.phase_durations.arrivals.0.to_string()),
        ("phases.linger", force.phase_durations.linger.0.to_string()),
        (
            "phases.longest_drain",
            force.phase_durations.max_drain.0.to_string(),
        ),
        ("process.stack", force.coroutine_stacks.bytes.to_string()),
        ("process.spare_stacks", force.coroutine_stacks.spare.to_string()),
        ("log.lines", force.log_lines_per_second.to_string()),
        ("upgrade.hello", serving.hello.0.to_string()),
        ("upgrade.ready", serving.ready.0.to_string()),
        ("upgrade.taken", serving.commit_acknowledged.0.to_string()),
        (
            "upgrade.silence of the serving process",
            serving.heartbeat.0.to_string(),
        ),
        ("upgrade.ready twice", taking.predecessor_response.0.to_string()),
        ("upgrade.silence", taking.predecessor_heartbeat.0.to_string()),
        ("upgrade.beat", taking.heartbeat_interval.0.to_string()),
        ("upgrade.probation", taking.probation.0.to_string()),
    ]);
    for (name, own) in &force.workload_limits {
        let timeout = own.max_timeout.map(|span| span.0);
        text += &lines(&[
            ("workload", name.clone()),
            ("workload.timeout", format!("{timeout:?}")),
            ("workload.longest", format!("{:?}", own.max_bytes)),
        ]);
    }
    text
}

#[test]
#[ignore = "writes the fixtures"]
fn write_fixtures() {
    fs::write(fixture(CONFIG_RESOLVED), described_config(&config())).expect("write the file");
    let in_force = described_in_force(&every_setting_in_force());
    fs::write(fixture(EVERY_SETTING_IN_FORCE), in_force).expect("write the file");
}

#[test]
fn configuration_with_every_key_resolves_to_the_same_values() {
    assert_eq!(described_config(&config()), text(CONFIG_RESOLVED));
}

#[test]
fn configuration_read_again_is_no_change() {
    let (first, second) = (config(), config());
    assert_eq!(first.changes_requiring_restart(&second), Vec::<&str>::new());
    assert_eq!(first.settings_hash, second.settings_hash);
}

#[test]
fn operators_file_with_every_setting_comes_in_force_with_the_same_values() {
    assert_eq!(
        described_in_force(&every_setting_in_force()),
        text(EVERY_SETTING_IN_FORCE)
    );
}
