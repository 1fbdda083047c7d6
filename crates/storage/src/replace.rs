//! Atomic replacement of a file: a crash at any step leaves either the previous or the new file complete.

use crate::file_system::{DurableFile, FileSystem};
use std::io;
use std::path::Path;

/// The steps of a replacement, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplaceStep {
    /// The new file exists under its temporary name and is empty.
    Created,
    /// Half of the bytes are written.
    HalfWritten,
    /// All bytes are written.
    Written,
    /// The bytes are durable.
    Synced,
    /// The new file has replaced the previous one.
    Renamed,
    /// The rename is durable.
    FolderSynced,
}

/// Names of the files of a replacement.
#[derive(Clone, Copy, Debug)]
pub struct FileNames<'a> {
    /// The folder that contains both files.
    pub folder: &'a Path,
    /// The file that is replaced.
    pub target: &'a str,
    /// The name of the new file until it is complete.
    pub temporary: &'a str,
}

/// A new file that has replaced the previous one.
#[derive(Debug)]
pub struct Replaced<File> {
    /// The new file, open for appending.
    pub file: File,
    /// An error if a power failure may bring the previous file back.
    pub folder_sync: io::Result<()>,
}

/// Replaces a file atomically, and calls `on_step` after each step.
///
/// # Errors
/// If the previous file was not replaced.
pub fn replace<F: FileSystem>(
    file_system: &F,
    names: FileNames,
    bytes: &[u8],
    mut on_step: impl FnMut(ReplaceStep),
) -> io::Result<Replaced<F::File>> {
    let temporary = names.folder.join(names.temporary);
    let renamed = write_and_rename(file_system, names, bytes, &mut on_step);
    if renamed.is_err() {
        // Frees the space, which the next attempt may need.
        let _ = file_system.remove(&temporary);
    }
    let file = renamed?;
    on_step(ReplaceStep::Renamed);
    let folder_sync = file_system.sync_folder(names.folder);
    if folder_sync.is_ok() {
        on_step(ReplaceStep::FolderSynced);
    }
    Ok(Replaced { file, folder_sync })
}

fn write_and_rename<F: FileSystem>(
    file_system: &F,
    names: FileNames,
    bytes: &[u8],
    on_step: &mut impl FnMut(ReplaceStep),
) -> io::Result<F::File> {
    let temporary = names.folder.join(names.temporary);
    // A file of an earlier attempt may contain pages that the kernel failed to write but marked clean.
    match file_system.remove(&temporary) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    let mut file = file_system.create_new(&temporary)?;
    on_step(ReplaceStep::Created);
    let (first_half, second_half) = bytes.split_at(bytes.len() / 2);
    file.write_all(first_half)?;
    on_step(ReplaceStep::HalfWritten);
    file.write_all(second_half)?;
    on_step(ReplaceStep::Written);
    file.sync()?;
    on_step(ReplaceStep::Synced);
    file_system.rename(&temporary, &names.folder.join(names.target))?;
    Ok(file)
}
