//! The request and result of a part, in the form in which they pass through the dispatch core.

use crate::fault::Fault;
use crate::merge::{Facet, FacetRequest, Terms};
use crate::record::{Record, Schema};
use crate::sort::SortKey;
use serde::{Deserialize, Serialize};

/// The request to one slice. All parts of a query carry the same text, in which each slice finds
/// its own range.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// A hit count and records.
    Page(PageWork),
    /// Terms of an index.
    Scan(ScanWork),
}

/// A range of a slice's hits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range {
    /// The slice.
    pub slice: u32,
    /// The offset of the first record, from 0.
    pub offset: u64,
    /// The number of records.
    pub count: u32,
}

/// A request for a hit count and records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PageWork {
    /// The search, in CQL.
    pub query: String,
    /// The sort keys; if empty, the host's own order applies.
    pub sort: Vec<SortKey>,
    /// The requested record schema, used if the host offers it.
    pub schema: Schema,
    /// Whether to run a new search even if the session has a result set for the same query.
    pub fresh: bool,
    /// The range to fetch from each slice; slices without a range return only their hit count.
    pub ranges: Vec<Range>,
    /// The requested facets.
    pub facets: Vec<FacetRequest>,
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

/// A request for terms of an index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScanWork {
    /// The index and the starting point, as a CQL clause.
    pub clause: String,
    /// The number of terms.
    pub number: u32,
    /// Position of the starting point in the list, from 1.
    pub position: u32,
}

/// The search result of a slice.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Found {
    /// The number of matching records.
    pub hits: u64,
    /// Whether `hits` is the full count.
    pub exact: bool,
    /// The records of the range, in the slice's order.
    pub records: Vec<Record>,
    /// The facets, if the host counts them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub facets: Option<Vec<Facet>>,
    /// The host that returned the result, by its number in the host table.
    pub host: u32,
}

/// The result of a part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkResult {
    /// A hit count and records.
    Found(Found),
    /// Terms of an index.
    Scanned(Terms),
    /// A diagnostic about the request itself, which every holder of the slice would return.
    Refused(Fault),
}

impl Work {
    /// Encodes the request as the text of a part.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Decodes the text of a part.
    pub fn decode(text: &str) -> Option<Work> {
        serde_json::from_str(text).ok()
    }
}

impl WorkResult {
    /// Encodes the result as the value of a part.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Decodes the value of a part.
    pub fn decode(text: &str) -> Option<WorkResult> {
        serde_json::from_str(text).ok()
    }
}
