//! Phases, shutdown schedule, log limits and configuration of the driver, without I/O.

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
    // (milliseconds, is shutting down, listener closed, open clients, open statements, resulting phase)
    #[rustfmt::skip]
    let cases = [
        ("all clients disconnect", vec![
            (0, false, false, 3, 3, Phase::Serving),
            (5, true, false, 3, 3, Phase::Leaving { since: at(5) }),
            (454, true, false, 3, 3, Phase::Leaving { since: at(5) }),
            (455, true, false, 3, 3, Phase::Draining { since: at(455) }),
            (460, true, false, 0, 0, Phase::Draining { since: at(455) }),
            (461, true, true, 1, 0, Phase::Draining { since: at(455) }),
            (470, true, true, 0, 0, Phase::Stopped),
        ]),
        ("a client does not read its answer", vec![
            (0, true, false, 1, 1, Phase::Leaving { since: at(0) }),
            (450, true, false, 1, 1, Phase::Draining { since: at(450) }),
            (9000, true, true, 1, 1, Phase::Draining { since: at(450) }),
            (9001, true, true, 1, 0, Phase::Draining { since: at(450) }),
            (9500, true, true, 1, 1, Phase::Draining { since: at(450) }),
            (10_499, true, true, 1, 0, Phase::Draining { since: at(450) }),
            (10_500, true, true, 1, 0, Phase::Stopped),
        ]),
        ("a statement exceeds the maximum drain", vec![
            (0, true, false, 1, 1, Phase::Leaving { since: at(0) }),
            (450, true, false, 1, 1, Phase::Draining { since: at(450) }),
            (3449, true, true, 1, 1, Phase::Draining { since: at(450) }),
            (3450, true, true, 1, 1, Phase::Stopped),
        ]),
        ("shutdown before serving", vec![(0, true, true, 0, 0, Phase::Leaving { since: at(0) })]),
    ];
    for (name, steps) in cases {
        let (mut phases, mut phase) = (Phases::default(), Phase::Starting);
        if name.ends_with("exceeds the maximum drain") {
            phases.durations.max_drain = TimeSpan::millis(3000);
        }
        for (at_ms, is_shutting_down, is_listener_closed, open_clients, open_statements, expected) in steps {
            let is_listening = true;
            let state = ProcessState {
                is_shutting_down,
                is_listening,
                is_listener_closed,
                open_clients,
                open_statements,
            };
            while let Some(next) = phases.advance(at(at_ms), &state) {
                phase = next;
            }
            assert_eq!(phase, expected, "{name} at {at_ms}");
            assert!(
                phases.next_at(at(at_ms)) > at(at_ms),
                "{name}: the next deadline is not in the future"
            );
        }
    }
}

#[test]
fn shutdown_schedule_any_client_wait_ends_before_sigkill() {
    // (longest client wait, SIGKILL after SIGTERM; milliseconds)
    for (max_wait_ms, kill_ms) in [(10, 710), (100, 800), (1000, 1700), (3000, 3700), (10_000, 3700)] {
        let schedule = ShutdownSchedule::new(at(0), TimeSpan::millis(max_wait_ms));
        assert!(
            schedule.exit_at + TimeSpan::millis(200) <= at(kill_ms),
            "{max_wait_ms}"
        );
        assert!(schedule.last_answer_at < schedule.exit_at, "{max_wait_ms}");
        // A statement received with the signal has its full timeout, as far as the platform's limit permits.
        assert!(
            schedule.last_answer_at >= at(max_wait_ms.min(3000)),
            "{max_wait_ms}"
        );
        // Neither a client that stays connected nor a statement without an answer delays the exit.
        let mut phases = Phases::default();
        phases.limit_shutdown(schedule.exit_at);
        let mut exited_at = None;
        for now_ms in 0..kill_ms {
            let state = ProcessState {
                is_shutting_down: true,
                is_listening: true,
                is_listener_closed: true,
                open_clients: 1,
                open_statements: 1,
            };
            while let Some(phase) = phases.advance(at(now_ms), &state) {
                exited_at = (phase == Phase::Stopped).then_some(at(now_ms));
            }
        }
        assert_eq!(exited_at, Some(schedule.exit_at), "{max_wait_ms}");
    }
}

#[test]
fn log_admit_limits_lines_by_topic_and_second() {
    let mut log = Log::default();
    let mut admit = |now_ms, topic| log.admit(at(now_ms), topic);
    for line in 0..20 {
        assert_eq!(admit(10_000 + line, "a").is_some(), line < 5, "{line}");
    }
    assert_eq!(admit(10_020, "b"), Some(0), "each topic has its own limit");
    assert_eq!(
        admit(11_000, "a"),
        Some(15),
        "the number of suppressed lines is reported"
    );
    assert_eq!(admit(11_001, "a"), Some(0));
}

#[test]
fn config_read_missing_address_comes_from_environment() {
    let settings = r#""settings":{"categories":[{"name":"v"}],"family_info":{"freshness":["loose"]}}"#;
    let addresses = r#""listen":"127.0.0.1:1","discovery":"127.0.0.1:2""#;
    #[rustfmt::skip]
    let cases = [
        (format!("{{{addresses},{settings}}}"), Some((1, 2, 192 << 20, 1024))),
        (format!("{{{settings}}}"), Some((7, 7, 192 << 20, 1024))),
        (format!(r#"{{{addresses},{settings},"limits":{{"memory_mb":64,"sockets":256}}}}"#), Some((1, 2, 64 << 20, 256))),
        (format!(r#"{{{addresses},{settings},"known":{{"index":"x"}}}}"#), Some((1, 2, 192 << 20, 1024))),
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

/// Without an operators' file, and with an empty one, the defaults of the program apply.
#[test]
fn applied_settings_of_defaults_equal_program_defaults() {
    let applied = AppliedSettings::from_resolved(&ResolvedSettings::defaults(schema()));
    assert_eq!(applied.limits, Limits::default());
    assert_eq!(
        (applied.phase_durations, applied.coroutine_stacks),
        (PhaseDurations::default(), CoroutineStacks::default())
    );
    assert_eq!(
        (
            applied.handover_timeouts.predecessor,
            applied.handover_timeouts.successor
        ),
        (predecessor::Timeouts::default(), successor::Timeouts::default())
    );
    assert_eq!(
        (applied.log_lines_per_second, applied.workload_limits.len()),
        (Log::default().lines_per_second, 0)
    );
    // The default shares are exactly two thirds and a quarter for any realistic number of descriptors.
    let limits = Limits::default();
    for total in 0..300_000 {
        assert_eq!(limits.client_share.of(total), total * 2 / 3, "{total}");
        assert_eq!(
            limits.client_memory_share.of(total * 4096),
            total * 4096 / 4,
            "{total}"
        );
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
