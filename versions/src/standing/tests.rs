//! Tests of `standing`.

use super::*;

const S: Time = 1_000_000_000;

fn account(keeper: bool) -> Account {
    Account::new(
        Terms {
            validity: 8 * S,
            steady: 3 * S,
        },
        5,
        keeper,
        100 * S,
    )
}

/// Asks and is answered at once.
fn renew(account: &mut Account, active: Version, now: Time) {
    account.ask_at = now;
    assert!(account.asks(now));
    account.answered(active, now);
}

fn way(account: &mut Account) -> Vec<Standing> {
    account
        .take_changes()
        .iter()
        .map(|change| change.to)
        .collect()
}

#[test]
fn without_answers_it_goes_through_all_standings_by_its_own_clock_and_stops() {
    let mut one = account(false);
    assert!(!one.may_act(100 * S), "what it starts with may be old");
    renew(&mut one, 5, 101 * S);
    assert_eq!(
        (one.standing(), one.may_act(101 * S)),
        (Standing::Current, true)
    );
    assert!(one.asks(102 * S));
    for at in 1020..1110 {
        one.settle(at * S / 10);
    }
    assert_eq!(
        way(&mut one),
        [
            Standing::Current,
            Standing::Behind,
            Standing::Straggler,
            Standing::ShutOut
        ]
    );
    // Counted from when it had asked; and also where nothing has looked since, as in a process
    // that stood still.
    let mut slept = account(false);
    renew(&mut slept, 5, 101 * S);
    assert!(slept.may_act(109 * S - 1) && !slept.may_act(109 * S));
    assert_eq!(
        slept.standing(),
        Standing::Current,
        "it has not been looked at"
    );
}

#[test]
fn an_answer_counts_from_its_question_and_a_very_late_one_not_at_all() {
    let mut one = account(false);
    assert!(
        one.asks(100 * S) && !one.asks(100 * S),
        "one question at a time"
    );
    one.answered(5, 106 * S);
    assert_eq!(
        (one.valid_until(), one.standing()),
        (Some(108 * S), Standing::Straggler)
    );
    assert!(one.asks(106 * S));
    one.answered(5, 115 * S);
    assert_eq!(one.valid_until(), Some(108 * S));
    one.answered(5, 115 * S);
    assert_eq!(
        one.valid_until(),
        Some(108 * S),
        "an answer that nobody asked for"
    );
}

#[test]
fn one_that_was_shut_out_comes_back_only_once_answers_have_come_for_long_enough() {
    let mut one = account(false);
    renew(&mut one, 5, 100 * S);
    one.settle(108 * S);
    assert_eq!(one.standing(), Standing::ShutOut);
    // A link that is whole for a moment every few seconds.
    for round in 0..20 {
        renew(&mut one, 5, (110 + 5 * round) * S);
        assert_eq!(one.standing(), Standing::ShutOut, "round {round}");
        one.settle((114 + 5 * round) * S + 1);
    }
    for second in 0..4 {
        renew(&mut one, 5, (300 + second) * S);
    }
    assert_eq!(one.standing(), Standing::Current);
    let swings = one.take_changes().len();
    assert_eq!(swings, 3, "in, out and in again");
}

#[test]
fn one_that_runs_another_version_than_is_active_is_a_straggler_until_it_switches() {
    let mut one = account(false);
    renew(&mut one, 5, 100 * S);
    renew(&mut one, 9, 101 * S);
    assert_eq!(
        (one.standing(), one.may_act(101 * S)),
        (Standing::Straggler, true)
    );
    // Told again and again of what it does not run, it renews nothing by that.
    let mut cannot = one.clone();
    (102..108).for_each(|second| renew(&mut cannot, 9, second * S));
    assert!(cannot.may_act(108 * S - 1) && !cannot.may_act(108 * S));
    // One that switches as the store's news come, before it has asked again, is not shut out
    // for that.
    let mut quick = account(false);
    renew(&mut quick, 5, 100 * S);
    quick.switched(9, false, 101 * S);
    assert_eq!(
        (quick.may_act(108 * S - 1), quick.may_act(108 * S)),
        (true, false)
    );
    assert_ne!(quick.standing(), Standing::ShutOut);
    one.switched(9, true, 102 * S);
    assert_eq!(one.standing(), Standing::Current);
    // It is a keeper now: its validity ends, and it goes on.
    one.settle(109 * S);
    assert_eq!(
        (one.standing(), one.may_act(200 * S)),
        (Standing::Kept, true)
    );
    one.hold(true, 110 * S);
    assert!(!one.may_act(110 * S), "an operator's word goes before");
}

#[test]
fn a_keeper_that_starts_without_a_store_waits_its_validity_and_then_serves() {
    let mut one = account(true);
    one.settle(107 * S);
    assert!(!one.may_act(107 * S));
    one.settle(108 * S);
    assert_eq!(
        (one.standing(), one.may_act(108 * S)),
        (Standing::Kept, true)
    );
    let mut other = account(false);
    other.settle(500 * S);
    assert!(!other.may_act(500 * S));
}

#[test]
fn questions_without_answers_come_ever_later_but_never_past_a_gap() {
    let (mut one, mut now, mut asked) = (account(false), 100 * S, Vec::new());
    while now < 160 * S {
        if one.asks(now) {
            asked.push(now);
            one.unanswered(now + S / 100);
        }
        now += S / 100;
    }
    let waits: Vec<Time> = asked.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(
        waits[0] < S / 4 && waits.windows(2).all(|pair| pair[0] <= pair[1]),
        "{waits:?}"
    );
    assert!(
        waits
            .last()
            .is_some_and(|wait| (2 * S..2 * S + S / 10).contains(wait)),
        "{waits:?}"
    );
}
