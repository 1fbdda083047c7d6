//! Schema of the service's settings, and the checks of settings that depend on each other. A test of the
//! service compares the defaults with its built-in values.

use crate::resolved::ResolvedSettings;
use crate::schema::{
    Check, Conflict, Guarantee, Machine, Resource, Schema, Section, Setting, SettingPath, TakesEffect,
};
use crate::unit::{Quantity, Unit};

/// Resources that are assumed if none are given: the defaults of the platform's configuration.
pub const DEFAULT_MACHINE: Machine = Machine {
    memory: 192 * 1024 * 1024,
    descriptors: 1024,
};

/// Memory for one statement and its answer: a value of 64 KiB as hexadecimal text, and a comment.
pub const MIN_STATEMENT_MEMORY_BYTES: i64 = 2 * 64 * 1024 + 4096;
/// Connections to members: one to each member of a small group.
pub const MIN_MEMBER_DESCRIPTORS: i64 = 4;
/// Share of the memory for the program itself, its stacks and tables, in millionths.
const MIN_PROGRAM_MEMORY_PPM: i64 = 250_000;

macro_rules! settings {
    ($($name:literal: $min:literal to $max:literal = $default:literal, $takes_effect:ident, $affects:expr,
       [$($resource:ident),*], $description:literal;)*) => {
        &[$(Setting {
            name: $name,
            default: $default,
            range: ($min, $max),
            takes_effect: TakesEffect::$takes_effect,
            affects: $affects,
            may_exhaust: &[$(Resource::$resource),*],
            description: $description,
        }),*]
    };
}

const NONE: Option<Guarantee> = None;
const SHARES: Option<Guarantee> = Some(Guarantee::ResourceShares);
const FINAL_ANSWER: Option<Guarantee> = Some(Guarantee::OneFinalAnswer);
const DRAINS: Option<Guarantee> = Some(Guarantee::DrainsCompleted);
const NO_DUPLICATE: Option<Guarantee> = Some(Guarantee::NoDuplicateEffect);

