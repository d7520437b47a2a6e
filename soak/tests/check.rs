//! Every rule is violated by a history that breaks it, and by no other.

use soak::check::violations;
use soak::history::{
    BackendEvent, BackendState, Change, ChangeRecord, Exit, Final, History, Kind, Outcome,
    ProcessEvent, ReceivedOrder, Reply, Request, RouterEvent, Run, StatusRecord,
};

/// A fleet of five routers, three with the control state, that served one request.
fn sound() -> History {
    History {
        requests: vec![request(1, Kind::Unsafe, 20_000, 20_050, Outcome::Served)],
        runs: vec![run(1, 1, 20_010, 20_040)],
        router_events: (0..5)
            .map(|router| RouterEvent {
                router,
                at: 0,
                event: ProcessEvent::Started,
            })
            .collect(),
        changes: vec![configured(0, 1, 1, 5_000, Reply::Acknowledged)],
        end: Final {
            read_back: Some(1),
            configurations: vec![1; 5],
            weights: vec![1; 2],
            requests: (10, 10),
        },
        replicas: 3,
        ..History::default()
    }
}

fn request(id: u64, kind: Kind, sent_at: u64, ended_at: u64, outcome: Outcome) -> Request {
    Request {
        id,
        kind,
        router: 4,
        sent_at,
        ended_at,
        outcome,
    }
}

fn run(request: u64, version: u64, begun: u64, ended: u64) -> Run {
    Run {
        request,
        backend: 1,
        version,
        arrived_at: begun,
        begun_at: Some(begun),
        ended_at: Some(ended),
        broke_off: false,
    }
}

fn configured(
    base: u64,
    version: u64,
    variant: u64,
    answered_at: u64,
    reply: Reply,
) -> ChangeRecord {
    let change = Change::Configuration {
        base,
        version,
        variant,
    };
    ChangeRecord {
        change,
        sent_at: answered_at - 10,
        answered_at,
        reply,
    }
}

fn named(version: u64, answered_at: u64) -> ChangeRecord {
    let change = Change::Weights(version);
    ChangeRecord {
        change,
        sent_at: answered_at - 10,
        answered_at,
        reply: Reply::Acknowledged,
    }
}

fn seen(router: usize, at: u64, configuration: u64) -> StatusRecord {
    StatusRecord {
        router,
        asked_at: at,
        answered_at: at + 5,
        configuration,
    }
}

fn router_event(router: usize, at: u64, event: ProcessEvent) -> RouterEvent {
    RouterEvent { router, at, event }
}

/// The rules that are broken once a sound history is changed.
fn broken(change: impl FnOnce(&mut History)) -> Vec<&'static str> {
    let mut history = sound();
    change(&mut history);
    let mut rules: Vec<_> = violations(&history)
        .iter()
        .map(|violation| violation.rule)
        .collect();
    rules.dedup();
    rules
}

const NONE: [&str; 0] = [];

#[test]
fn accepts_sound_history() {
    assert_eq!(broken(|_| {}), NONE);
}

#[test]
fn detects_corrupted_responses() {
    let spoil =
        |history: &mut History| history.requests[0].outcome = Outcome::Corrupted("it has no seal");
    assert_eq!(broken(spoil), ["MIXED"]);
}

#[test]
fn detects_repeated_execution() {
    let again = |history: &mut History| history.runs.push(run(1, 1, 20_020, 20_030));
    assert_eq!(broken(again), ["TWICE"]);
    assert_eq!(
        broken(|history| {
            again(history);
            history.requests[0].kind = Kind::Safe;
        }),
        NONE
    );
    assert_eq!(
        broken(|history| {
            again(history);
            history.runs[1].begun_at = None;
        }),
        NONE,
        "it was turned away there"
    );
}

#[test]
fn detects_execution_of_unsent_request() {
    assert_eq!(
        broken(|history| history.requests[0].outcome = Outcome::NotSent),
        ["UNASKED"]
    );
}

#[test]
fn detects_execution_of_refused_request() {
    for (status, expected) in [
        (503, vec!["REFUSED"]),
        (429, vec!["REFUSED"]),
        (502, vec![]),
    ] {
        assert_eq!(
            broken(|history| history.requests[0].outcome = Outcome::Status(status)),
            expected
        );
    }
}

