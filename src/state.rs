//! What a driver remembers: plain records and counters. No decision and no tuned value is here.

use crate::interface::MemberState;
use crate::replica_preference::{Replica, ReplicaPreference};
use crate::time::{TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::ops::{Bound, Index, IndexMut};

/// How much work an importance, since when, and which statement: the least is first in line.
pub type QueuePriority = (u64, Timestamp, u32);

#[derive(Default)]
pub struct StatementState {
    pub workload: usize,
    pub group: usize,
    pub session: u64,
    /// The position that a session read needs.
    pub required_position: Timestamp,
    /// Expected work, where clients say.
    pub expected_work: Option<TimeSpan>,
    pub importance: f64,
    /// Drawn once: the share to be let in that it needs.
    pub admission_threshold: f64,
    pub accepted_at: Timestamp,
    pub slo_deadline: Timestamp,
    pub answer_deadline: Timestamp,
    /// After this it may not be sent any more, for the time its repeats are known has passed.
    pub dispatch_deadline: Timestamp,
    /// After this it is not kept any more if it was sent nowhere.
    pub unsent_deadline: Timestamp,
    pub next_check_at: Timestamp,
    pub attempts: usize,
    /// When and where the first execution that may have run went out.
    pub indeterminate: Option<(Timestamp, usize)>,
    pub excluded_members: Vec<usize>,
    pub backoff_until: Timestamp,
    /// Its place in the group's queue, while it waits.
    pub queue_priority: Option<QueuePriority>,
}

impl StatementState {
    /// The members that it means: a place of theirs must not become another's.
    pub fn members(&self) -> impl Iterator<Item = usize> + '_ {
        let doubted = self.indeterminate.map(|(_, m)| m);
        self.excluded_members.iter().copied().chain(doubted)
    }
}

pub struct InFlightExecution {
    pub member: usize,
    pub workload: usize,
    /// Whose it is: its answer may come behind the end of its statement.
    pub session: u64,
    pub dispatched_at: Timestamp,
    pub is_cancelled: bool,
    /// None was free, so that one had to be set up for it.
    pub new_connection: bool,
    /// Its member is known to live and still gives no answer: it counts no more.
    pub abandoned: bool,
    /// A connection is being set up for it, and nothing of it has left.
    pub is_connecting: bool,
}

impl InFlightExecution {
    /// Counts no more if it went to this member before then; says whether that is new.
    pub fn lose(&mut self, member: usize, before: Timestamp) -> bool {
        let is_new = self.member == member && self.dispatched_at < before && !self.abandoned;
        self.abandoned |= is_new;
        is_new
    }

    pub fn new(
        member: usize,
        s: &StatementState,
        sent: Timestamp,
        new_connection: bool,
    ) -> InFlightExecution {
        let (called_off, lost, awaits) = (false, false, false);
        InFlightExecution {
            member,
            workload: s.workload,
            session: s.session,
            dispatched_at: sent,
            is_cancelled: called_off,
            new_connection,
            abandoned: lost,
            is_connecting: awaits,
        }
    }
}

#[derive(Default, Serialize, Deserialize)]
pub struct Group {
    pub members: Vec<usize>,
    pub primary: Option<usize>,
    /// The newest position at which a member spoke as primary.
    pub primary_position: Timestamp,
    pub round_robin_index: usize,
    /// Places in `members` of the replicas, in this driver's order, and for what that was reckoned.
    #[serde(skip)]
    pub preference_order: Vec<usize>,
    #[serde(skip)]
    preference_key: Option<u64>,
    /// Statements stay with the process that took them.
    #[serde(skip)]
    queues: BTreeMap<usize, BTreeSet<QueuePriority>>,
    pub needs_primary: bool,
    pub no_ready_replica_until: Timestamp,
}

/// Groups under a dense index, in the order in which they were first named.
#[derive(Default, Serialize, Deserialize)]
pub struct GroupTable {
    index: BTreeMap<u32, usize>,
    pub all: Vec<Group>,
}

impl GroupTable {
    /// Has the group's order over its replicas reckoned anew where anything that it goes by has changed.
    pub fn arrange(&mut self, g: usize, members: &MemberTable, firsts: &ReplicaPreference) {
        let g = &mut self.all[g];
        let mut hasher = DefaultHasher::new();
        (firsts.epoch, g.primary, &g.members).hash(&mut hasher);
        for m in &g.members {
            (members.fleet_key[*m], members.capacity[*m].to_bits()).hash(&mut hasher);
        }
        let now = Some(hasher.finish());
        if std::mem::replace(&mut g.preference_key, now) == now {
            return;
        }
        let places = g.members.iter().enumerate();
        let (places, replicas): (Vec<usize>, Vec<Replica>) = places
            .filter(|(_, m)| Some(**m) != g.primary)
            .map(|(at, m)| {
                let (key, size) = (members.fleet_key[*m], members.capacity[*m]);
                (at, Replica { key, size })
            })
            .unzip();
        g.preference_order = firsts.order(&replicas).into_iter().map(|r| places[r]).collect();
    }

