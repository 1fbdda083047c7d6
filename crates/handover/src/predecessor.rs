//! State machine of the predecessor: the process that serves and starts its successor.
//!
//! Whenever the successor fails before its probation is passed, this process continues to serve or resumes
//! serving. The state machine takes events with the current time and returns actions, which the caller
//! executes in order.

use crate::message::{HandoverMessage, VERSION};
use crate::{run_rules, Rule, NEVER};
use asterlatch::time::{TimeSpan, Timestamp};
use std::path::PathBuf;
use thiserror::Error;

/// Progress of the handover from the predecessor's point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// No handover is in progress.
    Serving,
    /// The successor was started and must send its hello.
    AwaitingHello,
    /// The successor was sent state and listener and must report that it is ready.
    AwaitingReady,
    /// The successor was asked to serve and must acknowledge that.
    AwaitingCommitAcknowledgement,
    /// The successor serves on probation. This process accepts clients and moves them to it.
    Standby,
    /// The successor was killed, and its exit must be seen before anything else happens.
    Fencing {
        /// Whether this process resumes accepting clients once the successor has exited.
        resume_accepting: bool,
    },
    /// The successor owns the service.
    HandedOver,
}

/// Maximum durations of the phases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timeouts {
    /// From the start of the successor to its hello.
    pub hello: TimeSpan,
    /// From the sending of the state until the successor is ready.
    pub ready: TimeSpan,
    /// From the commit to its acknowledgement.
    pub commit_acknowledged: TimeSpan,
    /// Between two heartbeats of a successor on probation.
    pub heartbeat: TimeSpan,
    /// Behind a passed deadline, until it decides: messages that have arrived are read before that.
    pub read_grace: TimeSpan,
}

impl Default for Timeouts {
    fn default() -> Timeouts {
        Timeouts {
            hello: TimeSpan::millis(10_000),
            ready: TimeSpan::millis(10_000),
            commit_acknowledged: TimeSpan::millis(1000),
            heartbeat: TimeSpan::millis(5000),
            read_grace: TimeSpan::millis(100),
        }
    }
}

/// An error in starting the successor's program.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Error)]
#[error("cannot start {}: {cause}", program.display())]
pub struct StartError {
    /// Path of the program.
    pub program: PathBuf,
    /// The operating system's error message.
    pub cause: String,
}

/// Why an upgrade failed. The predecessor continues to serve in each case.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Error)]
pub enum UpgradeError {
    /// This process was asked to shut down before the commit.
    #[error("this process is shutting down")]
    ShuttingDown,
    /// The successor's program could not be started.
    #[error(transparent)]
    StartFailed(#[from] StartError),
    /// The successor exited or was killed by another process.
    #[error("the new process ended")]
    SuccessorExited,
    /// The phase's timeout elapsed.
    #[error("the new process was unresponsive while {phase:?}")]
    Unresponsive {
        /// The phase that timed out.
        phase: Phase,
    },
    /// The successor sent an invalid frame.
    #[error("the new process sent what can't be read")]
    InvalidFrame,
    /// The successor could not load the state or could not serve with it.
    #[error("the new process can't serve: {reason}")]
    LoadFailed {
        /// The cause, as reported by the successor.
        reason: String,
    },
    /// The successor uses another version of the handover protocol.
    #[error(
        "the new process uses version {version} of the handover protocol, this process version {VERSION}"
    )]
    VersionMismatch {
        /// The successor's version.
        version: u32,
    },
    /// The successor sent a message that is not allowed in this phase.
    #[error("the new process sent an unexpected {message:?} while {phase:?}")]
    UnexpectedMessage {
        /// The message.
        message: Box<HandoverMessage>,
        /// The phase in which it arrived.
        phase: Phase,
    },
}

/// Input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// An operator requested an upgrade.
    UpgradeRequested,
    /// The successor could not be started.
    StartFailed(StartError),
    /// The successor sent this message.
    Message(HandoverMessage),
    /// The successor sent an invalid frame.
    InvalidFrame,
    /// The kernel reported the exit of the successor.
    SuccessorExited,
    /// This process was requested to shut down.
    ShutdownRequested,
    /// [`Predecessor::next_deadline`] may have been reached.
    TimerElapsed,
}

