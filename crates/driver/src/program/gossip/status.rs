//! Answers to operators' queries about the fleet, as JSON values: its drivers, the shared records and their
//! conflicts.

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::node::GossipNode;
use asterlatch_gossip::record::{Record, RecordKey};
use asterlatch_gossip::state::ReplicatedState;
use serde_json::{json, Value};

/// Status of the gossip thread.
pub(super) struct ThreadStatus {
    /// `nothing` if no snapshot is written, `fails` if the last write failed, else `well`.
    pub(super) snapshot_status: &'static str,
    /// Number of datagrams from senders that are not peers.
    pub(super) unknown_senders: u64,
    /// Number of datagrams that could not be sent.
    pub(super) send_failures: u64,
}

struct DriverRow<'a> {
    name: &'a str,
    presence: &'a str,
    incarnation: u64,
    last_received_ago: Option<TimeSpan>,
    delay: TimeSpan,
    caught_up: bool,
}

/// The drivers of the fleet and the counters of gossip.
pub(super) fn status(node: &GossipNode, thread: &ThreadStatus, now: Timestamp) -> Value {
    let identity = node.membership.identity();
    let this_row = DriverRow {
        name: &identity.name,
        presence: "this one",
        incarnation: identity.incarnation,
        last_received_ago: None,
        delay: TimeSpan(0),
        caught_up: !node.anti_entropy.is_behind(),
    };
    let mut drivers = vec![driver_value(node, &this_row)];
    for peer in node.membership.peers() {
        let row = DriverRow {
            name: &peer.name,
            presence: peer.state.name(),
            incarnation: peer.incarnation,
            last_received_ago: peer.last_received_at.map(|at| now - at),
            delay: peer.delay,
            caught_up: peer.caught_up,
        };
        drivers.push(driver_value(node, &row));
    }
    json!({
        "fleet": [{ "settings": node.settings().fleet }],
        "drivers": drivers,
        "counts": [counters(node, thread)],
    })
}

fn driver_value(node: &GossipNode, row: &DriverRow) -> Value {
    let mut records = node.state.entries().map(|entry| &entry.record);
    let versions = records.find_map(|record| match record {
        Record::Driver {
            name,
            list_version,
            operators_file,
            ..
        } if name == row.name => Some((*list_version, format!("{operators_file:016x}"))),
        _ => None,
    });
    let (list, file) = versions.unzip();
    json!({
        "driver": row.name,
        "presence": row.presence,
        "life": row.incarnation,
        "heard_ms_ago": row.last_received_ago.map(|ago| ago.0 / 1000),
        "late_ms": row.delay.0 / 1000,
        "caught_up": row.caught_up,
        "list": list,
        "file": file,
    })
}

fn counters(node: &GossipNode, thread: &ThreadStatus) -> Value {
    let metrics = &node.metrics;
    json!({
        "keeps": thread.snapshot_status,
        "facts": node.state.len(),
        "datagrams_sent": metrics.datagrams_sent,
        "bytes_sent": metrics.bytes_sent,
        "datagrams_heard": metrics.datagrams_received,
        "bytes_heard": metrics.bytes_received,
        "garbled": metrics.malformed,
        "unknown_version": metrics.unknown_version,
        "passed_over": metrics.ignored,
        "foreign": thread.unknown_senders,
        "not_sent": thread.send_failures,
        "facts_told": metrics.records_sent,
        "facts_heard": metrics.records_received,
        "facts_new": metrics.records_new,
        "facts_refused": metrics.records_rejected,
        "rounds": metrics.rounds,
    })
}

/// All records, and a hash over them with which drivers' states can be compared.
pub(super) fn records(node: &GossipNode, now: Timestamp) -> Value {
    let rows = node.state.entries().map(|entry| {
        let RecordKey { kind, subject } = entry.record.key();
        let age = entry.age(now);
        json!({
            "kind": kind.name(),
            "of": subject,
            "told_ms_ago": age.0 / 1000,
            "says": describe_record(&entry.record),
        })
    });
    let digests = ReplicatedState::digests(&node.state);
    let combined_digest = digests
        .iter()
        .fold(0u64, |all, digest| all.rotate_left(7) ^ digest);
    json!({
        "facts": rows.collect::<Vec<_>>(),
        "copy": [{ "mark": format!("{combined_digest:016x}") }],
    })
}

/// Conflicting records.
pub(super) fn conflicts(node: &GossipNode, now: Timestamp) -> Value {
    let rows = node.state.conflicts.iter().map(|conflict| {
        json!({
            "what": conflict.kind.name(),
            "about": conflict.subject,
            "one": conflict.sides.one,
            "other": conflict.sides.other,
            "first_ms_ago": (now - conflict.first_seen).0 / 1000,
            "last_ms_ago": (now - conflict.last_seen).0 / 1000,
            "times": conflict.count,
        })
    });
    json!({ "differences": rows.collect::<Vec<_>>() })
}

/// Formats the values of a record.
fn describe_record(record: &Record) -> String {
    match record {
        Record::Member {
            started_ms,
            group,
            position,
            primary_at,
            replica_at,
            ..
        } => format!(
            "group {group}, at {position}, primary at {primary_at}, replica at {replica_at}, \
             started {started_ms}"
        ),
        Record::Drain {
            list_version, state, ..
        } => format!("{state:?} by list {list_version}"),
        Record::WarmUp {
            work_us,
            carried_microcores,
            ..
        } => format!("{work_us} us of work, warm members carry {carried_microcores} microcores"),
        Record::Session { position, .. } => format!("written at {position}"),
        Record::Lease { lease, .. } => format!(
            "{:?}, holder {:016x}, term {}, {} renewals",
            lease.state, lease.holder, lease.term, lease.renewals
        ),
        Record::Load { shares, .. } => format!("shares of {} members", shares.len()),
        Record::DelayedExecution { outstanding_us, .. } => format!("sent {} ms ago", outstanding_us / 1000),
        Record::Driver {
            incarnation,
            list_version,
            operators_file,
            caught_up,
            ..
        } => format!(
            "incarnation {incarnation}, list {list_version}, file {operators_file:016x}, \
             caught up {caught_up}"
        ),
    }
}
