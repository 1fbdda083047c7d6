//! Bounds of the members' clock: accuracy and robustness against wrong evidence.

use asterlatch::remote_clock::{RemoteClock, StampedAnswer, MAX_DRIFT, MAX_TRACKED_PRIMARIES, WINDOW};
use asterlatch::time::{RemoteTimestamp, TimeSpan, Timestamp};

const HOUR_MS: u64 = 3_600_000;
/// Initial time of the members' clock.
const REMOTE_START: u64 = 1_767_225_600_000_000;

fn ms(milliseconds: u64) -> TimeSpan {
    TimeSpan::millis(milliseconds)
}

/// Simulation of the two clocks and of members that answer a driver.
struct ClockSimulation {
    clock: RemoteClock,
    rng: fastrand::Rng,
    /// Elapsed time by the members' clock.
    elapsed: TimeSpan,
    local_start: Timestamp,
    /// Relative rate by which the driver's clock is faster.
    drift: f64,
    /// Sum of the steps of the members' clock.
    remote_step_ms: i64,
}

impl ClockSimulation {
    fn new(seed: u64, local_start: Timestamp, drift: f64) -> ClockSimulation {
        ClockSimulation {
            clock: RemoteClock::default(),
            rng: fastrand::Rng::with_seed(seed),
            elapsed: TimeSpan(0),
            local_start,
            drift,
            remote_step_ms: 0,
        }
    }

    fn local_now(&self) -> Timestamp {
        self.local_start + self.elapsed * (1.0 + self.drift)
    }

    fn remote_now(&self) -> RemoteTimestamp {
        let stepped = (REMOTE_START as i64 + self.remote_step_ms * 1000) as u64;
        RemoteTimestamp(stepped) + self.elapsed
    }

    fn advance(&mut self, span: TimeSpan) {
        self.elapsed = self.elapsed + span;
    }

    /// Lets a member answer within a round trip of `max_round_trip_ms`, at a position that lags by `lag`.
    fn answer(&mut self, member: u32, is_primary: bool, max_round_trip_ms: u64, lag: TimeSpan) {
        let sent_at = self.local_now();
        let request_time = TimeSpan(self.rng.u64(200..max_round_trip_ms * 500));
        self.advance(request_time);
        let stamp = RemoteTimestamp::from_millis((self.remote_now() - lag).as_millis());
        let response_time = TimeSpan(self.rng.u64(200..max_round_trip_ms * 500));
        self.advance(response_time);
        self.clock.observe(&StampedAnswer {
            member,
            stamp,
            received_at: self.local_now(),
            stamped_after: is_primary.then_some(sent_at),
        });
    }

    /// Errors of the upper and of the lower bound.
    fn errors(&self) -> (TimeSpan, TimeSpan) {
        let (now, remote) = (self.local_now(), self.remote_now());
        let latest = self.clock.latest(now).expect("an upper bound");
        let earliest = self.clock.earliest(now).expect("a lower bound");
        assert!(earliest <= remote, "{earliest:?} is after {remote:?}");
        assert!(latest >= remote, "{latest:?} is before {remote:?}");
        (latest - remote, remote - earliest)
    }
}

#[test]
fn observe_any_clock_offset_keeps_documented_error_bounds() {
    let near = REMOTE_START;
    let hour = HOUR_MS * 1000;
    for (seed, local_start) in [near, near - hour, near + hour, near + 5_000_000, 1_000_000]
        .into_iter()
        .enumerate()
    {
        for drift in [0.0, MAX_DRIFT * 0.9, -MAX_DRIFT * 0.9] {
            let mut simulation = ClockSimulation::new(seed as u64, Timestamp(local_start), drift);
            for step in 0..4000 {
                let member = simulation.rng.u32(0..9);
                let is_primary = member < 3;
                let lag = if is_primary { 0 } else { simulation.rng.u64(1..120) };
                simulation.answer(member, is_primary, 8, ms(lag));
                let idle = TimeSpan(simulation.rng.u64(0..40_000));
                simulation.advance(idle);
                // By now both kinds of evidence are available.
                if step > 100 {
                    let (upper_error, lower_error) = simulation.errors();
                    // Round trip, granularity of the stamp, and drift over two windows with a margin.
                    let max_drift = (WINDOW + WINDOW) * MAX_DRIFT * 2.0;
                    assert!(
                        upper_error <= ms(8 + 1 + 1) + max_drift,
                        "{upper_error:?} {drift}"
                    );
                    assert!(lower_error <= ms(120 + 8) + max_drift, "{lower_error:?} {drift}");
                }
            }
        }
    }
}

