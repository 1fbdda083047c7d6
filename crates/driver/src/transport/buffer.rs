//! Growth and shrinking of a connection's buffers, whose capacity counts against the memory budget.

/// A buffer that is too small grows by its content divided by this, since unused capacity takes memory too.
const GROWTH_DIVISOR: usize = 8;

/// Appends bytes to a buffer, which grows by a small share: hundreds of connections may hold large messages.
pub fn append(buffer: &mut Vec<u8>, bytes: &[u8]) {
    let needed = buffer.len() + bytes.len();
    if needed > buffer.capacity() {
        let capacity = needed + buffer.len() / GROWTH_DIVISOR;
        buffer.reserve_exact(capacity - buffer.len());
    }
    buffer.extend_from_slice(bytes);
}

/// Shrinks a buffer that is larger than `min_bytes` and at most half full.
pub fn shrink(buffer: &mut Vec<u8>, min_bytes: usize) {
    if buffer.capacity() > min_bytes && buffer.len() <= buffer.capacity() / 2 {
        buffer.shrink_to(buffer.len() + buffer.len() / GROWTH_DIVISOR);
    }
}
