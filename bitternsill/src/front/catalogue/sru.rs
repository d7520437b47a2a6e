//! SRU for readers' clients: searchRetrieve and explain, versions 1.1, 1.2 and 2.0.

use super::Shared;
use super::found::Found;
use crate::core::ports::{Answer, Caller, Reason, Refusal};
use crate::front::http::{Head, Response};
use crate::front::server::{Cx, Handled, Service};
use catalogue::cql::{self, CqlError, INDEXES};
use catalogue::escape;
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// The schema that records are given in.
pub const SCHEMA: &str = "info:srw/schema/1/dc-v1.1";

/// A diagnostic, as the standard numbers and words it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// Its number.
    pub number: u16,
    /// What it is about.
    pub details: String,
}

/// The standard's words for each number that is used.
const MESSAGES: &[(u16, &str)] = &[
    (1, "General system error"),
    (2, "System temporarily unavailable"),
    (4, "Unsupported operation"),
    (5, "Unsupported version"),
    (6, "Unsupported parameter value"),
    (7, "Mandatory parameter not supplied"),
    (8, "Unsupported parameter"),
    (10, "Query syntax error"),
    (16, "Unsupported index"),
    (19, "Unsupported relation"),
    (20, "Unsupported relation modifier"),
    (37, "Unsupported boolean operator"),
    (38, "Too many boolean operators in query"),
    (48, "Query feature unsupported"),
    (59, "Result set created with valid partial results available"),
    (61, "First record position out of range"),
    (66, "Unknown schema for retrieval"),
    (71, "Unsupported record packing"),
    (72, "XPath retrieval unsupported"),
    (80, "Sort not supported"),
    (110, "Stylesheets not supported"),
    (235, "Database does not exist"),
];

impl Diagnostic {
    fn new(number: u16, details: impl Into<String>) -> Self {
        Diagnostic { number, details: details.into() }
    }

    fn write(&self, version: Version, out: &mut String) {
        let message = MESSAGES.iter().find(|(n, _)| *n == self.number).map_or("", |(_, m)| m);
        let _ = write!(
            out,
            "<diagnostic xmlns=\"{}\"><uri>info:srw/diagnostic/1/{}</uri><details>{}</details>\
             <message>{message}</message></diagnostic>",
            version.diagnostics(),
            self.number,
            escape(&self.details),
        );
    }
}

impl From<CqlError> for Diagnostic {
    fn from(problem: CqlError) -> Self {
        match problem {
            CqlError::Syntax(what) => Diagnostic::new(10, what),
            CqlError::Index(index) => Diagnostic::new(16, index),
            CqlError::Relation(relation) => Diagnostic::new(19, relation),
            CqlError::RelationModifier(modifier) => Diagnostic::new(20, modifier),
            CqlError::Boolean(boolean) => Diagnostic::new(37, boolean),
            CqlError::TooDeep => Diagnostic::new(38, ""),
            CqlError::Sort => Diagnostic::new(80, ""),
            CqlError::Feature(what) => Diagnostic::new(48, what),
        }
    }
}

/// A version of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Version {
    /// 1.1
    V11,
    /// 1.2
    V12,
    /// 2.0
    V20,
}

impl Version {
    fn name(self) -> &'static str {
        match self {
            Version::V11 => "1.1",
            Version::V12 => "1.2",
            Version::V20 => "2.0",
        }
    }

    fn namespace(self) -> &'static str {
        match self {
            Version::V20 => "http://docs.oasis-open.org/ns/search-ws/sruResponse",
            _ => "http://www.loc.gov/zing/srw/",
        }
    }

    fn diagnostics(self) -> &'static str {
        match self {
            Version::V20 => "http://docs.oasis-open.org/ns/search-ws/diagnostic",
            _ => "http://www.loc.gov/zing/srw/diagnostic/",
        }
    }
}

/// An operation of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// A search, answered with records.
    SearchRetrieve,
    /// What the server offers.
    Explain,
}

/// The operations by their names: requests are routed by it, and it is what `describe openapi` prints.
pub const OPERATIONS: &[(&str, Operation)] =
    &[("searchRetrieve", Operation::SearchRetrieve), ("explain", Operation::Explain)];

