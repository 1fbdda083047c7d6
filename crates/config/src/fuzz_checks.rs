//! Invariants for arbitrary input, shared by the fuzz target and a test.

use crate::format::format;
use crate::load::{is_well_formed, read, LoadOutcome, MemorySource};
use crate::resolved::changes;
use crate::service_schema;
use std::collections::BTreeMap;

fn load_root(bytes: &[u8]) -> LoadOutcome {
    let files = MemorySource(BTreeMap::from([("root.latch".to_owned(), bytes.to_owned())]));
    read(
        "root.latch",
        &files,
        &service_schema::schema(),
        service_schema::DEFAULT_MACHINE,
    )
}

/// Loads the bytes as a root file.
///
/// # Panics
/// If an invariant is broken: invalid input has a diagnostic, and formatting is idempotent, keeps a
/// well-formed text well formed, and keeps its settings.
pub fn check_bytes(bytes: &[u8]) {
    let outcome = load_root(bytes);
    let diagnostics = outcome.render_diagnostics();
    assert!(
        outcome.settings.is_some() || !diagnostics.is_empty(),
        "invalid input has no diagnostic"
    );
    let Ok(text) = std::str::from_utf8(bytes) else {
        return;
    };
    if !is_well_formed(text) {
        return;
    }
    let formatted = format(text);
    assert!(
        is_well_formed(&formatted),
        "the formatted text is not well formed:\n{text}\n{formatted}"
    );
    assert_eq!(
        format(&formatted),
        formatted,
        "formatting is not idempotent:\n{text}"
    );
    let formatted_outcome = load_root(formatted.as_bytes());
    assert_eq!(
        formatted_outcome.settings.is_some(),
        outcome.settings.is_some(),
        "{text}\n{formatted}\n{}",
        formatted_outcome.render_diagnostics()
    );
    if let (Some(a), Some(b)) = (&outcome.settings, &formatted_outcome.settings) {
        assert!(
            changes(&service_schema::schema(), a, b).is_empty(),
            "the formatted text has other settings:\n{text}\n{formatted}"
        );
    }
}
