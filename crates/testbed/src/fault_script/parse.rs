//! Parser of fault scripts.

use super::{DriverFault, FaultEvent, FaultScript, LinkFault, MemberFault, Target};
use asterlatch::time::TimeSpan;

/// A line that can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {kind}")]
pub struct ParseError {
    /// From 1.
    pub line: usize,
    /// What is wrong with it.
    #[source]
    pub kind: ParseErrorKind,
}

/// Why a line can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseErrorKind {
    /// A word that should be a time span.
    #[error("'{0}' is no span like 50ms or 1.5s")]
    InvalidSpan(String),
    /// A span that is negative or longer than a day.
    #[error("'{0}' is out of bounds")]
    SpanOutOfBounds(String),
    /// A word that should be a number.
    #[error("'{0}' is no number")]
    InvalidNumber(String),
    /// A word that should be a percentage.
    #[error("'{0}' is no share like 30%")]
    InvalidShare(String),
    /// `for SPAN` is missing.
    #[error("doesn't say for how long")]
    MissingDuration,
    /// A split without its second side.
    #[error("a split is 'from' others")]
    SplitWithoutFrom,
    /// An unknown fault of a driver.
    #[error("names nothing that befalls a driver: is killed, is renewed, stops, reloads N times, hears no list, is refused lists, hears lists SPAN late, in turns of SPAN or without length, is SPAN ahead or behind")]
    UnknownDriverFault,
    /// An unknown fault of a link.
    #[error("names nothing that befalls a link: is cut, slow, loses, garbles")]
    UnknownLinkFault,
    /// An unknown fault of a member.
    #[error("names no fault: slow, lags, hangs, is down, fails, loses answers, closes idle, resets idle, forgets idle, drops short, drains, starts")]
    UnknownMemberFault,
    /// An unknown subject.
    #[error("names neither member, primary, group, driver, link nor split")]
    UnknownTarget,
    /// A line without words.
    #[error("is empty")]
    Empty,
}

type Result<T> = std::result::Result<T, ParseErrorKind>;

/// A fault and the words behind it.
type Parsed<'words, 'text, T> = (T, &'words [&'text str]);

const MICROSECONDS_PER_MILLISECOND: f64 = 1e3;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// The longest span: a day, longer than any experiment.
const MAX_SPAN_US: f64 = 86_400e6;

/// `50ms`, `1.5s`.
fn span(text: &str) -> Result<TimeSpan> {
    let invalid = || ParseErrorKind::InvalidSpan(text.to_owned());
    let (number, unit) = match (text.strip_suffix("ms"), text.strip_suffix('s')) {
        (Some(number), _) => (number, MICROSECONDS_PER_MILLISECOND),
        (_, Some(number)) => (number, MICROSECONDS_PER_SECOND),
        _ => return Err(invalid()),
    };
    let number: f64 = number.parse().map_err(|_| invalid())?;
    if !(0.0..=MAX_SPAN_US).contains(&(number * unit)) {
        return Err(ParseErrorKind::SpanOutOfBounds(text.to_owned()));
    }
    Ok(TimeSpan((number * unit) as u64))
}

fn number(text: &str) -> Result<u32> {
    text.parse()
        .map_err(|_| ParseErrorKind::InvalidNumber(text.to_owned()))
}

fn numbers(words: &[&str]) -> Result<Vec<u32>> {
    words.iter().map(|word| number(word)).collect()
}

/// `30%`, in thousandths.
fn share(text: &str) -> Result<u32> {
    let percent = text.strip_suffix('%').and_then(|n| n.parse::<f64>().ok());
    let percent = percent.filter(|n| (0.0..=100.0).contains(n));
    let percent = percent.ok_or_else(|| ParseErrorKind::InvalidShare(text.to_owned()))?;
    Ok((percent * 10.0) as u32)
}

