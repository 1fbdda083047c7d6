//! Comments before statements, and values of rows.

use crate::at;
use asterlatch_testbed::wire::{decode_value, encode_value, parse_statement};

#[test]
fn parse_statement_and_decode_value_return_fields_or_none() {
    let names = ["view", "post"];
    let text = "/* id=1f,c=post,d=480,cluster=2,after=1767225600123 */ INSERT";
    let statement = parse_statement(text, &names).expect("parse the statement comment");
    assert_eq!(
        (statement.id, statement.workload, statement.min_position.0),
        (0x1f, 1, 1_767_225_600_123_000)
    );
    for invalid in [
        "SELECT 1",
        "/* id=1f,c=other */",
        "/* c=post */",
        "/* id=xyz,c=post */",
        "/*",
    ] {
        assert_eq!(parse_statement(invalid, &names), None, "{invalid}");
    }
    assert_eq!(decode_value(&encode_value(0xabc, at(5))), Some((0xabc, at(5))));
    assert_eq!(decode_value(b"malformed"), None);
}
