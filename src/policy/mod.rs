//! Routing decisions: which statements are admitted, which member executes them, what is retried, which
//! members are health-checked, and when the endpoint list is polled.
//!
//! A host owns one [`RoutingPolicy`] per driver, calls one method per input and carries out the returned
//! [`Actions`]. After each input the first applicable rule of `RULES` runs, repeatedly, until none applies.

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

/// Delay of a wake-up from which on the driver itself counts as stalled.
const STALL_THRESHOLD: TimeSpan = TimeSpan::millis(50);
/// Completed executions per member within the overload window below which a driver cannot estimate
/// concurrency limits and admits a share of statements instead.
const MIN_SAMPLES_PER_MEMBER: usize = 5;

/// Takes one action if its condition holds; returns whether it did.
type Rule = fn(&mut RoutingPolicy) -> bool;

const RULES: [Rule; 8] = [
    RoutingPolicy::answer_at_deadline,
    RoutingPolicy::give_up_worthless,
    RoutingPolicy::requeue_due,
    RoutingPolicy::leave_unresponsive_zone,
    RoutingPolicy::schedule_member_check,
    RoutingPolicy::check_member,
    RoutingPolicy::dispatch_waiting,
    RoutingPolicy::poll_when_due,
];

impl RoutingPolicy {
    /// Handles a statement from a client.
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

    /// Handles a statement that its client has withdrawn: it is neither sent nor answered any more.
    pub fn on_statement_withdrawn(&mut self, now: Timestamp, statement: u32) -> Actions {
        self.set_now(now);
        self.cancel_executions(statement);
        self.remove_statement(statement);
        self.run_rules()
    }

    /// Handles clients that have disconnected. Their statements are not sent any more; a client that may
    /// still read gets a final answer. Disconnects that happen together must be reported in one call, so that
    /// capacity freed by one statement is not given to another that is about to be dropped.
    pub fn on_client_disconnects(&mut self, now: Timestamp, disconnects: &[ClientDisconnect]) -> Actions {
        self.set_now(now);
        for disconnect in disconnects {
            if disconnect.awaits_answer {
                self.finish(disconnect.statement);
            } else {
                self.cancel_executions(disconnect.statement);
                self.remove_statement(disconnect.statement);
            }
        }
        self.run_rules()
    }

    /// Limits the time in which these statements may be sent to a member, because it is no longer known whether
    /// their client is still connected. Statements that wait until then are answered.
    pub fn limit_dispatch(&mut self, now: Timestamp, statements: &[u32], until: Timestamp) -> Actions {
        self.set_now(now);
        for id in statements {
            self.limit_dispatch_deadline(*id, until);
        }
        self.run_rules()
    }

    /// Starts the shutdown: every open or new statement gets its final answer by `last_answer_at`.
    pub fn on_shutdown(&mut self, now: Timestamp, last_answer_at: Timestamp) -> Actions {
        self.set_now(now);
        self.last_answer_at = Some(last_answer_at);
        let open: Vec<u32> = self.statements.keys().copied().collect();
        for id in open {
            self.limit_answer_deadline(id);
        }
        self.run_rules()
    }

    /// Handles the end of an execution.
    pub fn on_execution_ended(&mut self, now: Timestamp, end: &ExecutionEnd) -> Actions {
        self.set_now(now);
        if let Some(execution) = self.in_flight.remove(end.statement, end.attempt) {
            if !execution.abandoned {
                self.learn_from_execution(&execution, end);
            }
            self.learn_status(
                execution.member_index,
                end.status,
                self.status_source(&execution, end),
            );
            self.learn_commit(&execution, end);
            if end.is_answered {
                self.remove_statement(end.statement);
            }
            self.on_attempt_failed(end, &execution);
        }
        self.run_rules()
    }

    /// The source of a status that came with an answer. A deduplicated write may report the commit of an
    /// earlier execution, so its position does not bound the time of this one.
    fn status_source(&self, execution: &InFlightExecution, end: &ExecutionEnd) -> StatusSource {
        let workload = &self.settings.workloads[execution.workload];
        let is_stamped =
            workload.freshness != Freshness::Write || workload.retry_safety != RetrySafety::Deduplicated;
        StatusSource::Member {
            latency: end.latency,
            stamped_after: is_stamped.then_some(execution.dispatched_at),
        }
    }

    /// Applies what is due by `now`; to be called by [`Actions::wake_up_at`] at the latest.
    pub fn advance_to(&mut self, now: Timestamp) -> Actions {
        self.set_now(now);
        self.run_rules()
    }

    /// Whether this driver has too few samples of its members to estimate their concurrency limits.
    pub fn has_few_samples(&self) -> bool {
        self.throughput.len() < MIN_SAMPLES_PER_MEMBER * self.members.len()
    }

    /// Sets the clock. After a stall of this driver itself, response timeouts start anew and the latencies
    /// that end now are not used: answers may have waited to be read.
    pub(crate) fn set_now(&mut self, now: Timestamp) {
        if now - self.planned_wake_up.unwrap_or(now) > STALL_THRESHOLD {
            for member in self.members.all_mut() {
                member.unanswered_since = now;
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
