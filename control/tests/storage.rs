//! Recovery of stored records: torn writes are dropped, corruption is reported, and no synced
//! record is lost.

use assert_matches::assert_matches;
use control::changes::Change;
use control::state::{Position, Update};
use control::storage::{FORMAT, Record, Recovered, StorageError, decode, decode_snapshot, encode};

fn update(index: u64) -> Record {
    let change = Change::Weights {
        model: "m".into(),
        version: index + 1,
    };
    Record::Update(Update {
        position: Position { index, epoch: 1 },
        change,
    })
}

fn records() -> Vec<Record> {
    vec![
        Record::Disk {
            format: FORMAT,
            disk: 7,
        },
        update(1),
        update(2),
        update(3),
    ]
}

fn bytes(records: &[Record]) -> Vec<u8> {
    let mut bytes = Vec::new();
    records.iter().for_each(|record| encode(record, &mut bytes));
    bytes
}

#[test]
fn truncated_file_yields_its_complete_records() {
    let all = records();
    let complete_file = bytes(&all);
    let ends: Vec<usize> = (0..=all.len())
        .map(|count| bytes(&all[..count]).len())
        .collect();
    for length in 0..=complete_file.len() {
        let (found, valid_length) =
            decode(&complete_file[..length]).expect("a torn tail is not corruption");
        let count = ends.iter().rposition(|end| *end <= length).unwrap_or(0);
        assert_eq!(
            (found.len(), valid_length),
            (count, ends[count]),
            "truncated at {length}"
        );
        assert_eq!(found, all[..count]);
    }
}

#[test]
fn flipped_bit_never_yields_a_different_record() {
    let all = records();
    let complete_file = bytes(&all);
    let last = bytes(&all[..all.len() - 1]).len();
    for at in 0..last {
        let mut damaged = complete_file.clone();
        damaged[at] ^= 0x10;
        match decode(&damaged) {
            Err(StorageError::CorruptRecord { .. }) => {}
            Ok((found, _)) => assert!(
                all.starts_with(&found),
                "byte {at} yields a different record"
            ),
            Err(other) => panic!("byte {at}: {other}"),
        }
    }
}

#[test]
fn only_the_last_change_is_not_known_to_be_committed() {
    let recovered = Recovered::replay(records()).unwrap();
    assert_eq!(recovered.state.position.index, 2);
    assert_matches!(&recovered.tail, Some(tail) if tail.position.index == 3);
    let again = Recovered::replay(recovered.records()).unwrap();
    assert_eq!(again, recovered, "a snapshot contains the same state");
}

#[test]
fn errors_name_the_remedy() {
    let error = Recovered::replay([Record::Disk {
        format: FORMAT + 1,
        disk: 7,
    }])
    .unwrap_err();
    assert_eq!(
        error.to_string(),
        "the records are of format 4, this program reads up to 3: start the newer program again"
    );
    assert_matches!(
        Recovered::replay([update(1)]),
        Err(StorageError::MissingHeader)
    );
    assert!(
        StorageError::CorruptRecord { offset: 9 }
            .to_string()
            .contains("rejoins with an empty disk")
    );
}

/// A snapshot in format 2, written after three changes of which the last one was not known to be
/// committed.
const FORMAT_2: &[u8] = &[
    0x00, 0x00, 0x00, 0x03, 0x53, 0x13, 0x2e, 0x33, 0x00, 0x02, 0x07, // the disk
    0x00, 0x00, 0x00, 0x04, 0xae, 0x26, 0x48, 0x4b, 0x04, 0x00, 0x00, 0x00, // votes
    0x00, 0x00, 0x00, 0x11, 0x34, 0x38, 0x34, 0x12, 0x03, 0x02, 0x04, 0x00, 0x01, 0x01, 0x6d, 0x03,
    0x02, 0x00, 0x01, 0x03, 0x04, 0x01, 0x01, 0x6d, 0x04, // the state and the last change
];

#[test]
fn a_snapshot_of_format_2_is_read() {
    let recovered = Recovered::replay(decode_snapshot(FORMAT_2).unwrap()).unwrap();
    assert_eq!(recovered.disk, 7);
    assert_eq!(recovered.state.position, Position { index: 2, epoch: 4 });
    assert_eq!(recovered.state.weights["m"].version, 3);
    assert_eq!(
        recovered.state.rollout_owner, None,
        "format 2 has no rollout owner"
    );
    assert_matches!(&recovered.tail, Some(tail) if tail.position.index == 3);
    let mut again = Vec::new();
    recovered
        .records()
        .iter()
        .for_each(|record| encode(record, &mut again));
    let again = Recovered::replay(decode_snapshot(&again).unwrap()).unwrap();
    assert_eq!(
        again, recovered,
        "the state is unchanged by conversion to the current format"
    );
}
