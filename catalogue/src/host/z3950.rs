//! A Z39.50 session with an index host. It runs one part at a time and tracks the result sets that
//! the host keeps for it.

use super::{
    HostBounds, HostEvent, Next, RecordBuffer, found, sort_locally, step_for_diagnostic,
    too_many_to_sort,
};
use crate::ber::{Class, Item};
use crate::cql::{self, Node};
use crate::fault::{Fault, Kind};
use crate::pool::HostCapabilities;
use crate::record::{RecordError, Schema, Syntax};
use crate::rpn;
use crate::sets::Time;
use crate::work::{PageWork, Range, ScanWork, Work, WorkResult};
use crate::z3950::init::{self, Abilities, Ability, WANTED};
use crate::z3950::{self, SetStatus, records, scan, sort, tag};
use std::collections::VecDeque;
use thiserror::Error;

/// Record syntaxes in order of preference.
const SYNTAXES: [Syntax; 4] = [Syntax::Xml, Syntax::Usmarc, Syntax::Grs1, Syntax::Sutrs];

/// A result set that the host keeps for this session.
#[derive(Debug, Clone)]
struct HostSet {
    key: String,
    name: String,
    hits: u64,
    exact: bool,
    made: Time,
}

#[derive(Debug, Clone)]
enum JobPhase {
    Searching,
    Sorting,
    Presenting,
    Scanning,
}

#[derive(Debug, Clone)]
struct Job {
    page: PageWork,
    query: Option<Node>,
    range: Range,
    database: String,
    phase: JobPhase,
    set: Option<HostSet>,
    buffer: RecordBuffer,
    /// Whether records are sorted locally because the host does not sort.
    sort_here: bool,
    /// Whether the search was already repeated because the host had dropped its set.
    search_repeated: bool,
    exchanges: u32,
}

/// A session with one index host.
#[derive(Debug, Default)]
pub struct Session {
    abilities: Abilities,
    sets: VecDeque<HostSet>,
    next_name: usize,
    job: Option<Job>,
}

/// A protocol violation by the host, after which the session cannot continue.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SessionError {
    /// A data unit of another type than expected.
    #[error("unexpected data unit with tag {0}")]
    UnexpectedUnit(u32),
    /// A response while no request is in flight.
    #[error("response without a request in flight")]
    NoJob,
    /// A search response lacks its mandatory search status.
    #[error("search response without a status")]
    NoSearchStatus,
    /// A search response lacks its mandatory result count.
    #[error("search response without a result count")]
    NoResultCount,
    /// The records cannot be decoded.
    #[error(transparent)]
    Records(#[from] RecordError),
}

/// The Init request that opens a session.
pub fn init_request(bounds: &HostBounds) -> Vec<u8> {
    z3950::unit(tag::INIT_REQUEST, None, |w| {
        init::write_negotiation(
            w,
            true,
            Abilities::of(WANTED),
            bounds.message,
            bounds.message,
        );
        init::write_implementation(w);
    })
}

impl Session {
    /// The options that the host offered in its Init response.
    pub fn abilities(&self) -> Abilities {
        self.abilities
    }

    /// Starts a part. Returns the first message, or the result if none is needed.
    pub fn begin(
        &mut self,
        work: &Work,
        slice: u32,
        database: &str,
        bounds: &HostBounds,
        capabilities: &HostCapabilities,
        now: Time,
    ) -> Next<Vec<u8>> {
        match work {
            Work::Page(page) => self.begin_page(page, slice, database, bounds, capabilities, now),
            Work::Scan(scan) => self.begin_scan(scan, slice, database),
        }
    }

