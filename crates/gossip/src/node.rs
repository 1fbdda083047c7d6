//! All of it together: a datagram, an observation, a inquiry or the clock goes in; datagrams, news and answers come out.

use crate::anti_entropy::{AntiEntropy, PeerView};
use crate::codec::{self, DatagramHeader, InquiryId, Message};
use crate::conflict;
use crate::dissemination::{retransmits, Dissemination, TokenBucket};
use crate::in_doubt::DispatchStatus;
use crate::membership::{Membership, MembershipTiming, NodeIdentity, PeerState, PeerStateChange};
use crate::record::{Record, RecordKey, RecordKind};
use crate::state::{ApplyOutcome, ReplicatedState};
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, PartialEq)]
pub struct GossipSettings {
    /// Drivers of other fleets are not understood.
    pub fleet: String,
    pub name: String,
    /// Of the others, in the order in which addresses are status.
    pub peers: Vec<String>,
    /// Between two retransmits of what is new.
    pub gossip_interval: TimeSpan,
    /// To so many peers each time.
    pub fanout: usize,
    /// Between two comparings with a peer.
    pub anti_entropy_interval: TimeSpan,
    /// Bytes a second that are sent in all.
    pub bytes_per_second: u64,
    pub membership: MembershipTiming,
    /// How long a inquiry is repeated to who hasn't answered.
    pub inquiry_timeout: TimeSpan,
    /// Mark of the operators' file in force.
    pub operators_file: u64,
    /// What its datagrams are written as.
    pub dialect: codec::Dialect,
}

#[derive(Clone, Debug, PartialEq)]
pub enum NodeInput<'a> {
    /// From the address of this peer.
    Datagram {
        from: usize,
        bytes: &'a [u8],
    },
    /// PeerView here, so long ago.
    Observed(Vec<(Record, TimeSpan)>),
    /// Whether any of the others has sent this statement.
    StartInquiry(InquiryId),
    /// Nobody needs that answer any more.
    EndInquiry(InquiryId),
    /// What this driver knows of what a peer asked.
    ReplyToInquiry {
        to: usize,
        inquiry: InquiryId,
        status: DispatchStatus,
    },
    /// The list of members that is in force.
    ListVersion(u64),
    /// This process is to leave: others needn't find out.
    Leave,
    Tick,
}

#[derive(Clone, Debug, PartialEq)]
pub enum NodeOutput {
    Send {
        to: usize,
        bytes: Vec<u8>,
    },
    /// What others have observed_at that wasn't status here, and when that was.
    RecordLearned(Record, Timestamp),
    InquiryReceived {
        from: usize,
        inquiry: InquiryId,
    },
    InquiryReplied {
        from: usize,
        inquiry: InquiryId,
        status: DispatchStatus,
    },
    PeerStateChanged(PeerStateChange),
    /// Whether this driver's copy is whole.
    CaughtUp(bool),
    /// A peer spoke as somebody else, or more than it may: it is not listened to for a while.
    PeerIgnored {
        peer: usize,
        reason: &'static str,
    },
}

/// What is counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GossipMetrics {
    pub datagrams_sent: u64,
    pub bytes_sent: u64,
    pub datagrams_received: u64,
    pub bytes_received: u64,
    pub malformed: u64,
    pub unknown_version: u64,
    pub ignored: u64,
    pub records_sent: u64,
    pub records_received: u64,
    pub records_new: u64,
    pub records_rejected: u64,
    pub rounds: u64,
}

/// A peer may send more than this driver does, for catching up, but by no more than this.
const PEER_RATE_FACTOR: u64 = 4;
/// NodeIdentity spoke too much, or as somebody else, is not listened to for so long.
const IGNORE_TIME: TimeSpan = TimeSpan::millis(5000);
/// Questions that a peer may ask at once; each second gives as many anew.
const INQUIRIES_PER_SECOND: u64 = 200;
/// A driver that heard and did nothing for so many suspicions was away.
const ABSENCE_FACTOR: f64 = 1.0;
/// Part of what is left of the rate that news may take at a tick: the rest is for who catches up.
const DISSEMINATION_SHARE: f64 = 0.75;

