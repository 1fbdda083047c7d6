//! A plan comes back from the environment as it went in, and says which calls fail.

use asterlatch_fault_injection::{
    Call, CallFault, ClockShift, ErrorNumber, FaultCounter, FaultPlan, PlanError,
};

fn plan(calls: &str, every: u32, most: Option<u32>) -> FaultPlan {
    FaultPlan {
        calls: FaultPlan::parse_calls(calls).expect("is a list of calls"),
        every,
        most,
        clock: ClockShift::default(),
    }
}

fn number(name: &str) -> i32 {
    ErrorNumber::find(name).expect("is known").number
}

#[test]
fn plan_passes_through_the_environment() {
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
fn plan_that_names_what_is_unknown_is_refused() {
    let parse = |text: &str| text.parse::<CallFault>().expect_err("is refused");
    assert_eq!(parse("reboot"), PlanError::UnknownCall("reboot".to_owned()));
    assert_eq!(parse("accept=EWHAT"), PlanError::UnknownError("EWHAT".to_owned()));
    let never = FaultPlan::read(|name| name.ends_with("EVERY").then(|| "0".to_owned()));
    assert_eq!(never, Err(PlanError::InvalidNumber("0".to_owned())));
}

#[test]
fn calls_fail_every_nth_time_with_errors_by_turns() {
    let counter = FaultCounter::new(plan("socket,connect=ENETUNREACH", 2, Some(5)));
    let sockets: Vec<_> = (0..14)
        .map(|_| counter.error(Call::Socket).map(|e| e.number))
        .collect();
    let by_turns = ["ENFILE", "ENOBUFS", "EMFILE", "ENOMEM", "ENFILE"];
    for (n, result) in sockets.iter().enumerate() {
        let expected = (n % 2 == 1).then(|| by_turns.get(n / 2)).flatten();
        assert_eq!(*result, expected.map(|name| number(name)), "call {n}");
    }
    // Each call is counted by itself, and one that is not in the plan never fails.
    assert_eq!(counter.error(Call::Connect), None);
    assert_eq!(
        counter.error(Call::Connect).map(|e| e.number),
        Some(number("ENETUNREACH"))
    );
    assert_eq!(
        (counter.error(Call::Accept), counter.error(Call::Accept)),
        (None, None)
    );
    let cut = FaultCounter::new(plan("short_recv", 3, None));
    let short: Vec<_> = (0..6).map(|_| cut.is_short(Call::ShortReceive)).collect();
    assert_eq!(short, [false, false, true, false, false, true]);
}

#[test]
fn clock_is_shifted_between_two_times() {
    let clock = ClockShift {
        offset_s: 60,
        after_ms: 100,
        until_ms: Some(200),
    };
    assert_eq!([99, 100, 199, 200].map(|ms| clock.offset_at(ms)), [0, 60, 60, 0]);
    let for_good = ClockShift {
        until_ms: None,
        ..clock
    };
    assert_eq!(for_good.offset_at(1 << 40), 60);
}
