//! The memory that a connection holds.

use super::{Connection, UNRESERVED_BYTES};
use crate::transport::buffer;
use crate::transport::connection::ConnectionHandler;
use crate::transport::evictions::Wake;
use may::io::WaitIo;

/// Incomplete messages leave the budget's capacity divided by this to other uses, and so do answers that peers don't
/// read, so that clients that stop in the middle of either don't have all other statements rejected.
const STALLED_MESSAGE_DIVISOR: usize = 4;

impl<H: ConnectionHandler, M: From<H::Event> + Send + 'static> Connection<H, M> {
    /// Shrinks oversized buffers and reserves the memory that the connection holds; returns whether the budget
    /// suffices.
    pub(super) fn reserve_memory(&mut self) -> bool {
        for bytes in [&mut self.input, &mut self.out.bytes] {
            buffer::shrink(bytes, UNRESERVED_BYTES);
        }
        let buffered = self.input.capacity() + self.out.bytes.capacity();
        let buffered = (buffered + self.handler.held_bytes()).saturating_sub(UNRESERVED_BYTES);
        let has_written = std::mem::take(&mut self.has_written);
        if !self.out.bytes.is_empty() && self.handler.is_server() {
            // A partly written answer is cut off only where unread answers would take the memory of all others.
            let headroom = self.budget_headroom();
            let waker = self.io.waker();
            let wake = || -> Wake { Box::new(move || waker.wakeup()) };
            self.reservation
                .force_resize_evictable(buffered, headroom, has_written, wake);
            return true;
        }
        self.reservation.protect();
        // A connection is not closed while its peer waits for an answer; `wants_input` bounds the input read ahead
        // meanwhile.
        if self.out.bytes.is_empty() && self.handler.is_evictable() {
            let headroom = self.budget_headroom();
            return self.reservation.resize_with_headroom(buffered, headroom);
        }
        self.reservation.force_resize(buffered);
        true
    }

    /// Capacity of the budget that stalled messages leave to others.
    fn budget_headroom(&self) -> usize {
        self.reservation.budget_capacity() / STALLED_MESSAGE_DIVISOR
    }
}
