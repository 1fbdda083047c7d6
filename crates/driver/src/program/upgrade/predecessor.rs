//! The predecessor's role: starts and kills a successor, and sends it state, listener, clients and member connections.

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

/// One upgrade after another, as the process sees them that serves. Only the event loop's thread uses it.
pub struct PredecessorRole {
    machine: Predecessor,
    link: EventLoopLink,
    events: Receiver<predecessor::Event>,
    requests: Receiver<UpgradeRequest>,
    /// The successor started last.
    successor: Option<SuccessorProcess>,
    /// Clients that the successor serves on probation.
    retained_clients: RetainedClients,
    /// Event descriptor by which the successor reports that its I/O journal is incomplete.
    journal_abandoned: Option<OwnedFd>,
    last_transfer_id: u64,
    co_serving: CoServingState,
    unsent_connections: Arc<AtomicUsize>,
    /// Program of the current or last upgrade.
    program: PathBuf,
    /// Whoever asked for the current upgrade, to report its progress to.
    requester: Option<UnixStream>,
    settings_hash: u64,
    has_handed_over: bool,
}

impl PredecessorRole {
    /// No upgrade is under way. `queue` wakes the event loop; `requests` come from the control socket.
    pub fn new(
        settings_hash: u64,
        queue: Sender<Event>,
        requests: Receiver<UpgradeRequest>,
    ) -> PredecessorRole {
        let (event_sender, events) = channel();
        let unsent_connections = Arc::<AtomicUsize>::default();
        PredecessorRole {
            machine: Predecessor::new(predecessor::Timeouts::default()),
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

    /// Begins an upgrade to this very program, as it is on disk now.
    pub fn upgrade_to_own_program(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp) {
        let program = std::env::args_os().next().map(PathBuf::from);
        self.begin_upgrade(event_loop, now, program.unwrap_or_default(), None);
    }

    /// The process is asked to shut down.
    pub fn on_shutdown(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp) {
        self.on_event(event_loop, now, predecessor::Event::ShutdownRequested);
    }

    /// Sets the timeouts of phases that begin from now on.
    pub fn set_timeouts(&mut self, timeouts: predecessor::Timeouts) {
        self.machine.timeouts = timeouts;
    }

    /// Handles requests, what arrived from the successor and what is due. Requests are refused unless `may_begin`.
    pub fn advance_to(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp, may_begin: bool) {
        while let Ok(UpgradeRequest { program, requester }) = self.requests.try_recv() {
            if may_begin {
                self.begin_upgrade(event_loop, now, program, Some(requester));
            } else {
                reply(
                    Some(&requester),
                    "failed: this process is on probation, or leaves",
                );
            }
        }
        while let Ok(event) = self.events.try_recv() {
            self.on_successor_event(event_loop, now, event);
        }
        if self.machine.next_deadline() <= now {
            self.on_event(event_loop, now, predecessor::Event::TimerElapsed);
        }
        self.move_member_connections(event_loop);
        self.move_clients(event_loop, now);
        self.send_co_serving(event_loop);
    }

    /// When [`PredecessorRole::advance_to`] has something to do.
    pub fn next_at(&self) -> Timestamp {
        self.machine.next_deadline()
    }

    /// Number of client and member connections that are queued for the successor and not sent yet.
    pub fn unsent_connections(&self) -> usize {
        self.unsent_connections.load(Ordering::Acquire)
    }

    /// The service is the successor's: this process is to shut down.
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
            log!(event_loop.logger, now, "upgrade", "not begun: {error}");
            reply(requester.as_ref(), &format!("failed: {error}"));
            return;
        }
        let actions = self.machine.on_event(now, predecessor::Event::UpgradeRequested);
        if actions.contains(&Action::Report(Progress::Busy)) {
            // The current upgrade's requester stays.
            log!(
                event_loop.logger,
                now,
                "upgrade",
                "not begun: another one is under way"
            );
            reply(requester.as_ref(), "failed: another upgrade is under way");
            return;
        }
        self.program = program;
        self.requester = requester;
        self.carry_out(event_loop, now, actions);
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
        let actions = self.machine.on_event(now, event);
        self.carry_out(event_loop, now, actions);
    }

