//! Names as small ids: members, zones and workloads as the module knows them.

use crate::protocol::comment::hashed;
use crate::protocol::roster::{Endpoint, Status};
use crate::protocol::vitals;
use asterlatch::interface::{MemberEntry, MemberState};
use asterlatch_settings::word;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

#[derive(Default, Serialize, Deserialize)]
pub struct Names(BTreeMap<String, usize>);

impl Names {
    pub fn of(names: &[String]) -> Names {
        let mut table = Names::default();
        for name in names {
            table.intern(name);
        }
        table
    }

    pub fn find(&self, name: &str) -> Option<usize> {
        self.0.get(name).copied()
    }

    pub fn intern(&mut self, name: &str) -> usize {
        match self.find(name) {
            Some(id) => id,
            None => {
                let id = self.0.len();
                self.0.insert(name.to_owned(), id);
                id
            }
        }
    }
}

#[derive(Serialize, Deserialize)]
struct Known {
    name: String,
    address: Option<SocketAddr>,
    group: u32,
    since_ms: u64,
}

/// Members from the first word of them until the module lets them go. No id is given twice, so one that is still
/// under way can't mean another member.
#[derive(Default, Serialize, Deserialize)]
pub struct Members {
    ids: BTreeMap<String, u32>,
    known: BTreeMap<u32, Known>,
    next: u32,
    zones: Names,
    groups: BTreeSet<u32>,
}

impl Members {
    pub fn new(zones: &[String]) -> Members {
        Members {
            zones: Names::of(zones),
            ..Members::default()
        }
    }

    pub fn address(&self, member: u32) -> Option<SocketAddr> {
        self.known.get(&member)?.address
    }

    pub fn name(&self, member: u32) -> Option<&str> {
        self.known.get(&member).map(|k| k.name.as_str())
    }

    /// As other drivers are told of it: its name, when it started (Unix time in milliseconds), and its group.
    pub fn told_as(&self, member: u32) -> Option<(String, u64, u32)> {
        let known = self.known.get(&member)?;
        Some((known.name.clone(), known.since_ms, known.group))
    }

    pub fn find(&self, name: &str) -> Option<u32> {
        self.ids.get(name).copied()
    }

    /// How many there are, by name and by id.
    pub fn count(&self) -> (usize, usize) {
        (self.ids.len(), self.known.len())
    }

    /// The module has let it go.
    pub fn let_go(&mut self, member: u32) {
        if let Some(known) = self.known.remove(&member) {
            self.ids.remove(&known.name);
        }
    }

    pub fn has_group(&self, group: u32) -> bool {
        self.groups.contains(&group)
    }

    /// The entry as the module takes it; none where its address can't be read.
    pub fn learn(&mut self, e: &Endpoint) -> Option<MemberEntry> {
        let address = e.address.parse().ok();
        if address.is_none() && e.status != Status::Deleted {
            return None;
        }
        let id = *self.ids.entry(e.name.clone()).or_insert(self.next);
        let known = self.known.entry(id).or_insert_with(|| Known {
            name: e.name.clone(),
            address: None,
            group: e.group,
            since_ms: e.since_ms,
        });
        if e.status != Status::Deleted {
            (known.group, known.since_ms) = (e.group, e.since_ms);
        }
        known.address = address.or(known.address);
        self.next = self.next.max(id.wrapping_add(1));
        // One that is gone may come with little more than its name.
        if e.status != Status::Deleted {
            self.groups.insert(e.group);
        }
        Some(MemberEntry {
            id,
            fleet_key: key(&e.name),
            // Settings have lost what their joined lists can't hold, so these names lose it too.
            zone: self.zones.intern(&word(&e.zone)) as u16,
            group: e.group,
            state: match e.status {
                Status::Serving => MemberState::Ready,
                Status::Draining => MemberState::Draining,
                Status::Deleted => MemberState::Gone,
            },
            listed_as_primary: e.is_primary,
            capacity: e.weight,
            started_at: vitals::unix(e.since_ms),
        })
    }
}

/// What a driver or member of this name is known by, alike at all drivers.
pub fn key(name: &str) -> u64 {
    hashed(name)
}

/// The session that a key names; zero stands for none.
pub fn session(key: &str) -> u64 {
    hashed(key).max(1)
}
