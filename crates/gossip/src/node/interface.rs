//! Settings, inputs, outputs and metrics of a gossip node.

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
    /// Names of the other drivers; their positions are the peer indices.
    pub peers: Vec<String>,
    /// Interval at which new records are disseminated.
    pub gossip_interval: TimeSpan,
    /// Number of peers that receive each dissemination.
    pub fanout: usize,
    /// Interval at which anti-entropy rounds are started.
    pub anti_entropy_interval: TimeSpan,
    /// Rate limit on all sent datagrams.
    pub bytes_per_second: u64,
    /// Intervals and timeouts of failure detection.
    pub membership: MembershipTiming,
    /// How long an inquiry is repeated to peers that haven't replied.
    pub inquiry_timeout: TimeSpan,
    /// Hash of the applied operators' file.
    pub operators_file: u64,
    /// Format in which datagrams are written.
    pub dialect: Dialect,
}

/// A record that this driver has observed itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// The record.
    pub record: Record,
    /// Time since the observation.
    pub age: TimeSpan,
}

impl Observation {
    /// An observation of age zero.
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
        /// The peer that the source address belongs to.
        from: usize,
        /// Content of the datagram.
        bytes: &'a [u8],
    },
    /// This driver has observed records.
    Observed(Vec<Observation>),
    /// Inquire of all peers whether they have dispatched a statement.
    StartInquiry(InquiryId),
    /// Replies to the inquiry are no longer needed.
    EndInquiry(InquiryId),
    /// Reply to a peer's inquiry.
    ReplyToInquiry {
        /// The inquiring peer.
        to: usize,
        /// The peer's inquiry.
        inquiry: InquiryId,
        /// What this driver knows of the statement.
        status: DispatchStatus,
    },
    /// The endpoint list of this version is applied.
    ListVersion(u64),
    /// This driver is shutting down; peers are notified.
    Leave,
    /// Time has passed.
    Tick,
}

/// Why a peer's datagrams are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IgnoreReason {
    /// The peer exceeds its rate limit.
    RateExceeded,
    /// The datagram names a sender that isn't configured for the peer's address.
    SenderMismatch,
}

impl fmt::Display for IgnoreReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            IgnoreReason::RateExceeded => "rate limit exceeded",
            IgnoreReason::SenderMismatch => "sender name not configured for its address",
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
        /// Content of the datagram.
        bytes: Vec<u8>,
    },
    /// A record from a peer or from the snapshot has changed the replicated state.
    RecordLearned {
        /// The merged record.
        record: Record,
        /// When the record was observed, by this driver's clock.
        observed_at: Timestamp,
    },
    /// A peer inquires about a statement.
    InquiryReceived {
        /// The inquiring peer.
        from: usize,
        /// The peer's inquiry.
        inquiry: InquiryId,
    },
    /// A peer has replied to an inquiry of this driver.
    InquiryReplied {
        /// The replying peer.
        from: usize,
        /// This driver's inquiry.
        inquiry: InquiryId,
        /// What the peer knows of the statement.
        status: DispatchStatus,
    },
    /// A peer's membership state has changed.
    PeerStateChanged(PeerStateChange),
    /// Whether this driver's copy is complete. Sent on each change, and on each reset to `false`.
    CaughtUp(bool),
    /// Datagrams from a peer are ignored.
    PeerIgnored {
        /// The ignored peer.
        peer: usize,
        /// Why its datagrams are ignored.
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
    /// Received datagrams that were damaged or from another fleet.
    pub malformed: u64,
    /// Received datagrams of an unsupported version.
    pub unknown_version: u64,
    /// Datagrams ignored because the peer had exceeded its rate limit.
    pub ignored: u64,
    /// Records sent, counted once for each receiver.
    pub records_sent: u64,
    /// Records received.
    pub records_received: u64,
    /// Received or restored records that changed the state.
    pub records_new: u64,
    /// Records rejected as expired or invalid.
    pub records_rejected: u64,
    /// Completed anti-entropy rounds that this driver started.
    pub rounds: u64,
}
