//! All of it together: a datagram, an observation, a question or the clock goes in; datagrams, news and answers come out.

use crate::anti_entropy::{Catchup, Seen};
use crate::codec::{self, Head, Item, Question};
use crate::conflict;
use crate::dissemination::{tellings, Rate, Spread};
use crate::in_doubt::Known;
use crate::membership::{Change, Peers, Presence, Times, Who};
use crate::record::{Key, Kind, Record};
use crate::state::{Book, Learned};
use asterlatch::time::{TimeSpan, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Drivers of other fleets are not understood.
    pub fleet: String,
    pub name: String,
    /// Of the others, in the order in which addresses are known.
    pub peers: Vec<String>,
    /// Between two tellings of what is new.
    pub tick: TimeSpan,
    /// To so many peers each time.
    pub fanout: usize,
    /// Between two comparings with a peer.
    pub compare: TimeSpan,
    /// Bytes a second that are sent in all.
    pub rate: u64,
    pub times: Times,
    /// How long a question is repeated to who hasn't answered.
    pub ask: TimeSpan,
    /// Mark of the operators' file in force.
    pub file: u64,
    /// What its datagrams are written as.
    pub dialect: codec::Dialect,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Input<'a> {
    /// From the address of this peer.
    Datagram {
        from: usize,
        bytes: &'a [u8],
    },
    /// Seen here, so long ago.
    Observed(Vec<(Record, TimeSpan)>),
    /// Whether any of the others has sent this statement.
    Ask(Question),
    /// Nobody needs that answer any more.
    Asked(Question),
    /// What this driver knows of what a peer asked.
    Answer {
        to: usize,
        question: Question,
        known: Known,
    },
    /// The list of members that is in force.
    List(u64),
    /// This process is to leave: others needn't find out.
    Leave,
    Time,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Send {
        to: usize,
        bytes: Vec<u8>,
    },
    /// What others have told that wasn't known here, and when that was.
    News(Record, Timestamp),
    Question {
        from: usize,
        question: Question,
    },
    Answered {
        from: usize,
        question: Question,
        known: Known,
    },
    Presence(Change),
    /// Whether this driver's copy is whole.
    CaughtUp(bool),
    /// A peer spoke as somebody else, or more than it may: it is not listened to for a while.
    CutOff {
        peer: usize,
        why: &'static str,
    },
}

/// What is counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub datagrams_sent: u64,
    pub bytes_sent: u64,
    pub datagrams_heard: u64,
    pub bytes_heard: u64,
    pub garbled: u64,
    pub unknown_version: u64,
    pub passed_over: u64,
    pub facts_told: u64,
    pub facts_heard: u64,
    pub facts_new: u64,
    pub facts_refused: u64,
    pub rounds: u64,
}

/// A peer may send more than this driver does, for catching up, but by no more than this.
const HEARD_MOST: u64 = 4;
/// Who spoke too much, or as somebody else, is not listened to for so long.
const CUT: TimeSpan = TimeSpan::millis(5000);
/// Questions that a peer may ask at once; each second gives as many anew.
const QUESTIONS: u64 = 200;
/// A driver that heard and did nothing for so many suspicions was away.
const AWAY: f64 = 1.0;
/// Part of what is left of the rate that news may take at a tick: the rest is for who catches up.
const NEWS: f64 = 0.75;

/// Changes that are counted for who keeps a copy.
const MOST_CHANGED: usize = 8192;

struct Listening {
    bytes: Rate,
    questions: Rate,
    cut_until: Timestamp,
}

