//! The steps of the model: which are possible, and what each does.

use crate::properties;
use crate::world::{ClientAt, HandoverModel, Mistake, World};
use asterlatch::time::Timestamp;
use asterlatch_handover::message::{ClientState, HandoverMessage};
use asterlatch_handover::{predecessor, successor};
use stateright::{Model, Property};

/// One step of one of the parties.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Step {
    RequestUpgrade,
    RequestShutdown,
    PredecessorActs,
    SuccessorActs,
    PredecessorReceives,
    SuccessorReceives,
    PredecessorTimesOut,
    SuccessorTimesOut,
    PredecessorSeesExit,
    SuccessorSeesExit,
    SignalArrives,
    PredecessorDies,
    SuccessorDies {
        /// Whether its last message had left.
        last_message_sent: bool,
    },
    LoadFails,
    ClientSendsStatement,
    PredecessorReadsStatement,
    SuccessorReadsStatement,
    PredecessorAnswers,
    SuccessorAnswers,
    ClientMoves,
}

/// Heartbeats that nobody reads teach nothing more from the second on.
const MAX_UNREAD_MESSAGES: usize = 2;
const MAX_UPGRADES: u8 = 2;
const NEVER: Timestamp = Timestamp(u64::MAX);

/// A step, and whether it is possible.
type Guarded = (bool, Step);

/// Steps of the two state machines and the socket between them.
fn protocol_steps(world: &World) -> [Guarded; 10] {
    let predecessor_idle = world.predecessor_alive && world.predecessor_actions.is_empty();
    let successor_idle = world.successor_alive && world.successor_actions.is_empty();
    let has_timer = |at: Timestamp| at < NEVER;
    let predecessor_timer = has_timer(world.predecessor.next_deadline());
    let successor_timer = world
        .successor
        .as_ref()
        .is_some_and(|s| has_timer(s.next_deadline()));
    let is_loading = matches!(world.to_successor.first(), Some(HandoverMessage::State(_)));
    [
        (
            world.predecessor_alive && !predecessor_idle,
            Step::PredecessorActs,
        ),
        (world.successor_alive && !successor_idle, Step::SuccessorActs),
        (
            predecessor_idle && !world.to_predecessor.is_empty(),
            Step::PredecessorReceives,
        ),
        (
            successor_idle && !world.to_successor.is_empty(),
            Step::SuccessorReceives,
        ),
        (
            predecessor_idle && predecessor_timer && world.to_successor.len() < MAX_UNREAD_MESSAGES,
            Step::PredecessorTimesOut,
        ),
        (
            successor_idle && successor_timer && world.to_predecessor.len() < MAX_UNREAD_MESSAGES,
            Step::SuccessorTimesOut,
        ),
        (
            predecessor_idle
                && world.successor.is_some()
                && !world.successor_alive
                && world.to_predecessor.is_empty(),
            Step::PredecessorSeesExit,
        ),
        (
            successor_idle && !world.predecessor_alive && world.to_successor.is_empty(),
            Step::SuccessorSeesExit,
        ),
        (world.is_killing && world.successor_alive, Step::SignalArrives),
        (successor_idle && is_loading, Step::LoadFails),
    ]
}

/// Steps of the client and of its statement.
fn client_steps(world: &World, moves_in_flight: bool) -> [Guarded; 6] {
    let at_predecessor = world.predecessor_alive && world.client == ClientAt::Predecessor;
    let at_successor = world.successor_alive && world.client == ClientAt::Successor;
    let between_statements = !world.predecessor_owns_statement || moves_in_flight;
    let phase = world.predecessor.phase;
    let successor_takes = matches!(
        phase,
        predecessor::Phase::Standby | predecessor::Phase::HandedOver
    );
    [
        (
            !world.statement_sent && world.client != ClientAt::Nobody,
            Step::ClientSendsStatement,
        ),
        (
            at_predecessor && world.statement_unread,
            Step::PredecessorReadsStatement,
        ),
        (
            at_successor && world.statement_unread,
            Step::SuccessorReadsStatement,
        ),
        (
            at_predecessor && world.predecessor_owns_statement,
            Step::PredecessorAnswers,
        ),
        (
            at_successor && world.successor_owns_statement,
            Step::SuccessorAnswers,
        ),
        (
            at_predecessor && world.moves_clients && successor_takes && between_statements,
            Step::ClientMoves,
        ),
    ]
}

