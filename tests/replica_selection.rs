//! The ordinary path, the primary's finding, and each failure met so far.

mod common;
use asterlatch::interface::*;
use common::*;
use ExecutionOutcome::*;

#[test]
fn writes_go_to_primary_and_reads_round_robin() {
    let mut b = bench(&settings(), 4);
    // (workload, the members that four statements in a row go to)
    for (workload, expected) in [
        (WRITE, [1, 1, 1, 1]),
        (READ, [2, 3, 4, 2]),
        (FRESH, [1, 1, 1, 1]),
        (BOUNDED, [3, 4, 2, 3]),
    ] {
        let mut went = Vec::new();
        for n in 0..4 {
            let (id, r) = b.take(n, workload);
            went.extend(sent_to(&r));
            b.end(n, id, 0, went[went.len() - 1], Completed);
        }
        assert_eq!(went, expected, "workload {workload}");
    }
}

#[test]
fn newest_evidence_decides_the_primary() {
    // (what was seen, in order of arrival: member, position, as primary; where a write then goes)
    type Row<'a> = (&'a [(u32, u64, bool)], &'a [u32]);
    let table: [Row; 5] = [
        (&[(1, 10, true)], &[1]),
        (&[(1, 10, true), (2, 20, true)], &[2]),
        (&[(2, 20, true), (1, 10, true)], &[2]), // the old primary's word arrives late
        (&[(1, 10, true), (1, 15, false)], &[]), // deposed: held until another is named
        (&[(2, 20, true), (1, 30, false), (2, 25, true)], &[2]),
    ];
    for (sightings, expected) in table {
        let mut b = bench(&settings(), 3);
        for (n, (member, position, primary)) in sightings.iter().enumerate() {
            b.see(50 + n as u64, *member, *position, *primary);
        }
        assert_eq!(b.goes(60, WRITE), expected, "{sightings:?}");
    }
}

#[test]
fn write_rejected_as_not_eligible_finds_new_primary() {
    let mut b = bench(&with(|s| s.workloads[WRITE].slo_time = ms(5000)), 3);
    let (id, _) = b.take(0, WRITE);
    for m in 1..=3 {
        b.see(1, m, 1, m == 1);
    }
    let r = b.end_seen(5, id, 0, 1, NotEligible, seen(5, false));
    assert_eq!(sent_to(&r), [2], "moves to the next member while none is named");
    let r = b.end_seen(6, id, 1, 2, NotEligible, seen(6, false));
    assert_eq!(sent_to(&r), [3]);
    let r = b.end_seen(7, id, 2, 3, NotEligible, seen(7, false));
    assert!(r.executions.is_empty(), "missed everywhere: held");
    let asked = b.run_until(8, 310).health_checks;
    assert!((1..=3).all(|m| asked.contains(&m)), "asked: {asked:?}");
    let r = b.see(312, 3, 312, true);
    assert_eq!(sent_to(&r), [3], "goes out once a primary is named");
}

#[test]
fn write_without_primary_is_sent_after_backoff_and_keeps_half_its_attempts() {
    let mut b = bench(&with(|s| s.workloads[WRITE].slo_time = ms(5000)), 3);
    b.see(0, 1, 0, true);
    b.see(1, 1, 1, false);
    let (id, _) = b.take_by(2, WRITE, 5000, 0);
    let mut went = Vec::new();
    for now in 3..2500 {
        let mut todo = sent_to(&b.driver.advance_to(at(now)));
        while let Some(m) = todo.pop() {
            went.push((now, m));
            let number = went.len() as u8 - 1;
            todo = sent_to(&b.end_seen(now, id, number, m, NotEligible, seen(1, false)));
        }
    }
    assert!(went[0].0 >= 250, "waits for its short timer: {went:?}");
    assert_eq!(went.len(), 3, "the second half waits for the primary: {went:?}");
    assert_eq!(sent_to(&b.see(2501, 2, 2501, true)), [2]);
}

