//! The comment at the head of a statement.

use crate::harness::*;

#[test]
fn statement_comment_is_parsed_in_any_order() {
    let marked = |workload: &str, group, left_ms, repeat, after, key: Option<&str>| StatementComment {
        id_hash: 0,
        workload: workload.to_owned(),
        group,
        time_left_ms: left_ms,
        is_client_retry: repeat,
        required_position_ms: after,
        key: key.map(str::to_owned),
        time_left_range: 0..0,
    };
    #[rustfmt::skip]
    let cases = [
        ("/* id=9b,c=basket,d=480,cluster=2,after=1767225600123 */ SELECT blob FROM rows WHERE handle = '7f3a'",
         Ok(marked("basket", 2, 480, false, Some(1_767_225_600_123), Some("7f3a")))),
        ("  /*cluster=0 , r=1,d=12,new=thing,c=a b,id=x,k=w*/ INSERT INTO rows VALUES ('it''s', '\\x9f03')",
         Ok(marked("a b", 0, 12, true, None, Some("it's")))),
        ("/* id=9,c=a,d=1,cluster=1,r=0 */ SELECT 1", Ok(marked("a", 1, 1, false, None, None))),
        ("SELECT 1", Err("42601")),
        ("/* id=1,c=a,d=1,cluster=1 SELECT 1", Err("42601")),
        ("/* id=1,c=a,d=1,cluster=1 */ SELECT 'open", Err("42601")),
        ("/* c=a,d=1,cluster=1 */ SELECT 1", Err("22023")),
        ("/* id=1,c=a,cluster=1 */ SELECT 1", Err("22023")),
        ("/* id=1,c=a,d=soon,cluster=1 */ SELECT 1", Err("22023")),
        ("/* id=1,c=a,d=-1,cluster=1 */ SELECT 1", Err("22023")),
        ("/* id=1,c=a,d=1,cluster=99999999999 */ SELECT 1", Err("22023")),
        ("/* id=1,c=a,d=1,cluster=1,after=x */ SELECT 1", Err("22023")),
    ];
    for (text, expected) in cases {
        match (statement_comment::parse(text), expected) {
            (Ok(found), Ok(expected)) => {
                let left_at = found.time_left_range.clone();
                assert_eq!(text[left_at.clone()], expected.time_left_ms.to_string(), "{text}");
                let passed = statement_comment::with_time_left(text.as_bytes(), &left_at, 7);
                let passed = String::from_utf8(passed).expect("stays text");
                assert_eq!(
                    passed,
                    text.replacen(&format!("d={}", expected.time_left_ms), "d=7", 1)
                );
                let id = found.id_hash;
                assert_eq!(
                    found,
                    StatementComment {
                        id_hash: id,
                        time_left_range: left_at,
                        ..expected
                    },
                    "{text}"
                );
            }
            (found, expected) => assert_eq!(found.map_err(|e| e.code), expected, "{text}"),
        }
    }
    let id = |id: &str| {
        statement_comment::parse(&format!("/* id={id},c=a,d=1,cluster=1 */ SELECT 1")).map(|m| m.id_hash)
    };
    assert!(id("7").is_ok() && id("7") == id("7") && id("7") != id("8"));
}
