//! Draws days of one's own for a deployment, and sums up what came of those that were played.
//!
//! `days draw LISTING FOLDER SEED COUNT [control|series|long]` writes COUNT days; LISTING is a file
//! with the deployment's kinds of trouble. With `control` they are drawn from what concerns the
//! control state, with `series` they have series that overlap, with `long` they are long, with
//! hundreds of changes and a primary that is struck again and again. `days table ENTRY...` prints
//! rules by kinds from the journal entries of plays.

use serde_json::Value;
use simulation::days::{self, Focus, Played};
use std::error::Error;
use std::path::Path;
use std::{env, fs};

const USAGE: &str =
    "usage: days draw LISTING FOLDER SEED COUNT [control|series|long] | days table ENTRY...";

fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Vec<String> = env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["draw", listing, folder, seed, count] => draw(
            listing,
            Focus::All,
            Path::new(folder),
            seed.parse()?,
            count.parse()?,
        ),
        ["draw", listing, folder, seed, count, "control"] => draw(
            listing,
            Focus::Control,
            Path::new(folder),
            seed.parse()?,
            count.parse()?,
        ),
        ["draw", listing, folder, seed, count, "series"] => draw(
            listing,
            Focus::Series,
            Path::new(folder),
            seed.parse()?,
            count.parse()?,
        ),
        ["draw", listing, folder, seed, count, "long"] => draw(
            listing,
            Focus::Long,
            Path::new(folder),
            seed.parse()?,
            count.parse()?,
        ),
        ["table", ref entries @ ..] if !entries.is_empty() => table(entries),
        _ => Err(USAGE.into()),
    }
}

fn draw(
    listing: &str,
    focus: Focus,
    folder: &Path,
    seed: u64,
    count: u64,
) -> Result<(), Box<dyn Error>> {
    let kinds = days::listed(&fs::read_to_string(listing)?);
    if kinds.is_empty() {
        return Err(
            format!("{listing} names no known kind: is it the listing of a deployment?").into(),
        );
    }
    fs::create_dir_all(folder)?;
    for number in 0..count {
        let name = format!("own-{seed}-{number}");
        let day = days::draw(
            &kinds,
            focus,
            &name,
            seed.wrapping_mul(1_000_003).wrapping_add(number),
        );
        fs::write(folder.join(format!("{name}.toml")), day)?;
    }
    Ok(())
}

fn table(entries: &[&str]) -> Result<(), Box<dyn Error>> {
    let mut played = Vec::new();
    for entry in entries {
        let entry: Value = serde_json::from_str(&fs::read_to_string(entry)?)?;
        played.extend(entry["days"].as_array().into_iter().flatten().map(read));
    }
    print!("{}", days::table(&played));
    Ok(())
}

fn read(day: &Value) -> Played {
    let names = |value: &Value| value.as_str().map(str::to_owned);
    let kinds = day["troubles"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(names)
        .collect();
    let broken = day["rules"]
        .as_object()
        .into_iter()
        .flatten()
        .map(|(rule, _)| rule.clone())
        .collect();
    Played { kinds, broken }
}
