//! Leases: who holds one, and how it passes on when its holder dies, is stopped or is cut off.

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_coordination::lease::{Lease, LeaseState, LeaseStatus, LeaseTable, LeaseTimings, LeaseUpdate};
use std::collections::BTreeSet;

const SUBJECT: &str = "m";
/// Time between two steps of the fleet.
const STEP: TimeSpan = TimeSpan::millis(50);

fn ms(n: u64) -> TimeSpan {
    TimeSpan::millis(n)
}

fn lease(term: u64, holder: u64, renewals: u64, state: LeaseState) -> Lease {
    Lease {
        term,
        holder,
        incarnation: 1,
        renewals,
        state,
    }
}

fn table(own_id: u64) -> LeaseTable {
    LeaseTable::new(own_id, 1, LeaseTimings::default())
}

#[test]
fn merge_two_leases_yields_the_winner_in_any_order() {
    use LeaseState::*;
    // The winner first.
    for (winner, loser) in [
        (lease(2, 9, 0, Held), lease(1, 3, 7, Completed)),
        (lease(2, 3, 0, Held), lease(2, 9, 7, Held)),
        (lease(2, 3, 5, Held), lease(2, 3, 4, Abandoned)),
        (lease(2, 3, 5, Completed), lease(2, 3, 5, Held)),
        (lease(2, 3, 5, Abandoned), lease(2, 3, 5, Held)),
    ] {
        let merged = (winner.merge(loser), loser.merge(winner));
        assert_eq!(merged, (winner, winner));
        assert_eq!(winner.merge(winner), winner);
    }
}

/// A message between two drivers.
struct InFlight {
    arrives_at: Timestamp,
    sent_at: Timestamp,
    receiver: usize,
    update: LeaseUpdate,
}

struct Fleet {
    now: Timestamp,
    drivers: Vec<LeaseTable>,
    is_running: Vec<bool>,
    /// Links on which messages are lost: sender and receiver.
    cut_links: BTreeSet<(usize, usize)>,
    /// Messages lost of a thousand.
    lost_permille: u32,
    random: fastrand::Rng,
    in_flight: Vec<InFlight>,
    /// Longest time for which two drivers acted at once.
    longest_overlap: TimeSpan,
    /// Steps in which a driver acted, over all drivers.
    steps_acted: u64,
}

impl Fleet {
    fn new(count: u64, lost_permille: u32) -> Fleet {
        let ids: BTreeSet<u64> = (1..=count).collect();
        let drivers = ids.iter().map(|id| {
            let mut driver = table(*id);
            driver.set_peers(&ids);
            driver
        });
        Fleet {
            now: Timestamp(1_000_000_000),
            drivers: drivers.collect(),
            is_running: vec![true; count as usize],
            cut_links: BTreeSet::new(),
            lost_permille,
            random: fastrand::Rng::with_seed(7),
            in_flight: Vec::new(),
            longest_overlap: TimeSpan(0),
            steps_acted: 0,
        }
    }

    /// A fleet in which every driver wants the lease.
    fn requesting(count: u64, lost_permille: u32) -> Fleet {
        let mut fleet = Fleet::new(count, lost_permille);
        for driver in &mut fleet.drivers {
            driver.request(fleet.now, SUBJECT);
        }
        fleet
    }

