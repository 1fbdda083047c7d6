//! The relation of the members' clock to a driver's time line: what it guarantees, and against what.

use asterlatch::remote_clock::{RemoteClock, StampedAnswer, MAX_DRIFT, MOST_PRIMARIES, WINDOW};
use asterlatch::time::{RemoteTimestamp, TimeSpan, Timestamp};

const HOUR_MS: u64 = 3_600_000;
/// The members' clock when a world begins.
const REMOTE_START: u64 = 1_767_225_600_000_000;

fn ms(n: u64) -> TimeSpan {
    TimeSpan::millis(n)
}

/// Two clocks, and members whose answers a driver hears.
struct World {
    clock: RemoteClock,
    chance: fastrand::Rng,
    /// Time since the beginning by the members' clock.
    passed: TimeSpan,
    local_start: Timestamp,
    /// How much faster the driver's clock runs.
    drift: f64,
    /// How far the members' clock was set.
    remote_step_ms: i64,
}

impl World {
    fn new(seed: u64, local_start: Timestamp, drift: f64) -> World {
        World {
            clock: RemoteClock::default(),
            chance: fastrand::Rng::with_seed(seed),
            passed: TimeSpan(0),
            local_start,
            drift,
            remote_step_ms: 0,
        }
    }

    fn local_now(&self) -> Timestamp {
        self.local_start + self.passed * (1.0 + self.drift)
    }

    fn remote_now(&self) -> RemoteTimestamp {
        let stepped = (REMOTE_START as i64 + self.remote_step_ms * 1000) as u64;
        RemoteTimestamp(stepped) + self.passed
    }

    fn pass(&mut self, span: TimeSpan) {
        self.passed = self.passed + span;
    }

    /// A member answers after a round trip of at most this many milliseconds; `behind` is the age of what it has.
    fn answer(&mut self, member: u32, is_primary: bool, most_ms: u64, behind: TimeSpan) {
        let sent_at = self.local_now();
        let to_member = TimeSpan(self.chance.u64(200..most_ms * 500));
        self.pass(to_member);
        let stamp = RemoteTimestamp::from_millis((self.remote_now() - behind).as_millis());
        let back = TimeSpan(self.chance.u64(200..most_ms * 500));
        self.pass(back);
        self.clock.observe(&StampedAnswer {
            member,
            stamp,
            received_at: self.local_now(),
            stamped_after: is_primary.then_some(sent_at),
        });
    }

    /// How far the upper bound is ahead, and the lower bound behind.
    fn errors(&self) -> (TimeSpan, TimeSpan) {
        let (now, remote) = (self.local_now(), self.remote_now());
        let latest = self.clock.latest(now).expect("is known");
        let earliest = self.clock.earliest(now).expect("is known");
        assert!(earliest <= remote, "{earliest:?} is after {remote:?}");
        assert!(latest >= remote, "{latest:?} is before {remote:?}");
        (latest - remote, remote - earliest)
    }
}

/// Whatever the driver's time line shows, both bounds hold, and each is as tight as the module states.
#[test]
fn both_bounds_hold_on_any_time_line() {
    let near = REMOTE_START;
    let hour = HOUR_MS * 1000;
    for (seed, local_start) in [near, near - hour, near + hour, near + 5_000_000, 1_000_000]
        .into_iter()
        .enumerate()
    {
        for drift in [0.0, MAX_DRIFT * 0.9, -MAX_DRIFT * 0.9] {
            let mut world = World::new(seed as u64, Timestamp(local_start), drift);
            for step in 0..4000 {
                let member = world.chance.u32(0..9);
                let is_primary = member < 3;
                let lag = if is_primary { 0 } else { world.chance.u64(1..120) };
                world.answer(member, is_primary, 8, ms(lag));
                let idle = TimeSpan(world.chance.u64(0..40_000));
                world.pass(idle);
                // With one of each kind at least.
                if step > 100 {
                    let (ahead, behind) = world.errors();
                    // A round trip, the stamp's granularity, and the drift of two windows and some.
                    let drifted = (WINDOW + WINDOW) * MAX_DRIFT * 2.0;
                    assert!(ahead <= ms(8 + 1 + 1) + drifted, "{ahead:?} {drift}");
                    assert!(behind <= ms(120 + 8) + drifted, "{behind:?} {drift}");
                }
            }
        }
    }
}

#[test]
fn nothing_is_known_before_evidence() {
    let mut world = World::new(1, Timestamp(REMOTE_START), 0.0);
    let now = world.local_now();
    assert_eq!((world.clock.earliest(now), world.clock.latest(now)), (None, None));
    // A replica bounds from below alone: it may be behind by any time.
    world.answer(5, false, 4, ms(10));
    let now = world.local_now();
    assert!(world.clock.earliest(now).is_some() && world.clock.latest(now).is_none());
    world.answer(1, true, 4, ms(0));
    let (ahead, _) = world.errors();
    assert!(
        ahead <= ms(6),
        "the first answer of a primary bounds from above: {ahead:?}"
    );
}

