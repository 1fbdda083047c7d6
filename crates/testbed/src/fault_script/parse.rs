//! Parser of fault scripts.

use super::{DriverFault, FaultEvent, FaultScript, LinkFault, MemberFault, Target};
use asterlatch::time::TimeSpan;

/// A line that can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {kind}")]
pub struct ParseError {
    /// Line number, from 1.
    pub line: usize,
    /// Cause.
    #[source]
    pub kind: ParseErrorKind,
}

/// Why a line can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseErrorKind {
    /// A word that should be a time span.
    #[error("'{0}' is not a time span such as 50ms or 1.5s")]
    InvalidSpan(String),
    /// A span that is negative or longer than a day.
    #[error("time span '{0}' is negative or longer than a day")]
    SpanOutOfBounds(String),
    /// A word that should be a number.
    #[error("'{0}' is not a number")]
    InvalidNumber(String),
    /// A word that should be a percentage.
    #[error("'{0}' is not a percentage such as 30%")]
    InvalidPercentage(String),
    /// `for SPAN` is missing.
    #[error("missing duration: 'for SPAN'")]
    MissingDuration,
    /// A split without `from` and its second side.
    #[error("split without 'from'")]
    SplitWithoutFrom,
    /// An unknown fault of a driver.
    #[error(
        "unknown driver fault; expected: is killed, is killed and given the disk of N, is renewed, \
        stops, reloads N times, hears no list, is refused lists, \
        hears lists SPAN late, in turns of SPAN or without length, is SPAN ahead or behind"
    )]
    UnknownDriverFault,
    /// An unknown fault of a link.
    #[error("unknown link fault; expected: is cut, slow SPAN, loses N%, garbles N%")]
    UnknownLinkFault,
    /// An unknown fault of a member.
    #[error(
        "unknown member fault; expected: slow SPAN, lags SPAN, hangs, is down, fails, loses answers, \
        closes idle, resets idle, forgets idle, drops short, drains, starts"
    )]
    UnknownMemberFault,
    /// An unknown subject.
    #[error("unknown subject; expected: member, primary, group, driver, link, links or split")]
    UnknownTarget,
    /// A line without words.
    #[error("line is empty")]
    Empty,
}

type Result<T> = std::result::Result<T, ParseErrorKind>;

/// A fault and the remaining words of its line.
type Parsed<'words, 'text, T> = (T, &'words [&'text str]);

const MICROSECONDS_PER_MILLISECOND: f64 = 1e3;
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// A day, longer than any run.
const MAX_SPAN_US: f64 = 86_400e6;

/// Parses a time span such as `50ms` or `1.5s`.
fn parse_span(text: &str) -> Result<TimeSpan> {
    let invalid = || ParseErrorKind::InvalidSpan(text.to_owned());
    let (number, unit_us) = match (text.strip_suffix("ms"), text.strip_suffix('s')) {
        (Some(number), _) => (number, MICROSECONDS_PER_MILLISECOND),
        (_, Some(number)) => (number, MICROSECONDS_PER_SECOND),
        _ => return Err(invalid()),
    };
    let number: f64 = number.parse().map_err(|_| invalid())?;
    if !(0.0..=MAX_SPAN_US).contains(&(number * unit_us)) {
        return Err(ParseErrorKind::SpanOutOfBounds(text.to_owned()));
    }
    Ok(TimeSpan((number * unit_us) as u64))
}

fn parse_number(text: &str) -> Result<u32> {
    text.parse()
        .map_err(|_| ParseErrorKind::InvalidNumber(text.to_owned()))
}

fn parse_numbers(words: &[&str]) -> Result<Vec<u32>> {
    words.iter().map(|word| parse_number(word)).collect()
}

