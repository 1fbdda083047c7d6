//! Facts, and which of two retransmits of one stands. Merging is commutative, associative and idempotent for each kind, so
//! copies that were told the same in any order are equal. Where two retransmits can't both be true the conservative one
//! stands, and `conflict` keeps both.

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_coordination::lease::Lease;
use serde::{Deserialize, Serialize};

/// How the list_version calls a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ListedState {
    Ready,
    Draining,
    Gone,
}

/// Each with what may be done with it. Members and drivers go by name. Datagrams and time_to_live copies tell them by their order
/// here: a new kind, or a new figure of one, comes last.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// What a member sequence of itself to some driver, in milliseconds of its log: how far it was, and where it last spoke as
    /// primary and as replica (zero: never). Its owner is the member. A later start wins, then each figure alone, for
    /// positions only grow. A lower bound for freshness and never a promise: what is behind a cut may be further on, and a
    /// position above a fork is void once a promoted replica has spoken.
    Member {
        name: String,
        started_ms: u64,
        group: u32,
        position: u64,
        primary_at: u64,
        replica_at: u64,
    },
    /// How the list_version calls a member, from the version of the list_version that sequence so. Its owner is discovery. A later start wins,
    /// then the newer list_version, then the worse state. A drain binds from when it is heard; only a newer list_version ends it.
    Drain {
        name: String,
        started_ms: u64,
        list_version: u64,
        state: ListedState,
    },
    /// How much work a driver has sent to a member since that started, while it was cold. Its owner is that driver; it
    /// only grows within one incarnation of the driver. Summed over drivers it is what the member has borne. Beside it what warm
    /// members carry for that driver, in millionths of a core. `sequence` counts its retransmits.
    WarmUp {
        member: String,
        started_ms: u64,
        driver: String,
        incarnation: u64,
        sequence: u64,
        work_us: u64,
        carried_us: u64,
    },
    /// Where a session's last write was committed, as the driver that carried it was told. The furthest wins. A read of
    /// that session must see it; one that isn't known proves nothing.
    Session { session: u64, position: u64 },
    /// What a driver says of itself: the `sequence`th time in this incarnation. It decides nothing; operators see it.
    Driver {
        name: String,
        incarnation: u64,
        sequence: u64,
        list_version: u64,
        operators_file: u64,
        caught_up: bool,
    },
    /// A driver does something for all. Its owner is the lease's holder; `asterlatch_coordination::lease` says which stands.
    Lease { subject: String, claim: Lease },
    /// A driver has an execution out at a member that is late: it was sent so long before this was reported. Its owner is that
    /// driver; the `sequence`th report counts. With another driver's it may have reads go elsewhere for a moment, and alone
    /// nothing.
    Unanswered {
        member: String,
        driver: String,
        incarnation: u64,
        sequence: u64,
        outstanding_us: u64,
    },
    /// What a driver lets in at members, by their keys: in parts of 200, with how many answers of its own behind it, in
    /// tenths. Its owner is that driver. Drawn together with others' it moves shares in sparse views; by itself nothing.
    Load {
        driver: String,
        incarnation: u64,
        sequence: u64,
        shares: Vec<(u64, u8, u8)>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordKind {
    /// In the order in which they are told when not all can be.
    Drain,
    Lease,
    Unanswered,
    WarmUp,
    Member,
    Driver,
    Session,
    Load,
}

pub const ALL_KINDS: [RecordKind; 8] = [
    RecordKind::Drain,
    RecordKind::Lease,
    RecordKind::Unanswered,
    RecordKind::WarmUp,
    RecordKind::Member,
    RecordKind::Driver,
    RecordKind::Session,
    RecordKind::Load,
];

/// Of what a record tells. Two records of one key are two retransmits of the same.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordKey(pub RecordKind, pub String);

/// Longer names are not taken: they come from settings, which are shorter.
pub const MAX_NAME_BYTES: usize = 128;

/// Members that one word on loads names at max_entries: it fits a datagram with others.
pub const MAX_LOAD_SHARES: usize = 48;

impl RecordKind {
    /// As datagrams wire_number it. A wire_number is never given to another kind.
    pub fn wire_number(self) -> u8 {
        match self {
            RecordKind::Member => 16,
            RecordKind::Drain => 17,
            RecordKind::WarmUp => 18,
            RecordKind::Session => 19,
            RecordKind::Driver => 20,
            RecordKind::Lease => 21,
            RecordKind::Unanswered => 22,
            RecordKind::Load => 23,
        }
    }

    pub fn name(self) -> &'static str {
        match self {
            RecordKind::Member => "member",
            RecordKind::Drain => "drain",
            RecordKind::WarmUp => "cold",
            RecordKind::Session => "session",
            RecordKind::Driver => "driver",
            RecordKind::Lease => "turn",
            RecordKind::Unanswered => "late",
            RecordKind::Load => "load",
        }
    }

    /// Whether it is of any use to a later incarnation of its driver, so that it is time_to_live on a disk.
    pub fn is_persistent(self) -> bool {
        !matches!(
            self,
            RecordKind::Lease | RecordKind::Unanswered | RecordKind::Load
        )
    }

    /// What was told longer ago is let go, and not taken from others either.
    pub fn time_to_live(self) -> TimeSpan {
        match self {
            // A member that nobody has heard for so long is unknown again.
            RecordKind::Member => TimeSpan::millis(120_000),
            RecordKind::Drain => TimeSpan::millis(600_000),
            // Longer than any member stays cold.
            RecordKind::WarmUp => TimeSpan::millis(120_000),
            // Replicas that are further behind are none that reads go to.
            RecordKind::Session => TimeSpan::millis(30_000),
            RecordKind::Driver => TimeSpan::millis(600_000),
            // Longer than any lease.
            RecordKind::Lease => TimeSpan::millis(60_000),
            RecordKind::Unanswered | RecordKind::Load => TimeSpan::millis(5_000),
        }
    }

    /// How many of this kind a copy holds at max_entries; the oldest go first.
    pub fn max_entries(self) -> usize {
        match self {
            RecordKind::Member | RecordKind::Drain | RecordKind::Lease => 4096,
            RecordKind::Unanswered => 16_384,
            RecordKind::WarmUp => 16_384,
            RecordKind::Session => 32_768,
            RecordKind::Driver | RecordKind::Load => 1024,
        }
    }
}

