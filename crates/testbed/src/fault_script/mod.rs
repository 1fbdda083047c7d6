//! Fault scripts: which fault holds when, one a line.
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
//! Times count from the start of the load. The script is stateless: callers ask what holds at a moment.

mod parse;

use asterlatch::time::TimeSpan;
pub use parse::{ParseError, ParseErrorKind};

/// A fault of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberFault {
    /// Each statement takes this much longer.
    Slow(TimeSpan),
    /// Accepts connections and statements, and never answers.
    Unresponsive,
    /// Closes each connection, open or new.
    Down,
    /// Answers with an error that leaves open whether the statement was executed.
    Failing,
    /// Executes statements and closes the connection instead of answering.
    DropsAnswers,
    /// Its log position is this far behind the primary.
    Lagging(TimeSpan),
    /// Discovery lists it as draining.
    Draining,
    /// Closes connections that have been idle for a moment.
    ClosesIdle,
    /// Resets a connection that was idle for a moment when a message comes on it, unread.
    ResetsIdle,
    /// Has forgotten a connection that was idle for a moment: what comes on it is neither executed nor answered.
    ForgetsIdle,
    /// Every second statement with little time left is neither executed nor answered.
    DropsShort,
    /// Discovery lists it as started at the fault's begin, so that it is in slow start.
    WarmingUp,
}

/// The member that a fault is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// By number, from 1.
    Member(u32),
    /// Whichever member is primary of this group at the time.
    Primary(u32),
}

/// One line of a script.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultEvent {
    /// A member's fault.
    Member {
        /// Who has the fault.
        target: Target,
        /// Which fault.
        fault: MemberFault,
        /// Begin.
        from: TimeSpan,
        /// End, exclusive.
        until: TimeSpan,
    },
    /// The group's primary changes.
    PrimaryChange {
        /// From 1.
        group: u32,
        /// The new primary.
        to: u32,
        /// When it takes over.
        at: TimeSpan,
    },
    /// A fault of one process of the program, numbered from 1.
    Driver {
        /// From 1.
        driver: u32,
        /// Which fault.
        fault: DriverFault,
        /// Begin.
        from: TimeSpan,
        /// End, exclusive.
        until: TimeSpan,
    },
    /// A fault of the links between processes of the program; an empty list means all of them.
    Link {
        /// Senders; empty for all drivers.
        from_drivers: Vec<u32>,
        /// Receivers; empty for all drivers.
        to_drivers: Vec<u32>,
        /// Whether the fault also holds from receivers to senders.
        both_ways: bool,
        /// Which fault.
        fault: LinkFault,
        /// Begin.
        from: TimeSpan,
        /// End, exclusive.
        until: TimeSpan,
    },
}

/// A fault of one process of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DriverFault {
    /// SIGKILL at the begin, restarted at the end.
    Killed,
    /// SIGSTOP at the begin, SIGCONT at the end.
    Stopped,
    /// Discovery doesn't answer it.
    DiscoveryStalled,
    /// Discovery closes its connections unanswered.
    DiscoveryRefused,
    /// Discovery answers it this much later, piece by piece.
    DiscoveryDelayed(TimeSpan),
    /// Discovery answers all that have this fault one after another, each taking this long.
    DiscoveryCrowded(TimeSpan),
    /// Discovery's answers to it have no length and end with their connection.
    DiscoveryWithoutLength,
    /// SIGHUP this many times within the span, each with a configuration that names another address of discovery.
    Reloaded(u32),
    /// From its next start on its clock is this many seconds ahead of the others (negative: behind).
    ClockOffset(i64),
    /// SIGKILL at the begin, restarted at the end on a copy of this driver's disk.
    RestartedOnDiskOf(u32),
    /// SIGKILL at the begin, restarted at the end as a build with a later version of the gossip wire.
    LaterBuild,
}

/// What a link does to datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Drops all of them.
    Cut,
    /// Delays each by this much.
    Delay(TimeSpan),
    /// Drops this many of a thousand.
    Loss(u32),
    /// Flips a bit in this many of a thousand.
    Corruption(u32),
}

