//! Carries out what the two sides of a takeover decide: starts and kills the new process, sends state and listener, and
//! tells whoever asked. All waiting is done on threads beside the owner's.

use super::config::Config;
use super::kept::Kept;
use super::log::{log, Log};
use crate::routing::owner::{Moved, Owner};
use crate::routing::queue::{Input, Notice};
use crate::routing::tables::Members;
use crate::transport::clock::Clock;
use crate::transport::witness::Witness;
use asterlatch::choice::Driver;
use asterlatch::time::{Point, Span};
use asterlatch_takeover::fit;
use asterlatch_takeover::joint::{Joint, Word};
use asterlatch_takeover::ledger::Verdicts;
use asterlatch_takeover::message::{Client, Message};
use asterlatch_takeover::new::{self, New};
use asterlatch_takeover::old::{self, Old, Told};
use asterlatch_takeover::wire::{machine_us, send, Came, Reader};
use rustix::event::EventfdFlags;
use rustix::process::{pidfd_open, pidfd_send_signal, Pid, PidfdFlags, Signal};
use serde::{Deserialize, Serialize};
use std::ffi::OsString;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::{AsFd, AsRawFd, FromRawFd, OwnedFd};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, SendError, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Names the descriptor of the socket to the former process, where there is one.
pub const VARIABLE: &str = "ASTERLATCH_TAKEOVER";

/// Of what is written out, beside the version of the takeover itself.
const FORM: u32 = 1;

/// What goes from one process to the next. Points in time count from the former one's clock, which goes along with the
/// machine's: no reading of a wall clock is believed.
#[derive(Serialize, Deserialize)]
struct Handover {
    form: u32,
    now: Point,
    machine: Span,
    /// The deployment's settings by which ids of workloads mean something.
    settings: u64,
    module: Vec<u8>,
    members: Vec<u8>,
}

fn written(owner: &Owner<Log>, now: Point, settings: u64) -> Result<Vec<u8>, postcard::Error> {
    let (module, members) = owner.learned();
    let handover = Handover {
        form: FORM,
        now,
        machine: Span(machine_us()),
        settings,
        module: postcard::to_stdvec(module)?,
        members: postcard::to_stdvec(members)?,
    };
    postcard::to_stdvec(&handover)
}

/// What a new process goes on from.
pub struct Resumed {
    pub clock: Clock,
    pub learned: (Driver, Members),
}

fn read(bytes: &[u8], settings: u64) -> Result<Resumed, String> {
    let handover: Handover =
        postcard::from_bytes(bytes).map_err(|e| format!("the state can't be read: {e}"))?;
    if handover.form != FORM {
        return Err(format!("the state has form {}, not {FORM}", handover.form));
    }
    if handover.settings != settings {
        return Err("the deployment's settings have changed: only a new start takes those over".to_owned());
    }
    let module = postcard::from_bytes(&handover.module);
    let members = postcard::from_bytes(&handover.members);
    let module = module.map_err(|e| format!("what was learned can't be read: {e}"))?;
    let members = members.map_err(|e| format!("the members can't be read: {e}"))?;
    Ok(Resumed {
        clock: Clock::resume(handover.now, handover.machine, Span(machine_us())),
        learned: (module, members),
    })
}

/// Who asks for an upgrade: to which program, and whom to tell.
pub struct Ask {
    binary: PathBuf,
    reply: UnixStream,
}

