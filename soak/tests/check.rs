//! Every rule is found broken in a history that breaks it, and in none that doesn't.

use soak::check::violations;
use soak::history::{
    Blow, Change, Changed, Ending, Final, History, Kind, OrderSeen, Outcome, Reply, Request, Run,
    Seen, Stage, Staged, Struck,
};

/// A fleet of five routers, three with the control state, that served one request.
fn sound() -> History {
    History {
        requests: vec![request(1, Kind::Unsafe, 20_000, 20_050, Outcome::Served)],
        runs: vec![run(1, 1, 20_010, 20_040)],
        struck: (0..5)
            .map(|router| Struck {
                router,
                at: 0,
                blow: Blow::Started,
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

fn configured(base: u64, version: u64, variant: u64, answered_at: u64, reply: Reply) -> Changed {
    let change = Change::Configuration {
        base,
        version,
        variant,
    };
    Changed {
        change,
        sent_at: answered_at - 10,
        answered_at,
        reply,
    }
}

fn named(version: u64, answered_at: u64) -> Changed {
    let change = Change::Weights(version);
    Changed {
        change,
        sent_at: answered_at - 10,
        answered_at,
        reply: Reply::Acknowledged,
    }
}

fn seen(router: usize, at: u64, configuration: u64) -> Seen {
    Seen {
        router,
        asked_at: at,
        answered_at: at + 5,
        configuration,
    }
}

fn struck(router: usize, at: u64, blow: Blow) -> Struck {
    Struck { router, at, blow }
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
fn a_sound_history_breaks_nothing() {
    assert_eq!(broken(|_| {}), NONE);
}

#[test]
fn answers_are_the_backend_s_and_whole() {
    let spoil =
        |history: &mut History| history.requests[0].outcome = Outcome::Spoiled("it has no seal");
    assert_eq!(broken(spoil), ["MIXED"]);
}

#[test]
fn what_may_run_once_runs_once() {
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
fn what_was_never_sent_reaches_no_backend() {
    assert_eq!(
        broken(|history| history.requests[0].outcome = Outcome::NotSent),
        ["UNASKED"]
    );
}

#[test]
fn a_refusal_promises_that_nothing_has_run() {
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
fn a_request_that_was_passed_on_is_answered_unless_its_process_was_killed() {
    let lost = |history: &mut History| history.requests[0].outcome = Outcome::BrokenOff;
    assert_eq!(broken(lost), ["LOST"]);
    let blows = [
        (Blow::Killed, true),
        (Blow::Stopped, true),
        (Blow::Terminated, false),
        (Blow::HungUp, false),
    ];
    for (blow, excuses) in blows {
        let rules = broken(|history| {
            lost(history);
            history.struck.push(struck(4, 20_020, blow));
        });
        assert_eq!(rules.is_empty(), excuses, "{blow:?}");
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
            history.backends.push(Staged {
                backend,
                at: 15_000,
                stage: Stage::Cut,
            });
            history.backends.push(Staged {
                backend,
                at: healed_at,
                stage: Stage::Healed,
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
fn a_connection_that_crosses_its_close_ends_soon() {
    let crossed = |took: u64| {
        broken(|history| {
            history.runs.clear();
            history.requests[0] =
                request(1, Kind::Unsafe, 20_000, 20_000 + took, Outcome::NoAnswer);
        })
    };
    assert_eq!(crossed(50), NONE);
    assert_eq!(crossed(700), ["LOST"]);
}

#[test]
fn backends_stop_for_clients_that_left() {
    let work_on = |count: u64, ended: Option<u64>| {
        broken(|history| {
            history.requests.clear();
            history.runs.clear();
            for id in 1..=count {
                history
                    .requests
                    .push(request(id, Kind::Safe, 20_000, 20_100, Outcome::Left));
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
fn left_behind_a_cut(arrived: u64, stages: &[(u64, Stage)]) -> Vec<&'static str> {
    broken(|history| {
        history.requests.clear();
        history.runs.clear();
        for id in 1..=4 {
            history
                .requests
                .push(request(id, Kind::Safe, 20_000, 20_100, Outcome::Left));
            history.runs.push(Run {
                ended_at: None,
                ..run(id, 1, arrived, 0)
            });
        }
        let staged = |(at, stage): &(u64, Stage)| Staged {
            backend: 1,
            at: *at,
            stage: *stage,
        };
        history.backends.extend(stages.iter().map(staged));
    })
}

#[test]
fn an_end_counts_once_the_way_lets_it_through_and_what_was_withdrawn_never_arrives() {
    let cut_then = [(20_050, Stage::Cut), (25_000, Stage::Healed)];
    assert_eq!(
        left_behind_a_cut(20_010, &cut_then),
        NONE,
        "the backend can't know"
    );
    assert_eq!(
        left_behind_a_cut(25_010, &cut_then),
        ["GONE"],
        "it arrived after all"
    );
    let cut_before = [(12_000, Stage::Cut), (15_000, Stage::Healed)];
    assert_eq!(left_behind_a_cut(20_010, &cut_before), ["GONE"]);
    let cut_after = [(21_500, Stage::Cut), (25_000, Stage::Healed)];
    assert_eq!(left_behind_a_cut(20_010, &cut_after), ["GONE"]);
}

#[test]
fn requests_begin_on_weights_that_are_not_too_old() {
    let begins = |at: u64, blow: Option<Struck>| {
        broken(|history| {
            history.changes.push(named(2, 10_000));
            history.end.weights = vec![2; 2];
            history.requests[0] = request(1, Kind::Unsafe, at - 20, at + 50, Outcome::Served);
            history.runs[0] = run(1, 1, at, at + 20);
            history.struck.extend(blow);
        })
    };
    assert_eq!(begins(16_300, None), NONE);
    assert_eq!(begins(16_500, None), ["VERSION"]);
    assert_eq!(
        begins(16_500, Some(struck(3, 12_000, Blow::HungUp))),
        ["VERSION"]
    );
    assert_eq!(
        begins(16_500, Some(struck(3, 12_000, Blow::Killed))),
        ["VERSION"],
        "another router's affair"
    );
    assert_eq!(
        begins(16_500, Some(struck(0, 12_000, Blow::Killed))),
        NONE,
        "the core was not stable"
    );
    assert_eq!(
        begins(16_500, Some(struck(4, 8_000, Blow::Killed))),
        NONE,
        "the router was out of touch"
    );
}

#[test]
fn a_router_in_touch_follows_and_never_goes_back() {
    let look = |looks: &[Seen], blow: Option<Struck>| {
        broken(|history| {
            history
                .changes
                .push(configured(1, 3, 2, 10_000, Reply::Acknowledged));
            history.end = Final {
                read_back: Some(3),
                configurations: vec![3; 5],
                ..history.end.clone()
            };
            history.seen.extend_from_slice(looks);
            history.struck.extend(blow);
        })
    };
    assert_eq!(look(&[seen(4, 12_300, 1)], None), NONE);
    assert_eq!(look(&[seen(4, 12_500, 1)], None), ["CONFIG"]);
    assert_eq!(
        look(&[seen(4, 12_500, 1)], Some(struck(0, 9_000, Blow::Killed))),
        NONE,
        "no stable core"
    );
    assert_eq!(
        look(&[seen(4, 12_500, 1)], Some(struck(3, 9_000, Blow::Killed))),
        ["CONFIG"],
        "another router"
    );
    assert_eq!(
        look(&[seen(4, 9_000, 3), seen(4, 9_400, 1)], None),
        ["CONFIG"]
    );
    let restarted = Some(struck(4, 9_200, Blow::Started));
    assert_eq!(
        look(&[seen(4, 9_000, 3), seen(4, 9_400, 1)], restarted),
        NONE,
        "another life"
    );
}

#[test]
fn of_two_operators_one_wins() {
    let race = |reply| broken(|history| history.changes.push(configured(0, 1, 2, 5_010, reply)));
    assert_eq!(race(Reply::Acknowledged), ["CONFIG"]);
    assert_eq!(race(Reply::Refused(412)), NONE);
}

#[test]
fn a_fencing_token_has_one_holder() {
    let order = |holder: &str, fence| OrderSeen {
        backend: 1,
        at: 9_000,
        holder: holder.to_owned(),
        fence,
    };
    assert_eq!(
        broken(|history| history.orders = vec![order("a", 1), order("b", 1)]),
        ["ONE"]
    );
    let later = |fence, at| OrderSeen {
        at,
        ..order("b", fence)
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
fn orders_of_two_routers_lie_a_lease_apart() {
    let order = |holder: &str, at: u64, fence: u64| OrderSeen {
        backend: at,
        at,
        holder: holder.to_owned(),
        fence,
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
        history.struck.push(struck(1, 11_900, Blow::Continued));
    };
    assert_eq!(
        broken(thawed),
        NONE,
        "it may have been on its way before its sender stood still"
    );
    let healed = |backend: u64| {
        move |history: &mut History| {
            orders(11_999, 12_500)(history);
            history.backends.push(Staged {
                backend,
                at: 11_900,
                stage: Stage::Healed,
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
fn no_backend_gets_older_weights_than_it_has() {
    let loads = |versions: &'static [(u64, u64)]| {
        broken(move |history| {
            history.backends.push(Staged {
                backend: 7,
                at: 1_000,
                stage: Stage::Started { version: 2 },
            });
            let loaded = |(backend, version): &(u64, u64)| Staged {
                backend: *backend,
                at: 2_000,
                stage: Stage::Loaded { version: *version },
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
fn behind(stages: &[(u64, Stage)], blows: &[Struck]) -> Vec<&'static str> {
    broken(|history| {
        history.changes.push(named(2, 10_000));
        history.end.weights = vec![2; 2];
        history
            .requests
            .push(request(2, Kind::Unsafe, 39_950, 40_000, Outcome::Served));
        history.runs = vec![run(1, 2, 20_010, 20_040), run(2, 2, 39_960, 39_990)];
        let mut stage = |at, stage| {
            history.backends.push(Staged {
                backend: 7,
                at,
                stage,
            })
        };
        stage(1_000, Stage::Started { version: 1 });
        stages.iter().for_each(|(at, what)| stage(*at, *what));
        history.struck.extend_from_slice(blows);
    })
}

#[test]
fn no_backend_is_left_behind_for_nine_calm_seconds_in_all() {
    let loaded = Stage::Loaded { version: 2 };
    assert_eq!(behind(&[(19_400, loaded)], &[]), NONE);
    assert_eq!(behind(&[(19_500, loaded)], &[]), ["VERSION"]);
    assert_eq!(behind(&[], &[]), ["VERSION"], "it never got it");
    assert_eq!(
        behind(&[(19_400, Stage::Loaded { version: 3 })], &[]),
        NONE,
        "a newer one serves as well"
    );
    assert_eq!(
        behind(&[(19_000, Stage::Leaving)], &[]),
        NONE,
        "it left before"
    );
    let hung = [
        (11_000, Stage::Hanging),
        (15_000, Stage::Answering),
        (26_000, loaded),
    ];
    assert_eq!(behind(&hung, &[]), NONE, "it answered nothing for a while");
    let cut = [
        (11_000, Stage::Cut),
        (12_000, Stage::Hanging),
        (12_500, Stage::Answering),
        (15_000, Stage::Healed),
    ];
    let cut: Vec<(u64, Stage)> = cut.into_iter().chain([(26_000, loaded)]).collect();
    assert_eq!(
        behind(&cut, &[]),
        NONE,
        "the way to it was cut, and within that time it answered nothing"
    );
    assert_eq!(
        behind(
            &[
                (11_000, Stage::Cut),
                (12_000, Stage::Healed),
                (26_000, loaded)
            ],
            &[]
        ),
        ["VERSION"]
    );
}

#[test]
fn calm_seconds_between_troubles_add_up() {
    // Each 5.5 s a control machine is killed and starts again at once: 2.5 s of each are calm.
    let kills = |router: usize, every: u64| -> Vec<Struck> {
        let at = (0..6).map(|number| 10_000 + number * every);
        at.flat_map(|at| {
            [
                struck(router, at, Blow::Killed),
                struck(router, at + 1, Blow::Started),
            ]
        })
        .collect()
    };
    let loaded = |at| [(at, Stage::Loaded { version: 2 })];
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
        struck(1, 10_000, Blow::Stopped),
        struck(1, 36_000, Blow::Continued),
    ];
    assert_eq!(
        behind(&loaded(40_000), &away),
        NONE,
        "one of them stood still"
    );
}

#[test]
fn processes_end_when_told_in_order_and_in_time() {
    let ends = |blows: &[(u64, Blow)]| {
        let blows = blows
            .iter()
            .map(|(at, blow)| struck(3, *at, *blow))
            .collect::<Vec<_>>();
        broken(|history| history.struck.extend(blows))
    };
    let (in_order, failed) = (
        Blow::Ended(Ending::InOrder),
        Blow::Ended(Ending::BySignal(9)),
    );
    assert_eq!(ends(&[(9_000, failed)]), ["FAULT"], "by itself");
    assert_eq!(ends(&[(30, failed)]), NONE, "it had hardly started");
    assert_eq!(ends(&[(9_000, Blow::Terminated), (11_000, in_order)]), NONE);
    assert_eq!(
        ends(&[(9_000, Blow::Terminated), (11_000, failed)]),
        ["FAULT"]
    );
    assert_eq!(ends(&[(9_000, Blow::Killed), (9_001, failed)]), NONE);
    assert_eq!(
        ends(&[
            (9_000, Blow::Terminated),
            (17_000, Blow::Killed),
            (17_001, failed)
        ]),
        ["FAULT"]
    );
    let stood_still = [
        (9_000, Blow::Terminated),
        (9_100, Blow::Stopped),
        (17_000, Blow::Killed),
        (17_001, failed),
    ];
    assert_eq!(ends(&stood_still), NONE);
    // The second process starts at 9 s, is stopped some time later, and told to end before it goes
    // on.
    let stopped_after = |ran: u64| {
        ends(&[
            (8_000, Blow::Killed),
            (8_001, failed),
            (9_000, Blow::Started),
            (9_000 + ran, Blow::Stopped),
            (11_000, Blow::Terminated),
            (12_000, Blow::Continued),
            (12_001, failed),
        ])
    };
    assert_eq!(stopped_after(10), NONE, "it had hardly run");
    assert_eq!(stopped_after(100), ["FAULT"]);
}

#[test]
fn in_the_end_everything_acknowledged_is_there_and_clients_are_served() {
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
