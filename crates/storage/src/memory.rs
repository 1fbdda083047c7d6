//! An in-memory file system for tests that injects errors, kills of the process and power failures.
//!
//! It models the worst permitted behaviour of a disk. A failed write has written half of its bytes. After a
//! failed sync a later one succeeds without writing the lost pages, which read as zeros after a power
//! failure. Names are durable only once their folder is synced; changes that a failed folder sync lost stay
//! lost until the names change again.

use crate::file_system::{DurableFile, FileSystem};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A call that can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// [`FileSystem::create_folder`].
    CreateFolder,
    /// [`FileSystem::list`].
    List,
    /// [`FileSystem::read`].
    Read,
    /// [`FileSystem::create_new`].
    Create,
    /// [`DurableFile::write_all`].
    Write,
    /// [`DurableFile::sync`].
    Sync,
    /// [`DurableFile::is_removed`].
    Inspect,
    /// [`FileSystem::rename`].
    Rename,
    /// [`FileSystem::sync_folder`].
    SyncFolder,
    /// [`FileSystem::remove`].
    Remove,
}

/// All calls, in the order of declaration.
pub const ALL_CALLS: [Call; 10] = [
    Call::CreateFolder,
    Call::List,
    Call::Read,
    Call::Create,
    Call::Write,
    Call::Sync,
    Call::Inspect,
    Call::Rename,
    Call::SyncFolder,
    Call::Remove,
];

/// How a process ends before its next start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEnd {
    /// SIGKILL: all written bytes remain.
    Kill,
    /// Only durable bytes and names remain.
    PowerFailure,
}

/// Files in memory, shared by clones.
#[derive(Clone, Debug, Default)]
pub struct MemoryFileSystem {
    state: Arc<Mutex<State>>,
}

/// A file in memory that is open for writing.
#[derive(Debug)]
pub struct MemoryFile {
    state: Arc<Mutex<State>>,
    inode: usize,
}

#[derive(Debug, Default)]
struct Inode {
    /// The content that processes read.
    bytes: Vec<u8>,
    /// The content after a power failure.
    durable: Vec<u8>,
}

#[derive(Debug, Default)]
struct State {
    inodes: Vec<Inode>,
    names: BTreeMap<PathBuf, usize>,
    durable_names: BTreeMap<PathBuf, usize>,
    /// Names that the next folder sync makes durable.
    changed_names: BTreeSet<PathBuf>,
    /// The call that fails, its file (all files if `None`), and the error number.
    fault: Option<(Call, Option<PathBuf>, i32)>,
    call_count: usize,
    /// The call during which the process is killed, counted from 1.
    killed_at: Option<usize>,
}

/// Outcome of a call.
enum CallOutcome {
    Completed,
    /// The call fails with this error after half of its work.
    Interrupted(io::Error),
}

impl State {
    /// Counts a call and returns its outcome.
    fn begin_call(&mut self, call: Call, path: Option<&Path>) -> CallOutcome {
        self.call_count += 1;
        match self.killed_at {
            Some(at) if self.call_count == at => return CallOutcome::Interrupted(io::Error::other("killed")),
            // Calls of a killed process have no effect: callers check `is_dead`.
            Some(at) if self.call_count > at => return CallOutcome::Interrupted(io::Error::other("dead")),
            _ => {}
        }
        match &self.fault {
            Some((failing_call, failing_path, errno))
                if *failing_call == call
                    && failing_path
                        .as_deref()
                        .is_none_or(|failing_path| path == Some(failing_path)) =>
            {
                CallOutcome::Interrupted(io::Error::from_raw_os_error(*errno))
            }
            _ => CallOutcome::Completed,
        }
    }

    fn is_dead(&self) -> bool {
        self.killed_at.is_some_and(|at| self.call_count > at)
    }

    /// Counts a call that does nothing if it fails.
    fn check_call(&mut self, call: Call, path: Option<&Path>) -> io::Result<()> {
        match self.begin_call(call, path) {
            CallOutcome::Completed => Ok(()),
            CallOutcome::Interrupted(error) => Err(error),
        }
    }

