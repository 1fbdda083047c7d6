//! Configuration and start of the coroutine runtime.

use std::sync::Once;

/// Coroutine stacks. Buffers belong on the heap, since a stack overflow terminates the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CoroutineStacks {
    /// Size of one stack in bytes.
    pub stack_bytes: usize,
    /// Number of unused stacks that are kept for new coroutines.
    pub pool_capacity: usize,
}

impl Default for CoroutineStacks {
    fn default() -> CoroutineStacks {
        CoroutineStacks {
            stack_bytes: 64 * 1024,
            pool_capacity: 64,
        }
    }
}

/// Configures and starts the runtime. Only the first call has an effect, and it must precede the first
/// coroutine. The single worker is not pinned: all drivers on a machine would otherwise share the first core.
pub fn start(stacks: CoroutineStacks) {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        may::config()
            .set_workers(1)
            .set_stack_size(stacks.stack_bytes / size_of::<usize>())
            .set_pool_capacity(stacks.pool_capacity)
            .set_worker_pin(false);
        // The first coroutine creates the event loop. A successor panics if it cannot create the loop after
        // it has received the predecessor's descriptors, so the loop is created now.
        drop(may::go!(|| ()));
    });
}
