//! Changes of configuration and limits, and the state that the program reads.

use super::{EventLoop, Logger};
use crate::routing::limits::{Limits, WorkloadLimits};
use crate::routing::runtime_config::RuntimeConfig;
use crate::transport::listener::ListenerHandle;
use asterlatch::time::Timestamp;
use std::collections::BTreeMap;

/// Capacity of all processes of this service together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceCapacity {
    /// Number of descriptors.
    pub descriptors: usize,
    /// Memory in bytes.
    pub memory: usize,
}

/// Resources that this process uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Number of clients.
    pub clients: usize,
    /// Memory reserved for clients and members, in bytes.
    pub memory: usize,
}

/// Sizes of the tables of members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberCounts {
    /// Names that resolve to an id.
    pub names: usize,
    /// Ids with a record.
    pub ids: usize,
    /// Members with an idle connection.
    pub idle: usize,
}

impl<L: Logger> EventLoop<L> {
    /// Applies a changed configuration. Open connections beyond a lower limit stay until they close.
    pub fn set_config(&mut self, now: Timestamp, config: RuntimeConfig) {
        self.config = config;
        self.apply_limits();
        self.discovery_requests.set_address(now, config.discovery);
    }

    /// Applies changed limits to new connections and statements. Open ones stay, except for idle connections
    /// beyond a shorter timeout.
    pub fn set_limits(&mut self, limits: Limits, by_workload: &BTreeMap<String, WorkloadLimits>) {
        self.limits = limits;
        self.workloads.set_limits(by_workload);
        self.apply_limits();
    }

    fn apply_limits(&mut self) {
        let limits = self.limits;
        let capacity = self.config.connection_capacity(&limits);
        self.clients.set_limits(capacity.clients, limits);
        self.member_requests
            .set_limits(capacity.members, limits.member_idle_share);
        self.discovery_requests.set_limits(limits);
        self.config.resize_budgets(&limits, &self.memory);
    }

    /// Memory reserved for clients and members, in bytes.
    pub fn reserved_memory(&self) -> usize {
        self.memory.clients.reserved() + self.memory.members.reserved()
    }

    /// Capacity of all processes of this service together.
    pub fn service_capacity(&self) -> ServiceCapacity {
        ServiceCapacity {
            descriptors: self.config.max_descriptors,
            memory: self.config.max_memory,
        }
    }

    /// Resources that this process uses.
    pub fn process_usage(&self) -> ProcessUsage {
        ProcessUsage {
            clients: self.clients.count(),
            memory: self.reserved_memory(),
        }
    }

    /// Capacity of the memory budget for clients, in bytes.
    pub fn client_memory_capacity(&self) -> usize {
        self.memory.clients.capacity()
    }

    /// Takes control of the listener that accepts clients.
    pub fn attach_listener(&mut self, listener: ListenerHandle) {
        self.acceptor.attach(listener);
    }

    /// Whether a listener is attached and not closed.
    pub fn is_listening(&self) -> bool {
        self.acceptor.is_listening()
    }

    /// Whether the listener has closed, so that no more clients are accepted.
    pub fn is_listener_closed(&self) -> bool {
        self.acceptor.is_closed()
    }

    /// Sizes of the tables of members.
    pub fn member_counts(&self) -> MemberCounts {
        let size = self.members.size();
        MemberCounts {
            names: size.names,
            ids: size.ids,
            idle: self.member_requests.idle_member_count(),
        }
    }

    /// Number of connected clients.
    pub fn open_clients(&self) -> usize {
        self.clients.count()
    }

    /// Number of statements without a final answer.
    pub fn open_statements(&self) -> usize {
        self.statements.count()
    }
}
