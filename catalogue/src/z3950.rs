//! Z39.50 data units (ANSI/NISO Z39.50-2003, section 4), as far as client and server need them.

pub mod init;
pub mod records;
pub mod scan;
pub mod sort;

use crate::ber::{Class, Item, Writer, universal};
use crate::fault::{Fault, Kind};

/// The Bib-1 diagnostic set.
pub const DIAGNOSTICS: &str = "1.2.840.10003.4.1";

/// A service, identified by the tag of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Service {
    /// Opens a session.
    Init,
    /// Creates a result set.
    Search,
    /// Returns records of a result set.
    Present,
    /// Deletes result sets.
    Delete,
    /// Answers a challenge.
    AccessControl,
    /// Cancels an operation.
    TriggerResourceControl,
    /// Reports the resources used by an operation.
    ResourceReport,
    /// Lists terms of an index.
    Scan,
    /// Sorts a result set.
    Sort,
    /// Extended services, which are refused.
    Extended,
    /// Closes a session.
    Close,
}

/// The services by the tags of their requests; incoming data units are dispatched by this table.
pub const SERVICES: &[(u32, Service)] = &[
    (tag::INIT_REQUEST, Service::Init),
    (tag::SEARCH_REQUEST, Service::Search),
    (tag::PRESENT_REQUEST, Service::Present),
    (tag::DELETE_REQUEST, Service::Delete),
    (tag::ACCESS_RESPONSE, Service::AccessControl),
    (tag::TRIGGER_RESOURCE, Service::TriggerResourceControl),
    (tag::RESOURCE_REPORT_REQUEST, Service::ResourceReport),
    (tag::SCAN_REQUEST, Service::Scan),
    (tag::SORT_REQUEST, Service::Sort),
    (tag::EXTENDED_REQUEST, Service::Extended),
    (tag::CLOSE, Service::Close),
];

/// The service that a data unit requests.
pub fn service(unit: &Item) -> Option<Service> {
    let known = SERVICES
        .iter()
        .find(|(tag, _)| unit.class == Class::Context && *tag == unit.tag);
    known.map(|(_, service)| *service)
}

/// Tags of data units and their fields.
pub mod tag {
    #![allow(missing_docs)]
    pub const INIT_REQUEST: u32 = 20;
    pub const INIT_RESPONSE: u32 = 21;
    pub const SEARCH_REQUEST: u32 = 22;
    pub const SEARCH_RESPONSE: u32 = 23;
    pub const PRESENT_REQUEST: u32 = 24;
    pub const PRESENT_RESPONSE: u32 = 25;
    pub const DELETE_REQUEST: u32 = 26;
    pub const DELETE_RESPONSE: u32 = 27;
    pub const ACCESS_REQUEST: u32 = 28;
    pub const ACCESS_RESPONSE: u32 = 29;
    pub const TRIGGER_RESOURCE: u32 = 32;
    pub const RESOURCE_REPORT_REQUEST: u32 = 33;
    pub const RESOURCE_REPORT_RESPONSE: u32 = 34;
    pub const SCAN_REQUEST: u32 = 35;
    pub const SCAN_RESPONSE: u32 = 36;
    pub const SORT_REQUEST: u32 = 43;
    pub const SORT_RESPONSE: u32 = 44;
    pub const SEGMENT: u32 = 45;
    pub const EXTENDED_REQUEST: u32 = 46;
    pub const EXTENDED_RESPONSE: u32 = 47;
    pub const CLOSE: u32 = 48;