/// The end of an event that begins at `from`, by the line's last words, `for SPAN`.
fn end_of(from: TimeSpan, rest: &[&str]) -> Result<TimeSpan> {
    match rest {
        ["for", length] => Ok(TimeSpan(from.0 + span(length)?.0)),
        _ => Err(ParseErrorKind::MissingDuration),
    }
}

fn member_fault<'w, 't>(words: &'w [&'t str]) -> Result<Parsed<'w, 't, MemberFault>> {
    match words {
        ["slow", by, rest @ ..] => Ok((MemberFault::Slow(span(by)?), rest)),
        ["lags", by, rest @ ..] => Ok((MemberFault::Lagging(span(by)?), rest)),
        ["hangs", rest @ ..] => Ok((MemberFault::Unresponsive, rest)),
        ["is", "down", rest @ ..] => Ok((MemberFault::Down, rest)),
        ["fails", rest @ ..] => Ok((MemberFault::Failing, rest)),
        ["loses", "answers", rest @ ..] => Ok((MemberFault::DropsAnswers, rest)),
        ["closes", "idle", rest @ ..] => Ok((MemberFault::ClosesIdle, rest)),
        ["resets", "idle", rest @ ..] => Ok((MemberFault::ResetsIdle, rest)),
        ["forgets", "idle", rest @ ..] => Ok((MemberFault::ForgetsIdle, rest)),
        ["drops", "short", rest @ ..] => Ok((MemberFault::DropsShort, rest)),
        ["drains", rest @ ..] => Ok((MemberFault::Draining, rest)),
        ["starts", rest @ ..] => Ok((MemberFault::WarmingUp, rest)),
        _ => Err(ParseErrorKind::UnknownMemberFault),
    }
}

fn driver_fault<'w, 't>(words: &'w [&'t str]) -> Result<Parsed<'w, 't, DriverFault>> {
    match words {
        ["is", "killed", "and", "given", "the", "disk", "of", other, rest @ ..] => {
            Ok((DriverFault::RestartedOnDiskOf(number(other)?), rest))
        }
        ["is", "renewed", rest @ ..] => Ok((DriverFault::LaterBuild, rest)),
        ["is", "killed", rest @ ..] => Ok((DriverFault::Killed, rest)),
        ["is", by, direction @ ("ahead" | "behind"), rest @ ..] => {
            let seconds = (span(by)?.0 / 1_000_000) as i64;
            let sign = if *direction == "ahead" { 1 } else { -1 };
            Ok((DriverFault::ClockOffset(sign * seconds), rest))
        }
        ["stops", rest @ ..] => Ok((DriverFault::Stopped, rest)),
        ["is", "refused", "lists", rest @ ..] => Ok((DriverFault::DiscoveryRefused, rest)),
        ["hears", "lists", "without", "length", rest @ ..] => Ok((DriverFault::DiscoveryWithoutLength, rest)),
        ["hears", "lists", by, "late", rest @ ..] => Ok((DriverFault::DiscoveryDelayed(span(by)?), rest)),
        ["hears", "lists", "in", "turns", "of", each, rest @ ..] => {
            Ok((DriverFault::DiscoveryCrowded(span(each)?), rest))
        }
        ["reloads", times, "times", rest @ ..] => Ok((DriverFault::Reloaded(number(times)?), rest)),
        ["hears", "no", "list", rest @ ..] => Ok((DriverFault::DiscoveryStalled, rest)),
        _ => Err(ParseErrorKind::UnknownDriverFault),
    }
}

fn link_fault<'w, 't>(words: &'w [&'t str]) -> Result<Parsed<'w, 't, LinkFault>> {
    match words {
        ["is" | "are", "cut", rest @ ..] => Ok((LinkFault::Cut, rest)),
        ["slow", by, rest @ ..] => Ok((LinkFault::Delay(span(by)?), rest)),
        ["lose" | "loses", part, rest @ ..] => Ok((LinkFault::Loss(share(part)?), rest)),
        ["garble" | "garbles", part, rest @ ..] => Ok((LinkFault::Corruption(share(part)?), rest)),
        _ => Err(ParseErrorKind::UnknownLinkFault),
    }
}

