//! The successor's role: takes the state, the listener and clients over from a predecessor, and journals its
//! client I/O while on probation.

use super::handover_state::{deserialize, HandoverStateError, ResumedService};
use super::{co_serving, SOCKET_VARIABLE};
use crate::program::config::Config;
use crate::program::log::{log, Log};
use crate::routing::event_loop::EventLoop;
use crate::routing::events::{ControlEvent, Event};
use crate::routing::handover::{CoServing, TransferredClient};
use crate::transport::io_journal::IoJournalWriter;
use asterlatch::time::Timestamp;
use asterlatch_handover::co_serving::{CoServingMessage, CoServingState};
use asterlatch_handover::codec::{monotonic_micros, send, FrameReader, Received};
use asterlatch_handover::io_journal::StatementVerdicts;
use asterlatch_handover::message::HandoverMessage;
use asterlatch_handover::successor::{self, AbortReason, Action, Successor};
use std::ffi::OsStr;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::os::fd::{FromRawFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;
use thiserror::Error;

/// First descriptor after standard input, output and error.
const FIRST_PASSED_DESCRIPTOR: i32 = 3;
/// Bounds each wait for a message; the deadline is checked again after it.
const MAX_WAIT_MICROS: u64 = 60_000_000;

/// Why this process can't take over. It exits, and a predecessor that still runs continues to serve.
#[derive(Debug, Error)]
pub enum SuccessorError {
    /// The environment variable is not the number of a descriptor.
    #[error("{SOCKET_VARIABLE} is not a descriptor number")]
    InvalidDescriptor,
    /// The passed descriptor can't be used.
    #[error("cannot use the descriptor of {SOCKET_VARIABLE}: {0}")]
    PassedSocket(#[source] io::Error),
    /// The handover was aborted.
    #[error(transparent)]
    Aborted(#[from] AbortReason),
    /// The I/O journal's socket can't be used.
    #[error("cannot use the I/O journal's socket: {0}")]
    Journal(#[source] io::Error),
    /// The thread that reads the predecessor's messages can't be started.
    #[error("cannot start the reader of the predecessor's messages: {0}")]
    Reader(#[source] io::Error),
}

/// Events that the reader thread receives from the predecessor.
enum PredecessorEvent {
    Protocol(successor::Event),
    Client(TransferredClient),
    MemberConnection { member: u32, stream: TcpStream },
}

impl PredecessorEvent {
    /// Whether no event follows this one.
    fn is_last(&self) -> bool {
        matches!(self, PredecessorEvent::Protocol(event) if ends_connection(event))
    }
}

fn ends_connection(event: &successor::Event) -> bool {
    matches!(
        event,
        successor::Event::InvalidFrame | successor::Event::PredecessorExited
    )
}

/// The I/O journal's socket, and the event descriptor that notifies the predecessor of an abandoned journal.
struct JournalDescriptors {
    socket: UnixStream,
    abandoned: OwnedFd,
}

/// A handover from the side of the successor. The methods must be called in their order here, on the event
/// loop's thread.
pub struct SuccessorRole {
    state_machine: Successor,
    socket: UnixStream,
    /// Reads the socket until [`SuccessorRole::spawn_reader`] moves it to a thread.
    reader: Option<FrameReader>,
    events: Option<Receiver<PredecessorEvent>>,
    has_predecessor_exited: bool,
    listener: Option<TcpListener>,
    journal_descriptors: Option<JournalDescriptors>,
    /// `None` once the journal has ended.
    journal: Option<IoJournalWriter>,
    co_serving: CoServingState,
    started_at: Timestamp,
}

impl SuccessorRole {
    /// Creates the role from the environment; `None` if no predecessor started this process. Must be called
    /// once, before the process opens any descriptor or starts a thread.
    ///
    /// # Errors
    /// If the environment variable is no descriptor, or the descriptor can't be used.
    pub fn from_environment(timeouts: successor::Timeouts) -> Result<Option<SuccessorRole>, SuccessorError> {
        let Some(value) = std::env::var_os(SOCKET_VARIABLE) else {
            return Ok(None);
        };
        // Child processes must not inherit it.
        std::env::remove_var(SOCKET_VARIABLE);
        let descriptor = parse_descriptor(&value).ok_or(SuccessorError::InvalidDescriptor)?;
        // SAFETY: the predecessor opened the descriptor for this process, and nothing else owns it, as no
        // other descriptor has been opened yet.
        let socket = unsafe { UnixStream::from_raw_fd(descriptor) };
        rustix::io::fcntl_setfd(&socket, rustix::io::FdFlags::CLOEXEC)
            .map_err(|errno| SuccessorError::PassedSocket(errno.into()))?;
        let reader = socket.try_clone().map_err(SuccessorError::PassedSocket)?;
        Ok(Some(SuccessorRole {
            state_machine: Successor::new(timeouts),
            socket,
            reader: Some(FrameReader::new(reader)),
            events: None,
            has_predecessor_exited: false,
            listener: None,
            journal_descriptors: None,
            journal: None,
            co_serving: CoServingState::default(),
            started_at: monotonic_now(),
        }))
    }

    /// Sends the hello message, and waits for state and listener.
    ///
    /// # Errors
    /// If the handover is aborted.
    pub fn load(&mut self, config: &Config) -> Result<ResumedService, SuccessorError> {
        let mut actions = self.on_event(successor::Event::Started);
        loop {
            for action in std::mem::take(&mut actions) {
                match action {
                    Action::Send(message) => self.send(&message),
                    Action::LoadState(bytes) => match self.load_state(&bytes, config) {
                        Ok(resumed) => {
                            if resumed.learned.facts.is_some() {
                                self.co_serving.set_peer_accepts_facts();
                            }
                            return Ok(resumed);
                        }
                        Err(error) => {
                            let reason = error.to_string();
                            actions.extend(self.on_event(successor::Event::LoadFailed { reason }));
                        }
                    },
                    Action::Abort(reason) => return Err(reason.into()),
                    Action::StartServing | Action::StartAccepting | Action::Report(_) => {}
                }
            }
            if actions.is_empty() {
                actions = self.wait();
            }
        }
    }

    fn load_state(&self, bytes: &[u8], config: &Config) -> Result<ResumedService, HandoverStateError> {
        let resumed = deserialize(bytes, config.settings_hash)?;
        if self.listener.is_none() {
            return Err(HandoverStateError::ListenerMissing);
        }
        Ok(resumed)
    }

    /// Opens the I/O journal, which is written for as long as the predecessor may have to resume the clients.
    ///
    /// # Errors
    /// If the journal's socket can't be used.
    pub fn open_journal(&mut self) -> Result<Option<IoJournalWriter>, SuccessorError> {
        if let Some(descriptors) = self.journal_descriptors.take() {
            let writer = IoJournalWriter::new(descriptors.socket, descriptors.abandoned);
            self.journal = Some(writer.map_err(SuccessorError::Journal)?);
        }
        Ok(self.journal.clone())
    }

    /// The inherited listener; `None` after the first call.
    pub fn take_listener(&mut self) -> Option<TcpListener> {
        self.listener.take()
    }

    /// Reports that this process is ready to serve, and waits for the commit.
    ///
    /// # Errors
    /// If the handover is aborted.
    pub fn commit(&mut self) -> Result<(), SuccessorError> {
        let mut actions = self.on_event(successor::Event::Loaded);
        loop {
            let mut is_committed = false;
            for action in std::mem::take(&mut actions) {
                match action {
                    Action::Send(message) => self.send(&message),
                    Action::StartServing => {
                        is_committed = true;
                        self.announce_fact_support();
                    }
                    Action::Abort(reason) => return Err(reason.into()),
                    Action::LoadState(_) | Action::StartAccepting | Action::Report(_) => {}
                }
            }
            if is_committed {
                return Ok(());
            }
            actions = self.wait();
        }
    }

    /// Announces that this process understands learned facts. Sent before the commit is acknowledged, and so before
    /// any client moves.
    fn announce_fact_support(&self) {
        if self.co_serving.peer_accepts_facts() {
            let messages = vec![CoServingMessage::AcceptsFacts];
            self.send(&HandoverMessage::CoServing(messages));
        }
    }

    /// Reads the predecessor's messages on a separate thread from now on. The thread wakes the event loop
    /// through `queue`, and ends when the predecessor closes its end of the socket.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub fn spawn_reader(&mut self, queue: Sender<Event>) -> Result<(), SuccessorError> {
        let _ = self.socket.set_read_timeout(None);
        let (sender, receiver) = channel();
        self.events = Some(receiver);
        let Some(reader) = self.reader.take() else {
            return Ok(());
        };
        let socket = self.socket.try_clone().map_err(SuccessorError::Reader)?;
        std::thread::Builder::new()
            .name("takeover".to_owned())
            .spawn(move || read_all(reader, &socket, &sender, &queue))
            .map_err(SuccessorError::Reader)?;
        Ok(())
    }

    /// Handles what arrived from the predecessor and what is due.
    pub fn advance_to(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp) {
        let mut actions = Vec::new();
        let monotonic = monotonic_now();
        while let Some(Ok(event)) = self.events.as_ref().map(Receiver::try_recv) {
            actions.extend(self.on_predecessor_event(event_loop, now, monotonic, event));
        }
        if self.state_machine.next_deadline() <= monotonic {
            actions.extend(
                self.state_machine
                    .on_event(monotonic, successor::Event::TimerElapsed),
            );
        }
        self.check_journal(event_loop, now);
        for action in actions {
            self.execute(event_loop, now, monotonic, action);
        }
        if !self.has_predecessor_exited {
            if let Some(message) = co_serving::next_message(event_loop, &mut self.co_serving) {
                self.send(&message);
            }
        }
        // Only after the predecessor was notified that it no longer owns the service.
        if self.state_machine.phase == successor::Phase::Serving {
            if let Some(journal) = self.journal.take() {
                journal.stop();
                self.share_facts_by_messages(event_loop);
            }
        }
    }

    fn on_predecessor_event(
        &mut self,
        event_loop: &mut EventLoop<Log>,
        now: Timestamp,
        monotonic: Timestamp,
        event: PredecessorEvent,
    ) -> Vec<Action> {
        match event {
            PredecessorEvent::Client(client) => event_loop.adopt_client(now, client),
            PredecessorEvent::MemberConnection { member, stream } => {
                event_loop.adopt_member_connection(now, member, stream);
            }
            PredecessorEvent::Protocol(successor::Event::Message(HandoverMessage::CoServing(messages))) => {
                let answer = co_serving::on_messages(event_loop, now, &mut self.co_serving, &messages);
                if let Some(answer) = answer {
                    self.send(&answer);
                }
            }
            PredecessorEvent::Protocol(event) => {
                if ends_connection(&event) {
                    self.on_predecessor_exited(event_loop, now);
                }
                return self.state_machine.on_event(monotonic, event);
            }
        }
        Vec::new()
    }

    fn on_predecessor_exited(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp) {
        self.has_predecessor_exited = true;
        // An exited process has no executions in flight.
        event_loop.set_co_serving(now, CoServing::Alone);
        event_loop.metrics.in_flight_at_peer_process = 0;
        log!(event_loop.logger, now, "upgrade", "the predecessor has exited");
    }

    /// From the end of the journal on, a predecessor that still runs learns facts from co-serving messages. One of an
    /// earlier build doesn't know them.
    fn share_facts_by_messages(&self, event_loop: &mut EventLoop<Log>) {
        if !self.has_predecessor_exited && self.co_serving.peer_accepts_facts() {
            event_loop.begin_recording_facts();
        }
    }

    /// Drops a journal that was abandoned.
    fn check_journal(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp) {
        let abandoned = self.journal.take_if(|journal| !journal.is_active());
        if abandoned.is_some() {
            self.share_facts_by_messages(event_loop);
            log!(
                event_loop.logger,
                now,
                "upgrade",
                "the I/O journal is abandoned: the predecessor does not read it"
            );
        }
    }

    fn execute(
        &mut self,
        event_loop: &mut EventLoop<Log>,
        now: Timestamp,
        monotonic: Timestamp,
        action: Action,
    ) {
        match action {
            Action::Send(message) => self.send(&message),
            Action::StartAccepting => event_loop.set_accepting(true),
            Action::Report(progress) => {
                let elapsed_ms = (monotonic - self.started_at).0 / 1000;
                log!(
                    event_loop.logger,
                    now,
                    "upgrade",
                    "{progress}, {elapsed_ms} ms after the start of this process"
                );
            }
            Action::LoadState(_) | Action::StartServing | Action::Abort(_) => {}
        }
    }

    /// When [`SuccessorRole::advance_to`] is next due, by the service's clock.
    pub fn next_at(&self, now: Timestamp) -> Timestamp {
        match self.state_machine.next_deadline() {
            Timestamp(u64::MAX) => Timestamp(u64::MAX),
            at => now + (at - monotonic_now()),
        }
    }

    /// Whether this process owns the service and the predecessor has exited, so that no client comes from it
    /// any more.
    pub fn is_complete(&self) -> bool {
        self.has_predecessor_exited && self.state_machine.phase == successor::Phase::Serving
    }

    fn on_event(&mut self, event: successor::Event) -> Vec<Action> {
        self.state_machine.on_event(monotonic_now(), event)
    }

    fn send(&self, message: &HandoverMessage) {
        // The end of the socket reports the predecessor's exit.
        let _ = send(&self.socket, message, &[]);
    }

    /// Waits for the predecessor's next message, its exit, or the deadline.
    fn wait(&mut self) -> Vec<Action> {
        let wait = self.state_machine.next_deadline() - monotonic_now();
        let timeout = Duration::from_micros(wait.0.clamp(1, MAX_WAIT_MICROS));
        let _ = self.socket.set_read_timeout(Some(timeout));
        let Some(reader) = &mut self.reader else {
            return Vec::new();
        };
        let event = match reader.read() {
            Received::Message(message, descriptors) => {
                self.store_descriptors(descriptors);
                successor::Event::Message(message)
            }
            Received::Invalid(_) => successor::Event::InvalidFrame,
            // A timed-out read is reported as a closed socket.
            Received::Closed if self.state_machine.next_deadline() <= monotonic_now() => {
                successor::Event::TimerElapsed
            }
            Received::Closed => successor::Event::PredecessorExited,
        };
        self.on_event(event)
    }

    /// Stores the descriptors that come with the state: the listener, the journal's socket and its event
    /// descriptor.
    fn store_descriptors(&mut self, descriptors: Vec<OwnedFd>) {
        let mut descriptors = descriptors.into_iter();
        if let (Some(listener), Some(journal), Some(abandoned)) =
            (descriptors.next(), descriptors.next(), descriptors.next())
        {
            self.listener = Some(listener.into());
            self.journal_descriptors = Some(JournalDescriptors {
                socket: journal.into(),
                abandoned,
            });
        }
    }
}

/// Time on the monotonic clock, which both processes share.
fn monotonic_now() -> Timestamp {
    Timestamp(monotonic_micros())
}

fn parse_descriptor(value: &OsStr) -> Option<i32> {
    let descriptor = value.to_str()?.parse().ok()?;
    (descriptor >= FIRST_PASSED_DESCRIPTOR).then_some(descriptor)
}

/// Passes the predecessor's messages to the event loop, until either ends.
fn read_all(
    mut reader: FrameReader,
    socket: &UnixStream,
    events: &Sender<PredecessorEvent>,
    queue: &Sender<Event>,
) {
    loop {
        let Some(event) = next_event(&mut reader, socket) else {
            continue;
        };
        let is_last = event.is_last();
        if events.send(event).is_err() || queue.send(Event::Control(ControlEvent::WakeUp)).is_err() || is_last
        {
            return;
        }
    }
}

/// Waits for the predecessor's next message; `None` for a connection whose descriptor is missing: the kernel
/// drops descriptors above the process's limit.
fn next_event(reader: &mut FrameReader, socket: &UnixStream) -> Option<PredecessorEvent> {
    let event = match reader.read() {
        Received::Message(HandoverMessage::ClientConnection(client), descriptors) => {
            let transfer_id = client.transfer_id;
            let Some(stream) = descriptors.into_iter().next() else {
                let _ = send(socket, &HandoverMessage::ConnectionMissing(transfer_id), &[]);
                return None;
            };
            let verdicts = StatementVerdicts::default();
            let client = TransferredClient::new(client, Some(transfer_id), stream.into(), verdicts);
            PredecessorEvent::Client(client)
        }
        Received::Message(HandoverMessage::MemberConnection(member), descriptors) => {
            let stream = descriptors.into_iter().next()?.into();
            PredecessorEvent::MemberConnection { member, stream }
        }
        Received::Message(message, _) => PredecessorEvent::Protocol(successor::Event::Message(message)),
        Received::Invalid(_) => PredecessorEvent::Protocol(successor::Event::InvalidFrame),
        Received::Closed => PredecessorEvent::Protocol(successor::Event::PredecessorExited),
    };
    Some(event)
}
