//! The state of the model, and the execution of the state machines' actions by each process.

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_handover::co_serving::CoServingMessage;
use asterlatch_handover::learned_fact::LearnedFact;
use asterlatch_handover::message::{ClientState, HandoverMessage};
use asterlatch_handover::predecessor::{self, Predecessor};
use asterlatch_handover::successor::{self, Successor};

/// A seeded bug that the model checker must find.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SeededBug {
    /// The successor accepts clients as soon as it is ready.
    AcceptWhenReady,
    /// The predecessor drains once the successor serves, without waiting for the end of its probation.
    DrainOnProbation,
    /// Clients are reclaimed from a successor to which a signal was sent, without waiting for its death.
    ReclaimFromLiveSuccessor,
    /// A client moves while its statement is in flight.
    MoveInFlight,
    /// The predecessor doesn't answer statements that a dead successor had read.
    IgnoreJournal,
    /// The predecessor doesn't reclaim the clients of a dead successor.
    SkipReclaim,
    /// A draining predecessor doesn't notify the successor.
    DrainWithoutNotice,
    /// The predecessor doesn't share a write that it answered after it had sent its state.
    WriteNotShared,
    /// The predecessor shares such a write behind the client.
    WriteSharedBehindClient,
    /// The predecessor doesn't learn the write that a dead successor had journaled.
    JournaledWriteForgotten,
    /// The predecessor doesn't share a reload behind its state.
    ReloadNotShared,
    /// A reload between the start of the successor and the state doesn't go along with the state.
    ReloadNotInState,
    /// The predecessor doesn't make the reload that the successor has journaled.
    JournaledReloadForgotten,
    /// The successor doesn't share a reload behind the end of its journal.
    ReloadNotSharedBehindJournal,
}

/// What the processes learn and share, once in each run of the model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum SharedFact {
    /// A write, answered by the process that has the client.
    Write,
    /// A reload, which the operator may request of either process.
    Reload,
}

/// The process that has the client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ClientLocation {
    Predecessor,
    /// In the socket between the processes.
    InTransfer,
    Successor,
    /// The connection was lost with a dead process.
    Lost,
}

/// Both processes, the socket between them, and the client.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct SystemState {
    pub(crate) predecessor: Predecessor,
    /// Actions that are not executed yet. The process may die between any two.
    pub(crate) predecessor_actions: Vec<predecessor::Action>,
    pub(crate) predecessor_alive: bool,
    pub(crate) predecessor_accepts: bool,
    /// Whether the predecessor has exited after a completed drain.
    pub(crate) predecessor_drained: bool,
    /// Whether clients move to the successor between two statements.
    pub(crate) moves_clients: bool,
    pub(crate) successor: Option<Successor>,
    pub(crate) successor_actions: Vec<successor::Action>,
    pub(crate) successor_alive: bool,
    pub(crate) successor_accepts: bool,
    /// Whether SIGKILL was sent to the successor and has not arrived.
    pub(crate) is_killing: bool,
    /// Whether clients were reclaimed while the successor was alive.
    pub(crate) reclaimed_early: bool,
    pub(crate) client: ClientLocation,
    pub(crate) statement_sent: bool,
    pub(crate) statement_unread: bool,
    pub(crate) predecessor_owns_statement: bool,
    pub(crate) successor_owns_statement: bool,
    pub(crate) answers: u8,
    /// Whether the predecessor knows that the statement, a write, was executed, or has reloaded.
    pub(crate) predecessor_knows_fact: bool,
    /// Whether the predecessor has learned that behind its state, and has not shared it.
    pub(crate) is_fact_unshared: bool,
    pub(crate) successor_knows_fact: bool,
    /// Whether the successor has journaled the fact.
    pub(crate) is_fact_journaled: bool,
    pub(crate) reloads: u8,
    /// Whether the successor died before it had told of its reload.
    pub(crate) is_reload_lost: bool,
    /// Whether the predecessor answered a statement recovered from the journal.
    pub(crate) answered_from_journal: bool,
    pub(crate) to_predecessor: Vec<HandoverMessage>,
    pub(crate) to_successor: Vec<HandoverMessage>,
    pub(crate) upgrades: u8,
    pub(crate) deaths: u8,
    pub(crate) shutdowns: u8,
}

/// The model, optionally with a seeded bug.
pub(crate) struct HandoverModel {
    pub(crate) bug: Option<SeededBug>,
    pub(crate) fact: SharedFact,
    pub(crate) max_deaths: u8,
}

