//! Who monitors whom: members stand on a ring, and each sends its heartbeats to the few members that follow it.

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

/// The `count` members that follow `name` on the ring.
pub fn successors(members: &BTreeSet<CompactString>, name: &str, count: usize) -> Vec<CompactString> {
    let mut others: Vec<&CompactString> = members.iter().filter(|other| *other != name).collect();
    let own = position(name);
    others.sort_by_key(|other| {
        let place = position(other);
        (place < own, place)
    });
    others.into_iter().take(count).cloned().collect()
}

/// The members whose heartbeats `name` receives.
pub fn monitored_by(members: &BTreeSet<CompactString>, name: &str, count: usize) -> Vec<CompactString> {
    let others = members.iter().filter(|other| *other != name);
    others.filter(|other| successors(members, other, count).iter().any(|s| s == name)).cloned().collect()
}