    fn begin_page(
        &mut self,
        page: &PageWork,
        slice: u32,
        database: &str,
        bounds: &HostBounds,
        capabilities: &HostCapabilities,
        now: Time,
    ) -> Next<Vec<u8>> {
        // The query was validated with the client's limits, so this depth only has to admit what was
        // valid there.
        let query = match cql::parse(&page.query, 256) {
            Ok(query) => query.root,
            Err(fault) => return Next::Done(WorkResult::Refused(fault)),
        };
        let sorts = self.abilities.has(Ability::Sort) && !capabilities.no_sort;
        let job = Job {
            query: Some(query),
            range: page.range(slice),
            page: page.clone(),
            database: database.to_owned(),
            phase: JobPhase::Searching,
            set: None,
            buffer: RecordBuffer::default(),
            sort_here: !page.sort.is_empty() && !sorts,
            search_repeated: false,
            exchanges: 0,
        };
        let key = set_key(&job);
        let usable =
            |set: &&HostSet| set.key == key && set.made.saturating_add(bounds.set_age) > now;
        let known = self
            .sets
            .iter()
            .find(usable)
            .filter(|_| !page.fresh && job.range.count > 0)
            .cloned();
        self.job = Some(job);
        match known {
            Some(set) => {
                let buffer = self.records_to_collect(set.hits, bounds);
                if let (Some(job), Ok(buffer)) = (&mut self.job, buffer) {
                    job.buffer = buffer;
                    job.set = Some(set);
                }
                self.present(capabilities)
            }
            None => self.search(bounds, capabilities, now),
        }
    }

    fn begin_scan(&mut self, work: &ScanWork, slice: u32, database: &str) -> Next<Vec<u8>> {
        if !self.abilities.has(Ability::Scan) {
            return Next::Done(WorkResult::Refused(Kind::SCAN.of("the host does not scan")));
        }
        let clause = match cql::parse(&work.clause, 4).map(|q| q.root) {
            Ok(Node::Clause(clause)) => clause,
            Ok(_) => {
                return Next::Done(WorkResult::Refused(
                    Kind::SYNTAX.of("a scan of more than one clause"),
                ));
            }
            Err(fault) => return Next::Done(WorkResult::Refused(fault)),
        };
        let mut written = Ok(());
        let unit = z3950::unit(tag::SCAN_REQUEST, None, |w| {
            written = scan::write_request(w, database, &clause, work.number, work.position);
        });
        if let Err(fault) = written {
            return Next::Done(WorkResult::Refused(fault));
        }
        self.job = Some(Job {
            page: PageWork {
                query: String::new(),
                sort: Vec::new(),
                schema: Schema::Dc,
                fresh: true,
                ranges: Vec::new(),
                facets: Vec::new(),
            },
            query: None,
            range: Range {
                slice,
                offset: 0,
                count: 0,
            },
            database: database.to_owned(),
            phase: JobPhase::Scanning,
            set: None,
            buffer: RecordBuffer::default(),
            sort_here: false,
            search_repeated: false,
            exchanges: 1,
        });
        Next::Send(unit)
    }

    /// Handles a data unit from the host. After an error the session cannot continue.
    pub fn receive(
        &mut self,
        unit: &Item,
        bounds: &HostBounds,
        capabilities: &mut HostCapabilities,
        now: Time,
    ) -> Result<HostEvent, SessionError> {
        if unit.class != Class::Context {
            return Err(SessionError::UnexpectedUnit(unit.tag));
        }
        match unit.tag {
            tag::INIT_RESPONSE if self.job.is_none() => {
                if unit.get(tag::RESULT).and_then(Item::boolean) != Some(true) {
                    return Ok(HostEvent::Rejected(
                        "the host refused the session".to_owned(),
                    ));
                }
                let offered = unit
                    .get(tag::OPTIONS)
                    .map_or_else(Abilities::default, Abilities::read);
                self.abilities = offered.intersection(Abilities::of(WANTED));
                Ok(HostEvent::Opened)
            }
            tag::CLOSE => Ok(HostEvent::Closed),
            _ => {
                let Some(job) = &mut self.job else {
                    return Err(SessionError::NoJob);
                };
                job.exchanges += 1;
                let too_many = job.exchanges > bounds.exchanges;
                let next = match (&job.phase, unit.tag) {
                    (JobPhase::Searching, tag::SEARCH_RESPONSE) => {
                        self.searched(unit, bounds, capabilities, now)
                    }
                    (JobPhase::Sorting, tag::SORT_RESPONSE) => {
                        self.sorted(unit, bounds, capabilities)
                    }
                    (JobPhase::Presenting, tag::PRESENT_RESPONSE) => {
                        self.presented(unit, bounds, capabilities, now)
                    }
                    (JobPhase::Scanning, tag::SCAN_RESPONSE) => {
                        Ok(match scan::read_response(unit) {
                            Ok(terms) => Next::Done(WorkResult::Scanned(terms)),
                            Err(fault) => step_for_diagnostic(fault),
                        })
                    }
                    (_, other) => return Err(SessionError::UnexpectedUnit(other)),
                };
                let next = match next? {
                    Next::Send(_) if too_many => {
                        Next::Failed("too many exchanges for one part".to_owned())
                    }
                    next => next,
                };
                if !matches!(next, Next::Send(_)) {
                    self.job = None;
                }
                Ok(HostEvent::Next(next))
            }
        }
    }