/// A primary behind a cut link: its writes must not wait until their clients can do nothing any more. Those that
/// only wait for room go on waiting.
#[test]
fn unplaced_statement_is_rejected_before_half_its_time() {
    // Behind a primary that is lost, or one that is up and full: a client that hears of it at the end can do
    // nothing any more, and what was sent nowhere is dearer then. That holds for many drivers as well: the client
    // may come to one that knows more.
    for (reached, drivers, told) in [
        (false, 1, "rejected"),
        (true, 1, "rejected"),
        (false, 40, "rejected"),
        (false, 300, "rejected"),
    ] {
        let change = |s: &mut Settings| {
            (s.workloads[WRITE].slo_time, s.workloads[WRITE].late_share) = (ms(5000), 0.5);
            s.driver_count = drivers;
        };
        let mut b = bench(&with(change), 3);
        b.see(0, 1, 0, true);
        let (first, r) = b.take(1, WRITE);
        assert_eq!(sent_to(&r), [1]);
        if !reached {
            b.end(2, first, 0, 1, NoConnection);
        }
        let waits = (0..20)
            .map(|_| b.take(3, WRITE))
            .find(|(_, r)| r.executions.is_empty());
        let (id, r) = waits.expect("one finds no place");
        assert_eq!(answer(&r, id), "");
        let before = b.run_until(4, 700);
        assert_eq!(answer(&before, id), "", "a primary may come back at once");
        assert_eq!(answer(&b.run_until(701, 1000), id), told, "reached: {reached}");
    }
}

#[test]
fn new_driver_health_checks_each_member_once() {
    let mut driver = asterlatch::policy::RoutingPolicy::new(&settings(), 1, at(0));
    let r = driver.on_endpoint_list(at(0), &[member(1), member(2), member(3)], true);
    assert_eq!(r.health_checks, [1, 2, 3]);
    assert!(driver.advance_to(at(1)).health_checks.is_empty());
}

/// Three hundred drivers that wake in the same millisecond would ask each member as often: where members turn away what
/// they are too far behind for, a read finds out as well.
#[test]
fn large_fleet_sends_no_initial_health_checks_where_members_check_reads() {
    // (drivers, members check reads; probes at first, and where a read then goes)
    let table = [(20, true, 3), (21, true, 0), (300, true, 0), (300, false, 3)];
    for (drivers, checks, probes) in table {
        let change = |s: &mut Settings| (s.driver_count, s.members_check_reads) = (drivers, checks);
        let mut driver = asterlatch::policy::RoutingPolicy::new(&with(change), 1, at(0));
        driver.set_shared_clock();
        let r = driver.on_endpoint_list(at(0), &[member(1), member(2), member(3)], true);
        assert_eq!(r.health_checks.len(), probes, "{drivers} {checks}");
        let r = driver.on_statement(at(1), &statement(1, BOUNDED, 2000));
        let expected = if checks { 2..=3 } else { 1..=1 };
        assert!(
            sent_to(&r).iter().all(|m| expected.contains(m)) && sent_to(&r).len() == 1,
            "{drivers} {checks}"
        );
        // A group whose primary is lost is still asked, or nobody would hear of the next one.
        let r = driver.on_endpoint_list(at(2), &[drained(1)], false);
        let write = driver.on_statement(at(3), &statement(2, WRITE, 2000));
        let asked = r.health_checks.len() + write.health_checks.len();
        assert!(asked > 0 || probes > 0, "{drivers} {checks}");
    }
}

#[test]
fn failed_poll_is_retried_with_backoff() {
    for on_request in [true, false] {
        let mut b = bench(&with(|s| s.poll_endpoint_list = on_request), 2);
        assert!(!b.driver.on_poll_failed(at(10)).poll_endpoint_list, "not at once");
        assert!(!b.run_until(11, 40).poll_endpoint_list);
        assert_eq!(b.run_until(41, 110).poll_endpoint_list, on_request);
    }
    // Soon after the first failure, for changes are missed while no call stands; less so where calls fail in a row, as they do
    // at a discovery that is asked too much.
    let mut b = bench(&with(|s| s.poll_endpoint_list = true), 2);
    let mut now = 10;
    let mut waits = || {
        b.driver.on_poll_failed(at(now));
        let from = now;
        while !b.driver.advance_to(at(now)).poll_endpoint_list {
            now += 1;
        }
        now - from
    };
    let in_a_row: Vec<_> = (0..8).map(|_| waits()).collect();
    for (n, waited) in in_a_row.iter().enumerate() {
        let mean = (62 << n).min(1000);
        assert!((mean / 2..=mean * 3 / 2 + 2).contains(waited), "{in_a_row:?}");
    }
    let waited = {
        now += 2500;
        b.driver.on_poll_failed(at(now));
        let found = (0..).find(|ms| b.driver.advance_to(at(now + ms)).poll_endpoint_list);
        found.expect("asks")
    };
    assert!(
        waited < 100,
        "one that stood for a while is no failure in a row: {waited}"
    );
}

