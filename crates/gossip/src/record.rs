//! Facts, and which of two tellings of one stands. Merging is commutative, associative and idempotent for each kind, so
//! copies that were told the same in any order are equal. Where two tellings can't both be true the conservative one
//! stands, and `quarrel` keeps both.

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_coordination::lease::Lease;
use serde::{Deserialize, Serialize};

/// How the list calls a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Standing {
    Ready,
    Draining,
    Gone,
}

/// Each with what may be done with it. Members and drivers go by name. Datagrams and kept copies tell them by their order
/// here: a new kind, or a new figure of one, comes last.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// What a member said of itself to some driver, in milliseconds of its log: how far it was, and where it last spoke as
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
    /// How the list calls a member, from the version of the list that said so. Its owner is discovery. A later start wins,
    /// then the newer list, then the worse standing. A drain binds from when it is heard; only a newer list ends it.
    Drain {
        name: String,
        started_ms: u64,
        list: u64,
        standing: Standing,
    },
    /// How much work a driver has sent to a member since that started, while it was cold. Its owner is that driver; it
    /// only grows within one life of the driver. Summed over drivers it is what the member has borne. Beside it what warm
    /// members carry for that driver, in millionths of a core. `said` counts its tellings.
    Cold {
        member: String,
        started_ms: u64,
        driver: String,
        life: u64,
        said: u64,
        work_us: u64,
        carries_us: u64,
    },
    /// Where a session's last write was committed, as the driver that carried it was told. The furthest wins. A read of
    /// that session must see it; one that isn't known proves nothing.
    Session { session: u64, position: u64 },
    /// What a driver says of itself: the `said`th time in this life. It decides nothing; operators see it.
    Driver {
        name: String,
        life: u64,
        said: u64,
        list: u64,
        file: u64,
        caught_up: bool,
    },
    /// Who does something for all. Its owner is the claim's holder; `asterlatch_coordination::lease` says which stands.
    Turn { subject: String, claim: Lease },
    /// A driver has an execution out at a member that is late: it was sent so long before this was said. Its owner is that
    /// driver; the `said`th telling counts. With another driver's it may have reads go elsewhere for a moment, and alone
    /// nothing.
    Late {
        member: String,
        driver: String,
        life: u64,
        said: u64,
        before_us: u64,
    },
    /// What a driver lets in at members, by their keys: in parts of 200, with how many answers of its own behind it, in
    /// tenths. Its owner is that driver. Drawn together with others' it moves shares in sparse views; by itself nothing.
    Load {
        driver: String,
        life: u64,
        said: u64,
        shares: Vec<(u64, u8, u8)>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// In the order in which they are told when not all can be.
    Drain,
    Turn,
    Late,
    Cold,
    Member,
    Driver,
    Session,
    Load,
}

pub const KINDS: [Kind; 8] = [
    Kind::Drain,
    Kind::Turn,
    Kind::Late,
    Kind::Cold,
    Kind::Member,
    Kind::Driver,
    Kind::Session,
    Kind::Load,
];

/// Of what a fact tells. Two facts of one key are two tellings of the same.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub Kind, pub String);

/// Longer names are not taken: they come from settings, which are shorter.
pub const LONGEST_NAME: usize = 128;

/// Members that one word on loads names at most: it fits a datagram with others.
pub const MOST_SHARES: usize = 48;

impl Kind {
    /// As datagrams number it. A number is never given to another kind.
    pub fn number(self) -> u8 {
        match self {
            Kind::Member => 16,
            Kind::Drain => 17,
            Kind::Cold => 18,
            Kind::Session => 19,
            Kind::Driver => 20,
            Kind::Turn => 21,
            Kind::Late => 22,
            Kind::Load => 23,
        }
    }

    pub fn name(self) -> &'static str {
        match self {
            Kind::Member => "member",
            Kind::Drain => "drain",
            Kind::Cold => "cold",
            Kind::Session => "session",
            Kind::Driver => "driver",
            Kind::Turn => "turn",
            Kind::Late => "late",
            Kind::Load => "load",
        }
    }

    /// Whether it is of any use to a later life of its driver, so that it is kept on a disk.
    pub fn outlives(self) -> bool {
        !matches!(self, Kind::Turn | Kind::Late | Kind::Load)
    }

    /// What was told longer ago is let go, and not taken from others either.
    pub fn kept(self) -> TimeSpan {
        match self {
            // A member that nobody has heard for so long is unknown again.
            Kind::Member => TimeSpan::millis(120_000),
            Kind::Drain => TimeSpan::millis(600_000),
            // Longer than any member stays cold.
            Kind::Cold => TimeSpan::millis(120_000),
            // Replicas that are further behind are none that reads go to.
            Kind::Session => TimeSpan::millis(30_000),
            Kind::Driver => TimeSpan::millis(600_000),
            // Longer than any lease.
            Kind::Turn => TimeSpan::millis(60_000),
            Kind::Late | Kind::Load => TimeSpan::millis(5_000),
        }
    }

    /// How many of this kind a copy holds at most; the oldest go first.
    pub fn most(self) -> usize {
        match self {
            Kind::Member | Kind::Drain | Kind::Turn => 4096,
            Kind::Late => 16_384,
            Kind::Cold => 16_384,
            Kind::Session => 32_768,
            Kind::Driver | Kind::Load => 1024,
        }
    }
}

