//! Faults by script, a line each:
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
//! Times count from the start. What holds at a moment is asked of the script; nothing is remembered.

use asterlatch::time::TimeSpan;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberFault {
    /// Each statement takes so much longer.
    Slow(TimeSpan),
    /// Takes statements and answers nothing; connections come up.
    Unresponsive,
    /// Connections are refused or ended.
    Down,
    /// Answers with an error that proves nothing.
    Failing,
    /// Runs statements, and ends the connection instead of an answer.
    DropsAnswers,
    /// Its log is so far behind.
    Lagging(TimeSpan),
    /// Listed as draining.
    Draining,
    /// It has just started, and is cold.
    WarmingUp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    Member(u32),
    /// Whichever member that is at the time.
    Primary(u32),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultEvent {
    Member {
        target: Target,
        fault: MemberFault,
        from: TimeSpan,
        until: TimeSpan,
    },
    /// The group's primary changes.
    PrimaryChange { group: u32, to: u32, at: TimeSpan },
    /// Of the program's processes, numbered from 1.
    Driver {
        driver: u32,
        outage: DriverFault,
        from: TimeSpan,
        until: TimeSpan,
    },
    /// Between processes of the program; nobody named means all.
    Link {
        from_drivers: Vec<u32>,
        to_drivers: Vec<u32>,
        both_ways: bool,
        fault: LinkFault,
        from: TimeSpan,
        until: TimeSpan,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DriverFault {
    /// SIGKILL, and begun anew at the end.
    Killed,
    /// SIGSTOP, and SIGCONT at the end.
    Stopped,
    /// Discovery tells it nothing new.
    DiscoveryStalled,
    /// Its clock stands so many seconds ahead of the others', or behind, from its next start on.
    ClockOffset(i64),
    /// SIGKILL, and begun anew on a copy of another driver's disk.
    RestartedOnDiskOf(u32),
    /// SIGKILL, and begun anew as a later build, which speaks to others in a later version of the wire.
    LaterBuild,
}

/// What a link does to datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    Cut,
    Delay(TimeSpan),
    /// In thousandths.
    Loss(u32),
    Corruption(u32),
}

/// What holds of a link in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkState {
    pub cut: bool,
    pub delay: TimeSpan,
    pub loss_per_mille: u32,
    pub corruption_per_mille: u32,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultScript(pub Vec<FaultEvent>);

/// `50ms`, `1.5s`.
fn span(text: &str) -> Result<TimeSpan, String> {
    let (number, unit) = match (text.strip_suffix("ms"), text.strip_suffix('s')) {
        (Some(number), _) => (number, 1e3),
        (_, Some(number)) => (number, 1e6),
        _ => return Err(format!("'{text}' is no span like 50ms or 1.5s")),
    };
    let number: f64 = number
        .parse()
        .map_err(|_| format!("'{text}' is no span like 50ms or 1.5s"))?;
    // A day is longer than any experiment.
    if !(0.0..=86_400e6).contains(&(number * unit)) {
        return Err(format!("'{text}' is out of bounds"));
    }
    Ok(TimeSpan((number * unit) as u64))
}

fn number(text: &str) -> Result<u32, String> {
    text.parse().map_err(|_| format!("'{text}' is no number"))
}

/// `30%`, in thousandths.
fn share(text: &str) -> Result<u32, String> {
    let number = text.strip_suffix('%').and_then(|n| n.parse::<f64>().ok());
    let number = number.filter(|n| (0.0..=100.0).contains(n));
    let number = number.ok_or_else(|| format!("'{text}' is no share like 30%"))?;
    Ok((number * 10.0) as u32)
}

fn numbers(words: &[&str]) -> Result<Vec<u32>, String> {
    words.iter().map(|w| number(w)).collect()
}

/// From then on for as long as the line's last words say.
fn lasting(at: TimeSpan, rest: &[&str]) -> Result<(TimeSpan, TimeSpan), String> {
    match rest {
        ["for", long] => Ok((at, TimeSpan(at.0 + span(long)?.0))),
        _ => Err("doesn't say for how long".to_owned()),
    }
}

/// What concerns the program's processes and the links between them; nothing where the line is of other things.
fn of_fleet(at: TimeSpan, words: &[&str]) -> Result<Option<FaultEvent>, String> {
    let (driver, rest) = match words {
        ["driver", n, rest @ ..] => (number(n)?, rest),
        ["link", a, way @ ("to" | "and"), b, rest @ ..] => {
            let (fault, rest) = link_fault(rest)?;
            let (from, until) = lasting(at, rest)?;
            return Ok(Some(FaultEvent::Link {
                from_drivers: vec![number(a)?],
                to_drivers: vec![number(b)?],
                both_ways: *way == "and",
                fault,
                from,
                until,
            }));
        }
        ["links", rest @ ..] => {
            let (fault, rest) = link_fault(rest)?;
            let (from, until) = lasting(at, rest)?;
            return Ok(Some(FaultEvent::Link {
                from_drivers: Vec::new(),
                to_drivers: Vec::new(),
                both_ways: true,
                fault,
                from,
                until,
            }));
        }
        ["split", rest @ ..] => {
            let middle = rest
                .iter()
                .position(|w| *w == "from")
                .ok_or("a split is 'from' others")?;
            let end = rest
                .iter()
                .position(|w| *w == "for")
                .ok_or("doesn't say for how long")?;
            let (from, until) = lasting(at, &rest[end..])?;
            return Ok(Some(FaultEvent::Link {
                from_drivers: numbers(&rest[..middle])?,
                to_drivers: numbers(rest.get(middle + 1..end).unwrap_or_default())?,
                both_ways: true,
                fault: LinkFault::Cut,
                from,
                until,
            }));
        }
        _ => return Ok(None),
    };
    let (outage, rest) = match rest {
        ["is", "killed", "and", "given", "the", "disk", "of", other, rest @ ..] => {
            (DriverFault::RestartedOnDiskOf(number(other)?), rest)
        }
        ["is", "renewed", rest @ ..] => (DriverFault::LaterBuild, rest),
        ["is", "killed", rest @ ..] => (DriverFault::Killed, rest),
        ["is", by, way @ ("ahead" | "behind"), rest @ ..] => {
            let seconds = (span(by)?.0 / 1_000_000) as i64;
            let sign = if *way == "ahead" { 1 } else { -1 };
            (DriverFault::ClockOffset(sign * seconds), rest)
        }
        ["stops", rest @ ..] => (DriverFault::Stopped, rest),
        ["hears", "no", "list", rest @ ..] => (DriverFault::DiscoveryStalled, rest),
        _ => return Err(
            "names nothing that befalls a driver: is killed, is renewed, stops, hears no list, is SPAN ahead or behind"
                .to_owned(),
        ),
    };
    let (from, until) = lasting(at, rest)?;
    Ok(Some(FaultEvent::Driver {
        driver,
        outage,
        from,
        until,
    }))
}

fn link_fault<'a, 'b>(words: &'b [&'a str]) -> Result<(LinkFault, &'b [&'a str]), String> {
    match words {
        ["is" | "are", "cut", rest @ ..] => Ok((LinkFault::Cut, rest)),
        ["slow", by, rest @ ..] => Ok((LinkFault::Delay(span(by)?), rest)),
        ["lose" | "loses", part, rest @ ..] => Ok((LinkFault::Loss(share(part)?), rest)),
        ["garble" | "garbles", part, rest @ ..] => Ok((LinkFault::Corruption(share(part)?), rest)),
        _ => Err("names nothing that befalls a link: is cut, slow, loses, garbles".to_owned()),
    }
}

