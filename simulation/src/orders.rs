//! Permutations, for tests that apply a few steps in every order.

/// Returns all `n!` permutations of `n` items.
pub fn all<T: Clone>(items: &[T]) -> Vec<Vec<T>> {
    if items.is_empty() {
        return vec![Vec::new()];
    }
    let permutations_starting_at = |index: usize| {
        let mut rest = items.to_vec();
        let first = rest.remove(index);
        all(&rest).into_iter().map(move |mut permutation| {
            permutation.insert(0, first.clone());
            permutation
        })
    };
    (0..items.len())
        .flat_map(permutations_starting_at)
        .collect()
}
