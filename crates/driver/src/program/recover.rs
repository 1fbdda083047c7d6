//! `asterlatch recover`: reports which records of a stored snapshot a start would use, and why. It writes
//! nothing and contacts no service.

use super::gossip::snapshot_file::{self, SnapshotFileError};
use super::gossip::table;
use crate::transport::clock::Clock;
use asterlatch_gossip::snapshot::{self, SnapshotError};
use asterlatch_recovery::report::{self, RecoveryReport, StoredRecord};
use serde_json::{json, Value};
use std::path::{Path, PathBuf};

/// Why there is no report on the snapshot.
#[derive(Debug, thiserror::Error)]
pub enum RecoverError {
    /// The snapshot can't be read.
    #[error(transparent)]
    Unreadable(#[from] SnapshotFileError),
    /// The folder holds no snapshot.
    #[error("{}: no snapshot is stored there", .0.display())]
    Missing(PathBuf),
    /// The report can't be printed.
    #[error(transparent)]
    Report(#[from] serde_json::Error),
}

/// Classifies the records of the snapshot as a start of the driver `name` would; without a name, of the
/// driver that the snapshot names.
fn classify_snapshot(
    folder: &Path,
    name: Option<&str>,
    clock: &Clock,
) -> Result<(Value, RecoveryReport), RecoverError> {
    let bytes = snapshot_file::read(folder)?;
    let bytes = bytes.ok_or_else(|| RecoverError::Missing(folder.to_owned()))?;
    let stated_owner = snapshot::read_owner(&bytes);
    let owner = stated_owner.clone().unwrap_or_default();
    let contents = snapshot::read(&bytes, &owner.fleet, name.unwrap_or(&owner.name));
    let is_used = matches!(
        contents.error,
        None | Some(SnapshotError::Truncated { .. } | SnapshotError::Corrupted { .. })
    );
    let stored = contents.records.into_iter().map(StoredRecord::from);
    let report = report::classify(stored, clock.now()).report;
    let snapshot_row = json!({
        "of": stated_owner.map(|owner| owner.name),
        "life": owner.incarnation,
        "bytes": bytes.len(),
        "fault": contents.error.map(|error| error.to_string()),
        "facts": report.records,
        "of_use": report.usable,
        "nothing_used": !is_used,
        "from_the_future": report.future_records,
    });
    Ok((snapshot_row, report))
}

/// Prints the report, as JSON or as tables.
///
/// # Errors
/// If the folder can't be read or holds no snapshot.
pub fn run(folder: &Path, name: Option<&str>, as_json: bool) -> Result<(), RecoverError> {
    let (snapshot_row, report) = classify_snapshot(folder, name, &Clock::start())?;
    let rows = serde_json::to_value(&report.rows)?;
    let sections = json!({ "copy": [snapshot_row], "kept": rows });
    print!("{}", table::render(&sections, as_json));
    if !as_json {
        println!("{report}");
    }
    Ok(())
}
