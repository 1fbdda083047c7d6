//! The phases of the process, from start to exit.

use asterlatch::time::{TimeSpan, Timestamp, MAX_WRITE_DELAY};

/// A phase of the process, in the order in which they follow.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Phase {
    /// The listener is not open yet.
    #[default]
    Starting,
    /// Clients are accepted and served.
    Serving,
    /// Shutdown was requested; new clients are still accepted and served for a while.
    Leaving {
        /// When shutdown was requested.
        since: Timestamp,
    },
    /// No client is accepted any more, and each open one is closed after its pending answer.
    Draining {
        /// When the drain began.
        since: Timestamp,
    },
    /// The process exits.
    Stopped,
}

impl Phase {
    /// Name of the phase in the log.
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

/// Time from SIGTERM to SIGKILL on the platform, in addition to the longest client wait.
const KILL_GRACE: TimeSpan = TimeSpan::millis(700);
/// Longest client wait that the platform grants to a shutdown.
const MAX_GRANTED_WAIT: TimeSpan = TimeSpan::millis(3000);
/// How long before SIGKILL the process exits: SIGTERM may be handled 50 ms late, a write may be delayed
/// ([`MAX_WRITE_DELAY`]), and the exit itself takes time.
const EXIT_MARGIN: TimeSpan = TimeSpan::millis(250);
/// Time between the last final answer and the exit, to write to clients and close them.
const CLIENT_CLOSE_TIME: TimeSpan = TimeSpan::millis(150);
const _: () = assert!(EXIT_MARGIN.0 >= MAX_WRITE_DELAY.0);

/// Deadlines of a shutdown, whatever members and clients do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownSchedule {
    /// Every statement has its final answer by this time.
    pub last_answer_at: Timestamp,
    /// The process exits at this time at the latest.
    pub exit_at: Timestamp,
}

impl ShutdownSchedule {
    /// The schedule of a shutdown requested at `requested_at`, where no client waits longer than
    /// `max_client_wait`.
    pub fn new(requested_at: Timestamp, max_client_wait: TimeSpan) -> ShutdownSchedule {
        let kill_at = requested_at + max_client_wait.min(MAX_GRANTED_WAIT) + KILL_GRACE;
        let exit_at = kill_at - EXIT_MARGIN;
        ShutdownSchedule {
            last_answer_at: exit_at - CLIENT_CLOSE_TIME,
            exit_at,
        }
    }
}

/// Durations of the phases, which operators may set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PhaseDurations {
    /// How long clients are still accepted after shutdown was requested.
    pub arrivals: TimeSpan,
    /// How long a drain waits for a client that doesn't read its answer, counted from the last open
    /// statement: the next statement of a client may be on its way to the event loop.
    pub linger: TimeSpan,
    /// Longest duration of a drain.
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
    /// Current durations; they may change at any time.
    pub durations: PhaseDurations,
    /// Deadline of a requested shutdown, if the deployment states how long clients wait.
    exit_at: Option<Timestamp>,
    /// Last time at which a statement was open.
    last_busy_at: Timestamp,
}

/// Inputs of the phases.
pub struct ProcessState {
    /// Shutdown was requested, or a successor has taken over.
    pub is_shutting_down: bool,
    /// The listener has been opened.
    pub is_listening: bool,
    /// The listener is closed again.
    pub is_listener_closed: bool,
    /// Clients of this process, including those that are being sent to a successor.
    pub open_clients: usize,
    /// Statements without a final answer.
    pub open_statements: usize,
}

impl Phases {
    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Sets the latest time at which the process exits.
    pub fn limit_shutdown(&mut self, exit_at: Timestamp) {
        self.exit_at = Some(exit_at);
    }

    /// Enters the next phase if it is due, and returns it.
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

    /// When a phase change is next due by time alone; `Timestamp(u64::MAX)` if none is.
    pub fn next_at(&self, now: Timestamp) -> Timestamp {
        match self.phase {
            Phase::Leaving { since } => since + self.durations.arrivals,
            Phase::Draining { since } if now < self.linger_deadline(since) => self.linger_deadline(since),
            _ => Timestamp(u64::MAX),
        }
    }
}
