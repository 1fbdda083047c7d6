//! `asterlatch recover`: reads the snapshot in a folder, and reports what a start would use of it, and why. Nothing is
//! written, and no service is asked.

use super::gossip::snapshot_file::{self, SnapshotFileError};
use super::gossip::table;
use crate::transport::clock::Clock;
use asterlatch_gossip::snapshot::{self, SnapshotError};
use asterlatch_recovery::report::{self, RecoveryReport, StoredRecord};
use serde_json::{json, Value};
use std::path::{Path, PathBuf};

/// The snapshot can't be reported on.
#[derive(Debug, thiserror::Error)]
pub enum RecoverError {
    /// It can't be read.
    #[error(transparent)]
    Unreadable(#[from] SnapshotFileError),
    /// None was ever written.
    #[error("{}: nothing was ever kept there", .0.display())]
    Missing(PathBuf),
    /// The report can't be printed.
    #[error(transparent)]
    Report(#[from] serde_json::Error),
}

/// What a start would use of the snapshot, for the driver of this name, or for the one that the snapshot names.
fn examine(
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
    let found = contents.records.into_iter().map(StoredRecord::from);
    let report = report::classify(found, clock.now()).report;
    let copy = json!({
        "of": stated_owner.map(|owner| owner.name),
        "life": owner.incarnation,
        "bytes": bytes.len(),
        "fault": contents.error.map(|error| error.to_string()),
        "facts": report.records,
        "of_use": report.usable,
        "nothing_used": !is_used,
        "from_the_future": report.future_records,
    });
    Ok((copy, report))
}

/// Prints the report, as JSON or as tables.
///
/// # Errors
/// If the folder can't be read or holds no snapshot.
pub fn run(folder: &Path, name: Option<&str>, as_json: bool) -> Result<(), RecoverError> {
    let (copy, report) = examine(folder, name, &Clock::start())?;
    let rows = serde_json::to_value(&report.rows)?;
    let all = json!({ "copy": [copy], "kept": rows });
    print!("{}", table::render(&all, as_json));
    if !as_json {
        println!("{report}");
    }
    Ok(())
}
