//! `bitternsill store`: what stands in a member's file, whether or not the member runs.

use super::disk;
use clap::Subcommand;
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

/// The words to print, or what is wrong with the file.
pub fn run(call: &StoreCommand) -> Result<String, String> {
    let (file, show) = match call {
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

fn read(file: &Path) -> Result<store::record::FileContents, String> {
    // Reading what is not there would say that it is empty.
    if !file.exists() {
        return Err(format!("{}: there is no such file", file.display()));
    }
    disk::read(file).map_err(|problem| problem.to_string())
}

/// Makes a member's file the begin of a new store.
fn recover(file: &Path, accepted: bool) -> Result<String, String> {
    let persisted = PersistedState::from_records(read(file)?.records);
    let members = persisted.members();
    if members.is_empty() {
        return Err(format!(
            "{}: this file names no members: it has never held a store",
            file.display()
        ));
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
    if !accepted {
        return Err(format!(
            "{warning}. Nothing is changed. To do it, stop every member and add --accept-loss"
        ));
    }
    let store = crate::serve::random_seed().max(1);
    let clock = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let new_records =
        persisted.into_new_store(store, &members, clock.map_or(0, |since| since.as_secs()));
    let former = disk::replace(file, &new_records).map_err(|problem| problem.to_string())?;
    let others: Vec<String> = members.iter().map(u64::to_string).collect();
    Ok(format!(
        "{warning}.\nDone: store {store:016x}; the former file is {}. Now move away, on every other member of {}, its file and the \
         one beside it that ends in `.id`, and start all: the store begins once every one of them is there",
        former.display(),
        others.join(", ")
    ))
}
