//! State machine of the predecessor: the process that serves now and starts its successor.
//!
//! It never depends on the successor: whatever becomes of that process, this one goes on serving or resumes
//! to. Events and the current time go in, actions come out; the caller carries them out in order.

use crate::message::{HandoverMessage, VERSION};
use crate::{run_rules, Rule, NEVER};
use asterlatch::time::{TimeSpan, Timestamp};
use std::path::PathBuf;
use thiserror::Error;

/// How far the handover has come, as the predecessor sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// No handover is under way.
    Serving,
    /// The successor was started and must send its hello.
    AwaitingHello,
    /// The successor has state and listener and must report that it is ready.
    AwaitingReady,
    /// The successor was asked to serve and must acknowledge that.
    AwaitingCommitAcknowledgement,
    /// The successor serves on probation. This process accepts clients for it and moves them there.
    Standby,
    /// The successor was killed and must be gone before anything else happens.
    Fencing {
        /// Whether this process accepts clients again once the successor is gone.
        resume_accepting: bool,
    },
    /// The successor owns the service.
    HandedOver,
}

/// How long each phase may last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timeouts {
    /// From the start of the successor to its hello.
    pub hello: TimeSpan,
    /// From the state's dispatch to the successor's ready.
    pub ready: TimeSpan,
    /// From the commit to its acknowledgement.
    pub commit_acknowledged: TimeSpan,
    /// Between two heartbeats of the successor on probation.
    pub heartbeat: TimeSpan,
}

impl Default for Timeouts {
    fn default() -> Timeouts {
        Timeouts {
            hello: TimeSpan::millis(10_000),
            ready: TimeSpan::millis(10_000),
            commit_acknowledged: TimeSpan::millis(1000),
            heartbeat: TimeSpan::millis(5000),
        }
    }
}

/// The successor's program could not be started.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Error)]
#[error("{}: {cause}", program.display())]
pub struct StartError {
    /// The program that was to be run.
    pub program: PathBuf,
    /// The operating system's error message.
    pub cause: String,
}

/// Why an upgrade failed. The predecessor goes on serving after each of these.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Error)]
pub enum UpgradeError {
    /// This process was asked to shut down before the commit.
    #[error("this process is shutting down")]
    ShuttingDown,
    /// The successor's program could not be started.
    #[error(transparent)]
    StartFailed(#[from] StartError),
    /// The successor exited or was killed by somebody else.
    #[error("the new process ended")]
    SuccessorExited,
    /// The phase's timeout elapsed.
    #[error("the new process was unresponsive while {phase:?}")]
    Unresponsive {
        /// The phase that lasted too long.
        phase: Phase,
    },
    /// The successor sent bytes that are no frame of this protocol.
    #[error("the new process sent what can't be read")]
    InvalidFrame,
    /// The successor could not load the state or could not serve with it.
    #[error("the new process can't serve: {reason}")]
    LoadFailed {
        /// What the successor reported.
        reason: String,
    },
    /// The successor speaks another version of this protocol.
    #[error("the new process speaks version {version} of the handover, this one {VERSION}")]
    VersionMismatch {
        /// The successor's version.
        version: u32,
    },
    /// The successor sent a message that its phase doesn't allow.
    #[error("the new process said {message:?} while {phase:?}")]
    UnexpectedMessage {
        /// What it sent.
        message: Box<HandoverMessage>,
        /// The phase in which that arrived.
        phase: Phase,
    },
}

/// What the predecessor reacts to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// An operator asks for an upgrade.
    UpgradeRequested,
    /// The successor could not be started.
    StartFailed(StartError),
    /// The successor sent this.
    Message(HandoverMessage),
    /// The successor sent bytes that are no frame of this protocol.
    InvalidFrame,
    /// The kernel reported the end of the successor.
    SuccessorExited,
    /// This process is asked to shut down.
    ShutdownRequested,
    /// Nothing happened but time passed.
    TimerElapsed,
}

/// What the caller must do next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Start the successor's program.
    StartSuccessor,
    /// Serialize the learned state and send it with the listener and the journal's descriptors.
    SendState,
    /// Send this message to the successor.
    Send(HandoverMessage),
    /// Share the members' concurrency limits with the successor from now on.
    StartCoServing,
    /// Accept no more clients.
    StopAccepting,
    /// Serve alone again: accept clients, and let those stay that are connected.
    ResumeServingAlone,
    /// Move each client to the successor as soon as it is between two statements.
    MoveClients,
    /// Go on with the clients of the dead successor.
    ReclaimClients,
    /// Kill the successor and report its end as [`Event::SuccessorExited`].
    KillSuccessor,
    /// Drain: the service is the successor's, so exit once all statements are answered.
    Drain,
    /// Report to the log and to whoever asked for the upgrade.
    Report(Progress),
}

/// What is reported of an upgrade.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    /// The upgrade has begun.
    Requested,
    /// The upgrade was refused: another one is under way, or this process is shutting down.
    Busy,
    /// The successor is ready and was asked to serve.
    Committed,
    /// The successor owns the service.
    Completed,
    /// The upgrade failed and this process serves on.
    Failed(UpgradeError),
}