/// Parses a percentage such as `30%`; returns parts per thousand.
fn parse_per_mille(text: &str) -> Result<u32> {
    let percent = text.strip_suffix('%').and_then(|n| n.parse::<f64>().ok());
    let percent = percent.filter(|n| (0.0..=100.0).contains(n));
    let percent = percent.ok_or_else(|| ParseErrorKind::InvalidPercentage(text.to_owned()))?;
    Ok((percent * 10.0) as u32)
}

/// Parses `for SPAN` at the end of a line; returns the end of an event that starts at `from`.
fn parse_end(from: TimeSpan, rest: &[&str]) -> Result<TimeSpan> {
    match rest {
        ["for", duration] => Ok(TimeSpan(from.0 + parse_span(duration)?.0)),
        _ => Err(ParseErrorKind::MissingDuration),
    }
}

fn parse_member_fault<'w, 't>(words: &'w [&'t str]) -> Result<Parsed<'w, 't, MemberFault>> {
    match words {
        ["slow", by, rest @ ..] => Ok((MemberFault::Slow(parse_span(by)?), rest)),
        ["lags", by, rest @ ..] => Ok((MemberFault::Lagging(parse_span(by)?), rest)),
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

fn parse_driver_fault<'w, 't>(words: &'w [&'t str]) -> Result<Parsed<'w, 't, DriverFault>> {
    match words {
        ["is", "killed", "and", "given", "the", "disk", "of", other, rest @ ..] => {
            Ok((DriverFault::RestartedOnDiskOf(parse_number(other)?), rest))
        }
        ["is", "renewed", rest @ ..] => Ok((DriverFault::LaterBuild, rest)),
        ["is", "killed", rest @ ..] => Ok((DriverFault::Killed, rest)),
        ["is", by, direction @ ("ahead" | "behind"), rest @ ..] => {
            let seconds = (parse_span(by)?.0 / 1_000_000) as i64;
            let sign = if *direction == "ahead" { 1 } else { -1 };
            Ok((DriverFault::ClockOffset(sign * seconds), rest))
        }
        ["stops", rest @ ..] => Ok((DriverFault::Stopped, rest)),
        ["is", "refused", "lists", rest @ ..] => Ok((DriverFault::DiscoveryRefused, rest)),
        ["hears", "lists", "without", "length", rest @ ..] => Ok((DriverFault::DiscoveryWithoutLength, rest)),
        ["hears", "lists", by, "late", rest @ ..] => {
            Ok((DriverFault::DiscoveryDelayed(parse_span(by)?), rest))
        }
        ["hears", "lists", "in", "turns", "of", each, rest @ ..] => {
            Ok((DriverFault::DiscoveryCrowded(parse_span(each)?), rest))
        }
        ["reloads", times, "times", rest @ ..] => Ok((DriverFault::Reloaded(parse_number(times)?), rest)),
        ["hears", "no", "list", rest @ ..] => Ok((DriverFault::DiscoveryStalled, rest)),
        _ => Err(ParseErrorKind::UnknownDriverFault),
    }
}

fn parse_link_fault<'w, 't>(words: &'w [&'t str]) -> Result<Parsed<'w, 't, LinkFault>> {
    match words {
        ["is" | "are", "cut", rest @ ..] => Ok((LinkFault::Cut, rest)),
        ["slow", by, rest @ ..] => Ok((LinkFault::Delay(parse_span(by)?), rest)),
        ["lose" | "loses", percentage, rest @ ..] => {
            Ok((LinkFault::Loss(parse_per_mille(percentage)?), rest))
        }
        ["garble" | "garbles", percentage, rest @ ..] => {
            Ok((LinkFault::Corruption(parse_per_mille(percentage)?), rest))
        }
        _ => Err(ParseErrorKind::UnknownLinkFault),
    }
}

fn parse_member_event(from: TimeSpan, target: Target, rest: &[&str]) -> Result<FaultEvent> {
    let (fault, rest) = parse_member_fault(rest)?;
    Ok(FaultEvent::Member {
        target,
        fault,
        from,
        until: parse_end(from, rest)?,
    })
}

