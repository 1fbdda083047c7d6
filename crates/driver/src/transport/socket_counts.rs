//! Bytes read from and written to a TCP socket in its whole life, by the kernel's own counts.

use asterlatch_handover::io_journal::SocketByteCounts;
use std::ffi::c_void;
use std::io::{self, ErrorKind};
use std::net::TcpStream;
use std::os::fd::{AsFd, AsRawFd};

/// Linux's `TCP_INFO`.
const TCP_INFO: i32 = 11;
/// Offset of `tcpi_bytes_acked` in it.
const ACKED_OFFSET: usize = 120;
/// Offset of `tcpi_bytes_received` in it.
const RECEIVED_OFFSET: usize = 128;
/// States in which the peer's FIN has arrived, which counts as a byte received: CLOSE_WAIT, LAST_ACK, CLOSING, TIME_WAIT.
const FIN_RECEIVED: [u8; 4] = [8, 9, 11, 6];
/// How often the counts are read until none of them changed meanwhile; each time takes microseconds.
const MOST_READS: usize = 1000;

#[derive(Clone, Copy, PartialEq)]
struct TcpInfo {
    state: u8,
    acked: u64,
    received: u64,
}

fn tcp_info(stream: &TcpStream) -> io::Result<TcpInfo> {
    let mut info = [0u8; 256];
    let mut length = info.len() as libc::socklen_t;
    // SAFETY: the kernel writes no more than `length` bytes, which `info` has.
    let result = unsafe {
        libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            TCP_INFO,
            info.as_mut_ptr().cast::<c_void>(),
            &mut length,
        )
    };
    if result != 0 {
        return Err(io::Error::last_os_error());
    }
    let field = |offset: usize| {
        let bytes = info[..length as usize].get(offset..offset + 8)?;
        Some(u64::from_ne_bytes(bytes.try_into().ok()?))
    };
    let fields = field(ACKED_OFFSET).zip(field(RECEIVED_OFFSET));
    let (acked, received) = fields.ok_or(ErrorKind::Unsupported)?;
    let state = info[0];
    Ok(TcpInfo {
        state,
        acked,
        received,
    })
}

/// Bytes that the socket's send queue still holds.
fn unsent_bytes(stream: &TcpStream) -> io::Result<u64> {
    let mut unsent: libc::c_int = 0;
    // SAFETY: the kernel writes one int.
    if unsafe { libc::ioctl(stream.as_fd().as_raw_fd(), libc::TIOCOUTQ, &mut unsent) } != 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(u64::try_from(unsent).unwrap_or(0))
}

/// Bytes that any process has read from a socket and written to it. No process may read or write it meanwhile; its peer
/// may: an acknowledgement or a byte between two of the kernel's answers would otherwise be counted twice or not at all.
///
/// # Errors
/// If the kernel refuses the counts, or they kept changing.
pub fn byte_counts(stream: &TcpStream) -> io::Result<SocketByteCounts> {
    for _ in 0..MOST_READS {
        let before = tcp_info(stream)?;
        let unread = rustix::io::ioctl_fionread(stream)?;
        let unsent = unsent_bytes(stream)?;
        let after = tcp_info(stream)?;
        if before == after {
            let fin = u64::from(FIN_RECEIVED.contains(&after.state));
            return Ok(SocketByteCounts {
                read: after.received.saturating_sub(unread + fin),
                written: after.acked + unsent,
            });
        }
    }
    Err(ErrorKind::TimedOut.into())
}
