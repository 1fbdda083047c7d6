//! A driver whose clock differs from that of members and discovery: decisions must not depend on the
//! difference.

mod common;
use asterlatch::interface::ExecutionOutcome::*;
use asterlatch::interface::*;
use asterlatch::policy::RoutingPolicy;
use asterlatch::time::{RemoteTimestamp, Timestamp};
use common::{
    member_entry, ms, replica_status, sent_to, settings_with, statement, BOUNDED, READ, SESSION, WRITE,
};

const HOUR_MS: i64 = 3_600_000;
/// Offsets of the driver's clock from the members' clock, in milliseconds.
const OFFSETS: [i64; 6] = [0, -5000, 5000, -HOUR_MS, HOUR_MS, -400 * HOUR_MS];

/// A time of the members' clock.
fn remote_at(now_ms: u64) -> RemoteTimestamp {
    RemoteTimestamp(2_000_000_000_000_000) + ms(now_ms)
}

/// A driver, with the offset of its clock from the members' clock.
struct Driver {
    policy: RoutingPolicy,
    offset_ms: i64,
    last_statement: u32,
}

impl Driver {
    fn new(settings: &Settings, offset_ms: i64) -> Driver {
        Driver {
            policy: RoutingPolicy::new(settings, 5, local_at(0, offset_ms)),
            offset_ms,
            last_statement: 0,
        }
    }

    /// A driver with members 1 to 3 in its endpoint list, of which the first is the primary.
    fn with_members(settings: &Settings, offset_ms: i64) -> Driver {
        let mut driver = Driver::new(settings, offset_ms);
        driver.list(0, &[member_entry(1), member_entry(2), member_entry(3)], true);
        driver
    }

    fn at(&self, now_ms: u64) -> Timestamp {
        local_at(now_ms, self.offset_ms)
    }

    fn list(&mut self, now_ms: u64, entries: &[MemberEntry], is_complete: bool) -> Actions {
        let now = self.at(now_ms);
        self.policy.on_endpoint_list(now, entries, is_complete)
    }

    fn answer_health_check(&mut self, now_ms: u64, member: u32, position: u64, is_primary: bool) -> Actions {
        let status = status(position, is_primary);
        let now = self.at(now_ms);
        self.policy.on_health_check(now, member, true, ms(2), status)
    }

    fn route(&mut self, now_ms: u64, workload: usize) -> Vec<u32> {
        self.last_statement += 1;
        let statement = statement(self.last_statement, workload, 2000);
        let now = self.at(now_ms);
        sent_to(&self.policy.on_statement(now, &statement))
    }

    fn end_execution(
        &mut self,
        now_ms: u64,
        outcome: ExecutionOutcome,
        member: u32,
        status: ReplicaStatus,
    ) -> Actions {
        let end = ExecutionEnd {
            statement: self.last_statement,
            attempt: 0,
            member,
            outcome,
            latency: ms(5),
            is_answered: outcome == Completed,
            status,
        };
        let now = self.at(now_ms);
        self.policy.on_execution_ended(now, &end)
    }
}

fn local_at(now_ms: u64, offset_ms: i64) -> Timestamp {
    let start = 2_000_000_000_000_000i64 + offset_ms * 1000;
    Timestamp(start as u64) + ms(now_ms)
}

fn status(position: u64, is_primary: bool) -> ReplicaStatus {
    ReplicaStatus {
        position: Some(remote_at(position)),
        is_position_current: true,
        ..replica_status(0, is_primary)
    }
}

fn load_report(position: u64, is_primary: bool) -> ReplicaStatus {
    ReplicaStatus {
        is_position_current: false,
        ..status(position, is_primary)
    }
}

fn without_read_checks() -> Settings {
    settings_with(|s| s.members_check_reads = false)
}

fn with_tracked_sessions() -> Settings {
    settings_with(|settings| {
        settings.members_check_reads = false;
        settings.carries_session_position = false;
    })
}

