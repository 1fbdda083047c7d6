//! What the service lets its operators set, and which settings don't go together. The defaults are its own figures:
//! a test of the service holds the two against each other.

use crate::resolved::ResolvedSettings;
use crate::schema::{
    Check, Conflict, Guarantee, Machine, Resource, Schema, Section, Setting, SettingPath, TakesEffect,
};
use crate::unit::{Quantity, Unit};

/// The machine that is reckoned with where none is named: the defaults of the platform's configuration.
pub const DEFAULT_MACHINE: Machine = Machine {
    memory: 192 * 1024 * 1024,
    descriptors: 1024,
};

/// Room that one statement and its answer need at least, in bytes: a value of 64 KB as hexadecimal text, and a
/// comment.
pub const MIN_STATEMENT_MEMORY_BYTES: i64 = 2 * 64 * 1024 + 4096;
/// Connections that members need at least: one to each of a small group's.
pub const MIN_MEMBER_DESCRIPTORS: i64 = 4;
/// Part of the memory that is neither clients' nor members': the program, its stacks and tables, in millionths.
const OWN_MEMORY: i64 = 250_000;

macro_rules! settings {
    ($($name:literal: $min:literal to $max:literal = $default:literal, $takes_effect:ident, $affects:expr, [$($want:ident),*],
       $description:literal;)*) => {
        &[$(Setting {
            name: $name,
            default: $default,
            range: ($min, $max),
            takes_effect: TakesEffect::$takes_effect,
            affects: $affects,
            may_exhaust: &[$(Resource::$want),*],
            description: $description,
        }),*]
    };
}

const NONE: Option<Guarantee> = None;
const BOUNDS: Option<Guarantee> = Some(Guarantee::Bounds);
const ANSWER: Option<Guarantee> = Some(Guarantee::OneAnswer);
const DRAINS: Option<Guarantee> = Some(Guarantee::DrainsKept);
const TWICE: Option<Guarantee> = Some(Guarantee::NoEffectTwice);

