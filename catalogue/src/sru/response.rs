//! Writes responses in the form of each version.

use super::request::Form;
use super::{Operation, Version};
use crate::escape;
use crate::fault::{Fault, Kind};
use crate::merge::Precision;
use crate::operation::{Page, Scanned};
use crate::record::{Record, Schema};
use std::fmt::Write as _;

/// The schema of surrogate diagnostics.
const DIAGNOSTICS_SCHEMA: &str = "info:srw/schema/1/diagnostics-v1.1";

/// Writes a diagnostic.
pub fn diagnostic(version: Version, fault: &Fault, out: &mut String) {
    let _ = write!(
        out,
        "<diagnostic xmlns=\"{}\"><uri>info:srw/diagnostic/1/{}</uri><details>{}</details>\
         <message>{}</message></diagnostic>",
        version.diagnostics(),
        fault.kind.sru,
        escape(&fault.about),
        escape(fault.kind.message()),
    );
}

fn begin(form: &Form) -> String {
    let mut out = String::new();
    if !form.soap {
        out.push_str("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n");
        if let Some(sheet) = &form.stylesheet {
            let _ = writeln!(
                out,
                "<?xml-stylesheet type=\"text/xsl\" href=\"{}\"?>",
                escape(sheet)
            );
        }
    }
    let namespace = match form.operation {
        Operation::Scan => form.version.scan_namespace(),
        _ => form.version.namespace(),
    };
    let _ = write!(out, "<{} xmlns=\"{namespace}\">", form.operation.response());
    // Responses of version 2.0 have no version element.
    if form.version != Version::V20 {
        let _ = write!(out, "<version>{}</version>", form.version.name());
    }
    out
}

fn end(form: &Form, mut out: String) -> String {
    let _ = write!(out, "</{}>", form.operation.response());
    if form.soap {
        super::soap::wrap(&out)
    } else {
        out
    }
}

fn diagnostics(form: &Form, faults: &[Fault], out: &mut String) {
    if !faults.is_empty() {
        out.push_str("<diagnostics>");
        for fault in faults {
            diagnostic(form.version, fault, out);
        }
        out.push_str("</diagnostics>");
    }
}

/// A response with only a diagnostic.
pub fn refused(form: &Form, fault: &Fault) -> String {
    let mut out = begin(form);
    if form.operation == Operation::SearchRetrieve {
        out.push_str("<numberOfRecords>0</numberOfRecords>");
    }
    diagnostics(form, std::slice::from_ref(fault), &mut out);
    end(form, out)
}

/// The diagnostics of a page, in order of output. Versions differ in what they report as a
/// diagnostic.
fn page_faults(form: &Form, page: &Page) -> Vec<Fault> {
    let mut faults = Vec::new();
    if page.replaced {
        faults.push(Kind::SET_GONE.of(format!(
            "the previous result set has changed; it is replaced by {}",
            page.token
        )));
    }
    // Version 2.0 reports missing slices through the precision of the count.
    let reported = |fault: &&Fault| fault.kind != Kind::PARTIAL || form.version != Version::V20;
    faults.extend(page.diagnostics.iter().filter(reported).cloned());
    if page.count.hits > 0 && page.start > page.count.hits && page.wanted == 0 {
        faults.push(Kind::RANGE.of(page.start.to_string()));
    }
    if page.short.is_some() && !page.records.is_empty() {
        faults.push(Kind::BUSY.of(format!(
            "records from position {} are temporarily unavailable",
            page.start + page.records.len() as u64
        )));
    }
    faults
}

fn record(form: &Form, record: &Record, position: u64, out: &mut String) {
    let packing = form.version.packing();
    let (schema, xml) = match (&record.fault, record.to_xml(form.schema, false)) {
        (None, Ok(xml)) => (form.schema.names().identifier, xml),
        // A record in an unknown schema is delivered unchanged if the default schema was requested.
        (None, Err(_)) if record.schema.is_none() && form.schema == Schema::Dc => {
            (form.schema.names().identifier, record.xml.clone())
        }
        (fault, _) => {
            let fault = fault
                .clone()
                .unwrap_or_else(|| Kind::NOT_IN_SCHEMA.of(form.schema.names().short));
            let mut xml = String::new();
            diagnostic(form.version, &fault, &mut xml);
            (DIAGNOSTICS_SCHEMA, xml)
        }
    };
    let data = if form.as_text { escape(&xml) } else { xml };
    let escaping = if form.as_text { "string" } else { "xml" };
    let _ = write!(
        out,
        "<record><recordSchema>{schema}</recordSchema><{packing}>{escaping}</{packing}>\
         <recordData>{data}</recordData><recordPosition>{position}</recordPosition></record>"
    );
}

