//! Datagrams between this driver and others, each at an address of its own. One descriptor for all of them, and one by which
//! another thread ends the wait.

use rustix::event::{eventfd, poll, EventfdFlags, PollFd, PollFlags, Timespec};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::time::Duration;

/// Longer ones are not this program's.
const LONGEST: usize = 2048;

/// Ends a wait from any thread.
#[derive(Clone)]
pub struct Waker(Arc<OwnedFd>);

impl Waker {
    pub fn wake(&self) {
        // Where it is full somebody was woken often enough.
        let _ = rustix::io::write(&*self.0, &1u64.to_ne_bytes());
    }
}

pub struct Datagrams {
    socket: UdpSocket,
    waker: Waker,
    /// Whom datagrams are taken from, and sent to.
    peers: Vec<SocketAddr>,
    buffer: Vec<u8>,
}

pub enum Came<'a> {
    From(usize, &'a [u8]),
    /// Of nobody who may speak here.
    Foreign(SocketAddr),
    Woken,
    /// The time is over.
    Nothing,
}

impl Datagrams {
    pub fn bind(at: SocketAddr, peers: Vec<SocketAddr>) -> io::Result<Datagrams> {
        let socket = UdpSocket::bind(at)?;
        socket.set_nonblocking(true)?;
        let waker = eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?;
        Ok(Datagrams {
            socket,
            waker: Waker(Arc::new(waker)),
            peers,
            buffer: vec![0; LONGEST],
        })
    }

    pub fn waker(&self) -> Waker {
        self.waker.clone()
    }

    /// What isn't sent now, for want of room or a way, is lost as on any network.
    pub fn send(&self, to: usize, bytes: &[u8]) -> bool {
        let address = self.peers.get(to);
        address.is_some_and(|to| self.socket.send_to(bytes, to).is_ok())
    }

    /// The next datagram, waited for at most that long.
    pub fn next(&mut self, wait: Duration) -> io::Result<Came<'_>> {
        match self.socket.recv_from(&mut self.buffer) {
            Ok((length, from)) => return Ok(self.came(length, from)),
            Err(e) if e.kind() != ErrorKind::WouldBlock => return self.passed(&e),
            Err(_) => {}
        }
        let mut ready = [
            PollFd::new(&self.socket, PollFlags::IN),
            PollFd::new(&*self.waker.0, PollFlags::IN),
        ];
        let wait = Timespec {
            tv_sec: wait.as_secs() as i64,
            tv_nsec: i64::from(wait.subsec_nanos()),
        };
        match poll(&mut ready, Some(&wait)) {
            Ok(0) => return Ok(Came::Nothing),
            Ok(_) => {}
            Err(rustix::io::Errno::INTR) => return Ok(Came::Nothing),
            Err(e) => return Err(e.into()),
        }
        let (datagram, woken) = (!ready[0].revents().is_empty(), !ready[1].revents().is_empty());
        if woken {
            let _ = rustix::io::read(&*self.waker.0, &mut [0; 8]);
            return Ok(Came::Woken);
        }
        if !datagram {
            return Ok(Came::Nothing);
        }
        match self.socket.recv_from(&mut self.buffer) {
            Ok((length, from)) => Ok(self.came(length, from)),
            Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(Came::Nothing),
            Err(e) => self.passed(&e),
        }
    }

    fn came(&self, length: usize, from: SocketAddr) -> Came<'_> {
        match self.peers.iter().position(|p| *p == from) {
            Some(peer) => Came::From(peer, &self.buffer[..length]),
            None => Came::Foreign(from),
        }
    }

    /// That nobody listens where something was sent is told here: it is as if that was lost.
    fn passed(&self, fault: &io::Error) -> io::Result<Came<'_>> {
        match fault.kind() {
            ErrorKind::ConnectionRefused
            | ErrorKind::ConnectionReset
            | ErrorKind::Interrupted
            | ErrorKind::HostUnreachable
            | ErrorKind::NetworkUnreachable => Ok(Came::Nothing),
            kind => Err(kind.into()),
        }
    }
}
