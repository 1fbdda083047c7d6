//! The built program with a wall clock that is wrong: members don't check reads, and two of three groups'
//! replicas lag.

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

const HOUR: i64 = 3600;
/// Both replicas of the first group, for most of the run.
const LAGGING: &str = "500ms member 2 lags 4s for 3s\n500ms member 3 lags 4s for 3s";
const TOPOLOGY: Topology = Topology {
    groups: 3,
    replicas: 2,
};
const RATE: f64 = 300.0;

/// The program with a wall clock that is off by so many seconds.
fn program_with_clock(folder: &Path, seconds: i64) -> PathBuf {
    std::fs::create_dir_all(folder).expect("create the folder");
    let path = folder.join(format!("clock{seconds}"));
    let program = env!("CARGO_BIN_EXE_asterlatch");
    let text = format!("#!/bin/sh\n{OFFSET_VARIABLE}={seconds} exec {program} \"$@\"\n");
    std::fs::write(&path, text).expect("write the file");
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755))
        .expect("make the script executable");
    path
}

/// Plays four seconds of load with a clock that is wrong from the start; `meanwhile` runs once the load has
/// begun.
fn play(name: &str, seconds: i64, meanwhile: impl FnOnce(&mut Deployment, &Path)) -> CheckReport {
    let folder = folder(name);
    let program = program_with_clock(&folder, seconds);
    play_program(&folder, (&program).into(), meanwhile)
}

/// The same with a clock that is shifted for some time.
fn play_shifted(name: &str, clock: ClockShift) -> CheckReport {
    let program = ProgramUnderTest {
        file: PathBuf::from(env!("CARGO_BIN_EXE_asterlatch")),
        faults: FaultPlan {
            clock,
            ..FaultPlan::default()
        },
    };
    play_program(&folder(name), program, |_, _| ())
}

fn folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("asterlatch-clocks-{}-{name}", std::process::id()))
}

fn play_program(
    folder: &Path,
    program: ProgramUnderTest,
    meanwhile: impl FnOnce(&mut Deployment, &Path),
) -> CheckReport {
    let script = FaultScript::parse(LAGGING).expect("parse the fault script");
    let mut deployment =
        Deployment::start(program, folder, TOPOLOGY, script, false).expect("start the deployment");
    let from = wall_clock_now();
    lock(&deployment.store).started_at = from;
    let workloads = lock(&deployment.store).workloads.clone();
    let arrivals = Arrivals::new(&workloads, RATE, TOPOLOGY.groups, TimeSpan::millis(4000), 3);
    let load = load_generator::start(&deployment.store, deployment.listen, arrivals, from, 48);
    meanwhile(&mut deployment, folder);
    let records = load.finish();
    deployment.end();
    let report = check(&lock(&deployment.store), &records);
    let _ = std::fs::remove_dir_all(folder);
    report
}

/// No rule is broken, and reads with a bound are served.
fn assert_served(report: &CheckReport) {
    assert_eq!(report.violation_count(), 0, "{report}");
    let bounded = report.rows.iter().find(|row| row.name == "balance-view");
    let bounded = bounded.expect("the report has the workload");
    assert!(bounded.asked > 300, "or this proves little: {report}");
    assert!(bounded.completed * 100 >= bounded.asked * 95, "{report}");
}

#[test]
fn right_clock_serves_bounded_reads() {
    assert_served(&play("right", 0, |_, _| ()));
}

#[test]
fn clock_an_hour_behind_serves_bounded_reads() {
    assert_served(&play("behind", -HOUR, |_, _| ()));
}

#[test]
fn clock_an_hour_ahead_serves_bounded_reads() {
    assert_served(&play("ahead", HOUR, |_, _| ()));
}

/// The wall clock is set while the program serves, by seconds and by an hour, either way; or it is wrong and
/// put right.
#[test]
fn clock_set_in_service_serves_bounded_reads() {
    for (name, offset_s, after_ms, until_ms) in [
        ("set-ahead", HOUR, 2000, None),
        ("set-behind", -HOUR, 2000, None),
        ("seconds-ahead", 5, 2000, None),
        ("put-right", HOUR, 0, Some(2000)),
    ] {
        let clock = ClockShift {
            offset_s,
            after_ms,
            until_ms,
        };
        assert_served(&play_shifted(name, clock));
    }
}

/// The successor's wall clock shows two hours less than its predecessor's, then two hours more again.
#[test]
fn handover_between_different_clocks_serves_bounded_reads() {
    let report = play("handover", HOUR, |deployment, folder| {
        for _ in 0..2 {
            thread::sleep(Duration::from_millis(1000));
            deployment
                .next
                .get_or_insert_with(|| (&program_with_clock(folder, -HOUR)).into());
            deployment.upgrade().expect("upgrade the driver");
        }
    });
    assert_served(&report);
}

/// A successor's time line goes on from its predecessor's by the machine's uptime, whatever its wall clock
/// shows.
#[test]
fn resumed_clock_goes_on_without_the_wall_clock() {
    let hour = TimeSpan::millis(3_600_000);
    let wall = wall_clock_now();
    for then in [wall + hour, wall - hour, Timestamp(5_000_000)] {
        let clock = Clock::resume(then, TimeSpan(1_000_000), TimeSpan(3_500_000));
        let now = clock.now();
        assert!(now >= then + TimeSpan(2_500_000), "{now:?}");
        assert!(now < then + TimeSpan::millis(60_000), "{now:?}");
    }
    // An uptime that went back, as after a reboot, leaves it where it was.
    let clock = Clock::resume(wall, TimeSpan(3_500_000), TimeSpan(1_000_000));
    assert!(clock.now() >= wall && clock.now() < wall + TimeSpan::millis(60_000));
}
