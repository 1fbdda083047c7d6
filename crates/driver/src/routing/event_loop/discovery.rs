//! Discovery requests and the endpoint lists that they return.

use super::{EventLoop, Logger};
use crate::protocol::discovery_watch::{DiscoveryEvent, DiscoveryMessage};
use crate::protocol::endpoint_list::EndpointList;
use asterlatch::interface::{MemberEntry, MemberState};
use asterlatch::time::{RemoteTimestamp, Timestamp};

impl<L: Logger> EventLoop<L> {
    /// Ends a request that has timed out and sends the next one when due.
    pub(super) fn advance_discovery_to(&mut self, now: Timestamp) {
        if self.discovery_requests.is_timed_out(now) {
            let text = format_args!("request timed out; retrying");
            self.logger.log(now, "discovery", text);
            if self.discovery_requests.on_timed_out(now) {
                self.on_poll_failed(now);
            }
        }
        if self.discovery_requests.take_due(now) {
            self.request_endpoint_list(now);
        }
    }

    pub(super) fn request_endpoint_list(&mut self, now: Timestamp) {
        self.metrics.discovery_calls += 1;
        if !self.discovery_requests.request(now) {
            self.on_discovery_failed(now);
        }
    }

    fn on_discovery_failed(&mut self, now: Timestamp) {
        if self.discovery_requests.on_failed(now) {
            self.on_poll_failed(now);
        }
    }

    fn on_poll_failed(&mut self, now: Timestamp) {
        let actions = self.policy.on_poll_failed(now);
        self.execute_actions(now, actions);
    }

    /// Handles an event of the current request; events of earlier requests are ignored.
    pub(super) fn on_discovery_message(&mut self, now: Timestamp, message: DiscoveryMessage) {
        if !self.discovery_requests.is_current(message.request) {
            return;
        }
        match message.event {
            DiscoveryEvent::Listed(list) => {
                self.discovery_requests.on_list(now, list.index);
                self.apply_endpoint_list(now, &list);
            }
            DiscoveryEvent::Outdated => self.discovery_requests.forget_version(),
            DiscoveryEvent::Unreadable => {
                self.metrics.endpoint_lists_unreadable += 1;
                let text = format_args!("cannot parse the response; the last endpoint list stays in force");
                self.logger.log(now, "discovery", text);
            }
            DiscoveryEvent::Closed => self.on_discovery_failed(now),
        }
    }

    /// Applies the endpoint list of the configuration before discovery responds.
    pub fn start_with_list(&mut self, now: Timestamp, known: &EndpointList) {
        self.discovery_requests.set_known_version(known.index);
        self.apply_endpoint_list(now, known);
    }

    /// Applies a complete list or changes. Entries that cannot be parsed are skipped.
    pub fn apply_endpoint_list(&mut self, now: Timestamp, list: &EndpointList) {
        self.metrics.endpoint_lists_applied += 1;
        let mut entries = Vec::with_capacity(list.entries.len());
        for endpoint in &list.entries {
            entries.extend(self.members.upsert(endpoint));
        }
        self.close_drained_members(&entries);
        self.share_endpoint_list(list.index, &entries);
        let skipped = list.skipped + list.entries.len() - entries.len();
        if skipped > 0 {
            self.metrics.endpoints_skipped += skipped as u64;
            let text = format_args!("skipped {skipped} endpoint list entries that cannot be parsed");
            self.logger.log(now, "discovery", text);
        }
        if list.is_complete || !entries.is_empty() {
            let actions = self.policy.on_endpoint_list(now, &entries, list.is_complete);
            self.execute_actions(now, actions);
        }
        self.notify_policy_of_ends(now);
    }

    /// Closes idle connections to members that are draining or gone, and records these for a peer process.
    fn close_drained_members(&mut self, entries: &[MemberEntry]) {
        for entry in entries.iter().filter(|entry| entry.state != MemberState::Ready) {
            self.member_requests.close_idle(entry.id);
            let started_ms = entry.started_at.map_or(0, RemoteTimestamp::as_millis);
            if let Some(name) = self.members.name(entry.id) {
                self.handover.add_drained_member(name, started_ms);
            }
        }
    }
}