/// The parameters that are understood, and what each is for.
pub const PARAMETERS: &[(&str, &str)] = &[
    ("operation", "searchRetrieve or explain"),
    ("version", "1.1, 1.2 or 2.0"),
    ("query", "The search, in CQL"),
    ("queryType", "cql, in version 2.0"),
    ("startRecord", "Position of the first record, from 1"),
    ("maximumRecords", "The most records that are wanted"),
    ("recordSchema", "dc"),
    ("recordPacking", "xml or string; what 2.0 calls recordXMLEscaping"),
    ("recordXMLEscaping", "xml or string"),
    ("httpAccept", "application/sru+xml or text/xml"),
    ("responseFormat", "application/sru+xml or text/xml"),
];

/// Each status that a response may have, and what that means.
pub const STATUSES: &[(u16, &str)] = &[
    (200, "The response; what is wrong with the request stands in its diagnostics"),
    (404, "No such database"),
    (500, "The search was given up"),
    (503, "Refused; trying again is harmless"),
    (504, "No answer in time"),
];

/// A search under way on a connection.
struct Search {
    version: Version,
    start: u64,
    most: usize,
    as_text: bool,
}

/// SRU on one connection.
pub struct Sru {
    catalogue: Shared,
    search: Option<Search>,
}

impl Sru {
    /// The service of one connection.
    pub fn new(catalogue: Shared) -> Self {
        Sru { catalogue, search: None }
    }

    fn search(
        &mut self,
        cx: &mut Cx<'_>,
        version: Version,
        given: &BTreeMap<String, String>,
    ) -> Result<(), (Diagnostic, u16)> {
        let bad = |number, details: &str| (Diagnostic::new(number, details), 200);
        let is = |name: &str, known: &[&str]| given.get(name).is_none_or(|v| known.contains(&v.as_str()));
        if !is("queryType", &["cql"]) {
            return Err(bad(6, "queryType"));
        }
        if !is("recordSchema", &["dc", SCHEMA]) {
            return Err(bad(66, &given["recordSchema"]));
        }
        let packing = if version == Version::V20 { "recordXMLEscaping" } else { "recordPacking" };
        if !is(packing, &["xml", "string"]) {
            return Err(bad(71, &given[packing]));
        }
        let number = |name: &str, least: u64, absent: u64| match given.get(name) {
            Some(text) => text.parse().ok().filter(|n| *n >= least).ok_or_else(|| bad(6, name)),
            None => Ok(absent),
        };
        let limit = cx.world.limits.records as u64;
        let start = number("startRecord", 1, 1)?;
        let most = number("maximumRecords", 0, 10)?;
        // A slice gives its first records only, up to the limit; what lies behind cannot be reached.
        if start > limit {
            return Err(bad(61, &start.to_string()));
        }
        let most = most.min(limit - (start - 1));
        let query = given.get("query").ok_or_else(|| bad(7, "query"))?;
        let node = cql::parse(query, cx.world.limits.depth).map_err(|e| (Diagnostic::from(e), 200))?;
        let wanted = if most == 0 { 0 } else { start - 1 + most };
        let caller = Caller(cx.token.bits());
        let taken =
            self.catalogue.search(cx.world, caller, wanted as usize, &node.to_string(), cx.since, cx.now);
        match taken {
            Ok(()) => {
                let as_text = given.get(packing).is_some_and(|p| p == "string");
                self.search = Some(Search { version, start, most: most as usize, as_text });
                Ok(())
            }
            Err(Refusal::TableFull { .. } | Refusal::Busy | Refusal::NameTaken) => {
                Err((Diagnostic::new(2, "too much is held"), 503))
            }
        }
    }