/// All faults of a link in one direction, taken together: the largest of each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkState {
    /// All datagrams are dropped.
    pub cut: bool,
    /// Each datagram is delayed by this much.
    pub delay: TimeSpan,
    /// Datagrams dropped of a thousand.
    pub loss_per_mille: u32,
    /// Datagrams with a flipped bit of a thousand.
    pub corruption_per_mille: u32,
}

/// Fault events in the order of their lines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultScript(pub Vec<FaultEvent>);

/// A driver's fault and its span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledDriverFault {
    /// From 1.
    pub driver: u32,
    /// Which fault.
    pub fault: DriverFault,
    /// Begin.
    pub from: TimeSpan,
    /// Exclusive.
    pub until: TimeSpan,
}

impl FaultScript {
    /// The group's primary at `now` and since when; `first` until the script changes it.
    pub fn primary(&self, now: TimeSpan, group: u32, first: u32) -> (u32, TimeSpan) {
        let switches = self.0.iter().filter_map(|e| match e {
            FaultEvent::PrimaryChange { group: g, to, at } if *g == group && *at <= now => Some((*at, *to)),
            _ => None,
        });
        switches
            .max_by_key(|(at, _)| *at)
            .map_or((first, TimeSpan(0)), |(at, to)| (to, at))
    }

    /// Faults of a member at `now`, each with its begin.
    pub fn faults(
        &self,
        now: TimeSpan,
        member: u32,
        is_primary_of: Option<u32>,
    ) -> impl Iterator<Item = (MemberFault, TimeSpan)> + '_ {
        self.0.iter().filter_map(move |e| match e {
            FaultEvent::Member {
                target,
                fault,
                from,
                until,
            } if (*from..*until).contains(&now) => {
                let meant = match target {
                    Target::Member(m) => *m == member,
                    Target::Primary(g) => is_primary_of == Some(*g),
                };
                meant.then_some((*fault, *from))
            }
            _ => None,
        })
    }

    /// When a member was last restarted, up to `now`.
    pub fn last_start(&self, now: TimeSpan, member: u32) -> Option<TimeSpan> {
        let starts = self.0.iter().filter_map(|e| match e {
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

    /// When the endpoint list changes next after `now`: a drain begins or ends, or a member was restarted.
    pub fn next_endpoint_list_change(&self, now: TimeSpan) -> Option<TimeSpan> {
        let times = self.0.iter().filter_map(|e| match e {
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

    /// Faults of drivers, by begin and driver.
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

    /// Whether this fault of a driver holds at `now`.
    pub fn has_driver_fault(&self, now: TimeSpan, driver: u32, fault: DriverFault) -> bool {
        self.driver_faults().iter().any(|scheduled| {
            scheduled.driver == driver
                && scheduled.fault == fault
                && (scheduled.from..scheduled.until).contains(&now)
        })
    }

    /// Faults of a driver at `now`.
    pub fn faults_of_driver(&self, now: TimeSpan, driver: u32) -> impl Iterator<Item = DriverFault> {
        let faults = self.driver_faults().into_iter();
        let holds = move |s: &ScheduledDriverFault| s.driver == driver && (s.from..s.until).contains(&now);
        faults.filter(holds).map(|scheduled| scheduled.fault)
    }

    /// Whether any member ever has this fault.
    pub fn mentions(&self, sought: MemberFault) -> bool {
        let is_sought =
            |event: &FaultEvent| matches!(event, FaultEvent::Member { fault, .. } if *fault == sought);
        self.0.iter().any(is_sought)
    }

    /// Faults at `now` of the link from driver `sender` to driver `receiver`.
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
            let contains = |drivers: &[u32], n: u32| drivers.is_empty() || drivers.contains(&n);
            let forward = contains(from_drivers, sender) && contains(to_drivers, receiver);
            let backward = *both_ways && contains(from_drivers, receiver) && contains(to_drivers, sender);
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
            LinkFault::Delay(by) => self.delay = self.delay.max(by),
            LinkFault::Loss(part) => self.loss_per_mille = self.loss_per_mille.max(part),
            LinkFault::Corruption(part) => self.corruption_per_mille = self.corruption_per_mille.max(part),
        }
    }
}
