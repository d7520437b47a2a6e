//! Weighted traffic splitting: distributes the requests of a route over services.

/// Draws an index with a probability proportional to its weight; `None` if all weights are zero.
pub fn choose_weighted(weights: &[u64], rng: &mut fastrand::Rng) -> Option<usize> {
    let total: u64 = weights.iter().sum();
    if total == 0 {
        return None;
    }
    let mut remaining = rng.u64(0..total);
    weights.iter().position(|weight| {
        let is_chosen = remaining < *weight;
        remaining = remaining.saturating_sub(*weight);
        is_chosen
    })
}
