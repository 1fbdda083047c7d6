//! Puts the parts together and runs them.

use super::config::Config;
use super::counters;
use super::gossip::{self, GossipConfig, GossipHandle};
use super::log::{log, Log};
use super::operators::{self, InForce, Operators};
use super::phases::{Phase, Phases, Seen};
use super::signals;
use super::upgrade::{self, Takeover, Upgrades};
use crate::protocol::client_session::ClientSession;
use crate::protocol::discovery_watch::DiscoveryWatch;
use crate::protocol::member_connection::MemberConnection;
use crate::protocol::messages;
use crate::routing::event_loop::{Connectors, EventLoop, EventLoopOptions};
use crate::routing::events::{ControlEvent, Event};
use crate::routing::handover::CoServing;
use crate::transport::clock::Clock;
use crate::transport::memory_budget::MemoryBudget;
use crate::transport::{self, connection, listener};
use asterlatch::time::Timestamp;
use std::net::TcpListener;
use std::path::Path;
use std::sync::mpsc::channel;

/// Serves until told to leave; `again` reads the configuration another time.
pub fn serve(
    config: Config,
    again: impl Fn() -> Result<Config, String>,
    given: &operators::Given,
    control: Option<&Path>,
) -> Result<(), String> {
    let mut machine = operators::machine(&config);
    let start = operators::start(given, machine).map_err(|e| e.to_string())?;
    let force = InForce::of(&start.meaning);
    let mut takeover = upgrade::inherited(force.handover.successor)?;
    transport::coroutines::start(force.stacks);
    let resumed = takeover.as_mut().map(|t| t.load(&config)).transpose()?;
    let clock = resumed.as_ref().map_or_else(Clock::start, |r| r.clock);
    let witness = takeover.as_mut().map(Takeover::witness).transpose()?.flatten();
    let (queue, inputs) = channel();
    signals::forward(queue.clone()).map_err(|e| format!("signals: {e}"))?;
    let (to_members, to_discovery, to_operators) = (queue.clone(), queue.clone(), queue.clone());
    let (to_takeover, to_adopted, to_resumed) = (queue.clone(), queue.clone(), queue.clone());
    let memory = config.runtime.memory_budgets(&force.limits);
    // Discovery has one connection, whose answers have a bound of their own.
    let (room, unbound) = (memory.members.clone(), MemoryBudget::new(usize::MAX));
    let longest = messages::max_message(room.capacity());
    let (adopted_room, members_room) = (memory.clients.clone(), memory.members.clone());
    let witnessed = witness.clone();
    let connectors = Connectors {
        dial_member: Box::new(move |id, address| {
            connection::dial::<_, Event>(
                address,
                MemberConnection::new(id, longest),
                &to_members,
                (clock, &room),
            )
        }),
        dial_discovery: Box::new(move |call| {
            let watch = DiscoveryWatch::new(call.number, call.address.to_string(), call.wait_ms, call.after);
            connection::dial::<_, Event>(call.address, watch, &to_discovery, (clock, &unbound))
        }),
        adopt_client: Box::new(move |id, stream, mut standing| {
            let session = ClientSession::resume(id, adopted_room.clone(), &standing);
            let session = session.with_journal(witnessed.clone());
            let input = std::mem::take(&mut standing.input);
            connection::resume_owned::<_, Event>(
                stream,
                true,
                session,
                &to_adopted,
                (clock, &adopted_room),
                input,
            )
        }),
        adopt_member_connection: Box::new(move |id, stream| {
            let executions = MemberConnection::resume(id, longest);
            let place = (clock, &members_room);
            connection::resume_owned::<_, Event>(stream, true, executions, &to_resumed, place, Vec::new())
        }),
    };
    let options = EventLoopOptions {
        seed: config.seed,
        connectors,
        journal: witness.clone(),
        config: config.runtime,
        limits: force.limits,
        memory: memory.clone(),
    };
    let (settings, decoding) = &config.settings;
    let mut event_loop = EventLoop::new(settings, decoding.clone(), options, clock.now(), Log::default());
    if let Some(resumed) = resumed {
        event_loop.resume(clock.now(), &config.settings.0, resumed.learned);
    } else if let Some(known) = &config.known {
        event_loop.start_with_list(clock.now(), known);
    }
    let (clients, room) = (memory.clients.clone(), memory.clients);
    let session = move |id| ClientSession::new(id, room.clone()).with_journal(witness.clone());
    let inherited = takeover.as_mut().and_then(Takeover::listener);
    let bound = inherited.map_or_else(|| TcpListener::bind(config.listen), Ok);
    let listener = bound.map_err(|e| format!("{}: {e}", config.listen))?;
    // Everything is made by now that could fail; what is served begins with whom the former process sends.
    if let Some(takeover) = &mut takeover {
        takeover.commit()?;
        takeover.follow(to_takeover.clone())?;
        // What the former one may have sent since it wrote down what it knew is reckoned with from the first.
        event_loop.set_co_serving(clock.now(), CoServing::WithPredecessor);
    }
    let (tell_asks, asks) = channel();
    let mut upgrades = Upgrades::new(config.settings_text, to_takeover.clone(), asks);
    // While it may have to serve on, the former process keeps its own name, and its place among the others.
    let shares = GossipConfig::from_meaning(&start.meaning);
    let to_sharing = to_takeover.clone();
    let begin_sharing = |event_loop: &mut EventLoop<Log>| -> Result<Option<GossipHandle>, String> {
        let Some(shares) = &shares else { return Ok(None) };
        let state = given.state.as_deref();
        let started = gossip::start(shares, &config, clock, to_sharing.clone(), state);
        let started = started.map_err(|e| e.to_string())?;
        event_loop.join_gossip(started.gossip);
        Ok(Some(started.handle))
    };
    let mut control = control.map(|path| move |line| upgrade::control(path, to_takeover, tell_asks, line));
    if takeover.is_some() && shares.is_some() {
        event_loop.defer_gossip();
    }
    if takeover.is_none() {
        let line = begin_sharing(&mut event_loop)?;
        if let Some(control) = control.take() {
            control(line)?;
        }
    }
    let listening =
        listener::listen::<_, Event>(listener, takeover.is_some(), queue, (clock, clients), session);
    let listening = listening.map_err(|e| format!("{}: {e}", config.listen))?;
    event_loop.attach_listener(listening);
    let mut phases = Phases::default();
    operators::take_over(&mut event_loop, &mut phases, &force);
    for line in &start.lines {
        log!(event_loop.observer, clock.now(), line.topic, "{}", line.text);
    }
    let mut operators =
        Operators::new(given, start, force.handover.predecessor, to_operators).map_err(|e| e.to_string())?;
    let mut told_to_leave = false;
    event_loop.run(&inputs, clock, |event_loop, now| {
        for event in event_loop.take_control_events() {
            match event {
                ControlEvent::Shutdown => {
                    upgrades.leave(event_loop, now);
                    told_to_leave = true;
                }
                ControlEvent::Upgrade if takeover.is_none() && !told_to_leave => {
                    upgrades.asked(event_loop, now)
                }
                ControlEvent::Upgrade => {
                    log!(
                        event_loop.observer,
                        now,
                        "upgrade",
                        "not begun: this process is on probation, or leaves"
                    );
                }
                ControlEvent::ReportMetrics => report(event_loop, now),
                ControlEvent::Reload => {
                    let newer = again();
                    machine = newer.as_ref().map_or(machine, operators::machine);
                    reload(event_loop, now, &config, newer);
                    operators.changed(machine);
                }
                ControlEvent::WakeUp => {}
            }
        }
        operators.steer(event_loop, &mut phases, now, machine);
        upgrades.bound(operators.upgrade_times);
        upgrades.steer(event_loop, now, takeover.is_none() && !told_to_leave);
        told_to_leave |= upgrades.is_over;
        if let Some(t) = &mut takeover {
            t.steer(event_loop, now);
        }
        if takeover.take_if(|t| t.is_over()).is_some() {
            let line = begin_sharing(event_loop).unwrap_or_else(|fault| {
                log!(event_loop.observer, now, "fleet", "nothing is shared: {fault}");
                None
            });
            if let Some(Err(fault)) = control.take().map(|control| control(line)) {
                log!(
                    event_loop.observer,
                    now,
                    "upgrade",
                    "no further one can be asked for: {fault}"
                );
            }
        }
        let takeover_at = takeover.as_ref().map_or(Timestamp(u64::MAX), |t| t.next_at(now));
        let seen = Seen {
            told_to_leave,
            listening: event_loop.is_listening(),
            listener_closed: event_loop.is_listener_closed(),
            // Those on their way to another process are still held here.
            open_clients: event_loop.open_clients() + upgrades.pending(),
            open_statements: event_loop.open_statements(),
        };
        while let Some(phase) = phases.advance(now, &seen) {
            log!(
                event_loop.observer,
                now,
                "phase",
                "{} is {}",
                config.name,
                phase.name()
            );
            match phase {
                Phase::Draining { .. } => event_loop.begin_drain(),
                Phase::Stopped => {
                    event_loop.leave_gossip();
                    return None;
                }
                _ => {}
            }
        }
        let next = phases.next_at(now).min(operators.next_at());
        Some(next.min(upgrades.next_at()).min(takeover_at))
    });
    report(&mut event_loop, clock.now());
    Ok(())
}

