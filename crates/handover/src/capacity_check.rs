//! Checks that predecessor and successor fit into limits that were set for one process.
//!
//! The check runs before the successor is started: an upgrade that doesn't fit is rejected with the amounts,
//! and the running process continues to serve.

use thiserror::Error;

/// Resources used by the running process, and the limits that it shares with a successor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    /// File descriptors that both processes together may open.
    pub descriptor_limit: usize,
    /// Descriptors that the running process has open.
    pub open_descriptors: usize,
    /// Client connections of the running process. On probation both processes have a descriptor for each.
    pub client_connections: usize,
    /// Bytes of memory that both processes together may use.
    pub memory_limit: u64,
    /// Resident bytes of the running process.
    pub resident_memory: u64,
    /// Part of the resident bytes that buffers messages. The successor starts without it.
    pub message_memory: u64,
}

/// The limit that two processes would exceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CapacityError {
    /// Too few file descriptors.
    #[error(
        "both processes together need {needed} descriptors ({open} open now, one more for each of \
         {clients} clients, {HANDOVER_DESCRIPTORS} for the new process), but the limit is {limit}"
    )]
    Descriptors {
        /// Descriptors of both processes.
        needed: usize,
        /// Descriptors that the running process has open.
        open: usize,
        /// Client connections, each of which needs one more descriptor.
        clients: usize,
        /// Descriptors that both processes together may open.
        limit: usize,
    },
    /// Too little memory.
    #[error(
        "both processes together need {needed_mb} MB of memory ({resident_mb} now, and {successor_mb} for \
         the new process), but the limit is {limit_mb}"
    )]
    Memory {
        /// Memory of both processes in MiB, rounded up.
        needed_mb: u64,
        /// Memory of the running process in MiB, rounded up.
        resident_mb: u64,
        /// Memory that the successor will need in MiB, rounded up.
        successor_mb: u64,
        /// Memory that both processes together may use in MiB, rounded down.
        limit_mb: u64,
    },
}

/// Descriptors of a successor without clients, and of the handover itself on both sides.
const HANDOVER_DESCRIPTORS: usize = 40;
/// Memory of a successor without clients: program, stacks and tables.
const MIN_SUCCESSOR_BYTES: u64 = 6 * MIB;
const MIB: u64 = 1 << 20;

/// Checks that a successor fits into the limits together with the running process.
///
/// # Errors
/// The first limit that would be exceeded.
pub fn check_capacity(usage: &ResourceUsage) -> Result<(), CapacityError> {
    check_descriptors(usage)?;
    check_memory(usage)
}

fn check_descriptors(usage: &ResourceUsage) -> Result<(), CapacityError> {
    let needed = usage.open_descriptors + usage.client_connections + HANDOVER_DESCRIPTORS;
    if needed <= usage.descriptor_limit {
        return Ok(());
    }
    Err(CapacityError::Descriptors {
        needed,
        open: usage.open_descriptors,
        clients: usage.client_connections,
        limit: usage.descriptor_limit,
    })
}

/// The successor receives the learned state of this process, but none of its buffered messages.
fn check_memory(usage: &ResourceUsage) -> Result<(), CapacityError> {
    let inherited = usage.resident_memory.saturating_sub(usage.message_memory);
    let successor = inherited.max(MIN_SUCCESSOR_BYTES);
    let needed = usage.resident_memory + successor;
    if needed <= usage.memory_limit {
        return Ok(());
    }
    Err(CapacityError::Memory {
        needed_mb: needed.div_ceil(MIB),
        resident_mb: usage.resident_memory.div_ceil(MIB),
        successor_mb: successor.div_ceil(MIB),
        limit_mb: usage.memory_limit / MIB,
    })
}
