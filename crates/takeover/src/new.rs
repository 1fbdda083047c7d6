//! The side of the new process. Accepts nothing before it is told that the old one has stopped.

use crate::message::{Message, VERSION};
use crate::{go_through, Rule};
use asterlatch::time::{Point, Span};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    Started,
    /// It has state and listener, and could serve.
    Loaded,
    /// It accepts; the old one waits beside it.
    Probation,
    /// The service is its own.
    Owner,
    /// It never served, and ends.
    Over,
}

/// How long the old one may take, how often it is told that this one lives, and how long that goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Times {
    pub patience: Span,
    pub beat: Span,
    pub probation: Span,
}

impl Default for Times {
    fn default() -> Times {
        Times {
            patience: Span::millis(20_000),
            beat: Span::millis(1000),
            probation: Span::millis(10_000),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// It runs.
    Start,
    Heard(Message),
    Garbled,
    /// State and listener came, and this process could serve with them, or why not.
    Loaded(Result<(), String>),
    /// The old process is gone.
    Ended,
    Time,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    Say(Message),
    Load(Vec<u8>),
    Accept,
    /// End this process, which never served.
    End(String),
    Tell(&'static str),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct New {
    pub phase: Phase,
    times: Times,
    until: Point,
    proven_at: Point,
    now: Point,
    input: Option<Input>,
}

const RULES: [Rule<New, Effect>; 8] = [
    New::greet,
    New::load,
    New::ready,
    New::accept,
    New::outlive,
    New::prove,
    New::give_up,
    New::pass_over,
];

impl New {
    pub fn begin(times: Times) -> New {
        New {
            phase: Phase::Started,
            times,
            until: Point(u64::MAX),
            proven_at: Point(u64::MAX),
            now: Point(0),
            input: None,
        }
    }

    pub fn next_at(&self) -> Point {
        self.until
    }

    pub fn take(&mut self, now: Point, input: Input) -> Vec<Effect> {
        (self.now, self.input) = (now, Some(input));
        go_through(&RULES, self)
    }

    /// Counts all times from now on: what a checker of the protocol tells states apart by must not grow with the clock.
    pub fn rebase(&mut self) {
        if self.until < Point(u64::MAX) {
            self.until = Point(0) + (self.until - self.now);
        }
        if self.proven_at < Point(u64::MAX) {
            self.proven_at = Point(0) + (self.proven_at - self.now);
        }
        self.now = Point(0);
    }

    fn go(&mut self, phase: Phase, within: Option<Span>) {
        self.phase = phase;
        self.until = within.map_or(Point(u64::MAX), |w| self.now + w);
        self.input = None;
    }

    fn greet(&mut self) -> Option<Vec<Effect>> {
        if self.phase != Phase::Started || self.input != Some(Input::Start) {
            return None;
        }
        self.go(Phase::Started, Some(self.times.patience));
        Some(vec![Effect::Say(Message::Hello { version: VERSION })])
    }

    fn load(&mut self) -> Option<Vec<Effect>> {
        let started = self.phase == Phase::Started;
        let state = |i: &mut Input| started && matches!(i, Input::Heard(Message::State(_)));
        match self.input.take_if(state)? {
            Input::Heard(Message::State(bytes)) => Some(vec![Effect::Load(bytes)]),
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
                let say = Effect::Say(Message::Unfit(why.clone()));
                Some(vec![say, Effect::End(why)])
            }
            _ => {
                self.go(Phase::Loaded, Some(self.times.patience));
                Some(vec![Effect::Say(Message::Ready)])
            }
        }
    }

    fn accept(&mut self) -> Option<Vec<Effect>> {
        if self.phase != Phase::Loaded || self.input != Some(Input::Heard(Message::Commit)) {
            return None;
        }
        self.go(Phase::Probation, Some(self.times.beat));
        self.proven_at = self.now + self.times.probation;
        let taken = Effect::Say(Message::Taken);
        Some(vec![Effect::Accept, taken, Effect::Tell("accepts, on probation")])
    }

    /// The old one died on the way: whoever accepts goes on.
    fn outlive(&mut self) -> Option<Vec<Effect>> {
        if self.phase != Phase::Probation || !matches!(self.input, Some(Input::Ended | Input::Garbled)) {
            return None;
        }
        self.go(Phase::Owner, None);
        Some(vec![Effect::Tell(
            "the former process is gone, the service is this one's",
        )])
    }

    fn prove(&mut self) -> Option<Vec<Effect>> {
        if self.phase != Phase::Probation || self.input != Some(Input::Time) || self.now < self.until {
            return None;
        }
        if self.now < self.proven_at {
            self.go(Phase::Probation, Some(self.times.beat));
            return Some(vec![Effect::Say(Message::Beat)]);
        }
        self.go(Phase::Owner, None);
        let proven = Effect::Say(Message::Proven);
        Some(vec![proven, Effect::Tell("proven, the service is this one's")])
    }

    /// Nothing was told to accept, so nothing is accepted: the old one serves, or nobody does, as without this one.
    fn give_up(&mut self) -> Option<Vec<Effect>> {
        if !matches!(self.phase, Phase::Started | Phase::Loaded) {
            return None;
        }
        let why = match self.input.as_ref()? {
            Input::Ended => "the former process is gone before the commit",
            Input::Garbled => "the former process sent what can't be read",
            Input::Heard(Message::Joint(_)) => return None,
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