    fn explain(&self, version: Version, host: &str) -> Response {
        let catalogue = &self.catalogue;
        // The port is told beside it.
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let mut record = format!(
            "<explain xmlns=\"http://explain.z3950.org/dtd/2.0/\">\
             <serverInfo protocol=\"SRU\" version=\"{}\" transport=\"http\" method=\"GET\">\
             <host>{}</host><port>{}</port><database>{}</database></serverInfo>\
             <databaseInfo><title>{}</title></databaseInfo><indexInfo>\
             <set name=\"cql\" identifier=\"info:srw/cql-context-set/1/cql-v1.2\"/>\
             <set name=\"dc\" identifier=\"info:srw/cql-context-set/1/dc-v1.1\"/>\
             <set name=\"bath\" identifier=\"http://zing.z3950.org/cql/bath/2.0/\"/>",
            version.name(),
            escape(host),
            catalogue.sru.map_or(0, |a| a.port()),
            escape(&catalogue.database),
            escape(&catalogue.title),
        );
        for index in INDEXES {
            let (set, name) = index.name.split_once('.').unwrap_or(("cql", index.name));
            let _ = write!(
                record,
                "<index search=\"true\" scan=\"false\" sort=\"false\"><title>{}</title>\
                 <map><name set=\"{set}\">{name}</name></map></index>",
                index.title
            );
        }
        let _ = write!(
            record,
            "</indexInfo><schemaInfo><schema name=\"dc\" identifier=\"{SCHEMA}\" retrieve=\"true\">\
             <title>Dublin Core</title></schema></schemaInfo><configInfo>\
             <default type=\"numberOfRecords\">10</default></configInfo></explain>"
        );
        let mut out = begin(version, "explainResponse");
        let packing = if version == Version::V20 { "recordXMLEscaping" } else { "recordPacking" };
        let _ = write!(
            out,
            "<record><recordSchema>http://explain.z3950.org/dtd/2.0/</recordSchema>\
             <{packing}>xml</{packing}><recordData>{record}</recordData></record></explainResponse>"
        );
        respond(200, out)
    }
}

fn begin(version: Version, name: &str) -> String {
    let mut out = format!(
        "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<{name} xmlns=\"{}\"><version>{}</version>",
        version.namespace(),
        version.name()
    );
    if version == Version::V20 {
        // Version 2.0's responses carry no version element.
        out.truncate(out.len() - "<version>2.0</version>".len());
    }
    out
}

fn respond(status: u16, body: String) -> Response {
    Response { status, headers: Vec::new(), content_type: "text/xml; charset=utf-8", body: body.into_bytes() }
}

/// A search's response that carries nothing but a diagnostic.
fn diagnosed(version: Version, operation: Operation, status: u16, diagnostic: &Diagnostic) -> Response {
    let name = match operation {
        Operation::SearchRetrieve => "searchRetrieveResponse",
        Operation::Explain => "explainResponse",
    };
    let mut out = begin(version, name);
    if operation == Operation::SearchRetrieve {
        out.push_str("<numberOfRecords>0</numberOfRecords>");
    }
    out.push_str("<diagnostics>");
    diagnostic.write(version, &mut out);
    let _ = write!(out, "</diagnostics></{name}>");
    respond(status, out)
}

fn found(search: &Search, whole: bool, found: &Found) -> Response {
    let version = search.version;
    let mut out = begin(version, "searchRetrieveResponse");
    let _ = write!(out, "<numberOfRecords>{}</numberOfRecords>", found.hits);
    let packing = if version == Version::V20 { "recordXMLEscaping" } else { "recordPacking" };
    if !found.records.is_empty() {
        out.push_str("<records>");
        for (record, position) in found.records.iter().zip(search.start..) {
            let data = if search.as_text { escape(record) } else { record.clone() };
            let escaping = if search.as_text { "string" } else { "xml" };
            let _ = write!(
                out,
                "<record><recordSchema>{SCHEMA}</recordSchema><{packing}>{escaping}</{packing}>\
                 <recordData>{data}</recordData><recordPosition>{position}</recordPosition></record>"
            );
        }
        out.push_str("</records>");
        let next = search.start + found.records.len() as u64;
        if next <= found.hits {
            let _ = write!(out, "<nextRecordPosition>{next}</nextRecordPosition>");
        }
    }
    let beyond = found.hits > 0 && search.start > found.hits && search.most > 0;
    let partial = !whole && version != Version::V20;
    if beyond || partial {
        out.push_str("<diagnostics>");
        if partial {
            Diagnostic::new(59, "some slices did not answer in time").write(version, &mut out);
        }
        if beyond {
            Diagnostic::new(61, search.start.to_string()).write(version, &mut out);
        }
        out.push_str("</diagnostics>");
    }
    if version == Version::V20 {
        let precision = if whole { "exact" } else { "minimum" };
        let _ = write!(
            out,
            "<resultCountPrecision>info:srw/vocabulary/resultCountPrecision/1/{precision}\
             </resultCountPrecision>"
        );
    }
    out.push_str("</searchRetrieveResponse>");
    respond(200, out)
}

