//! Errors in the responses of index hosts.

use thiserror::Error;

/// A response that is not valid XML of the protocol.
#[derive(Debug, Error)]
pub enum ResponseError {
    /// The XML is not well-formed.
    #[error(transparent)]
    Xml(#[from] quick_xml::Error),
    /// Text does not match the declared encoding.
    #[error(transparent)]
    Encoding(#[from] quick_xml::encoding::EncodingError),
    /// A record is not UTF-8.
    #[error(transparent)]
    Utf8(#[from] std::string::FromUtf8Error),
    /// A record cannot be copied.
    #[error(transparent)]
    Copy(#[from] std::io::Error),
    /// Elements are nested too deep.
    #[error("elements nested too deep")]
    TooDeep,
    /// An end tag has no start tag.
    #[error("end tag without a start tag")]
    UnmatchedEnd,
    /// The text ends within the response.
    #[error("the response is truncated")]
    Incomplete,
    /// The text ends within a record.
    #[error("recordData is not closed")]
    OpenRecord,
    /// An element that should hold a count does not.
    #[error("{0} is not a number")]
    NotANumber(String),
    /// An entity is not one of the predefined ones.
    #[error("unknown entity {0}")]
    UnknownEntity(String),
}
