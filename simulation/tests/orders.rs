//! Every order comes up once.

use simulation::orders::all;
use std::collections::BTreeSet;

#[test]
fn every_order_comes_up_once() {
    for (count, orders) in [(0, 1), (1, 1), (3, 6), (5, 120)] {
        let items: Vec<u32> = (0..count).collect();
        let found = all(&items);
        assert_eq!(
            (found.len(), found.iter().collect::<BTreeSet<_>>().len()),
            (orders, orders)
        );
        for mut order in found {
            order.sort_unstable();
            assert_eq!(order, items);
        }
    }
}
