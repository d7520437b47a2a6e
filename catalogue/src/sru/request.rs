//! Parses requests. Parameters come from a URL, a form or a SOAP body and are checked against the
//! request's version.

use super::{OPERATIONS, Operation, Version};
use crate::cql::{self, Clause, Node, Query, Relation};
use crate::fault::{Fault, Kind};
use crate::index;
use crate::merge::FacetRequest;
use crate::record::Schema;
use crate::sort::{self, SortKey};
use std::collections::BTreeMap;

/// The supported parameters: name, the versions that define it (1.1, 1.2, 2.0), and a description.
/// Requests are checked against this table, and `describe openapi` prints it.
pub const PARAMETERS: &[(&str, [bool; 3], &str)] = &[
    (
        "operation",
        [true, true, true],
        "searchRetrieve, scan or explain",
    ),
    ("version", [true, true, true], "1.1, 1.2 or 2.0"),
    ("query", [true, true, true], "The search, in CQL"),
    ("queryType", [false, false, true], "cql"),
    (
        "startRecord",
        [true, true, true],
        "Position of the first record, from 1",
    ),
    (
        "maximumRecords",
        [true, true, true],
        "The most records that are wanted",
    ),
    (
        "recordSchema",
        [true, true, true],
        "dc, mods or marcxml, by short name or identifier",
    ),
    (
        "recordPacking",
        [true, true, true],
        "xml or string; in 2.0 packed or unpacked",
    ),
    ("recordXMLEscaping", [false, false, true], "xml or string"),
    (
        "resultSetTTL",
        [true, true, true],
        "Seconds that the result set is wanted for",
    ),
    (
        "sortKeys",
        [true, true, true],
        "path,schema,ascending,caseSensitive,missingValue, by spaces",
    ),
    (
        "stylesheet",
        [true, true, true],
        "A style sheet for the response",
    ),
    ("renderedBy", [false, false, true], "client"),
    (
        "httpAccept",
        [false, false, true],
        "application/sru+xml or text/xml",
    ),
    ("responseType", [false, false, true], "As httpAccept"),
    ("responseFormat", [false, false, true], "As httpAccept"),
    (
        "facetLimit",
        [false, false, true],
        "Values of facets: number:index, by commas",
    ),
    ("facetSort", [false, false, true], "recordCount"),
    ("facetStart", [false, false, true], "1"),
    (
        "facetCount",
        [false, false, true],
        "Whether counts are wanted",
    ),
    (
        "scanClause",
        [true, true, true],
        "The index and the starting point of a scan, in CQL",
    ),
    (
        "responsePosition",
        [true, true, true],
        "Where the starting point stands in a scan's list",
    ),
    (
        "maximumTerms",
        [true, true, true],
        "The most terms that are wanted",
    ),
    ("extraRequestData", [true, true, true], "Passed over"),
    ("recordXPath", [true, true, false], "Refused"),
];

/// Limits of a request.
#[derive(Debug, Clone, Copy)]
pub struct RequestBounds {
    /// Maximum nesting of a query.
    pub depth: usize,
    /// Maximum records of one page.
    pub page: u64,
    /// Maximum terms of one scan.
    pub terms: u32,
    /// Maximum sort keys.
    pub sort_keys: usize,
    /// Maximum values of one facet.
    pub facet_values: u32,
    /// Maximum number of facets.
    pub facets: usize,
}

/// The form of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Form {
    /// The protocol version.
    pub version: Version,
    /// The operation.
    pub operation: Operation,
    /// Whether records are packed as escaped text instead of XML.
    pub as_text: bool,
    /// The record schema.
    pub schema: Schema,
    /// The style sheet to reference.
    pub stylesheet: Option<String>,
    /// Whether the response is wrapped in a SOAP envelope.
    pub soap: bool,
    /// Whether the client accepts `application/sru+xml` by name.
    pub sru_xml: bool,
}

