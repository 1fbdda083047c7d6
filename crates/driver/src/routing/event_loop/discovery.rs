//! Requests to discovery and the endpoint lists that it answers.

use super::{EventLoop, Logger};
use crate::protocol::discovery_watch::{DiscoveryEvent, DiscoveryMessage};
use crate::protocol::endpoint_list::EndpointList;
use asterlatch::interface::{MemberEntry, MemberState};
use asterlatch::time::{RemoteTimestamp, Timestamp};

impl<O: Logger> EventLoop<O> {
    /// Retries a request that has timed out, and makes the next one that is due.
    pub(super) fn advance_discovery_to(&mut self, now: Timestamp) {
        if self.discovery_requests.is_timed_out(now) {
            let text = format_args!("silent, calling again");
            self.logger.log(now, "discovery", text);
            self.on_discovery_failed(now);
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
            let actions = self.policy.on_poll_failed(now);
            self.carry_out(now, actions);
        }
    }

    /// Events of a request that is over change nothing.
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
                let text = format_args!("answered what can't be read");
                self.logger.log(now, "discovery", text);
            }
            DiscoveryEvent::Closed => self.on_discovery_failed(now),
        }
    }

    /// Starts with a list that is known from the configuration.
    pub fn start_with_list(&mut self, now: Timestamp, known: &EndpointList) {
        self.discovery_requests.set_known_version(known.index);
        self.apply_endpoint_list(now, known);
    }

    /// Applies a list, or changes to it. Entries that can't be read are skipped, the others apply.
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
            let text = format_args!("{skipped} entries of the list can't be read");
            self.logger.log(now, "discovery", text);
        }
        if list.is_complete || !entries.is_empty() {
            let actions = self.policy.on_endpoint_list(now, &entries, list.is_complete);
            self.carry_out(now, actions);
        }
        self.notify_policy_of_ends(now);
    }

    /// Members that are draining or gone receive nothing more; a peer process has to know of them too.
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
