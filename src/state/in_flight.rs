//! Executions in flight.

use super::StatementState;
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// An attempt of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ExecutionId {
    /// Id of the statement.
    pub(crate) statement: u32,
    /// Number of the attempt, counted from zero.
    pub(crate) attempt: u8,
}

/// An execution between its dispatch and its end.
pub(crate) struct InFlightExecution {
    /// Index of the member in the member table.
    pub(crate) member_index: usize,
    /// Index of the workload.
    pub(crate) workload: usize,
    /// Session of the statement; needed when the answer arrives after the statement was removed.
    pub(crate) session: u64,
    /// Time at which it was dispatched.
    pub(crate) dispatched_at: Timestamp,
    /// Its cancellation was requested.
    pub(crate) is_cancelled: bool,
    /// A connection is established for it, since none was idle.
    pub(crate) new_connection: bool,
    /// It stayed unanswered although a health check proved the member alive, and no longer counts against the
    /// member's concurrency limit.
    pub(crate) abandoned: bool,
    /// Its connection is being established; nothing was sent yet.
    pub(crate) is_connecting: bool,
}

impl InFlightExecution {
    /// An execution of `statement` at the member with this index, dispatched at `now`.
    pub(crate) fn new(
        member_index: usize,
        statement: &StatementState,
        now: Timestamp,
        new_connection: bool,
    ) -> InFlightExecution {
        InFlightExecution {
            member_index,
            workload: statement.workload,
            session: statement.session,
            dispatched_at: now,
            is_cancelled: false,
            new_connection,
            abandoned: false,
            is_connecting: false,
        }
    }

    /// Abandons the execution if it was dispatched to this member earlier than `before`; returns whether it
    /// was not abandoned already.
    fn abandon(&mut self, member_index: usize, before: Timestamp) -> bool {
        let is_new = self.member_index == member_index && self.dispatched_at < before && !self.abandoned;
        self.abandoned |= is_new;
        is_new
    }
}

/// All executions in flight, ordered by id.
#[derive(Default)]
pub(crate) struct InFlightTable(BTreeMap<ExecutionId, InFlightExecution>);

impl InFlightTable {
    pub(crate) fn insert(&mut self, id: ExecutionId, execution: InFlightExecution) {
        self.0.insert(id, execution);
    }

    pub(crate) fn remove(&mut self, statement: u32, attempt: u8) -> Option<InFlightExecution> {
        self.0.remove(&ExecutionId { statement, attempt })
    }

    pub(crate) fn get(&self, statement: u32, attempt: u8) -> Option<&InFlightExecution> {
        self.0.get(&ExecutionId { statement, attempt })
    }

    pub(crate) fn get_mut(&mut self, statement: u32, attempt: u8) -> Option<&mut InFlightExecution> {
        self.0.get_mut(&ExecutionId { statement, attempt })
    }

    /// The first execution by id for which `selects` is true.
    pub(crate) fn find(
        &self,
        selects: impl Fn(ExecutionId, &InFlightExecution) -> bool,
    ) -> Option<(ExecutionId, &InFlightExecution)> {
        let mut executions = self.0.iter().map(|(id, execution)| (*id, execution));
        executions.find(|(id, execution)| selects(*id, execution))
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &InFlightExecution> {
        self.0.values()
    }

    /// All attempts of a statement.
    pub(crate) fn of_statement(&self, statement: u32) -> impl Iterator<Item = &InFlightExecution> {
        let attempts = self.0.range(Self::attempts_of(statement));
        attempts.map(|(_, execution)| execution)
    }

    /// Cancels the executions for which `selects` is true; returns the ids of those not cancelled before.
    pub(crate) fn cancel(&mut self, selects: impl Fn(&InFlightExecution) -> bool) -> Vec<ExecutionId> {
        let selected = self.0.iter_mut().filter(|(_, execution)| selects(execution));
        selected.filter_map(Self::cancel_one).collect()
    }

    /// Like [`InFlightTable::cancel`], limited to the attempts of one statement.
    pub(crate) fn cancel_statement(
        &mut self,
        statement: u32,
        selects: impl Fn(&InFlightExecution) -> bool,
    ) -> Vec<ExecutionId> {
        let attempts = self.0.range_mut(Self::attempts_of(statement));
        let selected = attempts.filter(|(_, execution)| selects(execution));
        selected.filter_map(Self::cancel_one).collect()
    }

    /// Abandons the executions dispatched to this member earlier than `before`; returns how many were not
    /// abandoned already.
    pub(crate) fn abandon(&mut self, member_index: usize, before: Timestamp) -> usize {
        let executions = self.0.values_mut();
        executions
            .map(|e| usize::from(e.abandon(member_index, before)))
            .sum()
    }

    fn attempts_of(statement: u32) -> std::ops::RangeInclusive<ExecutionId> {
        let id = |attempt| ExecutionId { statement, attempt };
        id(0)..=id(u8::MAX)
    }

    fn cancel_one((id, execution): (&ExecutionId, &mut InFlightExecution)) -> Option<ExecutionId> {
        let is_new = !std::mem::replace(&mut execution.is_cancelled, true);
        is_new.then_some(*id)
    }
}
