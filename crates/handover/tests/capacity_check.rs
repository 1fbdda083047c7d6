//! Guards against upgrades that exhaust limits which were set for one process.

use asterlatch_handover::capacity_check::{check_capacity, ResourceUsage};

#[test]
fn check_capacity_exceeded_limit_fails_with_amounts() {
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
        ("small host", small, ""),
        ("descriptors at the limit", ResourceUsage { open_descriptors: 196, ..small }, ""),
        ("one descriptor above the limit", ResourceUsage { open_descriptors: 197, ..small },
            "need 257 descriptors (197 open now, one more for each of 20 clients"),
        ("many clients", ResourceUsage { open_descriptors: 140, client_connections: 100, ..small },
            "need 280 descriptors"),
        ("half of the memory", ResourceUsage { resident_memory: mb(16), ..small }, ""),
        ("more than half of the memory", ResourceUsage { resident_memory: mb(17), ..small },
            "need 34 MB of memory (17 now, and 17 for the new process), but the limit is 32"),
        ("more than half of the memory, with messages",
            ResourceUsage { resident_memory: mb(20), message_memory: mb(10), ..small }, ""),
        ("minimum memory of the successor",
            ResourceUsage { resident_memory: mb(28), message_memory: mb(28), ..small },
            "and 6 for the new process"),
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
