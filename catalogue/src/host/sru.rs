//! SRU with an index host. It learns the host's version and works around unsupported features, or
//! reports them.

use super::{
    HostBounds, Next, RecordBuffer, found, sort_locally, step_for_diagnostic, too_many_to_sort,
};
use crate::cql::{self, write_sort};
use crate::fault::{Fault, Kind};
use crate::merge::Terms;
use crate::pool::HostCapabilities;
use crate::record::Schema;
use crate::sort::write_sort_keys;
use crate::sru::request::percent;
use crate::sru::{ParsedResponse, Version, read_response};
use crate::work::{Found, PageWork, ScanWork, Work, WorkResult};

/// The order in which versions are tried with an unknown host.
const VERSION_ORDER: [Version; 3] = [Version::V12, Version::V11, Version::V20];

/// A running part.
#[derive(Debug, Clone)]
pub struct Job {
    work: Work,
    slice: u32,
    version: Version,
    tried: Vec<Version>,
    /// Whether records are sorted locally because the host does not sort.
    sort_here: bool,
    buffer: Option<RecordBuffer>,
    first_response: Option<(u64, bool, Option<Vec<crate::merge::Facet>>)>,
    exchanges: u32,
}

impl Job {
    /// Creates a part for one slice.
    pub fn new(work: Work, slice: u32, capabilities: &HostCapabilities) -> Job {
        let version = capabilities.version.unwrap_or(VERSION_ORDER[0]);
        let sort_here =
            capabilities.no_sort && matches!(&work, Work::Page(page) if !page.sort.is_empty());
        Job {
            work,
            slice,
            version,
            tried: vec![version],
            sort_here,
            buffer: None,
            first_response: None,
            exchanges: 0,
        }
    }

    /// The query component of the next request's URL.
    pub fn query_string(&self, bounds: &HostBounds, capabilities: &HostCapabilities) -> String {
        let mut pairs: Vec<(&str, String)> = Vec::new();
        let before_v20 = self.version != Version::V20;
        if before_v20 {
            pairs.push(("version", self.version.name().to_owned()));
        }
        match &self.work {
            Work::Page(page) => {
                self.add_page_parameters(page, before_v20, bounds, capabilities, &mut pairs)
            }
            Work::Scan(scan) => {
                pairs.push(("operation", "scan".to_owned()));
                pairs.push(("scanClause", scan.clause.clone()));
                pairs.push(("responsePosition", scan.position.to_string()));
                pairs.push(("maximumTerms", scan.number.to_string()));
            }
        }
        let fields: Vec<String> = pairs
            .iter()
            .map(|(name, value)| format!("{name}={}", percent(value)))
            .collect();
        fields.join("&")
    }

    fn add_page_parameters(
        &self,
        page: &PageWork,
        before_v20: bool,
        bounds: &HostBounds,
        capabilities: &HostCapabilities,
        pairs: &mut Vec<(&str, String)>,
    ) {
        let sorted = !page.sort.is_empty() && !self.sort_here;
        if before_v20 {
            pairs.push(("operation", "searchRetrieve".to_owned()));
        }
        let query = match sorted && !before_v20 {
            true => format!("{} {}", page.query, write_sort(&page.sort)),
            false => page.query.clone(),
        };
        pairs.push(("query", query));
        let (from, count) = match &self.buffer {
            Some(buffer) => buffer.remaining(),
            None if self.sort_here && page.range(self.slice).count > 0 => {
                (0, u64::from(bounds.local_sort))
            }
            None => {
                let range = page.range(self.slice);
                (range.offset, u64::from(range.count))
            }
        };
        // The start must be in range even if no record is requested.
        pairs.push((
            "startRecord",
            if count == 0 { 1 } else { from + 1 }.to_string(),
        ));
        pairs.push(("maximumRecords", count.to_string()));
        let schema = [page.schema, Schema::Dc]
            .into_iter()
            .find(|s| !capabilities.no_schema.contains(s));
        if let Some(schema) = schema {
            pairs.push(("recordSchema", schema.names().short.to_owned()));
        }
        pairs.push((self.version.packing(), "xml".to_owned()));
        if sorted && before_v20 {
            pairs.push(("sortKeys", write_sort_keys(&page.sort)));
        }
        if !before_v20 && !page.facets.is_empty() && !capabilities.no_facets {
            let fields: Vec<String> = page
                .facets
                .iter()
                .map(|f| format!("{}:{}", f.limit, f.index))
                .collect();
            pairs.push(("facetLimit", fields.join(",")));
        }
    }

    /// Handles the host's response.
    pub fn answered(
        &mut self,
        status: u16,
        body: &str,
        bounds: &HostBounds,
        capabilities: &mut HostCapabilities,
    ) -> Next<()> {
        self.exchanges += 1;
        // These statuses may also come from a gateway in front of the host. In both cases the
        // request was not processed.
        if status == 503 || status == 429 {
            return Next::Rejected;
        }
        let response = match read_response(body) {
            // Some servers send diagnostics with a status other than 200.
            Ok(response) if status == 200 || !response.faults.is_empty() => response,
            Ok(_) => return Next::Failed(format!("status {status}")),
            Err(problem) => return Next::Failed(format!("status {status}: {problem}")),
        };
        let next = match &self.work {
            Work::Page(page) => {
                let page = page.clone();
                self.page(&page, response, bounds, capabilities)
            }
            Work::Scan(scan) => {
                let scan = scan.clone();
                self.scan(&scan, response, capabilities)
            }
        };
        if matches!(next, Next::Send(())) && self.exchanges >= bounds.exchanges {
            return Next::Failed("too many exchanges for one part".to_owned());
        }
        next
    }

