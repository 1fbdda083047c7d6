//! Writes down, for another process that holds the same sockets, what is done next to each client. That process reads on
//! when this one is killed: what was written into its socket outlives the writer.

use asterlatch_handover::codec::send;
use asterlatch_handover::io_journal::{JournalRecord, SocketByteCounts};
use std::ffi::c_void;
use std::io::{self, ErrorKind};
use std::net::TcpStream;
use std::os::fd::{AsFd, AsRawFd, BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// A reader that is held up delays clients by no more than this, once: then the ledger is given up.
const PATIENCE: Duration = Duration::from_millis(200);

struct Shared {
    socket: Mutex<UnixStream>,
    /// Tells the reader that what was written is no longer all that was done. It outlives this process as well.
    given_up: OwnedFd,
    is_on: AtomicBool,
}

#[derive(Clone)]
pub struct Witness(Arc<Shared>);

impl Witness {
    pub fn new(socket: UnixStream, given_up: OwnedFd) -> io::Result<Witness> {
        socket.set_write_timeout(Some(PATIENCE))?;
        Ok(Witness(Arc::new(Shared {
            socket: Mutex::new(socket),
            given_up,
            is_on: AtomicBool::new(true),
        })))
    }

    pub fn is_on(&self) -> bool {
        self.0.is_on.load(Ordering::Acquire)
    }

    /// Nothing needs to be written down any more.
    pub fn stop(&self) {
        self.0.is_on.store(false, Ordering::Release);
    }

    /// Returns once the record is with the kernel, or nothing is written down any more.
    pub fn put(&self, record: &JournalRecord, beside: Option<BorrowedFd>) {
        if !self.is_on() {
            return;
        }
        // Both threads write, and what one of them waits for the other must not overtake.
        let socket = self.0.socket.lock().unwrap_or_else(PoisonError::into_inner);
        if self.is_on() && send(&socket, record, beside.as_slice()).is_err() {
            // In this order: nothing may be done that isn't written down while the reader believes it all was.
            let _ = rustix::io::write(&self.0.given_up, &1u64.to_ne_bytes());
            self.stop();
        }
    }
}

/// Whether a writer has given up, as the reader asks once it is dead.
pub fn has_given_up(descriptor: &OwnedFd) -> bool {
    rustix::io::read(descriptor, &mut [0; 8]).is_ok()
}

/// Linux's TCP_INFO, whose counts of bytes acknowledged and received lie at these places.
const TCP_INFO: i32 = 11;
const ACKED_AT: usize = 120;
const RECEIVED_AT: usize = 128;
/// States in which the peer's end has come, which counts as a byte received: CLOSE_WAIT, LAST_ACK, CLOSING, TIME_WAIT.
const ENDED: [u8; 4] = [8, 9, 11, 6];

/// How often the counts are read until none of them changed meanwhile: each look takes microseconds.
const LOOKS: usize = 1000;

/// What TCP_INFO says: the state, and bytes acknowledged and received.
fn info(stream: &TcpStream) -> io::Result<(u8, u64, u64)> {
    let mut info = [0u8; 256];
    let mut length = info.len() as libc::socklen_t;
    // SAFETY: the kernel writes no more than `length` bytes, which `info` has.
    let got = unsafe {
        libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            TCP_INFO,
            info.as_mut_ptr().cast::<c_void>(),
            &mut length,
        )
    };
    if got != 0 {
        return Err(io::Error::last_os_error());
    }
    let at = |place: usize| {
        let bytes = info[..length as usize].get(place..place + 8)?;
        Some(u64::from_ne_bytes(bytes.try_into().ok()?))
    };
    let (acked, received) = at(ACKED_AT).zip(at(RECEIVED_AT)).ok_or(ErrorKind::Unsupported)?;
    Ok((info[0], acked, received))
}

/// How much was read from a socket and written to it in its whole life, whoever did it. Nobody may read or write it
/// meanwhile; its peer may: an acknowledgement or a byte that comes between two of the kernel's answers would else be
/// counted twice or not at all, and its client be taken for one with half an answer.
pub fn counts(stream: &TcpStream) -> io::Result<SocketByteCounts> {
    for _ in 0..LOOKS {
        let before = info(stream)?;
        let unread = rustix::io::ioctl_fionread(stream)?;
        let mut unsent: libc::c_int = 0;
        // SAFETY: the kernel writes one int.
        if unsafe { libc::ioctl(stream.as_fd().as_raw_fd(), libc::TIOCOUTQ, &mut unsent) } != 0 {
            return Err(io::Error::last_os_error());
        }
        let (state, acked, received) = info(stream)?;
        if before == (state, acked, received) {
            return Ok(SocketByteCounts {
                read: received.saturating_sub(unread + u64::from(ENDED.contains(&state))),
                written: acked + u64::try_from(unsent).unwrap_or(0),
            });
        }
    }
    Err(ErrorKind::TimedOut.into())
}