#[test]
fn on_statement_bounded_read_goes_to_fresh_replica_by_the_members_clock() {
    for offset in OFFSETS {
        let mut driver = Driver::with_members(&without_read_checks(), offset);
        driver.answer_health_check(1000, 1, 1000, true);
        driver.answer_health_check(1000, 2, 600, false);
        driver.answer_health_check(1000, 3, 950, false);
        assert_eq!(driver.route(1010, BOUNDED), [3], "{offset}");
        assert_eq!(driver.route(1020, BOUNDED), [3], "{offset}");
        assert_eq!(
            driver.route(1300, BOUNDED),
            [1],
            "{offset}: the position is too old"
        );
    }
}

/// Without evidence of the members' clock no position proves a replica fresh; the first answer of a primary
/// provides it.
#[test]
fn on_statement_bounded_read_without_evidence_goes_to_primary() {
    for offset in OFFSETS {
        let mut driver = Driver::with_members(&without_read_checks(), offset);
        driver.answer_health_check(1000, 2, 995, false);
        driver.answer_health_check(1000, 3, 995, false);
        assert_eq!(driver.route(1001, BOUNDED), [1], "{offset}");
        driver.end_execution(1006, Completed, 1, status(1003, true));
        assert_ne!(driver.route(1007, BOUNDED), [1], "{offset}");
        assert_ne!(driver.route(1008, BOUNDED), [1], "{offset}");
    }
}

#[test]
fn on_statement_bounded_read_without_evidence_tries_replica_that_checks_reads() {
    for offset in OFFSETS {
        let mut driver = Driver::with_members(&settings_with(|_| ()), offset);
        assert_ne!(driver.route(990, BOUNDED), [1], "{offset}");
        // Not a replica that is known to lag behind another.
        driver.answer_health_check(1000, 2, 995, false);
        driver.answer_health_check(1000, 3, 600, false);
        assert_eq!(driver.route(1001, BOUNDED), [2], "{offset}");
        assert_eq!(driver.route(1002, BOUNDED), [2], "{offset}");
    }
}

/// Evidence from another group can prove a replica fresh.
#[test]
fn on_health_check_first_evidence_dispatches_waiting_read() {
    let mut driver = Driver::new(&without_read_checks(), HOUR_MS);
    let other_group = MemberEntry {
        group: 8,
        ..member_entry(4)
    };
    let replicas = [2, 3].map(member_entry);
    driver.list(0, &[replicas[0], replicas[1], other_group], true);
    driver.answer_health_check(1000, 2, 995, false);
    driver.answer_health_check(1000, 3, 995, false);
    assert!(driver.route(1001, BOUNDED).is_empty());
    let actions = driver.answer_health_check(1003, 4, 1002, true);
    assert_eq!(sent_to(&actions).len(), 1);
}

#[test]
fn accepts_answer_age_is_measured_by_the_members_clock() {
    for offset in OFFSETS {
        let mut driver = Driver::with_members(&without_read_checks(), offset);
        driver.answer_health_check(1000, 1, 1000, true);
        assert_eq!(driver.route(2000, BOUNDED), [1], "{offset}");
        let id = driver.last_statement;
        assert!(
            driver.policy.accepts_answer(id, 0, status(1990, true)),
            "{offset}"
        );
        assert!(
            driver.policy.accepts_answer(id, 0, status(1705, true)),
            "{offset}"
        );
        assert!(
            !driver.policy.accepts_answer(id, 0, status(1695, true)),
            "{offset}"
        );
    }
}

/// The first answer may come from a primary that was deposed while it stalled.
#[test]
fn accepts_answer_of_deposed_primary_behind_a_replica_returns_false() {
    for offset in OFFSETS {
        let mut driver = Driver::with_members(&without_read_checks(), offset);
        driver.answer_health_check(5000, 2, 4990, false);
        assert_eq!(driver.route(5001, BOUNDED), [1], "{offset}");
        assert!(
            !driver
                .policy
                .accepts_answer(driver.last_statement, 0, status(1000, true)),
            "{offset}"
        );
    }
}

