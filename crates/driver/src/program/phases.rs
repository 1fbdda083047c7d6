//! The phases of the process, from start to exit.

use asterlatch::time::{Point, Span};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    Starting,
    Serving,
    /// Told to leave: clients still arrive for a while, and are served.
    Leaving {
        since: Point,
    },
    /// No client is taken any more; each goes after the answer it waits for.
    Draining,
    Stopped,
}

/// How long clients may still arrive once the process was told to leave.
const ARRIVALS: Span = Span::millis(450);

pub struct Phases {
    phase: Phase,
}

/// What the phases depend on.
pub struct Seen {
    pub told_to_leave: bool,
    pub listening: bool,
    pub listener_closed: bool,
    pub open_clients: usize,
}

impl Phases {
    pub fn new() -> Phases {
        Phases {
            phase: Phase::Starting,
        }
    }

    /// Goes one phase on, if it is time for that.
    pub fn advance(&mut self, now: Point, seen: &Seen) -> Option<Phase> {
        let next = match self.phase {
            Phase::Starting if seen.listening => Phase::Serving,
            Phase::Serving if seen.told_to_leave => Phase::Leaving { since: now },
            Phase::Leaving { since } if now - since >= ARRIVALS => Phase::Draining,
            Phase::Draining if seen.listener_closed && seen.open_clients == 0 => Phase::Stopped,
            _ => return None,
        };
        self.phase = next;
        Some(next)
    }

    /// When time alone takes it on.
    pub fn next_at(&self) -> Point {
        match self.phase {
            Phase::Leaving { since } => since + ARRIVALS,
            _ => Point(u64::MAX),
        }
    }
}
