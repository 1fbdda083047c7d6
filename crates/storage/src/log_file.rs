//! An append-only log that is replaced as a whole after an error, when its durable content is unknown.

use crate::file_system::{DurableFile, FileSystem};
use crate::replace::{replace, FileNames};
use std::io;
use std::path::{Path, PathBuf};

/// Names of the log's files.
#[derive(Clone, Copy, Debug)]
pub struct LogNames {
    /// The log.
    pub log: &'static str,
    /// The temporary name of a new log.
    pub replacement: &'static str,
    /// The name under which a previous log that could not be read is preserved.
    pub unreadable: &'static str,
}

/// Whether the log of an earlier run could be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PreviousLog {
    /// It was read up to its end or to a damaged entry, or there was none: it may be replaced.
    #[default]
    Readable,
    /// Reading it failed. Its content may be intact, so it is renamed before a new log replaces it.
    Unreadable,
}

/// A log. Bytes are durable only once [`LogFile::append`] or [`LogFile::replace`] has returned without an
/// error.
#[derive(Debug)]
pub struct LogFile<F: FileSystem> {
    file_system: F,
    folder: PathBuf,
    names: LogNames,
    previous: PreviousLog,
    /// The log, open for appending; nothing unless all of its content is durable.
    file: Option<F::File>,
}

impl<F: FileSystem> LogFile<F> {
    /// Accesses no files. The first write must be [`LogFile::replace`].
    pub fn new(file_system: F, folder: &Path, names: LogNames, previous: PreviousLog) -> LogFile<F> {
        LogFile {
            file_system,
            folder: folder.to_owned(),
            names,
            previous,
            file: None,
        }
    }

    /// Path of the log.
    pub fn path(&self) -> PathBuf {
        self.folder.join(self.names.log)
    }

    /// Appends bytes, and returns once they are durable.
    ///
    /// # Errors
    /// If they may not be durable, or the log must be replaced first. After any error it must be replaced:
    /// its tail may be torn, and a later successful sync does not cover pages that this one failed to write.
    pub fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let Some(mut file) = self.file.take() else {
            return Err(io::Error::other(
                "the log must be replaced before bytes are appended",
            ));
        };
        if file.is_removed()? {
            return Err(io::Error::other("the log file was removed or replaced"));
        }
        file.write_all(bytes)?;
        file.sync()?;
        self.file = Some(file);
        Ok(())
    }

    /// Replaces the log, and returns once the new one is durable.
    ///
    /// # Errors
    /// If it may not be durable. Either the previous or the new log is complete then.
    pub fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file = None;
        self.file_system.create_folder(&self.folder)?;
        self.preserve_unreadable_log()?;
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

    fn preserve_unreadable_log(&mut self) -> io::Result<()> {
        if self.previous == PreviousLog::Readable {
            return Ok(());
        }
        let unreadable = self.folder.join(self.names.unreadable);
        match self.file_system.rename(&self.path(), &unreadable) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        self.previous = PreviousLog::Readable;
        Ok(())
    }
}
