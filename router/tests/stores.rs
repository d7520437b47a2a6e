//! Stores of kept prompts, as routers hear of them.

use control::configuration::KvStore;
use router::protocol::StoreStatus;
use router::proxy::stores::Stores;
use routing::locations::PrefixKey;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, port)
}

fn stores(ports: &[u16]) -> Stores {
    let stores = Stores::default();
    settle(&stores, ports);
    stores
}

fn settle(stores: &Stores, ports: &[u16]) {
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
    stores.resettle(&wanted);
}

#[test]
fn a_store_is_used_while_it_answers() {
    let (stores, key) = (stores(&[9]), PrefixKey(1));
    assert_eq!(stores.status(address(9)), None, "it was not heard yet");
    assert_eq!(stores.of(key), None);
    stores.answers(address(9), 5);
    let found = stores.of(key).expect("it answers");
    assert_eq!((found.address, found.generation), (address(9), 5));
    stores.is_unresponsive(address(9));
    assert_eq!(stores.of(key), None);
    assert_eq!(
        stores.status(address(9)),
        Some(StoreStatus { generation: None })
    );
}

#[test]
fn what_one_router_knows_of_a_store_another_one_takes() {
    let (reader, asker) = (stores(&[9]), stores(&[9]));
    reader.answers(address(9), 5);
    asker.take_status(address(9), reader.status(address(9)).expect("it was heard"));
    assert_eq!(asker.of(PrefixKey(1)), reader.of(PrefixKey(1)));
    // It has restarted, and lost what it kept.
    reader.answers(address(9), 6);
    asker.take_status(address(9), reader.status(address(9)).expect("it was heard"));
    assert_eq!(
        asker.of(PrefixKey(1)).map(|store| store.generation),
        Some(6)
    );
    reader.is_unresponsive(address(9));
    asker.take_status(address(9), reader.status(address(9)).expect("it was heard"));
    assert_eq!(asker.of(PrefixKey(1)), None);
}

#[test]
fn each_prefix_has_one_of_the_stores_and_moves_only_when_that_one_is_silent() {
    let stores = stores(&[9, 10, 11]);
    [9, 10, 11]
        .iter()
        .for_each(|port| stores.answers(address(*port), 1));
    let places = |stores: &Stores| -> Vec<u16> {
        (0..300)
            .map(|key| {
                stores
                    .of(PrefixKey(key))
                    .expect("one answers")
                    .address
                    .port()
            })
            .collect()
    };
    let before = places(&stores);
    for port in [9, 10, 11] {
        let share = before.iter().filter(|other| **other == port).count();
        assert!((60..140).contains(&share), "{share} of 300 at {port}");
    }
    stores.is_unresponsive(address(10));
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
fn a_store_that_is_configured_no_more_is_forgotten() {
    let stores = stores(&[9, 10]);
    stores.answers(address(9), 1);
    settle(&stores, &[10]);
    assert_eq!(
        (stores.status(address(9)), stores.of(PrefixKey(1))),
        (None, None)
    );
    settle(&stores, &[9, 10]);
    assert_eq!(stores.of(PrefixKey(1)), None, "it has to be heard anew");
}
