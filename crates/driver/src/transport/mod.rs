//! Sockets and clocks. Nothing here knows what the bytes mean: each connection is run for a `Dialogue`.

use std::sync::Once;

/// Bytes of a coroutine's stack. Buffers live on the heap, for an overflow kills the process.
const STACK: usize = 64 * 1024;
/// Stacks kept for the next coroutine.
const SPARE_STACKS: usize = 64;

/// Sets the coroutines up, which can be done only once and before the first of them. One worker, and that not
/// bound to a core: several drivers may share a machine, and the first core would be everybody's.
pub fn start() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        may::config()
            .set_workers(1)
            .set_stack_size(STACK / size_of::<usize>())
            .set_pool_capacity(SPARE_STACKS)
            .set_worker_pin(false);
    });
}

pub mod ages;
pub mod clock;
pub mod listener;
pub mod pool;
pub mod room;
pub mod stream;
