//! Fault scripts: parsing and combined link faults.

use crate::ms;
use asterlatch::time::TimeSpan;
use asterlatch_testbed::fault_script::{
    DriverFault, FaultEvent, FaultScript, LinkFault, MemberFault, Target,
};

fn member_event(target: Target, fault: MemberFault, from: u64, until: u64) -> FaultEvent {
    FaultEvent::Member {
        target,
        fault,
        from: ms(from),
        until: ms(until),
    }
}

fn link_event(
    from_drivers: &[u32],
    to_drivers: &[u32],
    both_ways: bool,
    fault: LinkFault,
    from: u64,
    until: u64,
) -> FaultEvent {
    FaultEvent::Link {
        from_drivers: from_drivers.to_vec(),
        to_drivers: to_drivers.to_vec(),
        both_ways,
        fault,
        from: ms(from),
        until: ms(until),
    }
}

#[test]
fn parse_valid_line_returns_its_event() {
    #[rustfmt::skip]
    let cases = [
        ("2s member 3 slow 50ms for 1s", member_event(Target::Member(3), MemberFault::Slow(ms(50)), 2000, 3000)),
        ("500ms primary of 1 hangs for 1.5s", member_event(Target::Primary(1), MemberFault::Unresponsive, 500, 2000)),
        ("0s member 1 is down for 10ms", member_event(Target::Member(1), MemberFault::Down, 0, 10)),
        ("1s member 1 loses answers for 1s", member_event(Target::Member(1), MemberFault::DropsAnswers, 1000, 2000)),
        ("1s member 1 lags 3s for 1s", member_event(Target::Member(1), MemberFault::Lagging(ms(3000)), 1000, 2000)),
        ("1s member 2 starts for 4s", member_event(Target::Member(2), MemberFault::WarmingUp, 1000, 5000)),
        ("5s driver 2 is killed for 3s", FaultEvent::Driver { driver: 2, fault: DriverFault::Killed, from: ms(5000), until: ms(8000) }),
        ("5s driver 1 hears no list for 1s", FaultEvent::Driver { driver: 1, fault: DriverFault::DiscoveryStalled, from: ms(5000), until: ms(6000) }),
        ("1s member 2 closes idle for 4s", member_event(Target::Member(2), MemberFault::ClosesIdle, 1000, 5000)),
        ("1s member 2 resets idle for 4s", member_event(Target::Member(2), MemberFault::ResetsIdle, 1000, 5000)),
        ("1s member 2 forgets idle for 4s", member_event(Target::Member(2), MemberFault::ForgetsIdle, 1000, 5000)),
        ("1s member 2 drops short for 4s", member_event(Target::Member(2), MemberFault::DropsShort, 1000, 5000)),
        ("1s driver 1 is refused lists for 1s", FaultEvent::Driver { driver: 1, fault: DriverFault::DiscoveryRefused, from: ms(1000), until: ms(2000) }),
        ("1s driver 1 hears lists 60ms late for 1s", FaultEvent::Driver { driver: 1, fault: DriverFault::DiscoveryDelayed(ms(60)), from: ms(1000), until: ms(2000) }),
        ("1s driver 1 hears lists in turns of 60ms for 1s", FaultEvent::Driver { driver: 1, fault: DriverFault::DiscoveryCrowded(ms(60)), from: ms(1000), until: ms(2000) }),
        ("1s driver 1 hears lists without length for 1s", FaultEvent::Driver { driver: 1, fault: DriverFault::DiscoveryWithoutLength, from: ms(1000), until: ms(2000) }),
        ("1s driver 1 reloads 10 times for 1s", FaultEvent::Driver { driver: 1, fault: DriverFault::Reloaded(10), from: ms(1000), until: ms(2000) }),
        ("6s link 1 to 2 is cut for 2s", link_event(&[1], &[2], false, LinkFault::Cut, 6000, 8000)),
        ("6s split 1 2 from 3 4 for 2s", link_event(&[1, 2], &[3, 4], true, LinkFault::Cut, 6000, 8000)),
        ("0s links lose 30% for 1s", link_event(&[], &[], true, LinkFault::Loss(300), 0, 1000)),
        ("0s links slow 20ms for 1s", link_event(&[], &[], true, LinkFault::Delay(ms(20)), 0, 1000)),
        ("4s group 2 switches to 7", FaultEvent::PrimaryChange { group: 2, to: 7, at: ms(4000) }),
    ];
    for (line, event) in cases {
        assert_eq!(
            FaultScript::parse(&format!("# comment\n\n{line}\n")),
            Ok(FaultScript(vec![event])),
            "{line}"
        );
    }
}

#[test]
fn parse_invalid_line_returns_its_number_and_cause() {
    #[rustfmt::skip]
    let cases = [
        ("soon member 3 hangs for 1s", "'soon' is not a time span"),
        ("2 member 3 hangs for 1s", "'2' is not a time span"),
        ("-2s member 3 hangs for 1s", "time span '-2s' is negative or longer than a day"),
        ("NaNs member 3 hangs for 1s", "time span 'NaNs' is negative or longer than a day"),
        ("2s member three hangs for 1s", "'three' is not a number"),
        ("2s somebody hangs for 1s", "unknown subject; expected: member, primary, group, driver, link, links or split"),
        ("2s member 3 sulks for 1s", "unknown member fault"),
        ("2s driver 3 sulks for 1s", "unknown driver fault"),
        ("2s link 1 to 2 sulks for 1s", "unknown link fault"),
        ("2s links lose some for 1s", "'some' is not a percentage"),
        ("2s split 1 2 for 1s", "split without 'from'"),
        ("2s split 1 from 2", "missing duration: 'for SPAN'"),
        ("2s member 3 hangs", "missing duration: 'for SPAN'"),
        ("2s member 3 hangs for ever", "'ever' is not a time span"),
    ];
    for (line, message) in cases {
        let error = FaultScript::parse(&format!("1s member 1 fails for 1s\n{line}"))
            .expect_err(line)
            .to_string();
        assert!(
            error.starts_with("line 2: ") && error.contains(message),
            "{line}: {error}"
        );
    }
}

#[test]
fn link_state_combines_faults_of_each_direction() {
    let text = "1s link 1 to 2 is cut for 1s\n2s split 1 2 from 3 for 1s\n3s links lose 10% for 1s\n3s link 2 and 3 slow 5ms for 1s";
    let script = FaultScript::parse(text).expect("parse the fault script");
    let is_cut = |at, sender, receiver| script.link_state(ms(at), sender, receiver).cut;
    assert!(is_cut(1500, 1, 2) && !is_cut(1500, 2, 1) && !is_cut(1500, 1, 3) && !is_cut(999, 1, 2));
    assert!(is_cut(2500, 1, 3) && is_cut(2500, 3, 2) && !is_cut(2500, 1, 2) && !is_cut(3000, 1, 3));
    let state = script.link_state(ms(3500), 3, 2);
    assert_eq!(
        (state.loss_per_mille, state.delay, state.cut),
        (100, ms(5), false)
    );
    assert_eq!(script.link_state(ms(3500), 1, 2).delay, TimeSpan(0));
}