fn event(line: &str) -> Result<FaultEvent, String> {
    let words: Vec<&str> = line.split_whitespace().collect();
    let (at, rest) = words.split_first().ok_or("is empty")?;
    let at = span(at)?;
    if let Some(event) = of_fleet(at, rest)? {
        return Ok(event);
    }
    let (target, rest) = match rest {
        ["group", g, "switches", "to", m] => {
            let (group, to) = (number(g)?, number(m)?);
            return Ok(FaultEvent::PrimaryChange { group, to, at });
        }
        ["member", m, rest @ ..] => (Target::Member(number(m)?), rest),
        ["primary", "of", g, rest @ ..] => (Target::Primary(number(g)?), rest),
        _ => return Err("names neither member, primary, group, driver, link nor split".to_owned()),
    };
    let (fault, rest) = match rest {
        ["slow", by, rest @ ..] => (MemberFault::Slow(span(by)?), rest),
        ["lags", by, rest @ ..] => (MemberFault::Lagging(span(by)?), rest),
        ["hangs", rest @ ..] => (MemberFault::Unresponsive, rest),
        ["is", "down", rest @ ..] => (MemberFault::Down, rest),
        ["fails", rest @ ..] => (MemberFault::Failing, rest),
        ["loses", "answers", rest @ ..] => (MemberFault::DropsAnswers, rest),
        ["drains", rest @ ..] => (MemberFault::Draining, rest),
        ["starts", rest @ ..] => (MemberFault::WarmingUp, rest),
        _ => {
            return Err(
                "names no fault: slow, lags, hangs, is down, fails, loses answers, drains, starts".to_owned(),
            )
        }
    };
    let ["for", long] = rest else {
        return Err("doesn't say for how long".to_owned());
    };
    let (from, until) = (at, TimeSpan(at.0 + span(long)?.0));
    Ok(FaultEvent::Member {
        target,
        fault,
        from,
        until,
    })
}

