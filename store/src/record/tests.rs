//! Tests of `record`.

use super::*;
use crate::command::{Change, Command};
use crate::log::{Entry, Position};
use proptest::prelude::*;

fn records() -> Vec<Record> {
    let change = Change {
        key: "members/m0".to_owned(),
        value: Some("ih-2".to_owned()),
    };
    let entries = Entries {
        after: Position { index: 3, term: 2 },
        entries: vec![Entry::Term(2), Entry::Command(Command::Put(change))],
    };
    let snapshot = Snapshot {
        position: Position { index: 3, term: 2 },
        ..Snapshot::default()
    };
    vec![
        Record::Cluster(7),
        Record::Start(1),
        Record::Snapshot(snapshot),
        Record::Term(2),
        Record::Vote(None),
        Record::Vote(Some(3)),
        Record::Append(entries),
        Record::Generation(2),
        Record::Peer(3, Peer::known(1, 4, 9)),
        Record::Joined,
        Record::Bootstrapping(false),
        Record::Lost,
    ]
}

fn file() -> (Vec<u8>, Vec<usize>) {
    let (mut bytes, mut ends) = (MAGIC.to_vec(), vec![MAGIC.len()]);
    for (at, record) in records().iter().enumerate() {
        bytes.extend(encode(record, at as u64 + 1));
        ends.push(bytes.len());
    }
    (bytes, ends)
}

#[test]
fn reads_torn_files_and_rejects_flipped_bits() {
    let (bytes, ends) = file();
    for cut in 0..=bytes.len() {
        let read = read(&bytes[..cut]).unwrap();
        let complete = ends
            .iter()
            .filter(|end| **end <= cut)
            .count()
            .saturating_sub(1);
        assert_eq!(read.records, records()[..complete], "cut at {cut}");
        let end = if cut < MAGIC.len() { 0 } else { ends[complete] };
        assert_eq!((read.valid_bytes, read.torn_bytes), (end, cut - end));
        // The same if the file system extended the file before it wrote the data.
        if cut >= MAGIC.len() && ends.contains(&cut) {
            let longer = [&bytes[..cut], &[0; 40]].concat();
            assert_eq!(
                super::read(&longer).map(|r| (r.valid_bytes, r.torn_bytes)),
                Ok((cut, 40))
            );
        }
    }
    for at in 0..bytes.len() * 8 {
        let mut flipped = bytes.clone();
        flipped[at / 8] ^= 1 << (at % 8);
        // The flip may turn the version into the previous one, which has the same records.
        if flipped.starts_with(PREVIOUS_MAGIC) {
            assert_eq!(read(&flipped).unwrap().records, records());
            continue;
        }
        let damage = read(&flipped).expect_err("a flipped bit must not pass for a torn tail");
        assert!(damage.offset <= at / 8, "bit {at}: {damage}");
    }
}

#[test]
fn rejects_missing_record_and_other_formats() {
    let (bytes, ends) = file();
    let without = [&bytes[..ends[2]], &bytes[ends[3]..]].concat();
    assert_eq!(
        read(&without).unwrap_err().to_string(),
        format!(
            "at byte {}: record 3: its header states record 4 of 10 bytes",
            ends[2]
        )
    );
    let mut future = bytes.clone();
    future[7] = 9;
    assert_eq!(
        read(&future).unwrap_err().to_string(),
        "at byte 0: format 9; this program reads format 3"
    );
    // Files of the previous format remain readable.
    let previous = [PREVIOUS_MAGIC, &bytes[8..]].concat();
    assert_eq!(read(&previous).unwrap().records, records());
    assert_eq!(
        read(b"something else").unwrap_err().to_string(),
        "at byte 0: not a store file"
    );
    assert_eq!(
        read_lines(b"{\"term\":2}\n{\"vote\":1}\n{\"te")
            .unwrap()
            .records,
        [Record::Term(2), Record::Vote(Some(1))]
    );
    assert_eq!(
        read_lines(b"{\"term\":2}\n{\"vot3\":1}\n")
            .unwrap_err()
            .to_string(),
        "at byte 11: line 2 is not a valid record"
    );
}

proptest! {
    #[test]
    fn reads_arbitrary_bytes_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200), at in 0usize..400) {
        let _ = (read(&bytes), read_lines(&bytes));
        let mut mixed = file().0;
        let at = at.min(mixed.len());
        mixed.splice(at..at, bytes);
        let _ = read(&mixed);
    }
}
