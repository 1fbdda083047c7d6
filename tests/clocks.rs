//! A driver whose time line has nothing to do with the clock of members and discovery, as after a start with a wrong wall clock.

mod common;
use asterlatch::interface::ExecutionOutcome::*;
use asterlatch::interface::*;
use asterlatch::policy::RoutingPolicy;
use asterlatch::time::{RemoteTimestamp, Timestamp};
use common::{member, ms, seen, sent_to, statement, with, BOUNDED, READ, SESSION, WRITE};

const HOUR_MS: i64 = 3_600_000;
/// How far the driver's time line is ahead of the members' clock, in milliseconds.
const OFFSETS: [i64; 6] = [0, -5000, 5000, -HOUR_MS, HOUR_MS, -400 * HOUR_MS];

/// The members' clock.
fn remote(n: u64) -> RemoteTimestamp {
    RemoteTimestamp(2_000_000_000_000_000) + ms(n)
}

/// A driver that has learned nothing, and its time line.
struct Driver {
    policy: RoutingPolicy,
    ahead_ms: i64,
    next: u32,
}

impl Driver {
    fn new(settings: &Settings, ahead_ms: i64) -> Driver {
        Driver {
            policy: RoutingPolicy::new(settings, 5, local(0, ahead_ms)),
            ahead_ms,
            next: 0,
        }
    }

    /// The list names members 1 to 3; the first is the primary.
    fn listed(settings: &Settings, ahead_ms: i64) -> Driver {
        let mut driver = Driver::new(settings, ahead_ms);
        driver.list(0, &[member(1), member(2), member(3)], true);
        driver
    }

    fn at(&self, n: u64) -> Timestamp {
        local(n, self.ahead_ms)
    }

    fn list(&mut self, n: u64, entries: &[MemberEntry], is_complete: bool) -> Actions {
        let now = self.at(n);
        self.policy.on_endpoint_list(now, entries, is_complete)
    }

    fn check(&mut self, n: u64, member: u32, position: u64, is_primary: bool) -> Actions {
        let status = status(position, is_primary);
        let now = self.at(n);
        self.policy.on_health_check(now, member, true, ms(2), status)
    }

    fn ask(&mut self, n: u64, workload: usize) -> Vec<u32> {
        self.next += 1;
        let statement = statement(self.next, workload, 2000);
        let now = self.at(n);
        sent_to(&self.policy.on_statement(now, &statement))
    }

    fn end(&mut self, n: u64, outcome: ExecutionOutcome, member: u32, status: ReplicaStatus) -> Actions {
        let end = ExecutionEnd {
            statement: self.next,
            attempt: 0,
            member,
            outcome,
            latency: ms(5),
            is_answered: outcome == Completed,
            status,
        };
        let now = self.at(n);
        self.policy.on_execution_ended(now, &end)
    }
}

fn local(n: u64, ahead_ms: i64) -> Timestamp {
    let start = 2_000_000_000_000_000i64 + ahead_ms * 1000;
    Timestamp(start as u64) + ms(n)
}

fn status(position: u64, is_primary: bool) -> ReplicaStatus {
    ReplicaStatus {
        position: Some(remote(position)),
        ..seen(0, is_primary)
    }
}

fn unchecked() -> Settings {
    with(|s| s.members_check_reads = false)
}

fn remembering() -> Settings {
    with(|s| {
        s.members_check_reads = false;
        s.carries_session_position = false;
    })
}

/// Wrong by any time: reads with a bound go to replicas that are fresh enough, and to no others.
#[test]
fn bounded_reads_go_by_the_members_clock() {
    for ahead in OFFSETS {
        let mut driver = Driver::listed(&unchecked(), ahead);
        driver.check(1000, 1, 1000, true);
        driver.check(1000, 2, 600, false);
        driver.check(1000, 3, 950, false);
        assert_eq!(driver.ask(1010, BOUNDED), [3], "{ahead}");
        assert_eq!(driver.ask(1020, BOUNDED), [3], "{ahead}");
        assert_eq!(driver.ask(1300, BOUNDED), [1], "{ahead}: no proof any more");
    }
}

