//! Retries steps of a start that fail for a transient lack of descriptors, memory, threads, or of an address
//! that a predecessor holds until it exits.

use super::ServeError;
use crate::program::signals::ShutdownRequest;
use crate::transport::socket_errors;
use std::error::Error;
use std::io;
use std::time::{Duration, Instant};

/// Time limit of all retries: longer than a predecessor takes from SIGTERM to its exit, shorter than the ten
/// seconds within which a driver must be ready.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Backoff after the first failure; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);
const MAX_BACKOFF: Duration = Duration::from_millis(250);

/// Retries of one start, with a common time limit.
pub(super) struct StartRetry {
    shutdown: ShutdownRequest,
    deadline: Instant,
}

impl StartRetry {
    /// The time limit begins now. A shutdown request ends a backoff.
    pub(super) fn new(shutdown: ShutdownRequest) -> StartRetry {
        StartRetry {
            shutdown,
            deadline: Instant::now() + START_TIMEOUT,
        }
    }

    /// Calls `attempt` until it succeeds.
    ///
    /// # Errors
    /// Returns an error of `attempt` at once if it isn't transient, else the last one after the time limit;
    /// [`ServeError::ShutDown`] if shutdown is requested meanwhile.
    pub(super) fn run<T>(&self, mut attempt: impl FnMut() -> Result<T, ServeError>) -> Result<T, ServeError> {
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let error = match attempt() {
                Ok(value) => return Ok(value),
                Err(error) => error,
            };
            if !is_transient(&error) || Instant::now() + backoff > self.deadline {
                return Err(error);
            }
            if self.shutdown.wait(backoff) {
                return Err(ServeError::ShutDown);
            }
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }
}

/// Whether the error was caused by a transient failure of a system call.
fn is_transient(error: &ServeError) -> bool {
    let mut cause: Option<&(dyn Error + 'static)> = Some(error);
    while let Some(error) = cause {
        if let Some(error) = error.downcast_ref::<io::Error>() {
            let calls = [socket_errors::socket, socket_errors::listen, socket_errors::epoll];
            return calls.iter().any(|classify| classify(error).is_transient);
        }
        cause = error.source();
    }
    false
}