#[test]
fn ejected_members_are_readmitted() {
    // (how executions at member 2 end at first, and how many of them it takes)
    for (ending, times) in [(Errored, 10), (NoConnection, 1), (ConnectionLost, 1)] {
        let mut b = bench(&settings(), 3);
        let mut turns = Vec::new();
        for now in (0..6000).step_by(20) {
            if now % 1000 == 980 {
                b.see(now, 2, now, false);
            }
            let (id, r) = b.take(now, READ);
            let m = sent_to(&r)[0];
            turns.extend(Some(now).filter(|_| m == 2));
            let troubled = m == 2 && turns.len() <= times;
            b.end(now + 1, id, 0, m, if troubled { ending } else { Completed });
        }
        let near = |at: u64, from| at > from && at <= from + 500;
        let within = |from| turns.iter().filter(|at| near(**at, from)).count();
        let (after, later) = (within(turns[times - 1]), within(5400));
        assert!(after < 8 && later >= 11, "{ending:?}: {after}, {later}");
    }
}

#[test]
fn driver_with_few_samples_admits_a_share() {
    // (time of answers at members 2 and 3; whether most reads are let in, and whether most of those go to 3)
    for (times, most, third) in [
        ([50, 50], true, false),
        ([450, 450], false, false),
        ([450, 50], true, true),
    ] {
        let mut b = bench(&settings(), 4);
        b.told(0, drained(4)); // what is gone lets nothing in
        let (mut sent, mut at_third, mut at_once) = (0, 0, 0);
        for n in 0..60 {
            let (id, r) = b.take(2000 * n, READ);
            at_once += u32::from(n >= 40 && answer(&r, id) == "rejected");
            for m in sent_to(&r) {
                let took = if m == 1 { 450 } else { times[m as usize - 2] };
                let end = ended(id, m, Completed, took, seen(2000 * n, m == 1));
                b.run_until(2000 * n + 1, 2000 * n + took);
                b.driver.on_execution_ended(at(2000 * n + took), &end);
                sent += u32::from(n >= 40);
                at_third += u32::from(n >= 40 && m == 3);
            }
            b.run_until(2000 * n + 460, 2000 * n + 1999);
        }
        let got = (sent > 10, sent > 10 && at_third * 10 > sent * 7);
        assert_eq!(got, (most, third), "{sent}, {at_third} at 3");
        assert_eq!(at_once > 9, !most, "{at_once} rejected at once");
    }
}

/// A lone failure at each member is no reason to turn reads away, however little they are worth; several are.
#[test]
fn lone_failure_at_each_member_rejects_nothing() {
    for (failures, left_out) in [(1, false), (4, true)] {
        let mut b = bench(&settings(), 3);
        let borne: usize = (0..200).map(|n| b.run_through(4 * n, READ, Completed)).sum();
        assert_eq!(borne, 200);
        for (n, m) in (0..failures).flat_map(|n| [1, 2, 3].map(|m| (n, m))) {
            let workload = if m == 1 { FRESH } else { READ };
            let mut fails = || b.run_by(800 + n, workload, |at| if at == m { Errored } else { NotSent });
            assert!((0..9).any(|_| fails().contains(&m)), "never goes to {m}");
        }
        let out = (0..100).filter(|_| {
            let (id, r) = b.take(810, READ);
            answer(&r, id) == "rejected"
        });
        assert_eq!(out.count() > 0, left_out, "{failures}");
    }
}

