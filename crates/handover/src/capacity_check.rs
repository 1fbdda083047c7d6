//! Whether two processes have room side by side under limits that were made for one. Asked before anything is started;
//! what can't be is refused with its figures, and the running process goes on.

/// What is had now, and what a new process will need beside it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// Descriptors that both together may hold.
    pub descriptors: usize,
    /// Those that the running process holds.
    pub held: usize,
    /// Its clients: the new process holds each of them too, for as long as it is on probation.
    pub clients: usize,
    /// Bytes that both together may fill, and those that the running process does.
    pub memory: u64,
    pub resident: u64,
    /// Of these, what peers' messages fill: that doesn't come along.
    pub messages: u64,
}

/// Descriptors of a process that serves nobody yet, and of the takeover itself on both sides.
const OWN: usize = 40;
/// What a process fills that serves nobody yet: program, stacks, and tables that are read.
const LEAST: u64 = 6 << 20;

/// A line that says what is missing.
pub fn check(room: &Room) -> Result<(), String> {
    let needed = room.held + room.clients + OWN;
    if needed > room.descriptors {
        return Err(format!(
            "both processes together need {needed} descriptors ({} held now, one more for each of {} clients, {OWN} for the \
             new process), and there are {}",
            room.held, room.clients, room.descriptors
        ));
    }
    // The new one learns what this one knows, and begins with none of its messages.
    let new = room.resident.saturating_sub(room.messages).max(LEAST);
    let needed = room.resident + new;
    if needed > room.memory {
        let mb = |bytes: u64| bytes.div_ceil(1 << 20);
        return Err(format!(
            "both processes together need {} MB ({} now, and {} for the new process), and there are {}",
            mb(needed),
            mb(room.resident),
            mb(new),
            room.memory >> 20
        ));
    }
    Ok(())
}
