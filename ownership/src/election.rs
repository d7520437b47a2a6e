//! The order in which gatherers try to acquire a role. Every gatherer computes the order
//! independently; gatherers that join or leave do not change the order of the others.

use crate::role::Role;
use std::collections::BTreeMap;

/// Orders the candidates by weighted rendezvous hashing (Thaler and Ravishankar, "Using name-based
/// mappings to increase hit rates", 1998; weights by the logarithmic method).
///
/// A candidate with twice the weight of another ranks before it in two cases of three. Candidates
/// with weight 0 are omitted.
pub fn rank(role: Role, candidates: &BTreeMap<String, f64>) -> Vec<&str> {
    let score = |name: &str, weight: f64| {
        // Strictly between 0 and 1, so that the logarithm is finite.
        let uniform = ((hash(role, name) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
        -uniform.ln() / weight
    };
    let mut ranked: Vec<(f64, &str)> = candidates
        .iter()
        .filter(|(_, weight)| **weight > 0.0)
        .map(|(name, weight)| (score(name, *weight), name.as_str()))
        .collect();
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
    ranked.into_iter().map(|(_, name)| name).collect()
}

/// The weight of a candidate that already owns this many roles.
pub fn weight(owned_roles: usize) -> f64 {
    1.0 / (1.0 + owned_roles as f64)
}

/// FNV-1a over role and name with a finalizer. The result must be the same in every build, because
/// gatherers of different versions have to agree on the order.
fn hash(role: Role, name: &str) -> u64 {
    let bytes = role.name().bytes().chain([0]).chain(name.bytes());
    let mut mixed = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    for shift in [33, 29, 32] {
        mixed = (mixed ^ mixed >> shift).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    }
    mixed ^ mixed >> 31
}

#[cfg(test)]
mod tests;
