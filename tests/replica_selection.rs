//! Selection of members, discovery of the primary, and handling of member failures.

mod common;
use asterlatch::interface::*;
use common::*;
use ExecutionOutcome::*;

#[test]
fn on_statement_write_goes_to_primary_and_reads_round_robin() {
    let mut harness = new_harness(&settings(), 4);
    // (workload, members to which four consecutive statements are sent)
    for (workload, expected) in [
        (WRITE, [1, 1, 1, 1]),
        (READ, [2, 3, 4, 2]),
        (FRESH, [1, 1, 1, 1]),
        (BOUNDED, [3, 4, 2, 3]),
    ] {
        let mut members = Vec::new();
        for now in 0..4 {
            let (id, actions) = harness.submit(now, workload);
            members.extend(sent_to(&actions));
            harness.end_execution(now, id, 0, members[members.len() - 1], Completed);
        }
        assert_eq!(members, expected, "workload {workload}");
    }
}

#[test]
fn on_health_check_role_at_latest_position_decides_the_primary() {
    // (reports in order of arrival as member, position and whether primary; members to which a write is sent)
    type Row<'a> = (&'a [(u32, u64, bool)], &'a [u32]);
    let table: [Row; 5] = [
        (&[(1, 10, true)], &[1]),
        (&[(1, 10, true), (2, 20, true)], &[2]),
        (&[(2, 20, true), (1, 10, true)], &[2]), // delayed report of the old primary
        (&[(1, 10, true), (1, 15, false)], &[]), // deposed: the write waits for a new primary
        (&[(2, 20, true), (1, 30, false), (2, 25, true)], &[2]),
    ];
    for (reports, expected) in table {
        let mut harness = new_harness(&settings(), 3);
        for (n, (member, position, is_primary)) in reports.iter().enumerate() {
            harness.answer_health_check(50 + n as u64, *member, *position, *is_primary);
        }
        assert_eq!(harness.route(60, WRITE), expected, "{reports:?}");
    }
}

#[test]
fn on_execution_ended_not_eligible_write_finds_new_primary() {
    let mut harness = new_harness(&settings_with(|s| s.workloads[WRITE].slo_time = ms(5000)), 3);
    let (id, _) = harness.submit(0, WRITE);
    for member in 1..=3 {
        harness.answer_health_check(1, member, 1, member == 1);
    }
    let actions = harness.end_with_status(5, id, 0, 1, NotEligible, replica_status(5, false));
    assert_eq!(
        sent_to(&actions),
        [2],
        "tries the next member while no primary is known"
    );
    let actions = harness.end_with_status(6, id, 1, 2, NotEligible, replica_status(6, false));
    assert_eq!(sent_to(&actions), [3]);
    let actions = harness.end_with_status(7, id, 2, 3, NotEligible, replica_status(7, false));
    assert!(actions.executions.is_empty(), "rejected by all members: waits");
    let checked = harness.run_until(8, 310).health_checks;
    assert!(
        (1..=3).all(|m| checked.contains(&m)),
        "health-checked: {checked:?}"
    );
    let actions = harness.answer_health_check(312, 3, 312, true);
    assert_eq!(sent_to(&actions), [3], "sent once a primary is known");
}

#[test]
fn on_statement_write_without_primary_spends_half_its_attempts_after_backoff() {
    let mut harness = new_harness(&settings_with(|s| s.workloads[WRITE].slo_time = ms(5000)), 3);
    harness.answer_health_check(0, 1, 0, true);
    harness.answer_health_check(1, 1, 1, false);
    let (id, _) = harness.submit_with(2, WRITE, 5000, 0);
    let mut attempts = Vec::new();
    for now in 3..2500 {
        let mut pending = sent_to(&harness.driver.advance_to(at(now)));
        while let Some(member) = pending.pop() {
            attempts.push((now, member));
            let attempt = attempts.len() as u8 - 1;
            pending = sent_to(&harness.end_with_status(
                now,
                id,
                attempt,
                member,
                NotEligible,
                replica_status(1, false),
            ));
        }
    }
    assert!(attempts[0].0 >= 250, "sent before its backoff: {attempts:?}");
    assert_eq!(
        attempts.len(),
        3,
        "half of the executions wait for the primary: {attempts:?}"
    );
    assert_eq!(sent_to(&harness.answer_health_check(2501, 2, 2501, true)), [2]);
}

