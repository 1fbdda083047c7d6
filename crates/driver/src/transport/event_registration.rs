//! Registration of descriptors with the coroutine runtime's event loop.

use std::os::fd::{AsFd, BorrowedFd, RawFd};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};

/// Serialises closing a socket and registering another one, whether it was dialled, accepted or received from another
/// process. The event loop closes a descriptor first and removes its number from its set afterwards: a new socket that
/// got the number in between would be removed in its place, and never report an event.
pub fn lock() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Unregisters a descriptor from the event loop. To be called before it is closed here while another process may hold the
/// same socket. The event loop itself unregisters after the close, when the kernel no longer knows the number but keeps
/// the registration for as long as anybody holds the socket: its next event would refer to freed memory.
pub fn unregister(descriptor: impl AsFd) {
    static EVENT_LOOPS: OnceLock<Vec<RawFd>> = OnceLock::new();
    for event_loop in EVENT_LOOPS.get_or_init(find_event_loops) {
        // SAFETY: the event loop's descriptors stay open for as long as the process lives.
        let event_loop = unsafe { BorrowedFd::borrow_raw(*event_loop) };
        // It is registered with at most one of them.
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
    let number = |entry: std::fs::DirEntry| entry.file_name().to_str()?.parse().ok();
    descriptors.filter(is_event_loop).filter_map(number).collect()
}
