//! Changes of configuration and limits.

use super::harness::{harness_with_client, rows};
use asterlatch_driver::protocol::client_events::{StatementText, STATEMENT_BYTES};
use asterlatch_driver::routing::limits::Limits;
use asterlatch_driver::routing::runtime_config::RuntimeConfig;
use asterlatch_handover::learned_fact::LearnedFact;

/// Lower limits on descriptors or memory apply to new clients and statements only.
#[test]
fn set_config_lower_limits_apply_to_new_clients_and_statements() {
    let mut harness = harness_with_client();
    harness.send_statement(1, "c=view,d=60000,cluster=1");
    let (connection, _) = harness.next_query().expect("the statement is sent immediately");
    let discovery = harness.requests.borrow()[0].0.address;
    let (descriptors, memory) = (50, 192 << 20);
    harness.event_loop.set_config(
        harness.now,
        RuntimeConfig {
            discovery,
            max_descriptors: descriptors,
            max_memory: memory,
        },
    );
    harness.connect_client(2);
    assert_eq!(
        (harness.received(1).as_str(), harness.received(2).as_str()),
        ("", "rejected")
    );
    harness.reply(connection, rows("v"), Some(false));
    assert_eq!(harness.received(1), "rows(v)");
    // A statement's reservation ends with its answer.
    assert_eq!(harness.client_memory.reserved(), 0);
    // The part of the memory that is for client input holds one statement.
    let memory = 16 * (STATEMENT_BYTES + 100);
    harness.event_loop.set_config(
        harness.now,
        RuntimeConfig {
            discovery,
            max_descriptors: descriptors,
            max_memory: memory,
        },
    );
    let reserved = StatementText::new(&"x".repeat(60), &harness.client_memory)
        .expect("reserve memory for the statement");
    assert!(StatementText::new(&"x".repeat(60), &harness.client_memory).is_none());
    drop(reserved);
    assert!(StatementText::new(&"x".repeat(60), &harness.client_memory).is_some());
}

/// Guards against a process that passes its memory limit: the budgets left no memory for connections.
#[test]
fn memory_budgets_leave_memory_for_the_process_and_its_connections() {
    const MB: usize = 1 << 20;
    const USED_BY_PROCESS: usize = 5 * MB;
    const USED_BY_CONNECTION: usize = 14 << 10;
    for (memory_mb, max_descriptors, has_full_share) in [
        (32, 256, true),
        (32, 1024, false),
        (192, 256, true),
        (192, 1024, true),
    ] {
        let limits = Limits::default();
        let config = RuntimeConfig {
            discovery: "10.0.1.1:80".parse().expect("parse the address"),
            max_descriptors,
            max_memory: memory_mb * MB,
        };
        let budgets = config.memory_budgets(&limits);
        let (clients, members) = (budgets.clients.capacity(), budgets.members.capacity());
        let connections = config.connection_capacity(&limits);
        let connections = (connections.clients + connections.members) * USED_BY_CONNECTION;
        let case = format!("{memory_mb} MB, {max_descriptors} descriptors");
        assert!(
            USED_BY_PROCESS + connections + clients + members <= config.max_memory,
            "{case}"
        );
        let full_share = limits.client_memory_share.of(config.max_memory);
        assert_eq!(clients == full_share, has_full_share, "{case}");
    }
}

/// Guards against a reload that a successor misses: it has read the configuration, and the state is not sent yet.
#[test]
fn reload_between_start_of_successor_and_state_goes_along_with_the_state() {
    let mut event_loop = harness_with_client().event_loop;
    event_loop.share_reload();
    event_loop.begin_recording_facts();
    assert_eq!(event_loop.facts_beside_state(), [], "reloaded before the start");
    event_loop.share_reload();
    assert_eq!(event_loop.facts_beside_state(), [LearnedFact::ReloadRequested]);
    assert_eq!(event_loop.take_learned_facts(), []);
    event_loop.share_reload();
    assert_eq!(event_loop.take_learned_facts(), [LearnedFact::ReloadRequested]);
    event_loop.end_recording_facts();
    event_loop.share_reload();
    assert_eq!(event_loop.take_learned_facts(), []);
}
