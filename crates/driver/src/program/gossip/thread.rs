//! The gossip thread: passes datagrams to and from the gossip node, and its events to the event loop.

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

/// Bounds each wait, so that a change of the clock can't block the thread.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Bounds how long an operator who doesn't read the answer blocks the thread.
const REPLY_TIMEOUT: Duration = Duration::from_millis(200);

/// A message for the thread.
pub(super) enum ThreadMessage {
    /// From the event loop.
    Command(GossipCommand),
    /// From an operator.
    Query(Query),
}

/// Whether the thread continues.
#[derive(Clone, Copy, PartialEq)]
enum Flow {
    Continue,
    End,
}

/// State of the thread, which owns the node and its socket.
pub(super) struct GossipThread {
    pub(super) snapshot_writer: Option<SnapshotWriter>,
    /// Lines for the event loop to log.
    pub(super) log_lines: Vec<String>,
    pub(super) node: GossipNode,
    pub(super) socket: DatagramSocket,
    pub(super) inbox: Receiver<ThreadMessage>,
    pub(super) queue: Sender<Event>,
    pub(super) clock: Clock,
    /// Number of datagrams from senders that are not peers.
    pub(super) unknown_senders: u64,
    /// Number of datagrams that could not be sent.
    pub(super) send_failures: u64,
}

impl GossipThread {
    /// Runs until this driver leaves the fleet, the event loop ends or the socket fails. The service
    /// continues without gossip.
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
        self.process_messages()
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
        let next_write_at = self.snapshot_writer.as_ref().map(SnapshotWriter::next_at);
        let wake_at = self
            .node
            .next_at()
            .min(next_write_at.unwrap_or(Timestamp(u64::MAX)));
        let timeout = Duration::from_micros((wake_at - now).0).min(MAX_WAIT);
        let outputs = match self.socket.receive(timeout) {
            Ok(DatagramEvent::Received(from, bytes)) => {
                let now = self.clock.now();
                self.node.handle(now, NodeInput::Datagram { from, bytes })
            }
            Ok(DatagramEvent::UnknownSender(_)) => {
                self.unknown_senders += 1;
                Vec::new()
            }
            Ok(DatagramEvent::Woken) => Vec::new(),
            Ok(DatagramEvent::TimedOut) => self.node.handle(self.clock.now(), NodeInput::Tick),
            Err(_) => return Flow::End,
        };
        self.execute(outputs)
    }

    fn process_messages(&mut self) -> Flow {
        while let Ok(message) = self.inbox.try_recv() {
            let now = self.clock.now();
            let command = match message {
                ThreadMessage::Query(query) => {
                    self.answer(now, query);
                    continue;
                }
                ThreadMessage::Command(command) => command,
            };
            let is_leaving = matches!(command, GossipCommand::Leave);
            let outputs = self.node.handle(now, command);
            if self.execute(outputs) == Flow::End || is_leaving {
                return Flow::End;
            }
        }
        Flow::Continue
    }

    fn execute(&mut self, outputs: Vec<NodeOutput>) -> Flow {
        for output in outputs {
            match output {
                NodeOutput::Send { to, bytes } => {
                    let is_sent = self.socket.send(to, &bytes);
                    self.send_failures += u64::from(!is_sent);
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
        let snapshot_status = match &self.snapshot_writer {
            None => "nothing",
            Some(writer) if writer.is_failing() => "fails",
            Some(_) => "well",
        };
        ThreadStatus {
            snapshot_status,
            unknown_senders: self.unknown_senders,
            send_failures: self.send_failures,
        }
    }
}
