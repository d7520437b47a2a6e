//! Who monitors whom: members stand on a ring, and each sends its heartbeats to the few members
//! that follow it.

use compact_str::CompactString;
use std::collections::BTreeSet;

/// A member's place on the ring.
fn position(name: &str) -> (u64, &str) {
    // FNV-1a, so that every program and every run agrees.
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    (hash, name)
}

/// Other members in the order of the ring, beginning behind `name`.
fn around(members: &BTreeSet<CompactString>, name: &str) -> Vec<CompactString> {
    let own = position(name);
    let others = members.iter().filter(|other| *other != name);
    let mut placed: Vec<(bool, (u64, &str))> = others
        .map(|other| {
            let place = position(other);
            (place < own, place)
        })
        .collect();
    placed.sort_unstable();
    placed
        .into_iter()
        .map(|(_, (_, name))| name.into())
        .collect()
}

/// The `count` members that follow `name` on the ring.
pub fn successors(
    members: &BTreeSet<CompactString>,
    name: &str,
    count: usize,
) -> Vec<CompactString> {
    let mut around = around(members, name);
    around.truncate(count);
    around
}

/// The members whose heartbeats `name` receives: those that it follows on the ring.
pub fn monitored_by(
    members: &BTreeSet<CompactString>,
    name: &str,
    count: usize,
) -> Vec<CompactString> {
    let around = around(members, name);
    let first = around.len().saturating_sub(count);
    around[first..].to_vec()
}
