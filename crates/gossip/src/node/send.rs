//! Sending of new records and of queued anti-entropy messages, in datagrams within the rate limit.

use super::{outbox, GossipNode, NodeOutput};
use crate::codec::{DatagramHeader, Message};
use asterlatch::time::Timestamp;

/// Fraction of the available tokens that new records may use in one gossip interval; the rest is for
/// anti-entropy.
const DISSEMINATION_FRACTION: f64 = 0.75;

impl GossipNode {
    /// Sends new records to a few random peers.
    pub(super) fn disseminate(&mut self, now: Timestamp) {
        let mut receivers: Vec<usize> = self.membership.reachable().collect();
        self.rng.shuffle(&mut receivers);
        receivers.truncate(self.settings.fanout);
        if receivers.is_empty() || self.dissemination.is_empty() {
            return;
        }
        let mut available = self.send_rate.available() * DISSEMINATION_FRACTION;
        let state = &self.state;
        let mut messages = Vec::new();
        self.dissemination.select(|key| {
            let Some(entry) = state.get(key) else {
                return true;
            };
            let record = entry.record.clone();
            let age = entry.age(now);
            let message = Message::Record { record, age }.encode();
            available -= (message.len() * receivers.len()) as f64;
            let fits = available >= 0.0;
            if fits {
                messages.push(message);
            }
            fits
        });
        self.metrics.records_sent += (messages.len() * receivers.len()) as u64;
        for peer in receivers {
            for message in &messages {
                self.outbox.push_encoded(peer, message.clone());
            }
        }
    }

    /// Sends queued anti-entropy messages within the remaining rate.
    pub(super) fn send_pending(&mut self, now: Timestamp) {
        if !self.anti_entropy.has_pending() {
            return;
        }
        let mut available = self.send_rate.available() - self.outbox.len_bytes() as f64;
        let outbox = &mut self.outbox;
        let records_sent = &mut self.metrics.records_sent;
        self.anti_entropy.send_pending(now, &self.state, |peer, message| {
            let message = message.encode();
            let fits = available >= message.len() as f64;
            if fits {
                available -= message.len() as f64;
                *records_sent += 1;
                outbox.push_encoded(peer, message);
            }
            fits
        });
    }

    /// Sends all messages of the outbox, with as many as fit in each datagram.
    pub(super) fn flush(&mut self, now: Timestamp) {
        for (to, messages) in self.outbox.take() {
            let header = self.header_for(to, now);
            let capacity = self.settings.dialect.capacity(&header);
            for chunk in outbox::datagram_chunks(&messages, capacity) {
                let bytes = self.settings.dialect.encode(&self.settings.fleet, &header, chunk);
                self.send_rate.spend(bytes.len());
                self.metrics.datagrams_sent += 1;
                self.metrics.bytes_sent += bytes.len() as u64;
                self.outputs.push(NodeOutput::Send { to, bytes });
            }
        }
    }

    fn header_for(&self, to: usize, now: Timestamp) -> DatagramHeader {
        DatagramHeader {
            name: self.settings.name.clone(),
            incarnation: self.membership.identity().incarnation,
            sent_at: now,
            known_incarnation: self.membership.peers()[to].incarnation,
            caught_up: !self.anti_entropy.is_behind(),
        }
    }
}