#[test]
fn detects_lost_requests() {
    let lost = |history: &mut History| history.requests[0].outcome = Outcome::Truncated;
    assert_eq!(broken(lost), ["LOST"]);
    let events = [
        (ProcessEvent::Killed, true),
        (ProcessEvent::Suspended, true),
        (ProcessEvent::Terminated, false),
        (ProcessEvent::Reloaded, false),
    ];
    for (event, excuses) in events {
        let rules = broken(|history| {
            lost(history);
            history.router_events.push(router_event(4, 20_020, event));
        });
        assert_eq!(rules.is_empty(), excuses, "{event:?}");
    }
    let by_the_backend = |history: &mut History| {
        lost(history);
        history.runs[0].broke_off = true;
    };
    assert_eq!(broken(by_the_backend), NONE);
    let after = |took: u64| {
        broken(move |history| {
            lost(history);
            history.requests[0].ended_at = history.requests[0].sent_at + took;
        })
    };
    assert_eq!(after(2_981), NONE, "the time of its route was over");
    assert_eq!(after(2_900), ["LOST"]);
    let behind_a_cut = |backend: u64, healed_at: u64| {
        broken(|history| {
            lost(history);
            history.backends.push(BackendEvent {
                backend,
                at: 15_000,
                state: BackendState::Partitioned,
            });
            history.backends.push(BackendEvent {
                backend,
                at: healed_at,
                state: BackendState::Reachable,
            });
        })
    };
    assert_eq!(
        behind_a_cut(1, 20_020),
        NONE,
        "the way to its backend was cut meanwhile"
    );
    assert_eq!(behind_a_cut(1, 19_990), ["LOST"], "it had healed before");
    assert_eq!(
        behind_a_cut(2, 20_020),
        ["LOST"],
        "the way to another backend was cut"
    );
}

#[test]
fn detects_late_close_without_response() {
    let crossed = |took: u64| {
        broken(|history| {
            history.runs.clear();
            history.requests[0] =
                request(1, Kind::Unsafe, 20_000, 20_000 + took, Outcome::NoResponse);
        })
    };
    assert_eq!(crossed(50), NONE);
    assert_eq!(crossed(700), ["LOST"]);
}

#[test]
fn detects_work_on_cancelled_requests() {
    let work_on = |count: u64, ended: Option<u64>| {
        broken(|history| {
            history.requests.clear();
            history.runs.clear();
            for id in 1..=count {
                history
                    .requests
                    .push(request(id, Kind::Safe, 20_000, 20_100, Outcome::Cancelled));
                history.runs.push(Run {
                    ended_at: ended,
                    ..run(id, 1, 20_010, 0)
                });
            }
        })
    };
    assert_eq!(work_on(4, Some(20_900)), NONE);
    assert_eq!(work_on(4, Some(21_200)), ["GONE"; 1]);
    assert_eq!(work_on(4, None), ["GONE"; 1]);
    assert_eq!(work_on(3, None), NONE, "a few are permitted");
}

/// Four clients left at 20.1 s; their requests had arrived at a backend at `arrived`, to which the
/// way was cut for a while.
fn cancelled_behind_partition(arrived: u64, states: &[(u64, BackendState)]) -> Vec<&'static str> {
    broken(|history| {
        history.requests.clear();
        history.runs.clear();
        for id in 1..=4 {
            history
                .requests
                .push(request(id, Kind::Safe, 20_000, 20_100, Outcome::Cancelled));
            history.runs.push(Run {
                ended_at: None,
                ..run(id, 1, arrived, 0)
            });
        }
        let staged = |(at, state): &(u64, BackendState)| BackendEvent {
            backend: 1,
            at: *at,
            state: *state,
        };
        history.backends.extend(states.iter().map(staged));
    })
}

#[test]
fn cancellation_counts_after_the_partition() {
    let cut_then = [
        (20_050, BackendState::Partitioned),
        (25_000, BackendState::Reachable),
    ];
    assert_eq!(
        cancelled_behind_partition(20_010, &cut_then),
        NONE,
        "the backend can't know"
    );
    assert_eq!(
        cancelled_behind_partition(25_010, &cut_then),
        ["GONE"],
        "it arrived after all"
    );
    let cut_before = [
        (12_000, BackendState::Partitioned),
        (15_000, BackendState::Reachable),
    ];
    assert_eq!(cancelled_behind_partition(20_010, &cut_before), ["GONE"]);
    let cut_after = [
        (21_500, BackendState::Partitioned),
        (25_000, BackendState::Reachable),
    ];
    assert_eq!(cancelled_behind_partition(20_010, &cut_after), ["GONE"]);
}

