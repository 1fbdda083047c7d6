//! The member directory: maps names of members, zones and workloads to the integer ids of the routing policy.

use crate::protocol::endpoint_list::{Endpoint, EndpointStatus};
use crate::protocol::replica_status;
use crate::protocol::statement_comment::hash_id;
use asterlatch::interface::{MemberEntry, MemberState};
use asterlatch_settings::normalize_name;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Names numbered in the order of their first use.
#[derive(Default, Serialize, Deserialize)]
pub struct NameTable(BTreeMap<String, usize>);

impl NameTable {
    /// Numbers these names; duplicates get the number of their first occurrence.
    pub fn from_names(names: &[String]) -> NameTable {
        let mut table = NameTable::default();
        for name in names {
            table.intern(name);
        }
        table
    }

    /// The number of a name; `None` if it is not in the table.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.0.get(name).copied()
    }

    /// The number of a name, added if it is new.
    pub fn intern(&mut self, name: &str) -> usize {
        if let Some(number) = self.find(name) {
            return number;
        }
        let number = self.0.len();
        self.0.insert(name.to_owned(), number);
        number
    }
}

/// A member's record. Serialized for handover: the order and types of the fields are part of the format.
#[derive(Serialize, Deserialize)]
struct MemberRecord {
    name: String,
    address: Option<SocketAddr>,
    group: u32,
    started_ms: u64,
}

/// Identifies an instance of a member in messages between drivers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberIdentity {
    /// Name in the endpoint list.
    pub name: String,
    /// Time of its last start, as Unix time in milliseconds; zero if unknown.
    pub started_ms: u64,
    /// Id of its group.
    pub group: u32,
}

/// Number of entries of a directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DirectorySize {
    /// Names that resolve to an id.
    pub names: usize,
    /// Ids with a record.
    pub ids: usize,
}

/// Members from their first listing until the policy removes them. Ids are never reused, so an id held by a
/// request in flight cannot refer to another member. Serialized for handover: the order and types of the
/// fields are part of the format.
#[derive(Default, Serialize, Deserialize)]
pub struct MemberDirectory {
    ids: BTreeMap<String, u32>,
    records: BTreeMap<u32, MemberRecord>,
    next_id: u32,
    zones: NameTable,
    groups: BTreeSet<u32>,
}

impl MemberDirectory {
    /// An empty directory; zones are numbered in the order of the settings.
    pub fn new(zones: &[String]) -> MemberDirectory {
        MemberDirectory {
            zones: NameTable::from_names(zones),
            ..MemberDirectory::default()
        }
    }

    /// Last known address of a member.
    pub fn address(&self, member: u32) -> Option<SocketAddr> {
        self.records.get(&member)?.address
    }

    /// Id of a member at this address, preferably `member`.
    pub fn find_at(&self, address: SocketAddr, member: u32) -> Option<u32> {
        if self.address(member) == Some(address) {
            return Some(member);
        }
        let mut records = self.records.iter();
        let (id, _) = records.find(|(_, record)| record.address == Some(address))?;
        Some(*id)
    }

    /// Name of a member.
    pub fn name(&self, member: u32) -> Option<&str> {
        self.records.get(&member).map(|record| record.name.as_str())
    }

    /// The identity of a member in messages between drivers.
    pub fn identity(&self, member: u32) -> Option<MemberIdentity> {
        let record = self.records.get(&member)?;
        Some(MemberIdentity {
            name: record.name.clone(),
            started_ms: record.started_ms,
            group: record.group,
        })
    }

    /// Whether a member's last start was at `started_ms`, in milliseconds of Unix time.
    pub fn has_started_at(&self, member: u32, started_ms: u64) -> bool {
        let record = self.records.get(&member);
        record.is_some_and(|record| record.started_ms == started_ms)
    }

    /// Id of the member with this name; `None` if it is not listed.
    pub fn find(&self, name: &str) -> Option<u32> {
        self.ids.get(name).copied()
    }

    /// Number of names and ids.
    pub fn size(&self) -> DirectorySize {
        DirectorySize {
            names: self.ids.len(),
            ids: self.records.len(),
        }
    }

    /// Removes a member that the policy no longer uses. It gets a new id if it is listed again.
    pub fn remove(&mut self, member: u32) {
        if let Some(record) = self.records.remove(&member) {
            self.ids.remove(&record.name);
        }
    }

    /// Whether any member of this group was ever listed.
    pub fn has_group(&self, group: u32) -> bool {
        self.groups.contains(&group)
    }

    /// Adds or updates a member and returns its entry for the policy; `None` if its address cannot be parsed.
    pub fn upsert(&mut self, endpoint: &Endpoint) -> Option<MemberEntry> {
        let address = endpoint.address.parse().ok();
        let is_deleted = endpoint.status == EndpointStatus::Deleted;
        if address.is_none() && !is_deleted {
            return None;
        }
        let id = self.record(endpoint, address, is_deleted);
        // A deleted endpoint may have no group.
        if !is_deleted {
            self.groups.insert(endpoint.group);
        }
        Some(MemberEntry {
            id,
            fleet_key: fleet_key(&endpoint.name),
            // Zone names in the settings were normalized too: their spaces and commas are replaced.
            zone: self.zones.intern(&normalize_name(&endpoint.zone)) as u16,
            group: endpoint.group,
            state: match endpoint.status {
                EndpointStatus::Serving => MemberState::Ready,
                EndpointStatus::Draining => MemberState::Draining,
                EndpointStatus::Deleted => MemberState::Gone,
            },
            listed_as_primary: endpoint.is_primary,
            capacity: endpoint.weight,
            started_at: replica_status::unix_timestamp(endpoint.since_ms),
        })
    }

    fn record(&mut self, endpoint: &Endpoint, address: Option<SocketAddr>, is_deleted: bool) -> u32 {
        let id = *self.ids.entry(endpoint.name.clone()).or_insert(self.next_id);
        let record = self.records.entry(id).or_insert_with(|| MemberRecord {
            name: endpoint.name.clone(),
            address: None,
            group: endpoint.group,
            started_ms: endpoint.since_ms,
        });
        if !is_deleted {
            record.group = endpoint.group;
            record.started_ms = endpoint.since_ms;
        }
        record.address = address.or(record.address);
        self.next_id = self.next_id.max(id.wrapping_add(1));
        id
    }
}

/// Hash of the name of a driver or member, the same on all drivers.
pub fn fleet_key(name: &str) -> u64 {
    hash_id(name)
}

/// Hash of a session's routing key; never zero, which means no session.
pub fn session_key(routing_key: &str) -> u64 {
    hash_id(routing_key).max(1)
}
