//! State of one configured peer.

use asterlatch::time::{TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};

/// The membership state of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PeerState {
    /// No message of it was ever received.
    Unknown,
    /// It responds to probes.
    Alive,
    /// It didn't respond to a probe, but may still refute the suspicion.
    Suspect,
    /// It left, or didn't refute a suspicion in time.
    Down,
}

impl PeerState {
    /// Name shown to operators and in log lines.
    pub fn name(self) -> &'static str {
        match self {
            PeerState::Unknown => "unheard",
            PeerState::Alive => "there",
            PeerState::Suspect => "suspected",
            PeerState::Down => "gone",
        }
    }

    /// Whether the peer is expected to receive datagrams.
    pub fn is_reachable(self) -> bool {
        matches!(self, PeerState::Alive | PeerState::Suspect)
    }
}

/// Assumed drift of two clocks, as a fraction of the elapsed time; a multiple of what real clocks have.
const MAX_CLOCK_DRIFT: f64 = 0.0005;

/// The smallest observed difference between the arrival time of a datagram and its send time by the sender's
/// clock.
#[derive(Clone, Copy, Debug, PartialEq)]
struct MinOffset {
    /// Negative if the sender's clock is ahead.
    micros: i128,
    measured_at: Timestamp,
}

/// A configured peer.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Name in the operators' file.
    pub name: String,
    /// Membership state.
    pub state: PeerState,
    /// When `state` last changed.
    pub state_since: Timestamp,
    /// Latest known incarnation; zero if no datagram was ever received.
    pub incarnation: u64,
    /// When the last datagram was received.
    pub last_received_at: Option<Timestamp>,
    /// Whether the peer reports that its copy of the replicated state is complete.
    pub caught_up: bool,
    /// Estimated excess delay of the last datagram, in transit or unread in the receive buffer.
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

    /// Records a datagram that was sent at `sent_at` by the peer's clock, and estimates its delay.
    ///
    /// The clocks may show any time but run at about the same rate. So an offset above the smallest one
    /// observed is a delay, and records in the datagram are older by it.
    pub(super) fn record_arrival(&mut self, now: Timestamp, sent_at: Timestamp, incarnation: u64) {
        if incarnation != self.incarnation {
            self.min_offset = None;
        }
        let offset = i128::from(now.0) - i128::from(sent_at.0);
        let smallest = self.min_offset.map_or(offset, |known| {
            let drift = (now - known.measured_at) * MAX_CLOCK_DRIFT;
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
