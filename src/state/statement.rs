//! State of an open statement.

use crate::time::{RemoteTimestamp, TimeSpan, Timestamp};

/// Priority of a waiting statement in its group's queues; the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePriority {
    /// Expected work per unit of value.
    pub(crate) cost: u64,
    /// Time at which the statement was accepted.
    pub(crate) accepted_at: Timestamp,
    /// Id of the statement.
    pub(crate) statement: u32,
}

/// The first attempt of a statement that may have been executed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IndeterminateAttempt {
    /// Time at which it was dispatched.
    pub(crate) dispatched_at: Timestamp,
    /// Index of the member that received it.
    pub(crate) member_index: usize,
}

/// A statement from its acceptance to its final answer.
#[derive(Default)]
pub(crate) struct StatementState {
    /// Index of its workload.
    pub(crate) workload: usize,
    /// Index of its group.
    pub(crate) group: usize,
    /// Key of its session; zero if it has none.
    pub(crate) session: u64,
    /// Log position that a session read must see.
    pub(crate) required_position: RemoteTimestamp,
    /// Expected execution time, where clients state it.
    pub(crate) expected_work: Option<TimeSpan>,
    /// Value of its answer.
    pub(crate) importance: f64,
    /// Minimum admission share of a member that takes it, from 0 to 1; drawn at random once.
    pub(crate) admission_threshold: f64,
    /// Time at which it was accepted.
    pub(crate) accepted_at: Timestamp,
    /// Time at which its SLO time ends.
    pub(crate) slo_deadline: Timestamp,
    /// Time by which it must have its final answer.
    pub(crate) answer_deadline: Timestamp,
    /// Time from which on it may no longer be dispatched.
    pub(crate) dispatch_deadline: Timestamp,
    /// Time from which on it no longer waits if it was never dispatched.
    pub(crate) unsent_deadline: Timestamp,
    /// Time of its entry in the timer queue.
    pub(crate) next_check_at: Timestamp,
    /// Executions so far.
    pub(crate) attempts: usize,
    /// The first attempt that may have been executed.
    pub(crate) indeterminate: Option<IndeterminateAttempt>,
    /// Indices of members that failed it and are not tried again.
    pub(crate) excluded_members: Vec<usize>,
    /// Time before which it is not dispatched.
    pub(crate) backoff_until: Timestamp,
    /// Its priority in the group's queue, while it waits.
    pub(crate) queue_priority: Option<QueuePriority>,
}

impl StatementState {
    /// Indices of members that it refers to and that must not be reused meanwhile.
    pub(crate) fn referenced_members(&self) -> impl Iterator<Item = usize> + '_ {
        let indeterminate = self.indeterminate.map(|attempt| attempt.member_index);
        self.excluded_members.iter().copied().chain(indeterminate)
    }
}
