//! Pins the bytes of learned files in both versions. The fixtures were written by the program
//! before its names changed.

use learning::file;
use learning::picture::{ClassMemory, Fleet, HostMemory, Picture};
use learning::steps::{self, Step};
use std::sync::Arc;

const VERSION_1: &[u8] = include_bytes!("fixtures/learned-v1.bin");
const VERSION_2: &[u8] = include_bytes!("fixtures/learned-v2.bin");

fn picture() -> Picture {
    let host = |n: u64| HostMemory {
        born: 7 * n,
        slowness: vec![1.5 * n as f32, 0.5],
        delay: 0.25,
        limit: 2.0,
        errors: 0.125,
        weight: 16.0,
        judged: 1_700_000_000_000,
    };
    let class = |name: &str| ClassMemory {
        name: name.to_owned(),
        median: 8e6,
        p95: 3e7,
        least: 7e6,
        tries: (9e6, 4e7),
        weight: 96.0,
    };
    Picture {
        fleet: Fleet {
            classes: vec!["search".to_owned(), "page".to_owned()],
            cells: 6,
            reach: 2,
        },
        taken: 1_700_000_000_500,
        classes: vec![class("search"), class("page")],
        hosts: (0..3)
            .map(|n| (Arc::from(format!("s-{n}")), host(n)))
            .collect(),
    }
}

#[test]
fn writes_and_reads_version_2() {
    assert_eq!(file::encode(&picture()).expect("a file"), VERSION_2);
    assert_eq!(file::decode(VERSION_2), Ok((picture(), 2)));
}

#[test]
fn writes_and_reads_version_1() {
    assert_eq!(file::encode_v1(&picture()).expect("a file"), VERSION_1);
    let (read, version) = file::decode(VERSION_1).expect("a file");
    assert_eq!((version, read.taken), (1, 1_700_000_000_000));
    assert_eq!(read.hosts["s-2"].slowness, [3.0, 0.5]);
    assert_eq!(read.classes[1].median, 8e6);
}

#[test]
fn file_and_step_names_stay() {
    assert_eq!(steps::name(42), "learned.0000000000000042");
    assert_eq!(steps::generation("learned.0000000000000042"), Some(42));
    assert_eq!(
        (steps::BESIDE, steps::LOCK),
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
