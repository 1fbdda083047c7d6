//! Every decision of the routing service: which statements are admitted, which member executes them, what is
//! retried, which members are health-checked, and when the endpoint list is polled.
//!
//! A host owns one [`RoutingPolicy`] per driver, calls one method per input and carries out the returned
//! [`Actions`]. After each input the `RULES` run in order, from the first one again, until none applies.

mod admission;
mod endpoint_list;
mod evidence;
mod health_check;
mod replica_selection;
mod retry;

pub use crate::driver::RoutingPolicy;
use crate::interface::*;
use crate::state::InFlightExecution;
use crate::time::{TimeSpan, Timestamp};
pub(crate) use endpoint_list::PollFailures;
pub(crate) use evidence::StatusSource;
pub use retry::definitely_not_executed;

/// A wake-up later than this shows that the driver itself was stalled.
const STALL: TimeSpan = TimeSpan::millis(50);
/// Completed executions a member, within the overload window, below which a driver can't tell concurrency
/// limits and admits a share of statements instead.
const FEW_SAMPLES: usize = 5;

/// A condition with its effect; returns whether it applied.
type Rule = fn(&mut RoutingPolicy) -> bool;

const RULES: [Rule; 8] = [
    RoutingPolicy::answer_at_deadline,
    RoutingPolicy::give_up_worthless,
    RoutingPolicy::requeue_due,
    RoutingPolicy::leave_silent_zone,
    RoutingPolicy::schedule_member_check,
    RoutingPolicy::check_member,
    RoutingPolicy::place_waiting,
    RoutingPolicy::poll_when_due,
];

impl RoutingPolicy {
    /// A client has sent a statement.
    pub fn on_statement(&mut self, now: Timestamp, statement: &Statement) -> Actions {
        self.set_now(now);
        let state = self.accept(statement);
        self.statements.insert(statement.id, state);
        if self.may_execute(statement.id) {
            self.enqueue(statement.id);
        } else {
            self.finish(statement.id);
        }
        self.run_rules()
    }

    /// The client no longer waits for a statement: nothing of it is sent any more, and it gets no answer.
    pub fn on_statement_withdrawn(&mut self, now: Timestamp, statement: u32) -> Actions {
        self.set_now(now);
        self.cancel_executions(statement);
        self.forget(statement);
        self.run_rules()
    }

    /// Clients have left, or closed their side: nothing more is sent of their statements, and who may still read has a final
    /// answer. All that left together are known before anything is decided: what one of them frees must not go to another.
    pub fn on_client_disconnects(&mut self, now: Timestamp, departures: &[ClientDisconnect]) -> Actions {
        self.set_now(now);
        for departure in departures {
            if departure.awaits_answer {
                self.finish(departure.statement);
            } else {
                self.cancel_executions(departure.statement);
                self.forget(departure.statement);
            }
        }
        self.run_rules()
    }

    /// The process shuts down: every statement, now or later, has its final answer at this time at the latest.
    pub fn on_shutdown(&mut self, now: Timestamp, last_answer_at: Timestamp) -> Actions {
        self.set_now(now);
        self.last_answer_at = Some(last_answer_at);
        let open: Vec<u32> = self.statements.keys().copied().collect();
        for id in open {
            self.limit_answer_deadline(id);
        }
        self.run_rules()
    }

    /// An execution has ended.
    pub fn on_execution_ended(&mut self, now: Timestamp, end: &ExecutionEnd) -> Actions {
        self.set_now(now);
        if let Some(execution) = self.in_flight.remove(end.statement, end.attempt) {
            if !execution.abandoned {
                self.learn_from_execution(&execution, end);
            }
            self.learn_status(execution.member, end.status, self.status_source(&execution, end));
            self.learn_commit(&execution, end);
            if end.is_answered {
                self.forget(end.statement);
            }
            self.on_attempt_failed(end, &execution);
        }
        self.run_rules()
    }

    /// A deduplicated write may answer with the commit of an earlier execution, so its position is no stamp of this one.
    fn status_source(&self, execution: &InFlightExecution, end: &ExecutionEnd) -> StatusSource {
        let workload = &self.settings.workloads[execution.workload];
        let is_stamped =
            workload.freshness != Freshness::Write || workload.retry_safety != RetrySafety::Deduplicated;
        StatusSource::Member {
            latency: end.latency,
            stamped_after: is_stamped.then_some(execution.dispatched_at),
        }
    }

    /// Time has passed; call it at the latest at [`Actions::wake_up_at`].
    pub fn advance_to(&mut self, now: Timestamp) -> Actions {
        self.set_now(now);
        self.run_rules()
    }

    /// Whether this driver has too few samples of its members to know their concurrency limits.
    pub fn has_few_samples(&self) -> bool {
        self.throughput.len() < FEW_SAMPLES * self.members.len()
    }

    /// Sets the clock. While this driver was stalled itself no member left anything unanswered, and latencies
    /// that end then say little.
    pub(crate) fn set_now(&mut self, now: Timestamp) {
        if now - self.planned_wake_up.unwrap_or(now) > STALL {
            for member in self.members.all_mut() {
                member.oldest_unanswered = now;
            }
            self.stalled_at = now;
        }
        self.now = now;
    }

    pub(crate) fn run_rules(&mut self) -> Actions {
        while RULES.iter().any(|rule| rule(self)) {}
        let timers = [
            self.statement_timers.next_at(),
            self.member_timers.next_at(),
            self.poll_at,
        ];
        self.planned_wake_up = timers.into_iter().flatten().min();
        self.actions.wake_up_at = self.planned_wake_up;
        std::mem::take(&mut self.actions)
    }
}
