//! Phases, log and configuration, given a clock and values.

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_config::resolved::ResolvedSettings;
use asterlatch_driver::program::config;
use asterlatch_driver::program::log::Log;
use asterlatch_driver::program::operators::{schema, AppliedSettings};
use asterlatch_driver::program::phases::{Phase, PhaseDurations, Phases, ProcessState, ShutdownSchedule};
use asterlatch_driver::routing::limits::{Limits, Share};
use asterlatch_driver::transport::coroutines::CoroutineStacks;
use asterlatch_handover::{predecessor, successor};

fn at(ms: u64) -> Timestamp {
    Timestamp(0) + TimeSpan::millis(ms)
}

#[test]
fn phases_advance_in_order() {
    // Milliseconds, told to leave, listener closed, open clients and statements, the phase from then on.
    #[rustfmt::skip]
    let cases = [
        ("all are gone", vec![
            (0, false, false, 3, 3, Phase::Serving),
            (5, true, false, 3, 3, Phase::Leaving { since: at(5) }),
            (454, true, false, 3, 3, Phase::Leaving { since: at(5) }),
            (455, true, false, 3, 3, Phase::Draining { since: at(455) }),
            (460, true, false, 0, 0, Phase::Draining { since: at(455) }),
            (461, true, true, 1, 0, Phase::Draining { since: at(455) }),
            (470, true, true, 0, 0, Phase::Stopped),
        ]),
        ("one doesn't read its answer", vec![
            (0, true, false, 1, 1, Phase::Leaving { since: at(0) }),
            (450, true, false, 1, 1, Phase::Draining { since: at(450) }),
            (9000, true, true, 1, 1, Phase::Draining { since: at(450) }),
            (9001, true, true, 1, 0, Phase::Draining { since: at(450) }),
            (9500, true, true, 1, 1, Phase::Draining { since: at(450) }),
            (10_499, true, true, 1, 0, Phase::Draining { since: at(450) }),
            (10_500, true, true, 1, 0, Phase::Stopped),
        ]),
        ("a statement is open for longer, the drain is cut", vec![
            (0, true, false, 1, 1, Phase::Leaving { since: at(0) }),
            (450, true, false, 1, 1, Phase::Draining { since: at(450) }),
            (3449, true, true, 1, 1, Phase::Draining { since: at(450) }),
            (3450, true, true, 1, 1, Phase::Stopped),
        ]),
        ("told to leave before it serves", vec![(0, true, true, 0, 0, Phase::Leaving { since: at(0) })]),
    ];
    for (name, steps) in cases {
        let (mut phases, mut phase) = (Phases::default(), Phase::Starting);
        if name.ends_with("drain is cut") {
            phases.durations.max_drain = TimeSpan::millis(3000);
        }
        for (ms, is_shutting_down, is_listener_closed, open_clients, open_statements, expected) in steps {
            let is_listening = true;
            let state = ProcessState {
                is_shutting_down,
                is_listening,
                is_listener_closed,
                open_clients,
                open_statements,
            };
            while let Some(next) = phases.advance(at(ms), &state) {
                phase = next;
            }
            assert_eq!(phase, expected, "{name} at {ms}");
            assert!(
                phases.next_at(at(ms)) > at(ms),
                "{name}: would be looked at again and again"
            );
        }
    }
}