/// Guards against stale reads: a load report of the primary, made a while before it was requested, set the
/// estimate of the members' clock back.
#[test]
fn on_statement_load_report_of_primary_does_not_make_replicas_fresher() {
    for offset in OFFSETS {
        let mut driver = Driver::with_members(&without_read_checks(), offset);
        let (now, round_trip) = (driver.at(1000), ms(2));
        for (member, position, is_primary) in [(1, 800, true), (2, 780, false)] {
            let report = load_report(position, is_primary);
            driver
                .policy
                .on_health_check(now, member, true, round_trip, report);
        }
        // The bound is 300 ms, and the replica's position is 310 ms old.
        assert_eq!(driver.route(1090, BOUNDED), [1], "{offset}");
        // A load report that comes with an answer is as old.
        driver.end_execution(1095, Rejected, 1, load_report(800, true));
        assert_eq!(driver.route(1096, BOUNDED), [1], "{offset}");
    }
}

/// A session position or a report from the future must not make reads stale or slow.
#[test]
fn on_statement_positions_from_clients_and_peers_are_no_evidence() {
    for offset in OFFSETS {
        let mut driver = Driver::with_members(&without_read_checks(), offset);
        driver.answer_health_check(1000, 1, 1000, true);
        driver.answer_health_check(1000, 2, 990, false);
        let future = (HOUR_MS as u64) * 3;
        let now = driver.at(1001);
        let update = MemberUpdate::Status(ms(1), status(future, false));
        driver.policy.on_member_update(now, 3, update);
        let read = Statement {
            session_position: Some(remote_at(future)),
            ..statement(900, SESSION, 2000)
        };
        assert_eq!(sent_to(&driver.policy.on_statement(now, &read)), [1], "{offset}");
        assert!(
            driver.policy.accepts_answer(900, 0, status(1003, true)),
            "{offset}"
        );
        assert!(
            !driver.policy.accepts_answer(900, 0, status(900, true)),
            "{offset}"
        );
        // A position in the future does not prove the member fresh either.
        assert_eq!(driver.route(1002, BOUNDED), [2], "{offset}");
        assert_eq!(driver.route(1003, BOUNDED), [2], "{offset}");
    }
}

#[test]
fn on_statement_session_position_is_compared_without_clock() {
    for offset in OFFSETS {
        let mut driver = Driver::with_members(&without_read_checks(), offset);
        driver.answer_health_check(1000, 2, 900, false);
        driver.answer_health_check(1000, 3, 950, false);
        for (write_position, member) in [(940, 3), (951, 1)] {
            let read = Statement {
                session_position: Some(remote_at(write_position)),
                ..statement(write_position as u32, SESSION, 2000)
            };
            let now = driver.at(1001);
            assert_eq!(
                sent_to(&driver.policy.on_statement(now, &read)),
                [member],
                "{offset}"
            );
        }
    }
}

/// The commit time of a write whose answer was lost, here or at a peer process, is unknown until the first
/// evidence; until then no replica is known to include it.
#[test]
fn on_execution_ended_commit_of_unknown_position_is_bounded_by_first_evidence() {
    for (offset, is_own) in OFFSETS
        .into_iter()
        .flat_map(|offset| [(offset, true), (offset, false)])
    {
        let mut driver = Driver::with_members(&with_tracked_sessions(), offset);
        driver.answer_health_check(999, 2, 990, false);
        if is_own {
            assert_eq!(driver.route(1000, WRITE), [1]);
            driver.end_execution(1005, ConnectionLost, 1, ReplicaStatus::default());
        } else {
            driver.policy.on_session_write(driver.at(1005), Some(9), None);
        }
        assert!(driver.policy.has_unpositioned_write());
        driver.answer_health_check(1006, 2, 1004, false);
        driver.answer_health_check(1006, 3, 1004, false);
        // The primary is back and provides the first upper bound.
        driver.answer_health_check(1010, 1, 1009, true);
        assert_eq!(
            driver.route(1011, SESSION),
            [1],
            "{offset}, {is_own}: committed by 1005"
        );
        driver.answer_health_check(1030, 2, 1025, false);
        assert_eq!(driver.route(1031, SESSION), [2], "{offset}");
    }
}

