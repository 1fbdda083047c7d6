//! The calls on files that can fail, and the operating system's own.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::os::unix::fs::MetadataExt;
use std::path::Path;

/// Calls on a folder and its files.
pub trait FileSystem {
    /// A file that is open for writing.
    type File: DurableFile;

    /// Makes the folder where it isn't there.
    ///
    /// # Errors
    /// If it isn't there and can't be made.
    fn create_folder(&self, folder: &Path) -> io::Result<()>;

    /// Names of the folder's files; those that are no text are left out.
    ///
    /// # Errors
    /// If the folder can't be read.
    fn list(&self, folder: &Path) -> io::Result<Vec<String>>;

    /// The first bytes of a file, at most `longest`.
    ///
    /// # Errors
    /// If it isn't there or can't be read.
    fn read(&self, path: &Path, longest: u64) -> io::Result<Vec<u8>>;

    /// Creates an empty file for writing.
    ///
    /// # Errors
    /// If there is one already, or it can't be created.
    fn create_new(&self, path: &Path) -> io::Result<Self::File>;

    /// Renames a file, over one that may be there.
    ///
    /// # Errors
    /// If nothing was renamed.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Makes the names in a folder survive a power failure.
    ///
    /// # Errors
    /// If it isn't known which names would survive one.
    fn sync_folder(&self, folder: &Path) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// If it isn't there or can't be removed.
    fn remove(&self, path: &Path) -> io::Result<()>;
}

/// A file that is open for writing.
pub trait DurableFile {
    /// Appends bytes.
    ///
    /// # Errors
    /// If not all of them were taken; some may have been.
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes all that was written survive a power failure.
    ///
    /// # Errors
    /// If it isn't known what of it would survive one.
    fn sync(&mut self) -> io::Result<()>;

    /// Whether no name leads to it any more: it was removed, or replaced by another.
    ///
    /// # Errors
    /// If that can't be found out.
    fn is_removed(&self) -> io::Result<bool>;
}

/// The operating system's files.
#[derive(Clone, Copy, Debug, Default)]
pub struct OsFileSystem;

impl FileSystem for OsFileSystem {
    type File = File;

    fn create_folder(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(folder)? {
            names.extend(entry?.file_name().into_string());
        }
        Ok(names)
    }

    fn read(&self, path: &Path, longest: u64) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(path)?.take(longest).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn create_new(&self, path: &Path) -> io::Result<File> {
        File::create_new(path)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        File::open(folder)?.sync_all()
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }
}

impl DurableFile for File {
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        Write::write_all(self, bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_all()
    }

    fn is_removed(&self) -> io::Result<bool> {
        Ok(self.metadata()?.nlink() == 0)
    }
}
