//! Estimates the relation between the members' clock and this driver's monotonic clock from evidence.
//!
//! # Two clocks
//!
//! A [`Timestamp`] is a point in time of this driver's monotonic clock, whose origin is arbitrary. A
//! [`RemoteTimestamp`] is Unix time of the clock that members and discovery share: log positions, session
//! positions and starts of members. Remote timestamps are compared with each other without any clock; only
//! the age of one requires the relation of the two clocks. This driver's own wall clock is not used.
//!
//! # Evidence
//!
//! - Members do not stamp the future, so an answer with stamp `r` received at local time `t` shows that the
//!   remote clock was at `r` or later at `t`: a lower bound.
//! - The position of a member that acts as primary is current while it executes. Its answer with stamp `r` to
//!   an execution dispatched at local time `s` shows that the remote clock was at `r` or earlier at `s`: an
//!   upper bound. The position in a load report is not: it was current when the report was made.
//!
//! Only direct answers of members are evidence, not reports from clients and other drivers. Starts of members
//! in a complete endpoint list provide a lower bound until answers provide a better one.
//!
//! # Error
//!
//! Assume that at most a quarter of the last [`MAX_TRACKED_MEMBERS`] members that stamped an answer (none of
//! fewer than four) stamp the future, that fewer than half of the last [`MAX_TRACKED_PRIMARIES`] primaries
//! answer with old positions that no other evidence contradicts, and that clock rates differ by at most
//! [`MAX_DRIFT`]. Then:
//!
//! - [`RemoteClock::earliest`] is at or before the remote clock. It lags by the shortest time, replication
//!   lag included, from a stamp to its receipt at a typical member.
//! - [`RemoteClock::latest`] is at or after the remote clock. It is ahead by at most the median, over the
//!   primaries, of each one's shortest round trip within the last one to two [`WINDOW`]s, plus the stamps'
//!   granularity of one millisecond, plus [`MAX_DRIFT`] of the time since then.
//!
//! An upper bound below the lower bounds comes from a primary that stalled or was deposed, and is dropped:
//! lower bounds take precedence. If no upper bound remains, [`RemoteClock::latest`] is unknown and callers
//! choose the conservative alternative. The estimate follows a forward step of the remote clock, or a
//! suspension of this machine, with the next answers. It follows a backward step within two [`WINDOW`]s;
//! until then it is too high, which is conservative for reads.

use crate::time::{RemoteTimestamp, TimeSpan, Timestamp};

/// Maximum number of members, the latest to answer, whose lower bounds are used.
pub const MAX_TRACKED_MEMBERS: usize = 16;
/// Maximum number of primaries, the latest to answer, whose upper bounds are used.
pub const MAX_TRACKED_PRIMARIES: usize = 8;
/// Maximum relative difference between the rates of two clocks; Linux slews a clock by at most this much.
pub const MAX_DRIFT: f64 = 0.0005;
/// Minimum time for which a member's bound is kept against looser ones; the maximum is twice as long.
pub const WINDOW: TimeSpan = TimeSpan::millis(10_000);

/// Granularity of remote timestamps, which are rounded down.
const GRANULARITY: TimeSpan = TimeSpan::millis(1);
/// One in this many tracked members may stamp the future.
const MEMBERS_PER_TOLERATED_FAULT: usize = 4;

/// A bound of the remote clock's offset from the local clock.
#[derive(Clone, Copy, Debug)]
struct Bound {
    /// Remote minus local time, in microseconds.
    offset: i128,
    /// Local time of the evidence; the clocks may drift apart from then on.
    at: Timestamp,
}

impl Bound {
    fn new(remote: RemoteTimestamp, local: Timestamp, at: Timestamp) -> Bound {
        Bound {
            offset: i128::from(remote.0) - i128::from(local.0),
            at,
        }
    }

