//! Messages collected during one input, so that messages to one peer share datagrams.

use crate::codec::Message;
use crate::membership::OutgoingMessage;
use std::collections::BTreeMap;

/// Encoded messages, by peer index.
#[derive(Default)]
pub(super) struct Outbox {
    messages: BTreeMap<usize, Vec<Vec<u8>>>,
}

impl Outbox {
    pub(super) fn push(&mut self, to: usize, message: &Message) {
        self.push_encoded(to, message.encode());
    }

    pub(super) fn push_encoded(&mut self, to: usize, message: Vec<u8>) {
        self.messages.entry(to).or_default().push(message);
    }

    pub(super) fn push_membership(&mut self, messages: Vec<OutgoingMessage>) {
        for message in messages {
            self.push(message.peer, &Message::Membership(message.data));
        }
    }

    /// Total size of all messages.
    pub(super) fn len_bytes(&self) -> usize {
        self.messages.values().flatten().map(Vec::len).sum()
    }

    /// Removes and returns all messages, by peer index.
    pub(super) fn take(&mut self) -> BTreeMap<usize, Vec<Vec<u8>>> {
        std::mem::take(&mut self.messages)
    }
}

/// Splits messages, in order, into chunks of at most `capacity` bytes; a larger message forms its own chunk.
pub(super) fn datagram_chunks(messages: &[Vec<u8>], capacity: usize) -> Vec<&[Vec<u8>]> {
    let mut chunks = Vec::new();
    let mut rest = messages;
    while !rest.is_empty() {
        let mut length = 0;
        let fitting = rest.iter().take_while(|message| {
            length += message.len();
            length <= capacity
        });
        let (chunk, after) = rest.split_at(fitting.count().max(1));
        chunks.push(chunk);
        rest = after;
    }
    chunks
}
