//! Requests to discovery for the endpoint list: one watch at a time, with backoff after failures.

use super::limits::Limits;
use crate::transport::connection::ConnectionHandle;
use crate::transport::socket_errors;
use asterlatch::time::{TimeSpan, Timestamp};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;

/// A request to be made.
pub struct DiscoveryRequest {
    /// Its number, which its events carry.
    pub number: u32,
    /// Address of discovery.
    pub address: SocketAddr,
    /// How long a watch waits for a change, in milliseconds.
    pub wait_ms: u64,
    /// Version of the list that is known; `None` asks for the complete list.
    pub known_version: Option<u64>,
}

/// Opens a connection to discovery for a request.
pub type DialDiscovery = Box<dyn FnMut(DiscoveryRequest) -> io::Result<ConnectionHandle<Infallible>>>;

/// The current request to discovery, and when the next one is due. Only the event loop uses it.
pub struct DiscoveryRequests {
    dial: DialDiscovery,
    address: SocketAddr,
    line: Option<ConnectionHandle<Infallible>>,
    /// Number of the last request; events of earlier ones are stale.
    number: u32,
    /// When an answer to the current request is overdue.
    times_out_at: Timestamp,
    retry_at: Option<Timestamp>,
    backoff: TimeSpan,
    known_version: Option<u64>,
    /// The policy decides when to poll.
    is_polled: bool,
    limits: Limits,
    /// Time for each further change on the current request, by the limits that it was made with.
    change_timeout: TimeSpan,
}

impl DiscoveryRequests {
    /// No request yet. If the policy does not poll, the first one is due at once.
    pub fn new(
        dial: DialDiscovery,
        address: SocketAddr,
        is_polled: bool,
        limits: Limits,
        now: Timestamp,
    ) -> DiscoveryRequests {
        DiscoveryRequests {
            dial,
            address,
            line: None,
            number: 0,
            times_out_at: now,
            retry_at: (!is_polled).then_some(now),
            backoff: limits.initial_backoff,
            known_version: None,
            is_polled,
            limits,
            change_timeout: limits.watch_timeout + limits.watch_grace,
        }
    }

    /// States that a list of this version is known from the start. Polling discovery costs it work, so the first poll
    /// asks only for later changes; a watch, which costs nothing, begins with the complete list.
    pub fn set_known_version(&mut self, version: u64) {
        self.known_version = Some(version).filter(|_| self.is_polled);
    }

    /// Discovery does not know the known version: the next list has to be complete.
    pub fn forget_version(&mut self) {
        self.known_version = None;
    }

    /// Changes the limits for later requests.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// When the current request times out or the next one is due.
    pub fn next_at(&self) -> Option<Timestamp> {
        let timeout = self.line.as_ref().map(|_| self.times_out_at);
        timeout.into_iter().chain(self.retry_at).min()
    }

    /// Whether events of this request are still of interest.
    pub fn is_current(&self, number: u32) -> bool {
        self.line.is_some() && self.number == number
    }

    /// Makes a request unless one is in flight. Returns false if no connection can be opened.
    pub fn request(&mut self, now: Timestamp) -> bool {
        if self.line.is_some() {
            return true;
        }
        self.number += 1;
        self.change_timeout = self.limits.watch_timeout + self.limits.watch_grace;
        let timeout = match self.known_version {
            Some(_) => self.change_timeout,
            None => self.limits.list_timeout,
        };
        self.times_out_at = now + timeout;
        let request = DiscoveryRequest {
            number: self.number,
            address: self.address,
            wait_ms: self.limits.watch_timeout.0 / 1000,
            known_version: self.known_version,
        };
        match (self.dial)(request) {
            Ok(line) => self.line = Some(line),
            Err(error) if socket_errors::is_local_failure(&error) => {
                // Discovery knows nothing of it, so it needs no relief: a drain must not be learned late for it.
                self.backoff = self.limits.initial_backoff;
            }
            Err(_) => {}
        }
        self.line.is_some()
    }

    /// Changes the address of discovery. Versions mean nothing at any other address, so the complete list is requested
    /// at once. The current request ends: the former discovery may stay silent until it closes.
    pub fn set_address(&mut self, now: Timestamp, address: SocketAddr) {
        if address == self.address {
            return;
        }
        self.address = address;
        self.line = None;
        self.known_version = None;
        self.backoff = self.limits.initial_backoff;
        self.retry_at = Some(now);
    }

    /// A list of this version arrived; the next watch has been sent on the same connection already.
    pub fn on_list(&mut self, now: Timestamp, version: u64) {
        self.times_out_at = now + self.change_timeout;
        self.backoff = self.limits.initial_backoff;
        self.known_version = Some(version);
    }

    /// Ends the current request. The next one is due after a growing backoff; if the policy polls, it decides, and true
    /// is returned.
    pub fn on_failed(&mut self, now: Timestamp) -> bool {
        self.line = None;
        if !self.is_polled {
            self.retry_at = Some(now + self.backoff);
            self.backoff = (self.backoff + self.backoff).min(self.limits.max_backoff);
        }
        self.is_polled
    }

    /// Whether the current request has timed out.
    pub fn is_timed_out(&self, now: Timestamp) -> bool {
        self.line.is_some() && self.times_out_at <= now
    }

    /// Whether the next request is due; true only once for each.
    pub fn take_due(&mut self, now: Timestamp) -> bool {
        self.retry_at.take_if(|at| *at <= now).is_some()
    }
}
