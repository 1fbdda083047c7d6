//! Members of all groups and their known state.

use crate::interface::MemberState;
use crate::time::{RemoteTimestamp, TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::{Index, IndexMut};

/// Work that this driver may send to a warming member, taking other drivers' load into account.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct WarmUpBudget {
    /// Remaining work.
    pub(crate) work: TimeSpan,
    /// End of its validity.
    pub(crate) until: Timestamp,
}

/// Error of a stored member table whose columns differ in length.
#[derive(Debug, thiserror::Error)]
#[error("columns of the member table differ in length")]
struct UnequalColumns;

/// Defines `Member` with its initial values, and `Columns`, the stored form of the table with one list per
/// field.
macro_rules! member_fields {
    ($($(#[$doc:meta])* $field:ident: $kind:ty = $initial:expr;)*) => {
        /// One member of a group.
        #[derive(Clone, Copy, Debug)]
        pub(crate) struct Member {
            $($(#[$doc])* pub(crate) $field: $kind,)*
        }

        impl Member {
            fn new(id: u32) -> Member {
                let initial = Member { $($field: $initial,)* };
                Member { id, ..initial }
            }
        }

        #[derive(Serialize, Deserialize)]
        struct Columns {
            indices: BTreeMap<u32, usize>,
            free: Vec<usize>,
            $($field: Vec<$kind>,)*
        }

        impl From<MemberTable> for Columns {
            fn from(table: MemberTable) -> Columns {
                let members = table.members;
                Columns {
                    indices: table.indices,
                    free: table.free,
                    $($field: members.iter().map(|member| member.$field).collect(),)*
                }
            }
        }

        impl TryFrom<Columns> for MemberTable {
            type Error = UnequalColumns;

            fn try_from(columns: Columns) -> Result<MemberTable, UnequalColumns> {
                let count = columns.id.len();
                if $(columns.$field.len() != count)||* {
                    return Err(UnequalColumns);
                }
                let member = |index: usize| Member { $($field: columns.$field[index],)* };
                Ok(MemberTable {
                    members: (0..count).map(member).collect(),
                    indices: columns.indices,
                    free: columns.free,
                })
            }
        }
    };
}

member_fields! {
    /// Id within this driver.
    id: u32 = 0;
    /// Key that is the same at all drivers.
    fleet_key: u64 = 0;
    /// Index of its group.
    group: usize = 0;
    /// Index of its zone.
    zone: u16 = 0;
    /// State in the endpoint list, or draining where a peer reported that.
    state: MemberState = MemberState::Ready;
    /// A drain was listed or reported since its last start.
    drained: bool = false;
    /// Capacity relative to other members.
    capacity: f64 = 1.0;
    /// Time until which it counts as unresponsive, as reported by other drivers.
    unresponsive_until: Timestamp = Timestamp(0);
    /// Time of its last start, where known.
    started_at: Option<RemoteTimestamp> = None;
    /// Known log position.
    position: RemoteTimestamp = RemoteTimestamp(0);
    /// Time at which its position was reported.
    status_at: Option<Timestamp> = None;
    /// Its last report of a role was that of a replica.
    reported_replica: bool = false;
    /// Executions of this driver in flight, except abandoned ones.
    in_flight: usize = 0;
    /// Executions of this driver's peer process in flight.
    peer_in_flight: usize = 0;
    /// Time since which it has answered nothing, while executions are in flight.
    unanswered_since: Timestamp = Timestamp(0);
    /// Ejected as an outlier until it answers a health check or an execution.
    ejected: bool = false;
    /// Open connections, busy and idle.
    connections: usize = 0;
    /// Time of the last dispatch.
    last_used_at: Timestamp = Timestamp(0);
    /// Maximum number of executions in flight.
    concurrency_limit: f64 = 1.0;
    /// Smoothed latency as a share of the SLO time.
    latency_ratio: f64 = 0.0;
    /// Share of statements that are admitted; 1 and more admit everything.
    admission_share: f64 = 1.0;
    /// Time at which the concurrency limit was last reduced.
    limit_reduced_at: Timestamp = Timestamp(0);
    /// Smoothed concurrency at which its latency was good.
    proven_concurrency: f64 = 0.0;
    /// Time of its entry in the timer queue.
    next_check_at: Timestamp = Timestamp(0);
    /// Time from which it may be health-checked.
    health_check_at: Timestamp = Timestamp(0);
    /// Work of the last dispatch, which delays the next one while it is warming up.
    warm_up_debt: TimeSpan = TimeSpan(0);
    /// Time of that dispatch.
    warm_up_debt_at: Timestamp = Timestamp(0);
    /// Budget while it is warming up, where other drivers' load is known.
    warm_up_budget: Option<WarmUpBudget> = None;
}

/// Index of a member in the table.
pub(crate) struct MemberSlot {
    pub(crate) index: usize,
    /// The member was added by this call.
    pub(crate) is_new: bool,
}

/// All members by index. Indices of removed members are reused.
#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(into = "Columns", try_from = "Columns")]
pub(crate) struct MemberTable {
    indices: BTreeMap<u32, usize>,
    free: Vec<usize>,
    members: Vec<Member>,
}

impl MemberTable {
    /// Index of the member with this id.
    pub(crate) fn index_of(&self, id: u32) -> Option<usize> {
        self.indices.get(&id).copied()
    }

    /// Index of the member with this id, which is added if it is new.
    pub(crate) fn index_or_insert(&mut self, id: u32) -> MemberSlot {
        if let Some(index) = self.index_of(id) {
            return MemberSlot { index, is_new: false };
        }
        let index = self.free.pop().unwrap_or(self.members.len());
        if index < self.members.len() {
            self.members[index] = Member::new(id);
        } else {
            self.members.push(Member::new(id));
        }
        self.indices.insert(id, index);
        MemberSlot { index, is_new: true }
    }

    /// Frees an index, at which the member stays readable until the index is reused. Returns the member's id.
    pub(crate) fn remove(&mut self, index: usize) -> u32 {
        let id = self.members[index].id;
        self.indices.remove(&id);
        self.free.push(index);
        id
    }

    /// Number of members, freed indices excluded.
    pub(crate) fn len(&self) -> usize {
        self.indices.len()
    }

    /// Indices of all members, by ascending id.
    pub(crate) fn all_indices(&self) -> impl Iterator<Item = usize> + '_ {
        self.indices.values().copied()
    }

    /// Ids and members, by ascending id.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (u32, &Member)> {
        self.indices
            .iter()
            .map(|(id, index)| (*id, &self.members[*index]))
    }

    /// All members, including those at freed indices.
    pub(crate) fn all_mut(&mut self) -> impl Iterator<Item = &mut Member> {
        self.members.iter_mut()
    }

    /// Drops a predecessor's executions in flight, and its idle connections unless they were handed over.
    /// Returns the indices of members that had executions. Only those are checked again, so that both
    /// processes decide alike.
    pub(crate) fn reset_in_flight(&mut self, idle_handed_over: bool, now: Timestamp) -> Vec<usize> {
        let mut changed = Vec::new();
        for (index, member) in self.members.iter_mut().enumerate() {
            let idle = member.connections.saturating_sub(member.in_flight);
            member.connections = if idle_handed_over { idle } else { 0 };
            if std::mem::take(&mut member.in_flight) > 0 {
                member.unanswered_since = now;
                changed.push(index);
            }
        }
        changed
    }
}

impl Index<usize> for MemberTable {
    type Output = Member;
    fn index(&self, index: usize) -> &Member {
        &self.members[index]
    }
}

impl IndexMut<usize> for MemberTable {
    fn index_mut(&mut self, index: usize) -> &mut Member {
        &mut self.members[index]
    }
}
