//! Engines of many drivers over a network of virtual time: each with a clock of its own, links that lose, delay, repeat,
//! garble and are cut one way or both.
#![allow(dead_code)] // each test file uses a part

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::membership::MembershipTiming;
use asterlatch_gossip::node::{GossipNode, GossipSettings, NodeInput, NodeOutput, Observation};
use asterlatch_gossip::record::{ListedState, Record};
use std::collections::{BTreeMap, BTreeSet};

pub fn name(n: usize) -> String {
    format!("d{n}")
}

pub fn member(name: &str, position: u64, primary_at: u64, replica_at: u64) -> Record {
    Record::Member {
        name: name.to_owned(),
        started_ms: 5,
        group: 1,
        position,
        primary_at,
        replica_at,
    }
}

pub fn drain(name: &str, list: u64, standing: ListedState) -> Record {
    Record::Drain {
        name: name.to_owned(),
        started_ms: 5,
        list_version: list,
        state: standing,
    }
}

pub fn session(session: u64, position: u64) -> Record {
    Record::Session { session, position }
}

pub fn settings(n: usize, all: usize) -> GossipSettings {
    GossipSettings {
        fleet: "test".to_owned(),
        name: name(n),
        peers: (0..all).filter(|p| *p != n).map(name).collect(),
        gossip_interval: TimeSpan::millis(100),
        fanout: 3,
        anti_entropy_interval: TimeSpan::millis(1000),
        bytes_per_second: 64 * 1024,
        membership: MembershipTiming::default(),
        inquiry_timeout: TimeSpan::millis(100),
        operators_file: 0,
        dialect: asterlatch_gossip::codec::Dialect::Current,
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Link {
    pub delay: TimeSpan,
    /// Parts of a thousand.
    pub lost: u32,
    pub doubled: u32,
    pub garbled: u32,
}

impl Default for Link {
    fn default() -> Link {
        Link {
            delay: TimeSpan::millis(2),
            lost: 0,
            doubled: 0,
            garbled: 0,
        }
    }
}

pub struct Driver {
    pub node: GossipNode,
    /// Its clock less the network's.
    pub clock: i64,
    pub incarnation: u64,
    pub is_up: bool,
    pub paused: bool,
    /// What lies unread.
    unread: Vec<(usize, Vec<u8>)>,
    pub outputs: Vec<NodeOutput>,
}

pub struct Net {
    pub now: Timestamp,
    pub drivers: Vec<Driver>,
    pub link: Link,
    /// From, to.
    pub cut: BTreeSet<(usize, usize)>,
    flying: BTreeMap<(Timestamp, u64), (usize, usize, Vec<u8>)>,
    count: u64,
    chance: fastrand::Rng,
    /// Of each datagram its sender, receiver, length and hash, where that is wanted: 20 bytes each.
    pub record: Option<Vec<u8>>,
    pub make: fn(usize, usize) -> GossipSettings,
}

impl Net {
    pub fn new(count: usize, seed: u64) -> Net {
        Net::with(count, seed, settings)
    }

    pub fn with(count: usize, seed: u64, make: fn(usize, usize) -> GossipSettings) -> Net {
        let mut net = Net {
            now: Timestamp(1_000_000_000),
            drivers: Vec::new(),
            link: Link::default(),
            cut: BTreeSet::new(),
            flying: BTreeMap::new(),
            count: 0,
            chance: fastrand::Rng::with_seed(seed),
            record: None,
            make,
        };
        for n in 0..count {
            // Half of them an hour off, to either side.
            let clock = [0, 3_600_000_000, -900_000_000][n % 3];
            let driver = net.driver(n, count, clock, 100);
            net.drivers.push(driver);
        }
        net
    }

    fn driver(&self, n: usize, count: usize, clock: i64, incarnation: u64) -> Driver {
        let now = Timestamp((self.now.0 as i64 + clock) as u64);
        Driver {
            node: GossipNode::new((self.make)(n, count), incarnation, n as u64 + 1, now),
            clock,
            incarnation,
            is_up: true,
            paused: false,
            unread: Vec::new(),
            outputs: Vec::new(),
        }
    }

    /// By that driver's clock.
    pub fn local(&self, n: usize) -> Timestamp {
        Timestamp((self.now.0 as i64 + self.drivers[n].clock) as u64)
    }

    /// Begins anew with nothing, by a clock that may have been set.
    pub fn restart(&mut self, n: usize, clock: i64, incarnation: u64) {
        self.drivers[n] = self.driver(n, self.drivers.len(), clock, incarnation);
    }

    pub fn give(&mut self, n: usize, input: NodeInput) {
        let now = self.local(n);
        let outputs = self.drivers[n].node.handle(now, input);
        self.sort(n, outputs);
    }

    pub fn observe(&mut self, n: usize, record: Record) {
        self.give(n, NodeInput::Observed(vec![Observation::now(record)]));
    }

    fn sort(&mut self, n: usize, outputs: Vec<NodeOutput>) {
        for output in outputs {
            let NodeOutput::Send { to, bytes } = output else {
                self.drivers[n].outputs.push(output);
                continue;
            };
            // Membership are all others in their order.
            let to = if to >= n { to + 1 } else { to };
            if let Some(record) = &mut self.record {
                record.extend(
                    [n as u32, to as u32, bytes.len() as u32]
                        .map(u32::to_be_bytes)
                        .concat(),
                );
                record.extend(xxhash_rust::xxh3::xxh3_64(&bytes).to_be_bytes());
            }
            let permille = |chance: &mut fastrand::Rng, of: u32| chance.u32(0..1000) < of;
            if self.cut.contains(&(n, to)) || permille(&mut self.chance, self.link.lost) {
                continue;
            }
            let copies = 1 + u32::from(permille(&mut self.chance, self.link.doubled));
            for _ in 0..copies {
                let mut bytes = bytes.clone();
                if permille(&mut self.chance, self.link.garbled) {
                    let at = self.chance.usize(0..bytes.len());
                    bytes[at] ^= 1 << self.chance.u8(0..8);
                }
                self.count += 1;
                let delay = self.link.delay * (0.5 + self.chance.f64());
                self.flying.insert((self.now + delay, self.count), (n, to, bytes));
            }
        }
    }

    fn arrive(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        if !self.drivers[to].is_up {
            return;
        }
        if self.drivers[to].paused {
            self.drivers[to].unread.push((from, bytes));
            return;
        }
        let peer = if from > to { from - 1 } else { from };
        self.give(
            to,
            NodeInput::Datagram {
                from: peer,
                bytes: &bytes,
            },
        );
    }

    pub fn go_on(&mut self, n: usize) {
        self.drivers[n].paused = false;
        for (from, bytes) in std::mem::take(&mut self.drivers[n].unread) {
            self.arrive(from, n, bytes);
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, span: TimeSpan) {
        let end = self.now + span;
        loop {
            let flight = self.flying.first_key_value().map(|((at, _), _)| *at);
            let runs = |d: &&Driver| d.is_up && !d.paused;
            let timers = self.drivers.iter().filter(runs).map(|d| {
                let at = d.node.next_at().0 as i64 - d.clock;
                Timestamp(at.max(0) as u64)
            });
            let next = timers.chain(flight).min().unwrap_or(end).max(self.now);
            if next > end {
                self.now = end;
                return;
            }
            self.now = next;
            while let Some(entry) = self.flying.first_entry().filter(|e| e.key().0 <= self.now) {
                let (from, to, bytes) = entry.remove();
                self.arrive(from, to, bytes);
            }
            for n in 0..self.drivers.len() {
                let d = &self.drivers[n];
                if d.is_up && !d.paused && d.node.next_at() <= self.local(n) {
                    self.give(n, NodeInput::Tick);
                }
            }
        }
    }

    pub fn up(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.drivers.len()).filter(|n| self.drivers[*n].is_up)
    }

    /// Whether all copies hold the same.
    pub fn equal(&self) -> bool {
        let mut copies = self.up().map(|n| self.contents(n));
        let first = copies.next();
        copies.all(|c| Some(c) == first)
    }

    pub fn contents(&self, n: usize) -> Vec<Record> {
        let state = &self.drivers[n].node.state;
        // What drivers say of themselves changes as they find each other.
        state
            .entries()
            .map(|e| e.record.clone())
            .filter(|f| !matches!(f, Record::Driver { .. }))
            .collect()
    }

    /// Runs until all copies are equal; how long that took.
    pub fn settle(&mut self, most: TimeSpan) -> Option<TimeSpan> {
        let began = self.now;
        while self.now - began <= most {
            if self.equal() {
                return Some(self.now - began);
            }
            self.run(TimeSpan::millis(50));
        }
        None
    }
}
