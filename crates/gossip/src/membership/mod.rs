//! SWIM membership of the configured drivers, by the `foca` library without sockets or clocks.
//!
//! A driver is identified by its name in the operators' file and has one address. Each start has its own
//! incarnation; a later one replaces earlier ones in the peers' tables. If the host's clock was set back
//! across a restart, peers report the later incarnation that they know in each datagram, and the driver
//! adopts one above it.

mod peer;
mod runtime;

pub use peer::{Peer, PeerState};
pub use runtime::NodeIdentity;

use asterlatch::time::{TimeSpan, Timestamp};
use foca::{Config, Foca, Identity, Member, NoCustomBroadcast, PostcardCodec, State, Timer};
use runtime::{RuntimeOutput, SeededRng};
use std::collections::BTreeMap;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Intervals and timeouts of failure detection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipTiming {
    /// Time between two probes; each probes another peer.
    pub probe_interval: TimeSpan,
    /// Time in which a suspected peer may refute the suspicion before it is declared down.
    pub suspicion_timeout: TimeSpan,
}

impl Default for MembershipTiming {
    fn default() -> MembershipTiming {
        MembershipTiming {
            probe_interval: TimeSpan::millis(500),
            suspicion_timeout: TimeSpan::millis(2000),
        }
    }
}

/// A message of the membership protocol to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Index of the peer.
    pub peer: usize,
    /// The encoded message; opaque to this crate.
    pub data: Vec<u8>,
}

/// A change of a peer's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStateChange {
    /// Index of the peer.
    pub peer: usize,
    /// The previous state.
    pub from: PeerState,
    /// The new state.
    pub to: PeerState,
}

/// Orders timers by due time, then by order of submission.
type TimerKey = (Timestamp, u64);

type FocaInstance = Foca<NodeIdentity, PostcardCodec, SeededRng, NoCustomBroadcast>;

/// The membership protocol of one driver. Peers are referred to by their index in the configuration.
pub struct Membership {
    foca: FocaInstance,
    peers: Vec<Peer>,
    timers: BTreeMap<TimerKey, Timer<NodeIdentity>>,
    last_timer_number: u64,
    next_announce_at: Timestamp,
    last_announced: usize,
    timing: MembershipTiming,
}

/// Limit of a membership message, so that it shares a datagram with other messages.
pub const MAX_MESSAGE_BYTES: usize = 900;

/// How many times the protocol transmits each update.
const MAX_TRANSMISSIONS: u8 = 8;
/// The library forgets a driver that has been down for this many suspicion timeouts.
const REMOVE_DOWN_FACTOR: u64 = 30;
/// Fraction of the probe interval after which a direct probe counts as unanswered.
const PROBE_ROUND_TRIP_FRACTION: f64 = 0.4;
/// A suspicion that lasts longer than this many suspicion timeouts is stale.
const STALE_SUSPICION_FACTOR: f64 = 2.0;
/// Number of unreachable peers contacted in each probe interval.
const ANNOUNCED_PER_INTERVAL: usize = 2;

fn foca_config(timing: MembershipTiming) -> Config {
    let duration = |span: TimeSpan| Duration::from_micros(span.0);
    let remove_down_after = TimeSpan(timing.suspicion_timeout.0.saturating_mul(REMOVE_DOWN_FACTOR));
    let mut config = Config::simple();
    config.probe_period = duration(timing.probe_interval);
    config.probe_rtt = duration(timing.probe_interval * PROBE_ROUND_TRIP_FRACTION);
    config.suspect_to_down_after = duration(timing.suspicion_timeout);
    config.remove_down_after = Some(duration(remove_down_after));
    config.max_packet_size = NonZeroUsize::new(MAX_MESSAGE_BYTES).unwrap_or(NonZeroUsize::MIN);
    config.max_transmissions = NonZeroU8::new(MAX_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN);
    config.notify_down_members = true;
    config
}

impl Membership {
    /// `names` are the configured peers, in the order of their indices. Equal seeds and inputs give equal
    /// outputs.
    pub fn new(
        identity: NodeIdentity,
        names: &[String],
        timing: MembershipTiming,
        seed: u64,
        now: Timestamp,
    ) -> Membership {
        Membership {
            foca: Foca::new(identity, foca_config(timing), SeededRng::new(seed), PostcardCodec),
            peers: names.iter().cloned().map(Peer::new).collect(),
            timers: BTreeMap::new(),
            last_timer_number: 0,
            next_announce_at: now,
            last_announced: 0,
            timing,
        }
    }

