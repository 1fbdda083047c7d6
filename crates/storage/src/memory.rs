//! A file system in memory for tests: calls fail on demand, the process is killed at any call, power fails.
//!
//! It is as unkind as a disk may be. A failed sync drops what it was to write: a later sync succeeds and writes none of it,
//! and after a power failure zeros stand there. A failed write has taken half. Names count only once their folder is
//! synced, and those that a failed sync was to write stay lost until they change again.

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

/// All calls.
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

/// What ends a process before its next start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEnd {
    /// SIGKILL: what the kernel has taken stays.
    Kill,
    /// Only what was synced stays.
    PowerFailure,
}

/// Files in memory; clones share them.
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
    /// As processes read it.
    bytes: Vec<u8>,
    /// As the disk holds it.
    durable: Vec<u8>,
}

#[derive(Debug, Default)]
struct State {
    inodes: Vec<Inode>,
    names: BTreeMap<PathBuf, usize>,
    durable_names: BTreeMap<PathBuf, usize>,
    /// Names that the next sync of the folder writes.
    changed_names: BTreeSet<PathBuf>,
    /// The call that fails, of which file if not of all, and by which error.
    fault: Option<(Call, Option<PathBuf>, i32)>,
    calls: usize,
    /// The call in whose middle the process is killed, counted from 1.
    killed_at: Option<usize>,
}

/// What a call does.
enum Course {
    Done,
    /// Half of it is done, then this error.
    Half(io::Error),
}

impl State {
    fn course(&mut self, call: Call, path: Option<&Path>) -> Course {
        self.calls += 1;
        match self.killed_at {
            Some(at) if self.calls == at => return Course::Half(io::Error::other("killed")),
            // A dead process calls nothing; half of nothing is nothing.
            Some(at) if self.calls > at => return Course::Half(io::Error::other("dead")),
            _ => {}
        }
        match &self.fault {
            Some((failing, of, errno))
                if *failing == call && of.as_deref().is_none_or(|of| path == Some(of)) =>
            {
                Course::Half(io::Error::from_raw_os_error(*errno))
            }
            _ => Course::Done,
        }
    }

    fn is_dead(&self) -> bool {
        self.killed_at.is_some_and(|at| self.calls > at)
    }

    fn whole(&mut self, call: Call, path: Option<&Path>) -> io::Result<()> {
        match self.course(call, path) {
            Course::Done => Ok(()),
            Course::Half(error) => Err(error),
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

    /// Every such call fails by this error of the system, until [`MemoryFileSystem::clear_fault`].
    pub fn fail_calls(&self, call: Call, errno: i32) {
        self.state().fault = Some((call, None, errno));
    }

    /// As [`MemoryFileSystem::fail_calls`], for one file alone.
    pub fn fail_calls_on(&self, call: Call, path: &Path, errno: i32) {
        self.state().fault = Some((call, Some(path.to_owned()), errno));
    }

    /// Calls succeed again.
    pub fn clear_fault(&self) {
        self.state().fault = None;
    }

    /// The process is killed in the middle of this call, counted from 1 from now on; what it calls later has no effect.
    pub fn kill_at_call(&self, call: usize) {
        let mut state = self.state();
        state.calls = 0;
        state.killed_at = Some(call);
    }

    /// Calls since the last [`MemoryFileSystem::kill_at_call`].
    pub fn call_count(&self) -> usize {
        self.state().calls
    }

    /// Ends the process, and begins the next on what is left.
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

    /// The bytes of a file as processes read it now.
    pub fn contents(&self, path: &Path) -> Option<Vec<u8>> {
        let state = self.state();
        let inode = state.inode(path).ok()?;
        Some(state.inodes[inode].bytes.clone())
    }

    /// Puts a file there that survives a power failure.
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
        self.state().whole(Call::CreateFolder, Some(folder))
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
        let mut state = self.state();
        state.whole(Call::List, Some(folder))?;
        let names = state.names.keys().filter(|path| path.parent() == Some(folder));
        let names = names.filter_map(|path| path.file_name()?.to_str().map(str::to_owned));
        Ok(names.collect())
    }

    fn read(&self, path: &Path, longest: u64) -> io::Result<Vec<u8>> {
        let mut state = self.state();
        state.whole(Call::Read, Some(path))?;
        let inode = state.inode(path)?;
        let bytes = &state.inodes[inode].bytes;
        Ok(bytes[..bytes.len().min(longest as usize)].to_vec())
    }

    fn create_new(&self, path: &Path) -> io::Result<MemoryFile> {
        let mut state = self.state();
        state.whole(Call::Create, Some(path))?;
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
        state.whole(Call::Rename, Some(to))?;
        let inode = state.inode(from)?;
        state.names.remove(from);
        state.names.insert(to.to_owned(), inode);
        state.changed_names.extend([from.to_owned(), to.to_owned()]);
        Ok(())
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        let mut state = self.state();
        let result = state.whole(Call::SyncFolder, Some(folder));
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
        state.whole(Call::Remove, Some(path))?;
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
        let course = state.course(Call::Write, None);
        let taken = match &course {
            Course::Done => bytes.len(),
            Course::Half(_) if state.is_dead() => 0,
            Course::Half(_) => bytes.len() / 2,
        };
        state.inodes[self.inode].bytes.extend(&bytes[..taken]);
        match course {
            Course::Done => Ok(()),
            Course::Half(error) => Err(error),
        }
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.state();
        let result = state.whole(Call::Sync, None);
        if state.is_dead() {
            return result;
        }
        let inode = &mut state.inodes[self.inode];
        let owed = inode.bytes[inode.durable.len()..].to_vec();
        match &result {
            Ok(()) => inode.durable.extend(owed),
            // The pages count as clean from now on, and hold nothing.
            Err(_) => inode.durable.extend(owed.iter().map(|_| 0)),
        }
        result
    }

    fn is_removed(&self) -> io::Result<bool> {
        let mut state = self.state();
        state.whole(Call::Inspect, None)?;
        Ok(!state.names.values().any(|inode| *inode == self.inode))
    }
}