    pub fn at(&mut self, id: u32) -> usize {
        let g = *self.index.entry(id).or_insert(self.all.len());
        let count = self.all.len().max(g + 1);
        self.all.resize_with(count, Group::default);
        g
    }
}

impl Index<usize> for GroupTable {
    type Output = Group;
    fn index(&self, g: usize) -> &Group {
        &self.all[g]
    }
}

impl IndexMut<usize> for GroupTable {
    fn index_mut(&mut self, g: usize) -> &mut Group {
        &mut self.all[g]
    }
}

/// What is to be looked at when, in order of time.
#[derive(Default, Serialize, Deserialize)]
#[serde(bound = "K: Ord + Serialize + serde::de::DeserializeOwned")]
pub struct TimerQueue<K>(BTreeSet<(Timestamp, K)>);

impl<K: Ord + Copy> TimerQueue<K> {
    pub fn put(&mut self, key: K, before: Timestamp, next: Option<Timestamp>) {
        self.0.remove(&(before, key));
        self.0.extend(next.map(|at| (at, key)));
    }

    pub fn first_at(&self) -> Option<Timestamp> {
        self.0.first().map(|(at, _)| *at)
    }

    /// The first whose time has come.
    pub fn ready(&self, now: Timestamp) -> Option<K> {
        let first = self.0.first().filter(|(at, _)| *at <= now);
        first.map(|(_, key)| *key)
    }
}

impl Group {
    /// The place behind the last turn's whose member takes it.
    pub fn by_turn(&self, takes: impl Fn(usize) -> bool) -> Option<usize> {
        let places =
            (1..=self.members.len()).map(|step| (self.round_robin_index + step) % self.members.len());
        places.into_iter().find(|at| takes(self.members[*at]))
    }

    /// The first in this driver's order that could take it and lets in at least this part of what the best of those does;
    /// none where that best one lets in less than the statement needs.
    pub fn by_order(
        &self,
        could: impl Fn(usize) -> bool,
        let_in: &[f64],
        bar: f64,
        part: f64,
    ) -> Option<usize> {
        let open = self
            .preference_order
            .iter()
            .filter(|at| could(self.members[**at]));
        let open: Vec<(usize, f64)> = open.map(|at| (*at, let_in[self.members[*at]])).collect();
        let best = open.iter().map(|(_, share)| *share).fold(0.0, f64::max);
        let stays = |share: f64| bar <= best && share >= best * part;
        open.into_iter()
            .find(|(_, share)| stays(*share))
            .map(|(at, _)| at)
    }

    /// What waits, by workload and rank.
    pub fn queued(&self) -> impl Iterator<Item = &QueuePriority> {
        self.queues.values().flatten()
    }

    /// The first in line of each workload, the first of all before the others.
    pub fn fronts(&self) -> Vec<(QueuePriority, usize)> {
        let firsts = self
            .queues
            .iter()
            .filter_map(|(w, line)| Some((*line.first()?, *w)));
        let mut all: Vec<_> = firsts.collect();
        all.sort_unstable();
        all
    }

    pub fn behind(&self, workload: usize, rank: QueuePriority) -> Option<QueuePriority> {
        let line = self.queues.get(&workload)?;
        line.range((Bound::Excluded(rank), Bound::Unbounded))
            .next()
            .copied()
    }

    pub fn join(&mut self, workload: usize, rank: QueuePriority) {
        self.queues.entry(workload).or_default().insert(rank);
    }

    pub fn leave(&mut self, workload: usize, rank: Option<QueuePriority>) {
        let line = self.queues.get_mut(&workload);
        line.zip(rank).map(|(line, rank)| line.remove(&rank));
    }

    pub fn depose(&mut self, m: usize) {
        self.primary = self.primary.filter(|p| *p != m);
    }
}

/// Work within the last while, as of the last addition.
#[derive(Default, Serialize, Deserialize)]
pub struct SlidingWindow {
    pub entries: VecDeque<(Timestamp, TimeSpan)>,
    pub total: TimeSpan,
}

impl SlidingWindow {
    pub fn add(&mut self, now: Timestamp, work: TimeSpan, span: TimeSpan) {
        self.entries.push_back((now, work));
        self.total = self.total + work;
        while let Some((_, work)) = self.entries.front().copied().filter(|(at, _)| now - *at > span) {
            self.entries.pop_front();
            self.total = self.total - work;
        }
    }
}

/// What is left of each tenant's quota of statements; a second's worth may be saved up.
#[derive(Default, Serialize, Deserialize)]
pub struct TenantQuotas(BTreeMap<usize, (f64, Timestamp)>);