/// Before any evidence the primary takes them, whatever replicas say of themselves; the first answer of a primary changes that.
#[test]
fn primary_takes_bounded_reads_before_evidence() {
    for ahead in OFFSETS {
        let mut driver = Driver::listed(&unchecked(), ahead);
        driver.check(1000, 2, 995, false);
        driver.check(1000, 3, 995, false);
        assert_eq!(driver.ask(1001, BOUNDED), [1], "{ahead}");
        driver.end(1006, Completed, 1, status(1003, true));
        assert_ne!(driver.ask(1007, BOUNDED), [1], "{ahead}");
        assert_ne!(driver.ask(1008, BOUNDED), [1], "{ahead}");
    }
}

/// Where members check reads themselves a replica may be tried, as a wrong guess costs one rejected execution.
#[test]
fn replica_that_checks_reads_is_tried_before_evidence() {
    for ahead in OFFSETS {
        let mut driver = Driver::listed(&with(|_| ()), ahead);
        assert_ne!(driver.ask(990, BOUNDED), [1], "{ahead}");
        // One that is known to lag behind another isn't.
        driver.check(1000, 2, 995, false);
        driver.check(1000, 3, 600, false);
        assert_eq!(driver.ask(1001, BOUNDED), [2], "{ahead}");
        assert_eq!(driver.ask(1002, BOUNDED), [2], "{ahead}");
    }
}

/// Reads that wait for a primary are placed as soon as evidence of another group shows a replica to be fresh.
#[test]
fn waiting_reads_are_placed_with_the_first_evidence() {
    let mut driver = Driver::new(&unchecked(), HOUR_MS);
    let elsewhere = MemberEntry {
        group: 8,
        ..member(4)
    };
    let replicas = [2, 3].map(member);
    driver.list(0, &[replicas[0], replicas[1], elsewhere], true);
    driver.check(1000, 2, 995, false);
    driver.check(1000, 3, 995, false);
    assert!(driver.ask(1001, BOUNDED).is_empty());
    let actions = driver.check(1003, 4, 1002, true);
    assert_eq!(sent_to(&actions).len(), 1);
}

/// An answer is refused for its age by the members' clock alone.
#[test]
fn answers_are_refused_by_the_members_clock() {
    for ahead in OFFSETS {
        let mut driver = Driver::listed(&unchecked(), ahead);
        driver.check(1000, 1, 1000, true);
        assert_eq!(driver.ask(2000, BOUNDED), [1], "{ahead}");
        let id = driver.next;
        assert!(driver.policy.accepts_answer(id, 0, status(1990, true)), "{ahead}");
        assert!(driver.policy.accepts_answer(id, 0, status(1705, true)), "{ahead}");
        assert!(
            !driver.policy.accepts_answer(id, 0, status(1695, true)),
            "{ahead}"
        );
    }
}

/// The first answer of all may be that of a primary which was deposed while it stalled.
#[test]
fn answer_of_a_deposed_primary_is_refused_where_others_are_further() {
    for ahead in OFFSETS {
        let mut driver = Driver::listed(&unchecked(), ahead);
        driver.check(5000, 2, 4990, false);
        assert_eq!(driver.ask(5001, BOUNDED), [1], "{ahead}");
        assert!(
            !driver.policy.accepts_answer(driver.next, 0, status(1000, true)),
            "{ahead}"
        );
    }
}

/// What clients and other drivers say moves nothing: a token or a record from the future makes no read staler or slower.
#[test]
fn words_of_others_are_no_evidence() {
    for ahead in OFFSETS {
        let mut driver = Driver::listed(&unchecked(), ahead);
        driver.check(1000, 1, 1000, true);
        driver.check(1000, 2, 990, false);
        let future = (HOUR_MS as u64) * 3;
        let now = driver.at(1001);
        let update = MemberUpdate::Status(ms(1), status(future, false));
        driver.policy.on_member_update(now, 3, update);
        let token = Statement {
            session_position: Some(remote(future)),
            ..statement(900, SESSION, 2000)
        };
        assert_eq!(sent_to(&driver.policy.on_statement(now, &token)), [1], "{ahead}");
        assert!(
            driver.policy.accepts_answer(900, 0, status(1003, true)),
            "{ahead}"
        );
        assert!(
            !driver.policy.accepts_answer(900, 0, status(900, true)),
            "{ahead}"
        );
        // A position from the future proves nothing of the member either.
        assert_eq!(driver.ask(1002, BOUNDED), [2], "{ahead}");
        assert_eq!(driver.ask(1003, BOUNDED), [2], "{ahead}");
    }
}

