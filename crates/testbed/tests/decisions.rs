//! Scripts, the store, arrivals and the judge, without sockets.

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_testbed::arrivals::Arrivals;
use asterlatch_testbed::checker::{check, ClientOutcome, StatementRecord, VIOLATIONS};
use asterlatch_testbed::fault_script::{
    DriverFault, FaultEvent, FaultScript, LinkFault, MemberFault, Target,
};
use asterlatch_testbed::store_model::{workloads, Reply, Statement, StoreModel};
use asterlatch_testbed::wire::{decode_value, encode_value, parse_statement};

const START: Timestamp = Timestamp(1_000_000_000_000);

fn ms(n: u64) -> TimeSpan {
    TimeSpan::millis(n)
}

fn at(n: u64) -> Timestamp {
    START + ms(n)
}

#[test]
fn scripts_say_what_they_mean_or_where_they_don_t() {
    let fault = |target, fault, from, until| FaultEvent::Member {
        target,
        fault,
        from: ms(from),
        until: ms(until),
    };
    let link = |from_drivers: &[u32], to_drivers: &[u32], both_ways, fault, from, until| FaultEvent::Link {
        from_drivers: from_drivers.to_vec(),
        to_drivers: to_drivers.to_vec(),
        both_ways,
        fault,
        from: ms(from),
        until: ms(until),
    };
    #[rustfmt::skip]
    let good = [
        ("2s member 3 slow 50ms for 1s", fault(Target::Member(3), MemberFault::Slow(ms(50)), 2000, 3000)),
        ("500ms primary of 1 hangs for 1.5s", fault(Target::Primary(1), MemberFault::Unresponsive, 500, 2000)),
        ("0s member 1 is down for 10ms", fault(Target::Member(1), MemberFault::Down, 0, 10)),
        ("1s member 1 loses answers for 1s", fault(Target::Member(1), MemberFault::DropsAnswers, 1000, 2000)),
        ("1s member 1 lags 3s for 1s", fault(Target::Member(1), MemberFault::Lagging(ms(3000)), 1000, 2000)),
        ("1s member 2 starts for 4s", fault(Target::Member(2), MemberFault::WarmingUp, 1000, 5000)),
        ("5s driver 2 is killed for 3s", FaultEvent::Driver { driver: 2, fault: DriverFault::Killed, from: ms(5000), until: ms(8000) }),
        ("5s driver 1 hears no list for 1s", FaultEvent::Driver { driver: 1, fault: DriverFault::DiscoveryStalled, from: ms(5000), until: ms(6000) }),
        ("6s link 1 to 2 is cut for 2s", link(&[1], &[2], false, LinkFault::Cut, 6000, 8000)),
        ("6s split 1 2 from 3 4 for 2s", link(&[1, 2], &[3, 4], true, LinkFault::Cut, 6000, 8000)),
        ("0s links lose 30% for 1s", link(&[], &[], true, LinkFault::Loss(300), 0, 1000)),
        ("0s links slow 20ms for 1s", link(&[], &[], true, LinkFault::Delay(ms(20)), 0, 1000)),
        ("4s group 2 switches to 7", FaultEvent::PrimaryChange { group: 2, to: 7, at: ms(4000) }),
    ];
    for (line, event) in good {
        assert_eq!(
            FaultScript::parse(&format!("# why\n\n{line}\n")),
            Ok(FaultScript(vec![event])),
            "{line}"
        );
    }
    #[rustfmt::skip]
    let bad = [
        ("soon member 3 hangs for 1s", "'soon' is no span"),
        ("2 member 3 hangs for 1s", "'2' is no span"),
        ("-2s member 3 hangs for 1s", "'-2s' is out of bounds"),
        ("NaNs member 3 hangs for 1s", "'NaNs' is out of bounds"),
        ("2s member three hangs for 1s", "'three' is no number"),
        ("2s somebody hangs for 1s", "names neither member, primary, group, driver, link nor split"),
        ("2s member 3 sulks for 1s", "names no fault"),
        ("2s driver 3 sulks for 1s", "names nothing that befalls a driver"),
        ("2s link 1 to 2 sulks for 1s", "names nothing that befalls a link"),
        ("2s links lose some for 1s", "'some' is no share"),
        ("2s split 1 2 for 1s", "a split is 'from' others"),
        ("2s split 1 from 2", "doesn't say for how long"),
        ("2s member 3 hangs", "doesn't say for how long"),
        ("2s member 3 hangs for ever", "'ever' is no span"),
    ];
    for (line, words) in bad {
        let error = FaultScript::parse(&format!("1s member 1 fails for 1s\n{line}"))
            .expect_err(line)
            .to_string();
        assert!(
            error.starts_with("line 2: ") && error.contains(words),
            "{line}: {error}"
        );
    }
}