/// A write that cannot be dispatched, whether its primary is unreachable or at its limit, is rejected while
/// its client has time left for a retry, possibly through another driver.
#[test]
fn advance_to_undispatched_write_is_rejected_before_half_its_time() {
    // (whether the primary is reachable, drivers, expected answer)
    for (is_reachable, drivers, expected) in [
        (false, 1, "rejected"),
        (true, 1, "rejected"),
        (false, 40, "rejected"),
        (false, 300, "rejected"),
    ] {
        let change = |settings: &mut Settings| {
            (
                settings.workloads[WRITE].slo_time,
                settings.workloads[WRITE].late_share,
            ) = (ms(5000), 0.5);
            settings.driver_count = drivers;
        };
        let mut harness = new_harness(&settings_with(change), 3);
        harness.answer_health_check(0, 1, 0, true);
        let (first, actions) = harness.submit(1, WRITE);
        assert_eq!(sent_to(&actions), [1]);
        if !is_reachable {
            harness.end_execution(2, first, 0, 1, NoConnection);
        }
        let waiting = (0..20)
            .map(|_| harness.submit(3, WRITE))
            .find(|(_, actions)| actions.executions.is_empty());
        let (id, actions) = waiting.expect("a write that is not dispatched");
        assert_eq!(answer(&actions, id), "");
        let before = harness.run_until(4, 700);
        assert_eq!(
            answer(&before, id),
            "",
            "rejected although the primary may soon be back"
        );
        assert_eq!(
            answer(&harness.run_until(701, 1000), id),
            expected,
            "reachable: {is_reachable}, drivers: {drivers}"
        );
    }
}

#[test]
fn on_endpoint_list_new_driver_health_checks_each_member_once() {
    let mut driver = asterlatch::policy::RoutingPolicy::new(&settings(), 1, at(0));
    let actions = driver.on_endpoint_list(at(0), &[member_entry(1), member_entry(2), member_entry(3)], true);
    assert_eq!(actions.health_checks, [1, 2, 3]);
    assert!(driver.advance_to(at(1)).health_checks.is_empty());
}

/// In a large fleet that starts at once, initial health checks by all drivers would overload the members.
#[test]
fn on_endpoint_list_large_fleet_sends_no_initial_health_checks_where_members_check_reads() {
    // (drivers, whether members check reads, number of initial health checks)
    let table = [(20, true, 3), (21, true, 0), (300, true, 0), (300, false, 3)];
    for (drivers, checks_reads, health_checks) in table {
        let change = |s: &mut Settings| (s.driver_count, s.members_check_reads) = (drivers, checks_reads);
        let mut driver = asterlatch::policy::RoutingPolicy::new(&settings_with(change), 1, at(0));
        driver.set_shared_clock();
        let actions =
            driver.on_endpoint_list(at(0), &[member_entry(1), member_entry(2), member_entry(3)], true);
        assert_eq!(
            actions.health_checks.len(),
            health_checks,
            "{drivers} {checks_reads}"
        );
        let actions = driver.on_statement(at(1), &statement(1, BOUNDED, 2000));
        let expected = if checks_reads { 2..=3 } else { 1..=1 };
        assert!(
            sent_to(&actions).iter().all(|m| expected.contains(m)) && sent_to(&actions).len() == 1,
            "{drivers} {checks_reads}"
        );
        // Members of a group without a primary are health-checked in any case, to find the new one.
        let actions = driver.on_endpoint_list(at(2), &[draining_member(1)], false);
        let write = driver.on_statement(at(3), &statement(2, WRITE, 2000));
        let checked = actions.health_checks.len() + write.health_checks.len();
        assert!(checked > 0 || health_checks > 0, "{drivers} {checks_reads}");
    }
}

#[test]
fn on_poll_failed_next_poll_follows_after_backoff() {
    for is_polled in [true, false] {
        let mut harness = new_harness(&settings_with(|s| s.poll_endpoint_list = is_polled), 2);
        assert!(
            !harness.driver.on_poll_failed(at(10)).poll_endpoint_list,
            "retried without backoff"
        );
        assert!(!harness.run_until(11, 40).poll_endpoint_list);
        assert_eq!(harness.run_until(41, 110).poll_endpoint_list, is_polled);
    }
    // The backoff is short after the first failure, since changes are missed meanwhile, and grows with
    // consecutive failures.
    let mut harness = new_harness(&settings_with(|s| s.poll_endpoint_list = true), 2);
    let mut now = 10;
    let mut next_backoff = || {
        harness.driver.on_poll_failed(at(now));
        let from = now;
        while !harness.driver.advance_to(at(now)).poll_endpoint_list {
            now += 1;
        }
        now - from
    };
    let backoffs: Vec<_> = (0..8).map(|_| next_backoff()).collect();
    for (failures, backoff) in backoffs.iter().enumerate() {
        let mean = (62 << failures).min(1000);
        assert!((mean / 2..=mean * 3 / 2 + 2).contains(backoff), "{backoffs:?}");
    }
    let backoff = {
        now += 2500;
        harness.driver.on_poll_failed(at(now));
        let polled = (0..).find(|ms| harness.driver.advance_to(at(now + ms)).poll_endpoint_list);
        polled.expect("polls again")
    };
    assert!(
        backoff < 100,
        "a failure after a pause is not consecutive: {backoff}"
    );
}