/// A session's token compares with positions, and with no clock.
#[test]
fn sessions_tokens_need_no_clock() {
    for ahead in OFFSETS {
        let mut driver = Driver::listed(&unchecked(), ahead);
        driver.check(1000, 2, 900, false);
        driver.check(1000, 3, 950, false);
        for (wrote, member) in [(940, 3), (951, 1)] {
            let read = Statement {
                session_position: Some(remote(wrote)),
                ..statement(wrote as u32, SESSION, 2000)
            };
            let now = driver.at(1001);
            assert_eq!(
                sent_to(&driver.policy.on_statement(now, &read)),
                [member],
                "{ahead}"
            );
        }
    }
}

/// A write whose answer is lost before any evidence has committed nobody knows when: no replica shows it for sure until then,
/// and afterwards those that have caught up.
#[test]
fn commit_of_unknown_time_is_placed_with_the_first_evidence() {
    for ahead in OFFSETS {
        let mut driver = Driver::listed(&remembering(), ahead);
        driver.check(999, 2, 990, false);
        assert_eq!(driver.ask(1000, WRITE), [1]);
        driver.end(1005, ConnectionLost, 1, ReplicaStatus::default());
        driver.check(1006, 2, 1004, false);
        driver.check(1006, 3, 1004, false);
        // The first evidence from above; the primary is back.
        driver.check(1010, 1, 1009, true);
        assert_eq!(driver.ask(1011, SESSION), [1], "{ahead}: committed by 1005");
        driver.check(1030, 2, 1025, false);
        assert_eq!(driver.ask(1031, SESSION), [2], "{ahead}");
    }
}

fn started(id: u32, when: RemoteTimestamp) -> MemberEntry {
    MemberEntry {
        started_at: Some(when),
        ..member(id)
    }
}

fn fraction(driver: &Driver, n: u64, id: u32) -> f64 {
    let warming = driver.policy.warming_members(driver.at(n));
    let found = warming.iter().find(|warming| warming.member == id);
    found.map_or(1.0, |warming| warming.warm_up_fraction)
}

/// A member that has just joined is warming up from its first listing, whatever its start seems to be.
#[test]
fn joined_member_warms_up_before_evidence() {
    let hour = ms(HOUR_MS as u64);
    for ahead in OFFSETS {
        for since in [remote(2000), remote(2000) + hour, remote(2000) - hour] {
            let mut driver = Driver::listed(&unchecked(), ahead);
            driver.list(2000, &[started(4, since)], false);
            let young = fraction(&driver, 3000, 4);
            assert!(young < 0.3, "{ahead} {since:?}: {young}");
            assert!(
                fraction(&driver, 6000, 4) > young,
                "{ahead} {since:?}: it warms up"
            );
            assert_eq!(fraction(&driver, 14_000, 4), 1.0, "{ahead} {since:?}");
        }
    }
}

/// Evidence of the members' clock tells a member that started long ago from one that has just joined, as soon as it comes.
#[test]
fn evidence_shows_how_long_members_are_up() {
    let hour = ms(HOUR_MS as u64);
    for ahead in OFFSETS {
        let mut driver = Driver::listed(&unchecked(), ahead);
        driver.list(
            2000,
            &[started(4, remote(2000) - hour), started(5, remote(1990))],
            false,
        );
        assert!(fraction(&driver, 2001, 4) < 0.3, "{ahead}");
        driver.check(2002, 1, 2001, true);
        assert_eq!(fraction(&driver, 2003, 4), 1.0, "{ahead}");
        assert!(fraction(&driver, 3000, 5) < 0.3, "{ahead}");
    }
}

