//! State that a driver keeps between inputs: records, queues, counters and estimators. Contains no decisions.

mod estimators;
mod group;
mod in_flight;
mod member_table;
mod seeded_rng;
mod session_positions;
mod sliding_window;
mod statement;
mod timer_queue;
mod token_bucket;

pub(crate) use estimators::{smooth, TypicalLatencies};
pub(crate) use group::{Group, GroupTable};
pub(crate) use in_flight::{ExecutionId, InFlightExecution, InFlightTable};
pub(crate) use member_table::{Member, MemberSlot, MemberTable, WarmUpBudget};
pub(crate) use seeded_rng::SeededRng;
pub(crate) use session_positions::SessionPositions;
pub(crate) use sliding_window::SlidingWindow;
pub(crate) use statement::{IndeterminateAttempt, QueuePriority, StatementState};
pub(crate) use timer_queue::TimerQueue;
pub(crate) use token_bucket::TenantQuotas;
