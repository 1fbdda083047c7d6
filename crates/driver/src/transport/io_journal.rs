//! Writer of the I/O journal, a write-ahead log of client I/O for another process that holds the same
//! sockets. If this process is killed, the other one continues from the journal: data in the journal's socket
//! outlives the writer.

use asterlatch_handover::codec::send;
use asterlatch_handover::io_journal::JournalRecord;
use std::io;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Maximum delay that a stalled reader causes; the journal is abandoned after it.
const WRITE_TIMEOUT: Duration = Duration::from_millis(200);

struct Shared {
    socket: Mutex<UnixStream>,
    /// Event descriptor that marks the journal as incomplete for the reader. It also outlives this process.
    abandoned: OwnedFd,
    is_active: AtomicBool,
}

/// The writing end of the journal. Clones share it and may be used from any thread.
#[derive(Clone)]
pub struct IoJournalWriter(Arc<Shared>);

impl IoJournalWriter {
    /// Creates a writer to `socket`, which signals the event descriptor `abandoned` if it abandons the
    /// journal.
    ///
    /// # Errors
    /// If the write timeout of the socket cannot be set.
    pub fn new(socket: UnixStream, abandoned: OwnedFd) -> io::Result<IoJournalWriter> {
        socket.set_write_timeout(Some(WRITE_TIMEOUT))?;
        Ok(IoJournalWriter(Arc::new(Shared {
            socket: Mutex::new(socket),
            abandoned,
            is_active: AtomicBool::new(true),
        })))
    }

    /// Whether records are still written: the journal was neither stopped nor abandoned.
    pub fn is_active(&self) -> bool {
        self.0.is_active.load(Ordering::Acquire)
    }

    /// Ends the journal, since no further records are needed.
    pub fn stop(&self) {
        self.0.is_active.store(false, Ordering::Release);
    }

    /// Appends a record and the descriptor that belongs to it. Returns once the kernel holds it or the
    /// journal has ended.
    pub fn append(&self, record: &JournalRecord, descriptor: Option<BorrowedFd>) {
        if !self.is_active() {
            return;
        }
        // Several threads append; the lock keeps their records in order.
        let socket = self.0.socket.lock().unwrap_or_else(PoisonError::into_inner);
        if self.is_active() && send(&socket, record, descriptor.as_slice()).is_err() {
            // Signals first: no I/O may go unrecorded while the reader considers the journal complete.
            let _ = rustix::io::write(&self.0.abandoned, &1u64.to_ne_bytes());
            self.stop();
        }
    }
}

/// Whether the writer has abandoned the journal. The reader checks this after the writer has died.
pub fn is_abandoned(descriptor: &OwnedFd) -> bool {
    rustix::io::read(descriptor, &mut [0; 8]).is_ok()
}