/// Changes that are counted for who keeps a copy.
const MAX_TRACKED_CHANGES: usize = 8192;

struct PeerLimits {
    bytes: TokenBucket,
    questions: TokenBucket,
    ignored_until: Timestamp,
}

pub struct GossipNode {
    settings: GossipSettings,
    pub state: ReplicatedState,
    pub peers: Membership,
    pub anti_entropy: AntiEntropy,
    pub metrics: GossipMetrics,
    dissemination: Dissemination,
    rate: TokenBucket,
    peer_limits: Vec<PeerLimits>,
    rng: fastrand::Rng,
    /// NodeIdentity hasn't answered a inquiry, and when those are asked again.
    inquiries: BTreeMap<InquiryId, (BTreeSet<usize>, Timestamp, Timestamp)>,
    next_tick_at: Timestamp,
    next_compare_at: Timestamp,
    alone_since: Option<Timestamp>,
    last_input_at: Timestamp,
    list: u64,
    /// How often this driver has observed_at of itself, and what: its incarnation, its list, and whether its copy is whole.
    sequence: u64,
    published: Option<(u64, u64, bool)>,
    /// Items for each peer that leave at the end of the input.
    outbox: BTreeMap<usize, Vec<Vec<u8>>>,
    outputs: Vec<NodeOutput>,
    has_left: bool,
    /// What has changed since it was last_input_at asked, for who keeps a copy; more than that is no longer counted.
    changed: BTreeSet<RecordKey>,
    changes_dropped: bool,
}

impl GossipNode {
    /// `incarnation` grows from one start of this driver to the next, as far as its machine's clock does.
    pub fn new(settings: GossipSettings, incarnation: u64, seed: u64, now: Timestamp) -> GossipNode {
        let who = NodeIdentity {
            name: settings.name.clone(),
            incarnation,
        };
        let peer_limits = |_: &String| PeerLimits {
            bytes: TokenBucket::new(now, settings.bytes_per_second.saturating_mul(PEER_RATE_FACTOR)),
            questions: TokenBucket::new(now, INQUIRIES_PER_SECOND),
            ignored_until: Timestamp(0),
        };
        let patience = settings.membership.suspicion_timeout + settings.membership.probe_interval;
        GossipNode {
            state: ReplicatedState::default(),
            peers: Membership::new(who, &settings.peers, settings.membership, seed, now),
            anti_entropy: AntiEntropy::new(now, patience),
            metrics: GossipMetrics::default(),
            dissemination: Dissemination::default(),
            rate: TokenBucket::new(now, settings.bytes_per_second),
            peer_limits: settings.peers.iter().map(peer_limits).collect(),
            rng: fastrand::Rng::with_seed(seed ^ 0x5eed),
            inquiries: BTreeMap::new(),
            next_tick_at: now,
            next_compare_at: now,
            alone_since: Some(now),
            last_input_at: now,
            list: 0,
            sequence: 0,
            published: None,
            outbox: BTreeMap::new(),
            outputs: Vec::new(),
            has_left: false,
            changed: BTreeSet::new(),
            changes_dropped: false,
            settings,
        }
    }

    pub fn settings(&self) -> &GossipSettings {
        &self.settings
    }

    pub fn next_at(&self) -> Timestamp {
        let again = self.inquiries.values().map(|(_, at, _)| *at).min();
        let times = [self.next_tick_at, self.next_compare_at, self.peers.next_at()];
        times
            .into_iter()
            .chain(again)
            .min()
            .unwrap_or(Timestamp(u64::MAX))
    }

