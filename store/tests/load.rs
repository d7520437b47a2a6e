//! Simulation of a store under load with slow disks, in virtual time: counts commits, messages and
//! changes of leader.

use std::collections::{BTreeMap, BTreeSet};
use store::Time;
use store::member::{Bounds, Membership, Store, Timing, Write};
use store::message::Envelope;
use store::persisted::PersistedState;

const MS: Time = 1_000_000;

struct Member {
    store: Store,
    /// Writes that wait for the sync in progress, and will share the next one.
    queued: Vec<Write>,
    /// The writes of the sync in progress, and when it completes.
    syncing: Option<(Time, Vec<Write>)>,
}

/// Measurements of the time span under load.
#[derive(Debug, Default)]
struct Measurements {
    committed: u64,
    longest_gap: Time,
    leaders: BTreeSet<u64>,
    without_leader: Time,
    messages: u64,
}

/// Runs three members with this duration of a sync. They receive `changes` per second, in turn.
fn run(sync: Time, changes: u64, duration: Time) -> Measurements {
    let timing = Timing {
        heartbeat: 150 * MS,
        election: 600 * MS,
    };
    let bounds = Bounds {
        log: 256,
        keys: 64,
        value_bytes: 1000,
        sessions: 8,
        txn_keys: 8,
        calls: 8,
        history: 40,
    };
    let ids = BTreeSet::from([1, 2, 3]);
    let start = |id| {
        let membership = Membership {
            id,
            members: ids.clone(),
            bootstraps: id == 1,
            era: 0,
        };
        let store = Store::start(
            &membership,
            timing,
            bounds,
            id,
            Some(PersistedState::default()),
            0,
        );
        (
            id,
            Member {
                store,
                queued: Vec::new(),
                syncing: None,
            },
        )
    };
    let mut members: BTreeMap<u64, Member> = (1..=3).map(start).collect();
    let mut in_flight: Vec<(Time, u64, Envelope)> = Vec::new();
    let mut measured = Measurements::default();
    let (mut now, mut number, mut last_commit, load_start) = (0, 0, 0, 5_000 * MS);
    while now < load_start + duration {
        now += MS;
        if now == load_start {
            (measured, last_commit) = (Measurements::default(), now);
        }
        if now >= load_start && now % (1_000 * MS / changes) < MS {
            number += 1;
            let store = &mut members.get_mut(&(1 + number % 3)).expect("a member").store;
            store
                .put(&format!("k{}", number % 60), &number.to_string(), now)
                .expect("a change within the bounds");
        }
        let due: Vec<_> = in_flight
            .iter()
            .filter(|(at, ..)| *at <= now)
            .cloned()
            .collect();
        in_flight.retain(|(at, ..)| *at > now);
        for (_, to, envelope) in due {
            members
                .get_mut(&to)
                .expect("a member")
                .store
                .receive(envelope, now)
                .expect("members of one store");
        }
        for member in members.values_mut() {
            member.store.timer(now);
            if let Some((_, writes)) = member.syncing.take_if(|(at, _)| *at <= now) {
                writes
                    .last()
                    .into_iter()
                    .for_each(|write| member.store.on_written(write.number));
            }
            member.queued.extend(member.store.take_writes());
            if member.syncing.is_none() && !member.queued.is_empty() {
                // The disks are fast until the store is bootstrapped.
                let sync = if now < load_start { 5 * MS } else { sync };
                member.syncing = Some((now + sync, std::mem::take(&mut member.queued)));
            }
            let before = in_flight.len();
            in_flight.extend(
                member
                    .store
                    .take_outbox()
                    .into_iter()
                    .map(|(to, envelope)| (now + MS, to, envelope)),
            );
            measured.messages += (in_flight.len() - before) as u64;
        }
        let committed = members
            .get_mut(&1)
            .expect("a member")
            .store
            .take_committed()
            .len() as u64;
        if committed > 0 {
            measured.committed += committed;
            measured.longest_gap = measured.longest_gap.max(now - last_commit);
            last_commit = now;
        }
        let leader = members
            .iter()
            .find(|(_, member)| member.store.is_leader())
            .map(|(id, _)| *id);
        measured.without_leader += if leader.is_none() { MS } else { 0 };
        measured.leaders.extend(leader);
    }
    measured
}

/// Guards against two former faults. Each response that lagged behind caused a resend of all
/// missing entries, in growing numbers. Heartbeats waited for the leader's own writes, so that a
/// sync longer than the election timeout deposed the leader.
#[test]
fn leader_with_slow_disk_keeps_leading_under_load() {
    for (sync, changes) in [(25 * MS, 200), (100 * MS, 100), (700 * MS, 2)] {
        let measured = run(sync, changes, 6_000 * MS);
        println!(
            "{} ms per sync, {changes} changes per second: {measured:?}",
            sync / MS
        );
        assert_eq!(
            (measured.leaders.len(), measured.without_leader),
            (1, 0),
            "{measured:?}"
        );
        assert!(measured.longest_gap < 10 * sync, "{measured:?}");
        // A change is forwarded to the leader, sent to both followers and acknowledged by them, and
        // some messages are sent again.
        assert!(measured.messages < 24 * 6 * changes + 2_000, "{measured:?}");
    }
}
