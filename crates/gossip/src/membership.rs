//! NodeIdentity of the configured drivers is there: SWIM by the `foca` library, without its sockets and clocks; and what only this
//! program asks of a peer: how much later than usual its word comes, and whether it has caught up.
//!
//! A driver is named by the operators' file, at one address. Its incarnation tells its starts apart: a later one wins over a
//! former one's memory in others. Where the machine's clock went back over a restart, a peer that knows a later incarnation says
//! so in each datagram, and the driver takes one above it.

use asterlatch::time::{TimeSpan, Timestamp};
use foca::{Config, Foca, Identity, Member, NoCustomBroadcast, PostcardCodec, State, Timer};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// A driver in one of its lives.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeIdentity {
    pub name: String,
    pub incarnation: u64,
}

impl Identity for NodeIdentity {
    type Addr = String;

    /// Others believe it is gone: it comes back as one that has just begun.
    fn renew(&self) -> Option<NodeIdentity> {
        let (name, incarnation) = (self.name.clone(), self.incarnation + 1);
        Some(NodeIdentity { name, incarnation })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, adversary: &NodeIdentity) -> bool {
        self.incarnation > adversary.incarnation
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PeerState {
    /// Nothing has ever come from it.
    NeverHeard,
    Alive,
    Suspect,
    Down,
}

impl PeerState {
    pub fn name(self) -> &'static str {
        match self {
            PeerState::NeverHeard => "unheard",
            PeerState::Alive => "there",
            PeerState::Suspect => "suspected",
            PeerState::Down => "gone",
        }
    }
}

/// How long the parts of finding out take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipTiming {
    /// One peer is asked whether it lives, each time another one.
    pub probe_interval: TimeSpan,
    /// A suspected one is gone after this.
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

/// A clock's drift moves the min_offset delay seen up by so much of the time that passed: a millionth is a second in eleven days,
/// this is ten timing worse than clocks are.
const CLOCK_DRIFT: f64 = 0.0005;

/// What is known of a configured peer.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    pub name: String,
    pub state: PeerState,
    pub state_since: Timestamp,
    /// The latest incarnation that was last_heard.
    pub incarnation: u64,
    pub last_heard: Option<Timestamp>,
    pub caught_up: bool,
    /// The min_offset difference seen between when its word came by this clock and left by its own, and when.
    min_offset: Option<(i128, Timestamp)>,
    /// How much later than that the last one came.
    pub delay: TimeSpan,
}

impl Peer {
    fn new(name: String) -> Peer {
        Peer {
            name,
            state: PeerState::NeverHeard,
            state_since: Timestamp(0),
            incarnation: 0,
            last_heard: None,
            caught_up: false,
            min_offset: None,
            delay: TimeSpan(0),
        }
    }

    /// A datagram came that left at this point of its sender's clock. Both clocks run, wherever they stand: what comes later
    /// than ever before, by their difference, was held up on the way or lay unread here, and what it tells is older by that.
    fn record_arrival(&mut self, now: Timestamp, sent: Timestamp, incarnation: u64) {
        if incarnation != self.incarnation {
            self.min_offset = None;
        }
        let difference = i128::from(now.0) - i128::from(sent.0);
        let min_offset = self.min_offset.map_or(difference, |(min_offset, at)| {
            let drift = ((now - at) * CLOCK_DRIFT).0;
            difference.min(min_offset + i128::from(drift))
        });
        self.min_offset = Some((min_offset, now));
        self.delay = TimeSpan(u64::try_from(difference - min_offset).unwrap_or(0));
        (self.incarnation, self.last_heard) = (incarnation, Some(now));
    }
}

/// Draws from the instance's seed.
struct SeededRng(fastrand::Rng);

impl rand::TryRng for SeededRng {
    type Error = Infallible;

    fn try_next_u32(&mut self) -> Result<u32, Infallible> {
        Ok(self.0.u32(..))
    }

    fn try_next_u64(&mut self) -> Result<u64, Infallible> {
        Ok(self.0.u64(..))
    }

    fn try_fill_bytes(&mut self, into: &mut [u8]) -> Result<(), Infallible> {
        self.0.fill(into);
        Ok(())
    }
}

/// Collects what the library output done.
#[derive(Default)]
struct RuntimeOutput {
    send: Vec<(String, Vec<u8>)>,
    later: Vec<(Duration, Timer<NodeIdentity>)>,
    is_defunct: bool,
}

impl foca::Runtime<NodeIdentity> for &mut RuntimeOutput {
    fn notify(&mut self, notification: foca::Notification<'_, NodeIdentity>) {
        // PeerState is read from the library's own table; only that others hold this one for gone is told nowhere else.
        self.is_defunct |= matches!(notification, foca::Notification::Defunct);
    }

