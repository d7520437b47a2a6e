//! Tests of the audit log.

use super::*;

fn sample_log() -> (Vec<Entry>, String) {
    let records = [
        Record::Started {
            name: "g1".to_owned(),
            incarnation: 7,
            wall_ms: 1,
            validity: 8,
        },
        Record::Switched {
            version: 5,
            autonomous: true,
        },
        Record::Confirmed {
            queried_at: 3,
            version: 5,
        },
        Record::StatusChanged {
            status: Status::Autonomous,
        },
        Record::OperatorCall {
            version: 5,
            call: "exclude s-1".to_owned(),
        },
        Record::EntriesLost { count: 4 },
        Record::Stopped,
    ];
    let mut entries: Vec<Entry> = records
        .into_iter()
        .zip(10..)
        .map(|(record, at)| Entry { at, record })
        .collect();
    let mut counter = ServedCounter::default();
    [12, 19, 14]
        .into_iter()
        .for_each(|accepted_at| counter.record(5, "page", "whole", accepted_at));
    counter.record(4, "page", "whole", 2);
    entries.extend(counter.drain(20));
    assert_eq!(counter.drain(21), []);
    let mut chain = HashChain::default();
    let text = entries.iter().fold(String::new(), |text, entry| {
        text + &chain.append(entry) + "\n"
    });
    (entries, text)
}

#[test]
fn detects_truncation_and_alteration() {
    let (entries, text) = sample_log();
    let segment = Segment::read(&text);
    assert_eq!(
        (&segment.entries, segment.chain.length, segment.corruption),
        (&entries, 9, None)
    );
    let Record::Served {
        accepted, count, ..
    } = &entries[8].record
    else {
        panic!("{entries:?}")
    };
    assert_eq!((*accepted, *count), ((12, 19), 3));
    // If any byte is altered, the lines before it are read, and none from there on.
    for at in 0..text.len() {
        let mut altered = text.clone().into_bytes();
        altered[at] = if altered[at] == b'0' { b'1' } else { b'0' };
        let altered = String::from_utf8(altered).unwrap();
        let line = text[..at].matches('\n').count();
        let segment = Segment::read(&altered);
        assert_eq!(segment.entries, entries[..line], "byte {at}");
        let corruption = segment.corruption.expect("it is detected");
        assert_eq!(corruption.line, line + 1, "byte {at}");
    }
    // A line is missing, or the end is truncated.
    let lines: Vec<&str> = text.split_inclusive('\n').collect();
    let without: String = lines[..3].iter().chain(&lines[4..]).copied().collect();
    assert_eq!(
        Segment::read(&without).corruption,
        Some(Corruption {
            line: 4,
            defect: Defect::HashMismatch
        })
    );
    let truncated = &text[..text.len() - 3];
    assert_eq!(
        Segment::read(truncated).corruption.unwrap().defect,
        Defect::Truncated
    );
}
