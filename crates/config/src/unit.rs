//! Quantities with units, parsed and formatted without rounding.

use std::fmt;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Unit {
    Count,
    /// Base unit: microseconds.
    Duration,
    /// Base unit: bytes.
    Size,
    /// Base unit: thousandths per hour.
    Rate,
    /// Base unit: millionths.
    Share,
}

/// An amount in the base unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quantity {
    pub unit: Unit,
    pub amount: i64,
}

/// Suffixes with their unit and scale to the base unit; per unit the largest first.
#[rustfmt::skip]
const SUFFIXES: [(&str, Unit, i64); 19] = [
    ("d", Unit::Duration, 86_400_000_000), ("h", Unit::Duration, 3_600_000_000),
    ("min", Unit::Duration, 60_000_000),
    ("s", Unit::Duration, 1_000_000), ("ms", Unit::Duration, 1000), ("us", Unit::Duration, 1),
    ("TiB", Unit::Size, 1 << 40), ("GiB", Unit::Size, 1 << 30), ("GB", Unit::Size, 1_000_000_000),
    ("MiB", Unit::Size, 1 << 20), ("MB", Unit::Size, 1_000_000), ("KiB", Unit::Size, 1 << 10),
    ("KB", Unit::Size, 1000), ("B", Unit::Size, 1),
    ("/s", Unit::Rate, 3_600_000), ("/min", Unit::Rate, 60_000), ("/h", Unit::Rate, 1000),
    ("%", Unit::Share, 10_000), ("", Unit::Count, 1),
];

impl Unit {
    pub fn name(self) -> &'static str {
        match self {
            Unit::Count => "a count",
            Unit::Duration => "a duration",
            Unit::Size => "a size",
            Unit::Rate => "a rate",
            Unit::Share => "a share",
        }
    }

    pub fn example(self) -> &'static str {
        match self {
            Unit::Count => "16",
            Unit::Duration => "250ms or 1.5s",
            Unit::Size => "64KiB or 32MB",
            Unit::Rate => "200/s",
            Unit::Share => "15%",
        }
    }

    /// Literal for zero.
    fn zero(self) -> &'static str {
        match self {
            Unit::Count => "0",
            Unit::Duration => "0s",
            Unit::Size => "0B",
            Unit::Rate => "0/s",
            Unit::Share => "0%",
        }
    }
}

/// Why a literal can't be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuantityError {
    UnknownUnit,
    TooLarge,
    /// The value is no multiple of the base unit.
    TooFine,
}

impl QuantityError {
    pub fn reason(self) -> &'static str {
        match self {
            QuantityError::UnknownUnit => "unknown unit",
            QuantityError::TooLarge => "the number is too large",
            QuantityError::TooFine => "the number is finer than its unit allows",
        }
    }
}

/// Suffixes of all units; counts have none.
pub fn suffixes() -> impl Iterator<Item = &'static str> {
    SUFFIXES
        .iter()
        .map(|(suffix, _, _)| *suffix)
        .filter(|s| !s.is_empty())
}

/// Byte offset at which the suffix of a literal begins.
pub fn suffix_at(text: &str) -> usize {
    text.find(|c: char| !c.is_ascii_digit() && c != '.')
        .unwrap_or(text.len())
}

impl Quantity {
    pub const fn new(unit: Unit, amount: i64) -> Quantity {
        Quantity { unit, amount }
    }

    /// Parses a literal such as `16`, `1.2s`, `64KiB`, `200/s` or `15%`.
    pub fn parse(text: &str) -> Result<Quantity, QuantityError> {
        let (number, suffix) = text.split_at(suffix_at(text));
        let found = SUFFIXES.iter().find(|(known, _, _)| *known == suffix);
        let (_, unit, scale) = *found.ok_or(QuantityError::UnknownUnit)?;
        let (whole, fraction) = number.split_once('.').unwrap_or((number, ""));
        let fraction = fraction.trim_end_matches('0');
        if fraction.len() > 15 {
            return Err(QuantityError::TooFine);
        }
        let parse_digits = |text: &str| match text {
            "" => Ok(0),
            text => text.parse::<i128>().map_err(|_| QuantityError::TooLarge),
        };
        let divisor = 10i128.pow(fraction.len() as u32);
        let whole = parse_digits(whole)?
            .checked_mul(divisor)
            .ok_or(QuantityError::TooLarge)?;
        let scaled = (whole + parse_digits(fraction)?).checked_mul(i128::from(scale));
        let scaled = scaled.ok_or(QuantityError::TooLarge)?;
        if scaled % divisor != 0 {
            return Err(QuantityError::TooFine);
        }
        let amount = i64::try_from(scaled / divisor).map_err(|_| QuantityError::TooLarge)?;
        Ok(Quantity { unit, amount })
    }
}

/// The literal that parses to the same quantity, in the largest unit that divides it.
impl fmt::Display for Quantity {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if self.amount == 0 {
            return f.write_str(self.unit.zero());
        }
        let mut suffixes_of_unit = SUFFIXES.iter().filter(|(_, unit, _)| *unit == self.unit);
        let whole = suffixes_of_unit
            .clone()
            .find(|(_, _, scale)| self.amount % scale == 0);
        if let Some((suffix, _, scale)) = whole {
            return write!(f, "{}{suffix}", self.amount / scale);
        }
        let Some((suffix, _, scale)) = suffixes_of_unit.next_back() else {
            return Ok(());
        };
        let sign = if self.amount < 0 { "-" } else { "" };
        let (amount, scale) = (self.amount.unsigned_abs(), scale.unsigned_abs());
        let decimals = scale.ilog10() as usize;
        let fraction = format!("{:0decimals$}", amount % scale);
        let fraction = fraction.trim_end_matches('0');
        write!(f, "{sign}{}.{fraction}{suffix}", amount / scale)
    }
}
