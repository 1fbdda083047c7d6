//! Messages over a Unix socket, with descriptors beside them.

use crate::message::{FrameError, Framed, HandoverMessage};
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut};
use std::marker::PhantomData;
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;

/// Descriptors that one message may bring.
const MAX_DESCRIPTORS: usize = 8;

/// Sends a message; descriptors go with its first byte.
pub fn send(socket: &UnixStream, message: &impl Framed, descriptors: &[BorrowedFd]) -> io::Result<()> {
    let bytes = message.encode().map_err(|f| io::Error::other(format!("{f:?}")))?;
    let mut sent = 0;
    while sent < bytes.len() {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
        let mut beside = SendAncillaryBuffer::new(&mut space);
        let fits =
            sent > 0 || descriptors.is_empty() || beside.push(SendAncillaryMessage::ScmRights(descriptors));
        if !fits {
            return Err(io::Error::other("too many descriptors"));
        }
        // A peer that is gone is an error here, not a signal.
        let flags = SendFlags::NOSIGNAL;
        match sendmsg(socket, &[IoSlice::new(&bytes[sent..])], &mut beside, flags) {
            Ok(n) => sent += n,
            Err(rustix::io::Errno::INTR) => {}
            Err(e) => return Err(e.into()),
        }
    }
    Ok(())
}

/// What came last.
#[derive(Debug)]
pub enum Received<T = HandoverMessage> {
    Message(T, Vec<OwnedFd>),
    Invalid(FrameError),
    Closed,
}

/// Reads one message after another from a socket.
pub struct FrameReader<T = HandoverMessage> {
    socket: UnixStream,
    input: Vec<u8>,
    /// How much of it is taken: many small ones come at once.
    used: usize,
    descriptors: VecDeque<OwnedFd>,
    kind: PhantomData<T>,
}

impl<T: Framed> FrameReader<T> {
    pub fn new(socket: UnixStream) -> FrameReader<T> {
        FrameReader {
            socket,
            input: Vec::new(),
            used: 0,
            descriptors: VecDeque::new(),
            kind: PhantomData,
        }
    }

    /// The next message, waited for, with its own of the descriptors that came by then. The kernel may give the end of
    /// one message and the descriptors of the next together.
    pub fn read(&mut self) -> Received<T> {
        loop {
            match T::decode(&self.input[self.used..]) {
                Ok(Some((message, length))) => {
                    self.used += length;
                    let own = message.descriptor_count().min(self.descriptors.len());
                    let own = self.descriptors.drain(..own).collect();
                    return Received::Message(message, own);
                }
                Err(fault) => return Received::Invalid(fault),
                Ok(None) => {}
            }
            self.input.drain(..std::mem::take(&mut self.used));
            let mut chunk = [0; 64 * 1024];
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
            let mut beside = RecvAncillaryBuffer::new(&mut space);
            let mut parts = [IoSliceMut::new(&mut chunk)];
            let got = match recvmsg(&self.socket, &mut parts, &mut beside, RecvFlags::CMSG_CLOEXEC) {
                Ok(got) => got.bytes,
                Err(rustix::io::Errno::INTR) => continue,
                Err(_) => 0,
            };
            for message in beside.drain() {
                if let RecvAncillaryMessage::ScmRights(all) = message {
                    self.descriptors.extend(all);
                }
            }
            if got == 0 {
                return Received::Closed;
            }
            self.input.extend(&chunk[..got]);
        }
    }
}

/// Time by the machine's clock that no setting of the wall clock moves, in microseconds: both processes read the same.
pub fn monotonic_micros() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1000
}
