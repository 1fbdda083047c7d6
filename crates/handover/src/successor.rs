//! The side of the new process. On probation it serves whom the old one hands over; it accepts clients itself once it is
//! proven, or where the old one leaves, is gone or has fallen silent.

use crate::message::{HandoverMessage, VERSION};
use crate::{go_through, Rule};
use asterlatch::time::{TimeSpan, Timestamp};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    Started,
    /// It has state and listener, and could serve.
    Loaded,
    /// It serves; the old one accepts for it.
    Probation,
    /// The service is its own.
    Owner,
    /// It never served, and ends.
    Over,
}

/// How long the old one may take, how long it may be silent on probation before this one accepts in its place, how often
/// it is told that this one lives, and how long that goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Times {
    pub patience: TimeSpan,
    pub silence: TimeSpan,
    pub beat: TimeSpan,
    pub probation: TimeSpan,
}

impl Default for Times {
    fn default() -> Times {
        Times {
            patience: TimeSpan::millis(20_000),
            silence: TimeSpan::millis(5000),
            beat: TimeSpan::millis(1000),
            probation: TimeSpan::millis(10_000),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// It runs.
    Start,
    Heard(HandoverMessage),
    Garbled,
    /// State and listener came, and this process could serve with them, or why not.
    Loaded(Result<(), String>),
    /// The old process is gone.
    Ended,
    Time,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    Say(HandoverMessage),
    Load(Vec<u8>),
    /// Serve whom the old one hands over.
    Serve,
    /// Accept clients.
    Accept,
    /// End this process, which never served.
    End(String),
    Tell(&'static str),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct New {
    pub phase: Phase,
    times: Times,
    until: Timestamp,
    /// When the next sign of life is due here, the last of all, and the next of the old one.
    beats_at: Timestamp,
    proven_at: Timestamp,
    silent_at: Timestamp,
    accepts: bool,
    now: Timestamp,
    input: Option<Input>,
}

const RULES: [Rule<New, Effect>; 12] = [
    New::greet,
    New::load,
    New::ready,
    New::serve,
    New::hear,
    New::replace,
    New::outlive,
    New::stand_in,
    New::prove,
    New::say_beat,
    New::give_up,
    New::pass_over,
];

impl New {
    pub fn begin(times: Times) -> New {
        New {
            phase: Phase::Started,
            times,
            until: Timestamp(u64::MAX),
            beats_at: Timestamp(u64::MAX),
            proven_at: Timestamp(u64::MAX),
            silent_at: Timestamp(u64::MAX),
            accepts: false,
            now: Timestamp(0),
            input: None,
        }
    }

    pub fn next_at(&self) -> Timestamp {
        if self.phase != Phase::Probation {
            return self.until;
        }
        let silent_at = if self.accepts {
            Timestamp(u64::MAX)
        } else {
            self.silent_at
        };
        self.beats_at.min(self.proven_at).min(silent_at)
    }

    pub fn take(&mut self, now: Timestamp, input: Input) -> Vec<Effect> {
        (self.now, self.input) = (now, Some(input));
        go_through(&RULES, self)
    }

    /// Counts all times from now on: what a checker of the protocol tells states apart by must not grow with the clock.
    pub fn rebase(&mut self) {
        let now = self.now;
        let times = [
            &mut self.until,
            &mut self.beats_at,
            &mut self.proven_at,
            &mut self.silent_at,
        ];
        for at in times.into_iter().filter(|at| **at < Timestamp(u64::MAX)) {
            *at = Timestamp(0) + (*at - now);
        }
        self.now = Timestamp(0);
    }

    fn go(&mut self, phase: Phase, within: Option<TimeSpan>) {
        self.phase = phase;
        self.until = within.map_or(Timestamp(u64::MAX), |w| self.now + w);
        self.input = None;
    }

    fn greet(&mut self) -> Option<Vec<Effect>> {
        if self.phase != Phase::Started || self.input != Some(Input::Start) {
            return None;
        }
        self.go(Phase::Started, Some(self.times.patience));
        Some(vec![Effect::Say(HandoverMessage::Hello { version: VERSION })])
    }

    fn load(&mut self) -> Option<Vec<Effect>> {
        let started = self.phase == Phase::Started;
        let state = |i: &mut Input| started && matches!(i, Input::Heard(HandoverMessage::State(_)));
        match self.input.take_if(state)? {
            Input::Heard(HandoverMessage::State(bytes)) => Some(vec![Effect::Load(bytes)]),
            _ => None,
        }
    }

    fn ready(&mut self) -> Option<Vec<Effect>> {
        if self.phase != Phase::Started {
            return None;
        }
        match self.input.take_if(|i| matches!(i, Input::Loaded(_)))? {
            Input::Loaded(Err(why)) => {
                self.go(Phase::Over, None);
                let say = Effect::Say(HandoverMessage::LoadFailed(why.clone()));
                Some(vec![say, Effect::End(why)])
            }
            _ => {
                self.go(Phase::Loaded, Some(self.times.patience));
                Some(vec![Effect::Say(HandoverMessage::Ready)])
            }
        }
    }

    fn serve(&mut self) -> Option<Vec<Effect>> {
        if self.phase != Phase::Loaded || self.input != Some(Input::Heard(HandoverMessage::Commit)) {
            return None;
        }
        self.go(Phase::Probation, None);
        self.beats_at = self.now + self.times.beat;
        self.proven_at = self.now + self.times.probation;
        self.silent_at = self.now + self.times.silence;
        let taken = Effect::Say(HandoverMessage::CommitAcknowledged);
        Some(vec![Effect::Serve, taken, Effect::Tell("serves, on probation")])
    }

    fn hears(&self, message: &HandoverMessage) -> bool {
        let heard = matches!(&self.input, Some(Input::Heard(m)) if m == message);
        self.phase == Phase::Probation && heard
    }

    fn hear(&mut self) -> Option<Vec<Effect>> {
        if !self.hears(&HandoverMessage::Heartbeat) {
            return None;
        }
        self.input = None;
        self.silent_at = self.now + self.times.silence;
        Some(Vec::new())
    }

    /// Accepts from now on, where it doesn't yet.
    fn begin_to_accept(&mut self, why: &'static str) -> Vec<Effect> {
        let begins = !std::mem::replace(&mut self.accepts, true);
        let accept = begins.then_some(Effect::Accept);
        accept.into_iter().chain([Effect::Tell(why)]).collect()
    }

    /// The old one leaves before this one is proven.
    fn replace(&mut self) -> Option<Vec<Effect>> {
        if !self.hears(&HandoverMessage::AcceptClients) {
            return None;
        }
        self.input = None;
        Some(self.begin_to_accept("accepts, for the former process leaves"))
    }

    /// The old one died on the way: this one goes on.
    fn outlive(&mut self) -> Option<Vec<Effect>> {
        if self.phase != Phase::Probation || !matches!(self.input, Some(Input::Ended | Input::Garbled)) {
            return None;
        }
        self.go(Phase::Owner, None);
        Some(self.begin_to_accept("the former process is gone, the service is this one's"))
    }

    fn is_due(&self, at: Timestamp) -> bool {
        self.phase == Phase::Probation && self.input == Some(Input::Time) && self.now >= at
    }

    /// The old one hangs: newcomers would wait for as long as it does. Should it go on, both accept, which does no harm.
    fn stand_in(&mut self) -> Option<Vec<Effect>> {
        if self.accepts || !self.is_due(self.silent_at) {
            return None;
        }
        Some(self.begin_to_accept("accepts, for the former process is silent"))
    }

    fn prove(&mut self) -> Option<Vec<Effect>> {
        if !self.is_due(self.proven_at) {
            return None;
        }
        self.go(Phase::Owner, None);
        let mut effects = vec![Effect::Say(HandoverMessage::ProbationPassed)];
        effects.extend(self.begin_to_accept("proven, the service is this one's"));
        Some(effects)
    }

    fn say_beat(&mut self) -> Option<Vec<Effect>> {
        if !self.is_due(self.beats_at) {
            return None;
        }
        self.beats_at = self.now + self.times.beat;
        Some(vec![Effect::Say(HandoverMessage::Heartbeat)])
    }

    /// Nothing was told to serve, so nothing is served: the old one does, or nobody, as without this one.
    fn give_up(&mut self) -> Option<Vec<Effect>> {
        if !matches!(self.phase, Phase::Started | Phase::Loaded) {
            return None;
        }
        let why = match self.input.as_ref()? {
            Input::Ended => "the former process is gone before the commit",
            Input::Garbled => "the former process sent what can't be read",
            Input::Heard(HandoverMessage::CoServing(_)) => return None,
            Input::Heard(_) => "the former process said what makes no sense here",
            Input::Time if self.now >= self.until => "the former process was silent for too long",
            _ => return None,
        };
        self.go(Phase::Over, None);
        Some(vec![Effect::End(why.to_owned())])
    }

    fn pass_over(&mut self) -> Option<Vec<Effect>> {
        self.input.take().map(|_| Vec::new())
    }
}
