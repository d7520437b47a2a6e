//! What can be wrong with a request, in the numbers of both protocols.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A diagnostic: its number in Bib-1 (Z39.50, appendix DIAG) and in SRU's set
/// (`info:srw/diagnostic/1`), and what it is about.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// What is wrong.
    pub kind: Kind,
    /// What it is about; the standards call it addinfo and details.
    pub about: String,
}

/// What is wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Kind {
    /// Its number in Bib-1.
    pub bib1: u16,
    /// Its number in SRU's set.
    pub sru: u16,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $name:ident = $bib1:literal, $sru:literal, $words:literal;)*) => {
        impl Kind {
            $($(#[$doc])* pub const $name: Kind = Kind { bib1: $bib1, sru: $sru };)*
        }
        /// Every kind that is used, with SRU's words for it; the first of a number is what it is
        /// read as.
        const KINDS: &[(Kind, &str)] = &[$((Kind::$name, $words)),*];
    };
}

kinds! {
    /// Something failed that the client cannot help.
    GENERAL = 1, 1, "General system error";
    /// Too much is asked at present.
    BUSY = 2, 2, "System temporarily unavailable";
    /// No answer within the time.
    TIME = 31, 1, "General system error";
    /// A service or an operation that is not offered.
    OPERATION = 3, 4, "Unsupported operation";
    /// A version that is not spoken.
    VERSION = 1, 5, "Unsupported version";
    /// A parameter with a value that cannot be used.
    VALUE = 108, 6, "Unsupported parameter value";
    /// A parameter that must be there.
    MISSING = 108, 7, "Mandatory parameter not supplied";
    /// A parameter that is not known.
    PARAMETER = 108, 8, "Unsupported parameter";
    /// A query that breaks its grammar.
    SYNTAX = 108, 10, "Query syntax error";
    /// A query language other than those offered.
    QUERY_TYPE = 107, 6, "Unsupported parameter value";
    /// A context set of CQL, or an attribute set of a type-1 query.
    SET_OF_NAMES = 121, 15, "Unsupported context set";
    /// An index, or a use attribute.
    INDEX = 114, 16, "Unsupported index";
    /// A relation.
    RELATION = 117, 19, "Unsupported relation";
    /// A relation modifier, or the structure attribute that stands for it.
    MODIFIER = 118, 20, "Unsupported relation modifier";
    /// An index that does not go with this relation.
    COMBINATION = 123, 22, "Unsupported combination of relation and index";
    /// A term of another form than the index has.
    TERM = 125, 36, "Term in invalid format for index or relation";
    /// A term without text.
    EMPTY_TERM = 125, 27, "Empty term unsupported";
    /// Masking of characters.
    MASKING = 120, 28, "Masking character not supported";
    /// Anchoring.
    ANCHOR = 119, 31, "Anchoring character not supported";
    /// A boolean, or an operator.
    BOOLEAN = 110, 37, "Unsupported boolean operator";
    /// More booleans than the limit.
    TOO_COMPLEX = 5, 38, "Too many boolean operators in query";
    /// Proximity.
    PROXIMITY = 201, 39, "Proximity not supported";
    /// The unit of a proximity.
    PROXIMITY_UNIT = 132, 42, "Unsupported proximity unit";
    /// A boolean's modifier.
    BOOLEAN_MODIFIER = 110, 46, "Unsupported boolean modifier";
    /// A feature of the language.
    FEATURE = 3, 48, "Query feature unsupported";
    /// A set of that name was never made, or ended with its session.
    NO_SET = 30, 51, "Result set does not exist";
    /// A set that was there is gone: expired, evicted or changed.
    SET_GONE = 27, 51, "Result set does not exist";
    /// The name of a set that may not be replaced.
    SET_EXISTS = 21, 1, "General system error";
    /// More sets than are kept.
    TOO_MANY_SETS = 112, 52, "Result set temporarily unavailable";
    /// A set whose name cannot be used.
    SET_NAME = 128, 51, "Result set does not exist";
    /// Slices are missing; what is there is right.
    PARTIAL = 33, 59, "Result set created with valid partial results available";
    /// A position outside the set.
    RANGE = 13, 61, "First record position out of range";
    /// Records in a schema that is not offered.
    SCHEMA = 25, 66, "Unknown schema for retrieval";
    /// A record that does not exist in the schema that is wanted.
    NOT_IN_SCHEMA = 238, 67, "Record not available in this schema";
    /// A record syntax that is not offered.
    RECORD_SYNTAX = 239, 67, "Record not available in this schema";
    /// A record longer than the client takes.
    RECORD_TOO_LONG = 17, 70, "Record too large to send";
    /// A record longer than one message may be.
    RECORD_OVER_MESSAGE = 16, 70, "Record too large to send";
    /// A packing other than xml and string.
    PACKING = 108, 71, "Unsupported record packing";
    /// XPath.
    XPATH = 108, 72, "XPath retrieval unsupported";
    /// Sorting, at hosts that cannot.
    SORT = 207, 80, "Sort not supported";
    /// A sort key that cannot be sorted by.
    SORT_KEY = 207, 81, "Unsupported sort type";
    /// More records than are sorted.
    SORT_TOO_MANY = 230, 83, "Too many records to sort";
    /// More keys than are sorted by.
    SORT_KEYS = 211, 84, "Too many sort keys to sort";
    /// A record without the key, where none may lack it.
    SORT_MISSING = 237, 93, "Sort ended due to missing value";
    /// An action for missing values that is not offered.
    SORT_MISSING_ACTION = 213, 92, "Unsupported missing value action";
    /// A style sheet.
    STYLESHEET = 108, 110, "Stylesheets not supported";
    /// A scan with another step than 0.
    SCAN_STEP = 205, 6, "Unsupported parameter value";
    /// A scan that is not offered, or not for this index.
    SCAN = 232, 4, "Unsupported operation";
    /// A scan's position out of its list.
    SCAN_POSITION = 233, 120, "Response position out of range";
    /// More terms than a scan gives.
    SCAN_TOO_MANY = 234, 121, "Too many terms requested";
    /// A database that is not there.
    DATABASE = 235, 235, "Database does not exist";
    /// A database that is there but not for this.
    DATABASE_CLOSED = 109, 235, "Database does not exist";
    /// More databases, or other ones together, than are searched at once.
    DATABASES = 23, 235, "Database does not exist";
    /// The client has not said who it is.
    AUTHENTICATION = 1010, 3, "Authentication error";
    /// The client is not who it says.
    PASSWORD = 1011, 3, "Authentication error";
    /// An extended service.
    EXTENDED_SERVICE = 221, 4, "Unsupported operation";
    /// An attribute type.
    ATTRIBUTE_TYPE = 113, 48, "Query feature unsupported";
    /// A term's type.
    TERM_TYPE = 229, 36, "Term in invalid format for index or relation";
}

impl Kind {
    /// SRU's words for it.
    pub fn words(self) -> &'static str {
        let exact = KINDS.iter().find(|(kind, _)| *kind == self);
        exact
            .or_else(|| KINDS.iter().find(|(kind, _)| kind.sru == self.sru))
            .map_or("", |(_, words)| words)
    }

    /// What a Bib-1 number stands for; an unknown one keeps its number and is a general error in
    /// SRU.
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

    /// What a number of SRU's set stands for; an unknown one keeps its number and is a general
    /// error in Bib-1.
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

    /// Whether another host, or the same one later, may well answer: it speaks of the server, not
    /// of the request.
    pub fn is_of_the_server(self) -> bool {
        matches!(self.bib1, 1 | 2 | 31) && matches!(self.sru, 1 | 2)
    }

    /// As the fault of something.
    pub fn of(self, about: impl Into<String>) -> Fault {
        Fault {
            kind: self,
            about: about.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let words = self.kind.words().to_lowercase();
        match self.about.as_str() {
            "" => f.write_str(&words),
            about => write!(f, "{words}: {about}"),
        }
    }
}

impl std::error::Error for Fault {}

#[cfg(test)]
mod tests;
