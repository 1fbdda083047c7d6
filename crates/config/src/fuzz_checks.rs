//! What must hold for any bytes: the fuzz target and a bounded test run the same.

use crate::format::format;
use crate::load::{is_well_formed, read, LoadOutcome, MemorySource};
use crate::resolved::changes;
use crate::service_schema;
use std::collections::BTreeMap;

fn root(bytes: &[u8]) -> LoadOutcome {
    let files = MemorySource(BTreeMap::from([("root.latch".to_owned(), bytes.to_owned())]));
    read(
        "root.latch",
        &files,
        &service_schema::schema(),
        service_schema::DEFAULT_MACHINE,
    )
}

/// Reads the bytes as a root file, and panics where the language breaks a promise: a fault is told, and the form of a
/// well-formed text is well formed, the form of itself, and means the same.
pub fn check_bytes(bytes: &[u8]) {
    let outcome = root(bytes);
    let told = outcome.render_diagnostics();
    assert!(
        outcome.settings.is_some() || !told.is_empty(),
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
        again.settings.is_some(),
        outcome.settings.is_some(),
        "{text}\n{formed}\n{}",
        again.render_diagnostics()
    );
    if let (Some(a), Some(b)) = (&outcome.settings, &again.settings) {
        assert!(
            changes(&service_schema::schema(), a, b).is_empty(),
            "its form means something else:\n{text}\n{formed}"
        );
    }
}
