//! Token buckets for tenants' quotas.

use crate::time::{TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

const SECOND: TimeSpan = TimeSpan::millis(1000);

#[derive(Serialize, Deserialize)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Timestamp,
}

/// Token bucket of each tenant. Its capacity is one second's quota, and at least one statement.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct TenantQuotas(BTreeMap<usize, TokenBucket>);

impl TenantQuotas {
    /// Takes one token from a tenant's bucket; returns whether one was available.
    pub(crate) fn try_take(&mut self, tenant: usize, per_second: f64, now: Timestamp) -> bool {
        let bucket = self.0.entry(tenant).or_insert(TokenBucket {
            tokens: 0.0,
            refilled_at: Timestamp(0),
        });
        let refill = (now - bucket.refilled_at).ratio(SECOND) * per_second;
        bucket.tokens = (bucket.tokens + refill).min(per_second.max(1.0));
        bucket.refilled_at = now;
        let is_available = bucket.tokens >= 1.0;
        if is_available {
            bucket.tokens -= 1.0;
        }
        is_available
    }
}
