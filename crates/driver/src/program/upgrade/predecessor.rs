//! The predecessor's role: starts and kills a successor, and sends it the state, the listener, clients and
//! member connections.

use super::co_serving;
use super::handover_state::serialize;
use super::retained_clients::RetainedClients;
use super::successor_process::{EventLoopLink, SuccessorProcess};
use crate::program::control_socket::UpgradeRequest;
use crate::program::log::{log, Log};
use crate::routing::event_loop::EventLoop;
use crate::routing::events::Event;
use crate::routing::handover::{CoServing, TransferredClient, TransferredConnection};
use asterlatch::time::Timestamp;
use asterlatch_handover::capacity_check::{check_capacity, ResourceUsage};
use asterlatch_handover::co_serving::CoServingState;
use asterlatch_handover::message::{ClientState, HandoverMessage};
use asterlatch_handover::predecessor::{self, Action, Phase, Predecessor, Progress, StartError};
use rustix::event::{eventfd, EventfdFlags};
use std::fs;
use std::io::{self, Write};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;

/// Upgrades from the side of the serving process, one at a time. Only the event loop's thread uses it.
pub struct PredecessorRole {
    state_machine: Predecessor,
    link: EventLoopLink,
    events: Receiver<predecessor::Event>,
    requests: Receiver<UpgradeRequest>,
    /// The most recent successor.
    successor: Option<SuccessorProcess>,
    /// Clients that the successor serves on probation.
    retained_clients: RetainedClients,
    /// Event descriptor through which the successor reports that it abandoned its I/O journal.
    journal_abandoned: Option<OwnedFd>,
    last_transfer_id: u64,
    co_serving: CoServingState,
    unsent_connections: Arc<AtomicUsize>,
    /// Executable of the current or most recent upgrade.
    program: PathBuf,
    /// Connection that requested the current upgrade, for reports of its progress.
    requester: Option<UnixStream>,
    settings_hash: u64,
    has_handed_over: bool,
}

impl PredecessorRole {
    /// `queue` wakes the event loop; `requests` come from the control socket.
    pub fn new(
        settings_hash: u64,
        queue: Sender<Event>,
        requests: Receiver<UpgradeRequest>,
    ) -> PredecessorRole {
        let (event_sender, events) = channel();
        let unsent_connections = Arc::<AtomicUsize>::default();
        PredecessorRole {
            state_machine: Predecessor::new(predecessor::Timeouts::default()),
            link: EventLoopLink {
                events: event_sender,
                queue,
                unsent_connections: unsent_connections.clone(),
            },
            events,
            requests,
            successor: None,
            retained_clients: RetainedClients::default(),
            journal_abandoned: None,
            last_transfer_id: 0,
            co_serving: CoServingState::default(),
            unsent_connections,
            program: PathBuf::new(),
            requester: None,
            settings_hash,
            has_handed_over: false,
        }
    }

    /// Begins an upgrade to this process's own executable, as it is on disk now.
    pub fn upgrade_to_own_program(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp) {
        let program = std::env::args_os().next().map(PathBuf::from);
        self.begin_upgrade(event_loop, now, program.unwrap_or_default(), None);
    }

    /// Handles a request for shutdown.
    pub fn on_shutdown(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp) {
        self.on_event(event_loop, now, predecessor::Event::ShutdownRequested);
    }

    /// Sets the timeouts of phases that begin from now on.
    pub fn set_timeouts(&mut self, timeouts: predecessor::Timeouts) {
        self.state_machine.timeouts = timeouts;
    }

