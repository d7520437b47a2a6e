//! SRU without HTTP: versions, requests and responses (Library of Congress 1.1 and 1.2, OASIS
//! searchRetrieve 2.0).

mod error;
pub mod explain;
pub mod request;
pub mod response;
pub mod soap;
mod xml;

pub use error::ResponseError;
pub use xml::{ParsedResponse, read_response};

use serde::{Deserialize, Serialize};

/// A protocol version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Version {
    /// 1.1
    V11,
    /// 1.2
    V12,
    /// 2.0
    V20,
}

impl Version {
    /// All versions, newest first.
    pub const ALL: [Version; 3] = [Version::V20, Version::V12, Version::V11];

    /// The version with this name.
    pub fn named(name: &str) -> Option<Version> {
        Self::ALL.into_iter().find(|v| v.name() == name)
    }

    /// The name of the version.
    pub fn name(self) -> &'static str {
        match self {
            Version::V11 => "1.1",
            Version::V12 => "1.2",
            Version::V20 => "2.0",
        }
    }

    /// The namespace of responses.
    pub fn namespace(self) -> &'static str {
        match self {
            Version::V20 => "http://docs.oasis-open.org/ns/search-ws/sruResponse",
            _ => "http://www.loc.gov/zing/srw/",
        }
    }

    /// The namespace of scan responses.
    pub fn scan_namespace(self) -> &'static str {
        match self {
            Version::V20 => "http://docs.oasis-open.org/ns/search-ws/scan",
            _ => "http://www.loc.gov/zing/srw/",
        }
    }

    /// The namespace of diagnostics.
    pub fn diagnostics(self) -> &'static str {
        match self {
            Version::V20 => "http://docs.oasis-open.org/ns/search-ws/diagnostic",
            _ => "http://www.loc.gov/zing/srw/diagnostic/",
        }
    }

    /// The name of the parameter and element for record packing.
    pub fn packing(self) -> &'static str {
        if self == Version::V20 {
            "recordXMLEscaping"
        } else {
            "recordPacking"
        }
    }
}

/// An operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// A search, which returns records.
    SearchRetrieve,
    /// Terms of an index.
    Scan,
    /// A description of the server.
    Explain,
}

impl Operation {
    /// The root element of the response.
    pub fn response(self) -> &'static str {
        match self {
            Operation::SearchRetrieve => "searchRetrieveResponse",
            Operation::Scan => "scanResponse",
            Operation::Explain => "explainResponse",
        }
    }
}

/// The operations by name. Requests are dispatched by this table, and `describe openapi` prints it.
pub const OPERATIONS: &[(&str, Operation)] = &[
    ("searchRetrieve", Operation::SearchRetrieve),
    ("scan", Operation::Scan),
    ("explain", Operation::Explain),
];

/// Each status that a response may have, and its meaning.
pub const STATUSES: &[(u16, &str)] = &[
    (
        200,
        "The response; what is wrong with the request stands in its diagnostics",
    ),
    (404, "No such database"),
    (406, "No form of response that the client takes"),
    (500, "The search was given up"),
    (503, "Refused; trying again is harmless"),
    (504, "No answer in time"),
];
