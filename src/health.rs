//! What a driver makes of a member's answers: how many executions at once it is known to bear, and the
//! share of statements that it is let in, what a cold one may be sent. Nothing here chooses.

use crate::interface::{ExecutionOutcome, Settings};
use crate::state::{Group, MemberTable};
use crate::time::{TimeSpan, Timestamp};

/// Bounds on concurrency: mean time of answers to the SLO time.
pub const GOOD_PACE: f64 = 0.28;
const BAD_PACE: f64 = 0.38;
const CUT: f64 = 0.85;
const GROWTH: f64 = 0.5;
/// A member owing answers for this long is overdue (the design's start); less where it owes many.
pub const OVERDUE: TimeSpan = TimeSpan::millis(1000);
pub const OVERDUE_PACES: f64 = 4.0;
/// What a late execution counts at most: a few stuck ones don't make a member crowded.
pub const LATE_COUNTS: f64 = 0.8;
/// Mean share let in at a group under which its failures are taken for common ones.
const COMMON: f64 = 0.5;
/// New connections are spared while setting them up takes this part of the SLO time more than usual.
pub const DEAR: f64 = 0.15;
/// Share of what a member has borne in good time that a bound keeps: slowness is not always crowding.
const SEEN_TO_WORK: f64 = 0.3;
/// How far an answer pulls the share of statements that its member is let in, from which part of the SLO time, and the
/// least share.
const PULL: f64 = 0.6;
const AIMED: f64 = 0.4;
const LEAST_SHARE: f64 = 0.05;
/// Dense views: credit for good answers, so that a lone failure at each member doesn't leave statements out.
const CREDIT: f64 = 2.0;
/// How far others follow such a pull: replicas of a group mostly suffer together.
const ALIKE: f64 = 0.2;
/// Weight of the newest figure in a smoothed one.
pub const NEWEST: f64 = 0.15;

impl MemberTable {
    /// Moves a member's bound on executions at once by an end that was just taken into account. A `typical` time lies
    /// between two cuts, for what was sent before the first says nothing of its effect.
    pub fn bound(&mut self, m: usize, now: Timestamp, completed: bool, typical: TimeSpan, sparse: bool) {
        let used = (self.in_flight[m] + 1) as f64 >= self.concurrency_limit[m] / 2.0;
        let good = completed && self.latency_ratio[m] < GOOD_PACE;
        if good {
            self.proven_concurrency[m] +=
                NEWEST * ((self.in_flight[m] + 1) as f64 - self.proven_concurrency[m]);
        }
        if good && used {
            self.concurrency_limit[m] += GROWTH / self.concurrency_limit[m].sqrt();
        } else if self.latency_ratio[m] > BAD_PACE && now - self.limit_reduced_at[m] > typical && !sparse {
            self.concurrency_limit[m] = (self.concurrency_limit[m] * CUT)
                .max(self.proven_concurrency[m] * SEEN_TO_WORK)
                .max(1.0);
            self.limit_reduced_at[m] = now;
        }
    }