fn parse_driver_event(from: TimeSpan, driver: u32, rest: &[&str]) -> Result<FaultEvent> {
    let (fault, rest) = parse_driver_fault(rest)?;
    Ok(FaultEvent::Driver {
        driver,
        fault,
        from,
        until: parse_end(from, rest)?,
    })
}

/// Parses a link's fault: `link A to B ...` affects one direction, `link A and B ...` both.
fn parse_link_event(from: TimeSpan, ends: [&str; 2], both_ways: bool, rest: &[&str]) -> Result<FaultEvent> {
    let (fault, rest) = parse_link_fault(rest)?;
    let until = parse_end(from, rest)?;
    Ok(FaultEvent::Link {
        from_drivers: vec![parse_number(ends[0])?],
        to_drivers: vec![parse_number(ends[1])?],
        both_ways,
        fault,
        from,
        until,
    })
}

fn parse_all_links_event(from: TimeSpan, rest: &[&str]) -> Result<FaultEvent> {
    let (fault, rest) = parse_link_fault(rest)?;
    Ok(FaultEvent::Link {
        from_drivers: Vec::new(),
        to_drivers: Vec::new(),
        both_ways: true,
        fault,
        from,
        until: parse_end(from, rest)?,
    })
}

/// Parses `split 1 2 from 3 4 for 8s`: no datagram passes between the two sides.
fn parse_split_event(from: TimeSpan, rest: &[&str]) -> Result<FaultEvent> {
    let position = |word: &str| rest.iter().position(|w| *w == word);
    let from_index = position("from").ok_or(ParseErrorKind::SplitWithoutFrom)?;
    let for_index = position("for").ok_or(ParseErrorKind::MissingDuration)?;
    let until = parse_end(from, &rest[for_index..])?;
    Ok(FaultEvent::Link {
        from_drivers: parse_numbers(&rest[..from_index])?,
        to_drivers: parse_numbers(rest.get(from_index + 1..for_index).unwrap_or_default())?,
        both_ways: true,
        fault: LinkFault::Cut,
        from,
        until,
    })
}

fn parse_event(line: &str) -> Result<FaultEvent> {
    let words: Vec<&str> = line.split_whitespace().collect();
    let (at, rest) = words.split_first().ok_or(ParseErrorKind::Empty)?;
    let at = parse_span(at)?;
    match rest {
        ["driver", driver, rest @ ..] => parse_driver_event(at, parse_number(driver)?, rest),
        ["link", first, direction @ ("to" | "and"), second, rest @ ..] => {
            parse_link_event(at, [first, second], *direction == "and", rest)
        }
        ["links", rest @ ..] => parse_all_links_event(at, rest),
        ["split", rest @ ..] => parse_split_event(at, rest),
        ["group", group, "switches", "to", member] => Ok(FaultEvent::PrimaryChange {
            group: parse_number(group)?,
            to: parse_number(member)?,
            at,
        }),
        ["member", member, rest @ ..] => parse_member_event(at, Target::Member(parse_number(member)?), rest),
        ["primary", "of", group, rest @ ..] => {
            parse_member_event(at, Target::Primary(parse_number(group)?), rest)
        }
        _ => Err(ParseErrorKind::UnknownTarget),
    }
}

impl FaultScript {
    /// Parses a script; skips empty lines and lines that begin with `#`.
    ///
    /// # Errors
    /// The first invalid line.
    pub fn parse(text: &str) -> std::result::Result<FaultScript, ParseError> {
        let mut events = Vec::new();
        for (index, line) in text.lines().enumerate() {
            if line.trim().is_empty() || line.trim_start().starts_with('#') {
                continue;
            }
            let event = parse_event(line).map_err(|kind| ParseError {
                line: index + 1,
                kind,
            })?;
            events.push(event);
        }
        Ok(FaultScript(events))
    }
}