#[test]
fn group_wide_failures_do_not_amplify_load() {
    // (how every execution ends, the least and the most executions that 400 statements get)
    for (ending, least, most) in [(Errored, 200, 700), (Rejected, 200, 700)] {
        let mut b = bench(&settings(), 4);
        let executions: usize = (0..400).map(|n| b.run_through(5 * n, READ, ending)).sum();
        assert!((least..most).contains(&executions), "{executions} executions");
    }
}

#[test]
fn full_members_queue_statements_by_importance() {
    // (the second tenant's quota, the workload of the last statement, whether it goes before the others)
    for (quota, workload, first) in [(0.0, BOUNDED, true), (1000.0, READ, true), (0.0, READ, false)] {
        let mut s = settings();
        s.workloads[BOUNDED].importance = 5.0;
        s.tenant_quotas = vec![1.0, quota];
        s.over_quota_share = 0.1;
        let mut b = bench(&s, 2);
        b.see(0, 1, 0, true);
        b.see(0, 2, 0, false);
        let out = b.crowd(1);
        assert!(out.len() < 20, "{} executions out at once", out.len());
        let (last, r) = b.take_by(2, workload, 2000, 1);
        assert_eq!(r.executions, [], "no room");
        let r = b.end_seen(3, out[0].0, 0, out[0].1, Completed, seen(3, out[0].1 == 1));
        assert_eq!(r.executions[0].statement == last, first, "{quota} {workload}");
    }
}

#[test]
fn client_retry_keeps_slo_deadline_and_gets_retry_after_only_when_late() {
    // (a marked repeat, time left of 600 ms when it comes; the hold-off it is rejected with, ms after that)
    for (repeat, left, advised, after) in [(false, 600, 0, 298), (true, 600, 0, 298), (true, 200, 100, 98)] {
        let mut b = bench(&settings(), 1);
        b.see(0, 1, 0, true);
        b.crowd(0);
        b.driver.on_statement(at(0), &statement(98, READ, 600));
        let plain = statement(99, READ, left);
        let stmt = Statement {
            is_client_retry: repeat,
            ..plain
        };
        b.driver.on_statement(at(0), &stmt);
        let hold_off = ms(advised);
        let expected = Answer::Rejected {
            statement: 99,
            retry_after: hold_off,
        };
        let when = (1..600).find(|now| b.driver.advance_to(at(*now)).answers.contains(&expected));
        assert!(when.is_some_and(|now| now <= after), "{repeat} {left}: {when:?}");
    }
}

#[test]
fn stalled_driver_ejects_no_member() {
    // (the wake-up before the read comes on time; whether the silent member has lost its turn)
    for (on_time, expected) in [(true, 3), (false, 2)] {
        let mut b = bench(&settings(), 3);
        assert_eq!(b.goes(0, READ), [2]);
        if on_time {
            b.run_until(1, 1100);
        }
        let (id, r) = b.take(1101, READ);
        assert_eq!(sent_to(&r), [3], "its turn comes first");
        b.end(1102, id, 0, 3, Completed);
        assert_eq!(b.goes(1103, READ), [expected], "woken on time: {on_time}");
    }
}

#[test]
fn few_stuck_writes_keep_the_primary_admitting() {
    let mut b = bench(&settings(), 1);
    for n in 0..400 {
        let (id, _) = b.take(10 * n, WRITE);
        let (ending, took) = [(Cancelled, 1900), (Completed, 50)][usize::from(n % 5 > 0)];
        let end = ended(id, 1, ending, took, seen(10 * n, true));
        b.driver.on_execution_ended(at(10 * n + 5), &end);
    }
    let out = b.crowd(4001).len();
    assert!(out >= 4, "the bound has shrunk to {out}");
}