    pub const REFERENCE: u32 = 2;
    pub const VERSION: u32 = 3;
    pub const OPTIONS: u32 = 4;
    pub const PREFERRED_SIZE: u32 = 5;
    pub const EXCEPTIONAL_SIZE: u32 = 6;
    pub const AUTHENTICATION: u32 = 7;
    pub const USER_INFORMATION: u32 = 11;
    pub const RESULT: u32 = 12;
    pub const SMALL_SET: u32 = 13;
    pub const LARGE_SET: u32 = 14;
    pub const MEDIUM_SET: u32 = 15;
    pub const REPLACE: u32 = 16;
    pub const SET_NAME: u32 = 17;
    pub const DATABASES: u32 = 18;
    pub const ELEMENT_SET: u32 = 19;
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
    pub const SIMPLE_CHALLENGE: u32 = 37;
    pub const SIMPLE_RESPONSE: u32 = 38;
    pub const REQUESTED_ACTION: u32 = 46;
    pub const SMALL_ELEMENTS: u32 = 100;
    pub const MEDIUM_ELEMENTS: u32 = 101;
    pub const SYNTAX: u32 = 104;
    pub const DATABASE: u32 = 105;
    pub const IMPLEMENTATION_ID: u32 = 110;
    pub const IMPLEMENTATION_NAME: u32 = 111;
    pub const IMPLEMENTATION_VERSION: u32 = 112;
    pub const DIAGNOSTIC: u32 = 130;
    pub const RANGES: u32 = 212;
    pub const CLOSE_REASON: u32 = 211;
}

/// Why a session is closed (section 3.2.11.1.1).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The session is finished.
    Finished = 0,
    /// The server shuts down.
    Shutdown = 1,
    /// An internal failure.
    SystemProblem = 2,
    /// The cost limit was exceeded.
    CostLimit = 3,
    /// Resources are exhausted.
    Resources = 4,
    /// The client is not authenticated.
    Security = 5,
    /// The peer violated the protocol.
    ProtocolError = 6,
    /// The peer was inactive for too long.
    LackOfActivity = 7,
    /// Reply to a close by the peer.
    ResponseToPeer = 8,
}

/// The status of a result set after a search or sort that did not fully succeed (section
/// 3.2.2.1.11).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SetStatus {
    /// Partial, valid results.
    Subset = 1,
    /// No result set.
    None = 3,
}

/// Encodes a data unit, with the reference id of the request that it answers.
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

/// Encodes a Close.
pub fn close(reference: Option<&[u8]>, reason: CloseReason, message: &str) -> Vec<u8> {
    unit(tag::CLOSE, reference, |w| {
        w.integer(tag::CLOSE_REASON, reason as i64);
        if !message.is_empty() {
            w.bytes(3, message.as_bytes());
        }
    })
}

/// Writes the fields of a diagnostic in the default format (DefaultDiagFormat).
pub fn write_fault(w: &mut Writer, fault: &Fault) {
    w.oid(DIAGNOSTICS);
    w.universal(
        universal::INTEGER,
        &crate::ber::integer(i64::from(fault.kind.bib1)),
    );
    w.universal(universal::VISIBLE, fault.about.as_bytes());
}

/// Reads a diagnostic in the default format. One of another set or format becomes a general fault.
pub fn read_fault(item: &Item) -> Fault {
    match item.items() {
        [set, condition, rest @ ..] if set.oid().as_deref() == Some(DIAGNOSTICS) => {
            let about = rest.first().and_then(Item::text).unwrap_or_default();
            let number = condition.integer().and_then(|n| u16::try_from(n).ok());
            number.map_or(Kind::GENERAL, Kind::from_bib1).of(about)
        }
        _ => Kind::GENERAL.of("diagnostic of an unknown set"),
    }
}

/// The diagnostic that a search or present response carries instead of records.
pub fn response_fault(response: &Item) -> Option<Fault> {
    if let Some(fault) = response.get(tag::DIAGNOSTIC) {
        return Some(read_fault(fault));
    }
    // Of several diagnostics, only the first is used.
    response.get(205).map(|many| {
        let first = many.items().first();
        first.map_or(Kind::GENERAL.of(""), |f| {
            if f.class == Class::Universal {
                read_fault(f)
            } else {
                Kind::GENERAL.of("")
            }
        })
    })
}
