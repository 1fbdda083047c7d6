//! Simulated network of gossip nodes. Each driver has its own clock; links lose, delay, duplicate and corrupt
//! datagrams, and can be cut in either direction.
#![allow(dead_code)] // each test file uses a part

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::codec::Dialect;
use asterlatch_gossip::membership::MembershipTiming;
use asterlatch_gossip::node::{GossipNode, NodeInput, NodeOutput, NodeSettings, Observation};
use asterlatch_gossip::record::{ListedState, Record};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

pub(crate) fn name(driver: usize) -> String {
    format!("d{driver}")
}

pub(crate) fn member(name: &str, position: u64, primary_at: u64, replica_at: u64) -> Record {
    Record::Member {
        name: name.to_owned(),
        started_ms: 5,
        group: 1,
        position,
        primary_at,
        replica_at,
    }
}

pub(crate) fn drain(name: &str, list_version: u64, state: ListedState) -> Record {
    Record::Drain {
        name: name.to_owned(),
        started_ms: 5,
        list_version,
        state,
    }
}

pub(crate) fn session(session: u64, position: u64) -> Record {
    Record::Session { session, position }
}

pub(crate) fn settings(driver: usize, driver_count: usize) -> NodeSettings {
    NodeSettings {
        fleet: "test".to_owned(),
        name: name(driver),
        peers: (0..driver_count)
            .filter(|peer| *peer != driver)
            .map(name)
            .collect(),
        gossip_interval: TimeSpan::millis(100),
        fanout: 3,
        anti_entropy_interval: TimeSpan::millis(1000),
        bytes_per_second: 64 * 1024,
        membership: MembershipTiming::default(),
        inquiry_timeout: TimeSpan::millis(100),
        operators_file: 0,
        dialect: Dialect::Current,
    }
}

/// Behaviour of all links. Probabilities are in thousandths.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Link {
    pub(crate) delay: TimeSpan,
    pub(crate) loss_permille: u32,
    pub(crate) duplicate_permille: u32,
    pub(crate) corrupt_permille: u32,
}

impl Default for Link {
    fn default() -> Link {
        Link {
            delay: TimeSpan::millis(2),
            loss_permille: 0,
            duplicate_permille: 0,
            corrupt_permille: 0,
        }
    }
}

struct Datagram {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

pub(crate) struct Driver {
    pub(crate) node: GossipNode,
    /// The driver's clock minus the network's.
    pub(crate) clock_offset_us: i64,
    pub(crate) is_up: bool,
    pub(crate) is_suspended: bool,
    /// Datagrams that arrived while the driver was suspended.
    unread: Vec<Datagram>,
    /// All outputs except datagrams.
    pub(crate) outputs: Vec<NodeOutput>,
}

type MakeSettings = fn(usize, usize) -> NodeSettings;

pub(crate) struct Network {
    pub(crate) now: Timestamp,
    pub(crate) drivers: Vec<Driver>,
    pub(crate) link: Link,
    /// Cut links, each as a pair of sender and receiver.
    pub(crate) cut: BTreeSet<(usize, usize)>,
    /// Ordered by arrival, then by sending.
    in_flight: BTreeMap<(Timestamp, u64), Datagram>,
    datagram_count: u64,
    rng: fastrand::Rng,
    /// Sender, receiver, length and hash of each sent datagram, 20 bytes in all; `None` if not recorded.
    pub(crate) transcript: Option<Vec<u8>>,
    make_settings: MakeSettings,
}

/// Clock offsets, assigned to the drivers in rotation.
const CLOCK_OFFSETS_US: [i64; 3] = [0, 3_600_000_000, -900_000_000];

impl Network {
    pub(crate) fn new(driver_count: usize, seed: u64) -> Network {
        Network::with(driver_count, seed, settings)
    }

    pub(crate) fn with(driver_count: usize, seed: u64, make_settings: MakeSettings) -> Network {
        let mut network = Network {
            now: Timestamp(1_000_000_000),
            drivers: Vec::new(),
            link: Link::default(),
            cut: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            datagram_count: 0,
            rng: fastrand::Rng::with_seed(seed),
            transcript: None,
            make_settings,
        };
        for index in 0..driver_count {
            let clock_offset_us = CLOCK_OFFSETS_US[index % CLOCK_OFFSETS_US.len()];
            let driver = network.make_driver(index, driver_count, clock_offset_us, 100);
            network.drivers.push(driver);
        }
        network
    }

    fn make_driver(
        &self,
        index: usize,
        driver_count: usize,
        clock_offset_us: i64,
        incarnation: u64,
    ) -> Driver {
        let settings = (self.make_settings)(index, driver_count);
        let now = Timestamp((self.now.0 as i64 + clock_offset_us) as u64);
        Driver {
            node: GossipNode::new(settings, incarnation, index as u64 + 1, now),
            clock_offset_us,
            is_up: true,
            is_suspended: false,
            unread: Vec::new(),
            outputs: Vec::new(),
        }
    }

    /// The current time by a driver's clock.
    pub(crate) fn local_time(&self, driver: usize) -> Timestamp {
        Timestamp((self.now.0 as i64 + self.drivers[driver].clock_offset_us) as u64)
    }

    /// Restarts a driver with an empty state and the given clock offset.
    pub(crate) fn restart(&mut self, driver: usize, clock_offset_us: i64, incarnation: u64) {
        self.drivers[driver] = self.make_driver(driver, self.drivers.len(), clock_offset_us, incarnation);
    }

