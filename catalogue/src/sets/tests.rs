//! Tests of `sets`.

use super::*;
use crate::cql;
use crate::record::Record;

const BOUNDS: SetBounds = SetBounds {
    sets: 4,
    bytes: 1 << 20,
    ttl: 100,
    deleted_tokens: 8,
};

fn set(text: &str, hits: &[u64]) -> ResultSet {
    let found: Vec<(u32, Found)> = hits
        .iter()
        .zip(0..)
        .map(|(hits, slice)| {
            (
                slice,
                Found {
                    hits: *hits,
                    exact: true,
                    ..Found::default()
                },
            )
        })
        .collect();
    let asked: Vec<u32> = (0..hits.len() as u32 + 1).collect();
    ResultSet::new(
        cql::parse(text, 8).unwrap().root,
        Vec::new(),
        &asked,
        &found,
        0,
    )
}

#[test]
fn page_is_located_only_in_slices_that_contain_it() {
    let set = set("moon", &[5, 0, 12, 3]);
    let ranges_of = |start, count| -> Vec<(u32, u64, u64)> {
        let mut ranges: Vec<(u32, u64, u64)> = Vec::new();
        for (_, (at, offset)) in set.locate(start, count) {
            let slice = set.slices[at].slice;
            match ranges.last_mut().filter(|r| r.0 == slice) {
                Some(range) => range.2 += 1,
                None => ranges.push((slice, offset, 1)),
            }
        }
        ranges
    };
    assert_eq!(ranges_of(1, 5), [(0, 0, 5)]);
    assert_eq!(ranges_of(4, 4), [(0, 3, 2), (2, 0, 2)]);
    assert_eq!(ranges_of(17, 10), [(2, 11, 1), (3, 0, 3)]);
    assert_eq!(ranges_of(21, 1), []);
    assert_eq!(ranges_of(1, 1 << 40).iter().map(|p| p.2).sum::<u64>(), 20);
    assert_eq!(
        (set.missing.as_slice(), set.count().precision),
        (&[4][..], merge::Precision::Partial)
    );
}

#[test]
fn slice_change_is_detected_by_count_or_previous_record() {
    let mut set = set("moon", &[5]);
    let record = |n: u32| Record::new(format!("<dc><title>{n}</title></dc>"));
    let page = |hits, numbers: &[u32]| Found {
        hits,
        exact: true,
        records: numbers.iter().map(|n| record(*n)).collect(),
        ..Found::default()
    };
    set.record_delivered(0, 1, &record(1));
    let range = SliceRange {
        at: 0,
        slice: 0,
        offset: 2,
        count: 2,
    };
    assert_eq!(
        set.range_to_fetch(&range),
        Range {
            slice: 0,
            offset: 1,
            count: 3
        }
    );
    let mut good = page(5, &[1, 2, 3]);
    assert_eq!(set.verify(&range, &mut good), Ok(()));
    assert_eq!(
        good.records,
        [record(2), record(3)],
        "the previous record is removed"
    );
    assert!(
        set.verify(&range, &mut page(6, &[1, 2, 3])).is_err(),
        "the count differs"
    );
    assert!(
        set.verify(&range, &mut page(5, &[0, 1, 2])).is_err(),
        "the previous record differs"
    );
    assert!(
        set.verify(&range, &mut page(5, &[1, 2])).is_err(),
        "a record is missing"
    );
    let other_range = SliceRange {
        at: 0,
        slice: 0,
        offset: 4,
        count: 1,
    };
    assert_eq!(
        set.range_to_fetch(&other_range),
        Range {
            slice: 0,
            offset: 4,
            count: 1
        },
        "no previous record is known"
    );
}

#[test]
fn sets_expire_are_evicted_and_end_with_their_session() {
    let mut table = SetTable::new(BOUNDS, 7);
    let first = table.insert(set("a", &[1]), Owner::Shared, None, 0);
    let token = table.get(first, 0).unwrap().token.clone();
    assert_eq!(table.by_token(&token, 50), Ok(first));
    assert!(table.get(first, 90).is_some(), "use extends the lifetime");
    assert!(
        table.get(first, 189).is_some() && table.get(first, 289).is_none(),
        "an unused set expires"
    );
    assert_eq!(
        table.by_token(&token, 300).map_err(|f| f.kind),
        Err(Kind::SET_GONE)
    );
    assert_eq!(
        table.by_token("0000", 300).map_err(|f| f.kind),
        Err(Kind::NO_SET)
    );
    let ids: Vec<SetId> = (0..6)
        .map(|n| table.insert(set("b", &[n]), Owner::Session(9), Some(1000), 300 + n))
        .collect();
    assert_eq!((table.size().0, table.evicted), (4, 2));
    assert!(table.get(ids[0], 310).is_none() && table.get(ids[5], 310).is_some());
    table.remove_all(9);
    assert_eq!(table.size(), (0, 0));
}

#[test]
fn memory_is_bounded_and_latest_set_continues_a_search() {
    let mut table = SetTable::new(
        SetBounds {
            bytes: 20_000,
            sets: 1000,
            ..BOUNDS
        },
        7,
    );
    let old = table.insert(set("a", &[1]), Owner::Shared, None, 0);
    let new = table.insert(set("a", &[1]), Owner::Shared, None, 1);
    let query = cql::parse("a", 8).unwrap().root;
    assert_eq!(table.by_search(&query, &[], 2), Some(new));
    table.remove(old);
    assert_eq!(table.by_search(&query, &[], 2), Some(new));
    for n in 0..500 {
        table.insert(set(&format!("term{n}"), &[1, 2, 3]), Owner::Shared, None, 3);
        assert!(table.size().1 <= 20_000);
    }
}