    /// Handles requests, events of the successor and timeouts. Requests are rejected unless `may_begin`.
    pub fn advance_to(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp, may_begin: bool) {
        while let Ok(UpgradeRequest { program, requester }) = self.requests.try_recv() {
            if may_begin {
                self.begin_upgrade(event_loop, now, program, Some(requester));
            } else {
                reply(
                    Some(&requester),
                    "failed: this process is on probation or shutting down",
                );
            }
        }
        self.apply_facts(event_loop, now);
        while let Ok(event) = self.events.try_recv() {
            self.on_successor_event(event_loop, now, event);
        }
        if self.state_machine.next_deadline() <= now {
            self.on_event(event_loop, now, predecessor::Event::TimerElapsed);
        }
        // Facts arrive ahead of the clients that may depend on them.
        self.send_co_serving(event_loop);
        self.move_member_connections(event_loop);
        self.move_clients(event_loop, now);
    }

    /// Applies what the successor has journaled: this process may still read a statement of a client that is about
    /// to move.
    fn apply_facts(&self, event_loop: &mut EventLoop<Log>, now: Timestamp) {
        for fact in self.retained_clients.take_facts() {
            event_loop.learn_fact(now, &fact);
        }
    }

    /// When [`PredecessorRole::advance_to`] is next due.
    pub fn next_at(&self) -> Timestamp {
        self.state_machine.next_deadline()
    }

    /// Number of client and member connections that are queued for the successor.
    pub fn unsent_connections(&self) -> usize {
        self.unsent_connections.load(Ordering::Acquire)
    }

    /// Whether the successor owns the service, so that this process shuts down.
    pub fn has_handed_over(&self) -> bool {
        self.has_handed_over
    }

    fn begin_upgrade(
        &mut self,
        event_loop: &mut EventLoop<Log>,
        now: Timestamp,
        program: PathBuf,
        requester: Option<UnixStream>,
    ) {
        if let Err(error) = check_capacity(&resource_usage(event_loop)) {
            log!(event_loop.logger, now, "upgrade", "cannot start: {error}");
            reply(requester.as_ref(), &format!("failed: {error}"));
            return;
        }
        let actions = self
            .state_machine
            .on_event(now, predecessor::Event::UpgradeRequested);
        if actions.contains(&Action::Report(Progress::Busy)) {
            // The requester of the upgrade in progress stays.
            log!(
                event_loop.logger,
                now,
                "upgrade",
                "cannot start: another upgrade is in progress"
            );
            reply(requester.as_ref(), "failed: another upgrade is in progress");
            return;
        }
        self.program = program;
        self.requester = requester;
        self.execute(event_loop, now, actions);
    }

    fn on_successor_event(
        &mut self,
        event_loop: &mut EventLoop<Log>,
        now: Timestamp,
        event: predecessor::Event,
    ) {
        match &event {
            predecessor::Event::Message(HandoverMessage::CoServing(messages)) => {
                let answer = co_serving::on_messages(event_loop, now, &mut self.co_serving, messages);
                if let Some(answer) = answer {
                    self.send(answer, Vec::new());
                }
            }
            predecessor::Event::Message(HandoverMessage::ConnectionMissing(transfer_id)) => {
                self.retained_clients.cancel_transfer(*transfer_id);
                event_loop.metrics.clients_cut += 1;
            }
            _ => {}
        }
        self.on_event(event_loop, now, event);
    }

    fn on_event(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp, event: predecessor::Event) {
        let actions = self.state_machine.on_event(now, event);
        self.execute(event_loop, now, actions);
    }

