//! Pins hashes that all routers of a fleet must agree on, even while they run different versions of
//! the program.

use routing::hash_ring::HashRing;
use routing::prefix_index::PrefixKey;

#[test]
fn prefix_keys_are_stable() {
    assert_eq!(
        PrefixKey::of_segment("w", "m", "b"),
        PrefixKey(8_805_235_832_435_103_600)
    );
    assert_eq!(
        PrefixKey::of_segment("", "model-1", "5c1e"),
        PrefixKey(1786784457340076191)
    );
}

#[test]
fn key_owners_are_stable() {
    let ring = HashRing::new(["n1", "n2", "n3"].map(|name| (name, name)));
    let owners: Vec<&str> = (0..12).filter_map(|key| ring.owner(key).copied()).collect();
    assert_eq!(
        owners,
        [
            "n3", "n3", "n3", "n2", "n3", "n1", "n2", "n2", "n3", "n3", "n1", "n2"
        ]
    );
}
