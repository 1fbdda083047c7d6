//! State machine that decides which settings are applied. Results of reads, samples of metrics and time come
//! in, commands go out. Rules are tried in order until none applies. Does no I/O and reads no clock.
//!
//! A generation is *staged* by a valid read, *on probation* once it is applied, and then *confirmed*, or
//! *rolled back* to the last confirmed one. Settings that were rolled back are not applied again until a read
//! brings others.

use crate::probation::{ProbationCriteria, ProbationMonitor, Sample, Verdict};
use crate::schema::Resource;
use asterlatch::time::{TimeSpan, Timestamp};

/// Settings with their number and hash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Generation<M> {
    pub number: u64,
    pub hash: String,
    pub settings: M,
}

/// How two settings differ, as far as the rules need it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// Number of differing settings that take effect at once.
    pub live: usize,
    /// Number of differing settings that take effect at the next start.
    pub at_next_start: usize,
    /// Resources that the live ones may exhaust.
    pub may_exhaust: Vec<Resource>,
}

/// Result of reading the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome<M> {
    Valid { hash: String, settings: M },
    Invalid { error_count: usize },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command<M> {
    /// Apply these settings.
    Apply(M),
    /// Store this generation as the one to start from.
    Store(Generation<M>),
    Report(Decision),
}

/// What was decided, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    Unchanged,
    Rejected {
        error_count: usize,
    },
    Superseded,
    /// The file still states settings that were rolled back.
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

/// Probation without demand proves nothing, so it is extended up to this multiple of its length.
const MAX_PROBATION_FACTOR: u64 = 4;

pub struct Generations<M> {
    confirmed: Generation<M>,
    applied: Generation<M>,
    phase: Phase,
    probation_began_at: Timestamp,
    /// Ticket of the newest valid read.
    newest_ticket: u64,
    last_ticket: u64,
    pending_read: Option<(u64, ReadOutcome<M>)>,
    staged: Option<(String, M)>,
    /// Hash of the settings that were rolled back, and the resource that they exhausted.
    rolled_back: Option<(String, Resource)>,
    monitor: ProbationMonitor,
    next_number: u64,
    /// How two settings differ, and the criteria that settings state.
    difference: fn(&M, &M) -> Difference,
    criteria: fn(&M) -> ProbationCriteria,
}

impl<M: Clone> Generations<M> {
    /// The initial generation counts as confirmed: there is nothing to compare it with.
    pub fn new(
        number: u64,
        hash: String,
        settings: M,
        difference: fn(&M, &M) -> Difference,
        criteria: fn(&M) -> ProbationCriteria,
    ) -> Generations<M> {
        let first = Generation {
            number,
            hash,
            settings,
        };
        Generations {
            confirmed: first.clone(),
            applied: first,
            phase: Phase::Confirmed,
            probation_began_at: Timestamp(0),
            newest_ticket: 0,
            last_ticket: 0,
            pending_read: None,
            staged: None,
            rolled_back: None,
            monitor: ProbationMonitor::default(),
            next_number: number + 1,
            difference,
            criteria,
        }
    }

    pub fn applied(&self) -> &Generation<M> {
        &self.applied
    }

    pub fn is_on_probation(&self) -> bool {
        self.phase != Phase::Confirmed
    }

    /// Returns the ticket of a read that begins now.
    pub fn begin_read(&mut self) -> u64 {
        self.last_ticket += 1;
        self.last_ticket
    }

    pub fn on_read(&mut self, now: Timestamp, ticket: u64, read: ReadOutcome<M>) -> Vec<Command<M>> {
        self.pending_read = Some((ticket, read));
        self.run_rules(now)
    }

    /// Takes a periodic sample; samples before a change are the baseline that it is compared with.
    pub fn on_sample(&mut self, now: Timestamp, sample: Sample) -> Vec<Command<M>> {
        self.monitor.record(now, sample);
        self.run_rules(now)
    }

    pub fn advance_to(&mut self, now: Timestamp) -> Vec<Command<M>> {
        self.run_rules(now)
    }

    /// When to call [`Generations::advance_to`] next.
    pub fn next_at(&self) -> Option<Timestamp> {
        match self.phase {
            Phase::Probation { until } => Some(until),
            Phase::Confirmed => None,
        }
    }

    fn run_rules(&mut self, now: Timestamp) -> Vec<Command<M>> {
        let mut commands = Vec::new();
        while let Some(next_commands) = self.apply_next_rule(now) {
            commands.extend(next_commands);
        }
        commands
    }

    /// The first rule whose condition holds.
    fn apply_next_rule(&mut self, now: Timestamp) -> Option<Vec<Command<M>>> {
        self.drop_superseded()
            .or_else(|| self.reject_invalid())
            .or_else(|| self.refuse_rolled_back())
            .or_else(|| self.accept_unchanged())
            .or_else(|| self.stage_valid())
            .or_else(|| self.apply(now))
            .or_else(|| self.roll_back(now))
            .or_else(|| self.extend_probation(now))
            .or_else(|| self.confirm(now))
    }

