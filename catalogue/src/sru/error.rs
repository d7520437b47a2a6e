//! Why a response of an index host can't be used.

use thiserror::Error;

/// A response that is not the XML of the protocol.
#[derive(Debug, Error)]
pub enum ResponseError {
    /// It is no well-formed XML.
    #[error(transparent)]
    Xml(#[from] quick_xml::Error),
    /// A text in it has another encoding than it says.
    #[error(transparent)]
    Encoding(#[from] quick_xml::encoding::EncodingError),
    /// A record is no UTF-8.
    #[error(transparent)]
    Utf8(#[from] std::string::FromUtf8Error),
    /// A record can't be copied.
    #[error(transparent)]
    Copy(#[from] std::io::Error),
    /// Elements are nested deeper than any response of the protocol.
    #[error("nested too deep")]
    TooDeep,
    /// An end tag has no start tag.
    #[error("an end without its beginning")]
    UnmatchedEnd,
    /// The text ends within the response.
    #[error("the response is not whole")]
    Incomplete,
    /// The text ends within a record.
    #[error("recordData is not closed")]
    OpenRecord,
    /// An element that holds a count holds something else.
    #[error("{0} is no number")]
    NotANumber(String),
    /// An entity is none of the predefined ones.
    #[error("the entity {0} is not known")]
    UnknownEntity(String),
}