/// The bound grows with the time since the evidence, as the clocks may drift apart.
#[test]
fn bounds_widen_while_nothing_is_heard() {
    let mut world = World::new(2, Timestamp(REMOTE_START), MAX_DRIFT * -0.99);
    world.answer(1, true, 4, ms(0));
    world.pass(ms(HOUR_MS));
    let (ahead, behind) = world.errors();
    assert!(ahead <= ms(4000) && behind <= ms(4000), "{ahead:?} {behind:?}");
}

/// One of four and more members with a clock ahead moves nothing.
#[test]
fn member_an_hour_ahead_moves_no_bound() {
    let mut world = World::new(3, Timestamp(REMOTE_START + 77), 0.0);
    for _ in 0..50 {
        for member in 0..6 {
            world.answer(member, member < 3, 4, ms(u64::from(member) * 5));
        }
        world.remote_step_ms += HOUR_MS as i64;
        world.answer(7, false, 4, ms(0));
        world.remote_step_ms -= HOUR_MS as i64;
        let (ahead, behind) = world.errors();
        assert!(ahead <= ms(6) && behind <= ms(40), "{ahead:?} {behind:?}");
    }
}

/// A primary that stalled answers with what it had. Its own newer answers show that, or those of others.
#[test]
fn old_answer_of_a_primary_lowers_no_bound() {
    for own_history in [true, false] {
        let mut world = World::new(4, Timestamp(REMOTE_START), 0.0);
        if own_history {
            world.answer(1, true, 4, ms(0));
        } else {
            world.answer(2, false, 4, ms(20));
            world.answer(3, true, 4, ms(0));
        }
        for _ in 0..20 {
            world.answer(1, true, 4, ms(4000));
            let (ahead, _) = world.errors();
            assert!(ahead <= ms(6), "{ahead:?}");
        }
    }
}

/// The first answer heard may be such a one: anybody's newer answer takes its bound away again.
#[test]
fn first_answer_of_a_stalled_primary_is_disproved() {
    let mut world = World::new(5, Timestamp(REMOTE_START), 0.0);
    world.answer(1, true, 4, ms(4000));
    world.answer(2, false, 4, ms(30));
    let now = world.local_now();
    assert_eq!(world.clock.latest(now), None, "the careful side");
    world.answer(3, true, 4, ms(0));
    let (ahead, _) = world.errors();
    assert!(ahead <= ms(6), "{ahead:?}");
}

/// A machine that was suspended, or members' clocks that were set ahead, are followed with the next answers; members' clocks
/// that were set back within two windows, and until then the bound is on the careful side.
#[test]
fn steps_of_the_members_clock_are_followed() {
    let hour = HOUR_MS as i64;
    for step in [hour, 5_000, -5_000, -hour] {
        let mut world = World::new(6, Timestamp(REMOTE_START), 0.0);
        let all_answer = |world: &mut World| {
            for member in 0..5 {
                world.answer(member, member < 2, 4, ms(0));
            }
        };
        all_answer(&mut world);
        world.remote_step_ms += step;
        all_answer(&mut world);
        if step > 0 {
            let (ahead, _) = world.errors();
            assert!(ahead <= ms(6), "{ahead:?}");
        }
        let mut waited = TimeSpan(0);
        while waited < WINDOW + WINDOW + ms(200) {
            let latest = world.clock.latest(world.local_now());
            assert!(latest.is_none_or(|latest| latest >= world.remote_now()));
            all_answer(&mut world);
            world.pass(ms(100));
            waited = waited + ms(100);
        }
        let (ahead, _) = world.errors();
        assert!(
            ahead <= ms(6) + (WINDOW + WINDOW) * MAX_DRIFT,
            "{step}: {ahead:?}"
        );
    }
}

/// A list's latest starts are left out, so one wrong entry doesn't make the others seem old.
#[test]
fn starts_in_a_list_bound_from_below_without_the_latest() {
    let now = Timestamp(REMOTE_START);
    let start = |ago_ms: u64| RemoteTimestamp(REMOTE_START) - ms(ago_ms);
    let future = RemoteTimestamp(REMOTE_START) + ms(HOUR_MS);
    // (starts; the bound by them)
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

/// Members come and go without end: only those heard last count, and one that is gone is forgotten.
#[test]
fn gone_members_are_forgotten() {
    let mut world = World::new(8, Timestamp(REMOTE_START), 0.0);
    // Primaries that are far away, each heard once.
    for member in 0..1000 {
        world.answer(member, true, 200, ms(0));
    }
    // As many near ones as count.
    for member in 1000..1000 + MOST_PRIMARIES as u32 {
        world.answer(member, true, 4, ms(0));
    }
    let (ahead, _) = world.errors();
    assert!(ahead <= ms(6), "only the last ones count: {ahead:?}");
    for member in 0..2000 {
        world.clock.forget(member);
    }
    world.answer(5000, false, 4, ms(3));
    assert_eq!(world.clock.latest(world.local_now()), None);
}

#[test]
fn shared_clock_needs_no_evidence() {
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

/// Stamps and times at the ends of their range saturate.
#[test]
fn extreme_stamps_do_not_panic() {
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
