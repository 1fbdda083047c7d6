//! What goes into a gossip node and what comes out of it.

use crate::codec::{Dialect, InquiryId};
use crate::in_doubt::DispatchStatus;
use crate::membership::{MembershipTiming, PeerStateChange};
use crate::record::Record;
use asterlatch::time::{TimeSpan, Timestamp};
use std::fmt;

/// Settings of a gossip node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name of the fleet; datagrams of other fleets are rejected.
    pub fleet: String,
    /// Name of this driver.
    pub name: String,
    /// Names of the other drivers. Their order gives the peer indices.
    pub peers: Vec<String>,
    /// Time between two disseminations of new records.
    pub gossip_interval: TimeSpan,
    /// How many peers each of them goes to.
    pub fanout: usize,
    /// Time between two anti-entropy rounds.
    pub anti_entropy_interval: TimeSpan,
    /// Limit of all that is sent.
    pub bytes_per_second: u64,
    /// Intervals of failure detection.
    pub membership: MembershipTiming,
    /// How long an inquiry is repeated to peers that haven't answered.
    pub inquiry_timeout: TimeSpan,
    /// Hash of the operators' file in force.
    pub operators_file: u64,
    /// In which version's format datagrams are written.
    pub dialect: Dialect,
}

/// A record that this driver observed itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// The record.
    pub record: Record,
    /// How long ago it was observed.
    pub age: TimeSpan,
}

impl Observation {
    /// A record that is observed right now.
    pub fn now(record: Record) -> Observation {
        let age = TimeSpan(0);
        Observation { record, age }
    }
}

/// An input of a gossip node. Peers are referred to by their index in [`NodeSettings::peers`].
#[derive(Clone, Debug, PartialEq)]
pub enum NodeInput<'a> {
    /// A datagram was received.
    Datagram {
        /// The peer whose address it came from.
        from: usize,
        /// The datagram.
        bytes: &'a [u8],
    },
    /// This driver observed something.
    Observed(Vec<Observation>),
    /// Ask all peers whether they dispatched a statement.
    StartInquiry(InquiryId),
    /// The answers are no longer needed.
    EndInquiry(InquiryId),
    /// Answer a peer's inquiry.
    ReplyToInquiry {
        /// The peer.
        to: usize,
        /// Its inquiry.
        inquiry: InquiryId,
        /// What this driver knows.
        status: DispatchStatus,
    },
    /// The endpoint list of this version is in force.
    ListVersion(u64),
    /// This driver shuts down; peers are notified.
    Leave,
    /// Time has passed.
    Tick,
}

/// Why a peer's datagrams are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IgnoreReason {
    /// It exceeds its rate limit.
    RateExceeded,
    /// It claims a name that isn't configured for its address.
    ForeignName,
}

impl fmt::Display for IgnoreReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            IgnoreReason::RateExceeded => "it exceeds its rate limit",
            IgnoreReason::ForeignName => "it uses a name that isn't configured for its address",
        })
    }
}

/// An output of a gossip node.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeOutput {
    /// Send a datagram.
    Send {
        /// The receiving peer.
        to: usize,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// A peer's record changed the replicated state.
    RecordLearned {
        /// The merged record.
        record: Record,
        /// When it was observed, by this driver's clock.
        observed_at: Timestamp,
    },
    /// A peer asks about a statement.
    InquiryReceived {
        /// The peer.
        from: usize,
        /// Its inquiry.
        inquiry: InquiryId,
    },
    /// A peer answered an inquiry of this driver.
    InquiryReplied {
        /// The peer.
        from: usize,
        /// The inquiry.
        inquiry: InquiryId,
        /// What the peer knows.
        status: DispatchStatus,
    },
    /// A peer's membership state changed.
    PeerStateChanged(PeerStateChange),
    /// Whether this driver's copy is complete has changed or was reset.
    CaughtUp(bool),
    /// Datagrams of a peer are ignored.
    PeerIgnored {
        /// The peer.
        peer: usize,
        /// Why.
        reason: IgnoreReason,
    },
}

/// Counters since the start of the node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GossipMetrics {
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Datagrams received from configured peers.
    pub datagrams_received: u64,
    /// Bytes received from configured peers.
    pub bytes_received: u64,
    /// Datagrams that were damaged or of another fleet.
    pub malformed: u64,
    /// Datagrams of a version that isn't understood.
    pub unknown_version: u64,
    /// Datagrams of peers that exceeded their rate limit.
    pub ignored: u64,
    /// Records sent, counted once a receiver.
    pub records_sent: u64,
    /// Records received.
    pub records_received: u64,
    /// Received records that changed the state.
    pub records_new: u64,
    /// Records that were expired or invalid.
    pub records_rejected: u64,
    /// Completed anti-entropy rounds of this driver.
    pub rounds: u64,
}
