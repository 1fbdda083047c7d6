//! The gossip node of one driver: passes datagrams, observations, inquiries and time to the protocols, and
//! returns the datagrams to send and notifications.
//!
//! A node does no I/O and reads no clock. Equal seeds and inputs give equal outputs.

mod change_tracker;
mod interface;
mod open_inquiries;
mod outbox;
mod peer_limits;
mod receive;
mod send;

pub use interface::{GossipMetrics, IgnoreReason, NodeInput, NodeOutput, NodeSettings, Observation};

use crate::anti_entropy::{AntiEntropy, PeerView};
use crate::codec::{InquiryId, Message};
use crate::dissemination::{transmission_count, Dissemination, TokenBucket};
use crate::membership::{Membership, NodeIdentity, PeerState};
use crate::record::{ObservedRecord, Record, RecordKey, RecordKind};
use crate::state::{ApplyOutcome, ReplicatedState};
use asterlatch::time::{TimeSpan, Timestamp};
use change_tracker::ChangeTracker;
use open_inquiries::OpenInquiries;
use outbox::Outbox;
use peer_limits::PeerLimits;
use std::collections::BTreeSet;

/// After this many suspicion timeouts without an input the driver counts as suspended.
const SUSPENSION_FACTOR: f64 = 1.0;
/// Derives the node's seed, so that its random choices differ from those of the membership protocol.
const SEED_MASK: u64 = 0x5eed;

/// Where a record comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecordSource {
    /// Observed by this driver, which needs no notification.
    Local,
    /// Received from a peer, or stored before this driver's restart.
    PeerOrSnapshot,
}

/// The driver's report about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DriverReport {
    incarnation: u64,
    list_version: u64,
    caught_up: bool,
}

/// Indices of the reachable peers, and of those among them that are caught up.
struct ReachablePeers {
    reachable: Vec<usize>,
    caught_up: Vec<usize>,
}

impl ReachablePeers {
    fn view(&self, isolated_since: Option<Timestamp>) -> PeerView<'_> {
        PeerView {
            reachable: &self.reachable,
            caught_up: &self.caught_up,
            isolated_since,
        }
    }
}

/// The gossip node of one driver. One thread owns it and passes it every input.
pub struct GossipNode {
    settings: NodeSettings,
    /// This driver's copy of the replicated state.
    pub state: ReplicatedState,
    /// Membership states of the peers.
    pub membership: Membership,
    /// Comparison and repair of copies.
    pub anti_entropy: AntiEntropy,
    /// Counters since the start of the node.
    pub metrics: GossipMetrics,
    dissemination: Dissemination,
    /// Rate limit on all sent datagrams.
    send_rate: TokenBucket,
    peer_limits: Vec<PeerLimits>,
    rng: fastrand::Rng,
    inquiries: OpenInquiries,
    next_gossip_at: Timestamp,
    next_round_at: Timestamp,
    /// Start of the time without reachable peers; `None` while a peer is reachable.
    isolated_since: Option<Timestamp>,
    last_input_at: Timestamp,
    list_version: u64,
    /// Sequence number and content of the last report about this driver.
    report_sequence: u64,
    last_report: Option<DriverReport>,
    outbox: Outbox,
    outputs: Vec<NodeOutput>,
    has_left: bool,
    changes: ChangeTracker,
}

impl GossipNode {
    /// `incarnation` should grow from one start of this driver to the next; peers correct it if the host's
    /// clock was set back.
    pub fn new(settings: NodeSettings, incarnation: u64, seed: u64, now: Timestamp) -> GossipNode {
        let identity = NodeIdentity {
            name: settings.name.clone(),
            incarnation,
        };
        let peer_limits = settings
            .peers
            .iter()
            .map(|_| PeerLimits::new(now, settings.bytes_per_second));
        let peer_timeout = settings.membership.suspicion_timeout + settings.membership.probe_interval;
        GossipNode {
            state: ReplicatedState::default(),
            membership: Membership::new(identity, &settings.peers, settings.membership, seed, now),
            anti_entropy: AntiEntropy::new(now, peer_timeout),
            metrics: GossipMetrics::default(),
            dissemination: Dissemination::default(),
            send_rate: TokenBucket::new(now, settings.bytes_per_second),
            peer_limits: peer_limits.collect(),
            rng: fastrand::Rng::with_seed(seed ^ SEED_MASK),
            inquiries: OpenInquiries::new(settings.inquiry_timeout),
            next_gossip_at: now,
            next_round_at: now,
            isolated_since: Some(now),
            last_input_at: now,
            list_version: 0,
            report_sequence: 0,
            last_report: None,
            outbox: Outbox::default(),
            outputs: Vec::new(),
            has_left: false,
            changes: ChangeTracker::default(),
            settings,
        }
    }

