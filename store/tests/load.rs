//! A store under load with slow disks, in virtual time: commits, messages and changes of leader.

use std::collections::{BTreeMap, BTreeSet};
use store::Time;
use store::member::{Bounds, Membership, Store, Timing, Write};
use store::message::Envelope;
use store::persisted::PersistedState;

const MS: Time = 1_000_000;

struct Member {
    store: Store,
    /// Queued writes, and those in progress with their completion time: queued writes share a sync.
    waiting: Vec<Write>,
    syncing: Option<(Time, Vec<Write>)>,
}

/// Figures of a time span.
#[derive(Debug, Default)]
struct Seen {
    committed: u64,
    longest_gap: Time,
    leaders: BTreeSet<u64>,
    without_leader: Time,
    packets: u64,
}

/// Three members with this duration of a sync, and this many changes a second at them in turn.
fn play(sync: Time, changes: u64, length: Time) -> Seen {
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
    let members = BTreeSet::from([1, 2, 3]);
    let start = |id| {
        let membership = Membership {
            id,
            members: members.clone(),
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
                waiting: Vec::new(),
                syncing: None,
            },
        )
    };
    let mut all: BTreeMap<u64, Member> = (1..=3).map(start).collect();
    let (mut wires, mut seen): (Vec<(Time, u64, Envelope)>, Seen) = (Vec::new(), Seen::default());
    let (mut now, mut number, mut last, settled) = (0, 0, 0, 5_000 * MS);
    while now < settled + length {
        now += MS;
        if now == settled {
            (seen, last) = (Seen::default(), now);
        }
        if now >= settled && now % (1_000 * MS / changes) < MS {
            number += 1;
            let store = &mut all.get_mut(&(1 + number % 3)).expect("a member").store;
            store
                .put(&format!("k{}", number % 60), &number.to_string(), now)
                .expect("it fits");
        }
        let due: Vec<_> = wires.iter().filter(|w| w.0 <= now).cloned().collect();
        wires.retain(|w| w.0 > now);
        for (_, to, envelope) in due {
            all.get_mut(&to)
                .expect("a member")
                .store
                .receive(envelope, now)
                .expect("one store");
        }
        for member in all.values_mut() {
            member.store.timer(now);
            if let Some((_, writes)) = member.syncing.take_if(|(at, _)| *at <= now) {
                writes
                    .last()
                    .into_iter()
                    .for_each(|write| member.store.on_written(write.number));
            }
            member.waiting.extend(member.store.take_writes());
            if member.syncing.is_none() && !member.waiting.is_empty() {
                // The store is bootstrapped before the disks become slow.
                let sync = if now < settled { 5 * MS } else { sync };
                member.syncing = Some((now + sync, std::mem::take(&mut member.waiting)));
            }
            let before = wires.len();
            wires.extend(
                member
                    .store
                    .take_outbox()
                    .into_iter()
                    .map(|(to, envelope)| (now + MS, to, envelope)),
            );
            seen.packets += (wires.len() - before) as u64;
        }
        let committed = all
            .get_mut(&1)
            .expect("a member")
            .store
            .take_committed()
            .len() as u64;
        if committed > 0 {
            (seen.committed, seen.longest_gap, last) = (
                seen.committed + committed,
                seen.longest_gap.max(now - last),
                now,
            );
        }
        let leader = all
            .iter()
            .find(|(_, member)| member.store.is_leader())
            .map(|(id, _)| *id);
        seen.without_leader += if leader.is_none() { MS } else { 0 };
        seen.leaders.extend(leader);
    }
    seen
}

/// Guards against two former faults: each response that lagged caused a resend of all missing
/// entries, in growing numbers; and heartbeats waited for the leader's own writes, so that a sync
/// longer than the election timeout deposed it.
#[test]
fn leader_with_slow_disk_keeps_leading_under_load() {
    for (sync, changes) in [(25 * MS, 200), (100 * MS, 100), (700 * MS, 2)] {
        let seen = play(sync, changes, 6_000 * MS);
        println!(
            "{} ms a sync, {changes} changes a second: {seen:?}",
            sync / MS
        );
        assert_eq!(
            (seen.leaders.len(), seen.without_leader),
            (1, 0),
            "{seen:?}"
        );
        assert!(seen.longest_gap < 10 * sync, "{seen:?}");
        // A change goes to each other member and is answered, is handed to the leader, and some are
        // sent again.
        assert!(seen.packets < 24 * 6 * changes + 2_000, "{seen:?}");
    }
}
