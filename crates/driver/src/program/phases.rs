//! The phases of the process, from start to exit.

use asterlatch::time::{TimeSpan, Timestamp, MAX_WRITE_DELAY};

/// A phase of the process; each follows the one before.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Phase {
    /// The listener is not open yet.
    #[default]
    Starting,
    /// Clients are accepted and served.
    Serving,
    /// Shutdown was requested: clients that still arrive for a while are served.
    Leaving {
        /// When it was requested.
        since: Timestamp,
    },
    /// No client is accepted any more; each is closed after the answer that it waits for.
    Draining {
        /// When the drain began.
        since: Timestamp,
    },
    /// The process exits.
    Stopped,
}

impl Phase {
    /// The phase as the log names it.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Starting => "starting",
            Phase::Serving => "serving",
            Phase::Leaving { .. } => "leaving",
            Phase::Draining { .. } => "draining",
            Phase::Stopped => "stopped",
        }
    }
}

/// Time from SIGTERM to SIGKILL on the platform, beyond the longest time that clients wait.
const KILL_GRACE: TimeSpan = TimeSpan::millis(700);
/// Longest client wait that the platform grants a shutdown.
const MAX_COUNTED_WAIT: TimeSpan = TimeSpan::millis(3000);
/// Time before SIGKILL by which the process exits: its signal may be handled 50 ms late, a write may be held up
/// ([`MAX_WRITE_DELAY`]), and the exit itself takes time.
const EXIT_RESERVE: TimeSpan = TimeSpan::millis(250);
/// Time between the last final answer and the exit, in which clients are written to and closed.
const CLOSE_TIME: TimeSpan = TimeSpan::millis(150);
const _: () = assert!(EXIT_RESERVE.0 >= MAX_WRITE_DELAY.0);

/// What a shutdown has to keep to, whatever members and clients do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownSchedule {
    /// Every statement has its final answer by then.
    pub last_answer_at: Timestamp,
    /// The process exits at this time at the latest.
    pub exit_at: Timestamp,
}

impl ShutdownSchedule {
    /// The schedule of a shutdown that was requested then, where clients wait for so long at most.
    pub fn new(requested_at: Timestamp, max_client_wait: TimeSpan) -> ShutdownSchedule {
        let kill_at = requested_at + max_client_wait.min(MAX_COUNTED_WAIT) + KILL_GRACE;
        let exit_at = kill_at - EXIT_RESERVE;
        ShutdownSchedule {
            last_answer_at: exit_at - CLOSE_TIME,
            exit_at,
        }
    }
}

/// Durations of the phases, which operators may set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PhaseDurations {
    /// How long clients are still accepted after shutdown was requested.
    pub arrivals: TimeSpan,
    /// How long a drain waits for a client that doesn't read its answer. It counts from the last open statement, since
    /// the next statement of a client may be on its way to the event loop.
    pub linger: TimeSpan,
    /// Longest drain.
    pub max_drain: TimeSpan,
}

impl Default for PhaseDurations {
    fn default() -> PhaseDurations {
        PhaseDurations {
            arrivals: TimeSpan::millis(450),
            linger: TimeSpan::millis(1000),
            max_drain: TimeSpan::millis(25 * 3_600_000),
        }
    }
}

/// State machine of the phases.
#[derive(Default)]
pub struct Phases {
    phase: Phase,
    /// Durations in force; they may change at any time.
    pub durations: PhaseDurations,
    /// End of a requested shutdown, where the deployment states how long clients wait.
    exit_at: Option<Timestamp>,
    /// When a statement was last seen open.
    last_busy_at: Timestamp,
}

/// What the phases depend on.
pub struct ProcessState {
    /// The process is asked to shut down, or a successor has taken over.
    pub is_shutting_down: bool,
    /// The listener was opened.
    pub is_listening: bool,
    /// The listener is closed again.
    pub is_listener_closed: bool,
    /// Clients of this process, those included that are being sent to a successor.
    pub open_clients: usize,
    /// Statements without a final answer.
    pub open_statements: usize,
}

impl Phases {
    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The process exits at this time at the latest.
    pub fn limit_shutdown(&mut self, exit_at: Timestamp) {
        self.exit_at = Some(exit_at);
    }

    /// Enters the next phase if that is due, and returns it.
    pub fn advance(&mut self, now: Timestamp, state: &ProcessState) -> Option<Phase> {
        if state.open_statements > 0 {
            self.last_busy_at = now;
        }
        let next = match self.phase {
            Phase::Starting if state.is_listening => Phase::Serving,
            Phase::Serving if state.is_shutting_down => Phase::Leaving { since: now },
            Phase::Leaving { since } if now - since >= self.durations.arrivals => {
                Phase::Draining { since: now }
            }
            Phase::Draining { .. } if state.is_listener_closed && state.open_clients == 0 => Phase::Stopped,
            Phase::Draining { since } if now >= self.linger_deadline(since) => Phase::Stopped,
            _ => return None,
        };
        self.phase = next;
        Some(next)
    }

    fn linger_deadline(&self, draining_since: Timestamp) -> Timestamp {
        let deadline = draining_since.max(self.last_busy_at) + self.durations.linger;
        let deadline = deadline.min(draining_since + self.durations.max_drain);
        self.exit_at.map_or(deadline, |exit_at| deadline.min(exit_at))
    }

    /// When the next phase is due by time alone.
    pub fn next_at(&self, now: Timestamp) -> Timestamp {
        match self.phase {
            Phase::Leaving { since } => since + self.durations.arrivals,
            Phase::Draining { since } if now < self.linger_deadline(since) => self.linger_deadline(since),
            _ => Timestamp(u64::MAX),
        }
    }
}
