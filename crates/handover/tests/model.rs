//! Both sides of the takeover, and a client with a statement, in every order of steps, deaths and timeouts that a small
//! world allows.

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_handover::message::{ClientState, HandoverMessage};
use asterlatch_handover::{predecessor, successor};
use stateright::{Checker, Model, Property};

/// A mistake that the checker must find.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mistake {
    /// The new one accepts as soon as it is ready.
    AcceptWhenReady,
    /// The old one leaves when the new one serves, without waiting for its probation.
    LeaveAtOnce,
    /// Clients are taken back from what was killed and isn't gone.
    TakeBackAtOnce,
    /// A client moves while its statement is out.
    MoveInTheMiddle,
    /// What the new one had read is taken for unread.
    ForgetTheLedger,
    /// Nobody goes on with the clients of the dead.
    TakeNobodyBack,
    /// A process that leaves doesn't say so.
    LeaveSilently,
}

/// Where a client's connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum With {
    Old,
    /// On its way, in the socket between both.
    Between,
    New,
    /// Its process is gone for good.
    Nobody,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    old: predecessor::Predecessor,
    /// Effects decided on and not yet done: a process may die between any two.
    old_todo: Vec<predecessor::Action>,
    old_alive: bool,
    old_accepts: bool,
    old_left: bool,
    /// Clients move to the new one between two statements.
    moving: bool,
    new: Option<successor::Successor>,
    new_todo: Vec<successor::Action>,
    new_alive: bool,
    new_accepts: bool,
    /// A signal on its way.
    killing: bool,
    /// Clients were taken back from a process that lives.
    robbed: bool,
    client: With,
    /// Its statement: asked, read by a process that owns it, and how often it was answered.
    asked: bool,
    unread: bool,
    old_owns: bool,
    new_owns: bool,
    answers: u8,
    /// What the ledger had of a statement was answered by the old one.
    judged: bool,
    to_old: Vec<HandoverMessage>,
    to_new: Vec<HandoverMessage>,
    upgrades: u8,
    deaths: u8,
    leaves: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Ask,
    Leave,
    OldDoes,
    NewDoes,
    OldHears,
    NewHears,
    OldLate,
    NewLate,
    OldSeesEnd,
    NewSeesEnd,
    SignalArrives,
    OldDies,
    /// With or without its last words having left.
    NewDies {
        last_words: bool,
    },
    NewIsUnfit,
    Asks,
    OldReads,
    NewReads,
    OldAnswers,
    NewAnswers,
    Moves,
}

struct Takeover {
    mistake: Option<Mistake>,
    deaths: u8,
}

fn old_times() -> predecessor::Timeouts {
    let one = TimeSpan::millis(10);
    predecessor::Timeouts {
        hello: one,
        ready: one,
        commit_acknowledged: one,
        heartbeat: one,
    }
}

fn new_times() -> successor::Timeouts {
    successor::Timeouts {
        predecessor_response: TimeSpan::millis(10),
        predecessor_heartbeat: TimeSpan::millis(10),
        heartbeat_interval: TimeSpan::millis(10),
        probation: TimeSpan::millis(20),
    }
}

impl Takeover {
    fn old_takes(&self, w: &mut World, late: bool, input: predecessor::Event) {
        let now = if late { w.old.next_deadline() } else { Timestamp(0) };
        let mut effects = w.old.on_event(now, input);
        w.old.rebase();
        if self.mistake == Some(Mistake::LeaveAtOnce) && effects.contains(&predecessor::Action::MoveClients) {
            effects.push(predecessor::Action::Drain);
        }
        if self.mistake == Some(Mistake::TakeBackAtOnce)
            && effects.contains(&predecessor::Action::KillSuccessor)
        {
            effects.push(predecessor::Action::ReclaimClients);
        }
        if self.mistake == Some(Mistake::TakeNobodyBack) {
            effects.retain(|e| *e != predecessor::Action::ReclaimClients);
        }
        if self.mistake == Some(Mistake::LeaveSilently) {
            effects.retain(|e| *e != predecessor::Action::Send(HandoverMessage::AcceptClients));
        }
        effects.retain(|e| !matches!(e, predecessor::Action::Report(_)));
        w.old_todo.extend(effects);
    }

    fn new_takes(&self, w: &mut World, late: bool, input: successor::Event) {
        let Some(machine) = &mut w.new else { return };
        let now = if late {
            machine.next_deadline()
        } else {
            Timestamp(0)
        };
        let mut effects = machine.on_event(now, input);
        machine.rebase();
        if self.mistake == Some(Mistake::AcceptWhenReady)
            && effects.contains(&successor::Action::Send(HandoverMessage::Ready))
        {
            effects.push(successor::Action::StartAccepting);
        }
        effects.retain(|e| !matches!(e, successor::Action::Report(_)));
        w.new_todo.extend(effects);
    }

