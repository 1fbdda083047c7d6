//! Settings of the C library's allocator.

/// Buffers of at least this size are returned to the kernel when they are freed. In the heap, the gaps of large
/// answers of many connections would stay resident between small allocations.
#[cfg(target_env = "gnu")]
const MIN_MAPPED_BYTES: libc::c_int = 32 << 10;

/// Has large buffers returned to the kernel when they are freed. Call it before any connection is opened.
pub fn return_large_buffers() {
    // SAFETY: changes a setting of the allocator, which is permitted at any time.
    #[cfg(target_env = "gnu")]
    unsafe {
        libc::mallopt(libc::M_MMAP_THRESHOLD, MIN_MAPPED_BYTES);
    }
}