    /// Sends the search request.
    fn search(
        &mut self,
        bounds: &HostBounds,
        capabilities: &HostCapabilities,
        now: Time,
    ) -> Next<Vec<u8>> {
        let named = self.abilities.has(Ability::NamedResultSets);
        let name = if named {
            self.next_name = (self.next_name + 1) % bounds.named_sets.max(1);
            format!("s{}", self.next_name)
        } else {
            "default".to_owned()
        };
        self.sets.retain(|set| set.name != name);
        let Some(job) = &mut self.job else {
            return Next::Failed(String::new());
        };
        job.phase = JobPhase::Searching;
        let key = set_key(job);
        job.set = Some(HostSet {
            key,
            name: name.clone(),
            hits: 0,
            exact: true,
            made: now,
        });
        // The first records come with the search response unless the set must be sorted first.
        let included = if job.page.sort.is_empty() && job.range.offset == 0 {
            job.range.count
        } else {
            0
        };
        let Some(query) = &job.query else {
            return Next::Failed(String::new());
        };
        let mut written = Ok(());
        let (syntax, schema) = (syntax(capabilities), schema(&job.page, capabilities));
        let unit = z3950::unit(tag::SEARCH_REQUEST, None, |w| {
            // These bounds make every result set medium-sized, so that its first records are
            // included.
            w.integer(tag::SMALL_SET, 0);
            w.integer(
                tag::LARGE_SET,
                if included > 0 { i64::from(i32::MAX) } else { 1 },
            );
            w.integer(tag::MEDIUM_SET, i64::from(included));
            w.boolean(tag::REPLACE, true);
            w.bytes(tag::SET_NAME, name.as_bytes());
            w.inside(tag::DATABASES, |names| {
                names.bytes(tag::DATABASE, job.database.as_bytes())
            });
            if let (Syntax::Xml, Some(schema)) = (syntax, schema) {
                w.inside(tag::MEDIUM_ELEMENTS, |e| {
                    e.bytes(0, schema.names().short.as_bytes())
                });
            }
            w.oid_as(tag::SYNTAX, syntax.oid());
            w.inside(tag::QUERY, |query_tag| {
                written = rpn::write(query, query_tag)
            });
        });
        match written {
            Ok(()) => Next::Send(unit),
            Err(fault) => {
                self.job = None;
                Next::Done(WorkResult::Refused(fault))
            }
        }
    }

