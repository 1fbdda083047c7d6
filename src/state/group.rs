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
    /// Indices of all members in the member table, in the order in which they were first listed.
    pub(crate) members: Vec<usize>,
    /// Index of the primary in the member table, while one is known.
    pub(crate) primary: Option<usize>,
    /// Latest log position at which a member acted as primary.
    pub(crate) primary_position: RemoteTimestamp,
    /// Index into `members` of the replica chosen last.
    pub(crate) round_robin_index: usize,
    /// Indices into `members` of the replicas, in this driver's order of preference.
    #[serde(skip)]
    preference_order: Vec<usize>,
    /// Hash of the inputs from which that order was computed.
    #[serde(skip)]
    preference_key: Option<u64>,
    /// Waiting statements by workload. Not handed over: they stay with the process that accepted them.
    #[serde(skip)]
    queues: BTreeMap<usize, BTreeSet<QueuePriority>>,
    /// A waiting statement needs the primary and none is available, so members are health-checked to find it.
    pub(crate) needs_primary: bool,
    /// Time until which members are health-checked because no replica was known to be ready.
    pub(crate) no_ready_replica_until: Timestamp,
}

impl Group {
    /// Index into `members` of the first member after the one chosen last for which `accepts` is true;
    /// `accepts` gets an index into the member table.
    pub(crate) fn next_round_robin(&self, accepts: impl Fn(usize) -> bool) -> Option<usize> {
        let count = self.members.len();
        let mut indices = (1..=count).map(|step| (self.round_robin_index + step) % count);
        indices.find(|index| accepts(self.members[*index]))
    }

    /// Index into `members` of the first candidate in order of preference whose admission share is at least
    /// `min_share_fraction` of the best candidate's; `None` if that best share is below `threshold`.
    pub(crate) fn first_preferred(
        &self,
        is_candidate: impl Fn(usize) -> bool,
        admission_share: impl Fn(usize) -> f64,
        threshold: f64,
        min_share_fraction: f64,
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
            .find(|index| share(*index) >= best * min_share_fraction)
    }

    /// All waiting statements, ordered by workload and priority.
    pub(crate) fn queued(&self) -> impl Iterator<Item = &QueuePriority> {
        self.queues.values().flatten()
    }

    /// The first statement of each workload's queue with its workload, in order of priority.
    pub(crate) fn queue_heads(&self) -> Vec<(QueuePriority, usize)> {
        let queues = self.queues.iter();
        let heads = queues.filter_map(|(workload, queue)| Some((*queue.first()?, *workload)));
        let mut heads: Vec<_> = heads.collect();
        heads.sort_unstable();
        heads
    }

    /// The statement after `priority` in a workload's queue.
    pub(crate) fn next_queued(&self, workload: usize, priority: QueuePriority) -> Option<QueuePriority> {
        let queue = self.queues.get(&workload)?;
        let after = (Bound::Excluded(priority), Bound::Unbounded);
        queue.range(after).next().copied()
    }

    /// Adds a statement to its workload's queue.
    pub(crate) fn enqueue(&mut self, workload: usize, priority: QueuePriority) {
        self.queues.entry(workload).or_default().insert(priority);
    }

    /// Removes a statement from its workload's queue, if it is queued.
    pub(crate) fn dequeue(&mut self, workload: usize, priority: Option<QueuePriority>) {
        let Some(priority) = priority else { return };
        if let Some(queue) = self.queues.get_mut(&workload) {
            queue.remove(&priority);
        }
    }

    /// Clears the primary if it is this member.
    pub(crate) fn clear_primary(&mut self, member_index: usize) {
        if self.primary == Some(member_index) {
            self.primary = None;
        }
    }
}

/// All groups by index, in the order in which they were first referenced.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct GroupTable {
    indices: BTreeMap<u32, usize>,
    groups: Vec<Group>,
}

impl GroupTable {
    /// Index of the group with this id, which is added if it is new.
    pub(crate) fn index_or_insert(&mut self, id: u32) -> usize {
        let index = *self.indices.entry(id).or_insert(self.groups.len());
        if index == self.groups.len() {
            self.groups.push(Group::default());
        }
        index
    }

    pub(crate) fn len(&self) -> usize {
        self.groups.len()
    }

    /// Updates a group's order of preference if any of its inputs has changed.
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
        for (index, member_index) in group.members.iter().enumerate() {
            if Some(*member_index) != group.primary {
                let member = &members[*member_index];
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
    for member_index in &group.members {
        let member = &members[*member_index];
        (member.fleet_key, member.capacity.to_bits()).hash(&mut hasher);
    }
    hasher.finish()
}

impl Index<usize> for GroupTable {
    type Output = Group;
    fn index(&self, index: usize) -> &Group {
        &self.groups[index]
    }
}

impl IndexMut<usize> for GroupTable {
    fn index_mut(&mut self, index: usize) -> &mut Group {
        &mut self.groups[index]
    }
}
