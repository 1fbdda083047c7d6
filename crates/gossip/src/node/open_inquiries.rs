//! Inquiries of this driver that peers haven't all answered. They are repeated, since datagrams may be lost.

use crate::codec::InquiryId;
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// An inquiry is repeated after this part of its timeout.
const REPEAT_INTERVAL: f64 = 0.4;

struct OpenInquiry {
    unanswered: BTreeSet<usize>,
    repeat_at: Timestamp,
    deadline: Timestamp,
}

/// An inquiry that is to be sent again.
pub(super) struct RepeatedInquiry {
    pub(super) inquiry: InquiryId,
    pub(super) unanswered: BTreeSet<usize>,
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
            unanswered: peers,
            repeat_at: now + self.timeout * REPEAT_INTERVAL,
            deadline: now + self.timeout,
        };
        self.open.insert(inquiry, open);
    }

    pub(super) fn end(&mut self, inquiry: InquiryId) {
        self.open.remove(&inquiry);
    }

    /// Returns whether it is the first answer of this peer to an open inquiry.
    pub(super) fn on_reply(&mut self, inquiry: InquiryId, peer: usize) -> bool {
        let open = self.open.get_mut(&inquiry);
        open.is_some_and(|open| open.unanswered.remove(&peer))
    }

    pub(super) fn next_at(&self) -> Option<Timestamp> {
        self.open.values().map(|open| open.repeat_at).min()
    }

    /// Ends inquiries that are over; returns those that are to be sent again.
    pub(super) fn take_due(&mut self, now: Timestamp) -> Vec<RepeatedInquiry> {
        let mut repeated = Vec::new();
        let next_repeat_at = now + self.timeout * REPEAT_INTERVAL;
        self.open.retain(|inquiry, open| {
            if open.repeat_at > now {
                return true;
            }
            if now >= open.deadline || open.unanswered.is_empty() {
                return false;
            }
            open.repeat_at = next_repeat_at;
            repeated.push(RepeatedInquiry {
                inquiry: *inquiry,
                unanswered: open.unanswered.clone(),
            });
            true
        });
        repeated
    }
}