    fn searched(
        &mut self,
        unit: &Item,
        bounds: &HostBounds,
        capabilities: &mut HostCapabilities,
        now: Time,
    ) -> Result<Next<Vec<u8>>, SessionError> {
        let ok = unit
            .get(tag::SEARCH_STATUS)
            .and_then(Item::boolean)
            .ok_or(SessionError::NoSearchStatus)?;
        let hits = unit
            .get(tag::RESULT_COUNT)
            .and_then(Item::integer)
            .and_then(|n| u64::try_from(n).ok());
        let hits = hits.ok_or(SessionError::NoResultCount)?;
        let subset =
            unit.get(tag::SET_STATUS).and_then(Item::integer) == Some(SetStatus::Subset as i64);
        let fault = z3950::response_fault(unit);
        if !ok && !subset {
            return Ok(step_for_diagnostic(
                fault.unwrap_or_else(|| Kind::GENERAL.of("the search failed")),
            ));
        }
        let records = records::read(unit, tag::RECORDS)?;
        let Some(job) = &mut self.job else {
            return Err(SessionError::NoJob);
        };
        let Some(set) = &mut job.set else {
            return Err(SessionError::NoJob);
        };
        (set.hits, set.exact, set.made) = (hits, ok, now);
        let kept = set.clone();
        self.sets.push_back(kept);
        while self.sets.len() > bounds.named_sets {
            self.sets.pop_front();
        }
        let buffer = match self.records_to_collect(hits, bounds) {
            Ok(buffer) => buffer,
            Err(fault) => return Ok(Next::Done(WorkResult::Refused(fault))),
        };
        let Some(job) = &mut self.job else {
            return Err(SessionError::NoJob);
        };
        job.buffer = buffer;
        job.add_records(records);
        if job.buffer.is_done() {
            return Ok(self.finish());
        }
        if !job.page.sort.is_empty() && !job.sort_here {
            return Ok(self.sort(capabilities));
        }
        if let Some(fault) = &fault
            && !reject_form(fault, &job.page, capabilities)
            && !matches!(fault.kind.bib1, 14 | 16 | 33)
        {
            return Ok(step_for_diagnostic(fault.clone()));
        }
        Ok(self.present(capabilities))
    }

    /// The records to collect from a set with `hits` hits.
    fn records_to_collect(&self, hits: u64, bounds: &HostBounds) -> Result<RecordBuffer, Fault> {
        let Some(job) = &self.job else {
            return Ok(RecordBuffer::default());
        };
        if !job.sort_here || job.range.count == 0 {
            return Ok(RecordBuffer::of(job.range, hits));
        }
        if hits > u64::from(bounds.local_sort) {
            return Err(too_many_to_sort(hits, bounds));
        }
        Ok(RecordBuffer::of(
            Range {
                offset: 0,
                count: bounds.local_sort,
                ..job.range
            },
            hits,
        ))
    }

    fn sort(&mut self, capabilities: &mut HostCapabilities) -> Next<Vec<u8>> {
        let Some(job) = &mut self.job else {
            return Next::Failed(String::new());
        };
        let name = job.set.as_ref().map_or("default", |s| s.name.as_str());
        let mut written = Ok(());
        let unit = z3950::unit(tag::SORT_REQUEST, None, |w| {
            written = sort::write_request(w, name, &job.page.sort)
        });
        match written {
            Ok(()) => {
                job.phase = JobPhase::Sorting;
                Next::Send(unit)
            }
            // The Sort service cannot express these keys, so the records are sorted locally.
            Err(_) => {
                job.sort_here = true;
                self.present(capabilities)
            }
        }
    }

    fn sorted(
        &mut self,
        unit: &Item,
        bounds: &HostBounds,
        capabilities: &mut HostCapabilities,
    ) -> Result<Next<Vec<u8>>, SessionError> {
        if sort::read_response(unit).is_err() {
            // Whatever the diagnostic, the records are sorted locally if there are not too many.
            capabilities.no_sort = true;
            let Some(job) = &mut self.job else {
                return Err(SessionError::NoJob);
            };
            job.sort_here = true;
            let hits = job.set.as_ref().map_or(0, |s| s.hits);
            match self.records_to_collect(hits, bounds) {
                Ok(buffer) => {
                    if let Some(job) = &mut self.job {
                        job.buffer = buffer;
                    }
                }
                Err(fault) => return Ok(Next::Done(WorkResult::Refused(fault))),
            }
        }
        Ok(self.present(capabilities))
    }

    /// Requests the records that have not arrived yet.
    fn present(&mut self, capabilities: &HostCapabilities) -> Next<Vec<u8>> {
        let Some(job) = &mut self.job else {
            return Next::Failed(String::new());
        };
        let (from, count) = job.buffer.remaining();
        if count == 0 {
            return self.finish();
        }
        job.phase = JobPhase::Presenting;
        let name = job.set.as_ref().map_or("default", |s| s.name.as_str());
        let (syntax, schema) = (syntax(capabilities), schema(&job.page, capabilities));
        Next::Send(z3950::unit(tag::PRESENT_REQUEST, None, |w| {
            w.bytes(tag::SET_ID, name.as_bytes());
            w.integer(tag::START, from as i64 + 1);
            w.integer(tag::REQUESTED, count as i64);
            if let (Syntax::Xml, Some(schema)) = (syntax, schema) {
                w.inside(tag::ELEMENT_SET, |simple| {
                    simple.bytes(0, schema.names().short.as_bytes())
                });
            }
            w.oid_as(tag::SYNTAX, syntax.oid());
        }))
    }

