//! Cooperation with a peer process, the predecessor or successor in an upgrade: transfer of learned state,
//! clients and connections, and updates that both processes apply.

use super::{EventLoop, Logger};
use crate::protocol::replica_status;
use crate::routing::events::ControlEvent;
use crate::routing::handover::{CoServing, DrainedMember, TransferredClient, TransferredConnection};
use crate::routing::member_requests::{AdoptedConnection, MemberRequest, RequestKind};
use crate::routing::members::MemberDirectory;
use asterlatch::interface::{Actions, ExecutionOutcome, MemberUpdate, ReplicaStatus, Settings};
use asterlatch::policy::{definitely_not_executed, RoutingPolicy};
use asterlatch::time::{RemoteTimestamp, Timestamp};
use asterlatch_handover::co_serving::CoServingMessage;
use asterlatch_handover::io_journal::JournalRecord;
use asterlatch_handover::learned_fact::LearnedFact;
use std::collections::BTreeMap;
use std::net::{TcpListener, TcpStream};

/// State to hand over: what the policy has learned, and the directory that resolves its member ids.
pub struct LearnedState<'a> {
    /// The policy.
    pub policy: &'a RoutingPolicy,
    /// The directory of members.
    pub members: &'a MemberDirectory,
}

/// State handed over by another process.
pub struct ResumedState {
    /// The policy.
    pub policy: RoutingPolicy,
    /// The directory of members.
    pub members: MemberDirectory,
    /// What the other process has learned; `None` if it is of an earlier build, which doesn't support facts.
    pub facts: Option<Vec<LearnedFact>>,
}

