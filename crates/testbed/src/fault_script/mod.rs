//! Fault scripts: one fault per line, with its start and duration.
//!
//! ```text
//! 2s member 3 slow 50ms for 1s
//! 3s primary of 1 hangs for 500ms
//! 4s group 2 switches to 7
//! 5s driver 2 is killed for 3s
//! 5s driver 3 stops for 1s
//! 5s driver 1 hears no list for 4s
//! 6s link 1 to 2 is cut for 2s
//! 6s split 1 2 from 3 4 5 for 8s
//! 7s links lose 30% for 5s
//! ```
//!
//! Times count from the start of the load. A script has no state: callers query which faults are active at a
//! time.

mod parse;

use asterlatch::time::TimeSpan;
pub use parse::{ParseError, ParseErrorKind};

/// A fault of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberFault {
    /// Adds this delay to each statement.
    Slow(TimeSpan),
    /// Accepts connections and statements but never answers.
    Unresponsive,
    /// Closes all connections, open and new.
    Down,
    /// Answers with an error that doesn't tell whether the statement was executed.
    Failing,
    /// Executes statements and closes the connection instead of answering.
    DropsAnswers,
    /// Its log position is behind the primary by this time.
    Lagging(TimeSpan),
    /// Discovery lists it as draining.
    Draining,
    /// Closes idle connections.
    ClosesIdle,
    /// Resets an idle connection when the next message arrives, without reading it.
    ResetsIdle,
    /// Neither executes nor answers what arrives on an idle connection, and leaves it open.
    ForgetsIdle,
    /// Neither executes nor answers every second statement with a short remaining time.
    DropsShort,
    /// Discovery lists it as started when the fault begins, which puts it into slow start.
    WarmingUp,
}

/// The member that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// Member by number, from 1.
    Member(u32),
    /// The current primary of this group.
    Primary(u32),
}

/// One line of a script.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultEvent {
    /// A member's fault.
    Member {
        /// The affected member.
        target: Target,
        /// Kind of the fault.
        fault: MemberFault,
        /// Start time.
        from: TimeSpan,
        /// End time, exclusive.
        until: TimeSpan,
    },
    /// The group's primary changes.
    PrimaryChange {
        /// Group number, from 1.
        group: u32,
        /// Member number of the new primary.
        to: u32,
        /// Time of the change.
        at: TimeSpan,
    },
    /// A fault of one process of the program.
    Driver {
        /// Driver number, from 1.
        driver: u32,
        /// Kind of the fault.
        fault: DriverFault,
        /// Start time.
        from: TimeSpan,
        /// End time, exclusive.
        until: TimeSpan,
    },
    /// A fault of the network links between drivers.
    Link {
        /// Senders; empty for all drivers.
        from_drivers: Vec<u32>,
        /// Receivers; empty for all drivers.
        to_drivers: Vec<u32>,
        /// Whether the fault also affects the reverse direction.
        both_ways: bool,
        /// Kind of the fault.
        fault: LinkFault,
        /// Start time.
        from: TimeSpan,
        /// End time, exclusive.
        until: TimeSpan,
    },
}

/// A fault of one process of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DriverFault {
    /// SIGKILL at the start, restart at the end.
    Killed,
    /// SIGSTOP at the start, SIGCONT at the end.
    Stopped,
    /// Discovery doesn't answer the driver.
    DiscoveryStalled,
    /// Discovery closes the driver's connections without an answer.
    DiscoveryRefused,
    /// Discovery sends its responses in pieces, spread over this time.
    DiscoveryDelayed(TimeSpan),
    /// Discovery answers the drivers with this fault one at a time, each after this delay.
    DiscoveryCrowded(TimeSpan),
    /// Discovery's responses have no `Content-Length`; the end of the connection ends them.
    DiscoveryWithoutLength,
    /// This many SIGHUPs between start and end, each after a change of the discovery address in the
    /// configuration.
    Reloaded(u32),
    /// The driver's clock is ahead by this many seconds from its next start on; negative: behind.
    ClockOffset(i64),
    /// SIGKILL at the start, restart at the end with a copy of this driver's shared log.
    RestartedOnDiskOf(u32),
    /// SIGKILL at the start, restart at the end as a build with a later version of the gossip protocol.
    LaterBuild,
}

/// How a link disturbs datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Drops all datagrams.
    Cut,
    /// Delays each datagram by this time.
    Delay(TimeSpan),
    /// Drops this many datagrams per thousand.
    Loss(u32),
    /// Flips a bit in this many datagrams per thousand.
    Corruption(u32),
}

/// All active faults of a link in one direction, combined: the maximum of each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkState {
    /// All datagrams are dropped.
    pub cut: bool,
    /// Delay of each datagram.
    pub delay: TimeSpan,
    /// Dropped datagrams per thousand.
    pub loss_per_mille: u32,
    /// Datagrams with a flipped bit per thousand.
    pub corruption_per_mille: u32,
}

/// A parsed script: its fault events in the order of their lines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultScript(pub Vec<FaultEvent>);

/// A fault of a driver with its start and end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledDriverFault {
    /// Driver number, from 1.
    pub driver: u32,
    /// Kind of the fault.
    pub fault: DriverFault,
    /// Start time.
    pub from: TimeSpan,
    /// End time, exclusive.
    pub until: TimeSpan,
}

