//! Relates timestamps of members and discovery to this driver's own time line, by evidence alone.
//!
//! # Two time lines
//!
//! A [`Timestamp`] is a point on this driver's monotonic time line, whose origin is arbitrary. A
//! [`RemoteTimestamp`] is Unix time by the clock that members and discovery share: log positions, sessions' tokens and
//! starts of members. Remote timestamps compare with one another without any clock. Only the age of one needs the relation
//! of the two time lines, and this module estimates it. This driver's own wall clock takes no part.
//!
//! # Evidence
//!
//! - Nobody stamps the future, so an answer with stamp `r` that is received at local time `t` shows that the remote clock
//!   was at `r` or later at `t`: a lower bound.
//! - A member that acts as primary stands at the present while it executes. Its answer with stamp `r` to an execution that
//!   was dispatched at local time `s` shows that the remote clock was at `r` or earlier at `s`: an upper bound.
//!
//! Members are heard directly. What clients and other drivers say is no evidence. Starts of members in a complete endpoint
//! list are a substitute for lower bounds until answers are better.
//!
//! # Error
//!
//! Assume that at most a quarter of the last [`MOST_HEARD`] members that stamped an answer (none of fewer than four)
//! stamp the future, that fewer than half of the last [`MOST_PRIMARIES`] primaries answer with old positions that nothing
//! contradicts, and that clocks run at rates that differ by at most [`MAX_DRIFT`]. Then:
//!
//! - [`RemoteClock::earliest`] is at or before the remote clock. It lags by the shortest time, replication lag included,
//!   from a stamp to its receipt at a typical member.
//! - [`RemoteClock::latest`] is at or after the remote clock. It is ahead by at most the median, over the primaries, of each
//!   one's shortest round trip within the last one to two [`WINDOW`]s, plus the stamps' granularity of one millisecond, plus
//!   [`MAX_DRIFT`] of the time since then.
//!
//! An upper bound below the lower bounds is an answer of a primary that stalled or was deposed, and is dropped; lower bounds
//! win. Where no upper bound remains, [`RemoteClock::latest`] is unknown and callers take the careful side. A step of the
//! remote clock ahead, or a suspended machine, is followed with the next answers; a step back within two [`WINDOW`]s, until
//! which the estimate is too high, which is the careful side for reads.

use crate::time::{RemoteTimestamp, TimeSpan, Timestamp};

/// Most members whose lower bounds count: those heard last.
pub const MOST_HEARD: usize = 16;
/// Most members whose upper bounds count: the primaries heard last.
pub const MOST_PRIMARIES: usize = 8;
/// Largest difference between the rates of two clocks: the most by which Linux slews a clock.
pub const MAX_DRIFT: f64 = 0.0005;
/// Time for which a bound stands against worse ones of the same member, at least; twice this at most.
pub const WINDOW: TimeSpan = TimeSpan::millis(10_000);

/// Granularity of remote timestamps, which are rounded down.
const GRANULARITY: TimeSpan = TimeSpan::millis(1);
/// Part of the members heard that may stamp the future: one in so many.
const TOLERATED_PART: usize = 4;

/// A bound of the remote clock's offset from the local time line.
#[derive(Clone, Copy, Debug)]
struct Bound {
    /// Remote minus local time, in microseconds.
    offset: i128,
    /// Local time of the evidence, from which on the clocks may drift apart.
    at: Timestamp,
}

impl Bound {
    fn new(remote: RemoteTimestamp, local: Timestamp, at: Timestamp) -> Bound {
        Bound {
            offset: i128::from(remote.0) - i128::from(local.0),
            at,
        }
    }

    /// How far the clocks may have drifted apart since the evidence.
    fn drift(self, now: Timestamp) -> i128 {
        i128::from(((now - self.at) * MAX_DRIFT).0)
    }

    fn offset_as_lower(self, now: Timestamp) -> i128 {
        self.offset - self.drift(now)
    }

    fn offset_as_upper(self, now: Timestamp) -> i128 {
        self.offset + self.drift(now)
    }
}

/// The tightest bound of the running and the previous window.
#[derive(Clone, Copy, Debug, Default)]
struct WindowedBound {
    current: Option<Bound>,
    previous: Option<Bound>,
    began_at: Timestamp,
}

