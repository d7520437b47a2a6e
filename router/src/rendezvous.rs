//! Rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998): routers that know the
//! same candidates choose the same one, and few choices change when a candidate comes or goes.

use std::hash::{DefaultHasher, Hash, Hasher};

/// The score of a candidate: the hash of the key together with the candidate. The candidate with
/// the highest score is chosen, so all routers have to compute the same scores.
pub fn score(key_and_candidate: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    key_and_candidate.hash(&mut hasher);
    hasher.finish()
}
