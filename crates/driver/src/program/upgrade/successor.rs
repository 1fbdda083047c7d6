//! The successor's role: takes state, listener and clients over from a predecessor, and records on probation what it does
//! with the clients.

use super::handover_state::{deserialize, HandoverStateError, ResumedService};
use super::{co_serving, SOCKET_VARIABLE};
use crate::program::config::Config;
use crate::program::log::{log, Log};
use crate::routing::event_loop::EventLoop;
use crate::routing::events::{ControlEvent, Event};
use crate::routing::handover::{CoServing, TransferredClient};
use crate::transport::io_journal::IoJournalWriter;
use asterlatch::time::Timestamp;
use asterlatch_handover::co_serving::CoServingState;
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

/// Standard input, output and error come first; no socket is passed as one of them.
const FIRST_PASSED_DESCRIPTOR: i32 = 3;
/// Longest wait for a message; the deadline is checked again after it.
const MAX_WAIT_MICROS: u64 = 60_000_000;

/// Why this process can't take over. It exits, and the predecessor serves on if it still runs.
#[derive(Debug, Error)]
pub enum SuccessorError {
    /// The environment variable holds no number of a descriptor.
    #[error("{SOCKET_VARIABLE} names no descriptor")]
    InvalidDescriptor,
    /// The passed descriptor can't be used.
    #[error("{SOCKET_VARIABLE}: {0}")]
    PassedSocket(#[source] io::Error),
    /// The handover was aborted.
    #[error(transparent)]
    Aborted(#[from] AbortReason),
    /// The I/O journal's socket can't be used.
    #[error("ledger: {0}")]
    Journal(#[source] io::Error),
    /// The predecessor's messages can't be read on a thread of their own.
    #[error("takeover: {0}")]
    Reader(#[source] io::Error),
}

/// What the reader's thread passes on from the predecessor.
enum PredecessorEvent {
    Protocol(successor::Event),
    Client(TransferredClient),
    MemberConnection { member: u32, stream: TcpStream },
}

impl PredecessorEvent {
    /// Nothing follows this event.
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

/// The I/O journal's socket, and the event descriptor that tells the predecessor of its end.
struct JournalDescriptors {
    socket: UnixStream,
    abandoned: OwnedFd,
}

/// A handover as the successor sees it. The calls come in the order of the methods here, all on the event loop's thread.
pub struct SuccessorRole {
    machine: Successor,
    socket: UnixStream,
    /// Reads the socket until [`SuccessorRole::spawn_reader`] moves it to a thread.
    reader: Option<FrameReader>,
    events: Option<Receiver<PredecessorEvent>>,
    has_predecessor_exited: bool,
    listener: Option<TcpListener>,
    journal_descriptors: Option<JournalDescriptors>,
    /// Set until the journal ends.
    journal: Option<IoJournalWriter>,
    co_serving: CoServingState,
    started_at: Timestamp,
}

impl SuccessorRole {
    /// The role that the environment gives this process, if a predecessor started it. It must be called once, before
    /// the process opens any descriptor or starts a thread.
    ///
    /// # Errors
    /// If the variable names no descriptor, or one that can't be used.
    pub fn from_environment(timeouts: successor::Timeouts) -> Result<Option<SuccessorRole>, SuccessorError> {
        let Some(value) = std::env::var_os(SOCKET_VARIABLE) else {
            return Ok(None);
        };
        // Processes that this one starts must not inherit it.
        std::env::remove_var(SOCKET_VARIABLE);
        let descriptor = parse_descriptor(&value).ok_or(SuccessorError::InvalidDescriptor)?;
        // SAFETY: the predecessor opened the descriptor for this process. Nothing else here owns that number, as this
        // runs before anything is opened.
        let socket = unsafe { UnixStream::from_raw_fd(descriptor) };
        rustix::io::fcntl_setfd(&socket, rustix::io::FdFlags::CLOEXEC)
            .map_err(|errno| SuccessorError::PassedSocket(errno.into()))?;
        let reader = socket.try_clone().map_err(SuccessorError::PassedSocket)?;
        Ok(Some(SuccessorRole {
            machine: Successor::new(timeouts),
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

    /// Sends the hello, and waits for state and listener.
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
                        Ok(resumed) => return Ok(resumed),
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

    /// The writer of the I/O journal, which runs for as long as the predecessor may have to go on with the clients.
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

    /// Takes the predecessor's listener.
    pub fn take_listener(&mut self) -> Option<TcpListener> {
        self.listener.take()
    }

    /// Reports that this process can serve, and waits for the commit.
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
                    Action::StartServing => is_committed = true,
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

    /// Reads the predecessor's messages on a thread of their own from now on. It wakes the event loop by `queue`, and ends
    /// with the predecessor's end of the socket.
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
        if self.machine.next_deadline() <= monotonic {
            actions.extend(self.machine.on_event(monotonic, successor::Event::TimerElapsed));
        }
        self.check_journal(event_loop, now);
        for action in actions {
            self.carry_out(event_loop, now, monotonic, action);
        }
        if !self.has_predecessor_exited {
            if let Some(message) = co_serving::next_message(event_loop, &mut self.co_serving) {
                self.send(&message);
            }
        }
        // Only now: the predecessor was notified that the service is not its own any more.
        if self.machine.phase == successor::Phase::Serving {
            if let Some(journal) = self.journal.take() {
                journal.stop();
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
                return self.machine.on_event(monotonic, event);
            }
        }
        Vec::new()
    }

    fn on_predecessor_exited(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp) {
        self.has_predecessor_exited = true;
        // It has no executions in flight any more.
        event_loop.set_co_serving(now, CoServing::Alone);
        event_loop.metrics.in_flight_at_peer_process = 0;
        log!(event_loop.logger, now, "upgrade", "the former process has left");
    }

    /// Lets go of a journal that had to be abandoned.
    fn check_journal(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp) {
        let abandoned = self.journal.take_if(|journal| !journal.is_active());
        if abandoned.is_some() {
            log!(
                event_loop.logger,
                now,
                "upgrade",
                "the ledger is given up: the former process doesn't read it"
            );
        }
    }

    fn carry_out(
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
                    "{progress}, {elapsed_ms} ms after this process began"
                );
            }
            Action::LoadState(_) | Action::StartServing | Action::Abort(_) => {}
        }
    }

    /// When [`SuccessorRole::advance_to`] has something to do, by the service's clock.
    pub fn next_at(&self, now: Timestamp) -> Timestamp {
        match self.machine.next_deadline() {
            Timestamp(u64::MAX) => Timestamp(u64::MAX),
            at => now + (at - monotonic_now()),
        }
    }

    /// The service is this process's own, and the predecessor has exited: no client comes from it any more.
    pub fn is_complete(&self) -> bool {
        self.has_predecessor_exited && self.machine.phase == successor::Phase::Serving
    }

    fn on_event(&mut self, event: successor::Event) -> Vec<Action> {
        self.machine.on_event(monotonic_now(), event)
    }

    fn send(&self, message: &HandoverMessage) {
        // A predecessor that has exited is noticed by the end of its socket.
        let _ = send(&self.socket, message, &[]);
    }

    /// Waits for the predecessor's next message, its exit, or the deadline.
    fn wait(&mut self) -> Vec<Action> {
        let wait = self.machine.next_deadline() - monotonic_now();
        let timeout = Duration::from_micros(wait.0.clamp(1, MAX_WAIT_MICROS));
        let _ = self.socket.set_read_timeout(Some(timeout));
        let Some(reader) = &mut self.reader else {
            return Vec::new();
        };
        let event = match reader.read() {
            Received::Message(message, descriptors) => {
                self.take_descriptors(descriptors);
                successor::Event::Message(message)
            }
            Received::Invalid(_) => successor::Event::InvalidFrame,
            // A read that times out is reported like the end of the socket.
            Received::Closed if self.machine.next_deadline() <= monotonic_now() => {
                successor::Event::TimerElapsed
            }
            Received::Closed => successor::Event::PredecessorExited,
        };
        self.on_event(event)
    }

    /// Those that come with the state: the listener, the journal's socket and its event descriptor.
    fn take_descriptors(&mut self, descriptors: Vec<OwnedFd>) {
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

/// The handover's clock, which both processes share.
fn monotonic_now() -> Timestamp {
    Timestamp(monotonic_micros())
}

fn parse_descriptor(value: &OsStr) -> Option<i32> {
    let descriptor = value.to_str()?.parse().ok()?;
    (descriptor >= FIRST_PASSED_DESCRIPTOR).then_some(descriptor)
}

/// Passes on what the predecessor sends, until it ends or the event loop is gone.
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

/// Waits for the predecessor's next message; `None` for a connection whose descriptor is missing: the kernel drops those
/// that exceed the process's limit.
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
