//! Pins the lines of the audit trail with their hash chain, and the words of status and findings,
//! as written by the program before its types were renamed: trails on disk stay readable.

use versions::audit::Finding;
use versions::rollout::Missing;
use versions::standing::Standing;
use versions::trail::{Broken, Chain, Entry, Mark, read};

/// One entry of each kind.
fn entries() -> Vec<Entry> {
    let name = || "g1".to_owned();
    let marks = vec![
        Mark::Follows {
            trail: 77,
            segment: 2,
            hash: "00ff".to_owned(),
        },
        Mark::Began {
            name: name(),
            life: 9,
            wall: 1_700_000_000_123,
            validity: 10_000_000_000,
        },
        Mark::Proved {
            asked: 5,
            version: 12,
        },
        Mark::Runs {
            version: 12,
            keeper: true,
        },
        Mark::Stands {
            standing: Standing::Current,
        },
        Mark::Stands {
            standing: Standing::Behind,
        },
        Mark::Stands {
            standing: Standing::Straggler,
        },
        Mark::Stands {
            standing: Standing::Kept,
        },
        Mark::Stands {
            standing: Standing::ShutOut,
        },
        Mark::Acts {
            version: 12,
            class: "gold".to_owned(),
            outcome: "answered".to_owned(),
            taken: (6, 8),
            count: 3,
        },
        Mark::Called {
            version: 12,
            call: "drain".to_owned(),
        },
        Mark::Lost { count: 4 },
        Mark::Ended,
    ];
    let at = (0..).map(|n| n * 10);
    at.zip(marks).map(|(at, mark)| Entry { at, mark }).collect()
}

#[test]
fn audit_log_lines_are_unchanged() {
    let stored = include_str!("fixtures/audit.trail");
    let mut chain = Chain::default();
    let written: String = entries()
        .iter()
        .map(|entry| chain.line(entry) + "\n")
        .collect();
    assert_eq!(written, stored);
    assert_eq!(read(stored), (entries(), chain, None));
}

#[test]
fn status_words_are_unchanged() {
    let all = [
        Standing::Current,
        Standing::Behind,
        Standing::Straggler,
        Standing::Kept,
        Standing::ShutOut,
    ];
    assert_eq!(
        all.map(|standing| standing.to_string()),
        ["current", "behind", "straggler", "kept", "shut out"]
    );
}

#[test]
fn findings_are_unchanged() {
    let by = 3_000_000;
    let class = "gold".to_owned();
    let findings = [
        Finding::Beyond {
            version: 12,
            class,
            by,
            count: 2,
        },
        Finding::Kept {
            version: 12,
            by,
            count: 2,
        },
        Finding::NeverActive(12),
        Finding::WentBack(13, 12),
        Finding::CutOff { life: 9, after: by },
        Finding::Lost(4),
        Finding::Broken(Broken {
            line: 7,
            why: "it has no hash",
        }),
        Finding::NoTrail,
    ];
    let shown = findings.map(|finding| format!("{}: {finding}", finding.word()));
    let stored: Vec<&str> = include_str!("fixtures/findings.txt").lines().collect();
    assert_eq!(shown.to_vec(), stored);
}

#[test]
fn reasons_against_an_activation_are_unchanged() {
    let all = [
        Missing::Silent,
        Missing::Cannot("why".to_owned()),
        Missing::LeftOutTooLately(3_000_000),
        Missing::Keeper,
    ];
    assert_eq!(
        all.map(|why| why.to_string()),
        [
            "has not said that it can use this",
            "cannot use this: why",
            "was left out, and may act on the former version for 3 ms more",
            "goes on without a store, and so cannot be left out",
        ]
    );
}