    /// Moves the share of statements that a member is let in by an answer that took `share` of its SLO time, and a little
    /// those of others.
    pub fn pull<'a>(&mut self, m: usize, others: impl Iterator<Item = &'a usize>, share: f64, sparse: bool) {
        let most = if sparse { 1.0 } else { CREDIT };
        for (n, part) in others.map(|n| (*n, ALIKE)).chain([(m, 1.0)]) {
            let pull = PULL * (AIMED - share) * part;
            self.admission_share[n] = (self.admission_share[n] * pull.exp()).clamp(LEAST_SHARE, most);
        }
    }

    /// An idle connection stands there that is young enough to be used.
    pub fn connected(&self, m: usize, now: Timestamp, idle: TimeSpan) -> bool {
        let old = now - self.last_used_at[m] > idle && self.in_flight[m] == 0;
        self.in_flight[m] < self.connections[m] && !old
    }

    /// When it has owed answers for too long: sooner where it owes many.
    pub fn overdue_at(&self, m: usize, longest_typical: TimeSpan) -> Option<Timestamp> {
        let patience = longest_typical * (OVERDUE_PACES * (1.0 + 2.0 / self.in_flight[m].max(1) as f64));
        (self.in_flight[m] > 0).then(|| self.oldest_unanswered[m] + patience.min(OVERDUE))
    }

    /// What an end says of its member: `took` is the part of its SLO time that it took, `timed` whether that counts.
    pub fn judge(
        &mut self,
        m: usize,
        group: &Group,
        ending: ExecutionOutcome,
        took: f64,
        timed: bool,
        sparse: bool,
    ) {
        if timed {
            self.latency_ratio[m] += NEWEST * (took - self.latency_ratio[m]);
        }
        // Failures that all share are no reason to shut the group: its members must be let in on the mean.
        let beyond = |n: &usize| self.admission_share[*n].min(1.0) - COMMON;
        let alone = || group.members.iter().map(beyond).sum::<f64>() > 0.0;
        let share = match ending {
            ExecutionOutcome::Errored | ExecutionOutcome::Rejected if alone() => Some(1.0),
            ExecutionOutcome::Completed if !sparse => Some(0.0),
            _ => Some(took).filter(|_| sparse && timed),
        };
        if let Some(share) = share {
            let primary = group.primary;
            let follow = |n: &&usize| sparse && timed && **n != m && ![Some(m), Some(**n)].contains(&primary);
            self.pull(m, group.members.iter().filter(follow), share, sparse);
        }
    }

    /// Between the least of a member that has just started and 1.
    pub fn warmth(&self, m: usize, now: Timestamp, settings: &Settings) -> f64 {
        let cold = settings.cold_start_fraction;
        let age = |at: Timestamp| (now - at).ratio(settings.warm_up_time);
        self.started_at[m].map_or(1.0, |at| (cold + (1.0 - cold) * age(at)).min(1.0))
    }

    /// Members that are cold now, and how warm they are at another time.
    pub fn cold<'a>(
        &'a self,
        now: Timestamp,
        then: Timestamp,
        settings: &'a Settings,
    ) -> impl Iterator<Item = (usize, f64)> + 'a {
        let all = self.index.values().copied();
        let cold = all.filter(move |m| self.warmth(*m, now, settings) < 1.0);
        cold.map(move |m| (m, self.warmth(m, then, settings)))
    }

    /// Until when a cold member gets nothing: its last send is a debt, paid off at this rate, in parts of a core, which all
    /// drivers together keep the budget by. Where it is known what all others send, what is allowed binds instead.
    pub fn cold_until(&self, m: usize, now: Timestamp, pays: f64) -> Timestamp {
        match self.warm_up_budget[m] {
            Some((work, until)) if now < until => {
                if work > TimeSpan(0) {
                    Timestamp(0)
                } else {
                    until
                }
            }
            _ => self.warm_up_debt_at[m] + self.warm_up_debt[m] * (1.0 / pays),
        }
    }

    /// So much work goes there now.
    pub fn owe(&mut self, m: usize, work: TimeSpan) {
        self.warm_up_debt[m] = work;
        if let Some((allowed, _)) = &mut self.warm_up_budget[m] {
            *allowed = *allowed - work;
        }
    }

    /// Lets go of what another process had out: what is idle stays only if it came along. Says whose standing that changes;
    /// only those are looked at anew, or the two processes would decide apart.
    pub fn disown(&mut self, idle_came: bool, now: Timestamp) -> Vec<usize> {
        let mut touched = Vec::new();
        for m in 0..self.id.len() {
            let idle = self.connections[m].saturating_sub(self.in_flight[m]);
            self.connections[m] = if idle_came { idle } else { 0 };
            if std::mem::take(&mut self.in_flight[m]) > 0 {
                self.oldest_unanswered[m] = now;
                touched.push(m);
            }
        }
        touched
    }
}
