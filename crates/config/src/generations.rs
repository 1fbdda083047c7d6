//! Which meaning is in force. Reads, figures and time come in; what to take over, to keep and to tell goes out. The
//! rules are gone through in their order until none fires. Nothing here reads a file or a clock.
//!
//! A generation is *staged* by a good read, *on probation* once it is in force, and then *kept*, or *gone back* from
//! to the one kept last. What was gone back from isn't taken again until a read brings another meaning.

use crate::probation::{Judge, Sample, Terms, Verdict};
use crate::registry::Want;
use asterlatch::time::{TimeSpan, Timestamp};

/// A meaning with the number it was given here, and its hash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Generation<M> {
    pub number: u64,
    pub hash: String,
    pub meaning: M,
}

/// What the host knows of a change that the rules go by.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// Settings that are taken over now, and at the next start.
    pub live: usize,
    pub at_start: usize,
    /// Wants that the live ones may cause.
    pub may_want: Vec<Want>,
}

/// A read of the file, told when it is over: reads may overtake one another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read<M> {
    Good { hash: String, meaning: M },
    Faulty { errors: usize },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect<M> {
    /// Put this meaning in force.
    TakeOver(M),
    /// Store it as the one to start from.
    Keep(Generation<M>),
    Tell(Told),
}

/// What happened, for log and counters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    Same,
    Rejected {
        errors: usize,
    },
    Overtaken,
    /// It was gone back from before.
    Refused {
        why: Want,
    },
    InForce {
        number: u64,
        live: usize,
        at_start: usize,
    },
    Kept {
        number: u64,
    },
    GoneBack {
        from: u64,
        to: u64,
        why: Want,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    Kept,
    Probation { until: Timestamp },
}

/// Probation that lasts this long while nothing is asked of the driver proves nothing; it goes on for as many times.
const LONGEST_PROBATION: u64 = 4;

pub struct Generations<M> {
    kept: Generation<M>,
    in_force: Generation<M>,
    phase: Phase,
    began: Timestamp,
    /// The newest read that counted, and those given out.
    newest: u64,
    given_out: u64,
    arrived: Option<(u64, Read<M>)>,
    staged: Option<(String, M)>,
    /// The meaning that was gone back from, and for which want.
    refused: Option<(String, Want)>,
    judge: Judge,
    next_number: u64,
    /// How two meanings differ, and the terms that one states.
    compare: fn(&M, &M) -> Difference,
    terms: fn(&M) -> Terms,
}

impl<M: Clone> Generations<M> {
    /// Starts with what is in force from the first moment: nothing came before it, so nothing judges it.
    pub fn new(
        number: u64,
        hash: String,
        meaning: M,
        compare: fn(&M, &M) -> Difference,
        terms: fn(&M) -> Terms,
    ) -> Generations<M> {
        let first = Generation {
            number,
            hash,
            meaning,
        };
        Generations {
            kept: first.clone(),
            in_force: first,
            phase: Phase::Kept,
            began: Timestamp(0),
            newest: 0,
            given_out: 0,
            arrived: None,
            staged: None,
            refused: None,
            judge: Judge::default(),
            next_number: number + 1,
            compare,
            terms,
        }
    }

    pub fn in_force(&self) -> &Generation<M> {
        &self.in_force
    }

    pub fn is_on_probation(&self) -> bool {
        self.phase != Phase::Kept
    }

    /// The ticket of a read that begins now.
    pub fn begin_read(&mut self) -> u64 {
        self.given_out += 1;
        self.given_out
    }

    pub fn read_ended(&mut self, now: Timestamp, ticket: u64, read: Read<M>) -> Vec<Effect<M>> {
        self.arrived = Some((ticket, read));
        self.go(now)
    }

    /// What the driver counts, from time to time; what was there before a change is judged by it too.
    pub fn counted(&mut self, now: Timestamp, sample: Sample) -> Vec<Effect<M>> {
        self.judge.note(now, sample);
        self.go(now)
    }

    pub fn time_reached(&mut self, now: Timestamp) -> Vec<Effect<M>> {
        self.go(now)
    }

    /// When time alone may change something.
    pub fn next_at(&self) -> Option<Timestamp> {
        match self.phase {
            Phase::Probation { until } => Some(until),
            Phase::Kept => None,
        }
    }

    fn go(&mut self, now: Timestamp) -> Vec<Effect<M>> {
        let mut effects = Vec::new();
        while let Some(more) = self.rule(now) {
            effects.extend(more);
        }
        effects
    }

    /// The first rule whose condition holds.
    fn rule(&mut self, now: Timestamp) -> Option<Vec<Effect<M>>> {
        self.overtaken()
            .or_else(|| self.rejected())
            .or_else(|| self.refused_before())
            .or_else(|| self.same())
            .or_else(|| self.stage())
            .or_else(|| self.take_over(now))
            .or_else(|| self.go_back(now))
            .or_else(|| self.prolong(now))
            .or_else(|| self.keep(now))
    }

    /// A read that began before one that has ended is of an older file.
    fn overtaken(&mut self) -> Option<Vec<Effect<M>>> {
        let (ticket, _) = self.arrived.as_ref()?;
        if *ticket > self.newest {
            return None;
        }
        self.arrived = None;
        Some(vec![Effect::Tell(Told::Overtaken)])
    }