    fn send_to(&mut self, to: NodeIdentity, data: &[u8]) {
        self.send.push((to.name, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<NodeIdentity>, after: Duration) {
        self.later.push((after, event));
    }
}

pub struct Membership {
    foca: Foca<NodeIdentity, PostcardCodec, SeededRng, NoCustomBroadcast>,
    peers: Vec<Peer>,
    timers: BTreeMap<(Timestamp, u64), Timer<NodeIdentity>>,
    timer_count: u64,
    next_announce_at: Timestamp,
    last_announced: usize,
    timing: MembershipTiming,
}

/// A change that is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerStateChange {
    pub peer: usize,
    pub from: PeerState,
    pub to: PeerState,
}

/// The longest message of the library: it goes into a datagram with others.
pub const MAX_MESSAGE_BYTES: usize = 900;

fn config(timing: MembershipTiming) -> Config {
    let of = |span: TimeSpan| Duration::from_micros(span.0);
    let mut config = Config::simple();
    config.probe_period = of(timing.probe_interval);
    config.probe_rtt = of(timing.probe_interval * 0.4);
    config.suspect_to_down_after = of(timing.suspicion_timeout);
    config.remove_down_after = Some(of(TimeSpan(timing.suspicion_timeout.0.saturating_mul(30))));
    config.max_packet_size = NonZeroUsize::new(MAX_MESSAGE_BYTES).unwrap_or(NonZeroUsize::MIN);
    config.max_transmissions = NonZeroU8::new(8).unwrap_or(NonZeroU8::MIN);
    config.notify_down_members = true;
    config
}

impl Membership {
    pub fn new(
        own: NodeIdentity,
        names: &[String],
        timing: MembershipTiming,
        seed: u64,
        now: Timestamp,
    ) -> Membership {
        let chance = SeededRng(fastrand::Rng::with_seed(seed));
        Membership {
            foca: Foca::new(own, config(timing), chance, PostcardCodec),
            peers: names.iter().cloned().map(Peer::new).collect(),
            timers: BTreeMap::new(),
            timer_count: 0,
            next_announce_at: now,
            last_announced: 0,
            timing,
        }
    }

    pub fn own(&self) -> &NodeIdentity {
        self.foca.identity()
    }

    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.peers.iter().position(|p| p.name == name)
    }

