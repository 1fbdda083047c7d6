//! Discovery requests for the endpoint list: at most one in flight, with backoff after failures.

use super::limits::Limits;
use crate::transport::connection::ConnectionHandle;
use crate::transport::socket_errors;
use asterlatch::time::{TimeSpan, Timestamp};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;

/// Maximum backoff of a watch as a fraction of the drain grace period. Without a watch a drain goes unnoticed; the
/// rest of the grace period is left for the call and for a process that is held up.
const MAX_BACKOFF_IN_DRAIN_GRACE: f64 = 0.25;

/// Parameters of a request.
pub struct DiscoveryRequest {
    /// Sequence number, by which its events refer to it.
    pub number: u32,
    /// Address of discovery.
    pub address: SocketAddr,
    /// How long a watch waits for a change, in milliseconds.
    pub wait_ms: u64,
    /// Version after which changes are requested; `None` requests the complete list.
    pub known_version: Option<u64>,
}

/// Opens a connection to discovery for a request.
pub type DialDiscovery = Box<dyn FnMut(DiscoveryRequest) -> io::Result<ConnectionHandle<Infallible>>>;

/// The request in flight and the time of the next one, owned by the event loop.
pub struct DiscoveryRequests {
    dial: DialDiscovery,
    address: SocketAddr,
    handle: Option<ConnectionHandle<Infallible>>,
    /// Number of the latest request; events of earlier ones are stale.
    number: u32,
    /// When the current request times out.
    times_out_at: Timestamp,
    retry_at: Option<Timestamp>,
    backoff: TimeSpan,
    known_version: Option<u64>,
    /// The routing policy decides when to poll. Otherwise the list is watched.
    is_polled: bool,
    /// Time after a drain is announced in which its member may still get statements.
    drain_grace: Option<TimeSpan>,
    limits: Limits,
    /// Timeout for each further change on the current request, fixed when it was sent.
    change_timeout: TimeSpan,
    /// Consecutive requests to this address for the complete list that timed out.
    list_timeouts: u32,
}

impl DiscoveryRequests {
    /// No request is in flight. Unless the policy polls, the first one is due immediately.
    pub fn new(
        dial: DialDiscovery,
        address: SocketAddr,
        is_polled: bool,
        drain_grace: Option<TimeSpan>,
        limits: Limits,
        now: Timestamp,
    ) -> DiscoveryRequests {
        DiscoveryRequests {
            dial,
            address,
            handle: None,
            number: 0,
            times_out_at: now,
            retry_at: (!is_polled).then_some(now),
            backoff: limits.initial_backoff,
            known_version: None,
            is_polled,
            drain_grace,
            limits,
            change_timeout: limits.watch_timeout + limits.watch_grace,
            list_timeouts: 0,
        }
    }

    /// Sets the version of a list known at startup. The first poll requests only later changes, to spare
    /// discovery the work; a watch starts with the complete list regardless.
    pub fn set_known_version(&mut self, version: u64) {
        self.known_version = Some(version).filter(|_| self.is_polled);
    }

    /// Makes the next request due, for a process that resumes from another one's state: the request in flight
    /// there, for which the policy's state waits, is not this process's own.
    pub fn resume(&mut self, now: Timestamp) {
        self.retry_at = Some(now);
    }

    /// Makes the next request ask for the complete list, because discovery does not have the known version.
    pub fn forget_version(&mut self) {
        self.known_version = None;
    }

    /// Changes the limits for later requests.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Time of the current request's timeout or the next retry.
    pub fn next_at(&self) -> Option<Timestamp> {
        let timeout = self.handle.as_ref().map(|_| self.times_out_at);
        timeout.into_iter().chain(self.retry_at).min()
    }

    /// Whether this is the request in flight.
    pub fn is_current(&self, number: u32) -> bool {
        self.handle.is_some() && self.number == number
    }