/// Connections may fall silent although the member lives: once a probe says so, what it owed for long keeps no room,
/// and its late end says nothing.
#[test]
fn unanswered_executions_of_live_member_free_capacity() {
    for (answers, room) in [(true, true), (false, false)] {
        let mut b = bench(&settings(), 1);
        b.see(0, 1, 0, true);
        (0..20).for_each(|n| drop(b.run_by(5 * n, WRITE, |_| Completed)));
        let (silent, r) = b.take(200, WRITE);
        assert_eq!(sent_to(&r), [1]);
        let probed = (201..1400).find(|now| !b.driver.advance_to(at(*now)).health_checks.is_empty());
        let now = probed.expect("it is overdue");
        if answers {
            b.see(now + 1, 1, now, true);
        }
        assert_eq!(!b.goes(now + 2, WRITE).is_empty(), room, "{answers}");
        b.end(now + 3, silent, 0, 1, TimedOut);
        b.see(now + 4, 1, now, true);
        assert!(b.goes(now + 5, WRITE).is_empty(), "one at a time");
    }
}

#[test]
fn gone_or_restarted_primary_is_cleared() {
    for mut entry in [drained(1), started(1, remote(5))] {
        let mut b = bench(&settings(), 2);
        b.see(1, 1, 1, true);
        entry.listed_as_primary = false;
        b.told(5, entry);
        assert_eq!(b.goes(6, WRITE), [], "held until another is named");
        assert_eq!(b.run_until(7, 290).executions.len(), 1, "then tried");
    }
}

#[test]
fn large_fleet_checks_ejected_member_rarely() {
    for (drivers, probes) in [(1, 9..=11), (100, 0..=1)] {
        let s = with(|s| s.driver_count = drivers);
        let mut b = bench(&s, 2);
        b.see(0, 1, 0, true);
        assert_eq!(b.run_by(0, WRITE, |_| ConnectionLost), [1]);
        let sent = b
            .run_until(2, 3000)
            .health_checks
            .iter()
            .filter(|m| **m == 1)
            .count();
        assert!(probes.contains(&sent), "{sent} probes by one of {drivers}");
    }
}

#[test]
fn ageing_position_is_checked_when_reads_lack_replicas() {
    let mut b = bench(&with(|s| s.members_check_reads = false), 2);
    b.see(0, 1, 0, true);
    b.see(1000, 2, 100, false);
    let (_, r) = b.take(2100, BOUNDED);
    assert_eq!((sent_to(&r), r.health_checks), (vec![1], vec![2]));
}

#[test]
fn spilled_reads_leave_primary_capacity() {
    let mut b = bench(&settings(), 2);
    b.see(0, 1, 0, true);
    (0..20).for_each(|n| assert_eq!(b.run_through(n, READ, Completed), 1));
    b.crowd(30);
    assert_eq!(b.goes(31, WRITE), [1]);
}

#[test]
fn expensive_connections_are_avoided() {
    // (how the first executions end at every member; whether the turns then keep to the member connected to)
    for (ending, kept) in [(NoConnection, true), (Completed, false)] {
        let mut b = bench(&settings(), 4);
        for n in 0..8 {
            b.run_by(100 * n, READ, |m| if m == 2 { Completed } else { ending });
            (1..5).for_each(|m| drop(b.see(100 * n + 2, m, 0, m == 1)));
            b.run_until(100 * n + 2, 100 * n + 99);
        }
        let mut sent = (0..6).flat_map(|n| b.run_by(1000 + 100 * n, READ, |_| Completed));
        assert_eq!(sent.all(|m| m == 2), kept, "{ending:?}");
    }
}

#[test]
fn group_wide_slowness_keeps_members_admitting() {
    let mut b = bench(&settings(), 1);
    b.see(0, 1, 0, true);
    let mut last = 0;
    for n in 1..2000 {
        let all = (0..12).flat_map(|_| b.take_by(10 * n, READ, 3, 0).1.executions);
        let out: Vec<u32> = all.map(|e| e.statement).collect();
        b.driver.advance_to(at(10 * n + 3));
        for id in &out {
            let took = if n < 300 { 50 } else { 400 };
            let end = ended(*id, 1, Completed, took, seen(10 * n, true));
            b.driver.on_execution_ended(at(10 * n + 5), &end);
        }
        last = out.len();
    }
    assert!(last >= 2, "the bound has shrunk to {last}");
}