fn started_member(id: u32, started_at: RemoteTimestamp) -> MemberEntry {
    MemberEntry {
        started_at: Some(started_at),
        ..member_entry(id)
    }
}

fn warm_up_fraction(driver: &Driver, now_ms: u64, id: u32) -> f64 {
    let warming = driver.policy.warming_members(driver.at(now_ms));
    let member = warming.iter().find(|warming| warming.member == id);
    member.map_or(1.0, |warming| warming.warm_up_fraction)
}

/// Without evidence a new member warms up from its first listing, whatever its start.
#[test]
fn warming_members_new_member_without_evidence_warms_up_from_first_listing() {
    let hour = ms(HOUR_MS as u64);
    for offset in OFFSETS {
        for started_at in [remote_at(2000), remote_at(2000) + hour, remote_at(2000) - hour] {
            let mut driver = Driver::with_members(&without_read_checks(), offset);
            driver.list(2000, &[started_member(4, started_at)], false);
            let initial = warm_up_fraction(&driver, 3000, 4);
            assert!(initial < 0.3, "{offset} {started_at:?}: {initial}");
            assert!(
                warm_up_fraction(&driver, 6000, 4) > initial,
                "{offset} {started_at:?}: does not warm up"
            );
            assert_eq!(
                warm_up_fraction(&driver, 14_000, 4),
                1.0,
                "{offset} {started_at:?}"
            );
        }
    }
}

#[test]
fn warming_members_evidence_distinguishes_old_from_new_members() {
    let hour = ms(HOUR_MS as u64);
    for offset in OFFSETS {
        let mut driver = Driver::with_members(&without_read_checks(), offset);
        driver.list(
            2000,
            &[
                started_member(4, remote_at(2000) - hour),
                started_member(5, remote_at(1990)),
            ],
            false,
        );
        assert!(warm_up_fraction(&driver, 2001, 4) < 0.3, "{offset}");
        driver.answer_health_check(2002, 1, 2001, true);
        assert_eq!(warm_up_fraction(&driver, 2003, 4), 1.0, "{offset}");
        assert!(warm_up_fraction(&driver, 3000, 5) < 0.3, "{offset}");
    }
}

#[test]
fn on_endpoint_list_start_in_the_future_makes_no_other_member_older() {
    let future = remote_at(2000) + ms(HOUR_MS as u64);
    for offset in OFFSETS {
        let mut driver = Driver::new(&without_read_checks(), offset);
        let entries = [
            member_entry(1),
            started_member(2, remote_at(1900)),
            started_member(3, future),
        ];
        driver.list(2000, &entries, true);
        for (now, id) in [(2100, 2), (2100, 3)] {
            assert!(
                warm_up_fraction(&driver, now, id) < 0.3,
                "{offset} {id} before evidence"
            );
        }
        driver.answer_health_check(2200, 1, 2199, true);
        assert!(warm_up_fraction(&driver, 2300, 2) < 0.3, "{offset} after");
        assert!(warm_up_fraction(&driver, 2300, 3) < 0.3, "{offset} after");
    }
}

#[test]
fn on_statement_dispatches_to_warming_member_do_not_depend_on_clock_offset() {
    let dispatches = |offset: i64| {
        let mut driver = Driver::with_members(&settings_with(|_| ()), offset);
        let mut sent = Vec::new();
        for now in (0..9000).step_by(20) {
            if now == 3000 {
                driver.list(now, &[started_member(2, remote_at(now))], false);
            }
            for member in driver.route(now, READ) {
                sent.push((now, member));
                driver.end_execution(now + 5, Completed, member, status(now, member == 1));
            }
        }
        sent
    };
    let expected = dispatches(0);
    let count = |id: u32| {
        let early = expected.iter().filter(|(n, _)| (3000..5000).contains(n));
        early.filter(|(_, member)| *member == id).count()
    };
    assert!(
        count(2) < count(3),
        "the warming member gets less at first: {} {}",
        count(2),
        count(3)
    );
    for offset in OFFSETS {
        assert_eq!(dispatches(offset), expected, "{offset}");
    }
}

