//! Least-loaded backend selection, with random tie-breaking.

/// Loads within this ratio of the lowest one count as equal.
const TIE_TOLERANCE: f64 = 0.02;

/// A backend that a request might be sent to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Load of the backend including the request.
    pub load: f64,
    /// Whether the backend is used only if no other is available.
    pub is_last_resort: bool,
}

/// Returns the index of the least-loaded candidate, with ties broken at random. Last resorts are
/// considered only if there are no other candidates.
pub fn least_loaded(candidates: &[Candidate], rng: &mut fastrand::Rng) -> Option<usize> {
    let only_last_resorts = candidates.iter().all(|candidate| candidate.is_last_resort);
    let eligible = || {
        candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| only_last_resorts || !candidate.is_last_resort)
    };
    let min_load = eligible()
        .map(|(_, candidate)| candidate.load)
        .fold(f64::INFINITY, f64::min);
    let max_tied_load = min_load + TIE_TOLERANCE * min_load.abs();
    let tied: Vec<usize> = eligible()
        .filter(|(_, candidate)| candidate.load <= max_tied_load)
        .map(|(index, _)| index)
        .collect();
    (!tied.is_empty()).then(|| tied[rng.usize(0..tied.len())])
}
