//! Tests of the audit.

use super::segments::join;
use super::*;
use crate::audit_log::{Entry, HashChain, Record};
use crate::status::Status;

const MS: Time = 1_000_000;

fn entries(records: Vec<(u64, Record)>) -> Vec<Entry> {
    let began = Record::Started {
        name: "g".to_owned(),
        incarnation: 1,
        wall_ms: 50_000,
        validity: 1000 * MS,
    };
    let first = Entry {
        at: 10 * MS,
        record: began,
    };
    let rest = records.into_iter().map(|(at, record)| Entry {
        at: at * MS,
        record,
    });
    [first].into_iter().chain(rest).collect()
}

fn acts(version: Version, first: u64, last: u64) -> Record {
    let (class, outcome) = ("page".to_owned(), "whole".to_owned());
    Record::Served {
        version,
        class,
        outcome,
        accepted: (first * MS, last * MS),
        count: 9,
    }
}

fn proved(queried_at: u64, version: Version) -> Record {
    Record::Confirmed {
        queried_at: queried_at * MS,
        version,
    }
}

fn found(records: Vec<(u64, Record)>) -> Vec<Finding> {
    replay(&entries(records), None, &BTreeSet::from([5, 9])).findings
}

#[test]
fn reports_queries_after_the_validity() {
    let fine = vec![
        (20, proved(15, 5)),
        (900, proved(800, 5)),
        (1500, acts(5, 20, 1700)),
    ];
    assert_eq!(found(fine), []);
    // Told of the next version, it serves on under the former one until that one's validity is
    // over.
    let straggles = vec![
        (20, proved(15, 5)),
        (300, proved(300, 9)),
        (1100, acts(5, 20, 1014)),
    ];
    assert_eq!(found(straggles), []);
    let beyond = vec![
        (20, proved(15, 5)),
        (300, proved(300, 9)),
        (1100, acts(5, 20, 1015)),
    ];
    let finding = Finding::ServedExpired {
        version: 5,
        class: "page".to_owned(),
        overrun: 0,
        count: 9,
    };
    assert_eq!(found(beyond), [finding]);
    // It switches before it has asked again: what held of the former holds of this.
    let runs = |version| Record::Switched {
        version,
        autonomous: false,
    };
    let switches = vec![
        (20, proved(15, 5)),
        (21, runs(5)),
        (300, runs(9)),
        (1100, acts(9, 301, 1014)),
    ];
    assert_eq!(found(switches), []);
    let never = vec![(20, acts(5, 20, 21))];
    assert_eq!(
        found(never)[0].is_violation(),
        Some(true),
        "it was never told"
    );
}

#[test]
fn autonomous_service_must_be_recorded() {
    let runs = Record::Switched {
        version: 5,
        autonomous: true,
    };
    let kept = Record::StatusChanged {
        status: Status::Autonomous,
    };
    let go_on = vec![
        (20, proved(15, 5)),
        (21, runs.clone()),
        (1020, kept),
        (2000, acts(5, 20, 1990)),
    ];
    assert_eq!(
        found(go_on),
        [Finding::ServedAutonomously {
            version: 5,
            overrun: 975 * MS,
            count: 9
        }]
    );
    let silent = vec![(20, proved(15, 5)), (21, runs), (2000, acts(5, 20, 1990))];
    assert_eq!(found(silent)[0].is_violation(), Some(true));
}

