//! Which meaning is in force. Reads, figures and time come in; what to take over, to keep and to tell goes out. The
//! rules are gone through in their order until none fires. Nothing here reads a file or a clock.
//!
//! A generation is *staged* by a good read, *on probation* once it is in force, and then *kept*, or *gone back* from
//! to the one kept last. What was gone back from isn't taken again until a read brings another meaning.

use crate::probation::{ProbationCriteria, ProbationMonitor, Sample, Verdict};
use crate::schema::Resource;
use asterlatch::time::{TimeSpan, Timestamp};

/// A meaning with the number it was given here, and its hash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Generation<M> {
    pub number: u64,
    pub hash: String,
    pub settings: M,
}

/// What the host knows of a change that the rules go by.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// Settings that are taken over now, and at the next start.
    pub live: usize,
    pub at_next_start: usize,
    /// Wants that the live ones may cause.
    pub may_exhaust: Vec<Resource>,
}

/// A read of the file, told when it is over: reads may overtake one another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome<M> {
    Valid { hash: String, settings: M },
    Invalid { error_count: usize },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command<M> {
    /// Put this meaning in force.
    Apply(M),
    /// Store it as the one to start from.
    Store(Generation<M>),
    Report(Decision),
}

/// What happened, for log and counters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    Unchanged,
    Rejected {
        error_count: usize,
    },
    Superseded,
    /// It was gone back from before.
    AlreadyRolledBack {
        resource: Resource,
    },
    Applied {
        number: u64,
        live: usize,
        at_next_start: usize,
    },
    Confirmed {
        number: u64,
    },
    RolledBack {
        from: u64,
        to: u64,
        resource: Resource,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    Confirmed,
    Probation { until: Timestamp },
}

/// Probation that lasts this long while nothing is asked of the driver proves nothing; it goes on for as many times.
const LONGEST_PROBATION: u64 = 4;

pub struct Generations<M> {
    confirmed: Generation<M>,
    in_force: Generation<M>,
    phase: Phase,
    began: Timestamp,
    /// The newest read that counted, and those given out.
    newest: u64,
    given_out: u64,
    arrived: Option<(u64, ReadOutcome<M>)>,
    staged: Option<(String, M)>,
    /// The meaning that was gone back from, and for which want.
    refused: Option<(String, Resource)>,
    monitor: ProbationMonitor,
    next_number: u64,
    /// How two meanings differ, and the terms that one states.
    compare: fn(&M, &M) -> Difference,
    criteria: fn(&M) -> ProbationCriteria,
}

impl<M: Clone> Generations<M> {
    /// Starts with what is in force from the first moment: nothing came before it, so nothing judges it.
    pub fn new(
        number: u64,
        hash: String,
        settings: M,
        compare: fn(&M, &M) -> Difference,
        criteria: fn(&M) -> ProbationCriteria,
    ) -> Generations<M> {
        let first = Generation {
            number,
            hash,
            settings,
        };
        Generations {
            confirmed: first.clone(),
            in_force: first,
            phase: Phase::Confirmed,
            began: Timestamp(0),
            newest: 0,
            given_out: 0,
            arrived: None,
            staged: None,
            refused: None,
            monitor: ProbationMonitor::default(),
            next_number: number + 1,
            compare,
            criteria,
        }
    }

    pub fn applied(&self) -> &Generation<M> {
        &self.in_force
    }

    pub fn is_on_probation(&self) -> bool {
        self.phase != Phase::Confirmed
    }

    /// The ticket of a read that begins now.
    pub fn begin_read(&mut self) -> u64 {
        self.given_out += 1;
        self.given_out
    }

    pub fn on_read(&mut self, now: Timestamp, ticket: u64, read: ReadOutcome<M>) -> Vec<Command<M>> {
        self.arrived = Some((ticket, read));
        self.go(now)
    }

    /// What the driver counts, from time to time; what was there before a change is judged by it too.
    pub fn on_sample(&mut self, now: Timestamp, sample: Sample) -> Vec<Command<M>> {
        self.monitor.record(now, sample);
        self.go(now)
    }

    pub fn advance_to(&mut self, now: Timestamp) -> Vec<Command<M>> {
        self.go(now)
    }

    /// When time alone may change something.
    pub fn next_at(&self) -> Option<Timestamp> {
        match self.phase {
            Phase::Probation { until } => Some(until),
            Phase::Confirmed => None,
        }
    }

    fn go(&mut self, now: Timestamp) -> Vec<Command<M>> {
        let mut commands = Vec::new();
        while let Some(more) = self.rule(now) {
            commands.extend(more);
        }
        commands
    }

    /// The first rule whose condition holds.
    fn rule(&mut self, now: Timestamp) -> Option<Vec<Command<M>>> {
        self.superseded()
            .or_else(|| self.rejected())
            .or_else(|| self.already_rolled_back())
            .or_else(|| self.unchanged())
            .or_else(|| self.stage())
            .or_else(|| self.apply(now))
            .or_else(|| self.roll_back(now))
            .or_else(|| self.prolong(now))
            .or_else(|| self.confirm(now))
    }

