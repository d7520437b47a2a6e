//! Each rule detects histories that violate it, and accepts others.

use soak::check::violations;
use soak::history::{
    BackendEvent, BackendState, Change, ChangeRecord, Execution, Exit, FinalState, History, Kind,
    Outcome, Policy, ProcessEvent, ReceivedOrder, Reply, Request, RouterEvent, StatusRecord,
    Tenant,
};

/// The history of five routers, of which three have a replica of the control state, with one served
/// request and no violations.
fn valid_history() -> History {
    History {
        requests: vec![request(1, Kind::Unsafe, 20_000, 20_050, Outcome::Served)],
        executions: vec![execution(1, 1, 20_010, 20_040)],
        router_events: (0..5)
            .map(|router| RouterEvent {
                router,
                at: 0,
                event: ProcessEvent::Started,
            })
            .collect(),
        changes: vec![configuration_change(0, 1, 1, 5_000, Reply::Acknowledged)],
        final_state: FinalState {
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
        tenant: Tenant::First,
        router: 4,
        sent_at,
        ended_at,
        outcome,
    }
}

fn execution(request: u64, version: u64, started_at: u64, ended_at: u64) -> Execution {
    Execution {
        request,
        backend: 1,
        version,
        arrived_at: started_at,
        started_at: Some(started_at),
        ended_at: Some(ended_at),
        backend_crashed: false,
        reused_from: Vec::new(),
    }
}

fn configuration_change(
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
        policy: Policy::Relaxed,
    };
    ChangeRecord {
        change,
        sent_at: answered_at - 10,
        answered_at,
        reply,
    }
}

fn weights_change(version: u64, answered_at: u64) -> ChangeRecord {
    let change = Change::Weights(version);
    ChangeRecord {
        change,
        sent_at: answered_at - 10,
        answered_at,
        reply: Reply::Acknowledged,
    }
}

fn status(router: usize, at: u64, configuration: u64) -> StatusRecord {
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

/// The rules that a valid history violates after a change.
fn violated(change: impl FnOnce(&mut History)) -> Vec<&'static str> {
    let mut history = valid_history();
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
fn accepts_valid_history() {
    assert_eq!(violated(|_| {}), NONE);
}

#[test]
fn detects_corrupted_responses() {
    let corrupt =
        |history: &mut History| history.requests[0].outcome = Outcome::Corrupted("it has no seal");
    assert_eq!(violated(corrupt), ["MIXED"]);
}

#[test]
fn detects_repeated_execution() {
    let repeat = |history: &mut History| history.executions.push(execution(1, 1, 20_020, 20_030));
    assert_eq!(violated(repeat), ["TWICE"]);
    assert_eq!(
        violated(|history| {
            repeat(history);
            history.requests[0].kind = Kind::Safe;
        }),
        NONE
    );
    assert_eq!(
        violated(|history| {
            repeat(history);
            history.executions[1].started_at = None;
        }),
        NONE,
        "the second backend did not start the execution"
    );
}

#[test]
fn detects_execution_of_unsent_request() {
    assert_eq!(
        violated(|history| history.requests[0].outcome = Outcome::NotSent),
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
            violated(|history| history.requests[0].outcome = Outcome::Status(status)),
            expected
        );
    }
}

#[test]
fn detects_lost_requests() {
    let truncate = |history: &mut History| history.requests[0].outcome = Outcome::Truncated;
    assert_eq!(violated(truncate), ["LOST"]);
    let events = [
        (ProcessEvent::Killed, true),
        (ProcessEvent::Suspended, true),
        (ProcessEvent::Terminated, false),
        (ProcessEvent::Reloaded, false),
    ];
    for (event, is_accepted) in events {
        let rules = violated(|history| {
            truncate(history);
            history.router_events.push(router_event(4, 20_020, event));
        });
        assert_eq!(rules.is_empty(), is_accepted, "{event:?}");
    }
    let by_backend_crash = |history: &mut History| {
        truncate(history);
        history.executions[0].backend_crashed = true;
    };
    assert_eq!(violated(by_backend_crash), NONE);
    let truncated_after = |took: u64| {
        violated(move |history| {
            truncate(history);
            history.requests[0].ended_at = history.requests[0].sent_at + took;
        })
    };
    assert_eq!(
        truncated_after(2_981),
        NONE,
        "the route's time-out has expired"
    );
    assert_eq!(truncated_after(2_900), ["LOST"]);
    let during_partition = |backend: u64, ends_at: u64| {
        violated(|history| {
            truncate(history);
            history.backends.push(BackendEvent {
                backend,
                at: 15_000,
                state: BackendState::Partitioned,
            });
            history.backends.push(BackendEvent {
                backend,
                at: ends_at,
                state: BackendState::Reachable,
            });
        })
    };
    assert_eq!(
        during_partition(1, 20_020),
        NONE,
        "the link to its backend was partitioned"
    );
    assert_eq!(
        during_partition(1, 19_990),
        ["LOST"],
        "the partition ended before the request"
    );
    assert_eq!(
        during_partition(2, 20_020),
        ["LOST"],
        "the link to another backend was partitioned"
    );
}