#[test]
fn tells_violations_from_unknowns() {
    assert_eq!(found(vec![(20, proved(15, 7))]), [Finding::NeverActive(7)]);
    assert_eq!(
        found(vec![(20, proved(15, 9)), (30, proved(25, 5))]),
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
        let begins = Entry {
            at: segment,
            record,
        };
        let acts = Entry {
            at: 10 + segment,
            record: acts(5, 1, 2),
        };
        let text = chain.append(&begins) + "\n" + &chain.append(&acts) + "\n";
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
    let without = |gone: u64| {
        let mut left = segments.clone();
        left.remove(&gone);
        join(&left, &digests)
    };
    assert_eq!(without(0).1, None, "the oldest may have been let go");
    assert_eq!(without(1).1.map(|corruption| corruption.line), Some(1));
    assert_eq!(without(2).1.unwrap().defect, Defect::SegmentsMissing);
    let mut cut = segments.clone();
    cut.insert(
        2,
        segments[&2]
            .split_inclusive('\n')
            .next()
            .unwrap()
            .to_owned(),
    );
    let (held, corruption) = join(&cut, &digests);
    assert_eq!(
        (held.len(), corruption.unwrap().defect),
        (5, Defect::DigestMismatch)
    );
    assert_eq!(join(&BTreeMap::new(), &BTreeMap::new()), (vec![], None));
    let none = BTreeSet::new();
    assert_eq!(
        audit_gatherer(&[], None, &digests, &none).findings,
        [Finding::NoLog]
    );
    let gone = Finding::Corrupt(Corruption {
        line: 0,
        defect: Defect::LogMissing,
    });
    let found = |trails: &[BTreeMap<u64, String>]| {
        audit_gatherer(trails, Some(77), &digests, &none).findings
    };
    assert!(
        found(&[BTreeMap::new()]).contains(&gone),
        "all of it is gone"
    );
    // One that was lost with its disk, and one that was kept elsewhere.
    let mut chain = HashChain::default();
    let begins = Entry {
        at: 1,
        record: Record::SegmentStarted {
            log: 78,
            segment: 0,
            previous_hash: String::new(),
        },
    };
    let other = BTreeMap::from([(0, chain.append(&begins) + "\n")]);
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
        Some(&gone)
    );
    let both = audit_gatherer(&[other, segments], Some(77), &digests, &none);
    assert!(
        !both.findings.contains(&gone) && both.spans.len() == 1,
        "{both:?}"
    );
    // Kept from a life that nobody saw the end of; and from one that goes on.
    let mut chain = HashChain::default();
    let began = Record::Started {
        name: "g".to_owned(),
        incarnation: 6,
        wall_ms: 0,
        validity: 1,
    };
    let text = [
        begins,
        Entry {
            at: 2,
            record: began,
        },
    ]
    .map(|entry| chain.append(&entry) + "\n")
    .concat();
    let alone = [BTreeMap::from([(0, text)])];
    let digests = BTreeMap::from([(
        78,
        LogDigest {
            segment: 0,
            length: 2,
            hash: chain.hash,
        },
    )]);
    let cut_off = Finding::EndMissing {
        incarnation: 6,
        after: 0,
    };
    assert_eq!(
        audit_gatherer(&alone, None, &digests, &none).findings,
        [cut_off]
    );
    assert_eq!(
        audit_gatherer(&alone, Some(78), &digests, &none).findings,
        []
    );
}

#[test]
fn reports_lost_entries_and_operator_calls() {
    let began = |incarnation| Record::Started {
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
        (700, began(2)),
        (710, Record::Stopped),
        (800, began(3)),
        (810, Record::EntriesLost { count: 4 }),
    ];
    let report = replay(&entries(records), None, &BTreeSet::new());
    // The first life ended without a word, the second in order, the third goes on.
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
    let words: Vec<&str> = report.findings.iter().map(Finding::label).collect();
    assert_eq!(words, ["gap", "NOT KNOWN"]);
    assert_eq!(report.calls[0].wall_ms, 50_020);
}

#[test]
fn reports_overlapping_versions() {
    let of = |records| replay(&entries(records), None, &BTreeSet::from([5, 9]));
    let early = of(vec![(20, proved(15, 9)), (600, acts(9, 400, 590))]);
    let late = of(vec![
        (20, proved(15, 5)),
        (600, acts(5, 20, 550)),
        (650, acts(9, 560, 640)),
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
