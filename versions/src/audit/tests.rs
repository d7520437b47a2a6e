//! Tests of `audit`.

use super::*;
use crate::trail::Chain;

const MS: Time = 1_000_000;

fn entries(marks: Vec<(u64, Mark)>) -> Vec<Entry> {
    let began = Mark::Began {
        name: "g".to_owned(),
        life: 1,
        wall: 50_000,
        validity: 1000 * MS,
    };
    let first = Entry {
        at: 10 * MS,
        mark: began,
    };
    let rest = marks
        .into_iter()
        .map(|(at, mark)| Entry { at: at * MS, mark });
    [first].into_iter().chain(rest).collect()
}

fn acts(version: Version, first: u64, last: u64) -> Mark {
    let (class, outcome) = ("page".to_owned(), "whole".to_owned());
    Mark::Acts {
        version,
        class,
        outcome,
        taken: (first * MS, last * MS),
        count: 9,
    }
}

fn proved(asked: u64, version: Version) -> Mark {
    Mark::Proved {
        asked: asked * MS,
        version,
    }
}

fn found(marks: Vec<(u64, Mark)>) -> Vec<Finding> {
    judge(&entries(marks), None, &BTreeSet::from([5, 9])).findings
}

#[test]
fn acts_within_the_validity_are_fine_and_each_beyond_it_is_named() {
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
    let finding = Finding::Beyond {
        version: 5,
        class: "page".to_owned(),
        by: 0,
        count: 9,
    };
    assert_eq!(found(beyond), [finding]);
    // It switches before it has asked again: what held of the former holds of this.
    let runs = |version| Mark::Runs {
        version,
        keeper: false,
    };
    let switches = vec![
        (20, proved(15, 5)),
        (21, runs(5)),
        (300, runs(9)),
        (1100, acts(9, 301, 1014)),
    ];
    assert_eq!(found(switches), []);
    let never = vec![(20, acts(5, 20, 21))];
    assert_eq!(found(never)[0].is_wrong(), Some(true), "it was never told");
}

#[test]
fn one_that_goes_on_without_a_store_is_named_and_must_have_said_so() {
    let runs = Mark::Runs {
        version: 5,
        keeper: true,
    };
    let kept = Mark::Stands {
        standing: Standing::Kept,
    };
    let go_on = vec![
        (20, proved(15, 5)),
        (21, runs.clone()),
        (1020, kept),
        (2000, acts(5, 20, 1990)),
    ];
    assert_eq!(
        found(go_on),
        [Finding::Kept {
            version: 5,
            by: 975 * MS,
            count: 9
        }]
    );
    let silent = vec![(20, proved(15, 5)), (21, runs), (2000, acts(5, 20, 1990))];
    assert_eq!(found(silent)[0].is_wrong(), Some(true));
}

#[test]
fn what_the_store_never_said_is_a_lie_and_what_is_missing_is_not_known() {
    assert_eq!(found(vec![(20, proved(15, 7))]), [Finding::NeverActive(7)]);
    assert_eq!(
        found(vec![(20, proved(15, 9)), (30, proved(25, 5))]),
        [Finding::WentBack(9, 5)]
    );
    let broken = Broken {
        line: 3,
        why: "it is cut short",
    };
    let report = judge(&entries(vec![]), Some(broken), &BTreeSet::new());
    assert_eq!(report.findings[0].is_wrong(), None);
}

