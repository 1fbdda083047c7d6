//! Rate limits for one peer.

use crate::dissemination::TokenBucket;
use asterlatch::time::{TimeSpan, Timestamp};

/// Receive limit for a peer as a multiple of this driver's total send limit, with room for anti-entropy.
const RATE_FACTOR: u64 = 4;
/// How long a peer that exceeds its limit is ignored.
const IGNORE_DURATION: TimeSpan = TimeSpan::millis(5000);
/// Limit on inquiries from a peer.
const MAX_INQUIRIES_PER_SECOND: u64 = 200;

/// Result of the rate limit check of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    Accepted,
    /// This datagram exceeds the limit; the peer is ignored from now on.
    LimitExceeded,
    /// The peer is being ignored since it exceeded the limit.
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
            inquiries: TokenBucket::new(now, MAX_INQUIRIES_PER_SECOND),
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
        self.ignored_until = now + IGNORE_DURATION;
        Admission::LimitExceeded
    }

    pub(super) fn admit_inquiry(&mut self, now: Timestamp) -> bool {
        self.inquiries.refill(now);
        self.inquiries.try_take(1)
    }
}