    /// The settings passed to [`GossipNode::new`].
    pub fn settings(&self) -> &NodeSettings {
        &self.settings
    }

    /// When the next [`NodeInput::Tick`] is due.
    pub fn next_at(&self) -> Timestamp {
        let next = self
            .next_gossip_at
            .min(self.next_round_at)
            .min(self.membership.next_at());
        self.inquiries.next_at().map_or(next, |at| at.min(next))
    }

    /// Handles an input and everything that is due; returns the outputs.
    pub fn handle(&mut self, now: Timestamp, input: NodeInput) -> Vec<NodeOutput> {
        self.detect_suspension(now);
        self.dispatch(now, input);
        if !self.has_left {
            self.advance_to(now);
            self.publish_driver_report(now);
        }
        self.flush(now);
        std::mem::take(&mut self.outputs)
    }

    fn dispatch(&mut self, now: Timestamp, input: NodeInput) {
        match input {
            NodeInput::Datagram { from, bytes } => self.on_datagram(now, from, bytes),
            NodeInput::Observed(observations) => {
                for Observation { record, age } in observations {
                    self.apply(now, record, now - age, RecordSource::Local);
                }
            }
            NodeInput::StartInquiry(inquiry) => self.start_inquiry(now, inquiry),
            NodeInput::EndInquiry(inquiry) => self.inquiries.end(inquiry),
            NodeInput::ReplyToInquiry { to, inquiry, status } => {
                self.outbox.push(to, &Message::InquiryReply { inquiry, status });
            }
            NodeInput::ListVersion(list_version) => self.list_version = list_version,
            NodeInput::Leave => {
                self.has_left = true;
                let messages = self.membership.leave(now);
                self.outbox.push_membership(messages);
            }
            NodeInput::Tick => {}
        }
    }

    /// Marks this driver as behind after a suspension of the process or host: its copy and unread datagrams
    /// are old.
    fn detect_suspension(&mut self, now: Timestamp) {
        if now - self.last_input_at > self.settings.membership.suspicion_timeout * SUSPENSION_FACTOR {
            self.mark_behind(now);
        }
        self.last_input_at = now;
    }

    fn mark_behind(&mut self, now: Timestamp) {
        self.anti_entropy.mark_behind(now);
        self.outputs.push(NodeOutput::CaughtUp(false));
    }

    fn apply(&mut self, now: Timestamp, record: Record, observed_at: Timestamp, source: RecordSource) {
        let key = record.key();
        match self.state.apply(now, record, observed_at) {
            ApplyOutcome::Unchanged => {}
            ApplyOutcome::Rejected => self.metrics.records_rejected += 1,
            ApplyOutcome::Updated => self.on_updated(now, &key, source),
        }
    }

    fn on_updated(&mut self, now: Timestamp, key: &RecordKey, source: RecordSource) {
        self.changes.record_change(key);
        let reachable = self.membership.reachable().count();
        self.dissemination
            .enqueue(key, transmission_count(reachable, self.settings.fanout));
        if key.kind == RecordKind::Member {
            self.state.detect_competing_primaries(now, &key.subject);
        }
        if source == RecordSource::Local {
            return;
        }
        if let Some(entry) = self.state.get(key) {
            self.metrics.records_new += 1;
            self.outputs.push(NodeOutput::RecordLearned {
                record: entry.record.clone(),
                observed_at: entry.observed_at,
            });
        }
    }

    /// Inquires of all peers, including those that are down, which may be unreachable from this driver only.
    fn start_inquiry(&mut self, now: Timestamp, inquiry: InquiryId) {
        let peers: BTreeSet<usize> = (0..self.settings.peers.len()).collect();
        for peer in &peers {
            self.outbox.push(*peer, &Message::Inquiry(inquiry));
        }
        self.inquiries.start(now, inquiry, peers);
    }