#[test]
fn latest_without_answer_of_primary_is_unknown() {
    let mut simulation = ClockSimulation::new(1, Timestamp(REMOTE_START), 0.0);
    let now = simulation.local_now();
    assert_eq!(
        (simulation.clock.earliest(now), simulation.clock.latest(now)),
        (None, None)
    );
    // A replica may lag by any time, so it provides only a lower bound.
    simulation.answer(5, false, 4, ms(10));
    let now = simulation.local_now();
    assert!(simulation.clock.earliest(now).is_some() && simulation.clock.latest(now).is_none());
    simulation.answer(1, true, 4, ms(0));
    let (upper_error, _) = simulation.errors();
    assert!(
        upper_error <= ms(6),
        "the first answer of a primary provides an upper bound: {upper_error:?}"
    );
}

/// The clocks may drift apart without evidence.
#[test]
fn latest_without_recent_evidence_widens_by_drift() {
    let mut simulation = ClockSimulation::new(2, Timestamp(REMOTE_START), MAX_DRIFT * -0.99);
    simulation.answer(1, true, 4, ms(0));
    simulation.advance(ms(HOUR_MS));
    let (upper_error, lower_error) = simulation.errors();
    assert!(
        upper_error <= ms(4000) && lower_error <= ms(4000),
        "{upper_error:?} {lower_error:?}"
    );
}

#[test]
fn observe_one_member_an_hour_ahead_moves_no_bound() {
    let mut simulation = ClockSimulation::new(3, Timestamp(REMOTE_START + 77), 0.0);
    for _ in 0..50 {
        for member in 0..6 {
            simulation.answer(member, member < 3, 4, ms(u64::from(member) * 5));
        }
        simulation.remote_step_ms += HOUR_MS as i64;
        simulation.answer(7, false, 4, ms(0));
        simulation.remote_step_ms -= HOUR_MS as i64;
        let (upper_error, lower_error) = simulation.errors();
        assert!(
            upper_error <= ms(6) && lower_error <= ms(40),
            "{upper_error:?} {lower_error:?}"
        );
    }
}

/// A primary that stalled answers with an old position, which earlier answers of any member contradict.
#[test]
fn observe_old_answer_of_primary_lowers_no_bound() {
    for same_member_answered in [true, false] {
        let mut simulation = ClockSimulation::new(4, Timestamp(REMOTE_START), 0.0);
        if same_member_answered {
            simulation.answer(1, true, 4, ms(0));
        } else {
            simulation.answer(2, false, 4, ms(20));
            simulation.answer(3, true, 4, ms(0));
        }
        for _ in 0..20 {
            simulation.answer(1, true, 4, ms(4000));
            let (upper_error, _) = simulation.errors();
            assert!(upper_error <= ms(6), "{upper_error:?}");
        }
    }
}

/// A newer answer of any member must drop the bound from a stalled primary.
#[test]
fn observe_newer_answer_drops_bound_of_stalled_primary() {
    let mut simulation = ClockSimulation::new(5, Timestamp(REMOTE_START), 0.0);
    simulation.answer(1, true, 4, ms(4000));
    simulation.answer(2, false, 4, ms(30));
    let now = simulation.local_now();
    assert_eq!(
        simulation.clock.latest(now),
        None,
        "unknown is the conservative result"
    );
    simulation.answer(3, true, 4, ms(0));
    let (upper_error, _) = simulation.errors();
    assert!(upper_error <= ms(6), "{upper_error:?}");
}

