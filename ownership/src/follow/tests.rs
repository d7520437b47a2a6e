//! Tests of `follow`.

use super::*;

const S: Time = 1_000_000_000;

fn token(revision: u64) -> Token {
    Token { era: 1, revision }
}

fn follower() -> Follower {
    Follower::new(
        Bounds {
            old: 4 * S,
            step: S / 2,
        },
        10 * S,
    )
}

#[test]
fn a_list_is_followed_while_its_owner_finds_discovery_in_order_and_then_by_turns() {
    let mut one = follower();
    one.takes_turn(3);
    assert_eq!(one.published(token(5), 8), Ok(()));
    // Renewed, but nothing heard of discovery: a sign of the owner's life, and no more.
    one.signed(token(5), 0, 12 * S);
    assert_eq!((one.is_fresh(13 * S), one.is_fresh(14 * S)), (true, false));
    one.signed(token(5), 1, 13 * S);
    one.signed(token(5), 1, 16 * S);
    assert!(
        one.is_fresh(17 * S - 1) && !one.is_fresh(17 * S),
        "the same word again says nothing"
    );
    assert_eq!((one.asks(18 * S), one.asks(18 * S + S / 2)), (false, true));
    one.signed(token(5), 2, 19 * S);
    assert!(!one.asks(19 * S), "it goes back to following");
}

#[test]
fn what_an_owner_of_before_publishes_is_refused_and_counted() {
    let mut one = follower();
    assert_eq!(one.published(token(9), 3), Ok(()));
    assert_eq!(one.published(token(5), 4), Err(Refused::OldToken));
    assert_eq!(one.published(token(9), 3), Err(Refused::NotNewer));
    one.signed(token(12), 1, 11 * S);
    assert_eq!(
        one.published(token(9), 9),
        Err(Refused::OldToken),
        "the next one was heard of by its renewal"
    );
    one.signed(token(9), 7, 20 * S);
    assert!(!one.is_fresh(15 * S), "nor does it count as a sign of life");
    assert_eq!((one.published(token(12), 1), one.refused()), (Ok(()), 2));
    // A store that was begun anew: its tokens are higher whatever its revisions.
    let later = Token {
        era: 2,
        revision: 1,
    };
    assert_eq!(one.published(later, 1), Ok(()));
    assert_eq!(one.published(token(99), 99), Err(Refused::OldToken));
}
