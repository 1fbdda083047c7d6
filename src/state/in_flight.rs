//! Executions that members have not answered yet.

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

/// An execution from its dispatch to its end.
pub(crate) struct InFlightExecution {
    /// Place of the member.
    pub(crate) member: usize,
    /// Index of the workload.
    pub(crate) workload: usize,
    /// Session of the statement, whose answer may come after the statement's end.
    pub(crate) session: u64,
    /// Time at which it was dispatched.
    pub(crate) dispatched_at: Timestamp,
    /// Its cancellation was requested.
    pub(crate) is_cancelled: bool,
    /// No connection was idle, so one is established for it.
    pub(crate) new_connection: bool,
    /// A health check proved the member alive while this stayed unanswered: it no longer counts against the member's
    /// concurrency limit.
    pub(crate) abandoned: bool,
    /// Its connection is being established, and nothing of it was sent.
    pub(crate) is_connecting: bool,
}

impl InFlightExecution {
    /// An execution of `statement` at `member`, dispatched now.
    pub(crate) fn new(
        member: usize,
        statement: &StatementState,
        now: Timestamp,
        new_connection: bool,
    ) -> InFlightExecution {
        InFlightExecution {
            member,
            workload: statement.workload,
            session: statement.session,
            dispatched_at: now,
            is_cancelled: false,
            new_connection,
            abandoned: false,
            is_connecting: false,
        }
    }

    /// Abandons it if it was dispatched to `member` before then; returns whether that is new.
    fn abandon(&mut self, member: usize, before: Timestamp) -> bool {
        let is_new = self.member == member && self.dispatched_at < before && !self.abandoned;
        self.abandoned |= is_new;
        is_new
    }
}

/// All executions in flight, in the order of their ids.
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

    /// The first execution, by id, that `selects`.
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

    /// Cancels those that `selects` and that aren't cancelled yet; returns their ids.
    pub(crate) fn cancel(&mut self, selects: impl Fn(&InFlightExecution) -> bool) -> Vec<ExecutionId> {
        let selected = self.0.iter_mut().filter(|(_, execution)| selects(execution));
        selected.filter_map(Self::cancel_one).collect()
    }

    /// The same over the attempts of one statement.
    pub(crate) fn cancel_statement(
        &mut self,
        statement: u32,
        selects: impl Fn(&InFlightExecution) -> bool,
    ) -> Vec<ExecutionId> {
        let attempts = self.0.range_mut(Self::attempts_of(statement));
        let selected = attempts.filter(|(_, execution)| selects(execution));
        selected.filter_map(Self::cancel_one).collect()
    }

    /// Abandons what was dispatched to `member` before then; returns how many executions that is.
    pub(crate) fn abandon(&mut self, member: usize, before: Timestamp) -> usize {
        let executions = self.0.values_mut();
        executions.map(|e| usize::from(e.abandon(member, before))).sum()
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
