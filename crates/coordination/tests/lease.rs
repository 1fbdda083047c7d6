//! Turns: who has one, how it goes on when its holder dies, is stopped or cut off; and every order of steps for three drivers.

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_coordination::lease::{Lease, LeaseState, LeaseStatus, LeaseTable, LeaseTimings};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

fn ms(n: u64) -> TimeSpan {
    TimeSpan::millis(n)
}

fn claim(term: u64, holder: u64, said: u64, end: LeaseState) -> Lease {
    Lease {
        term,
        holder,
        incarnation: 1,
        renewals: said,
        state: end,
    }
}

#[test]
fn which_of_two_claims_stands() {
    use LeaseState::*;
    // The one that stands first.
    for (one, other) in [
        (claim(2, 9, 0, Held), claim(1, 3, 7, Completed)),
        (claim(2, 3, 0, Held), claim(2, 9, 7, Held)),
        (claim(2, 3, 5, Held), claim(2, 3, 4, Abandoned)),
        (claim(2, 3, 5, Completed), claim(2, 3, 5, Held)),
        (claim(2, 3, 5, Abandoned), claim(2, 3, 5, Held)),
    ] {
        assert_eq!((one.merge(other), other.merge(one)), (one, one));
        assert_eq!(one.merge(one), one);
    }
}

struct Fleet {
    now: Timestamp,
    all: Vec<LeaseTable>,
    up: Vec<bool>,
    /// Who hears whom.
    cut: BTreeSet<(usize, usize)>,
    lost: u32,
    chance: fastrand::Rng,
    flying: Vec<(Timestamp, usize, String, Lease, Timestamp)>,
    /// Longest time for which two acted at once, and how many acts in all.
    two: TimeSpan,
    acts: u64,
}

impl Fleet {
    fn new(count: u64, lost: u32) -> Fleet {
        let keys: BTreeSet<u64> = (1..=count).collect();
        let all = keys.iter().map(|k| {
            let mut l = LeaseTable::new(*k, 1, LeaseTimings::default());
            l.set_peers(&keys);
            l
        });
        Fleet {
            now: Timestamp(1_000_000_000),
            all: all.collect(),
            up: vec![true; count as usize],
            cut: BTreeSet::new(),
            lost,
            chance: fastrand::Rng::with_seed(7),
            flying: Vec::new(),
            two: TimeSpan(0),
            acts: 0,
        }
    }

    fn say(&mut self, from: usize, told: Vec<(String, Lease)>) {
        for (subject, claim) in told {
            for to in (0..self.all.len()).filter(|to| *to != from) {
                if !self.cut.contains(&(from, to)) && self.chance.u32(0..1000) >= self.lost {
                    let at = self.now + ms(self.chance.u64(20..150));
                    self.flying.push((at, to, subject.clone(), claim, self.now));
                }
            }
        }
    }

    fn run(&mut self, span: TimeSpan) {
        let end = self.now + span;
        let mut two_since = None;
        while self.now < end {
            self.now = self.now + ms(50);
            let now = self.now;
            let (due, flying): (Vec<_>, Vec<_>) = std::mem::take(&mut self.flying)
                .into_iter()
                .partition(|f| f.0 <= now);
            self.flying = flying;
            for (_, to, subject, claim, sent) in due {
                if self.up[to] {
                    self.all[to].on_lease(now, &subject, claim, now - sent);
                }
            }
            for n in (0..self.all.len()).filter(|n| self.up[*n]).collect::<Vec<_>>() {
                let told = self.all[n].advance_to(now);
                self.say(n, told);
            }
            let acting = self.holders().len();
            self.acts += acting as u64;
            two_since = (acting > 1).then(|| two_since.unwrap_or(now));
            self.two = self
                .two
                .max(two_since.map_or(TimeSpan(0), |at| now + ms(50) - at));
        }
    }

    fn holders(&self) -> Vec<usize> {
        let acts = |n: &usize| self.up[*n] && self.all[*n].status(self.now, "m") == LeaseStatus::HeldHere;
        (0..self.all.len()).filter(acts).collect()
    }

    fn all_want(&mut self) {
        let now = self.now;
        self.all.iter_mut().for_each(|l| l.request(now, "m"));
    }
}

#[test]
fn of_all_that_want_it_one_does_it() {
    for count in [2, 24, 100] {
        let mut f = Fleet::new(count, 0);
        f.all_want();
        f.run(ms(10_000));
        assert_eq!(f.holders().len(), 1, "{count}");
        assert!(f.two <= ms(250), "{count}: two at once for {:?}", f.two);
        assert!(
            f.acts >= 180,
            "{count}: somebody does it all the time: {}",
            f.acts
        );
    }
}

