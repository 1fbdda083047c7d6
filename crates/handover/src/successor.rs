//! The side of the new process. On probation it serves whom the old one hands over; it accepts clients itself once it is
//! proven, or where the old one leaves, is gone or has fallen silent.

use crate::message::{HandoverMessage, VERSION};
use crate::{run_rules, Rule};
use asterlatch::time::{TimeSpan, Timestamp};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    Started,
    /// It has state and listener, and could serve.
    Loaded,
    /// It serves; the old one accepts for it.
    Probation,
    /// The service is its own.
    Serving,
    /// It never served, and ends.
    Aborted,
}

/// How long the old one may take, how long it may be silent on probation before this one accepts in its place, how often
/// it is told that this one lives, and how long that goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timeouts {
    pub predecessor_response: TimeSpan,
    pub predecessor_heartbeat: TimeSpan,
    pub heartbeat_interval: TimeSpan,
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

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// It runs.
    Started,
    Message(HandoverMessage),
    InvalidFrame,
    /// State and listener came, and this process could serve with them, or why not.
    Loaded(Result<(), String>),
    /// The old process is gone.
    PredecessorExited,
    TimerElapsed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    Send(HandoverMessage),
    LoadState(Vec<u8>),
    /// Serve whom the old one hands over.
    StartServing,
    /// Accept clients.
    StartAccepting,
    /// End this process, which never served.
    Abort(String),
    Report(&'static str),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Successor {
    pub phase: Phase,
    times: Timeouts,
    deadline: Timestamp,
    /// When the next sign of life is due here, the last of all, and the next of the old one.
    next_heartbeat_at: Timestamp,
    probation_ends_at: Timestamp,
    predecessor_timeout_at: Timestamp,
    is_accepting: bool,
    now: Timestamp,
    event: Option<Event>,
}

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
    Successor::ignore_event,
];

impl Successor {
    pub fn new(times: Timeouts) -> Successor {
        Successor {
            phase: Phase::Started,
            times,
            deadline: Timestamp(u64::MAX),
            next_heartbeat_at: Timestamp(u64::MAX),
            probation_ends_at: Timestamp(u64::MAX),
            predecessor_timeout_at: Timestamp(u64::MAX),
            is_accepting: false,
            now: Timestamp(0),
            event: None,
        }
    }

    pub fn next_deadline(&self) -> Timestamp {
        if self.phase != Phase::Probation {
            return self.deadline;
        }
        let predecessor_timeout_at = if self.is_accepting {
            Timestamp(u64::MAX)
        } else {
            self.predecessor_timeout_at
        };
        self.next_heartbeat_at
            .min(self.probation_ends_at)
            .min(predecessor_timeout_at)
    }

    pub fn on_event(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        (self.now, self.event) = (now, Some(event));
        run_rules(&RULES, self)
    }

    /// Counts all times from now on: what a checker of the protocol tells states apart by must not grow with the clock.
    pub fn rebase(&mut self) {
        let now = self.now;
        let times = [
            &mut self.deadline,
            &mut self.next_heartbeat_at,
            &mut self.probation_ends_at,
            &mut self.predecessor_timeout_at,
        ];
        for at in times.into_iter().filter(|at| **at < Timestamp(u64::MAX)) {
            *at = Timestamp(0) + (*at - now);
        }
        self.now = Timestamp(0);
    }

    fn enter_phase(&mut self, phase: Phase, within: Option<TimeSpan>) {
        self.phase = phase;
        self.deadline = within.map_or(Timestamp(u64::MAX), |w| self.now + w);
        self.event = None;
    }

    fn send_hello(&mut self) -> Option<Vec<Action>> {
        if self.phase != Phase::Started || self.event != Some(Event::Started) {
            return None;
        }
        self.enter_phase(Phase::Started, Some(self.times.predecessor_response));
        Some(vec![Action::Send(HandoverMessage::Hello { version: VERSION })])
    }

    fn load_state(&mut self) -> Option<Vec<Action>> {
        let started = self.phase == Phase::Started;
        let state = |i: &mut Event| started && matches!(i, Event::Message(HandoverMessage::State(_)));
        match self.event.take_if(state)? {
            Event::Message(HandoverMessage::State(bytes)) => Some(vec![Action::LoadState(bytes)]),
            _ => None,
        }
    }

    fn report_load_result(&mut self) -> Option<Vec<Action>> {
        if self.phase != Phase::Started {
            return None;
        }
        match self.event.take_if(|i| matches!(i, Event::Loaded(_)))? {
            Event::Loaded(Err(why)) => {
                self.enter_phase(Phase::Aborted, None);
                let say = Action::Send(HandoverMessage::LoadFailed(why.clone()));
                Some(vec![say, Action::Abort(why)])
            }
            _ => {
                self.enter_phase(Phase::Loaded, Some(self.times.predecessor_response));
                Some(vec![Action::Send(HandoverMessage::Ready)])
            }
        }
    }