#[test]
fn on_health_check_ejected_member_is_readmitted() {
    // (outcome of the first executions at member 2, number of failures until it is ejected)
    for (outcome, failures) in [(Errored, 10), (NoConnection, 1), (ConnectionLost, 1)] {
        let mut harness = new_harness(&settings(), 3);
        let mut dispatched_at = Vec::new();
        for now in (0..6000).step_by(20) {
            if now % 1000 == 980 {
                harness.answer_health_check(now, 2, now, false);
            }
            let (id, actions) = harness.submit(now, READ);
            let member = sent_to(&actions)[0];
            dispatched_at.extend(Some(now).filter(|_| member == 2));
            let fails = member == 2 && dispatched_at.len() <= failures;
            harness.end_execution(now + 1, id, 0, member, if fails { outcome } else { Completed });
        }
        let near = |at: u64, from| at > from && at <= from + 500;
        let within = |from| dispatched_at.iter().filter(|at| near(**at, from)).count();
        let (after, later) = (within(dispatched_at[failures - 1]), within(5400));
        assert!(after < 8 && later >= 11, "{outcome:?}: {after}, {later}");
    }
}

#[test]
fn on_statement_driver_with_few_samples_admits_a_share() {
    // (latencies of members 2 and 3, whether most reads are admitted, whether most of those are sent to
    // member 3)
    for (latencies, admits_most, prefers_third) in [
        ([50, 50], true, false),
        ([450, 450], false, false),
        ([450, 50], true, true),
    ] {
        let mut harness = new_harness(&settings(), 4);
        harness.update_endpoint(0, draining_member(4)); // a draining member admits nothing
        let (mut sent, mut at_third, mut rejected) = (0, 0, 0);
        for round in 0..60 {
            let (id, actions) = harness.submit(2000 * round, READ);
            rejected += u32::from(round >= 40 && answer(&actions, id) == "rejected");
            for member in sent_to(&actions) {
                let latency = if member == 1 {
                    450
                } else {
                    latencies[member as usize - 2]
                };
                let end = execution_end(
                    id,
                    member,
                    Completed,
                    latency,
                    replica_status(2000 * round, member == 1),
                );
                harness.run_until(2000 * round + 1, 2000 * round + latency);
                harness
                    .driver
                    .on_execution_ended(at(2000 * round + latency), &end);
                sent += u32::from(round >= 40);
                at_third += u32::from(round >= 40 && member == 3);
            }
            harness.run_until(2000 * round + 460, 2000 * round + 1999);
        }
        let result = (sent > 10, sent > 10 && at_third * 10 > sent * 7);
        assert_eq!(
            result,
            (admits_most, prefers_third),
            "{sent} sent, {at_third} to member 3"
        );
        assert_eq!(rejected > 9, !admits_most, "{rejected} rejected at once");
    }
}

/// A single failure at each member must not cause rejections; several failures do.
#[test]
fn on_statement_single_failure_at_each_member_rejects_nothing() {
    for (failures, rejects) in [(1, false), (4, true)] {
        let mut harness = new_harness(&settings(), 3);
        let executions: usize = (0..200)
            .map(|n| harness.run_statement(4 * n, READ, Completed))
            .sum();
        assert_eq!(executions, 200);
        for (n, member) in (0..failures).flat_map(|n| [1, 2, 3].map(|member| (n, member))) {
            let workload = if member == 1 { FRESH } else { READ };
            let mut fail =
                || harness.run_with(800 + n, workload, |m| if m == member { Errored } else { NotSent });
            assert!(
                (0..9).any(|_| fail().contains(&member)),
                "nothing is sent to {member}"
            );
        }
        let rejected = (0..100).filter(|_| {
            let (id, actions) = harness.submit(810, READ);
            answer(&actions, id) == "rejected"
        });
        assert_eq!(rejected.count() > 0, rejects, "{failures} failures");
    }
}