#[rustfmt::skip]
pub const SECTIONS: [Section; 14] = [
    Section { name: "descriptors", key: None,
        description: "Allocation of the file descriptors of the process.", settings: settings! {
        "reserve": "8" to "65536" = "48", Live, SHARES, [ClientSlots, Descriptors],
            "descriptors reserved for everything but clients and members";
        "clients": "5%" to "95%" = "66.6667%", Live, SHARES, [ClientSlots, Descriptors],
            "share of the remaining descriptors for clients; members get the others";
    } },
    Section { name: "memory", key: None,
        description: "Bounds on the memory of the process for buffered data.", settings: settings! {
        "clients": "1%" to "90%" = "25%", Live, SHARES, [Memory],
            "for data received from clients, and answers that they have not read";
        "members": "1%" to "90%" = "25%", Live, SHARES, [Memory],
            "for incomplete answers of members";
    } },
    Section { name: "clients", key: None, description: "Timeouts of clients.", settings: settings! {
        "first_statement": "50ms" to "10min" = "2500ms", Live, SHARES, [ClientSlots],
            "from accepting a client to the end of its first statement";
        "message": "50ms" to "10min" = "2500ms", Live, SHARES, [ClientSlots],
            "from the first to the last byte of any other message";
        "rest": "50ms" to "1d" = "10s", Live, SHARES, [ClientSlots],
            "idle timeout between two statements";
        "filling_from": "1%" to "100%" = "25%", Live, SHARES, [ClientSlots],
            "share of all places for clients, held by clients that have sent a statement, from which \
             `filling_rest` applies";
        "filling_rest": "50ms" to "1d" = "2200ms", Live, SHARES, [ClientSlots],
            "idle timeout between two statements from `filling_from` on";
        "crowded_from": "1%" to "100%" = "40%", Live, SHARES, [ClientSlots],
            "share of the same from which `crowded_rest` applies";
        "crowded_rest": "20ms" to "1d" = "100ms", Live, SHARES, [ClientSlots],
            "idle timeout between two statements from `crowded_from` on";
        "just_came": "0s" to "10s" = "300ms", Live, SHARES, [ClientSlots],
            "clients accepted within this time are evicted last: their first statement may be in transit";
        "accept_again": "1ms" to "10s" = "50ms", Live, NONE, [ClientSlots],
            "backoff after a failed accept";
    } },
    Section { name: "statements", key: None, description: "Bounds on every statement.", settings: settings! {
        "longest_timeout": "10ms" to "1d" = "1d", Live, FINAL_ANSWER, [],
            "maximum of the statement timeout that a client may request";
    } },
    Section { name: "workload", key: Some("name"),
        description: "Bounds on the statements of one workload. Names must equal those \
in the settings of the deployment; a name that is unknown there has no effect.", settings: settings! {
        "timeout": "10ms" to "1d" = "", Live, FINAL_ANSWER, [],
            "maximum of the statement timeout that a client may request; it never extends a timeout";
        "longest": "256B" to "16MiB" = "", Live, SHARES, [],
            "maximum size of a statement; a longer one is rejected with 54000";
    } },
    Section { name: "phases", key: None, description: "Phases of the shutdown.", settings: settings! {
        "arrivals": "0s" to "1min" = "450ms", Live, DRAINS, [],
            "time after the shutdown request in which clients are still accepted";
        "linger": "10ms" to "1min" = "1s", Live, FINAL_ANSWER, [],
            "how long to wait for a client that doesn't read its answer";
        "longest_drain": "1s" to "2d" = "25h", Live, FINAL_ANSWER, [],
            "the process exits after this, even with open statements";
    } },
    Section { name: "members", key: None, description: "Connections to members.", settings: settings! {
        "idle": "1%" to "100%" = "85%", Live, NONE, [],
            "share of the deployment's idle timeout for which an idle connection is reused";
    } },
    Section { name: "discovery", key: None, description: "Requests to discovery.", settings: settings! {
        "watch": "100ms" to "10min" = "2s", Live, DRAINS, [],
            "how long a watch request waits for a change";
        "watch_late": "50ms" to "1min" = "1s", Live, DRAINS, [],
            "additional time for its answer before the connection is closed";
        "list_late": "50ms" to "1min" = "1s", Live, DRAINS, [],
            "first timeout of a request for the endpoint list that doesn't wait for a change; doubles up to watch and watch_late together while such requests time out";
        "first_pause": "10ms" to "1min" = "100ms", Live, NONE, [],
            "backoff after the first failed request; doubled by each further failure";
        "longest_pause": "10ms" to "10min" = "2s", Live, DRAINS, [],
            "maximum backoff; where the list is watched, at most a quarter of the deployment's drain grace period";
    } },
    Section { name: "log", key: None, description: "Log lines on standard error.", settings: settings! {
        "lines": "1/s" to "1000/s" = "5/s", Live, NONE, [],
            "lines of each topic; suppressed lines are counted";
    } },
    Section { name: "process", key: None,
        description: "Settings of the process that apply from its start.", settings: settings! {
        "stack": "32KiB" to "1MiB" = "64KiB", NextStart, SHARES, [],
            "stack size of each connection; memory is committed as it is used";
        "spare_stacks": "0" to "4096" = "64", NextStart, SHARES, [],
            "unused stacks that are cached for new connections";
    } },
    Section { name: "upgrade", key: None, description: "Handover to a new process.", settings: settings! {
        "hello": "10ms" to "10min" = "10s", Live, NONE, [],
            "timeout for the successor's hello after its start";
        "ready": "10ms" to "10min" = "10s", Live, NONE, [],
            "timeout until the successor is ready to serve";
        "taken": "10ms" to "10s" = "1s", Live, FINAL_ANSWER, [],
            "timeout until the successor accepts clients, while no process does";
        "probation": "0s" to "1h" = "10s", Live, NONE, [],
            "how long the predecessor stays ready to serve again";
        "beat": "10ms" to "1min" = "1s", Live, NONE, [],
            "interval of the successor's heartbeats on probation";
        "silence": "10ms" to "10min" = "5s", Live, FINAL_ANSWER, [],
            "heartbeat timeout, after which the successor is killed and the predecessor serves again";
    } },
    Section { name: "shared", key: None,
        description: "Gossip between the drivers of a fleet. It is off while \
`port` is 0.", settings: settings! {
        "port": "0" to "65535" = "0", NextStart, NONE, [],
            "UDP port for datagrams of other drivers, at the address for clients";
        "tick": "10ms" to "10s" = "100ms", NextStart, NONE, [],
            "interval at which news is sent";
        "fanout": "1" to "16" = "3", NextStart, NONE, [],
            "drivers that receive it, chosen at random at each interval";
        "compare": "100ms" to "1min" = "1s", NextStart, NONE, [],
            "interval of anti-entropy rounds with another driver";
        "rate": "4KiB" to "64MiB" = "256KiB", NextStart, SHARES, [],
            "maximum sent per second to all other drivers together";
        "probe": "50ms" to "1min" = "500ms", NextStart, NONE, [],
            "interval at which one of the other drivers is probed";
        "suspicion": "100ms" to "10min" = "2s", NextStart, NONE, [],
            "how long an unresponsive driver is suspected before it counts as gone";
        "ask": "5ms" to "5s" = "100ms", NextStart, FINAL_ANSWER, [],
            "timeout of an inquiry to other drivers about a retried statement; at most 0.3 of the \
             statement's time";
        "window": "1s" to "1h" = "30s", NextStart, NO_DUPLICATE, [],
            "how long after its first execution a client may retry a statement";
        "keep": "0s" to "10min" = "0s", NextStart, NONE, [],
            "interval at which changes are stored in the folder given with `--state`; 0 stores nothing";
        "ids": "1000" to "1000000" = "65536", NextStart, NO_DUPLICATE, [],
            "executed statements that are tracked for that; beyond them retries have an uncertain outcome";
    } },
    Section { name: "driver", key: Some("name@address"),
        description: "Another driver of the fleet, by the name in its \
configuration and its IP address. Datagrams from other addresses are ignored.", settings: settings! {
        "port": "1" to "65535" = "", NextStart, NONE, [],
            "its `shared.port`; by default the same as here";
        "asked": "0" to "1" = "", NextStart, NO_DUPLICATE, [],
            "0 for a driver that is permanently gone and has executed nothing within `shared.window`: it \
             receives no inquiries; 1 by default";
    } },
    Section { name: "activation", key: None,
        description: "How a changed file is applied and rolled back. For `margin` \
and `least` the stricter of the values before and after the change applies.", settings: settings! {
        "probation": "0s" to "1h" = "30s", Live, NONE, [],
            "how long a change is watched before it is confirmed; 0 confirms it at once";
        "margin": "0.1%" to "100%" = "2%", Live, NONE, [],
            "increase of the rejected share of the demand above which a change is rolled back";
        "least": "1" to "1000000" = "20", Live, NONE, [],
            "minimum number of rejections for a rollback";
        "kept": "2" to "64" = "8", Live, NONE, [],
            "generations stored with `--state`";
    } },
];

