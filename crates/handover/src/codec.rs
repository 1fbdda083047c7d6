//! Frames on a Unix socket, with file descriptors that go along.
//!
//! A frame is the length of its body (big endian, 32 bits), the body's SHA-256 hash where the message type
//! wants one, and the body in `postcard`'s format.

use crate::message::HandoverMessage;
use rustix::io::Errno;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use sha2::{Digest, Sha256};
use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut};
use std::marker::PhantomData;
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;
use thiserror::Error;

/// Descriptors that may go along with one message.
const MAX_DESCRIPTORS: usize = 8;
/// Bytes of a frame's length.
const LENGTH_SIZE: usize = 4;
/// Bytes of a frame's hash.
const HASH_SIZE: usize = 32;
/// Bytes that are read from the socket at once.
const READ_SIZE: usize = 64 * 1024;

/// Why bytes are no frame, or a message can't become one.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The body is longer than [`Framed::MAX_LENGTH`].
    #[error("the frame is too long")]
    TooLong,
    /// The body is not what was hashed.
    #[error("the frame's hash differs from its body's")]
    HashMismatch,
    /// The body is no message of this type.
    #[error("the frame holds no message of its type")]
    Malformed(#[from] postcard::Error),
}

/// A message that was decoded from the start of a buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decoded<T> {
    /// The message.
    pub message: T,
    /// Bytes that its frame takes.
    pub frame_length: usize,
}

/// A message type that is sent in frames.
pub trait Framed: Serialize + DeserializeOwned {
    /// Bytes of the longest body.
    const MAX_LENGTH: usize;
    /// Whether frames carry a hash of their body.
    const IS_HASHED: bool;

    /// How many descriptors go along with the message. Those that are received together may belong to several
    /// messages.
    fn descriptor_count(&self) -> usize;

    /// The message's frame.
    ///
    /// # Errors
    /// [`FrameError::TooLong`], or the serializer's error.
    fn encode(&self) -> Result<Vec<u8>, FrameError> {
        let body = postcard::to_stdvec(self)?;
        if body.len() > Self::MAX_LENGTH {
            return Err(FrameError::TooLong);
        }
        let mut frame = (body.len() as u32).to_be_bytes().to_vec();
        if Self::IS_HASHED {
            frame.extend(Sha256::digest(&body));
        }
        frame.extend(body);
        Ok(frame)
    }

    /// Decodes the first message of `input`; nothing where more bytes are needed.
    ///
    /// # Errors
    /// What makes the frame invalid; what follows it can't be found then.
    fn decode(input: &[u8]) -> Result<Option<Decoded<Self>>, FrameError> {
        let header_length = if Self::IS_HASHED {
            LENGTH_SIZE + HASH_SIZE
        } else {
            LENGTH_SIZE
        };
        let header = input.get(..header_length);
        let Some((length, hash)) = header.and_then(|h| h.split_first_chunk::<LENGTH_SIZE>()) else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if length > Self::MAX_LENGTH {
            return Err(FrameError::TooLong);
        }
        let frame_length = header_length + length;
        let Some(body) = input.get(header_length..frame_length) else {
            return Ok(None);
        };
        if Self::IS_HASHED && Sha256::digest(body).as_slice() != hash {
            return Err(FrameError::HashMismatch);
        }
        let message = postcard::from_bytes(body)?;
        Ok(Some(Decoded {
            message,
            frame_length,
        }))
    }
}

