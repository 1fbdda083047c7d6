//! Files that are replaced whole or appended to, on disks that may fail for a while.
//!
//! After a failed `write` or `fsync` the kernel may mark the pages clean although they never reached the disk, so that a later
//! successful `fsync` proves nothing. Nothing here therefore continues a file after an error: what is owed is written
//! again, into a new file.
//!
//! [`replace`] puts a new file in the place of one, [`log_file`] appends to it; both go through a [`FileSystem`], so
//! that tests let single calls fail.

pub mod file_system;
pub mod log_file;
#[cfg(feature = "fault-injection")]
pub mod memory;
pub mod replace;

pub use file_system::{DurableFile, FileSystem, OsFileSystem};