#[test]
fn on_member_update_drain_compares_starts_without_clock() {
    for offset in OFFSETS {
        // (listed start, start of the draining instance, whether the drain applies)
        for (listed, reported, applies) in [(500, 500, true), (500, 700, true), (700, 500, false)] {
            let mut driver = Driver::new(&settings_with(|s| s.cold_start_fraction = 1.0), offset);
            driver.list(1000, &[started_member(1, remote_at(listed))], true);
            let update = MemberUpdate::Draining(Some(remote_at(reported)));
            let now = driver.at(1100);
            driver.policy.on_member_update(now, 1, update);
            assert_eq!(
                driver.route(25_000, READ).is_empty(),
                applies,
                "{offset} {listed} {reported}"
            );
        }
    }
}

/// Drivers forward a member's status with its age, so that their clocks need not agree.
#[test]
fn on_member_update_status_from_driver_with_different_clock_is_equivalent() {
    for offset in OFFSETS {
        for peer_offset in OFFSETS {
            let mut peer = Driver::with_members(&without_read_checks(), peer_offset);
            peer.answer_health_check(1000, 3, 990, false);
            // By the peer's monotonic clock.
            let age = peer.at(1040) - peer.at(1000);
            let mut driver = Driver::with_members(&without_read_checks(), offset);
            driver.answer_health_check(1030, 1, 1030, true);
            let now = driver.at(1040);
            let update = MemberUpdate::Status(age, status(990, false));
            driver.policy.on_member_update(now, 3, update);
            assert_eq!(driver.route(1041, BOUNDED), [3], "{offset} {peer_offset}");
            assert_eq!(driver.route(1280, BOUNDED), [3], "{offset} {peer_offset}");
            assert_eq!(
                driver.route(1295, BOUNDED),
                [1],
                "{offset} {peer_offset}: too old by now"
            );
        }
    }
}

fn hand_over(driver: &Driver, now_ms: u64, settings: &Settings) -> Driver {
    let bytes = postcard::to_stdvec(&driver.policy).expect("serialize the learned state");
    let learned = postcard::from_bytes(&bytes).expect("deserialize the learned state");
    let now = driver.at(now_ms);
    Driver {
        policy: RoutingPolicy::resume(learned, settings, false, now),
        offset_ms: driver.offset_ms,
        last_statement: 500,
    }
}

/// The estimate of the members' clock is not handed over, so a successor is as conservative as a new driver
/// until the first evidence.
#[test]
fn resume_successor_without_evidence_is_conservative() {
    for offset in OFFSETS {
        let mut driver = Driver::with_members(&without_read_checks(), offset);
        driver.list(1000, &[started_member(3, remote_at(1000))], false);
        driver.answer_health_check(1000, 1, 1000, true);
        driver.answer_health_check(1000, 2, 990, false);
        assert_eq!(driver.route(1001, BOUNDED), [2], "{offset}");
        let mut successor = hand_over(&driver, 1100, &without_read_checks());
        assert_eq!(successor.route(1101, BOUNDED), [1], "{offset}");
        assert!(
            warm_up_fraction(&successor, 1102, 3) < 0.3,
            "{offset}: still warming up"
        );
        successor.end_execution(1106, Completed, 1, status(1104, true));
        assert_eq!(successor.route(1107, BOUNDED), [2], "{offset}");
        assert!(warm_up_fraction(&successor, 1150, 3) < 0.3, "{offset}");
    }
}