    /// Sends a request unless one is in flight. Returns false if no connection can be opened.
    pub fn request(&mut self, now: Timestamp) -> bool {
        if self.handle.is_some() {
            return true;
        }
        self.number += 1;
        self.change_timeout = self.limits.watch_timeout + self.limits.watch_grace;
        let timeout = match self.known_version {
            Some(_) => self.change_timeout,
            None => self.list_timeout(),
        };
        self.times_out_at = now + timeout;
        let request = DiscoveryRequest {
            number: self.number,
            address: self.address,
            wait_ms: self.limits.watch_timeout.0 / 1000,
            known_version: self.known_version,
        };
        match (self.dial)(request) {
            Ok(handle) => self.handle = Some(handle),
            Err(error) if socket_errors::is_local_failure(&error) => {
                // A local failure puts no load on discovery; a longer backoff would only delay learning of
                // drains.
                self.backoff = self.limits.initial_backoff;
            }
            Err(_) => {}
        }
        self.handle.is_some()
    }

    /// Timeout of a request for the complete list. It doubles with each consecutive timeout, up to that of a
    /// watch, since a slow address would otherwise be asked again and again without being heard.
    fn list_timeout(&self) -> TimeSpan {
        let initial = self.limits.list_timeout;
        let max_timeout = initial.max(self.change_timeout);
        let timeout = initial * f64::from(self.list_timeouts).exp2();
        timeout.min(max_timeout)
    }

    /// Ends the current request, which has timed out. A watch is opened anew immediately: the timeout has already
    /// limited the rate of requests, and changes go unnoticed while none is open. Returns like
    /// [`DiscoveryRequests::on_failed`].
    pub fn on_timed_out(&mut self, now: Timestamp) -> bool {
        if self.known_version.is_none() {
            self.list_timeouts = self.list_timeouts.saturating_add(1);
        }
        self.handle = None;
        if !self.is_polled {
            self.retry_at = Some(now);
        }
        self.is_polled
    }

    /// Changes the address of discovery. Versions of the previous address are not valid at the new one, so
    /// the complete list is requested immediately. The current request ends, because the previous address may
    /// never respond.
    pub fn set_address(&mut self, now: Timestamp, address: SocketAddr) {
        if address == self.address {
            return;
        }
        self.address = address;
        self.handle = None;
        self.known_version = None;
        self.backoff = self.limits.initial_backoff;
        self.list_timeouts = 0;
        self.retry_at = Some(now);
    }

    /// Records a received list. The connection has already sent the next watch.
    pub fn on_list(&mut self, now: Timestamp, version: u64) {
        self.times_out_at = now + self.change_timeout;
        self.backoff = self.limits.initial_backoff;
        self.known_version = Some(version);
        self.list_timeouts = 0;
    }

    /// Ends the current request. A watch is retried after an exponential backoff. Returns whether the policy
    /// has to be notified, because it decides when to poll.
    pub fn on_failed(&mut self, now: Timestamp) -> bool {
        self.handle = None;
        if !self.is_polled {
            let max_backoff = self.max_backoff();
            self.retry_at = Some(now + self.backoff.min(max_backoff));
            self.backoff = (self.backoff + self.backoff).min(max_backoff);
        }
        self.is_polled
    }

    /// Upper bound of the backoff: the limit, or less where the drain grace period requires it.
    fn max_backoff(&self) -> TimeSpan {
        let for_drains = self.drain_grace.map(|grace| grace * MAX_BACKOFF_IN_DRAIN_GRACE);
        for_drains.map_or(self.limits.max_backoff, |backoff| {
            backoff.min(self.limits.max_backoff)
        })
    }

    /// Whether the current request has timed out.
    pub fn is_timed_out(&self, now: Timestamp) -> bool {
        self.handle.is_some() && self.times_out_at <= now
    }

    /// Whether the next request is due. Returns true once per request.
    pub fn take_due(&mut self, now: Timestamp) -> bool {
        self.retry_at.take_if(|at| *at <= now).is_some()
    }
}
