//! `asterlatch serve` and `asterlatch check`: assembles the parts of the process and runs them.
//!
//! [`serve`] creates everything that can fail before it accepts clients. The calling thread then runs the
//! event loop, with the control loop before each of its waits.

mod check;
mod connectors;
mod control_loop;
mod deferred_services;
mod error;
mod start_retry;
mod startup;

use super::config::{Config, ConfigError};
use super::log::Log;
use super::operators::{self, AppliedSettings, Operators};
use super::phases::Phases;
use super::signals::{BlockedSignals, ShutdownRequest};
use super::upgrade::{PredecessorRole, ResumedService, SuccessorRole};
use crate::routing::event_loop::EventLoop;
use crate::routing::events::Event;
use crate::routing::handover::CoServing;
use crate::transport;
use crate::transport::clock::Clock;
use crate::transport::io_journal::IoJournalWriter;
pub use check::check;
use control_loop::{report_metrics, ControlLoop, ShutdownState};
use deferred_services::DeferredServices;
pub use error::ServeError;
use start_retry::StartRetry;
use startup::Startup;
use std::path::Path;
use std::sync::mpsc::{channel, Sender};

/// Serves until shutdown or until a successor has taken over. `load_config` reads the configuration for a
/// reload.
///
/// # Errors
/// If the process can't start; once it serves it doesn't fail. Transient failures are retried for a limited
/// time.
pub fn serve(
    config: Config,
    load_config: impl Fn() -> Result<Config, ConfigError>,
    options: &operators::OperatorsOptions,
    control_path: Option<&Path>,
) -> Result<(), ServeError> {
    transport::allocator::return_large_buffers();
    match start_and_run(config, load_config, options, control_path) {
        Err(ServeError::ShutDown) => Ok(()),
        result => result,
    }
}

fn start_and_run(
    config: Config,
    load_config: impl Fn() -> Result<Config, ConfigError>,
    options: &operators::OperatorsOptions,
    control_path: Option<&Path>,
) -> Result<(), ServeError> {
    // Before any thread is started.
    let signals = BlockedSignals::block().map_err(ServeError::Signals)?;
    let shutdown = ShutdownRequest::default();
    let retry = StartRetry::new(shutdown.clone());
    let (queue, events) = channel();
    retry.run(|| forward_signals(&signals, &queue, &shutdown))?;
    let machine = operators::machine_limits(&config);
    let initial = retry.run(|| Ok(operators::load_initial_settings(options, machine)?))?;
    let settings = AppliedSettings::from_resolved(&initial.resolved);
    let mut successor = SuccessorRole::from_environment(settings.handover_timeouts.successor)?;
    transport::coroutines::start(settings.coroutine_stacks);
    let inherited = InheritedState::load(successor.as_mut(), &config)?;
    let clock = inherited.clock;
    let startup = Startup {
        config: &config,
        memory: config.runtime.memory_budgets(&settings.limits),
        clock,
        queue,
        journal: inherited.journal,
    };
    // Before members are dialed, since retries take time.
    let listener = retry.run(|| startup.bind_or_inherit(successor.as_mut()))?;
    let mut event_loop = startup.event_loop(settings.limits, inherited.resumed);
    if let Some(successor) = &mut successor {
        commit_handover(successor, &startup, &mut event_loop)?;
    }
    let (upgrade_requests, upgrade_request_receiver) = channel();
    let predecessor = PredecessorRole::new(
        config.settings_hash,
        startup.queue.clone(),
        upgrade_request_receiver,
    );
    let mut services = DeferredServices::new(
        &startup,
        &initial.resolved,
        options,
        control_path,
        upgrade_requests,
    );
    services.start_or_defer(&mut event_loop, successor.is_some(), &retry)?;
    startup.listen(&mut event_loop, listener, successor.is_some(), &retry)?;
    let mut phases = Phases::default();
    operators::apply_settings(&mut event_loop, &mut phases, &settings);
    startup.log_all(&mut event_loop, &initial.lines);
    let worker = retry.run(|| Ok(operators::WorkerHandle::start(options, &startup.queue)?))?;
    let operators = Operators::new(options, initial, settings.handover_timeouts.predecessor, worker);
    drop(startup);
    let mut control_loop = ControlLoop {
        config: &config,
        load_config,
        machine,
        successor,
        predecessor,
        operators,
        phases,
        services,
        shutdown: ShutdownState::default(),
    };
    let control = |event_loop: &mut EventLoop<Log>, now| control_loop.advance_to(event_loop, now);
    event_loop.run(&events, clock, control);
    report_metrics(&mut event_loop, clock.now());
    Ok(())
}

fn forward_signals(
    signals: &BlockedSignals,
    queue: &Sender<Event>,
    shutdown: &ShutdownRequest,
) -> Result<(), ServeError> {
    let forwarding = signals.forward(queue.clone(), shutdown.clone());
    forwarding.map_err(ServeError::Signals)
}

/// State from the predecessor; without one, only a new clock.
struct InheritedState {
    resumed: Option<ResumedService>,
    clock: Clock,
    /// Journals client I/O while the predecessor may have to resume the clients.
    journal: Option<IoJournalWriter>,
}

impl InheritedState {
    fn load(successor: Option<&mut SuccessorRole>, config: &Config) -> Result<InheritedState, ServeError> {
        let Some(successor) = successor else {
            return Ok(InheritedState {
                resumed: None,
                clock: Clock::start(),
                journal: None,
            });
        };
        let resumed = successor.load(config)?;
        Ok(InheritedState {
            clock: resumed.clock,
            resumed: Some(resumed),
            journal: successor.open_journal()?,
        })
    }
}

/// Commits the handover: everything that can fail has been created by now.
fn commit_handover(
    successor: &mut SuccessorRole,
    startup: &Startup,
    event_loop: &mut EventLoop<Log>,
) -> Result<(), ServeError> {
    successor.commit()?;
    successor.spawn_reader(startup.queue.clone())?;
    // The predecessor may have dispatched executions since it wrote its state, so they count from the start.
    event_loop.set_co_serving(startup.clock.now(), CoServing::WithPredecessor);
    Ok(())
}
