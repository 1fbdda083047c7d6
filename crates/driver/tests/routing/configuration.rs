//! Changes of configuration and limits.

use super::harness::{harness_with_client, rows};
use asterlatch_driver::protocol::client_events::StatementText;
use asterlatch_driver::routing::runtime_config::RuntimeConfig;

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
    // A quarter of the memory is for client input. A statement's reservation ends with its answer.
    assert_eq!(harness.client_memory.reserved(), 0);
    let memory = 400;
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