/// The side that serves.
pub struct Upgrades {
    machine: Old,
    queue: Sender<Input>,
    tell: Sender<old::Input>,
    heard: Receiver<old::Input>,
    asks: Receiver<Ask>,
    /// Says what goes to the new process, and its end, while there is one.
    link: Option<Link>,
    /// Connections of clients that are the new process's on probation, and what it does with them.
    kept: Kept,
    /// By which the new process tells that the ledger isn't whole.
    given_up: Option<OwnedFd>,
    handed: u64,
    /// What the new process was told that binds both.
    joint: Joint,
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
    pub fn new(settings: u64, queue: Sender<Input>, asks: Receiver<Ask>) -> Upgrades {
        let (tell, heard) = channel();
        Upgrades {
            machine: Old::new(old::Times::default()),
            queue,
            tell,
            heard,
            asks,
            link: None,
            kept: Kept::default(),
            given_up: None,
            handed: 0,
            joint: Joint::default(),
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
    pub fn asked(&mut self, owner: &mut Owner<Log>, now: Point) {
        let binary = std::env::args_os().next().map(PathBuf::from);
        self.ask(owner, now, binary.unwrap_or_default(), None);
    }

    fn ask(&mut self, owner: &mut Owner<Log>, now: Point, binary: PathBuf, reply: Option<UnixStream>) {
        if let Err(why) = fit::check(&Upgrades::measure(owner)) {
            log!(owner.observer, now, "upgrade", "not begun: {why}");
            reply.map(|mut r| writeln!(r, "failed: {why}"));
            return;
        }
        let effects = self.machine.take(now, old::Input::Ask);
        if effects.contains(&old::Effect::Tell(Told::Busy)) {
            // Whoever asked before is still to be told of that one.
            log!(
                owner.observer,
                now,
                "upgrade",
                "not begun: another one is under way"
            );
            reply.map(|mut r| writeln!(r, "failed: another upgrade is under way"));
            return;
        }
        (self.binary, self.reply) = (binary, reply);
        self.carry_out(owner, now, effects);
    }

    /// What both processes would have and need. What the kernel doesn't tell is taken for nothing.
    fn measure(owner: &Owner<Log>) -> fit::Room {
        let held = std::fs::read_dir("/proc/self/fd").map_or(0, Iterator::count);
        let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
        let pages: u64 = pages.split(' ').nth(1).and_then(|p| p.parse().ok()).unwrap_or(0);
        let (clients, messages) = owner.held();
        let (descriptors, memory) = owner.most();
        fit::Room {
            descriptors,
            held,
            clients,
            memory: memory as u64,
            resident: pages * rustix::param::page_size() as u64,
            messages: messages as u64,
        }
    }

    /// Has the other process know what binds both.
    fn tell_joint(&mut self, owner: &mut Owner<Log>) {
        // Else they are for the side that took over to tell.
        let Some(link) = self.link.as_ref().filter(|_| self.machine.is_shared()) else {
            return;
        };
        let drains = std::mem::take(&mut owner.drains);
        let drains = drains
            .iter()
            .filter_map(|(m, since)| self.joint.drains(m, *since));
        let mut words: Vec<Word> = drains.collect();
        words.extend(self.joint.open(owner.out()));
        if !words.is_empty() {
            let _ = link.send((Message::Joint(words), Vec::new()));
        }
    }

    /// The process is told to leave.
    pub fn leave(&mut self, owner: &mut Owner<Log>, now: Point) {
        self.take(owner, now, old::Input::Leave);
    }

    pub fn steer(&mut self, owner: &mut Owner<Log>, now: Point, may_begin: bool) {
        while let Ok(Ask { binary, reply }) = self.asks.try_recv() {
            if may_begin {
                self.ask(owner, now, binary, Some(reply));
            } else {
                let _ = writeln!(&reply, "failed: this process is on probation, or leaves");
            }
        }
        while let Ok(input) = self.heard.try_recv() {
            if let old::Input::Heard(Message::Joint(words)) = &input {
                bind(owner, now, &mut self.joint, words);
            }
            if let old::Input::Heard(Message::Missing(handed)) = &input {
                self.kept.missing(*handed);
                owner.figures.clients_cut += 1;
            }
            self.take(owner, now, input);
        }
        if self.machine.next_at() <= now {
            self.take(owner, now, old::Input::Time);
        }
        self.move_clients(owner, now);
        self.tell_joint(owner);
    }

    pub fn next_at(&self) -> Point {
        self.machine.next_at()
    }

    /// From the next phase on.
    pub fn bound(&mut self, times: old::Times) {
        self.machine.times = times;
    }

    fn take(&mut self, owner: &mut Owner<Log>, now: Point, input: old::Input) {
        let effects = self.machine.take(now, input);
        self.carry_out(owner, now, effects);
    }

    fn carry_out(&mut self, owner: &mut Owner<Log>, now: Point, effects: Vec<old::Effect>) {
        for effect in effects {
            match effect {
                old::Effect::Start => self.start(),
                old::Effect::SendState => match written(owner, now, self.settings) {
                    Ok(bytes) => match self.beside(owner) {
                        Ok(beside) => self.say(Message::State(bytes), beside),
                        // It isn't told anything, and is known by that.
                        Err(e) => log!(owner.observer, now, "upgrade", "no descriptors to send: {e}"),
                    },
                    Err(e) => log!(
                        owner.observer,
                        now,
                        "upgrade",
                        "the state can't be written out: {e}"
                    ),
                },
                old::Effect::Say(message) => self.say(message, Vec::new()),
                old::Effect::StopAccepting => {
                    owner.pause(true);
                    self.joint = Joint::default();
                    owner.share(now, true, true);
                }
                old::Effect::Accept => {
                    owner.share(now, false, false);
                    owner.pause(false);
                }
                old::Effect::SendAway => owner.hand_clients_over(),
                old::Effect::TakeBack => self.take_back(owner, now),
                old::Effect::Kill => self.kill(),
                old::Effect::Leave => {
                    self.kept.clear();
                    self.is_over = true;
                }
                old::Effect::Tell(told) => self.told(owner, now, &told),
            }
        }
    }

    fn told(&mut self, owner: &mut Owner<Log>, now: Point, told: &Told) {
        let text = match told {
            Told::Asked => format!("begun, to {} as process {}", self.binary.display(), self.pid),
            Told::Busy => "not begun: another one is under way, or this process leaves".to_owned(),
            Told::Committed => "the new process could serve and is told to".to_owned(),
            Told::Done => "done, the service is the new process's".to_owned(),
            Told::Failed(why) => format!("failed, this process serves on: {why}"),
        };
        log!(owner.observer, now, "upgrade", "{text}");
        if let Some(reply) = &mut self.reply {
            // Whoever asked may have gone.
            let _ = writeln!(reply, "{text}");
        }
        if matches!(told, Told::Busy | Told::Done | Told::Failed(_)) {
            self.reply = None;
        }
    }

    fn say(&self, message: Message, beside: Vec<OwnedFd>) {
        if let Some(link) = &self.link {
            let _ = link.send((message, beside));
        }
    }

    /// Listener, ledger, and what the ledger is given up with.
    fn beside(&mut self, owner: &Owner<Log>) -> io::Result<Vec<OwnedFd>> {
        let link = self.link.as_mut().ok_or(io::ErrorKind::NotConnected)?;
        let listener = owner.listener().ok_or(io::ErrorKind::NotConnected)?;
        let (ours, theirs) = UnixStream::pair()?;
        let flags = EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK;
        let given_up = rustix::event::eventfd(0, flags)?;
        let copy = given_up.try_clone()?;
        // As much as its clients may fill here, they may fill there.
        self.kept = Kept::new(owner.clients_memory());
        link.follow(self.kept.follow(ours)?);
        self.given_up = Some(given_up);
        Ok(vec![listener.into(), theirs.into(), copy])
    }

    /// The new process is dead; its clients go on here.
    fn take_back(&mut self, owner: &mut Owner<Log>, now: Point) {
        let Some(given_up) = self.given_up.take() else {
            return;
        };
        let back = self.kept.take_back(&given_up);
        let (count, cut) = (back.clients.len(), back.cut);
        owner.figures.clients_taken_back += count as u64;
        owner.figures.clients_cut += cut;
        for moved in back.clients {
            owner.adopt(now, moved);
        }
        match back.fault {
            Some(why) => log!(
                owner.observer,
                now,
                "upgrade",
                "{cut} clients cut off, for the ledger isn't whole: {why}"
            ),
            None => log!(
                owner.observer,
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
    fn move_clients(&mut self, owner: &mut Owner<Log>, now: Point) {
        let takes = matches!(self.machine.phase, old::Phase::Standby | old::Phase::Done);
        // Where nobody takes them they end: another is opened as one is needed.
        for (member, stream) in std::mem::take(&mut owner.moved_connections) {
            if takes {
                self.pending.fetch_add(1, Ordering::AcqRel);
                self.say(Message::Member(member), vec![stream.into()]);
            }
        }
        for moved in std::mem::take(&mut owner.moved) {
            if !takes {
                owner.adopt(now, moved);
                continue;
            }
            self.handed += 1;
            let client = Client {
                handed: self.handed,
                opened: moved.standing.opened,
                has_asked: moved.has_asked,
                skip: moved.standing.skip as u64,
                input: moved.standing.input,
            };
            self.kept.hand_over(client.clone(), &moved.stream);
            self.pending.fetch_add(1, Ordering::AcqRel);
            self.say(Message::Client(client), vec![moved.stream.into()]);
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
                let why = format!("{}: {e}", self.binary.display());
                let _ = self.tell.send(old::Input::NotStarted(why));
                let _ = self.queue.send(Input::Notice(Notice::Done));
            }
        }
    }
}

/// Takes over what the other process tells that binds both.
fn bind(owner: &mut Owner<Log>, now: Point, joint: &mut Joint, words: &[Word]) {
    for word in words {
        if let Word::Drains { member, since_ms } = word {
            joint.heard(member, *since_ms);
        }
        owner.bind(now, word);
    }
}

type Beside = (Message, Vec<OwnedFd>);

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
    tell: &Sender<old::Input>,
    queue: &Sender<Input>,
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
            if matches!(message, Message::Client(_) | Message::Member(_)) {
                unsent.fetch_sub(1, Ordering::AcqRel);
                let _ = woken.send(Input::Notice(Notice::Done));
            }
        }
    };
    let (tell, queue) = (tell.clone(), queue.clone());
    let hear = move || {
        let mut reader = Reader::new(ours);
        loop {
            let input = match reader.read() {
                Came::Message(message, _) => old::Input::Heard(message),
                Came::Garbled(_) => old::Input::Garbled,
                Came::Ended => break,
            };
            let garbled = input == old::Input::Garbled;
            if tell.send(input).is_err() || queue.send(Input::Notice(Notice::Done)).is_err() || garbled {
                break;
            }
        }
        // A closed socket is no end: only the kernel's word is.
        let _ = child.wait();
        ledger.try_iter().for_each(|reads| drop(reads.join()));
        let _ = tell.send(old::Input::Ended);
        let _ = queue.send(Input::Notice(Notice::Done));
    };
    std::thread::Builder::new()
        .name("takeover".to_owned())
        .spawn(say)?;
    std::thread::Builder::new()
        .name("takeover".to_owned())
        .spawn(hear)?;
    Ok((number, descriptor, Link { messages, ledgers }))
}

/// What comes from the former process while this one serves.
enum Heard {
    Word(new::Input),
    Moved(Moved),
    Member(u32, TcpStream),
}

/// The side of the new process.
pub struct Takeover {
    machine: New,
    socket: UnixStream,
    reader: Option<Reader>,
    heard: Option<Receiver<Heard>>,
    /// The former process is gone.
    ended: bool,
    listener: Option<TcpListener>,
    /// To write the ledger into, and to give it up with.
    ledger: Option<(UnixStream, OwnedFd)>,
    witness: Option<Witness>,
    joint: Joint,
    started: Point,
}

/// Takes the socket to the former process, where this one was started to take over.
pub fn inherited(times: new::Times) -> Result<Option<Takeover>, String> {
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
        machine: New::begin(times),
        socket,
        reader: Some(Reader::new(reader)),
        heard: None,
        ended: false,
        listener: None,
        ledger: None,
        witness: None,
        joint: Joint::default(),
        started: Point(machine_us()),
    }))
}

