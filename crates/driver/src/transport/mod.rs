//! Sockets and clocks. Nothing here knows what the bytes mean: each connection is run for a `Dialogue`.

use std::os::fd::{AsFd, BorrowedFd, RawFd};
use std::sync::{Mutex, MutexGuard, Once, OnceLock, PoisonError};

/// What coroutines run on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stacks {
    /// Bytes of a coroutine's stack. Buffers live on the heap, for an overflow kills the process.
    pub bytes: usize,
    /// Kept for the next coroutine.
    pub spare: usize,
}

impl Default for Stacks {
    fn default() -> Stacks {
        Stacks {
            bytes: 64 * 1024,
            spare: 64,
        }
    }
}

/// Sets the coroutines up, which can be done only once and before the first of them. One worker, and that not
/// bound to a core: several drivers may share a machine, and the first core would be everybody's.
pub fn start(stacks: Stacks) {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        may::config()
            .set_workers(1)
            .set_stack_size(stacks.bytes / size_of::<usize>())
            .set_pool_capacity(stacks.spare)
            .set_worker_pin(false);
        // The event loop is made with the first of them: at once, for a process that takes over gets descriptors of others
        // from its commit on, and one that can't have a loop any more ends by a panic.
        drop(may::go!(|| ()));
    });
}

/// Held while a socket is closed, and while one is registered, whichever way it came: dialled, accepted, or from another
/// process. The event loop closes first and takes the number out of its set behind that: a new socket that was given the
/// number in between and registered would be taken out in its place, and never be heard of again. Registered behind the
/// lock it comes after both.
pub fn numbers() -> MutexGuard<'static, ()> {
    static NUMBERS: Mutex<()> = Mutex::new(());
    NUMBERS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Takes a descriptor out of the event loop before it is closed here while another process holds the same socket, or may. The
/// loop's own word comes after the close, when the kernel knows the number no more but keeps the registration for as long
/// as anybody holds the socket: its next event would come for memory that is free. It took a process down in one of some
/// dozen upgrades under load.
pub fn forget(descriptor: impl AsFd) {
    static LOOPS: OnceLock<Vec<RawFd>> = OnceLock::new();
    let found = || {
        let all = std::fs::read_dir("/proc/self/fd").into_iter().flatten().flatten();
        let is_loop = |e: &std::fs::DirEntry| {
            let target = std::fs::read_link(e.path()).unwrap_or_default();
            target.to_string_lossy().contains("[eventpoll]")
        };
        let number = |e: std::fs::DirEntry| e.file_name().to_str()?.parse().ok();
        all.filter(is_loop).filter_map(number).collect()
    };
    for event_loop in LOOPS.get_or_init(found) {
        // SAFETY: the event loop's descriptors stay open for as long as the process lives.
        let event_loop = unsafe { BorrowedFd::borrow_raw(*event_loop) };
        // It is registered with one of them at most.
        let _ = rustix::event::epoll::delete(event_loop, descriptor.as_fd());
    }
}

pub mod ages;
pub mod clock;
pub mod datagrams;
pub mod listener;
pub mod memory_budget;
pub mod pool;
pub mod stream;
pub mod witness;