    fn broadcast(&mut self, sender: usize, updates: Vec<LeaseUpdate>) {
        for update in updates {
            for receiver in (0..self.drivers.len()).filter(|receiver| *receiver != sender) {
                let is_cut = self.cut_links.contains(&(sender, receiver));
                if !is_cut && self.random.u32(0..1000) >= self.lost_permille {
                    self.in_flight.push(InFlight {
                        arrives_at: self.now + ms(self.random.u64(20..150)),
                        sent_at: self.now,
                        receiver,
                        update: update.clone(),
                    });
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let messages = std::mem::take(&mut self.in_flight).into_iter();
        let (due, later): (Vec<_>, Vec<_>) = messages.partition(|message| message.arrives_at <= now);
        self.in_flight = later;
        for message in due {
            if self.is_running[message.receiver] {
                let LeaseUpdate { subject, lease } = message.update;
                let age = now - message.sent_at;
                self.drivers[message.receiver].on_lease(now, &subject, lease, age);
            }
        }
    }

    fn run(&mut self, span: TimeSpan) {
        let end = self.now + span;
        let mut overlap_since = None;
        while self.now < end {
            self.now = self.now + STEP;
            self.deliver();
            for driver in 0..self.drivers.len() {
                if self.is_running[driver] {
                    let updates = self.drivers[driver].advance_to(self.now);
                    self.broadcast(driver, updates);
                }
            }
            let acting = self.holders().len();
            self.steps_acted += acting as u64;
            overlap_since = (acting > 1).then(|| overlap_since.unwrap_or(self.now));
            let overlap = overlap_since.map_or(TimeSpan(0), |since| self.now + STEP - since);
            self.longest_overlap = self.longest_overlap.max(overlap);
        }
    }

    fn status(&self, driver: usize) -> LeaseStatus {
        self.drivers[driver].status(self.now, SUBJECT)
    }

    fn holders(&self) -> Vec<usize> {
        let holds =
            |driver: &usize| self.is_running[*driver] && self.status(*driver) == LeaseStatus::HeldHere;
        (0..self.drivers.len()).filter(holds).collect()
    }
}

#[test]
fn advance_to_all_request_one_holds() {
    for count in [2, 24, 100] {
        let mut fleet = Fleet::requesting(count, 0);
        fleet.run(ms(10_000));
        assert_eq!(fleet.holders().len(), 1, "{count}");
        let overlap = fleet.longest_overlap;
        assert!(overlap <= ms(250), "{count}: two at once for {overlap:?}");
        let acted = fleet.steps_acted;
        assert!(acted >= 180, "{count}: somebody acts all the time: {acted}");
    }
}

#[test]
fn advance_to_holder_dead_or_stopped_is_followed_within_two_durations() {
    for goes_on in [false, true] {
        let mut fleet = Fleet::requesting(8, 0);
        fleet.run(ms(3000));
        let holder = fleet.holders()[0];
        fleet.is_running[holder] = false;
        fleet.run(ms(4000));
        let next = fleet.holders();
        assert_eq!(next.len(), 1, "{next:?}");
        assert_ne!(next[0], holder);
        if goes_on {
            // Its lease has expired, whatever it has heard since.
            fleet.is_running[holder] = true;
            assert_ne!(fleet.status(holder), LeaseStatus::HeldHere);
            fleet.run(ms(3000));
            assert_eq!(fleet.holders().len(), 1);
            let overlap = fleet.longest_overlap;
            assert!(overlap <= ms(250), "two at once for {overlap:?}");
        }
    }
}

#[test]
fn advance_to_partition_has_a_holder_on_each_side_until_it_heals() {
    let mut fleet = Fleet::requesting(5, 0);
    fleet.run(ms(3000));
    let sides: [&[usize]; 2] = [&[0, 1], &[2, 3, 4]];
    for one in sides[0] {
        for other in sides[1] {
            fleet.cut_links.extend([(*one, *other), (*other, *one)]);
        }
    }
    fleet.run(ms(6000));
    let holders = fleet.holders();
    assert_eq!(holders.len(), 2, "{holders:?}");
    fleet.cut_links.clear();
    fleet.run(ms(3000));
    assert_eq!(fleet.holders().len(), 1);
}

#[test]
fn advance_to_half_of_messages_lost_overlaps_briefly() {
    let mut fleet = Fleet::requesting(6, 500);
    fleet.run(ms(60_000));
    // A new lease and its first renewals may all be lost on the way to one driver, but hardly for long.
    let overlap = fleet.longest_overlap;
    assert!(overlap <= ms(2000), "two at once for {overlap:?}");
    let acted = fleet.steps_acted;
    assert!(acted > 1000, "{acted}");
}

#[test]
fn release_is_known_to_all_with_its_state() {
    for (state, status) in [
        (LeaseState::Completed, LeaseStatus::Completed),
        (LeaseState::Abandoned, LeaseStatus::HeldElsewhere),
    ] {
        let mut fleet = Fleet::requesting(4, 0);
        fleet.run(ms(3000));
        let holder = fleet.holders()[0];
        let now = fleet.now;
        let released = fleet.drivers[holder].release(now, SUBJECT, state);
        let update = LeaseUpdate {
            subject: SUBJECT.to_owned(),
            lease: released.expect("it held it"),
        };
        fleet.broadcast(holder, vec![update]);
        fleet.run(ms(1500));
        let others = (0..4).filter(|driver| *driver != holder);
        let statuses: BTreeSet<LeaseStatus> = others
            .map(|driver| fleet.status(driver))
            .filter(|status| *status != LeaseStatus::HeldHere)
            .collect();
        assert_eq!(
            statuses,
            BTreeSet::from([status]),
            "{state:?}: once abandoned, another one tries"
        );
        let again = fleet.drivers[holder].release(now, SUBJECT, state);
        assert_eq!(again, None, "it holds nothing any more");
    }
}

/// A lease of the last term there is, from a driver that sends nonsense: it expires like any other.
#[test]
fn on_lease_last_term_expires_and_is_acquired() {
    let mut driver = table(1);
    driver.request(Timestamp(0), SUBJECT);
    let nonsense = lease(u64::MAX, 9, u64::MAX, LeaseState::Held);
    driver.on_lease(Timestamp(0), SUBJECT, nonsense, TimeSpan(0));
    assert_eq!(driver.status(Timestamp(0), SUBJECT), LeaseStatus::HeldElsewhere);
    let later = Timestamp(0) + ms(2000);
    let updates = driver.advance_to(later);
    let status = driver.status(later, SUBJECT);
    assert_eq!((updates.len(), status), (1, LeaseStatus::HeldHere));
    assert!(driver.release(later, SUBJECT, LeaseState::Completed).is_some());
}

#[test]
fn on_lease_many_subjects_are_bounded_and_forgotten() {
    let mut driver = table(1);
    for n in 0..5000 {
        let other = lease(1, 2, 0, LeaseState::Held);
        driver.on_lease(Timestamp(n), &format!("s{n}"), other, TimeSpan(0));
    }
    assert_eq!(driver.known(Timestamp(5000)).count(), 4096);
    let now = Timestamp(6000);
    driver.request(now, "mine");
    assert_eq!(driver.requested(now).count(), 1, "what is requested stays");
    driver.advance_to(now + ms(60_000));
    assert_eq!(
        driver.known(Timestamp(0)).count(),
        1,
        "only the own lease is left"
    );
}