    fn old_does(&self, w: &mut World) {
        match w.old_todo.remove(0) {
            predecessor::Action::StartSuccessor => {
                w.new = Some(successor::Successor::new(new_times()));
                (w.new_alive, w.new_accepts) = (true, false);
                (w.to_old, w.to_new, w.new_todo) = (Vec::new(), Vec::new(), Vec::new());
                self.new_takes(w, false, successor::Event::Started);
            }
            predecessor::Action::SendState => w.to_new.push(HandoverMessage::State(Vec::new())),
            predecessor::Action::Send(message) => w.to_new.push(message),
            predecessor::Action::StopAccepting => w.old_accepts = false,
            predecessor::Action::ResumeServingAlone => (w.old_accepts, w.moving) = (true, false),
            predecessor::Action::ReclaimClients => self.take_back(w),
            predecessor::Action::KillSuccessor => w.killing = true,
            predecessor::Action::Drain => {
                // It goes when it holds nobody.
                if w.client == With::Old {
                    w.old_todo.insert(0, predecessor::Action::Drain);
                    return;
                }
                (w.old_alive, w.old_accepts, w.old_left) = (false, false, true);
                w.to_old.clear();
            }
            predecessor::Action::MoveClients => w.moving = true,
            predecessor::Action::StartCoServing | predecessor::Action::Report(_) => {}
        }
    }

    /// The new one is dead: the old one goes on with its client, and answers what that one had read.
    fn take_back(&self, w: &mut World) {
        w.robbed |= w.new_alive;
        if !matches!(w.client, With::New | With::Between) {
            return;
        }
        w.client = With::Old;
        if std::mem::take(&mut w.new_owns) {
            if self.mistake == Some(Mistake::ForgetTheLedger) {
                return;
            }
            (w.answers, w.judged) = (w.answers + 1, true);
        }
    }

    fn new_does(&self, w: &mut World) {
        match w.new_todo.remove(0) {
            successor::Action::Send(message) if w.old_alive => w.to_old.push(message),
            successor::Action::Send(_) | successor::Action::Report(_) => {}
            successor::Action::LoadState(_) => self.new_takes(w, false, successor::Event::Loaded(Ok(()))),
            successor::Action::StartServing => {}
            successor::Action::StartAccepting => w.new_accepts = true,
            successor::Action::Abort(_) => new_dies(w),
        }
    }
}

fn new_dies(w: &mut World) {
    // Whoever could go on with its client is gone, or has left the service to it.
    let alone = !w.old_alive || w.old.phase == predecessor::Phase::Done;
    if alone && matches!(w.client, With::New | With::Between) {
        (w.client, w.new_owns, w.unread) = (With::Nobody, false, false);
    }
    (w.new_alive, w.new_accepts, w.killing) = (false, false, false);
    (w.new_todo, w.to_new) = (Vec::new(), Vec::new());
}

