//! Reports about members, sessions and prior attempts from other drivers.

mod common;
use asterlatch::interface::*;
use asterlatch::time::TimeSpan;
use common::*;

fn report_status(
    harness: &mut Harness,
    now: u64,
    member: u32,
    age_ms: u64,
    position: Option<u64>,
    acts_as_primary: Option<bool>,
) -> Actions {
    let status = ReplicaStatus {
        position: position.map(remote_at),
        is_position_current: true,
        is_primary: acts_as_primary,
    };
    harness
        .driver
        .on_member_update(at(now), member, MemberUpdate::Status(ms(age_ms), status))
}

#[test]
fn on_member_update_outdated_position_does_not_cover_bounded_read() {
    // (name, position of replica 2 as reported at 10,000, age of the report; whether it gets a read with a
    // bound of 300 ms)
    #[rustfmt::skip]
    let table = [
        ("current", Some(9_900), 50, true),
        ("too far behind", Some(9_600), 50, false),
        ("no position", None, 50, false),
        // Its current position is unknown, and members do not check reads.
        ("old report", Some(9_000), 1000, false),
    ];
    for (name, position, age_ms, is_ready) in table {
        let settings = settings_with(|s| s.members_check_reads = false);
        let mut harness = new_harness(&settings, 2);
        harness.answer_health_check(9_990, 1, 9_990, true);
        report_status(&mut harness, 10_000, 2, age_ms, position, None);
        let members = harness.route(10_000, BOUNDED);
        assert_eq!(members, [if is_ready { 2 } else { 1 }], "{name}");
    }
}

#[test]
fn on_member_update_older_position_does_not_replace_direct_report() {
    let settings = settings_with(|s| s.members_check_reads = false);
    let mut harness = new_harness(&settings, 2);
    harness.answer_health_check(9_990, 1, 9_990, true);
    harness.answer_health_check(9_990, 2, 9_950, false);
    report_status(&mut harness, 10_000, 2, 10, Some(9_000), None);
    assert_eq!(harness.route(10_000, BOUNDED), [2]);
}

#[test]
fn on_member_update_role_at_latest_position_decides_the_primary() {
    let mut harness = new_harness(&settings(), 3);
    harness.answer_health_check(1000, 1, 1000, true);
    report_status(&mut harness, 2000, 2, 5, Some(1990), Some(true));
    assert_eq!(harness.route(2001, WRITE), [2]);
    // A delayed report of an older role changes nothing.
    report_status(&mut harness, 2002, 3, 900, Some(1100), Some(true));
    assert_eq!(harness.route(2003, WRITE), [2]);
    // Member 2 reports that it is a replica again.
    report_status(&mut harness, 2010, 2, 1, Some(2009), Some(false));
    assert!(
        harness.route(2011, WRITE).is_empty(),
        "the write waits for a primary"
    );
    // Reports about unknown members are ignored.
    assert!(report_status(&mut harness, 2012, 99, 1, Some(2011), Some(true))
        .executions
        .is_empty());
}

#[test]
fn on_member_update_ejected_member_stays_ejected() {
    let mut harness = new_harness(&settings(), 2);
    harness.answer_health_check(0, 1, 0, true);
    let (id, actions) = harness.submit(1, WRITE);
    assert_eq!(sent_to(&actions), [1]);
    harness.end_execution(2, id, 0, 1, ExecutionOutcome::ConnectionLost);
    report_status(&mut harness, 3, 1, 1, Some(2), Some(true));
    assert!(
        harness.route(4, WRITE).is_empty(),
        "only a health check or an answer readmits it"
    );
    assert_eq!(sent_to(&harness.answer_health_check(5, 1, 5, true)), [1]);
}

#[test]
fn on_session_position_session_read_sees_write_through_another_driver_or_process() {
    let settings = settings_with(|settings| {
        settings.carries_session_position = false;
        settings.members_check_reads = false;
    });
    type Report = fn(&mut Harness, u64);
    let reports: [(&str, Report); 3] = [
        ("another driver", |harness, position| {
            harness.driver.on_session_position(9, remote_at(position));
        }),
        ("a peer process", |harness, position| {
            let position = Some(remote_at(position));
            harness.driver.on_session_write(at(9_001), Some(9), position);
        }),
        ("a peer process, for any session", |harness, position| {
            let position = Some(remote_at(position));
            harness.driver.on_session_write(at(9_001), None, position);
        }),
    ];
    for (name, report) in reports {
        let mut harness = new_harness(&settings, 2);
        harness.answer_health_check(9_000, 1, 9_000, true);
        harness.answer_health_check(9_000, 2, 8_990, false);
        assert_eq!(
            harness.route(9_001, SESSION),
            [2],
            "{name}: no write of the session is known"
        );
        report(&mut harness, 8_995);
        assert_eq!(
            harness.route(9_002, SESSION),
            [1],
            "{name}: the replica lags behind the write"
        );
        harness.answer_health_check(9_010, 2, 9_000, false);
        assert_eq!(harness.route(9_011, SESSION), [2], "{name}");
        report(&mut harness, 8_000);
        assert_eq!(
            harness.route(9_012, SESSION),
            [2],
            "{name}: an older position changes nothing"
        );
    }
}

