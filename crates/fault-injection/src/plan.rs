//! The plan of a run, as arguments give it and as the environment carries it.

use crate::{Call, ErrorNumber};
use std::str::FromStr;
use thiserror::Error;

/// Calls that fail, separated by commas.
const CALLS_VARIABLE: &str = "ASTERLATCH_FAULT_CALLS";
/// Every so many-th call fails.
const EVERY_VARIABLE: &str = "ASTERLATCH_FAULT_EVERY";
/// So many calls of a kind fail at most.
const MOST_VARIABLE: &str = "ASTERLATCH_FAULT_MOST";
/// Seconds that the wall clock is off, and milliseconds from when and until when.
const CLOCK_VARIABLE: &str = "ASTERLATCH_FAULT_CLOCK";

/// Why a plan can't be read.
#[derive(Debug, Error, PartialEq)]
pub enum PlanError {
    /// No call has this name.
    #[error("no system call '{0}' can be made to fail")]
    UnknownCall(String),
    /// No error number has this name.
    #[error("no error '{0}' is known")]
    UnknownError(String),
    /// This is no number, or out of its bounds.
    #[error("'{0}' is no number here")]
    InvalidNumber(String),
}

/// A call that fails, and with which errors by turns.
#[derive(Clone, Debug, PartialEq)]
pub struct CallFault {
    /// Which call.
    pub call: Call,
    /// With this error alone; `None` for all that Linux documents, by turns.
    pub error: Option<ErrorNumber>,
}

impl CallFault {
    /// Its errors, by turns.
    pub(crate) fn errors(&self) -> &[ErrorNumber] {
        match &self.error {
            Some(error) => std::slice::from_ref(error),
            None => self.call.default_errors(),
        }
    }
}

/// `accept`, or `accept=EMFILE`.
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

/// The wall clock is wrong for a while.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockShift {
    /// Seconds that it is ahead; negative if it is behind.
    pub offset_s: i64,
    /// From this many milliseconds after the start of the process.
    pub after_ms: u64,
    /// Until then; `None` for good.
    pub until_ms: Option<u64>,
}

impl ClockShift {
    /// The offset in seconds at this many milliseconds after the start of the process.
    pub fn offset_at(&self, ms: u64) -> i64 {
        let is_over = self.until_ms.is_some_and(|until| ms >= until);
        if ms < self.after_ms || is_over {
            0
        } else {
            self.offset_s
        }
    }
}

/// Which calls of a process fail, and how its wall clock is shifted.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultPlan {
    /// Calls that fail.
    pub calls: Vec<CallFault>,
    /// Each of them fails every so many-th time; at least 1.
    pub every: u32,
    /// So many failures of each call at most.
    pub most: Option<u32>,
    /// Shift of the wall clock.
    pub clock: ClockShift,
}

/// No faults.
impl Default for FaultPlan {
    fn default() -> FaultPlan {
        FaultPlan {
            calls: Vec::new(),
            every: 1,
            most: None,
            clock: ClockShift::default(),
        }
    }
}

fn number<T: FromStr>(text: &str) -> Result<T, PlanError> {
    text.parse()
        .map_err(|_| PlanError::InvalidNumber(text.to_owned()))
}

impl FaultPlan {
    /// Reads a list such as `accept,socket=EMFILE`; `all` stands for each call.
    ///
    /// # Errors
    /// If it names a call or an error that isn't known.
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

    /// Whether nothing fails and the clock is right.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty() && self.clock.offset_s == 0
    }

    /// What is to befall this call.
    pub(crate) fn fault(&self, call: Call) -> Option<&CallFault> {
        self.calls.iter().find(|fault| fault.call == call)
    }

    /// The variables that carry this plan to the program under test.
    pub fn environment(&self) -> Vec<(&'static str, String)> {
        let names = self.calls.iter().map(|fault| match fault.error {
            Some(error) => format!("{}={error}", fault.call.name()),
            None => fault.call.name().to_owned(),
        });
        let mut variables = vec![
            (CALLS_VARIABLE, names.collect::<Vec<_>>().join(",")),
            (EVERY_VARIABLE, self.every.to_string()),
        ];
        if let Some(most) = self.most {
            variables.push((MOST_VARIABLE, most.to_string()));
        }
        let clock = self.clock;
        if clock.offset_s != 0 {
            let until = clock.until_ms.map_or(String::new(), |until| until.to_string());
            variables.push((
                CLOCK_VARIABLE,
                format!("{},{},{until}", clock.offset_s, clock.after_ms),
            ));
        }
        variables
    }

    /// Reads the plan back from the variables.
    ///
    /// # Errors
    /// If one of them can't be read.
    pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<FaultPlan, PlanError> {
        let calls = variable(CALLS_VARIABLE).unwrap_or_default();
        let every = variable(EVERY_VARIABLE).map_or(Ok(1), |text| number(&text))?;
        if every == 0 {
            return Err(PlanError::InvalidNumber("0".to_owned()));
        }
        Ok(FaultPlan {
            calls: FaultPlan::parse_calls(&calls)?,
            every,
            most: variable(MOST_VARIABLE).map(|text| number(&text)).transpose()?,
            clock: variable(CLOCK_VARIABLE).map_or(Ok(ClockShift::default()), |text| read_clock(&text))?,
        })
    }
}

fn read_clock(text: &str) -> Result<ClockShift, PlanError> {
    let mut fields = text.split(',');
    let mut next = || fields.next().unwrap_or_default();
    Ok(ClockShift {
        offset_s: number(next())?,
        after_ms: number(next())?,
        until_ms: Some(next())
            .filter(|until| !until.is_empty())
            .map(number)
            .transpose()?,
    })
}