/// Which of two retransmits stands: the one that is here, the one that came, or what both say together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    Identical,
    Local,
    Remote,
    Combined(Record),
}

impl Record {
    pub fn kind(&self) -> RecordKind {
        match self {
            Record::Member { .. } => RecordKind::Member,
            Record::Drain { .. } => RecordKind::Drain,
            Record::WarmUp { .. } => RecordKind::WarmUp,
            Record::Session { .. } => RecordKind::Session,
            Record::Driver { .. } => RecordKind::Driver,
            Record::Lease { .. } => RecordKind::Lease,
            Record::Unanswered { .. } => RecordKind::Unanswered,
            Record::Load { .. } => RecordKind::Load,
        }
    }

    pub fn key(&self) -> RecordKey {
        let of = match self {
            Record::Member { name, .. } | Record::Drain { name, .. } | Record::Driver { name, .. } => {
                name.clone()
            }
            Record::WarmUp {
                member,
                started_ms,
                driver,
                ..
            } => format!("{member} {started_ms} {driver}"),
            Record::Session { session, .. } => format!("{session:016x}"),
            Record::Lease { subject, .. } => subject.clone(),
            Record::Unanswered { member, driver, .. } => format!("{member} {driver}"),
            Record::Load { driver, .. } => driver.clone(),
        };
        RecordKey(self.kind(), of)
    }

    /// Whether it could be taken at all.
    pub fn is_valid(&self) -> bool {
        let named = |names: &[&String]| names.iter().all(|n| !n.is_empty() && n.len() <= MAX_NAME_BYTES);
        match self {
            Record::Member { name, .. } | Record::Drain { name, .. } | Record::Driver { name, .. } => {
                named(&[name])
            }
            Record::WarmUp { member, driver, .. } | Record::Unanswered { member, driver, .. } => {
                named(&[member, driver])
            }
            Record::Lease { subject, .. } => named(&[subject]),
            Record::Load { driver, shares, .. } => named(&[driver]) && shares.len() <= MAX_LOAD_SHARES,
            Record::Session { session, .. } => *session != 0,
        }
    }

