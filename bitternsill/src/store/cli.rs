//! `bitternsill store`: what stands in a member's file, whether or not the member runs.

use super::disk;
use clap::Subcommand;
use std::path::{Path, PathBuf};
use store::kept::Kept;

/// Look at the file of a store's member.
#[derive(Debug, Subcommand)]
pub enum StoreCall {
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
}

/// The words to print, or what is wrong with the file.
pub fn run(call: &StoreCall) -> Result<String, String> {
    let (file, shows) = match call {
        StoreCall::Verify { file } => (file, false),
        StoreCall::Show { file } => (file, true),
    };
    let read = read(file)?;
    let torn = match read.torn {
        0 => String::new(),
        torn => format!("; {torn} bytes behind them are of a record that was never finished"),
    };
    let sound =
        format!("{}: {} sound records, {} bytes{torn}", file.display(), read.records.len(), read.whole);
    if !shows {
        return Ok(sound);
    }
    let kept = Kept::of(read.records).summary();
    Ok(kept.into_iter().fold(sound, |text, (what, value)| format!("{text}\n{what}: {value}")))
}

fn read(file: &Path) -> Result<store::record::Read, String> {
    // Reading what is not there would say that it is empty.
    if !file.exists() {
        return Err(format!("{}: there is no such file", file.display()));
    }
    disk::read(file).map_err(|problem| problem.to_string())
}