/// A start in the future is that of one member; the others are as old as before.
#[test]
fn start_in_the_future_makes_no_other_member_older() {
    let future = remote(2000) + ms(HOUR_MS as u64);
    for ahead in OFFSETS {
        let mut driver = Driver::new(&unchecked(), ahead);
        let entries = [member(1), started(2, remote(1900)), started(3, future)];
        driver.list(2000, &entries, true);
        for (n, id) in [(2100, 2), (2100, 3)] {
            assert!(fraction(&driver, n, id) < 0.3, "{ahead} {id} before evidence");
        }
        driver.check(2200, 1, 2199, true);
        assert!(fraction(&driver, 2300, 2) < 0.3, "{ahead} after");
        assert!(fraction(&driver, 2300, 3) < 0.3, "{ahead} after");
    }
}

/// What a warming member is sent doesn't depend on what the driver's time line shows.
#[test]
fn warming_member_gets_the_same_on_any_time_line() {
    let sent_by = |ahead: i64| {
        let mut driver = Driver::listed(&with(|_| ()), ahead);
        let mut sent = Vec::new();
        for n in (0..9000).step_by(20) {
            if n == 3000 {
                driver.list(n, &[started(2, remote(n))], false);
            }
            for member in driver.ask(n, READ) {
                sent.push((n, member));
                driver.end(n + 5, Completed, member, status(n, member == 1));
            }
        }
        sent
    };
    let expected = sent_by(0);
    let count = |id: u32| {
        let early = expected.iter().filter(|(n, _)| (3000..5000).contains(n));
        early.filter(|(_, member)| *member == id).count()
    };
    assert!(
        count(2) < count(3),
        "it is spared at first: {} {}",
        count(2),
        count(3)
    );
    for ahead in OFFSETS {
        assert_eq!(sent_by(ahead), expected, "{ahead}");
    }
}

/// A drain that another driver reports binds the start that it names, on any time line.
#[test]
fn reported_drains_compare_starts_alone() {
    for ahead in OFFSETS {
        // (start that is listed, start that is reported to drain, whether it binds)
        for (listed, reported, binds) in [(500, 500, true), (500, 700, true), (700, 500, false)] {
            let mut driver = Driver::new(&with(|s| s.cold_start_fraction = 1.0), ahead);
            driver.list(1000, &[started(1, remote(listed))], true);
            let update = MemberUpdate::Draining(Some(remote(reported)));
            let now = driver.at(1100);
            driver.policy.on_member_update(now, 1, update);
            assert_eq!(
                driver.ask(25_000, READ).is_empty(),
                binds,
                "{ahead} {listed} {reported}"
            );
        }
    }
}

/// A member's status goes from driver to driver with its age; what the clocks of the two show is of no account.
#[test]
fn drivers_with_different_clocks_agree() {
    for here in OFFSETS {
        for there in OFFSETS {
            let mut teller = Driver::listed(&unchecked(), there);
            teller.check(1000, 3, 990, false);
            // By the other's monotonic clock.
            let age = teller.at(1040) - teller.at(1000);
            let mut driver = Driver::listed(&unchecked(), here);
            driver.check(1030, 1, 1030, true);
            let now = driver.at(1040);
            let update = MemberUpdate::Status(age, status(990, false));
            driver.policy.on_member_update(now, 3, update);
            assert_eq!(driver.ask(1041, BOUNDED), [3], "{here} {there}");
            assert_eq!(driver.ask(1280, BOUNDED), [3], "{here} {there}");
            assert_eq!(driver.ask(1295, BOUNDED), [1], "{here} {there}: too old by now");
        }
    }
}

fn handed_over(driver: &Driver, n: u64, settings: &Settings) -> Driver {
    let bytes = postcard::to_stdvec(&driver.policy).expect("can be written");
    let learned = postcard::from_bytes(&bytes).expect("can be read");
    let now = driver.at(n);
    Driver {
        policy: RoutingPolicy::resume(learned, settings, false, now),
        ahead_ms: driver.ahead_ms,
        next: 500,
    }
}

/// A successor goes on with its predecessor's time line, whatever the wall clocks of both show. The relation to the members'
/// clock isn't handed over: until the first evidence it is as careful as a new driver.
#[test]
fn successor_is_careful_until_evidence() {
    for ahead in OFFSETS {
        let mut driver = Driver::listed(&unchecked(), ahead);
        driver.list(1000, &[started(3, remote(1000))], false);
        driver.check(1000, 1, 1000, true);
        driver.check(1000, 2, 990, false);
        assert_eq!(driver.ask(1001, BOUNDED), [2], "{ahead}");
        let mut next = handed_over(&driver, 1100, &unchecked());
        assert_eq!(next.ask(1101, BOUNDED), [1], "{ahead}");
        assert!(fraction(&next, 1102, 3) < 0.3, "{ahead}: it still warms up");
        next.end(1106, Completed, 1, status(1104, true));
        assert_eq!(next.ask(1107, BOUNDED), [2], "{ahead}");
        assert!(fraction(&next, 1150, 3) < 0.3, "{ahead}");
    }
}

