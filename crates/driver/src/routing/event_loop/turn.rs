//! Turns of the event loop. A turn handles queued events for a limited time, and control and timeouts follow each
//! turn: clients that send without pause can't delay signals, reloads, upgrades or timeouts.

use super::{EventLoop, Logger};
use crate::routing::events::Event;
use crate::transport::clock::Clock;
use asterlatch::time::{TimeSpan, Timestamp};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

/// Duration of a turn after which no further client event is handled.
const MAX_TURN: TimeSpan = TimeSpan::millis(5);
/// Number of events that are taken from the queue at once.
const MAX_TAKEN_EVENTS: usize = 16_384;
/// Capacity for waiting client events that is kept while none are waiting.
const KEPT_CAPACITY: usize = 256;

/// All senders of the queue are gone.
struct QueueClosed;

impl<L: Logger> EventLoop<L> {
    /// Handles events until `control` returns `None` or all senders are gone. `control` runs before each turn
    /// and returns the latest time of its next run.
    pub fn run(
        &mut self,
        events: &Receiver<Event>,
        clock: Clock,
        mut control: impl FnMut(&mut Self, Timestamp) -> Option<Timestamp>,
    ) {
        while let Some(control_at) = control(self, clock.now()) {
            let Ok(first) = self.wait(control_at, events, clock) else {
                return;
            };
            let started_at = clock.now();
            let handled_to = self.run_turn(first, events, clock);
            self.advance_to(handled_to);
            let turn_us = (clock.now() - started_at).0;
            self.metrics.turn_longest_us = self.metrics.turn_longest_us.max(turn_us);
        }
    }

    /// Waits for an event until control or a timeout is due; not at all while client events are waiting.
    fn wait(
        &mut self,
        control_at: Timestamp,
        events: &Receiver<Event>,
        clock: Clock,
    ) -> Result<Option<Event>, QueueClosed> {
        if !self.waiting_events.is_empty() {
            return Ok(None);
        }
        let next = self.next_at().min(control_at);
        let timeout = Duration::from_micros((next - clock.now()).0);
        let first = match events.recv_timeout(timeout) {
            Ok(event) => Some(event),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return Err(QueueClosed),
        };
        let delay_us = (clock.now() - next).0;
        self.metrics.wake_up_latest_us = self.metrics.wake_up_latest_us.max(delay_us);
        Ok(first)
    }

    /// Handles events until none is left or the turn has lasted [`MAX_TURN`]. Returns the time up to which
    /// timeouts may be handled: all answers of members that were queued by then have been handled, so that no
    /// request times out whose answer is in the queue.
    fn run_turn(&mut self, first: Option<Event>, events: &Receiver<Event>, clock: Clock) -> Timestamp {
        let ends_at = clock.now() + MAX_TURN;
        let mut first = first;
        let mut handled = 0;
        let handled_to = loop {
            let now = clock.now();
            let queued = first.take().into_iter().chain(events.try_iter());
            let batch: Vec<Event> = queued.take(MAX_TAKEN_EVENTS).collect();
            let is_queue_empty = batch.is_empty();
            handled += self.take_events(now, batch);
            let is_idle = is_queue_empty && self.waiting_events.is_empty();
            if is_idle || now >= ends_at {
                break now;
            }
            handled += self.handle_waiting_events(ends_at, || clock.now());
        };
        self.metrics.queue_longest = self.metrics.queue_longest.max(handled);
        handled_to
    }

    /// Handles a batch of events. Client disconnects come first: capacity that one of them frees must not go to
    /// a client whose disconnect is in the same batch. Client events come last.
    pub fn on_events(&mut self, batch: Vec<Event>, now: impl Fn() -> Timestamp) {
        self.take_events(now(), batch);
        self.handle_waiting_events(Timestamp(u64::MAX), now);
    }

    /// Handles the events of a batch, except that client events other than disconnects wait. Returns the number
    /// of events handled.
    fn take_events(&mut self, now: Timestamp, batch: Vec<Event>) -> u64 {
        self.on_disconnects_in_batch(now, &batch);
        let mut handled = 0;
        for event in batch {
            match event {
                Event::Accept(_) | Event::Client(_) => self.waiting_events.push_back(event),
                Event::Member(_) | Event::Discovery(_) | Event::Gossip(_) | Event::Control(_) => {
                    self.on_event(now, event);
                    handled += 1;
                }
            }
        }
        handled
    }

    /// Handles waiting client events in order until `ends_at`, at least one. Returns their number.
    fn handle_waiting_events(&mut self, ends_at: Timestamp, clock: impl Fn() -> Timestamp) -> u64 {
        let mut handled = 0;
        while let Some(event) = self.waiting_events.pop_front() {
            let now = clock();
            self.on_event(now, event);
            handled += 1;
            if now >= ends_at {
                return handled;
            }
        }
        self.waiting_events.shrink_to(KEPT_CAPACITY);
        self.disconnected_before_admission.clear();
        handled
    }
}
