//! Faults by script, a line each:
//!
//! ```text
//! 2s member 3 slow 50ms for 1s
//! 3s primary of 1 hangs for 500ms
//! 4s group 2 switches to 7
//! ```
//!
//! Times count from the start. What holds at a moment is asked of the script; nothing is remembered.

use asterlatch::time::Span;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Each statement takes so much longer.
    Slow(Span),
    /// Takes statements and answers nothing; connections come up.
    Hangs,
    /// Connections are refused or ended.
    Down,
    /// Answers with an error that proves nothing.
    Fails,
    /// Runs statements, and ends the connection instead of an answer.
    LosesAnswers,
    /// Its log is so far behind.
    Lags(Span),
    /// Listed as draining.
    Drains,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    Member(u32),
    /// Whichever member that is at the time.
    Primary(u32),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    Fault {
        target: Target,
        fault: Fault,
        from: Span,
        until: Span,
    },
    /// The group's primary changes.
    Switch { group: u32, to: u32, at: Span },
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Script(pub Vec<Event>);

/// `50ms`, `1.5s`.
fn span(text: &str) -> Result<Span, String> {
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
    Ok(Span((number * unit) as u64))
}

fn number(text: &str) -> Result<u32, String> {
    text.parse().map_err(|_| format!("'{text}' is no number"))
}

fn event(line: &str) -> Result<Event, String> {
    let words: Vec<&str> = line.split_whitespace().collect();
    let (at, rest) = words.split_first().ok_or("is empty")?;
    let at = span(at)?;
    let (target, rest) = match rest {
        ["group", g, "switches", "to", m] => {
            let (group, to) = (number(g)?, number(m)?);
            return Ok(Event::Switch { group, to, at });
        }
        ["member", m, rest @ ..] => (Target::Member(number(m)?), rest),
        ["primary", "of", g, rest @ ..] => (Target::Primary(number(g)?), rest),
        _ => return Err("names neither member, primary nor group".to_owned()),
    };
    let (fault, rest) = match rest {
        ["slow", by, rest @ ..] => (Fault::Slow(span(by)?), rest),
        ["lags", by, rest @ ..] => (Fault::Lags(span(by)?), rest),
        ["hangs", rest @ ..] => (Fault::Hangs, rest),
        ["is", "down", rest @ ..] => (Fault::Down, rest),
        ["fails", rest @ ..] => (Fault::Fails, rest),
        ["loses", "answers", rest @ ..] => (Fault::LosesAnswers, rest),
        ["drains", rest @ ..] => (Fault::Drains, rest),
        _ => {
            return Err("names no fault: slow, lags, hangs, is down, fails, loses answers, drains".to_owned())
        }
    };
    let ["for", long] = rest else {
        return Err("doesn't say for how long".to_owned());
    };
    let (from, until) = (at, Span(at.0 + span(long)?.0));
    Ok(Event::Fault {
        target,
        fault,
        from,
        until,
    })
}

impl Script {
    /// An error names its line.
    pub fn read(text: &str) -> Result<Script, String> {
        let lines = text.lines().enumerate();
        let meant = lines.filter(|(_, l)| !l.trim().is_empty() && !l.trim_start().starts_with('#'));
        let events = meant.map(|(n, line)| event(line).map_err(|e| format!("line {}: {e}", n + 1)));
        events.collect::<Result<_, _>>().map(Script)
    }

    /// The member that is its group's primary, `first` from the start on.
    pub fn primary(&self, now: Span, group: u32, first: u32) -> (u32, Span) {
        let switches = self.0.iter().filter_map(|e| match e {
            Event::Switch { group: g, to, at } if *g == group && *at <= now => Some((*at, *to)),
            _ => None,
        });
        switches
            .max_by_key(|(at, _)| *at)
            .map_or((first, Span(0)), |(at, to)| (to, at))
    }

    /// What holds of a member now, and since when.
    pub fn faults(
        &self,
        now: Span,
        member: u32,
        is_primary_of: Option<u32>,
    ) -> impl Iterator<Item = (Fault, Span)> + '_ {
        self.0.iter().filter_map(move |e| match e {
            Event::Fault {
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

    /// When the list of members changes next: drains begin or end.
    pub fn next_listing(&self, now: Span) -> Option<Span> {
        let times = self.0.iter().filter_map(|e| match e {
            Event::Fault {
                fault: Fault::Drains,
                from,
                until,
                ..
            } => Some([*from, *until]),
            _ => None,
        });
        times.flatten().filter(|at| *at > now).min()
    }
}
