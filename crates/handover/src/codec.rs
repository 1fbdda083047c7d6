//! Frames on a Unix socket, with attached file descriptors.
//!
//! A frame consists of the length of its body (32 bits, big endian), the SHA-256 hash of the body if the
//! message type requires one, and the body in the `postcard` format.

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

/// Descriptors that may be attached to one message.
const MAX_DESCRIPTORS: usize = 8;
/// Size of a frame's length field.
const LENGTH_BYTES: usize = 4;
/// Size of a frame's hash.
const HASH_BYTES: usize = 32;
/// Bytes that are read from the socket at once.
const READ_CHUNK_BYTES: usize = 64 * 1024;

/// Why a frame can't be decoded, or a message can't be encoded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The body is longer than [`Framed::MAX_BODY_BYTES`].
    #[error("the frame exceeds the maximum length")]
    TooLong,
    /// The hash in the frame differs from that of the body.
    #[error("the frame's hash does not match its body")]
    HashMismatch,
    /// The body can't be deserialized as this message type, or the message can't be serialized.
    #[error("cannot encode or decode the message: {0}")]
    Malformed(#[from] postcard::Error),
}

/// A message that was decoded from the start of a buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decoded<T> {
    /// The message.
    pub message: T,
    /// Size of its frame in bytes.
    pub frame_length: usize,
}

/// A message type that is sent in frames.
pub trait Framed: Serialize + DeserializeOwned {
    /// Maximum size of a frame's body.
    const MAX_BODY_BYTES: usize;
    /// Whether frames contain a hash of their body.
    const IS_HASHED: bool;

    /// Number of descriptors attached to the message. The reader assigns received descriptors by this number.
    fn descriptor_count(&self) -> usize;

    /// Encodes the message as a frame.
    ///
    /// # Errors
    /// [`FrameError::TooLong`], or the serializer's error.
    fn encode(&self) -> Result<Vec<u8>, FrameError> {
        let body = postcard::to_stdvec(self)?;
        if body.len() > Self::MAX_BODY_BYTES {
            return Err(FrameError::TooLong);
        }
        let mut frame = (body.len() as u32).to_be_bytes().to_vec();
        if Self::IS_HASHED {
            frame.extend(Sha256::digest(&body));
        }
        frame.extend(body);
        Ok(frame)
    }

    /// Decodes the first message of `input`. Returns `None` if more bytes are needed.
    ///
    /// # Errors
    /// If the frame is invalid. The start of the next frame is unknown then.
    fn decode(input: &[u8]) -> Result<Option<Decoded<Self>>, FrameError> {
        let header_length = if Self::IS_HASHED {
            LENGTH_BYTES + HASH_BYTES
        } else {
            LENGTH_BYTES
        };
        let header = input.get(..header_length);
        let Some((length, hash)) = header.and_then(|h| h.split_first_chunk::<LENGTH_BYTES>()) else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if length > Self::MAX_BODY_BYTES {
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

/// Why sending a message failed.
#[derive(Debug, Error)]
pub enum SendError {
    /// The message can't be encoded.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// More descriptors than may be attached to one message.
    #[error("a message has more than {MAX_DESCRIPTORS} descriptors")]
    TooManyDescriptors,
    /// Writing to the socket failed. Part of the frame may have been sent.
    #[error("cannot write the message to the socket: {0}")]
    Io(#[from] io::Error),
}

/// Sends a message and blocks until all of it is in the socket's buffer. The descriptors are sent with its
/// first byte.
///
/// # Errors
/// If the peer has closed the socket, the socket's write timeout elapsed, or the message can't be encoded.
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

/// Writes as many bytes as the socket accepts in one call, and returns their number.
fn send_part(socket: &UnixStream, bytes: &[u8], descriptors: &[BorrowedFd]) -> Result<usize, SendError> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    if !descriptors.is_empty() && !ancillary.push(SendAncillaryMessage::ScmRights(descriptors)) {
        return Err(SendError::TooManyDescriptors);
    }
    // With NOSIGNAL a closed peer causes EPIPE instead of SIGPIPE.
    let sent = sendmsg(
        socket,
        &[IoSlice::new(bytes)],
        &mut ancillary,
        SendFlags::NOSIGNAL,
    );
    Ok(sent.map_err(io::Error::from)?)
}

/// Result of [`FrameReader::read`].
#[derive(Debug)]
pub enum Received<T = HandoverMessage> {
    /// A message and the descriptors attached to it.
    Message(T, Vec<OwnedFd>),
    /// An invalid frame. Nothing after it can be decoded.
    Invalid(FrameError),
    /// The peer closed the socket, or reading it failed or timed out.
    Closed,
}

/// Reads one message after another from a socket.
pub struct FrameReader<T = HandoverMessage> {
    socket: UnixStream,
    input: Vec<u8>,
    /// Bytes of `input` that were decoded. They are removed only before the next read from the socket.
    consumed: usize,
    /// Received descriptors of messages that were not decoded yet.
    descriptors: VecDeque<OwnedFd>,
    message_type: PhantomData<T>,
}

impl<T: Framed> FrameReader<T> {
    /// Takes over the receiving side of a socket.
    pub fn new(socket: UnixStream) -> FrameReader<T> {
        FrameReader {
            socket,
            input: Vec::new(),
            consumed: 0,
            descriptors: VecDeque::new(),
            message_type: PhantomData,
        }
    }

    /// Blocks until the next message. It gets the oldest received descriptors, because the kernel may deliver
    /// the end of one message together with the descriptors of the next.
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

    /// Blocks until bytes and descriptors arrive, and returns the number of bytes; 0 at the end of the
    /// stream.
    fn receive(&mut self) -> Result<usize, Errno> {
        let mut chunk = [0; READ_CHUNK_BYTES];
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

/// Microseconds by the host's monotonic clock, which is the same in both processes.
pub fn monotonic_micros() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1000
}