    fn repeat_inquiries(&mut self, now: Timestamp) {
        for repeated in self.inquiries.take_due(now) {
            for peer in repeated.pending_peers {
                self.outbox.push(peer, &Message::Inquiry(repeated.inquiry));
            }
        }
    }

    /// Runs all due tasks.
    fn advance_to(&mut self, now: Timestamp) {
        self.advance_membership(now);
        self.update_sync_state(now);
        self.repeat_inquiries(now);
        self.send_rate.refill(now);
        if self.next_round_at <= now {
            self.next_round_at = now + self.settings.anti_entropy_interval;
            self.begin_round(now);
        }
        if self.next_gossip_at <= now {
            self.next_gossip_at = now + self.settings.gossip_interval;
            self.state.expire(now);
            self.disseminate(now);
        }
        self.send_pending(now);
    }

    fn advance_membership(&mut self, now: Timestamp) {
        let messages = self.membership.advance_to(now);
        self.outbox.push_membership(messages);
        for change in self.membership.poll_changes(now) {
            if change.to == PeerState::Down {
                self.anti_entropy.remove_peer(change.peer);
            }
            self.outputs.push(NodeOutput::PeerStateChanged(change));
        }
    }

    fn reachable_peers(&self) -> ReachablePeers {
        let peers = self.membership.peers();
        let reachable: Vec<usize> = self.membership.reachable().collect();
        let caught_up = reachable.iter().copied().filter(|peer| peers[*peer].caught_up);
        ReachablePeers {
            caught_up: caught_up.collect(),
            reachable,
        }
    }

    fn update_sync_state(&mut self, now: Timestamp) {
        let peers = self.reachable_peers();
        let is_isolated = peers.reachable.is_empty();
        let was_long_isolated = self
            .isolated_since
            .is_some_and(|since| now - since >= self.settings.membership.suspicion_timeout);
        if !is_isolated && was_long_isolated && !self.anti_entropy.is_behind() {
            // Other drivers have received records during the isolation.
            self.mark_behind(now);
        }
        self.isolated_since = is_isolated.then(|| self.isolated_since.unwrap_or(now));
        let view = peers.view(self.isolated_since);
        if self.anti_entropy.update_sync_state(now, &view) {
            let caught_up = !self.anti_entropy.is_behind();
            self.outputs.push(NodeOutput::CaughtUp(caught_up));
        }
    }

    fn begin_round(&mut self, now: Timestamp) {
        let peers = self.reachable_peers();
        let view = peers.view(self.isolated_since);
        let Some(peer) = self.anti_entropy.choose_peer(&view, &mut self.rng) else {
            return;
        };
        let caught_up = self.membership.peers()[peer].caught_up;
        if let Some(message) = self.anti_entropy.begin_round(now, peer, caught_up, &self.state) {
            self.outbox.push(peer, &message);
        }
    }

    /// Applies a record that this driver stored before its restart. It is sent to peers like a new record.
    pub fn restore(&mut self, now: Timestamp, record: Record, age: TimeSpan) {
        self.apply(now, record, now - age, RecordSource::PeerOrSnapshot);
    }

    /// Whether persistent records have changed since [`GossipNode::take_changed`].
    pub fn has_changed(&self) -> bool {
        !self.changes.is_empty()
    }

    /// The persistent records that have changed since the last call; `None` if there were too many to track.
    pub fn take_changed(&mut self) -> Option<Vec<ObservedRecord>> {
        let changed = self.changes.take()?;
        let entries = changed.iter().filter_map(|key| self.state.get(key));
        Some(entries.map(ObservedRecord::from).collect())
    }

    /// Publishes a report about this driver whenever its content changes.
    fn publish_driver_report(&mut self, now: Timestamp) {
        let report = DriverReport {
            incarnation: self.membership.identity().incarnation,
            list_version: self.list_version,
            caught_up: !self.anti_entropy.is_behind(),
        };
        if self.last_report.replace(report) == Some(report) {
            return;
        }
        self.report_sequence += 1;
        let record = Record::Driver {
            name: self.settings.name.clone(),
            incarnation: report.incarnation,
            sequence: self.report_sequence,
            list_version: report.list_version,
            operators_file: self.settings.operators_file,
            caught_up: report.caught_up,
        };
        self.apply(now, record, now, RecordSource::Local);
    }
}
