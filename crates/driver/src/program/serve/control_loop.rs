//! Work of the process between the event loop's waits: signals, reloads, upgrades, phases.

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

/// State of the process that controls the event loop. Only the event loop's thread uses it.
pub(super) struct ControlLoop<'a, F> {
    pub(super) config: &'a Config,
    /// Reads the configuration again.
    pub(super) load_config: F,
    /// Limits of the machine against which the operators' file is checked.
    pub(super) machine: Machine,
    /// Role of a successor; `None` once its predecessor has exited.
    pub(super) successor: Option<SuccessorRole>,
    /// Role of a predecessor.
    pub(super) predecessor: PredecessorRole,
    pub(super) operators: Operators,
    pub(super) phases: Phases,
    pub(super) services: DeferredServices<'a>,
    pub(super) shutdown: ShutdownState,
}

/// Why this process shuts down, if it does.
#[derive(Default)]
pub(super) struct ShutdownState {
    /// Shutdown was requested by a signal, so that its schedule applies.
    is_requested: bool,
    /// A successor has taken over.
    has_handed_over: bool,
}

impl ShutdownState {
    fn is_shutting_down(&self) -> bool {
        self.is_requested || self.has_handed_over
    }
}

impl<F: Fn() -> Result<Config, ConfigError>> ControlLoop<'_, F> {
    /// Performs the work that is due, and returns the latest time of the next call; `None` once the process
    /// has stopped.
    pub(super) fn advance_to(
        &mut self,
        event_loop: &mut EventLoop<Log>,
        now: Timestamp,
    ) -> Option<Timestamp> {
        for event in event_loop.take_control_events() {
            self.on_control_event(event_loop, now, event);
        }
        self.operators
            .advance_to(event_loop, &mut self.phases, now, self.machine);
        self.predecessor.set_timeouts(self.operators.predecessor_timeouts);
        let may_begin = self.may_begin_upgrade();
        self.predecessor.advance_to(event_loop, now, may_begin);
        self.shutdown.has_handed_over |= self.predecessor.has_handed_over();
        self.advance_successor(event_loop, now);
        let successor_deadline = self
            .successor
            .as_ref()
            .map_or(Timestamp(u64::MAX), |successor| successor.next_at(now));
        if self.advance_phases(event_loop, now) == Phase::Stopped {
            return None;
        }
        if event_loop.has_control_events() {
            return Some(now);
        }
        let deadlines = [
            self.phases.next_at(now),
            self.operators.next_at(),
            self.predecessor.next_at(),
            successor_deadline,
        ];
        deadlines.into_iter().min()
    }

    /// No upgrade begins before the predecessor has exited, nor during shutdown.
    fn may_begin_upgrade(&self) -> bool {
        self.successor.is_none() && !self.shutdown.is_shutting_down()
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
                "cannot start: this process is on probation or shutting down"
            ),
            ControlEvent::ReportMetrics => report_metrics(event_loop, now),
            ControlEvent::Reload => {
                event_loop.share_reload();
                self.reload(event_loop, now);
            }
            ControlEvent::ReloadForPeer => self.reload(event_loop, now),
            ControlEvent::WakeUp => {}
        }
    }

    /// Further requests have no effect. A process whose successor has taken over shuts down already, but only
    /// a request sets a schedule.
    fn begin_shutdown(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp) {
        let is_first = !std::mem::replace(&mut self.shutdown.is_requested, true);
        if let Some(max_wait) = self.config.settings.max_client_wait.filter(|_| is_first) {
            let schedule = ShutdownSchedule::new(now, max_wait);
            self.phases.limit_shutdown(schedule.exit_at);
            event_loop.begin_shutdown(now, schedule.last_answer_at);
        }
    }

    /// Reloads the configuration, then the operators' file. An invalid configuration changes nothing.
    fn reload(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp) {
        match (self.load_config)() {
            Ok(newer) => {
                self.machine = operators::machine_limits(&newer);
                apply_config(event_loop, now, self.config, &newer);
            }
            Err(error) => {
                event_loop.metrics.reloads_failed += 1;
                log!(
                    event_loop.logger,
                    now,
                    "configuration",
                    "unchanged, reload failed: {error}"
                );
            }
        }
        self.operators.reload(self.machine);
    }

    /// Once the predecessor has exited, starts the services that only one process may run.
    fn advance_successor(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp) {
        let Some(successor) = &mut self.successor else {
            return;
        };
        successor.advance_to(event_loop, now);
        if successor.is_complete() {
            self.successor = None;
            self.services.start_deferred(event_loop, now);
        }
    }

    /// Enters all phases that are due, and returns the current one.
    fn advance_phases(&mut self, event_loop: &mut EventLoop<Log>, now: Timestamp) -> Phase {
        let state = ProcessState {
            is_shutting_down: self.shutdown.is_shutting_down(),
            is_listening: event_loop.is_listening(),
            is_listener_closed: event_loop.is_listener_closed(),
            // Clients that are queued for a successor still belong to this process.
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

/// Applies the part of a newer configuration that needs no restart, and logs which other keys changed.
fn apply_config(event_loop: &mut EventLoop<Log>, now: Timestamp, config: &Config, newer: &Config) {
    event_loop.metrics.reloads += 1;
    event_loop.set_config(now, newer.runtime);
    let pending_keys = config.changes_requiring_restart(newer);
    let note = if pending_keys.is_empty() {
        String::new()
    } else {
        format!("; pending until a restart: {}", pending_keys.join(", "))
    };
    let discovery = newer.runtime.discovery;
    log!(
        event_loop.logger,
        now,
        "configuration",
        "reloaded, discovery at {discovery}{note}"
    );
}

/// Logs all metrics in one line.
pub(super) fn report_metrics(event_loop: &mut EventLoop<Log>, now: Timestamp) {
    event_loop.metrics.log_lines_left_out = event_loop.logger.suppressed_lines;
    let line = counters::format_line(&event_loop.metrics);
    log!(event_loop.logger, now, "counters", "{line}");
}