#[test]
fn on_execution_ended_group_wide_failures_do_not_amplify_load() {
    // (outcome of every execution, bounds of the number of executions of 400 statements)
    for (outcome, min, max) in [(Errored, 200, 700), (Rejected, 200, 700)] {
        let mut harness = new_harness(&settings(), 4);
        let executions: usize = (0..400)
            .map(|n| harness.run_statement(5 * n, READ, outcome))
            .sum();
        assert!((min..max).contains(&executions), "{executions} executions");
    }
}

#[test]
fn on_execution_ended_most_valuable_waiting_statement_is_dispatched() {
    // (quota of the second tenant, workload of the last statement, whether it is dispatched before the
    // others)
    for (quota, workload, is_first) in [(0.0, BOUNDED, true), (1000.0, READ, true), (0.0, READ, false)] {
        let mut settings = settings();
        settings.workloads[BOUNDED].importance = 5.0;
        settings.tenant_quotas = vec![1.0, quota];
        settings.over_quota_share = 0.1;
        let mut harness = new_harness(&settings, 2);
        harness.answer_health_check(0, 1, 0, true);
        harness.answer_health_check(0, 2, 0, false);
        let in_flight = harness.saturate(1);
        assert!(in_flight.len() < 20, "{} executions in flight", in_flight.len());
        let (last, actions) = harness.submit_with(2, workload, 2000, 1);
        assert_eq!(actions.executions, [], "members are at their limits");
        let actions = harness.end_with_status(
            3,
            in_flight[0].0,
            0,
            in_flight[0].1,
            Completed,
            replica_status(3, in_flight[0].1 == 1),
        );
        assert_eq!(
            actions.executions[0].statement == last,
            is_first,
            "{quota} {workload}"
        );
    }
}

#[test]
fn advance_to_client_retry_keeps_slo_deadline_and_gets_retry_after_only_when_late() {
    // (whether it is a client retry, time left of 600 ms, retry-after time of its rejection, latest time of
    // the rejection)
    for (is_retry, time_left, retry_after, rejected_by) in
        [(false, 600, 0, 298), (true, 600, 0, 298), (true, 200, 100, 98)]
    {
        let mut harness = new_harness(&settings(), 1);
        harness.answer_health_check(0, 1, 0, true);
        harness.saturate(0);
        harness.driver.on_statement(at(0), &statement(98, READ, 600));
        let first_attempt = statement(99, READ, time_left);
        let retry = Statement {
            is_client_retry: is_retry,
            ..first_attempt
        };
        harness.driver.on_statement(at(0), &retry);
        let expected_delay = ms(retry_after);
        let expected = Answer::Rejected {
            statement: 99,
            retry_after: expected_delay,
        };
        let rejected_at =
            (1..600).find(|now| harness.driver.advance_to(at(*now)).answers.contains(&expected));
        assert!(
            rejected_at.is_some_and(|now| now <= rejected_by),
            "{is_retry} {time_left}: {rejected_at:?}"
        );
    }
}

#[test]
fn on_statement_stalled_driver_ejects_no_member() {
    // (whether the wake-up before the read was on time, member of the next read: the unresponsive one unless
    // ejected)
    for (is_on_time, expected) in [(true, 3), (false, 2)] {
        let mut harness = new_harness(&settings(), 3);
        assert_eq!(harness.route(0, READ), [2]);
        if is_on_time {
            harness.run_until(1, 1100);
        }
        let (id, actions) = harness.submit(1101, READ);
        assert_eq!(sent_to(&actions), [3], "next in round-robin order");
        harness.end_execution(1102, id, 0, 3, Completed);
        assert_eq!(
            harness.route(1103, READ),
            [expected],
            "wake-up on time: {is_on_time}"
        );
    }
}

#[test]
fn on_execution_ended_few_stuck_writes_do_not_reduce_the_limit() {
    let mut harness = new_harness(&settings(), 1);
    for round in 0..400 {
        let (id, _) = harness.submit(10 * round, WRITE);
        let (outcome, latency) = [(Cancelled, 1900), (Completed, 50)][usize::from(round % 5 > 0)];
        let end = execution_end(id, 1, outcome, latency, replica_status(10 * round, true));
        harness.driver.on_execution_ended(at(10 * round + 5), &end);
    }
    let limit = harness.saturate(4001).len();
    assert!(limit >= 4, "the limit was reduced to {limit}");
}