/// Output of the state machine: what the caller must do next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Start the successor's program.
    StartSuccessor,
    /// Serialize the learned state, and send it with the descriptors of the listener and of the journal.
    SendState,
    /// Send this message to the successor.
    Send(HandoverMessage),
    /// Share the members' concurrency limits with the successor from now on.
    StartCoServing,
    /// Accept no more clients.
    StopAccepting,
    /// Serve alone again: accept clients, and no longer move connected ones.
    ResumeServingAlone,
    /// Move each client to the successor as soon as it is between two statements.
    MoveClients,
    /// Resume serving the clients of the dead successor.
    ReclaimClients,
    /// Kill the successor and report its exit as [`Event::SuccessorExited`].
    KillSuccessor,
    /// Exit once all statements are answered. The successor owns the service.
    Drain,
    /// Report to the log and to the requester of the upgrade.
    Report(Progress),
}

/// Progress of an upgrade that is reported to operators.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    /// The upgrade has begun.
    Requested,
    /// The upgrade was rejected: another one is in progress, or this process is shutting down.
    Busy,
    /// The successor is ready and was asked to serve.
    Committed,
    /// The successor owns the service.
    Completed,
    /// The upgrade failed, and this process continues to serve.
    Failed(UpgradeError),
}

/// The predecessor's side of consecutive handovers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Predecessor {
    /// Phase of the current handover.
    pub phase: Phase,
    /// Timeouts of the phases entered from now on.
    pub timeouts: Timeouts,
    /// When the current phase times out.
    deadline: Timestamp,
    /// Whether the deadline has passed once and was extended.
    is_deadline_extended: bool,
    /// When the next heartbeat to a successor on probation is due.
    next_heartbeat_at: Timestamp,
    now: Timestamp,
    /// The current event, until a rule consumes it.
    event: Option<Event>,
    is_shutting_down: bool,
}

/// The rules in order of precedence. A rule that applies consumes the event; the last one discards unused
/// events.
const RULES: [Rule<Predecessor, Action>; 13] = [
    Predecessor::reject_concurrent_upgrade,
    Predecessor::start_successor,
    Predecessor::shut_down,
    Predecessor::send_state,
    Predecessor::commit,
    Predecessor::on_commit_acknowledged,
    Predecessor::on_probation_passed,
    Predecessor::on_heartbeat,
    Predecessor::on_successor_exited,
    Predecessor::extend_deadline,
    Predecessor::fence_successor,
    Predecessor::send_heartbeat,
    Predecessor::discard_event,
];

/// Heartbeats sent to the successor within one heartbeat timeout.
const HEARTBEATS_PER_TIMEOUT: f64 = 10.0;

impl Predecessor {
    /// Starts in [`Phase::Serving`].
    pub fn new(timeouts: Timeouts) -> Predecessor {
        Predecessor {
            phase: Phase::Serving,
            timeouts,
            deadline: NEVER,
            is_deadline_extended: false,
            next_heartbeat_at: NEVER,
            now: Timestamp(0),
            event: None,
            is_shutting_down: false,
        }
    }

    /// When [`Event::TimerElapsed`] is due at the latest; the largest timestamp if no timer runs.
    pub fn next_deadline(&self) -> Timestamp {
        self.deadline.min(self.next_heartbeat_at)
    }

    /// Handles an event at `now` and returns the actions to execute, in order.
    pub fn on_event(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        self.now = now;
        self.event = Some(event);
        run_rules(&RULES, self)
    }

    /// Makes all times relative to now, so that the states of a model checker don't grow with the clock.
    pub fn rebase(&mut self) {
        for at in [&mut self.deadline, &mut self.next_heartbeat_at] {
            if *at < NEVER {
                *at = Timestamp(0) + (*at - self.now);
            }
        }
        self.now = Timestamp(0);
    }

    /// Whether the successor may be serving the same members.
    pub fn is_co_serving(&self) -> bool {
        matches!(
            self.phase,
            Phase::AwaitingCommitAcknowledgement | Phase::Standby | Phase::HandedOver
        )
    }