/// Forward steps of the members' clock are followed with the next answers, backward steps within two windows;
/// until then the upper bound stays conservative.
#[test]
fn observe_steps_of_the_members_clock_are_followed() {
    let hour = HOUR_MS as i64;
    for step in [hour, 5_000, -5_000, -hour] {
        let mut simulation = ClockSimulation::new(6, Timestamp(REMOTE_START), 0.0);
        let all_members_answer = |simulation: &mut ClockSimulation| {
            for member in 0..5 {
                simulation.answer(member, member < 2, 4, ms(0));
            }
        };
        all_members_answer(&mut simulation);
        simulation.remote_step_ms += step;
        all_members_answer(&mut simulation);
        if step > 0 {
            let (upper_error, _) = simulation.errors();
            assert!(upper_error <= ms(6), "{upper_error:?}");
        }
        let mut waited = TimeSpan(0);
        while waited < WINDOW + WINDOW + ms(200) {
            let latest = simulation.clock.latest(simulation.local_now());
            assert!(latest.is_none_or(|latest| latest >= simulation.remote_now()));
            all_members_answer(&mut simulation);
            simulation.advance(ms(100));
            waited = waited + ms(100);
        }
        let (upper_error, _) = simulation.errors();
        assert!(
            upper_error <= ms(6) + (WINDOW + WINDOW) * MAX_DRIFT,
            "{step}: {upper_error:?}"
        );
    }
}

/// The latest starts are ignored, so that one wrong entry does not make other members appear old.
#[test]
fn observe_starts_gives_lower_bound_without_the_latest() {
    let now = Timestamp(REMOTE_START);
    let start = |age_ms: u64| RemoteTimestamp(REMOTE_START) - ms(age_ms);
    let future = RemoteTimestamp(REMOTE_START) + ms(HOUR_MS);
    // (starts, expected lower bound)
    let table: [(&[RemoteTimestamp], Option<RemoteTimestamp>); 4] = [
        (&[], None),
        (&[future], None),
        (&[future, start(500)], Some(start(500))),
        (&[start(700), start(400), start(900)], Some(start(700))),
    ];
    for (starts, expected) in table {
        let mut clock = RemoteClock::default();
        clock.observe_starts(now, starts.iter().copied());
        assert_eq!(clock.earliest(now), expected, "{starts:?}");
        assert_eq!(clock.latest(now), None);
    }
}

/// Members are replaced over and over: only the latest ones count, and removed ones leave no bound.
#[test]
fn remove_member_gone_members_leave_no_bound() {
    let mut simulation = ClockSimulation::new(8, Timestamp(REMOTE_START), 0.0);
    // Distant primaries with one answer each.
    for member in 0..1000 {
        simulation.answer(member, true, 200, ms(0));
    }
    // As many near primaries as are tracked.
    for member in 1000..1000 + MAX_TRACKED_PRIMARIES as u32 {
        simulation.answer(member, true, 4, ms(0));
    }
    let (upper_error, _) = simulation.errors();
    assert!(
        upper_error <= ms(6),
        "only the last primaries count: {upper_error:?}"
    );
    for member in 0..2000 {
        simulation.clock.remove_member(member);
    }
    simulation.answer(5000, false, 4, ms(3));
    assert_eq!(simulation.clock.latest(simulation.local_now()), None);
}

#[test]
fn shared_without_evidence_returns_local_time() {
    let mut clock = RemoteClock::shared();
    let now = Timestamp(5_000_000);
    clock.observe(&StampedAnswer {
        member: 1,
        stamp: RemoteTimestamp(77),
        received_at: now,
        stamped_after: Some(now),
    });
    assert_eq!(clock.latest(now), Some(RemoteTimestamp(now.0)));
    assert_eq!(clock.earliest(now), Some(RemoteTimestamp(now.0)));
}

#[test]
fn observe_extreme_stamps_does_not_panic() {
    let mut clock = RemoteClock::default();
    for (member, stamp) in [(1, 0), (2, u64::MAX), (3, 1)] {
        for now in [0, u64::MAX, 1_000_000] {
            clock.observe(&StampedAnswer {
                member,
                stamp: RemoteTimestamp(stamp),
                received_at: Timestamp(now),
                stamped_after: Some(Timestamp(0)),
            });
            clock.latest(Timestamp(u64::MAX));
            clock.earliest(Timestamp(0));
        }
    }
}
