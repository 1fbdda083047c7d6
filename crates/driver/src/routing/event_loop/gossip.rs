//! Messages from the gossip thread, and observations shared with other drivers.

use super::{EndedRequest, EventLoop, Logger};
use crate::protocol::replica_status;
use crate::routing::gossip::{
    replica_statuses, DispatchedExecution, Gossip, GossipMessage, LoadReport, MemberStatusRecord, RequestEnd,
};
use crate::routing::member_requests::AttemptId;
use asterlatch::interface::{MemberEntry, MemberUpdate};
use asterlatch::time::{RemoteTimestamp, TimeSpan, Timestamp};
use asterlatch_gossip::membership::{PeerState, PeerStateChange};
use asterlatch_gossip::node::NodeOutput;
use asterlatch_gossip::record::{ListedState, Record};

/// Topic of log lines about other drivers.
const FLEET_TOPIC: &str = "fleet";

impl<L: Logger> EventLoop<L> {
    /// Starts sharing with other drivers.
    pub fn join_gossip(&mut self, gossip: Gossip) {
        let bounds = gossip.dispatch_record_bounds();
        self.dispatch_records
            .set_bounds(bounds.retention, bounds.max_statements);
        self.gossip = Some(gossip);
        self.is_gossip_deferred = false;
    }

    /// Defers gossip until [`EventLoop::join_gossip`], while the predecessor still gossips under this
    /// driver's name. Client retries that require an inquiry are in doubt until then.
    pub fn defer_gossip(&mut self) {
        self.is_gossip_deferred = true;
    }

    /// Leaves the fleet.
    pub fn leave_gossip(&mut self) {
        if let Some(gossip) = &mut self.gossip {
            gossip.leave();
        }
    }

    /// Handles gossip work that is due by `now`.
    pub(super) fn advance_gossip_to(&mut self, now: Timestamp) {
        let Some(gossip) = &mut self.gossip else { return };
        let due = gossip.advance_to(now, &self.members);
        if due.warm_up {
            self.update_warm_up_budgets(now);
        }
        if due.coordination {
            self.coordinate(now);
        }
        for inquiry in due.expired_inquiries {
            self.metrics.inquiries_unanswered += 1;
            self.on_inquiry_resolved(now, inquiry.client_id, inquiry.outcome);
        }
    }

    fn update_warm_up_budgets(&mut self, now: Timestamp) {
        let Some(gossip) = &mut self.gossip else { return };
        let warming = self.policy.warming_members(now);
        for budget in gossip.warm_up_budgets(now, &warming, &self.members) {
            self.metrics.warm_up_budgets += 1;
            let update = MemberUpdate::WarmUpBudget {
                work: budget.work,
                until: budget.until,
            };
            self.update_member(now, budget.member, update);
        }
    }

    pub(super) fn update_member(&mut self, now: Timestamp, member: u32, update: MemberUpdate) {
        let actions = self.policy.on_member_update(now, member, update);
        self.execute_actions(now, actions);
    }

    /// Records an execution when it is dispatched.
    pub(super) fn record_execution(&mut self, now: Timestamp, attempt: AttemptId, member: u32) {
        let Some(gossip) = &mut self.gossip else { return };
        let Some(keys) = self.statements.keys(attempt.statement) else {
            return;
        };
        let execution = DispatchedExecution {
            attempt,
            session: keys.session,
            is_write: self.workloads.get(keys.workload).is_write(),
        };
        let expected_work = self.policy.typical_latency(keys.workload);
        gossip.on_dispatched(now, execution, self.members.name(member), expected_work);
    }

    /// Records the end of a request.
    pub(super) fn record_ended_request(&mut self, now: Timestamp, end: &EndedRequest) {
        let Some(gossip) = &mut self.gossip else { return };
        let member = end.request.member;
        let end = RequestEnd {
            kind: end.request.kind,
            member,
            member_name: self.members.name(member),
            outcome: end.outcome,
            status: end.status,
        };
        gossip.on_request_ended(now, &end, self.records_sessions);
    }

    /// Shares the version of an endpoint list and its draining members.
    pub(super) fn share_endpoint_list(&mut self, version: u64, entries: &[MemberEntry]) {
        if let Some(gossip) = &mut self.gossip {
            gossip.on_endpoint_list(version, entries, &self.members);
        }
    }

    pub(super) fn on_gossip_message(&mut self, now: Timestamp, message: GossipMessage) {
        match message {
            GossipMessage::Output(output) => self.on_gossip_output(now, output),
            GossipMessage::LogLine(line) => self.logger.log(now, FLEET_TOPIC, format_args!("{line}")),
        }
    }