    /// A read that began before one that has ended is of an older file.
    fn superseded(&mut self) -> Option<Vec<Command<M>>> {
        let (ticket, _) = self.arrived.as_ref()?;
        if *ticket > self.newest {
            return None;
        }
        self.arrived = None;
        Some(vec![Command::Report(Decision::Superseded)])
    }

    /// A faulty file changes nothing, also not what was staged or is on probation. It doesn't make a good read that
    /// began before it old: the last valid one counts.
    fn rejected(&mut self) -> Option<Vec<Command<M>>> {
        let (_, ReadOutcome::Invalid { error_count }) = self.arrived.as_ref()? else {
            return None;
        };
        let error_count = *error_count;
        self.arrived = None;
        Some(vec![Command::Report(Decision::Rejected { error_count })])
    }

    /// What did harm isn't taken a second time: the file must say something else first.
    fn already_rolled_back(&mut self) -> Option<Vec<Command<M>>> {
        let (ticket, ReadOutcome::Valid { hash, .. }) = self.arrived.as_ref()? else {
            return None;
        };
        let (refused, resource) = self.refused.as_ref()?;
        if refused != hash {
            return None;
        }
        let resource = *resource;
        self.newest = *ticket;
        self.arrived = None;
        Some(vec![Command::Report(Decision::AlreadyRolledBack { resource })])
    }

    fn unchanged(&mut self) -> Option<Vec<Command<M>>> {
        let (ticket, ReadOutcome::Valid { hash, .. }) = self.arrived.as_ref()? else {
            return None;
        };
        if *hash != self.in_force.hash {
            return None;
        }
        self.newest = *ticket;
        // The file says again what is in force: what was refused since then may be tried again later.
        self.refused = None;
        self.arrived = None;
        Some(vec![Command::Report(Decision::Unchanged)])
    }

    fn stage(&mut self) -> Option<Vec<Command<M>>> {
        match self.arrived.take()? {
            (ticket, ReadOutcome::Valid { hash, settings }) => {
                self.newest = ticket;
                self.staged = Some((hash, settings));
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
    fn apply(&mut self, now: Timestamp) -> Option<Vec<Command<M>>> {
        let (hash, settings) = self.staged.take()?;
        let next = Generation {
            number: self.next_number,
            hash,
            settings,
        };
        self.next_number += 1;
        self.refused = None;
        let step = (self.compare)(&self.in_force.settings, &next.settings);
        let whole = (self.compare)(&self.confirmed.settings, &next.settings);
        let probation = (self.criteria)(&next.settings).probation;
        let was_confirmed = self.phase == Phase::Confirmed;
        self.in_force = next;
        let decision = Decision::Applied {
            number: self.in_force.number,
            live: step.live,
            at_next_start: step.at_next_start,
        };
        let mut commands = vec![
            Command::Apply(self.in_force.settings.clone()),
            Command::Report(decision),
        ];
        if whole.may_exhaust.is_empty() || probation == TimeSpan(0) {
            commands.extend(self.confirm_now());
            return Some(commands);
        }
        if was_confirmed {
            self.monitor.begin(now);
            self.began = now;
        }
        self.monitor.watch(whole.may_exhaust);
        self.phase = Phase::Probation {
            until: now + probation,
        };
        Some(commands)
    }

    fn criteria_in_force(&self) -> ProbationCriteria {
        (self.criteria)(&self.in_force.settings)
    }

    fn roll_back(&mut self, now: Timestamp) -> Option<Vec<Command<M>>> {
        if self.phase == Phase::Confirmed {
            return None;
        }
        // By the terms of both: a file must not talk itself out of its probation.
        let criteria = self
            .criteria_in_force()
            .stricter((self.criteria)(&self.confirmed.settings));
        let Verdict::Harmful(resource) = self.monitor.verdict(now, criteria) else {
            return None;
        };
        let from = self.in_force.number;
        self.refused = Some((self.in_force.hash.clone(), resource));
        self.in_force = self.confirmed.clone();
        self.phase = Phase::Confirmed;
        let to = self.confirmed.number;
        Some(vec![
            Command::Apply(self.confirmed.settings.clone()),
            Command::Report(Decision::RolledBack { from, to, resource }),
        ])
    }

    /// Nothing was asked of the driver, so nothing was seen.
    fn prolong(&mut self, now: Timestamp) -> Option<Vec<Command<M>>> {
        let Phase::Probation { until } = self.phase else {
            return None;
        };
        let probation = self.criteria_in_force().probation;
        let longest = self.began + TimeSpan(probation.0.saturating_mul(LONGEST_PROBATION));
        if now < until || now >= longest || self.monitor.has_seen_demand() {
            return None;
        }
        self.phase = Phase::Probation {
            until: (now + probation).min(longest),
        };
        Some(Vec::new())
    }

    fn confirm(&mut self, now: Timestamp) -> Option<Vec<Command<M>>> {
        match self.phase {
            Phase::Probation { until } if now >= until => Some(self.confirm_now()),
            _ => None,
        }
    }

    fn confirm_now(&mut self) -> Vec<Command<M>> {
        self.phase = Phase::Confirmed;
        self.confirmed = self.in_force.clone();
        let number = self.confirmed.number;
        vec![
            Command::Store(self.confirmed.clone()),
            Command::Report(Decision::Confirmed { number }),
        ]
    }
}
