//! Tests of `persisted`.

use super::*;
use crate::state::State;

/// A restored backup gets an era above all former ones, also if the backup is restored twice, or
/// after the store has continued.
#[test]
fn new_store_has_a_later_era_than_file_and_clock() {
    let era_after = |before: u64, clock: u64| {
        let mut state = State::default();
        state.begin_era(before);
        let position = Position { index: 9, term: 3 };
        let snapshot = Snapshot {
            position,
            state,
            ..Snapshot::default()
        };
        let persisted = PersistedState::from_records(vec![Record::Snapshot(snapshot)]);
        let records = persisted.into_new_store(7, &BTreeSet::from([1]), clock);
        let Some(Record::Snapshot(snapshot)) = records.get(1) else {
            panic!("{records:?}")
        };
        assert_eq!(snapshot.position.index, 9, "indexes continue");
        snapshot.state.era()
    };
    assert_eq!(
        (era_after(5, 0), era_after(5, 4), era_after(5, 1_000)),
        (6, 6, 1_000)
    );
    // On a second restore of the same backup only the clock tells the eras apart.
    assert!(era_after(5, 1_001) > era_after(5, 1_000));
}
