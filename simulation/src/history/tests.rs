//! Tests of the consistency check.

use super::*;

fn replicas(values: [u64; 2]) -> BTreeMap<usize, BTreeMap<String, u64>> {
    (0..2)
        .zip(values)
        .map(|(process, value)| (process, BTreeMap::from([("k".to_owned(), value)])))
        .collect()
}

fn history_of(reads: &[(usize, SessionId, u64)]) -> History {
    let mut history = History::default();
    history.record_write("k", 9);
    reads
        .iter()
        .for_each(|(process, session, value)| history.record_read(*process, *session, "k", *value));
    history
}

#[test]
fn detects_each_kind_of_violation() {
    // Only reads of one session from one process have to be monotonic.
    let consistent = [(0, 1, 4), (1, 2, 3), (0, 3, 3), (0, 3, 9)];
    assert_eq!(history_of(&consistent).check(&replicas([9, 9])), []);
    let key = || "k".to_owned();
    assert_eq!(
        history_of(&[(0, 1, 4), (0, 1, 3)]).check(&replicas([9, 9])),
        [Violation::Regressed {
            process: 0,
            key: key(),
            values: (4, 3)
        }]
    );
    assert_eq!(
        history_of(&[(0, 1, 10)]).check(&replicas([9, 9])),
        [Violation::Unwritten {
            process: 0,
            key: key(),
            value: 10
        }]
    );
    assert_eq!(
        history_of(&[(0, 1, 4)]).check(&replicas([4, 3])),
        [
            Violation::Lost {
                process: 1,
                key: key(),
                values: (4, Some(3))
            },
            Violation::Diverged { key: key() }
        ]
    );
}
