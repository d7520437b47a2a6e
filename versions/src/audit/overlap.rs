//! How long two versions were in service at the same time, for display.

use super::Report;
use crate::Version;
use std::collections::BTreeMap;

/// Two versions that were in service at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Overlap {
    /// The earlier version.
    pub earlier: Version,
    /// The later version.
    pub later: Version,
    /// The duration of the overlap, in milliseconds of the gatherers' wall clocks.
    pub duration_ms: u64,
}

/// The overlaps of all versions in the reports of a fleet.
pub fn overlaps(reports: &BTreeMap<String, Report>) -> Vec<Overlap> {
    let mut in_service: BTreeMap<Version, (i64, i64)> = BTreeMap::new();
    for span in reports.values().flat_map(|report| &report.spans) {
        let (from, to) = (span.first_wall_ms(), span.last_wall_ms());
        let (first, last) = in_service.entry(span.version).or_insert((from, to));
        *first = (*first).min(from);
        *last = (*last).max(to);
    }
    let mut overlaps = Vec::new();
    for (&earlier, &(_, last)) in &in_service {
        for (&later, &(first, _)) in in_service.range(earlier + 1..) {
            if last > first {
                overlaps.push(Overlap {
                    earlier,
                    later,
                    duration_ms: (last - first) as u64,
                });
            }
        }
    }
    overlaps
}
