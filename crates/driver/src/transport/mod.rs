//! Sockets and clocks. Nothing here knows what the bytes mean: each connection is run for a `Dialogue`.

use std::sync::Once;

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
    });
}

pub mod ages;
pub mod clock;
pub mod listener;
pub mod pool;
pub mod room;
pub mod stream;