    pub fn handle(&mut self, now: Timestamp, input: NodeInput) -> Vec<NodeOutput> {
        self.notice_absence(now);
        match input {
            NodeInput::Datagram { from, bytes } => self.on_datagram(now, from, bytes),
            NodeInput::Observed(records) => {
                for (record, age) in records {
                    self.apply(now, record, now - age, true);
                }
            }
            NodeInput::StartInquiry(inquiry) => self.start_inquiry(now, inquiry),
            NodeInput::EndInquiry(inquiry) => drop(self.inquiries.remove(&inquiry)),
            NodeInput::ReplyToInquiry { to, inquiry, status } => {
                self.enqueue(to, &Message::InquiryReply(inquiry, status));
            }
            NodeInput::ListVersion(list) => self.list = list,
            NodeInput::Leave => {
                self.has_left = true;
                let sent = self.peers.leave(now);
                self.enqueue_membership(sent);
            }
            NodeInput::Tick => {}
        }
        if !self.has_left {
            self.advance_to(now);
            self.publish_own_record(now);
        }
        self.flush(now);
        std::mem::take(&mut self.outputs)
    }

    /// A process that was stopped, or a machine that slept, finds old news unread; what it holds may be older still.
    fn notice_absence(&mut self, now: Timestamp) {
        if now - self.last_input_at > self.settings.membership.suspicion_timeout * ABSENCE_FACTOR {
            self.anti_entropy.fall_behind(now);
            self.outputs.push(NodeOutput::CaughtUp(false));
        }
        self.last_input_at = now;
    }

    fn on_datagram(&mut self, now: Timestamp, from: usize, bytes: &[u8]) {
        let Some(peer_limits) = self.peer_limits.get_mut(from) else {
            return;
        };
        self.metrics.datagrams_received += 1;
        self.metrics.bytes_received += bytes.len() as u64;
        if now < peer_limits.ignored_until {
            self.metrics.ignored += 1;
            return;
        }
        peer_limits.bytes.refill(now);
        if !peer_limits.bytes.try_take(bytes.len()) {
            peer_limits.ignored_until = now + IGNORE_TIME;
            self.outputs.push(NodeOutput::PeerIgnored {
                peer: from,
                reason: "it sends more than it may",
            });
            return;
        }
        let (head, items) = match codec::read_datagram(&self.settings.fleet, bytes) {
            Ok(read) => read,
            Err(codec::DecodeError::Malformed) => {
                self.metrics.malformed += 1;
                return;
            }
            Err(codec::DecodeError::UnsupportedVersion(_)) => {
                self.metrics.unknown_version += 1;
                return;
            }
        };
        if head.name != self.settings.peers[from] {
            let expected = self.settings.peers[from].clone();
            let sides = (expected, head.name.clone());
            let is_new =
                self.state
                    .conflicts
                    .note(now, conflict::ConflictKind::ForeignAddress, head.name, sides);
            if is_new {
                let reason = "it speaks under another name than its address has";
                self.outputs.push(NodeOutput::PeerIgnored { peer: from, reason });
            }
            return;
        }
        self.peers
            .on_datagram(now, from, head.incarnation, head.sent, head.caught_up);
        if head.known_incarnation > self.peers.own().incarnation {
            // The clock went back over this driver's start: others wait for a incarnation above the one they know.
            let sent = self.peers.supersede(now, head.known_incarnation);
            self.enqueue_membership(sent);
        }
        for item in items {
            self.on_message(now, from, item);
        }
    }