    /// What stands of two retransmits of one key.
    pub fn merge_outcome(&self, came: &Record) -> MergeOutcome {
        if self == came {
            return MergeOutcome::Identical;
        }
        let merge = self.merge(came);
        if merge == *self {
            MergeOutcome::Local
        } else if merge == *came {
            MergeOutcome::Remote
        } else {
            MergeOutcome::Combined(merge)
        }
    }

    /// The least telling that holds all that both say. Of two kinds or keys this one.
    pub fn merge(&self, other: &Record) -> Record {
        match (self, other) {
            (
                Record::Member {
                    name,
                    started_ms,
                    group,
                    position,
                    primary_at,
                    replica_at,
                },
                Record::Member {
                    started_ms: s,
                    group: g,
                    position: p,
                    primary_at: pa,
                    replica_at: ra,
                    ..
                },
            ) => match started_ms.cmp(s) {
                std::cmp::Ordering::Less => other.clone(),
                std::cmp::Ordering::Greater => self.clone(),
                std::cmp::Ordering::Equal => Record::Member {
                    name: name.clone(),
                    started_ms: *s,
                    group: *group.max(g),
                    position: *position.max(p),
                    primary_at: *primary_at.max(pa),
                    replica_at: *replica_at.max(ra),
                },
            },
            (
                Record::Drain {
                    started_ms,
                    list_version,
                    state,
                    ..
                },
                Record::Drain {
                    started_ms: s,
                    list_version: l,
                    state: st,
                    ..
                },
            ) => larger(self, other, (started_ms, list_version, state) >= (s, l, st)),
            (
                Record::WarmUp {
                    incarnation,
                    sequence,
                    work_us,
                    carried_us,
                    ..
                },
                Record::WarmUp {
                    incarnation: l,
                    sequence: s,
                    work_us: w,
                    carried_us: c,
                    ..
                },
            ) => larger(
                self,
                other,
                (incarnation, sequence, work_us, carried_us) >= (l, s, w, c),
            ),
            (Record::Session { position, .. }, Record::Session { position: p, .. }) => {
                larger(self, other, position >= p)
            }
            (
                Record::Driver {
                    incarnation,
                    sequence,
                    list_version,
                    operators_file,
                    caught_up,
                    ..
                },
                Record::Driver {
                    incarnation: li,
                    sequence: sa,
                    list_version: l,
                    operators_file: f,
                    caught_up: c,
                    ..
                },
            ) => larger(
                self,
                other,
                // NodeIdentity hasn't caught up is believed in that.
                (incarnation, sequence, !caught_up, list_version, operators_file) >= (li, sa, !c, l, f),
            ),
            (Record::Lease { claim, .. }, Record::Lease { claim: c, .. }) => {
                larger(self, other, claim.merge(*c) == *claim)
            }
            (
                Record::Unanswered {
                    incarnation,
                    sequence,
                    outstanding_us,
                    ..
                },
                Record::Unanswered {
                    incarnation: l,
                    sequence: s,
                    outstanding_us: b,
                    ..
                },
            ) => larger(self, other, (incarnation, sequence, outstanding_us) >= (l, s, b)),
            (
                Record::Load {
                    incarnation,
                    sequence,
                    shares,
                    ..
                },
                Record::Load {
                    incarnation: l,
                    sequence: s,
                    shares: sh,
                    ..
                },
            ) => larger(self, other, (incarnation, sequence, shares) >= (l, s, sh)),
            _ => self.clone(),
        }
    }

    /// When what stands of two retransmits was told: `here` and `came` are when each was.
    pub fn merged_observed_at(&self, stands: &MergeOutcome, here: Timestamp, came: Timestamp) -> Timestamp {
        match stands {
            MergeOutcome::Local => here,
            MergeOutcome::Remote => came,
            // A drain counts from its first telling; of what a member says it counts when it was last seen to hold.
            MergeOutcome::Identical if self.kind() == RecordKind::Drain => here.min(came),
            MergeOutcome::Identical | MergeOutcome::Combined(_) => here.max(came),
        }
    }
}

fn larger(one: &Record, other: &Record, one_wins: bool) -> Record {
    if one_wins { one } else { other }.clone()
}
