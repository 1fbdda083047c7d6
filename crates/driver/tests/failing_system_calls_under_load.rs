//! The test bed's load against a driver with failing system calls.

use asterlatch::time::TimeSpan;
use asterlatch_fault_injection::FaultPlan;
use asterlatch_testbed::arrivals::Arrivals;
use asterlatch_testbed::checker::check;
use asterlatch_testbed::deployment::{Deployment, Topology};
use asterlatch_testbed::fault_script::FaultScript;
use asterlatch_testbed::load_generator;
use asterlatch_testbed::member::lock;
use asterlatch_testbed::program_under_test::ProgramUnderTest;
use asterlatch_testbed::wire::wall_clock_now;
use std::path::PathBuf;

/// Calls whose failures are temporary and retried.
const CALLS: &str =
    "accept,socket,bind,listen,connect,epoll_wait,epoll_add,setsockopt,send,recv,short_send,short_recv";
const GROUPS: u32 = 2;
const STATEMENTS_PER_SECOND: f64 = 200.0;
const CLIENTS: usize = 32;

/// Runs two seconds of load; returns the number of rule violations and of statements sent.
fn run(every: u32) -> (u64, u64) {
    let program = ProgramUnderTest {
        file: PathBuf::from(env!("CARGO_BIN_EXE_asterlatch")),
        faults: FaultPlan {
            calls: FaultPlan::parse_calls(CALLS).expect("parse the list of system calls"),
            every,
            ..FaultPlan::default()
        },
    };
    let folder = std::env::temp_dir().join(format!("asterlatch-failing-{}-{every}", std::process::id()));
    let topology = Topology {
        groups: GROUPS,
        replicas: 2,
    };
    let script = FaultScript::default();
    let mut deployment =
        Deployment::start(program, &folder, topology, script, true).expect("start the deployment");
    let workloads = lock(&deployment.store).workloads.clone();
    let arrivals = Arrivals::new(
        &workloads,
        STATEMENTS_PER_SECOND,
        GROUPS,
        TimeSpan::millis(2000),
        1,
    );
    let started_at = wall_clock_now();
    let load = load_generator::start(
        &deployment.store,
        deployment.listen,
        arrivals,
        started_at,
        CLIENTS,
    );
    let records = load.finish();
    deployment.stop();
    let report = check(&lock(&deployment.store), &records);
    let _ = std::fs::remove_dir_all(&folder);
    (report.violation_count(), report.submitted())
}

#[test]
fn load_system_calls_fail_breaks_no_rule() {
    for every in [2, 7] {
        let (violations, asked) = run(every);
        assert!(asked > 0);
        assert_eq!(violations, 0, "with every {every}th call failing");
    }
}
