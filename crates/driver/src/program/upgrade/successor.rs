//! The side of the new process: takes state, listener and clients over, and writes down what it does on probation.

use super::handover_state::{read, Resumed};
use super::{bind, words, VARIABLE};
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
use asterlatch_handover::successor::{self, Successor};
use std::net::{TcpListener, TcpStream};
use std::os::fd::{FromRawFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;

/// What comes from the former process while this one serves.
enum Heard {
    Word(successor::Event),
    Moved(TransferredClient),
    Member(u32, TcpStream),
}

/// The side of the new process.
pub struct Takeover {
    machine: Successor,
    socket: UnixStream,
    reader: Option<FrameReader>,
    heard: Option<Receiver<Heard>>,
    /// The former process is gone.
    ended: bool,
    listener: Option<TcpListener>,
    /// To write the ledger into, and to give it up with.
    ledger: Option<(UnixStream, OwnedFd)>,
    witness: Option<IoJournalWriter>,
    joint: CoServingState,
    started: Timestamp,
}

/// Takes the socket to the former process, where this one was started to take over.
pub fn inherited(times: successor::Timeouts) -> Result<Option<Takeover>, String> {
    let Some(number) = std::env::var_os(VARIABLE) else {
        return Ok(None);
    };
    // No process that this one starts is to think it was named this.
    std::env::remove_var(VARIABLE);
    let number: Option<i32> = number.to_str().and_then(|n| n.parse().ok()).filter(|n| *n > 2);
    let number = number.ok_or_else(|| format!("{VARIABLE} names no descriptor"))?;
    // SAFETY: the former process opened it for this one, and nothing here has used that number: it is the first thing
    // that a process does.
    let socket = unsafe { UnixStream::from_raw_fd(number) };
    let prepared = rustix::io::fcntl_setfd(&socket, rustix::io::FdFlags::CLOEXEC);
    prepared.map_err(|e| format!("{VARIABLE}: {e}"))?;
    let reader = socket.try_clone().map_err(|e| format!("{VARIABLE}: {e}"))?;
    Ok(Some(Takeover {
        machine: Successor::new(times),
        socket,
        reader: Some(FrameReader::new(reader)),
        heard: None,
        ended: false,
        listener: None,
        ledger: None,
        witness: None,
        joint: CoServingState::default(),
        started: Timestamp(monotonic_micros()),
    }))
}

impl Takeover {
    /// Until it serves the machine's clock will do.
    fn machine_now(&self) -> Timestamp {
        Timestamp(monotonic_micros())
    }

    fn say(&self, message: &HandoverMessage) {
        // A former process that is gone is known by its end.
        let _ = send(&self.socket, message, &[]);
    }

    /// Says hello, and waits for state and listener.
    pub fn load(&mut self, config: &Config) -> Result<Resumed, String> {
        let now = self.machine_now();
        let mut effects = self.machine.on_event(now, successor::Event::Started);
        loop {
            for effect in std::mem::take(&mut effects) {
                match effect {
                    successor::Action::Send(message) => self.say(&message),
                    successor::Action::LoadState(bytes) => {
                        match (read(&bytes, config.settings_text), &self.listener) {
                            (Ok(resumed), Some(_)) => return Ok(resumed),
                            (Ok(_), None) => effects.extend(self.loaded(Err("no listener came".to_owned()))),
                            (Err(why), _) => effects.extend(self.loaded(Err(why))),
                        }
                    }
                    successor::Action::Abort(why) => return Err(why.to_string()),
                    successor::Action::StartServing
                    | successor::Action::StartAccepting
                    | successor::Action::Report(_) => {}
                }
            }
            if effects.is_empty() {
                effects = self.wait();
            }
        }
    }

    fn loaded(&mut self, result: Result<(), String>) -> Vec<successor::Action> {
        let now = self.machine_now();
        let event = match result {
            Ok(()) => successor::Event::Loaded,
            Err(reason) => successor::Event::LoadFailed { reason },
        };
        self.machine.on_event(now, event)
    }

    pub fn listener(&mut self) -> Option<TcpListener> {
        self.listener.take()
    }

    /// Writes down what is done here, for as long as the former process may have to go on with it.
    pub fn witness(&mut self) -> Result<Option<IoJournalWriter>, String> {
        let made = self
            .ledger
            .take()
            .map(|(socket, end)| IoJournalWriter::new(socket, end));
        self.witness = made.transpose().map_err(|e| format!("ledger: {e}"))?;
        Ok(self.witness.clone())
    }

    /// The next word of the former process, its end, or its silence.
    fn wait(&mut self) -> Vec<successor::Action> {
        let wait = self.machine.next_deadline() - self.machine_now();
        let timeout = Duration::from_micros(wait.0.clamp(1, 60_000_000));
        let _ = self.socket.set_read_timeout(Some(timeout));
        let Some(reader) = &mut self.reader else {
            return Vec::new();
        };
        let input = match reader.read() {
            Received::Message(message, descriptors) => {
                let mut beside = descriptors.into_iter();
                if let (Some(listener), Some(ledger), Some(given_up)) =
                    (beside.next(), beside.next(), beside.next())
                {
                    self.listener = Some(listener.into());
                    self.ledger = Some((ledger.into(), given_up));
                }
                successor::Event::Message(message)
            }
            Received::Invalid(_) => successor::Event::InvalidFrame,
            // A silence ends the reading as well; the rules tell them apart by the time.
            Received::Closed if self.machine.next_deadline() <= self.machine_now() => {
                successor::Event::TimerElapsed
            }
            Received::Closed => successor::Event::PredecessorExited,
        };
        let now = self.machine_now();
        self.machine.on_event(now, input)
    }

    /// Says that this process could serve, and waits until it is to.
    pub fn commit(&mut self) -> Result<(), String> {
        let mut effects = self.loaded(Ok(()));
        loop {
            let mut serves = false;
            for effect in std::mem::take(&mut effects) {
                match effect {
                    successor::Action::Send(message) => self.say(&message),
                    successor::Action::StartServing => serves = true,
                    successor::Action::Abort(why) => return Err(why.to_string()),
                    successor::Action::LoadState(_)
                    | successor::Action::StartAccepting
                    | successor::Action::Report(_) => {}
                }
            }
            if serves {
                return Ok(());
            }
            effects = self.wait();
        }
    }

    /// From now on the former process is listened to on a thread of its own.
    pub fn follow(&mut self, queue: Sender<Event>) -> Result<(), String> {
        let _ = self.socket.set_read_timeout(None);
        let (tell, heard) = channel();
        self.heard = Some(heard);
        let Some(mut reader) = self.reader.take() else {
            return Ok(());
        };
        let socket = self.socket.try_clone().map_err(|e| format!("takeover: {e}"))?;
        let hear = move || loop {
            let heard = match reader.read() {
                Received::Message(HandoverMessage::ClientConnection(client), descriptors) => {
                    let Some(stream) = descriptors.into_iter().next() else {
                        // The kernel drops what a process has no descriptor for.
                        let _ = send(
                            &socket,
                            &HandoverMessage::ConnectionMissing(client.transfer_id),
                            &[],
                        );
                        continue;
                    };
                    let (handed, verdicts) = (Some(client.transfer_id), StatementVerdicts::default());
                    Heard::Moved(TransferredClient::new(client, handed, stream.into(), verdicts))
                }
                Received::Message(HandoverMessage::MemberConnection(member), descriptors) => {
                    let Some(stream) = descriptors.into_iter().next() else {
                        continue;
                    };
                    Heard::Member(member, TcpStream::from(stream))
                }
                Received::Message(message, _) => Heard::Word(successor::Event::Message(message)),
                Received::Invalid(_) => Heard::Word(successor::Event::InvalidFrame),
                Received::Closed => Heard::Word(successor::Event::PredecessorExited),
            };
            let last = matches!(
                heard,
                Heard::Word(successor::Event::InvalidFrame | successor::Event::PredecessorExited)
            );
            if tell.send(heard).is_err() || queue.send(Event::Control(ControlEvent::WakeUp)).is_err() || last
            {
                return;
            }
        };
        let thread = std::thread::Builder::new().name("takeover".to_owned());
        thread.spawn(hear).map(drop).map_err(|e| format!("takeover: {e}"))
    }

    pub fn steer(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp) {
        let mut effects = Vec::new();
        let machine_now = self.machine_now();
        while let Some(Ok(heard)) = self.heard.as_ref().map(Receiver::try_recv) {
            match heard {
                Heard::Moved(moved) => event_loop.adopt_client(now, moved),
                Heard::Member(member, stream) => event_loop.adopt_member_connection(now, member, stream),
                Heard::Word(successor::Event::Message(HandoverMessage::CoServing(words))) => {
                    let answer = bind(event_loop, now, &mut self.joint, &words);
                    answer.iter().for_each(|m| self.say(m));
                }
                Heard::Word(input) => {
                    if matches!(
                        input,
                        successor::Event::InvalidFrame | successor::Event::PredecessorExited
                    ) {
                        self.ended = true;
                        // Nothing of the former one is out any more.
                        event_loop.set_co_serving(now, CoServing::Alone);
                        event_loop.metrics.in_flight_at_peer_process = 0;
                        log!(event_loop.observer, now, "upgrade", "the former process has left");
                    }
                    effects.extend(self.machine.on_event(machine_now, input));
                }
            }
        }
        if self.machine.next_deadline() <= machine_now {
            effects.extend(self.machine.on_event(machine_now, successor::Event::TimerElapsed));
        }
        let given_up = self.witness.take_if(|w| !w.is_on());
        if given_up.is_some() {
            log!(
                event_loop.observer,
                now,
                "upgrade",
                "the ledger is given up: the former process doesn't read it"
            );
        }
        for effect in effects {
            match effect {
                successor::Action::Send(message) => self.say(&message),
                successor::Action::StartAccepting => event_loop.set_accepting(true),
                successor::Action::Report(text) => {
                    let took = (machine_now - self.started).0 / 1000;
                    log!(
                        event_loop.observer,
                        now,
                        "upgrade",
                        "{text}, {took} ms after this process began"
                    );
                }
                _ => {}
            }
        }
        if !self.ended {
            let told = words(event_loop, &mut self.joint);
            told.iter().for_each(|m| self.say(m));
        }
        // Whoever is proven, or alone, answers for its clients itself; not before the former one was told so.
        if self.machine.phase == successor::Phase::Serving {
            self.witness.take().inspect(IoJournalWriter::stop);
        }
    }

    /// In the service's own time.
    pub fn next_at(&self, now: Timestamp) -> Timestamp {
        match self.machine.next_deadline() {
            Timestamp(u64::MAX) => Timestamp(u64::MAX),
            at => now + (at - self.machine_now()),
        }
    }

    /// The service is this process's alone, and no client is to come from the former one any more.
    pub fn is_over(&self) -> bool {
        self.ended && self.machine.phase == successor::Phase::Serving
    }
}
