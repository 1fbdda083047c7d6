//! Recognizes what may be a second copy of a member's answer, which would be taken for the answer to the next query.

use asterlatch::time::{TimeSpan, Timestamp};
use std::hash::{DefaultHasher, Hasher};

/// Bytes of each message that are compared. Copies of longer messages are told apart by their length as well.
const MAX_COMPARED_BYTES: usize = 4096;
/// A copy is read sooner behind its answer than the fastest response to a query divided by this.
const FASTEST_RESPONSE_DIVISOR: u64 = 2;

/// The last answer of a connection.
#[derive(Clone, Copy)]
struct LastAnswer {
    fingerprint: u64,
    at: Timestamp,
}

/// Compares the answers on one connection.
#[derive(Default)]
pub(super) struct AnswerCopies {
    /// Messages of the current answer.
    messages: DefaultHasher,
    last: Option<LastAnswer>,
    query_sent_at: Timestamp,
    fastest_response: Option<TimeSpan>,
}

impl AnswerCopies {
    /// A query was sent at `at`.
    pub(super) fn on_query(&mut self, at: Timestamp) {
        self.query_sent_at = at;
        self.messages = DefaultHasher::new();
    }

    /// Adds a message, with its header, to the current answer.
    pub(super) fn on_message(&mut self, bytes: &[u8]) {
        self.messages.write_usize(bytes.len());
        self.messages.write(&bytes[..bytes.len().min(MAX_COMPARED_BYTES)]);
    }

    /// Ends the current answer, whose last bytes were read at `at`. Returns whether it may be a copy of the last one, with
    /// the answer to the query still to come: it equals the last one, and either was read sooner behind it than half of
    /// the fastest response on this connection or is followed by more input.
    pub(super) fn may_end_copy(&mut self, at: Timestamp, has_more_input: bool) -> bool {
        let fingerprint = std::mem::take(&mut self.messages).finish();
        let may_be_copy = self.last.is_some_and(|last| {
            last.fingerprint == fingerprint && (has_more_input || self.is_right_behind(last.at, at))
        });
        if !may_be_copy {
            let response = at - self.query_sent_at;
            let fastest = self.fastest_response.map_or(response, |f| f.min(response));
            self.fastest_response = Some(fastest);
            self.last = Some(LastAnswer { fingerprint, at });
        }
        may_be_copy
    }

    fn is_right_behind(&self, last_at: Timestamp, at: Timestamp) -> bool {
        let elapsed = at - last_at;
        self.fastest_response
            .is_some_and(|fastest| elapsed.0 * FASTEST_RESPONSE_DIVISOR < fastest.0)
    }
}
