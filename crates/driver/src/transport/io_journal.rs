//! Writer of the I/O journal: it records, for another process that holds the same sockets, what is done next to each
//! client. That process continues from it if this one is killed: what was written into the journal's socket outlives the
//! writer.

use asterlatch_handover::codec::send;
use asterlatch_handover::io_journal::JournalRecord;
use std::io;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// A stalled reader delays clients by no more than this, once: then the journal is abandoned.
const WRITE_TIMEOUT: Duration = Duration::from_millis(200);

struct Shared {
    socket: Mutex<UnixStream>,
    /// Tells the reader that the journal is incomplete. It outlives this process as well.
    abandoned: OwnedFd,
    is_active: AtomicBool,
}

/// The writing end of the journal; clones share it. May be used from any thread.
#[derive(Clone)]
pub struct IoJournalWriter(Arc<Shared>);

impl IoJournalWriter {
    /// Writes to `socket`, and signals the event descriptor `abandoned` if the journal has to be abandoned.
    ///
    /// # Errors
    /// If the socket takes no write timeout.
    pub fn new(socket: UnixStream, abandoned: OwnedFd) -> io::Result<IoJournalWriter> {
        socket.set_write_timeout(Some(WRITE_TIMEOUT))?;
        Ok(IoJournalWriter(Arc::new(Shared {
            socket: Mutex::new(socket),
            abandoned,
            is_active: AtomicBool::new(true),
        })))
    }

    /// Whether records are still written.
    pub fn is_active(&self) -> bool {
        self.0.is_active.load(Ordering::Acquire)
    }

    /// Ends the journal: nothing needs to be recorded any more.
    pub fn stop(&self) {
        self.0.is_active.store(false, Ordering::Release);
    }

    /// Appends a record, with a descriptor where it has one. Returns once the kernel has it, or the journal has ended.
    pub fn append(&self, record: &JournalRecord, descriptor: Option<BorrowedFd>) {
        if !self.is_active() {
            return;
        }
        // Both threads write, and a record must not overtake one that the other thread has to write first.
        let socket = self.0.socket.lock().unwrap_or_else(PoisonError::into_inner);
        if self.is_active() && send(&socket, record, descriptor.as_slice()).is_err() {
            // In this order: nothing may be done unrecorded while the reader believes that the journal is complete.
            let _ = rustix::io::write(&self.0.abandoned, &1u64.to_ne_bytes());
            self.stop();
        }
    }
}

/// Whether the writer has abandoned the journal, as its reader asks once the writer is dead.
pub fn is_abandoned(descriptor: &OwnedFd) -> bool {
    rustix::io::read(descriptor, &mut [0; 8]).is_ok()
}