fn member_event(from: TimeSpan, target: Target, rest: &[&str]) -> Result<FaultEvent> {
    let (fault, rest) = member_fault(rest)?;
    Ok(FaultEvent::Member {
        target,
        fault,
        from,
        until: end_of(from, rest)?,
    })
}

fn driver_event(from: TimeSpan, driver: u32, rest: &[&str]) -> Result<FaultEvent> {
    let (fault, rest) = driver_fault(rest)?;
    Ok(FaultEvent::Driver {
        driver,
        fault,
        from,
        until: end_of(from, rest)?,
    })
}

/// `link A to B ...` in one direction, `link A and B ...` in both.
fn link_event(from: TimeSpan, ends: [&str; 2], both_ways: bool, rest: &[&str]) -> Result<FaultEvent> {
    let (fault, rest) = link_fault(rest)?;
    let until = end_of(from, rest)?;
    Ok(FaultEvent::Link {
        from_drivers: vec![number(ends[0])?],
        to_drivers: vec![number(ends[1])?],
        both_ways,
        fault,
        from,
        until,
    })
}

fn all_links_event(from: TimeSpan, rest: &[&str]) -> Result<FaultEvent> {
    let (fault, rest) = link_fault(rest)?;
    Ok(FaultEvent::Link {
        from_drivers: Vec::new(),
        to_drivers: Vec::new(),
        both_ways: true,
        fault,
        from,
        until: end_of(from, rest)?,
    })
}

/// `split 1 2 from 3 4 for 8s`: no datagram passes between the two sides.
fn split_event(from: TimeSpan, rest: &[&str]) -> Result<FaultEvent> {
    let position = |word: &str| rest.iter().position(|w| *w == word);
    let middle = position("from").ok_or(ParseErrorKind::SplitWithoutFrom)?;
    let end = position("for").ok_or(ParseErrorKind::MissingDuration)?;
    let until = end_of(from, &rest[end..])?;
    Ok(FaultEvent::Link {
        from_drivers: numbers(&rest[..middle])?,
        to_drivers: numbers(rest.get(middle + 1..end).unwrap_or_default())?,
        both_ways: true,
        fault: LinkFault::Cut,
        from,
        until,
    })
}

fn event(line: &str) -> Result<FaultEvent> {
    let words: Vec<&str> = line.split_whitespace().collect();
    let (at, rest) = words.split_first().ok_or(ParseErrorKind::Empty)?;
    let at = span(at)?;
    match rest {
        ["driver", driver, rest @ ..] => driver_event(at, number(driver)?, rest),
        ["link", one, direction @ ("to" | "and"), other, rest @ ..] => {
            link_event(at, [one, other], *direction == "and", rest)
        }
        ["links", rest @ ..] => all_links_event(at, rest),
        ["split", rest @ ..] => split_event(at, rest),
        ["group", group, "switches", "to", member] => Ok(FaultEvent::PrimaryChange {
            group: number(group)?,
            to: number(member)?,
            at,
        }),
        ["member", member, rest @ ..] => member_event(at, Target::Member(number(member)?), rest),
        ["primary", "of", group, rest @ ..] => member_event(at, Target::Primary(number(group)?), rest),
        _ => Err(ParseErrorKind::UnknownTarget),
    }
}

impl FaultScript {
    /// Parses a script; empty lines and lines that begin with `#` are skipped.
    ///
    /// # Errors
    /// The first line that can't be parsed.
    pub fn parse(text: &str) -> std::result::Result<FaultScript, ParseError> {
        let mut events = Vec::new();
        for (index, line) in text.lines().enumerate() {
            if line.trim().is_empty() || line.trim_start().starts_with('#') {
                continue;
            }
            let event = event(line).map_err(|kind| ParseError {
                line: index + 1,
                kind,
            })?;
            events.push(event);
        }
        Ok(FaultScript(events))
    }
}
