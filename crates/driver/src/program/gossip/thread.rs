//! The gossip thread: carries datagrams to the gossip node and back, and its events to the event loop.

use super::query::{Query, QueryKind};
use super::snapshot_writer::SnapshotWriter;
use super::status::{self, ThreadStatus};
use super::table;
use crate::routing::events::Event;
use crate::routing::gossip::{GossipCommand, GossipMessage};
use crate::transport::clock::Clock;
use crate::transport::datagrams::{DatagramEvent, DatagramSocket};
use asterlatch::time::Timestamp;
use asterlatch_gossip::node::{GossipNode, NodeInput, NodeOutput};
use std::io::Write;
use std::sync::mpsc::{Receiver, Sender};
use std::time::Duration;

/// The longest sleep: a clock that is set can't block the thread for ever.
const LONGEST_WAIT: Duration = Duration::from_secs(1);
/// Longest time for which an operator who doesn't read blocks the thread.
const REPLY_TIMEOUT: Duration = Duration::from_millis(200);

/// A message for the thread.
pub(super) enum ThreadMessage {
    /// Of the event loop.
    Command(GossipCommand),
    /// Of an operator.
    Query(Query),
}

/// Whether the thread goes on.
#[derive(Clone, Copy, PartialEq)]
enum Flow {
    Continue,
    End,
}

/// The state of the thread, which owns the node and its socket.
pub(super) struct GossipThread {
    pub(super) snapshot_writer: Option<SnapshotWriter>,
    /// Lines that the event loop is to log.
    pub(super) log_lines: Vec<String>,
    pub(super) node: GossipNode,
    pub(super) socket: DatagramSocket,
    pub(super) inbox: Receiver<ThreadMessage>,
    pub(super) queue: Sender<Event>,
    pub(super) clock: Clock,
    /// Datagrams from senders that are no peers.
    pub(super) foreign: u64,
    /// Datagrams that the kernel did not take.
    pub(super) not_sent: u64,
}

impl GossipThread {
    /// Runs until this driver leaves, the event loop is gone or the socket fails; the service itself goes on then.
    pub(super) fn run(mut self) {
        while self.step() == Flow::Continue {}
    }

    fn step(&mut self) -> Flow {
        let now = self.clock.now();
        if let Some(writer) = &mut self.snapshot_writer {
            let lines = writer.poll(&mut self.node, now);
            self.log_lines.extend(lines);
        }
        if self.send_log_lines() == Flow::End || self.receive_datagram(now) == Flow::End {
            return Flow::End;
        }
        self.take_messages()
    }

    fn send_log_lines(&mut self) -> Flow {
        for line in std::mem::take(&mut self.log_lines) {
            if self.report(GossipMessage::LogLine(line)) == Flow::End {
                return Flow::End;
            }
        }
        Flow::Continue
    }

    fn report(&self, message: GossipMessage) -> Flow {
        match self.queue.send(Event::Gossip(message)) {
            Ok(()) => Flow::Continue,
            Err(_) => Flow::End,
        }
    }

    fn receive_datagram(&mut self, now: Timestamp) -> Flow {
        let writes_at = self.snapshot_writer.as_ref().map(SnapshotWriter::next_at);
        let next = self.node.next_at().min(writes_at.unwrap_or(Timestamp(u64::MAX)));
        let timeout = Duration::from_micros((next - now).0).min(LONGEST_WAIT);
        let outputs = match self.socket.receive(timeout) {
            Ok(DatagramEvent::Received(from, bytes)) => {
                let now = self.clock.now();
                self.node.handle(now, NodeInput::Datagram { from, bytes })
            }
            Ok(DatagramEvent::UnknownSender(_)) => {
                self.foreign += 1;
                Vec::new()
            }
            Ok(DatagramEvent::Woken) => Vec::new(),
            Ok(DatagramEvent::TimedOut) => self.node.handle(self.clock.now(), NodeInput::Tick),
            Err(_) => return Flow::End,
        };
        self.carry_out(outputs)
    }

    fn take_messages(&mut self) -> Flow {
        while let Ok(message) = self.inbox.try_recv() {
            let now = self.clock.now();
            let command = match message {
                ThreadMessage::Query(query) => {
                    self.answer(now, query);
                    continue;
                }
                ThreadMessage::Command(command) => command,
            };
            let leaves = matches!(command, GossipCommand::Leave);
            let outputs = self.node.handle(now, command);
            if self.carry_out(outputs) == Flow::End || leaves {
                return Flow::End;
            }
        }
        Flow::Continue
    }

    fn carry_out(&mut self, outputs: Vec<NodeOutput>) -> Flow {
        for output in outputs {
            match output {
                NodeOutput::Send { to, bytes } => {
                    let is_sent = self.socket.send(to, &bytes);
                    self.not_sent += u64::from(!is_sent);
                }
                event => {
                    if self.report(GossipMessage::Output(event)) == Flow::End {
                        return Flow::End;
                    }
                }
            }
        }
        Flow::Continue
    }

    fn answer(&self, now: Timestamp, query: Query) {
        let value = match query.kind {
            QueryKind::Status => status::status(&self.node, &self.thread_status(), now),
            QueryKind::Facts => status::records(&self.node, now),
            QueryKind::Differences => status::conflicts(&self.node, now),
        };
        let text = table::render(&value, query.as_json);
        let mut reply = query.reply;
        let _ = reply.set_write_timeout(Some(REPLY_TIMEOUT));
        let _ = reply.write_all(text.as_bytes());
    }

    fn thread_status(&self) -> ThreadStatus {
        let keeps = match &self.snapshot_writer {
            None => "nothing",
            Some(writer) if writer.is_failing() => "fails",
            Some(_) => "well",
        };
        ThreadStatus {
            keeps,
            foreign: self.foreign,
            not_sent: self.not_sent,
        }
    }
}