/// The predecessor's side of one handover after another.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Predecessor {
    /// How far the current handover has come.
    pub phase: Phase,
    /// Timeouts of the phases entered from now on.
    pub timeouts: Timeouts,
    /// When the current phase times out.
    deadline: Timestamp,
    /// When the next heartbeat is due to a successor on probation.
    next_heartbeat_at: Timestamp,
    now: Timestamp,
    /// The event that no rule has consumed yet.
    event: Option<Event>,
    is_shutting_down: bool,
}

/// Run in this order; each consumes the events that are its own.
const RULES: [Rule<Predecessor, Action>; 12] = [
    Predecessor::refuse_concurrent_upgrade,
    Predecessor::start_successor,
    Predecessor::shut_down,
    Predecessor::send_state,
    Predecessor::commit,
    Predecessor::on_commit_acknowledged,
    Predecessor::on_probation_passed,
    Predecessor::on_heartbeat,
    Predecessor::on_successor_exited,
    Predecessor::fence_successor,
    Predecessor::send_heartbeat,
    Predecessor::ignore_event,
];

/// Heartbeats sent within the time after which their absence counts as unresponsive.
const HEARTBEATS_PER_TIMEOUT: f64 = 10.0;

impl Predecessor {
    /// A process that serves alone.
    pub fn new(timeouts: Timeouts) -> Predecessor {
        Predecessor {
            phase: Phase::Serving,
            timeouts,
            deadline: NEVER,
            next_heartbeat_at: NEVER,
            now: Timestamp(0),
            event: None,
            is_shutting_down: false,
        }
    }

    /// When [`Event::TimerElapsed`] is due at the latest; the largest timestamp where no timer runs.
    pub fn next_deadline(&self) -> Timestamp {
        self.deadline.min(self.next_heartbeat_at)
    }

    /// Handles one event at `now` and returns what to do, in order.
    pub fn on_event(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        self.now = now;
        self.event = Some(event);
        run_rules(&RULES, self)
    }

    /// Counts all times from now on, so that a model checker's states don't grow with the clock.
    pub fn rebase(&mut self) {
        for at in [&mut self.deadline, &mut self.next_heartbeat_at] {
            if *at < NEVER {
                *at = Timestamp(0) + (*at - self.now);
            }
        }
        self.now = Timestamp(0);
    }

    /// Whether the successor may serve the same members by now.
    pub fn is_co_serving(&self) -> bool {
        matches!(
            self.phase,
            Phase::AwaitingCommitAcknowledgement | Phase::Standby | Phase::HandedOver
        )
    }

    /// Enters `phase`, consumes the event and starts the phase's timeout where there is one.
    fn enter_phase(&mut self, phase: Phase, timeout: Option<TimeSpan>) {
        if phase != Phase::Standby {
            self.next_heartbeat_at = NEVER;
        }
        self.phase = phase;
        self.deadline = timeout.map_or(NEVER, |timeout| self.now + timeout);
        self.event = None;
    }

    /// Whether `event` happened in `phase`.
    fn matches(&self, phase: Phase, event: &Event) -> bool {
        self.phase == phase && self.event.as_ref() == Some(event)
    }

    fn refuse_concurrent_upgrade(&mut self) -> Option<Vec<Action>> {
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

    /// Before the commit the successor is withdrawn, for the operator ends the service. After it the service
    /// is the successor's, which goes on without this process.
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
            // Statements in flight here may take long; new clients don't wait for them.
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

    /// The successor gets clients from here on. This process accepts for it, so that no client is ever known
    /// only to a process that may be killed on probation.
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

    /// Only the certain end of the successor lets this process go on with its clients.
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
        // A fenced successor was reported when it was fenced.
        if !matches!(phase, Phase::Fencing { .. }) {
            actions.push(Action::Report(Progress::Failed(error)));
        }
        Some(actions)
    }

    /// A successor that is late or sends what makes no sense may hang or be another program. It may accept
    /// clients at any moment, so it must be gone before anything else.
    fn fence_successor(&mut self) -> Option<Vec<Action>> {
        let error = self.protocol_error()?;
        let resume_accepting = match self.phase {
            Phase::AwaitingHello | Phase::AwaitingReady => false,
            Phase::AwaitingCommitAcknowledgement | Phase::Standby => true,
            Phase::Serving | Phase::Fencing { .. } | Phase::HandedOver => return None,
        };
        Some(self.fence(error, resume_accepting))
    }

    /// What is wrong with an event that no earlier rule has consumed; nothing where it is harmless.
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
            // Co-serving messages may be on their way in any phase.
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

    fn ignore_event(&mut self) -> Option<Vec<Action>> {
        self.event.take().map(|_| Vec::new())
    }
}

impl Phase {
    /// Whether clients may have moved to a successor whose end is seen in this phase.
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
