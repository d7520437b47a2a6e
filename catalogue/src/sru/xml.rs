//! Parses the responses of index hosts, regardless of version, namespace prefixes and packing.

use crate::fault::{Fault, Kind};
use crate::merge::{Facet, Term};
use crate::record::Record;
use crate::sru::error::ResponseError;
use quick_xml::Writer;
use quick_xml::events::{BytesStart, Event};
use quick_xml::reader::Reader;

/// A parsed response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ParsedResponse {
    /// The local name of the root element.
    pub root: String,
    /// `version`, if present.
    pub version: Option<String>,
    /// `numberOfRecords` of the search.
    pub hits: Option<u64>,
    /// Whether the host reports the count as exact.
    pub exact: bool,
    /// The records in order; a surrogate diagnostic becomes a record with a fault.
    pub records: Vec<Record>,
    /// The non-surrogate diagnostics.
    pub faults: Vec<Fault>,
    /// The terms of a scan.
    pub terms: Vec<Term>,
    /// The facets, if the host counts them.
    pub facets: Option<Vec<Facet>>,
}

/// Maximum nesting outside records, more than any response of the protocol needs.
const DEPTH: usize = 64;

#[derive(Default)]
struct State {
    response: ParsedResponse,
    path: Vec<String>,
    /// The namespace declarations of each open element, which records may rely on.
    declared: Vec<Vec<(String, String)>>,
    fault: Option<(String, String)>,
    term: Option<Term>,
    facet: Option<Facet>,
    facet_term: (String, u64),
}

/// Parses a response.
pub fn read_response(text: &str) -> Result<ParsedResponse, ResponseError> {
    let mut reader = Reader::from_str(text);
    let mut state = State::default();
    state.response.exact = true;
    let mut current = String::new();
    loop {
        match reader.read_event()? {
            Event::Start(start) => {
                current.clear();
                let name = local(&start);
                if state.path.is_empty() && state.response.root.is_empty() {
                    state.response.root.clone_from(&name);
                }
                state.declared.push(declarations(&start));
                if name == "recordData" {
                    let record = record(&mut reader, &start, &state.declared)?;
                    state.declared.pop();
                    state.response.records.push(record);
                    continue;
                }
                if state.path.len() >= DEPTH {
                    return Err(ResponseError::TooDeep);
                }
                state.open(&name);
                state.path.push(name);
            }
            Event::Empty(start) if local(&start) == "recordData" => {
                state.response.records.push(Record::new(String::new()));
            }
            Event::End(_) => {
                let Some(name) = state.path.pop() else {
                    return Err(ResponseError::UnmatchedEnd);
                };
                state.declared.pop();
                state.close(&name, current.trim())?;
                current.clear();
            }
            Event::Text(text) => current.push_str(&text.decode()?),
            Event::CData(text) => current.push_str(&text.decode()?),
            Event::GeneralRef(reference) => current.push_str(&resolve(&reference)?),
            Event::Eof => break,
            _ => {}
        }
    }
    if !state.path.is_empty() || state.response.root.is_empty() {
        return Err(ResponseError::Incomplete);
    }
    Ok(state.response)
}

impl State {
    fn open(&mut self, name: &str) {
        match name {
            "diagnostic" => self.fault = Some(Default::default()),
            "term" if self.facet.is_none() => {
                self.term = Some(Term {
                    text: String::new(),
                    display: None,
                    count: 0,
                })
            }
            "facet" => {
                self.facet = Some(Facet {
                    index: String::new(),
                    values: Vec::new(),
                })
            }
            "facetedResults" => {
                self.response.facets.get_or_insert_default();
            }
            _ => {}
        }
    }

    fn close(&mut self, name: &str, text: &str) -> Result<(), ResponseError> {
        let parent = self.path.last().map_or("", String::as_str);
        let number = |text: &str| {
            text.parse::<u64>()
                .map_err(|_| ResponseError::NotANumber(name.to_owned()))
        };
        match (name, parent) {
            ("uri", "diagnostic") => {
                if let Some(fault) = &mut self.fault {
                    text.clone_into(&mut fault.0);
                }
            }
            ("details", "diagnostic") => {
                if let Some(fault) = &mut self.fault {
                    text.clone_into(&mut fault.1);
                }
            }
            ("diagnostic", _) => {
                if let Some((uri, details)) = self.fault.take() {
                    self.response.faults.push(fault(&uri, &details));
                }
            }
            ("numberOfRecords", "term") => {
                if let Some(term) = &mut self.term {
                    term.count = number(text)?;
                }
            }
            ("value", "term") => {
                if let Some(term) = &mut self.term {
                    text.clone_into(&mut term.text);
                }
            }
            ("displayTerm", "term") => {
                if let Some(term) = &mut self.term {
                    term.display = Some(text.to_owned());
                }
            }
            ("actualTerm", "term") => text.clone_into(&mut self.facet_term.0),
            ("count", "term") => self.facet_term.1 = number(text)?,
            ("term", _) => match &mut self.facet {
                Some(facet) => facet.values.push(std::mem::take(&mut self.facet_term)),
                None => self.response.terms.extend(self.term.take()),
            },
            ("index", "facet") => {
                if let Some(facet) = &mut self.facet {
                    let known = crate::index::by_name(text);
                    facet.index = known.map_or(text.to_owned(), |i| i.name.to_owned());
                }
            }
            ("facet", _) => {
                if let (Some(facet), Some(all)) = (self.facet.take(), &mut self.response.facets) {
                    all.push(facet);
                }
            }
            ("numberOfRecords", _) => self.response.hits = Some(number(text)?),
            ("version", root) if self.path.len() == 1 && root == self.response.root => {
                self.response.version = Some(text.to_owned());
            }
            ("resultCountPrecision", _) => self.response.exact = text.ends_with("/exact"),
            _ => {}
        }
        Ok(())
    }
}

