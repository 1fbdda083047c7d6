//! What other drivers have told: it counts as far as it is safe, and never as a member's own word to this one.

mod common;
use asterlatch::interface::*;
use asterlatch::time::TimeSpan;
use common::*;

fn told(
    b: &mut Bench,
    now: u64,
    member: u32,
    ago: u64,
    position: Option<u64>,
    primary: Option<bool>,
) -> Actions {
    let sighting = ReplicaStatus {
        position: position.map(remote),
        is_primary: primary,
    };
    b.driver
        .on_member_update(at(now), member, MemberUpdate::Status(ms(ago), sighting))
}

/// (told of replica 2 at 10,000: how far it was, how long ago; where a read goes that may be 300 ms old)
#[test]
fn reported_position_covers_no_more_than_own_report() {
    #[rustfmt::skip]
    let table = [
        ("current", Some(9_900), 50, true),
        ("too far behind", Some(9_600), 50, false),
        ("nothing told", None, 50, false),
        // It was current then; nobody knows what it is now, and members here don't check reads.
        ("long ago", Some(9_000), 1000, false),
    ];
    for (name, position, ago, ready) in table {
        let s = with(|s| s.members_check_reads = false);
        let mut b = bench(&s, 2);
        b.see(9_990, 1, 9_990, true);
        told(&mut b, 10_000, 2, ago, position, None);
        let went = b.goes(10_000, BOUNDED);
        assert_eq!(went, [if ready { 2 } else { 1 }], "{name}");
    }
}

#[test]
fn own_report_outweighs_older_reports() {
    let s = with(|s| s.members_check_reads = false);
    let mut b = bench(&s, 2);
    b.see(9_990, 1, 9_990, true);
    b.see(9_990, 2, 9_950, false);
    told(&mut b, 10_000, 2, 10, Some(9_000), None);
    assert_eq!(b.goes(10_000, BOUNDED), [2]);
}

/// A role counts by the position it was told at, whoever heard it.
#[test]
fn primary_reported_by_others_takes_writes() {
    let mut b = bench(&settings(), 3);
    b.see(1000, 1, 1000, true);
    told(&mut b, 2000, 2, 5, Some(1990), Some(true));
    assert_eq!(b.goes(2001, WRITE), [2]);
    // An older claim, told late, changes nothing.
    told(&mut b, 2002, 3, 900, Some(1100), Some(true));
    assert_eq!(b.goes(2003, WRITE), [2]);
    // It has stepped back since.
    told(&mut b, 2010, 2, 1, Some(2009), Some(false));
    assert!(b.goes(2011, WRITE).is_empty(), "nobody is named: it waits");
    // Of one that isn't known here nothing holds.
    assert!(told(&mut b, 2012, 99, 1, Some(2011), Some(true))
        .executions
        .is_empty());
}

/// Others' word says nothing of how this driver fares with a member.
#[test]
fn reports_of_others_do_not_readmit_ejected_member() {
    let mut b = bench(&settings(), 2);
    b.see(0, 1, 0, true);
    let (stmt, r) = b.take(1, WRITE);
    assert_eq!(sent_to(&r), [1]);
    b.end(2, stmt, 0, 1, ExecutionOutcome::ConnectionLost);
    told(&mut b, 3, 1, 1, Some(2), Some(true));
    assert!(b.goes(4, WRITE).is_empty(), "a probe or an answer does");
    assert_eq!(sent_to(&b.see(5, 1, 5, true)), [1]);
}

#[test]
fn session_reads_its_write_through_another_driver() {
    let s = with(|s| {
        s.carries_session_position = false;
        s.members_check_reads = false;
    });
    let mut b = bench(&s, 2);
    b.see(9_000, 1, 9_000, true);
    b.see(9_000, 2, 8_990, false);
    assert_eq!(b.goes(9_001, SESSION), [2], "nothing written is known");
    b.driver.on_session_position(9, remote(8_995));
    assert_eq!(b.goes(9_002, SESSION), [1], "the replica isn't that far");
    b.see(9_010, 2, 9_000, false);
    assert_eq!(b.goes(9_011, SESSION), [2]);
    b.driver.on_session_position(9, remote(8_000));
    assert_eq!(b.goes(9_012, SESSION), [2], "an older word undoes nothing");
}

