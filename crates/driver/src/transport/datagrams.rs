//! Datagrams between this driver and its peers, each at an address of its own. One descriptor serves all of them, and
//! another one lets other threads end a wait.

use super::socket_errors::{self, NextStep, Origin};
use rustix::event::{eventfd, poll, EventfdFlags, PollFd, PollFlags, Timespec};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::time::Duration;

/// Longer datagrams are truncated; peers send none.
const MOST_BYTES: usize = 2048;
/// Pause after a call that failed for a lack of memory: the wait after it may fail at once for the same lack.
const REPEAT_PAUSE: Duration = Duration::from_millis(1);

/// Ends a wait for datagrams; may be used from any thread.
#[derive(Clone)]
pub struct DatagramWaker(Arc<OwnedFd>);

impl DatagramWaker {
    /// Ends the current wait, or the next one.
    pub fn wake(&self) {
        // A full counter was incremented often enough.
        let _ = rustix::io::write(&*self.0, &1u64.to_ne_bytes());
    }
}

/// The socket for datagrams, owned by the thread that waits for them.
pub struct DatagramSocket {
    socket: UdpSocket,
    waker: DatagramWaker,
    peers: Vec<SocketAddr>,
    buffer: Vec<u8>,
}

/// What ended a wait.
pub enum DatagramEvent<'a> {
    /// A datagram of the peer with this index.
    Received(usize, &'a [u8]),
    /// A datagram from an address that no peer has.
    UnknownSender(SocketAddr),
    /// Another thread called [`DatagramWaker::wake`].
    Woken,
    /// The time is over, or a send was found to have failed.
    TimedOut,
}

impl DatagramSocket {
    /// Binds an address for datagrams from and to `peers`.
    ///
    /// # Errors
    /// If the address can't be bound or no descriptor is left.
    pub fn bind(address: SocketAddr, peers: Vec<SocketAddr>) -> io::Result<DatagramSocket> {
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let waker = eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?;
        Ok(DatagramSocket {
            socket,
            waker: DatagramWaker(Arc::new(waker)),
            peers,
            buffer: vec![0; MOST_BYTES],
        })
    }

    /// A waker for other threads.
    pub fn waker(&self) -> DatagramWaker {
        self.waker.clone()
    }

    /// Sends a datagram to the peer with this index; returns whether the kernel took it. One that it doesn't take is lost,
    /// as on any network.
    pub fn send(&self, peer: usize, bytes: &[u8]) -> bool {
        let address = self.peers.get(peer);
        address.is_some_and(|address| self.socket.send_to(bytes, address).is_ok())
    }

    /// Waits for the next datagram, at most for so long.
    ///
    /// # Errors
    /// If the socket fails for another reason than an unreachable peer or a lack of memory.
    pub fn receive(&mut self, timeout: Duration) -> io::Result<DatagramEvent<'_>> {
        match self.socket.recv_from(&mut self.buffer) {
            Ok((length, from)) => return Ok(self.received(length, from)),
            Err(e) if e.kind() != ErrorKind::WouldBlock => return ignore_passing(e),
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
            Err(e) => return ignore_passing(e.into()),
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
            Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(DatagramEvent::TimedOut),
            Err(e) => ignore_passing(e),
        }
    }

    fn received(&self, length: usize, from: SocketAddr) -> DatagramEvent<'_> {
        match self.peers.iter().position(|peer| *peer == from) {
            Some(peer) => DatagramEvent::Received(peer, &self.buffer[..length]),
            None => DatagramEvent::UnknownSender(from),
        }
    }
}

/// A datagram that nobody received is lost like any other, of which the kernel tells here; so is one that it had no memory
/// for. Only a mistake of this program ends the exchange.
fn ignore_passing<'a>(error: io::Error) -> io::Result<DatagramEvent<'a>> {
    let meaning = socket_errors::receive(&error);
    if meaning.origin == Origin::Program {
        return Err(error);
    }
    if meaning.next == NextStep::RetryLater {
        std::thread::sleep(REPEAT_PAUSE);
    }
    Ok(DatagramEvent::TimedOut)
}
