//! Members of all groups and what is known of each.

use crate::interface::MemberState;
use crate::time::{RemoteTimestamp, TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::{Index, IndexMut};

/// Work that this driver may send to a warming member, given what all others send.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct WarmUpBudget {
    /// Remaining work.
    pub(crate) work: TimeSpan,
    /// End of its validity.
    pub(crate) until: Timestamp,
}

/// Stored columns of unequal length.
#[derive(Debug, thiserror::Error)]
#[error("columns of the member table differ in length")]
struct UnequalColumns;

/// Defines `Member` with its initial values, and `Columns`, the stored form of the table: one list a field.
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
            places: BTreeMap<u32, usize>,
            free: Vec<usize>,
            $($field: Vec<$kind>,)*
        }

        impl From<MemberTable> for Columns {
            fn from(table: MemberTable) -> Columns {
                let members = table.members;
                Columns {
                    places: table.places,
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
                let member = |place: usize| Member { $($field: columns.$field[place],)* };
                Ok(MemberTable {
                    members: (0..count).map(member).collect(),
                    places: columns.places,
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
    /// Place of its group.
    group: usize = 0;
    /// Index of its zone.
    zone: u16 = 0;
    /// State by the endpoint list.
    state: MemberState = MemberState::Ready;
    /// A drain was listed or reported since its last start.
    drained: bool = false;
    /// Capacity relative to other members.
    capacity: f64 = 1.0;
    /// Reported as unresponsive by other drivers until then.
    unresponsive_until: Timestamp = Timestamp(0);
    /// Time of its last start, where known.
    started_at: Option<RemoteTimestamp> = None;
    /// Known log position.
    position: RemoteTimestamp = RemoteTimestamp(0);
    /// Time at which that was reported.
    status_at: Option<Timestamp> = None;
    /// It last reported that it is a replica.
    reported_replica: bool = false;
    /// Executions of this driver in flight, except abandoned ones.
    in_flight: usize = 0;
    /// Executions that the peer process of this driver has in flight.
    peer_in_flight: usize = 0;
    /// Since when it has left executions unanswered, while any is in flight.
    oldest_unanswered: Timestamp = Timestamp(0);
    /// Ejected as an outlier until a health check succeeds or it answers.
    ejected: bool = false;
    /// Open connections, busy and idle.
    connections: usize = 0;
    /// Time of the last dispatch.
    last_used_at: Timestamp = Timestamp(0);
    /// Concurrency limit.
    concurrency_limit: f64 = 1.0;
    /// Smoothed latency as a share of the SLO time.
    latency_ratio: f64 = 0.0;
    /// Share of statements that are admitted.
    admission_share: f64 = 1.0;
    /// Time at which the concurrency limit was last reduced.
    limit_reduced_at: Timestamp = Timestamp(0);
    /// Smoothed concurrency at which latency was good.
    proven_concurrency: f64 = 0.0;
    /// Time of its entry in the timer queue.
    next_check_at: Timestamp = Timestamp(0);
    /// Time from which it may be health-checked.
    health_check_at: Timestamp = Timestamp(0);
    /// Work last sent while it was warming up.
    warm_up_debt: TimeSpan = TimeSpan(0);
    /// Time at which that was sent.
    warm_up_debt_at: Timestamp = Timestamp(0);
    /// Budget while it is warming up, where other drivers' load is known.
    warm_up_budget: Option<WarmUpBudget> = None;
}

/// A member's place, and whether it had one before.
pub(crate) struct Placed {
    pub(crate) place: usize,
    pub(crate) is_new: bool,
}

/// All members by place. Places of removed members are given to new ones.
#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(into = "Columns", try_from = "Columns")]
pub(crate) struct MemberTable {
    places: BTreeMap<u32, usize>,
    free: Vec<usize>,
    members: Vec<Member>,
}

impl MemberTable {
    /// Place of the member with this id, if it has one.
    pub(crate) fn find(&self, id: u32) -> Option<usize> {
        self.places.get(&id).copied()
    }

    /// Place of the member with this id; a new id gets a free place.
    pub(crate) fn place(&mut self, id: u32) -> Placed {
        if let Some(place) = self.find(id) {
            return Placed { place, is_new: false };
        }
        let place = self.free.pop().unwrap_or(self.members.len());
        if place < self.members.len() {
            self.members[place] = Member::new(id);
        } else {
            self.members.push(Member::new(id));
        }
        self.places.insert(id, place);
        Placed { place, is_new: true }
    }

    /// Frees a place; the member there stays readable until the place is given away. Returns the member's id.
    pub(crate) fn remove(&mut self, place: usize) -> u32 {
        let id = self.members[place].id;
        self.places.remove(&id);
        self.free.push(place);
        id
    }

    /// Number of members.
    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    /// Places of all members, in the order of their ids.
    pub(crate) fn all_places(&self) -> impl Iterator<Item = usize> + '_ {
        self.places.values().copied()
    }

    /// Ids and members, in the order of the ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (u32, &Member)> {
        self.places.iter().map(|(id, place)| (*id, &self.members[*place]))
    }

    /// All members, those of freed places included.
    pub(crate) fn all_mut(&mut self) -> impl Iterator<Item = &mut Member> {
        self.members.iter_mut()
    }

    /// Drops another process's executions in flight. Idle connections are kept only where they were handed over. Returns
    /// the places that this changes; only those are checked again, or the two processes would decide differently.
    pub(crate) fn reset_in_flight(&mut self, idle_handed_over: bool, now: Timestamp) -> Vec<usize> {
        let mut changed = Vec::new();
        for (place, member) in self.members.iter_mut().enumerate() {
            let idle = member.connections.saturating_sub(member.in_flight);
            member.connections = if idle_handed_over { idle } else { 0 };
            if std::mem::take(&mut member.in_flight) > 0 {
                member.oldest_unanswered = now;
                changed.push(place);
            }
        }
        changed
    }
}

impl Index<usize> for MemberTable {
    type Output = Member;
    fn index(&self, place: usize) -> &Member {
        &self.members[place]
    }
}

impl IndexMut<usize> for MemberTable {
    fn index_mut(&mut self, place: usize) -> &mut Member {
        &mut self.members[place]
    }
}
