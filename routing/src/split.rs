//! Sharing the requests of a route between services by weight.

/// The place that a number drawn from `0..sum of weights` falls on.
pub fn choose(weights: &[u64], rng: &mut fastrand::Rng) -> Option<usize> {
    let sum: u64 = weights.iter().sum();
    if sum == 0 {
        return None;
    }
    let mut drawn = rng.u64(0..sum);
    weights.iter().position(|weight| {
        let hit = drawn < *weight;
        drawn = drawn.saturating_sub(*weight);
        hit
    })
}