impl Takeover {
    /// Until it serves the machine's clock will do.
    fn machine_now(&self) -> Point {
        Point(machine_us())
    }

    fn say(&self, message: &Message) {
        // A former process that is gone is known by its end.
        let _ = send(&self.socket, message, &[]);
    }

    /// Says hello, and waits for state and listener.
    pub fn load(&mut self, config: &Config) -> Result<Resumed, String> {
        let now = self.machine_now();
        let mut effects = self.machine.take(now, new::Input::Start);
        loop {
            for effect in std::mem::take(&mut effects) {
                match effect {
                    new::Effect::Say(message) => self.say(&message),
                    new::Effect::Load(bytes) => match (read(&bytes, config.settings_text), &self.listener) {
                        (Ok(resumed), Some(_)) => return Ok(resumed),
                        (Ok(_), None) => effects.extend(self.loaded(Err("no listener came".to_owned()))),
                        (Err(why), _) => effects.extend(self.loaded(Err(why))),
                    },
                    new::Effect::End(why) => return Err(why),
                    new::Effect::Accept | new::Effect::Tell(_) => {}
                }
            }
            if effects.is_empty() {
                effects = self.wait();
            }
        }
    }

    fn loaded(&mut self, result: Result<(), String>) -> Vec<new::Effect> {
        let now = self.machine_now();
        self.machine.take(now, new::Input::Loaded(result))
    }

