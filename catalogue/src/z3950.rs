//! Z39.50's data units, as far as both sides need them.

use crate::ber::{Item, Writer, universal};
use crate::rpn::Diagnostic;

/// The Bib-1 diagnostic set.
pub const DIAGNOSTICS: &str = "1.2.840.10003.4.1";
/// The record syntax XML.
pub const XML: &str = "1.2.840.10003.5.109.10";

/// A service, by the tag of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceKind {
    /// Begins a session.
    Init,
    /// Makes a result set.
    Search,
    /// Gives its records.
    Present,
    /// Not supported; answered with this tag, status tag and value, and condition.
    Unsupported(Unsupported),
    /// Ends a session.
    Close,
}

/// How the answer to an unsupported service is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unsupported {
    /// The response's tag.
    pub response: u32,
    /// The tag and the value of its status.
    pub status: (u32, i64),
    /// Where diagnostics stand: the tag, and whether they stand in a list.
    pub diagnostics: Option<(u32, bool)>,
    /// The condition in the Bib-1 set.
    pub condition: i64,
}

/// The services by the tags of their requests: data units are routed by it.
pub const SERVICES: &[(u32, ServiceKind)] = &[
    (tag::INIT_REQUEST, ServiceKind::Init),
    (tag::SEARCH_REQUEST, ServiceKind::Search),
    (tag::PRESENT_REQUEST, ServiceKind::Present),
    (tag::CLOSE, ServiceKind::Close),
    // Delete: the status says that the target does not do it.
    (
        26,
        ServiceKind::Unsupported(Unsupported {
            response: 27,
            status: (0, 3),
            diagnostics: None,
            condition: 3,
        }),
    ),
    // Scan: failure.
    (
        35,
        ServiceKind::Unsupported(Unsupported {
            response: 36,
            status: (4, 6),
            diagnostics: Some((7, true)),
            condition: 232,
        }),
    ),
    // Sort: failure.
    (
        43,
        ServiceKind::Unsupported(Unsupported {
            response: 44,
            status: (3, 2),
            diagnostics: Some((4, false)),
            condition: 207,
        }),
    ),
    // Extended services: failure.
    (
        46,
        ServiceKind::Unsupported(Unsupported {
            response: 47,
            status: (3, 3),
            diagnostics: Some((4, false)),
            condition: 221,
        }),
    ),
];

/// Tags of data units and of their parts.
pub mod tag {
    #![allow(missing_docs)]
    pub const INIT_REQUEST: u32 = 20;
    pub const INIT_RESPONSE: u32 = 21;
    pub const SEARCH_REQUEST: u32 = 22;
    pub const SEARCH_RESPONSE: u32 = 23;
    pub const PRESENT_REQUEST: u32 = 24;
    pub const PRESENT_RESPONSE: u32 = 25;
    pub const CLOSE: u32 = 48;

    pub const REFERENCE: u32 = 2;
    pub const VERSION: u32 = 3;
    pub const OPTIONS: u32 = 4;
    pub const PREFERRED_SIZE: u32 = 5;
    pub const EXCEPTIONAL_SIZE: u32 = 6;
    pub const RESULT: u32 = 12;
    pub const SMALL_SET: u32 = 13;
    pub const LARGE_SET: u32 = 14;
    pub const MEDIUM_SET: u32 = 15;
    pub const REPLACE: u32 = 16;
    pub const SET_NAME: u32 = 17;
    pub const DATABASES: u32 = 18;
    pub const QUERY: u32 = 21;
    pub const SEARCH_STATUS: u32 = 22;
    pub const RESULT_COUNT: u32 = 23;
    pub const RETURNED: u32 = 24;
    pub const NEXT_POSITION: u32 = 25;
    pub const SET_STATUS: u32 = 26;
    pub const PRESENT_STATUS: u32 = 27;
    pub const RECORDS: u32 = 28;
    pub const REQUESTED: u32 = 29;
    pub const START: u32 = 30;
    pub const SET_ID: u32 = 31;
    pub const SYNTAX: u32 = 104;
    pub const DATABASE: u32 = 105;
    pub const IMPLEMENTATION_ID: u32 = 110;
    pub const IMPLEMENTATION_NAME: u32 = 111;
    pub const IMPLEMENTATION_VERSION: u32 = 112;
    pub const DIAGNOSTIC: u32 = 130;
    pub const CLOSE_REASON: u32 = 211;
}