#[rustfmt::skip]
pub const SECTIONS: [Section; 14] = [
    Section { name: "descriptors", key: None, description: "How the descriptors of the process are shared out.", settings: settings! {
        "reserve": "8" to "65536" = "48", Live, BOUNDS, [ClientSlots, Descriptors],
            "kept for what is neither a client's nor a member's";
        "clients": "5%" to "95%" = "66.6667%", Live, BOUNDS, [ClientSlots, Descriptors],
            "of the others, those for clients; the rest is for members";
    } },
    Section { name: "memory", key: None, description: "How much of the process's memory others may fill.", settings: settings! {
        "clients": "1%" to "90%" = "25%", Live, BOUNDS, [Memory],
            "for what clients sent and what they leave unread";
        "members": "1%" to "90%" = "25%", Live, BOUNDS, [Memory],
            "for answers of members that are not whole yet";
    } },
    Section { name: "clients", key: None, description: "How long clients may take, and rest.", settings: settings! {
        "first_statement": "50ms" to "10min" = "2500ms", Live, BOUNDS, [ClientSlots],
            "from a client's arrival to the end of its first statement";
        "message": "50ms" to "10min" = "2500ms", Live, BOUNDS, [ClientSlots],
            "from the first byte of any other message to its last";
        "rest": "50ms" to "1d" = "10s", Live, BOUNDS, [ClientSlots],
            "between two statements";
        "filling_from": "1%" to "100%" = "25%", Live, BOUNDS, [ClientSlots],
            "from this part of all places on that those hold who have asked, `filling_rest` counts";
        "filling_rest": "50ms" to "1d" = "2200ms", Live, BOUNDS, [ClientSlots],
            "between two statements, while places fill";
        "crowded_from": "1%" to "100%" = "40%", Live, BOUNDS, [ClientSlots],
            "from this part on, `crowded_rest` counts";
        "crowded_rest": "20ms" to "1d" = "100ms", Live, BOUNDS, [ClientSlots],
            "between two statements, in a crowd";
        "just_came": "0s" to "10s" = "300ms", Live, BOUNDS, [ClientSlots],
            "who came within this is let go last: a first statement may be on its way";
        "accept_again": "1ms" to "10s" = "50ms", Live, NONE, [ClientSlots],
            "a failed accept is tried again after this";
    } },
    Section { name: "statements", key: None, description: "What holds for every statement.", settings: settings! {
        "longest_timeout": "10ms" to "1d" = "1d", Live, ANSWER, [],
            "a client's own statement timeout counts for no more than this";
    } },
    Section { name: "workload", key: Some("name"), description: "What holds for the statements of one workload. Names are \
compared as the settings of the deployment spell them; one that the deployment doesn't know changes nothing.", settings: settings! {
        "timeout": "10ms" to "1d" = "", Live, ANSWER, [],
            "a client's own statement timeout counts for no more than this; it is never made longer";
        "longest": "256B" to "16MiB" = "", Live, BOUNDS, [],
            "a longer statement is answered with 54000";
    } },
    Section { name: "phases", key: None, description: "How the process leaves.", settings: settings! {
        "arrivals": "0s" to "1min" = "450ms", Live, DRAINS, [],
            "clients still arrive for this long once it was told to leave";
        "linger": "10ms" to "1min" = "1s", Live, ANSWER, [],
            "a client that doesn't read its answer is waited for this long";
        "longest_drain": "1s" to "2d" = "25h", Live, ANSWER, [],
            "it ends after this, even with statements open";
    } },
    Section { name: "members", key: None, description: "Connections to members.", settings: settings! {
        "idle": "1%" to "100%" = "85%", Live, NONE, [],
            "an idle connection is used up to this part of the deployment's idle time";
    } },
    Section { name: "discovery", key: None, description: "Calls to discovery.", settings: settings! {
        "watch": "100ms" to "10min" = "2s", Live, DRAINS, [],
            "how long a watch may wait for news";
        "watch_late": "50ms" to "1min" = "1s", Live, DRAINS, [],
            "how much longer its answer may take before the connection is left";
        "list_late": "50ms" to "1min" = "1s", Live, DRAINS, [],
            "how long a list may take that is asked for without waiting";
        "first_pause": "10ms" to "1min" = "100ms", Live, NONE, [],
            "after the first failed call; each further one doubles it";
        "longest_pause": "10ms" to "10min" = "2s", Live, DRAINS, [],
            "no pause is longer";
    } },
    Section { name: "log", key: None, description: "Lines on standard error.", settings: settings! {
        "lines": "1/s" to "1000/s" = "5/s", Live, NONE, [],
            "of each topic; what is left out is counted";
    } },
    Section { name: "process", key: None, description: "What only a start sets up.", settings: settings! {
        "stack": "32KiB" to "1MiB" = "64KiB", NextStart, BOUNDS, [],
            "memory of each connection's stack, taken as it is used";
        "spare_stacks": "0" to "4096" = "64", NextStart, BOUNDS, [],
            "stacks kept for the next connections";
    } },
    Section { name: "upgrade", key: None, description: "How a new process takes over.", settings: settings! {
        "hello": "10ms" to "10min" = "10s", Live, NONE, [],
            "how long a new process may take to say that it runs";
        "ready": "10ms" to "10min" = "10s", Live, NONE, [],
            "how long it may take to be ready to serve";
        "taken": "10ms" to "10s" = "1s", Live, ANSWER, [],
            "how long it may take to accept clients, while nobody does";
        "probation": "0s" to "1h" = "10s", Live, NONE, [],
            "how long the former process waits beside it";
        "beat": "10ms" to "1min" = "1s", Live, NONE, [],
            "between two signs of life on probation";
        "silence": "10ms" to "10min" = "5s", Live, ANSWER, [],
            "without one for this long it is killed and the former process serves on";
    } },
    Section { name: "shared", key: None, description: "What drivers of one fleet tell each other. Nothing is told or heard while \
`port` is 0.", settings: settings! {
        "port": "0" to "65535" = "0", NextStart, NONE, [],
            "where other drivers' datagrams come in (UDP), at the address that clients come to";
        "tick": "10ms" to "10s" = "100ms", NextStart, NONE, [],
            "between two tellings of what is new";
        "fanout": "1" to "16" = "3", NextStart, NONE, [],
            "drivers that are told at each tick, chosen by chance";
        "compare": "100ms" to "1min" = "1s", NextStart, NONE, [],
            "between two comparings of copies with another driver";
        "rate": "4KiB" to "64MiB" = "256KiB", NextStart, BOUNDS, [],
            "sent in a second at most, to all others together";
        "probe": "50ms" to "1min" = "500ms", NextStart, NONE, [],
            "one of the others is asked this often whether it lives";
        "suspicion": "100ms" to "10min" = "2s", NextStart, NONE, [],
            "a driver that doesn't answer is suspected first, and gone after this";
        "ask": "5ms" to "5s" = "100ms", NextStart, ANSWER, [],
            "how long the others' word on a repeated statement is waited for, and never over 0.3 of its time";
        "window": "1s" to "1h" = "30s", NextStart, TWICE, [],
            "how long after its first sending a client may repeat a statement";
        "keep": "0s" to "10min" = "0s", NextStart, NONE, [],
            "between two writings of what has changed to the folder given with `--state`; 0 keeps nothing";
        "ids": "1000" to "1000000" = "65536", NextStart, TWICE, [],
            "statements whose sending is remembered for that; beyond it repeats are in doubt";
    } },
    Section { name: "driver", key: Some("name@address"), description: "Another driver of the fleet, by the name in its \
configuration and its IP address. Datagrams from elsewhere are passed over.", settings: settings! {
        "port": "1" to "65535" = "", NextStart, NONE, [],
            "its `shared.port`; as here where nothing is said";
        "asked": "0" to "1" = "", NextStart, TWICE, [],
            "0 for one that is gone for good and has run nothing within `shared.window`: its word is not waited for; 1 where nothing is said";
    } },
    Section { name: "activation", key: None, description: "How a changed file is put in force and gone back from. The \
figures in force before the change judge it.", settings: settings! {
        "probation": "0s" to "1h" = "30s", Live, NONE, [],
            "how long a change is watched before it is kept; zero keeps it at once";
        "margin": "0.1%" to "100%" = "2%", Live, NONE, [],
            "more of the demand turned away than before the change by this sends it back";
        "least": "1" to "1000000" = "20", Live, NONE, [],
            "fewer that were turned away are no reason to go back";
        "kept": "2" to "64" = "8", Live, NONE, [],
            "generations stored with `--state`";
    } },
];

