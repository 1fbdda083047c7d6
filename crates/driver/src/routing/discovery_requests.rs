//! DiscoveryRequests to discovery: one watch at a time, and when the next one is due.

use super::limits::Limits;
use crate::transport::stream::Line;
use asterlatch::time::{TimeSpan, Timestamp};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;

/// What a call needs to know: its number, whom to call, how long a watch waits and after which version.
pub struct DiscoveryRequest {
    pub number: u32,
    pub address: SocketAddr,
    pub wait_ms: u64,
    pub after: Option<u64>,
}

pub type Dial = Box<dyn FnMut(DiscoveryRequest) -> io::Result<Line<Infallible>>>;

pub struct DiscoveryRequests {
    dial: Dial,
    address: SocketAddr,
    line: Option<Line<Infallible>>,
    /// The connection in use; news of an earlier one is of no interest any more.
    number: u32,
    ends: Timestamp,
    again: Option<Timestamp>,
    pause: TimeSpan,
    index: Option<u64>,
    /// The module says when to call.
    on_request: bool,
    limits: Limits,
    /// How long the call in use may take for news: it was made with this.
    news_within: TimeSpan,
}

impl DiscoveryRequests {
    pub fn new(
        dial: Dial,
        address: SocketAddr,
        on_request: bool,
        limits: Limits,
        now: Timestamp,
    ) -> DiscoveryRequests {
        DiscoveryRequests {
            dial,
            address,
            line: None,
            number: 0,
            ends: now,
            again: (!on_request).then_some(now),
            pause: limits.initial_backoff,
            index: None,
            on_request,
            limits,
            news_within: limits.watch_timeout + limits.watch_grace,
        }
    }

    /// A list of this version is known from the first. Where discovery is asked, and each call costs it work, the first one
    /// is for what is newer; an agent that answers at no cost is asked for the whole.
    pub fn knows(&mut self, index: u64) {
        self.index = Some(index).filter(|_| self.on_request);
    }

    /// The version that is known means nothing at discovery: the next list has to be a whole one.
    pub fn forget(&mut self) {
        self.index = None;
    }

    /// For calls from now on.
    pub fn bound(&mut self, limits: Limits) {
        self.limits = limits;
    }

    pub fn next_at(&self) -> Option<Timestamp> {
        let ends = self.line.as_ref().map(|_| self.ends);
        ends.into_iter().chain(self.again).min()
    }

    pub fn is_current(&self, number: u32) -> bool {
        self.line.is_some() && self.number == number
    }

    /// DiscoveryRequests, unless a call stands; whether that could be done.
    pub fn call(&mut self, now: Timestamp) -> bool {
        if self.line.is_some() {
            return true;
        }
        self.number += 1;
        let (number, after) = (self.number, self.index);
        let wait_ms = self.limits.watch_timeout.0 / 1000;
        self.news_within = self.limits.watch_timeout + self.limits.watch_grace;
        self.ends = now + after.map_or(self.limits.list_timeout, |_| self.news_within);
        self.line = (self.dial)(DiscoveryRequest {
            number,
            address: self.address,
            wait_ms,
            after,
        })
        .ok();
        self.line.is_some()
    }

    /// From now on discovery is at this address, and its whole list comes first: a version means nothing at any
    /// other. The call to the old one is hung up on, for that one may stay silent until it closes.
    pub fn move_to(&mut self, now: Timestamp, address: SocketAddr) {
        if address == self.address {
            return;
        }
        (self.address, self.line, self.index) = (address, None, None);
        (self.pause, self.again) = (self.limits.initial_backoff, Some(now));
    }

    /// News came; the next watch is on its way already.
    pub fn told(&mut self, now: Timestamp, index: u64) {
        self.ends = now + self.news_within;
        self.pause = self.limits.initial_backoff;
        self.index = Some(index);
    }

    /// The call is over. The next one comes after a growing pause, or when the module says so: then it must be
    /// told.
    pub fn failed(&mut self, now: Timestamp) -> bool {
        self.line = None;
        if !self.on_request {
            self.again = Some(now + self.pause);
            self.pause = (self.pause + self.pause).min(self.limits.max_backoff);
        }
        self.on_request
    }

    /// The call has been silent for too long.
    pub fn is_silent(&self, now: Timestamp) -> bool {
        self.line.is_some() && self.ends <= now
    }

    pub fn is_due(&mut self, now: Timestamp) -> bool {
        self.again.take_if(|at| *at <= now).is_some()
    }
}