pub struct Engine {
    settings: Settings,
    pub book: Book,
    pub peers: Peers,
    pub catchup: Catchup,
    pub counts: Counts,
    spread: Spread,
    rate: Rate,
    listening: Vec<Listening>,
    chance: fastrand::Rng,
    /// Who hasn't answered a question, and when those are asked again.
    asking: BTreeMap<Question, (BTreeSet<usize>, Timestamp, Timestamp)>,
    tick_at: Timestamp,
    compare_at: Timestamp,
    alone_since: Option<Timestamp>,
    last: Timestamp,
    list: u64,
    /// How often this driver has told of itself, and what: its life, its list, and whether its copy is whole.
    said: u64,
    described: Option<(u64, u64, bool)>,
    /// Items for each peer that leave at the end of the input.
    outbox: BTreeMap<usize, Vec<Vec<u8>>>,
    outputs: Vec<Output>,
    has_left: bool,
    /// What has changed since it was last asked, for who keeps a copy; more than that is no longer counted.
    changed: BTreeSet<Key>,
    uncounted: bool,
}

impl Engine {
    /// `life` grows from one start of this driver to the next, as far as its machine's clock does.
    pub fn new(settings: Settings, life: u64, seed: u64, now: Timestamp) -> Engine {
        let who = Who {
            name: settings.name.clone(),
            life,
        };
        let listening = |_: &String| Listening {
            bytes: Rate::new(now, settings.rate.saturating_mul(HEARD_MOST)),
            questions: Rate::new(now, QUESTIONS),
            cut_until: Timestamp(0),
        };
        let patience = settings.times.suspicion + settings.times.probe;
        Engine {
            book: Book::default(),
            peers: Peers::new(who, &settings.peers, settings.times, seed, now),
            catchup: Catchup::new(now, patience),
            counts: Counts::default(),
            spread: Spread::default(),
            rate: Rate::new(now, settings.rate),
            listening: settings.peers.iter().map(listening).collect(),
            chance: fastrand::Rng::with_seed(seed ^ 0x5eed),
            asking: BTreeMap::new(),
            tick_at: now,
            compare_at: now,
            alone_since: Some(now),
            last: now,
            list: 0,
            said: 0,
            described: None,
            outbox: BTreeMap::new(),
            outputs: Vec::new(),
            has_left: false,
            changed: BTreeSet::new(),
            uncounted: false,
            settings,
        }
    }

    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    pub fn next_at(&self) -> Timestamp {
        let again = self.asking.values().map(|(_, at, _)| *at).min();
        let times = [self.tick_at, self.compare_at, self.peers.next_at()];
        times
            .into_iter()
            .chain(again)
            .min()
            .unwrap_or(Timestamp(u64::MAX))
    }

    pub fn take(&mut self, now: Timestamp, input: Input) -> Vec<Output> {
        self.notice_absence(now);
        match input {
            Input::Datagram { from, bytes } => self.datagram(now, from, bytes),
            Input::Observed(facts) => {
                for (fact, age) in facts {
                    self.learn(now, fact, now - age, true);
                }
            }
            Input::Ask(question) => self.ask(now, question),
            Input::Asked(question) => drop(self.asking.remove(&question)),
            Input::Answer { to, question, known } => {
                self.post(to, &Item::Answer(question, known));
            }
            Input::List(list) => self.list = list,
            Input::Leave => {
                self.has_left = true;
                let sent = self.peers.leave(now);
                self.post_presence(sent);
            }
            Input::Time => {}
        }
        if !self.has_left {
            self.reach(now);
            self.describe(now);
        }
        self.flush(now);
        std::mem::take(&mut self.outputs)
    }

    /// A process that was stopped, or a machine that slept, finds old news unread; what it holds may be older still.
    fn notice_absence(&mut self, now: Timestamp) {
        if now - self.last > self.settings.times.suspicion * AWAY {
            self.catchup.fall_behind(now);
            self.outputs.push(Output::CaughtUp(false));
        }
        self.last = now;
    }

