//! `asterlatch serve` and `asterlatch check`: puts the parts of the process together and runs them.
//!
//! [`serve`] makes everything that could fail before it takes clients. The calling thread then runs the event loop, with
//! [`control_loop`] ahead of each of its waits.

mod check;
mod connectors;
mod control_loop;
mod deferred_services;
mod startup;

use super::config::Config;
use super::operators::{self, InForce, Operators};
use super::phases::Phases;
use super::signals;
use super::upgrade::{self, Takeover, Upgrades};
use crate::routing::handover::CoServing;
use crate::transport;
use crate::transport::clock::Clock;
pub use check::check;
use control_loop::{report_metrics, ControlLoop};
use deferred_services::DeferredServices;
use startup::Startup;
use std::path::Path;
use std::sync::mpsc::channel;

/// Serves until shutdown or until a successor has taken over. `load_config` reads the configuration again for a reload.
///
/// # Errors
/// If the process can't start; once it serves it doesn't fail.
pub fn serve(
    config: Config,
    load_config: impl Fn() -> Result<Config, String>,
    given: &operators::Given,
    control_path: Option<&Path>,
) -> Result<(), String> {
    let machine = operators::machine(&config);
    let start = operators::start(given, machine)?;
    let settings = InForce::of(&start.meaning);
    let mut takeover = upgrade::inherited(settings.takeover.1)?;
    transport::coroutines::start(settings.stacks);
    let resumed = takeover.as_mut().map(|t| t.load(&config)).transpose()?;
    let clock = resumed
        .as_ref()
        .map_or_else(Clock::start, |resumed| resumed.clock);
    let journal = takeover.as_mut().map(Takeover::witness).transpose()?.flatten();
    let (queue, events) = channel();
    signals::forward(queue.clone()).map_err(|e| format!("signals: {e}"))?;
    let startup = Startup {
        config: &config,
        memory: config.runtime.memory_budgets(&settings.limits),
        clock,
        queue,
        journal,
    };
    let mut event_loop = startup.event_loop(settings.limits, resumed);
    let listener = startup.bind_or_inherit(takeover.as_mut())?;
    // Everything that could fail is made by now, so the predecessor may hand over.
    if let Some(takeover) = &mut takeover {
        takeover.commit()?;
        takeover.follow(startup.queue.clone())?;
        // The predecessor may have dispatched requests since it wrote its state, so they count from the start.
        event_loop.set_co_serving(clock.now(), CoServing::WithPredecessor);
    }
    let (upgrade_requests, upgrade_request_receiver) = channel();
    let upgrades = Upgrades::new(
        config.settings_text,
        startup.queue.clone(),
        upgrade_request_receiver,
    );
    let mut services = DeferredServices::new(&startup, &start.meaning, given, control_path, upgrade_requests);
    if takeover.is_some() {
        services.defer(&mut event_loop);
    } else {
        services.start(&mut event_loop)?;
    }
    startup.listen(&mut event_loop, listener, takeover.is_some())?;
    let mut phases = Phases::default();
    operators::take_over(&mut event_loop, &mut phases, &settings);
    startup.log_all(&mut event_loop, &start.lines);
    let operators = Operators::new(given, start, settings.takeover.0, startup.queue.clone())?;
    drop(startup);
    let mut control_loop = ControlLoop {
        config: &config,
        load_config,
        machine,
        takeover,
        upgrades,
        operators,
        phases,
        services,
        is_shutting_down: false,
    };
    event_loop.run(&events, clock, |event_loop, now| {
        control_loop.advance_to(event_loop, now)
    });
    report_metrics(&mut event_loop, clock.now());
    Ok(())
}
