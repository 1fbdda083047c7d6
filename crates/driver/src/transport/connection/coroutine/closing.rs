//! The end of a connection: the peer's close, this end's, and the handover to another process.

use super::{close_socket, Connection, Flow, MAX_READ_BYTES, READ_BUFFER};
use crate::transport::connection::ConnectionHandler;
use crate::transport::event_registration;
use crate::transport::socket_errors;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::Read;
use std::net::Shutdown;
use std::sync::mpsc::TryRecvError;

/// Maximum input that is discarded after the sending side was closed. Closing a socket with unread input
/// resets the connection, and the peer loses answers that it has not read yet.
const MAX_LINGERING_BYTES: usize = 256 * 1024;

impl<H: ConnectionHandler, M: From<H::Event> + Send + 'static> Connection<H, M> {
    /// Detects that a client closes its side while its input is not read.
    pub(super) fn detect_peer_close(&mut self) -> Flow {
        if !self.handler.is_server() {
            return Flow::Wait;
        }
        let Some(events) = self.poll_socket() else {
            // The kernel is out of memory.
            return Flow::Pause;
        };
        if events.intersects(PollFlags::HUP | PollFlags::ERR) {
            return Flow::Close;
        }
        let is_half_closed = events.contains(PollFlags::RDHUP) && !self.is_input_ended;
        if is_half_closed {
            if !self.handler.on_input_ended(false, &mut self.out) {
                return Flow::Close;
            }
            self.handle_input();
        }
        if events.contains(PollFlags::IN) && !self.handler.wants_input(self.input.len()) {
            self.handler.on_backlog(&mut self.out);
        }
        Flow::Wait
    }

    /// Polls for unread input and a closed or failed connection; `None` if polling fails.
    fn poll_socket(&self) -> Option<PollFlags> {
        let mut fds = [PollFd::new(self.io.inner(), PollFlags::IN | PollFlags::RDHUP)];
        let no_wait = Timespec::default();
        poll(&mut fds, Some(&no_wait)).ok()?;
        Some(fds[0].revents())
    }

    /// Closes the sending side. The peer can still read what was written before.
    pub(super) fn half_close(&mut self) -> Flow {
        if self.io.inner().shutdown(Shutdown::Write).is_err() {
            return Flow::Close;
        }
        self.discarded_bytes = Some(0);
        self.input = Vec::new();
        self.reservation.resize(0);
        self.handler.on_half_closed(&mut self.out);
        self.report_events();
        Flow::Continue
    }

    /// Discards input after the sending side was closed, until the peer closes the other side.
    pub(super) fn discard_lingering_input(&mut self, discarded: usize) -> Flow {
        let read = READ_BUFFER.with_borrow_mut(|buffer| self.io.inner().read(buffer));
        let is_handle_dropped = matches!(self.commands.try_recv(), Err(TryRecvError::Disconnected));
        match read {
            Ok(count) if count > 0 && discarded + count <= MAX_LINGERING_BYTES => {
                self.discarded_bytes = Some(discarded + count);
                Flow::Continue
            }
            Ok(_) => Flow::Close,
            Err(error) => match socket_errors::receive(&error).into() {
                Flow::Wait if is_handle_dropped => Flow::Close,
                flow => flow,
            },
        }
    }

    /// Passes a duplicate of the socket to the handler, and unregisters and closes the original.
    pub(super) fn hand_over(mut self) {
        match self.io.inner().try_clone() {
            Ok(stream) => {
                let input = std::mem::take(&mut self.input);
                event_registration::unregister(self.io.inner());
                close_socket(self.io);
                self.handler.on_handed_over(stream, input, &mut self.out);
                for event in self.out.events.drain(..) {
                    let _ = self.queue.send(event.into());
                }
            }
            Err(_) => self.close(),
        }
    }

    pub(super) fn close(self) {
        if self.is_open && self.discarded_bytes.is_none() {
            self.shut_down_write();
        }
        let Connection {
            io,
            mut handler,
            commands,
            queue,
            clock,
            mut out,
            ..
        } = self;
        if handler.is_shared() {
            event_registration::unregister(io.inner());
            // Fails if the peer has already disconnected, which is harmless.
            let _ = io.inner().shutdown(Shutdown::Both);
        }
        // Closed before the event is sent, so that the owner never counts fewer descriptors than are open.
        close_socket(io);
        handler.on_closed(clock.now(), &mut out);
        while let Ok(command) = commands.try_recv() {
            handler.on_command(command, clock.now(), &mut out);
        }
        for event in out.events.drain(..) {
            let _ = queue.send(event.into());
        }
    }

    /// Closes the sending side and discards pending input, so that the peer can still read what was written.
    fn shut_down_write(&self) {
        let _ = self.io.inner().shutdown(Shutdown::Write);
        let discard_chunk =
            |buffer: &mut Vec<u8>| matches!(self.io.inner().read(buffer), Ok(count) if count > 0);
        READ_BUFFER.with_borrow_mut(|buffer| {
            for _ in 0..MAX_LINGERING_BYTES / MAX_READ_BYTES {
                if !discard_chunk(buffer) {
                    break;
                }
            }
        });
    }
}
