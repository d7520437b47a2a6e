//! Availability of KV stores, as routers observe it.

use control::configuration::KvStore;
use router::kv_stores::KvStores;
use router::protocol::StoreStatus;
use routing::prefix_index::PrefixKey;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

fn stores(ports: &[u16]) -> KvStores {
    let stores = KvStores::default();
    configure(&stores, ports);
    stores
}

fn configure(stores: &KvStores, ports: &[u16]) {
    let store = |port: u16| KvStore {
        address: address(port),
        zone: "a".into(),
        kv_capacity: 100_000,
        max_concurrent: 4,
    };
    let wanted: BTreeMap<_, _> = ports
        .iter()
        .map(|port| (address(*port), store(*port)))
        .collect();
    stores.reconfigure(&wanted);
}

#[test]
fn uses_store_while_available() {
    let (stores, key) = (stores(&[9]), PrefixKey(1));
    assert_eq!(stores.status(address(9)), None, "no status is known yet");
    assert_eq!(stores.store_for(key), None);
    stores.mark_available(address(9), 5);
    let found = stores.store_for(key).expect("an available store");
    assert_eq!((found.address, found.generation), (address(9), 5));
    stores.mark_unresponsive(address(9));
    assert_eq!(stores.store_for(key), None);
    assert_eq!(
        stores.status(address(9)),
        Some(StoreStatus { generation: None })
    );
}

#[test]
fn store_status_is_shared_between_routers() {
    let (reader, requester) = (stores(&[9]), stores(&[9]));
    reader.mark_available(address(9), 5);
    requester.apply_status(
        address(9),
        reader.status(address(9)).expect("a known status"),
    );
    assert_eq!(
        requester.store_for(PrefixKey(1)),
        reader.store_for(PrefixKey(1))
    );
    // The store has restarted, and lost its contents.
    reader.mark_available(address(9), 6);
    requester.apply_status(
        address(9),
        reader.status(address(9)).expect("a known status"),
    );
    assert_eq!(
        requester
            .store_for(PrefixKey(1))
            .map(|store| store.generation),
        Some(6)
    );
    reader.mark_unresponsive(address(9));
    requester.apply_status(
        address(9),
        reader.status(address(9)).expect("a known status"),
    );
    assert_eq!(requester.store_for(PrefixKey(1)), None);
}

#[test]
fn prefix_moves_only_if_its_store_is_unavailable() {
    let stores = stores(&[9, 10, 11]);
    [9, 10, 11]
        .iter()
        .for_each(|port| stores.mark_available(address(*port), 1));
    let places = |stores: &KvStores| -> Vec<u16> {
        (0..300)
            .map(|key| {
                stores
                    .store_for(PrefixKey(key))
                    .expect("an available store")
                    .address
                    .port()
            })
            .collect()
    };
    let before = places(&stores);
    for port in [9, 10, 11] {
        let count = before.iter().filter(|other| **other == port).count();
        assert!((60..140).contains(&count), "{count} of 300 at {port}");
    }
    stores.mark_unresponsive(address(10));
    let after = places(&stores);
    for (before, after) in before.iter().zip(&after) {
        assert!(if *before == 10 {
            *after != 10
        } else {
            before == after
        });
    }
}

#[test]
fn forgets_removed_store() {
    let stores = stores(&[9, 10]);
    stores.mark_available(address(9), 1);
    configure(&stores, &[10]);
    assert_eq!(
        (stores.status(address(9)), stores.store_for(PrefixKey(1))),
        (None, None)
    );
    configure(&stores, &[9, 10]);
    assert_eq!(
        stores.store_for(PrefixKey(1)),
        None,
        "its status is unknown again"
    );
}
