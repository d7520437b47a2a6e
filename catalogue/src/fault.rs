//! Diagnostics for requests, with their numbers in both protocols.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A diagnostic: its kind, with the numbers in Bib-1 (Z39.50, appendix DIAG) and in SRU's set
/// (`info:srw/diagnostic/1`), and its details.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The kind of diagnostic.
    pub kind: Kind,
    /// The details, which the standards call addinfo and details.
    pub about: String,
}

/// The kind of a diagnostic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Kind {
    /// The number in Bib-1.
    pub bib1: u16,
    /// The number in SRU's set.
    pub sru: u16,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $name:ident = $bib1:literal, $sru:literal, $message:literal;)*) => {
        impl Kind {
            $($(#[$doc])* pub const $name: Kind = Kind { bib1: $bib1, sru: $sru };)*
        }
        /// All kinds in use, with SRU's messages. If several share a number, that number is read as
        /// the first of them.
        const KINDS: &[(Kind, &str)] = &[$((Kind::$name, $message)),*];
    };
}

kinds! {
    /// An internal failure that the client cannot resolve.
    GENERAL = 1, 1, "General system error";
    /// The service is overloaded.
    BUSY = 2, 2, "System temporarily unavailable";
    /// No answer within the time limit.
    TIME = 31, 1, "General system error";
    /// An unsupported service or operation.
    OPERATION = 3, 4, "Unsupported operation";
    /// An unsupported protocol version.
    VERSION = 1, 5, "Unsupported version";
    /// An unsupported parameter value.
    VALUE = 108, 6, "Unsupported parameter value";
    /// A missing mandatory parameter.
    MISSING = 108, 7, "Mandatory parameter not supplied";
    /// An unknown parameter.
    PARAMETER = 108, 8, "Unsupported parameter";
    /// A query with a syntax error.
    SYNTAX = 108, 10, "Query syntax error";
    /// An unsupported query language.
    QUERY_TYPE = 107, 6, "Unsupported parameter value";
    /// An unsupported CQL context set, or attribute set of a type-1 query.
    CONTEXT_SET = 121, 15, "Unsupported context set";
    /// An unsupported index or use attribute.
    INDEX = 114, 16, "Unsupported index";
    /// An unsupported relation.
    RELATION = 117, 19, "Unsupported relation";
    /// An unsupported relation modifier, or the structure attribute that corresponds to it.
    MODIFIER = 118, 20, "Unsupported relation modifier";
    /// An unsupported combination of relation and index.
    COMBINATION = 123, 22, "Unsupported combination of relation and index";
    /// A term in the wrong format for its index.
    TERM = 125, 36, "Term in invalid format for index or relation";
    /// An empty term.
    EMPTY_TERM = 125, 27, "Empty term unsupported";
    /// Unsupported masking characters.
    MASKING = 120, 28, "Masking character not supported";
    /// Unsupported anchoring.
    ANCHOR = 119, 31, "Anchoring character not supported";
    /// An unsupported boolean or operator.
    BOOLEAN = 110, 37, "Unsupported boolean operator";
    /// More booleans than the limit.
    TOO_COMPLEX = 5, 38, "Too many boolean operators in query";
    /// Unsupported proximity.
    PROXIMITY = 201, 39, "Proximity not supported";
    /// An unsupported proximity unit.
    PROXIMITY_UNIT = 132, 42, "Unsupported proximity unit";
    /// An unsupported boolean modifier.
    BOOLEAN_MODIFIER = 110, 46, "Unsupported boolean modifier";
    /// An unsupported feature of the query language.
    FEATURE = 3, 48, "Query feature unsupported";
    /// A result set that never existed or ended with its session.
    NO_SET = 30, 51, "Result set does not exist";
    /// A result set that expired, was evicted, or has changed.
    SET_GONE = 27, 51, "Result set does not exist";
    /// A result set name in use, without permission to replace the set.
    SET_EXISTS = 21, 1, "General system error";
    /// More result sets than the limit.
    TOO_MANY_SETS = 112, 52, "Result set temporarily unavailable";
    /// An invalid result set name.
    SET_NAME = 128, 51, "Result set does not exist";
    /// Slices are missing; the results present are valid.
    PARTIAL = 33, 59, "Result set created with valid partial results available";
    /// A position outside the result set.
    RANGE = 13, 61, "First record position out of range";
    /// An unsupported record schema.
    SCHEMA = 25, 66, "Unknown schema for retrieval";
    /// A record that is not available in the requested schema.
    NOT_IN_SCHEMA = 238, 67, "Record not available in this schema";
    /// An unsupported record syntax.
    RECORD_SYNTAX = 239, 67, "Record not available in this schema";
    /// A record longer than the client accepts.
    RECORD_TOO_LONG = 17, 70, "Record too large to send";
    /// A record that exceeds one message.
    RECORD_OVER_MESSAGE = 16, 70, "Record too large to send";
    /// A record packing other than xml and string.
    PACKING = 108, 71, "Unsupported record packing";
    /// XPath retrieval, which is unsupported.
    XPATH = 108, 72, "XPath retrieval unsupported";
    /// Sorting is not supported by the host.
    SORT = 207, 80, "Sort not supported";
    /// An unsupported sort key.
    SORT_KEY = 207, 81, "Unsupported sort type";
    /// More records than can be sorted.
    SORT_TOO_MANY = 230, 83, "Too many records to sort";
    /// More sort keys than the limit.
    SORT_KEYS = 211, 84, "Too many sort keys to sort";
    /// A record lacks a sort key that is mandatory.
    SORT_MISSING = 237, 93, "Sort ended due to missing value";
    /// An unsupported action for missing values.
    SORT_MISSING_ACTION = 213, 92, "Unsupported missing value action";
    /// A style sheet, which is unsupported.
    STYLESHEET = 108, 110, "Stylesheets not supported";
    /// A scan with a step size other than 0.
    SCAN_STEP = 205, 6, "Unsupported parameter value";
    /// A scan that is unsupported, in general or for the index.
    SCAN = 232, 4, "Unsupported operation";
    /// A scan position outside the list.
    SCAN_POSITION = 233, 120, "Response position out of range";
    /// More terms than the limit of a scan.
    SCAN_TOO_MANY = 234, 121, "Too many terms requested";
    /// An unknown database.
    DATABASE = 235, 235, "Database does not exist";
    /// A known database that does not support the request.
    DATABASE_CLOSED = 109, 235, "Database does not exist";
    /// An unsupported combination of databases.
    DATABASES = 23, 235, "Database does not exist";
    /// The client did not authenticate.
    AUTHENTICATION = 1010, 3, "Authentication error";
    /// Wrong credentials.
    PASSWORD = 1011, 3, "Authentication error";
    /// An extended service, which is unsupported.
    EXTENDED_SERVICE = 221, 4, "Unsupported operation";
    /// An unsupported attribute type.
    ATTRIBUTE_TYPE = 113, 48, "Query feature unsupported";
    /// An unsupported term type.
    TERM_TYPE = 229, 36, "Term in invalid format for index or relation";
}

impl Kind {
    /// The message of SRU's set.
    pub fn message(self) -> &'static str {
        let exact = KINDS.iter().find(|(kind, _)| *kind == self);
        exact
            .or_else(|| KINDS.iter().find(|(kind, _)| kind.sru == self.sru))
            .map_or("", |(_, message)| message)
    }

    /// The kind for a Bib-1 number. An unknown number is kept, and maps to a general error in SRU.
    pub fn from_bib1(number: u16) -> Kind {
        let known = KINDS.iter().find(|(kind, _)| kind.bib1 == number);
        known.map_or(
            Kind {
                bib1: number,
                sru: 1,
            },
            |(kind, _)| *kind,
        )
    }

    /// The kind for a number of SRU's set. An unknown number is kept, and maps to a general error
    /// in Bib-1.
    pub fn from_sru(number: u16) -> Kind {
        let known = KINDS.iter().find(|(kind, _)| kind.sru == number);
        known.map_or(
            Kind {
                bib1: 1,
                sru: number,
            },
            |(kind, _)| *kind,
        )
    }

    /// Whether the fault concerns the server and not the request, so that another host, or the same
    /// one later, may succeed.
    pub fn is_server_fault(self) -> bool {
        matches!(self.bib1, 1 | 2 | 31) && matches!(self.sru, 1 | 2)
    }

    /// Creates a diagnostic of this kind with details.
    pub fn of(self, about: impl Into<String>) -> Fault {
        Fault {
            kind: self,
            about: about.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let message = self.kind.message().to_lowercase();
        match self.about.as_str() {
            "" => f.write_str(&message),
            about => write!(f, "{message}: {about}"),
        }
    }
}

impl std::error::Error for Fault {}

#[cfg(test)]
mod tests;
