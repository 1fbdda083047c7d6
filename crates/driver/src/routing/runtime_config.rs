//! The part of the configuration that may change while the process serves, and what follows from it.

use super::limits::Limits;
use crate::transport::memory_budget::MemoryBudget;
use std::net::SocketAddr;

/// Configuration that may change while the process serves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RuntimeConfig {
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Descriptors that all processes of this service together may have.
    pub max_descriptors: usize,
    /// Bytes that all processes of this service together may have.
    pub max_memory: usize,
}

/// Most connections of each kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionCapacity {
    /// Of clients; at least one.
    pub clients: usize,
    /// To members.
    pub members: usize,
}

/// Memory for what clients and members send. Connections reserve from it on their own threads.
#[derive(Clone)]
pub struct MemoryBudgets {
    /// For what clients have sent and what they have not read yet.
    pub clients: MemoryBudget,
    /// For incomplete answers of members.
    pub members: MemoryBudget,
}

impl RuntimeConfig {
    /// New budgets by these limits.
    pub fn memory_budgets(&self, limits: &Limits) -> MemoryBudgets {
        MemoryBudgets {
            clients: MemoryBudget::new(limits.client_memory_share.of(self.max_memory)),
            members: MemoryBudget::new(limits.member_memory_share.of(self.max_memory)),
        }
    }

    /// Changes budgets to these limits. What is reserved beyond them stays until it is released.
    pub fn resize_budgets(&self, limits: &Limits, budgets: &MemoryBudgets) {
        let client_bytes = limits.client_memory_share.of(self.max_memory);
        let member_bytes = limits.member_memory_share.of(self.max_memory);
        budgets.clients.set_capacity(client_bytes);
        budgets.members.set_capacity(member_bytes);
    }

    /// How many connections clients and members may have.
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
