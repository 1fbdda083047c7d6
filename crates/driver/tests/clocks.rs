//! Drivers with a wrong wall clock. Members don't check staleness bounds of reads, and replicas lag.

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_driver::transport::clock::{Clock, OFFSET_VARIABLE};
use asterlatch_fault_injection::{ClockShift, FaultPlan};
use asterlatch_testbed::arrivals::Arrivals;
use asterlatch_testbed::checker::{check, CheckReport};
use asterlatch_testbed::deployment::{Deployment, Topology};
use asterlatch_testbed::fault_script::FaultScript;
use asterlatch_testbed::load_generator;
use asterlatch_testbed::member::lock;
use asterlatch_testbed::program_under_test::ProgramUnderTest;
use asterlatch_testbed::wire::wall_clock_now;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

const HOUR_SECONDS: i64 = 3600;
/// Both replicas of the first group lag for most of the run.
const FAULTS: &str = "500ms member 2 lags 4s for 3s\n500ms member 3 lags 4s for 3s";
const TOPOLOGY: Topology = Topology {
    groups: 3,
    replicas: 2,
};
const STATEMENTS_PER_SECOND: f64 = 300.0;

/// Writes a script that starts the driver with a wall clock that is off by this many seconds.
fn program_with_clock(folder: &Path, offset_seconds: i64) -> PathBuf {
    std::fs::create_dir_all(folder).expect("create the folder");
    let path = folder.join(format!("clock{offset_seconds}"));
    let program = env!("CARGO_BIN_EXE_asterlatch");
    let text = format!("#!/bin/sh\n{OFFSET_VARIABLE}={offset_seconds} exec {program} \"$@\"\n");
    std::fs::write(&path, text).expect("write the file");
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755))
        .expect("make the script executable");
    path
}

/// Runs four seconds of load with a clock that is wrong from the start; calls `meanwhile` once the load has
/// started.
fn run_with_clock(
    name: &str,
    offset_seconds: i64,
    meanwhile: impl FnOnce(&mut Deployment, &Path),
) -> CheckReport {
    let folder = temp_folder(name);
    let program = program_with_clock(&folder, offset_seconds);
    run_program(&folder, (&program).into(), meanwhile)
}

/// Runs four seconds of load with a clock that is shifted for some time.
fn run_with_clock_shift(name: &str, clock: ClockShift) -> CheckReport {
    let program = ProgramUnderTest {
        file: PathBuf::from(env!("CARGO_BIN_EXE_asterlatch")),
        faults: FaultPlan {
            clock,
            ..FaultPlan::default()
        },
    };
    run_program(&temp_folder(name), program, |_, _| ())
}

fn temp_folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("asterlatch-clocks-{}-{name}", std::process::id()))
}

fn run_program(
    folder: &Path,
    program: ProgramUnderTest,
    meanwhile: impl FnOnce(&mut Deployment, &Path),
) -> CheckReport {
    let script = FaultScript::parse(FAULTS).expect("parse the fault script");
    let mut deployment =
        Deployment::start(program, folder, TOPOLOGY, script, false).expect("start the deployment");
    let started_at = wall_clock_now();
    lock(&deployment.store).started_at = started_at;
    let workloads = lock(&deployment.store).workloads.clone();
    let arrivals = Arrivals::new(
        &workloads,
        STATEMENTS_PER_SECOND,
        TOPOLOGY.groups,
        TimeSpan::millis(4000),
        3,
    );
    let load = load_generator::start(&deployment.store, deployment.listen, arrivals, started_at, 48);
    meanwhile(&mut deployment, folder);
    let records = load.finish();
    deployment.stop();
    let report = check(&lock(&deployment.store), &records);
    let _ = std::fs::remove_dir_all(folder);
    report
}

/// Asserts that no rule is broken and that reads with a staleness bound are served.
fn assert_bounded_reads_served(report: &CheckReport) {
    assert_eq!(report.violation_count(), 0, "{report}");
    let bounded_reads = report.rows.iter().find(|row| row.name == "balance-view");
    let bounded_reads = bounded_reads.expect("the report has the workload");
    assert!(bounded_reads.submitted > 300, "too few bounded reads: {report}");
    assert!(
        bounded_reads.completed * 100 >= bounded_reads.submitted * 95,
        "{report}"
    );
}

#[test]
fn correct_clock_serves_bounded_reads() {
    assert_bounded_reads_served(&run_with_clock("right", 0, |_, _| ()));
}

#[test]
fn clock_an_hour_behind_serves_bounded_reads() {
    assert_bounded_reads_served(&run_with_clock("behind", -HOUR_SECONDS, |_, _| ()));
}

#[test]
fn clock_an_hour_ahead_serves_bounded_reads() {
    assert_bounded_reads_served(&run_with_clock("ahead", HOUR_SECONDS, |_, _| ()));
}

/// The wall clock is changed while the driver serves: by seconds, by an hour either way, or back to the right
/// time.
#[test]
fn clock_set_in_service_serves_bounded_reads() {
    for (name, offset_s, after_ms, until_ms) in [
        ("set-ahead", HOUR_SECONDS, 2000, None),
        ("set-behind", -HOUR_SECONDS, 2000, None),
        ("seconds-ahead", 5, 2000, None),
        ("put-right", HOUR_SECONDS, 0, Some(2000)),
    ] {
        let clock = ClockShift {
            offset_s,
            after_ms,
            until_ms,
        };
        assert_bounded_reads_served(&run_with_clock_shift(name, clock));
    }
}

/// The successor's wall clock differs from its predecessor's by two hours, in either direction.
#[test]
fn handover_between_different_clocks_serves_bounded_reads() {
    let report = run_with_clock("handover", HOUR_SECONDS, |deployment, folder| {
        for _ in 0..2 {
            thread::sleep(Duration::from_millis(1000));
            deployment
                .next_program
                .get_or_insert_with(|| (&program_with_clock(folder, -HOUR_SECONDS)).into());
            deployment.upgrade().expect("upgrade the driver");
        }
    });
    assert_bounded_reads_served(&report);
}

/// A successor's clock continues its predecessor's by the machine's uptime, whatever the wall clock shows.
#[test]
fn clock_resume_ignores_wall_clock() {
    let hour = TimeSpan::millis(3_600_000);
    let wall = wall_clock_now();
    for predecessor_now in [wall + hour, wall - hour, Timestamp(5_000_000)] {
        let clock = Clock::resume(predecessor_now, TimeSpan(1_000_000), TimeSpan(3_500_000));
        let now = clock.now();
        assert!(now >= predecessor_now + TimeSpan(2_500_000), "{now:?}");
        assert!(now < predecessor_now + TimeSpan::millis(60_000), "{now:?}");
    }
    // A smaller uptime, as after a reboot, does not move the clock back.
    let clock = Clock::resume(wall, TimeSpan(3_500_000), TimeSpan(1_000_000));
    assert!(clock.now() >= wall && clock.now() < wall + TimeSpan::millis(60_000));
}
