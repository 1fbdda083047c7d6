//! How much work this driver may send a cold member, by what all drivers have sent there.
//!
//! A member that has just started falls over under more work in a span of time than a multiple of what it bears, and it
//! bears a part of what a warm one carries. Alone, each driver uses half of its even part of that, for it can't see the others.
//! Where all tell what they send and what they carry, the sums are known: what is left of the budget is shared out by what
//! each carries, and a driver uses its share between two tellings; the older others' word, the smaller the share, for
//! they may have used theirs meanwhile. Where one that is there has told nothing lately, nothing is known, and each is as careful as alone.

use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Work within this span counts together.
    pub span: TimeSpan,
    /// More than this many times what it bears pushes a member over.
    pub multiple: f64,
    /// Between two tellings.
    pub tick: TimeSpan,
}

/// Of the rule's budget this part is used: sums stray, and work is heavier than its mean at times.
const USED: f64 = 0.75;
/// Word older than so many ticks is none.
const FRESH: f64 = 5.0;

/// What a driver has told of its sends to one member.
#[derive(Clone, Debug, PartialEq)]
struct Other {
    told: Timestamp,
    life: u64,
    /// In parts of a core.
    carries: f64,
    /// Its sum, at each telling within the span and the last before that.
    sums: VecDeque<(Timestamp, u64)>,
}

impl Other {
    /// Work within the span, as far as it told.
    fn recent(&self, now: Timestamp, span: TimeSpan) -> TimeSpan {
        let last = self.sums.back().map_or(0, |(_, sum)| *sum);
        let before = self.sums.iter().rev().find(|(at, _)| now - *at >= span);
        // What was sent before its first word is taken for recent.
        TimeSpan(last - before.map_or(0, |(_, sum)| (*sum).min(last)))
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Member {
    started_ms: u64,
    own: VecDeque<(Timestamp, TimeSpan)>,
    sum: u64,
    said: u64,
    others: BTreeMap<String, Other>,
}

impl Member {
    fn anew(&mut self, started_ms: u64) {
        if self.started_ms < started_ms {
            let said = self.said;
            *self = Member {
                started_ms,
                said,
                ..Member::default()
            };
        }
    }

    fn own_recent(&mut self, now: Timestamp, span: TimeSpan) -> TimeSpan {
        while self.own.pop_front_if(|(at, _)| now - *at >= span).is_some() {}
        TimeSpan(self.own.iter().map(|(_, work)| work.0).sum())
    }
}

/// What is told of this driver's sends to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sum {
    pub said: u64,
    pub work_us: u64,
    pub carries_us: u64,
}

pub struct Cold {
    pub terms: Terms,
    members: BTreeMap<String, Member>,
}

impl Cold {
    pub fn new(terms: Terms) -> Cold {
        Cold {
            terms,
            members: BTreeMap::new(),
        }
    }

    /// Only those named are cold still.
    pub fn keep(&mut self, cold: &[String]) {
        self.members.retain(|name, _| cold.contains(name));
    }

    pub fn is_cold(&self, name: &str) -> bool {
        self.members.contains_key(name)
    }

    /// This driver sends it so much work.
    pub fn sends(&mut self, now: Timestamp, name: &str, work: TimeSpan) {
        if let Some(member) = self.members.get_mut(name) {
            member.own.push_back((now, work));
            member.sum += work.0;
        }
    }

    /// Another driver has told what it sent.
    #[allow(clippy::too_many_arguments)] // the figures of one fact
    pub fn told(
        &mut self,
        told: Timestamp,
        name: &str,
        started_ms: u64,
        driver: &str,
        life: u64,
        work_us: u64,
        carries_us: u64,
    ) {
        let member = self.members.entry(name.to_owned()).or_default();
        member.anew(started_ms);
        if member.started_ms != started_ms {
            return;
        }
        let other = member.others.entry(driver.to_owned()).or_insert_with(|| Other {
            told,
            life,
            carries: 0.0,
            sums: VecDeque::new(),
        });
        if life < other.life || life == other.life && told < other.told {
            return;
        }
        if life > other.life {
            // Its former life's sum was another one's; what that sent lately still counts.
            let base = other.sums.back().map_or(0, |(_, sum)| *sum);
            other.sums.clear();
            other.sums.push_back((told, 0));
            other.life = life;
            other.sums.push_back((told, work_us + base));
        } else {
            other.sums.push_back((told, work_us));
        }
        (other.told, other.carries) = (told, carries_us as f64 / 1e6);
        let span = self.terms.span;
        while other.sums.get(1).is_some_and(|(at, _)| told - *at >= span) {
            other.sums.pop_front();
        }
    }

    /// How much work may go there from here until the next telling, where that is known, and what is to be told; `warmth` is on
    /// the mean of the span, for what was sent then was borne by that; `carries` is
    /// what a warm member carries for this driver, in parts of a core, `there` are the drivers that must have spoken.
    pub fn share(
        &mut self,
        now: Timestamp,
        (name, started_ms): (&str, u64),
        (warmth, carries): (f64, f64),
        there: &[&str],
    ) -> (Option<TimeSpan>, Sum) {
        let Terms { span, multiple, tick } = self.terms;
        let member = self.members.entry(name.to_owned()).or_default();
        member.anew(started_ms);
        let own = member.own_recent(now, span);
        member.said += 1;
        let sum = Sum {
            said: member.said,
            work_us: member.sum,
            carries_us: (carries * 1e6) as u64,
        };
        let fresh = |o: &&Other| (now - o.told).ratio(tick) <= FRESH;
        let speak: Vec<&Other> = there
            .iter()
            .filter_map(|d| member.others.get(*d))
            .filter(fresh)
            .collect();
        if speak.len() < there.len() {
            return (None, sum);
        }
        // Who has gone has sent what it sent.
        let sent = member.others.values().map(|o| o.recent(now, span).0).sum::<u64>() + own.0;
        let carried = carries + speak.iter().map(|o| o.carries).sum::<f64>();
        let budget = span * (carried * warmth * multiple * USED);
        let left = (budget - TimeSpan(sent)).0 as f64;
        let all = carried.max(1e-9);
        // Each of them may have used its share at each tick since it spoke: so a share is a part of what would be left.
        let unheard = speak
            .iter()
            .map(|o| o.carries / all * (now - o.told).ratio(tick).min(FRESH));
        let left = left / (1.0 + unheard.sum::<f64>());
        (Some(TimeSpan((left * carries / all) as u64)), sum)
    }
}
