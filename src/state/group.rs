//! Groups of members that replicate the same data, and the statements that wait for them.

use super::{MemberTable, QueuePriority};
use crate::replica_preference::{Replica, ReplicaPreference};
use crate::time::{RemoteTimestamp, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::ops::{Bound, Index, IndexMut};

/// A primary and its replicas.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Group {
    /// Places of all members, in the order in which they were listed first.
    pub(crate) members: Vec<usize>,
    /// Place of the primary, while one is known.
    pub(crate) primary: Option<usize>,
    /// Newest log position at which a member acted as primary.
    pub(crate) primary_position: RemoteTimestamp,
    /// Index into `members` of the replica chosen last.
    pub(crate) round_robin_index: usize,
    /// Indices into `members` of the replicas, in this driver's order of preference.
    #[serde(skip)]
    preference_order: Vec<usize>,
    /// Hash of what that order was computed from.
    #[serde(skip)]
    preference_key: Option<u64>,
    /// Waiting statements by workload; they stay with the process that accepted them.
    #[serde(skip)]
    queues: BTreeMap<usize, BTreeSet<QueuePriority>>,
    /// A waiting statement needs the primary and none is available: members are health-checked for it.
    pub(crate) needs_primary: bool,
    /// Until then the members are health-checked because no replica was known to be ready.
    pub(crate) no_ready_replica_until: Timestamp,
}

impl Group {
    /// Index of the first member after the one chosen last that `accepts` (a place in the member table).
    pub(crate) fn next_round_robin(&self, accepts: impl Fn(usize) -> bool) -> Option<usize> {
        let count = self.members.len();
        let mut indices = (1..=count).map(|step| (self.round_robin_index + step) % count);
        indices.find(|index| accepts(self.members[*index]))
    }

    /// Index of the first candidate in order of preference whose admission share is at least `least_part` of the best
    /// candidate's; `None` if that best share is below `threshold`.
    pub(crate) fn first_preferred(
        &self,
        is_candidate: impl Fn(usize) -> bool,
        admission_share: impl Fn(usize) -> f64,
        threshold: f64,
        least_part: f64,
    ) -> Option<usize> {
        let preferred = self.preference_order.iter().copied();
        let candidates: Vec<usize> = preferred
            .filter(|index| is_candidate(self.members[*index]))
            .collect();
        let share = |index: usize| admission_share(self.members[index]);
        let best = candidates.iter().map(|index| share(*index)).fold(0.0, f64::max);
        if threshold > best {
            return None;
        }
        candidates
            .into_iter()
            .find(|index| share(*index) >= best * least_part)
    }

    /// All waiting statements, by workload and priority.
    pub(crate) fn queued(&self) -> impl Iterator<Item = &QueuePriority> {
        self.queues.values().flatten()
    }

    /// Each workload with the first statement of its queue, in order of priority.
    pub(crate) fn queue_heads(&self) -> Vec<(QueuePriority, usize)> {
        let queues = self.queues.iter();
        let heads = queues.filter_map(|(workload, queue)| Some((*queue.first()?, *workload)));
        let mut heads: Vec<_> = heads.collect();
        heads.sort_unstable();
        heads
    }

    /// The statement behind `priority` in a workload's queue.
    pub(crate) fn next_queued(&self, workload: usize, priority: QueuePriority) -> Option<QueuePriority> {
        let queue = self.queues.get(&workload)?;
        let behind = (Bound::Excluded(priority), Bound::Unbounded);
        queue.range(behind).next().copied()
    }

    /// Adds a statement to its workload's queue.
    pub(crate) fn enqueue(&mut self, workload: usize, priority: QueuePriority) {
        self.queues.entry(workload).or_default().insert(priority);
    }

    /// Removes a statement from its workload's queue, if it waits there.
    pub(crate) fn dequeue(&mut self, workload: usize, priority: Option<QueuePriority>) {
        let Some(priority) = priority else { return };
        if let Some(queue) = self.queues.get_mut(&workload) {
            queue.remove(&priority);
        }
    }

    /// No primary is known any more if it was this member.
    pub(crate) fn clear_primary(&mut self, member: usize) {
        if self.primary == Some(member) {
            self.primary = None;
        }
    }
}

/// All groups by place, in the order in which they were first named.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct GroupTable {
    places: BTreeMap<u32, usize>,
    groups: Vec<Group>,
}

impl GroupTable {
    /// Place of the group with this id; a new id gets a place.
    pub(crate) fn place(&mut self, id: u32) -> usize {
        let place = *self.places.entry(id).or_insert(self.groups.len());
        if place == self.groups.len() {
            self.groups.push(Group::default());
        }
        place
    }

    /// Number of groups.
    pub(crate) fn len(&self) -> usize {
        self.groups.len()
    }

    /// Computes a group's order of preference again if anything that it depends on has changed.
    pub(crate) fn update_preference(
        &mut self,
        group: usize,
        members: &MemberTable,
        preference: &ReplicaPreference,
    ) {
        let group = &mut self.groups[group];
        let key = Some(preference_key(group, members, preference));
        if std::mem::replace(&mut group.preference_key, key) == key {
            return;
        }
        let (mut indices, mut replicas) = (Vec::new(), Vec::new());
        for (index, place) in group.members.iter().enumerate() {
            if Some(*place) != group.primary {
                let member = &members[*place];
                indices.push(index);
                replicas.push(Replica {
                    fleet_key: member.fleet_key,
                    capacity: member.capacity,
                });
            }
        }
        let order = preference.rank(&replicas).into_iter();
        group.preference_order = order.map(|replica| indices[replica]).collect();
    }
}

fn preference_key(group: &Group, members: &MemberTable, preference: &ReplicaPreference) -> u64 {
    let mut hasher = DefaultHasher::new();
    (preference.version(), group.primary, &group.members).hash(&mut hasher);
    for place in &group.members {
        let member = &members[*place];
        (member.fleet_key, member.capacity.to_bits()).hash(&mut hasher);
    }
    hasher.finish()
}

impl Index<usize> for GroupTable {
    type Output = Group;
    fn index(&self, place: usize) -> &Group {
        &self.groups[place]
    }
}

impl IndexMut<usize> for GroupTable {
    fn index_mut(&mut self, place: usize) -> &mut Group {
        &mut self.groups[place]
    }
}
