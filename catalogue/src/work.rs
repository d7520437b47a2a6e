//! What a part carries to an index host, and what it brings back, as it travels through the core.

use crate::fault::Fault;
use crate::merge::{Facet, FacetAsk, Terms};
use crate::record::{Record, Schema};
use crate::sort::SortKey;
use serde::{Deserialize, Serialize};

/// What one slice is asked for. All parts of a query carry the same text; each takes its own range
/// from it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// Hits, and records of them.
    Page(PageWork),
    /// Terms of an index.
    Scan(ScanWork),
}

/// A range of a slice's hits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range {
    /// The slice.
    pub slice: u32,
    /// The first place, counted from 0.
    pub offset: u64,
    /// How many.
    pub count: u32,
}

/// Hits, and records of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PageWork {
    /// The search, in CQL.
    pub query: String,
    /// The order; none for the host's own.
    pub sort: Vec<SortKey>,
    /// The schema that records are wanted in, if the host has it.
    pub schema: Schema,
    /// A new search: what a session remembers of the same one earlier does not count.
    pub fresh: bool,
    /// What is asked of which slice; slices without a range are asked for their count.
    pub ranges: Vec<Range>,
    /// Facets that are wanted.
    pub facets: Vec<FacetAsk>,
}

impl PageWork {
    /// The range of one slice.
    pub fn range(&self, slice: u32) -> Range {
        let own = self.ranges.iter().find(|r| r.slice == slice);
        own.copied().unwrap_or(Range {
            slice,
            offset: 0,
            count: 0,
        })
    }
}

/// Terms of an index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScanWork {
    /// The index and the starting point, as a clause of CQL.
    pub clause: String,
    /// How many terms.
    pub number: u32,
    /// Where the starting point stands among them, from 1.
    pub position: u32,
}

/// What a slice found.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Found {
    /// How many records match.
    pub hits: u64,
    /// Whether that is all of them.
    pub exact: bool,
    /// The records of the range, in the slice's order.
    pub records: Vec<Record>,
    /// The facets, where the host counts them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub facets: Option<Vec<Facet>>,
    /// Which host gave them, by its number in the table of hosts.
    pub host: u32,
}

/// What a slice gave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkResult {
    /// Hits.
    Found(Found),
    /// Terms.
    Scanned(Terms),
    /// A diagnostic about the request itself: another holder would say the same.
    Refused(Fault),
}

impl Work {
    /// As the text of a part.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// From such a text.
    pub fn decode(text: &str) -> Option<Work> {
        serde_json::from_str(text).ok()
    }
}

impl WorkResult {
    /// As a part's value.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// From such a value.
    pub fn decode(text: &str) -> Option<WorkResult> {
        serde_json::from_str(text).ok()
    }
}
