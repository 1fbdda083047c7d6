//! The phases of the process, from start to exit.

use asterlatch::time::{TimeSpan, Timestamp};

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Phase {
    #[default]
    Starting,
    Serving,
    /// Told to leave: clients still arrive for a while, and are served.
    Leaving {
        since: Timestamp,
    },
    /// No client is taken any more; each goes after the answer it waits for.
    Draining {
        since: Timestamp,
    },
    Stopped,
}

impl Phase {
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

/// The times of the phases, which the operators may set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// How long clients may still arrive once the process was told to leave.
    pub arrivals: TimeSpan,
    /// How long a client that has its answer, and doesn't read it, is waited for; and since the last statement was
    /// open, for the next one of a row may be on its way to the event loop.
    pub linger: TimeSpan,
    /// A drain is never longer.
    pub longest_drain: TimeSpan,
}

impl Default for Times {
    fn default() -> Times {
        Times {
            arrivals: TimeSpan::millis(450),
            linger: TimeSpan::millis(1000),
            longest_drain: TimeSpan::millis(25 * 3_600_000),
        }
    }
}

#[derive(Default)]
pub struct Phases {
    phase: Phase,
    pub times: Times,
    /// When a statement was last seen open.
    busy_at: Timestamp,
}

/// What the phases depend on.
pub struct Seen {
    pub told_to_leave: bool,
    pub listening: bool,
    pub listener_closed: bool,
    pub open_clients: usize,
    pub open_statements: usize,
}

impl Phases {
    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Goes one phase on, if it is time for that.
    pub fn advance(&mut self, now: Timestamp, seen: &Seen) -> Option<Phase> {
        if seen.open_statements > 0 {
            self.busy_at = now;
        }
        let next = match self.phase {
            Phase::Starting if seen.listening => Phase::Serving,
            Phase::Serving if seen.told_to_leave => Phase::Leaving { since: now },
            Phase::Leaving { since } if now - since >= self.times.arrivals => Phase::Draining { since: now },
            Phase::Draining { .. } if seen.listener_closed && seen.open_clients == 0 => Phase::Stopped,
            Phase::Draining { since } if now >= self.lingers_until(since) => Phase::Stopped,
            _ => return None,
        };
        self.phase = next;
        Some(next)
    }

    fn lingers_until(&self, draining_since: Timestamp) -> Timestamp {
        let lingers = draining_since.max(self.busy_at) + self.times.linger;
        lingers.min(draining_since + self.times.longest_drain)
    }

    /// When time alone takes it on.
    pub fn next_at(&self, now: Timestamp) -> Timestamp {
        match self.phase {
            Phase::Leaving { since } => since + self.times.arrivals,
            Phase::Draining { since } if now < self.lingers_until(since) => self.lingers_until(since),
            _ => Timestamp(u64::MAX),
        }
    }
}
