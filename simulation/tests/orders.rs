//! Tests of permutations.

use simulation::orders::all;
use std::collections::BTreeSet;

#[test]
fn every_order_comes_up_once() {
    for (count, expected) in [(0, 1), (1, 1), (3, 6), (5, 120)] {
        let items: Vec<u32> = (0..count).collect();
        let permutations = all(&items);
        assert_eq!(
            (
                permutations.len(),
                permutations.iter().collect::<BTreeSet<_>>().len()
            ),
            (expected, expected)
        );
        for mut permutation in permutations {
            permutation.sort_unstable();
            assert_eq!(permutation, items);
        }
    }
}