    /// Enters `phase`, consumes the event and sets the phase's deadline if it has a timeout.
    fn enter_phase(&mut self, phase: Phase, timeout: Option<TimeSpan>) {
        if phase != Phase::Standby {
            self.next_heartbeat_at = NEVER;
        }
        self.phase = phase;
        self.deadline = timeout.map_or(NEVER, |timeout| self.now + timeout);
        self.is_deadline_extended = false;
        self.event = None;
    }

    /// Whether `event` is the current event and `phase` the current phase.
    fn matches(&self, phase: Phase, event: &Event) -> bool {
        self.phase == phase && self.event.as_ref() == Some(event)
    }

    fn reject_concurrent_upgrade(&mut self) -> Option<Vec<Action>> {
        let may_begin = self.phase == Phase::Serving && !self.is_shutting_down;
        if self.event != Some(Event::UpgradeRequested) || may_begin {
            return None;
        }
        self.event = None;
        Some(vec![Action::Report(Progress::Busy)])
    }

    fn start_successor(&mut self) -> Option<Vec<Action>> {
        if !self.matches(Phase::Serving, &Event::UpgradeRequested) {
            return None;
        }
        self.enter_phase(Phase::AwaitingHello, Some(self.timeouts.hello));
        Some(vec![Action::StartSuccessor, Action::Report(Progress::Requested)])
    }

    /// Before the commit the successor is killed, because the operator ends the service. After the commit the
    /// successor continues the service without this process.
    fn shut_down(&mut self) -> Option<Vec<Action>> {
        if self.event != Some(Event::ShutdownRequested) {
            return None;
        }
        self.event = None;
        self.is_shutting_down = true;
        match self.phase {
            Phase::AwaitingHello | Phase::AwaitingReady => {
                Some(self.fence(UpgradeError::ShuttingDown, false))
            }
            // New clients must not wait for the statements that are still in flight here.
            Phase::AwaitingCommitAcknowledgement | Phase::Standby => Some(vec![
                Action::StopAccepting,
                Action::Send(HandoverMessage::AcceptClients),
            ]),
            _ => Some(Vec::new()),
        }
    }

    fn send_state(&mut self) -> Option<Vec<Action>> {
        let hello = Event::Message(HandoverMessage::Hello { version: VERSION });
        if !self.matches(Phase::AwaitingHello, &hello) {
            return None;
        }
        self.enter_phase(Phase::AwaitingReady, Some(self.timeouts.ready));
        Some(vec![Action::SendState])
    }

    /// Clients move to the successor from now on. This process still accepts them, so that every client is
    /// known to it if the successor is killed on probation.
    fn commit(&mut self) -> Option<Vec<Action>> {
        if !self.matches(Phase::AwaitingReady, &Event::Message(HandoverMessage::Ready)) {
            return None;
        }
        let timeout = self.timeouts.commit_acknowledged;
        self.enter_phase(Phase::AwaitingCommitAcknowledgement, Some(timeout));
        Some(vec![
            Action::StartCoServing,
            Action::Send(HandoverMessage::Commit),
            Action::Report(Progress::Committed),
        ])
    }

    fn on_commit_acknowledged(&mut self) -> Option<Vec<Action>> {
        let acknowledged = Event::Message(HandoverMessage::CommitAcknowledged);
        if !self.matches(Phase::AwaitingCommitAcknowledgement, &acknowledged) {
            return None;
        }
        self.enter_phase(Phase::Standby, Some(self.timeouts.heartbeat));
        self.next_heartbeat_at = self.now;
        Some(vec![Action::MoveClients])
    }

    fn on_probation_passed(&mut self) -> Option<Vec<Action>> {
        if !self.matches(Phase::Standby, &Event::Message(HandoverMessage::ProbationPassed)) {
            return None;
        }
        self.enter_phase(Phase::HandedOver, None);
        Some(vec![
            Action::StopAccepting,
            Action::Report(Progress::Completed),
            Action::Drain,
        ])
    }

    fn on_heartbeat(&mut self) -> Option<Vec<Action>> {
        if !self.matches(Phase::Standby, &Event::Message(HandoverMessage::Heartbeat)) {
            return None;
        }
        self.enter_phase(Phase::Standby, Some(self.timeouts.heartbeat));
        Some(Vec::new())
    }