/// A file that can't be read, or only in part, leaves the configuration in force.
fn reload(event_loop: &mut EventLoop<Log>, now: Timestamp, config: &Config, newer: Result<Config, String>) {
    match newer {
        Ok(newer) => {
            event_loop.metrics.reloads += 1;
            event_loop.set_config(now, newer.runtime);
            let kept = match config.kept(&newer) {
                kept if kept.is_empty() => String::new(),
                kept => format!("; kept until the next start: {}", kept.join(", ")),
            };
            let discovery = newer.runtime.discovery;
            log!(
                event_loop.observer,
                now,
                "configuration",
                "read again, discovery at {discovery}{kept}"
            );
        }
        Err(fault) => {
            event_loop.metrics.reloads_failed += 1;
            log!(
                event_loop.observer,
                now,
                "configuration",
                "kept as it was: {fault}"
            );
        }
    }
}

fn report(event_loop: &mut EventLoop<Log>, now: Timestamp) {
    event_loop.metrics.log_lines_left_out = event_loop.observer.left_out;
    let line = counters::line(&event_loop.metrics);
    log!(event_loop.observer, now, "counters", "{line}");
}

/// Says whether this configuration could be served, by all that serving would need of it.
pub fn check(config: &Config, operators: Option<&str>) -> Result<(), String> {
    if let Some(path) = operators {
        let outcome = operators::read(path, operators::machine(config));
        let text = outcome.text();
        let text = text.trim_end();
        match outcome.meaning {
            None => return Err(format!("the operators' file is faulty\n{text}")),
            Some(_) if !text.is_empty() => eprintln!("{text}"),
            Some(_) => {}
        }
    }
    let address = config.listen;
    std::net::TcpListener::bind(address).map_err(|e| format!("{address}: {e}"))?;
    let members = config.known.as_ref().map_or(0, |k| k.entries.len());
    let (settings, _) = &config.settings;
    let workloads = settings.workloads.len();
    println!("{}: {workloads} workloads, {members} members known", config.name);
    Ok(())
}