impl WindowedBound {
    /// Adds a bound; `is_tighter` tells whether its first argument is tighter than the second.
    fn add(&mut self, bound: Bound, is_tighter: impl Fn(Bound, Bound) -> bool) {
        if bound.at - self.began_at >= WINDOW {
            self.previous = self.current.take();
            self.began_at = bound.at;
        }
        if self.current.is_none_or(|current| is_tighter(bound, current)) {
            self.current = Some(bound);
        }
    }

    fn all(self) -> impl Iterator<Item = Bound> {
        self.current.into_iter().chain(self.previous)
    }

    fn largest_lower(self, now: Timestamp) -> Option<i128> {
        self.all().map(|bound| bound.offset_as_lower(now)).max()
    }

    fn smallest_upper(self, now: Timestamp) -> Option<i128> {
        self.all().map(|bound| bound.offset_as_upper(now)).min()
    }
}

/// What one member's answers show.
#[derive(Clone, Copy, Debug)]
struct Source {
    member: u32,
    heard_at: Timestamp,
    lower: WindowedBound,
    upper: WindowedBound,
}

impl Source {
    fn new(member: u32) -> Source {
        Source {
            member,
            heard_at: Timestamp(0),
            lower: WindowedBound::default(),
            upper: WindowedBound::default(),
        }
    }

    fn add_lower(&mut self, bound: Bound) {
        self.heard_at = bound.at;
        let now = bound.at;
        self.lower.add(bound, |a, b| a.offset >= b.offset_as_lower(now));
        // Its own newer stamp disproves what an old position suggested.
        if self
            .upper
            .smallest_upper(now)
            .is_some_and(|upper| upper < bound.offset)
        {
            self.upper = WindowedBound::default();
        }
    }

    /// Adds an upper bound, unless the member itself was further before: it answers with an old position then.
    fn add_upper(&mut self, bound: Bound) {
        let now = bound.at;
        let own_lower = self.lower.largest_lower(now);
        if own_lower.is_none_or(|lower| lower <= bound.offset) {
            self.upper.add(bound, |a, b| a.offset <= b.offset_as_upper(now));
        }
    }
}

/// The sources that were heard last.
#[derive(Clone, Debug, Default)]
struct RecentSources(Vec<Source>);

impl RecentSources {
    /// The source of this member, which takes the place of the one heard longest ago if there are `most`.
    fn entry(&mut self, member: u32, most: usize) -> &mut Source {
        let known = self.0.iter().position(|source| source.member == member);
        let place = known.unwrap_or_else(|| self.make_room(member, most));
        &mut self.0[place]
    }

    fn make_room(&mut self, member: u32, most: usize) -> usize {
        if self.0.len() < most {
            self.0.push(Source::new(member));
            return self.0.len() - 1;
        }
        let by_time = |place: &usize| self.0[*place].heard_at;
        let oldest = (0..self.0.len()).min_by_key(by_time).unwrap_or(0);
        self.0[oldest] = Source::new(member);
        oldest
    }

    fn remove(&mut self, member: u32) {
        self.0.retain(|source| source.member != member);
    }
}

/// An answer that carries a stamp of the member's clock.
#[derive(Clone, Copy, Debug)]
pub struct StampedAnswer {
    /// The member that gave it.
    pub member: u32,
    /// The stamp, rounded down to the millisecond.
    pub stamp: RemoteTimestamp,
    /// Local time at which it was received, or later.
    pub received_at: Timestamp,
    /// Where the member acted as primary and stamped the answer while executing: local time of the dispatch, or earlier.
    pub stamped_after: Option<Timestamp>,
}

/// The bounds that all sources together prove, as of the last evidence.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    lower: Option<Bound>,
    upper: Option<Bound>,
}

/// The relation of the members' clock to this driver's time line. See the module's documentation.
#[derive(Clone, Debug, Default)]
pub struct RemoteClock {
    is_shared: bool,
    heard: RecentSources,
    primaries: RecentSources,
    listed: Option<Bound>,
    estimate: Estimate,
}