fn predecessor_timeouts() -> predecessor::Timeouts {
    let timeout = TimeSpan::millis(10);
    predecessor::Timeouts {
        hello: timeout,
        ready: timeout,
        commit_acknowledged: timeout,
        heartbeat: timeout,
        read_grace: TimeSpan::millis(1),
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

impl SystemState {
    pub(crate) fn new() -> SystemState {
        SystemState {
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
            reclaimed_early: false,
            client: ClientLocation::Predecessor,
            statement_sent: false,
            statement_unread: false,
            predecessor_owns_statement: false,
            successor_owns_statement: false,
            answers: 0,
            predecessor_knows_fact: false,
            is_fact_unshared: false,
            successor_knows_fact: false,
            is_fact_journaled: false,
            reloads: 0,
            is_reload_lost: false,
            answered_from_journal: false,
            to_predecessor: Vec::new(),
            to_successor: Vec::new(),
            upgrades: 0,
            deaths: 0,
            shutdowns: 0,
        }
    }

    /// Whether the client was moved away from the predecessor.
    fn has_client_moved(&self) -> bool {
        matches!(
            self.client,
            ClientLocation::Successor | ClientLocation::InTransfer
        )
    }

    pub(crate) fn predecessor_dies(&mut self) {
        self.deaths += 1;
        self.predecessor_alive = false;
        self.predecessor_accepts = false;
        self.predecessor_actions.clear();
        self.to_predecessor.clear();
        let is_lost = match self.client {
            ClientLocation::Predecessor => true,
            ClientLocation::InTransfer => !self.successor_alive,
            ClientLocation::Successor | ClientLocation::Lost => false,
        };
        if is_lost {
            self.client = ClientLocation::Lost;
            self.predecessor_owns_statement = false;
            self.statement_unread = false;
        }
    }

    pub(crate) fn successor_dies(&mut self) {
        // No process can reclaim the client: the predecessor is dead or has handed over the service.
        let is_unrecoverable =
            !self.predecessor_alive || self.predecessor.phase == predecessor::Phase::HandedOver;
        if is_unrecoverable && self.has_client_moved() {
            self.client = ClientLocation::Lost;
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
    /// The predecessor sends the client, behind what the successor needs to know.
    pub(crate) fn move_client(&self, state: &mut SystemState) {
        state.client = ClientLocation::InTransfer;
        let client = HandoverMessage::ClientConnection(ClientState::default());
        let fact = self.take_unshared_fact(state);
        let mut messages: Vec<HandoverMessage> = fact.into_iter().chain([client]).collect();
        if self.has_bug(SeededBug::WriteSharedBehindClient) {
            messages.reverse();
        }
        state.to_successor.extend(messages);
    }

    /// The message by which the predecessor shares what it has learned behind its state.
    pub(crate) fn take_unshared_fact(&self, state: &mut SystemState) -> Option<HandoverMessage> {
        let is_unshared = std::mem::take(&mut state.is_fact_unshared);
        let is_forgotten = match self.fact {
            SharedFact::Write => self.has_bug(SeededBug::WriteNotShared),
            SharedFact::Reload => self.has_bug(SeededBug::ReloadNotShared),
        };
        (is_unshared && !is_forgotten).then(|| self.fact_message())
    }

    fn fact_message(&self) -> HandoverMessage {
        let fact = match self.fact {
            SharedFact::Write => LearnedFact::SessionWrite {
                session: Some(1),
                position: None,
            },
            SharedFact::Reload => LearnedFact::ReloadRequested,
        };
        HandoverMessage::CoServing(vec![CoServingMessage::Learned(fact)])
    }

    /// The operator asks the predecessor to reload.
    pub(crate) fn predecessor_reloads(state: &mut SystemState) {
        state.reloads += 1;
        state.predecessor_knows_fact = true;
        // Without a successor, the next one starts with the new files.
        state.is_fact_unshared = state.successor_alive;
    }

    /// The operator asks the successor to reload.
    pub(crate) fn successor_reloads(&self, state: &mut SystemState) {
        state.reloads += 1;
        state.successor_knows_fact = true;
        let has_journal = state
            .successor
            .as_ref()
            .is_some_and(|successor| successor.phase == successor::Phase::Probation);
        if has_journal {
            state.is_fact_journaled = true;
        } else if state.predecessor_alive && !self.has_bug(SeededBug::ReloadNotSharedBehindJournal) {
            state.to_predecessor.push(self.fact_message());
        }
    }

    /// The predecessor reads the fact that the successor has journaled.
    pub(crate) fn read_journaled_fact(&self, state: &mut SystemState) {
        let is_forgotten = match self.fact {
            SharedFact::Write => self.has_bug(SeededBug::JournaledWriteForgotten),
            SharedFact::Reload => self.has_bug(SeededBug::JournaledReloadForgotten),
        };
        state.predecessor_knows_fact |= state.is_fact_journaled && !is_forgotten;
        state.is_fact_journaled = false;
    }

    fn has_bug(&self, bug: SeededBug) -> bool {
        self.bug == Some(bug)
    }

    /// The predecessor's state machine handles an event, at its deadline or before.
    pub(crate) fn predecessor_on_event(
        &self,
        state: &mut SystemState,
        is_at_deadline: bool,
        event: predecessor::Event,
    ) {
        use predecessor::Action;
        let now = if is_at_deadline {
            state.predecessor.next_deadline()
        } else {
            Timestamp(0)
        };
        let mut actions = state.predecessor.on_event(now, event);
        state.predecessor.rebase();
        if self.has_bug(SeededBug::DrainOnProbation) && actions.contains(&Action::MoveClients) {
            actions.push(Action::Drain);
        }
        if self.has_bug(SeededBug::ReclaimFromLiveSuccessor) && actions.contains(&Action::KillSuccessor) {
            actions.push(Action::ReclaimClients);
        }
        if self.has_bug(SeededBug::SkipReclaim) {
            actions.retain(|action| *action != Action::ReclaimClients);
        }
        if self.has_bug(SeededBug::DrainWithoutNotice) {
            actions.retain(|action| *action != Action::Send(HandoverMessage::AcceptClients));
        }
        actions.retain(|action| !matches!(action, Action::Report(_)));
        state.predecessor_actions.extend(actions);
    }

    /// The successor's state machine handles an event, at its deadline or before.
    pub(crate) fn successor_on_event(
        &self,
        state: &mut SystemState,
        is_at_deadline: bool,
        event: successor::Event,
    ) {
        use successor::Action;
        let Some(machine) = &mut state.successor else {
            return;
        };
        let now = if is_at_deadline {
            machine.next_deadline()
        } else {
            Timestamp(0)
        };
        let mut actions = machine.on_event(now, event);
        machine.rebase();
        let is_ready = actions.contains(&Action::Send(HandoverMessage::Ready));
        if self.has_bug(SeededBug::AcceptWhenReady) && is_ready {
            actions.push(Action::StartAccepting);
        }
        actions.retain(|action| !matches!(action, Action::Report(_)));
        state.successor_actions.extend(actions);
    }

    /// The predecessor executes its next action.
    pub(crate) fn predecessor_executes_action(&self, state: &mut SystemState) {
        use predecessor::Action;
        match state.predecessor_actions.remove(0) {
            Action::StartSuccessor => self.start_successor(state),
            Action::SendState => {
                let is_in_state = !self.has_bug(SeededBug::ReloadNotInState);
                let learned = vec![u8::from(state.predecessor_knows_fact && is_in_state)];
                state.to_successor.push(HandoverMessage::State(learned));
                state.is_fact_unshared = false;
            }
            Action::Send(message) => state.to_successor.push(message),
            Action::StopAccepting => state.predecessor_accepts = false,
            Action::ResumeServingAlone => {
                state.predecessor_accepts = true;
                state.moves_clients = false;
            }
            Action::ReclaimClients => self.reclaim_clients(state),
            Action::KillSuccessor => state.is_killing = true,
            // The predecessor exits once it has no client.
            Action::Drain if state.client == ClientLocation::Predecessor => {
                state.predecessor_actions.insert(0, Action::Drain);
            }
            Action::Drain => {
                let fact = self.take_unshared_fact(state);
                state.to_successor.extend(fact);
                state.predecessor_alive = false;
                state.predecessor_accepts = false;
                state.predecessor_drained = true;
                state.to_predecessor.clear();
            }
            Action::MoveClients => state.moves_clients = true,
            Action::StartCoServing | Action::Report(_) => {}
        }
    }

    fn start_successor(&self, state: &mut SystemState) {
        state.successor = Some(Successor::new(successor_timeouts()));
        state.successor_alive = true;
        state.successor_accepts = false;
        state.to_predecessor.clear();
        state.to_successor.clear();
        state.successor_actions.clear();
        // It reads the files, but no writes.
        state.successor_knows_fact = self.fact == SharedFact::Reload && state.predecessor_knows_fact;
        state.is_fact_journaled = false;
        self.successor_on_event(state, false, successor::Event::Started);
    }

    /// The predecessor resumes the dead successor's client, and answers the statement that the successor had
    /// read.
    fn reclaim_clients(&self, state: &mut SystemState) {
        state.reclaimed_early |= state.successor_alive;
        self.read_journaled_fact(state);
        if !state.has_client_moved() {
            return;
        }
        state.client = ClientLocation::Predecessor;
        let had_statement = state.successor_owns_statement;
        state.successor_owns_statement = false;
        if had_statement && !self.has_bug(SeededBug::IgnoreJournal) {
            state.answers += 1;
            state.answered_from_journal = true;
        }
    }

    /// The successor executes its next action.
    pub(crate) fn successor_executes_action(&self, state: &mut SystemState) {
        use successor::Action;
        match state.successor_actions.remove(0) {
            Action::Send(message) if state.predecessor_alive => state.to_predecessor.push(message),
            Action::LoadState(learned) => {
                state.successor_knows_fact |= learned.contains(&1);
                self.successor_on_event(state, false, successor::Event::Loaded);
            }
            Action::StartAccepting => state.successor_accepts = true,
            Action::Abort(_) => state.successor_dies(),
            Action::Send(_) | Action::StartServing | Action::Report(_) => {}
        }
    }
}
