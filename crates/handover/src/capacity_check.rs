//! Whether predecessor and successor fit side by side into limits that were made for one process.
//!
//! Checked before anything is started: an upgrade that doesn't fit is refused with its figures, and the
//! running process goes on.

use thiserror::Error;

/// What the running process uses, and the limits that it shares with a successor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    /// File descriptors that both processes together may open.
    pub descriptor_limit: usize,
    /// Descriptors that the running process has open.
    pub open_descriptors: usize,
    /// Its client connections. The successor holds a copy of each for as long as it is on probation.
    pub client_connections: usize,
    /// Bytes of memory that both processes together may use.
    pub memory_limit: u64,
    /// Bytes that are resident in the running process.
    pub resident_memory: u64,
    /// Bytes of these that buffer messages. The successor starts without them.
    pub message_memory: u64,
}

/// What two processes would need more than there is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CapacityError {
    /// Too few file descriptors.
    #[error(
        "both processes together need {needed} descriptors ({open} held now, one more for each of {clients} clients, \
         {HANDOVER_DESCRIPTORS} for the new process), and there are {limit}"
    )]
    Descriptors {
        /// Descriptors of both processes.
        needed: usize,
        /// Descriptors that the running process has open.
        open: usize,
        /// Client connections, each of which needs one descriptor more.
        clients: usize,
        /// Descriptors that there are.
        limit: usize,
    },
    /// Too little memory.
    #[error(
        "both processes together need {needed_mb} MB ({resident_mb} now, and {successor_mb} for the new process), and \
         there are {limit_mb}"
    )]
    Memory {
        /// Memory of both processes in MiB, rounded up.
        needed_mb: u64,
        /// Memory of the running process in MiB, rounded up.
        resident_mb: u64,
        /// Memory that the successor will need in MiB, rounded up.
        successor_mb: u64,
        /// Memory that there is in MiB, rounded down.
        limit_mb: u64,
    },
}

/// Descriptors of a process that serves nobody yet, and of the handover itself on both sides.
const HANDOVER_DESCRIPTORS: usize = 40;
/// Bytes that a process uses that serves nobody yet: program, stacks and the tables it reads.
const MIN_SUCCESSOR_MEMORY: u64 = 6 * MIB;
const MIB: u64 = 1 << 20;

/// Checks that a successor fits beside the running process.
///
/// # Errors
/// The first limit that is too low.
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

/// The successor inherits what this process has learned, but none of the messages it buffers.
fn check_memory(usage: &ResourceUsage) -> Result<(), CapacityError> {
    let inherited = usage.resident_memory.saturating_sub(usage.message_memory);
    let successor = inherited.max(MIN_SUCCESSOR_MEMORY);
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