    fn on_message(&mut self, now: Timestamp, from: usize, item: Message) {
        match item {
            Message::Membership(data) => {
                let sent = self.peers.on_message(now, &data);
                self.enqueue_membership(sent);
            }
            Message::Record(record, age) => {
                self.metrics.records_received += 1;
                // What lay unread or came late is older by that.
                let observed_at = now - age - self.peers.peers()[from].delay;
                self.apply(now, record, observed_at, false);
            }
            Message::Digest { round, ranges } => {
                self.anti_entropy.on_digest(from, round, &ranges, &self.state)
            }
            Message::RangeHashes {
                round,
                from: low,
                upto,
                pairs,
                ..
            } => {
                let wishes = self
                    .anti_entropy
                    .on_range_hashes(from, round, (low, upto), &pairs, &self.state);
                for wish in wishes {
                    self.enqueue(from, &wish);
                }
            }
            Message::RangeRequest { round, range, keys } => {
                self.anti_entropy
                    .on_range_request(from, round, range, &keys, &self.state)
            }
            Message::RoundComplete { round, parts } => {
                let ended = self
                    .anti_entropy
                    .on_round_complete(from, round, parts, &self.state);
                self.metrics.rounds += u64::from(ended);
            }
            Message::Inquiry(inquiry) => {
                let questions = &mut self.peer_limits[from].questions;
                questions.refill(now);
                // A peer that asks about everything must not fill what is kept of ids here.
                let may = questions.try_take(1);
                if may {
                    self.outputs.push(NodeOutput::InquiryReceived { from, inquiry });
                } else {
                    self.enqueue(from, &Message::InquiryReply(inquiry, DispatchStatus::Unknown));
                }
            }
            Message::InquiryReply(inquiry, status) => {
                let asked = self.inquiries.get_mut(&inquiry);
                if asked.is_some_and(|(waits, ..)| waits.remove(&from)) {
                    self.outputs.push(NodeOutput::InquiryReplied {
                        from,
                        inquiry,
                        status,
                    });
                }
            }
        }
    }

    fn apply(&mut self, now: Timestamp, record: Record, observed_at: Timestamp, is_own: bool) {
        let (key, name) = (record.key(), own_name(&record));
        match self.state.apply(now, record, observed_at) {
            ApplyOutcome::Unchanged => {}
            ApplyOutcome::Rejected => self.metrics.records_rejected += 1,
            ApplyOutcome::Updated => {
                if !key.0.is_persistent() {
                    // It is nothing to who keeps a copy.
                } else if self.changed.len() < MAX_TRACKED_CHANGES {
                    self.changed.insert(key.clone());
                } else {
                    self.changes_dropped = true;
                }
                let there = self.peers.reachable().count();
                self.dissemination
                    .enqueue(&key, retransmits(there, self.settings.fanout));
                if key.0 == RecordKind::Member {
                    self.state.detect_competing_primaries(now, &name);
                }
                if let Some(entry) = self.state.get(&key).filter(|_| !is_own) {
                    self.metrics.records_new += 1;
                    self.outputs
                        .push(NodeOutput::RecordLearned(entry.record.clone(), entry.observed_at));
                }
            }
        }
    }

    /// All others are asked, for whoever seems gone may only be out of this one's sight.
    fn start_inquiry(&mut self, now: Timestamp, inquiry: InquiryId) {
        let all: BTreeSet<usize> = (0..self.settings.peers.len()).collect();
        for peer in &all {
            self.enqueue(*peer, &Message::Inquiry(inquiry));
        }
        let until = now + self.settings.inquiry_timeout;
        self.inquiries
            .insert(inquiry, (all, now + self.settings.inquiry_timeout * 0.4, until));
    }

    fn repeat_inquiries(&mut self, now: Timestamp) {
        let due: Vec<InquiryId> = self
            .inquiries
            .iter()
            .filter(|(_, (_, at, _))| *at <= now)
            .map(|(q, _)| *q)
            .collect();
        for inquiry in due {
            let Some((waits, at, until)) = self.inquiries.get_mut(&inquiry) else {
                continue;
            };
            *at = now + self.settings.inquiry_timeout * 0.4;
            let (waits, is_over) = (waits.clone(), now >= *until || waits.is_empty());
            if is_over {
                self.inquiries.remove(&inquiry);
                continue;
            }
            for peer in waits {
                self.enqueue(peer, &Message::Inquiry(inquiry));
            }
        }
    }