impl TenantQuotas {
    /// Draws one statement, if that is left.
    pub fn draw(&mut self, tenant: usize, per_second: f64, now: Timestamp) -> bool {
        let (left, at) = self.0.entry(tenant).or_insert((0.0, Timestamp(0)));
        *left = (*left + (now - *at).ratio(TimeSpan::millis(1000)) * per_second).min(per_second.max(1.0));
        *at = now;
        let within = *left >= 1.0;
        *left -= if within { 1.0 } else { 0.0 };
        within
    }
}

/// Parallel arrays under a small dense index, each with what a new member starts from.
macro_rules! columns {
    ($name:ident, $($column:ident: $kind:ty = $first:expr;)*) => {
        #[derive(Default, Serialize, Deserialize)]
        pub struct $name {
            pub index: BTreeMap<u32, usize>,
            /// Places of members that are gone, for the next ones.
            free: Vec<usize>,
            $(pub $column: Vec<$kind>,)*
        }
        impl $name {
            /// Where this member has its place, and whether it had that before.
            pub fn place(&mut self, id: u32) -> (usize, bool) {
                if let Some(&m) = self.index.get(&id) {
                    return (m, true);
                }
                let m = self.free.pop().unwrap_or(self.id.len());
                if m < self.id.len() {
                    $(self.$column[m] = $first;)*
                } else {
                    $(self.$column.push($first);)*
                }
                self.id[m] = id;
                self.index.insert(id, m);
                (m, false)
            }

            /// Gives a place up, which stands as one that is gone until it is taken again.
            pub fn let_go(&mut self, m: usize) -> u32 {
                self.index.remove(&self.id[m]);
                self.free.push(m);
                self.id[m]
            }
        }
    };
}
impl MemberTable {
    /// As much as may have been sent to each just now, and nothing that is out by anybody else.
    pub fn reckon_anew(&mut self, now: Timestamp, work: TimeSpan) {
        self.warm_up_debt_at.fill(now);
        self.warm_up_debt.fill(work);
        self.peer_in_flight.fill(0);
    }
}
columns! { MemberTable,
    id: u32 = 0;
    fleet_key: u64 = 0;
    group: usize = 0;
    zone: u16 = 0;
    state: MemberState = MemberState::Ready;
    drained: bool = false;
    capacity: f64 = 1.0;
    // Taken for silent until then, by other drivers' word.
    unresponsive_until: Timestamp = Timestamp(0);
    started_at: Option<Timestamp> = None;
    // The known log position, and when it was told.
    position: Timestamp = Timestamp(0);
    status_at: Option<Timestamp> = None;
    reported_replica: bool = false;
    in_flight: usize = 0;
    // Executions that another process of this driver has out.
    peer_in_flight: usize = 0;
    oldest_unanswered: Timestamp = Timestamp(0);
    ejected: bool = false;
    connections: usize = 0;
    last_used_at: Timestamp = Timestamp(0);
    concurrency_limit: f64 = 1.0;
    // Smoothed time of answers, as a share of the SLO time.
    latency_ratio: f64 = 0.0;
    // Share of statements that are let in.
    admission_share: f64 = 1.0;
    limit_reduced_at: Timestamp = Timestamp(0);
    // Smoothed executions at once while answers came in good time.
    proven_concurrency: f64 = 0.0;
    next_check_at: Timestamp = Timestamp(0);
    health_check_at: Timestamp = Timestamp(0);
    // Work last sent while cold, and when.
    warm_up_debt: TimeSpan = TimeSpan(0);
    warm_up_debt_at: Timestamp = Timestamp(0);
    // Work that may be sent while cold, and until when that is known.
    warm_up_budget: Option<(TimeSpan, Timestamp)> = None;
}

/// Commit positions of sessions, and one that covers all those forgotten.
#[derive(Default, Serialize, Deserialize)]
pub struct SessionPositions {
    commits: BTreeMap<u64, Timestamp>,
    forgotten: Timestamp,
}

impl SessionPositions {
    pub fn known(&self, session: u64) -> Timestamp {
        self.commits.get(&session).copied().unwrap_or(self.forgotten)
    }

    /// Forgetting never lets a read go to older data: unknown sessions then need the newest one forgotten.
    pub fn note(&mut self, session: u64, commit: Timestamp, most: usize) {
        let newest = commit.max(self.known(session));
        if self.commits.len() >= most {
            self.forgotten = self
                .commits
                .values()
                .copied()
                .fold(self.forgotten, Timestamp::max);
            self.commits.clear();
        }
        self.commits.insert(session, newest);
    }
}

/// Draws between 0 and 1 from the instance's seed and a counter.
#[derive(Default, Serialize, Deserialize)]
pub struct SeededRng {
    pub seed: u64,
    pub drawn: u64,
}

impl SeededRng {
    pub fn draw(&mut self) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, self.drawn).hash(&mut hasher);
        self.drawn += 1;
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }
}
