//! What the event loop does for another process that serves beside this one: tells what was learned, hands clients and
//! connections over, takes them back, and holds to what binds both.

use super::{EventLoop, Learned, Moved, Observer, ADOPTED};
use crate::protocol::client_session::ClientCommand;
use crate::protocol::replica_status;
use crate::routing::execution_outcomes;
use crate::routing::member_requests::AdoptedConnection;
use crate::routing::members::MemberDirectory;
use crate::transport::listener::AcceptEvent;
use asterlatch::interface::{MemberUpdate, Settings};
use asterlatch::policy;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_handover::co_serving::CoServingMessage;
use asterlatch_handover::io_journal::{StatementVerdict, StatementVerdicts};
use std::collections::BTreeMap;
use std::net::{TcpListener, TcpStream};

impl<O: Observer> EventLoop<O> {
    /// What was learned, as another process goes on from it.
    pub fn learned(&self) -> Learned<'_> {
        (&self.module, &self.members)
    }

    /// Goes on from what another process has learned of the same deployment.
    pub fn resume(
        &mut self,
        now: Timestamp,
        settings: &Settings,
        (module, members): (policy::RoutingPolicy, MemberDirectory),
    ) {
        self.module = policy::RoutingPolicy::resume(module, settings, false, now);
        self.members = members;
        self.module_wakes = Some(now);
    }

    /// Another process begins to serve beside this one, or doesn't any more; it is the one that stays, or leaves.
    pub fn share(&mut self, now: Timestamp, is_shared: bool, leaves: bool) {
        let was_shared = std::mem::replace(&mut self.is_shared, is_shared);
        self.drains = Vec::new();
        if let Some(sharing) = self.sharing.as_mut().filter(|_| was_shared) {
            // What the other one sent is in no log here.
            sharing.log.forget_past(now);
        }
        self.clients.set_co_serving(is_shared);
        let results = self.module.set_peer_process(now, is_shared && leaves);
        self.carry_out(now, results);
        self.tell_ended(now);
    }

    /// Executions that are out, by member.
    pub fn out(&self) -> BTreeMap<String, u32> {
        let mut out = BTreeMap::new();
        for name in self
            .member_requests
            .executions()
            .filter_map(|e| self.members.name(e.member))
        {
            *out.entry(name.to_owned()).or_default() += 1;
        }
        out
    }

    /// Takes over what binds both processes. A member that is not known here gets nothing from here.
    pub fn bind(&mut self, now: Timestamp, word: &CoServingMessage) {
        let results = match word {
            CoServingMessage::InFlight { member, count } => self.members.find(member).map(|m| {
                self.module
                    .on_member_update(now, m, MemberUpdate::InFlight(*count as usize))
            }),
            CoServingMessage::Draining {
                member,
                started_ms: since_ms,
            } => self.members.find(member).map(|m| {
                self.member_requests.close_idle(m);
                self.metrics.drains_from_beside += 1;
                self.module
                    .on_member_update(now, m, MemberUpdate::Draining(replica_status::unix(*since_ms)))
            }),
            CoServingMessage::Acknowledged => None,
        };
        if let Some(results) = results {
            self.carry_out(now, results);
            self.tell_ended(now);
        }
    }

    /// What is held now, for who asks whether another process has room beside this one.
    pub fn held(&self) -> (usize, usize) {
        (self.clients.count(), self.memory_taken())
    }

    /// A descriptor of the listener, for another process.
    pub fn listener(&self) -> Option<TcpListener> {
        self.listening.as_ref()?.descriptor().ok()
    }

    /// Leaves newcomers to another process that listens at the same socket, or takes them again.
    pub fn pause(&mut self, paused: bool) {
        self.listening.as_ref().inspect(|l| l.set_paused(paused));
        if !paused && !self.draining {
            self.clients.resume_serving();
        }
    }

    /// Has each client go to another process between two statements; those that do lie in `moved`.
    pub fn hand_clients_over(&mut self) {
        self.clients.begin_handover();
        self.member_requests.hand_over_idle();
    }

    /// Goes on with an idle connection to a member that is still known.
    pub fn adopt_connection(&mut self, now: Timestamp, member: u32, stream: TcpStream) {
        let Some(address) = self.members.address(member) else {
            return;
        };
        let adopt = &mut self.adopt_connection;
        if self
            .member_requests
            .adopt(now, AdoptedConnection { member, address }, |id| adopt(id, stream))
        {
            self.metrics.connections_adopted += 1;
        }
    }

    /// Goes on with a client that another process stood so with. Its number lies above those of who is accepted here.
    pub fn adopt(&mut self, now: Timestamp, moved: Moved) {
        self.adopted = self.adopted.wrapping_add(1) | ADOPTED;
        let id = self.adopted;
        match (self.adopt)(id, moved.stream, moved.standing) {
            Ok(line) => {
                // Its news lie in the queue, and come behind this.
                if moved.verdicts != StatementVerdicts::default() {
                    self.verdicts.insert(id, moved.verdicts);
                }
                self.arrived(now, AcceptEvent::Client(id, line));
                self.metrics.clients_adopted += 1;
                if moved.has_asked {
                    self.clients.mark_active(id, now);
                }
            }
            Err(e) => self.arrived(now, AcceptEvent::Failed(e)),
        }
    }

    /// Answers a statement that a process has read which died, as far as that is known; whether it did.
    pub(super) fn judged(&mut self, client: u32, number: u32, end: u64) -> bool {
        let Some(verdicts) = self.verdicts.get(&client) else {
            return false;
        };
        let verdict = verdicts.verdict_for(end);
        if verdicts.is_past_last(end) {
            self.verdicts.remove(&client);
        }
        let (count, answer) = match verdict {
            StatementVerdict::Unread => return false,
            StatementVerdict::Rejected => (
                &mut self.metrics.taken_back_rejected,
                execution_outcomes::rejected(TimeSpan(0)),
            ),
            StatementVerdict::Aborted => (
                &mut self.metrics.taken_back_aborted,
                execution_outcomes::aborted(),
            ),
        };
        *count += 1;
        self.clients.send(client, ClientCommand::Answer(number, answer));
        true
    }
}
