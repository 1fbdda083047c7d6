//! The state of the model, and how each process carries out what its state machine decides.

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_handover::message::HandoverMessage;
use asterlatch_handover::predecessor::{self, Predecessor};
use asterlatch_handover::successor::{self, Successor};

/// A mistake that the checker must find.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Mistake {
    /// The successor accepts as soon as it is ready.
    AcceptWhenReady,
    /// The predecessor drains when the successor serves, without waiting for its probation.
    DrainAtOnce,
    /// Clients are reclaimed from a successor that was killed and may still live.
    ReclaimFromLiving,
    /// A client moves while its statement is in flight.
    MoveInFlight,
    /// What the successor had read is taken for unread.
    ForgetJournal,
    /// Nobody goes on with the clients of the dead.
    ReclaimNobody,
    /// A predecessor that drains doesn't say so.
    DrainSilently,
}

/// Where a client's connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ClientAt {
    Predecessor,
    /// On its way, in the socket between both.
    InTransfer,
    Successor,
    /// Its process is gone for good.
    Nobody,
}

/// Both processes, the socket between them, and the client.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct World {
    pub(crate) predecessor: Predecessor,
    /// Actions decided on and not yet carried out: a process may die between any two.
    pub(crate) predecessor_actions: Vec<predecessor::Action>,
    pub(crate) predecessor_alive: bool,
    pub(crate) predecessor_accepts: bool,
    /// Whether the predecessor drained to its end.
    pub(crate) predecessor_drained: bool,
    /// Whether clients move to the successor between two statements.
    pub(crate) moves_clients: bool,
    pub(crate) successor: Option<Successor>,
    pub(crate) successor_actions: Vec<successor::Action>,
    pub(crate) successor_alive: bool,
    pub(crate) successor_accepts: bool,
    /// Whether a signal is on its way to the successor.
    pub(crate) is_killing: bool,
    /// Whether clients were reclaimed from a process that lives.
    pub(crate) reclaimed_from_living: bool,
    pub(crate) client: ClientAt,
    pub(crate) statement_sent: bool,
    pub(crate) statement_unread: bool,
    pub(crate) predecessor_owns_statement: bool,
    pub(crate) successor_owns_statement: bool,
    pub(crate) answers: u8,
    /// Whether the predecessor answered what the journal had of a statement.
    pub(crate) answered_from_journal: bool,
    pub(crate) to_predecessor: Vec<HandoverMessage>,
    pub(crate) to_successor: Vec<HandoverMessage>,
    pub(crate) upgrades: u8,
    pub(crate) deaths: u8,
    pub(crate) shutdowns: u8,
}

/// The model: with or without a mistake, and with so many deaths at most.
pub(crate) struct HandoverModel {
    pub(crate) mistake: Option<Mistake>,
    pub(crate) max_deaths: u8,
}

fn predecessor_timeouts() -> predecessor::Timeouts {
    let timeout = TimeSpan::millis(10);
    predecessor::Timeouts {
        hello: timeout,
        ready: timeout,
        commit_acknowledged: timeout,
        heartbeat: timeout,
    }
}

fn successor_timeouts() -> successor::Timeouts {
    successor::Timeouts {
        predecessor_response: TimeSpan::millis(10),
        predecessor_heartbeat: TimeSpan::millis(10),
        heartbeat_interval: TimeSpan::millis(10),
        probation: TimeSpan::millis(20),
    }
}

impl World {
    pub(crate) fn new() -> World {
        World {
            predecessor: Predecessor::new(predecessor_timeouts()),
            predecessor_actions: Vec::new(),
            predecessor_alive: true,
            predecessor_accepts: true,
            predecessor_drained: false,
            moves_clients: false,
            successor: None,
            successor_actions: Vec::new(),
            successor_alive: false,
            successor_accepts: false,
            is_killing: false,
            reclaimed_from_living: false,
            client: ClientAt::Predecessor,
            statement_sent: false,
            statement_unread: false,
            predecessor_owns_statement: false,
            successor_owns_statement: false,
            answers: 0,
            answered_from_journal: false,
            to_predecessor: Vec::new(),
            to_successor: Vec::new(),
            upgrades: 0,
            deaths: 0,
            shutdowns: 0,
        }
    }

    /// Whether the client is known to the successor alone.
    fn client_is_beyond_predecessor(&self) -> bool {
        matches!(self.client, ClientAt::Successor | ClientAt::InTransfer)
    }

    pub(crate) fn predecessor_dies(&mut self) {
        self.deaths += 1;
        self.predecessor_alive = false;
        self.predecessor_accepts = false;
        self.predecessor_actions.clear();
        self.to_predecessor.clear();
        let is_lost = match self.client {
            ClientAt::Predecessor => true,
            ClientAt::InTransfer => !self.successor_alive,
            ClientAt::Successor | ClientAt::Nobody => false,
        };
        if is_lost {
            self.client = ClientAt::Nobody;
            self.predecessor_owns_statement = false;
            self.statement_unread = false;
        }
    }

