//! State machine of the successor: the process that takes over the service.
//!
//! On probation it serves the clients that the predecessor moves to it. It accepts clients itself once the
//! probation is passed, or earlier if the predecessor drains, exits or becomes unresponsive.

use crate::message::{HandoverMessage, VERSION};
use crate::{run_rules, Rule, NEVER};
use asterlatch::time::{TimeSpan, Timestamp};
use std::fmt;
use thiserror::Error;

/// Progress of the handover from the successor's point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// This process is running and waits for the state.
    Started,
    /// This process has loaded the state and could serve.
    Loaded,
    /// This process serves clients, which the predecessor accepts and moves here.
    Probation,
    /// This process owns the service.
    Serving,
    /// This process never served and must exit.
    Aborted,
}

/// Timeouts and intervals of the successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timeouts {
    /// Maximum wait for the state, and then for the commit.
    pub predecessor_response: TimeSpan,
    /// Time without a heartbeat of the predecessor after which this process accepts clients itself.
    pub predecessor_heartbeat: TimeSpan,
    /// Time between two heartbeats to the predecessor.
    pub heartbeat_interval: TimeSpan,
    /// Time that this process must serve before it owns the service.
    pub probation: TimeSpan,
}

impl Default for Timeouts {
    fn default() -> Timeouts {
        Timeouts {
            predecessor_response: TimeSpan::millis(20_000),
            predecessor_heartbeat: TimeSpan::millis(5000),
            heartbeat_interval: TimeSpan::millis(1000),
            probation: TimeSpan::millis(10_000),
        }
    }
}

/// Why the successor exits without having served. The predecessor, if it still runs, continues to serve.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Error)]
pub enum AbortReason {
    /// The state could not be loaded, or this process could not serve with it.
    #[error("{reason}")]
    LoadFailed {
        /// The cause, as sent to the predecessor.
        reason: String,
    },
    /// The predecessor exited before the commit.
    #[error("the predecessor exited before the commit")]
    PredecessorExited,
    /// The predecessor sent an invalid frame.
    #[error("the predecessor sent an invalid frame")]
    InvalidFrame,
    /// The predecessor sent a message that is not allowed in this phase.
    #[error("the predecessor sent an unexpected message")]
    UnexpectedMessage,
    /// The predecessor sent neither state nor commit in time.
    #[error("the predecessor was unresponsive for too long")]
    Unresponsive,
}

/// Input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// This process is running.
    Started,
    /// The predecessor sent this message.
    Message(HandoverMessage),
    /// The predecessor sent an invalid frame.
    InvalidFrame,
    /// State and listener were loaded, and this process can serve with them.
    Loaded,
    /// State or listener are missing or unusable.
    LoadFailed {
        /// The cause, for operators.
        reason: String,
    },
    /// The predecessor closed the socket.
    PredecessorExited,
    /// [`Successor::next_deadline`] may have been reached.
    TimerElapsed,
}

/// Output of the state machine: what the caller must do next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send this message to the predecessor.
    Send(HandoverMessage),
    /// Load this state and report [`Event::Loaded`] or [`Event::LoadFailed`].
    LoadState(Vec<u8>),
    /// Serve the clients that the predecessor moves here.
    StartServing,
    /// Accept clients at the listener.
    StartAccepting,
    /// Exit without having served.
    Abort(AbortReason),
    /// Report to the log.
    Report(Progress),
}

/// Progress of the handover that is reported to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    /// The probation has begun.
    OnProbation,
    /// The predecessor drains before the probation is passed, so this process accepts clients.
    PredecessorDrains,
    /// No heartbeat of the predecessor arrived in time, so this process accepts clients.
    PredecessorUnresponsive,
    /// The predecessor exited before the probation was passed, so this process owns the service.
    PredecessorExited,
    /// The probation is passed.
    ProbationPassed,
}

impl fmt::Display for Progress {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Progress::OnProbation => "serves, on probation",
            Progress::PredecessorDrains => "accepts, for the predecessor drains",
            Progress::PredecessorUnresponsive => "accepts, for the predecessor is unresponsive",
            Progress::PredecessorExited => "the predecessor is gone, the service is this one's",
            Progress::ProbationPassed => "proven, the service is this one's",
        })
    }
}