/// Why a message was not sent.
#[derive(Debug, Error)]
pub enum SendError {
    /// The message can't become a frame.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// More descriptors than may go along with one message.
    #[error("more than {MAX_DESCRIPTORS} descriptors for one message")]
    TooManyDescriptors,
    /// The socket refused the bytes; part of the frame may have been sent.
    #[error("the message can't be written: {0}")]
    Io(#[from] io::Error),
}

/// Sends a message and waits until the kernel has all of it. The descriptors go along with its first byte.
///
/// # Errors
/// The peer is gone, the socket's write timeout elapsed, or the message can't be framed.
pub fn send(socket: &UnixStream, message: &impl Framed, descriptors: &[BorrowedFd]) -> Result<(), SendError> {
    let frame = message.encode()?;
    let mut sent = 0;
    while sent < frame.len() {
        let with_first_byte = if sent == 0 { descriptors } else { &[] };
        match send_part(socket, &frame[sent..], with_first_byte) {
            Err(SendError::Io(error)) if error.kind() == io::ErrorKind::Interrupted => {}
            result => sent += result?,
        }
    }
    Ok(())
}

/// Sends as many bytes as the socket takes at once, and returns how many.
fn send_part(socket: &UnixStream, bytes: &[u8], descriptors: &[BorrowedFd]) -> Result<usize, SendError> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    if !descriptors.is_empty() && !ancillary.push(SendAncillaryMessage::ScmRights(descriptors)) {
        return Err(SendError::TooManyDescriptors);
    }
    // A peer that is gone is an error here, not a signal.
    let sent = sendmsg(
        socket,
        &[IoSlice::new(bytes)],
        &mut ancillary,
        SendFlags::NOSIGNAL,
    );
    Ok(sent.map_err(io::Error::from)?)
}

/// What a [`FrameReader`] has read.
#[derive(Debug)]
pub enum Received<T = HandoverMessage> {
    /// A message with the descriptors that came along.
    Message(T, Vec<OwnedFd>),
    /// Bytes that are no frame. Nothing behind them can be read.
    Invalid(FrameError),
    /// The peer closed the socket, or reading it failed or timed out.
    Closed,
}

/// Reads one message after another from a socket.
pub struct FrameReader<T = HandoverMessage> {
    socket: UnixStream,
    input: Vec<u8>,
    /// Bytes of `input` that were decoded: many small messages arrive at once.
    consumed: usize,
    /// Descriptors that were received and belong to messages not yet decoded.
    descriptors: VecDeque<OwnedFd>,
    message_type: PhantomData<T>,
}

impl<T: Framed> FrameReader<T> {
    /// A reader that owns its side of the socket.
    pub fn new(socket: UnixStream) -> FrameReader<T> {
        FrameReader {
            socket,
            input: Vec::new(),
            consumed: 0,
            descriptors: VecDeque::new(),
            message_type: PhantomData,
        }
    }

    /// Waits for the next message. Its descriptors are the oldest ones received: the kernel may deliver the
    /// end of one message and the descriptors of the next together.
    pub fn read(&mut self) -> Received<T> {
        loop {
            match T::decode(&self.input[self.consumed..]) {
                Ok(Some(decoded)) => return self.take_message(decoded),
                Err(error) => return Received::Invalid(error),
                Ok(None) => {}
            }
            self.input.drain(..self.consumed);
            self.consumed = 0;
            match self.receive() {
                Err(Errno::INTR) => {}
                Ok(0) | Err(_) => return Received::Closed,
                Ok(_) => {}
            }
        }
    }

    fn take_message(&mut self, decoded: Decoded<T>) -> Received<T> {
        self.consumed += decoded.frame_length;
        let count = decoded.message.descriptor_count().min(self.descriptors.len());
        let descriptors = self.descriptors.drain(..count).collect();
        Received::Message(decoded.message, descriptors)
    }

    /// Waits for bytes and descriptors, and returns how many bytes arrived; 0 at the end of the stream.
    fn receive(&mut self) -> Result<usize, Errno> {
        let mut chunk = [0; READ_SIZE];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
        let mut ancillary = RecvAncillaryBuffer::new(&mut space);
        let mut buffers = [IoSliceMut::new(&mut chunk)];
        let flags = RecvFlags::CMSG_CLOEXEC;
        let received = recvmsg(&self.socket, &mut buffers, &mut ancillary, flags)?.bytes;
        for message in ancillary.drain() {
            if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                self.descriptors.extend(descriptors);
            }
        }
        self.input.extend(&chunk[..received]);
        Ok(received)
    }
}

/// Microseconds by the machine's monotonic clock. Both processes read the same, whoever sets the wall clock.
pub fn monotonic_micros() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1000
}
