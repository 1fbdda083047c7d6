//! Which of the configured drivers are alive: the SWIM protocol by the `foca` library, without its sockets and clocks.
//!
//! A driver is identified by its name in the operators' file, at one address. Its incarnation distinguishes its starts: a
//! later one replaces what others remember of an earlier one. If the host's clock went back over a restart, peers that
//! know a later incarnation say so in each datagram, and the driver continues above it.

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

/// Intervals of failure detection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipTiming {
    /// Time between two health checks, each of another peer.
    pub probe_interval: TimeSpan,
    /// How long a suspected peer may refute before it is down.
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

/// A protocol message to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Index of the peer.
    pub peer: usize,
    /// Opaque bytes of the protocol.
    pub data: Vec<u8>,
}

/// A peer's state has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStateChange {
    /// Index of the peer.
    pub peer: usize,
    /// Its former state.
    pub from: PeerState,
    /// Its new state.
    pub to: PeerState,
}

/// Orders timers by when they are due, then by when they were submitted.
type TimerKey = (Timestamp, u64);

type FocaInstance = Foca<NodeIdentity, PostcardCodec, SeededRng, NoCustomBroadcast>;

/// The membership protocol of one driver. Peers are referred to by their index in the configuration.
pub struct Membership {
    foca: FocaInstance,
    peers: Vec<Peer>,
    timers: BTreeMap<TimerKey, Timer<NodeIdentity>>,
    timer_count: u64,
    next_announce_at: Timestamp,
    last_announced: usize,
    timing: MembershipTiming,
}

/// Longest message of the protocol in bytes, so that it shares a datagram with others.
pub const MAX_MESSAGE_BYTES: usize = 900;

/// How often the protocol repeats each update.
const MAX_TRANSMISSIONS: u8 = 8;
/// A member that is down is forgotten after this many suspicion timeouts.
const REMOVE_DOWN_FACTOR: u64 = 30;
/// The part of the probe interval within which a direct answer is expected.
const PROBE_ROUND_TRIP: f64 = 0.4;
/// A suspicion that lasts longer than this many timeouts is ended here.
const STALE_SUSPICION_FACTOR: f64 = 2.0;
/// Unreachable peers that are contacted in each probe interval.
const ANNOUNCED_PER_INTERVAL: usize = 2;

fn foca_config(timing: MembershipTiming) -> Config {
    let duration = |span: TimeSpan| Duration::from_micros(span.0);
    let remove_down_after = TimeSpan(timing.suspicion_timeout.0.saturating_mul(REMOVE_DOWN_FACTOR));
    let mut config = Config::simple();
    config.probe_period = duration(timing.probe_interval);
    config.probe_rtt = duration(timing.probe_interval * PROBE_ROUND_TRIP);
    config.suspect_to_down_after = duration(timing.suspicion_timeout);
    config.remove_down_after = Some(duration(remove_down_after));
    config.max_packet_size = NonZeroUsize::new(MAX_MESSAGE_BYTES).unwrap_or(NonZeroUsize::MIN);
    config.max_transmissions = NonZeroU8::new(MAX_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN);
    config.notify_down_members = true;
    config
}

impl Membership {
    /// `names` are the configured peers; equal seeds and inputs give equal outputs.
    pub fn new(
        own: NodeIdentity,
        names: &[String],
        timing: MembershipTiming,
        seed: u64,
        now: Timestamp,
    ) -> Membership {
        Membership {
            foca: Foca::new(own, foca_config(timing), SeededRng::new(seed), PostcardCodec),
            peers: names.iter().cloned().map(Peer::new).collect(),
            timers: BTreeMap::new(),
            timer_count: 0,
            next_announce_at: now,
            last_announced: 0,
            timing,
        }
    }

    /// This driver's identity.
    pub fn identity(&self) -> &NodeIdentity {
        self.foca.identity()
    }