#[test]
fn detects_late_close_without_response() {
    let closed_after = |took: u64| {
        violated(|history| {
            history.executions.clear();
            history.requests[0] =
                request(1, Kind::Unsafe, 20_000, 20_000 + took, Outcome::NoResponse);
        })
    };
    assert_eq!(closed_after(50), NONE);
    assert_eq!(closed_after(700), ["LOST"]);
}

#[test]
fn detects_work_on_cancelled_requests() {
    let cancelled = |count: u64, ended_at: Option<u64>| {
        violated(|history| {
            history.requests.clear();
            history.executions.clear();
            for id in 1..=count {
                history
                    .requests
                    .push(request(id, Kind::Safe, 20_000, 20_100, Outcome::Cancelled));
                history.executions.push(Execution {
                    ended_at,
                    ..execution(id, 1, 20_010, 0)
                });
            }
        })
    };
    assert_eq!(cancelled(4, Some(20_900)), NONE);
    assert_eq!(cancelled(4, Some(21_200)), ["GONE"; 1]);
    assert_eq!(cancelled(4, None), ["GONE"; 1]);
    assert_eq!(
        cancelled(3, None),
        NONE,
        "three late cancellations are tolerated"
    );
}

/// The violated rules after four requests were cancelled at 20.1 s and reached a backend at
/// `arrived`, with a partition of the link to the backend in `states`.
fn cancelled_behind_partition(arrived: u64, states: &[(u64, BackendState)]) -> Vec<&'static str> {
    violated(|history| {
        history.requests.clear();
        history.executions.clear();
        for id in 1..=4 {
            history
                .requests
                .push(request(id, Kind::Safe, 20_000, 20_100, Outcome::Cancelled));
            history.executions.push(Execution {
                ended_at: None,
                ..execution(id, 1, arrived, 0)
            });
        }
        let to_event = |(at, state): &(u64, BackendState)| BackendEvent {
            backend: 1,
            at: *at,
            state: *state,
        };
        history.backends.extend(states.iter().map(to_event));
    })
}

#[test]
fn tolerates_late_cancellation_only_during_partition() {
    let partition_during = [
        (20_050, BackendState::Partitioned),
        (25_000, BackendState::Reachable),
    ];
    assert_eq!(
        cancelled_behind_partition(20_010, &partition_during),
        NONE,
        "the cancellation cannot reach the backend"
    );
    assert_eq!(
        cancelled_behind_partition(25_010, &partition_during),
        ["GONE"],
        "a request that was cancelled long before arrives"
    );
    let partition_before = [
        (12_000, BackendState::Partitioned),
        (15_000, BackendState::Reachable),
    ];
    assert_eq!(
        cancelled_behind_partition(20_010, &partition_before),
        ["GONE"]
    );
    let partition_after = [
        (21_500, BackendState::Partitioned),
        (25_000, BackendState::Reachable),
    ];
    assert_eq!(
        cancelled_behind_partition(20_010, &partition_after),
        ["GONE"]
    );
}

#[test]
fn detects_outdated_weights() {
    let starts = |at: u64, event: Option<RouterEvent>| {
        violated(|history| {
            history.changes.push(weights_change(2, 10_000));
            history.final_state.weights = vec![2; 2];
            history.requests[0] = request(1, Kind::Unsafe, at - 20, at + 50, Outcome::Served);
            history.executions[0] = execution(1, 1, at, at + 20);
            history.router_events.extend(event);
        })
    };
    assert_eq!(starts(16_300, None), NONE);
    assert_eq!(starts(16_500, None), ["VERSION"]);
    assert_eq!(
        starts(
            16_500,
            Some(router_event(3, 12_000, ProcessEvent::Reloaded))
        ),
        ["VERSION"]
    );
    assert_eq!(
        starts(16_500, Some(router_event(3, 12_000, ProcessEvent::Killed))),
        ["VERSION"],
        "a fault of an unrelated router"
    );
    assert_eq!(
        starts(16_500, Some(router_event(0, 12_000, ProcessEvent::Killed))),
        NONE,
        "a replica of the control state had a fault"
    );
    assert_eq!(
        starts(16_500, Some(router_event(4, 8_000, ProcessEvent::Killed))),
        NONE,
        "the router had a fault shortly before"
    );
}