    pub(crate) fn input(&mut self, driver: usize, input: NodeInput) {
        let now = self.local_time(driver);
        for output in self.drivers[driver].node.handle(now, input) {
            match output {
                NodeOutput::Send { to, bytes } => {
                    // A driver's peers are all other drivers in order.
                    let to = if to >= driver { to + 1 } else { to };
                    self.send(Datagram {
                        from: driver,
                        to,
                        bytes,
                    });
                }
                other => self.drivers[driver].outputs.push(other),
            }
        }
    }

    pub(crate) fn observe(&mut self, driver: usize, record: Record) {
        self.input(driver, NodeInput::Observed(vec![Observation::now(record)]));
    }

    fn occurs(&mut self, permille: u32) -> bool {
        self.rng.u32(0..1000) < permille
    }

    fn send(&mut self, datagram: Datagram) {
        self.append_to_transcript(&datagram);
        let is_cut = self.cut.contains(&(datagram.from, datagram.to));
        if is_cut || self.occurs(self.link.loss_permille) {
            return;
        }
        let copies = 1 + u32::from(self.occurs(self.link.duplicate_permille));
        for _ in 0..copies {
            let mut bytes = datagram.bytes.clone();
            if self.occurs(self.link.corrupt_permille) {
                let position = self.rng.usize(0..bytes.len());
                bytes[position] ^= 1 << self.rng.u8(0..8);
            }
            self.datagram_count += 1;
            let arrives_at = self.now + self.link.delay * (0.5 + self.rng.f64());
            let copy = Datagram { bytes, ..datagram };
            self.in_flight.insert((arrives_at, self.datagram_count), copy);
        }
    }

    fn append_to_transcript(&mut self, datagram: &Datagram) {
        let Some(transcript) = &mut self.transcript else {
            return;
        };
        let numbers = [datagram.from, datagram.to, datagram.bytes.len()];
        for number in numbers {
            transcript.extend((number as u32).to_be_bytes());
        }
        transcript.extend(xxh3_64(&datagram.bytes).to_be_bytes());
    }

    fn deliver(&mut self, datagram: Datagram) {
        let Datagram { from, to, .. } = datagram;
        if !self.drivers[to].is_up {
            return;
        }
        if self.drivers[to].is_suspended {
            self.drivers[to].unread.push(datagram);
            return;
        }
        let input = NodeInput::Datagram {
            from: if from > to { from - 1 } else { from },
            bytes: &datagram.bytes,
        };
        self.input(to, input);
    }

    /// Ends a suspension; the driver then reads the datagrams that have arrived since.
    pub(crate) fn resume(&mut self, driver: usize) {
        self.drivers[driver].is_suspended = false;
        for datagram in std::mem::take(&mut self.drivers[driver].unread) {
            self.deliver(datagram);
        }
    }

    /// Time of the next arrival of a datagram or of the next timer of a running driver.
    fn next_event_at(&self) -> Option<Timestamp> {
        let next_arrival = self.in_flight.first_key_value().map(|((at, _), _)| *at);
        let running = self
            .drivers
            .iter()
            .filter(|driver| driver.is_up && !driver.is_suspended);
        let timers = running.map(|driver| {
            let at = driver.node.next_at().0 as i64 - driver.clock_offset_us;
            Timestamp(at.max(0) as u64)
        });
        timers.chain(next_arrival).min()
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let datagram = entry.remove();
            self.deliver(datagram);
        }
    }

    fn tick_due(&mut self) {
        for index in 0..self.drivers.len() {
            let driver = &self.drivers[index];
            let is_running = driver.is_up && !driver.is_suspended;
            if is_running && driver.node.next_at() <= self.local_time(index) {
                self.input(index, NodeInput::Tick);
            }
        }
    }

    /// Advances the time by `span` and handles all events until then.
    pub(crate) fn run(&mut self, span: TimeSpan) {
        let end = self.now + span;
        loop {
            let next = self.next_event_at().unwrap_or(end).max(self.now);
            if next > end {
                self.now = end;
                return;
            }
            self.now = next;
            self.deliver_due();
            self.tick_due();
        }
    }

    fn running(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.drivers.len()).filter(|driver| self.drivers[*driver].is_up)
    }

    /// Whether the copies of all running drivers contain the same records.
    pub(crate) fn copies_are_equal(&self) -> bool {
        let mut copies = self.running().map(|driver| self.contents(driver));
        let first = copies.next();
        copies.all(|copy| Some(copy) == first)
    }

    /// All records of a driver except the drivers' reports about themselves, which change as drivers discover
    /// each other.
    pub(crate) fn contents(&self, driver: usize) -> Vec<Record> {
        let state = &self.drivers[driver].node.state;
        let records = state.entries().map(|entry| entry.record.clone());
        records
            .filter(|record| !matches!(record, Record::Driver { .. }))
            .collect()
    }

    /// Runs until all copies are equal; returns the elapsed time, or `None` beyond `limit`.
    pub(crate) fn run_until_equal(&mut self, limit: TimeSpan) -> Option<TimeSpan> {
        let started_at = self.now;
        while self.now - started_at <= limit {
            if self.copies_are_equal() {
                return Some(self.now - started_at);
            }
            self.run(TimeSpan::millis(50));
        }
        None
    }
}
