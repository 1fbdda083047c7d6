//! Whether two processes fit into the limits of one.

use asterlatch_handover::capacity_check::{check_capacity, ResourceUsage};

#[test]
fn check_capacity_too_little_room_is_refused_with_its_figures() {
    let mb = |n: u64| n << 20;
    let small = ResourceUsage {
        descriptor_limit: 256,
        open_descriptors: 60,
        client_connections: 20,
        memory_limit: mb(32),
        resident_memory: mb(9),
        message_memory: 0,
    };
    #[rustfmt::skip]
    let cases = [
        ("the small machine", small, ""),
        ("as many as there may be", ResourceUsage { open_descriptors: 196, ..small }, ""),
        ("one more", ResourceUsage { open_descriptors: 197, ..small },
            "need 257 descriptors (197 held now, one more for each of 20 clients"),
        ("many clients", ResourceUsage { open_descriptors: 140, client_connections: 100, ..small },
            "need 280 descriptors"),
        ("half of the memory", ResourceUsage { resident_memory: mb(16), ..small }, ""),
        ("more than half", ResourceUsage { resident_memory: mb(17), ..small },
            "need 34 MB (17 now, and 17 for the new process), and there are 32"),
        ("more than half, but messages",
            ResourceUsage { resident_memory: mb(20), message_memory: mb(10), ..small }, ""),
        ("a process needs something whatever it knows",
            ResourceUsage { resident_memory: mb(28), message_memory: mb(28), ..small }, "and 6 for the new process"),
    ];
    for (name, usage, expected) in cases {
        let error = check_capacity(&usage).err().map(|e| e.to_string());
        let error = error.unwrap_or_default();
        assert!(
            error.contains(expected) && error.is_empty() == expected.is_empty(),
            "{name}: {error}"
        );
    }
}
