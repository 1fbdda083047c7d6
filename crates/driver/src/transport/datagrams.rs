//! Datagrams between this driver and its peers, which are identified by address. One UDP socket serves all
//! peers; an event descriptor lets other threads interrupt a wait.

use super::socket_errors::{self, NextStep, Origin};
use rustix::event::{eventfd, poll, EventfdFlags, PollFd, PollFlags, Timespec};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::time::Duration;

/// Size of the receive buffer. Longer datagrams are truncated; peers send none.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Delay after a call that failed for lack of memory, since polling may fail immediately for the same reason.
const RETRY_DELAY: Duration = Duration::from_millis(1);

/// Interrupts [`DatagramSocket::receive`] from any thread.
#[derive(Clone)]
pub struct DatagramWaker(Arc<OwnedFd>);

impl DatagramWaker {
    /// Interrupts the current wait, or the next one if there is none.
    pub fn wake(&self) {
        // The write fails only if the counter is full, and then the wake-up is already pending.
        let _ = rustix::io::write(&*self.0, &1u64.to_ne_bytes());
    }
}

/// The UDP socket, owned by the thread that receives from it.
pub struct DatagramSocket {
    socket: UdpSocket,
    waker: DatagramWaker,
    peers: Vec<SocketAddr>,
    buffer: Vec<u8>,
}

/// Result of [`DatagramSocket::receive`].
pub enum DatagramEvent<'a> {
    /// A datagram from the peer with this index.
    Received(usize, &'a [u8]),
    /// A datagram from an address that belongs to no peer.
    UnknownSender(SocketAddr),
    /// Another thread called [`DatagramWaker::wake`].
    Woken,
    /// The timeout has elapsed, the wait was interrupted by a signal, or a transient error occurred.
    TimedOut,
}

impl DatagramSocket {
    /// Binds a socket to `address` for datagrams from and to `peers`.
    ///
    /// # Errors
    /// If the address cannot be bound or no descriptor is available.
    pub fn bind(address: SocketAddr, peers: Vec<SocketAddr>) -> io::Result<DatagramSocket> {
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let waker = eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?;
        Ok(DatagramSocket {
            socket,
            waker: DatagramWaker(Arc::new(waker)),
            peers,
            buffer: vec![0; MAX_DATAGRAM_BYTES],
        })
    }

    /// Returns a waker for other threads.
    pub fn waker(&self) -> DatagramWaker {
        self.waker.clone()
    }

    /// Sends a datagram to the peer with this index; returns whether the kernel accepted it. A datagram that
    /// it does not accept is lost.
    pub fn send(&self, peer: usize, bytes: &[u8]) -> bool {
        let address = self.peers.get(peer);
        address.is_some_and(|address| self.socket.send_to(bytes, address).is_ok())
    }

    /// Waits up to `timeout` for the next datagram.
    ///
    /// # Errors
    /// If the socket fails for a reason that indicates a programming error. Unreachable peers and lack of
    /// memory do not.
    pub fn receive(&mut self, timeout: Duration) -> io::Result<DatagramEvent<'_>> {
        match self.socket.recv_from(&mut self.buffer) {
            Ok((length, from)) => return Ok(self.received(length, from)),
            Err(error) if error.kind() != ErrorKind::WouldBlock => return ignore_transient_error(error),
            Err(_) => {}
        }
        let mut ready = [
            PollFd::new(&self.socket, PollFlags::IN),
            PollFd::new(&*self.waker.0, PollFlags::IN),
        ];
        let timeout = Timespec {
            tv_sec: timeout.as_secs() as i64,
            tv_nsec: i64::from(timeout.subsec_nanos()),
        };
        match poll(&mut ready, Some(&timeout)) {
            Ok(0) | Err(rustix::io::Errno::INTR) => return Ok(DatagramEvent::TimedOut),
            Ok(_) => {}
            Err(error) => return ignore_transient_error(error.into()),
        }
        let has_datagram = !ready[0].revents().is_empty();
        let is_woken = !ready[1].revents().is_empty();
        if is_woken {
            let _ = rustix::io::read(&*self.waker.0, &mut [0; 8]);
            return Ok(DatagramEvent::Woken);
        }
        if !has_datagram {
            return Ok(DatagramEvent::TimedOut);
        }
        match self.socket.recv_from(&mut self.buffer) {
            Ok((length, from)) => Ok(self.received(length, from)),
            Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(DatagramEvent::TimedOut),
            Err(error) => ignore_transient_error(error),
        }
    }

    fn received(&self, length: usize, from: SocketAddr) -> DatagramEvent<'_> {
        match self.peers.iter().position(|peer| *peer == from) {
            Some(peer) => DatagramEvent::Received(peer, &self.buffer[..length]),
            None => DatagramEvent::UnknownSender(from),
        }
    }
}

/// Treats errors of the peer, the network and the host as lost datagrams; the kernel reports them on a later
/// call. Only programming errors are returned.
fn ignore_transient_error<'a>(error: io::Error) -> io::Result<DatagramEvent<'a>> {
    let class = socket_errors::receive(&error);
    if class.origin == Origin::Program {
        return Err(error);
    }
    if class.next == NextStep::RetryLater {
        std::thread::sleep(RETRY_DELAY);
    }
    Ok(DatagramEvent::TimedOut)
}
