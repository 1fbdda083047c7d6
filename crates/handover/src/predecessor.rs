//! The side of the process that serves now. Goes on serving whatever becomes of the new one.

use crate::message::{HandoverMessage, VERSION};
use crate::{go_through, Rule};
use asterlatch::time::{TimeSpan, Timestamp};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    Serving,
    /// The new process was started and is to say hello.
    Offered,
    /// It has state and listener, and is to be ready.
    Sent,
    /// The new one is to say that it serves whom it is sent.
    Committed,
    /// The new one serves on probation; this one accepts for it, and hands over whom it accepted.
    Standby,
    /// The new one is to be gone before anything else; whether clients are accepted again then.
    Fencing {
        resumes: bool,
    },
    /// The new one has the service for good.
    Done,
}

/// How long each phase may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Times {
    pub hello: TimeSpan,
    pub ready: TimeSpan,
    pub taken: TimeSpan,
    /// Between two signs of life on probation.
    pub beat: TimeSpan,
}

impl Default for Times {
    fn default() -> Times {
        Times {
            hello: TimeSpan::millis(10_000),
            ready: TimeSpan::millis(10_000),
            taken: TimeSpan::millis(1000),
            beat: TimeSpan::millis(5000),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// An upgrade is asked for.
    Ask,
    /// The new process could not be started.
    NotStarted(String),
    Heard(HandoverMessage),
    /// What came can't be read.
    Garbled,
    /// The new process is gone, for certain.
    Ended,
    /// This process is told to leave.
    Leave,
    Time,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Start the new process.
    Start,
    /// Write out what was learned and send it with the listener.
    SendState,
    Say(HandoverMessage),
    /// The two serve the same members from now on.
    ServeBeside,
    /// Accept no more clients.
    StopAccepting,
    /// Alone again: accept on, and let who is here stay.
    ServeAlone,
    /// Let clients go between two statements: the new one takes them.
    SendAway,
    /// Go on with the clients of the new process, which is dead.
    TakeBack,
    /// Kill the new process, and tell when it is gone.
    Kill,
    /// The service is the new one's: leave once all is answered.
    Leave,
    Tell(Told),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Told {
    Asked,
    /// One is under way.
    Busy,
    Committed,
    Done,
    Failed(String),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Old {
    pub phase: Phase,
    pub times: Times,
    until: Timestamp,
    /// When the new one is next told that this one lives, on probation.
    beats_at: Timestamp,
    now: Timestamp,
    input: Option<Input>,
    /// This process is to leave once no new one is in its way.
    leaving: bool,
}

/// In this order; each takes the input where it is its own.
const RULES: [Rule<Old, Effect>; 12] = [
    Old::refuse_a_second,
    Old::start,
    Old::leave,
    Old::send_state,
    Old::commit,
    Old::taken,
    Old::proven,
    Old::beat,
    Old::gone,
    Old::fence,
    Old::say_beat,
    Old::pass_over,
];

/// So many signs of life go to the new process in the time after which it is silent itself.
const BEATS: f64 = 10.0;

impl Old {
    pub fn new(times: Times) -> Old {
        Old {
            phase: Phase::Serving,
            times,
            until: Timestamp(u64::MAX),
            beats_at: Timestamp(u64::MAX),
            now: Timestamp(0),
            input: None,
            leaving: false,
        }
    }

    pub fn next_at(&self) -> Timestamp {
        self.until.min(self.beats_at)
    }

    pub fn take(&mut self, now: Timestamp, input: Input) -> Vec<Effect> {
        (self.now, self.input) = (now, Some(input));
        go_through(&RULES, self)
    }

    /// Counts all times from now on: what a checker of the protocol tells states apart by must not grow with the clock.
    pub fn rebase(&mut self) {
        if self.until < Timestamp(u64::MAX) {
            self.until = Timestamp(0) + (self.until - self.now);
        }
        if self.beats_at < Timestamp(u64::MAX) {
            self.beats_at = Timestamp(0) + (self.beats_at - self.now);
        }
        self.now = Timestamp(0);
    }

    /// The new process serves beside this one.
    pub fn is_shared(&self) -> bool {
        matches!(self.phase, Phase::Committed | Phase::Standby | Phase::Done)
    }

    fn go(&mut self, phase: Phase, within: Option<TimeSpan>) {
        if phase != Phase::Standby {
            self.beats_at = Timestamp(u64::MAX);
        }
        self.phase = phase;
        self.until = within.map_or(Timestamp(u64::MAX), |w| self.now + w);
        self.input = None;
    }

    fn is(&self, phase: Phase, input: &Input) -> bool {
        self.phase == phase && self.input.as_ref() == Some(input)
    }

    fn refuse_a_second(&mut self) -> Option<Vec<Effect>> {
        if self.input != Some(Input::Ask) || (self.phase == Phase::Serving && !self.leaving) {
            return None;
        }
        self.input = None;
        Some(vec![Effect::Tell(Told::Busy)])
    }

    fn start(&mut self) -> Option<Vec<Effect>> {
        if !self.is(Phase::Serving, &Input::Ask) {
            return None;
        }
        self.go(Phase::Offered, Some(self.times.hello));
        Some(vec![Effect::Start, Effect::Tell(Told::Asked)])
    }

    /// Before the commit the new one is withdrawn, for this process is told to end the service; behind it the service
    /// is the new one's, and this process leaves without it.
    fn leave(&mut self) -> Option<Vec<Effect>> {
        if self.input != Some(Input::Leave) {
            return None;
        }
        self.input = None;
        self.leaving = true;
        match self.phase {
            Phase::Offered | Phase::Sent => {
                self.go(Phase::Fencing { resumes: false }, None);
                let why = "this process was told to leave".to_owned();
                Some(vec![Effect::Kill, Effect::Tell(Told::Failed(why))])
            }
            // What is still open here may take long; newcomers don't wait for it.
            Phase::Committed | Phase::Standby => Some(vec![
                Effect::StopAccepting,
                Effect::Say(HandoverMessage::AcceptClients),
            ]),
            _ => Some(Vec::new()),
        }
    }

    fn send_state(&mut self) -> Option<Vec<Effect>> {
        if !self.is(
            Phase::Offered,
            &Input::Heard(HandoverMessage::Hello { version: VERSION }),
        ) {
            return None;
        }
        self.go(Phase::Sent, Some(self.times.ready));
        Some(vec![Effect::SendState])
    }

    /// The new one gets clients from here on. That this one accepts for it leaves no moment in which a client is known
    /// to a process alone that may be killed on probation.
    fn commit(&mut self) -> Option<Vec<Effect>> {
        if !self.is(Phase::Sent, &Input::Heard(HandoverMessage::Ready)) {
            return None;
        }
        self.go(Phase::Committed, Some(self.times.taken));
        let say = Effect::Say(HandoverMessage::Commit);
        Some(vec![Effect::ServeBeside, say, Effect::Tell(Told::Committed)])
    }

    fn taken(&mut self) -> Option<Vec<Effect>> {
        if !self.is(
            Phase::Committed,
            &Input::Heard(HandoverMessage::CommitAcknowledged),
        ) {
            return None;
        }
        self.go(Phase::Standby, Some(self.times.beat));
        self.beats_at = self.now;
        Some(vec![Effect::SendAway])
    }

    fn proven(&mut self) -> Option<Vec<Effect>> {
        if !self.is(Phase::Standby, &Input::Heard(HandoverMessage::ProbationPassed)) {
            return None;
        }
        self.go(Phase::Done, None);
        Some(vec![
            Effect::StopAccepting,
            Effect::Tell(Told::Done),
            Effect::Leave,
        ])
    }

    fn beat(&mut self) -> Option<Vec<Effect>> {
        if !self.is(Phase::Standby, &Input::Heard(HandoverMessage::Heartbeat)) {
            return None;
        }
        self.go(Phase::Standby, Some(self.times.beat));
        Some(Vec::new())
    }

    /// Only an end that is certain lets this process go on with the other's clients.
    fn gone(&mut self) -> Option<Vec<Effect>> {
        let not_started = match self.input.as_ref()? {
            Input::Ended => None,
            Input::NotStarted(why) => Some(why.clone()),
            _ => return None,
        };
        let why = not_started.unwrap_or_else(|| "the new process ended".to_owned());
        let failed = Effect::Tell(Told::Failed(why));
        let phase = self.phase;
        let alone = matches!(
            phase,
            Phase::Committed | Phase::Standby | Phase::Fencing { resumes: true }
        );
        let effects = match phase {
            // Its end was told of when it was decided on.
            Phase::Fencing { .. } => Vec::new(),
            Phase::Serving | Phase::Done => {
                self.input = None;
                return Some(Vec::new());
            }
            _ => vec![failed],
        };
        self.go(Phase::Serving, None);
        let again = alone.then_some([Effect::ServeAlone, Effect::TakeBack]);
        Some(again.into_iter().flatten().chain(effects).collect())
    }

    /// What isn't in time, or makes no sense here: the new one may hang, or be none of ours. It must be gone before
    /// anything else, for it may accept clients at any moment.
    fn fence(&mut self) -> Option<Vec<Effect>> {
        let why = match self.input.as_ref()? {
            Input::Time if self.now < self.until => return None,
            Input::Time => format!("the new process was silent while {:?}", self.phase),
            Input::Garbled => "the new process sent what can't be read".to_owned(),
            Input::Heard(HandoverMessage::LoadFailed(why)) => format!("the new process can't serve: {why}"),
            Input::Heard(HandoverMessage::Hello { version }) if *version != VERSION => {
                format!("the new process speaks version {version} of the takeover, this one {VERSION}")
            }
            // What binds both may be on its way whatever else goes on.
            Input::Heard(HandoverMessage::CoServing(_) | HandoverMessage::ConnectionMissing(_)) => {
                return None
            }
            Input::Heard(other) => format!("the new process said {other:?} while {:?}", self.phase),
            _ => return None,
        };
        let resumes = match self.phase {
            Phase::Offered | Phase::Sent => false,
            Phase::Committed | Phase::Standby => true,
            Phase::Serving | Phase::Fencing { .. } | Phase::Done => return None,
        };
        self.go(Phase::Fencing { resumes }, None);
        Some(vec![Effect::Kill, Effect::Tell(Told::Failed(why))])
    }

    fn say_beat(&mut self) -> Option<Vec<Effect>> {
        if !self.is(Phase::Standby, &Input::Time) || self.now < self.beats_at {
            return None;
        }
        self.beats_at = self.now + (self.times.beat * (1.0 / BEATS)).max(TimeSpan::millis(1));
        Some(vec![Effect::Say(HandoverMessage::Heartbeat)])
    }

    fn pass_over(&mut self) -> Option<Vec<Effect>> {
        self.input.take().map(|_| Vec::new())
    }
}
