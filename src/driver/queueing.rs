//! Queues and timers of open statements, and the start of executions.

use super::RoutingPolicy;
use crate::interface::*;
use crate::state::*;
use crate::time::Timestamp;

impl RoutingPolicy {
    /// Queues a waiting statement by its current priority; for one that is in flight only sets the timer.
    pub(crate) fn enqueue(&mut self, id: u32) {
        if self.in_flight.of_statement(id).next().is_some() {
            return self.schedule_statement(id);
        }
        let cost = self.queue_cost(&self.statements[&id]);
        let statement = self.statements.get_mut(&id).expect("enqueued statement is open");
        let group = &mut self.groups[statement.group];
        group.dequeue(statement.workload, statement.queue_priority.take());
        let priority = QueuePriority {
            cost,
            accepted_at: statement.accepted_at,
            statement: id,
        };
        group.enqueue(statement.workload, priority);
        statement.queue_priority = Some(priority);
        self.changed_groups.insert(statement.group);
        self.schedule_statement(id);
    }

    /// Sets the timer of a statement to its next deadline.
    pub(crate) fn schedule_statement(&mut self, id: u32) {
        let statement = &self.statements[&id];
        let times = [
            self.slo_cutoff(statement),
            statement.slo_deadline,
            statement.backoff_until,
            statement.dispatch_deadline,
            statement.unsent_deadline,
        ];
        let ahead = times.into_iter().filter(|at| *at > self.now);
        let next = ahead.fold(statement.answer_deadline, Timestamp::min);
        let statement = self.statements.get_mut(&id).expect("scheduled statement is open");
        let previous = std::mem::replace(&mut statement.next_check_at, next);
        self.statement_timers.reschedule(id, previous, Some(next));
    }

    /// Removes a statement; its executions stay in flight until they end.
    pub(crate) fn remove_statement(&mut self, id: u32) {
        let Some(statement) = self.statements.remove(&id) else {
            return;
        };
        self.statement_timers
            .reschedule(id, statement.next_check_at, None);
        self.groups[statement.group].dequeue(statement.workload, statement.queue_priority);
    }

    pub(crate) fn request_cancellations(&mut self, executions: Vec<ExecutionId>) {
        let cancellations = executions.into_iter().map(|id| Cancellation {
            statement: id.statement,
            attempt: id.attempt,
        });
        self.actions.cancellations.extend(cancellations);
    }

    /// Starts an execution of a statement at a member.
    pub(crate) fn dispatch(&mut self, id: u32, member_index: usize) {
        let new_connection = !self.has_idle_connection(member_index);
        let work = self.warm_up_work(&self.statements[&id]);
        let statement = self
            .statements
            .get_mut(&id)
            .expect("dispatched statement is open");
        let priority = statement.queue_priority.take();
        self.groups[statement.group].dequeue(statement.workload, priority);
        let execution = InFlightExecution::new(member_index, statement, self.now, new_connection);
        let attempt = statement.attempts as u8;
        let execution_id = ExecutionId {
            statement: id,
            attempt,
        };
        self.in_flight.insert(execution_id, execution);
        statement.attempts += 1;
        let member = &mut self.members[member_index];
        member.record_dispatch(self.now, new_connection, work);
        self.unscheduled_members.push(member_index);
        self.actions.executions.push(Execution {
            statement: id,
            member: member.id,
            deadline: statement.answer_deadline,
        });
        self.schedule_statement(id);
    }

    /// Marks an execution whose connection is still to be established; it counts as unsent until
    /// `may_dispatch`.
    pub fn on_connecting(&mut self, statement: u32, attempt: u8) {
        if let Some(execution) = self.in_flight.get_mut(statement, attempt) {
            execution.is_connecting = true;
        }
    }
}
