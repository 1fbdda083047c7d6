//! Who of the configured drivers is there: SWIM by the `foca` library, without its sockets and clocks; and what only this
//! program asks of a peer: how much later than usual its word comes, and whether it has caught up.
//!
//! A driver is named by the operators' file, at one address. Its life tells its starts apart: a later one wins over a
//! former one's memory in others. Where the machine's clock went back over a restart, a peer that knows a later life says
//! so in each datagram, and the driver takes one above it.

use asterlatch::time::{TimeSpan, Timestamp};
use foca::{Config, Foca, Identity, Member, NoCustomBroadcast, PostcardCodec, State, Timer};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// A driver in one of its lives.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Who {
    pub name: String,
    pub life: u64,
}

impl Identity for Who {
    type Addr = String;

    /// Others believe it is gone: it comes back as one that has just begun.
    fn renew(&self) -> Option<Who> {
        let (name, life) = (self.name.clone(), self.life + 1);
        Some(Who { name, life })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, adversary: &Who) -> bool {
        self.life > adversary.life
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Presence {
    /// Nothing has ever come from it.
    Unheard,
    There,
    Suspected,
    Gone,
}

impl Presence {
    pub fn name(self) -> &'static str {
        match self {
            Presence::Unheard => "unheard",
            Presence::There => "there",
            Presence::Suspected => "suspected",
            Presence::Gone => "gone",
        }
    }
}

/// How long the parts of finding out take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// One peer is asked whether it lives, each time another one.
    pub probe: TimeSpan,
    /// A suspected one is gone after this.
    pub suspicion: TimeSpan,
}

impl Default for Times {
    fn default() -> Times {
        Times {
            probe: TimeSpan::millis(500),
            suspicion: TimeSpan::millis(2000),
        }
    }
}

/// A clock's drift moves the least delay seen up by so much of the time that passed: a millionth is a second in eleven days,
/// this is ten times worse than clocks are.
const DRIFT: f64 = 0.0005;

/// What is known of a configured peer.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    pub name: String,
    pub presence: Presence,
    pub since: Timestamp,
    /// The latest life that was heard.
    pub life: u64,
    pub heard: Option<Timestamp>,
    pub caught_up: bool,
    /// The least difference seen between when its word came by this clock and left by its own, and when.
    least: Option<(i128, Timestamp)>,
    /// How much later than that the last one came.
    pub late: TimeSpan,
}

impl Peer {
    fn new(name: String) -> Peer {
        Peer {
            name,
            presence: Presence::Unheard,
            since: Timestamp(0),
            life: 0,
            heard: None,
            caught_up: false,
            least: None,
            late: TimeSpan(0),
        }
    }

    /// A datagram came that left at this point of its sender's clock. Both clocks run, wherever they stand: what comes later
    /// than ever before, by their difference, was held up on the way or lay unread here, and what it tells is older by that.
    fn time(&mut self, now: Timestamp, sent: Timestamp, life: u64) {
        if life != self.life {
            self.least = None;
        }
        let difference = i128::from(now.0) - i128::from(sent.0);
        let least = self.least.map_or(difference, |(least, at)| {
            let drift = ((now - at) * DRIFT).0;
            difference.min(least + i128::from(drift))
        });
        self.least = Some((least, now));
        self.late = TimeSpan(u64::try_from(difference - least).unwrap_or(0));
        (self.life, self.heard) = (life, Some(now));
    }
}

/// Draws from the instance's seed.
struct Chance(fastrand::Rng);

impl rand::TryRng for Chance {
    type Error = Infallible;

    fn try_next_u32(&mut self) -> Result<u32, Infallible> {
        Ok(self.0.u32(..))
    }

    fn try_next_u64(&mut self) -> Result<u64, Infallible> {
        Ok(self.0.u64(..))
    }

    fn try_fill_bytes(&mut self, into: &mut [u8]) -> Result<(), Infallible> {
        self.0.fill(into);
        Ok(())
    }
}

/// Collects what the library wants done.
#[derive(Default)]
struct Wants {
    send: Vec<(String, Vec<u8>)>,
    later: Vec<(Duration, Timer<Who>)>,
    is_defunct: bool,
}

impl foca::Runtime<Who> for &mut Wants {
    fn notify(&mut self, notification: foca::Notification<'_, Who>) {
        // Presence is read from the library's own table; only that others hold this one for gone is told nowhere else.
        self.is_defunct |= matches!(notification, foca::Notification::Defunct);
    }

