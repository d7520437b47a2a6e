//! In which order gatherers try to take a kind of work: each can tell by itself, and who comes or
//! goes moves nobody else.

use crate::kind::Kind;
use std::collections::BTreeMap;

/// The gatherers in the order in which they try, by weighted rendezvous hashing: of two, one with
/// twice the weight goes first two times in three. A weight of 0 is left out.
pub fn order<'a>(kind: Kind, candidates: &'a BTreeMap<String, f64>) -> Vec<&'a str> {
    let score = |(name, weight): (&'a String, &f64)| {
        // From 0 to 1, both excluded.
        let draw = ((hash(kind, name) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
        (*weight > 0.0).then_some((-draw.ln() / weight, name.as_str()))
    };
    let mut all: Vec<(f64, &str)> = candidates.iter().filter_map(score).collect();
    all.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
    all.into_iter().map(|(_, name)| name).collect()
}

/// What one that owns so many kinds already weighs.
pub fn weight(owns: usize) -> f64 {
    1.0 / (1.0 + owns as f64)
}

/// FNV-1a over both, mixed: it has to be the same in every build.
fn hash(kind: Kind, name: &str) -> u64 {
    let bytes = kind.name().bytes().chain([0]).chain(name.bytes());
    let mut mixed = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    for by in [33, 29, 32] {
        mixed = (mixed ^ mixed >> by).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    }
    mixed ^ mixed >> 31
}

#[cfg(test)]
mod tests;
