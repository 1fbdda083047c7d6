//! Changes of configuration and limits, and what the program reads of the event loop's state.

use super::{EventLoop, Logger};
use crate::routing::limits::{Limits, WorkloadLimits};
use crate::routing::runtime_config::RuntimeConfig;
use crate::transport::listener::ListenerHandle;
use asterlatch::time::Timestamp;
use std::collections::BTreeMap;

/// What all processes of this service together may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceCapacity {
    /// Number of descriptors.
    pub descriptors: usize,
    /// Bytes of memory.
    pub memory: usize,
}

/// What this process uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Number of clients.
    pub clients: usize,
    /// Bytes of memory reserved for clients and members.
    pub memory: usize,
}

/// Number of members in each table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberCounts {
    /// Names that resolve to an id.
    pub names: usize,
    /// Ids with a record.
    pub ids: usize,
    /// Members with an idle connection.
    pub idle: usize,
}

impl<O: Logger> EventLoop<O> {
    /// Applies a changed configuration. Open connections stay: a lower limit is reached as they end.
    pub fn set_config(&mut self, now: Timestamp, config: RuntimeConfig) {
        self.config = config;
        self.apply_limits();
        self.discovery_requests.set_address(now, config.discovery);
    }

    /// Applies limits that operators have changed. They bind new connections and statements; nothing open ends for a
    /// lower limit, but for idle times that are over by then.
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

    /// Bytes of memory reserved for clients and members.
    pub fn reserved_memory(&self) -> usize {
        self.memory.clients.reserved() + self.memory.members.reserved()
    }

    /// What all processes of this service together may use.
    pub fn service_capacity(&self) -> ServiceCapacity {
        ServiceCapacity {
            descriptors: self.config.max_descriptors,
            memory: self.config.max_memory,
        }
    }

    /// What this process uses.
    pub fn process_usage(&self) -> ProcessUsage {
        ProcessUsage {
            clients: self.clients.count(),
            memory: self.reserved_memory(),
        }
    }

    /// Bytes that clients may fill.
    pub fn client_memory_capacity(&self) -> usize {
        self.memory.clients.capacity()
    }

    /// Accepts clients from this listener.
    pub fn attach_listener(&mut self, listening: ListenerHandle) {
        self.acceptor.attach(listening);
    }

    /// Whether a listener is attached and not closed.
    pub fn is_listening(&self) -> bool {
        self.acceptor.is_listening()
    }

    /// Whether the listener has closed, so that no more clients arrive.
    pub fn is_listener_closed(&self) -> bool {
        self.acceptor.is_closed()
    }

    /// Number of members in each table.
    pub fn member_counts(&self) -> MemberCounts {
        let size = self.members.size();
        MemberCounts {
            names: size.names,
            ids: size.ids,
            idle: self.member_requests.idle_member_count(),
        }
    }

    /// Number of clients.
    pub fn open_clients(&self) -> usize {
        self.clients.count()
    }

    /// Number of statements without a final answer.
    pub fn open_statements(&self) -> usize {
        self.statements.count()
    }
}
