//! Generated arrivals.

use crate::ms;
use asterlatch_testbed::arrivals::Arrivals;
use asterlatch_testbed::store_model::workloads;

#[test]
fn arrivals_with_same_seed_are_equal_and_match_rate_and_shares() {
    let generate = |seed| Arrivals::new(&workloads(), 1000.0, 3, ms(10_000), seed).collect::<Vec<_>>();
    assert_eq!(generate(5), generate(5));
    assert_ne!(generate(5)[0].id, generate(6)[0].id);
    let arrivals = generate(5);
    assert!((9_500..10_500).contains(&arrivals.len()), "{}", arrivals.len());
    assert!(arrivals.windows(2).all(|w| w[0].at <= w[1].at));
    let post_fraction = arrivals.iter().filter(|a| a.workload == 3).count() as f64 / arrivals.len() as f64;
    assert!((0.13..0.17).contains(&post_fraction), "{post_fraction}");
    assert!(arrivals.iter().all(|a| (1..=3).contains(&a.group)));
}