/// What operators do, and deaths.
fn outer_steps(world: &World, max_deaths: u8) -> [Guarded; 5] {
    let predecessor_idle = world.predecessor_alive && world.predecessor_actions.is_empty();
    let may_die = world.deaths < max_deaths;
    let has_unsent = !world.to_predecessor.is_empty();
    [
        (
            predecessor_idle && world.upgrades < MAX_UPGRADES,
            Step::RequestUpgrade,
        ),
        (predecessor_idle && world.shutdowns < 1, Step::RequestShutdown),
        (world.predecessor_alive && may_die, Step::PredecessorDies),
        (
            world.successor_alive && may_die,
            Step::SuccessorDies {
                last_message_sent: true,
            },
        ),
        (
            world.successor_alive && may_die && has_unsent,
            Step::SuccessorDies {
                last_message_sent: false,
            },
        ),
    ]
}

impl HandoverModel {
    fn run_protocol_step(&self, world: &mut World, step: &Step) {
        match step {
            Step::RequestUpgrade => {
                world.upgrades += 1;
                self.predecessor_on_event(world, false, predecessor::Event::UpgradeRequested);
            }
            Step::RequestShutdown => {
                world.shutdowns += 1;
                self.predecessor_on_event(world, false, predecessor::Event::ShutdownRequested);
            }
            Step::PredecessorActs => self.predecessor_acts(world),
            Step::SuccessorActs => self.successor_acts(world),
            Step::PredecessorReceives => {
                let message = world.to_predecessor.remove(0);
                self.predecessor_on_event(world, false, predecessor::Event::Message(message));
            }
            Step::SuccessorReceives => self.successor_receives(world),
            Step::LoadFails => {
                world.to_successor.remove(0);
                let reason = "bad file".to_owned();
                self.successor_on_event(world, false, successor::Event::LoadFailed { reason });
            }
            Step::PredecessorTimesOut => {
                self.predecessor_on_event(world, true, predecessor::Event::TimerElapsed);
            }
            Step::SuccessorTimesOut => {
                self.successor_on_event(world, true, successor::Event::TimerElapsed);
            }
            Step::PredecessorSeesExit => {
                world.successor = None;
                self.predecessor_on_event(world, false, predecessor::Event::SuccessorExited);
            }
            Step::SuccessorSeesExit => {
                self.successor_on_event(world, false, successor::Event::PredecessorExited);
            }
            _ => run_client_step(world, step),
        }
    }

    fn successor_receives(&self, world: &mut World) {
        let message = world.to_successor.remove(0);
        if matches!(message, HandoverMessage::ClientConnection(_)) {
            world.client = ClientAt::Successor;
            // What was read of it goes along.
            world.successor_owns_statement |= world.predecessor_owns_statement;
            return;
        }
        self.successor_on_event(world, false, successor::Event::Message(message));
    }
}

fn run_client_step(world: &mut World, step: &Step) {
    match step {
        Step::SignalArrives => world.successor_dies(),
        Step::PredecessorDies => world.predecessor_dies(),
        Step::SuccessorDies { last_message_sent } => {
            world.deaths += 1;
            if !last_message_sent {
                world.to_predecessor.pop();
            }
            world.successor_dies();
        }
        Step::ClientSendsStatement => {
            world.statement_sent = true;
            world.statement_unread = true;
        }
        Step::PredecessorReadsStatement => {
            world.statement_unread = false;
            world.predecessor_owns_statement = true;
        }
        Step::SuccessorReadsStatement => {
            world.statement_unread = false;
            world.successor_owns_statement = true;
        }
        Step::PredecessorAnswers => {
            world.predecessor_owns_statement = false;
            world.answers += 1;
        }
        Step::SuccessorAnswers => {
            world.successor_owns_statement = false;
            world.answers += 1;
        }
        Step::ClientMoves => {
            world.client = ClientAt::InTransfer;
            let message = HandoverMessage::ClientConnection(ClientState::default());
            world.to_successor.push(message);
        }
        _ => unreachable!("{step:?} is a step of the protocol"),
    }
}

impl Model for HandoverModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World::new()]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        let moves_in_flight = self.mistake == Some(Mistake::MoveInFlight);
        let guarded = outer_steps(world, self.max_deaths)
            .into_iter()
            .chain(protocol_steps(world))
            .chain(client_steps(world, moves_in_flight));
        steps.extend(guarded.filter_map(|(is_possible, step)| is_possible.then_some(step)));
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        self.run_protocol_step(&mut world, &step);
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        properties::all()
    }
}