impl Model for Takeover {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World {
            old: predecessor::Predecessor::new(old_times()),
            old_todo: Vec::new(),
            old_alive: true,
            old_accepts: true,
            old_left: false,
            new: None,
            new_todo: Vec::new(),
            new_alive: false,
            new_accepts: false,
            killing: false,
            robbed: false,
            moving: false,
            client: With::Old,
            asked: false,
            unread: false,
            old_owns: false,
            new_owns: false,
            answers: 0,
            judged: false,
            to_old: Vec::new(),
            to_new: Vec::new(),
            upgrades: 0,
            deaths: 0,
            leaves: 0,
        }]
    }

    fn actions(&self, w: &World, steps: &mut Vec<Step>) {
        let mut may = |possible: bool, step: Step| steps.extend(possible.then_some(step));
        let old_idle = w.old_alive && w.old_todo.is_empty();
        let new_idle = w.new_alive && w.new_todo.is_empty();
        let new_timer = w
            .new
            .as_ref()
            .is_some_and(|n| n.next_deadline() < Timestamp(u64::MAX));
        may(old_idle && w.upgrades < 2, Step::Ask);
        may(old_idle && w.leaves < 1, Step::Leave);
        may(w.old_alive && !w.old_todo.is_empty(), Step::OldDoes);
        may(w.new_alive && !w.new_todo.is_empty(), Step::NewDoes);
        may(old_idle && !w.to_old.is_empty(), Step::OldHears);
        may(new_idle && !w.to_new.is_empty(), Step::NewHears);
        // Signs of life that nobody hears teach nothing more from the second on.
        let heard = |queue: &Vec<HandoverMessage>| queue.len() < 2;
        may(
            old_idle && w.old.next_deadline() < Timestamp(u64::MAX) && heard(&w.to_new),
            Step::OldLate,
        );
        may(new_idle && new_timer && heard(&w.to_old), Step::NewLate);
        let unseen = w.new.is_some() && !w.new_alive && w.to_old.is_empty();
        may(!w.asked && w.client != With::Nobody, Step::Asks);
        may(w.old_alive && w.client == With::Old && w.unread, Step::OldReads);
        may(w.new_alive && w.client == With::New && w.unread, Step::NewReads);
        may(
            w.old_alive && w.client == With::Old && w.old_owns,
            Step::OldAnswers,
        );
        may(
            w.new_alive && w.client == With::New && w.new_owns,
            Step::NewAnswers,
        );
        let between = !w.old_owns || self.mistake == Some(Mistake::MoveInTheMiddle);
        let standby = matches!(
            w.old.phase,
            predecessor::Phase::Standby | predecessor::Phase::Done
        );
        may(
            w.old_alive && w.moving && standby && between && w.client == With::Old,
            Step::Moves,
        );
        may(old_idle && unseen, Step::OldSeesEnd);
        may(new_idle && !w.old_alive && w.to_new.is_empty(), Step::NewSeesEnd);
        may(w.killing && w.new_alive, Step::SignalArrives);
        may(w.old_alive && w.deaths < self.deaths, Step::OldDies);
        may(
            w.new_alive && w.deaths < self.deaths,
            Step::NewDies { last_words: true },
        );
        may(
            w.new_alive && w.deaths < self.deaths && !w.to_old.is_empty(),
            Step::NewDies { last_words: false },
        );
        let loading = new_idle
            && w.to_new
                .first()
                .is_some_and(|m| matches!(m, HandoverMessage::State(_)));
        may(loading, Step::NewIsUnfit);
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut w = last.clone();
        match step {
            Step::Ask => {
                w.upgrades += 1;
                self.old_takes(&mut w, false, predecessor::Event::UpgradeRequested);
            }
            Step::Leave => {
                w.leaves += 1;
                self.old_takes(&mut w, false, predecessor::Event::ShutdownRequested);
            }
            Step::OldDoes => self.old_does(&mut w),
            Step::NewDoes => self.new_does(&mut w),
            Step::OldHears => {
                let message = w.to_old.remove(0);
                self.old_takes(&mut w, false, predecessor::Event::Message(message));
            }
            Step::NewHears => {
                let message = w.to_new.remove(0);
                if matches!(message, HandoverMessage::ClientConnection(_)) {
                    w.client = With::New;
                    // What was read of it goes along.
                    w.new_owns |= w.old_owns;
                    return Some(w);
                }
                self.new_takes(&mut w, false, successor::Event::Message(message));
            }
            Step::NewIsUnfit => {
                w.to_new.remove(0);
                self.new_takes(
                    &mut w,
                    false,
                    successor::Event::Loaded(Err("bad file".to_owned())),
                );
            }
            Step::OldLate => self.old_takes(&mut w, true, predecessor::Event::TimerElapsed),
            Step::NewLate => self.new_takes(&mut w, true, successor::Event::TimerElapsed),
            Step::OldSeesEnd => {
                w.new = None;
                self.old_takes(&mut w, false, predecessor::Event::SuccessorExited);
            }
            Step::NewSeesEnd => self.new_takes(&mut w, false, successor::Event::PredecessorExited),
            Step::SignalArrives => new_dies(&mut w),
            Step::OldDies => {
                w.deaths += 1;
                (w.old_alive, w.old_accepts) = (false, false);
                (w.old_todo, w.to_old) = (Vec::new(), Vec::new());
                if w.client == With::Old || w.client == With::Between && !w.new_alive {
                    (w.client, w.old_owns, w.unread) = (With::Nobody, false, false);
                }
            }
            Step::NewDies { last_words } => {
                w.deaths += 1;
                if !last_words {
                    w.to_old.pop();
                }
                new_dies(&mut w);
            }
            Step::Asks => (w.asked, w.unread) = (true, true),
            Step::OldReads => (w.unread, w.old_owns) = (false, true),
            Step::NewReads => (w.unread, w.new_owns) = (false, true),
            Step::OldAnswers => (w.old_owns, w.answers) = (false, w.answers + 1),
            Step::NewAnswers => (w.new_owns, w.answers) = (false, w.answers + 1),
            Step::Moves => {
                w.client = With::Between;
                w.to_new
                    .push(HandoverMessage::ClientConnection(ClientState::default()));
            }
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "the new one accepts before it is proven only for one that leaves, hangs or is gone",
                |_, w: &World| {
                    let proven = |n: &successor::Successor| {
                        matches!(n.phase, successor::Phase::Probation | successor::Phase::Serving)
                    };
                    !w.new_accepts || w.new.as_ref().is_some_and(proven)
                },
            ),
            Property::always("a statement has one owner", |_, w: &World| {
                !(w.old_owns && w.new_owns)
            }),
            Property::always("no statement is answered twice", |_, w: &World| {
                w.answers <= u8::from(w.asked)
            }),
            Property::always(
                "a statement that was asked is answered, or somebody has it, or its process died",
                |_, w: &World| {
                    let held = w.unread || w.old_owns || w.new_owns;
                    !w.asked || w.answers > 0 || held || w.client == With::Nobody
                },
            ),
            Property::always(
                "a process that serves alone holds all clients that the dead had",
                |_, w: &World| {
                    let alone = w.old_alive
                        && w.old_todo.is_empty()
                        && w.new.is_none()
                        && w.old.phase == predecessor::Phase::Serving;
                    !alone || matches!(w.client, With::Old | With::Nobody)
                },
            ),
            Property::sometimes("the old one answers what the new one had read", |_, w: &World| {
                w.judged
            }),
            Property::always("where nobody accepts, something is on its way", |_, w: &World| {
                let timers = w.old.next_deadline() < Timestamp(u64::MAX);
                let old = w.old_alive && (!w.old_todo.is_empty() || timers || !w.to_old.is_empty());
                let end_unseen = w.old_alive && w.new.is_some() && !w.new_alive;
                let new = w.new_alive && (!w.new_todo.is_empty() || !w.to_new.is_empty() || w.killing);
                let alone = w.new_alive && !w.old_alive;
                let nobody = !w.old_alive && !w.new_alive;
                w.old_accepts || w.new_accepts || old || end_unseen || new || alone || nobody
            }),
            Property::always(
                "the old one leaves only a service that is the new one's",
                |_, w: &World| {
                    let proven = w
                        .new
                        .as_ref()
                        .is_some_and(|n| n.phase == successor::Phase::Serving);
                    !w.old_left || proven
                },
            ),
            Property::always("clients are taken back only from the dead", |_, w: &World| {
                !w.robbed
            }),
            Property::always(
                "a process that leaves beside a new one has that one accept",
                |_, w: &World| {
                    let serves = w
                        .new
                        .as_ref()
                        .is_some_and(|n| n.phase == successor::Phase::Probation);
                    let told = w.old_todo.is_empty() && w.new_todo.is_empty() && w.to_new.is_empty();
                    let quiet = w.old_alive && w.new_alive && serves && told && !w.killing;
                    !quiet || w.old_accepts || w.new_accepts || w.old.phase != predecessor::Phase::Standby
                },
            ),
            Property::sometimes("an upgrade is done", |_, w: &World| w.old_left && w.new_accepts),
            Property::sometimes(
                "the old one serves again after the new one served",
                |_, w: &World| {
                    w.old_accepts
                        && w.deaths > 0
                        && w.upgrades > 0
                        && w.old.phase == predecessor::Phase::Serving
                },
            ),
            Property::sometimes("the new one outlives the old", |_, w: &World| {
                !w.old_alive
                    && !w.old_left
                    && w.new_accepts
                    && w.new
                        .as_ref()
                        .is_some_and(|n| n.phase == successor::Phase::Serving)
            }),
        ]
    }
}

