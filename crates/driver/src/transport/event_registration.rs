//! Registration of descriptors with the coroutine runtime's event loop.

use std::os::fd::{AsFd, BorrowedFd, RawFd};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};

/// Serialises closing one socket and registering another. The event loop closes a descriptor first and
/// unregisters its number afterwards: a new socket that received the number in between would be unregistered
/// instead, and would never report an event.
pub fn lock() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Unregisters a descriptor from the event loop. Must be called before closing a socket that another process
/// may hold open. The kernel keeps the registration while any process holds the socket, and the event loop
/// can no longer remove it once the descriptor is closed: the next event would refer to freed memory.
pub fn unregister(descriptor: impl AsFd) {
    static EVENT_LOOPS: OnceLock<Vec<RawFd>> = OnceLock::new();
    for event_loop in EVENT_LOOPS.get_or_init(find_event_loops) {
        // SAFETY: the event loop's descriptors stay open until the process exits.
        let event_loop = unsafe { BorrowedFd::borrow_raw(*event_loop) };
        // Fails for every event loop but the one that the descriptor is registered with.
        let _ = rustix::event::epoll::delete(event_loop, descriptor.as_fd());
    }
}

/// All epoll descriptors of this process.
fn find_event_loops() -> Vec<RawFd> {
    let descriptors = std::fs::read_dir("/proc/self/fd").into_iter().flatten().flatten();
    let is_event_loop = |entry: &std::fs::DirEntry| {
        let target = std::fs::read_link(entry.path()).unwrap_or_default();
        target.to_string_lossy().contains("[eventpoll]")
    };
    let descriptor_number = |entry: std::fs::DirEntry| entry.file_name().to_str()?.parse().ok();
    descriptors
        .filter(is_event_loop)
        .filter_map(descriptor_number)
        .collect()
}