impl FaultScript {
    /// The group's primary at `now` and the time since which it is; `initial` until the script changes it.
    pub fn primary(&self, now: TimeSpan, group: u32, initial: u32) -> (u32, TimeSpan) {
        let changes = self.0.iter().filter_map(|event| match event {
            FaultEvent::PrimaryChange { group: g, to, at } if *g == group && *at <= now => Some((*at, *to)),
            _ => None,
        });
        changes
            .max_by_key(|(at, _)| *at)
            .map_or((initial, TimeSpan(0)), |(at, to)| (to, at))
    }

    /// Active faults of a member at `now`, each with its start time.
    pub fn faults(
        &self,
        now: TimeSpan,
        member: u32,
        is_primary_of: Option<u32>,
    ) -> impl Iterator<Item = (MemberFault, TimeSpan)> + '_ {
        self.0.iter().filter_map(move |event| match event {
            FaultEvent::Member {
                target,
                fault,
                from,
                until,
            } if (*from..*until).contains(&now) => {
                let is_target = match target {
                    Target::Member(m) => *m == member,
                    Target::Primary(g) => is_primary_of == Some(*g),
                };
                is_target.then_some((*fault, *from))
            }
            _ => None,
        })
    }

    /// Time of a member's last restart, up to `now`.
    pub fn last_start(&self, now: TimeSpan, member: u32) -> Option<TimeSpan> {
        let starts = self.0.iter().filter_map(|event| match event {
            FaultEvent::Member {
                target: Target::Member(m),
                fault: MemberFault::WarmingUp,
                from,
                ..
            } if *m == member && *from <= now => Some(*from),
            _ => None,
        });
        starts.max()
    }

    /// Time of the first change of the endpoint list after `now`: a drain begins or ends, or a member is
    /// restarted.
    pub fn next_endpoint_list_change(&self, now: TimeSpan) -> Option<TimeSpan> {
        let times = self.0.iter().filter_map(|event| match event {
            FaultEvent::Member {
                fault: MemberFault::Draining | MemberFault::WarmingUp,
                from,
                until,
                ..
            } => Some([*from, *until]),
            _ => None,
        });
        times.flatten().filter(|at| *at > now).min()
    }

    /// All faults of drivers, sorted by start time and driver.
    pub fn driver_faults(&self) -> Vec<ScheduledDriverFault> {
        let all = self.0.iter().filter_map(|event| match event {
            FaultEvent::Driver {
                driver,
                fault,
                from,
                until,
            } => Some(ScheduledDriverFault {
                driver: *driver,
                fault: *fault,
                from: *from,
                until: *until,
            }),
            _ => None,
        });
        let mut all: Vec<_> = all.collect();
        all.sort_by_key(|scheduled| (scheduled.from, scheduled.driver));
        all
    }

    /// Whether a driver has this fault at `now`.
    pub fn has_driver_fault(&self, now: TimeSpan, driver: u32, fault: DriverFault) -> bool {
        self.driver_faults().iter().any(|scheduled| {
            scheduled.driver == driver
                && scheduled.fault == fault
                && (scheduled.from..scheduled.until).contains(&now)
        })
    }

    /// Active faults of a driver at `now`.
    pub fn faults_of_driver(&self, now: TimeSpan, driver: u32) -> impl Iterator<Item = DriverFault> {
        let faults = self.driver_faults().into_iter();
        let is_active =
            move |s: &ScheduledDriverFault| s.driver == driver && (s.from..s.until).contains(&now);
        faults.filter(is_active).map(|scheduled| scheduled.fault)
    }

    /// Whether the script gives this fault to any member.
    pub fn mentions(&self, sought: MemberFault) -> bool {
        let is_sought =
            |event: &FaultEvent| matches!(event, FaultEvent::Member { fault, .. } if *fault == sought);
        self.0.iter().any(is_sought)
    }

    /// Combined faults at `now` of the link from driver `sender` to driver `receiver`.
    pub fn link_state(&self, now: TimeSpan, sender: u32, receiver: u32) -> LinkState {
        let mut state = LinkState::default();
        for event in &self.0 {
            let FaultEvent::Link {
                from_drivers,
                to_drivers,
                both_ways,
                fault,
                from,
                until,
            } = event
            else {
                continue;
            };
            let matches = |drivers: &[u32], driver: u32| drivers.is_empty() || drivers.contains(&driver);
            let forward = matches(from_drivers, sender) && matches(to_drivers, receiver);
            let backward = *both_ways && matches(from_drivers, receiver) && matches(to_drivers, sender);
            if (*from..*until).contains(&now) && (forward || backward) {
                state.add(*fault);
            }
        }
        state
    }
}

impl LinkState {
    fn add(&mut self, fault: LinkFault) {
        match fault {
            LinkFault::Cut => self.cut = true,
            LinkFault::Delay(delay) => self.delay = self.delay.max(delay),
            LinkFault::Loss(per_mille) => self.loss_per_mille = self.loss_per_mille.max(per_mille),
            LinkFault::Corruption(per_mille) => {
                self.corruption_per_mille = self.corruption_per_mille.max(per_mille)
            }
        }
    }
}
