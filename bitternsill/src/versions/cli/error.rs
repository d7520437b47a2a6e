//! Why a command on versions did not do what was asked.

use crate::core::settings::SettingsError;
use crate::store::client::ClientError;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use store::state::Rejection;
use thiserror::Error;
use versions::rollout::Blocker;

/// Why a command failed; the texts name the remedy where there is one.
#[derive(Debug, Error)]
pub(super) enum CommandError {
    /// The store did not answer, or not with what was asked for.
    #[error(transparent)]
    Store(#[from] ClientError),
    /// `--least` is out of its range.
    #[error("--least is a share from 0 to 1, not {0}")]
    Least(f64),
    /// Neither a file nor a former proposal is named.
    #[error("a file, or --back-to")]
    NoSettings,
    /// The settings file can't be used.
    #[error("{file}: {problem}", file = .file.display())]
    File {
        /// The file.
        file: PathBuf,
        /// What is wrong with it.
        problem: FileProblem,
    },
    /// A former proposal is not remembered.
    #[error("proposal {0} was not active of late")]
    UnknownProposal(u64),
    /// The proposal to compare with is not remembered.
    #[error("that proposal was not active of late")]
    UnknownComparison,
    /// There is no proposal to compare with.
    #[error("nothing is proposed")]
    NoProposal,
    /// Some gatherers run programs that can't read this format of documents.
    #[error("not proposed: format {format} is not read by {names}", names = .gatherers.join(", "))]
    OldPrograms {
        /// The format.
        format: u64,
        /// The gatherers.
        gatherers: Vec<String>,
    },
    /// The store rejected the proposal.
    #[error("not proposed: {0}")]
    NotProposed(Rejection),
    /// The activation is prevented before any gatherer is asked.
    #[error("{0}")]
    NothingToActivate(String),
    /// Gatherers prevent the activation.
    #[error("not activated; in the way are:{names}", names = lines(.0))]
    Blocked(BTreeMap<String, Blocker>),
    /// The store rejected the activation.
    #[error("not activated, something has changed meanwhile: {0}")]
    NotActivated(Rejection),
    /// No gatherer has this name.
    #[error("no gatherer is called {name}; known are {names}", names = .known.join(", "))]
    UnknownGatherer {
        /// The name.
        name: String,
        /// The names that are known.
        known: Vec<String>,
    },
    /// The store rejected the change.
    #[error("not done: {0}")]
    NotDone(Rejection),
    /// The store did not tell what became of the change.
    #[error("not known whether it was {0}: look with `fleet versions`")]
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
