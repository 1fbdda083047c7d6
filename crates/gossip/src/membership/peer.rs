//! What is known of one configured peer.

use asterlatch::time::{TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};

/// The membership state of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PeerState {
    /// Nothing was ever received from it.
    Unknown,
    /// It answers.
    Alive,
    /// It doesn't answer, but may refute that in time.
    Suspect,
    /// It left or didn't refute a suspicion in time.
    Down,
}

impl PeerState {
    /// The name shown to operators and in log lines.
    pub fn name(self) -> &'static str {
        match self {
            PeerState::Unknown => "unheard",
            PeerState::Alive => "there",
            PeerState::Suspect => "suspected",
            PeerState::Down => "gone",
        }
    }

    /// Whether datagrams sent to it have a chance to arrive.
    pub fn is_reachable(self) -> bool {
        matches!(self, PeerState::Alive | PeerState::Suspect)
    }
}

/// How far two clocks may drift apart, as a fraction of the time passed. Ten times what real clocks do.
const CLOCK_DRIFT: f64 = 0.0005;

/// The smallest difference seen between a datagram's arrival by this clock and its sending by the sender's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
struct MinOffset {
    /// In microseconds; negative where the sender's clock is ahead.
    micros: i128,
    measured_at: Timestamp,
}

/// A configured peer.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Name of the peer.
    pub name: String,
    /// Its membership state.
    pub state: PeerState,
    /// When that state began.
    pub state_since: Timestamp,
    /// Its latest known incarnation; zero if it was never heard.
    pub incarnation: u64,
    /// When its last datagram was received.
    pub last_received_at: Option<Timestamp>,
    /// Whether it reports that its copy of the replicated state is complete.
    pub caught_up: bool,
    /// How much longer than usual its last datagram took, or lay unread here.
    pub delay: TimeSpan,
    min_offset: Option<MinOffset>,
}

impl Peer {
    pub(super) fn new(name: String) -> Peer {
        Peer {
            name,
            state: PeerState::Unknown,
            state_since: Timestamp(0),
            incarnation: 0,
            last_received_at: None,
            caught_up: false,
            delay: TimeSpan(0),
            min_offset: None,
        }
    }

    /// Notes a datagram that was sent at `sent` by the peer's clock, and estimates its delay.
    ///
    /// Both clocks may be set to any time but run at about the same speed. So a difference above the smallest one seen
    /// is a delay, and records in the datagram are older by that.
    pub(super) fn record_arrival(&mut self, now: Timestamp, sent: Timestamp, incarnation: u64) {
        if incarnation != self.incarnation {
            self.min_offset = None;
        }
        let offset = i128::from(now.0) - i128::from(sent.0);
        let smallest = self.min_offset.map_or(offset, |known| {
            let drift = (now - known.measured_at) * CLOCK_DRIFT;
            offset.min(known.micros + i128::from(drift.0))
        });
        self.min_offset = Some(MinOffset {
            micros: smallest,
            measured_at: now,
        });
        self.delay = TimeSpan(u64::try_from(offset - smallest).unwrap_or(0));
        self.incarnation = incarnation;
        self.last_received_at = Some(now);
    }
}
