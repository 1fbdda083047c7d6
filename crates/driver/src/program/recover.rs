//! `asterlatch recover`: reads what a driver has kept, and says what its next start would trust of that, and why. Nothing is
//! written, and no service is asked.

use super::sharing::written;
use super::snapshot_writer;
use crate::transport::clock::Clock;
use asterlatch_gossip::snapshot::{self, SnapshotError};
use asterlatch_recovery::report::{self, RecoveryReport, StoredRecord};
use serde_json::{json, Value};
use std::path::Path;

/// What a start on this folder would make of it, for the driver of this name, or for whoever the copy says it is.
fn look(folder: &Path, name: Option<&str>, clock: &Clock) -> Result<(Value, RecoveryReport), String> {
    let bytes = snapshot_writer::read(folder)?
        .ok_or_else(|| format!("{}: nothing was ever kept there", folder.display()))?;
    let whose = snapshot::read_owner(&bytes);
    let owner = whose.clone().unwrap_or_default();
    let read = snapshot::read(&bytes, &owner.fleet, name.unwrap_or(&owner.name));
    let nothing_used = !matches!(
        read.error,
        None | Some(SnapshotError::Truncated { .. } | SnapshotError::Corrupted { .. })
    );
    let found = read.records.into_iter().map(StoredRecord::from);
    let report = report::classify(found, clock.now()).report;
    let copy = json!({
        "of": whose.map(|owner| owner.name), "life": owner.incarnation, "bytes": bytes.len(),
        "fault": read.error.map(|f| f.to_string()), "facts": report.records, "of_use": report.usable,
        "nothing_used": nothing_used, "from_the_future": report.from_future,
    });
    Ok((copy, report))
}

/// Prints it; an error is a folder that can't be read or holds nothing.
pub fn run(folder: &Path, name: Option<&str>, as_json: bool) -> Result<(), String> {
    let (copy, report) = look(folder, name, &Clock::start())?;
    let rows = serde_json::to_value(&report.rows).map_err(|e| e.to_string())?;
    let all = json!({ "copy": [copy], "kept": rows });
    print!("{}", written(&all, as_json));
    if !as_json {
        println!("{}", report);
    }
    Ok(())
}
