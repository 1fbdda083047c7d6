//! Leases in a simulated fleet with lost and delayed messages, stopped drivers and partitions.

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_coordination::lease::{Lease, LeaseState, LeaseStatus, LeaseTable, LeaseTimings, LeaseUpdate};
use std::collections::BTreeSet;

const SUBJECT: &str = "m";
/// Interval between two steps of the simulated fleet.
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
fn merge_two_leases_in_any_order_returns_same_winner() {
    use LeaseState::*;
    // Pairs of the winning and the losing lease.
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

/// A message that was sent and not yet delivered.
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
    /// Links on which all messages are lost, as (sender, receiver).
    cut_links: BTreeSet<(usize, usize)>,
    /// Messages lost at random, per thousand.
    loss_permille: u32,
    random: fastrand::Rng,
    in_flight: Vec<InFlight>,
    /// Maximum time for which several drivers acted at once.
    max_overlap: TimeSpan,
    /// Sum over all steps of the number of acting drivers.
    acting_steps: u64,
}

impl Fleet {
    fn new(count: u64, loss_permille: u32) -> Fleet {
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
            loss_permille,
            random: fastrand::Rng::with_seed(7),
            in_flight: Vec::new(),
            max_overlap: TimeSpan(0),
            acting_steps: 0,
        }
    }

    /// A fleet in which every driver requests the lease.
    fn requesting(count: u64, loss_permille: u32) -> Fleet {
        let mut fleet = Fleet::new(count, loss_permille);
        for driver in &mut fleet.drivers {
            driver.request(fleet.now, SUBJECT);
        }
        fleet
    }

    fn broadcast(&mut self, sender: usize, updates: Vec<LeaseUpdate>) {
        for update in updates {
            for receiver in (0..self.drivers.len()).filter(|receiver| *receiver != sender) {
                let is_cut = self.cut_links.contains(&(sender, receiver));
                if !is_cut && self.random.u32(0..1000) >= self.loss_permille {
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
            self.acting_steps += acting as u64;
            overlap_since = (acting > 1).then(|| overlap_since.unwrap_or(self.now));
            let overlap = overlap_since.map_or(TimeSpan(0), |since| self.now + STEP - since);
            self.max_overlap = self.max_overlap.max(overlap);
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
fn advance_to_all_drivers_request_elects_one_holder() {
    for count in [2, 24, 100] {
        let mut fleet = Fleet::requesting(count, 0);
        fleet.run(ms(10_000));
        assert_eq!(fleet.holders().len(), 1, "{count} drivers");
        let overlap = fleet.max_overlap;
        assert!(
            overlap <= ms(250),
            "{count} drivers: several held the lease for {overlap:?}"
        );
        let acted = fleet.acting_steps;
        assert!(
            acted >= 180,
            "{count} drivers: no holder for too long, {acted} acting steps"
        );
    }
}

#[test]
fn advance_to_holder_stopped_elects_successor_within_two_durations() {
    for resumes in [false, true] {
        let mut fleet = Fleet::requesting(8, 0);
        fleet.run(ms(3000));
        let holder = fleet.holders()[0];
        fleet.is_running[holder] = false;
        fleet.run(ms(4000));
        let next = fleet.holders();
        assert_eq!(next.len(), 1, "{next:?}");
        assert_ne!(next[0], holder);
        if resumes {
            // The resumed holder must find its lease expired before it receives any message.
            fleet.is_running[holder] = true;
            assert_ne!(fleet.status(holder), LeaseStatus::HeldHere);
            fleet.run(ms(3000));
            assert_eq!(fleet.holders().len(), 1);
            let overlap = fleet.max_overlap;
            assert!(overlap <= ms(250), "several held the lease for {overlap:?}");
        }
    }
}

#[test]
fn advance_to_partitioned_fleet_has_holder_per_side_until_healed() {
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
fn advance_to_half_of_messages_lost_limits_overlap() {
    let mut fleet = Fleet::requesting(6, 500);
    fleet.run(ms(60_000));
    // A new lease and its first renewals may all be lost on the way to one driver.
    let overlap = fleet.max_overlap;
    assert!(overlap <= ms(2000), "several held the lease for {overlap:?}");
    let acted = fleet.acting_steps;
    assert!(acted > 1000, "only {acted} acting steps");
}

#[test]
fn release_lease_held_notifies_other_drivers_of_state() {
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
            lease: released.expect("the holder releases its lease"),
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
            "other drivers after a release as {state:?}"
        );
        let again = fleet.drivers[holder].release(now, SUBJECT, state);
        assert_eq!(again, None, "a second release has no lease to release");
    }
}

/// A lease with the maximum term from a faulty driver must expire like any other.
#[test]
fn on_lease_max_term_expires_and_is_acquired() {
    let mut driver = table(1);
    driver.request(Timestamp(0), SUBJECT);
    let faulty = lease(u64::MAX, 9, u64::MAX, LeaseState::Held);
    driver.on_lease(Timestamp(0), SUBJECT, faulty, TimeSpan(0));
    assert_eq!(driver.status(Timestamp(0), SUBJECT), LeaseStatus::HeldElsewhere);
    let later = Timestamp(0) + ms(2000);
    let updates = driver.advance_to(later);
    let status = driver.status(later, SUBJECT);
    assert_eq!((updates.len(), status), (1, LeaseStatus::HeldHere));
    assert!(driver.release(later, SUBJECT, LeaseState::Completed).is_some());
}

#[test]
fn on_lease_many_subjects_stays_bounded_and_removes_stale() {
    let mut driver = table(1);
    for n in 0..5000 {
        let other = lease(1, 2, 0, LeaseState::Held);
        driver.on_lease(Timestamp(n), &format!("s{n}"), other, TimeSpan(0));
    }
    assert_eq!(driver.known(Timestamp(5000)).count(), 4096);
    let now = Timestamp(6000);
    driver.request(now, "mine");
    assert_eq!(
        driver.requested(now).count(),
        1,
        "a requested subject is not evicted"
    );
    driver.advance_to(now + ms(60_000));
    assert_eq!(
        driver.known(Timestamp(0)).count(),
        1,
        "only the requested lease is retained"
    );
}