    pub fn listener(&mut self) -> Option<TcpListener> {
        self.listener.take()
    }

    /// Writes down what is done here, for as long as the former process may have to go on with it.
    pub fn witness(&mut self) -> Result<Option<Witness>, String> {
        let made = self.ledger.take().map(|(socket, end)| Witness::new(socket, end));
        self.witness = made.transpose().map_err(|e| format!("ledger: {e}"))?;
        Ok(self.witness.clone())
    }

    /// The next word of the former process, its end, or its silence.
    fn wait(&mut self) -> Vec<new::Effect> {
        let wait = self.machine.next_at() - self.machine_now();
        let timeout = Duration::from_micros(wait.0.clamp(1, 60_000_000));
        let _ = self.socket.set_read_timeout(Some(timeout));
        let Some(reader) = &mut self.reader else {
            return Vec::new();
        };
        let input = match reader.read() {
            Came::Message(message, descriptors) => {
                let mut beside = descriptors.into_iter();
                if let (Some(listener), Some(ledger), Some(given_up)) =
                    (beside.next(), beside.next(), beside.next())
                {
                    self.listener = Some(listener.into());
                    self.ledger = Some((ledger.into(), given_up));
                }
                new::Input::Heard(message)
            }
            Came::Garbled(_) => new::Input::Garbled,
            // A silence ends the reading as well; the rules tell them apart by the time.
            Came::Ended if self.machine.next_at() <= self.machine_now() => new::Input::Time,
            Came::Ended => new::Input::Ended,
        };
        let now = self.machine_now();
        self.machine.take(now, input)
    }

