//! Permutations, for tests that try every order of a few steps.

/// All permutations of the items: `n!` of them.
pub fn all<T: Clone>(items: &[T]) -> Vec<Vec<T>> {
    if items.is_empty() {
        return vec![Vec::new()];
    }
    let with_first = |index: usize| {
        let mut rest = items.to_vec();
        let first = rest.remove(index);
        all(&rest).into_iter().map(move |mut order| {
            order.insert(0, first.clone());
            order
        })
    };
    (0..items.len()).flat_map(with_first).collect()
}