    fn inode(&self, path: &Path) -> io::Result<usize> {
        self.names
            .get(path)
            .copied()
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl MemoryFileSystem {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Every `call` fails with this error number until [`MemoryFileSystem::clear_fault`].
    pub fn fail_calls(&self, call: Call, errno: i32) {
        self.state().fault = Some((call, None, errno));
    }

    /// As [`MemoryFileSystem::fail_calls`], for one file only. Calls on open files match no path.
    pub fn fail_calls_on(&self, call: Call, path: &Path, errno: i32) {
        self.state().fault = Some((call, Some(path.to_owned()), errno));
    }

    /// Makes calls succeed again.
    pub fn clear_fault(&self) {
        self.state().fault = None;
    }

    /// Kills the process during this call, counted from 1 starting now. Its later calls have no effect.
    pub fn kill_at_call(&self, call_number: usize) {
        let mut state = self.state();
        state.call_count = 0;
        state.killed_at = Some(call_number);
    }

    /// Number of calls since the last [`MemoryFileSystem::kill_at_call`].
    pub fn call_count(&self) -> usize {
        self.state().call_count
    }

    /// Ends the process and starts the next one, with the files that remain and without faults.
    pub fn restart(&self, end: ProcessEnd) {
        let mut state = self.state();
        state.killed_at = None;
        state.fault = None;
        if end == ProcessEnd::PowerFailure {
            state.names = state.durable_names.clone();
            for inode in &mut state.inodes {
                inode.bytes = inode.durable.clone();
            }
        }
    }

    /// The content of a file that processes read, durable or not. `None` if there is no such file.
    pub fn contents(&self, path: &Path) -> Option<Vec<u8>> {
        let state = self.state();
        let inode = state.inode(path).ok()?;
        Some(state.inodes[inode].bytes.clone())
    }

    /// Adds a file with durable name and content.
    pub fn add_durable_file(&self, path: &Path, bytes: &[u8]) {
        let mut state = self.state();
        let inode = state.inodes.len();
        state.inodes.push(Inode {
            bytes: bytes.to_vec(),
            durable: bytes.to_vec(),
        });
        state.names.insert(path.to_owned(), inode);
        state.durable_names.insert(path.to_owned(), inode);
    }
}

impl FileSystem for MemoryFileSystem {
    type File = MemoryFile;

    fn create_folder(&self, folder: &Path) -> io::Result<()> {
        self.state().check_call(Call::CreateFolder, Some(folder))
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
        let mut state = self.state();
        state.check_call(Call::List, Some(folder))?;
        let names = state.names.keys().filter(|path| path.parent() == Some(folder));
        let names = names.filter_map(|path| path.file_name()?.to_str().map(str::to_owned));
        Ok(names.collect())
    }

    fn read(&self, path: &Path, max_bytes: u64) -> io::Result<Vec<u8>> {
        let mut state = self.state();
        state.check_call(Call::Read, Some(path))?;
        let inode = state.inode(path)?;
        let bytes = &state.inodes[inode].bytes;
        Ok(bytes[..bytes.len().min(max_bytes as usize)].to_vec())
    }

    fn create_new(&self, path: &Path) -> io::Result<MemoryFile> {
        let mut state = self.state();
        state.check_call(Call::Create, Some(path))?;
        if state.names.contains_key(path) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        let inode = state.inodes.len();
        state.inodes.push(Inode::default());
        state.names.insert(path.to_owned(), inode);
        state.changed_names.insert(path.to_owned());
        Ok(MemoryFile {
            state: self.state.clone(),
            inode,
        })
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut state = self.state();
        state.check_call(Call::Rename, Some(to))?;
        let inode = state.inode(from)?;
        state.names.remove(from);
        state.names.insert(to.to_owned(), inode);
        state.changed_names.extend([from.to_owned(), to.to_owned()]);
        Ok(())
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        let mut state = self.state();
        let result = state.check_call(Call::SyncFolder, Some(folder));
        if state.is_dead() {
            return result;
        }
        for path in std::mem::take(&mut state.changed_names) {
            if result.is_err() {
                continue;
            }
            match state.names.get(&path).copied() {
                Some(inode) => state.durable_names.insert(path, inode),
                None => state.durable_names.remove(&path),
            };
        }
        result
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        let mut state = self.state();
        state.check_call(Call::Remove, Some(path))?;
        state.inode(path)?;
        state.names.remove(path);
        state.changed_names.insert(path.to_owned());
        Ok(())
    }
}

impl MemoryFile {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl DurableFile for MemoryFile {
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        let outcome = state.begin_call(Call::Write, None);
        let written = match &outcome {
            CallOutcome::Completed => bytes.len(),
            CallOutcome::Interrupted(_) if state.is_dead() => 0,
            CallOutcome::Interrupted(_) => bytes.len() / 2,
        };
        state.inodes[self.inode].bytes.extend(&bytes[..written]);
        match outcome {
            CallOutcome::Completed => Ok(()),
            CallOutcome::Interrupted(error) => Err(error),
        }
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.state();
        let result = state.check_call(Call::Sync, None);
        if state.is_dead() {
            return result;
        }
        let inode = &mut state.inodes[self.inode];
        let unsynced = inode.bytes[inode.durable.len()..].to_vec();
        match &result {
            Ok(()) => inode.durable.extend(unsynced),
            // The pages are lost but clean: a later sync does not write them.
            Err(_) => inode.durable.extend(unsynced.iter().map(|_| 0)),
        }
        result
    }

    fn is_removed(&self) -> io::Result<bool> {
        let mut state = self.state();
        state.check_call(Call::Inspect, None)?;
        Ok(!state.names.values().any(|inode| *inode == self.inode))
    }
}
