//! Handling of received datagrams: rate limits, sender checks, and dispatch of each message to its protocol.

use super::peer_limits::Admission;
use super::{GossipNode, IgnoreReason, NodeOutput, RecordSource};
use crate::anti_entropy::RangePart;
use crate::codec::{self, DatagramHeader, DecodeError, InquiryId, Message};
use crate::conflict::{ConflictKind, ConflictSides};
use crate::in_doubt::DispatchStatus;
use asterlatch::time::Timestamp;

impl GossipNode {
    pub(super) fn on_datagram(&mut self, now: Timestamp, from: usize, bytes: &[u8]) {
        if !self.admit_datagram(now, from, bytes.len()) {
            return;
        }
        let datagram = match codec::decode_datagram(&self.settings.fleet, bytes) {
            Ok(datagram) => datagram,
            Err(DecodeError::Malformed) => {
                self.metrics.malformed += 1;
                return;
            }
            Err(DecodeError::UnsupportedVersion(_)) => {
                self.metrics.unknown_version += 1;
                return;
            }
        };
        if datagram.header.name != self.settings.peers[from] {
            self.report_sender_mismatch(now, from, datagram.header.name);
            return;
        }
        self.on_header(now, from, &datagram.header);
        for message in datagram.messages {
            self.on_message(now, from, message);
        }
    }

    fn admit_datagram(&mut self, now: Timestamp, from: usize, bytes: usize) -> bool {
        let Some(limits) = self.peer_limits.get_mut(from) else {
            return false;
        };
        self.metrics.datagrams_received += 1;
        self.metrics.bytes_received += bytes as u64;
        match limits.admit_datagram(now, bytes) {
            Admission::Accepted => true,
            Admission::LimitExceeded => {
                self.outputs.push(NodeOutput::PeerIgnored {
                    peer: from,
                    reason: IgnoreReason::RateExceeded,
                });
                false
            }
            Admission::Ignored => {
                self.metrics.ignored += 1;
                false
            }
        }
    }

    fn report_sender_mismatch(&mut self, now: Timestamp, from: usize, name: String) {
        let sides = ConflictSides {
            one: self.settings.peers[from].clone(),
            other: name.clone(),
        };
        let conflicts = &mut self.state.conflicts;
        if conflicts.report(now, ConflictKind::SenderMismatch, name, sides) {
            self.outputs.push(NodeOutput::PeerIgnored {
                peer: from,
                reason: IgnoreReason::SenderMismatch,
            });
        }
    }

    fn on_header(&mut self, now: Timestamp, from: usize, header: &DatagramHeader) {
        self.membership
            .on_datagram(now, from, header.incarnation, header.sent_at, header.caught_up);
        if header.known_incarnation > self.membership.identity().incarnation {
            // The host's clock was set back across this driver's restart.
            let messages = self.membership.supersede(now, header.known_incarnation);
            self.outbox.push_membership(messages);
        }
    }

    fn on_message(&mut self, now: Timestamp, from: usize, message: Message) {
        match message {
            Message::Membership(data) => {
                let messages = self.membership.on_message(now, &data);
                self.outbox.push_membership(messages);
            }
            Message::Record { record, age } => {
                self.metrics.records_received += 1;
                // The age doesn't include the time that the datagram was delayed or lay unread.
                let observed_at = now - age - self.membership.peers()[from].delay;
                self.apply(now, record, observed_at, RecordSource::PeerOrSnapshot);
            }
            Message::Digest { round, digests } => {
                self.anti_entropy.on_digest(from, round, &digests, &self.state);
            }
            Message::RangeHashes {
                round,
                lowest,
                highest,
                entries,
                ..
            } => {
                let part = RangePart {
                    lowest,
                    highest,
                    entries: &entries,
                };
                self.on_range_hashes(from, round, part);
            }
            Message::RangeRequest { round, range, keys } => {
                self.anti_entropy
                    .on_range_request(from, round, range, &keys, &self.state);
            }
            Message::RoundComplete { round, parts } => {
                let is_complete = self
                    .anti_entropy
                    .on_round_complete(from, round, parts, &self.state);
                self.metrics.rounds += u64::from(is_complete);
            }
            Message::Inquiry(inquiry) => self.on_inquiry(now, from, inquiry),
            Message::InquiryReply { inquiry, status } => self.on_inquiry_reply(from, inquiry, status),
        }
    }

    fn on_range_hashes(&mut self, from: usize, round: u32, part: RangePart) {
        let requests = self.anti_entropy.on_range_hashes(from, round, part, &self.state);
        for request in requests {
            self.outbox.push(from, &request);
        }
    }

    /// Inquiries beyond the limit are not passed to the driver, because each reply may add an entry to its
    /// dispatch log.
    fn on_inquiry(&mut self, now: Timestamp, from: usize, inquiry: InquiryId) {
        if self.peer_limits[from].admit_inquiry(now) {
            self.outputs.push(NodeOutput::InquiryReceived { from, inquiry });
            return;
        }
        let status = DispatchStatus::Unknown;
        self.outbox.push(from, &Message::InquiryReply { inquiry, status });
    }

    fn on_inquiry_reply(&mut self, from: usize, inquiry: InquiryId, status: DispatchStatus) {
        if self.inquiries.on_reply(inquiry, from) {
            self.outputs.push(NodeOutput::InquiryReplied {
                from,
                inquiry,
                status,
            });
        }
    }
}