#[test]
fn every_order_of_steps_and_deaths_keeps_one_owner() {
    let checker = Takeover {
        mistake: None,
        deaths: 2,
    }
    .checker()
    .threads(4)
    .spawn_bfs()
    .join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
    assert!(
        checker.unique_state_count() > 1000,
        "{} states only",
        checker.unique_state_count()
    );
}

#[test]
fn seeded_mistakes_are_found() {
    #[rustfmt::skip]
    let cases = [
        (Mistake::AcceptWhenReady, "the new one accepts before it is proven only for one that leaves, hangs or is gone"),
        (Mistake::MoveInTheMiddle, "a statement has one owner"),
        (Mistake::ForgetTheLedger, "a statement that was asked is answered, or somebody has it, or its process died"),
        (Mistake::TakeNobodyBack, "a process that serves alone holds all clients that the dead had"),
        (Mistake::LeaveSilently, "a process that leaves beside a new one has that one accept"),
        (Mistake::TakeBackAtOnce, "clients are taken back only from the dead"),
        (Mistake::LeaveAtOnce, "the old one leaves only a service that is the new one's"),
    ];
    for (mistake, property) in cases {
        let checker = Takeover {
            mistake: Some(mistake),
            deaths: 1,
        }
        .checker()
        .threads(4)
        .spawn_bfs()
        .join();
        assert!(checker.discovery(property).is_some(), "{mistake:?} is not found");
    }
}
