//! Every order of a few things, for tests that try them one by one.

/// All orders of the items: `n!` of them.
pub fn all<T: Clone>(items: &[T]) -> Vec<Vec<T>> {
    if items.is_empty() {
        return vec![Vec::new()];
    }
    let with_first = |at: usize| {
        let mut rest = items.to_vec();
        let first = rest.remove(at);
        all(&rest).into_iter().map(move |mut order| {
            order.insert(0, first.clone());
            order
        })
    };
    (0..items.len()).flat_map(with_first).collect()
}