pub const CHECKS: [Check; 10] = [
    check_peers,
    check_suspicion,
    check_heartbeats,
    check_memory_shares,
    check_memory_minimum,
    check_descriptors,
    check_idle_timeouts,
    check_backoffs,
    check_drain,
    check_arrival_grace,
];

pub fn schema() -> Schema {
    Schema::new(&SECTIONS, &CHECKS)
}

fn path(schema: &Schema, section: &str, setting: &str) -> SettingPath {
    let (section_index, setting_index) = schema.find(section, setting).unwrap_or_default();
    SettingPath {
        section_index,
        key: None,
        setting_index,
    }
}

fn paths(schema: &Schema, names: &[(&str, &str)]) -> Vec<SettingPath> {
    names
        .iter()
        .map(|(section, setting)| path(schema, section, setting))
        .collect()
}

/// A conflict of these settings if `found`.
fn conflict(
    schema: &Schema,
    found: bool,
    names: &[(&str, &str)],
    reason: impl Fn() -> String,
) -> Vec<Conflict> {
    if !found {
        return Vec::new();
    }
    vec![Conflict {
        paths: paths(schema, names),
        reason: reason(),
        warning: false,
    }]
}

fn format_amount(unit: Unit, amount: i64) -> String {
    Quantity::new(unit, amount).to_string()
}

/// A share of an amount, in millionths; rounds down as the service does.
pub fn share_of(amount: i64, share: i64) -> i64 {
    (i128::from(amount) * i128::from(share) / 1_000_000) as i64
}

fn check_memory_shares(schema: &Schema, settings: &ResolvedSettings, _: Machine) -> Vec<Conflict> {
    let (clients, members) = (
        settings.amount(schema, "memory", "clients"),
        settings.amount(schema, "memory", "members"),
    );
    let names = [("memory", "clients"), ("memory", "members")];
    let sum = format_amount(Unit::Share, clients + members);
    let mut all = conflict(schema, clients + members > 1_000_000, &names, || {
        format!("clients and members may use {sum} of the memory together, more than all of it")
    });
    if all.is_empty() && clients + members > 1_000_000 - MIN_PROGRAM_MEMORY_PPM {
        let remaining = format_amount(Unit::Share, 1_000_000 - clients - members);
        all.push(Conflict {
            paths: paths(schema, &names),
            reason: format!(
                "only {remaining} of the memory is left for the program: it may be killed if both are full"
            ),
            warning: true,
        });
    }
    all
}