/// The parameters of a target's query; a name given twice keeps its first value.
fn parameters(query: &str) -> BTreeMap<String, String> {
    let mut given = BTreeMap::new();
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        given.entry(unescape(name)).or_insert_with(|| unescape(value));
    }
    given
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

impl Service for Sru {
    fn request(&mut self, cx: &mut Cx<'_>, head: &Head, body: &[u8]) -> Handled {
        let (method, target) = (head.start.0.as_str(), head.start.1.as_str());
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        if !matches!(method, "GET" | "HEAD" | "POST") {
            return Handled::Done(Response::no_route(&["GET", "HEAD", "POST"]));
        }
        let posted = String::from_utf8_lossy(body);
        let given = parameters(if method == "POST" { &posted } else { query });
        let version = match given.get("version").map(String::as_str) {
            Some("1.1") => Version::V11,
            Some("1.2") => Version::V12,
            Some("2.0") => Version::V20,
            // Before 2.0 an operation had to be named.
            None if given.contains_key("operation") => Version::V12,
            None => Version::V20,
            Some(other) => {
                let diagnostic = Diagnostic::new(5, format!("{other}; the highest here is 2.0"));
                let search = Operation::SearchRetrieve;
                return Handled::Done(diagnosed(Version::V12, search, 200, &diagnostic));
            }
        };
        let operation = match given.get("operation") {
            Some(name) => OPERATIONS.iter().find(|(known, _)| known == name).map(|(_, o)| *o),
            None if given.contains_key("query") => Some(Operation::SearchRetrieve),
            None => Some(Operation::Explain),
        };
        let say = |operation, status, diagnostic: &Diagnostic| {
            Handled::Done(diagnosed(version, operation, status, diagnostic))
        };
        let Some(operation) = operation else {
            return say(Operation::SearchRetrieve, 200, &Diagnostic::new(4, &given["operation"]));
        };
        if path.trim_matches('/') != self.catalogue.database {
            return say(operation, 404, &Diagnostic::new(235, path.trim_matches('/')));
        }
        for name in given.keys() {
            let number = match name.as_str() {
                name if PARAMETERS.iter().any(|(known, _)| *known == name) => continue,
                // Extensions may be ignored by a server that does not know them.
                name if name.starts_with("x-") => continue,
                "sortKeys" => 80,
                "recordXPath" => 72,
                "stylesheet" => 110,
                _ => 8,
            };
            return say(operation, 200, &Diagnostic::new(number, name));
        }
        match operation {
            Operation::Explain => Handled::Done(self.explain(version, head.get("Host").unwrap_or_default())),
            Operation::SearchRetrieve => match self.search(cx, version, &given) {
                Ok(()) => Handled::Waiting,
                Err((diagnostic, status)) => say(operation, status, &diagnostic),
            },
        }
    }

    fn answer(&mut self, _cx: &mut Cx<'_>, answer: &Answer) -> Response {
        let Some(search) = self.search.take() else { return Response::text(500, "no search is under way") };
        let say =
            |status, diagnostic| diagnosed(search.version, Operation::SearchRetrieve, status, &diagnostic);
        match answer {
            Answer::Served { whole, values } => {
                found(&search, *whole, &Found::merge(values, search.start, search.most))
            }
            Answer::Refused { hold_off } => {
                let mut response = say(503, Diagnostic::new(2, "ask again later"));
                if *hold_off > 0 {
                    response.headers.push(format!("Retry-After: {}", hold_off.div_ceil(1_000_000_000)));
                }
                response
            }
            Answer::Failed(Reason::TimeUp) => say(504, Diagnostic::new(1, "no answer in time")),
            Answer::Failed(_) => say(500, Diagnostic::new(1, "the search was given up")),
        }
    }
}
