//! Set-up of the coroutine runtime.

use std::sync::Once;

/// Stacks of coroutines. Buffers live on the heap, since a stack overflow ends the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CoroutineStacks {
    /// Size of one stack in bytes.
    pub stack_bytes: usize,
    /// Number of stacks kept for further coroutines.
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

/// Configures the runtime. Only the first call has an effect, and it has to come before the first coroutine. There is one
/// worker, not pinned to a core: several drivers may share a machine and would all be pinned to the first one.
pub fn start(stacks: CoroutineStacks) {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        may::config()
            .set_workers(1)
            .set_stack_size(stacks.stack_bytes / size_of::<usize>())
            .set_pool_capacity(stacks.pool_capacity)
            .set_worker_pin(false);
        // The event loop is created with the first coroutine. A process that takes over receives descriptors of the other
        // one from its commit on, and panics if it can't create the loop then, so it is created at once.
        drop(may::go!(|| ()));
    });
}