pub const CHECKS: [Check; 10] = [
    others,
    suspicions,
    beats,
    memory_parts,
    rooms,
    descriptors,
    rests,
    pauses,
    drain,
    peers_times,
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

/// Makes a conflict of these settings, if there is one.
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

/// The part of an amount, as the service reckons it.
pub fn share_of(amount: i64, share: i64) -> i64 {
    (i128::from(amount) * i128::from(share) / 1_000_000) as i64
}

fn memory_parts(r: &Schema, m: &ResolvedSettings, _: Machine) -> Vec<Conflict> {
    let (clients, members) = (m.amount(r, "memory", "clients"), m.amount(r, "memory", "members"));
    let names = [("memory", "clients"), ("memory", "members")];
    let sum = format_amount(Unit::Share, clients + members);
    let mut all = conflict(r, clients + members > 1_000_000, &names, || {
        format!("clients and members may fill {sum} of the memory together, which is more than the whole")
    });
    if all.is_empty() && clients + members > 1_000_000 - OWN_MEMORY {
        let own = format_amount(Unit::Share, 1_000_000 - clients - members);
        all.push(Conflict {
            paths: paths(r, &names),
            reason: format!("only {own} of the memory is left for the program itself: when both parts are full it is killed"),
            warning: true,
        });
    }
    all
}

/// A message may take a sixteenth of its room; below the least room that one statement needs, two of them would
/// already turn each other away.
fn rooms(r: &Schema, m: &ResolvedSettings, machine: Machine) -> Vec<Conflict> {
    let too_small = |setting: &str| {
        let room = share_of(machine.memory, m.amount(r, "memory", setting));
        conflict(
            r,
            room < MIN_STATEMENT_MEMORY_BYTES,
            &[("memory", setting)],
            || {
                format!(
                    "{} of {} are {}, under the {} that one statement with its answer needs",
                    format_amount(Unit::Share, m.amount(r, "memory", setting)),
                    format_amount(Unit::Size, machine.memory),
                    format_amount(Unit::Size, room),
                    format_amount(Unit::Size, MIN_STATEMENT_MEMORY_BYTES)
                )
            },
        )
    };
    ["clients", "members"].into_iter().flat_map(too_small).collect()
}

fn descriptors(r: &Schema, m: &ResolvedSettings, machine: Machine) -> Vec<Conflict> {
    let (reserve, share) = (
        m.amount(r, "descriptors", "reserve"),
        m.amount(r, "descriptors", "clients"),
    );
    let names = [("descriptors", "reserve"), ("descriptors", "clients")];
    let others = machine.descriptors - reserve;
    let clients = share_of(others.max(0), share);
    let (members, of) = (others - clients, machine.descriptors);
    conflict(r, members < MIN_MEMBER_DESCRIPTORS || clients < 1, &names, || {
        format!(
            "of {of} descriptors, {} are left for clients and {} for members",
            clients.max(0),
            members.max(0)
        )
    })
}

/// The fuller, the shorter: else a crowd would make room later than a few.
fn rests(r: &Schema, m: &ResolvedSettings, _: Machine) -> Vec<Conflict> {
    let at = |setting| m.amount(r, "clients", setting);
    let rests = [
        ("clients", "rest"),
        ("clients", "filling_rest"),
        ("clients", "crowded_rest"),
    ];
    let from = [("clients", "filling_from"), ("clients", "crowded_from")];
    let upside_down = at("rest") < at("filling_rest") || at("filling_rest") < at("crowded_rest");
    let mut all = conflict(r, upside_down, &rests, || {
        "clients may rest longer the fuller it gets, so a crowd makes room last".to_owned()
    });
    all.extend(conflict(
        r,
        at("filling_from") > at("crowded_from"),
        &from,
        || "'filling_rest' begins above 'crowded_from', so it never counts".to_owned(),
    ));
    all
}

fn pauses(r: &Schema, m: &ResolvedSettings, _: Machine) -> Vec<Conflict> {
    let at = |setting| m.amount(r, "discovery", setting);
    let names = [("discovery", "first_pause"), ("discovery", "longest_pause")];
    conflict(r, at("first_pause") > at("longest_pause"), &names, || {
        "the first pause is longer than the longest".to_owned()
    })
}

/// The longest statement timeout that may be in force for any statement, and where it is stated.
fn longest_timeout(r: &Schema, m: &ResolvedSettings) -> (i64, SettingPath) {
    (
        m.amount(r, "statements", "longest_timeout"),
        path(r, "statements", "longest_timeout"),
    )
}

/// A statement taken in the last moment of the arrivals is owed its answer at its own timeout.
fn drain(r: &Schema, m: &ResolvedSettings, _: Machine) -> Vec<Conflict> {
    let (timeout, stated) = longest_timeout(r, m);
    let (drain, linger) = (
        m.amount(r, "phases", "longest_drain"),
        m.amount(r, "phases", "linger"),
    );
    if drain >= timeout.saturating_add(linger) {
        return Vec::new();
    }
    let at = |us| format_amount(Unit::Duration, us);
    let reason = format!(
        "breaks 'one final answer in time': a statement taken when the drain begins may be answered until {}, its \
         answer read until {}, and the process ends at {}",
        at(timeout),
        at(timeout + linger),
        at(drain)
    );
    let mut paths = paths(r, &[("phases", "linger"), ("phases", "longest_drain")]);
    paths.push(stated);
    vec![Conflict {
        paths,
        reason,
        warning: false,
    }]
}

/// A sign of life that comes late, for the machine is busy, must not cost the new process its life.
fn beats(r: &Schema, m: &ResolvedSettings, _: Machine) -> Vec<Conflict> {
    let (beat, silence) = (m.amount(r, "upgrade", "beat"), m.amount(r, "upgrade", "silence"));
    let names = [("upgrade", "beat"), ("upgrade", "silence")];
    conflict(r, silence < beat.saturating_mul(2), &names, || {
        "'silence' is under two beats: one that comes a little late would pass for a death".to_owned()
    })
}

/// Who is let go for resting must have been able to send a whole message before.
fn peers_times(r: &Schema, m: &ResolvedSettings, _: Machine) -> Vec<Conflict> {
    let at = |setting| m.amount(r, "clients", setting);
    let (just_came, first) = (at("just_came"), at("first_statement"));
    let names = [("clients", "just_came"), ("clients", "first_statement")];
    conflict(r, just_came > first, &names, || {
        "'just_came' outlasts 'first_statement': who says nothing would be kept for a first statement that may no \
         longer come"
            .to_owned()
    })
}

/// Another driver as the file names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfiguredPeer {
    pub name: String,
    pub address: std::net::SocketAddr,
    /// Its word on statements is waited for.
    pub receives_inquiries: bool,
}

