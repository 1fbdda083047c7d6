//! The side of the process that serves now. Goes on serving whatever becomes of the new one.

use crate::message::{HandoverMessage, VERSION};
use crate::{run_rules, Rule};
use asterlatch::time::{TimeSpan, Timestamp};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    Serving,
    /// The new process was started and is to say hello.
    AwaitingHello,
    /// It has state and listener, and is to be ready.
    AwaitingReady,
    /// The new one is to say that it serves whom it is sent.
    AwaitingCommitAcknowledgement,
    /// The new one serves on probation; this one accepts for it, and hands over whom it accepted.
    Standby,
    /// The new one is to be gone before anything else; whether clients are accepted again then.
    Fencing {
        resume_accepting: bool,
    },
    /// The new one has the service for good.
    Done,
}

/// How long each phase may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timeouts {
    pub hello: TimeSpan,
    pub ready: TimeSpan,
    pub commit_acknowledged: TimeSpan,
    /// Between two signs of life on probation.
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

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// An upgrade is asked for.
    UpgradeRequested,
    /// The new process could not be started.
    StartFailed(String),
    Message(HandoverMessage),
    /// What came can't be read.
    InvalidFrame,
    /// The new process is gone, for certain.
    SuccessorExited,
    /// This process is told to leave.
    ShutdownRequested,
    TimerElapsed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Start the new process.
    StartSuccessor,
    /// Write out what was learned and send it with the listener.
    SendState,
    Send(HandoverMessage),
    /// The two serve the same members from now on.
    StartCoServing,
    /// Accept no more clients.
    StopAccepting,
    /// Alone again: accept on, and let who is here stay.
    ResumeServingAlone,
    /// Let clients go between two statements: the new one takes them.
    MoveClients,
    /// Go on with the clients of the new process, which is dead.
    ReclaimClients,
    /// Kill the new process, and tell when it is gone.
    KillSuccessor,
    /// The service is the new one's: leave once all is answered.
    Drain,
    Report(Progress),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Progress {
    Requested,
    /// One is under way.
    Busy,
    Committed,
    Done,
    Failed(String),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Predecessor {
    pub phase: Phase,
    pub times: Timeouts,
    deadline: Timestamp,
    /// When the new one is next told that this one lives, on probation.
    next_heartbeat_at: Timestamp,
    now: Timestamp,
    event: Option<Event>,
    /// This process is to leave once no new one is in its way.
    is_shutting_down: bool,
}

/// In this order; each takes the event where it is its own.
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

/// So many signs of life go to the new process in the time after which it is silent itself.
const HEARTBEATS_PER_TIMEOUT: f64 = 10.0;

impl Predecessor {
    pub fn new(times: Timeouts) -> Predecessor {
        Predecessor {
            phase: Phase::Serving,
            times,
            deadline: Timestamp(u64::MAX),
            next_heartbeat_at: Timestamp(u64::MAX),
            now: Timestamp(0),
            event: None,
            is_shutting_down: false,
        }
    }

    pub fn next_deadline(&self) -> Timestamp {
        self.deadline.min(self.next_heartbeat_at)
    }

    pub fn on_event(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        (self.now, self.event) = (now, Some(event));
        run_rules(&RULES, self)
    }

    /// Counts all times from now on: what a checker of the protocol tells states apart by must not grow with the clock.
    pub fn rebase(&mut self) {
        if self.deadline < Timestamp(u64::MAX) {
            self.deadline = Timestamp(0) + (self.deadline - self.now);
        }
        if self.next_heartbeat_at < Timestamp(u64::MAX) {
            self.next_heartbeat_at = Timestamp(0) + (self.next_heartbeat_at - self.now);
        }
        self.now = Timestamp(0);
    }

    /// The new process serves beside this one.
    pub fn is_co_serving(&self) -> bool {
        matches!(
            self.phase,
            Phase::AwaitingCommitAcknowledgement | Phase::Standby | Phase::Done
        )
    }

    fn enter_phase(&mut self, phase: Phase, within: Option<TimeSpan>) {
        if phase != Phase::Standby {
            self.next_heartbeat_at = Timestamp(u64::MAX);
        }
        self.phase = phase;
        self.deadline = within.map_or(Timestamp(u64::MAX), |w| self.now + w);
        self.event = None;
    }

    fn matches(&self, phase: Phase, event: &Event) -> bool {
        self.phase == phase && self.event.as_ref() == Some(event)
    }

    fn refuse_concurrent_upgrade(&mut self) -> Option<Vec<Action>> {
        if self.event != Some(Event::UpgradeRequested)
            || (self.phase == Phase::Serving && !self.is_shutting_down)
        {
            return None;
        }
        self.event = None;
        Some(vec![Action::Report(Progress::Busy)])
    }

    fn start_successor(&mut self) -> Option<Vec<Action>> {
        if !self.matches(Phase::Serving, &Event::UpgradeRequested) {
            return None;
        }
        self.enter_phase(Phase::AwaitingHello, Some(self.times.hello));
        Some(vec![Action::StartSuccessor, Action::Report(Progress::Requested)])
    }

    /// Before the commit the new one is withdrawn, for this process is told to end the service; behind it the service
    /// is the new one's, and this process leaves without it.
    fn shut_down(&mut self) -> Option<Vec<Action>> {
        if self.event != Some(Event::ShutdownRequested) {
            return None;
        }
        self.event = None;
        self.is_shutting_down = true;
        match self.phase {
            Phase::AwaitingHello | Phase::AwaitingReady => {
                self.enter_phase(
                    Phase::Fencing {
                        resume_accepting: false,
                    },
                    None,
                );
                let why = "this process was told to leave".to_owned();
                Some(vec![Action::KillSuccessor, Action::Report(Progress::Failed(why))])
            }
            // What is still open here may take long; newcomers don't wait for it.
            Phase::AwaitingCommitAcknowledgement | Phase::Standby => Some(vec![
                Action::StopAccepting,
                Action::Send(HandoverMessage::AcceptClients),
            ]),
            _ => Some(Vec::new()),
        }
    }

    fn send_state(&mut self) -> Option<Vec<Action>> {
        if !self.matches(
            Phase::AwaitingHello,
            &Event::Message(HandoverMessage::Hello { version: VERSION }),
        ) {
            return None;
        }
        self.enter_phase(Phase::AwaitingReady, Some(self.times.ready));
        Some(vec![Action::SendState])
    }

    /// The new one gets clients from here on. That this one accepts for it leaves no moment in which a client is known
    /// to a process alone that may be killed on probation.
    fn commit(&mut self) -> Option<Vec<Action>> {
        if !self.matches(Phase::AwaitingReady, &Event::Message(HandoverMessage::Ready)) {
            return None;
        }
        self.enter_phase(
            Phase::AwaitingCommitAcknowledgement,
            Some(self.times.commit_acknowledged),
        );
        let say = Action::Send(HandoverMessage::Commit);
        Some(vec![
            Action::StartCoServing,
            say,
            Action::Report(Progress::Committed),
        ])
    }

    fn on_commit_acknowledged(&mut self) -> Option<Vec<Action>> {
        if !self.matches(
            Phase::AwaitingCommitAcknowledgement,
            &Event::Message(HandoverMessage::CommitAcknowledged),
        ) {
            return None;
        }
        self.enter_phase(Phase::Standby, Some(self.times.heartbeat));
        self.next_heartbeat_at = self.now;
        Some(vec![Action::MoveClients])
    }

    fn on_probation_passed(&mut self) -> Option<Vec<Action>> {
        if !self.matches(Phase::Standby, &Event::Message(HandoverMessage::ProbationPassed)) {
            return None;
        }
        self.enter_phase(Phase::Done, None);
        Some(vec![
            Action::StopAccepting,
            Action::Report(Progress::Done),
            Action::Drain,
        ])
    }

    fn on_heartbeat(&mut self) -> Option<Vec<Action>> {
        if !self.matches(Phase::Standby, &Event::Message(HandoverMessage::Heartbeat)) {
            return None;
        }
        self.enter_phase(Phase::Standby, Some(self.times.heartbeat));
        Some(Vec::new())
    }

    /// Only an end that is certain lets this process go on with the other's clients.
    fn on_successor_exited(&mut self) -> Option<Vec<Action>> {
        let not_started = match self.event.as_ref()? {
            Event::SuccessorExited => None,
            Event::StartFailed(why) => Some(why.clone()),
            _ => return None,
        };
        let why = not_started.unwrap_or_else(|| "the new process ended".to_owned());
        let failed = Action::Report(Progress::Failed(why));
        let phase = self.phase;
        let alone = matches!(
            phase,
            Phase::AwaitingCommitAcknowledgement
                | Phase::Standby
                | Phase::Fencing {
                    resume_accepting: true
                }
        );
        let actions = match phase {
            // Its end was told of when it was decided on.
            Phase::Fencing { .. } => Vec::new(),
            Phase::Serving | Phase::Done => {
                self.event = None;
                return Some(Vec::new());
            }
            _ => vec![failed],
        };
        self.enter_phase(Phase::Serving, None);
        let again = alone.then_some([Action::ResumeServingAlone, Action::ReclaimClients]);
        Some(again.into_iter().flatten().chain(actions).collect())
    }

    /// What isn't in time, or makes no sense here: the new one may hang, or be none of ours. It must be gone before
    /// anything else, for it may accept clients at any moment.
    fn fence_successor(&mut self) -> Option<Vec<Action>> {
        let why = match self.event.as_ref()? {
            Event::TimerElapsed if self.now < self.deadline => return None,
            Event::TimerElapsed => format!("the new process was silent while {:?}", self.phase),
            Event::InvalidFrame => "the new process sent what can't be read".to_owned(),
            Event::Message(HandoverMessage::LoadFailed(why)) => format!("the new process can't serve: {why}"),
            Event::Message(HandoverMessage::Hello { version }) if *version != VERSION => {
                format!("the new process speaks version {version} of the takeover, this one {VERSION}")
            }
            // What binds both may be on its way whatever else goes on.
            Event::Message(HandoverMessage::CoServing(_) | HandoverMessage::ConnectionMissing(_)) => {
                return None
            }
            Event::Message(other) => format!("the new process said {other:?} while {:?}", self.phase),
            _ => return None,
        };
        let resume_accepting = match self.phase {
            Phase::AwaitingHello | Phase::AwaitingReady => false,
            Phase::AwaitingCommitAcknowledgement | Phase::Standby => true,
            Phase::Serving | Phase::Fencing { .. } | Phase::Done => return None,
        };
        self.enter_phase(Phase::Fencing { resume_accepting }, None);
        Some(vec![Action::KillSuccessor, Action::Report(Progress::Failed(why))])
    }

    fn send_heartbeat(&mut self) -> Option<Vec<Action>> {
        if !self.matches(Phase::Standby, &Event::TimerElapsed) || self.now < self.next_heartbeat_at {
            return None;
        }
        self.next_heartbeat_at =
            self.now + (self.times.heartbeat * (1.0 / HEARTBEATS_PER_TIMEOUT)).max(TimeSpan::millis(1));
        Some(vec![Action::Send(HandoverMessage::Heartbeat)])
    }

    fn ignore_event(&mut self) -> Option<Vec<Action>> {
        self.event.take().map(|_| Vec::new())
    }
}