/// The successor's side of one handover.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Successor {
    /// Phase of the handover.
    pub phase: Phase,
    timeouts: Timeouts,
    /// When the wait for the predecessor's next message times out, before the commit.
    deadline: Timestamp,
    /// When the next heartbeat to the predecessor is due.
    next_heartbeat_at: Timestamp,
    probation_ends_at: Timestamp,
    /// When the predecessor counts as unresponsive unless one of its heartbeats arrives.
    predecessor_timeout_at: Timestamp,
    is_accepting: bool,
    now: Timestamp,
    /// The current event, until a rule consumes it.
    event: Option<Event>,
}

/// The rules in order of precedence. A rule that applies consumes the event; the last one discards unused
/// events.
const RULES: [Rule<Successor, Action>; 12] = [
    Successor::send_hello,
    Successor::load_state,
    Successor::report_load_result,
    Successor::start_probation,
    Successor::on_heartbeat,
    Successor::on_accept_clients,
    Successor::on_predecessor_exited,
    Successor::on_predecessor_timeout,
    Successor::pass_probation,
    Successor::send_heartbeat,
    Successor::abort,
    Successor::discard_event,
];

impl Successor {
    /// Starts in [`Phase::Started`].
    pub fn new(timeouts: Timeouts) -> Successor {
        Successor {
            phase: Phase::Started,
            timeouts,
            deadline: NEVER,
            next_heartbeat_at: NEVER,
            probation_ends_at: NEVER,
            predecessor_timeout_at: NEVER,
            is_accepting: false,
            now: Timestamp(0),
            event: None,
        }
    }

    /// When [`Event::TimerElapsed`] is due at the latest; the largest timestamp if no timer runs.
    pub fn next_deadline(&self) -> Timestamp {
        if self.phase != Phase::Probation {
            return self.deadline;
        }
        let next_timer = self.next_heartbeat_at.min(self.probation_ends_at);
        if self.is_accepting {
            return next_timer;
        }
        next_timer.min(self.predecessor_timeout_at)
    }

    /// Handles an event at `now` and returns the actions to execute, in order.
    pub fn on_event(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        self.now = now;
        self.event = Some(event);
        run_rules(&RULES, self)
    }

    /// Makes all times relative to now, so that the states of a model checker don't grow with the clock.
    pub fn rebase(&mut self) {
        let times = [
            &mut self.deadline,
            &mut self.next_heartbeat_at,
            &mut self.probation_ends_at,
            &mut self.predecessor_timeout_at,
        ];
        for at in times {
            if *at < NEVER {
                *at = Timestamp(0) + (*at - self.now);
            }
        }
        self.now = Timestamp(0);
    }

    /// Enters `phase`, consumes the event and sets the phase's deadline if it has a timeout.
    fn enter_phase(&mut self, phase: Phase, timeout: Option<TimeSpan>) {
        self.phase = phase;
        self.deadline = timeout.map_or(NEVER, |timeout| self.now + timeout);
        self.event = None;
    }

    fn send_hello(&mut self) -> Option<Vec<Action>> {
        if self.phase != Phase::Started || self.event != Some(Event::Started) {
            return None;
        }
        self.enter_phase(Phase::Started, Some(self.timeouts.predecessor_response));
        Some(vec![Action::Send(HandoverMessage::Hello { version: VERSION })])
    }

    fn load_state(&mut self) -> Option<Vec<Action>> {
        if self.phase != Phase::Started {
            return None;
        }
        let is_state = |event: &mut Event| matches!(event, Event::Message(HandoverMessage::State(_)));
        match self.event.take_if(is_state)? {
            Event::Message(HandoverMessage::State(bytes)) => Some(vec![Action::LoadState(bytes)]),
            _ => None,
        }
    }

    fn report_load_result(&mut self) -> Option<Vec<Action>> {
        if self.phase != Phase::Started {
            return None;
        }
        let is_result = |event: &mut Event| matches!(event, Event::Loaded | Event::LoadFailed { .. });
        match self.event.take_if(is_result)? {
            Event::LoadFailed { reason } => {
                self.enter_phase(Phase::Aborted, None);
                Some(vec![
                    Action::Send(HandoverMessage::LoadFailed(reason.clone())),
                    Action::Abort(AbortReason::LoadFailed { reason }),
                ])
            }
            _ => {
                self.enter_phase(Phase::Loaded, Some(self.timeouts.predecessor_response));
                Some(vec![Action::Send(HandoverMessage::Ready)])
            }
        }
    }