impl FaultScript {
    /// An error names its line.
    pub fn parse(text: &str) -> Result<FaultScript, String> {
        let lines = text.lines().enumerate();
        let meant = lines.filter(|(_, l)| !l.trim().is_empty() && !l.trim_start().starts_with('#'));
        let events = meant.map(|(n, line)| event(line).map_err(|e| format!("line {}: {e}", n + 1)));
        events.collect::<Result<_, _>>().map(FaultScript)
    }

    /// The member that is its group's primary, `first` from the start on.
    pub fn primary(&self, now: TimeSpan, group: u32, first: u32) -> (u32, TimeSpan) {
        let switches = self.0.iter().filter_map(|e| match e {
            FaultEvent::PrimaryChange { group: g, to, at } if *g == group && *at <= now => Some((*at, *to)),
            _ => None,
        });
        switches
            .max_by_key(|(at, _)| *at)
            .map_or((first, TimeSpan(0)), |(at, to)| (to, at))
    }

    /// What holds of a member now, and since when.
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

    /// When a member last began anew, up to now.
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

    /// When the list of members changes next: drains begin or end, or a member has begun anew.
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

    /// What befalls drivers, in the order of their beginnings.
    pub fn driver_faults(&self) -> Vec<(u32, DriverFault, TimeSpan, TimeSpan)> {
        let all = self.0.iter().filter_map(|e| match e {
            FaultEvent::Driver {
                driver,
                outage,
                from,
                until,
            } => Some((*driver, *outage, *from, *until)),
            _ => None,
        });
        let mut all: Vec<_> = all.collect();
        all.sort_by_key(|(n, _, from, _)| (*from, *n));
        all
    }

    pub fn has_driver_fault(&self, now: TimeSpan, driver: u32, outage: DriverFault) -> bool {
        let own = |(n, o, from, until): &(u32, DriverFault, TimeSpan, TimeSpan)| {
            *n == driver && *o == outage && (*from..*until).contains(&now)
        };
        self.driver_faults().iter().any(own)
    }

    /// What holds now of what goes from one driver to another.
    pub fn link_state(&self, now: TimeSpan, one: u32, other: u32) -> LinkState {
        let mut way = LinkState::default();
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
            let among = |list: &[u32], n: u32| list.is_empty() || list.contains(&n);
            let there = among(from_drivers, one) && among(to_drivers, other);
            let back = *both_ways && among(from_drivers, other) && among(to_drivers, one);
            if !(*from..*until).contains(&now) || !(there || back) {
                continue;
            }
            match fault {
                LinkFault::Cut => way.cut = true,
                LinkFault::Delay(by) => way.delay = way.delay.max(*by),
                LinkFault::Loss(part) => way.loss_per_mille = way.loss_per_mille.max(*part),
                LinkFault::Corruption(part) => way.corruption_per_mille = way.corruption_per_mille.max(*part),
            }
        }
        way
    }
}
