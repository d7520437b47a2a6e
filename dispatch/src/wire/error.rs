//! Errors of the simulator's line protocol.

use thiserror::Error;

/// A line that the protocol does not allow.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("line {line}: {problem}")]
pub struct WireError {
    /// The number of the line, from 1.
    pub line: u64,
    /// What is wrong with it.
    pub problem: ProtocolError,
}

/// What is wrong with a line.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// A line without a message inside a batch.
    #[error("an empty line inside a batch")]
    EmptyLine,
    /// A batch begins before the last one ended.
    #[error("FRAME inside a batch: EOF_BATCH is missing")]
    FrameInsideBatch,
    /// A message outside a batch.
    #[error("{0} outside a batch: FRAME is missing")]
    OutsideBatch(String),
    /// The input ended inside a batch.
    #[error("input ended inside batch {turn}: EOF_BATCH is missing")]
    UnfinishedBatch {
        /// The turn of the batch.
        turn: u64,
    },
    /// A message that the protocol does not have.
    #[error("unknown message `{0}`")]
    UnknownMessage(String),
    /// A message before the instance it is for was selected.
    #[error("{0}: no SELECT before it in this batch")]
    NothingSelected(String),
    /// A message for an instance that was never started.
    #[error("{message}: unknown instance `{instance}`")]
    UnknownInstance {
        /// The name of the message.
        message: String,
        /// The name of the instance.
        instance: String,
    },
    /// An endpoint list with fewer entries than it announced.
    #[error("{message}: SHEET {sheet} lacks entries")]
    IncompleteSheet {
        /// The message that came instead of an entry.
        message: String,
        /// The number of the list.
        sheet: usize,
    },
    /// A list number beyond those that the protocol has.
    #[error("SHEET: field `sheet` is over {most}: `{sheet}`")]
    SheetTooLarge {
        /// The number of the list.
        sheet: usize,
        /// The highest number.
        most: usize,
    },
    /// A reference to a list that was never sent.
    #[error("MEMBERSHIP: no SHEET numbered `{0}`")]
    UnknownSheet(usize),
    /// A query of a class that the settings lack.
    #[error("ORDER: field `band` names no class: `{0}`")]
    UnknownClass(usize),
    /// A shard number that does not fit 32 bits.
    #[error("ORDER: field `slab` is too large")]
    ShardTooLarge,
    /// A field that is absent.
    #[error("{message}: field `{field}` is missing")]
    MissingField {
        /// The name of the message.
        message: String,
        /// The name of the field.
        field: String,
    },
    /// A field whose value is not allowed.
    #[error("{message}: field `{field}` {problem}")]
    InvalidField {
        /// The name of the message.
        message: String,
        /// The name of the field.
        field: String,
        /// What is wrong with its value.
        problem: FieldProblem,
    },
    /// Settings that cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// What is wrong with the value of a field.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FieldProblem {
    /// It does not parse as a number of the field's type.
    #[error("is no such number: `{0}`")]
    NotANumber(String),
    /// It is infinite or not a number.
    #[error("is not finite")]
    NotFinite,
    /// It has a fraction.
    #[error("is not whole")]
    NotWhole,
    /// It is no flag.
    #[error("is neither 0 nor 1: `{0}`")]
    NotAFlag(String),
    /// It is none of the allowed words.
    #[error("has an unknown value: `{0}`")]
    Unknown(String),
}

/// Settings that cannot be used. Paths begin at `boot_info`.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The text is not JSON.
    #[error("INIT: field `boot_info` is not JSON: {0}")]
    NotJson(String),
    /// A setting is absent and has no default.
    #[error("INIT: setting `{0}` is missing")]
    Missing(String),
    /// A setting that is no number of 0 or more.
    #[error("INIT: setting `{0}` is no number of 0 or more")]
    NotANumber(String),
    /// A setting that is none of the allowed words.
    #[error("INIT: setting `{0}` is unknown")]
    Unknown(String),
}