    fn execute(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::StartSuccessor => {
                    event_loop.begin_recording_facts();
                    self.start_successor();
                }
                Action::SendState => self.send_state(event_loop, now),
                Action::Send(message) => self.send(message, Vec::new()),
                Action::StartCoServing => {
                    self.co_serving = CoServingState::default();
                    event_loop.set_co_serving(now, CoServing::WithSuccessor);
                }
                Action::StopAccepting => event_loop.set_accepting(false),
                Action::ResumeServingAlone => {
                    event_loop.set_co_serving(now, CoServing::Alone);
                    event_loop.metrics.in_flight_at_peer_process = 0;
                    event_loop.set_accepting(true);
                }
                Action::MoveClients => event_loop.begin_handover(),
                Action::ReclaimClients => self.reclaim_clients(event_loop, now),
                Action::KillSuccessor => {
                    if let Some(successor) = &self.successor {
                        successor.kill();
                    }
                }
                Action::Drain => {
                    self.retained_clients.clear();
                    self.has_handed_over = true;
                }
                Action::Report(progress) => self.report(event_loop, now, &progress),
            }
        }
    }

    fn start_successor(&mut self) {
        match SuccessorProcess::start(&self.program, &self.link) {
            Ok(successor) => self.successor = Some(successor),
            Err(error) => {
                let error = StartError {
                    program: self.program.clone(),
                    cause: error.to_string(),
                };
                self.link.notify(predecessor::Event::StartFailed(error));
            }
        }
    }

    /// Sends state and descriptors. If either fails nothing is sent, and the successor's timeout ends the
    /// upgrade.
    fn send_state(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp) {
        let facts = event_loop.facts_beside_state();
        let state = match serialize(event_loop, &facts, now, self.settings_hash) {
            Ok(state) => state,
            Err(error) => {
                log!(
                    event_loop.logger,
                    now,
                    "upgrade",
                    "cannot serialize the handover state: {error}"
                );
                return;
            }
        };
        match self.open_descriptors(event_loop) {
            Ok(descriptors) => self.send(HandoverMessage::State(state), descriptors),
            Err(error) => log!(
                event_loop.logger,
                now,
                "upgrade",
                "cannot open the descriptors for the successor: {error}"
            ),
        }
    }

    /// Opens the descriptors that are sent with the state: the listener, the I/O journal's socket, and the
    /// event descriptor through which the successor abandons the journal. Starts reading the journal.
    fn open_descriptors(&mut self, event_loop: &EventLoop<Log>) -> io::Result<Vec<OwnedFd>> {
        let successor = self.successor.as_ref().ok_or(io::ErrorKind::NotConnected)?;
        let listener = event_loop
            .listener_descriptor()
            .ok_or(io::ErrorKind::NotConnected)?;
        let (local, remote) = UnixStream::pair()?;
        let abandoned = eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?;
        let abandoned_copy = abandoned.try_clone()?;
        // The retained clients may take as much memory here as in the successor.
        self.retained_clients = RetainedClients::new(event_loop.client_memory_capacity());
        successor.add_journal_reader(self.retained_clients.spawn_journal_reader(local)?);
        self.journal_abandoned = Some(abandoned);
        Ok(vec![listener.into(), remote.into(), abandoned_copy])
    }

    /// Resumes the clients of the dead successor.
    fn reclaim_clients(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp) {
        let Some(abandoned) = self.journal_abandoned.take() else {
            return;
        };
        let reclaimed = self.retained_clients.reclaim(&abandoned);
        for fact in &reclaimed.facts {
            event_loop.learn_fact(now, fact);
        }
        let count = reclaimed.clients.len();
        let disconnected = reclaimed.disconnected;
        event_loop.metrics.clients_taken_back += count as u64;
        event_loop.metrics.clients_cut += disconnected;
        for client in reclaimed.clients {
            event_loop.adopt_client(now, client);
        }
        match reclaimed.incomplete {
            Some(reason) => log!(
                event_loop.logger,
                now,
                "upgrade",
                "{disconnected} clients disconnected, the I/O journal is incomplete: {reason}"
            ),
            None => log!(
                event_loop.logger,
                now,
                "upgrade",
                "{count} clients reclaimed, {disconnected} disconnected"
            ),
        }
    }

    /// Reports to the log and to the requester, whose connection is closed at the end of the upgrade.
    fn report(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp, progress: &Progress) {
        let text = self.progress_text(progress);
        log!(event_loop.logger, now, "upgrade", "{text}");
        reply(self.requester.as_ref(), &text);
        if matches!(progress, Progress::Failed(_)) {
            event_loop.end_recording_facts();
        }
        if matches!(
            progress,
            Progress::Busy | Progress::Completed | Progress::Failed(_)
        ) {
            self.requester = None;
        }
    }

    fn progress_text(&self, progress: &Progress) -> String {
        match progress {
            Progress::Requested => {
                let pid = self.successor.as_ref().map_or(0, |successor| successor.pid);
                format!("started {} as process {pid}", self.program.display())
            }
            Progress::Busy => "cannot start: an upgrade or a shutdown is in progress".to_owned(),
            Progress::Committed => "the successor is ready and asked to serve".to_owned(),
            Progress::Completed => "done, the successor owns the service".to_owned(),
            Progress::Failed(error) => format!("failed, this process continues to serve: {error}"),
        }
    }

    /// Whether the successor accepts client and member connections.
    fn can_move_connections(&self) -> bool {
        matches!(self.state_machine.phase, Phase::Standby | Phase::HandedOver)
    }

    /// Sends idle member connections to the successor, or closes them if it doesn't accept any; new ones are
    /// opened on demand.
    fn move_member_connections(&mut self, event_loop: &mut EventLoop<Log>) {
        let can_move = self.can_move_connections();
        for TransferredConnection { member, stream } in event_loop.take_transferred_connections() {
            if can_move {
                self.send_connection(HandoverMessage::MemberConnection(member), stream.into());
            }
        }
    }

    /// Sends clients to the successor, or resumes them here if it doesn't accept any.
    fn move_clients(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp) {
        let can_move = self.can_move_connections();
        for client in event_loop.take_transferred_clients() {
            if can_move {
                self.move_client(client);
            } else {
                event_loop.adopt_client(now, client);
            }
        }
    }

    fn move_client(&mut self, client: TransferredClient) {
        self.last_transfer_id += 1;
        let state = ClientState {
            transfer_id: self.last_transfer_id,
            startup_complete: client.session.startup_complete,
            has_sent_statement: client.is_active,
            bytes_to_skip: client.session.bytes_to_skip as u64,
            input: client.session.input,
        };
        self.retained_clients
            .begin_transfer(state.clone(), &client.stream);
        self.send_connection(HandoverMessage::ClientConnection(state), client.stream.into());
    }

    fn send_connection(&self, message: HandoverMessage, connection: OwnedFd) {
        self.unsent_connections.fetch_add(1, Ordering::AcqRel);
        self.send(message, vec![connection]);
    }

    /// Sends co-serving messages to the successor while both processes serve.
    fn send_co_serving(&mut self, event_loop: &mut EventLoop<Log>) {
        if !self.state_machine.is_co_serving() {
            return;
        }
        if let Some(message) = co_serving::next_message(event_loop, &mut self.co_serving) {
            self.send(message, Vec::new());
        }
    }

    fn send(&self, message: HandoverMessage, descriptors: Vec<OwnedFd>) {
        if let Some(successor) = &self.successor {
            successor.send(message, descriptors);
        }
    }
}

/// Writes a line to the requester of an upgrade; ignores that it may have disconnected.
fn reply(requester: Option<&UnixStream>, line: &str) {
    if let Some(mut requester) = requester {
        let _ = writeln!(requester, "{line}");
    }
}

/// Resources that both processes would need, and their limits. Values that the kernel doesn't report count as
/// zero.
fn resource_usage(event_loop: &EventLoop<Log>) -> ResourceUsage {
    let usage = event_loop.process_usage();
    let capacity = event_loop.service_capacity();
    ResourceUsage {
        descriptor_limit: capacity.descriptors,
        open_descriptors: fs::read_dir("/proc/self/fd").map_or(0, Iterator::count),
        client_connections: usage.clients,
        memory_limit: capacity.memory as u64,
        resident_memory: resident_pages() * rustix::param::page_size() as u64,
        message_memory: usage.memory as u64,
    }
}

/// Resident pages of this process, the second field of `/proc/self/statm`.
fn resident_pages() -> u64 {
    let fields = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = fields.split(' ').nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0)
}