/// A diagnostic from its identifier. One of another set becomes a general fault.
fn fault(uri: &str, details: &str) -> Fault {
    let number = uri
        .strip_prefix("info:srw/diagnostic/1/")
        .and_then(|n| n.parse().ok());
    match number {
        Some(number) => Kind::from_sru(number).of(details),
        None => Kind::GENERAL.of(format!("{uri} {details}")),
    }
}

fn local(start: &BytesStart<'_>) -> String {
    String::from_utf8_lossy(start.local_name().as_ref()).into_owned()
}

fn declarations(start: &BytesStart<'_>) -> Vec<(String, String)> {
    let declared = |a: quick_xml::events::attributes::Attribute<'_>| {
        let key = String::from_utf8_lossy(a.key.as_ref()).into_owned();
        let prefix = key.strip_prefix("xmlns:")?.to_owned();
        let value = a
            .normalized_value(quick_xml::XmlVersion::Implicit1_0)
            .ok()?
            .into_owned();
        Some((prefix, value))
    };
    start.attributes().flatten().filter_map(declared).collect()
}

fn resolve(reference: &quick_xml::events::BytesRef<'_>) -> Result<String, ResponseError> {
    if let Some(c) = reference.resolve_char_ref()? {
        return Ok(c.to_string());
    }
    let name = reference.decode()?;
    let known = quick_xml::escape::resolve_predefined_entity(&name);
    known
        .map(str::to_owned)
        .ok_or_else(|| ResponseError::UnknownEntity(name.into_owned()))
}

/// Reads the record in `recordData`, which is either XML or escaped XML.
fn record(
    reader: &mut Reader<&[u8]>,
    start: &BytesStart<'_>,
    declared: &[Vec<(String, String)>],
) -> Result<Record, ResponseError> {
    let end = start.to_end().into_owned();
    let mut writer = Writer::new(Vec::new());
    let (mut depth, mut elements) = (0usize, 0usize);
    let mut text = String::new();
    loop {
        let mut event = reader.read_event()?;
        match &event {
            Event::End(e) if depth == 0 && e.name() == end.name() => break,
            Event::End(_) => depth = depth.checked_sub(1).ok_or(ResponseError::UnmatchedEnd)?,
            Event::Eof => return Err(ResponseError::OpenRecord),
            Event::Text(t) if depth == 0 => text.push_str(&t.decode()?),
            Event::CData(t) if depth == 0 => text.push_str(&t.decode()?),
            Event::GeneralRef(r) if depth == 0 => text.push_str(&resolve(r)?),
            _ => {}
        }
        if let Event::Start(e) | Event::Empty(e) = &mut event {
            elements += 1;
            // Prefixes declared outside the record are copied into it.
            if depth == 0 {
                let own: Vec<String> = declarations(e)
                    .into_iter()
                    .map(|(prefix, _)| prefix)
                    .collect();
                let mut seen = own;
                for (prefix, uri) in declared.iter().rev().flatten() {
                    if !seen.contains(prefix) {
                        e.push_attribute((format!("xmlns:{prefix}").as_str(), uri.as_str()));
                        seen.push(prefix.clone());
                    }
                }
            }
        }
        if matches!(event, Event::Start(_)) {
            depth += 1;
        }
        if elements > 0 {
            writer.write_event(event)?;
        }
    }
    if elements == 0 {
        return Ok(Record::new(text.trim().to_owned()));
    }
    let xml = String::from_utf8(writer.into_inner())?;
    let xml = without_unused_declarations(xml.trim(), declared);
    // A surrogate diagnostic.
    if let Some((name, _)) = crate::record::tree::root(&xml)
        && name == "diagnostic"
        && let Ok(root) = crate::record::tree::read(&xml)
    {
        let of = |name: &str| root.find(name).map(|e| e.text.clone()).unwrap_or_default();
        return Ok(Record {
            fault: Some(fault(&of("uri"), &of("details"))),
            ..Record::new(xml)
        });
    }
    Ok(Record::new(xml))
}

/// Removes copied namespace declarations that the record does not use.
fn without_unused_declarations(xml: &str, declared: &[Vec<(String, String)>]) -> String {
    let mut out = xml.to_owned();
    for (prefix, uri) in declared.iter().flatten() {
        let used = out.contains(&format!("<{prefix}:")) || out.contains(&format!(" {prefix}:"));
        if !used {
            out = out.replacen(
                &format!(" xmlns:{prefix}=\"{}\"", crate::escape(uri)),
                "",
                1,
            );
        }
    }
    out
}

#[cfg(test)]
mod tests;