    fn datagram(&mut self, now: Timestamp, from: usize, bytes: &[u8]) {
        let Some(listening) = self.listening.get_mut(from) else {
            return;
        };
        self.counts.datagrams_heard += 1;
        self.counts.bytes_heard += bytes.len() as u64;
        if now < listening.cut_until {
            self.counts.passed_over += 1;
            return;
        }
        listening.bytes.reach(now);
        if !listening.bytes.draw(bytes.len()) {
            listening.cut_until = now + CUT;
            self.outputs.push(Output::CutOff {
                peer: from,
                why: "it sends more than it may",
            });
            return;
        }
        let (head, items) = match codec::read_datagram(&self.settings.fleet, bytes) {
            Ok(read) => read,
            Err(codec::Fault::Garbled) => {
                self.counts.garbled += 1;
                return;
            }
            Err(codec::Fault::Version(_)) => {
                self.counts.unknown_version += 1;
                return;
            }
        };
        if head.name != self.settings.peers[from] {
            let expected = self.settings.peers[from].clone();
            let sides = (expected, head.name.clone());
            let is_new = self
                .book
                .quarrels
                .note(now, conflict::Kind::Foreign, head.name, sides);
            if is_new {
                let why = "it speaks under another name than its address has";
                self.outputs.push(Output::CutOff { peer: from, why });
            }
            return;
        }
        self.peers.heard(now, from, head.life, head.sent, head.caught_up);
        if head.knows_you > self.peers.own().life {
            // The clock went back over this driver's start: others wait for a life above the one they know.
            let sent = self.peers.outlive(now, head.knows_you);
            self.post_presence(sent);
        }
        for item in items {
            self.item(now, from, item);
        }
    }

    fn item(&mut self, now: Timestamp, from: usize, item: Item) {
        match item {
            Item::Presence(data) => {
                let sent = self.peers.message(now, &data);
                self.post_presence(sent);
            }
            Item::Fact(fact, age) => {
                self.counts.facts_heard += 1;
                // What lay unread or came late is older by that.
                let told = now - age - self.peers.all()[from].late;
                self.learn(now, fact, told, false);
            }
            Item::Digest { round, ranges } => self.catchup.compare(from, round, &ranges, &self.book),
            Item::Keys {
                round,
                from: low,
                upto,
                pairs,
                ..
            } => {
                let wishes = self.catchup.keys(from, round, (low, upto), &pairs, &self.book);
                for wish in wishes {
                    self.post(from, &wish);
                }
            }
            Item::Want { round, range, keys } => self.catchup.wish(from, round, range, &keys, &self.book),
            Item::Done { round, parts } => {
                let ended = self.catchup.done(from, round, parts, &self.book);
                self.counts.rounds += u64::from(ended);
            }
            Item::Ask(question) => {
                let questions = &mut self.listening[from].questions;
                questions.reach(now);
                // A peer that asks about everything must not fill what is kept of ids here.
                let may = questions.draw(1);
                if may {
                    self.outputs.push(Output::Question { from, question });
                } else {
                    self.post(from, &Item::Answer(question, Known::Unknown));
                }
            }
            Item::Answer(question, known) => {
                let asked = self.asking.get_mut(&question);
                if asked.is_some_and(|(waits, ..)| waits.remove(&from)) {
                    self.outputs.push(Output::Answered {
                        from,
                        question,
                        known,
                    });
                }
            }
        }
    }

    fn learn(&mut self, now: Timestamp, fact: Record, told: Timestamp, is_own: bool) {
        let (key, name) = (fact.key(), own_name(&fact));
        match self.book.learn(now, fact, told) {
            Learned::Nothing => {}
            Learned::Refused => self.counts.facts_refused += 1,
            Learned::More => {
                if !key.0.outlives() {
                    // It is nothing to who keeps a copy.
                } else if self.changed.len() < MOST_CHANGED {
                    self.changed.insert(key.clone());
                } else {
                    self.uncounted = true;
                }
                let there = self.peers.there().count();
                self.spread.is_new(&key, tellings(there, self.settings.fanout));
                if key.0 == Kind::Member {
                    self.book.watch_claims(now, &name);
                }
                if let Some(entry) = self.book.get(&key).filter(|_| !is_own) {
                    self.counts.facts_new += 1;
                    self.outputs.push(Output::News(entry.fact.clone(), entry.told));
                }
            }
        }
    }

    /// All others are asked, for whoever seems gone may only be out of this one's sight.
    fn ask(&mut self, now: Timestamp, question: Question) {
        let all: BTreeSet<usize> = (0..self.settings.peers.len()).collect();
        for peer in &all {
            self.post(*peer, &Item::Ask(question));
        }
        let until = now + self.settings.ask;
        self.asking
            .insert(question, (all, now + self.settings.ask * 0.4, until));
    }

