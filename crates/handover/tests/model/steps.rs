//! The steps of the model, with their conditions and effects.

use crate::properties;
use crate::system_state::{ClientLocation, HandoverModel, SeededBug, SharedFact, SystemState};
use asterlatch::time::Timestamp;
use asterlatch_handover::message::HandoverMessage;
use asterlatch_handover::{predecessor, successor};
use stateright::{Model, Property};

/// A step of a process, the client or the operator.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Step {
    RequestUpgrade,
    RequestShutdown,
    PredecessorExecutesAction,
    SuccessorExecutesAction,
    PredecessorReceives,
    SuccessorReceives,
    PredecessorTimesOut,
    SuccessorTimesOut,
    PredecessorSeesExit,
    SuccessorSeesExit,
    SignalArrives,
    PredecessorDies,
    SuccessorDies {
        /// Whether the last message that it wrote reaches the predecessor.
        last_message_sent: bool,
    },
    LoadFails,
    ClientSendsStatement,
    PredecessorReadsStatement,
    SuccessorReadsStatement,
    PredecessorAnswers,
    SuccessorAnswers,
    ClientMoves,
    PredecessorReloads,
    SuccessorReloads,
    PredecessorSharesFact,
    PredecessorReadsJournal,
}

/// Bounds the state space: more unread heartbeats lead to no new behaviour.
const MAX_UNREAD_MESSAGES: usize = 2;
const MAX_UPGRADES: u8 = 2;
const NEVER: Timestamp = Timestamp(u64::MAX);

/// A step, and whether it is possible.
type GuardedStep = (bool, Step);

/// Steps of the two state machines and the socket between them.
fn protocol_steps(state: &SystemState) -> [GuardedStep; 10] {
    let predecessor_idle = state.predecessor_alive && state.predecessor_actions.is_empty();
    let successor_idle = state.successor_alive && state.successor_actions.is_empty();
    let has_timer = |at: Timestamp| at < NEVER;
    let predecessor_timer = has_timer(state.predecessor.next_deadline());
    let successor_timer = state
        .successor
        .as_ref()
        .is_some_and(|s| has_timer(s.next_deadline()));
    let is_loading = matches!(state.to_successor.first(), Some(HandoverMessage::State(_)));
    [
        (
            state.predecessor_alive && !predecessor_idle,
            Step::PredecessorExecutesAction,
        ),
        (
            state.successor_alive && !successor_idle,
            Step::SuccessorExecutesAction,
        ),
        (
            predecessor_idle && !state.to_predecessor.is_empty(),
            Step::PredecessorReceives,
        ),
        (
            successor_idle && !state.to_successor.is_empty(),
            Step::SuccessorReceives,
        ),
        (
            predecessor_idle && predecessor_timer && state.to_successor.len() < MAX_UNREAD_MESSAGES,
            Step::PredecessorTimesOut,
        ),
        (
            successor_idle && successor_timer && state.to_predecessor.len() < MAX_UNREAD_MESSAGES,
            Step::SuccessorTimesOut,
        ),
        (
            predecessor_idle
                && state.successor.is_some()
                && !state.successor_alive
                && state.to_predecessor.is_empty(),
            Step::PredecessorSeesExit,
        ),
        (
            successor_idle && !state.predecessor_alive && state.to_successor.is_empty(),
            Step::SuccessorSeesExit,
        ),
        (state.is_killing && state.successor_alive, Step::SignalArrives),
        (successor_idle && is_loading, Step::LoadFails),
    ]
}