    fn carry_out(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::StartSuccessor => self.start_successor(),
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

    /// Sends state and descriptors. If they can't be had nothing is sent, and the successor's timeout ends the upgrade.
    fn send_state(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp) {
        let state = match serialize(event_loop, now, self.settings_hash) {
            Ok(state) => state,
            Err(error) => {
                log!(
                    event_loop.logger,
                    now,
                    "upgrade",
                    "the state can't be written out: {error}"
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
                "no descriptors to send: {error}"
            ),
        }
    }

    /// What goes along with the state: the listener, the I/O journal's socket, and the event descriptor by which the
    /// successor abandons the journal. The journal is read from now on.
    fn open_descriptors(&mut self, event_loop: &EventLoop<Log>) -> io::Result<Vec<OwnedFd>> {
        let successor = self.successor.as_ref().ok_or(io::ErrorKind::NotConnected)?;
        let listener = event_loop
            .listener_descriptor()
            .ok_or(io::ErrorKind::NotConnected)?;
        let (ours, theirs) = UnixStream::pair()?;
        let abandoned = eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?;
        let abandoned_copy = abandoned.try_clone()?;
        // The successor's clients may take as much memory here as they may take there.
        self.retained_clients = RetainedClients::new(event_loop.client_memory_capacity());
        successor.add_journal_reader(self.retained_clients.spawn_journal_reader(ours)?);
        self.journal_abandoned = Some(abandoned);
        Ok(vec![listener.into(), theirs.into(), abandoned_copy])
    }

    /// Goes on with the clients of the dead successor.
    fn reclaim_clients(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp) {
        let Some(abandoned) = self.journal_abandoned.take() else {
            return;
        };
        let reclaimed = self.retained_clients.reclaim(&abandoned);
        let count = reclaimed.clients.len();
        let cut = reclaimed.cut;
        event_loop.metrics.clients_taken_back += count as u64;
        event_loop.metrics.clients_cut += cut;
        for client in reclaimed.clients {
            event_loop.adopt_client(now, client);
        }
        match reclaimed.incomplete {
            Some(reason) => log!(
                event_loop.logger,
                now,
                "upgrade",
                "{cut} clients cut off, for the ledger isn't whole: {reason}"
            ),
            None => log!(
                event_loop.logger,
                now,
                "upgrade",
                "{count} clients taken back, {cut} cut off"
            ),
        }
    }

    /// Reports to the log and to the requester, which the upgrade's end lets go.
    fn report(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp, progress: &Progress) {
        let text = self.progress_text(progress);
        log!(event_loop.logger, now, "upgrade", "{text}");
        reply(self.requester.as_ref(), &text);
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
                format!("begun, to {} as process {pid}", self.program.display())
            }
            Progress::Busy => "not begun: another one is under way, or this process leaves".to_owned(),
            Progress::Committed => "the new process could serve and is told to".to_owned(),
            Progress::Completed => "done, the service is the new process's".to_owned(),
            Progress::Failed(error) => format!("failed, this process serves on: {error}"),
        }
    }

    /// Whether the successor takes clients and connections.
    fn can_move_connections(&self) -> bool {
        matches!(self.machine.phase, Phase::Standby | Phase::HandedOver)
    }

    /// Idle connections that no successor takes are closed; others are opened as they are needed.
    fn move_member_connections(&mut self, event_loop: &mut EventLoop<Log>) {
        let can_move = self.can_move_connections();
        for TransferredConnection { member, stream } in event_loop.take_transferred_connections() {
            if can_move {
                self.send_connection(HandoverMessage::MemberConnection(member), stream.into());
            }
        }
    }

    /// Clients that no successor takes stay here.
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

    /// Tells the successor what both must know. Unless both serve, that is left for whoever takes over.
    fn send_co_serving(&mut self, event_loop: &mut EventLoop<Log>) {
        if !self.machine.is_co_serving() {
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

/// Writes a line to whoever asked for an upgrade, and may have gone since.
fn reply(requester: Option<&UnixStream>, line: &str) {
    if let Some(mut requester) = requester {
        let _ = writeln!(requester, "{line}");
    }
}

/// What both processes would need and what they may take. What the kernel doesn't tell counts as zero.
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

/// Second field of `/proc/self/statm`.
fn resident_pages() -> u64 {
    let fields = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = fields.split(' ').nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0)
}
