//! Tests of `keeping`.

use super::*;

#[test]
fn only_who_was_seen_silent_for_long_and_does_not_go_on_by_itself_is_gone() {
    let mut keeper = Keeper::default();
    let keepers = BTreeSet::from(["k".to_owned()]);
    keeper.sees([("a", 1), ("b", 2), ("k", 3)].into_iter(), 100);
    keeper.sees([("a", 1), ("b", 9), ("k", 3)].into_iter(), 150);
    let gone = |keeper: &Keeper, now| {
        keeper
            .gone(60, &keepers, now)
            .map(|(n, r)| (n.to_owned(), r))
            .collect::<Vec<_>>()
    };
    assert_eq!(gone(&keeper, 159), []);
    assert_eq!(gone(&keeper, 160), [("a".to_owned(), 1)]);
    assert_eq!(
        gone(&keeper, 210),
        [("a".to_owned(), 1), ("b".to_owned(), 9)]
    );
    assert_eq!(keeper.due(60), Some(160));
    // One that owns the work again begins to count anew.
    keeper.clear();
    keeper.sees([("a", 1)].into_iter(), 300);
    assert_eq!(gone(&keeper, 359), []);
}
