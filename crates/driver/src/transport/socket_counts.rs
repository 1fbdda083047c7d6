//! Total bytes read from and written to a TCP socket, from the kernel's counters.

use asterlatch_handover::io_journal::SocketByteCounts;
use std::ffi::c_void;
use std::io::{self, ErrorKind};
use std::net::TcpStream;
use std::os::fd::{AsFd, AsRawFd};

/// Socket option `TCP_INFO` of Linux.
const TCP_INFO: i32 = 11;
/// Offset of `tcpi_bytes_acked` in `struct tcp_info`.
const BYTES_ACKED_OFFSET: usize = 120;
/// Offset of `tcpi_bytes_received` in `struct tcp_info`.
const BYTES_RECEIVED_OFFSET: usize = 128;
/// TCP states after the peer's FIN, which counts as a received byte: CLOSE_WAIT, LAST_ACK, CLOSING,
/// TIME_WAIT.
const FIN_RECEIVED_STATES: [u8; 4] = [8, 9, 11, 6];
/// Maximum number of attempts to read consistent counters.
const MAX_READS: usize = 1000;

#[derive(Clone, Copy, PartialEq)]
struct TcpInfo {
    state: u8,
    acked: u64,
    received: u64,
}

fn tcp_info(stream: &TcpStream) -> io::Result<TcpInfo> {
    let mut info = [0u8; 256];
    let mut length = info.len() as libc::socklen_t;
    // SAFETY: the kernel writes at most `length` bytes, which is the size of `info`.
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
    let fields = field(BYTES_ACKED_OFFSET).zip(field(BYTES_RECEIVED_OFFSET));
    let (acked, received) = fields.ok_or(ErrorKind::Unsupported)?;
    let state = info[0];
    Ok(TcpInfo {
        state,
        acked,
        received,
    })
}

/// Bytes in the socket's send queue that are not yet acknowledged.
fn unsent_bytes(stream: &TcpStream) -> io::Result<u64> {
    let mut unsent: libc::c_int = 0;
    // SAFETY: the kernel writes one int.
    if unsafe { libc::ioctl(stream.as_fd().as_raw_fd(), libc::TIOCOUTQ, &mut unsent) } != 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(u64::try_from(unsent).unwrap_or(0))
}

/// Bytes that all processes together have read from and written to a socket. No process may use the socket
/// during the call. Its peer may: counters that changed while they were read are read again, since a byte or an
/// acknowledgement that arrives between two reads would be counted twice or not at all.
///
/// # Errors
/// If the counters cannot be read, or kept changing.
pub fn byte_counts(stream: &TcpStream) -> io::Result<SocketByteCounts> {
    for _ in 0..MAX_READS {
        let before = tcp_info(stream)?;
        let unread = rustix::io::ioctl_fionread(stream)?;
        let unsent = unsent_bytes(stream)?;
        let after = tcp_info(stream)?;
        if before == after {
            let fin = u64::from(FIN_RECEIVED_STATES.contains(&after.state));
            return Ok(SocketByteCounts {
                read: after.received.saturating_sub(unread + fin),
                written: after.acked + unsent,
            });
        }
    }
    Err(ErrorKind::TimedOut.into())
}