    fn start_probation(&mut self) -> Option<Vec<Action>> {
        if self.phase != Phase::Loaded || self.event != Some(Event::Message(HandoverMessage::Commit)) {
            return None;
        }
        self.enter_phase(Phase::Probation, None);
        self.next_heartbeat_at = self.now + self.timeouts.heartbeat_interval;
        self.probation_ends_at = self.now + self.timeouts.probation;
        self.predecessor_timeout_at = self.now + self.timeouts.predecessor_heartbeat;
        Some(vec![
            Action::StartServing,
            Action::Send(HandoverMessage::CommitAcknowledged),
            Action::Report(Progress::OnProbation),
        ])
    }

    /// Whether the current event is this message of the predecessor, on probation.
    fn has_message(&self, message: &HandoverMessage) -> bool {
        let is_current = matches!(&self.event, Some(Event::Message(current)) if current == message);
        self.phase == Phase::Probation && is_current
    }

    fn on_heartbeat(&mut self) -> Option<Vec<Action>> {
        if !self.has_message(&HandoverMessage::Heartbeat) {
            return None;
        }
        self.event = None;
        self.predecessor_timeout_at = self.now + self.timeouts.predecessor_heartbeat;
        Some(Vec::new())
    }

    /// Starts accepting clients unless this process does already, and reports `progress`.
    fn start_accepting(&mut self, progress: Progress) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.is_accepting {
            self.is_accepting = true;
            actions.push(Action::StartAccepting);
        }
        actions.push(Action::Report(progress));
        actions
    }

    /// The predecessor drains before the probation is passed.
    fn on_accept_clients(&mut self) -> Option<Vec<Action>> {
        if !self.has_message(&HandoverMessage::AcceptClients) {
            return None;
        }
        self.event = None;
        Some(self.start_accepting(Progress::PredecessorDrains))
    }

    /// If the predecessor exits before the probation is passed, this process owns the service at once.
    fn on_predecessor_exited(&mut self) -> Option<Vec<Action>> {
        let has_exited = matches!(self.event, Some(Event::PredecessorExited | Event::InvalidFrame));
        if self.phase != Phase::Probation || !has_exited {
            return None;
        }
        self.enter_phase(Phase::Serving, None);
        Some(self.start_accepting(Progress::PredecessorExited))
    }

    /// Whether the timer set for `at` has elapsed, on probation.
    fn is_due(&self, at: Timestamp) -> bool {
        self.phase == Phase::Probation && self.event == Some(Event::TimerElapsed) && self.now >= at
    }

    /// Otherwise new clients would wait while the predecessor hangs. If it recovers, both processes accept
    /// clients, which is harmless.
    fn on_predecessor_timeout(&mut self) -> Option<Vec<Action>> {
        if self.is_accepting || !self.is_due(self.predecessor_timeout_at) {
            return None;
        }
        Some(self.start_accepting(Progress::PredecessorUnresponsive))
    }

    fn pass_probation(&mut self) -> Option<Vec<Action>> {
        if !self.is_due(self.probation_ends_at) {
            return None;
        }
        self.enter_phase(Phase::Serving, None);
        let mut actions = vec![Action::Send(HandoverMessage::ProbationPassed)];
        actions.extend(self.start_accepting(Progress::ProbationPassed));
        Some(actions)
    }

    fn send_heartbeat(&mut self) -> Option<Vec<Action>> {
        if !self.is_due(self.next_heartbeat_at) {
            return None;
        }
        self.next_heartbeat_at = self.now + self.timeouts.heartbeat_interval;
        Some(vec![Action::Send(HandoverMessage::Heartbeat)])
    }

    /// Before the commit this process serves no clients, so it can exit without losing a statement.
    fn abort(&mut self) -> Option<Vec<Action>> {
        if !matches!(self.phase, Phase::Started | Phase::Loaded) {
            return None;
        }
        let reason = match self.event.as_ref()? {
            Event::PredecessorExited => AbortReason::PredecessorExited,
            Event::InvalidFrame => AbortReason::InvalidFrame,
            Event::Message(HandoverMessage::CoServing(_)) => return None,
            Event::Message(_) => AbortReason::UnexpectedMessage,
            Event::TimerElapsed if self.now >= self.deadline => AbortReason::Unresponsive,
            _ => return None,
        };
        self.enter_phase(Phase::Aborted, None);
        Some(vec![Action::Abort(reason)])
    }

    fn discard_event(&mut self) -> Option<Vec<Action>> {
        self.event.take().map(|_| Vec::new())
    }
}
