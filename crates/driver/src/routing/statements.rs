//! Open statements: accepted and without a final answer.

use crate::protocol::client_events::StatementText;
use crate::protocol::messages;
use crate::protocol::statement_comment::{self, StatementComment};
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::BTreeMap;
use std::ops::Range;

/// The client connection of a statement and its position there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatementOrigin {
    /// Id of the client's connection.
    pub client: u32,
    /// Number of the statement on that connection, to which its answer refers.
    pub number: u32,
    /// Offset of the statement's end in the input that this process has read from the client.
    pub end: u64,
}

/// A statement to insert.
pub struct NewStatement<'a> {
    /// Its origin.
    pub origin: StatementOrigin,
    /// The text as the client sent it.
    pub text: StatementText,
    /// Fields of its comment.
    pub fields: &'a StatementComment,
    /// When it was received.
    pub received_at: Timestamp,
    /// Upper bound of its timeout.
    pub max_timeout: TimeSpan,
    /// Index of its workload.
    pub workload: usize,
    /// Key of its session; zero if it has none.
    pub session: u64,
    /// The client may safely retry it even if it may have been executed.
    pub is_client_retry_safe: bool,
}

/// Id and deadline of an inserted statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenedStatement {
    /// Id, unique within this process.
    pub id: u32,
    /// End of the statement timeout.
    pub deadline: Timestamp,
}

/// Keys that identify a statement to other drivers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatementKeys {
    /// Hash of the id that its client gave it.
    pub client_id: u64,
    /// Index of its workload.
    pub workload: usize,
    /// Key of its session; zero if it has none.
    pub session: u64,
}

/// Number and deadline of a new attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextAttempt {
    /// Its number, counted from zero.
    pub number: u8,
    /// When the attempt times out.
    pub deadline: Timestamp,
}

struct OpenStatement {
    origin: StatementOrigin,
    client_id: u64,
    is_client_retry_safe: bool,
    text: StatementText,
    /// Range of the digits of the time left in the text.
    time_left_range: Range<usize>,
    deadline: Timestamp,
    attempts: u8,
    workload: usize,
    session: u64,
}

/// The table of open statements, owned by the event loop.
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

    /// The open statement with this client id. Members would take a second one for a retry of it.
    pub fn find(&self, client_id: u64) -> Option<u32> {
        self.by_client_id.get(&client_id).copied()
    }

    /// Adds a statement under a new id.
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

    /// Keys that identify the statement to other drivers.
    pub fn keys(&self, id: u32) -> Option<StatementKeys> {
        let statement = self.open.get(&id)?;
        Some(StatementKeys {
            client_id: statement.client_id,
            workload: statement.workload,
            session: statement.session,
        })
    }

    /// Removes a statement that has its final answer or whose client has disconnected.
    pub fn remove(&mut self, id: u32) -> Option<StatementOrigin> {
        let statement = self.open.remove(&id)?;
        self.by_client_id.remove(&statement.client_id);
        Some(statement.origin)
    }

    /// Counts a new attempt. It times out at `deadline` or at the statement's own deadline, whichever is
    /// earlier.
    pub fn begin_attempt(&mut self, id: u32, deadline: Timestamp) -> Option<NextAttempt> {
        let statement = self.open.get_mut(&id)?;
        // The policy numbers attempts the same way.
        let number = statement.attempts;
        statement.attempts = number.wrapping_add(1);
        Some(NextAttempt {
            number,
            deadline: deadline.min(statement.deadline),
        })
    }

    /// Origin of the statement.
    pub fn origin(&self, id: u32) -> Option<StatementOrigin> {
        self.open.get(&id).map(|statement| statement.origin)
    }

    /// Whether the client may safely retry the statement even if it may have been executed.
    pub fn is_client_retry_safe(&self, id: u32) -> bool {
        let statement = self.open.get(&id);
        statement.is_some_and(|statement| statement.is_client_retry_safe)
    }

    /// Encodes the query for a member with the time left until `deadline`, rounded down so that the member
    /// never works past it.
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
