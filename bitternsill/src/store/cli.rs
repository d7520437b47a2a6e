//! `bitternsill store`: inspects the file of a member, and recovers a store from it.

use super::disk::{self, OpenError};
use clap::Subcommand;
use std::error::Error;
use std::fmt;
use std::path::{Path, PathBuf};
use store::persisted::PersistedState;

/// Look at the file of a store's member.
#[derive(Debug, Subcommand)]
pub enum StoreCommand {
    /// Tell whether the file is sound, and if not where it is damaged.
    Verify {
        /// The file.
        file: PathBuf,
    },
    /// Tell what the file keeps: store, starts, term, vote, log and keys.
    Show {
        /// The file.
        file: PathBuf,
    },
    /// Begin a new store from this file, where more than half of the members have lost theirs. Says
    /// what that loses, and does it only when told to.
    Recover {
        /// The best file that is left: the one with the highest last entry.
        file: PathBuf,
        /// Do it, with the loss that was told.
        #[arg(long)]
        accept_loss: bool,
    },
}

/// A command that was not carried out.
#[derive(Debug)]
pub enum StoreFileError {
    /// There is no such file.
    NotFound(PathBuf),
    /// The file cannot be used.
    Unusable(OpenError),
    /// The file names no members: it never belonged to a store.
    NoMembers(PathBuf),
    /// The loss has to be accepted; with what would be lost.
    LossNotAccepted(String),
}

impl fmt::Display for StoreFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreFileError::NotFound(file) => {
                write!(f, "{}: there is no such file", file.display())
            }
            StoreFileError::Unusable(error) => error.fmt(f),
            StoreFileError::NoMembers(file) => write!(
                f,
                "{}: this file names no members: it has never held a store",
                file.display()
            ),
            StoreFileError::LossNotAccepted(warning) => write!(
                f,
                "{warning}. Nothing is changed. To do it, stop every member and add --accept-loss"
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
        torn => format!("; {torn} bytes behind them are of a record that was never finished"),
    };
    let sound = format!(
        "{}: {} sound records, {} bytes{torn}",
        file.display(),
        contents.records.len(),
        contents.valid_bytes
    );
    if !show {
        return Ok(sound);
    }
    let persisted = PersistedState::from_records(contents.records).summary();
    Ok(persisted.into_iter().fold(sound, |text, (what, value)| {
        format!("{text}\n{what}: {value}")
    }))
}

fn read(file: &Path) -> Result<store::record::FileContents, StoreFileError> {
    // A member starts from a missing file as from an empty one; here it is a mistake.
    if !file.exists() {
        return Err(StoreFileError::NotFound(file.to_owned()));
    }
    Ok(disk::read(file)?)
}

/// Replaces a member's file by that of a new store which starts with the file's state.
fn recover(file: &Path, accept_loss: bool) -> Result<String, StoreFileError> {
    let persisted = PersistedState::from_records(read(file)?.records);
    let members = persisted.members();
    if members.is_empty() {
        return Err(StoreFileError::NoMembers(file.to_owned()));
    }
    let own: String = persisted
        .summary()
        .into_iter()
        .map(|(what, value)| format!("  {what}: {value}\n"))
        .collect();
    let warning = format!(
        "{}: a new store of the members {members:?} begins with all that this file holds:\n{own}Lost is whatever other members \
         had acknowledged and this file does not hold; nobody can tell how much. Compare `store show` of every file that is \
         left, and take the one whose last entry has the highest term, then the highest number. The former store ends: a \
         member that still has a file of it is refused",
        file.display()
    );
    if !accept_loss {
        return Err(StoreFileError::LossNotAccepted(warning));
    }
    let store = crate::serve::random_seed().max(1);
    let clock = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let new_records =
        persisted.into_new_store(store, &members, clock.map_or(0, |since| since.as_secs()));
    let former = disk::replace(file, &new_records)?;
    let others: Vec<String> = members.iter().map(u64::to_string).collect();
    Ok(format!(
        "{warning}.\nDone: store {store:016x}; the former file is {}. Now move away, on every other member of {}, its file and the \
         one beside it that ends in `.id`, and start all: the store begins once every one of them is there",
        former.display(),
        others.join(", ")
    ))
}