    /// Those that word can be sent to with hope.
    pub fn reachable(&self) -> impl Iterator<Item = usize> + '_ {
        let there = |p: &Peer| matches!(p.state, PeerState::Alive | PeerState::Suspect);
        self.peers
            .iter()
            .enumerate()
            .filter(move |(_, p)| there(p))
            .map(|(n, _)| n)
    }

    pub fn next_at(&self) -> Timestamp {
        let timer = self.timers.first_key_value().map(|((at, _), _)| *at);
        timer.map_or(self.next_announce_at, |at| at.min(self.next_announce_at))
    }

    /// A datagram of a peer came, that left at this point of its clock.
    pub fn on_datagram(
        &mut self,
        now: Timestamp,
        peer: usize,
        incarnation: u64,
        sent: Timestamp,
        caught_up: bool,
    ) {
        let p = &mut self.peers[peer];
        p.record_arrival(now, sent, incarnation);
        p.caught_up = caught_up;
    }

    /// What the library's messages say; what it output sent.
    pub fn on_message(&mut self, now: Timestamp, data: &[u8]) -> Vec<(usize, Vec<u8>)> {
        let mut output = RuntimeOutput::default();
        // What makes no sense to it is passed over, as whatever is lost.
        let _ = self.foca.handle_data(data, &mut output);
        self.apply_output(now, output)
    }

    /// Another incarnation of this driver is known to others: it goes on above that.
    pub fn supersede(&mut self, now: Timestamp, incarnation: u64) -> Vec<(usize, Vec<u8>)> {
        let mut output = RuntimeOutput::default();
        let own = NodeIdentity {
            name: self.own().name.clone(),
            incarnation: incarnation + 1,
        };
        let _ = self.foca.change_identity(own, &mut output);
        self.apply_output(now, output)
    }

    pub fn leave(&mut self, now: Timestamp) -> Vec<(usize, Vec<u8>)> {
        let mut output = RuntimeOutput::default();
        let _ = self.foca.leave_cluster(&mut output);
        self.apply_output(now, output)
    }

    /// Does what is due by the clock.
    pub fn advance_to(&mut self, now: Timestamp) -> Vec<(usize, Vec<u8>)> {
        let mut sent = Vec::new();
        // A driver that was held up has many due at once: what each does is due once.
        let due: Vec<_> = self.timers.range(..=(now, u64::MAX)).map(|(at, _)| *at).collect();
        for at in due {
            let Some(timer) = self.timers.remove(&at) else {
                continue;
            };
            let mut output = RuntimeOutput::default();
            let _ = self.foca.handle_timer(timer, &mut output);
            sent.extend(self.apply_output(now, output));
        }
        if self.next_announce_at <= now {
            self.next_announce_at = now + self.timing.probe_interval;
            sent.extend(self.announce(now));
            sent.extend(self.end_suspicions(now));
        }
        sent
    }

    /// NodeIdentity suspects keeps the timer that ends it, and the library drops that where its owner is itself held for gone and
    /// comes back under a new incarnation; nor does it tell the suspected one again. So that nobody stays suspected by somebody who
    /// answers it: after twice the time it counts as gone, is told so by its next word, and comes back.
    fn end_suspicions(&mut self, now: Timestamp) -> Vec<(usize, Vec<u8>)> {
        let is_old = |p: &&Peer| {
            p.state == PeerState::Suspect && now - p.state_since > self.timing.suspicion_timeout * 2.0
        };
        let old: Vec<&str> = self
            .peers
            .iter()
            .filter(is_old)
            .map(|p| p.name.as_str())
            .collect();
        let states = self.foca.iter_membership_state();
        let suspects = states.filter(|m| m.state() == State::Suspect && old.contains(&m.id().name.as_str()));
        let down: Vec<_> = suspects
            .map(|m| Member::new(m.id().clone(), m.incarnation(), State::Down))
            .collect();
        let mut output = RuntimeOutput::default();
        let _ = self.foca.apply_many(down.into_iter(), true, &mut output);
        self.apply_output(now, output)
    }

    /// Those who aren't there are called by turns: one that starts is found, and so is one behind a cut that has healed.
    fn announce(&mut self, now: Timestamp) -> Vec<(usize, Vec<u8>)> {
        let away = |p: &Peer| matches!(p.state, PeerState::NeverHeard | PeerState::Down);
        let turns = (1..=self.peers.len()).map(|n| (self.last_announced + n) % self.peers.len());
        let next: Vec<usize> = turns.filter(|n| away(&self.peers[*n])).take(2).collect();
        let mut sent = Vec::new();
        for n in next {
            self.last_announced = n;
            let mut output = RuntimeOutput::default();
            let p = &self.peers[n];
            let to = NodeIdentity {
                name: p.name.clone(),
                incarnation: p.incarnation,
            };
            let _ = self.foca.announce(to, &mut output);
            sent.extend(self.apply_output(now, output));
        }
        sent
    }

    fn apply_output(&mut self, now: Timestamp, mut output: RuntimeOutput) -> Vec<(usize, Vec<u8>)> {
        if std::mem::take(&mut output.is_defunct) {
            // The library renews by itself where it can; where it couldn't, it starts over.
            if let Some(own) = self.foca.identity().renew() {
                let _ = self.foca.change_identity(own, &mut output);
            }
        }
        for (after, timer) in output.later {
            self.timer_count += 1;
            let at = now + TimeSpan(u64::try_from(after.as_micros()).unwrap_or(u64::MAX));
            self.timers.insert((at, self.timer_count), timer);
        }
        let sent = output.send.into_iter();
        sent.filter_map(|(name, data)| Some((self.index_of(&name)?, data)))
            .collect()
    }

    /// Reads state from the library; what has changed.
    pub fn poll_changes(&mut self, now: Timestamp) -> Vec<PeerStateChange> {
        let mut states: BTreeMap<&str, (u64, PeerState)> = BTreeMap::new();
        for member in self.foca.iter_membership_state() {
            let state = match member.state() {
                State::Alive => PeerState::Alive,
                State::Suspect => PeerState::Suspect,
                State::Down => PeerState::Down,
            };
            let (name, incarnation) = (member.id().name.as_str(), member.id().incarnation);
            // Of several lives the last one counts.
            let known = states.entry(name).or_insert((incarnation, state));
            if incarnation > known.0 || incarnation == known.0 && state < known.1 {
                *known = (incarnation, state);
            }
        }
        let mut changes = Vec::new();
        for (n, p) in self.peers.iter_mut().enumerate() {
            let told = states.get(p.name.as_str()).map(|(_, state)| *state);
            // The library forgets those long gone.
            let to = told.unwrap_or(match p.state {
                PeerState::NeverHeard => PeerState::NeverHeard,
                _ => PeerState::Down,
            });
            if to != p.state {
                let from = std::mem::replace(&mut p.state, to);
                p.state_since = now;
                if to == PeerState::Down {
                    p.caught_up = false;
                }
                changes.push(PeerStateChange { peer: n, from, to });
            }
        }
        changes
    }
}