#[test]
fn on_statement_prior_attempt_is_dispatched_only_where_safe() {
    // (name, retry safety, deduplication scope, age and member of the prior attempt, expected members,
    // expected answer); member 1 is in zone 0 and member 2 in zone 1
    let unknown_age = TimeSpan(u64::MAX / 4);
    #[rustfmt::skip]
    let table = [
        ("no prior attempt", RetrySafety::NonIdempotent, DeduplicationScope::Group, None, vec![1], ""),
        ("may have been executed", RetrySafety::NonIdempotent, DeduplicationScope::All,
         Some((ms(10), 1)), vec![], "aborted"),
        ("may have been executed at any time", RetrySafety::NonIdempotent, DeduplicationScope::All,
         Some((unknown_age, 0)), vec![], "aborted"),
        ("within the deduplication window", RetrySafety::Deduplicated, DeduplicationScope::All,
         Some((ms(790), 1)), vec![1], ""),
        ("a delayed write could arrive after the window", RetrySafety::Deduplicated, DeduplicationScope::All,
         Some((ms(810), 1)), vec![], "rejected"),
        ("after the deduplication window", RetrySafety::Deduplicated, DeduplicationScope::All,
         Some((ms(1000), 1)), vec![], "rejected"),
        ("within a window of unknown start", RetrySafety::Deduplicated, DeduplicationScope::Group,
         Some((unknown_age, 0)), vec![], "aborted"),
        ("deduplicated only in the other zone", RetrySafety::Deduplicated, DeduplicationScope::Zone,
         Some((ms(10), 2)), vec![], ""),
        ("deduplicated in its zone", RetrySafety::Deduplicated, DeduplicationScope::Zone,
         Some((ms(10), 1)), vec![1], ""),
        ("idempotent", RetrySafety::Idempotent, DeduplicationScope::All, Some((unknown_age, 0)), vec![1], ""),
    ];
    for (name, retry_safety, scope, prior_attempt, members, expected) in table {
        let settings = settings_with(|settings| {
            settings.workloads[WRITE].retry_safety = retry_safety;
            settings.workloads[WRITE].deduplication_scope = scope;
        });
        let mut harness = new_harness(&settings, 2);
        let entry = MemberEntry {
            zone: 1,
            ..member_entry(2)
        };
        harness.update_endpoint(0, entry);
        harness.answer_health_check(1, 1, 1, true);
        let statement = Statement {
            prior_attempt: prior_attempt.map(|(age, member)| PriorAttempt { age, member }),
            is_client_retry: true,
            ..statement(500, WRITE, 2000)
        };
        let actions = harness.driver.on_statement(at(2000), &statement);
        assert_eq!(sent_to(&actions), members, "{name}");
        assert_eq!(answer(&actions, 500), expected, "{name}");
        // A waiting statement is answered in time, and no statement is answered twice.
        let later_answer = answer(&harness.run_until(2001, 4100), 500);
        let is_waiting = members.is_empty() && expected.is_empty();
        assert!(
            if is_waiting {
                !later_answer.is_empty()
            } else {
                expected.is_empty() || later_answer.is_empty()
            },
            "{name}: {later_answer}"
        );
    }
}

/// A valid budget replaces the driver's own warm-up plan.
#[test]
fn on_member_update_warm_up_budget_limits_dispatch_while_valid() {
    let settings = settings_with(|s| s.may_use_gone_members = false);
    let dispatched = |budget: Option<(u64, u64)>| {
        let mut harness = new_harness(&settings, 1);
        harness.update_endpoint(0, started_member(1, remote_at(0)));
        if let Some((work, until)) = budget {
            let (work, until) = (ms(work), at(until));
            harness
                .driver
                .on_member_update(at(1), 1, MemberUpdate::WarmUpBudget { work, until });
        }
        // Number of statements of 100 ms that are dispatched at once.
        (0..20).map(|_| harness.route(2, WRITE).len()).sum::<usize>()
    };
    let without_budget = dispatched(None);
    assert!(without_budget <= 1, "{without_budget}");
    assert_eq!(
        dispatched(Some((450, 200))),
        5,
        "the budget, and the execution that exhausts it"
    );
    assert_eq!(dispatched(Some((0, 200))), 0);
    assert_eq!(
        dispatched(Some((450, 2))),
        without_budget,
        "the budget has expired"
    );
    // After its expiry, earlier dispatches still delay the next one.
    let mut harness = new_harness(&settings, 1);
    harness.update_endpoint(0, started_member(1, remote_at(0)));
    let (work, until) = (ms(450), at(50));
    harness
        .driver
        .on_member_update(at(1), 1, MemberUpdate::WarmUpBudget { work, until });
    assert_eq!(harness.route(2, WRITE), [1]);
    assert!(harness.route(51, WRITE).is_empty());
    let warming = harness.driver.warming_members(at(51));
    assert_eq!(warming.len(), 1);
    assert!(
        warming[0].warm_up_fraction < 0.3 && warming[0].carried_load > 0.0,
        "{warming:?}"
    );
    assert!(
        harness.driver.warming_members(at(20_000)).is_empty(),
        "the member is warm"
    );
}
