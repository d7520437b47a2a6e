//! All routers of a fleet have to compute the same rendezvous scores, also while two versions of
//! the program run, so their values are pinned.

use router::rendezvous;
use routing::prefix_index::PrefixKey;
use std::net::{Ipv4Addr, SocketAddrV4};

#[test]
fn scores_are_stable() {
    let store = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, 1), 7560);
    let scores = [
        rendezvous::score(&("i-1", "n1")),
        rendezvous::score(&(PrefixKey(7), store)),
    ];
    assert_eq!(
        scores,
        [10_292_755_457_747_167_172, 17_369_729_224_861_482_590]
    );
}
