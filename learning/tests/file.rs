//! The file: every way in which it can be spoilt, old, new or somebody else's, and that what is
//! written is read.

use imbl::OrdMap;
use learning::file::{self, FileError, HEADER, LONGEST, VERSION};
use learning::picture::{ClassMemory, Fleet, HostMemory, Picture};
use proptest::prelude::*;
use std::sync::Arc;

fn host(n: u32) -> HostMemory {
    HostMemory {
        born: u64::from(n) * 7,
        slowness: vec![1.0 + n as f32, 0.5],
        delay: 0.25,
        limit: 2.0,
        errors: 0.125,
        weight: 16.0,
        judged: 1_700_000_000_000,
    }
}

fn class(name: &str) -> ClassMemory {
    ClassMemory {
        name: name.into(),
        median: 8e6,
        p95: 3e7,
        least: 7e6,
        tries: (9e6, 4e7),
        weight: 96.0,
    }
}

fn picture(hosts: u32) -> Picture {
    let fleet = Fleet {
        classes: vec!["search".into(), "page".into()],
        cells: 6,
        reach: 2,
    };
    let hosts: OrdMap<Arc<str>, HostMemory> = (0..hosts)
        .map(|n| (Arc::from(format!("s-{n}").as_str()), host(n)))
        .collect();
    Picture {
        fleet,
        taken: 1_700_000_000_500,
        classes: vec![class("search"), class("page")],
        hosts,
    }
}

#[test]
fn every_truncation_and_every_flipped_bit_is_refused() {
    let bytes = file::encode(&picture(4)).unwrap();
    for length in 0..bytes.len() {
        assert!(file::decode(&bytes[..length]).is_err(), "cut to {length}");
    }
    assert!(
        file::decode(&[bytes.as_slice(), &[0]].concat()).is_err(),
        "a byte behind"
    );
    for at in 0..bytes.len() {
        for bit in 0..8 {
            let mut spoilt = bytes.clone();
            spoilt[at] ^= 1 << bit;
            assert!(file::decode(&spoilt).is_err(), "byte {at}, bit {bit}");
        }
    }
}

#[test]
fn files_of_other_kinds_and_versions_are_told_apart() {
    let bytes = file::encode(&picture(1)).unwrap();
    assert_eq!(file::decode(&[0; 4096]), Err(FileError::NotOne));
    assert_eq!(file::decode(b"BSLEARN\n"), Err(FileError::NotOne));
    // One from the future is sound, and says so: its checksum is of its own version.
    let mut future = bytes.clone();
    future[8..10].copy_from_slice(&(VERSION + 1).to_le_bytes());
    let sum = {
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(&(VERSION + 1).to_le_bytes());
        hasher.update(&future[12..16]);
        hasher.update(&future[HEADER..]);
        hasher.finalize()
    };
    future[16..20].copy_from_slice(&sum.to_le_bytes());
    assert_eq!(file::decode(&future), Err(FileError::Version(VERSION + 1)));
    // A length beyond the bound is refused from the header alone.
    let mut long = bytes;
    long[12..16].copy_from_slice(&(LONGEST as u32 + 1).to_le_bytes());
    assert_eq!(
        file::length(&long[..HEADER]),
        Err(FileError::TooLong(LONGEST as u64 + 1))
    );
}

/// Version 1 had slowness alone, and seconds.
#[test]
fn a_file_of_the_old_version_is_read_for_what_it_has() {
    let new = picture(3);
    let (old, version) = file::decode(&file::encode_v1(&new).unwrap()).unwrap();
    assert_eq!((version, old.taken), (1, 1_700_000_000_000));
    assert_eq!(old.fleet, new.fleet);
    for (uid, host) in &new.hosts {
        let read = &old.hosts[uid];
        assert_eq!(
            (&read.slowness, read.born, read.errors),
            (&host.slowness, host.born, 0.0)
        );
    }
    let (a, b) = (&old.classes[0], &new.classes[0]);
    assert_eq!((a.median, a.p95, a.weight), (b.median, b.p95, 4.0));
    // Written anew it is of the present version, and says the same.
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
    fn what_is_written_is_read_whatever_the_order_of_hosts(
        mut hosts in prop::collection::btree_map("[a-z0-9-]{1,12}", (0.0f32..9.0, 0u64..9, 0.0f32..16.0), 0..40),
        taken: u64,
    ) {
        let one = |(uid, (slow, born, weight)): (&String, &(f32, u64, f32))| {
            (Arc::from(uid.as_str()), HostMemory { slowness: vec![*slow; 2], born: *born, weight: *weight, ..host(1) })
        };
        let forward: OrdMap<Arc<str>, HostMemory> = hosts.iter().map(one).collect();
        let backward: OrdMap<Arc<str>, HostMemory> = hosts.iter().rev().map(one).collect();
        let (a, b) = (Picture { hosts: forward, taken, ..picture(0) }, Picture { hosts: backward, taken, ..picture(0) });
        let bytes = file::encode(&a).unwrap();
        prop_assert_eq!(&bytes, &file::encode(&b).unwrap());
        prop_assert_eq!(file::decode(&bytes), Ok((a, VERSION)));
        hosts.clear();
    }

    /// Whatever bytes come, they are refused or read; nothing panics and nothing is taken from
    /// behind the end.
    #[test]
    fn any_bytes_end_in_a_verdict(body in prop::collection::vec(any::<u8>(), 0..300), version in 0u16..4) {
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