/// Which of two tellings stands: the one that is here, the one that came, or what both say together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stands {
    Same,
    Here,
    Came,
    Both(Record),
}

impl Record {
    pub fn kind(&self) -> Kind {
        match self {
            Record::Member { .. } => Kind::Member,
            Record::Drain { .. } => Kind::Drain,
            Record::Cold { .. } => Kind::Cold,
            Record::Session { .. } => Kind::Session,
            Record::Driver { .. } => Kind::Driver,
            Record::Turn { .. } => Kind::Turn,
            Record::Late { .. } => Kind::Late,
            Record::Load { .. } => Kind::Load,
        }
    }

    pub fn key(&self) -> Key {
        let of = match self {
            Record::Member { name, .. } | Record::Drain { name, .. } | Record::Driver { name, .. } => {
                name.clone()
            }
            Record::Cold {
                member,
                started_ms,
                driver,
                ..
            } => format!("{member} {started_ms} {driver}"),
            Record::Session { session, .. } => format!("{session:016x}"),
            Record::Turn { subject, .. } => subject.clone(),
            Record::Late { member, driver, .. } => format!("{member} {driver}"),
            Record::Load { driver, .. } => driver.clone(),
        };
        Key(self.kind(), of)
    }

    /// Whether it could be taken at all.
    pub fn is_sound(&self) -> bool {
        let named = |names: &[&String]| names.iter().all(|n| !n.is_empty() && n.len() <= LONGEST_NAME);
        match self {
            Record::Member { name, .. } | Record::Drain { name, .. } | Record::Driver { name, .. } => {
                named(&[name])
            }
            Record::Cold { member, driver, .. } | Record::Late { member, driver, .. } => {
                named(&[member, driver])
            }
            Record::Turn { subject, .. } => named(&[subject]),
            Record::Load { driver, shares, .. } => named(&[driver]) && shares.len() <= MOST_SHARES,
            Record::Session { session, .. } => *session != 0,
        }
    }

    /// What stands of two tellings of one key.
    pub fn against(&self, came: &Record) -> Stands {
        if self == came {
            return Stands::Same;
        }
        let joined = self.joined(came);
        if joined == *self {
            Stands::Here
        } else if joined == *came {
            Stands::Came
        } else {
            Stands::Both(joined)
        }
    }

    /// The least telling that holds all that both say. Of two kinds or keys this one.
    pub fn joined(&self, other: &Record) -> Record {
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
                    list,
                    standing,
                    ..
                },
                Record::Drain {
                    started_ms: s,
                    list: l,
                    standing: st,
                    ..
                },
            ) => larger(self, other, (started_ms, list, standing) >= (s, l, st)),
            (
                Record::Cold {
                    life,
                    said,
                    work_us,
                    carries_us,
                    ..
                },
                Record::Cold {
                    life: l,
                    said: s,
                    work_us: w,
                    carries_us: c,
                    ..
                },
            ) => larger(self, other, (life, said, work_us, carries_us) >= (l, s, w, c)),
            (Record::Session { position, .. }, Record::Session { position: p, .. }) => {
                larger(self, other, position >= p)
            }
            (
                Record::Driver {
                    life,
                    said,
                    list,
                    file,
                    caught_up,
                    ..
                },
                Record::Driver {
                    life: li,
                    said: sa,
                    list: l,
                    file: f,
                    caught_up: c,
                    ..
                },
            ) => larger(
                self,
                other,
                // Who hasn't caught up is believed in that.
                (life, said, !caught_up, list, file) >= (li, sa, !c, l, f),
            ),
            (Record::Turn { claim, .. }, Record::Turn { claim: c, .. }) => {
                larger(self, other, claim.merge(*c) == *claim)
            }
            (
                Record::Late {
                    life,
                    said,
                    before_us,
                    ..
                },
                Record::Late {
                    life: l,
                    said: s,
                    before_us: b,
                    ..
                },
            ) => larger(self, other, (life, said, before_us) >= (l, s, b)),
            (
                Record::Load {
                    life, said, shares, ..
                },
                Record::Load {
                    life: l,
                    said: s,
                    shares: sh,
                    ..
                },
            ) => larger(self, other, (life, said, shares) >= (l, s, sh)),
            _ => self.clone(),
        }
    }

    /// When what stands of two tellings was told: `here` and `came` are when each was.
    pub fn told(&self, stands: &Stands, here: Timestamp, came: Timestamp) -> Timestamp {
        match stands {
            Stands::Here => here,
            Stands::Came => came,
            // A drain counts from its first telling; of what a member says it counts when it was last seen to hold.
            Stands::Same if self.kind() == Kind::Drain => here.min(came),
            Stands::Same | Stands::Both(_) => here.max(came),
        }
    }
}

fn larger(one: &Record, other: &Record, one_wins: bool) -> Record {
    if one_wins { one } else { other }.clone()
}