    fn ask_again(&mut self, now: Timestamp) {
        let due: Vec<Question> = self
            .asking
            .iter()
            .filter(|(_, (_, at, _))| *at <= now)
            .map(|(q, _)| *q)
            .collect();
        for question in due {
            let Some((waits, at, until)) = self.asking.get_mut(&question) else {
                continue;
            };
            *at = now + self.settings.ask * 0.4;
            let (waits, is_over) = (waits.clone(), now >= *until || waits.is_empty());
            if is_over {
                self.asking.remove(&question);
                continue;
            }
            for peer in waits {
                self.post(peer, &Item::Ask(question));
            }
        }
    }

    /// Does what is due by the clock.
    fn reach(&mut self, now: Timestamp) {
        let sent = self.peers.reach(now);
        self.post_presence(sent);
        for change in self.peers.changes(now) {
            if change.to == Presence::Gone {
                self.catchup.forget(change.peer);
            }
            self.outputs.push(Output::Presence(change));
        }
        self.judge(now);
        self.ask_again(now);
        self.rate.reach(now);
        if self.compare_at <= now {
            self.compare_at = now + self.settings.compare;
            self.compare(now);
        }
        if self.tick_at <= now {
            self.tick_at = now + self.settings.tick;
            self.book.age(now);
            self.tell(now);
        }
        self.pay(now);
    }

    /// Who is there, and of those who has caught up.
    fn there(&self) -> (Vec<usize>, Vec<usize>) {
        let there: Vec<usize> = self.peers.there().collect();
        let whole = there.iter().copied().filter(|p| self.peers.all()[*p].caught_up);
        let whole = whole.collect();
        (there, whole)
    }

    fn judge(&mut self, now: Timestamp) {
        let (there, caught_up) = self.there();
        let was_long_alone = self
            .alone_since
            .is_some_and(|at| now - at >= self.settings.times.suspicion);
        if !there.is_empty() && was_long_alone && !self.catchup.is_behind() {
            // Others have gone on without this one.
            self.catchup.fall_behind(now);
            self.outputs.push(Output::CaughtUp(false));
        }
        self.alone_since = there.is_empty().then(|| self.alone_since.unwrap_or(now));
        let seen = Seen {
            there: &there,
            caught_up: &caught_up,
            alone_since: self.alone_since,
        };
        if self.catchup.judge(now, &seen) {
            self.outputs.push(Output::CaughtUp(!self.catchup.is_behind()));
        }
    }

    fn compare(&mut self, now: Timestamp) {
        let (there, caught_up) = self.there();
        let seen = Seen {
            there: &there,
            caught_up: &caught_up,
            alone_since: self.alone_since,
        };
        let Some(peer) = self.catchup.choose(&seen, &mut self.chance) else {
            return;
        };
        let is_whole = self.peers.all()[peer].caught_up;
        if let Some(item) = self.catchup.begin(now, peer, is_whole, &self.book) {
            self.post(peer, &item);
        }
    }

    /// What is new goes to a few.
    fn tell(&mut self, now: Timestamp) {
        let mut there: Vec<usize> = self.peers.there().collect();
        self.chance.shuffle(&mut there);
        there.truncate(self.settings.fanout);
        if there.is_empty() || self.spread.is_empty() {
            return;
        }
        let mut left = self.rate.left() * NEWS;
        let (book, mut items) = (&self.book, Vec::new());
        self.spread.tell(|key| {
            let Some(entry) = book.get(key) else { return true };
            let item = Item::Fact(entry.fact.clone(), Book::age_of(entry, now)).bytes();
            left -= (item.len() * there.len()) as f64;
            if left >= 0.0 {
                items.push(item);
            }
            left >= 0.0
        });
        self.counts.facts_told += (items.len() * there.len()) as u64;
        for peer in there {
            self.outbox.entry(peer).or_default().extend(items.iter().cloned());
        }
    }

