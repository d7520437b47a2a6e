//! Tests of members that exchange encoded messages in one process.

use super::*;

const MS: Time = 1_000_000;

/// Members in one process; messages to absent members are lost.
struct Cluster {
    members: BTreeMap<u64, Store>,
    now: Time,
}

fn member(id: u64, bootstraps: bool) -> Store {
    let membership = Membership {
        id,
        members: BTreeSet::from([1, 2, 3]),
        bootstraps,
        era: 0,
    };
    let timing = Timing {
        heartbeat: 10 * MS,
        election: 50 * MS,
    };
    let bounds = Bounds {
        log: 8,
        keys: 100,
        value_bytes: 100,
        sessions: 8,
        txn_keys: 8,
        calls: 8,
        history: 40,
    };
    Store::start(&membership, timing, bounds, id, None, 0)
}

impl Cluster {
    fn run(&mut self, time: Time) {
        for _ in 0..time / MS {
            self.now += MS;
            let mut messages = Vec::new();
            for store in self.members.values_mut() {
                store.timer(self.now);
                messages.extend(store.take_outbox());
            }
            for (to, envelope) in messages {
                // Messages are encoded and decoded.
                let envelope = Envelope::read(envelope.write().as_bytes()).unwrap();
                if let Some(store) = self.members.get_mut(&to) {
                    store.receive(envelope, self.now).unwrap();
                }
            }
        }
    }

    fn put(&mut self, id: u64, key: &str, value: &str) {
        let now = self.now;
        self.members
            .get_mut(&id)
            .unwrap()
            .put(key, value, now)
            .unwrap();
    }

    fn value(&self, id: u64, key: &str) -> Option<&str> {
        self.members[&id].state().get(key)
    }
}

#[test]
fn majority_commits_and_returning_member_catches_up() {
    let members = (1..=3).map(|id| (id, member(id, id == 1))).collect();
    let mut cluster = Cluster { members, now: 0 };
    cluster.run(300 * MS);
    cluster.put(2, "a", "by a follower");
    cluster.run(100 * MS);
    assert!((1..=3).all(|id| cluster.value(id, "a") == Some("by a follower")));
    let leader = *cluster
        .members
        .iter()
        .find(|(_, store)| store.is_leader())
        .expect("a leader")
        .0;
    cluster.members.remove(&leader);
    let others: Vec<u64> = cluster.members.keys().copied().collect();
    cluster.run(500 * MS);
    for i in 0..40 {
        cluster.put(others[i % 2], &format!("k{i}"), "v");
        cluster.run(20 * MS);
    }
    assert!(
        others
            .iter()
            .all(|id| cluster.value(*id, "k39") == Some("v")),
        "two of three members commit"
    );
    // The log has been compacted since, so the returning member needs a snapshot.
    let compacted = cluster.members[&others[0]].node.log().snapshot_position();
    assert!(compacted.index.get() > 8);
    cluster.members.insert(leader, member(leader, false));
    cluster.run(500 * MS);
    let states: Vec<_> = cluster.members.values().map(Store::state).collect();
    assert_eq!(states[0].len(), 41);
    assert!(states.iter().all(|state| *state == states[0]));
    // Without a majority nothing is committed.
    for id in others {
        cluster.members.remove(&id);
    }
    cluster.put(leader, "late", "v");
    cluster.run(500 * MS);
    assert_eq!(cluster.value(leader, "late"), None);
}

#[test]
fn lone_member_commits_without_timer() {
    let membership = Membership {
        id: 0,
        members: BTreeSet::from([0]),
        bootstraps: true,
        era: 0,
    };
    let timing = Timing {
        heartbeat: MS,
        election: MS,
    };
    let bounds = Bounds {
        log: 8,
        keys: 2,
        value_bytes: 10,
        sessions: 8,
        txn_keys: 8,
        calls: 8,
        history: 40,
    };
    let mut store = Store::start(&membership, timing, bounds, 1, None, 0);
    for i in 0..100 {
        store.put("a", &i.to_string(), 0).unwrap();
        assert_eq!(store.state().get("a"), Some(i.to_string().as_str()));
    }
    assert_eq!(store.put("b", "longer than ten bytes", 0), Err(TooLarge));
    store.put("b", "", 0).unwrap();
    assert_eq!(store.put("c", "", 0), Err(TooLarge));
    assert!(
        store.node.log().entries().len() <= 9 && store.commands.len() <= 9,
        "the log is compacted"
    );
    assert_eq!((store.due(), store.take_outbox().len()), (None, 0));
}

/// A partitioned leader proposes a value for a key; the others elect a new leader and commit
/// another value, and the former leader's entry is truncated from its log. The former leader has to
/// propose its value again, although nothing else changes any more.
#[test]
fn proposes_wanted_value_again_after_truncation() {
    let members = (1..=3).map(|id| (id, member(id, id == 1))).collect();
    let mut cluster = Cluster { members, now: 0 };
    cluster.run(300 * MS);
    let leader = *cluster
        .members
        .iter()
        .find(|(_, store)| store.is_leader())
        .expect("a leader")
        .0;
    let former = cluster.members.remove(&leader).expect("the leader");
    let mut partitioned = Cluster {
        members: BTreeMap::from([(leader, former)]),
        now: cluster.now,
    };
    // Puts the former leader's entry beyond the index that the others will reach.
    for i in 0..4 {
        partitioned.put(leader, &format!("alone{i}"), "v");
    }
    partitioned.put(leader, "name", "former");
    cluster.run(500 * MS);
    let other = *cluster.members.keys().next().expect("another member");
    cluster.put(other, "name", "other");
    cluster.run(100 * MS);
    let mut former = partitioned
        .members
        .remove(&leader)
        .expect("the former leader");
    former.take_outbox();
    former.pending_puts.retain(|key, _| key == "name");
    cluster.members.insert(leader, former);
    cluster.run(500 * MS);
    assert!(
        (1..=3).all(|id| cluster.value(id, "name") == Some("former")),
        "{:?}",
        cluster.value(leader, "name")
    );
}
