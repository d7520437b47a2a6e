//! Tests of the file format: corrupt and foreign files, other versions, and round trips.

use imbl::OrdMap;
use learning::file::{self, FileError, HEADER_BYTES, MAX_BODY_BYTES, VERSION};
use learning::snapshot::{ClassStats, Fleet, HostStats, Snapshot};
use proptest::prelude::*;
use std::sync::Arc;

fn host(n: u32) -> HostStats {
    HostStats {
        started: u64::from(n) * 7,
        slowness: vec![1.0 + n as f32, 0.5],
        delay: 0.25,
        limit: 2.0,
        errors: 0.125,
        weight: 16.0,
        updated_at: 1_700_000_000_000,
    }
}

fn class(name: &str) -> ClassStats {
    ClassStats {
        name: name.into(),
        median: 8e6,
        p95: 3e7,
        least: 7e6,
        attempts: (9e6, 4e7),
        weight: 96.0,
    }
}

fn snapshot(hosts: u32) -> Snapshot {
    let fleet = Fleet {
        classes: vec!["search".into(), "page".into()],
        cells: 6,
        reach: 2,
    };
    let hosts: OrdMap<Arc<str>, HostStats> = (0..hosts)
        .map(|n| (Arc::from(format!("s-{n}").as_str()), host(n)))
        .collect();
    Snapshot {
        fleet,
        taken_at: 1_700_000_000_500,
        classes: vec![class("search"), class("page")],
        hosts,
    }
}

#[test]
fn rejects_truncations_and_flipped_bits() {
    let bytes = file::encode(&snapshot(4)).unwrap();
    for length in 0..bytes.len() {
        assert!(
            file::decode(&bytes[..length]).is_err(),
            "truncated to {length} bytes"
        );
    }
    assert!(
        file::decode(&[bytes.as_slice(), &[0]].concat()).is_err(),
        "a trailing byte"
    );
    for at in 0..bytes.len() {
        for bit in 0..8 {
            let mut corrupt = bytes.clone();
            corrupt[at] ^= 1 << bit;
            assert!(file::decode(&corrupt).is_err(), "byte {at}, bit {bit}");
        }
    }
}

#[test]
fn distinguishes_other_files_and_versions() {
    let bytes = file::encode(&snapshot(1)).unwrap();
    assert_eq!(file::decode(&[0; 4096]), Err(FileError::BadMagic));
    assert_eq!(file::decode(b"BSLEARN\n"), Err(FileError::BadMagic));
    // A file of a later version has a valid checksum, which covers its version.
    let mut future = bytes.clone();
    future[8..10].copy_from_slice(&(VERSION + 1).to_le_bytes());
    let checksum = {
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(&(VERSION + 1).to_le_bytes());
        hasher.update(&future[12..16]);
        hasher.update(&future[HEADER_BYTES..]);
        hasher.finalize()
    };
    future[16..20].copy_from_slice(&checksum.to_le_bytes());
    assert_eq!(file::decode(&future), Err(FileError::Version(VERSION + 1)));
    // A length beyond the maximum is rejected from the header alone.
    let mut long = bytes;
    long[12..16].copy_from_slice(&(MAX_BODY_BYTES as u32 + 1).to_le_bytes());
    assert_eq!(
        file::length(&long[..HEADER_BYTES]),
        Err(FileError::TooLong(MAX_BODY_BYTES as u64 + 1))
    );
}

/// Version 1 lacks most statistics of a host, and has times in seconds.
#[test]
fn reads_version_1() {
    let new = snapshot(3);
    let (old, version) = file::decode(&file::encode_v1(&new).unwrap()).unwrap();
    assert_eq!((version, old.taken_at), (1, 1_700_000_000_000));
    assert_eq!(old.fleet, new.fleet);
    for (uid, host) in &new.hosts {
        let read = &old.hosts[uid];
        assert_eq!(
            (&read.slowness, read.started, read.errors),
            (&host.slowness, host.started, 0.0)
        );
    }
    let (a, b) = (&old.classes[0], &new.classes[0]);
    assert_eq!((a.median, a.p95, a.weight), (b.median, b.p95, 4.0));
    // Encoded again, the snapshot is stored in the current version with the same content.
    assert_eq!(
        file::decode(&file::encode(&old).unwrap()),
        Ok((old, VERSION))
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default()
    })]

    #[test]
    fn files_round_trip_in_any_host_order(
        mut hosts in prop::collection::btree_map("[a-z0-9-]{1,12}", (0.0f32..9.0, 0u64..9, 0.0f32..16.0), 0..40),
        taken_at: u64,
    ) {
        let entry = |(uid, (slow, started, weight)): (&String, &(f32, u64, f32))| {
            (Arc::from(uid.as_str()), HostStats { slowness: vec![*slow; 2], started: *started, weight: *weight, ..host(1) })
        };
        let forward: OrdMap<Arc<str>, HostStats> = hosts.iter().map(entry).collect();
        let backward: OrdMap<Arc<str>, HostStats> = hosts.iter().rev().map(entry).collect();
        let (a, b) = (Snapshot { hosts: forward, taken_at, ..snapshot(0) }, Snapshot { hosts: backward, taken_at, ..snapshot(0) });
        let bytes = file::encode(&a).unwrap();
        prop_assert_eq!(&bytes, &file::encode(&b).unwrap());
        prop_assert_eq!(file::decode(&bytes), Ok((a, VERSION)));
        hosts.clear();
    }

    /// Arbitrary bytes are either decoded or rejected, without a panic or a read beyond the end.
    #[test]
    fn decodes_arbitrary_bytes_without_panic(body in prop::collection::vec(any::<u8>(), 0..300), version in 0u16..4) {
        let mut bytes = file::MAGIC.to_vec();
        bytes.extend(version.to_le_bytes());
        bytes.extend([0, 0]);
        bytes.extend((body.len() as u32).to_le_bytes());
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(&version.to_le_bytes());
        hasher.update(&(body.len() as u32).to_le_bytes());
        hasher.update(&body);
        bytes.extend(hasher.finalize().to_le_bytes());
        bytes.extend(&body);
        let _ = file::decode(&bytes);
        let _ = file::decode(&body);
    }
}
