//! What the process does between the event loop's waits: signals, reloads, upgrades, phases.

use super::deferred_services::DeferredServices;
use crate::program::config::{Config, ConfigError};
use crate::program::counters;
use crate::program::log::{log, Log};
use crate::program::operators::{self, Operators};
use crate::program::phases::{Phase, Phases, ProcessState, ShutdownSchedule};
use crate::program::upgrade::{PredecessorRole, SuccessorRole};
use crate::routing::event_loop::EventLoop;
use crate::routing::events::ControlEvent;
use asterlatch::time::Timestamp;
use asterlatch_config::schema::Machine;

/// Everything that steers the event loop from outside. Only the event loop's thread uses it.
pub(super) struct ControlLoop<'a, F> {
    pub(super) config: &'a Config,
    /// Reads the configuration again.
    pub(super) load_config: F,
    /// Limits of the machine that the operators' file is checked against.
    pub(super) machine: Machine,
    /// The side of a successor, while its predecessor is there.
    pub(super) successor: Option<SuccessorRole>,
    /// The side of a predecessor.
    pub(super) predecessor: PredecessorRole,
    pub(super) operators: Operators,
    pub(super) phases: Phases,
    pub(super) services: DeferredServices<'a>,
    pub(super) is_shutting_down: bool,
}

impl<F: Fn() -> Result<Config, ConfigError>> ControlLoop<'_, F> {
    /// Does what is due, and returns when to run again at the latest; `None` once the process has stopped.
    pub(super) fn advance_to(
        &mut self,
        event_loop: &mut EventLoop<Log>,
        now: Timestamp,
    ) -> Option<Timestamp> {
        for event in event_loop.take_control_events() {
            self.on_control_event(event_loop, now, event);
        }
        self.operators
            .steer(event_loop, &mut self.phases, now, self.machine);
        self.predecessor.set_timeouts(self.operators.upgrade_times);
        let may_begin = self.may_begin_upgrade();
        self.predecessor.advance_to(event_loop, now, may_begin);
        self.is_shutting_down |= self.predecessor.has_handed_over();
        self.advance_successor(event_loop, now);
        let successor_at = self
            .successor
            .as_ref()
            .map_or(Timestamp(u64::MAX), |successor| successor.next_at(now));
        if self.advance_phases(event_loop, now) == Phase::Stopped {
            return None;
        }
        let deadlines = [
            self.phases.next_at(now),
            self.operators.next_at(),
            self.predecessor.next_at(),
            successor_at,
        ];
        deadlines.into_iter().min()
    }

    /// Not before the predecessor has left, nor in shutdown.
    fn may_begin_upgrade(&self) -> bool {
        self.successor.is_none() && !self.is_shutting_down
    }

    fn on_control_event(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp, event: ControlEvent) {
        match event {
            ControlEvent::Shutdown => {
                self.predecessor.on_shutdown(event_loop, now);
                self.begin_shutdown(event_loop, now);
            }
            ControlEvent::Upgrade if self.may_begin_upgrade() => {
                self.predecessor.upgrade_to_own_program(event_loop, now)
            }
            ControlEvent::Upgrade => log!(
                event_loop.logger,
                now,
                "upgrade",
                "not begun: this process is on probation, or leaves"
            ),
            ControlEvent::ReportMetrics => report_metrics(event_loop, now),
            ControlEvent::Reload => self.reload(event_loop, now),
            ControlEvent::WakeUp => {}
        }
    }

    /// A second request changes nothing.
    fn begin_shutdown(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp) {
        let is_first = !std::mem::replace(&mut self.is_shutting_down, true);
        if let Some(longest_wait) = self.config.settings.max_client_wait.filter(|_| is_first) {
            let schedule = ShutdownSchedule::new(now, longest_wait);
            self.phases.limit_shutdown(schedule.exit_at);
            event_loop.begin_shutdown(now, schedule.last_answer_at);
        }
    }

    /// Reads the configuration again; one that can't be read in whole changes nothing. The operators' file follows.
    fn reload(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp) {
        match (self.load_config)() {
            Ok(newer) => {
                self.machine = operators::machine(&newer);
                apply_config(event_loop, now, self.config, &newer);
            }
            Err(error) => {
                event_loop.metrics.reloads_failed += 1;
                log!(event_loop.logger, now, "configuration", "kept as it was: {error}");
            }
        }
        self.operators.changed(self.machine);
    }

    /// Once the predecessor has left, what belongs to one process starts here.
    fn advance_successor(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp) {
        let Some(successor) = &mut self.successor else {
            return;
        };
        successor.advance_to(event_loop, now);
        if successor.is_complete() {
            self.successor = None;
            self.services.start_late(event_loop, now);
        }
    }

    /// Enters all phases that are due, and returns the last one.
    fn advance_phases(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp) -> Phase {
        let state = ProcessState {
            is_shutting_down: self.is_shutting_down,
            is_listening: event_loop.is_listening(),
            is_listener_closed: event_loop.is_listener_closed(),
            // Clients that still wait to be sent to a successor are held here.
            open_clients: event_loop.open_clients() + self.predecessor.unsent_connections(),
            open_statements: event_loop.open_statements(),
        };
        while let Some(phase) = self.phases.advance(now, &state) {
            let name = &self.config.name;
            log!(event_loop.logger, now, "phase", "{name} is {}", phase.name());
            match phase {
                Phase::Draining { .. } => event_loop.begin_drain(),
                Phase::Stopped => event_loop.leave_gossip(),
                Phase::Starting | Phase::Serving | Phase::Leaving { .. } => {}
            }
        }
        self.phases.phase()
    }
}

/// Puts in force what of a newer configuration doesn't need a restart, and logs the rest.
fn apply_config(event_loop: &mut EventLoop<Log>, now: Timestamp, config: &Config, newer: &Config) {
    event_loop.metrics.reloads += 1;
    event_loop.set_config(now, newer.runtime);
    let unchanged = config.changes_requiring_restart(newer);
    let note = if unchanged.is_empty() {
        String::new()
    } else {
        format!("; kept until the next start: {}", unchanged.join(", "))
    };
    let discovery = newer.runtime.discovery;
    log!(
        event_loop.logger,
        now,
        "configuration",
        "read again, discovery at {discovery}{note}"
    );
}

/// Logs all metrics in one line.
pub(super) fn report_metrics(event_loop: &mut EventLoop<Log>, now: Timestamp) {
    event_loop.metrics.log_lines_left_out = event_loop.logger.suppressed_lines;
    let line = counters::line(&event_loop.metrics);
    log!(event_loop.logger, now, "counters", "{line}");
}