    /// All configured peers in their order.
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// The index of the peer with this name.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.peers.iter().position(|peer| peer.name == name)
    }

    /// Indices of peers that are alive or suspected.
    pub fn reachable(&self) -> impl Iterator<Item = usize> + '_ {
        let peers = self.peers.iter().enumerate();
        peers
            .filter(|(_, peer)| peer.state.is_reachable())
            .map(|(index, _)| index)
    }

    /// When [`Membership::advance_to`] is due next.
    pub fn next_at(&self) -> Timestamp {
        let next_timer = self.timers.first_key_value().map(|((at, _), _)| *at);
        next_timer.map_or(self.next_announce_at, |at| at.min(self.next_announce_at))
    }

    /// Notes the header of a datagram that the peer sent at `sent` by its own clock.
    pub fn on_datagram(
        &mut self,
        now: Timestamp,
        peer: usize,
        incarnation: u64,
        sent: Timestamp,
        caught_up: bool,
    ) {
        let peer = &mut self.peers[peer];
        peer.record_arrival(now, sent, incarnation);
        peer.caught_up = caught_up;
    }

    /// Handles a protocol message; returns the answers.
    pub fn on_message(&mut self, now: Timestamp, data: &[u8]) -> Vec<OutgoingMessage> {
        let mut output = RuntimeOutput::default();
        // An invalid message is skipped like a lost one.
        let _ = self.foca.handle_data(data, &mut output);
        self.apply_output(now, output)
    }

    /// Takes an incarnation above one that peers remember of this driver.
    pub fn supersede(&mut self, now: Timestamp, incarnation: u64) -> Vec<OutgoingMessage> {
        let mut output = RuntimeOutput::default();
        let own = NodeIdentity {
            name: self.identity().name.clone(),
            incarnation: incarnation + 1,
        };
        let _ = self.foca.change_identity(own, &mut output);
        self.apply_output(now, output)
    }

    /// Tells peers that this driver shuts down.
    pub fn leave(&mut self, now: Timestamp) -> Vec<OutgoingMessage> {
        let mut output = RuntimeOutput::default();
        let _ = self.foca.leave_cluster(&mut output);
        self.apply_output(now, output)
    }

    /// Runs everything that is due; returns the messages to send.
    pub fn advance_to(&mut self, now: Timestamp) -> Vec<OutgoingMessage> {
        let mut messages = self.run_due_timers(now);
        if self.next_announce_at <= now {
            self.next_announce_at = now + self.timing.probe_interval;
            messages.extend(self.announce_to_unreachable(now));
            messages.extend(self.end_stale_suspicions(now));
        }
        messages
    }

    /// Timers that these timers submit run at the next call, so that a delayed driver runs each once.
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

    /// Declares peers down that stayed suspected for too long.
    ///
    /// The library drops the timer that ends a suspicion when this driver is itself declared down and returns under a new
    /// incarnation, and it doesn't tell the suspected peer again. Without this the peer would stay suspected although
    /// it answers. A peer declared down learns that from the next message and returns.
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

    /// Contacts unreachable peers in rotation, so that one that starts or returns from a partition is found.
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

    /// Schedules the library's timers and addresses its messages.
    fn apply_output(&mut self, now: Timestamp, mut output: RuntimeOutput) -> Vec<OutgoingMessage> {
        if std::mem::take(&mut output.is_defunct) {
            // Usually the library renews the identity itself; where it couldn't, this does.
            if let Some(own) = self.foca.identity().renew() {
                let _ = self.foca.change_identity(own, &mut output);
            }
        }
        for pending in output.timers {
            self.timer_count += 1;
            let after = TimeSpan(u64::try_from(pending.after.as_micros()).unwrap_or(u64::MAX));
            self.timers.insert((now + after, self.timer_count), pending.timer);
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

    /// Reads peers' states from the library; returns those that changed since the last call.
    pub fn poll_changes(&mut self, now: Timestamp) -> Vec<PeerStateChange> {
        let latest = latest_members(&self.foca);
        let mut changes = Vec::new();
        for (index, peer) in self.peers.iter_mut().enumerate() {
            let to = match (latest.get(peer.name.as_str()), peer.state) {
                (Some(member), _) => member.state,
                (None, PeerState::Unknown) => PeerState::Unknown,
                // The library forgets members that have been down for long.
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

/// The latest incarnation of a driver that the library knows.
struct LatestMember {
    incarnation: u64,
    state: PeerState,
}

/// For each name its latest incarnation, in the best state that is known of it.
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
