//! Limits of what one peer may send.

use crate::dissemination::TokenBucket;
use asterlatch::time::{TimeSpan, Timestamp};

/// A peer may send this many times what this driver sends in all, which leaves room for anti-entropy.
const RATE_FACTOR: u64 = 4;
/// How long a peer that exceeds its limit is ignored.
const IGNORE_TIME: TimeSpan = TimeSpan::millis(5000);
/// Inquiries that a peer may send per second.
const INQUIRIES_PER_SECOND: u64 = 200;

/// What a datagram's size means for the peer's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    Accepted,
    /// The peer exceeds its limit from here on.
    LimitExceeded,
    /// The peer has exceeded its limit and is ignored for a while.
    Ignored,
}

pub(super) struct PeerLimits {
    bytes: TokenBucket,
    inquiries: TokenBucket,
    ignored_until: Timestamp,
}

impl PeerLimits {
    pub(super) fn new(now: Timestamp, bytes_per_second: u64) -> PeerLimits {
        PeerLimits {
            bytes: TokenBucket::new(now, bytes_per_second.saturating_mul(RATE_FACTOR)),
            inquiries: TokenBucket::new(now, INQUIRIES_PER_SECOND),
            ignored_until: Timestamp(0),
        }
    }

    pub(super) fn admit_datagram(&mut self, now: Timestamp, bytes: usize) -> Admission {
        if now < self.ignored_until {
            return Admission::Ignored;
        }
        self.bytes.refill(now);
        if self.bytes.try_take(bytes) {
            return Admission::Accepted;
        }
        self.ignored_until = now + IGNORE_TIME;
        Admission::LimitExceeded
    }

    pub(super) fn admit_inquiry(&mut self, now: Timestamp) -> bool {
        self.inquiries.refill(now);
        self.inquiries.try_take(1)
    }
}
