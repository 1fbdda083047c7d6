//! The routing comment of a statement.

use crate::harness::*;

#[test]
fn parse_accepts_fields_in_any_order_and_rejects_invalid_ones() {
    let comment =
        |workload: &str, group, left_ms, is_retry, position_ms, key: Option<&str>| StatementComment {
            id_hash: 0,
            workload: workload.to_owned(),
            group,
            time_left_ms: left_ms,
            is_client_retry: is_retry,
            required_position_ms: position_ms,
            key: key.map(str::to_owned),
            time_left_range: 0..0,
        };
    #[rustfmt::skip]
    let cases = [
        ("/* id=9b,c=basket,d=480,cluster=2,after=1767225600123 */ SELECT blob FROM rows WHERE handle = '7f3a'",
         Ok(comment("basket", 2, 480, false, Some(1_767_225_600_123), Some("7f3a")))),
        ("  /*cluster=0 , r=1,d=12,new=thing,c=a b,id=x,k=w*/ INSERT INTO rows VALUES ('it''s', '\\x9f03')",
         Ok(comment("a b", 0, 12, true, None, Some("it's")))),
        ("/* id=9,c=a,d=1,cluster=1,r=0 */ SELECT 1", Ok(comment("a", 1, 1, false, None, None))),
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
            (Ok(parsed), Ok(expected)) => {
                let range = parsed.time_left_range.clone();
                assert_eq!(text[range.clone()], expected.time_left_ms.to_string(), "{text}");
                let rewritten = statement_comment::with_time_left(text.as_bytes(), &range, 7);
                let rewritten = String::from_utf8(rewritten).expect("rewritten statement is UTF-8");
                assert_eq!(
                    rewritten,
                    text.replacen(&format!("d={}", expected.time_left_ms), "d=7", 1)
                );
                let id = parsed.id_hash;
                assert_eq!(
                    parsed,
                    StatementComment {
                        id_hash: id,
                        time_left_range: range,
                        ..expected
                    },
                    "{text}"
                );
            }
            (parsed, expected) => assert_eq!(parsed.map_err(|e| e.code), expected, "{text}"),
        }
    }
    let id = |id: &str| {
        statement_comment::parse(&format!("/* id={id},c=a,d=1,cluster=1 */ SELECT 1"))
            .map(|comment| comment.id_hash)
    };
    assert!(id("7").is_ok() && id("7") == id("7") && id("7") != id("8"));
}

/// Key and error for literals of any form, compared with a scan that reads one character after another.
#[test]
fn parse_literals_of_any_form_equal_a_plain_scan() {
    let mut rng = fastrand::Rng::with_seed(11);
    for _ in 0..20_000 {
        let length = rng.usize(0..12);
        let literals: String = (0..length)
            .map(|_| rng.choice(["'", "'", "a", "\u{e9}", " "]).unwrap_or_default())
            .collect();
        let text = format!("/* id=1,c=a,d=1,cluster=1 */{literals}");
        let parsed = statement_comment::parse(&text).map(|comment| comment.key);
        assert_eq!(
            parsed.map_err(|error| error.code),
            scan_literals(&literals),
            "{literals:?}"
        );
    }
}

/// The first literal of a text, or the error code for an unterminated one.
fn scan_literals(text: &str) -> Result<Option<String>, &'static str> {
    let mut first = None;
    let mut open: Option<String> = None;
    let mut characters = text.chars().peekable();
    while let Some(character) = characters.next() {
        open = match (open, character) {
            (None, '\'') => Some(String::new()),
            (None, _) => None,
            (Some(literal), '\'') if characters.next_if_eq(&'\'').is_some() => Some(literal + "'"),
            (Some(literal), '\'') => {
                first.get_or_insert(literal);
                None
            }
            (Some(literal), other) => Some(literal + &other.to_string()),
        };
    }
    match open {
        Some(_) => Err("42601"),
        None => Ok(first),
    }
}