    /// Says that this process could serve, and waits until it is to.
    pub fn commit(&mut self) -> Result<(), String> {
        let mut effects = self.loaded(Ok(()));
        loop {
            let mut accepts = false;
            for effect in std::mem::take(&mut effects) {
                match effect {
                    new::Effect::Say(message) => self.say(&message),
                    new::Effect::Accept => accepts = true,
                    new::Effect::End(why) => return Err(why),
                    new::Effect::Load(_) | new::Effect::Tell(_) => {}
                }
            }
            if accepts {
                return Ok(());
            }
            effects = self.wait();
        }
    }

    /// From now on the former process is listened to on a thread of its own.
    pub fn follow(&mut self, queue: Sender<Input>) -> Result<(), String> {
        let _ = self.socket.set_read_timeout(None);
        let (tell, heard) = channel();
        self.heard = Some(heard);
        let Some(mut reader) = self.reader.take() else {
            return Ok(());
        };
        let socket = self.socket.try_clone().map_err(|e| format!("takeover: {e}"))?;
        let hear = move || loop {
            let heard = match reader.read() {
                Came::Message(Message::Client(client), descriptors) => {
                    let Some(stream) = descriptors.into_iter().next() else {
                        // The kernel drops what a process has no descriptor for.
                        let _ = send(&socket, &Message::Missing(client.handed), &[]);
                        continue;
                    };
                    let (handed, verdicts) = (Some(client.handed), Verdicts::default());
                    Heard::Moved(Moved::from(client, handed, stream.into(), verdicts))
                }
                Came::Message(Message::Member(member), descriptors) => {
                    let Some(stream) = descriptors.into_iter().next() else {
                        continue;
                    };
                    Heard::Member(member, TcpStream::from(stream))
                }
                Came::Message(message, _) => Heard::Word(new::Input::Heard(message)),
                Came::Garbled(_) => Heard::Word(new::Input::Garbled),
                Came::Ended => Heard::Word(new::Input::Ended),
            };
            let last = matches!(heard, Heard::Word(new::Input::Garbled | new::Input::Ended));
            if tell.send(heard).is_err() || queue.send(Input::Notice(Notice::Done)).is_err() || last {
                return;
            }
        };
        let thread = std::thread::Builder::new().name("takeover".to_owned());
        thread.spawn(hear).map(drop).map_err(|e| format!("takeover: {e}"))
    }

