//! Bounds of messages, and values in the words of members.

use crate::harness::*;
use crate::member_connection::{described, greet, member_news, row};

/// A driver with more memory takes longer messages, but a fixed share of it at most.
#[test]
fn longest_message_follows_memory_budget() {
    #[rustfmt::skip]
    let cases = [(0, 135_168), (1 << 20, 135_168), (8 << 20, 512 << 10), (48 << 20, 3 << 20), (1 << 40, 16 << 20)];
    for (room, bound) in cases {
        assert_eq!(messages::max_message_bytes(room), bound);
    }
    let value = vec![b'x'; 300_000];
    let answer = [
        described(1),
        row(&value),
        message(b'C', b"SELECT 1\0"),
        message(b'Z', b"I"),
    ]
    .concat();
    for (room, news) in [(1 << 20, "malformed"), (8 << 20, "rows")] {
        let mut member = MemberConnection::new(1, messages::max_message_bytes(room));
        let mut out = greet(&mut member);
        hear(&mut member, &answer, 10_000, &mut out);
        assert!(member_news(&out.events)[0].starts_with(news), "{room}");
    }
}

#[test]
fn positions_are_rounded_down() {
    let at = |ms: u64| Some(RemoteTimestamp::from_millis(ms));
    let seen = |position, is_primary| ReplicaStatus { position, is_primary };
    #[rustfmt::skip]
    let cases = [
        ("x0=1767225600.123,x1=1,cpu_share=0.5", seen(at(1_767_225_600_123), Some(true))),
        ("cpu_share=0.5,x1=0,x0=1767225600.9999", seen(at(1_767_225_600_999), Some(false))),
        ("x0=12", seen(at(12_000), None)),
        ("x0=-3,x1=", seen(None, None)),
        ("x0=nan,x1=inf", seen(None, None)),
        ("x0=9e99,x1=1e300", seen(None, None)),
        ("x0=18446744073709551,x1=1", seen(None, Some(true))),
        ("nothing of the kind", seen(None, None)),
        ("", seen(None, None)),
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