    /// Drops a read that began before the newest valid one: it may have read an older file.
    fn drop_superseded(&mut self) -> Option<Vec<Command<M>>> {
        let (ticket, _) = self.pending_read.as_ref()?;
        if *ticket > self.newest_ticket {
            return None;
        }
        self.pending_read = None;
        Some(vec![Command::Report(Decision::Superseded)])
    }

    /// An invalid file changes nothing, and doesn't supersede a valid read that began before it.
    fn reject_invalid(&mut self) -> Option<Vec<Command<M>>> {
        let (_, ReadOutcome::Invalid { error_count }) = self.pending_read.as_ref()? else {
            return None;
        };
        let error_count = *error_count;
        self.pending_read = None;
        Some(vec![Command::Report(Decision::Rejected { error_count })])
    }

    /// Refuses settings that were rolled back until the file has stated others.
    fn refuse_rolled_back(&mut self) -> Option<Vec<Command<M>>> {
        let (ticket, ReadOutcome::Valid { hash, .. }) = self.pending_read.as_ref()? else {
            return None;
        };
        let (rolled_back, resource) = self.rolled_back.as_ref()?;
        if rolled_back != hash {
            return None;
        }
        let resource = *resource;
        self.newest_ticket = *ticket;
        self.pending_read = None;
        Some(vec![Command::Report(Decision::AlreadyRolledBack { resource })])
    }

    fn accept_unchanged(&mut self) -> Option<Vec<Command<M>>> {
        let (ticket, ReadOutcome::Valid { hash, .. }) = self.pending_read.as_ref()? else {
            return None;
        };
        if *hash != self.applied.hash {
            return None;
        }
        self.newest_ticket = *ticket;
        // The file states the applied settings again, so the refused ones may be tried again.
        self.rolled_back = None;
        self.pending_read = None;
        Some(vec![Command::Report(Decision::Unchanged)])
    }

    fn stage_valid(&mut self) -> Option<Vec<Command<M>>> {
        match self.pending_read.take()? {
            (ticket, ReadOutcome::Valid { hash, settings }) => {
                self.newest_ticket = ticket;
                self.staged = Some((hash, settings));
                Some(Vec::new())
            }
            invalid => {
                self.pending_read = Some(invalid);
                None
            }
        }
    }

    /// Applies the staged settings. They are confirmed at once if they can't exhaust a resource, or the
    /// operators have disabled probation. A change during probation replaces the one before; both are
    /// compared with the confirmed one.
    fn apply(&mut self, now: Timestamp) -> Option<Vec<Command<M>>> {
        let (hash, settings) = self.staged.take()?;
        let next = Generation {
            number: self.next_number,
            hash,
            settings,
        };
        self.next_number += 1;
        self.rolled_back = None;
        let step = (self.difference)(&self.applied.settings, &next.settings);
        let total = (self.difference)(&self.confirmed.settings, &next.settings);
        let probation = (self.criteria)(&next.settings).probation;
        let was_confirmed = self.phase == Phase::Confirmed;
        self.applied = next;
        let decision = Decision::Applied {
            number: self.applied.number,
            live: step.live,
            at_next_start: step.at_next_start,
        };
        let mut commands = vec![
            Command::Apply(self.applied.settings.clone()),
            Command::Report(decision),
        ];
        if total.may_exhaust.is_empty() || probation == TimeSpan(0) {
            commands.extend(self.confirm_now());
            return Some(commands);
        }
        if was_confirmed {
            self.monitor.begin(now);
            self.probation_began_at = now;
        }
        self.monitor.watch(total.may_exhaust);
        self.phase = Phase::Probation {
            until: now + probation,
        };
        Some(commands)
    }

    fn applied_criteria(&self) -> ProbationCriteria {
        (self.criteria)(&self.applied.settings)
    }

    fn roll_back(&mut self, now: Timestamp) -> Option<Vec<Command<M>>> {
        if self.phase == Phase::Confirmed {
            return None;
        }
        // The stricter of both: a file must not loosen the criteria for its own probation.
        let criteria = self
            .applied_criteria()
            .stricter((self.criteria)(&self.confirmed.settings));
        let Verdict::Harmful(resource) = self.monitor.verdict(now, criteria) else {
            return None;
        };
        let from = self.applied.number;
        self.rolled_back = Some((self.applied.hash.clone(), resource));
        self.applied = self.confirmed.clone();
        self.phase = Phase::Confirmed;
        let to = self.confirmed.number;
        Some(vec![
            Command::Apply(self.confirmed.settings.clone()),
            Command::Report(Decision::RolledBack { from, to, resource }),
        ])
    }

    /// Extends a probation without demand.
    fn extend_probation(&mut self, now: Timestamp) -> Option<Vec<Command<M>>> {
        let Phase::Probation { until } = self.phase else {
            return None;
        };
        let probation = self.applied_criteria().probation;
        let max_end = self.probation_began_at + TimeSpan(probation.0.saturating_mul(MAX_PROBATION_FACTOR));
        if now < until || now >= max_end || self.monitor.has_seen_demand() {
            return None;
        }
        self.phase = Phase::Probation {
            until: (now + probation).min(max_end),
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
        self.confirmed = self.applied.clone();
        let number = self.confirmed.number;
        vec![
            Command::Store(self.confirmed.clone()),
            Command::Report(Decision::Confirmed { number }),
        ]
    }
}
