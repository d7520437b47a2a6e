//! Tests of the audit.

use super::segments::join;
use super::*;
use crate::audit_log::{Entry, HashChain, Record};
use crate::status::Status;

const MS: Time = 1_000_000;

fn entries(records: Vec<(u64, Record)>) -> Vec<Entry> {
    let started = Record::Started {
        name: "g".to_owned(),
        incarnation: 1,
        wall_ms: 50_000,
        validity: 1000 * MS,
    };
    let first = Entry {
        at: 10 * MS,
        record: started,
    };
    let rest = records.into_iter().map(|(at, record)| Entry {
        at: at * MS,
        record,
    });
    [first].into_iter().chain(rest).collect()
}

/// Nine queries that were accepted in this period, in milliseconds.
fn served(version: Version, first: u64, last: u64) -> Record {
    let (class, outcome) = ("page".to_owned(), "whole".to_owned());
    Record::Served {
        version,
        class,
        outcome,
        accepted: (first * MS, last * MS),
        count: 9,
    }
}

/// A confirmation by a query that was sent at this time, in milliseconds.
fn confirmed(queried_at: u64, version: Version) -> Record {
    Record::Confirmed {
        queried_at: queried_at * MS,
        version,
    }
}

/// The findings in a log with these records, where the store made versions 5 and 9 active.
fn findings(records: Vec<(u64, Record)>) -> Vec<Finding> {
    replay(&entries(records), None, &BTreeSet::from([5, 9])).findings
}

#[test]
fn reports_queries_after_the_validity() {
    let valid = vec![
        (20, confirmed(15, 5)),
        (900, confirmed(800, 5)),
        (1500, served(5, 20, 1700)),
    ];
    assert_eq!(findings(valid), []);
    // A straggler may serve under the former version until the validity of that one ends.
    let straggler = vec![
        (20, confirmed(15, 5)),
        (300, confirmed(300, 9)),
        (1100, served(5, 20, 1014)),
    ];
    assert_eq!(findings(straggler), []);
    let late = vec![
        (20, confirmed(15, 5)),
        (300, confirmed(300, 9)),
        (1100, served(5, 20, 1015)),
    ];
    let finding = Finding::ServedExpired {
        version: 5,
        class: "page".to_owned(),
        overrun: 0,
        count: 9,
    };
    assert_eq!(findings(late), [finding]);
    // After a switch the confirmation of the former version is valid for the new one.
    let switched_to = |version| Record::Switched {
        version,
        autonomous: false,
    };
    let switched = vec![
        (20, confirmed(15, 5)),
        (21, switched_to(5)),
        (300, switched_to(9)),
        (1100, served(9, 301, 1014)),
    ];
    assert_eq!(findings(switched), []);
    let unconfirmed = vec![(20, served(5, 20, 21))];
    assert_eq!(
        findings(unconfirmed)[0].is_violation(),
        Some(true),
        "the version was never confirmed"
    );
}

#[test]
fn autonomous_service_must_be_recorded() {
    let switched = Record::Switched {
        version: 5,
        autonomous: true,
    };
    let declared = Record::StatusChanged {
        status: Status::Autonomous,
    };
    let recorded = vec![
        (20, confirmed(15, 5)),
        (21, switched.clone()),
        (1020, declared),
        (2000, served(5, 20, 1990)),
    ];
    assert_eq!(
        findings(recorded),
        [Finding::ServedAutonomously {
            version: 5,
            overrun: 975 * MS,
            count: 9
        }]
    );
    let unrecorded = vec![
        (20, confirmed(15, 5)),
        (21, switched),
        (2000, served(5, 20, 1990)),
    ];
    assert_eq!(findings(unrecorded)[0].is_violation(), Some(true));
}

#[test]
fn tells_violations_from_unknowns() {
    assert_eq!(
        findings(vec![(20, confirmed(15, 7))]),
        [Finding::NeverActive(7)]
    );
    assert_eq!(
        findings(vec![(20, confirmed(15, 9)), (30, confirmed(25, 5))]),
        [Finding::Regressed { from: 9, to: 5 }]
    );
    let corruption = Corruption {
        line: 3,
        defect: Defect::Truncated,
    };
    let report = replay(&entries(vec![]), Some(corruption), &BTreeSet::new());
    assert_eq!(report.findings[0].is_violation(), None);
}

