//! Message limits, and parsers of the values that members report.

use crate::harness::*;
use crate::member_connection::{complete_startup, data_row, describe_member_events, row_description};

/// A larger budget admits longer messages, up to a fixed fraction of it.
#[test]
fn max_message_bytes_follows_memory_budget() {
    #[rustfmt::skip]
    let cases = [(0, 135_168), (1 << 20, 135_168), (8 << 20, 512 << 10), (48 << 20, 3 << 20), (1 << 40, 16 << 20)];
    for (budget, expected_bytes) in cases {
        assert_eq!(messages::max_message_bytes(budget), expected_bytes);
    }
    let value = vec![b'x'; 300_000];
    let answer = [
        row_description(1),
        data_row(&value),
        message(b'C', b"SELECT 1\0"),
        message(b'Z', b"I"),
    ]
    .concat();
    for (budget, expected) in [(1 << 20, "malformed"), (8 << 20, "rows")] {
        let mut member = MemberConnection::new(1, messages::max_message_bytes(budget));
        let mut out = complete_startup(&mut member);
        feed_input(&mut member, &answer, 10_000, &mut out);
        assert!(
            describe_member_events(&out.events)[0].starts_with(expected),
            "{budget}"
        );
    }
}

#[test]
fn parse_load_report_and_parse_position_round_down() {
    let at = |ms: u64| Some(RemoteTimestamp::from_millis(ms));
    let expected_status = |position, is_primary| ReplicaStatus {
        position,
        is_position_current: false,
        is_primary,
    };
    #[rustfmt::skip]
    let cases = [
        ("x0=1767225600.123,x1=1,cpu_share=0.5", expected_status(at(1_767_225_600_123), Some(true))),
        ("cpu_share=0.5,x1=0,x0=1767225600.9999", expected_status(at(1_767_225_600_999), Some(false))),
        ("x0=12", expected_status(at(12_000), None)),
        ("x0=-3,x1=", expected_status(None, None)),
        ("x0=nan,x1=inf", expected_status(None, None)),
        ("x0=9e99,x1=1e300", expected_status(None, None)),
        ("x0=18446744073709551,x1=1", expected_status(None, Some(true))),
        ("no field at all", expected_status(None, None)),
        ("", expected_status(None, None)),
    ];
    for (text, expected) in cases {
        assert_eq!(
            replica_status::parse_load_report(text, Some("x0"), Some("x1")),
            expected,
            "{text}"
        );
    }
    assert_eq!(
        replica_status::parse_load_report("x0=5,x1=1", None, None),
        ReplicaStatus::default()
    );
    for (text, expected) in [
        ("5", at(5)),
        ("0", None),
        ("-5", None),
        ("18446744073709551615", None),
        ("5.5", None),
    ] {
        assert_eq!(replica_status::parse_position(text), expected, "{text}");
    }
}
