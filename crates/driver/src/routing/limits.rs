//! Limits of the service that its operators may set: shares, times and rates. The values here are the defaults where
//! they say nothing.

use asterlatch::time::TimeSpan;

/// A part of a whole, in millionths: shares are compared and multiplied without rounding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part(pub u32);

impl Part {
    pub fn of(self, whole: usize) -> usize {
        (whole as u128 * u128::from(self.0) / 1_000_000) as usize
    }

    pub fn ratio(self) -> f64 {
        f64::from(self.0) / 1e6
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Descriptors kept for what is neither a client's nor a member's.
    pub reserve: usize,
    /// Part of the other descriptors that is clients': one that waits for its turn has no execution out.
    pub clients: Part,
    /// Parts of the memory that clients may fill, with what they sent and what they leave unread, and members.
    pub clients_memory: Part,
    pub members_memory: Part,
    /// From a client's arrival to its first whole statement. Whoever says nothing, or not enough, holds a place that
    /// somebody else may need.
    pub first_statement: TimeSpan,
    /// From the first byte of a message to its last.
    pub message: TimeSpan,
    /// Between two statements.
    pub rest: TimeSpan,
    /// Less from these parts on of all places that those who have asked hold, the fullest first. Clients that ask
    /// once and stay would else keep those out that are still to ask: they may hold a part of the descriptors only,
    /// and wait for it.
    pub rest_among: [(Part, TimeSpan); 2],
    /// Who came within this may have sent its first statement already.
    pub just_came: TimeSpan,
    /// A failed accept is tried again after this.
    pub accept_again: TimeSpan,
    /// A client's wait is never taken for longer.
    pub longest_timeout: TimeSpan,
    /// Part of the settings' idle time after which a connection is no longer used: what is written to one that its
    /// machine has closed ends as a loss.
    pub member_idle: Part,
    /// How long a watch may wait for news, and how much longer its answer may take. A connection may fall silent
    /// without a sign: for as long as both nothing is heard of members that come and go.
    pub watch: TimeSpan,
    pub watch_late: TimeSpan,
    /// A list that is asked for without waiting comes at once, or discovery is silent.
    pub list_late: TimeSpan,
    /// Pauses after a failed call.
    pub first_pause: TimeSpan,
    pub longest_pause: TimeSpan,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            reserve: 48,
            clients: Part(666_667),
            clients_memory: Part(250_000),
            members_memory: Part(250_000),
            first_statement: TimeSpan::millis(2500),
            message: TimeSpan::millis(2500),
            rest: TimeSpan::millis(10_000),
            rest_among: [
                (Part(400_000), TimeSpan::millis(100)),
                (Part(250_000), TimeSpan::millis(2200)),
            ],
            just_came: TimeSpan::millis(300),
            accept_again: TimeSpan::millis(50),
            longest_timeout: TimeSpan::millis(86_400_000),
            member_idle: Part(850_000),
            watch: TimeSpan::millis(2000),
            watch_late: TimeSpan::millis(1000),
            list_late: TimeSpan::millis(1000),
            first_pause: TimeSpan::millis(100),
            longest_pause: TimeSpan::millis(2000),
        }
    }
}

/// What holds for the statements of one workload beyond that; nothing where nothing is said.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkloadLimits {
    /// The client's own timeout counts for no more than this.
    pub timeout: Option<TimeSpan>,
    /// Bytes of a statement.
    pub longest: Option<usize>,
}
