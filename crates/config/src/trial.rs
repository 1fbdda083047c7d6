//! What must hold for any bytes: the fuzz target and a bounded test run the same.

use crate::format::format;
use crate::host;
use crate::load::{is_well_formed, read, Held, Outcome};
use crate::meaning::changes;
use std::collections::BTreeMap;

fn root(bytes: &[u8]) -> Outcome {
    let files = Held(BTreeMap::from([("root.latch".to_owned(), bytes.to_owned())]));
    read("root.latch", &files, &host::registry(), host::MACHINE)
}

/// Reads the bytes as a root file, and panics where the language breaks a promise: a fault is told, and the form of a
/// well-formed text is well formed, the form of itself, and means the same.
pub fn survive(bytes: &[u8]) {
    let outcome = root(bytes);
    let told = outcome.text();
    assert!(
        outcome.meaning.is_some() || !told.is_empty(),
        "nothing is told of a fault"
    );
    let Ok(text) = std::str::from_utf8(bytes) else {
        return;
    };
    if !is_well_formed(text) {
        return;
    }
    let formed = format(text);
    assert!(
        is_well_formed(&formed),
        "its form is not well formed:\n{text}\n{formed}"
    );
    assert_eq!(format(&formed), formed, "its form has another:\n{text}");
    let again = root(formed.as_bytes());
    assert_eq!(
        again.meaning.is_some(),
        outcome.meaning.is_some(),
        "{text}\n{formed}\n{}",
        again.text()
    );
    if let (Some(a), Some(b)) = (&outcome.meaning, &again.meaning) {
        assert!(
            changes(&host::registry(), a, b).is_empty(),
            "its form means something else:\n{text}\n{formed}"
        );
    }
}