/// Steps of the client and its statement.
fn client_steps(state: &SystemState, moves_in_flight: bool) -> [GuardedStep; 6] {
    let at_predecessor = state.predecessor_alive && state.client == ClientLocation::Predecessor;
    let at_successor = state.successor_alive && state.client == ClientLocation::Successor;
    let between_statements = !state.predecessor_owns_statement || moves_in_flight;
    let phase = state.predecessor.phase;
    let successor_adopts = matches!(
        phase,
        predecessor::Phase::Standby | predecessor::Phase::HandedOver
    );
    [
        (
            !state.statement_sent && state.client != ClientLocation::Lost,
            Step::ClientSendsStatement,
        ),
        (
            at_predecessor && state.statement_unread,
            Step::PredecessorReadsStatement,
        ),
        (
            at_successor && state.statement_unread,
            Step::SuccessorReadsStatement,
        ),
        (
            at_predecessor && state.predecessor_owns_statement,
            Step::PredecessorAnswers,
        ),
        (
            at_successor && state.successor_owns_statement,
            Step::SuccessorAnswers,
        ),
        (
            at_predecessor && state.moves_clients && successor_adopts && between_statements,
            Step::ClientMoves,
        ),
    ]
}

/// Steps of a reload.
fn reload_steps(state: &SystemState) -> [GuardedStep; 4] {
    let predecessor_idle = state.predecessor_alive && state.predecessor_actions.is_empty();
    let successor_idle = state.successor_alive && state.successor_actions.is_empty();
    let may_reload = state.reloads < 1;
    [
        (may_reload && predecessor_idle, Step::PredecessorReloads),
        (
            may_reload && successor_idle && properties::successor_serves(state),
            Step::SuccessorReloads,
        ),
        (
            predecessor_idle && state.is_fact_unshared && state.predecessor.is_co_serving(),
            Step::PredecessorSharesFact,
        ),
        (
            predecessor_idle && state.is_fact_journaled,
            Step::PredecessorReadsJournal,
        ),
    ]
}

fn is_reload_step(step: &Step) -> bool {
    matches!(
        step,
        Step::PredecessorReloads
            | Step::SuccessorReloads
            | Step::PredecessorSharesFact
            | Step::PredecessorReadsJournal
    )
}

/// Requests of operators, and deaths of processes.
fn external_steps(state: &SystemState, max_deaths: u8) -> [GuardedStep; 5] {
    let predecessor_idle = state.predecessor_alive && state.predecessor_actions.is_empty();
    let may_die = state.deaths < max_deaths;
    let has_unsent = !state.to_predecessor.is_empty();
    [
        (
            predecessor_idle && state.upgrades < MAX_UPGRADES,
            Step::RequestUpgrade,
        ),
        (predecessor_idle && state.shutdowns < 1, Step::RequestShutdown),
        (state.predecessor_alive && may_die, Step::PredecessorDies),
        (
            state.successor_alive && may_die,
            Step::SuccessorDies {
                last_message_sent: true,
            },
        ),
        (
            state.successor_alive && may_die && has_unsent,
            Step::SuccessorDies {
                last_message_sent: false,
            },
        ),
    ]
}

impl HandoverModel {
    fn run_protocol_step(&self, state: &mut SystemState, step: &Step) {
        match step {
            Step::RequestUpgrade => {
                state.upgrades += 1;
                self.predecessor_on_event(state, false, predecessor::Event::UpgradeRequested);
            }
            Step::RequestShutdown => {
                state.shutdowns += 1;
                self.predecessor_on_event(state, false, predecessor::Event::ShutdownRequested);
            }
            Step::PredecessorExecutesAction => self.predecessor_executes_action(state),
            Step::SuccessorExecutesAction => self.successor_executes_action(state),
            Step::PredecessorReceives => {
                let message = state.to_predecessor.remove(0);
                if matches!(message, HandoverMessage::CoServing(_)) {
                    state.predecessor_knows_fact = true;
                    return;
                }
                self.predecessor_on_event(state, false, predecessor::Event::Message(message));
            }
            Step::SuccessorReceives => self.successor_receives(state),
            Step::LoadFails => {
                state.to_successor.remove(0);
                let reason = "bad file".to_owned();
                self.successor_on_event(state, false, successor::Event::LoadFailed { reason });
            }
            Step::PredecessorTimesOut => {
                self.predecessor_on_event(state, true, predecessor::Event::TimerElapsed);
            }
            Step::SuccessorTimesOut => {
                self.successor_on_event(state, true, successor::Event::TimerElapsed);
            }
            Step::PredecessorSeesExit => {
                state.successor = None;
                self.predecessor_on_event(state, false, predecessor::Event::SuccessorExited);
            }
            Step::SuccessorSeesExit => {
                self.successor_on_event(state, false, successor::Event::PredecessorExited);
            }
            Step::ClientMoves => self.move_client(state),
            Step::PredecessorReloads => HandoverModel::predecessor_reloads(state),
            Step::SuccessorReloads => self.successor_reloads(state),
            Step::PredecessorReadsJournal => self.read_journaled_fact(state),
            Step::PredecessorSharesFact => {
                let fact = self.take_unshared_fact(state);
                state.to_successor.extend(fact);
            }
            _ => run_client_step(state, step),
        }
    }

