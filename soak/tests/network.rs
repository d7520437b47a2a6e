//! Concurrent runs claim different networks, and release them.

use soak::network::Network;

#[test]
fn claims_distinct_networks_and_releases_them() {
    let networks: Vec<Network> = (0..5).map(|_| Network::claim().unwrap()).collect();
    let mut numbers: Vec<u8> = networks
        .iter()
        .map(|network| network.addresses.network)
        .collect();
    numbers.dedup();
    assert_eq!(numbers.len(), 5, "{numbers:?}");
    drop(networks);
    assert!(Network::claim().unwrap().addresses.network <= numbers[4]);
}
