//! Retries what a start needs and this host lacks for a moment: descriptors, memory, threads, an address that a
//! predecessor holds until it has ended.

use super::ServeError;
use crate::program::signals::ShutdownRequest;
use crate::transport::socket_errors;
use std::error::Error;
use std::io;
use std::time::{Duration, Instant};

/// How long a start goes on trying: longer than a predecessor takes from SIGTERM to its end, shorter than the ten seconds
/// within which a driver has to be ready.
const TIME_TO_START: Duration = Duration::from_secs(5);
/// Pause after the first failure; it doubles with each.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
/// Longest pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(250);

/// The retries of one start, all within the same time.
pub(super) struct StartRetry {
    shutdown: ShutdownRequest,
    ends_at: Instant,
}

impl StartRetry {
    /// The time begins now. A request for shutdown ends a pause.
    pub(super) fn new(shutdown: ShutdownRequest) -> StartRetry {
        StartRetry {
            shutdown,
            ends_at: Instant::now() + TIME_TO_START,
        }
    }

    /// Calls `attempt` until it succeeds.
    ///
    /// # Errors
    /// Its error, at once if that doesn't pass by itself, else the last one once the time is over;
    /// [`ServeError::ShutDown`] if shutdown is requested meanwhile.
    pub(super) fn run<T>(&self, mut attempt: impl FnMut() -> Result<T, ServeError>) -> Result<T, ServeError> {
        let mut pause = FIRST_PAUSE;
        loop {
            let error = match attempt() {
                Ok(made) => return Ok(made),
                Err(error) => error,
            };
            if !is_passing(&error) || Instant::now() + pause > self.ends_at {
                return Err(error);
            }
            if self.shutdown.wait(pause) {
                return Err(ServeError::ShutDown);
            }
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }
}

/// Whether the kernel reported a failure that may pass by itself, at whichever call of a start.
fn is_passing(error: &ServeError) -> bool {
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