    fn send_to(&mut self, to: Who, data: &[u8]) {
        self.send.push((to.name, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Who>, after: Duration) {
        self.later.push((after, event));
    }
}

pub struct Peers {
    foca: Foca<Who, PostcardCodec, Chance, NoCustomBroadcast>,
    all: Vec<Peer>,
    timers: BTreeMap<(Timestamp, u64), Timer<Who>>,
    count: u64,
    announce_at: Timestamp,
    announced: usize,
    times: Times,
}

/// A change that is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub peer: usize,
    pub from: Presence,
    pub to: Presence,
}

/// The longest message of the library: it goes into a datagram with others.
pub const LONGEST: usize = 900;

fn config(times: Times) -> Config {
    let of = |span: TimeSpan| Duration::from_micros(span.0);
    let mut config = Config::simple();
    config.probe_period = of(times.probe);
    config.probe_rtt = of(times.probe * 0.4);
    config.suspect_to_down_after = of(times.suspicion);
    config.remove_down_after = Some(of(TimeSpan(times.suspicion.0.saturating_mul(30))));
    config.max_packet_size = NonZeroUsize::new(LONGEST).unwrap_or(NonZeroUsize::MIN);
    config.max_transmissions = NonZeroU8::new(8).unwrap_or(NonZeroU8::MIN);
    config.notify_down_members = true;
    config
}

impl Peers {
    pub fn new(own: Who, names: &[String], times: Times, seed: u64, now: Timestamp) -> Peers {
        let chance = Chance(fastrand::Rng::with_seed(seed));
        Peers {
            foca: Foca::new(own, config(times), chance, PostcardCodec),
            all: names.iter().cloned().map(Peer::new).collect(),
            timers: BTreeMap::new(),
            count: 0,
            announce_at: now,
            announced: 0,
            times,
        }
    }

    pub fn own(&self) -> &Who {
        self.foca.identity()
    }

    pub fn all(&self) -> &[Peer] {
        &self.all
    }

    pub fn find(&self, name: &str) -> Option<usize> {
        self.all.iter().position(|p| p.name == name)
    }

    /// Those that word can be sent to with hope.
    pub fn there(&self) -> impl Iterator<Item = usize> + '_ {
        let there = |p: &Peer| matches!(p.presence, Presence::There | Presence::Suspected);
        self.all
            .iter()
            .enumerate()
            .filter(move |(_, p)| there(p))
            .map(|(n, _)| n)
    }

    pub fn next_at(&self) -> Timestamp {
        let timer = self.timers.first_key_value().map(|((at, _), _)| *at);
        timer.map_or(self.announce_at, |at| at.min(self.announce_at))
    }

    /// A datagram of a peer came, that left at this point of its clock.
    pub fn heard(&mut self, now: Timestamp, peer: usize, life: u64, sent: Timestamp, caught_up: bool) {
        let p = &mut self.all[peer];
        p.time(now, sent, life);
        p.caught_up = caught_up;
    }

    /// What the library's messages say; what it wants sent.
    pub fn message(&mut self, now: Timestamp, data: &[u8]) -> Vec<(usize, Vec<u8>)> {
        let mut wants = Wants::default();
        // What makes no sense to it is passed over, as whatever is lost.
        let _ = self.foca.handle_data(data, &mut wants);
        self.do_all(now, wants)
    }

    /// Another life of this driver is known to others: it goes on above that.
    pub fn outlive(&mut self, now: Timestamp, life: u64) -> Vec<(usize, Vec<u8>)> {
        let mut wants = Wants::default();
        let own = Who {
            name: self.own().name.clone(),
            life: life + 1,
        };
        let _ = self.foca.change_identity(own, &mut wants);
        self.do_all(now, wants)
    }

    pub fn leave(&mut self, now: Timestamp) -> Vec<(usize, Vec<u8>)> {
        let mut wants = Wants::default();
        let _ = self.foca.leave_cluster(&mut wants);
        self.do_all(now, wants)
    }

