//! Configuration that may change at run time, and the capacities derived from it.

use super::limits::{Limits, Share};
use crate::transport::memory_budget::MemoryBudget;
use std::net::SocketAddr;

/// Memory of a process without connections and buffered messages.
const PROCESS_BYTES: usize = 6 << 20;
/// Memory of a connection: its stack, its entries in tables, and the buffers that no budget covers.
const CONNECTION_BYTES: usize = 16 << 10;
/// Largest part of a budget in the memory that the process and a full table of connections leave, in percent. The
/// rest is for complete messages on their way between connections.
const MAX_BUDGET_PERCENT: usize = 36;
/// Minimum of a budget as a fraction of all memory, where connections alone could take nearly all of it.
const MIN_BUDGET_DIVISOR: usize = 16;

/// Configuration that may change at run time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RuntimeConfig {
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Maximum number of descriptors of all processes of this service together.
    pub max_descriptors: usize,
    /// Maximum memory of all processes of this service together, in bytes.
    pub max_memory: usize,
}

/// Maximum number of connections of each kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionCapacity {
    /// Client connections; at least one.
    pub clients: usize,
    /// Member connections.
    pub members: usize,
}

/// Budgets for input from clients and members. Connections reserve memory from any thread.
#[derive(Clone)]
pub struct MemoryBudgets {
    /// Input from clients and answers that they have not read yet.
    pub clients: MemoryBudget,
    /// Incomplete answers from members.
    pub members: MemoryBudget,
}

impl RuntimeConfig {
    /// Creates budgets from the limits.
    pub fn memory_budgets(&self, limits: &Limits) -> MemoryBudgets {
        MemoryBudgets {
            clients: MemoryBudget::new(self.budget_bytes(limits, limits.client_memory_share)),
            members: MemoryBudget::new(self.budget_bytes(limits, limits.member_memory_share)),
        }
    }

    /// Resizes the budgets. Reservations beyond a lower limit stay until they are released.
    pub fn resize_budgets(&self, limits: &Limits, budgets: &MemoryBudgets) {
        let client_bytes = self.budget_bytes(limits, limits.client_memory_share);
        let member_bytes = self.budget_bytes(limits, limits.member_memory_share);
        budgets.clients.set_capacity(client_bytes);
        budgets.members.set_capacity(member_bytes);
    }

    /// A share of the memory, but at most [`MAX_BUDGET_PERCENT`] of what the process and a full table of connections leave.
    fn budget_bytes(&self, limits: &Limits, share: Share) -> usize {
        let capacity = self.connection_capacity(limits);
        let connections = (capacity.clients + capacity.members) * CONNECTION_BYTES;
        let free = self.max_memory.saturating_sub(PROCESS_BYTES + connections);
        let min_budget = self.max_memory / MIN_BUDGET_DIVISOR;
        share
            .of(self.max_memory)
            .min((free * MAX_BUDGET_PERCENT / 100).max(min_budget))
    }

    /// Splits the descriptors between client and member connections.
    pub fn connection_capacity(&self, limits: &Limits) -> ConnectionCapacity {
        let reserved = limits.reserved_descriptors;
        let all = self.max_descriptors.saturating_sub(reserved).max(2);
        let clients = limits.client_share.of(all).max(1);
        ConnectionCapacity {
            clients,
            members: all - clients,
        }
    }
}