/// A search request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SearchRequest {
    /// The query and its sort keys.
    pub query: Query,
    /// The first requested position, from 1.
    pub start: u64,
    /// Maximum number of records to return.
    pub max_records: u64,
    /// The requested lifetime of the result set, in seconds.
    pub ttl: Option<u64>,
    /// The requested facets.
    pub facets: Vec<FacetRequest>,
}

/// A scan request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScanRequest {
    /// The index and the starting point.
    pub clause: Clause,
    /// Position of the starting point in the list, from 1.
    pub position: u32,
    /// The number of terms.
    pub number: u32,
}

/// A request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// A search.
    Search(SearchRequest),
    /// A scan.
    Scan(ScanRequest),
    /// A description of the server.
    Explain,
}

/// A rejected request and the form of its response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused {
    /// The form of the response.
    pub form: Form,
    /// The reason.
    pub fault: Fault,
    /// The HTTP status of the response.
    pub status: u16,
}

/// Parses the query of a URL or the body of a form. If a name is repeated, the first value counts.
pub fn parameters(query: &str) -> BTreeMap<String, String> {
    let mut parameters = BTreeMap::new();
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        parameters
            .entry(unescape(name))
            .or_insert_with(|| unescape(value));
    }
    parameters
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let hex = |b: u8| char::from(b).to_digit(16);
        match bytes[at..] {
            [b'%', high, low, ..] if hex(high).is_some() && hex(low).is_some() => {
                out.push((hex(high).unwrap_or(0) * 16 + hex(low).unwrap_or(0)) as u8);
                at += 3;
            }
            [b'+', ..] => {
                out.push(b' ');
                at += 1;
            }
            [byte, ..] => {
                out.push(byte);
                at += 1;
            }
            [] => break,
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Percent-encodes a text for use in a URL.
pub fn percent(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            out.push(char::from(byte));
        } else {
            out.push_str(&format!("%{byte:02X}"));
        }
    }
    out
}

struct ParameterReader<'a> {
    parameters: &'a BTreeMap<String, String>,
    bounds: &'a RequestBounds,
    version: Version,
}