impl<L: Logger> EventLoop<L> {
    /// State from which another process resumes.
    pub fn learned_state(&self) -> LearnedState<'_> {
        LearnedState {
            policy: &self.policy,
            members: &self.members,
        }
    }

    /// Resumes from the state of another process with the same settings.
    pub fn resume(&mut self, now: Timestamp, settings: &Settings, state: ResumedState) {
        self.policy = RoutingPolicy::resume(state.policy, settings, false, now);
        self.members = state.members;
        self.journals_facts = state.facts.is_some();
        for fact in state.facts.unwrap_or_default() {
            self.apply_fact(now, &fact);
        }
        self.policy_wakes_at = Some(now);
        self.discovery_requests.resume(now);
    }

    /// Sets whether a peer process is serving.
    pub fn set_co_serving(&mut self, now: Timestamp, co_serving: CoServing) {
        let was_co_serving = self.handover.set_co_serving(co_serving);
        if was_co_serving {
            // Dispatches of an earlier build's process are not recorded here.
            self.dispatch_records.log_mut().mark_incomplete(now);
        }
        self.clients.set_co_serving(self.handover.is_co_serving());
        let yields = co_serving == CoServing::WithSuccessor;
        let actions = self.policy.set_peer_process(now, yields);
        self.execute_actions(now, actions);
        self.notify_policy_of_ends(now);
    }

    /// Number of executions in flight by member name.
    pub fn in_flight_by_member(&self) -> BTreeMap<String, u32> {
        let mut in_flight = BTreeMap::new();
        for execution in self.member_requests.executions() {
            if let Some(name) = self.members.name(execution.member) {
                *in_flight.entry(name.to_owned()).or_default() += 1;
            }
        }
        in_flight
    }

    /// Applies an update from the peer process. Updates of unknown members are ignored: this process sends
    /// them nothing.
    pub fn on_peer_process_message(&mut self, now: Timestamp, message: &CoServingMessage) {
        let actions = match message {
            CoServingMessage::InFlight { member, count } => {
                self.on_peer_in_flight(now, member, *count as usize)
            }
            CoServingMessage::Draining { member, started_ms } => self.on_peer_drain(now, member, *started_ms),
            CoServingMessage::Acknowledged | CoServingMessage::AcceptsFacts => None,
            CoServingMessage::Learned(fact) => {
                self.learn_fact(now, fact);
                None
            }
        };
        if let Some(actions) = actions {
            self.execute_actions(now, actions);
            self.notify_policy_of_ends(now);
        }
    }

    fn on_peer_in_flight(&mut self, now: Timestamp, name: &str, count: usize) -> Option<Actions> {
        let member = self.members.find(name)?;
        let update = MemberUpdate::InFlight(count);
        Some(self.policy.on_member_update(now, member, update))
    }

    fn on_peer_drain(&mut self, now: Timestamp, name: &str, started_ms: u64) -> Option<Actions> {
        let member = self.members.find(name)?;
        self.member_requests.close_idle(member);
        self.metrics.drains_from_peer_process += 1;
        let update = MemberUpdate::Draining(replica_status::unix_timestamp(started_ms));
        Some(self.policy.on_member_update(now, member, update))
    }

    /// Applies a fact that the peer process has learned.
    pub fn learn_fact(&mut self, now: Timestamp, fact: &LearnedFact) {
        self.metrics.facts_from_peer_process += 1;
        self.apply_fact(now, fact);
    }

    fn apply_fact(&mut self, now: Timestamp, fact: &LearnedFact) {
        match fact {
            LearnedFact::Dispatched {
                client_id,
                member,
                at,
            } => self
                .dispatch_records
                .on_dispatched_elsewhere(now, *client_id, member, Timestamp(*at)),
            LearnedFact::NotExecuted { client_id } => self.dispatch_records.on_not_executed(*client_id),
            LearnedFact::SessionWrite { session, position } => {
                let position = position.map(RemoteTimestamp);
                self.policy.on_session_write(now, *session, position);
            }
            LearnedFact::ReloadRequested => self.control_events.push(ControlEvent::ReloadForPeer),
        }
    }

    /// Keeps facts that are learned from now on for the peer process, if they don't go to the journal.
    pub fn begin_recording_facts(&mut self) {
        self.handover.begin_recording_facts();
    }

    /// Drops the facts that were kept, since no peer process is to be told.
    pub fn end_recording_facts(&mut self) {
        self.handover.end_recording_facts();
    }

    /// Facts for a peer process that gets the policy's state. Those that are learned from now on are kept for
    /// [`EventLoop::take_learned_facts`].
    pub fn facts_beside_state(&mut self) -> Vec<LearnedFact> {
        let mut facts = self.dispatch_records.to_facts();
        if self.policy.has_unpositioned_write() {
            facts.push(LearnedFact::SessionWrite {
                session: None,
                position: None,
            });
        }
        // The peer process may have read the configuration before this process did. The other facts recorded so far
        // are part of the state and of the records above.
        if self.take_learned_facts().contains(&LearnedFact::ReloadRequested) {
            facts.push(LearnedFact::ReloadRequested);
        }
        facts
    }

    /// Lets the peer process reload the configuration as well.
    pub fn share_reload(&mut self) {
        self.share_fact(LearnedFact::ReloadRequested);
    }

    /// Shares a session's write that has ended; to be called before its client gets the answer.
    pub(super) fn share_session_write(
        &mut self,
        request: &MemberRequest,
        outcome: ExecutionOutcome,
        status: &ReplicaStatus,
    ) {
        let RequestKind::Execution(id) = request.kind else {
            return;
        };
        if definitely_not_executed(outcome) {
            return;
        }
        if let Some(session) = self.policy.session_of_write(id.statement, id.attempt) {
            self.share_fact(LearnedFact::SessionWrite {
                session: Some(session),
                position: status.position.map(|position| position.0),
            });
        }
    }

    /// Takes the facts learned since the last call, for the peer process.
    pub fn take_learned_facts(&mut self) -> Vec<LearnedFact> {
        self.handover.take_learned_facts()
    }

    /// Shares a fact with the peer process, if there is one: through the journal at once, otherwise with the next
    /// messages.
    pub(super) fn share_fact(&mut self, fact: LearnedFact) {
        match &self.journal {
            Some(journal) if self.journals_facts && journal.is_active() => {
                journal.append(&JournalRecord::Learned(fact), None);
            }
            _ => self.handover.add_learned_fact(fact),
        }
    }

    /// Duplicates the listening socket for a peer process; `None` if there is none or `dup` fails.
    pub fn listener_descriptor(&self) -> Option<TcpListener> {
        self.acceptor.descriptor()
    }

    /// Accepts new clients, or leaves them to a peer process that listens on the same socket.
    pub fn set_accepting(&mut self, is_accepting: bool) {
        self.acceptor.set_paused(!is_accepting);
        if is_accepting && !self.is_draining {
            self.clients.resume_serving();
        }
    }

    /// Hands over clients once they have no open statement, and idle member connections immediately.
    pub fn begin_handover(&mut self) {
        self.clients.begin_handover();
        self.member_requests.hand_over_idle();
    }

    /// Takes the clients to be transferred to another process.
    pub fn take_transferred_clients(&mut self) -> Vec<TransferredClient> {
        self.handover.take_clients()
    }

    /// Takes the idle member connections to be transferred to another process.
    pub fn take_transferred_connections(&mut self) -> Vec<TransferredConnection> {
        self.handover.take_connections()
    }

    /// Takes the members that were listed as draining or gone during co-serving.
    pub fn take_drained_members(&mut self) -> Vec<DrainedMember> {
        self.handover.take_drained_members()
    }

    /// Adopts an idle member connection of another process, if the member at its other end is known. Each process
    /// numbers the members that it learns of behind the state by itself, so `member` may be another one here.
    pub fn adopt_member_connection(&mut self, now: Timestamp, member: u32, stream: TcpStream) {
        let Ok(address) = stream.peer_addr() else {
            return;
        };
        let Some(member) = self.members.find_at(address, member) else {
            return;
        };
        let handover = &mut self.handover;
        let is_adopted = self
            .member_requests
            .adopt(now, AdoptedConnection { member, address }, |id| {
                handover.adopt_member_connection(id, stream)
            });
        self.metrics.connections_adopted += u64::from(is_adopted);
    }

    /// Adopts a client of another process.
    pub fn adopt_client(&mut self, now: Timestamp, client: TransferredClient) {
        let is_active = client.is_active;
        let adopted = self.handover.adopt_client(client);
        match adopted.handle {
            Ok(handle) => {
                self.admit_client(now, adopted.id, handle);
                self.metrics.clients_adopted += 1;
                if is_active {
                    self.clients.mark_active(adopted.id, now);
                }
            }
            Err(error) => self.on_accept_failed(now, &error),
        }
    }
}
