//! Detects clients that have sent so much ahead that their close could go unnoticed.
//!
//! The kernel reports a close only behind all input, and a full receive buffer keeps part of the input at the
//! client.

use asterlatch::time::{TimeSpan, Timestamp};

/// Time without input after which no more input is on its way from a client that had sent too much ahead.
const QUIET_TIME: TimeSpan = TimeSpan::millis(50);

/// Whether a client's close could go unnoticed.
#[derive(Default)]
pub(super) struct Backlog {
    is_active: bool,
    last_input_at: Timestamp,
    /// When all input of the socket was read; `None` if more has arrived since.
    quiet_since: Option<Timestamp>,
}

impl Backlog {
    pub(super) fn is_active(&self) -> bool {
        self.is_active
    }

    /// The socket holds input that is not read now. Returns whether the backlog begins with it.
    pub(super) fn begin(&mut self) -> bool {
        !std::mem::replace(&mut self.is_active, true)
    }

    /// All input that the socket held was read.
    pub(super) fn on_all_read(&mut self, at: Timestamp) {
        self.quiet_since.get_or_insert(at);
    }

    /// Handles input whose last bytes were read at `input_at`. It ends a backlog if the client was quiet before:
    /// nothing else was on its way then, and its close would have been noticed.
    pub(super) fn on_input(&mut self, input_at: Timestamp) {
        if input_at <= self.last_input_at {
            return;
        }
        self.last_input_at = input_at;
        let quiet_since = self.quiet_since.take();
        if quiet_since.is_some_and(|since| input_at - since > QUIET_TIME) {
            self.is_active = false;
        }
    }
}