    fn start_probation(&mut self) -> Option<Vec<Action>> {
        if self.phase != Phase::Loaded || self.event != Some(Event::Message(HandoverMessage::Commit)) {
            return None;
        }
        self.enter_phase(Phase::Probation, None);
        self.next_heartbeat_at = self.now + self.times.heartbeat_interval;
        self.probation_ends_at = self.now + self.times.probation;
        self.predecessor_timeout_at = self.now + self.times.predecessor_heartbeat;
        let taken = Action::Send(HandoverMessage::CommitAcknowledged);
        Some(vec![
            Action::StartServing,
            taken,
            Action::Report("serves, on probation"),
        ])
    }

    fn has_message(&self, message: &HandoverMessage) -> bool {
        let heard = matches!(&self.event, Some(Event::Message(m)) if m == message);
        self.phase == Phase::Probation && heard
    }

    fn on_heartbeat(&mut self) -> Option<Vec<Action>> {
        if !self.has_message(&HandoverMessage::Heartbeat) {
            return None;
        }
        self.event = None;
        self.predecessor_timeout_at = self.now + self.times.predecessor_heartbeat;
        Some(Vec::new())
    }

    /// Accepts from now on, where it doesn't yet.
    fn start_accepting(&mut self, why: &'static str) -> Vec<Action> {
        let begins = !std::mem::replace(&mut self.is_accepting, true);
        let accept = begins.then_some(Action::StartAccepting);
        accept.into_iter().chain([Action::Report(why)]).collect()
    }

    /// The old one leaves before this one is proven.
    fn on_accept_clients(&mut self) -> Option<Vec<Action>> {
        if !self.has_message(&HandoverMessage::AcceptClients) {
            return None;
        }
        self.event = None;
        Some(self.start_accepting("accepts, for the former process leaves"))
    }

    /// The old one died on the way: this one goes on.
    fn on_predecessor_exited(&mut self) -> Option<Vec<Action>> {
        if self.phase != Phase::Probation
            || !matches!(self.event, Some(Event::PredecessorExited | Event::InvalidFrame))
        {
            return None;
        }
        self.enter_phase(Phase::Serving, None);
        Some(self.start_accepting("the former process is gone, the service is this one's"))
    }

    fn is_due(&self, at: Timestamp) -> bool {
        self.phase == Phase::Probation && self.event == Some(Event::TimerElapsed) && self.now >= at
    }

    /// The old one hangs: newcomers would wait for as long as it does. Should it go on, both accept, which does no harm.
    fn on_predecessor_timeout(&mut self) -> Option<Vec<Action>> {
        if self.is_accepting || !self.is_due(self.predecessor_timeout_at) {
            return None;
        }
        Some(self.start_accepting("accepts, for the former process is silent"))
    }

    fn pass_probation(&mut self) -> Option<Vec<Action>> {
        if !self.is_due(self.probation_ends_at) {
            return None;
        }
        self.enter_phase(Phase::Serving, None);
        let mut actions = vec![Action::Send(HandoverMessage::ProbationPassed)];
        actions.extend(self.start_accepting("proven, the service is this one's"));
        Some(actions)
    }

    fn send_heartbeat(&mut self) -> Option<Vec<Action>> {
        if !self.is_due(self.next_heartbeat_at) {
            return None;
        }
        self.next_heartbeat_at = self.now + self.times.heartbeat_interval;
        Some(vec![Action::Send(HandoverMessage::Heartbeat)])
    }

    /// Nothing was told to serve, so nothing is served: the old one does, or nobody, as without this one.
    fn abort(&mut self) -> Option<Vec<Action>> {
        if !matches!(self.phase, Phase::Started | Phase::Loaded) {
            return None;
        }
        let why = match self.event.as_ref()? {
            Event::PredecessorExited => "the former process is gone before the commit",
            Event::InvalidFrame => "the former process sent what can't be read",
            Event::Message(HandoverMessage::CoServing(_)) => return None,
            Event::Message(_) => "the former process said what makes no sense here",
            Event::TimerElapsed if self.now >= self.deadline => "the former process was silent for too long",
            _ => return None,
        };
        self.enter_phase(Phase::Aborted, None);
        Some(vec![Action::Abort(why.to_owned())])
    }

    fn ignore_event(&mut self) -> Option<Vec<Action>> {
        self.event.take().map(|_| Vec::new())
    }
}