/// A predecessor of an earlier build assigned commits and roles without a position to times of its wrong wall
/// clock.
#[test]
fn resume_positions_from_a_wrong_clock_are_corrected() {
    let mut driver = Driver::with_members(&with_tracked_sessions(), 0);
    // The predecessor uses its own clock, an hour ahead, as the members' clock.
    driver.policy.set_shared_clock();
    let hour = HOUR_MS as u64;
    let ahead_at = |now_ms: u64| local_at(now_ms, HOUR_MS);
    driver.offset_ms = HOUR_MS;
    driver.policy.advance_to(ahead_at(10));
    let role = ReplicaStatus {
        position: None,
        is_position_current: false,
        is_primary: Some(true),
    };
    driver.policy.on_health_check(ahead_at(990), 1, true, ms(2), role);
    driver.route(1000, WRITE);
    driver.end_execution(1005, ConnectionLost, 1, ReplicaStatus::default());
    driver.policy.on_session_position(9, remote_at(hour + 1005));
    let mut successor = hand_over(&driver, 1100, &with_tracked_sessions());
    // The group has another primary by now.
    successor.answer_health_check(2200, 2, 2199, true);
    successor.answer_health_check(2210, 3, 2205, false);
    assert_eq!(successor.route(2211, WRITE), [2]);
    successor.end_execution(2216, Completed, 2, status(2214, true));
    successor.answer_health_check(12_500, 3, 12_495, false);
    assert_eq!(
        successor.route(12_501, SESSION),
        [3],
        "the session's position is still an hour ahead"
    );
}

#[test]
fn on_statement_random_inputs_give_equal_decisions_at_any_clock_offset() {
    let decisions = |offset: i64, settings: &Settings| {
        let mut rng = fastrand::Rng::with_seed(9);
        let mut driver = Driver::with_members(settings, offset);
        let mut in_flight = Vec::new();
        let mut decided = Vec::new();
        for now in (0..60_000).step_by(7) {
            if now % 9100 == 0 {
                driver.list(now, &[started_member(2, remote_at(now))], false);
            }
            let workload = [READ, BOUNDED, WRITE, SESSION][rng.usize(0..4)];
            for member in driver.route(now, workload) {
                in_flight.push((driver.last_statement, member, now));
                decided.push((now, member));
            }
            if rng.u8(0..10) < 9 && !in_flight.is_empty() {
                let (id, member, sent_at) = in_flight.swap_remove(rng.usize(0..in_flight.len()));
                let lag = if member == 1 { 0 } else { rng.u64(0..400) };
                let last_statement = std::mem::replace(&mut driver.last_statement, id);
                let actions = driver.end_execution(
                    now + 1,
                    Completed,
                    member,
                    status((now + 1 - lag.min(now)).max(sent_at), member == 1),
                );
                decided.extend(sent_to(&actions).into_iter().map(|member| (now, member)));
                driver.last_statement = last_statement;
            }
        }
        decided
    };
    for settings in [
        settings_with(|_| ()),
        without_read_checks(),
        with_tracked_sessions(),
    ] {
        let expected = decisions(0, &settings);
        assert!(expected.len() > 2000, "{}", expected.len());
        for offset in OFFSETS {
            assert_eq!(decisions(offset, &settings), expected, "{offset}");
        }
    }
}

/// The upper bound of the members' clock decides.
#[test]
fn on_statement_clock_uncertainty_shortens_the_freshness_bound() {
    let mut driver = Driver::with_members(&without_read_checks(), HOUR_MS);
    // The only round trip took 100 ms, so the members' clock may be ahead by that much.
    let now = driver.at(1100);
    driver
        .policy
        .on_health_check(now, 1, true, ms(100), status(1100, true));
    driver.answer_health_check(1100, 2, 1000, false);
    // The bound is 300 ms, so these reads require positions of 890 and 910 or, with the maximum uncertainty,
    // of 991 and 1011.
    assert_eq!(driver.route(1190, BOUNDED), [2]);
    assert_eq!(driver.route(1210, BOUNDED), [1]);
}
