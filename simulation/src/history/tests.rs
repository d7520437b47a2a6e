//! Tests of `history`.

use super::*;

fn held(values: [u64; 2]) -> BTreeMap<usize, BTreeMap<String, u64>> {
    (0..2)
        .zip(values)
        .map(|(at, value)| (at, BTreeMap::from([("k".to_owned(), value)])))
        .collect()
}

fn seen(shows: &[(usize, Look, u64)]) -> History {
    let mut history = History::default();
    history.writes("k", 9);
    shows
        .iter()
        .for_each(|(process, look, value)| history.shows(*process, *look, "k", *value));
    history
}

#[test]
fn each_kind_of_wrong_is_seen_and_what_may_be_seen_is_not() {
    // Another process, or another look, may be behind.
    let fine = [(0, 1, 4), (1, 2, 3), (0, 3, 3), (0, 3, 9)];
    assert_eq!(seen(&fine).judge(&held([9, 9])), []);
    let key = || "k".to_owned();
    assert_eq!(
        seen(&[(0, 1, 4), (0, 1, 3)]).judge(&held([9, 9])),
        [Wrong::WentBack {
            process: 0,
            key: key(),
            values: (4, 3)
        }]
    );
    assert_eq!(
        seen(&[(0, 1, 10)]).judge(&held([9, 9])),
        [Wrong::Invented {
            process: 0,
            key: key(),
            value: 10
        }]
    );
    assert_eq!(
        seen(&[(0, 1, 4)]).judge(&held([4, 3])),
        [
            Wrong::Lost {
                process: 1,
                key: key(),
                values: (4, Some(3))
            },
            Wrong::Differ { key: key() }
        ]
    );
}
