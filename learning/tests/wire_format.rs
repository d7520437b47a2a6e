//! Pins the bytes of snapshot files in both versions, and the names of files, steps and reasons. A
//! difference in the bytes means that releases of the program cannot read each other's files.

use ciborium::Value;
use learning::age::{Reason, SnapshotError};
use learning::atomic_write::{self, Step};
use learning::file;
use learning::snapshot::{ClassStats, Fleet, HostStats, Snapshot};
use std::sync::Arc;

const VERSION_1: &[u8] = include_bytes!("fixtures/learned-v1.bin");
const VERSION_2: &[u8] = include_bytes!("fixtures/learned-v2.bin");

fn snapshot() -> Snapshot {
    let host = |n: u64| HostStats {
        started: 7 * n,
        slowness: vec![1.5 * n as f32, 0.5],
        delay: 0.25,
        limit: 2.0,
        errors: 0.125,
        weight: 16.0,
        updated_at: 1_700_000_000_000,
    };
    let class = |name: &str| ClassStats {
        name: name.to_owned(),
        median: 8e6,
        p95: 3e7,
        least: 7e6,
        attempts: (9e6, 4e7),
        weight: 96.0,
    };
    Snapshot {
        fleet: Fleet {
            classes: vec!["search".to_owned(), "page".to_owned()],
            cells: 6,
            reach: 2,
        },
        taken_at: 1_700_000_000_500,
        classes: vec![class("search"), class("page")],
        hosts: (0..3)
            .map(|n| (Arc::from(format!("s-{n}")), host(n)))
            .collect(),
    }
}

#[test]
fn writes_and_reads_version_2() {
    assert_eq!(file::encode(&snapshot()).expect("a file"), VERSION_2);
    assert_eq!(file::decode(VERSION_2), Ok((snapshot(), 2)));
}

#[test]
fn writes_and_reads_version_1() {
    assert_eq!(file::encode_v1(&snapshot()).expect("a file"), VERSION_1);
    let (read, version) = file::decode(VERSION_1).expect("a file");
    assert_eq!((version, read.taken_at), (1, 1_700_000_000_000));
    assert_eq!(read.hosts["s-2"].slowness, [3.0, 0.5]);
    assert_eq!(read.classes[1].median, 8e6);
}

#[test]
fn file_and_step_names_stay() {
    assert_eq!(atomic_write::file_name(42), "learned.0000000000000042");
    assert_eq!(
        atomic_write::parse_generation("learned.0000000000000042"),
        Some(42)
    );
    assert_eq!(
        (atomic_write::TEMPORARY, atomic_write::LOCK),
        ("learned.tmp", "learned.lock")
    );
    let steps = [
        Step::Create,
        Step::Write,
        Step::SyncFile,
        Step::Rename,
        Step::SyncFolder,
        Step::Remove(1),
    ];
    let names = [
        "create",
        "write",
        "sync-file",
        "rename",
        "sync-folder",
        "remove",
    ];
    assert_eq!(steps.map(|step| step.name()), names);
}

#[test]
fn reason_names_are_stable() {
    for (reason, name) in [
        (Reason::NotListed, "not-listed"),
        (Reason::Restarted, "restarted"),
        (Reason::Negligible, "counts-for-nothing"),
        (Reason::CommonCause, "common-cause"),
        (Reason::Ordinary, "ordinary"),
    ] {
        let value = Value::serialized(&reason).expect("a value");
        assert_eq!(value, Value::from(name));
    }
    for (error, name) in [
        (SnapshotError::OtherFleet, "other-fleet"),
        (SnapshotError::UnknownAge, "unknown-age"),
    ] {
        let value = Value::serialized(&error).expect("a value");
        assert_eq!(value, Value::from(name));
    }
}