    /// A faulty file changes nothing, also not what was staged or is on probation. It doesn't make a good read that
    /// began before it old: the last valid one counts.
    fn rejected(&mut self) -> Option<Vec<Effect<M>>> {
        let (_, Read::Faulty { errors }) = self.arrived.as_ref()? else {
            return None;
        };
        let errors = *errors;
        self.arrived = None;
        Some(vec![Effect::Tell(Told::Rejected { errors })])
    }

    /// What did harm isn't taken a second time: the file must say something else first.
    fn refused_before(&mut self) -> Option<Vec<Effect<M>>> {
        let (ticket, Read::Good { hash, .. }) = self.arrived.as_ref()? else {
            return None;
        };
        let (refused, why) = self.refused.as_ref()?;
        if refused != hash {
            return None;
        }
        let why = *why;
        self.newest = *ticket;
        self.arrived = None;
        Some(vec![Effect::Tell(Told::Refused { why })])
    }

    fn same(&mut self) -> Option<Vec<Effect<M>>> {
        let (ticket, Read::Good { hash, .. }) = self.arrived.as_ref()? else {
            return None;
        };
        if *hash != self.in_force.hash {
            return None;
        }
        self.newest = *ticket;
        // The file says again what is in force: what was refused since then may be tried again later.
        self.refused = None;
        self.arrived = None;
        Some(vec![Effect::Tell(Told::Same)])
    }

    fn stage(&mut self) -> Option<Vec<Effect<M>>> {
        match self.arrived.take()? {
            (ticket, Read::Good { hash, meaning }) => {
                self.newest = ticket;
                self.staged = Some((hash, meaning));
                Some(Vec::new())
            }
            faulty => {
                self.arrived = Some(faulty);
                None
            }
        }
    }

    /// What is staged goes in force. A change that can't do harm, for it lies in no setting that anything is watched
    /// of, or because the operators want no probation, is kept at once. One that comes while another is on probation
    /// takes its place, and both are judged against the one kept last.
    fn take_over(&mut self, now: Timestamp) -> Option<Vec<Effect<M>>> {
        let (hash, meaning) = self.staged.take()?;
        let next = Generation {
            number: self.next_number,
            hash,
            meaning,
        };
        self.next_number += 1;
        self.refused = None;
        let step = (self.compare)(&self.in_force.meaning, &next.meaning);
        let whole = (self.compare)(&self.kept.meaning, &next.meaning);
        let probation = (self.terms)(&next.meaning).probation;
        let was_kept = self.phase == Phase::Kept;
        self.in_force = next;
        let told = Told::InForce {
            number: self.in_force.number,
            live: step.live,
            at_start: step.at_start,
        };
        let mut effects = vec![
            Effect::TakeOver(self.in_force.meaning.clone()),
            Effect::Tell(told),
        ];
        if whole.may_want.is_empty() || probation == TimeSpan(0) {
            effects.extend(self.keep_now());
            return Some(effects);
        }
        if was_kept {
            self.judge.change(now);
            self.began = now;
        }
        self.judge.may_want(whole.may_want);
        self.phase = Phase::Probation {
            until: now + probation,
        };
        Some(effects)
    }

    fn terms_in_force(&self) -> Terms {
        (self.terms)(&self.in_force.meaning)
    }

    fn go_back(&mut self, now: Timestamp) -> Option<Vec<Effect<M>>> {
        if self.phase == Phase::Kept {
            return None;
        }
        // By the terms of both: a file must not talk itself out of its probation.
        let terms = self.terms_in_force().stricter((self.terms)(&self.kept.meaning));
        let Verdict::Harm(why) = self.judge.verdict(now, terms) else {
            return None;
        };
        let from = self.in_force.number;
        self.refused = Some((self.in_force.hash.clone(), why));
        self.in_force = self.kept.clone();
        self.phase = Phase::Kept;
        let to = self.kept.number;
        Some(vec![
            Effect::TakeOver(self.kept.meaning.clone()),
            Effect::Tell(Told::GoneBack { from, to, why }),
        ])
    }

    /// Nothing was asked of the driver, so nothing was seen.
    fn prolong(&mut self, now: Timestamp) -> Option<Vec<Effect<M>>> {
        let Phase::Probation { until } = self.phase else {
            return None;
        };
        let probation = self.terms_in_force().probation;
        let longest = self.began + TimeSpan(probation.0.saturating_mul(LONGEST_PROBATION));
        if now < until || now >= longest || self.judge.has_seen_demand() {
            return None;
        }
        self.phase = Phase::Probation {
            until: (now + probation).min(longest),
        };
        Some(Vec::new())
    }

    fn keep(&mut self, now: Timestamp) -> Option<Vec<Effect<M>>> {
        match self.phase {
            Phase::Probation { until } if now >= until => Some(self.keep_now()),
            _ => None,
        }
    }

    fn keep_now(&mut self) -> Vec<Effect<M>> {
        self.phase = Phase::Kept;
        self.kept = self.in_force.clone();
        let number = self.kept.number;
        vec![
            Effect::Keep(self.kept.clone()),
            Effect::Tell(Told::Kept { number }),
        ]
    }
}