#[test]
fn detects_outdated_weights() {
    let begins = |at: u64, event: Option<RouterEvent>| {
        broken(|history| {
            history.changes.push(named(2, 10_000));
            history.end.weights = vec![2; 2];
            history.requests[0] = request(1, Kind::Unsafe, at - 20, at + 50, Outcome::Served);
            history.runs[0] = run(1, 1, at, at + 20);
            history.router_events.extend(event);
        })
    };
    assert_eq!(begins(16_300, None), NONE);
    assert_eq!(begins(16_500, None), ["VERSION"]);
    assert_eq!(
        begins(
            16_500,
            Some(router_event(3, 12_000, ProcessEvent::Reloaded))
        ),
        ["VERSION"]
    );
    assert_eq!(
        begins(16_500, Some(router_event(3, 12_000, ProcessEvent::Killed))),
        ["VERSION"],
        "another router's affair"
    );
    assert_eq!(
        begins(16_500, Some(router_event(0, 12_000, ProcessEvent::Killed))),
        NONE,
        "the core was not stable"
    );
    assert_eq!(
        begins(16_500, Some(router_event(4, 8_000, ProcessEvent::Killed))),
        NONE,
        "the router was out of touch"
    );
}

#[test]
fn detects_stale_and_regressed_configurations() {
    let look = |looks: &[StatusRecord], event: Option<RouterEvent>| {
        broken(|history| {
            history
                .changes
                .push(configured(1, 3, 2, 10_000, Reply::Acknowledged));
            history.end = Final {
                read_back: Some(3),
                configurations: vec![3; 5],
                ..history.end.clone()
            };
            history.statuses.extend_from_slice(looks);
            history.router_events.extend(event);
        })
    };
    assert_eq!(look(&[seen(4, 12_300, 1)], None), NONE);
    assert_eq!(look(&[seen(4, 12_500, 1)], None), ["CONFIG"]);
    assert_eq!(
        look(
            &[seen(4, 12_500, 1)],
            Some(router_event(0, 9_000, ProcessEvent::Killed))
        ),
        NONE,
        "no stable core"
    );
    assert_eq!(
        look(
            &[seen(4, 12_500, 1)],
            Some(router_event(3, 9_000, ProcessEvent::Killed))
        ),
        ["CONFIG"],
        "another router"
    );
    assert_eq!(
        look(&[seen(4, 9_000, 3), seen(4, 9_400, 1)], None),
        ["CONFIG"]
    );
    let restarted = Some(router_event(4, 9_200, ProcessEvent::Started));
    assert_eq!(
        look(&[seen(4, 9_000, 3), seen(4, 9_400, 1)], restarted),
        NONE,
        "another life"
    );
}

#[test]
fn detects_two_winners_of_a_race() {
    let race = |reply| broken(|history| history.changes.push(configured(0, 1, 2, 5_010, reply)));
    assert_eq!(race(Reply::Acknowledged), ["CONFIG"]);
    assert_eq!(race(Reply::Refused(412)), NONE);
}

#[test]
fn detects_shared_fencing_token() {
    let order = |holder: &str, fencing_token| ReceivedOrder {
        backend: 1,
        at: 9_000,
        holder: holder.to_owned(),
        fencing_token,
    };
    assert_eq!(
        broken(|history| history.orders = vec![order("a", 1), order("b", 1)]),
        ["ONE"]
    );
    let later = |fencing_token, at| ReceivedOrder {
        at,
        ..order("b", fencing_token)
    };
    assert_eq!(
        broken(|history| history.orders = vec![order("a", 1), later(1, 20_000)]),
        ["ONE"]
    );
    assert_eq!(
        broken(|history| history.orders = vec![order("a", 1), later(2, 20_000)]),
        NONE
    );
}