/// (workload's repeats, scope; sent so long ago; to member 1 of zone 0 or 2 of zone 1; where it goes and what is told)
#[test]
fn prior_attempt_elsewhere_allows_dispatch_only_where_safe() {
    let long = TimeSpan(u64::MAX / 4);
    #[rustfmt::skip]
    let table = [
        ("none is doubted", RetrySafety::NonIdempotent, DeduplicationScope::Group, None, vec![1], ""),
        ("it may have run", RetrySafety::NonIdempotent, DeduplicationScope::All, Some((ms(10), 1)), vec![], "aborted"),
        ("it may have run at any time", RetrySafety::NonIdempotent, DeduplicationScope::All, Some((long, 0)), vec![], "aborted"),
        ("the store still drops its repeats", RetrySafety::Deduplicated, DeduplicationScope::All, Some((ms(790), 1)), vec![1], ""),
        ("a write that is held up could come too late", RetrySafety::Deduplicated, DeduplicationScope::All, Some((ms(810), 1)), vec![], "rejected"),
        ("no more", RetrySafety::Deduplicated, DeduplicationScope::All, Some((ms(1000), 1)), vec![], "rejected"),
        ("nobody knows since when", RetrySafety::Deduplicated, DeduplicationScope::Group, Some((long, 0)), vec![], "aborted"),
        ("dropped in the other zone only", RetrySafety::Deduplicated, DeduplicationScope::Zone, Some((ms(10), 2)), vec![], ""),
        ("dropped in its zone", RetrySafety::Deduplicated, DeduplicationScope::Zone, Some((ms(10), 1)), vec![1], ""),
        ("harmless whatever was", RetrySafety::Idempotent, DeduplicationScope::All, Some((long, 0)), vec![1], ""),
    ];
    for (name, repeat, scope, doubted, goes, told) in table {
        let s = with(|s| {
            s.workloads[WRITE].retry_safety = repeat;
            s.workloads[WRITE].deduplication_scope = scope;
        });
        let mut b = bench(&s, 2);
        let zoned = MemberEntry { zone: 1, ..member(2) };
        b.told(0, zoned);
        b.see(1, 1, 1, true);
        let stmt = Statement {
            prior_attempt: doubted.map(|(age, member)| PriorAttempt { age, member }),
            is_client_retry: true,
            ..statement(500, WRITE, 2000)
        };
        let r = b.driver.on_statement(at(2000), &stmt);
        assert_eq!(sent_to(&r), goes, "{name}");
        assert_eq!(answer(&r, 500), told, "{name}");
        // What waits has its one answer in time; what has one has no other.
        let later = answer(&b.run_until(2001, 4100), 500);
        let waits = goes.is_empty() && told.is_empty();
        assert!(
            if waits {
                !later.is_empty()
            } else {
                told.is_empty() || later.is_empty()
            },
            "{name}: {later}"
        );
    }
}

/// What all have sent a cold member is known: then that binds, and neither its own last send nor caution does.
#[test]
fn warm_up_budget_binds_while_valid() {
    let settings = with(|s| s.may_use_gone_members = false);
    let cold = |allowed: Option<(u64, u64)>| {
        let mut b = bench(&settings, 1);
        b.told(0, started(1, remote(0)));
        if let Some((work, until)) = allowed {
            let (work, until) = (ms(work), at(until));
            b.driver
                .on_member_update(at(1), 1, MemberUpdate::WarmUpBudget { work, until });
        }
        // Statements of 100 ms; how many go out at once.
        (0..20).map(|_| b.goes(2, WRITE).len()).sum::<usize>()
    };
    let alone = cold(None);
    assert!(alone <= 1, "{alone}");
    assert_eq!(
        cold(Some((450, 200))),
        5,
        "what is allowed, and what it takes to pass it"
    );
    assert_eq!(cold(Some((0, 200))), 0);
    assert_eq!(cold(Some((450, 2))), alone, "it isn't known any more");
    // When it isn't, what went out before is still its debt.
    let mut b = bench(&settings, 1);
    b.told(0, started(1, remote(0)));
    let (work, until) = (ms(450), at(50));
    b.driver
        .on_member_update(at(1), 1, MemberUpdate::WarmUpBudget { work, until });
    assert_eq!(b.goes(2, WRITE), [1]);
    assert!(b.goes(51, WRITE).is_empty());
    let view = b.driver.warming_members(at(51));
    assert_eq!(view.len(), 1);
    assert!(
        view[0].warm_up_fraction < 0.3 && view[0].carried_load > 0.0,
        "{view:?}"
    );
    assert!(
        b.driver.warming_members(at(20_000)).is_empty(),
        "it is warm by then"
    );
}
