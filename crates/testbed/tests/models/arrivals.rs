//! Arrivals by seed.

use crate::ms;
use asterlatch_testbed::arrivals::Arrivals;
use asterlatch_testbed::store_model::workloads;

#[test]
fn arrivals_with_same_seed_are_equal_and_keep_their_rate() {
    let all = |seed| Arrivals::new(&workloads(), 1000.0, 3, ms(10_000), seed).collect::<Vec<_>>();
    assert_eq!(all(5), all(5));
    assert_ne!(all(5)[0].id, all(6)[0].id);
    let own = all(5);
    assert!((9_500..10_500).contains(&own.len()), "{}", own.len());
    assert!(own.windows(2).all(|w| w[0].at <= w[1].at));
    let posts = own.iter().filter(|a| a.workload == 3).count() as f64 / own.len() as f64;
    assert!((0.13..0.17).contains(&posts), "{posts}");
    assert!(own.iter().all(|a| (1..=3).contains(&a.group)));
}