    /// Clients are reclaimed only here, when the successor is certainly dead.
    fn on_successor_exited(&mut self) -> Option<Vec<Action>> {
        let error = match self.event.as_ref()? {
            Event::SuccessorExited => UpgradeError::SuccessorExited,
            Event::StartFailed(error) => error.clone().into(),
            _ => return None,
        };
        let phase = self.phase;
        if matches!(phase, Phase::Serving | Phase::HandedOver) {
            self.event = None;
            return Some(Vec::new());
        }
        self.enter_phase(Phase::Serving, None);
        let mut actions = Vec::new();
        if phase.successor_may_have_served() {
            actions.extend([Action::ResumeServingAlone, Action::ReclaimClients]);
        }
        // The failure of a fenced successor was reported when it was fenced.
        if !matches!(phase, Phase::Fencing { .. }) {
            actions.push(Action::Report(Progress::Failed(error)));
        }
        Some(actions)
    }

    /// Extends a passed deadline once: this process may have been held up, and the successor's messages not read.
    fn extend_deadline(&mut self) -> Option<Vec<Action>> {
        let is_passed = self.event == Some(Event::TimerElapsed) && self.deadline <= self.now;
        if !is_passed || std::mem::replace(&mut self.is_deadline_extended, true) {
            return None;
        }
        self.deadline = self.now + self.timeouts.read_grace;
        self.event = None;
        Some(Vec::new())
    }

    /// A successor that times out or violates the protocol may hang, or be another program. It might still
    /// accept clients, so it must be dead before anything else happens.
    fn fence_successor(&mut self) -> Option<Vec<Action>> {
        let error = self.protocol_error()?;
        let resume_accepting = match self.phase {
            Phase::AwaitingHello | Phase::AwaitingReady => false,
            Phase::AwaitingCommitAcknowledgement | Phase::Standby => true,
            Phase::Serving | Phase::Fencing { .. } | Phase::HandedOver => return None,
        };
        Some(self.fence(error, resume_accepting))
    }

    /// The error of an event that no earlier rule has consumed; `None` if the event is harmless.
    fn protocol_error(&self) -> Option<UpgradeError> {
        let phase = self.phase;
        match self.event.as_ref()? {
            Event::TimerElapsed if self.now < self.deadline => None,
            Event::TimerElapsed => Some(UpgradeError::Unresponsive { phase }),
            Event::InvalidFrame => Some(UpgradeError::InvalidFrame),
            Event::Message(HandoverMessage::LoadFailed(reason)) => Some(UpgradeError::LoadFailed {
                reason: reason.clone(),
            }),
            Event::Message(HandoverMessage::Hello { version }) if *version != VERSION => {
                Some(UpgradeError::VersionMismatch { version: *version })
            }
            // These messages may still be in flight in any phase.
            Event::Message(HandoverMessage::CoServing(_) | HandoverMessage::ConnectionMissing(_)) => None,
            Event::Message(message) => Some(UpgradeError::UnexpectedMessage {
                message: Box::new(message.clone()),
                phase,
            }),
            _ => None,
        }
    }

    fn fence(&mut self, error: UpgradeError, resume_accepting: bool) -> Vec<Action> {
        self.enter_phase(Phase::Fencing { resume_accepting }, None);
        vec![Action::KillSuccessor, Action::Report(Progress::Failed(error))]
    }

    fn send_heartbeat(&mut self) -> Option<Vec<Action>> {
        if !self.matches(Phase::Standby, &Event::TimerElapsed) || self.now < self.next_heartbeat_at {
            return None;
        }
        let interval = self.timeouts.heartbeat * (1.0 / HEARTBEATS_PER_TIMEOUT);
        self.next_heartbeat_at = self.now + interval.max(TimeSpan::millis(1));
        Some(vec![Action::Send(HandoverMessage::Heartbeat)])
    }

    fn discard_event(&mut self) -> Option<Vec<Action>> {
        self.event.take().map(|_| Vec::new())
    }
}

impl Phase {
    /// Whether clients may have moved to a successor whose exit is seen in this phase.
    fn successor_may_have_served(self) -> bool {
        matches!(
            self,
            Phase::AwaitingCommitAcknowledgement
                | Phase::Standby
                | Phase::Fencing {
                    resume_accepting: true
                }
        )
    }
}
