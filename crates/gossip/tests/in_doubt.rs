//! Statements that must not run twice: what a driver remembers, what others' words come to, and every order of steps,
//! losses and crashes in a small world.

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::in_doubt::{
    DispatchLog, DispatchStatus, Inquiries, InquiryDecision, InquiryOutcome, UNBOUNDED_AGE,
};
use stateright::{Checker, Model, Property};

const NOW: Timestamp = Timestamp(1_000_000_000);
const WINDOW: TimeSpan = TimeSpan::millis(5000);

fn at(ms: u64) -> Timestamp {
    NOW + TimeSpan::millis(ms)
}

fn sent(ms: u64, member: &str) -> DispatchStatus {
    DispatchStatus::Dispatched {
        age: TimeSpan::millis(ms),
        member: member.to_owned(),
    }
}

#[test]
fn status_within_the_window_is_the_first_dispatch() {
    let mut log = DispatchLog::new(NOW, WINDOW, 100, false);
    log.on_dispatch(at(0), 7, "m1");
    log.on_dispatch(at(100), 7, "m2");
    // (when, what is known): the first sending counts, for the store's window begins with it.
    for (ms, known) in [
        (0, sent(0, "m1")),
        (4999, sent(4999, "m1")),
        (5000, DispatchStatus::NotExecuted),
    ] {
        assert_eq!(log.status(at(ms), 7), known, "{ms}");
    }
    assert!(log.is_empty());
}

#[test]
fn on_not_executed_for_every_dispatch_makes_status_not_executed() {
    let mut log = DispatchLog::new(NOW, WINDOW, 100, false);
    log.on_dispatch(at(0), 7, "m1");
    log.on_not_executed(7);
    assert_eq!(log.status(at(1), 7), DispatchStatus::NotExecuted);
    log.on_dispatch(at(10), 7, "m1");
    log.on_dispatch(at(20), 7, "m2");
    log.on_not_executed(7);
    assert_eq!(
        log.status(at(30), 7),
        sent(20, "m1"),
        "of the other time nothing is proven"
    );
    // The entry of the first time is older, and ends without taking the later one's along.
    assert_eq!(log.status(at(5005), 7), sent(4995, "m1"));
    assert_eq!(log.status(at(5010), 7), DispatchStatus::NotExecuted);
}

#[test]
fn status_after_restart_or_dropped_entries_is_unknown() {
    let mut log = DispatchLog::new(NOW, WINDOW, 100, true);
    assert_eq!(
        log.status(at(4999), 7),
        DispatchStatus::Unknown,
        "its former incarnation may have sent it"
    );
    assert_eq!(log.status(at(5000), 7), DispatchStatus::NotExecuted);
    log.forget_past(at(5000));
    assert_eq!(
        log.status(at(5500), 7),
        DispatchStatus::Unknown,
        "another process was beside it"
    );
    for id in 0..150 {
        log.on_dispatch(at(10_000 + id), id, "m");
    }
    assert_eq!(log.len(), 100);
    assert_eq!(
        log.status(at(10_200), 9999),
        DispatchStatus::Unknown,
        "it may be among those forgotten"
    );
    assert_eq!(log.status(at(10_200), 149), sent(51, "m"));
    assert_eq!(
        log.status(at(10_049 + 5000), 9999),
        DispatchStatus::NotExecuted,
        "no repeat of those can come any more"
    );
}

#[test]
fn give_up_is_kept_for_the_window() {
    let mut log = DispatchLog::new(NOW, WINDOW, 100, false);
    log.give_up(at(0), 7);
    assert!(log.is_given_up(7) && !log.is_given_up(8));
    log.give_up(at(4000), 7);
    let _ = log.status(at(6000), 1);
    assert!(log.is_given_up(7), "it was asked about again");
    let _ = log.status(at(9000), 1);
    assert!(!log.is_given_up(7) && log.is_empty());
}

