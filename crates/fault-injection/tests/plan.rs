//! Fault plans survive the environment, and counters fail the planned calls.

use asterlatch_fault_injection::{
    Call, CallFault, ClockShift, ErrorNumber, FaultCounter, FaultPlan, PlanError,
};

fn plan(calls: &str, every: u32, max_failures: Option<u32>) -> FaultPlan {
    FaultPlan {
        calls: FaultPlan::parse_calls(calls).expect("parse the calls"),
        every,
        max_failures,
        clock: ClockShift::default(),
    }
}

fn number(name: &str) -> i32 {
    ErrorNumber::find(name).expect("known error number").number
}

#[test]
fn read_environment_of_plan_returns_the_plan() {
    let shifted = FaultPlan {
        clock: ClockShift {
            offset_s: -3600,
            after_ms: 10,
            until_ms: Some(3000),
        },
        ..plan("accept,socket=EMFILE", 7, Some(3))
    };
    for given in [plan("", 1, None), plan("all", 11, None), shifted] {
        let variables = given.environment();
        let read = FaultPlan::read(|name| Some(variables.iter().find(|(n, _)| *n == name)?.1.clone()));
        assert_eq!(read, Ok(given));
    }
}

#[test]
fn parse_unknown_call_error_or_zero_interval_fails() {
    let parse = |text: &str| text.parse::<CallFault>().expect_err("parse fails");
    assert_eq!(parse("reboot"), PlanError::UnknownCall("reboot".to_owned()));
    assert_eq!(parse("accept=EWHAT"), PlanError::UnknownError("EWHAT".to_owned()));
    let never = FaultPlan::read(|name| name.ends_with("EVERY").then(|| "0".to_owned()));
    assert_eq!(never, Err(PlanError::InvalidNumber("0".to_owned())));
}

#[test]
fn error_every_nth_call_returns_errors_in_turn() {
    let counter = FaultCounter::new(plan("socket,connect=ENETUNREACH", 2, Some(5)));
    let sockets: Vec<_> = (0..14)
        .map(|_| counter.error(Call::Socket).map(|e| e.number))
        .collect();
    let in_turn = ["ENFILE", "ENOBUFS", "EMFILE", "ENOMEM", "ENFILE"];
    for (index, result) in sockets.iter().enumerate() {
        let expected = (index % 2 == 1).then(|| in_turn.get(index / 2)).flatten();
        assert_eq!(*result, expected.map(|name| number(name)), "call {index}");
    }
    // Calls are counted separately, and one that isn't in the plan never fails.
    assert_eq!(counter.error(Call::Connect), None);
    assert_eq!(
        counter.error(Call::Connect).map(|e| e.number),
        Some(number("ENETUNREACH"))
    );
    assert_eq!(
        (counter.error(Call::Accept), counter.error(Call::Accept)),
        (None, None)
    );
    let short_counter = FaultCounter::new(plan("short_recv", 3, None));
    let short: Vec<_> = (0..6)
        .map(|_| short_counter.is_short(Call::ShortReceive))
        .collect();
    assert_eq!(short, [false, false, true, false, false, true]);
}

#[test]
fn offset_at_within_interval_is_the_shift() {
    let clock = ClockShift {
        offset_s: 60,
        after_ms: 100,
        until_ms: Some(200),
    };
    assert_eq!([99, 100, 199, 200].map(|ms| clock.offset_at(ms)), [0, 60, 60, 0]);
    let permanent = ClockShift {
        until_ms: None,
        ..clock
    };
    assert_eq!(permanent.offset_at(1 << 40), 60);
}
