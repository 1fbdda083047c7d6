//! Statements that must not be executed twice and that this driver may have executed, by the ids that their
//! clients gave them. A client may leave while its statement is with a member, and send the same id again.

use super::member_requests::AttemptId;
use asterlatch::interface::ExecutionOutcome;
use asterlatch::policy::definitely_not_executed;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::in_doubt::{DispatchLog, DispatchStatus};
use asterlatch_handover::learned_fact::LearnedFact;
use std::collections::BTreeMap;

/// Time for which a statement is remembered.
const RETENTION: TimeSpan = TimeSpan::millis(600_000);
/// Maximum number of remembered statements; the oldest are forgotten first.
const MAX_STATEMENTS: usize = 8192;

/// An earlier dispatch of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PriorDispatch {
    /// Time since the first attempt.
    pub age: TimeSpan,
    /// Name of the member that received it.
    pub member: String,
}

/// Recorded dispatches, owned by the event loop.
pub struct DispatchRecords {
    log: DispatchLog,
    /// Client ids of executions in flight.
    in_flight: BTreeMap<AttemptId, u64>,
}

impl DispatchRecords {
    /// Starts without records. An earlier process of this driver may have dispatched any statement before `now`.
    pub fn new(now: Timestamp) -> DispatchRecords {
        DispatchRecords {
            log: DispatchLog::new(now, RETENTION, MAX_STATEMENTS, true),
            in_flight: BTreeMap::new(),
        }
    }

    /// Changes for how long and how many statements are remembered, which operators set for fleets.
    pub fn set_bounds(&mut self, retention: TimeSpan, max_statements: usize) {
        self.log.set_bounds(retention, max_statements);
    }

    /// The log, for inquiries of other drivers.
    pub fn log_mut(&mut self) -> &mut DispatchLog {
        &mut self.log
    }

    /// Records an execution and returns what another process of this driver needs to know of it.
    pub fn on_dispatched(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        client_id: u64,
        member: &str,
    ) -> LearnedFact {
        self.in_flight.insert(attempt, client_id);
        self.log.on_dispatch(now, client_id, member);
        LearnedFact::Dispatched {
            client_id,
            member: member.to_owned(),
            at: now.0,
        }
    }

    /// Records the end of an execution. Returns a fact if it is known not to have happened.
    pub fn on_ended(&mut self, attempt: AttemptId, outcome: ExecutionOutcome) -> Option<LearnedFact> {
        let client_id = self.in_flight.remove(&attempt)?;
        if !definitely_not_executed(outcome) {
            return None;
        }
        self.log.on_not_executed(client_id);
        Some(LearnedFact::NotExecuted { client_id })
    }

    /// Whether an execution of a statement is in flight, for a client that has left.
    pub fn is_in_flight(&self, client_id: u64) -> bool {
        self.in_flight.values().any(|id| *id == client_id)
    }

    /// The earlier dispatch of a statement that may have been executed.
    pub fn prior_dispatch(&mut self, now: Timestamp, client_id: u64) -> Option<PriorDispatch> {
        match self.log.status(now, client_id) {
            DispatchStatus::Dispatched { age, member } => Some(PriorDispatch { age, member }),
            DispatchStatus::NotExecuted | DispatchStatus::Unknown => None,
        }
    }

    /// Records a dispatch by another process of this driver.
    pub fn on_dispatched_elsewhere(&mut self, now: Timestamp, client_id: u64, member: &str, at: Timestamp) {
        self.log.on_dispatch_elsewhere(now, client_id, member, at);
    }

    /// Records that an execution by another process of this driver has not happened.
    pub fn on_not_executed(&mut self, client_id: u64) {
        self.log.on_not_executed(client_id);
    }

    /// All records, for another process of this driver.
    pub fn to_facts(&self) -> Vec<LearnedFact> {
        let dispatches = self.log.dispatches();
        let facts = dispatches.map(|(client_id, member, at)| LearnedFact::Dispatched {
            client_id,
            member: member.to_owned(),
            at: at.0,
        });
        facts.collect()
    }
}