#[test]
fn detects_overlapping_leases() {
    let order = |holder: &str, at: u64, fencing_token: u64| ReceivedOrder {
        backend: at,
        at,
        holder: holder.to_owned(),
        fencing_token,
    };
    let orders = |second: u64, third: u64| {
        move |history: &mut History| {
            history.orders = vec![
                order("a", 9_000, 1),
                order("b", second, 2),
                order("b", third, 3),
            ];
        }
    };
    assert_eq!(broken(orders(11_999, 12_500)), ["ONE"]);
    assert_eq!(
        broken(orders(12_000, 12_500)),
        NONE,
        "one router goes on under another token"
    );
    let thawed = |history: &mut History| {
        orders(11_999, 12_500)(history);
        history
            .router_events
            .push(router_event(1, 11_900, ProcessEvent::Resumed));
    };
    assert_eq!(
        broken(thawed),
        NONE,
        "it may have been on its way before its sender stood still"
    );
    let healed = |backend: u64| {
        move |history: &mut History| {
            orders(11_999, 12_500)(history);
            history.backends.push(BackendEvent {
                backend,
                at: 11_900,
                state: BackendState::Reachable,
            });
        }
    };
    assert_eq!(
        broken(healed(11_999)),
        NONE,
        "it may have been held up on its way"
    );
    assert_eq!(
        broken(healed(3)),
        ["ONE"],
        "the way to another backend has healed"
    );
}

#[test]
fn detects_regressed_weights() {
    let loads = |versions: &'static [(u64, u64)]| {
        broken(move |history| {
            history.backends.push(BackendEvent {
                backend: 7,
                at: 1_000,
                state: BackendState::Started { version: 2 },
            });
            let loaded = |(backend, version): &(u64, u64)| BackendEvent {
                backend: *backend,
                at: 2_000,
                state: BackendState::Loaded { version: *version },
            };
            history.backends.extend(versions.iter().map(loaded));
        })
    };
    assert_eq!(loads(&[(7, 3), (7, 5)]), NONE);
    assert_eq!(loads(&[(7, 3), (8, 2)]), NONE, "another backend");
    assert_eq!(loads(&[(7, 1)]), ["VERSION"]);
    assert_eq!(loads(&[(7, 4), (7, 3)]), ["VERSION"]);
}

/// A history of 40 s in which version 2 was acknowledged at 10 s, and a backend started with
/// version 1 before.
fn behind(states: &[(u64, BackendState)], events: &[RouterEvent]) -> Vec<&'static str> {
    broken(|history| {
        history.changes.push(named(2, 10_000));
        history.end.weights = vec![2; 2];
        history
            .requests
            .push(request(2, Kind::Unsafe, 39_950, 40_000, Outcome::Served));
        history.runs = vec![run(1, 2, 20_010, 20_040), run(2, 2, 39_960, 39_990)];
        let mut change = |at, state| {
            history.backends.push(BackendEvent {
                backend: 7,
                at,
                state,
            })
        };
        change(1_000, BackendState::Started { version: 1 });
        states.iter().for_each(|(at, what)| change(*at, *what));
        history.router_events.extend_from_slice(events);
    })
}

#[test]
fn detects_backend_without_newer_weights() {
    let loaded = BackendState::Loaded { version: 2 };
    assert_eq!(behind(&[(19_400, loaded)], &[]), NONE);
    assert_eq!(behind(&[(19_500, loaded)], &[]), ["VERSION"]);
    assert_eq!(behind(&[], &[]), ["VERSION"], "it never got it");
    assert_eq!(
        behind(&[(19_400, BackendState::Loaded { version: 3 })], &[]),
        NONE,
        "a newer one serves as well"
    );
    assert_eq!(
        behind(&[(19_000, BackendState::Stopping)], &[]),
        NONE,
        "it left before"
    );
    let hung = [
        (11_000, BackendState::Unresponsive),
        (15_000, BackendState::Responding),
        (26_000, loaded),
    ];
    assert_eq!(behind(&hung, &[]), NONE, "it answered nothing for a while");
    let cut = [
        (11_000, BackendState::Partitioned),
        (12_000, BackendState::Unresponsive),
        (12_500, BackendState::Responding),
        (15_000, BackendState::Reachable),
    ];
    let cut: Vec<(u64, BackendState)> = cut.into_iter().chain([(26_000, loaded)]).collect();
    assert_eq!(
        behind(&cut, &[]),
        NONE,
        "the way to it was cut, and within that time it answered nothing"
    );
    assert_eq!(
        behind(
            &[
                (11_000, BackendState::Partitioned),
                (12_000, BackendState::Reachable),
                (26_000, loaded)
            ],
            &[]
        ),
        ["VERSION"]
    );
}

