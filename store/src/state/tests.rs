//! Tests of `state`.

use super::*;
use crate::command::Check;
use proptest::prelude::*;

const CAPACITY: Capacity = Capacity {
    keys: 4,
    sessions: 2,
};

fn txn(
    session: u64,
    request: u64,
    checks: Vec<(&str, Expects)>,
    sets: Vec<(&str, Option<&str>)>,
) -> Command {
    let check = |(key, expects): (&str, Expects)| Check {
        key: key.to_owned(),
        expects,
    };
    let set = |(key, value): (&str, Option<&str>)| Change {
        key: key.to_owned(),
        value: value.map(str::to_owned),
    };
    let checks = checks.into_iter().map(check).collect();
    Command::Txn(Txn {
        session,
        request,
        checks,
        sets: sets.into_iter().map(set).collect(),
    })
}

fn outcome(state: &mut State, revision: u64, command: &Command) -> Outcome {
    match state.apply(revision, command, CAPACITY).1 {
        Some(Completion::Txn { outcome, .. }) => outcome,
        other => panic!("{other:?}"),
    }
}

#[test]
fn transactions_are_atomic() {
    let mut state = State::default();
    state.apply(1, &Command::Open(7), CAPACITY);
    let both = txn(
        1,
        1,
        vec![("a", Expects::Absent)],
        vec![("a", Some("1")), ("b", Some("1"))],
    );
    assert_eq!(outcome(&mut state, 2, &both), Outcome::Applied(2));
    let stale = txn(
        1,
        2,
        vec![("a", Expects::At(2)), ("b", Expects::Is("0".into()))],
        vec![("a", None)],
    );
    assert_eq!(
        outcome(&mut state, 3, &stale),
        Outcome::Rejected(Rejection::CheckFailed("b".to_owned(), Some(2)))
    );
    assert_eq!((state.get("a"), state.get("b")), (Some("1"), Some("1")));
    let many = vec![("c", Some("")), ("d", Some("")), ("e", Some(""))];
    assert_eq!(
        outcome(&mut state, 4, &txn(1, 3, vec![], many)),
        Outcome::Rejected(Rejection::Full)
    );
    assert_eq!(state.len(), 2);
    let removal = txn(1, 4, vec![("a", Expects::At(2))], vec![("a", None)]);
    assert_eq!(outcome(&mut state, 5, &removal), Outcome::Applied(5));
    assert_eq!(state.get("a"), None);
}

#[test]
fn applies_retries_once_and_rejects_evicted_sessions() {
    let mut state = State::default();
    state.apply(1, &Command::Open(7), CAPACITY);
    let one = txn(1, 1, vec![], vec![("a", Some("1"))]);
    assert_eq!(outcome(&mut state, 2, &one), Outcome::Applied(2));
    state.apply(
        3,
        &Command::Put(Change {
            key: "a".to_owned(),
            value: Some("2".to_owned()),
        }),
        CAPACITY,
    );
    assert_eq!(
        outcome(&mut state, 4, &one),
        Outcome::Applied(2),
        "a retry gets the outcome of the first attempt"
    );
    assert_eq!(state.get("a"), Some("2"));
    assert_eq!(
        outcome(&mut state, 5, &txn(1, 9, vec![], vec![])),
        Outcome::Applied(5)
    );
    assert_eq!(
        outcome(&mut state, 6, &one),
        Outcome::Rejected(Rejection::StaleRequest)
    );
    // Two more sessions exceed the limit: the least recently used one is evicted.
    state.apply(7, &Command::Open(8), CAPACITY);
    state.apply(8, &Command::Open(9), CAPACITY);
    assert_eq!(
        outcome(&mut state, 9, &one),
        Outcome::Rejected(Rejection::UnknownSession)
    );
    assert_eq!(State::read(&state.json(), 0), Some(state));
}

proptest! {
    /// For any sequence of commands, a state decoded from JSON continues like the original one.
    #[test]
    fn state_round_trips_through_json(
        steps in prop::collection::vec((0u8..4, 0u64..12, 0u64..4, 0u8..3), 0..60), cut in 0usize..60
    ) {
        let mut state = State::default();
        let mut other = state.clone();
        for (at, (kind, session, request, key)) in steps.into_iter().enumerate() {
            if at == cut {
                other = State::read(&other.json(), 0).expect("a valid state");
            }
            let (revision, key) = (at as u64 + 1, format!("k{key}"));
            let command = match kind {
                0 => Command::Open(session),
                1 => Command::Put(Change { key, value: Some(revision.to_string()) }),
                2 => txn(session, request, vec![(&key, Expects::Absent)], vec![(&key, Some("t"))]),
                _ => txn(session, request, vec![], vec![(&key, None)]),
            };
            let read = Command::read(&command.json()).expect("a valid command");
            prop_assert_eq!(&read, &command);
            prop_assert_eq!(state.apply(revision, &command, CAPACITY), other.apply(revision, &read, CAPACITY));
            prop_assert!(state.len() <= CAPACITY.keys && state.sessions.len() <= CAPACITY.sessions);
        }
        prop_assert_eq!(state, other);
    }
}
