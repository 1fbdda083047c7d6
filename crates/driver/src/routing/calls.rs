//! Calls to discovery: one watch at a time, and when the next one is due.

use crate::transport::stream::Line;
use asterlatch::time::{Point, Span};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;

/// How long a watch may wait for news, and how much longer its answer may take. A connection may fall silent without
/// a sign: for as long as both nothing is heard of members that come and go.
const WATCH: Span = Span::millis(2000);
const WATCH_LATE: Span = Span::millis(1000);
/// A list that is asked for without waiting comes at once, or discovery is silent.
const LIST_LATE: Span = Span::millis(1000);
/// Pauses after a failed call.
const FIRST_PAUSE: Span = Span::millis(100);
const LONGEST_PAUSE: Span = Span::millis(2000);

/// What a call needs to know: its number, whom to call, how long a watch waits and after which version.
pub struct Call {
    pub number: u32,
    pub address: SocketAddr,
    pub wait_ms: u64,
    pub after: Option<u64>,
}

pub type Dial = Box<dyn FnMut(Call) -> io::Result<Line<Infallible>>>;

pub struct Calls {
    dial: Dial,
    address: SocketAddr,
    line: Option<Line<Infallible>>,
    /// The connection in use; news of an earlier one is of no interest any more.
    number: u32,
    ends: Point,
    again: Option<Point>,
    pause: Span,
    index: Option<u64>,
    /// The module says when to call.
    on_request: bool,
}

impl Calls {
    pub fn new(dial: Dial, address: SocketAddr, on_request: bool, now: Point) -> Calls {
        Calls {
            dial,
            address,
            line: None,
            number: 0,
            ends: now,
            again: (!on_request).then_some(now),
            pause: FIRST_PAUSE,
            index: None,
            on_request,
        }
    }

    pub fn next_at(&self) -> Option<Point> {
        let ends = self.line.as_ref().map(|_| self.ends);
        ends.into_iter().chain(self.again).min()
    }

    pub fn is_current(&self, number: u32) -> bool {
        self.line.is_some() && self.number == number
    }

    /// Calls, unless a call stands; whether that could be done.
    pub fn call(&mut self, now: Point) -> bool {
        if self.line.is_some() {
            return true;
        }
        self.number += 1;
        let (number, after) = (self.number, self.index);
        let wait_ms = WATCH.0 / 1000;
        self.ends = now + after.map_or(LIST_LATE, |_| WATCH + WATCH_LATE);
        self.line = (self.dial)(Call {
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
    pub fn move_to(&mut self, now: Point, address: SocketAddr) {
        if address == self.address {
            return;
        }
        (self.address, self.line, self.index) = (address, None, None);
        (self.pause, self.again) = (FIRST_PAUSE, Some(now));
    }

    /// News came; the next watch is on its way already.
    pub fn told(&mut self, now: Point, index: u64) {
        self.ends = now + WATCH + WATCH_LATE;
        self.pause = FIRST_PAUSE;
        self.index = Some(index);
    }

    /// The call is over. The next one comes after a growing pause, or when the module says so: then it must be
    /// told.
    pub fn failed(&mut self, now: Point) -> bool {
        self.line = None;
        if !self.on_request {
            self.again = Some(now + self.pause);
            self.pause = (self.pause + self.pause).min(LONGEST_PAUSE);
        }
        self.on_request
    }

    /// The call has been silent for too long.
    pub fn is_silent(&self, now: Point) -> bool {
        self.line.is_some() && self.ends <= now
    }

    pub fn is_due(&mut self, now: Point) -> bool {
        self.again.take_if(|at| *at <= now).is_some()
    }
}
