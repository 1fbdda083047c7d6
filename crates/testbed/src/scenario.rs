//! Named fault scripts for a cluster, with the number of drivers that each needs.

/// Name and fault script of scenarios for five drivers.
pub const SCENARIOS: [(&str, &str); 14] = [
    ("calm", "0s link 1 to 2 slow 0ms for 1ms"),
    ("killed", "1s driver 2 is killed for 2s"),
    ("one-way", "500ms link 1 to 2 is cut for 4s"),
    (
        "split",
        "1s split 1 2 from 3 4 5 for 3s\n1500ms group 1 switches to 2\n2s member 5 lags 2s for 1s",
    ),
    ("drain", "500ms driver 3 hears no list for 5s\n1s member 2 drains for 4s"),
    (
        "drain-in-a-split",
        "500ms driver 3 hears no list for 5s\n800ms split 1 2 from 4 5 for 3s\n1s member 2 drains for 4s",
    ),
    ("doubt", "1s driver 1 stops for 1s\n3s driver 2 is killed for 1s"),
    ("lossy", "0s links lose 30% for 5s\n0s links garble 5% for 5s\n0s links slow 20ms for 5s"),
    (
        "clocks",
        "0s driver 1 is 3600s ahead for 1s\n0s driver 2 is 3600s behind for 1s\n1s driver 3 is killed for 500ms\n2s split 1 3 from 2 4 5 for 1s",
    ),
    ("one-disk", "1s driver 2 is killed and given the disk of 3 for 500ms\n2500ms driver 4 is killed for 500ms"),
    ("paused", "1s driver 4 stops for 3s"),
    ("cold", "500ms member 2 starts for 4s\n500ms member 3 starts for 4s\n2s driver 5 is killed for 1s"),
    (
        "rolling",
        "500ms driver 1 is killed for 200ms\n1500ms driver 2 is killed for 200ms\n2500ms driver 3 is killed for 200ms",
    ),
    (
        "two-wires",
        "300ms driver 1 is renewed for 200ms\n1s driver 2 is renewed for 200ms\n1700ms driver 3 is renewed for 200ms\n2500ms driver 1 is killed for 200ms",
    ),
];

/// Number of drivers at which each observes only a small part of the load.
pub const WIDE_DRIVERS: u32 = 12;
/// Name and fault script of scenarios for at least [`WIDE_DRIVERS`] drivers.
pub const WIDE_SCENARIOS: [(&str, &str); 7] = [
    ("silent", "1s member 2 hangs for 3s"),
    ("silent-lossy", "0s links lose 50% for 6s\n1s member 2 hangs for 3s"),
    // Stops and kills drivers, so that the lease on health checks of member 2 has to change its holder.
    (
        "holder",
        "500ms member 2 is down for 4s\n1s driver 1 stops for 2s\n1s driver 2 stops for 2s\n1s driver 3 stops for 2s\n1s driver 4 stops for 2s\n2s driver 5 is killed for 1s\n2s driver 6 is killed for 1s",
    ),
    (
        "third",
        "1s driver 1 is killed for 2s\n1s driver 2 is killed for 2s\n1s driver 3 is killed for 2s\n1s driver 4 is killed for 2s",
    ),
    // Four drivers join during the run, and three others leave.
    (
        "grows-and-shrinks",
        "0s driver 9 is killed for 2s\n0s driver 10 is killed for 2s\n0s driver 11 is killed for 2s\n0s driver 12 is killed for 2s\n3s driver 1 is killed for 2s\n3s driver 2 is killed for 2s\n3s driver 3 is killed for 2s",
    ),
    (
        "zone-cold",
        "500ms member 2 starts for 4s\n500ms member 4 starts for 4s\n500ms member 6 starts for 4s\n1s driver 1 is killed for 1s",
    ),
    (
        "lists-differ",
        "0s driver 3 hears no list for 6s\n0s driver 4 hears no list for 6s\n0s driver 5 hears no list for 6s\n1s member 2 drains for 4s\n1500ms split 3 6 7 from 1 2 for 2s",
    ),
];

/// All scenarios with `drivers` processes; [`WIDE_SCENARIOS`] have at least [`WIDE_DRIVERS`].
pub fn scenarios(drivers: u32) -> impl Iterator<Item = Scenario> {
    let narrow = SCENARIOS.into_iter().map(move |(name, script)| Scenario {
        name,
        drivers,
        script,
    });
    let wide = WIDE_SCENARIOS.into_iter().map(move |(name, script)| Scenario {
        name,
        drivers: drivers.max(WIDE_DRIVERS),
        script,
    });
    narrow.chain(wide)
}

/// A named fault script for a cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// Number of driver processes.
    pub drivers: u32,
    /// Text of the fault script.
    pub script: &'static str,
}