    /// Maximum drift between the clocks since the evidence, in microseconds.
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

/// The tightest bounds of the current and the previous window.
#[derive(Clone, Copy, Debug, Default)]
struct WindowedBound {
    current: Option<Bound>,
    previous: Option<Bound>,
    began_at: Timestamp,
}

impl WindowedBound {
    /// Adds a bound. `is_tighter` returns whether its first argument is at least as tight as the second.
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

/// Bounds from one member's answers.
#[derive(Clone, Copy, Debug)]
struct Source {
    member: u32,
    last_received_at: Timestamp,
    lower: WindowedBound,
    upper: WindowedBound,
}

impl Source {
    fn new(member: u32) -> Source {
        Source {
            member,
            last_received_at: Timestamp(0),
            lower: WindowedBound::default(),
            upper: WindowedBound::default(),
        }
    }

    fn add_lower(&mut self, bound: Bound) {
        self.last_received_at = bound.at;
        let now = bound.at;
        self.lower
            .add(bound, |new, old| new.offset >= old.offset_as_lower(now));
        // A newer stamp of the same member shows that an upper bound came from an old position.
        if self
            .upper
            .smallest_upper(now)
            .is_some_and(|upper| upper < bound.offset)
        {
            self.upper = WindowedBound::default();
        }
    }

    /// Adds an upper bound unless it contradicts an earlier stamp of the same member, which shows an old
    /// position.
    fn add_upper(&mut self, bound: Bound) {
        let now = bound.at;
        let member_lower = self.lower.largest_lower(now);
        if member_lower.is_none_or(|lower| lower <= bound.offset) {
            self.upper
                .add(bound, |new, old| new.offset <= old.offset_as_upper(now));
        }
    }
}

/// The sources that answered last.
#[derive(Clone, Debug, Default)]
struct RecentSources(Vec<Source>);

impl RecentSources {
    /// The source of this member. If it is new and there are `max_sources`, it replaces the one whose last
    /// answer is oldest.
    fn entry(&mut self, member: u32, max_sources: usize) -> &mut Source {
        let known = self.0.iter().position(|source| source.member == member);
        let index = known.unwrap_or_else(|| self.insert(member, max_sources));
        &mut self.0[index]
    }

    fn insert(&mut self, member: u32, max_sources: usize) -> usize {
        if self.0.len() < max_sources {
            self.0.push(Source::new(member));
            return self.0.len() - 1;
        }
        let by_time = |index: &usize| self.0[*index].last_received_at;
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
    /// Id of the member.
    pub member: u32,
    /// The member's timestamp, rounded down to the millisecond.
    pub stamp: RemoteTimestamp,
    /// Local time of the receipt, or later.
    pub received_at: Timestamp,
    /// Local time of the dispatch or earlier, if the member acted as primary and stamped the answer while
    /// executing. `None` for the position in a load report.
    pub stamped_after: Option<Timestamp>,
}

/// Bounds from all sources, as of the last evidence.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    lower: Option<Bound>,
    upper: Option<Bound>,
}

/// Estimate of the members' clock by this driver's monotonic clock. See the module's documentation.
#[derive(Clone, Debug, Default)]
pub struct RemoteClock {
    is_shared: bool,
    members: RecentSources,
    primaries: RecentSources,
    listed_starts: Option<Bound>,
    estimate: Estimate,
}

impl RemoteClock {
    /// A clock for hosts whose own clock is the members' clock, as in a simulator; it needs no evidence.
    pub fn shared() -> RemoteClock {
        RemoteClock {
            is_shared: true,
            ..RemoteClock::default()
        }
    }

    /// Updates the estimate from a member's answer.
    pub fn observe(&mut self, answer: &StampedAnswer) {
        if self.is_shared {
            return;
        }
        let now = answer.received_at;
        let lower = Bound::new(answer.stamp, now, now);
        self.members
            .entry(answer.member, MAX_TRACKED_MEMBERS)
            .add_lower(lower);
        if let Some(stamped_after) = answer.stamped_after {
            let upper = Bound::new(answer.stamp + GRANULARITY, stamped_after, now);
            let primary = self.primaries.entry(answer.member, MAX_TRACKED_PRIMARIES);
            primary.add_lower(lower);
            primary.add_upper(upper);
        }
        self.update_estimate(now);
    }