#[test]
fn detects_stale_and_regressed_configurations() {
    let poll = |statuses: &[StatusRecord], event: Option<RouterEvent>| {
        violated(|history| {
            history
                .changes
                .push(configuration_change(1, 3, 2, 10_000, Reply::Acknowledged));
            history.final_state = FinalState {
                read_back: Some(3),
                configurations: vec![3; 5],
                ..history.final_state.clone()
            };
            history.statuses.extend_from_slice(statuses);
            history.router_events.extend(event);
        })
    };
    assert_eq!(poll(&[status(4, 12_300, 1)], None), NONE);
    assert_eq!(poll(&[status(4, 12_500, 1)], None), ["CONFIG"]);
    assert_eq!(
        poll(
            &[status(4, 12_500, 1)],
            Some(router_event(0, 9_000, ProcessEvent::Killed))
        ),
        NONE,
        "a replica of the control state had a fault"
    );
    assert_eq!(
        poll(
            &[status(4, 12_500, 1)],
            Some(router_event(3, 9_000, ProcessEvent::Killed))
        ),
        ["CONFIG"],
        "a fault of an unrelated router"
    );
    assert_eq!(
        poll(&[status(4, 9_000, 3), status(4, 9_400, 1)], None),
        ["CONFIG"]
    );
    let restarted = Some(router_event(4, 9_200, ProcessEvent::Started));
    assert_eq!(
        poll(&[status(4, 9_000, 3), status(4, 9_400, 1)], restarted),
        NONE,
        "the process has restarted"
    );
}

#[test]
fn detects_two_winners_of_a_race() {
    let race = |reply| {
        violated(|history| {
            history
                .changes
                .push(configuration_change(0, 1, 2, 5_010, reply))
        })
    };
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
        violated(|history| history.orders = vec![order("a", 1), order("b", 1)]),
        ["ONE"]
    );
    let later = |fencing_token, at| ReceivedOrder {
        at,
        ..order("b", fencing_token)
    };
    assert_eq!(
        violated(|history| history.orders = vec![order("a", 1), later(1, 20_000)]),
        ["ONE"]
    );
    assert_eq!(
        violated(|history| history.orders = vec![order("a", 1), later(2, 20_000)]),
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
    assert_eq!(violated(orders(11_999, 12_500)), ["ONE"]);
    assert_eq!(
        violated(orders(12_000, 12_500)),
        NONE,
        "the same holder continues with a new token"
    );
    let resumed = |history: &mut History| {
        orders(11_999, 12_500)(history);
        history
            .router_events
            .push(router_event(1, 11_900, ProcessEvent::Resumed));
    };
    assert_eq!(
        violated(resumed),
        NONE,
        "the order may have been sent before the router was suspended"
    );
    let reachable_again = |backend: u64| {
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
        violated(reachable_again(11_999)),
        NONE,
        "the order may have been held back by the partition"
    );
    assert_eq!(
        violated(reachable_again(3)),
        ["ONE"],
        "the partition was of another link"
    );
}