    fn successor_receives(&self, state: &mut SystemState) {
        let message = state.to_successor.remove(0);
        match message {
            HandoverMessage::ClientConnection(_) => {
                state.client = ClientLocation::Successor;
                // The unparsed input moves with the client.
                state.successor_owns_statement |= state.predecessor_owns_statement;
                return;
            }
            HandoverMessage::CoServing(_) => {
                state.successor_knows_fact = true;
                return;
            }
            _ => {}
        }
        self.successor_on_event(state, false, successor::Event::Message(message));
    }
}

fn run_client_step(state: &mut SystemState, step: &Step) {
    match step {
        Step::SignalArrives => state.successor_dies(),
        Step::PredecessorDies => state.predecessor_dies(),
        Step::SuccessorDies { last_message_sent } => {
            state.deaths += 1;
            if !last_message_sent {
                let unsent = state.to_predecessor.pop();
                state.is_reload_lost |= matches!(unsent, Some(HandoverMessage::CoServing(_)));
            }
            state.successor_dies();
        }
        Step::ClientSendsStatement => {
            state.statement_sent = true;
            state.statement_unread = true;
        }
        Step::PredecessorReadsStatement => {
            state.statement_unread = false;
            state.predecessor_owns_statement = true;
        }
        Step::SuccessorReadsStatement => {
            state.statement_unread = false;
            state.successor_owns_statement = true;
        }
        Step::PredecessorAnswers => {
            state.predecessor_owns_statement = false;
            state.answers += 1;
            state.predecessor_knows_fact = true;
            state.is_fact_unshared = true;
        }
        Step::SuccessorAnswers => {
            state.successor_owns_statement = false;
            state.answers += 1;
            state.successor_knows_fact = true;
            // The journal ends only once the predecessor was told that it won't need it.
            state.is_fact_journaled = true;
        }
        _ => unreachable!("{step:?} is handled by run_protocol_step"),
    }
}

impl Model for HandoverModel {
    type State = SystemState;
    type Action = Step;

    fn init_states(&self) -> Vec<SystemState> {
        vec![SystemState::new()]
    }

    fn actions(&self, state: &SystemState, steps: &mut Vec<Step>) {
        let moves_in_flight = self.bug == Some(SeededBug::MoveInFlight);
        let guarded = external_steps(state, self.max_deaths)
            .into_iter()
            .chain(protocol_steps(state))
            .chain(client_steps(state, moves_in_flight))
            .chain(reload_steps(state));
        let possible = guarded.filter_map(|(is_possible, step)| is_possible.then_some(step));
        steps.extend(possible.filter(|step| match self.fact {
            SharedFact::Write => !is_reload_step(step),
            SharedFact::Reload => *step != Step::ClientSendsStatement,
        }));
    }

    fn next_state(&self, previous: &SystemState, step: Step) -> Option<SystemState> {
        let mut state = previous.clone();
        self.run_protocol_step(&mut state, &step);
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        properties::all(self.fact)
    }
}
