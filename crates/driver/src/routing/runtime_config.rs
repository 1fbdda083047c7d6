//! Configuration that may change at run time, and the capacities derived from it.

use super::limits::Limits;
use crate::transport::memory_budget::MemoryBudget;
use std::net::SocketAddr;

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
            clients: MemoryBudget::new(limits.client_memory_share.of(self.max_memory)),
            members: MemoryBudget::new(limits.member_memory_share.of(self.max_memory)),
        }
    }

    /// Resizes the budgets. Reservations beyond a lower limit stay until they are released.
    pub fn resize_budgets(&self, limits: &Limits, budgets: &MemoryBudgets) {
        let client_bytes = limits.client_memory_share.of(self.max_memory);
        let member_bytes = limits.member_memory_share.of(self.max_memory);
        budgets.clients.set_capacity(client_bytes);
        budgets.members.set_capacity(member_bytes);
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
