//! Atomically replaced and append-only files on disks that may fail temporarily.
//!
//! After a failed `write` or `fsync` the kernel may mark pages clean that never reached the disk, so a later
//! successful `fsync` proves nothing. No file is therefore written to after an error: the data is written
//! again to a new file.
//!
//! [`replace`] replaces a file atomically, [`log_file`] appends to one. Both use a [`FileSystem`], so that
//! tests can inject errors.

pub mod file_system;
pub mod log_file;
#[cfg(feature = "fault-injection")]
pub mod memory;
pub mod replace;

pub use file_system::{DurableFile, FileSystem, OsFileSystem};