    pub(crate) fn successor_dies(&mut self) {
        // Whoever could go on with its client is gone, or has left the service to it.
        let is_alone = !self.predecessor_alive || self.predecessor.phase == predecessor::Phase::HandedOver;
        if is_alone && self.client_is_beyond_predecessor() {
            self.client = ClientAt::Nobody;
            self.successor_owns_statement = false;
            self.statement_unread = false;
        }
        self.successor_alive = false;
        self.successor_accepts = false;
        self.is_killing = false;
        self.successor_actions.clear();
        self.to_successor.clear();
    }
}

impl HandoverModel {
    fn has_mistake(&self, mistake: Mistake) -> bool {
        self.mistake == Some(mistake)
    }

    /// The predecessor's state machine handles an event, in time or once its deadline has passed.
    pub(crate) fn predecessor_on_event(&self, world: &mut World, is_late: bool, event: predecessor::Event) {
        use predecessor::Action;
        let now = if is_late {
            world.predecessor.next_deadline()
        } else {
            Timestamp(0)
        };
        let mut actions = world.predecessor.on_event(now, event);
        world.predecessor.rebase();
        if self.has_mistake(Mistake::DrainAtOnce) && actions.contains(&Action::MoveClients) {
            actions.push(Action::Drain);
        }
        if self.has_mistake(Mistake::ReclaimFromLiving) && actions.contains(&Action::KillSuccessor) {
            actions.push(Action::ReclaimClients);
        }
        if self.has_mistake(Mistake::ReclaimNobody) {
            actions.retain(|action| *action != Action::ReclaimClients);
        }
        if self.has_mistake(Mistake::DrainSilently) {
            actions.retain(|action| *action != Action::Send(HandoverMessage::AcceptClients));
        }
        actions.retain(|action| !matches!(action, Action::Report(_)));
        world.predecessor_actions.extend(actions);
    }

    /// The successor's state machine handles an event, in time or once its deadline has passed.
    pub(crate) fn successor_on_event(&self, world: &mut World, is_late: bool, event: successor::Event) {
        use successor::Action;
        let Some(machine) = &mut world.successor else {
            return;
        };
        let now = if is_late {
            machine.next_deadline()
        } else {
            Timestamp(0)
        };
        let mut actions = machine.on_event(now, event);
        machine.rebase();
        let is_ready = actions.contains(&Action::Send(HandoverMessage::Ready));
        if self.has_mistake(Mistake::AcceptWhenReady) && is_ready {
            actions.push(Action::StartAccepting);
        }
        actions.retain(|action| !matches!(action, Action::Report(_)));
        world.successor_actions.extend(actions);
    }

    /// The predecessor carries out its next action.
    pub(crate) fn predecessor_acts(&self, world: &mut World) {
        use predecessor::Action;
        match world.predecessor_actions.remove(0) {
            Action::StartSuccessor => self.start_successor(world),
            Action::SendState => world.to_successor.push(HandoverMessage::State(Vec::new())),
            Action::Send(message) => world.to_successor.push(message),
            Action::StopAccepting => world.predecessor_accepts = false,
            Action::ResumeServingAlone => {
                world.predecessor_accepts = true;
                world.moves_clients = false;
            }
            Action::ReclaimClients => self.reclaim_clients(world),
            Action::KillSuccessor => world.is_killing = true,
            // It exits once it has no client left.
            Action::Drain if world.client == ClientAt::Predecessor => {
                world.predecessor_actions.insert(0, Action::Drain);
            }
            Action::Drain => {
                world.predecessor_alive = false;
                world.predecessor_accepts = false;
                world.predecessor_drained = true;
                world.to_predecessor.clear();
            }
            Action::MoveClients => world.moves_clients = true,
            Action::StartCoServing | Action::Report(_) => {}
        }
    }

    fn start_successor(&self, world: &mut World) {
        world.successor = Some(Successor::new(successor_timeouts()));
        world.successor_alive = true;
        world.successor_accepts = false;
        world.to_predecessor.clear();
        world.to_successor.clear();
        world.successor_actions.clear();
        self.successor_on_event(world, false, successor::Event::Started);
    }

    /// The successor is dead: the predecessor goes on with its client, and answers what that one had read.
    fn reclaim_clients(&self, world: &mut World) {
        world.reclaimed_from_living |= world.successor_alive;
        if !world.client_is_beyond_predecessor() {
            return;
        }
        world.client = ClientAt::Predecessor;
        let had_statement = world.successor_owns_statement;
        world.successor_owns_statement = false;
        if had_statement && !self.has_mistake(Mistake::ForgetJournal) {
            world.answers += 1;
            world.answered_from_journal = true;
        }
    }

    /// The successor carries out its next action.
    pub(crate) fn successor_acts(&self, world: &mut World) {
        use successor::Action;
        match world.successor_actions.remove(0) {
            Action::Send(message) if world.predecessor_alive => world.to_predecessor.push(message),
            Action::LoadState(_) => self.successor_on_event(world, false, successor::Event::Loaded),
            Action::StartAccepting => world.successor_accepts = true,
            Action::Abort(_) => world.successor_dies(),
            Action::Send(_) | Action::StartServing | Action::Report(_) => {}
        }
    }
}
