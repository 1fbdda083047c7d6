//! Head comments of statements, and values.

use crate::at;
use asterlatch_testbed::wire::{decode_value, encode_value, parse_statement};

#[test]
fn statements_and_values_parse_as_written() {
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
