//! A file that is appended to, and replaced whole where it isn't known what of it the disk holds.

use crate::file_system::{DurableFile, FileSystem};
use crate::replace::{replace, FileNames};
use std::io;
use std::path::{Path, PathBuf};

/// Names of the log's files.
#[derive(Clone, Copy, Debug)]
pub struct LogNames {
    /// The log.
    pub log: &'static str,
    /// What is to replace it.
    pub replacement: &'static str,
    /// A log that could not be read at the start, put aside before the first replacement.
    pub unreadable: &'static str,
}

/// Whether the log that a start has found was read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PreviousLog {
    /// It was read to its end or to its damage, or there was none: it may be replaced.
    #[default]
    Readable,
    /// The disk didn't give it: it may be sound, and is put aside.
    Unreadable,
}

/// A log; bytes count as kept only where [`LogFile::append`] or [`LogFile::replace`] has returned without an error.
#[derive(Debug)]
pub struct LogFile<F: FileSystem> {
    file_system: F,
    folder: PathBuf,
    names: LogNames,
    former: PreviousLog,
    /// Open behind the last byte, while all of it is known to be durable.
    file: Option<F::File>,
}

impl<F: FileSystem> LogFile<F> {
    /// Touches nothing yet: the first write has to be a replacement.
    pub fn new(file_system: F, folder: &Path, names: LogNames, former: PreviousLog) -> LogFile<F> {
        LogFile {
            file_system,
            folder: folder.to_owned(),
            names,
            former,
            file: None,
        }
    }

    /// Where the log is.
    pub fn path(&self) -> PathBuf {
        self.folder.join(self.names.log)
    }

    /// Appends bytes, and returns once they survive a power failure.
    ///
    /// # Errors
    /// If they may not survive one, or the log must be replaced first. After any error it must: its tail may be torn,
    /// and a later sync would prove nothing of what this one didn't write.
    pub fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let Some(mut file) = self.file.take() else {
            return Err(io::Error::other("not known what the file holds"));
        };
        if file.is_removed()? {
            return Err(io::Error::other("the file was taken away"));
        }
        file.write_all(bytes)?;
        file.sync()?;
        self.file = Some(file);
        Ok(())
    }

    /// Replaces the log, and returns once the new one survives a power failure.
    ///
    /// # Errors
    /// If it may not survive one. The former or the new log is whole then, and may be either.
    pub fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file = None;
        self.file_system.create_folder(&self.folder)?;
        self.put_unread_aside()?;
        let names = FileNames {
            folder: &self.folder,
            target: self.names.log,
            temporary: self.names.replacement,
        };
        let replaced = replace(&self.file_system, names, bytes, |_| ())?;
        replaced.folder_sync?;
        self.file = Some(replaced.file);
        Ok(())
    }

    fn put_unread_aside(&mut self) -> io::Result<()> {
        if self.former == PreviousLog::Readable {
            return Ok(());
        }
        let unread = self.folder.join(self.names.unreadable);
        match self.file_system.rename(&self.path(), &unread) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        self.former = PreviousLog::Readable;
        Ok(())
    }
}
