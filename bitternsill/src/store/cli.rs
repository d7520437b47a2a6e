//! `bitternsill store`: inspects a member's file and recovers a store from it.

use super::disk::{self, OpenError};
use clap::Subcommand;
use std::error::Error;
use std::fmt;
use std::path::{Path, PathBuf};
use store::persisted::PersistedState;

/// Inspect the file of a store member, or recover a store from it.
#[derive(Debug, Subcommand)]
pub enum StoreCommand {
    /// Check the file for damage, and report where it is damaged.
    Verify {
        /// The file.
        file: PathBuf,
    },
    /// Print the contents of the file: store, starts, term, vote, log and keys.
    Show {
        /// The file.
        file: PathBuf,
    },
    /// Start a new store from this file after more than half of the members have lost theirs.
    /// Prints what is lost, and changes nothing without --accept-loss.
    Recover {
        /// The most recent file left: the one whose last entry has the highest term, then the
        /// highest number.
        file: PathBuf,
        /// Start the new store and accept the loss.
        #[arg(long)]
        accept_loss: bool,
    },
}

/// Why a command failed.
#[derive(Debug)]
pub enum StoreFileError {
    /// The file does not exist.
    NotFound(PathBuf),
    /// The file cannot be used.
    Unusable(OpenError),
    /// The file lists no members: it never belonged to a store.
    NoMembers(PathBuf),
    /// The loss has not been accepted; holds the description of the loss.
    LossNotAccepted(String),
}

impl fmt::Display for StoreFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreFileError::NotFound(file) => {
                write!(f, "{}: no such file", file.display())
            }
            StoreFileError::Unusable(error) => error.fmt(f),
            StoreFileError::NoMembers(file) => write!(
                f,
                "{}: the file lists no members: it never belonged to a store",
                file.display()
            ),
            StoreFileError::LossNotAccepted(warning) => write!(
                f,
                "{warning}. Nothing was changed. To start the new store, stop every member and add --accept-loss"
            ),
        }
    }
}

impl Error for StoreFileError {}

impl From<OpenError> for StoreFileError {
    fn from(error: OpenError) -> StoreFileError {
        StoreFileError::Unusable(error)
    }
}

/// Runs a command; returns the text to print.
///
/// # Errors
///
/// [`StoreFileError`] if the file cannot be used, or a loss has not been accepted.
pub fn run(command: &StoreCommand) -> Result<String, StoreFileError> {
    let (file, show) = match command {
        StoreCommand::Verify { file } => (file, false),
        StoreCommand::Show { file } => (file, true),
        StoreCommand::Recover { file, accept_loss } => return recover(file, *accept_loss),
    };
    let contents = read(file)?;
    let torn = match contents.torn_bytes {
        0 => String::new(),
        torn => format!("; the {torn} bytes after them are of a record that was never finished"),
    };
    let description = format!(
        "{}: {} valid records, {} bytes{torn}",
        file.display(),
        contents.records.len(),
        contents.valid_bytes
    );
    if !show {
        return Ok(description);
    }
    let persisted = PersistedState::from_records(contents.records).summary();
    Ok(persisted
        .into_iter()
        .fold(description, |text, (label, value)| {
            format!("{text}\n{label}: {value}")
        }))
}

fn read(file: &Path) -> Result<store::record::FileContents, StoreFileError> {
    // A member treats a missing file as an empty one; for these commands it is an error.
    if !file.exists() {
        return Err(StoreFileError::NotFound(file.to_owned()));
    }
    Ok(disk::read(file)?)
}

/// Replaces a member's file by the file of a new store that starts with its state.
fn recover(file: &Path, accept_loss: bool) -> Result<String, StoreFileError> {
    let persisted = PersistedState::from_records(read(file)?.records);
    let members = persisted.members();
    if members.is_empty() {
        return Err(StoreFileError::NoMembers(file.to_owned()));
    }
    let summary: String = persisted
        .summary()
        .into_iter()
        .map(|(label, value)| format!("  {label}: {value}\n"))
        .collect();
    let warning = format!(
        "{}: a new store of the members {members:?} starts with the contents of this file:\n{summary}Lost is whatever the other members had acknowledged and this file does not contain; \
         how much that is cannot be determined. Compare `store show` of every file that is left, and choose the one whose \
         last entry has the highest term, then the highest number. The old store ends: members that still have a file of \
         it are refused",
        file.display()
    );
    if !accept_loss {
        return Err(StoreFileError::LossNotAccepted(warning));
    }
    let store = crate::serve::random_seed().max(1);
    let clock = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let new_records =
        persisted.into_new_store(store, &members, clock.map_or(0, |since| since.as_secs()));
    let previous = disk::replace(file, &new_records)?;
    let others: Vec<String> = members.iter().map(u64::to_string).collect();
    Ok(format!(
        "{warning}.\nDone: the new store is {store:016x}; the old file is saved as {}. Now, on every other member of {}, move away \
         its file and the `.id` file next to it, then start all members: the store becomes active once all of them are up",
        previous.display(),
        others.join(", ")
    ))
}
