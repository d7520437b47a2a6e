//! What a store keeps reaches routers that do not read it themselves.

use control::configuration::KvStore;
use router::proxy::stores::Stores;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

fn store() -> KvStore {
    KvStore {
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9),
        zone: "a".into(),
        kv_capacity: 100_000,
        max_concurrent: 4,
    }
}

fn prompt(parts: &str) -> routing::prompt::Prompt {
    routing::prompt::Prompt::read(Some("m"), Some(parts), None).unwrap()
}

fn stores(reads: bool) -> Stores {
    let stores = Stores::default();
    stores.resettle(&BTreeMap::from([(store().address, store())]), |_| reads);
    stores
}

#[test]
fn a_router_that_asks_knows_what_the_reader_knows_and_then_only_gets_what_changed() {
    let address = store().address;
    let (reader, asker) = (stores(true), stores(false));
    assert!(reader.news(address, 0, 0).is_none(), "nothing is told before the store's list was read");
    reader.begin_reading(address, [("s".into(), "a".into(), 400), ("s".into(), "b".into(), 300)]);
    let first = reader.news(address, 0, 0).unwrap();
    assert!(first.whole && first.parts.len() == 2);
    let (generation, next) = (first.generation, first.next);
    asker.take_news(address, first);
    assert_eq!(asker.held_tokens("s", &prompt("a:400,b:300,own:50")), 700);
    reader.take_events(address, [("s".into(), "b".into(), 0), ("s".into(), "c".into(), 10)]);
    let second = reader.news(address, generation, next).unwrap();
    assert!(!second.whole && second.parts.len() == 2, "{second:?}");
    asker.take_news(address, second);
    assert_eq!(asker.held_tokens("s", &prompt("a:400,b:300,own:50")), 400);
    // The store has restarted: another reading begins with everything.
    reader.begin_reading(address, []);
    let third = reader.news(address, generation, next).unwrap();
    assert!(third.whole && third.parts.is_empty());
    asker.take_news(address, third);
    assert_eq!(asker.held_tokens("s", &prompt("a:400,b:300,own:50")), 0);
    assert!(asker.news(address, 0, 0).is_none(), "who does not read tells nobody");
}

#[test]
fn who_missed_more_than_is_kept_gets_everything() {
    let address = store().address;
    let reader = stores(true);
    reader.begin_reading(address, []);
    let first = reader.news(address, 0, 0).unwrap();
    for number in 0..5_000 {
        reader.take_events(address, [("s".into(), format!("p{}", number % 7).into(), 1)]);
    }
    let news = reader.news(address, first.generation, first.next).unwrap();
    assert!(news.whole && news.parts.len() == 7);
}

#[test]
fn parts_are_taken_from_a_store_that_has_them_and_saved_once_where_it_lacks_a_good_share() {
    let address = store().address;
    let stores = stores(true);
    let wanted = prompt("a:400,b:300,own:500");
    assert_eq!(stores.transfer("s", &wanted).fetch, None, "a store that was not heard is no help");
    stores.begin_reading(address, [("s".into(), "a".into(), 400)]);
    let first = stores.transfer("s", &wanted);
    assert_eq!((first.fetch, first.save, first.held), (Some(address), Some(address), 400));
    assert_eq!(stores.transfer("s", &wanted).save, None, "it is being saved");
    assert_eq!(stores.transfer("other", &wanted).fetch, None, "under another salt nothing is found");
    let small = prompt("a:400,d:30,own:5000");
    assert_eq!(stores.transfer("s", &small).save, None, "too little of it is for others");
    let alone = prompt("own:500");
    assert_eq!(stores.transfer("s", &alone), router::proxy::stores::Transfer::default());
}