/// With less memory than one statement needs, two statements would already cause each other's rejection. A
/// message may take up to a sixteenth of the memory.
fn check_memory_minimum(schema: &Schema, settings: &ResolvedSettings, machine: Machine) -> Vec<Conflict> {
    let too_small = |setting: &str| {
        let memory_bytes = share_of(machine.memory, settings.amount(schema, "memory", setting));
        conflict(
            schema,
            memory_bytes < MIN_STATEMENT_MEMORY_BYTES,
            &[("memory", setting)],
            || {
                format!(
                    "{} of {} are {}, under the {} that one statement with its answer needs",
                    format_amount(Unit::Share, settings.amount(schema, "memory", setting)),
                    format_amount(Unit::Size, machine.memory),
                    format_amount(Unit::Size, memory_bytes),
                    format_amount(Unit::Size, MIN_STATEMENT_MEMORY_BYTES)
                )
            },
        )
    };
    ["clients", "members"].into_iter().flat_map(too_small).collect()
}

fn check_descriptors(schema: &Schema, settings: &ResolvedSettings, machine: Machine) -> Vec<Conflict> {
    let (reserve, share) = (
        settings.amount(schema, "descriptors", "reserve"),
        settings.amount(schema, "descriptors", "clients"),
    );
    let names = [("descriptors", "reserve"), ("descriptors", "clients")];
    let available = machine.descriptors - reserve;
    let clients = share_of(available.max(0), share);
    let (members, total) = (available - clients, machine.descriptors);
    conflict(
        schema,
        members < MIN_MEMBER_DESCRIPTORS || clients < 1,
        &names,
        || {
            format!(
                "of {total} descriptors, {} are left for clients and {} for members",
                clients.max(0),
                members.max(0)
            )
        },
    )
}

/// Idle timeouts must shrink with the number of clients, or a crowd would release places last.
fn check_idle_timeouts(schema: &Schema, settings: &ResolvedSettings, _: Machine) -> Vec<Conflict> {
    let amount = |setting| settings.amount(schema, "clients", setting);
    let idle_timeouts = [
        ("clients", "rest"),
        ("clients", "filling_rest"),
        ("clients", "crowded_rest"),
    ];
    let thresholds = [("clients", "filling_from"), ("clients", "crowded_from")];
    let are_increasing =
        amount("rest") < amount("filling_rest") || amount("filling_rest") < amount("crowded_rest");
    let mut all = conflict(schema, are_increasing, &idle_timeouts, || {
        "idle timeouts grow with the number of clients, so a crowd releases places last".to_owned()
    });
    all.extend(conflict(
        schema,
        amount("filling_from") > amount("crowded_from"),
        &thresholds,
        || "'filling_from' is above 'crowded_from', so 'filling_rest' never applies".to_owned(),
    ));
    all
}

fn check_backoffs(schema: &Schema, settings: &ResolvedSettings, _: Machine) -> Vec<Conflict> {
    let amount = |setting| settings.amount(schema, "discovery", setting);
    let names = [("discovery", "first_pause"), ("discovery", "longest_pause")];
    conflict(
        schema,
        amount("first_pause") > amount("longest_pause"),
        &names,
        || "'first_pause' is longer than 'longest_pause'".to_owned(),
    )
}

/// Maximum statement timeout in microseconds, and the setting that states it.
fn max_statement_timeout(schema: &Schema, settings: &ResolvedSettings) -> (i64, SettingPath) {
    (
        settings.amount(schema, "statements", "longest_timeout"),
        path(schema, "statements", "longest_timeout"),
    )
}

/// A statement accepted at the end of the arrivals must be answered before the process exits.
fn check_drain(schema: &Schema, settings: &ResolvedSettings, _: Machine) -> Vec<Conflict> {
    let (timeout, timeout_path) = max_statement_timeout(schema, settings);
    let (drain, linger) = (
        settings.amount(schema, "phases", "longest_drain"),
        settings.amount(schema, "phases", "linger"),
    );
    if drain >= timeout.saturating_add(linger) {
        return Vec::new();
    }
    let format = |us| format_amount(Unit::Duration, us);
    let reason = format!(
        "breaks 'one final answer in time': a statement accepted when the drain begins may be answered \
         after {}, its answer read after {}, but the process exits after {}",
        format(timeout),
        format(timeout + linger),
        format(drain)
    );
    let mut paths = paths(schema, &[("phases", "linger"), ("phases", "longest_drain")]);
    paths.push(timeout_path);
    vec![Conflict {
        paths,
        reason,
        warning: false,
    }]
}

