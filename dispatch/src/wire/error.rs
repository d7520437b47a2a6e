//! Errors of the simulator's line protocol.

use thiserror::Error;

/// A protocol error and its position.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("line {line}: {problem}")]
pub struct WireError {
    /// Number of the line, from 1.
    pub line: u64,
    /// The protocol error.
    pub problem: ProtocolError,
}

/// A violation of the protocol.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// An empty line inside a batch.
    #[error("an empty line inside a batch")]
    EmptyLine,
    /// A batch begins before the previous one has ended.
    #[error("FRAME inside a batch: EOF_BATCH is missing")]
    FrameInsideBatch,
    /// A message outside a batch.
    #[error("{0} outside a batch: FRAME is missing")]
    OutsideBatch(String),
    /// The input ended inside a batch.
    #[error("input ended inside batch {turn}: EOF_BATCH is missing")]
    UnfinishedBatch {
        /// Turn of the batch.
        turn: u64,
    },
    /// A message with an unknown name.
    #[error("unknown message `{0}`")]
    UnknownMessage(String),
    /// A message for an instance before one was selected.
    #[error("{0}: no SELECT before it in this batch")]
    NothingSelected(String),
    /// A message for an instance that is not running.
    #[error("{message}: unknown instance `{instance}`")]
    UnknownInstance {
        /// The name of the message.
        message: String,
        /// The name of the instance.
        instance: String,
    },
    /// An endpoint list with fewer entries than announced.
    #[error("{message}: SHEET {sheet} is incomplete")]
    IncompleteSheet {
        /// The message received instead of an entry.
        message: String,
        /// The number of the list.
        sheet: usize,
    },
    /// The number of an endpoint list is too high.
    #[error("SHEET: field `sheet` exceeds {max}: `{sheet}`")]
    SheetTooLarge {
        /// The number of the list.
        sheet: usize,
        /// The maximum number.
        max: usize,
    },
    /// A reference to an endpoint list that was never sent.
    #[error("MEMBERSHIP: unknown SHEET `{0}`")]
    UnknownSheet(usize),
    /// A query of a class that is not in the settings.
    #[error("ORDER: field `band` is not the index of a class: `{0}`")]
    UnknownClass(usize),
    /// A shard number that exceeds 32 bits.
    #[error("ORDER: field `slab` is too large")]
    ShardTooLarge,
    /// A missing field.
    #[error("{message}: field `{field}` is missing")]
    MissingField {
        /// The name of the message.
        message: String,
        /// The name of the field.
        field: String,
    },
    /// A field with an invalid value.
    #[error("{message}: field `{field}` {problem}")]
    InvalidField {
        /// The name of the message.
        message: String,
        /// The name of the field.
        field: String,
        /// The problem with its value.
        problem: FieldProblem,
    },
    /// Invalid settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// The problem with the value of a field.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FieldProblem {
    /// Not a number of the field's type.
    #[error("is not a valid number: `{0}`")]
    NotANumber(String),
    /// Infinite or NaN.
    #[error("is not finite")]
    NotFinite,
    /// Not an integer.
    #[error("is not an integer")]
    NotAnInteger,
    /// Not a flag.
    #[error("is neither 0 nor 1: `{0}`")]
    NotAFlag(String),
    /// Not one of the known values.
    #[error("has an unknown value: `{0}`")]
    Unknown(String),
}

/// An error in the settings. Paths begin at `boot_info`.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The text is not valid JSON.
    #[error("INIT: field `boot_info` is not JSON: {0}")]
    NotJson(String),
    /// A required setting is missing.
    #[error("INIT: setting `{0}` is missing")]
    Missing(String),
    /// A setting that is not a non-negative number.
    #[error("INIT: setting `{0}` is not a non-negative number")]
    NotANumber(String),
    /// A setting with an unknown value.
    #[error("INIT: setting `{0}` has an unknown value")]
    Unknown(String),
}