    /// Does what is due by the clock.
    pub fn reach(&mut self, now: Timestamp) -> Vec<(usize, Vec<u8>)> {
        let mut sent = Vec::new();
        // A driver that was held up has many due at once: what each does is due once.
        let due: Vec<_> = self.timers.range(..=(now, u64::MAX)).map(|(at, _)| *at).collect();
        for at in due {
            let Some(timer) = self.timers.remove(&at) else {
                continue;
            };
            let mut wants = Wants::default();
            let _ = self.foca.handle_timer(timer, &mut wants);
            sent.extend(self.do_all(now, wants));
        }
        if self.announce_at <= now {
            self.announce_at = now + self.times.probe;
            sent.extend(self.announce(now));
            sent.extend(self.end_suspicions(now));
        }
        sent
    }

    /// Who suspects keeps the timer that ends it, and the library drops that where its owner is itself held for gone and
    /// comes back under a new life; nor does it tell the suspected one again. So that nobody stays suspected by somebody who
    /// answers it: after twice the time it counts as gone, is told so by its next word, and comes back.
    fn end_suspicions(&mut self, now: Timestamp) -> Vec<(usize, Vec<u8>)> {
        let is_old =
            |p: &&Peer| p.presence == Presence::Suspected && now - p.since > self.times.suspicion * 2.0;
        let old: Vec<&str> = self.all.iter().filter(is_old).map(|p| p.name.as_str()).collect();
        let states = self.foca.iter_membership_state();
        let suspects = states.filter(|m| m.state() == State::Suspect && old.contains(&m.id().name.as_str()));
        let down: Vec<_> = suspects
            .map(|m| Member::new(m.id().clone(), m.incarnation(), State::Down))
            .collect();
        let mut wants = Wants::default();
        let _ = self.foca.apply_many(down.into_iter(), true, &mut wants);
        self.do_all(now, wants)
    }

    /// Those who aren't there are called by turns: one that starts is found, and so is one behind a cut that has healed.
    fn announce(&mut self, now: Timestamp) -> Vec<(usize, Vec<u8>)> {
        let away = |p: &Peer| matches!(p.presence, Presence::Unheard | Presence::Gone);
        let turns = (1..=self.all.len()).map(|n| (self.announced + n) % self.all.len());
        let next: Vec<usize> = turns.filter(|n| away(&self.all[*n])).take(2).collect();
        let mut sent = Vec::new();
        for n in next {
            self.announced = n;
            let mut wants = Wants::default();
            let p = &self.all[n];
            let to = Who {
                name: p.name.clone(),
                life: p.life,
            };
            let _ = self.foca.announce(to, &mut wants);
            sent.extend(self.do_all(now, wants));
        }
        sent
    }

    fn do_all(&mut self, now: Timestamp, mut wants: Wants) -> Vec<(usize, Vec<u8>)> {
        if std::mem::take(&mut wants.is_defunct) {
            // The library renews by itself where it can; where it couldn't, it starts over.
            if let Some(own) = self.foca.identity().renew() {
                let _ = self.foca.change_identity(own, &mut wants);
            }
        }
        for (after, timer) in wants.later {
            self.count += 1;
            let at = now + TimeSpan(u64::try_from(after.as_micros()).unwrap_or(u64::MAX));
            self.timers.insert((at, self.count), timer);
        }
        let sent = wants.send.into_iter();
        sent.filter_map(|(name, data)| Some((self.find(&name)?, data)))
            .collect()
    }

    /// Reads presence from the library; what has changed.
    pub fn changes(&mut self, now: Timestamp) -> Vec<Change> {
        let mut states: BTreeMap<&str, (u64, Presence)> = BTreeMap::new();
        for member in self.foca.iter_membership_state() {
            let presence = match member.state() {
                State::Alive => Presence::There,
                State::Suspect => Presence::Suspected,
                State::Down => Presence::Gone,
            };
            let (name, life) = (member.id().name.as_str(), member.id().life);
            // Of several lives the last one counts.
            let known = states.entry(name).or_insert((life, presence));
            if life > known.0 || life == known.0 && presence < known.1 {
                *known = (life, presence);
            }
        }
        let mut changes = Vec::new();
        for (n, p) in self.all.iter_mut().enumerate() {
            let told = states.get(p.name.as_str()).map(|(_, presence)| *presence);
            // The library forgets those long gone.
            let to = told.unwrap_or(match p.presence {
                Presence::Unheard => Presence::Unheard,
                _ => Presence::Gone,
            });
            if to != p.presence {
                let from = std::mem::replace(&mut p.presence, to);
                p.since = now;
                if to == Presence::Gone {
                    p.caught_up = false;
                }
                changes.push(Change { peer: n, from, to });
            }
        }
        changes
    }
}