#[test]
fn detects_missing_segments_and_logs() {
    let mut segments = BTreeMap::new();
    let mut hash = String::new();
    for segment in 0..3 {
        let mut chain = HashChain::default();
        let record = Record::SegmentStarted {
            log: 77,
            segment,
            previous_hash: hash.clone(),
        };
        let first = Entry {
            at: segment,
            record,
        };
        let second = Entry {
            at: 10 + segment,
            record: served(5, 1, 2),
        };
        let text = chain.append(&first) + "\n" + &chain.append(&second) + "\n";
        hash = chain.hash;
        segments.insert(segment, text);
    }
    let digest = LogDigest {
        segment: 2,
        length: 2,
        hash,
    };
    let mut digests = BTreeMap::from([(77, digest)]);
    assert_eq!(join(&segments, &digests).1, None);
    let without = |removed: u64| {
        let mut remaining = segments.clone();
        remaining.remove(&removed);
        join(&remaining, &digests)
    };
    assert_eq!(without(0).1, None, "the oldest may have been deleted");
    assert_eq!(without(1).1.map(|corruption| corruption.line), Some(1));
    assert_eq!(without(2).1.unwrap().defect, Defect::SegmentsMissing);
    let mut truncated = segments.clone();
    truncated.insert(
        2,
        segments[&2]
            .split_inclusive('\n')
            .next()
            .unwrap()
            .to_owned(),
    );
    let (entries, corruption) = join(&truncated, &digests);
    assert_eq!(
        (entries.len(), corruption.unwrap().defect),
        (5, Defect::DigestMismatch)
    );
    assert_eq!(join(&BTreeMap::new(), &BTreeMap::new()), (vec![], None));
    let none = BTreeSet::new();
    assert_eq!(
        audit_gatherer(&[], None, &digests, &none).findings,
        [Finding::NoLog]
    );
    let log_missing = Finding::Corrupt(Corruption {
        line: 0,
        defect: Defect::LogMissing,
    });
    let audit =
        |logs: &[BTreeMap<u64, String>]| audit_gatherer(logs, Some(77), &digests, &none).findings;
    assert!(
        audit(&[BTreeMap::new()]).contains(&log_missing),
        "the whole log is missing"
    );
    // Log 78 is lost with its disk; or a copy of it is retained elsewhere.
    let mut chain = HashChain::default();
    let first_entry = Entry {
        at: 1,
        record: Record::SegmentStarted {
            log: 78,
            segment: 0,
            previous_hash: String::new(),
        },
    };
    let other = BTreeMap::from([(0, chain.append(&first_entry) + "\n")]);
    digests.insert(
        78,
        LogDigest {
            segment: 0,
            length: 1,
            hash: chain.hash,
        },
    );
    assert_eq!(
        audit_gatherer(&[segments.clone()], Some(77), &digests, &none)
            .findings
            .last(),
        Some(&log_missing)
    );
    let both = audit_gatherer(&[other, segments], Some(77), &digests, &none);
    assert!(
        !both.findings.contains(&log_missing) && both.spans.len() == 1,
        "{both:?}"
    );
    // The log ends without a last entry: in a retained copy that is a finding, in a fetched log the
    // incarnation is still running.
    let mut chain = HashChain::default();
    let started = Record::Started {
        name: "g".to_owned(),
        incarnation: 6,
        wall_ms: 0,
        validity: 1,
    };
    let text = [
        first_entry,
        Entry {
            at: 2,
            record: started,
        },
    ]
    .map(|entry| chain.append(&entry) + "\n")
    .concat();
    let single_log = [BTreeMap::from([(0, text)])];
    let digests = BTreeMap::from([(
        78,
        LogDigest {
            segment: 0,
            length: 2,
            hash: chain.hash,
        },
    )]);
    let end_missing = Finding::EndMissing {
        incarnation: 6,
        after: 0,
    };
    assert_eq!(
        audit_gatherer(&single_log, None, &digests, &none).findings,
        [end_missing]
    );
    assert_eq!(
        audit_gatherer(&single_log, Some(78), &digests, &none).findings,
        []
    );
}

#[test]
fn reports_lost_entries_and_operator_calls() {
    let started = |incarnation| Record::Started {
        name: "g".to_owned(),
        incarnation,
        wall_ms: 60_000,
        validity: 1000 * MS,
    };
    let call = Record::OperatorCall {
        version: 5,
        call: "exclude s-1".to_owned(),
    };
    let records = vec![
        (30, call),
        (700, started(2)),
        (710, Record::Stopped),
        (800, started(3)),
        (810, Record::EntriesLost { count: 4 }),
    ];
    let report = replay(&entries(records), None, &BTreeSet::new());
    // The end of the first incarnation is missing, the second one stopped, the third one is still
    // running.
    assert_eq!(
        report.findings,
        [
            Finding::EndMissing {
                incarnation: 1,
                after: 20 * MS
            },
            Finding::EntriesLost(4)
        ]
    );
    let labels: Vec<&str> = report.findings.iter().map(Finding::label).collect();
    assert_eq!(labels, ["gap", "NOT KNOWN"]);
    assert_eq!(report.calls[0].wall_ms, 50_020);
}

#[test]
fn reports_overlapping_versions() {
    let report = |records| replay(&entries(records), None, &BTreeSet::from([5, 9]));
    let early = report(vec![(20, confirmed(15, 9)), (600, served(9, 400, 590))]);
    let late = report(vec![
        (20, confirmed(15, 5)),
        (600, served(5, 20, 550)),
        (650, served(9, 560, 640)),
    ]);
    assert_eq!(late.spans.len(), 2);
    let reports = BTreeMap::from([("a".to_owned(), early), ("b".to_owned(), late)]);
    assert_eq!(
        overlaps(&reports),
        [Overlap {
            earlier: 5,
            later: 9,
            duration_ms: 150
        }]
    );
}
