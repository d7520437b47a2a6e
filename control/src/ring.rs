//! Assignment of monitors by consistent hashing: members are ordered on a hash ring, and each sends
//! its heartbeats to the few members that follow it.

use compact_str::CompactString;
use std::collections::BTreeSet;

/// A member's position on the ring.
fn position(name: &str) -> (u64, &str) {
    // FNV-1a gives the same positions in all processes and program versions.
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    (hash, name)
}

/// The other members in ring order, starting after `name`.
fn in_ring_order(members: &BTreeSet<CompactString>, name: &str) -> Vec<CompactString> {
    let own = position(name);
    let others = members.iter().filter(|other| *other != name);
    let mut by_position: Vec<(bool, (u64, &str))> = others
        .map(|other| {
            let position_of_other = position(other);
            (position_of_other < own, position_of_other)
        })
        .collect();
    by_position.sort_unstable();
    by_position
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
    let mut in_ring_order = in_ring_order(members, name);
    in_ring_order.truncate(count);
    in_ring_order
}

/// The members whose heartbeats `name` receives: the `count` members before it on the ring.
pub fn monitored_by(
    members: &BTreeSet<CompactString>,
    name: &str,
    count: usize,
) -> Vec<CompactString> {
    let in_ring_order = in_ring_order(members, name);
    let first = in_ring_order.len().saturating_sub(count);
    in_ring_order[first..].to_vec()
}
