//! Networks of runs: each has one of its own, and gives it back.

use soak::network::Network;

#[test]
fn no_two_runs_have_the_same_network_and_one_that_ends_gives_its_own_back() {
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
