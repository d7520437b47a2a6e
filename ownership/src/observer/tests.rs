//! Tests of the observer.

use super::*;

const S: Time = 1_000_000_000;

fn token(revision: u64) -> Token {
    Token { era: 1, revision }
}

fn observer() -> Observer {
    Observer::new(
        Config {
            max_age: 4 * S,
            stagger: S / 2,
        },
        10 * S,
    )
}

#[test]
fn follows_fresh_list_then_polls_by_rank() {
    let mut observer = observer();
    observer.set_rank(3);
    assert_eq!(observer.observe_publication(token(5), 8), Ok(()));
    // The owner is alive, but has not reached the discovery service: the list is not refreshed.
    observer.observe_renewal(token(5), 0, 12 * S);
    assert_eq!(
        (observer.is_fresh(13 * S), observer.is_fresh(14 * S)),
        (true, false)
    );
    observer.observe_renewal(token(5), 1, 13 * S);
    observer.observe_renewal(token(5), 1, 16 * S);
    assert!(
        observer.is_fresh(17 * S - 1) && !observer.is_fresh(17 * S),
        "an unchanged count does not refresh the list"
    );
    assert_eq!(
        (
            observer.should_poll(18 * S),
            observer.should_poll(18 * S + S / 2)
        ),
        (false, true)
    );
    observer.observe_renewal(token(5), 2, 19 * S);
    assert!(!observer.should_poll(19 * S), "a fresh list ends polling");
}

#[test]
fn rejects_and_counts_stale_publications() {
    let mut observer = observer();
    assert_eq!(observer.observe_publication(token(9), 3), Ok(()));
    assert_eq!(
        observer.observe_publication(token(5), 4),
        Err(Rejected::StaleToken)
    );
    assert_eq!(
        observer.observe_publication(token(9), 3),
        Err(Rejected::NotNewer)
    );
    observer.observe_renewal(token(12), 1, 11 * S);
    assert_eq!(
        observer.observe_publication(token(9), 9),
        Err(Rejected::StaleToken),
        "a renewal raised the token"
    );
    observer.observe_renewal(token(9), 7, 20 * S);
    assert!(
        !observer.is_fresh(15 * S),
        "a stale renewal does not refresh the list"
    );
    assert_eq!(
        (
            observer.observe_publication(token(12), 1),
            observer.rejected()
        ),
        (Ok(()), 2)
    );
    // After a restore of the store tokens are higher, whatever their revisions.
    let later = Token {
        era: 2,
        revision: 1,
    };
    assert_eq!(observer.observe_publication(later, 1), Ok(()));
    assert_eq!(
        observer.observe_publication(token(99), 99),
        Err(Rejected::StaleToken)
    );
}