    /// Does what is due by the clock.
    fn advance_to(&mut self, now: Timestamp) {
        let sent = self.peers.advance_to(now);
        self.enqueue_membership(sent);
        for change in self.peers.poll_changes(now) {
            if change.to == PeerState::Down {
                self.anti_entropy.remove_peer(change.peer);
            }
            self.outputs.push(NodeOutput::PeerStateChanged(change));
        }
        self.update_sync_state(now);
        self.repeat_inquiries(now);
        self.rate.refill(now);
        if self.next_compare_at <= now {
            self.next_compare_at = now + self.settings.anti_entropy_interval;
            self.compare(now);
        }
        if self.next_tick_at <= now {
            self.next_tick_at = now + self.settings.gossip_interval;
            self.state.expire(now);
            self.disseminate(now);
        }
        self.send_pending(now);
    }

    /// NodeIdentity is there, and of those who has caught up.
    fn reachable_peers(&self) -> (Vec<usize>, Vec<usize>) {
        let there: Vec<usize> = self.peers.reachable().collect();
        let whole = there.iter().copied().filter(|p| self.peers.peers()[*p].caught_up);
        let whole = whole.collect();
        (there, whole)
    }

    fn update_sync_state(&mut self, now: Timestamp) {
        let (there, caught_up) = self.reachable_peers();
        let was_long_alone = self
            .alone_since
            .is_some_and(|at| now - at >= self.settings.membership.suspicion_timeout);
        if !there.is_empty() && was_long_alone && !self.anti_entropy.is_behind() {
            // Others have gone on without this one.
            self.anti_entropy.fall_behind(now);
            self.outputs.push(NodeOutput::CaughtUp(false));
        }
        self.alone_since = there.is_empty().then(|| self.alone_since.unwrap_or(now));
        let seen = PeerView {
            there: &there,
            caught_up: &caught_up,
            alone_since: self.alone_since,
        };
        if self.anti_entropy.update_sync_state(now, &seen) {
            self.outputs
                .push(NodeOutput::CaughtUp(!self.anti_entropy.is_behind()));
        }
    }

    fn compare(&mut self, now: Timestamp) {
        let (there, caught_up) = self.reachable_peers();
        let seen = PeerView {
            there: &there,
            caught_up: &caught_up,
            alone_since: self.alone_since,
        };
        let Some(peer) = self.anti_entropy.choose_peer(&seen, &mut self.rng) else {
            return;
        };
        let is_caught_up = self.peers.peers()[peer].caught_up;
        if let Some(item) = self
            .anti_entropy
            .begin_round(now, peer, is_caught_up, &self.state)
        {
            self.enqueue(peer, &item);
        }
    }

    /// What is new goes to a few.
    fn disseminate(&mut self, now: Timestamp) {
        let mut there: Vec<usize> = self.peers.reachable().collect();
        self.rng.shuffle(&mut there);
        there.truncate(self.settings.fanout);
        if there.is_empty() || self.dissemination.is_empty() {
            return;
        }
        let mut left = self.rate.remaining() * DISSEMINATION_SHARE;
        let (state, mut items) = (&self.state, Vec::new());
        self.dissemination.select(|key| {
            let Some(entry) = state.get(key) else { return true };
            let item = Message::Record(entry.record.clone(), ReplicatedState::age_of(entry, now)).bytes();
            left -= (item.len() * there.len()) as f64;
            if left >= 0.0 {
                items.push(item);
            }
            left >= 0.0
        });
        self.metrics.records_sent += (items.len() * there.len()) as u64;
        for peer in there {
            self.outbox.entry(peer).or_default().extend(items.iter().cloned());
        }
    }

    /// NodeIdentity catches up gets what the rate has left.
    fn send_pending(&mut self, now: Timestamp) {
        if !self.anti_entropy.has_pending() {
            return;
        }
        let waiting: usize = self.outbox.values().flatten().map(Vec::len).sum();
        let mut left = self.rate.remaining() - waiting as f64;
        let (outbox, records) = (&mut self.outbox, &mut self.metrics.records_sent);
        self.anti_entropy.send_pending(now, &self.state, |peer, item| {
            let item = item.bytes();
            let fits = left >= item.len() as f64;
            if fits {
                left -= item.len() as f64;
                *records += 1;
                outbox.entry(peer).or_default().push(item);
            }
            fits
        });
    }

