//! Open statements: accepted, and without a final answer yet.

use crate::protocol::client_events::StatementText;
use crate::protocol::messages;
use crate::protocol::statement_comment::{self, StatementComment};
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::BTreeMap;
use std::ops::Range;

/// Where a statement comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatementOrigin {
    /// Number of the client's connection.
    pub client: u32,
    /// Number of the statement on that connection, by which it is answered.
    pub number: u32,
    /// Offset of its end in all bytes that this process has read from the client.
    pub end: u64,
}

/// A statement to be opened.
pub struct NewStatement<'a> {
    /// Where it comes from.
    pub origin: StatementOrigin,
    /// The statement as it was sent.
    pub text: StatementText,
    /// Fields of its comment.
    pub fields: &'a StatementComment,
    /// When it was received.
    pub received_at: Timestamp,
    /// Upper bound for its timeout.
    pub max_timeout: TimeSpan,
    /// Index of its workload.
    pub workload: usize,
    /// Key of its session; zero if it has none.
    pub session: u64,
    /// Its client may retry it though it may have been executed.
    pub is_client_retry_safe: bool,
}

/// Id and deadline of a statement that has been opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenedStatement {
    /// Id within this process.
    pub id: u32,
    /// End of its timeout.
    pub deadline: Timestamp,
}

/// What identifies a statement to other drivers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatementKeys {
    /// Hash of the id that its client gave it.
    pub client_id: u64,
    /// Index of its workload.
    pub workload: usize,
    /// Key of its session; zero if it has none.
    pub session: u64,
}

/// The next attempt of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextAttempt {
    /// Its number, counted from zero.
    pub number: u8,
    /// When its answer is no longer waited for.
    pub deadline: Timestamp,
}

struct OpenStatement {
    origin: StatementOrigin,
    client_id: u64,
    is_client_retry_safe: bool,
    text: StatementText,
    /// Where the digits of the time left stand in the text.
    time_left_range: Range<usize>,
    deadline: Timestamp,
    attempts: u8,
    workload: usize,
    session: u64,
}

/// The table of open statements. Only the event loop uses it.
#[derive(Default)]
pub struct Statements {
    open: BTreeMap<u32, OpenStatement>,
    by_client_id: BTreeMap<u64, u32>,
    last_id: u32,
}

impl Statements {
    /// Number of open statements.
    pub fn count(&self) -> usize {
        self.open.len()
    }

    /// Whether the statement is open.
    pub fn contains(&self, id: u32) -> bool {
        self.open.contains_key(&id)
    }

    /// The open statement with this id of its client. A second one would look like a retry of it to members.
    pub fn find(&self, client_id: u64) -> Option<u32> {
        self.by_client_id.get(&client_id).copied()
    }

    /// Opens a statement.
    pub fn insert(&mut self, new: NewStatement) -> OpenedStatement {
        self.last_id = self.last_id.wrapping_add(1);
        let id = self.last_id;
        let timeout = TimeSpan::millis(new.fields.time_left_ms).min(new.max_timeout);
        let deadline = new.received_at + timeout;
        let statement = OpenStatement {
            origin: new.origin,
            client_id: new.fields.id_hash,
            is_client_retry_safe: new.is_client_retry_safe,
            text: new.text,
            time_left_range: new.fields.time_left_range.clone(),
            deadline,
            attempts: 0,
            workload: new.workload,
            session: new.session,
        };
        self.by_client_id.insert(statement.client_id, id);
        self.open.insert(id, statement);
        OpenedStatement { id, deadline }
    }

    /// What identifies a statement to other drivers.
    pub fn keys(&self, id: u32) -> Option<StatementKeys> {
        let statement = self.open.get(&id)?;
        Some(StatementKeys {
            client_id: statement.client_id,
            workload: statement.workload,
            session: statement.session,
        })
    }

    /// Removes a statement that has its final answer, or whose client is gone.
    pub fn remove(&mut self, id: u32) -> Option<StatementOrigin> {
        let statement = self.open.remove(&id)?;
        self.by_client_id.remove(&statement.client_id);
        Some(statement.origin)
    }

    /// Counts an attempt that is waited for until then, or until the statement's own deadline.
    pub fn begin_attempt(&mut self, id: u32, deadline: Timestamp) -> Option<NextAttempt> {
        let statement = self.open.get_mut(&id)?;
        // As the policy numbers them.
        let number = statement.attempts;
        statement.attempts = number.wrapping_add(1);
        Some(NextAttempt {
            number,
            deadline: deadline.min(statement.deadline),
        })
    }

    /// Where a statement comes from.
    pub fn origin(&self, id: u32) -> Option<StatementOrigin> {
        self.open.get(&id).map(|statement| statement.origin)
    }

    /// Whether its client may retry a statement though it may have been executed.
    pub fn is_client_retry_safe(&self, id: u32) -> bool {
        let statement = self.open.get(&id);
        statement.is_some_and(|statement| statement.is_client_retry_safe)
    }

    /// The query for a member that is waited for until then. The time left is rounded down, so that no member works for
    /// longer than anybody waits.
    pub fn query(&self, id: u32, now: Timestamp, deadline: Timestamp) -> Option<Vec<u8>> {
        let statement = self.open.get(&id)?;
        let text = statement.text.text.as_bytes();
        let time_left_ms = (deadline - now).0 / 1000;
        let text = statement_comment::with_time_left(text, &statement.time_left_range, time_left_ms);
        let mut query = Vec::with_capacity(text.len() + 8);
        messages::put_query(&mut query, &text);
        Some(query)
    }
}