    /// Who catches up gets what the rate has left.
    fn pay(&mut self, now: Timestamp) {
        if !self.catchup.owes() {
            return;
        }
        let waiting: usize = self.outbox.values().flatten().map(Vec::len).sum();
        let mut left = self.rate.left() - waiting as f64;
        let (outbox, facts) = (&mut self.outbox, &mut self.counts.facts_told);
        self.catchup.pay(now, &self.book, |peer, item| {
            let item = item.bytes();
            let fits = left >= item.len() as f64;
            if fits {
                left -= item.len() as f64;
                *facts += 1;
                outbox.entry(peer).or_default().push(item);
            }
            fits
        });
    }

    fn post(&mut self, to: usize, item: &Item) {
        self.outbox.entry(to).or_default().push(item.bytes());
    }

    fn post_presence(&mut self, sent: Vec<(usize, Vec<u8>)>) {
        for (to, data) in sent {
            self.post(to, &Item::Presence(data));
        }
    }

    /// All that is to leave, in as few datagrams as hold it.
    fn flush(&mut self, now: Timestamp) {
        for (to, items) in std::mem::take(&mut self.outbox) {
            let head = Head {
                name: self.settings.name.clone(),
                life: self.peers.own().life,
                sent: now,
                knows_you: self.peers.all()[to].life,
                caught_up: !self.catchup.is_behind(),
            };
            let room = self.settings.dialect.room(&head);
            let mut from = 0;
            while from < items.len() {
                let mut length = 0;
                let fitting = items[from..].iter().take_while(|item| {
                    length += item.len();
                    length <= room
                });
                let count = fitting.count().max(1);
                let bytes =
                    self.settings
                        .dialect
                        .datagram(&self.settings.fleet, &head, &items[from..from + count]);
                from += count;
                self.rate.spend(bytes.len());
                self.counts.datagrams_sent += 1;
                self.counts.bytes_sent += bytes.len() as u64;
                self.outputs.push(Output::Send { to, bytes });
            }
        }
    }

    /// What a former life of this driver has kept; it is told to others as news like any other, if they lack it.
    pub fn restore(&mut self, now: Timestamp, fact: Record, age: TimeSpan) {
        self.learn(now, fact, now - age, false);
    }

    pub fn has_changed(&self) -> bool {
        !self.changed.is_empty()
    }

    /// What has changed since this was last asked; nothing where that is more than is counted.
    pub fn take_changed(&mut self) -> Option<Vec<(Record, Timestamp)>> {
        let changed = std::mem::take(&mut self.changed);
        if std::mem::take(&mut self.uncounted) {
            return None;
        }
        let entries = changed.iter().filter_map(|key| self.book.get(key));
        Some(entries.map(|e| (e.fact.clone(), e.told)).collect())
    }

    /// What this driver says of itself, whenever that changes.
    fn describe(&mut self, now: Timestamp) {
        let is_whole = !self.catchup.is_behind();
        let all = (self.peers.own().life, self.list, is_whole);
        if self.described.replace(all) == Some(all) {
            return;
        }
        self.said += 1;
        let fact = Record::Driver {
            name: self.settings.name.clone(),
            life: all.0,
            said: self.said,
            list: all.1,
            file: self.settings.file,
            caught_up: is_whole,
        };
        self.learn(now, fact, now, true);
    }
}

fn own_name(fact: &Record) -> String {
    match fact {
        Record::Member { name, .. } | Record::Drain { name, .. } | Record::Driver { name, .. } => {
            name.clone()
        }
        Record::Cold { member, .. } | Record::Late { member, .. } => member.clone(),
        Record::Turn { subject, .. } => subject.clone(),
        Record::Load { driver, .. } => driver.clone(),
        Record::Session { .. } => String::new(),
    }
}

/// What of this copy an operator is shown, in the order of keys.
pub fn shown(book: &Book, now: Timestamp) -> Vec<(Key, Record, TimeSpan)> {
    let of = |e: &crate::state::Entry| (e.fact.key(), e.fact.clone(), now - e.told);
    book.all().map(of).collect()
}
