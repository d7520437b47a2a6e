//! First sends go to the least-loaded backend, ties broken at random.

/// Loads within this share of the least one are alike.
const ALIKE: f64 = 0.02;

/// A backend that a request might be sent to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// How loaded it would be with the request: work that it has, and work that the request would
    /// add there.
    pub load: f64,
    /// Whether it should only be used where there is no other.
    pub avoided: bool,
}

/// The place of the least-loaded candidate, among those that are not avoided where there are any.
pub fn least_loaded(candidates: &[Candidate], rng: &mut fastrand::Rng) -> Option<usize> {
    let only_avoided = candidates.iter().all(|candidate| candidate.avoided);
    let eligible = || {
        candidates
            .iter()
            .enumerate()
            .filter(|(_, c)| only_avoided || !c.avoided)
    };
    let least = eligible()
        .map(|(_, candidate)| candidate.load)
        .fold(f64::INFINITY, f64::min);
    let bound = least + ALIKE * least.abs();
    let alike: Vec<usize> = eligible()
        .filter(|(_, candidate)| candidate.load <= bound)
        .map(|(at, _)| at)
        .collect();
    (!alike.is_empty()).then(|| alike[rng.usize(0..alike.len())])
}
