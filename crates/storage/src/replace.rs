//! Puts a new file in the place of another, so that a stop between any two steps leaves the former one or the new one whole.

use crate::file_system::{DurableFile, FileSystem};
use std::io;
use std::path::Path;

/// The steps of a replacement, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplaceStep {
    /// The new file is there, empty, under its temporary name.
    Created,
    /// Half of the bytes are written.
    HalfWritten,
    /// All of them are written.
    Written,
    /// They survive a power failure.
    Synced,
    /// The new file has its name: it is in force.
    Renamed,
    /// The name survives a power failure.
    FolderSynced,
}

/// Names of a replacement.
#[derive(Clone, Copy, Debug)]
pub struct FileNames<'a> {
    /// The folder of both files.
    pub folder: &'a Path,
    /// The file that is replaced.
    pub target: &'a str,
    /// The temporary name of the new one.
    pub temporary: &'a str,
}

/// A new file that is in force.
#[derive(Debug)]
pub struct Replaced<File> {
    /// Open behind its last byte.
    pub file: File,
    /// An error where the new name isn't known to survive a power failure.
    pub folder_sync: io::Result<()>,
}

/// Replaces a file; `after` is called after each step.
///
/// # Errors
/// If the former file is still in force.
pub fn replace<F: FileSystem>(
    file_system: &F,
    names: FileNames,
    bytes: &[u8],
    mut after: impl FnMut(ReplaceStep),
) -> io::Result<Replaced<F::File>> {
    let temporary = names.folder.join(names.temporary);
    let renamed = write_and_rename(file_system, names, bytes, &mut after);
    if renamed.is_err() {
        // Others may need the space.
        let _ = file_system.remove(&temporary);
    }
    let file = renamed?;
    after(ReplaceStep::Renamed);
    let folder_sync = file_system.sync_folder(names.folder);
    if folder_sync.is_ok() {
        after(ReplaceStep::FolderSynced);
    }
    Ok(Replaced { file, folder_sync })
}

fn write_and_rename<F: FileSystem>(
    file_system: &F,
    names: FileNames,
    bytes: &[u8],
    after: &mut impl FnMut(ReplaceStep),
) -> io::Result<F::File> {
    let temporary = names.folder.join(names.temporary);
    // One that an earlier attempt left may hold pages that the kernel has given up.
    match file_system.remove(&temporary) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    let mut file = file_system.create_new(&temporary)?;
    after(ReplaceStep::Created);
    let (first, second) = bytes.split_at(bytes.len() / 2);
    file.write_all(first)?;
    after(ReplaceStep::HalfWritten);
    file.write_all(second)?;
    after(ReplaceStep::Written);
    file.sync()?;
    after(ReplaceStep::Synced);
    file_system.rename(&temporary, &names.folder.join(names.target))?;
    Ok(file)
}
