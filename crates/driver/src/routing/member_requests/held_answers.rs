//! Answers that may be second copies of earlier ones. They are held until another answer follows on the connection or
//! a time has passed without one.

use crate::protocol::member_connection::MemberAnswer;
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::BTreeMap;

/// Maximum time for which an answer is held; an answer that is equal to the last one by chance is late by it.
const MAX_HOLD: TimeSpan = TimeSpan::millis(50);

struct HeldAnswer {
    until: Timestamp,
    answer: MemberAnswer,
}

/// Held answers by connection id.
#[derive(Default)]
pub(super) struct HeldAnswers(BTreeMap<u32, HeldAnswer>);

impl HeldAnswers {
    /// Holds an answer in place of one that is held already, until `latest` at most. Returns whether there was one.
    pub(super) fn hold(
        &mut self,
        connection: u32,
        answer: MemberAnswer,
        now: Timestamp,
        latest: Timestamp,
    ) -> bool {
        let until = latest.min(now + MAX_HOLD);
        self.0.insert(connection, HeldAnswer { until, answer }).is_some()
    }

    pub(super) fn take(&mut self, connection: u32) -> Option<MemberAnswer> {
        Some(self.0.remove(&connection)?.answer)
    }

    /// The connection whose answer is released first, and when.
    pub(super) fn next(&self) -> Option<(Timestamp, u32)> {
        self.0
            .iter()
            .map(|(connection, held)| (held.until, *connection))
            .min()
    }
}
