//! Open inquiries of this driver, repeated to peers that haven't replied, since datagrams may be lost.

use crate::codec::InquiryId;
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Fraction of the timeout after which an inquiry is repeated.
const REPEAT_FRACTION: f64 = 0.4;

struct OpenInquiry {
    pending_peers: BTreeSet<usize>,
    repeat_at: Timestamp,
    deadline: Timestamp,
}

/// An inquiry to repeat to peers that haven't replied.
pub(super) struct RepeatedInquiry {
    pub(super) inquiry: InquiryId,
    pub(super) pending_peers: BTreeSet<usize>,
}

pub(super) struct OpenInquiries {
    timeout: TimeSpan,
    open: BTreeMap<InquiryId, OpenInquiry>,
}

impl OpenInquiries {
    pub(super) fn new(timeout: TimeSpan) -> OpenInquiries {
        let open = BTreeMap::new();
        OpenInquiries { timeout, open }
    }

    pub(super) fn start(&mut self, now: Timestamp, inquiry: InquiryId, peers: BTreeSet<usize>) {
        let open = OpenInquiry {
            pending_peers: peers,
            repeat_at: now + self.timeout * REPEAT_FRACTION,
            deadline: now + self.timeout,
        };
        self.open.insert(inquiry, open);
    }

    pub(super) fn end(&mut self, inquiry: InquiryId) {
        self.open.remove(&inquiry);
    }

    /// Returns whether this is the first reply of the peer to an open inquiry.
    pub(super) fn on_reply(&mut self, inquiry: InquiryId, peer: usize) -> bool {
        let open = self.open.get_mut(&inquiry);
        open.is_some_and(|open| open.pending_peers.remove(&peer))
    }

    pub(super) fn next_at(&self) -> Option<Timestamp> {
        self.open.values().map(|open| open.repeat_at).min()
    }

    /// Ends inquiries that are complete or have timed out; returns those to repeat.
    pub(super) fn take_due(&mut self, now: Timestamp) -> Vec<RepeatedInquiry> {
        let mut due = Vec::new();
        let next_repeat_at = now + self.timeout * REPEAT_FRACTION;
        self.open.retain(|inquiry, open| {
            if open.repeat_at > now {
                return true;
            }
            if now >= open.deadline || open.pending_peers.is_empty() {
                return false;
            }
            open.repeat_at = next_repeat_at;
            due.push(RepeatedInquiry {
                inquiry: *inquiry,
                pending_peers: open.pending_peers.clone(),
            });
            true
        });
        due
    }
}