impl ParameterReader<'_> {
    fn get(&self, name: &str) -> Option<&str> {
        self.parameters.get(name).map(String::as_str)
    }

    fn number(&self, name: &str, min: u64, default: u64) -> Result<u64, Fault> {
        match self.get(name) {
            Some(text) => text
                .trim()
                .parse()
                .ok()
                .filter(|n| *n >= min)
                .ok_or_else(|| Kind::VALUE.of(name)),
            None => Ok(default),
        }
    }

    fn one_of(&self, name: &str, known: &[&str]) -> Result<(), Fault> {
        match self.get(name) {
            Some(value) if !known.contains(&value) => {
                Err(Kind::VALUE.of(format!("{name}: {}", known.join(" or "))))
            }
            _ => Ok(()),
        }
    }

    /// Checks that the version defines every parameter, apart from extensions.
    fn check_names(&self) -> Result<(), Fault> {
        for name in self.parameters.keys() {
            let known = PARAMETERS.iter().find(|(known, ..)| known == name);
            match known {
                _ if name == "recordXPath" => return Err(Kind::XPATH.of("")),
                Some((_, versions, _)) if versions[self.version as usize] => {}
                // Servers may ignore extensions that they do not know.
                None if name.starts_with("x-") => {}
                _ => return Err(Kind::PARAMETER.of(name.as_str())),
            }
        }
        Ok(())
    }

    fn form(&self, form: &mut Form) -> Result<(), Fault> {
        if let Some(name) = self.get("recordSchema").filter(|n| !n.is_empty()) {
            form.schema = Schema::named(name).ok_or_else(|| Kind::SCHEMA.of(name))?;
        }
        // Version 2.0 gave the name `recordPacking` another meaning.
        if self.version == Version::V20 {
            self.one_of("recordPacking", &["packed", "unpacked", "xml", "string"])?;
        }
        form.as_text = match self.get(self.version.packing()) {
            None | Some("xml") => false,
            Some("string") => true,
            Some(other) => return Err(Kind::PACKING.of(other)),
        };
        for name in ["httpAccept", "responseType", "responseFormat"] {
            if let Some(wanted) = self.get(name) {
                form.sru_xml |=
                    accepts(wanted).ok_or_else(|| Kind::VALUE.of(format!("{name}: {wanted}")))?;
            }
        }
        if let Some(sheet) = self.get("stylesheet").filter(|s| !s.is_empty()) {
            // The value is written into a processing instruction and must not terminate it.
            if sheet.contains("?>") || sheet.contains(['"', '<', '\n', '\r']) {
                return Err(Kind::VALUE.of("stylesheet"));
            }
            self.one_of("renderedBy", &["client"])?;
            form.stylesheet = Some(sheet.to_owned());
        }
        Ok(())
    }

    fn sort(&self, query: &Query) -> Result<Vec<SortKey>, Fault> {
        match self.get("sortKeys").filter(|k| !k.trim().is_empty()) {
            // `sortBy` in the query takes precedence over this parameter (1.2, "sortKeys").
            Some(keys) if query.sort.is_empty() => {
                sort::read_sort_keys(keys, self.bounds.sort_keys)
            }
            _ => Ok(query.sort.clone()),
        }
    }

    fn search(&self) -> Result<SearchRequest, Fault> {
        self.one_of("queryType", &["cql"])?;
        let text = self.get("query").ok_or_else(|| Kind::MISSING.of("query"))?;
        let query = cql::parse(text, self.bounds.depth)?;
        let sort = self.sort(&query)?;
        if sort.len() > self.bounds.sort_keys {
            return Err(Kind::SORT_KEYS.of(self.bounds.sort_keys.to_string()));
        }
        let ttl = self
            .get("resultSetTTL")
            .map(|_| self.number("resultSetTTL", 0, 0))
            .transpose()?;
        Ok(SearchRequest {
            query: Query { sort, ..query },
            start: self.number("startRecord", 1, 1)?,
            max_records: self.number("maximumRecords", 0, 10)?.min(self.bounds.page),
            ttl,
            facets: self.facets()?,
        })
    }

    /// Parses `facetLimit` (2.0, "Facet Parameters"), such as `10:dc.subject,5:dc.date`. The
    /// standard's bare number, a limit for every facet, is rejected because no facets are counted
    /// by default.
    fn facets(&self) -> Result<Vec<FacetRequest>, Fault> {
        let Some(limits) = self.get("facetLimit") else {
            return Ok(Vec::new());
        };
        self.one_of("facetSort", &["recordCount"])?;
        self.one_of("facetStart", &["1"])?;
        let mut requests = Vec::new();
        for part in limits.split(',').filter(|p| !p.trim().is_empty()) {
            let bad = || Kind::VALUE.of(format!("facetLimit: {part}"));
            let (limit, name) = part.split_once(':').ok_or_else(bad)?;
            let limit: u32 = limit.trim().parse().map_err(|_| bad())?;
            let index = index::by_name(name.trim()).ok_or_else(|| Kind::INDEX.of(name.trim()))?;
            requests.push(FacetRequest {
                index: index.name.to_owned(),
                limit: limit.min(self.bounds.facet_values),
            });
        }
        if requests.len() > self.bounds.facets {
            return Err(
                Kind::VALUE.of(format!("facetLimit: {} facets at most", self.bounds.facets))
            );
        }
        Ok(requests)
    }

    fn scan(&self) -> Result<ScanRequest, Fault> {
        let text = self
            .get("scanClause")
            .ok_or_else(|| Kind::MISSING.of("scanClause"))?;
        let query = cql::parse(text, 2)?;
        let Node::Clause(clause) = query.root else {
            return Err(Kind::SYNTAX.of("scanClause is one index and one term"));
        };
        if !query.sort.is_empty() || !clause.index.scan {
            return Err(Kind::INDEX.of(clause.index.name));
        }
        if !matches!(clause.relation, Relation::Equal | Relation::Exact) {
            return Err(Kind::RELATION.of(clause.relation.name()));
        }
        let number = self.number("maximumTerms", 1, 20)?;
        let number = u32::try_from(number)
            .unwrap_or(u32::MAX)
            .min(self.bounds.terms);
        let position = self.number("responsePosition", 0, 1)?;
        if position > u64::from(number) + 1 {
            return Err(Kind::SCAN_POSITION.of(position.to_string()));
        }
        Ok(ScanRequest {
            clause,
            position: position as u32,
            number,
        })
    }
}