/// A predecessor of an earlier build counted commits without a reported position, and roles, by its wrong wall clock.
#[test]
fn times_of_a_wrong_predecessor_do_not_stay() {
    let mut driver = Driver::listed(&remembering(), 0);
    // It took its own time for the members': an hour ahead of them.
    driver.policy.set_shared_clock();
    let hour = HOUR_MS as u64;
    let ahead = |n: u64| local(n, HOUR_MS);
    driver.ahead_ms = HOUR_MS;
    driver.policy.advance_to(ahead(10));
    let role = ReplicaStatus {
        position: None,
        is_primary: Some(true),
    };
    driver.policy.on_health_check(ahead(990), 1, true, ms(2), role);
    driver.ask(1000, WRITE);
    driver.end(1005, ConnectionLost, 1, ReplicaStatus::default());
    driver.policy.on_session_position(9, remote(hour + 1005));
    let mut next = handed_over(&driver, 1100, &remembering());
    // The group has another primary since.
    next.check(2200, 2, 2199, true);
    next.check(2210, 3, 2205, false);
    assert_eq!(next.ask(2211, WRITE), [2]);
    next.end(2216, Completed, 2, status(2214, true));
    next.check(12_500, 3, 12_495, false);
    assert_eq!(
        next.ask(12_501, SESSION),
        [3],
        "the session's write is not an hour ahead"
    );
}

/// Random answers and reads: every decision is the same whatever the time line shows.
#[test]
fn decisions_do_not_depend_on_the_time_line() {
    let decisions = |ahead: i64, settings: &Settings| {
        let mut chance = fastrand::Rng::with_seed(9);
        let mut driver = Driver::listed(settings, ahead);
        let mut out = Vec::new();
        let mut decided = Vec::new();
        for n in (0..60_000).step_by(7) {
            if n % 9100 == 0 {
                driver.list(n, &[started(2, remote(n))], false);
            }
            let workload = [READ, BOUNDED, WRITE, SESSION][chance.usize(0..4)];
            for member in driver.ask(n, workload) {
                out.push((driver.next, member, n));
                decided.push((n, member));
            }
            if chance.u8(0..10) < 9 && !out.is_empty() {
                let (id, member, sent) = out.swap_remove(chance.usize(0..out.len()));
                let lag = if member == 1 { 0 } else { chance.u64(0..400) };
                let current = std::mem::replace(&mut driver.next, id);
                let actions = driver.end(
                    n + 1,
                    Completed,
                    member,
                    status((n + 1 - lag.min(n)).max(sent), member == 1),
                );
                decided.extend(sent_to(&actions).into_iter().map(|member| (n, member)));
                driver.next = current;
            }
        }
        decided
    };
    for settings in [with(|_| ()), unchecked(), remembering()] {
        let expected = decisions(0, &settings);
        assert!(expected.len() > 2000, "{}", expected.len());
        for ahead in OFFSETS {
            assert_eq!(decisions(ahead, &settings), expected, "{ahead}");
        }
    }
}

/// The careful end of the error counts.
#[test]
fn error_of_the_estimate_shortens_the_bound() {
    let mut driver = Driver::listed(&unchecked(), HOUR_MS);
    // The only round trip took 100 ms, so the members' clock may be that much further.
    let now = driver.at(1100);
    driver
        .policy
        .on_health_check(now, 1, true, ms(100), status(1100, true));
    driver.check(1100, 2, 1000, false);
    // The bound is 300 ms. By the members' clock these reads may see what is of 890 and of 910, and of 991 and 1011 if the
    // error is as large as it can be.
    assert_eq!(driver.ask(1190, BOUNDED), [2]);
    assert_eq!(driver.ask(1210, BOUNDED), [1]);
}
