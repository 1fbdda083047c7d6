//! Fleet size while the number of present drivers changes.

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_coordination::fleet_size::FleetSize;

fn at(ms: u64) -> Timestamp {
    Timestamp(10_000_000 + ms * 1000)
}

#[test]
fn update_changed_count_grows_at_once_and_shrinks_after_delay() {
    let mut size = FleetSize::new(100, TimeSpan::millis(30_000), at(0));
    // Time in milliseconds, present drivers, expected fleet size.
    for (ms, present, expected) in [
        (0, 1, 100),
        (1_000, 100, 100),
        (2_000, 300, 300),
        // A partition hides half of the drivers and heals within the shrink delay.
        (3_000, 150, 300),
        (20_000, 150, 300),
        (21_000, 300, 300),
        (22_000, 80, 300),
        (40_000, 90, 300),
        (50_000, 80, 300),
        (51_500, 80, 90),
        (69_000, 80, 90),
        (70_500, 80, 80),
        (71_000, 300, 300),
        (72_000, 0, 300),
        (102_500, 0, 1),
    ] {
        assert_eq!(size.update(at(ms), present), expected, "at {ms} ms");
    }
}