    /// Updates the estimate from the starts of members in a complete endpoint list. Ignores the latest
    /// starts, so that one wrong entry does not make other members appear older than they are.
    pub fn observe_starts(&mut self, now: Timestamp, starts: impl Iterator<Item = RemoteTimestamp>) {
        if self.is_shared {
            return;
        }
        let mut latest_first: Vec<RemoteTimestamp> = starts.collect();
        latest_first.sort_unstable_by(|a, b| b.cmp(a));
        let ignored = (latest_first.len() / MEMBERS_PER_TOLERATED_FAULT).max(1);
        let start = latest_first.get(ignored);
        self.listed_starts = start.map(|start| Bound::new(*start, now, now));
        self.update_estimate(now);
    }

    /// Removes a member that is gone.
    pub fn remove_member(&mut self, member: u32) {
        self.members.remove(member);
        self.primaries.remove(member);
    }

    fn update_estimate(&mut self, now: Timestamp) {
        let tracked_lower = self.tracked_lower(now);
        let lower = tracked_lower
            .into_iter()
            .chain(
                self.listed_starts
                    .map(|listed_starts| listed_starts.offset_as_lower(now)),
            )
            .max();
        let upper = self.consistent_upper(now, tracked_lower);
        let bound = |offset: i128| Bound { offset, at: now };
        self.estimate = Estimate {
            lower: lower.map(bound),
            upper: upper.map(bound),
        };
    }

    /// The largest lower bound of the tracked members, leaving out as many of the largest as may be wrong.
    fn tracked_lower(&self, now: Timestamp) -> Option<i128> {
        let sources = self.members.0.iter();
        let mut lowers: Vec<i128> = sources
            .filter_map(|source| source.lower.largest_lower(now))
            .collect();
        lowers.sort_unstable_by(|a, b| b.cmp(a));
        let tolerated = lowers.len() / MEMBERS_PER_TOLERATED_FAULT;
        lowers.get(tolerated).copied()
    }

    /// The median of the primaries' upper bounds that are consistent with the lower bound; of two, the
    /// larger.
    fn consistent_upper(&self, now: Timestamp, lower: Option<i128>) -> Option<i128> {
        let sources = self.primaries.0.iter();
        let uppers = sources.filter_map(|source| source.upper.smallest_upper(now));
        let mut consistent: Vec<i128> = uppers
            .filter(|upper| lower.is_none_or(|lower| lower <= *upper))
            .collect();
        consistent.sort_unstable();
        consistent.get(consistent.len() / 2).copied()
    }

    /// Lower bound of the members' clock at this local time; `None` without evidence.
    pub fn earliest(&self, at: Timestamp) -> Option<RemoteTimestamp> {
        if self.is_shared {
            return Some(RemoteTimestamp(at.0));
        }
        let lower = self.estimate.lower?;
        Some(remote_time(at, lower.offset_as_lower(at)))
    }

    /// Upper bound of the members' clock at this local time; `None` without evidence.
    pub fn latest(&self, at: Timestamp) -> Option<RemoteTimestamp> {
        if self.is_shared {
            return Some(RemoteTimestamp(at.0));
        }
        let upper = self.estimate.upper?;
        Some(remote_time(at, upper.offset_as_upper(at)))
    }
}

/// The remote time at a local time, given the offset between the clocks in microseconds; saturates at both
/// ends.
fn remote_time(at: Timestamp, offset: i128) -> RemoteTimestamp {
    let remote = i128::from(at.0) + offset;
    RemoteTimestamp(u64::try_from(remote.max(0)).unwrap_or(u64::MAX))
}