    /// This driver's identity.
    pub fn identity(&self) -> &NodeIdentity {
        self.foca.identity()
    }

    /// All configured peers, by index.
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// The index of the peer with this name.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.peers.iter().position(|peer| peer.name == name)
    }

    /// Indices of the peers that are alive or suspected.
    pub fn reachable(&self) -> impl Iterator<Item = usize> + '_ {
        let peers = self.peers.iter().enumerate();
        peers
            .filter(|(_, peer)| peer.state.is_reachable())
            .map(|(index, _)| index)
    }

    /// When [`Membership::advance_to`] must be called next.
    pub fn next_at(&self) -> Timestamp {
        let next_timer = self.timers.first_key_value().map(|((at, _), _)| *at);
        next_timer.map_or(self.next_announce_at, |at| at.min(self.next_announce_at))
    }

    /// Records the header of a datagram that a peer sent at `sent_at` by its own clock.
    pub fn on_datagram(
        &mut self,
        now: Timestamp,
        peer: usize,
        incarnation: u64,
        sent_at: Timestamp,
        caught_up: bool,
    ) {
        let peer = &mut self.peers[peer];
        peer.record_arrival(now, sent_at, incarnation);
        peer.caught_up = caught_up;
    }

    /// Handles a message of the protocol; returns the messages to send.
    pub fn on_message(&mut self, now: Timestamp, data: &[u8]) -> Vec<OutgoingMessage> {
        let mut output = RuntimeOutput::default();
        // An invalid message is skipped like a lost one.
        let _ = self.foca.handle_data(data, &mut output);
        self.apply_output(now, output)
    }

    /// Adopts an incarnation above `incarnation`, which peers know of this driver.
    pub fn supersede(&mut self, now: Timestamp, incarnation: u64) -> Vec<OutgoingMessage> {
        let mut output = RuntimeOutput::default();
        let identity = NodeIdentity {
            name: self.identity().name.clone(),
            incarnation: incarnation + 1,
        };
        let _ = self.foca.change_identity(identity, &mut output);
        self.apply_output(now, output)
    }

    /// Notifies peers that this driver is shutting down; returns the messages to send.
    pub fn leave(&mut self, now: Timestamp) -> Vec<OutgoingMessage> {
        let mut output = RuntimeOutput::default();
        let _ = self.foca.leave_cluster(&mut output);
        self.apply_output(now, output)
    }

    /// Runs due timers and periodic tasks; returns the messages to send.
    pub fn advance_to(&mut self, now: Timestamp) -> Vec<OutgoingMessage> {
        let mut messages = self.run_due_timers(now);
        if self.next_announce_at <= now {
            self.next_announce_at = now + self.timing.probe_interval;
            messages.extend(self.announce_to_unreachable(now));
            messages.extend(self.end_stale_suspicions(now));
        }
        messages
    }

    /// Timers submitted by these timers run at the next call, so that a delayed driver runs each timer once.
    fn run_due_timers(&mut self, now: Timestamp) -> Vec<OutgoingMessage> {
        let due: Vec<TimerKey> = self
            .timers
            .range(..=(now, u64::MAX))
            .map(|(key, _)| *key)
            .collect();
        let mut messages = Vec::new();
        for key in due {
            let Some(timer) = self.timers.remove(&key) else {
                continue;
            };
            let mut output = RuntimeOutput::default();
            let _ = self.foca.handle_timer(timer, &mut output);
            messages.extend(self.apply_output(now, output));
        }
        messages
    }

    /// Declares peers with a stale suspicion down.
    ///
    /// The library drops the timer that ends a suspicion when this driver is itself declared down and rejoins
    /// under a new incarnation, and it doesn't notify the suspected peer again. The peer would stay suspected
    /// although it responds. A peer that is declared down is notified by the next message and rejoins.
    fn end_stale_suspicions(&mut self, now: Timestamp) -> Vec<OutgoingMessage> {
        let limit = self.timing.suspicion_timeout * STALE_SUSPICION_FACTOR;
        let stale: Vec<&str> = self
            .peers
            .iter()
            .filter(|peer| peer.state == PeerState::Suspect && now - peer.state_since > limit)
            .map(|peer| peer.name.as_str())
            .collect();
        let down: Vec<_> = self
            .foca
            .iter_membership_state()
            .filter(|member| member.state() == State::Suspect && stale.contains(&member.id().name.as_str()))
            .map(|member| Member::new(member.id().clone(), member.incarnation(), State::Down))
            .collect();
        let mut output = RuntimeOutput::default();
        let _ = self.foca.apply_many(down.into_iter(), true, &mut output);
        self.apply_output(now, output)
    }

    /// Contacts unreachable peers in rotation, so that peers which start or return from a partition are
    /// discovered.
    fn announce_to_unreachable(&mut self, now: Timestamp) -> Vec<OutgoingMessage> {
        let count = self.peers.len();
        let next: Vec<usize> = (1..=count)
            .map(|offset| (self.last_announced + offset) % count)
            .filter(|index| !self.peers[*index].state.is_reachable())
            .take(ANNOUNCED_PER_INTERVAL)
            .collect();
        let mut messages = Vec::new();
        for index in next {
            self.last_announced = index;
            let peer = &self.peers[index];
            let identity = NodeIdentity {
                name: peer.name.clone(),
                incarnation: peer.incarnation,
            };
            let mut output = RuntimeOutput::default();
            let _ = self.foca.announce(identity, &mut output);
            messages.extend(self.apply_output(now, output));
        }
        messages
    }

    /// Schedules the library's timers and maps the recipients of its messages to peer indices.
    fn apply_output(&mut self, now: Timestamp, mut output: RuntimeOutput) -> Vec<OutgoingMessage> {
        if std::mem::take(&mut output.is_defunct) {
            // The library renews the identity itself in most cases, but not in all.
            if let Some(identity) = self.foca.identity().renew() {
                let _ = self.foca.change_identity(identity, &mut output);
            }
        }
        for pending in output.timers {
            self.last_timer_number += 1;
            let after = TimeSpan(u64::try_from(pending.after.as_micros()).unwrap_or(u64::MAX));
            self.timers
                .insert((now + after, self.last_timer_number), pending.timer);
        }
        let messages = output.messages.into_iter();
        messages
            .filter_map(|message| {
                let peer = self.index_of(&message.name)?;
                let data = message.data;
                Some(OutgoingMessage { peer, data })
            })
            .collect()
    }

    /// Updates peers' states from the library; returns those that have changed since the last call.
    pub fn poll_changes(&mut self, now: Timestamp) -> Vec<PeerStateChange> {
        let latest = latest_members(&self.foca);
        let mut changes = Vec::new();
        for (index, peer) in self.peers.iter_mut().enumerate() {
            let to = match (latest.get(peer.name.as_str()), peer.state) {
                (Some(member), _) => member.state,
                (None, PeerState::Unknown) => PeerState::Unknown,
                // The library forgets drivers after a long time down.
                (None, _) => PeerState::Down,
            };
            if to == peer.state {
                continue;
            }
            let from = std::mem::replace(&mut peer.state, to);
            peer.state_since = now;
            if to == PeerState::Down {
                peer.caught_up = false;
            }
            let peer = index;
            changes.push(PeerStateChange { peer, from, to });
        }
        changes
    }
}

/// The latest known incarnation of a driver.
struct LatestMember {
    incarnation: u64,
    state: PeerState,
}

/// The latest incarnation of each driver, in the best state that the library has of that incarnation.
fn latest_members(foca: &FocaInstance) -> BTreeMap<&str, LatestMember> {
    let mut latest: BTreeMap<&str, LatestMember> = BTreeMap::new();
    for member in foca.iter_membership_state() {
        let state = match member.state() {
            State::Alive => PeerState::Alive,
            State::Suspect => PeerState::Suspect,
            State::Down => PeerState::Down,
        };
        let incarnation = member.id().incarnation;
        let known = latest
            .entry(member.id().name.as_str())
            .or_insert(LatestMember { incarnation, state });
        if incarnation > known.incarnation || incarnation == known.incarnation && state < known.state {
            *known = LatestMember { incarnation, state };
        }
    }
    latest
}