/// Why a session is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The program ends.
    Shutdown = 1,
    /// The peer broke the protocol.
    ProtocolError = 6,
    /// Nothing was asked for long.
    LackOfActivity = 7,
    /// The peer closes too.
    ResponseToPeer = 8,
}

/// A result set's standing where a search did not succeed in full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SetStatus {
    /// Partial, valid results.
    Subset = 1,
    /// No result set.
    None = 3,
}

/// One data unit, with the reference of the request it answers.
pub fn unit(tag: u32, reference: Option<&[u8]>, fill: impl FnOnce(&mut Writer)) -> Vec<u8> {
    let mut writer = Writer::default();
    writer.inside(tag, |w| {
        if let Some(reference) = reference {
            w.bytes(tag::REFERENCE, reference);
        }
        fill(w);
    });
    writer.finish()
}

/// What both sides say of themselves in Init: versions 2 and 3, search and present.
pub fn introduce(w: &mut Writer, most: usize) {
    w.bytes(tag::VERSION, &[5, 0b1110_0000]);
    w.bytes(tag::OPTIONS, &[6, 0b1100_0000]);
    w.integer(tag::PREFERRED_SIZE, most as i64);
    w.integer(tag::EXCEPTIONAL_SIZE, most as i64);
}

/// What both sides call themselves in Init.
pub fn name_self(w: &mut Writer) {
    w.bytes(tag::IMPLEMENTATION_ID, b"bitternsill");
    w.bytes(tag::IMPLEMENTATION_NAME, b"bitternsill");
    w.bytes(tag::IMPLEMENTATION_VERSION, env!("CARGO_PKG_VERSION").as_bytes());
}

/// A diagnostic's parts.
pub fn write_diagnostic(w: &mut Writer, diagnostic: &Diagnostic) {
    w.oid(DIAGNOSTICS);
    w.universal(universal::INTEGER, &crate::ber::integer(diagnostic.condition));
    w.universal(universal::VISIBLE, diagnostic.addinfo.as_bytes());
}

/// Records, as a response carries them.
pub fn write_records(w: &mut Writer, database: &str, records: &[String]) {
    w.inside(tag::RECORDS, |list| {
        for record in records {
            list.inside_universal(universal::SEQUENCE, |named| {
                named.bytes(0, database.as_bytes());
                named.inside(1, |choice| {
                    choice.inside(1, |retrieval| {
                        retrieval.inside_universal(universal::EXTERNAL, |external| {
                            external.oid(XML);
                            external.bytes(1, record.as_bytes());
                        });
                    });
                });
            });
        }
    });
}

/// The records of a response; `None` where one of them is no XML record.
pub fn read_records(response: &Item) -> Option<Vec<String>> {
    let Some(list) = response.get(tag::RECORDS) else { return Some(Vec::new()) };
    list.items()
        .iter()
        .map(|named| {
            let external = named.get(1)?.get(1)?.items().first()?;
            let is_xml = external.items().first()?.oid().as_deref() == Some(XML);
            external.get(1).filter(|_| is_xml)?.text()
        })
        .collect()
}

/// The diagnostic of a response, in words.
pub fn read_diagnostic(response: &Item) -> Option<(i64, String)> {
    let [_, condition, addinfo, ..] = response.get(tag::DIAGNOSTIC)?.items() else { return None };
    Some((condition.integer()?, addinfo.text().unwrap_or_default()))
}
