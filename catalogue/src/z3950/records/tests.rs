//! Tests of `z3950::records`.

use super::*;
use crate::ber;

fn records(sizes: &[usize]) -> Vec<Ready> {
    sizes
        .iter()
        .map(|n| Ok(format!("<dc><title>{}</title></dc>", "x".repeat(*n)).into_bytes()))
        .collect()
}

fn read_back(divided: &Divided) -> Vec<WorkResult> {
    let mut all = Vec::new();
    for (count, bytes) in divided.segments.iter().chain([&divided.last]) {
        let item = ber::read(&mut segment(None, *count, bytes), 1 << 24, 16)
            .unwrap()
            .expect("a segment");
        assert_eq!(item.get(0).map_or(0, |l| l.items().len()), *count);
        if let Ok(part) = read(&item, 0) {
            all.extend(part);
        }
    }
    all
}

#[test]
fn without_segmentation_only_what_fits_is_sent_and_at_least_one() {
    let limits = SegmentLimits {
        preferred: 1000,
        exceptional: 3000,
        segmentation: 0,
    };
    let divided = divide(
        "d",
        Syntax::Xml,
        records(&[300, 300, 300, 300]),
        limits,
        1 << 20,
    );
    assert_eq!(
        (divided.delivered, divided.short, divided.segments.len()),
        (2, true, 0)
    );
    // The first may be exceptional, a longer one is said to be too long in its place.
    let divided = divide("d", Syntax::Xml, records(&[2000, 300]), limits, 1 << 20);
    assert_eq!((divided.delivered, divided.short), (1, true));
    let divided = divide("d", Syntax::Xml, records(&[4000, 300]), limits, 1 << 20);
    let given = read_back(&divided);
    assert_eq!(
        (
            given.len(),
            given[0].as_ref().map_err(|f| f.kind.bib1).err()
        ),
        (2, Some(17))
    );
    let divided = divide("d", Syntax::Xml, records(&[10, 2000, 10]), limits, 1 << 20);
    assert_eq!(
        read_back(&divided)[1]
            .as_ref()
            .map_err(|f| f.kind.bib1)
            .err(),
        Some(16)
    );
}

#[test]
fn level_1_sends_all_whole_records_and_level_2_parts_too() {
    let limits = SegmentLimits {
        preferred: 1000,
        exceptional: 3000,
        segmentation: 1,
    };
    let divided = divide(
        "d",
        Syntax::Xml,
        records(&[300, 300, 2000, 300, 300, 300]),
        limits,
        1 << 20,
    );
    assert_eq!(
        (divided.delivered, divided.short, read_back(&divided).len()),
        (6, false, 6)
    );
    assert!(
        divided
            .segments
            .iter()
            .all(|(_, bytes)| bytes.len() <= 2200)
    );
    let limits = SegmentLimits {
        segmentation: 2,
        ..limits
    };
    let divided = divide(
        "d",
        Syntax::Xml,
        records(&[300, 9000, 300]),
        limits,
        1 << 20,
    );
    assert_eq!((divided.delivered, divided.short), (3, false));
    assert!(
        divided
            .segments
            .iter()
            .all(|(_, bytes)| bytes.len() <= 1000),
        "each within the preferred size"
    );
    let parts = divided
        .segments
        .iter()
        .chain([&divided.last])
        .filter(|(n, _)| *n == 1)
        .count();
    assert!(parts >= 10);
    // Whatever is asked for, no more than the bound is held for one client.
    let divided = divide("d", Syntax::Xml, records(&[500; 100]), limits, 5000);
    assert!(divided.short && divided.delivered < 10);
}