impl RemoteClock {
    /// The host's time line is the members' clock itself, as in a simulator: nothing is to be estimated.
    pub fn shared() -> RemoteClock {
        RemoteClock {
            is_shared: true,
            ..RemoteClock::default()
        }
    }

    /// Learns from a member's answer.
    pub fn observe(&mut self, answer: &StampedAnswer) {
        if self.is_shared {
            return;
        }
        let now = answer.received_at;
        let lower = Bound::new(answer.stamp, now, now);
        self.heard.entry(answer.member, MOST_HEARD).add_lower(lower);
        if let Some(stamped_after) = answer.stamped_after {
            let upper = Bound::new(answer.stamp + GRANULARITY, stamped_after, now);
            let primary = self.primaries.entry(answer.member, MOST_PRIMARIES);
            primary.add_lower(lower);
            primary.add_upper(upper);
        }
        self.update_estimate(now);
    }

    /// Learns from the starts of members in a complete endpoint list. The latest ones are left out: one wrong entry must
    /// not make the other members seem older than they are.
    pub fn observe_starts(&mut self, now: Timestamp, starts: impl Iterator<Item = RemoteTimestamp>) {
        if self.is_shared {
            return;
        }
        let mut latest_first: Vec<RemoteTimestamp> = starts.collect();
        latest_first.sort_unstable_by(|a, b| b.cmp(a));
        let left_out = (latest_first.len() / TOLERATED_PART).max(1);
        let start = latest_first.get(left_out);
        self.listed = start.map(|start| Bound::new(*start, now, now));
        self.update_estimate(now);
    }

    /// Forgets a member that is no longer there.
    pub fn forget(&mut self, member: u32) {
        self.heard.remove(member);
        self.primaries.remove(member);
    }

    fn update_estimate(&mut self, now: Timestamp) {
        let heard = self.heard_lower(now);
        let lower = heard
            .into_iter()
            .chain(self.listed.map(|listed| listed.offset_as_lower(now)))
            .max();
        let upper = self.proven_upper(now, heard);
        let bound = |offset: i128| Bound { offset, at: now };
        self.estimate = Estimate {
            lower: lower.map(bound),
            upper: upper.map(bound),
        };
    }

    /// The largest lower bound of the members heard, without as many of the largest as may be wrong.
    fn heard_lower(&self, now: Timestamp) -> Option<i128> {
        let sources = self.heard.0.iter();
        let mut lowers: Vec<i128> = sources
            .filter_map(|source| source.lower.largest_lower(now))
            .collect();
        lowers.sort_unstable_by(|a, b| b.cmp(a));
        let tolerated = lowers.len() / TOLERATED_PART;
        lowers.get(tolerated).copied()
    }

    /// The median of the primaries' upper bounds that the lower bound doesn't disprove; of two, the larger.
    fn proven_upper(&self, now: Timestamp, lower: Option<i128>) -> Option<i128> {
        let sources = self.primaries.0.iter();
        let uppers = sources.filter_map(|source| source.upper.smallest_upper(now));
        let mut possible: Vec<i128> = uppers
            .filter(|upper| lower.is_none_or(|lower| lower <= *upper))
            .collect();
        possible.sort_unstable();
        possible.get(possible.len() / 2).copied()
    }

    /// A remote time that the members' clock had reached at this local time; `None` without evidence.
    pub fn earliest(&self, at: Timestamp) -> Option<RemoteTimestamp> {
        if self.is_shared {
            return Some(RemoteTimestamp(at.0));
        }
        let lower = self.estimate.lower?;
        Some(remote_time(at, lower.offset_as_lower(at)))
    }

    /// A remote time that the members' clock had not passed at this local time; `None` without evidence.
    pub fn latest(&self, at: Timestamp) -> Option<RemoteTimestamp> {
        if self.is_shared {
            return Some(RemoteTimestamp(at.0));
        }
        let upper = self.estimate.upper?;
        Some(remote_time(at, upper.offset_as_upper(at)))
    }
}

/// The remote time at a local time, by the offset between the two; saturates at both ends.
fn remote_time(at: Timestamp, offset: i128) -> RemoteTimestamp {
    let remote = i128::from(at.0) + offset;
    RemoteTimestamp(u64::try_from(remote.max(0)).unwrap_or(u64::MAX))
}
