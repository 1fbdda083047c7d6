//! The file system calls that this crate uses, and their implementation by the operating system.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::os::unix::fs::MetadataExt;
use std::path::Path;

/// Operations on a folder and its files.
pub trait FileSystem {
    /// A file that is open for writing.
    type File: DurableFile;

    /// Creates the folder and its missing parents, unless it exists.
    ///
    /// # Errors
    /// If it doesn't exist and can't be created.
    fn create_folder(&self, folder: &Path) -> io::Result<()>;

    /// Names of the folder's entries, without those that are not UTF-8.
    ///
    /// # Errors
    /// If the folder can't be read.
    fn list(&self, folder: &Path) -> io::Result<Vec<String>>;

    /// The first bytes of a file, at most `max_bytes`.
    ///
    /// # Errors
    /// If it doesn't exist or can't be read.
    fn read(&self, path: &Path, max_bytes: u64) -> io::Result<Vec<u8>>;

    /// Creates an empty file for writing.
    ///
    /// # Errors
    /// If the file exists or can't be created.
    fn create_new(&self, path: &Path) -> io::Result<Self::File>;

    /// Renames a file, replacing an existing one.
    ///
    /// # Errors
    /// If the file was not renamed.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Makes creations, renames and removals in a folder durable.
    ///
    /// # Errors
    /// If any of them may be lost in a power failure.
    fn sync_folder(&self, folder: &Path) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// If it doesn't exist or can't be removed.
    fn remove(&self, path: &Path) -> io::Result<()>;
}

/// A file that is open for writing.
pub trait DurableFile {
    /// Appends bytes.
    ///
    /// # Errors
    /// If not all of them were written; some may have been.
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes all written bytes durable.
    ///
    /// # Errors
    /// If any of them may be lost in a power failure.
    fn sync(&mut self) -> io::Result<()>;

    /// Whether the open file has no name any more: it was removed or replaced.
    ///
    /// # Errors
    /// If the file's metadata can't be read.
    fn is_removed(&self) -> io::Result<bool>;
}

/// The file system of the operating system.
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

    fn read(&self, path: &Path, max_bytes: u64) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(path)?.take(max_bytes).read_to_end(&mut bytes)?;
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