/// One delayed heartbeat, for example on a busy machine, must not kill the successor.
fn check_heartbeats(schema: &Schema, settings: &ResolvedSettings, _: Machine) -> Vec<Conflict> {
    let (beat, silence) = (
        settings.amount(schema, "upgrade", "beat"),
        settings.amount(schema, "upgrade", "silence"),
    );
    let names = [("upgrade", "beat"), ("upgrade", "silence")];
    conflict(schema, silence < beat.saturating_mul(2), &names, || {
        "'silence' is shorter than two 'beat' intervals: one delayed heartbeat would count as a failure"
            .to_owned()
    })
}

/// The grace for new clients must end before the timeout of their first statement.
fn check_arrival_grace(schema: &Schema, settings: &ResolvedSettings, _: Machine) -> Vec<Conflict> {
    let amount = |setting| settings.amount(schema, "clients", setting);
    let (just_came, first_statement) = (amount("just_came"), amount("first_statement"));
    let names = [("clients", "just_came"), ("clients", "first_statement")];
    conflict(schema, just_came > first_statement, &names, || {
        "'just_came' is longer than 'first_statement': a silent client would be protected although its first \
         statement has timed out"
            .to_owned()
    })
}

/// Another driver of the fleet, as the file states it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfiguredPeer {
    pub name: String,
    pub address: std::net::SocketAddr,
    /// Whether inquiries about retried statements go to it.
    pub receives_inquiries: bool,
}

/// The other drivers, in the order of their keys; invalid keys are skipped.
pub fn configured_peers(schema: &Schema, settings: &ResolvedSettings) -> Vec<ConfiguredPeer> {
    let own_port = settings.amount(schema, "shared", "port");
    let setting_index = |name| {
        schema
            .find("driver", name)
            .map_or(0, |(_, setting_index)| setting_index)
    };
    let (port, inquiries) = (setting_index("port"), setting_index("asked"));
    let read = |(key, amounts): (&str, &[Option<Quantity>])| {
        let amount = |setting_index: usize, absent| {
            amounts
                .get(setting_index)
                .and_then(|a| a.as_ref())
                .map_or(absent, |q| q.amount)
        };
        let (name, ip) = key.split_once('@')?;
        let ip: std::net::IpAddr = ip.parse().ok()?;
        let port = u16::try_from(amount(port, own_port)).ok()?;
        (!name.is_empty()).then(|| ConfiguredPeer {
            name: name.to_owned(),
            address: (ip, port).into(),
            receives_inquiries: amount(inquiries, 1) != 0,
        })
    };
    settings.entries(schema, "driver").filter_map(read).collect()
}

/// Names and addresses of peers must be valid and unique, and the own port must be set.
fn check_peers(schema: &Schema, settings: &ResolvedSettings, _: Machine) -> Vec<Conflict> {
    let Some((section_index, setting_index)) = schema.find("driver", "port") else {
        return Vec::new();
    };
    let own_port = settings.amount(schema, "shared", "port");
    let all = configured_peers(schema, settings);
    let mut found = Vec::new();
    for (key, _) in settings.entries(schema, "driver") {
        let name = key.split_once('@').map_or("", |(name, _)| name);
        let peer = all
            .iter()
            .find(|o| o.name == name && key.ends_with(&format!("@{}", o.address.ip())));
        let reason = match peer {
            _ if own_port == 0 => "a peer is configured, but 'shared.port' is 0, so gossip is off".to_owned(),
            None => format!("'{key}' is not a name and IP address, such as \"b@10.0.0.2\""),
            Some(peer) => {
                let is_same = |o: &&ConfiguredPeer| o.name == peer.name || o.address == peer.address;
                match all.iter().filter(is_same).count() {
                    0 | 1 => continue,
                    _ => format!("'{key}' has the same name or address as another driver"),
                }
            }
        };
        let key = Some(key.into());
        found.push(Conflict {
            paths: vec![
                path(schema, "shared", "port"),
                SettingPath {
                    section_index,
                    key,
                    setting_index,
                },
            ],
            reason,
            warning: false,
        });
    }
    found
}

/// One lost probe must not remove a driver from the fleet.
fn check_suspicion(schema: &Schema, settings: &ResolvedSettings, _: Machine) -> Vec<Conflict> {
    let (probe, suspicion) = (
        settings.amount(schema, "shared", "probe"),
        settings.amount(schema, "shared", "suspicion"),
    );
    let names = [("shared", "probe"), ("shared", "suspicion")];
    conflict(schema, suspicion < probe.saturating_mul(2), &names, || {
        "'suspicion' is shorter than two 'probe' intervals: one lost probe would remove a driver".to_owned()
    })
}