    /// Changes the request to avoid the fault, if possible. Returns whether to send the request
    /// again.
    fn work_around(&mut self, fault: &Fault, capabilities: &mut HostCapabilities) -> bool {
        let Work::Page(page) = &self.work else {
            return self.try_other_version(fault, capabilities);
        };
        match fault.kind.sru {
            66 | 67 => {
                let next = [page.schema, Schema::Dc]
                    .into_iter()
                    .find(|s| !capabilities.no_schema.contains(s));
                next.map(|schema| capabilities.no_schema.push(schema))
                    .is_some()
            }
            8 if fault.about.contains("facet") && !capabilities.no_facets => {
                capabilities.no_facets = true;
                true
            }
            8 | 80..=92
                if !page.sort.is_empty()
                    && !self.sort_here
                    && (fault.kind.sru != 8 || fault.about.contains("sort")) =>
            {
                capabilities.no_sort = true;
                self.sort_here = true;
                self.buffer = None;
                true
            }
            _ => self.try_other_version(fault, capabilities),
        }
    }

    fn try_other_version(&mut self, fault: &Fault, capabilities: &mut HostCapabilities) -> bool {
        let about = fault.kind.sru == 5
            || fault.kind.sru == 8
                && ["version", "operation", "recordPacking"]
                    .iter()
                    .any(|p| fault.about.contains(p));
        let Some(next) = VERSION_ORDER
            .into_iter()
            .find(|v| !self.tried.contains(v))
            .filter(|_| about)
        else {
            return false;
        };
        capabilities.version = None;
        self.version = next;
        self.tried.push(next);
        true
    }

    /// Remembers the version in which the host responded.
    fn remember_version(&self, response: &ParsedResponse, capabilities: &mut HostCapabilities) {
        let stated = response.version.as_deref().and_then(Version::named);
        capabilities.version = Some(stated.unwrap_or(self.version));
    }

    fn page(
        &mut self,
        page: &PageWork,
        response: ParsedResponse,
        bounds: &HostBounds,
        capabilities: &mut HostCapabilities,
    ) -> Next<()> {
        let partial = |f: &&Fault| matches!(f.kind.sru, 58 | 59);
        let fatal = response
            .faults
            .iter()
            .find(|f| !partial(f) && f.kind.sru != 61);
        if let Some(fault) = fatal.filter(|_| response.hits.unwrap_or(0) == 0) {
            return if self.work_around(fault, capabilities) {
                Next::Send(())
            } else {
                step_for_diagnostic(fault.clone())
            };
        }
        let Some(hits) = response.hits else {
            return Next::Failed("search response without numberOfRecords".to_owned());
        };
        self.remember_version(&response, capabilities);
        let exact = response.exact
            && !response
                .faults
                .iter()
                .any(|f| matches!(f.kind.sru, 58 | 59));
        let range = page.range(self.slice);
        if self.buffer.is_none() {
            if self.sort_here && range.count > 0 && hits > u64::from(bounds.local_sort) {
                return Next::Done(WorkResult::Refused(too_many_to_sort(hits, bounds)));
            }
            let wanted = if self.sort_here && range.count > 0 {
                crate::work::Range {
                    slice: self.slice,
                    offset: 0,
                    count: bounds.local_sort,
                }
            } else {
                range
            };
            self.buffer = Some(RecordBuffer::of(wanted, hits));
            self.first_response = Some((hits, exact, response.facets));
        }
        let Some(buffer) = &mut self.buffer else {
            return Next::Failed(String::new());
        };
        let before = buffer.records.len();
        let limits = buffer.remaining().1 as usize;
        buffer
            .records
            .extend(response.records.into_iter().take(limits));
        if !buffer.is_done() && buffer.records.len() > before {
            // The host returned fewer records than requested.
            return Next::Send(());
        }
        // If records are missing here, the set changed while it was read, and its count will reveal
        // that.
        let records = std::mem::take(&mut buffer.records);
        let (hits, exact, facets) = self.first_response.take().unwrap_or((hits, exact, None));
        let records = if self.sort_here && range.count > 0 {
            match sort_locally(&page.sort, records, range) {
                Ok(records) => records,
                Err(fault) => return Next::Done(WorkResult::Refused(fault)),
            }
        } else {
            records
        };
        let facets = facets.filter(|_| !page.facets.is_empty());
        Next::Done(WorkResult::Found(Found {
            facets,
            ..found(hits, exact, records)
        }))
    }

    fn scan(
        &mut self,
        scan: &ScanWork,
        response: ParsedResponse,
        capabilities: &mut HostCapabilities,
    ) -> Next<()> {
        if let Some(fault) = response
            .faults
            .first()
            .filter(|_| response.terms.is_empty())
        {
            return if self.work_around(fault, capabilities) {
                Next::Send(())
            } else {
                step_for_diagnostic(fault.clone())
            };
        }
        if !response.root.starts_with("scan") {
            return Next::Failed("not a scan response".to_owned());
        }
        self.remember_version(&response, capabilities);
        let mut terms = response.terms;
        terms.truncate(scan.number as usize);
        Next::Done(WorkResult::Scanned(Terms { terms, host: 0 }))
    }
}

/// Checks that a query can be sent as CQL. Version 1.1 has neither `sortBy` nor prefix assignments,
/// which are never written into the text. Errors found here are errors of this program and not of
/// the host.
pub fn check(work: &Work) -> Result<(), Fault> {
    let text = match work {
        Work::Page(page) => &page.query,
        Work::Scan(scan) => &scan.clause,
    };
    cql::parse(text, 256)
        .map(|_| ())
        .map_err(|fault| Kind::SYNTAX.of(fault.to_string()))
}

#[cfg(test)]
mod tests;