#[test]
fn members_do_what_the_script_has_them_do() {
    let script = "1s member 1 fails for 1s\n1s member 3 lags 3s for 1s\n2s group 1 switches to 2\n3s primary of 1 hangs for 1s\n\
        4s member 2 loses answers for 1s\n5s member 2 is down for 1s\n6s member 2 slow 70ms for 1s";
    let mut store = StoreModel::new(2, 2, FaultScript::parse(script).expect("reads"), START);
    let (bounded, any, own, post, deduplicated) = (0, 1, 2, 3, 4);
    #[rustfmt::skip]
    let cases = [
        // (when, member, workload, after; reply)
        (0, 1, post, 0, "row"), (0, 2, post, 0, "no primary"), (0, 3, bounded, 0, "row"),
        (500, 3, own, 450, "row"), (500, 3, own, 490, "behind"), (500, 1, own, 490, "row"),
        (1500, 1, post, 0, "failed"), (1500, 3, bounded, 0, "row"), (1900, 3, bounded, 0, "behind"), (1900, 3, any, 0, "row"),
        (1900, 3, own, 980, "row"), (1900, 3, own, 981, "behind"), (2000, 3, own, 1980, "row"),
        (2500, 1, post, 0, "no primary"), (2500, 2, post, 0, "row"), (2500, 4, deduplicated, 0, "row"),
        (3500, 2, post, 0, "never"), (3500, 1, any, 0, "row"),
        (4500, 2, post, 0, "lost"), (5500, 2, post, 0, "refused"), (6500, 2, post, 0, "row"),
    ];
    for (n, (when, member, workload, after, expected)) in cases.into_iter().enumerate() {
        let (id, after) = (n as u64, START + ms(after));
        let outcome = store.execute(
            at(when),
            member,
            &Statement {
                id,
                workload,
                min_position: after,
            },
        );
        let got = match outcome.reply {
            Reply::Row { .. } => "row",
            Reply::NoPrimary => "no primary",
            Reply::Behind => "behind",
            Reply::Failed => "failed",
            Reply::ConnectionLost => "lost",
            Reply::NoAnswer => "never",
            Reply::Refused => "refused",
        };
        assert_eq!(got, expected, "case {n}");
        let ran = store.effects.contains_key(&id);
        let wrote = workload >= post && ["row", "failed", "lost"].contains(&got);
        assert_eq!(
            ran, wrote,
            "case {n}: only what ran has an effect, whatever was said"
        );
        assert_eq!(outcome.delay > ms(50), when == 6500, "case {n}");
    }
    // (how long it has been draining; whether what is sent there then breaks the rule)
    for (long, broken) in [(0, 0), (2050, 0), (2051, 1)] {
        let script = FaultScript::parse("1s member 2 drains for 9s").expect("reads");
        let mut store = StoreModel::new(1, 1, script, START);
        let (id, after) = (1, START);
        let workload = any;
        store.execute(
            at(1000 + long),
            2,
            &Statement {
                id,
                workload,
                min_position: after,
            },
        );
        assert_eq!(
            (store.executions_after_drain, check(&store, &[]).violation_count()),
            (broken, broken),
            "{long}"
        );
    }
    // The store drops a repeat of what it may, and no other.
    for (workload, effects) in [(post, 2), (deduplicated, 1)] {
        let asked = Statement {
            id: 1000 + effects,
            workload,
            min_position: START,
        };
        for _ in 0..2 {
            store.execute(at(9000), 4, &asked);
        }
        assert_eq!(store.effects[&asked.id].len() as u64, effects);
    }
}

#[test]
fn arrivals_are_the_same_for_the_same_seed_and_keep_their_rate() {
    let all = |seed| Arrivals::new(&workloads(), 1000.0, 3, ms(10_000), seed).collect::<Vec<_>>();
    assert_eq!(all(5), all(5));
    assert_ne!(all(5)[0].id, all(6)[0].id);
    let own = all(5);
    assert!((9_500..10_500).contains(&own.len()), "{}", own.len());
    assert!(own.windows(2).all(|w| w[0].at <= w[1].at));
    let posts = own.iter().filter(|a| a.workload == 3).count() as f64 / own.len() as f64;
    assert!((0.13..0.17).contains(&posts), "{posts}");
    assert!(own.iter().all(|a| (1..=3).contains(&a.group)));
}

