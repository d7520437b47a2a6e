//! Pins the lines of the audit log with their hash chain, and the texts of statuses, findings,
//! blockers and defects. A difference in the lines means that logs on disk cannot be read.

use versions::audit::Finding;
use versions::audit_log::{Corruption, Defect, Entry, HashChain, Record, Segment};
use versions::rollout::Blocker;
use versions::status::Status;

/// One entry of each kind.
fn entries() -> Vec<Entry> {
    let name = || "g1".to_owned();
    let records = vec![
        Record::SegmentStarted {
            log: 77,
            segment: 2,
            previous_hash: "00ff".to_owned(),
        },
        Record::Started {
            name: name(),
            incarnation: 9,
            wall_ms: 1_700_000_000_123,
            validity: 10_000_000_000,
        },
        Record::Confirmed {
            queried_at: 5,
            version: 12,
        },
        Record::Switched {
            version: 12,
            autonomous: true,
        },
        Record::StatusChanged {
            status: Status::Current,
        },
        Record::StatusChanged {
            status: Status::Behind,
        },
        Record::StatusChanged {
            status: Status::Straggler,
        },
        Record::StatusChanged {
            status: Status::Autonomous,
        },
        Record::StatusChanged {
            status: Status::Suspended,
        },
        Record::Served {
            version: 12,
            class: "gold".to_owned(),
            outcome: "answered".to_owned(),
            accepted: (6, 8),
            count: 3,
        },
        Record::OperatorCall {
            version: 12,
            call: "drain".to_owned(),
        },
        Record::EntriesLost { count: 4 },
        Record::Stopped,
    ];
    let at = (0..).map(|n| n * 10);
    at.zip(records)
        .map(|(at, record)| Entry { at, record })
        .collect()
}

#[test]
fn audit_log_lines_are_unchanged() {
    let stored = include_str!("fixtures/audit.trail");
    let mut chain = HashChain::default();
    let written: String = entries()
        .iter()
        .map(|entry| chain.append(entry) + "\n")
        .collect();
    assert_eq!(written, stored);
    let read = Segment::read(stored);
    assert_eq!(
        (read.entries, read.chain, read.corruption),
        (entries(), chain, None)
    );
}

#[test]
fn status_words_are_unchanged() {
    let all = [
        Status::Current,
        Status::Behind,
        Status::Straggler,
        Status::Autonomous,
        Status::Suspended,
    ];
    assert_eq!(
        all.map(|status| status.to_string()),
        ["current", "behind", "straggler", "kept", "shut out"]
    );
}

#[test]
fn findings_are_unchanged() {
    let overrun = 3_000_000;
    let class = "gold".to_owned();
    let findings = [
        Finding::ServedExpired {
            version: 12,
            class,
            overrun,
            count: 2,
        },
        Finding::ServedAutonomously {
            version: 12,
            overrun,
            count: 2,
        },
        Finding::NeverActive(12),
        Finding::Regressed { from: 13, to: 12 },
        Finding::EndMissing {
            incarnation: 9,
            after: overrun,
        },
        Finding::EntriesLost(4),
        Finding::Corrupt(Corruption {
            line: 7,
            defect: Defect::NoHash,
        }),
        Finding::NoLog,
    ];
    let shown = findings.map(|finding| format!("{}: {finding}", finding.label()));
    let stored: Vec<&str> = include_str!("fixtures/findings.txt").lines().collect();
    assert_eq!(shown.to_vec(), stored);
}

#[test]
fn reasons_against_an_activation_are_unchanged() {
    let all = [
        Blocker::NoVote,
        Blocker::Objection("why".to_owned()),
        Blocker::StillValid(3_000_000),
        Blocker::Autonomous,
    ];
    assert_eq!(
        all.map(|blocker| blocker.to_string()),
        [
            "has not said that it can use this",
            "cannot use this: why",
            "was left out, and may act on the former version for 3 ms more",
            "goes on without a store, and so cannot be left out",
        ]
    );
}

#[test]
fn defects_are_unchanged() {
    let all = [
        Defect::Truncated,
        Defect::NoHash,
        Defect::HashMismatch,
        Defect::NoEntry,
        Defect::SegmentMismatch,
        Defect::DigestMismatch,
        Defect::SegmentsMissing,
        Defect::LogMissing,
    ];
    assert_eq!(
        all.map(|defect| defect.to_string()),
        [
            "it is cut short",
            "it has no hash",
            "it does not follow from those before it",
            "it makes no sense",
            "its segment does not follow from the one before it",
            "it is not what the store was told of it",
            "segments that the store was told of are missing",
            "an earlier trail that the store was told of is gone",
        ]
    );
}