#[test]
fn detects_regressed_weights() {
    let loads = |versions: &'static [(u64, u64)]| {
        violated(move |history| {
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

/// The violated rules of a history of 40 s in which version 2 of the weights was acknowledged at
/// 10 s, with a backend that had started with version 1.
fn violated_by_update(states: &[(u64, BackendState)], events: &[RouterEvent]) -> Vec<&'static str> {
    violated(|history| {
        history.changes.push(weights_change(2, 10_000));
        history.final_state.weights = vec![2; 2];
        history
            .requests
            .push(request(2, Kind::Unsafe, 39_950, 40_000, Outcome::Served));
        history.executions = vec![
            execution(1, 2, 20_010, 20_040),
            execution(2, 2, 39_960, 39_990),
        ];
        let mut change = |at, state| {
            history.backends.push(BackendEvent {
                backend: 7,
                at,
                state,
            })
        };
        change(1_000, BackendState::Started { version: 1 });
        states.iter().for_each(|(at, state)| change(*at, *state));
        history.router_events.extend_from_slice(events);
    })
}

#[test]
fn detects_backend_without_newer_weights() {
    let loaded = BackendState::Loaded { version: 2 };
    assert_eq!(violated_by_update(&[(19_400, loaded)], &[]), NONE);
    assert_eq!(violated_by_update(&[(19_500, loaded)], &[]), ["VERSION"]);
    assert_eq!(
        violated_by_update(&[], &[]),
        ["VERSION"],
        "the backend never loaded the version"
    );
    assert_eq!(
        violated_by_update(&[(19_400, BackendState::Loaded { version: 3 })], &[]),
        NONE,
        "a newer version is sufficient"
    );
    assert_eq!(
        violated_by_update(&[(19_000, BackendState::Stopping)], &[]),
        NONE,
        "the backend stopped in time"
    );
    let unresponsive = [
        (11_000, BackendState::Unresponsive),
        (15_000, BackendState::Responding),
        (26_000, loaded),
    ];
    assert_eq!(
        violated_by_update(&unresponsive, &[]),
        NONE,
        "the backend was unresponsive for a while"
    );
    let partitioned = [
        (11_000, BackendState::Partitioned),
        (12_000, BackendState::Unresponsive),
        (12_500, BackendState::Responding),
        (15_000, BackendState::Reachable),
    ];
    let partitioned: Vec<(u64, BackendState)> =
        partitioned.into_iter().chain([(26_000, loaded)]).collect();
    assert_eq!(
        violated_by_update(&partitioned, &[]),
        NONE,
        "the link was partitioned, and the backend unresponsive for part of that time"
    );
    assert_eq!(
        violated_by_update(
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
fn sums_fault_free_time_between_faults() {
    // A router is killed at an interval and restarts at once. The first 3 s of each interval count
    // as faulty, so that 2.5 s of 5.5 s are free of faults.
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
    assert_eq!(violated_by_update(&loaded(30_000), &kills(0, 5_500)), NONE);
    assert_eq!(
        violated_by_update(&loaded(36_000), &kills(0, 5_500)),
        ["VERSION"]
    );
    assert_eq!(
        violated_by_update(&loaded(25_000), &kills(0, 4_500)),
        NONE,
        "fault-free stretches under two seconds do not count"
    );
    assert_eq!(
        violated_by_update(&loaded(30_000), &kills(4, 5_500)),
        ["VERSION"],
        "a router without a replica of the control state"
    );
    let suspended = [
        router_event(1, 10_000, ProcessEvent::Suspended),
        router_event(1, 36_000, ProcessEvent::Resumed),
    ];
    assert_eq!(
        violated_by_update(&loaded(40_000), &suspended),
        NONE,
        "a replica of the control state was suspended"
    );
}

#[test]
fn detects_failed_and_late_exits() {
    let with_events = |events: &[(u64, ProcessEvent)]| {
        let events = events
            .iter()
            .map(|(at, event)| router_event(3, *at, *event))
            .collect::<Vec<_>>();
        violated(|history| history.router_events.extend(events))
    };
    let (succeeded, failed) = (
        ProcessEvent::Exited(Exit::Success),
        ProcessEvent::Exited(Exit::Signaled(9)),
    );
    assert_eq!(
        with_events(&[(9_000, failed)]),
        ["FAULT"],
        "exit without a signal"
    );
    assert_eq!(with_events(&[(30, failed)]), NONE, "exit during startup");
    assert_eq!(
        with_events(&[(9_000, ProcessEvent::Terminated), (11_000, succeeded)]),
        NONE
    );
    assert_eq!(
        with_events(&[(9_000, ProcessEvent::Terminated), (11_000, failed)]),
        ["FAULT"]
    );
    assert_eq!(
        with_events(&[(9_000, ProcessEvent::Killed), (9_001, failed)]),
        NONE
    );
    assert_eq!(
        with_events(&[
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
    assert_eq!(with_events(&was_suspended), NONE);
    // The second process starts at 9 s, is suspended `ran` ms later, and gets SIGTERM before it is
    // resumed.
    let suspended_after = |ran: u64| {
        with_events(&[
            (8_000, ProcessEvent::Killed),
            (8_001, failed),
            (9_000, ProcessEvent::Started),
            (9_000 + ran, ProcessEvent::Suspended),
            (11_000, ProcessEvent::Terminated),
            (12_000, ProcessEvent::Resumed),
            (12_001, failed),
        ])
    };
    assert_eq!(suspended_after(10), NONE, "suspended during startup");
    assert_eq!(suspended_after(100), ["FAULT"]);
}

#[test]
fn detects_incomplete_recovery() {
    assert_eq!(
        violated(|history| history.final_state.read_back = None),
        ["CONFIG"]
    );
    assert_eq!(
        violated(|history| history.final_state.read_back = Some(0)),
        ["LOST"]
    );
    assert_eq!(
        violated(|history| history.final_state.configurations[2] = 0),
        ["CONFIG"]
    );
    assert_eq!(
        violated(|history| history.changes.push(weights_change(2, 15_000))),
        ["VERSION"]
    );
    assert_eq!(
        violated(|history| history.final_state.requests = (100, 94)),
        ["RECOVER"]
    );
    assert_eq!(
        violated(|history| history.final_state.requests = (0, 0)),
        ["RECOVER"]
    );
}

/// The violations of a valid history whose backend's withdrawal was acknowledged at a time.
fn violated_by_withdrawal_at(at: u64, events: &[RouterEvent]) -> Vec<&'static str> {
    violated(|history| {
        history.backends.push(BackendEvent {
            backend: 1,
            at,
            state: BackendState::Withdrawn,
        });
        history.router_events.extend_from_slice(events);
    })
}

#[test]
fn detects_requests_to_withdrawn_backend() {
    // The request of the valid history arrives at 20,010 ms.
    assert_eq!(violated_by_withdrawal_at(10_000, &[]), ["DRAIN"]);
    assert_eq!(violated_by_withdrawal_at(17_600, &[]), ["DRAIN"]);
    assert_eq!(violated_by_withdrawal_at(18_000, &[]), NONE, "in time");
    assert_eq!(
        violated_by_withdrawal_at(20_500, &[]),
        NONE,
        "not yet withdrawn"
    );
    let other = |history: &mut History| {
        history.backends.push(BackendEvent {
            backend: 2,
            at: 10_000,
            state: BackendState::Withdrawn,
        });
    };
    assert_eq!(violated(other), NONE, "another backend");
    let killed = |router, at| {
        [
            router_event(router, at, ProcessEvent::Killed),
            router_event(router, at + 1, ProcessEvent::Exited(Exit::Signaled(9))),
            router_event(router, at + 500, ProcessEvent::Started),
        ]
    };
    assert_eq!(
        violated_by_withdrawal_at(10_000, &killed(0, 18_000)),
        NONE,
        "a replica returned less than the reconnection time before"
    );
    assert_eq!(
        violated_by_withdrawal_at(10_000, &killed(0, 10_001)),
        ["DRAIN"]
    );
    assert_eq!(
        violated_by_withdrawal_at(10_000, &killed(3, 18_000)),
        ["DRAIN"]
    );
}

/// Adds a strict configuration that is acknowledged at this time.
fn add_strict_configuration(history: &mut History, acknowledged_at: u64) {
    let mut record = configuration_change(1, 2, 2, acknowledged_at, Reply::Acknowledged);
    let Change::Configuration { policy, .. } = &mut record.change else {
        unreachable!()
    };
    *policy = Policy::Strict;
    history.changes.push(record);
    history.final_state.read_back = Some(2);
    history.final_state.configurations = vec![2; 5];
}

#[test]
fn detects_repeated_execution_that_the_configuration_forbids() {
    let repeat_after = |acknowledged_at| {
        violated(|history| {
            add_strict_configuration(history, acknowledged_at);
            history.requests[0].kind = Kind::Configured;
            history.executions.push(execution(1, 1, 20_020, 20_030));
        })
    };
    assert_eq!(repeat_after(17_999), ["TWICE"]);
    assert_eq!(repeat_after(18_000), NONE, "the one before may be in force");
}

#[test]
fn accepts_repeated_execution_if_an_unanswered_configuration_permits_it() {
    let repeat = |history: &mut History| {
        add_strict_configuration(history, 10_000);
        let unanswered = configuration_change(2, 3, 3, 12_000, Reply::Unknown);
        history.changes.push(unanswered);
        history.requests[0].kind = Kind::Configured;
        history.executions.push(execution(1, 1, 20_020, 20_030));
    };
    assert_eq!(violated(repeat), NONE);
}

#[test]
fn detects_segments_that_are_shared_with_isolated_tenant() {
    let share = |user: Tenant, maker: Tenant, acknowledged_at| {
        violated(|history| {
            add_strict_configuration(history, acknowledged_at);
            history.requests[0].tenant = user;
            let mut made = request(2, Kind::Safe, 19_900, 19_990, Outcome::Served);
            made.tenant = maker;
            history.requests.push(made);
            history.executions[0].reused_from = vec![2];
        })
    };
    let (first, second) = (Tenant::First, Tenant::Second);
    assert_eq!(share(second, first, 10_000), ["WALL"]);
    assert_eq!(share(first, second, 10_000), ["WALL"]);
    assert_eq!(share(second, second, 10_000), NONE);
    assert_eq!(share(second, first, 19_000), NONE, "not isolated for sure");
}
