//! Queues, timers and executions of open statements.

use super::RoutingPolicy;
use crate::interface::*;
use crate::state::*;
use crate::time::Timestamp;

impl RoutingPolicy {
    /// Gives a waiting statement its place in the queue; one that is in flight only gets its next timer.
    pub(crate) fn enqueue(&mut self, id: u32) {
        if self.in_flight.of_statement(id).next().is_some() {
            return self.schedule(id);
        }
        let cost = self.queue_cost(&self.statements[&id]);
        let statement = self.statements.get_mut(&id).expect("enqueued only while open");
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
        self.schedule(id);
    }

    /// Sets the statement's next timer.
    pub(crate) fn schedule(&mut self, id: u32) {
        let statement = &self.statements[&id];
        let times = [
            self.last_chance(statement),
            statement.slo_deadline,
            statement.backoff_until,
            statement.dispatch_deadline,
            statement.unsent_deadline,
        ];
        let ahead = times.into_iter().filter(|at| *at > self.now);
        let next = ahead.fold(statement.answer_deadline, Timestamp::min);
        let statement = self.statements.get_mut(&id).expect("read above");
        let former = std::mem::replace(&mut statement.next_check_at, next);
        self.statement_timers.reschedule(id, former, Some(next));
    }

    /// Forgets a statement; its executions stay in flight until they end.
    pub(crate) fn forget(&mut self, id: u32) {
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

    /// Starts an execution.
    pub(crate) fn dispatch(&mut self, id: u32, place: usize) {
        let new_connection = !self.has_idle_connection(place);
        let work = self.warm_up_work(&self.statements[&id]);
        let statement = self.statements.get_mut(&id).expect("placed only while open");
        let priority = statement.queue_priority.take();
        self.groups[statement.group].dequeue(statement.workload, priority);
        let execution = InFlightExecution::new(place, statement, self.now, new_connection);
        let attempt = statement.attempts as u8;
        let execution_id = ExecutionId {
            statement: id,
            attempt,
        };
        self.in_flight.insert(execution_id, execution);
        statement.attempts += 1;
        let member = &mut self.members[place];
        member.record_dispatch(self.now, new_connection, work);
        self.unscheduled_members.push(place);
        self.actions.executions.push(Execution {
            statement: id,
            member: member.id,
            deadline: statement.answer_deadline,
        });
        self.schedule(id);
    }

    /// A connection has to be established first: until `may_dispatch` nothing of this execution was sent.
    pub fn on_connecting(&mut self, statement: u32, attempt: u8) {
        if let Some(execution) = self.in_flight.get_mut(statement, attempt) {
            execution.is_connecting = true;
        }
    }
}
