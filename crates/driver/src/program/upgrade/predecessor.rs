//! The side that serves: starts and kills the new process, sends state, listener, clients and connections.

use super::handover_state::written;
use super::retained_clients::Kept;
use super::{bind, words, VARIABLE};
use crate::program::control_socket::Ask;
use crate::program::log::{log, Log};
use crate::routing::event_loop::EventLoop;
use crate::routing::events::{ControlEvent, Event};
use crate::routing::handover::{CoServing, TransferredConnection};
use asterlatch::time::Timestamp;
use asterlatch_handover::capacity_check;
use asterlatch_handover::co_serving::CoServingState;
use asterlatch_handover::codec::{send, FrameReader, Received};
use asterlatch_handover::message::{ClientState, HandoverMessage};
use asterlatch_handover::predecessor::{self, Predecessor, Progress, StartError};
use rustix::event::EventfdFlags;
use rustix::process::{pidfd_open, pidfd_send_signal, Pid, PidfdFlags, Signal};
use std::ffi::OsString;
use std::io::{self, Write};
use std::os::fd::{AsFd, AsRawFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, SendError, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;

/// The side that serves.
pub struct Upgrades {
    machine: Predecessor,
    queue: Sender<Event>,
    tell: Sender<predecessor::Event>,
    heard: Receiver<predecessor::Event>,
    asks: Receiver<Ask>,
    /// Says what goes to the new process, and its end, while there is one.
    link: Option<Link>,
    /// Connections of clients that are the new process's on probation, and what it does with them.
    kept: Kept,
    /// By which the new process tells that the ledger isn't whole.
    given_up: Option<OwnedFd>,
    handed: u64,
    /// What the new process was told that binds both.
    joint: CoServingState,
    /// Messages with a client or a member's connection that have not left yet.
    pending: Arc<AtomicUsize>,
    child: Option<OwnedFd>,
    pid: u32,
    binary: PathBuf,
    reply: Option<UnixStream>,
    settings: u64,
    /// The service is another process's: this one is to leave.
    pub is_over: bool,
}

impl Upgrades {
    pub fn new(settings: u64, queue: Sender<Event>, asks: Receiver<Ask>) -> Upgrades {
        let (tell, heard) = channel();
        Upgrades {
            machine: Predecessor::new(predecessor::Timeouts::default()),
            queue,
            tell,
            heard,
            asks,
            link: None,
            kept: Kept::default(),
            given_up: None,
            handed: 0,
            joint: CoServingState::default(),
            pending: Arc::default(),
            child: None,
            pid: 0,
            binary: PathBuf::new(),
            reply: None,
            settings,
            is_over: false,
        }
    }

    /// An upgrade to this very program, as it lies on disk now.
    pub fn asked(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp) {
        let binary = std::env::args_os().next().map(PathBuf::from);
        self.ask(event_loop, now, binary.unwrap_or_default(), None);
    }

    fn ask(
        &mut self,
        event_loop: &mut EventLoop<Log>,
        now: Timestamp,
        binary: PathBuf,
        reply: Option<UnixStream>,
    ) {
        if let Err(why) = capacity_check::check_capacity(&Upgrades::measure(event_loop)) {
            log!(event_loop.observer, now, "upgrade", "not begun: {why}");
            reply.map(|mut r| writeln!(r, "failed: {why}"));
            return;
        }
        let effects = self.machine.on_event(now, predecessor::Event::UpgradeRequested);
        if effects.contains(&predecessor::Action::Report(Progress::Busy)) {
            // Whoever asked before is still to be told of that one.
            log!(
                event_loop.observer,
                now,
                "upgrade",
                "not begun: another one is under way"
            );
            reply.map(|mut r| writeln!(r, "failed: another upgrade is under way"));
            return;
        }
        (self.binary, self.reply) = (binary, reply);
        self.carry_out(event_loop, now, effects);
    }

    /// What both processes would have and need. What the kernel doesn't tell is taken for nothing.
    fn measure(event_loop: &EventLoop<Log>) -> capacity_check::ResourceUsage {
        let held = std::fs::read_dir("/proc/self/fd").map_or(0, Iterator::count);
        let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
        let pages: u64 = pages.split(' ').nth(1).and_then(|p| p.parse().ok()).unwrap_or(0);
        let usage = event_loop.process_usage();
        let capacity = event_loop.process_capacity();
        capacity_check::ResourceUsage {
            descriptor_limit: capacity.descriptors,
            open_descriptors: held,
            client_connections: usage.clients,
            memory_limit: capacity.memory as u64,
            resident_memory: pages * rustix::param::page_size() as u64,
            message_memory: usage.memory as u64,
        }
    }

    /// Has the other process know what binds both.
    fn tell_joint(&mut self, event_loop: &mut EventLoop<Log>) {
        // Else they are for the side that took over to tell.
        if self.machine.is_co_serving() {
            let told = words(event_loop, &mut self.joint);
            told.into_iter().for_each(|m| self.say(m, Vec::new()));
        }
    }

    /// The process is told to leave.
    pub fn leave(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp) {
        self.take(event_loop, now, predecessor::Event::ShutdownRequested);
    }

    pub fn steer(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp, may_begin: bool) {
        while let Ok(Ask { binary, reply }) = self.asks.try_recv() {
            if may_begin {
                self.ask(event_loop, now, binary, Some(reply));
            } else {
                let _ = writeln!(&reply, "failed: this process is on probation, or leaves");
            }
        }
        while let Ok(input) = self.heard.try_recv() {
            if let predecessor::Event::Message(HandoverMessage::CoServing(words)) = &input {
                let answer = bind(event_loop, now, &mut self.joint, words);
                answer.into_iter().for_each(|m| self.say(m, Vec::new()));
            }
            if let predecessor::Event::Message(HandoverMessage::ConnectionMissing(handed)) = &input {
                self.kept.missing(*handed);
                event_loop.metrics.clients_cut += 1;
            }
            self.take(event_loop, now, input);
        }
        if self.machine.next_deadline() <= now {
            self.take(event_loop, now, predecessor::Event::TimerElapsed);
        }
        self.move_clients(event_loop, now);
        self.tell_joint(event_loop);
    }

    pub fn next_at(&self) -> Timestamp {
        self.machine.next_deadline()
    }

    /// From the next phase on.
    pub fn bound(&mut self, times: predecessor::Timeouts) {
        self.machine.timeouts = times;
    }

    fn take(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp, input: predecessor::Event) {
        let effects = self.machine.on_event(now, input);
        self.carry_out(event_loop, now, effects);
    }

    fn carry_out(
        &mut self,
        event_loop: &mut EventLoop<Log>,
        now: Timestamp,
        effects: Vec<predecessor::Action>,
    ) {
        for effect in effects {
            match effect {
                predecessor::Action::StartSuccessor => self.start(),
                predecessor::Action::SendState => match written(event_loop, now, self.settings) {
                    Ok(bytes) => match self.beside(event_loop) {
                        Ok(beside) => self.say(HandoverMessage::State(bytes), beside),
                        // It isn't told anything, and is known by that.
                        Err(e) => log!(event_loop.observer, now, "upgrade", "no descriptors to send: {e}"),
                    },
                    Err(e) => log!(
                        event_loop.observer,
                        now,
                        "upgrade",
                        "the state can't be written out: {e}"
                    ),
                },
                predecessor::Action::Send(message) => self.say(message, Vec::new()),
                predecessor::Action::StartCoServing => {
                    self.joint = CoServingState::default();
                    event_loop.set_co_serving(now, CoServing::WithSuccessor);
                }
                predecessor::Action::StopAccepting => event_loop.set_accepting(false),
                predecessor::Action::ResumeServingAlone => {
                    event_loop.set_co_serving(now, CoServing::Alone);
                    event_loop.metrics.in_flight_at_peer_process = 0;
                    event_loop.set_accepting(true);
                }
                predecessor::Action::MoveClients => event_loop.begin_handover(),
                predecessor::Action::ReclaimClients => self.take_back(event_loop, now),
                predecessor::Action::KillSuccessor => self.kill(),
                predecessor::Action::Drain => {
                    self.kept.clear();
                    self.is_over = true;
                }
                predecessor::Action::Report(told) => self.told(event_loop, now, &told),
            }
        }
    }

    fn told(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp, told: &Progress) {
        let text = match told {
            Progress::Requested => format!("begun, to {} as process {}", self.binary.display(), self.pid),
            Progress::Busy => "not begun: another one is under way, or this process leaves".to_owned(),
            Progress::Committed => "the new process could serve and is told to".to_owned(),
            Progress::Done => "done, the service is the new process's".to_owned(),
            Progress::Failed(why) => format!("failed, this process serves on: {why}"),
        };
        log!(event_loop.observer, now, "upgrade", "{text}");
        if let Some(reply) = &mut self.reply {
            // Whoever asked may have gone.
            let _ = writeln!(reply, "{text}");
        }
        if matches!(told, Progress::Busy | Progress::Done | Progress::Failed(_)) {
            self.reply = None;
        }
    }

    fn say(&self, message: HandoverMessage, beside: Vec<OwnedFd>) {
        if let Some(link) = &self.link {
            let _ = link.send((message, beside));
        }
    }

    /// Listener, ledger, and what the ledger is given up with.
    fn beside(&mut self, event_loop: &EventLoop<Log>) -> io::Result<Vec<OwnedFd>> {
        let link = self.link.as_mut().ok_or(io::ErrorKind::NotConnected)?;
        let listener = event_loop
            .listener_descriptor()
            .ok_or(io::ErrorKind::NotConnected)?;
        let (ours, theirs) = UnixStream::pair()?;
        let flags = EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK;
        let given_up = rustix::event::eventfd(0, flags)?;
        let copy = given_up.try_clone()?;
        // As much as its clients may fill here, they may fill there.
        self.kept = Kept::new(event_loop.client_memory_capacity());
        link.follow(self.kept.follow(ours)?);
        self.given_up = Some(given_up);
        Ok(vec![listener.into(), theirs.into(), copy])
    }

    /// The new process is dead; its clients go on here.
    fn take_back(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp) {
        let Some(given_up) = self.given_up.take() else {
            return;
        };
        let back = self.kept.take_back(&given_up);
        let (count, cut) = (back.clients.len(), back.cut);
        event_loop.metrics.clients_taken_back += count as u64;
        event_loop.metrics.clients_cut += cut;
        for moved in back.clients {
            event_loop.adopt_client(now, moved);
        }
        match back.fault {
            Some(why) => log!(
                event_loop.observer,
                now,
                "upgrade",
                "{cut} clients cut off, for the ledger isn't whole: {why}"
            ),
            None => log!(
                event_loop.observer,
                now,
                "upgrade",
                "{count} clients taken back, {cut} cut off"
            ),
        }
    }

    /// Clients that are on their way.
    pub fn pending(&self) -> usize {
        self.pending.load(Ordering::Acquire)
    }

    /// Sends those on that are to go on in the new process; where there is none any more they stay.
    fn move_clients(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp) {
        let takes = matches!(
            self.machine.phase,
            predecessor::Phase::Standby | predecessor::Phase::Done
        );
        // Where nobody takes them they end: another is opened as one is needed.
        for TransferredConnection { member, stream } in event_loop.take_transferred_connections() {
            if takes {
                self.pending.fetch_add(1, Ordering::AcqRel);
                self.say(HandoverMessage::MemberConnection(member), vec![stream.into()]);
            }
        }
        for moved in event_loop.take_transferred_clients() {
            if !takes {
                event_loop.adopt_client(now, moved);
                continue;
            }
            self.handed += 1;
            let client = ClientState {
                transfer_id: self.handed,
                startup_complete: moved.session.startup_complete,
                has_sent_statement: moved.is_active,
                bytes_to_skip: moved.session.bytes_to_skip as u64,
                input: moved.session.input,
            };
            self.kept.hand_over(client.clone(), &moved.stream);
            self.pending.fetch_add(1, Ordering::AcqRel);
            self.say(
                HandoverMessage::ClientConnection(client),
                vec![moved.stream.into()],
            );
        }
    }

    fn kill(&self) {
        if let Some(child) = &self.child {
            // One that is gone already needs no signal.
            let _ = pidfd_send_signal(child, Signal::KILL);
        }
    }

    fn start(&mut self) {
        let begun = begin(&self.binary, &self.tell, &self.queue, &self.pending);
        match begun {
            Ok((pid, child, link)) => (self.pid, self.child, self.link) = (pid, Some(child), Some(link)),
            Err(e) => {
                let error = StartError {
                    program: self.binary.clone(),
                    cause: e.to_string(),
                };
                let _ = self.tell.send(predecessor::Event::StartFailed(error));
                let _ = self.queue.send(Event::Control(ControlEvent::WakeUp));
            }
        }
    }
}

type Beside = (HandoverMessage, Vec<OwnedFd>);

/// What goes to the new process, and the thread that reads its ledger.
struct Link {
    messages: Sender<Beside>,
    ledgers: Sender<JoinHandle<()>>,
}

impl Link {
    fn send(&self, message: Beside) -> Result<(), SendError<Beside>> {
        self.messages.send(message)
    }

    /// The new process's end is told only when all it wrote was read.
    fn follow(&self, ledger: JoinHandle<()>) {
        let _ = self.ledgers.send(ledger);
    }
}

/// Starts the new process with this one's arguments, and the threads that talk to it.
fn begin(
    binary: &Path,
    tell: &Sender<predecessor::Event>,
    queue: &Sender<Event>,
    pending: &Arc<AtomicUsize>,
) -> io::Result<(u32, OwnedFd, Link)> {
    let (ours, theirs) = UnixStream::pair()?;
    // Theirs alone outlives the change of program. Nothing else is started here meanwhile.
    rustix::io::fcntl_setfd(&theirs, rustix::io::FdFlags::empty())?;
    let arguments: Vec<OsString> = std::env::args_os().skip(1).collect();
    let mut command = Command::new(binary);
    command
        .args(arguments)
        .env(VARIABLE, theirs.as_raw_fd().to_string());
    let mut child = command.spawn()?;
    drop(theirs);
    let number = child.id();
    let pid = i32::try_from(number).ok().and_then(Pid::from_raw);
    let descriptor = pid.map(|pid| pidfd_open(pid, PidfdFlags::empty()));
    let descriptor = match descriptor {
        Some(Ok(descriptor)) => descriptor,
        other => {
            // It couldn't be killed for certain later.
            child.kill()?;
            child.wait()?;
            return Err(other
                .and_then(Result::err)
                .map_or(io::Error::other("no process"), Into::into));
        }
    };
    let (messages, to_say) = channel::<Beside>();
    let (ledgers, ledger) = channel::<JoinHandle<()>>();
    let socket = ours.try_clone()?;
    let (unsent, woken) = (pending.clone(), queue.clone());
    let say = move || {
        for (message, descriptors) in to_say {
            let beside: Vec<_> = descriptors.iter().map(AsFd::as_fd).collect();
            // One that doesn't hear is known by its end, or by its silence.
            let _ = send(&socket, &message, &beside);
            if matches!(
                message,
                HandoverMessage::ClientConnection(_) | HandoverMessage::MemberConnection(_)
            ) {
                unsent.fetch_sub(1, Ordering::AcqRel);
                let _ = woken.send(Event::Control(ControlEvent::WakeUp));
            }
        }
    };
    let (tell, queue) = (tell.clone(), queue.clone());
    let hear = move || {
        let mut reader = FrameReader::new(ours);
        loop {
            let input = match reader.read() {
                Received::Message(message, _) => predecessor::Event::Message(message),
                Received::Invalid(_) => predecessor::Event::InvalidFrame,
                Received::Closed => break,
            };
            let garbled = input == predecessor::Event::InvalidFrame;
            if tell.send(input).is_err()
                || queue.send(Event::Control(ControlEvent::WakeUp)).is_err()
                || garbled
            {
                break;
            }
        }
        // A closed socket is no end: only the kernel's word is.
        let _ = child.wait();
        ledger.try_iter().for_each(|reads| drop(reads.join()));
        let _ = tell.send(predecessor::Event::SuccessorExited);
        let _ = queue.send(Event::Control(ControlEvent::WakeUp));
    };
    std::thread::Builder::new()
        .name("takeover".to_owned())
        .spawn(say)?;
    std::thread::Builder::new()
        .name("takeover".to_owned())
        .spawn(hear)?;
    Ok((number, descriptor, Link { messages, ledgers }))
}
