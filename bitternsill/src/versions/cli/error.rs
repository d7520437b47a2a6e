//! Errors of the commands on versions.

use crate::core::settings::SettingsError;
use crate::store::client::ClientError;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use store::state::Rejection;
use thiserror::Error;
use versions::rollout::Blocker;

/// Why a command failed. The messages name a remedy where there is one.
#[derive(Debug, Error)]
pub(super) enum CommandError {
    /// The store did not respond, or its response is unexpected.
    #[error(transparent)]
    Store(#[from] ClientError),
    /// `--least` is out of its range.
    #[error("--least must be a fraction from 0 to 1, not {0}")]
    Least(f64),
    /// Neither a file nor an earlier proposal is given.
    #[error("give a settings file, or use --back-to")]
    NoSettings,
    /// The settings file can't be used.
    #[error("{file}: {problem}", file = .file.display())]
    File {
        /// The file.
        file: PathBuf,
        /// What is wrong with it.
        problem: FileProblem,
    },
    /// The proposal is not among the retained ones.
    #[error("proposal {0} is not one of the recently active proposals")]
    UnknownProposal(u64),
    /// The proposal to compare with is not among the retained ones.
    #[error("the proposal to compare with is not one of the recently active proposals")]
    UnknownComparison,
    /// There is no proposal to compare with.
    #[error("there is no proposal")]
    NoProposal,
    /// Some gatherers run programs that can't read this format of documents.
    #[error("not proposed: these gatherers do not read document format {format}: {names}", names = .gatherers.join(", "))]
    OldPrograms {
        /// The format.
        format: u64,
        /// The gatherers.
        gatherers: Vec<String>,
    },
    /// The store rejected the proposal.
    #[error("not proposed: {0}")]
    NotProposed(Rejection),
    /// There is no proposal to activate.
    #[error("{0}")]
    NothingToActivate(String),
    /// Gatherers prevent the activation.
    #[error("not activated; prevented by:{names}", names = lines(.0))]
    Blocked(BTreeMap<String, Blocker>),
    /// The store rejected the activation.
    #[error("not activated, the store has changed in the meantime: {0}")]
    NotActivated(Rejection),
    /// No gatherer has this name.
    #[error("no gatherer is named {name}; known gatherers are {names}", names = .known.join(", "))]
    UnknownGatherer {
        /// The name.
        name: String,
        /// The names that are known.
        known: Vec<String>,
    },
    /// The store rejected the change.
    #[error("not done: {0}")]
    NotDone(Rejection),
    /// The outcome of the change is unknown.
    #[error("it is unknown whether this was {0}: check with `fleet versions`")]
    Unknown(&'static str),
}

/// What is wrong with a settings file.
#[derive(Debug, Error)]
pub(super) enum FileProblem {
    /// It can't be read.
    #[error(transparent)]
    Read(#[from] std::io::Error),
    /// It is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The settings in it can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

impl CommandError {
    /// A problem with a file.
    pub(super) fn in_file(file: &Path, problem: impl Into<FileProblem>) -> Self {
        CommandError::File {
            file: file.to_owned(),
            problem: problem.into(),
        }
    }
}

fn lines(blockers: &BTreeMap<String, Blocker>) -> String {
    blockers
        .iter()
        .map(|(name, blocker)| format!("\n  {name} {blocker}"))
        .collect()
}