fn facets(page: &Page, out: &mut String) {
    if page.facets.is_empty() {
        return;
    }
    out.push_str(
        "<facetedResults xmlns=\"http://docs.oasis-open.org/ns/search-ws/facetedResults\"><facets>",
    );
    for merged in &page.facets {
        let index = escape(&merged.facet.index);
        let _ = write!(
            out,
            "<facet><index>{index}</index><relation>=</relation><terms>"
        );
        for (value, count) in &merged.facet.values {
            let query = format!(
                "{} = \"{}\"",
                merged.facet.index,
                value.replace('"', "\\\"")
            );
            let _ = write!(
                out,
                "<term><actualTerm>{}</actualTerm><query>{}</query><count>{count}</count></term>",
                escape(value),
                escape(&query)
            );
        }
        out.push_str("</terms></facet>");
    }
    out.push_str("</facets></facetedResults>");
}

/// A search response. `idle` is the lifetime of the unused set in seconds.
pub fn page(form: &Form, page: &Page, idle: u64) -> String {
    let mut out = begin(form);
    let _ = write!(
        out,
        "<numberOfRecords>{}</numberOfRecords>",
        page.count.hits
    );
    let idle_name = if form.version == Version::V20 {
        "resultSetTTL"
    } else {
        "resultSetIdleTime"
    };
    let _ = write!(
        out,
        "<resultSetId>{}</resultSetId><{idle_name}>{idle}</{idle_name}>",
        page.token
    );
    if !page.records.is_empty() {
        out.push_str("<records>");
        for (one, position) in page.records.iter().zip(page.start..) {
            record(form, one, position, &mut out);
        }
        out.push_str("</records>");
    }
    // No next position is given after an empty page. It would equal the requested one, whose record
    // was unavailable or not wanted.
    if let Some(next) = page.next().filter(|_| !page.records.is_empty()) {
        let _ = write!(out, "<nextRecordPosition>{next}</nextRecordPosition>");
    }
    diagnostics(form, &page_faults(form, page), &mut out);
    if form.version == Version::V20 {
        let precision = if page.count.precision == Precision::Exact {
            "exact"
        } else {
            "minimum"
        };
        let _ = write!(
            out,
            "<resultCountPrecision>info:srw/vocabulary/resultCountPrecision/1/{precision}\
             </resultCountPrecision>"
        );
        facets(page, &mut out);
    }
    end(form, out)
}

/// A scan response.
pub fn scan(form: &Form, scanned: &Scanned) -> String {
    let mut out = begin(form);
    if !scanned.terms.is_empty() {
        out.push_str("<terms>");
        for term in &scanned.terms {
            let _ = write!(
                out,
                "<term><value>{}</value><numberOfRecords>{}</numberOfRecords>",
                escape(&term.text),
                term.count
            );
            if let Some(display) = &term.display {
                let _ = write!(out, "<displayTerm>{}</displayTerm>", escape(display));
            }
            out.push_str("</term>");
        }
        out.push_str("</terms>");
    }
    diagnostics(form, &scanned.diagnostics, &mut out);
    end(form, out)
}

/// An explain response that contains `record`.
pub fn explain(form: &Form, record: &str) -> String {
    let mut out = begin(form);
    let packing = form.version.packing();
    let data = if form.as_text {
        escape(record)
    } else {
        record.to_owned()
    };
    let escaping = if form.as_text { "string" } else { "xml" };
    let _ = write!(
        out,
        "<record><recordSchema>http://explain.z3950.org/dtd/2.0/</recordSchema>\
         <{packing}>{escaping}</{packing}><recordData>{data}</recordData></record>"
    );
    end(form, out)
}