    fn enqueue(&mut self, to: usize, item: &Message) {
        self.outbox.entry(to).or_default().push(item.bytes());
    }

    fn enqueue_membership(&mut self, sent: Vec<(usize, Vec<u8>)>) {
        for (to, data) in sent {
            self.enqueue(to, &Message::Membership(data));
        }
    }

    /// All that is to leave, in as few datagrams as hold it.
    fn flush(&mut self, now: Timestamp) {
        for (to, items) in std::mem::take(&mut self.outbox) {
            let head = DatagramHeader {
                name: self.settings.name.clone(),
                incarnation: self.peers.own().incarnation,
                sent: now,
                known_incarnation: self.peers.peers()[to].incarnation,
                caught_up: !self.anti_entropy.is_behind(),
            };
            let room = self.settings.dialect.room(&head);
            let mut from = 0;
            while from < items.len() {
                let mut length = 0;
                let fitting = items[from..].iter().take_while(|item| {
                    length += item.len();
                    length <= room
                });
                let count = fitting.count().max(1);
                let bytes =
                    self.settings
                        .dialect
                        .datagram(&self.settings.fleet, &head, &items[from..from + count]);
                from += count;
                self.rate.spend(bytes.len());
                self.metrics.datagrams_sent += 1;
                self.metrics.bytes_sent += bytes.len() as u64;
                self.outputs.push(NodeOutput::Send { to, bytes });
            }
        }
    }

    /// What a former incarnation of this driver has kept; it is observed_at to others as news like any other, if they lack it.
    pub fn restore(&mut self, now: Timestamp, record: Record, age: TimeSpan) {
        self.apply(now, record, now - age, false);
    }

    pub fn has_changed(&self) -> bool {
        !self.changed.is_empty()
    }

    /// What has changed since this was last_input_at asked; nothing where that is more than is counted.
    pub fn take_changed(&mut self) -> Option<Vec<(Record, Timestamp)>> {
        let changed = std::mem::take(&mut self.changed);
        if std::mem::take(&mut self.changes_dropped) {
            return None;
        }
        let entries = changed.iter().filter_map(|key| self.state.get(key));
        Some(entries.map(|e| (e.record.clone(), e.observed_at)).collect())
    }

    /// What this driver says of itself, whenever that changes.
    fn publish_own_record(&mut self, now: Timestamp) {
        let is_caught_up = !self.anti_entropy.is_behind();
        let all = (self.peers.own().incarnation, self.list, is_caught_up);
        if self.published.replace(all) == Some(all) {
            return;
        }
        self.sequence += 1;
        let record = Record::Driver {
            name: self.settings.name.clone(),
            incarnation: all.0,
            sequence: self.sequence,
            list_version: all.1,
            operators_file: self.settings.operators_file,
            caught_up: is_caught_up,
        };
        self.apply(now, record, now, true);
    }
}

fn own_name(record: &Record) -> String {
    match record {
        Record::Member { name, .. } | Record::Drain { name, .. } | Record::Driver { name, .. } => {
            name.clone()
        }
        Record::WarmUp { member, .. } | Record::Unanswered { member, .. } => member.clone(),
        Record::Lease { subject, .. } => subject.clone(),
        Record::Load { driver, .. } => driver.clone(),
        Record::Session { .. } => String::new(),
    }
}

/// What of this copy an operator is shown, in the order of keys.
pub fn shown(state: &ReplicatedState, now: Timestamp) -> Vec<(RecordKey, Record, TimeSpan)> {
    let of = |e: &crate::state::Entry| (e.record.key(), e.record.clone(), now - e.observed_at);
    state.entries().map(of).collect()
}