#[test]
fn calm_time_between_faults_adds_up() {
    // Each 5.5 s a control machine is killed and starts again at once: 2.5 s of each are calm.
    let kills = |router: usize, every: u64| -> Vec<RouterEvent> {
        let at = (0..6).map(|number| 10_000 + number * every);
        at.flat_map(|at| {
            [
                router_event(router, at, ProcessEvent::Killed),
                router_event(router, at + 1, ProcessEvent::Started),
            ]
        })
        .collect()
    };
    let loaded = |at| [(at, BackendState::Loaded { version: 2 })];
    assert_eq!(behind(&loaded(30_000), &kills(0, 5_500)), NONE);
    assert_eq!(behind(&loaded(36_000), &kills(0, 5_500)), ["VERSION"]);
    assert_eq!(
        behind(&loaded(25_000), &kills(0, 4_500)),
        NONE,
        "stretches under two seconds don't count"
    );
    assert_eq!(
        behind(&loaded(30_000), &kills(4, 5_500)),
        ["VERSION"],
        "a router without the control state"
    );
    let away = [
        router_event(1, 10_000, ProcessEvent::Suspended),
        router_event(1, 36_000, ProcessEvent::Resumed),
    ];
    assert_eq!(
        behind(&loaded(40_000), &away),
        NONE,
        "one of them stood still"
    );
}

#[test]
fn detects_failed_and_late_exits() {
    let ends = |events: &[(u64, ProcessEvent)]| {
        let events = events
            .iter()
            .map(|(at, event)| router_event(3, *at, *event))
            .collect::<Vec<_>>();
        broken(|history| history.router_events.extend(events))
    };
    let (in_order, failed) = (
        ProcessEvent::Exited(Exit::Success),
        ProcessEvent::Exited(Exit::BySignal(9)),
    );
    assert_eq!(ends(&[(9_000, failed)]), ["FAULT"], "by itself");
    assert_eq!(ends(&[(30, failed)]), NONE, "it had hardly started");
    assert_eq!(
        ends(&[(9_000, ProcessEvent::Terminated), (11_000, in_order)]),
        NONE
    );
    assert_eq!(
        ends(&[(9_000, ProcessEvent::Terminated), (11_000, failed)]),
        ["FAULT"]
    );
    assert_eq!(
        ends(&[(9_000, ProcessEvent::Killed), (9_001, failed)]),
        NONE
    );
    assert_eq!(
        ends(&[
            (9_000, ProcessEvent::Terminated),
            (17_000, ProcessEvent::Killed),
            (17_001, failed)
        ]),
        ["FAULT"]
    );
    let was_suspended = [
        (9_000, ProcessEvent::Terminated),
        (9_100, ProcessEvent::Suspended),
        (17_000, ProcessEvent::Killed),
        (17_001, failed),
    ];
    assert_eq!(ends(&was_suspended), NONE);
    // The second process starts at 9 s, is stopped some time later, and told to end before it goes
    // on.
    let stopped_after = |ran: u64| {
        ends(&[
            (8_000, ProcessEvent::Killed),
            (8_001, failed),
            (9_000, ProcessEvent::Started),
            (9_000 + ran, ProcessEvent::Suspended),
            (11_000, ProcessEvent::Terminated),
            (12_000, ProcessEvent::Resumed),
            (12_001, failed),
        ])
    };
    assert_eq!(stopped_after(10), NONE, "it had hardly run");
    assert_eq!(stopped_after(100), ["FAULT"]);
}

#[test]
fn detects_incomplete_recovery() {
    assert_eq!(broken(|history| history.end.read_back = None), ["CONFIG"]);
    assert_eq!(broken(|history| history.end.read_back = Some(0)), ["LOST"]);
    assert_eq!(
        broken(|history| history.end.configurations[2] = 0),
        ["CONFIG"]
    );
    assert_eq!(
        broken(|history| history.changes.push(named(2, 15_000))),
        ["VERSION"]
    );
    assert_eq!(
        broken(|history| history.end.requests = (100, 94)),
        ["RECOVER"]
    );
    assert_eq!(broken(|history| history.end.requests = (0, 0)), ["RECOVER"]);
}
