//! Heartbeats of backends: where they are sent, and what they change.

use control::directory::{Backend, BackendPhase, Key, Member, MemberStatus, Value};
use control::view::{ReplicaId, View};
use router::fleet::Fleet;
use router::replica::{ReplicaHandle, Shown};
use router::settings::Settings;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::path::Path;
use std::sync::Arc;

fn address(last: u8, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, last].into(), port)
}

fn replica(number: u8) -> ReplicaId {
    ReplicaId { disk: 1, node: format!("n{number}").into(), address: address(number, 7560) }
}

fn member(number: u8, zone: &str, status: MemberStatus) -> Member {
    Member {
        zone: zone.into(),
        internal: address(number, 7560),
        control: Some(address(number, 8381)),
        replica: Some(replica(number)),
        life: u64::from(number),
        incarnation: 1,
        status,
    }
}

/// Node 1, in zone a; nodes 2 and 3 are in zone a as well, 4 and 5 in zone b.
fn fleet() -> Arc<Fleet> {
    let text = r#"{"nodeName":"n1","ipAddress":"10.0.0.1","zone":"a","listen":{"controlPlane":"10.0.0.1:8381"},
        "internalPortRange":[7560,7575],"seeds":["10.0.0.1:8381"]}"#;
    let settings = Settings::parse(Path::new("settings.json"), text.as_bytes()).expect("settings");
    let (handle, _) = ReplicaHandle::new(replica(1));
    let witnesses: BTreeSet<ReplicaId> = (1..=5).map(replica).collect();
    let view = View { epoch: 1, primary: replica(1), in_sync: witnesses.clone(), witnesses };
    // In touch for as long as the test takes.
    let current_at = Some(router::clock::now() + 60_000);
    handle.show(Shown { view: Some(Arc::new(view)), current_at, ..Shown::default() });
    let fleet = Fleet::new(Arc::new(settings), Some(handle), 1);
    for (number, zone) in [(2, "a"), (3, "a"), (4, "b"), (5, "b")] {
        put(&fleet, number, zone, MemberStatus::Up);
    }
    fleet
}

fn put(fleet: &Fleet, number: u8, zone: &str, status: MemberStatus) {
    let name = format!("n{number}").into();
    fleet.put(Key::Member(name), Value::Member(member(number, zone, status)));
}

fn backend(zone: &str, sequence: u64, phase: BackendPhase) -> Backend {
    Backend {
        service: "s".into(),
        address: address(200, 80),
        zone: zone.into(),
        slots: 4,
        phase,
        sequence,
        silent: false,
        owner: "".into(),
        models: Vec::new(),
    }
}

async fn beat(fleet: &Fleet, id: &str, zone: &str, sequence: u64) -> SocketAddrV4 {
    let told = fleet.register(id.into(), backend(zone, sequence, BackendPhase::Ready)).await;
    told.expect("it is acknowledged").expect("an address")
}

async fn spread(fleet: &Fleet, zone: &str) -> BTreeMap<SocketAddrV4, u32> {
    let mut counts = BTreeMap::new();
    for number in 0..300 {
        *counts.entry(beat(fleet, &format!("i-{zone}-{number}"), zone, 1).await).or_default() += 1;
    }
    counts
}

#[tokio::test]
async fn backends_are_spread_over_the_replicas_of_their_zone() {
    let fleet = fleet();
    let own = spread(&fleet, "a").await;
    assert_eq!(own.keys().copied().collect::<Vec<_>>(), [1, 2, 3].map(|node| address(node, 8381)));
    assert!(own.values().all(|count| (60..140).contains(count)), "{own:?}");
    let other = spread(&fleet, "b").await;
    assert_eq!(other.keys().copied().collect::<Vec<_>>(), [4, 5].map(|node| address(node, 8381)));
    assert!(other.values().all(|count| (110..190).contains(count)), "{other:?}");
    let nowhere = spread(&fleet, "c").await;
    assert_eq!(nowhere.keys().copied().collect::<Vec<_>>(), [address(1, 8381)], "nobody is nearer");
}

#[tokio::test]
async fn a_replica_that_is_down_takes_no_backends_and_the_others_keep_theirs() {
    let fleet = fleet();
    let mut before = BTreeMap::new();
    for number in 0..100 {
        let id = format!("i-{number}");
        before.insert(id.clone(), beat(&fleet, &id, "a", 1).await);
    }
    put(&fleet, 2, "a", MemberStatus::Down);
    for (id, former) in before {
        let now = beat(&fleet, &id, "a", 2).await;
        assert_ne!(now, address(2, 8381));
        assert!(former == address(2, 8381) || now == former, "{id} was moved without need");
    }
}

#[tokio::test]
async fn only_what_a_heartbeat_says_anew_is_passed_on_and_late_ones_change_nothing() {
    let fleet = fleet();
    beat(&fleet, "i", "a", 5).await;
    let changes = fleet.changes();
    beat(&fleet, "i", "a", 6).await;
    assert_eq!(fleet.changes(), changes, "it only counts up");
    let late = backend("a", 3, BackendPhase::Draining);
    fleet.register("i".into(), late).await;
    let phase = |fleet: &Fleet| match fleet.directory.lock().expect("sound").get(&Key::Backend("i".into())) {
        Some(Value::Backend(backend)) => backend.phase,
        other => panic!("{other:?}"),
    };
    assert_eq!(phase(&fleet), BackendPhase::Ready, "a later heartbeat is known");
    fleet.register("i".into(), backend("a", u64::MAX, BackendPhase::Gone)).await;
    beat(&fleet, "i", "a", 9).await;
    assert_eq!(phase(&fleet), BackendPhase::Gone, "who has left does not come back under its id");
}
