//! Whether two processes have room side by side under limits that were made for one. Asked before anything is started;
//! what can't be is refused with its figures, and the running process goes on.

/// What is had now, and what a new process will need beside it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Descriptors that both together may hold.
    pub descriptor_limit: usize,
    /// Those that the running process holds.
    pub open_descriptors: usize,
    /// Its clients: the new process holds each of them too, for as long as it is on probation.
    pub client_connections: usize,
    /// Bytes that both together may fill, and those that the running process does.
    pub memory_limit: u64,
    pub resident_memory: u64,
    /// Of these, what peers' messages fill: that doesn't come along.
    pub message_memory: u64,
}

/// Descriptors of a process that serves nobody yet, and of the takeover itself on both sides.
const HANDOVER_DESCRIPTORS: usize = 40;
/// What a process fills that serves nobody yet: program, stacks, and tables that are read.
const MIN_SUCCESSOR_MEMORY: u64 = 6 << 20;

/// A line that says what is missing.
pub fn check_capacity(usage: &ResourceUsage) -> Result<(), String> {
    let needed = usage.open_descriptors + usage.client_connections + HANDOVER_DESCRIPTORS;
    if needed > usage.descriptor_limit {
        return Err(format!(
            "both processes together need {needed} descriptors ({} held now, one more for each of {} clients, {HANDOVER_DESCRIPTORS} for the \
             new process), and there are {}",
            usage.open_descriptors, usage.client_connections, usage.descriptor_limit
        ));
    }
    // The new one learns what this one knows, and begins with none of its messages.
    let new = usage
        .resident_memory
        .saturating_sub(usage.message_memory)
        .max(MIN_SUCCESSOR_MEMORY);
    let needed = usage.resident_memory + new;
    if needed > usage.memory_limit {
        let mb = |bytes: u64| bytes.div_ceil(1 << 20);
        return Err(format!(
            "both processes together need {} MB ({} now, and {} for the new process), and there are {}",
            mb(needed),
            mb(usage.resident_memory),
            mb(new),
            usage.memory_limit >> 20
        ));
    }
    Ok(())
}