#[test]
fn segments_that_are_missing_and_trails_shorter_than_the_store_was_told_are_broken() {
    let mut segments = BTreeMap::new();
    let mut hash = String::new();
    for segment in 0..3 {
        let mut chain = Chain::default();
        let mark = Mark::Follows {
            trail: 77,
            segment,
            hash: hash.clone(),
        };
        let begins = Entry { at: segment, mark };
        let acts = Entry {
            at: 10 + segment,
            mark: acts(5, 1, 2),
        };
        let text = chain.line(&begins) + "\n" + &chain.line(&acts) + "\n";
        hash = chain.hash;
        segments.insert(segment, text);
    }
    let digest = Digest {
        segment: 2,
        length: 2,
        hash,
    };
    let mut told = BTreeMap::from([(77, digest)]);
    assert_eq!(join(&segments, &told).1, None);
    let without = |gone: u64| {
        let mut left = segments.clone();
        left.remove(&gone);
        join(&left, &told)
    };
    assert_eq!(without(0).1, None, "the oldest may have been let go");
    assert_eq!(without(1).1.map(|broken| broken.line), Some(1));
    assert_eq!(
        without(2).1.unwrap().why,
        "segments that the store was told of are missing"
    );
    let mut cut = segments.clone();
    cut.insert(
        2,
        segments[&2]
            .split_inclusive('\n')
            .next()
            .unwrap()
            .to_owned(),
    );
    let (held, broken) = join(&cut, &told);
    assert_eq!(
        (held.len(), broken.unwrap().why),
        (5, "it is not what the store was told of it")
    );
    assert_eq!(join(&BTreeMap::new(), &BTreeMap::new()), (vec![], None));
    let none = BTreeSet::new();
    assert_eq!(
        account(&[], None, &told, &none).findings,
        [Finding::NoTrail]
    );
    let gone = "an earlier trail that the store was told of is gone";
    let gone = Finding::Broken(Broken { line: 0, why: gone });
    let found = |trails: &[BTreeMap<u64, String>]| account(trails, Some(77), &told, &none).findings;
    assert!(
        found(&[BTreeMap::new()]).contains(&gone),
        "all of it is gone"
    );
    // One that was lost with its disk, and one that was kept elsewhere.
    let mut chain = Chain::default();
    let begins = Entry {
        at: 1,
        mark: Mark::Follows {
            trail: 78,
            segment: 0,
            hash: String::new(),
        },
    };
    let other = BTreeMap::from([(0, chain.line(&begins) + "\n")]);
    told.insert(
        78,
        Digest {
            segment: 0,
            length: 1,
            hash: chain.hash,
        },
    );
    assert_eq!(
        account(&[segments.clone()], Some(77), &told, &none)
            .findings
            .last(),
        Some(&gone)
    );
    let both = account(&[other, segments], Some(77), &told, &none);
    assert!(
        !both.findings.contains(&gone) && both.spans.len() == 1,
        "{both:?}"
    );
    // Kept from a life that nobody saw the end of; and from one that goes on.
    let mut chain = Chain::default();
    let began = Mark::Began {
        name: "g".to_owned(),
        life: 6,
        wall: 0,
        validity: 1,
    };
    let text = [begins, Entry { at: 2, mark: began }]
        .map(|entry| chain.line(&entry) + "\n")
        .concat();
    let alone = [BTreeMap::from([(0, text)])];
    let told = BTreeMap::from([(
        78,
        Digest {
            segment: 0,
            length: 2,
            hash: chain.hash,
        },
    )]);
    let cut_off = Finding::CutOff { life: 6, after: 0 };
    assert_eq!(account(&alone, None, &told, &none).findings, [cut_off]);
    assert_eq!(account(&alone, Some(78), &told, &none).findings, []);
}

#[test]
fn what_could_not_be_noted_and_calls_by_hand_are_told() {
    let began = |life| Mark::Began {
        name: "g".to_owned(),
        life,
        wall: 60_000,
        validity: 1000 * MS,
    };
    let call = Mark::Called {
        version: 5,
        call: "exclude s-1".to_owned(),
    };
    let marks = vec![
        (30, call),
        (700, began(2)),
        (710, Mark::Ended),
        (800, began(3)),
        (810, Mark::Lost { count: 4 }),
    ];
    let report = judge(&entries(marks), None, &BTreeSet::new());
    // The first life ended without a word, the second in order, the third goes on.
    assert_eq!(
        report.findings,
        [
            Finding::CutOff {
                life: 1,
                after: 20 * MS
            },
            Finding::Lost(4)
        ]
    );
    let words: Vec<&str> = report.findings.iter().map(Finding::word).collect();
    assert_eq!(words, ["gap", "NOT KNOWN"]);
    assert_eq!(report.calls[0].wall_ms, 50_020);
}

#[test]
fn versions_that_were_acted_on_at_one_time_are_told() {
    let of = |marks| judge(&entries(marks), None, &BTreeSet::from([5, 9]));
    let early = of(vec![(20, proved(15, 9)), (600, acts(9, 400, 590))]);
    let late = of(vec![
        (20, proved(15, 5)),
        (600, acts(5, 20, 550)),
        (650, acts(9, 560, 640)),
    ]);
    assert_eq!(late.spans.len(), 2);
    let reports = BTreeMap::from([("a".to_owned(), early), ("b".to_owned(), late)]);
    assert_eq!(overlaps(&reports), BTreeMap::from([((5, 9), 150)]));
}
