//! The fault plan of a process: parsing, and encoding in environment variables.

use crate::{Call, ErrorNumber};
use std::str::FromStr;
use thiserror::Error;

/// Comma-separated calls that fail.
const CALLS_VARIABLE: &str = "ASTERLATCH_FAULT_CALLS";
/// Interval between failures, in calls.
const EVERY_VARIABLE: &str = "ASTERLATCH_FAULT_EVERY";
/// Maximum number of failures of each call.
const MAX_FAILURES_VARIABLE: &str = "ASTERLATCH_FAULT_MOST";
/// Offset of the wall clock in seconds, and its start and end in milliseconds.
const CLOCK_VARIABLE: &str = "ASTERLATCH_FAULT_CLOCK";

/// An error in a fault plan.
#[derive(Debug, Error, PartialEq)]
pub enum PlanError {
    /// No such call in [`Call`].
    #[error("unknown system call '{0}'")]
    UnknownCall(String),
    /// No such name among the supported error numbers.
    #[error("unknown error number '{0}'")]
    UnknownError(String),
    /// The text isn't a number, or the number is out of range.
    #[error("invalid number '{0}'")]
    InvalidNumber(String),
}

/// A call that fails, and its errors.
#[derive(Clone, Debug, PartialEq)]
pub struct CallFault {
    /// The system call.
    pub call: Call,
    /// The only error; `None` for [`Call::default_errors`] in turn.
    pub error: Option<ErrorNumber>,
}

impl CallFault {
    /// Its errors, returned in turn.
    pub(crate) fn errors(&self) -> &[ErrorNumber] {
        match &self.error {
            Some(error) => std::slice::from_ref(error),
            None => self.call.default_errors(),
        }
    }
}

/// Parses `accept` or `accept=EMFILE`.
impl FromStr for CallFault {
    type Err = PlanError;

    fn from_str(text: &str) -> Result<CallFault, PlanError> {
        let (call, error) = match text.split_once('=') {
            Some((call, error)) => (call, Some(error)),
            None => (text, None),
        };
        let find_error =
            |name: &str| ErrorNumber::find(name).ok_or_else(|| PlanError::UnknownError(name.to_owned()));
        Ok(CallFault {
            call: Call::find(call).ok_or_else(|| PlanError::UnknownCall(call.to_owned()))?,
            error: error.map(find_error).transpose()?,
        })
    }
}

/// A temporary or permanent offset of the wall clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockShift {
    /// Offset in seconds; negative if the clock is behind.
    pub offset_s: i64,
    /// Start of the shift, in milliseconds since the process start.
    pub after_ms: u64,
    /// End of the shift, in milliseconds since the process start; `None` if permanent.
    pub until_ms: Option<u64>,
}

impl ClockShift {
    /// The offset in seconds at `elapsed_ms` since the process start.
    pub fn offset_at(&self, elapsed_ms: u64) -> i64 {
        let is_over = self.until_ms.is_some_and(|until_ms| elapsed_ms >= until_ms);
        if elapsed_ms < self.after_ms || is_over {
            0
        } else {
            self.offset_s
        }
    }
}

/// Which calls of a process fail, and how its wall clock is shifted.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultPlan {
    /// Calls that fail; all others succeed.
    pub calls: Vec<CallFault>,
    /// Each of them fails every `every`-th time; at least 1.
    pub every: u32,
    /// Maximum number of failures of each call; `None` if unlimited.
    pub max_failures: Option<u32>,
    /// Shift of the wall clock; none by default.
    pub clock: ClockShift,
}

/// No faults.
impl Default for FaultPlan {
    fn default() -> FaultPlan {
        FaultPlan {
            calls: Vec::new(),
            every: 1,
            max_failures: None,
            clock: ClockShift::default(),
        }
    }
}

fn parse_number<T: FromStr>(text: &str) -> Result<T, PlanError> {
    text.parse()
        .map_err(|_| PlanError::InvalidNumber(text.to_owned()))
}

impl FaultPlan {
    /// Parses a list such as `accept,socket=EMFILE`; `all` stands for every call.
    ///
    /// # Errors
    /// If a call or an error number is unknown.
    pub fn parse_calls(text: &str) -> Result<Vec<CallFault>, PlanError> {
        if text == "all" {
            let all = Call::ALL.iter();
            return Ok(all
                .map(|call| CallFault {
                    call: *call,
                    error: None,
                })
                .collect());
        }
        text.split(',')
            .filter(|item| !item.is_empty())
            .map(str::parse)
            .collect()
    }

    /// Whether no call fails and the clock is not shifted.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty() && self.clock.offset_s == 0
    }

    /// The fault of this call, if it has one.
    pub(crate) fn fault(&self, call: Call) -> Option<&CallFault> {
        self.calls.iter().find(|fault| fault.call == call)
    }

    /// The environment variables that pass this plan to the program under test.
    pub fn environment(&self) -> Vec<(&'static str, String)> {
        let names = self.calls.iter().map(|fault| match fault.error {
            Some(error) => format!("{}={error}", fault.call.name()),
            None => fault.call.name().to_owned(),
        });
        let mut variables = vec![
            (CALLS_VARIABLE, names.collect::<Vec<_>>().join(",")),
            (EVERY_VARIABLE, self.every.to_string()),
        ];
        if let Some(max_failures) = self.max_failures {
            variables.push((MAX_FAILURES_VARIABLE, max_failures.to_string()));
        }
        let clock = self.clock;
        if clock.offset_s != 0 {
            let until = clock
                .until_ms
                .map_or(String::new(), |until_ms| until_ms.to_string());
            variables.push((
                CLOCK_VARIABLE,
                format!("{},{},{until}", clock.offset_s, clock.after_ms),
            ));
        }
        variables
    }

    /// Reads a plan from the variables that [`FaultPlan::environment`] returns, with defaults for absent ones.
    ///
    /// # Errors
    /// If a variable can't be parsed.
    pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<FaultPlan, PlanError> {
        let calls = variable(CALLS_VARIABLE).unwrap_or_default();
        let every = variable(EVERY_VARIABLE).map_or(Ok(1), |text| parse_number(&text))?;
        if every == 0 {
            return Err(PlanError::InvalidNumber("0".to_owned()));
        }
        Ok(FaultPlan {
            calls: FaultPlan::parse_calls(&calls)?,
            every,
            max_failures: variable(MAX_FAILURES_VARIABLE)
                .map(|text| parse_number(&text))
                .transpose()?,
            clock: variable(CLOCK_VARIABLE).map_or(Ok(ClockShift::default()), |text| parse_clock(&text))?,
        })
    }
}

fn parse_clock(text: &str) -> Result<ClockShift, PlanError> {
    let mut fields = text.split(',');
    let mut next = || fields.next().unwrap_or_default();
    Ok(ClockShift {
        offset_s: parse_number(next())?,
        after_ms: parse_number(next())?,
        until_ms: Some(next())
            .filter(|until_ms| !until_ms.is_empty())
            .map(parse_number)
            .transpose()?,
    })
}