#[test]
fn a_dead_or_stopped_holder_is_followed_by_another_within_two_leases() {
    for stopped in [false, true] {
        let mut f = Fleet::new(8, 0);
        f.all_want();
        f.run(ms(3000));
        let holder = f.holders()[0];
        f.up[holder] = false;
        f.run(ms(4000));
        let next = f.holders();
        assert_eq!(next.len(), 1, "{next:?}");
        assert_ne!(next[0], holder);
        if stopped {
            // It goes on, and what it held before is over, whatever it has heard since.
            f.up[holder] = true;
            let now = f.now;
            assert_ne!(f.all[holder].status(now, "m"), LeaseStatus::HeldHere);
            f.run(ms(3000));
            assert_eq!(f.holders().len(), 1);
            assert!(f.two <= ms(250), "two at once for {:?}", f.two);
        }
    }
}

#[test]
fn each_side_of_a_split_has_one_and_one_of_them_yields() {
    let mut f = Fleet::new(5, 0);
    f.all_want();
    f.run(ms(3000));
    let sides: [&[usize]; 2] = [&[0, 1], &[2, 3, 4]];
    for a in sides[0] {
        for b in sides[1] {
            f.cut.extend([(*a, *b), (*b, *a)]);
        }
    }
    f.run(ms(6000));
    let holders = f.holders();
    assert_eq!(holders.len(), 2, "{holders:?}");
    f.cut.clear();
    f.run(ms(3000));
    assert_eq!(f.holders().len(), 1);
}

#[test]
fn lost_words_cost_acts_and_never_the_turn() {
    let mut f = Fleet::new(6, 500);
    f.all_want();
    f.run(ms(60_000));
    // A claim and its first renewals may all be lost on the way to one, but hardly for long.
    assert!(f.two <= ms(2000), "two at once for {:?}", f.two);
    assert!(f.acts > 1000, "{}", f.acts);
}

#[test]
fn what_ends_a_turn_is_known_to_all() {
    for (end, stand) in [
        (LeaseState::Completed, LeaseStatus::Completed),
        (LeaseState::Abandoned, LeaseStatus::HeldElsewhere),
    ] {
        let mut f = Fleet::new(4, 0);
        f.all_want();
        f.run(ms(3000));
        let holder = f.holders()[0];
        let now = f.now;
        let told = f.all[holder].release(now, "m", end).expect("it held it");
        f.say(holder, vec![("m".to_owned(), told)]);
        f.run(ms(1500));
        let others: BTreeSet<LeaseStatus> = (0..4)
            .filter(|n| *n != holder)
            .map(|n| f.all[n].status(f.now, "m"))
            .filter(|s| *s != LeaseStatus::HeldHere)
            .collect();
        assert_eq!(
            others,
            BTreeSet::from([stand]),
            "{end:?}: in vain, another one tries"
        );
        let idle = f.all[holder].release(now, "m", end);
        assert_eq!(idle, None, "it holds nothing any more");
    }
}

/// A claim of the last term there is, from a driver that tells nonsense: nobody ends for it, and it ends with its lease.
#[test]
fn the_last_term_there_is_harms_nobody() {
    let mut l = LeaseTable::new(1, 1, LeaseTimings::default());
    l.request(Timestamp(0), "m");
    l.on_lease(
        Timestamp(0),
        "m",
        claim(u64::MAX, 9, u64::MAX, LeaseState::Held),
        TimeSpan(0),
    );
    assert_eq!(l.status(Timestamp(0), "m"), LeaseStatus::HeldElsewhere);
    let later = Timestamp(0) + ms(2000);
    let told = l.advance_to(later);
    assert_eq!((told.len(), l.status(later, "m")), (1, LeaseStatus::HeldHere));
    assert!(l.release(later, "m", LeaseState::Completed).is_some());
}

#[test]
fn subjects_are_bounded_and_let_go() {
    let mut l = LeaseTable::new(1, 1, LeaseTimings::default());
    for n in 0..5000 {
        l.on_lease(
            Timestamp(n),
            &format!("s{n}"),
            claim(1, 2, 0, LeaseState::Held),
            TimeSpan(0),
        );
    }
    assert_eq!(l.known(Timestamp(5000)).count(), 4096);
    l.request(Timestamp(6000), "mine");
    assert_eq!(l.requested(Timestamp(6000)).count(), 1, "what is wanted stays");
    l.advance_to(Timestamp(6000) + ms(60_000));
    assert_eq!(l.known(Timestamp(0)).count(), 1, "only the own claim is left");
}