    pub fn steer(&mut self, owner: &mut Owner<Log>, now: Point) {
        let mut effects = Vec::new();
        let machine_now = self.machine_now();
        while let Some(Ok(heard)) = self.heard.as_ref().map(Receiver::try_recv) {
            match heard {
                Heard::Moved(moved) => owner.adopt(now, moved),
                Heard::Member(member, stream) => owner.adopt_connection(now, member, stream),
                Heard::Word(new::Input::Heard(Message::Joint(words))) => {
                    bind(owner, now, &mut self.joint, &words);
                }
                Heard::Word(input) => {
                    if matches!(input, new::Input::Garbled | new::Input::Ended) {
                        self.ended = true;
                        // Nothing of the former one is out any more.
                        owner.share(now, false, false);
                        log!(owner.observer, now, "upgrade", "the former process has left");
                    }
                    effects.extend(self.machine.take(machine_now, input));
                }
            }
        }
        if self.machine.next_at() <= machine_now {
            effects.extend(self.machine.take(machine_now, new::Input::Time));
        }
        let given_up = self.witness.take_if(|w| !w.is_on());
        if given_up.is_some() {
            log!(
                owner.observer,
                now,
                "upgrade",
                "the ledger is given up: the former process doesn't read it"
            );
        }
        for effect in effects {
            match effect {
                new::Effect::Say(message) => self.say(&message),
                new::Effect::Tell(text) => {
                    let took = (machine_now - self.started).0 / 1000;
                    log!(
                        owner.observer,
                        now,
                        "upgrade",
                        "{text}, {took} ms after this process began"
                    );
                }
                _ => {}
            }
        }
        let drains = std::mem::take(&mut owner.drains);
        let words: Vec<Word> = drains
            .iter()
            .filter_map(|(m, since)| self.joint.drains(m, *since))
            .collect();
        if !words.is_empty() && !self.ended {
            self.say(&Message::Joint(words));
        }
        // Whoever is proven, or alone, answers for its clients itself; not before the former one was told so.
        if self.machine.phase == new::Phase::Owner {
            self.witness.take().inspect(Witness::stop);
        }
    }

    /// In the service's own time.
    pub fn next_at(&self, now: Point) -> Point {
        match self.machine.next_at() {
            Point(u64::MAX) => Point(u64::MAX),
            at => now + (at - self.machine_now()),
        }
    }

    /// The service is this process's alone, and no client is to come from the former one any more.
    pub fn is_over(&self) -> bool {
        self.ended && self.machine.phase == new::Phase::Owner
    }
}

/// Listens for `asterlatch upgrade` at this path. Only who runs as this process's user may ask.
pub fn control(path: &Path, queue: Sender<Input>, asks: Sender<Ask>) -> Result<(), String> {
    let told = |e: io::Error| format!("{}: {e}", path.display());
    // What a former process left there, or still holds: its own stands without the name.
    match std::fs::remove_file(path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(told(e)),
        _ => {}
    }
    let listener = UnixListener::bind(path).map_err(told)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600)).map_err(told)?;
    let own = rustix::process::getuid();
    let take = move || {
        for stream in listener.incoming().flatten() {
            let peer = rustix::net::sockopt::socket_peercred(&stream);
            if peer.map_or(true, |p| p.uid != own) {
                continue;
            }
            // Who says nothing holds up only who asks after it, and not for long.
            let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
            let Ok(reader) = stream.try_clone() else { continue };
            let mut line = String::new();
            let read = BufReader::new(io::Read::take(reader, 4096)).read_line(&mut line);
            let Some(binary) = line
                .trim_end_matches('\n')
                .strip_prefix("upgrade ")
                .filter(|_| read.is_ok())
            else {
                continue;
            };
            let ask = Ask {
                binary: PathBuf::from(binary),
                reply: stream,
            };
            if asks.send(ask).is_err() || queue.send(Input::Notice(Notice::Done)).is_err() {
                return;
            }
        }
    };
    let thread = std::thread::Builder::new().name("control".to_owned());
    thread.spawn(take).map(drop).map_err(told)
}

/// Asks a running service for an upgrade, prints what becomes of it; whether it was done.
pub fn request(control: &Path, binary: &Path) -> Result<bool, String> {
    let told = |e: io::Error| format!("{}: {e}", control.display());
    let mut stream = UnixStream::connect(control).map_err(told)?;
    let binary = std::path::absolute(binary).map_err(|e| format!("{}: {e}", binary.display()))?;
    writeln!(stream, "upgrade {}", binary.display()).map_err(told)?;
    let mut last = String::new();
    for line in BufReader::new(stream).lines() {
        last = line.map_err(told)?;
        println!("{last}");
    }
    Ok(last.starts_with("done"))
}
