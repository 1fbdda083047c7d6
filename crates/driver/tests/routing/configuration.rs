//! Changes of configuration and limits.

use super::harness::{rows, with_client};
use asterlatch_driver::protocol::client_events::StatementText;
use asterlatch_driver::routing::runtime_config::RuntimeConfig;

/// Lower limits on descriptors or memory bind new clients and statements, and end nothing that is open.
#[test]
fn changed_limits_bind_from_then_on() {
    let mut harness = with_client();
    harness.send_statement(1, "c=view,d=60000,cluster=1");
    let (connection, _) = harness.dispatched().expect("is sent at once");
    let discovery = harness.called.borrow()[0].0.address;
    let (sockets, memory) = (50, 192 << 20);
    harness.event_loop.set_config(
        harness.now,
        RuntimeConfig {
            discovery,
            max_descriptors: sockets,
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
    // A quarter of the memory is for what clients send; the reservation of a statement ends with its answer.
    assert_eq!(harness.room.reserved(), 0);
    let memory = 400;
    harness.event_loop.set_config(
        harness.now,
        RuntimeConfig {
            discovery,
            max_descriptors: sockets,
            max_memory: memory,
        },
    );
    let held = StatementText::new(&"x".repeat(60), &harness.room).expect("has room");
    assert!(StatementText::new(&"x".repeat(60), &harness.room).is_none());
    drop(held);
    assert!(StatementText::new(&"x".repeat(60), &harness.room).is_some());
}