/// Every order of steps of three drivers, words that fly for up to one unit, and one of them stopped at will.
struct Steps {
    acts: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    all: Vec<LeaseTable>,
    stopped: Option<usize>,
    stops: u8,
    flying: BTreeSet<(u64, usize, u64, [u64; 5])>,
    /// Units for which each two have acted at once.
    two: [u8; 3],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Reach(usize),
    Arrive((u64, usize, u64, [u64; 5])),
    Stop(usize),
    GoOn,
    Pass,
}

const UNIT: u64 = 1_000_000;
const LONGEST: u64 = 6;

fn packed(c: &Lease) -> [u64; 5] {
    [c.term, c.holder, c.incarnation, c.renewals, c.state as u64]
}

fn unpacked(p: &[u64; 5]) -> Lease {
    let end = [LeaseState::Held, LeaseState::Abandoned, LeaseState::Completed][p[4] as usize];
    Lease {
        term: p[0],
        holder: p[1],
        incarnation: p[2],
        renewals: p[3],
        state: end,
    }
}

impl World {
    fn at(&self) -> Timestamp {
        Timestamp(100 * UNIT + self.now * UNIT)
    }

    fn acts(&self, n: usize) -> bool {
        self.stopped != Some(n) && self.all[n].status(self.at(), "m") == LeaseStatus::HeldHere
    }

    fn acting(&self) -> usize {
        (0..self.all.len()).filter(|n| self.acts(*n)).count()
    }
}

impl Model for Steps {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let terms = LeaseTimings {
            duration: TimeSpan(4 * UNIT),
            holder_duration: TimeSpan(self.acts * UNIT),
            acquire_delay: TimeSpan(2 * UNIT),
        };
        let keys: BTreeSet<u64> = (1..=3).collect();
        let all = keys.iter().map(|k| {
            let mut l = LeaseTable::new(*k, 1, terms);
            l.set_peers(&keys);
            l.request(Timestamp(100 * UNIT), "m");
            l
        });
        vec![World {
            now: 0,
            all: all.collect(),
            stopped: None,
            stops: 0,
            flying: BTreeSet::new(),
            two: [0; 3],
        }]
    }

    fn actions(&self, w: &World, actions: &mut Vec<Step>) {
        let up = (0..w.all.len()).filter(|n| w.stopped != Some(*n));
        actions.extend(up.clone().map(Step::Reach));
        actions.extend(
            w.flying
                .iter()
                .filter(|f| w.stopped != Some(f.1))
                .cloned()
                .map(Step::Arrive),
        );
        if w.stops < 1 {
            actions.extend(up.map(Step::Stop));
        }
        actions.extend(w.stopped.map(|_| Step::GoOn));
        // No word flies for longer than a unit, but to who is stopped.
        let late = |f: &(u64, usize, u64, [u64; 5])| f.0 < w.now && w.stopped != Some(f.1);
        if w.now < LONGEST && !w.flying.iter().any(late) {
            actions.push(Step::Pass);
        }
    }

    fn next_state(&self, w: &World, step: Step) -> Option<World> {
        let mut w = w.clone();
        let at = w.at();
        match step {
            Step::Reach(n) => {
                for (_, claim) in w.all[n].advance_to(at) {
                    for to in (0..w.all.len()).filter(|to| *to != n) {
                        w.flying.insert((w.now, to, w.now, packed(&claim)));
                    }
                }
            }
            Step::Arrive(word) => {
                w.flying.remove(&word);
                let (_, to, sent, claim) = word;
                w.all[to].on_lease(at, "m", unpacked(&claim), TimeSpan((w.now - sent) * UNIT));
            }
            Step::Stop(n) => (w.stopped, w.stops) = (Some(n), w.stops + 1),
            Step::GoOn => w.stopped = None,
            Step::Pass => {
                // All do what is due in each unit.
                for (k, (a, b)) in [(0, 1), (0, 2), (1, 2)].into_iter().enumerate() {
                    w.two[k] = if w.acts(a) && w.acts(b) { w.two[k] + 1 } else { 0 };
                }
                w.now += 1;
            }
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("two act no longer than a word flies", |_, w: &World| {
                w.two.iter().all(|units| *units < 2)
            }),
            Property::sometimes("a stopped holder is followed", |_, w: &World| {
                w.stopped.is_some() && w.acting() == 1 && w.now > 4
            }),
        ]
    }
}

#[test]
fn no_order_of_steps_has_two_act_for_longer_than_a_word_flies() {
    let checker = Steps { acts: 2 }.checker().threads(4).spawn_bfs().join();
    println!("states {}", checker.unique_state_count());
    checker.assert_properties();
    // A holder that goes on acting for longer than others believe in it is found.
    let mistaken = Steps { acts: 9 }.checker().threads(4).spawn_bfs().join();
    assert!(mistaken
        .discovery("two act no longer than a word flies")
        .is_some());
}
