//! Tests of `z3950::records`.

use super::*;
use crate::ber;

fn records(sizes: &[usize]) -> Vec<EncodedRecord> {
    sizes
        .iter()
        .map(|n| Ok(format!("<dc><title>{}</title></dc>", "x".repeat(*n)).into_bytes()))
        .collect()
}

fn read_back(segmented: &SegmentedRecords) -> Vec<RecordResult> {
    let mut all = Vec::new();
    for (count, bytes) in segmented.segments.iter().chain([&segmented.last]) {
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
fn without_segmentation_sends_records_that_fit_and_at_least_one() {
    let limits = SegmentLimits {
        preferred: 1000,
        exceptional: 3000,
        segmentation: 0,
    };
    let segmented = segment_records(
        "d",
        Syntax::Xml,
        records(&[300, 300, 300, 300]),
        limits,
        1 << 20,
    );
    assert_eq!(
        (
            segmented.delivered,
            segmented.truncated,
            segmented.segments.len()
        ),
        (2, true, 0)
    );
    // The first record may reach the exceptional size. A longer one is replaced by a diagnostic.
    let segmented = segment_records("d", Syntax::Xml, records(&[2000, 300]), limits, 1 << 20);
    assert_eq!((segmented.delivered, segmented.truncated), (1, true));
    let segmented = segment_records("d", Syntax::Xml, records(&[4000, 300]), limits, 1 << 20);
    let given = read_back(&segmented);
    assert_eq!(
        (
            given.len(),
            given[0].as_ref().map_err(|f| f.kind.bib1).err()
        ),
        (2, Some(17))
    );
    let segmented = segment_records("d", Syntax::Xml, records(&[10, 2000, 10]), limits, 1 << 20);
    assert_eq!(
        read_back(&segmented)[1]
            .as_ref()
            .map_err(|f| f.kind.bib1)
            .err(),
        Some(16)
    );
}

#[test]
fn segmentation_level_1_sends_whole_records_and_level_2_fragments() {
    let limits = SegmentLimits {
        preferred: 1000,
        exceptional: 3000,
        segmentation: 1,
    };
    let segmented = segment_records(
        "d",
        Syntax::Xml,
        records(&[300, 300, 2000, 300, 300, 300]),
        limits,
        1 << 20,
    );
    assert_eq!(
        (
            segmented.delivered,
            segmented.truncated,
            read_back(&segmented).len()
        ),
        (6, false, 6)
    );
    assert!(
        segmented
            .segments
            .iter()
            .all(|(_, bytes)| bytes.len() <= 2200)
    );
    let limits = SegmentLimits {
        segmentation: 2,
        ..limits
    };
    let segmented = segment_records(
        "d",
        Syntax::Xml,
        records(&[300, 9000, 300]),
        limits,
        1 << 20,
    );
    assert_eq!((segmented.delivered, segmented.truncated), (3, false));
    assert!(
        segmented
            .segments
            .iter()
            .all(|(_, bytes)| bytes.len() <= 1000),
        "each within the preferred size"
    );
    let parts = segmented
        .segments
        .iter()
        .chain([&segmented.last])
        .filter(|(n, _)| *n == 1)
        .count();
    assert!(parts >= 10);
    // The total size is limited regardless of the number of records requested.
    let segmented = segment_records("d", Syntax::Xml, records(&[500; 100]), limits, 5000);
    assert!(segmented.truncated && segmented.delivered < 10);
}