    fn on_gossip_output(&mut self, now: Timestamp, output: NodeOutput) {
        match output {
            NodeOutput::RecordLearned { record, observed_at } => {
                self.metrics.records_from_peers += 1;
                self.on_record(now, &record, observed_at);
            }
            NodeOutput::InquiryReceived { from, inquiry } => self.on_inquiry(now, from, inquiry),
            NodeOutput::InquiryReplied {
                from,
                inquiry,
                status,
            } => self.on_inquiry_reply(now, from, inquiry, &status),
            NodeOutput::PeerStateChanged(change) => self.on_peer_state_change(now, &change),
            NodeOutput::CaughtUp(is_caught_up) => {
                let text = if is_caught_up {
                    "caught up with the fleet"
                } else {
                    "behind the fleet after a suspension or loss of contact"
                };
                self.logger.log(now, FLEET_TOPIC, format_args!("{text}"));
            }
            NodeOutput::PeerIgnored { peer, reason } => {
                let Some(gossip) = &self.gossip else { return };
                let name = gossip.peer_name(peer);
                let text = format_args!("ignoring messages from driver {name}: {reason}");
                self.logger.log(now, FLEET_TOPIC, text);
            }
            NodeOutput::Send { .. } => {}
        }
    }

    fn on_peer_state_change(&mut self, now: Timestamp, change: &PeerStateChange) {
        let Some(gossip) = &mut self.gossip else { return };
        gossip.on_peer_state_change(change);
        self.update_fleet(now);
        let Some(gossip) = &self.gossip else { return };
        if change.to == PeerState::Down {
            self.metrics.peers_lost += 1;
        }
        let (name, to, from) = (
            gossip.peer_name(change.peer),
            change.to.name(),
            change.from.name(),
        );
        let text = format_args!("driver {name} is {to}, was {from}");
        self.logger.log(now, FLEET_TOPIC, text);
    }

    /// Applies another driver's record. Records about unlisted members are ignored.
    fn on_record(&mut self, now: Timestamp, record: &Record, observed_at: Timestamp) {
        match record {
            Record::Member { .. } => self.on_member_record(now, record, observed_at),
            Record::Drain { .. } => self.on_drain_record(now, record),
            Record::Session { session, position } => self.on_session_record(*session, *position),
            Record::WarmUp { member, .. } => {
                let is_known = self.members.find(member).is_some();
                if let Some(gossip) = self.gossip.as_mut().filter(|_| is_known) {
                    gossip.on_warm_up_record(observed_at, record);
                }
            }
            Record::Lease { subject, lease } => {
                if let Some(gossip) = &mut self.gossip {
                    gossip.on_lease(now, subject, *lease, now - observed_at);
                }
            }
            Record::DelayedExecution {
                member,
                driver,
                outstanding_us,
                ..
            } => {
                let sent_at = observed_at - TimeSpan(*outstanding_us);
                self.on_peer_delayed_execution(member, driver, sent_at, observed_at);
            }
            Record::Load {
                driver,
                incarnation,
                shares,
                ..
            } => {
                if let Some(gossip) = &mut self.gossip {
                    gossip.on_load_report(&LoadReport {
                        driver,
                        incarnation: *incarnation,
                        shares,
                        observed_at,
                    });
                }
            }
            Record::Driver { .. } => {}
        }
        self.notify_policy_of_ends(now);
    }

    /// Applies a member's status unless it is from another instance of the member.
    fn on_member_record(&mut self, now: Timestamp, record: &Record, observed_at: Timestamp) {
        let Record::Member {
            name,
            started_ms,
            position,
            primary_at,
            replica_at,
            ..
        } = record
        else {
            return;
        };
        let listed = self.members.find(name);
        let Some(member) = listed.filter(|member| self.members.has_started_at(*member, *started_ms)) else {
            return;
        };
        if let Some(gossip) = &mut self.gossip {
            gossip.on_peer_answer(name, observed_at);
        }
        // Always older than the member's own reports to this driver.
        let age = (now - observed_at).max(TimeSpan(1));
        let reported = MemberStatusRecord {
            position: *position,
            primary_at: *primary_at,
            replica_at: *replica_at,
        };
        for status in replica_statuses(reported) {
            self.update_member(now, member, MemberUpdate::Status(age, status));
        }
    }

    fn on_drain_record(&mut self, now: Timestamp, record: &Record) {
        let Record::Drain {
            name,
            started_ms,
            list_version,
            state,
        } = record
        else {
            return;
        };
        // Ignores records based on an older list; for the same list, the worse state applies.
        let version_in_force = self.gossip.as_ref().map_or(0, Gossip::list_version);
        let is_binding = *state != ListedState::Ready && *list_version >= version_in_force;
        let Some(member) = self.members.find(name).filter(|_| is_binding) else {
            return;
        };
        self.member_requests.close_idle(member);
        self.metrics.drains_from_peers += 1;
        let update = MemberUpdate::Draining(replica_status::unix_timestamp(*started_ms));
        self.update_member(now, member, update);
    }

    fn on_session_record(&mut self, session: u64, position_ms: u64) {
        if self.records_sessions {
            let position = RemoteTimestamp::from_millis(position_ms);
            self.policy.on_session_position(session, position);
        }
    }
}