/// Each breach is found, and by itself.
#[test]
fn the_judge_finds_each_breach() {
    let good = |workload| StatementRecord {
        id: 1,
        workload,
        group: 1,
        session: 1,
        due: at(1000),
        sent: at(1000),
        answered: at(1020),
        outcome: ClientOutcome::Row {
            id: 1,
            position: at(1005),
        },
        has_trailing_bytes: false,
    };
    let (bounded, own, post, deduplicated) = (0, 2, 3, 4);
    let row = |id, position| ClientOutcome::Row {
        id,
        position: at(position),
    };
    #[rustfmt::skip]
    let cases: [(&str, StatementRecord, usize, Option<usize>); 19] = [
        ("a read", good(bounded), 0, None),
        ("a write", good(post), 1, None),
        ("nothing was said", StatementRecord { outcome: ClientOutcome::NoAnswer, ..good(post) }, 0, Some(0)),
        ("in its last moment", StatementRecord { answered: at(1640), ..good(bounded) }, 0, None),
        ("too late", StatementRecord { answered: at(1660), ..good(bounded) }, 0, Some(1)),
        ("more was said", StatementRecord { has_trailing_bytes: true, ..good(bounded) }, 0, Some(2)),
        ("another's row", StatementRecord { outcome: row(2, 1005), ..good(bounded) }, 0, Some(3)),
        ("a write twice", good(post), 2, Some(4)),
        ("an aborted write twice", StatementRecord { outcome: ClientOutcome::Aborted, ..good(post) }, 2, Some(4)),
        ("a dropped write once", good(deduplicated), 1, None),
        ("a write never", good(post), 0, Some(5)),
        ("a dropped write never", good(deduplicated), 0, Some(5)),
        ("a rejected write that ran", StatementRecord { outcome: ClientOutcome::Rejected, ..good(post) }, 1, Some(6)),
        ("a rejected write that may be repeated", StatementRecord { outcome: ClientOutcome::Rejected, ..good(deduplicated) }, 1, None),
        ("an aborted write that ran", StatementRecord { outcome: ClientOutcome::Aborted, ..good(post) }, 1, None),
        ("an aborted write that didn't", StatementRecord { outcome: ClientOutcome::Aborted, ..good(post) }, 0, None),
        ("refused", StatementRecord { outcome: ClientOutcome::ConnectionRefused, ..good(post) }, 0, None),
        ("as old as it may be", StatementRecord { outcome: row(1, 160), ..good(bounded) }, 0, None),
        ("older", StatementRecord { outcome: row(1, 140), ..good(bounded) }, 0, Some(7)),
    ];
    for (name, record, ran, broken) in cases {
        let mut store = StoreModel::new(1, 1, FaultScript::default(), START);
        store.effects.insert(1, vec![(1, at(1001)); ran]);
        let report = check(&store, &[record]);
        let found: Vec<usize> = (0..VIOLATIONS.len())
            .filter(|n| report.violations[*n] > 0)
            .collect();
        assert_eq!(found, broken.into_iter().collect::<Vec<_>>(), "{name}");
        assert_eq!(
            report.to_string().contains("rules kept"),
            broken.is_none(),
            "{name}"
        );
    }
    // (the write's group, session and when it was known; the read's position; whether it is stale)
    #[rustfmt::skip]
    let sessions = [
        (1, 1, 990, 980, false), (1, 1, 990, 970, true), (1, 1, 1001, 970, false),
        (2, 1, 990, 970, false), (1, 2, 990, 970, false),
    ];
    for (group, session, answered, position, stale) in sessions {
        let mut store = StoreModel::new(2, 1, FaultScript::default(), START);
        store.effects.insert(7, vec![(1, at(975))]);
        let (sent, outcome) = (at(970), row(7, 975));
        let write = StatementRecord {
            id: 7,
            group,
            session,
            sent,
            due: sent,
            answered: at(answered),
            outcome,
            ..good(post)
        };
        let read = StatementRecord {
            outcome: row(1, position),
            ..good(own)
        };
        let report = check(&store, &[write, read]);
        assert_eq!(
            report.violations[8] > 0,
            stale,
            "{group} {session} {answered} {position}"
        );
        assert_eq!(report.violation_count(), u64::from(stale));
    }
}

#[test]
fn statements_and_values_are_read_as_they_are_written() {
    let names = ["view", "post"];
    let full = "/* id=1f,c=post,d=480,cluster=2,after=1767225600123 */ INSERT";
    let asked = parse_statement(full, &names).expect("is one");
    assert_eq!(
        (asked.id, asked.workload, asked.min_position.0),
        (0x1f, 1, 1_767_225_600_123_000)
    );
    for bad in [
        "SELECT 1",
        "/* id=1f,c=other */",
        "/* c=post */",
        "/* id=xyz,c=post */",
        "/*",
    ] {
        assert_eq!(parse_statement(bad, &names), None, "{bad}");
    }
    assert_eq!(decode_value(&encode_value(0xabc, at(5))), Some((0xabc, at(5))));
    assert_eq!(decode_value(b"whatever"), None);
}

/// What holds of what goes from one driver to another, in each direction by itself.
#[test]
fn links_are_harmed_as_the_script_says() {
    let text = "1s link 1 to 2 is cut for 1s\n2s split 1 2 from 3 for 1s\n3s links lose 10% for 1s\n3s link 2 and 3 slow 5ms for 1s";
    let script = FaultScript::parse(text).expect("can be read");
    let cut = |at, one, other| script.link_state(ms(at), one, other).cut;
    assert!(cut(1500, 1, 2) && !cut(1500, 2, 1) && !cut(1500, 1, 3) && !cut(999, 1, 2));
    assert!(cut(2500, 1, 3) && cut(2500, 3, 2) && !cut(2500, 1, 2) && !cut(3000, 1, 3));
    let state = script.link_state(ms(3500), 3, 2);
    assert_eq!(
        (state.loss_per_mille, state.delay, state.cut),
        (100, ms(5), false)
    );
    assert_eq!(script.link_state(ms(3500), 1, 2).delay, TimeSpan(0));
}