    fn presented(
        &mut self,
        unit: &Item,
        bounds: &HostBounds,
        capabilities: &mut HostCapabilities,
        now: Time,
    ) -> Result<Next<Vec<u8>>, SessionError> {
        let records = records::read(unit, tag::RECORDS)?;
        let Some(job) = &mut self.job else {
            return Err(SessionError::NoJob);
        };
        let has_records = !records.is_empty();
        job.add_records(records);
        if job.buffer.is_done() {
            return Ok(self.finish());
        }
        match z3950::response_fault(unit) {
            // The host returned fewer records than requested, so the rest is requested again.
            None if has_records => Ok(self.present(capabilities)),
            None => Ok(Next::Failed("present response without records".to_owned())),
            Some(fault) if reject_form(&fault, &job.page, capabilities) => {
                Ok(self.present(capabilities))
            }
            // The set is smaller than its count. The records so far are all there is, and the count
            // will reveal the change.
            Some(fault) if fault.kind.bib1 == 13 => Ok(self.finish()),
            Some(fault) if matches!(fault.kind.bib1, 27 | 30) && !job.search_repeated => {
                job.search_repeated = true;
                job.buffer = RecordBuffer::default();
                Ok(self.search(bounds, capabilities, now))
            }
            Some(fault) => Ok(step_for_diagnostic(fault)),
        }
    }

    fn finish(&mut self) -> Next<Vec<u8>> {
        let Some(job) = self.job.take() else {
            return Next::Failed(String::new());
        };
        let (hits, exact) = job.set.as_ref().map_or((0, true), |s| (s.hits, s.exact));
        let records = if job.sort_here && job.range.count > 0 {
            match sort_locally(&job.page.sort, job.buffer.records, job.range) {
                Ok(records) => records,
                Err(fault) => return Next::Done(WorkResult::Refused(fault)),
            }
        } else {
            job.buffer.records
        };
        Next::Done(WorkResult::Found(found(hits, exact, records)))
    }
}

impl Job {
    fn add_records(&mut self, records: Vec<records::RecordResult>) {
        let limits = self.buffer.remaining().1 as usize;
        let record =
            |result: records::RecordResult| result.unwrap_or_else(crate::record::Record::refused);
        self.buffer
            .records
            .extend(records.into_iter().take(limits).map(record));
    }
}

fn set_key(job: &Job) -> String {
    // A sorted set is distinct from the unsorted set of the same query.
    let sort = if job.sort_here {
        String::new()
    } else {
        cql::write_sort(&job.page.sort)
    };
    format!("{} {} {sort}", job.database, job.page.query)
}

fn syntax(capabilities: &HostCapabilities) -> Syntax {
    SYNTAXES
        .into_iter()
        .find(|s| !capabilities.no_syntax.contains(s))
        .unwrap_or(Syntax::Xml)
}

/// The element set name for the schema; none for Dublin Core, which hosts return by default.
fn schema(page: &PageWork, capabilities: &HostCapabilities) -> Option<Schema> {
    Some(page.schema).filter(|s| *s != Schema::Dc && !capabilities.no_schema.contains(s))
}

/// Records that the host rejected the record syntax or schema. Returns whether another one is left
/// to request.
fn reject_form(fault: &Fault, page: &PageWork, capabilities: &mut HostCapabilities) -> bool {
    match fault.kind.bib1 {
        25 if schema(page, capabilities).is_some() => capabilities.no_schema.push(page.schema),
        238 | 239 if capabilities.no_syntax.len() + 1 < SYNTAXES.len() => {
            let refused = syntax(capabilities);
            capabilities.no_syntax.push(refused);
        }
        _ => return false,
    }
    true
}

#[cfg(test)]
mod tests;