#[test]
fn on_reply_with_one_doubt_or_timeout_decides_in_doubt() {
    let doubt = |age, member: Option<&str>| InquiryOutcome::MayHaveExecuted {
        age,
        member: member.map(str::to_owned),
    };
    type Case = (&'static str, Vec<(usize, DispatchStatus)>, Option<InquiryOutcome>);
    #[rustfmt::skip]
    let table: [Case; 6] = [
        ("all untouched", vec![(0, DispatchStatus::NotExecuted), (1, DispatchStatus::NotExecuted), (2, DispatchStatus::NotExecuted)], Some(InquiryOutcome::NotExecuted)),
        ("one is silent", vec![(0, DispatchStatus::NotExecuted), (2, DispatchStatus::NotExecuted)], None),
        ("one has sent it", vec![(1, sent(30, "m4"))], Some(doubt(TimeSpan::millis(30), Some("m4")))),
        ("one can't say", vec![(0, DispatchStatus::NotExecuted), (1, DispatchStatus::Unknown)], Some(doubt(UNBOUNDED_AGE, None))),
        ("one says it twice", vec![(0, DispatchStatus::NotExecuted), (0, DispatchStatus::NotExecuted), (0, DispatchStatus::NotExecuted)], None),
        ("somebody who wasn't asked", vec![(9, sent(1, "m"))], None),
    ];
    for (name, words, verdict) in table {
        let mut inquiries = Inquiries::default();
        let turn = inquiries
            .start(NOW, 7, &[0, 1, 2], TimeSpan::millis(100))
            .expect("three are asked");
        let told = words.iter().fold(None, |told, (peer, known)| {
            told.or(inquiries.on_reply(7, turn, *peer, known))
        });
        assert_eq!(told, verdict, "{name}");
        // An answer to another turn of the same id is none.
        assert_eq!(inquiries.on_reply(7, turn + 1, 1, &sent(1, "m")), None, "{name}");
        assert!(inquiries.take_timed_out(at(99)).is_empty(), "{name}");
        let late = inquiries.take_timed_out(at(100));
        let silent = vec![InquiryDecision {
            id: 7,
            outcome: doubt(UNBOUNDED_AGE, None),
        }];
        assert_eq!(
            late,
            if verdict.is_some() { Vec::new() } else { silent },
            "{name}"
        );
        assert!(inquiries.is_empty());
    }
    let nobody = Inquiries::default().start(NOW, 7, &[], TimeSpan::millis(100));
    assert_eq!(nobody, None, "there is nobody else");
}

/// A mistake that the checker must find.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mistake {
    /// NodeIdentity is asked goes on holding the statement.
    KeepWhatIsAsked,
    /// A new incarnation says that it never sent what it can't know.
    BlankIsUntouched,
    /// NodeIdentity is silent is taken to have sent nothing.
    SilenceIsConsent,
    /// What isn't marked as a repeat is taken for the first.
    TrustTheUnmarked,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Driver {
    is_up: bool,
    log: DispatchLog,
    inquiries: Inquiries,
    /// It holds the statement, which may go out; or asks others first.
    holds: bool,
    asks: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Word {
    Ask {
        from: usize,
        to: usize,
        turn: u32,
    },
    Answer {
        from: usize,
        to: usize,
        turn: u32,
        known: u8,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    drivers: Vec<Driver>,
    /// Sent by the client and not read yet: to whom, and whether it is marked as a repeat.
    unread: Vec<(usize, bool)>,
    words: Vec<Word>,
    /// Executions that are out, by whose driver sent them.
    out: Vec<usize>,
    effects: u8,
    repeats: u8,
    crashes: u8,
    /// How often it was proven to have left a member untouched.
    misses: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Repeat(usize),
    Read(usize),
    Send(usize),
    Runs(usize),
    Untouched(usize),
    Arrives(usize),
    IsLost(usize),
    TimesOut(usize),
    Crash(usize),
    Restart(usize),
}

struct Fleet {
    mistake: Option<Mistake>,
    drivers: usize,
    repeats: u8,
}

const ID: u64 = 7;

fn known(number: u8) -> DispatchStatus {
    match number {
        0 => DispatchStatus::NotExecuted,
        1 => sent(1, "m"),
        _ => DispatchStatus::Unknown,
    }
}

fn number(known: &DispatchStatus) -> u8 {
    match known {
        DispatchStatus::NotExecuted => 0,
        DispatchStatus::Dispatched { .. } => 1,
        DispatchStatus::Unknown => 2,
    }
}

impl Fleet {
    fn begin(&self, follows: bool) -> Driver {
        let follows = follows && self.mistake != Some(Mistake::BlankIsUntouched);
        Driver {
            is_up: true,
            log: DispatchLog::new(NOW, WINDOW, 10, follows),
            inquiries: Inquiries::default(),
            holds: false,
            asks: false,
        }
    }

    /// The same steps as the owner's.
    fn read(&self, w: &mut World, to: usize, repeat: bool) {
        let d = &mut w.drivers[to];
        let is_open = d.holds || d.asks || w.out.contains(&to);
        if is_open || d.log.is_given_up(ID) {
            return;
        }
        match d.log.status(NOW, ID) {
            // Also where it isn't marked: the checker found a first that was read behind its repeat.
            DispatchStatus::Dispatched { .. } if self.mistake != Some(Mistake::TrustTheUnmarked) => return,
            _ if !repeat => {
                d.holds = true;
                return;
            }
            DispatchStatus::NotExecuted => {}
            _ => return,
        }
        let peers: Vec<usize> = (0..self.drivers).filter(|p| *p != to).collect();
        match d.inquiries.start(NOW, ID, &peers, TimeSpan::millis(100)) {
            Some(turn) => {
                d.asks = true;
                w.words.extend(peers.iter().map(|p| Word::Ask {
                    from: to,
                    to: *p,
                    turn,
                }));
            }
            None => d.holds = true,
        }
    }

    fn arrives(&self, w: &mut World, word: &Word) {
        match word {
            Word::Ask { from, to, turn } => {
                let d = &mut w.drivers[*to];
                let told = d.log.status(NOW, ID);
                if told == DispatchStatus::NotExecuted && self.mistake != Some(Mistake::KeepWhatIsAsked) {
                    d.log.give_up(NOW, ID);
                    d.inquiries.cancel(ID);
                    (d.holds, d.asks) = (false, false);
                }
                w.words.push(Word::Answer {
                    from: *to,
                    to: *from,
                    turn: *turn,
                    known: number(&told),
                });
            }
            Word::Answer {
                from,
                to,
                turn,
                known: n,
            } => {
                let d = &mut w.drivers[*to];
                if let Some(verdict) = d.inquiries.on_reply(ID, *turn, *from, &known(*n)) {
                    d.asks = false;
                    d.holds = verdict == InquiryOutcome::NotExecuted;
                }
            }
        }
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World {
            drivers: (0..self.drivers).map(|_| self.begin(false)).collect(),
            unread: vec![(0, false)],
            words: Vec::new(),
            out: Vec::new(),
            effects: 0,
            repeats: 0,
            crashes: 0,
            misses: 0,
        }]
    }

    fn actions(&self, w: &World, steps: &mut Vec<Step>) {
        for n in 0..self.drivers {
            let d = &w.drivers[n];
            let mut may = |possible: bool, step: Step| steps.extend(possible.then_some(step));
            may(w.repeats < self.repeats, Step::Repeat(n));
            may(d.is_up && d.holds, Step::Send(n));
            may(d.is_up && d.asks, Step::TimesOut(n));
            may(d.is_up && w.crashes < 1, Step::Crash(n));
            may(!d.is_up, Step::Restart(n));
        }
        steps.extend(
            (0..w.unread.len())
                .filter(|n| w.drivers[w.unread[*n].0].is_up)
                .map(Step::Read),
        );
        steps.extend((0..w.out.len()).map(Step::Runs));
        if w.misses < 2 {
            steps.extend((0..w.out.len()).map(Step::Untouched));
        }
        steps.extend((0..w.words.len()).map(Step::Arrives));
        steps.extend((0..w.words.len()).map(Step::IsLost));
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut w = last.clone();
        match step {
            Step::Repeat(n) => {
                w.repeats += 1;
                w.unread.push((n, true));
            }
            Step::Read(n) => {
                let (to, repeat) = w.unread.remove(n);
                self.read(&mut w, to, repeat);
            }
            Step::Send(n) => {
                w.drivers[n].holds = false;
                w.drivers[n].log.on_dispatch(NOW, ID, "m");
                w.out.push(n);
            }
            Step::Runs(n) => {
                w.out.remove(n);
                w.effects += 1;
            }
            // Proven: a write that missed its primary waits for the next one.
            Step::Untouched(n) => {
                let by = w.out.remove(n);
                w.misses += 1;
                let d = &mut w.drivers[by];
                if d.is_up && d.log.status(NOW, ID) != DispatchStatus::NotExecuted {
                    d.log.on_not_executed(ID);
                    d.holds = true;
                }
            }
            Step::Arrives(n) => {
                let word = w.words.remove(n);
                let (Word::Ask { to, .. } | Word::Answer { to, .. }) = word;
                if w.drivers[to].is_up {
                    self.arrives(&mut w, &word);
                }
            }
            Step::IsLost(n) => drop(w.words.remove(n)),
            Step::TimesOut(n) => {
                let verdicts = w.drivers[n].inquiries.take_timed_out(NOW + TimeSpan::millis(100));
                w.drivers[n].asks = false;
                w.drivers[n].holds = !verdicts.is_empty() && self.mistake == Some(Mistake::SilenceIsConsent);
            }
            Step::Crash(n) => {
                w.crashes += 1;
                w.drivers[n].is_up = false;
                (w.drivers[n].holds, w.drivers[n].asks) = (false, false);
                w.unread.retain(|(to, _)| *to != n);
                // What is out may run all the same; nobody hears of it.
            }
            Step::Restart(n) => w.drivers[n] = self.begin(true),
        }
        w.words.sort();
        w.unread.sort_unstable();
        w.out.sort_unstable();
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a statement has one effect", |_, w: &World| w.effects < 2),
            Property::sometimes("a repeat runs at another driver", |_, w: &World| {
                w.effects == 1 && w.drivers[0].is_up && w.drivers[0].log.is_given_up(ID)
            }),
        ]
    }
}

fn checked(mistake: Option<Mistake>, drivers: usize, repeats: u8) -> impl Checker<Fleet> {
    let fleet = Fleet {
        mistake,
        drivers,
        repeats,
    };
    fleet.checker().threads(4).spawn_bfs().join()
}

#[test]
fn statement_in_any_order_of_steps_losses_and_a_crash_executes_at_most_once() {
    for (drivers, repeats) in [(2, 3), (3, 2)] {
        let checker = checked(None, drivers, repeats);
        println!(
            "{drivers} drivers, {repeats} repeats: {} states",
            checker.unique_state_count()
        );
        checker.assert_properties();
        assert!(checker.unique_state_count() > 1000);
    }
}

#[test]
fn model_with_seeded_mistake_is_rejected() {
    for mistake in [
        Mistake::KeepWhatIsAsked,
        Mistake::BlankIsUntouched,
        Mistake::SilenceIsConsent,
        Mistake::TrustTheUnmarked,
    ] {
        let checker = checked(Some(mistake), 2, 2);
        let found = checker.discovery("a statement has one effect").is_some();
        assert!(found, "{mistake:?} is not found");
    }
}
