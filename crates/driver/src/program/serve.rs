//! Puts the parts together and runs them.

use super::config::Config;
use super::counters;
use super::log::{log, Log};
use super::phases::{Phase, Phases, Seen};
use super::signals;
use crate::protocol::session::Session;
use crate::routing::owner::{Owner, Place};
use crate::routing::queue::{Input, Notice};
use crate::transport::clock::Clock;
use crate::transport::listener;
use asterlatch::time::Point;
use std::sync::mpsc::channel;

pub fn serve(config: Config) -> Result<(), String> {
    // One worker, not bound to a core: several drivers may share a machine, and the first core would be
    // everybody's.
    may::config().set_workers(1).set_worker_pin(false);
    let clock = Clock::start();
    let (queue, inputs) = channel();
    signals::forward(queue.clone()).map_err(|e| format!("signals: {e}"))?;
    let place = Place {
        discovery: config.discovery,
        sockets: config.sockets,
        memory: config.memory,
    };
    let mut owner = Owner::new(
        config.settings,
        config.seed,
        place,
        clock,
        queue.clone(),
        Log::default(),
    );
    if let Some(known) = &config.known {
        owner.learn_roster(clock.now(), known);
    }
    let listening = listener::listen::<_, Input>(config.listen, queue, clock, Session::new);
    let listening = listening.map_err(|e| format!("{}: {e}", config.listen))?;
    owner.attach(listening);
    let mut phases = Phases::new();
    let (mut told_to_leave, name) = (false, config.name);
    owner.run(&inputs, |owner, now| {
        for notice in std::mem::take(&mut owner.notices) {
            match notice {
                Notice::Leave => told_to_leave = true,
                Notice::Report => report(owner, now),
            }
        }
        let seen = Seen {
            told_to_leave,
            listening: true,
            listener_closed: owner.listener_closed,
            open_clients: owner.open_clients(),
        };
        while let Some(phase) = phases.advance(now, &seen) {
            log!(owner.observer, now, "phase", "{name} is {phase:?}");
            match phase {
                Phase::Draining => owner.send_clients_away(),
                Phase::Stopped => return None,
                _ => {}
            }
        }
        Some(phases.next_at())
    });
    report(&mut owner, clock.now());
    Ok(())
}

fn report(owner: &mut Owner<Log>, now: Point) {
    let line = counters::line(&owner.figures);
    log!(owner.observer, now, "counters", "{line}");
}

/// Says whether this configuration could be served, by all that serving would need of it.
pub fn check(config: &Config) -> Result<(), String> {
    let address = config.listen;
    std::net::TcpListener::bind(address).map_err(|e| format!("{address}: {e}"))?;
    let members = config.known.as_ref().map_or(0, |k| k.entries.len());
    let (settings, _) = &config.settings;
    let classes = settings.workloads.len();
    println!("{}: {classes} classes, {members} members known", config.name);
    Ok(())
}