/// The others, in the order of their names; a key that can't be read has no entry.
pub fn configured_peers(r: &Schema, m: &ResolvedSettings) -> Vec<ConfiguredPeer> {
    let own = m.amount(r, "shared", "port");
    let setting_index = |name| {
        r.find("driver", name)
            .map_or(0, |(_, setting_index)| setting_index)
    };
    let (port, asked) = (setting_index("port"), setting_index("asked"));
    let read = |(key, amounts): (&str, &[Option<Quantity>])| {
        let amount = |setting_index: usize, absent| {
            amounts
                .get(setting_index)
                .and_then(|a| a.as_ref())
                .map_or(absent, |q| q.amount)
        };
        let (name, ip) = key.split_once('@')?;
        let ip: std::net::IpAddr = ip.parse().ok()?;
        let port = u16::try_from(amount(port, own)).ok()?;
        (!name.is_empty()).then(|| ConfiguredPeer {
            name: name.to_owned(),
            address: (ip, port).into(),
            receives_inquiries: amount(asked, 1) != 0,
        })
    };
    m.entries(r, "driver").filter_map(read).collect()
}

/// Each of the others has one name and one address, and there is a port to hear them at.
fn others(r: &Schema, m: &ResolvedSettings, _: Machine) -> Vec<Conflict> {
    let Some((section_index, setting_index)) = r.find("driver", "port") else {
        return Vec::new();
    };
    let own = m.amount(r, "shared", "port");
    let all = configured_peers(r, m);
    let mut found = Vec::new();
    for (key, _) in m.entries(r, "driver") {
        let name = key.split_once('@').map_or("", |(name, _)| name);
        let here = all
            .iter()
            .find(|o| o.name == name && key.ends_with(&format!("@{}", o.address.ip())));
        let reason = match here {
            _ if own == 0 => {
                "another driver is named, and 'shared.port' is 0: nothing is told or heard".to_owned()
            }
            None => format!("'{key}' is no name and IP address, as in \"b@10.0.0.2\""),
            Some(one) => {
                let same = |o: &&ConfiguredPeer| o.name == one.name || o.address == one.address;
                match all.iter().filter(same).count() {
                    0 | 1 => continue,
                    _ => format!("'{key}' has the name or the address of another one"),
                }
            }
        };
        let key = Some(key.into());
        found.push(Conflict {
            paths: vec![
                path(r, "shared", "port"),
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

/// A sign of life that is lost once must not cost a driver its place.
fn suspicions(r: &Schema, m: &ResolvedSettings, _: Machine) -> Vec<Conflict> {
    let (probe, suspicion) = (m.amount(r, "shared", "probe"), m.amount(r, "shared", "suspicion"));
    let names = [("shared", "probe"), ("shared", "suspicion")];
    conflict(r, suspicion < probe.saturating_mul(2), &names, || {
        "'suspicion' is under two probes: a driver that is asked once in vain would be gone".to_owned()
    })
}