/// Single connections may hang. Once a health check proves the member alive, executions that it left
/// unanswered free their capacity, and their later end is ignored.
#[test]
fn on_health_check_unanswered_executions_of_live_member_free_capacity() {
    for (is_answered, has_capacity) in [(true, true), (false, false)] {
        let mut harness = new_harness(&settings(), 1);
        harness.answer_health_check(0, 1, 0, true);
        (0..20).for_each(|n| drop(harness.run_with(5 * n, WRITE, |_| Completed)));
        let (unanswered, actions) = harness.submit(200, WRITE);
        assert_eq!(sent_to(&actions), [1]);
        let checked_at =
            (201..1400).find(|now| !harness.driver.advance_to(at(*now)).health_checks.is_empty());
        let now = checked_at.expect("the member is health-checked");
        if is_answered {
            harness.answer_health_check(now + 1, 1, now, true);
        }
        assert_eq!(
            !harness.route(now + 2, WRITE).is_empty(),
            has_capacity,
            "{is_answered}"
        );
        harness.end_execution(now + 3, unanswered, 0, 1, TimedOut);
        harness.answer_health_check(now + 4, 1, now, true);
        assert!(harness.route(now + 5, WRITE).is_empty(), "the limit is still one");
    }
}

#[test]
fn on_endpoint_list_gone_or_restarted_primary_is_cleared() {
    for mut entry in [draining_member(1), started_member(1, remote_at(5))] {
        let mut harness = new_harness(&settings(), 2);
        harness.answer_health_check(1, 1, 1, true);
        entry.listed_as_primary = false;
        harness.update_endpoint(5, entry);
        assert_eq!(harness.route(6, WRITE), [], "waits for a new primary");
        assert_eq!(
            harness.run_until(7, 290).executions.len(),
            1,
            "tries a member after its backoff"
        );
    }
}

#[test]
fn advance_to_large_fleet_checks_ejected_member_rarely() {
    for (drivers, expected) in [(1, 9..=11), (100, 0..=1)] {
        let settings = settings_with(|s| s.driver_count = drivers);
        let mut harness = new_harness(&settings, 2);
        harness.answer_health_check(0, 1, 0, true);
        assert_eq!(harness.run_with(0, WRITE, |_| ConnectionLost), [1]);
        let health_checks = harness
            .run_until(2, 3000)
            .health_checks
            .iter()
            .filter(|m| **m == 1)
            .count();
        assert!(
            expected.contains(&health_checks),
            "{health_checks} health checks by one of {drivers} drivers"
        );
    }
}

#[test]
fn on_statement_ageing_position_is_checked_when_no_replica_is_ready() {
    let mut harness = new_harness(&settings_with(|s| s.members_check_reads = false), 2);
    harness.answer_health_check(0, 1, 0, true);
    harness.answer_health_check(1000, 2, 100, false);
    let (_, actions) = harness.submit(2100, BOUNDED);
    assert_eq!((sent_to(&actions), actions.health_checks), (vec![1], vec![2]));
}

#[test]
fn on_statement_reads_at_the_primary_leave_capacity_for_writes() {
    let mut harness = new_harness(&settings(), 2);
    harness.answer_health_check(0, 1, 0, true);
    (0..20).for_each(|now| assert_eq!(harness.run_statement(now, READ, Completed), 1));
    harness.saturate(30);
    assert_eq!(harness.route(31, WRITE), [1]);
}

#[test]
fn on_statement_expensive_connections_are_avoided() {
    // (outcome of the first executions at members other than 2, whether later reads stay with member 2)
    for (outcome, stays) in [(NoConnection, true), (Completed, false)] {
        let mut harness = new_harness(&settings(), 4);
        for round in 0..8 {
            harness.run_with(100 * round, READ, |m| if m == 2 { Completed } else { outcome });
            (1..5).for_each(|m| drop(harness.answer_health_check(100 * round + 2, m, 0, m == 1)));
            harness.run_until(100 * round + 2, 100 * round + 99);
        }
        let mut members = (0..6).flat_map(|n| harness.run_with(1000 + 100 * n, READ, |_| Completed));
        assert_eq!(members.all(|m| m == 2), stays, "{outcome:?}");
    }
}

#[test]
fn on_execution_ended_group_wide_slowness_does_not_reduce_the_limit_to_one() {
    let mut harness = new_harness(&settings(), 1);
    harness.answer_health_check(0, 1, 0, true);
    let mut limit = 0;
    for round in 1..2000 {
        let executions = (0..12).flat_map(|_| harness.submit_with(10 * round, READ, 3, 0).1.executions);
        let in_flight: Vec<u32> = executions.map(|e| e.statement).collect();
        harness.driver.advance_to(at(10 * round + 3));
        for id in &in_flight {
            let latency = if round < 300 { 50 } else { 400 };
            let end = execution_end(*id, 1, Completed, latency, replica_status(10 * round, true));
            harness.driver.on_execution_ended(at(10 * round + 5), &end);
        }
        limit = in_flight.len();
    }
    assert!(limit >= 2, "the limit was reduced to {limit}");
}