#[test]
fn shutdown_schedule_ends_before_the_kill_whatever_clients_wait() {
    // (longest client wait, SIGKILL after SIGTERM; milliseconds)
    for (wait, kill) in [(10, 710), (100, 800), (1000, 1700), (3000, 3700), (10_000, 3700)] {
        let schedule = ShutdownSchedule::new(at(0), TimeSpan::millis(wait));
        assert!(schedule.exit_at + TimeSpan::millis(200) <= at(kill), "{wait}");
        assert!(schedule.last_answer_at < schedule.exit_at, "{wait}");
        // A statement that came with the signal has its whole time, where the platform grants that.
        assert!(schedule.last_answer_at >= at(wait.min(3000)), "{wait}");
        // A client that neither reads nor goes, and a statement that is never answered, hold nothing up.
        let mut phases = Phases::default();
        phases.limit_shutdown(schedule.exit_at);
        let mut exited_at = None;
        for ms in 0..kill {
            let state = ProcessState {
                is_shutting_down: true,
                is_listening: true,
                is_listener_closed: true,
                open_clients: 1,
                open_statements: 1,
            };
            while let Some(phase) = phases.advance(at(ms), &state) {
                exited_at = (phase == Phase::Stopped).then_some(at(ms));
            }
        }
        assert_eq!(exited_at, Some(schedule.exit_at), "{wait}");
    }
}

#[test]
fn log_admit_limits_lines_by_topic_and_second() {
    let mut log = Log::default();
    let mut admitted = |ms, topic| log.admit(at(ms), topic);
    for n in 0..20 {
        assert_eq!(admitted(10_000 + n, "a").is_some(), n < 5, "{n}");
    }
    assert_eq!(admitted(10_020, "b"), Some(0), "another topic has its own limit");
    assert_eq!(admitted(11_000, "a"), Some(15), "and what was left out is told");
    assert_eq!(admitted(11_001, "a"), Some(0));
}

#[test]
fn config_read_missing_address_comes_from_environment() {
    let settings = r#""settings":{"categories":[{"name":"v"}],"family_info":{"freshness":["loose"]}}"#;
    let given = r#""listen":"127.0.0.1:1","discovery":"127.0.0.1:2""#;
    #[rustfmt::skip]
    let cases = [
        (format!("{{{given},{settings}}}"), Some((1, 2, 192 << 20, 1024))),
        (format!("{{{settings}}}"), Some((7, 7, 192 << 20, 1024))),
        (format!(r#"{{{given},{settings},"limits":{{"memory_mb":64,"sockets":256}}}}"#), Some((1, 2, 64 << 20, 256))),
        (format!(r#"{{{given},{settings},"known":{{"index":"x"}}}}"#), Some((1, 2, 192 << 20, 1024))),
        (format!(r#"{{"listen":"x",{settings}}}"#), None),
    ];
    for (text, expected) in cases {
        let value = serde_json::from_str(&text).expect("parse as JSON");
        let read = config::read(&value, |_| Some("127.0.0.1:7".to_owned())).ok();
        let read = read.map(|c| {
            (
                c.listen.port(),
                c.runtime.discovery.port(),
                c.runtime.max_memory,
                c.runtime.max_descriptors,
            )
        });
        assert_eq!(read, expected, "{text}");
    }
}

/// Without a file, and with an empty one, the service uses its own defaults.
#[test]
fn applied_settings_of_defaults_equal_program_defaults() {
    let force = AppliedSettings::from_resolved(&ResolvedSettings::defaults(schema()));
    assert_eq!(force.limits, Limits::default());
    assert_eq!(
        (force.phase_durations, force.coroutine_stacks),
        (PhaseDurations::default(), CoroutineStacks::default())
    );
    assert_eq!(
        (
            force.handover_timeouts.predecessor,
            force.handover_timeouts.successor
        ),
        (predecessor::Timeouts::default(), successor::Timeouts::default())
    );
    assert_eq!(
        (force.log_lines_per_second, force.workload_limits.len()),
        (Log::default().lines_per_second, 0)
    );
    // Two thirds and a quarter as they were before they could be set, for any machine with less than a
    // million descriptors.
    let limits = Limits::default();
    for n in 0..300_000 {
        assert_eq!(limits.client_share.of(n), n * 2 / 3, "{n}");
        assert_eq!(limits.client_memory_share.of(n * 4096), n * 4096 / 4, "{n}");
    }
    assert_eq!(
        (
            Share(850_000).ratio(),
            Share(400_000).ratio(),
            Share(250_000).ratio()
        ),
        (0.85, 0.4, 0.25)
    );
}