/// Returns `None` if no media type in the list is supported, otherwise whether SRU's own type is in
/// the list.
fn accepts(list: &str) -> Option<bool> {
    let types = || {
        list.split(',')
            .map(|t| t.split(';').next().unwrap_or_default().trim())
    };
    if types().any(|t| t == "application/sru+xml") {
        return Some(true);
    }
    let plain = [
        "*/*",
        "text/*",
        "text/xml",
        "application/xml",
        "application/*",
        "text/html",
        "",
    ];
    types().any(|t| plain.contains(&t)).then_some(false)
}

/// Parses a request. `named` is the operation if the transport names it, as SOAP does; `accept` is
/// the client's Accept header.
pub fn read(
    parameters: &BTreeMap<String, String>,
    named: Option<Operation>,
    accept: Option<&str>,
    bounds: &RequestBounds,
) -> Result<(Form, Request), Box<Refused>> {
    let operation_name = parameters.get("operation").map(String::as_str);
    let operation = match (named, operation_name) {
        (Some(operation), _) => Some(operation),
        (None, Some(operation_name)) => OPERATIONS
            .iter()
            .find(|(known, _)| *known == operation_name)
            .map(|(_, o)| *o),
        (None, None) if parameters.contains_key("query") => Some(Operation::SearchRetrieve),
        (None, None) if parameters.contains_key("scanClause") => Some(Operation::Scan),
        (None, None) => Some(Operation::Explain),
    };
    let version_name = parameters.get("version").map(String::as_str);
    let version = match version_name {
        Some(name) => Version::named(name),
        // Versions before 2.0 require the `operation` parameter.
        None if operation_name.is_some() || named.is_some() => Some(Version::V12),
        None => Some(Version::V20),
    };
    let mut form = Form {
        version: version.unwrap_or(Version::V12),
        operation: operation.unwrap_or(Operation::SearchRetrieve),
        as_text: false,
        schema: Schema::Dc,
        stylesheet: None,
        soap: named.is_some(),
        sru_xml: false,
    };
    let refuse = |form: &Form, fault: Fault, status| {
        Box::new(Refused {
            form: form.clone(),
            fault,
            status,
        })
    };
    let Some(version) = version else {
        let fault = Kind::VERSION.of(format!(
            "{}; the highest here is 2.0",
            version_name.unwrap_or_default()
        ));
        return Err(refuse(&form, fault, 200));
    };
    let Some(operation) = operation else {
        return Err(refuse(
            &form,
            Kind::OPERATION.of(operation_name.unwrap_or_default()),
            200,
        ));
    };
    let reader = ParameterReader {
        parameters,
        bounds,
        version,
    };
    // Only version 2.0 defines negotiation by this header. Browsers send it with requests of older
    // versions as well.
    if version == Version::V20 && !parameters.contains_key("httpAccept") {
        match accept.map(accepts) {
            Some(None) => return Err(refuse(&form, Kind::VALUE.of("Accept"), 406)),
            Some(Some(own)) => form.sru_xml |= own,
            None => {}
        }
    }
    let read = reader
        .check_names()
        .and_then(|()| reader.form(&mut form))
        .and_then(|()| match operation {
            Operation::SearchRetrieve => reader.search().map(Request::Search),
            Operation::Scan => reader.scan().map(Request::Scan),
            Operation::Explain => Ok(Request::Explain),
        });
    match read {
        Ok(request) => Ok((form, request)),
        Err(fault) => Err(refuse(&form, fault, 200)),
    }
}

#[cfg(test)]
mod tests;
