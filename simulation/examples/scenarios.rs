//! Generates scenarios for a deployment's test bench, and summarizes the outcomes of runs.
//!
//! `scenarios draw LISTING FOLDER SEED COUNT [control|series|long]` writes COUNT scenarios; LISTING
//! is a file with the bench's kinds. `control` generates only kinds that concern the control state,
//! `series` adds overlapping series, `long` generates long scenarios with hundreds of changes and
//! repeated faults of the leader. `scenarios table ENTRY...` prints the table of violated rules
//! by kind from the journal entries of runs.

use serde_json::Value;
use simulation::scenarios::{Focus, Outcome, generate, kinds_in_listing, violation_table};
use std::error::Error;
use std::path::Path;
use std::{env, fs};

const USAGE: &str = "usage: scenarios draw LISTING FOLDER SEED COUNT [control|series|long] \
                     | scenarios table ENTRY...";

/// The distance between the scenario seeds of consecutive values of SEED, so that they do not
/// overlap.
const SEED_STRIDE: u64 = 1_000_003;

fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match arguments[..] {
        ["draw", listing, folder, seed, count, ref focus @ ..] if focus.len() <= 1 => {
            let focus = match focus {
                [] => Focus::All,
                ["control"] => Focus::Control,
                ["series"] => Focus::Series,
                ["long"] => Focus::Long,
                _ => return Err(USAGE.into()),
            };
            let folder = Path::new(folder);
            draw(listing, focus, folder, seed.parse()?, count.parse()?)
        }
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
    let kinds = kinds_in_listing(&fs::read_to_string(listing)?);
    if kinds.is_empty() {
        return Err(
            format!("{listing} names no known kind: is it the listing of a deployment?").into(),
        );
    }
    fs::create_dir_all(folder)?;
    for number in 0..count {
        let name = format!("own-{seed}-{number}");
        let scenario_seed = seed.wrapping_mul(SEED_STRIDE).wrapping_add(number);
        let scenario = generate(&kinds, focus, &name, scenario_seed);
        fs::write(folder.join(format!("{name}.toml")), scenario)?;
    }
    Ok(())
}

fn table(entries: &[&str]) -> Result<(), Box<dyn Error>> {
    let mut outcomes = Vec::new();
    for entry in entries {
        let entry: Value = serde_json::from_str(&fs::read_to_string(entry)?)?;
        outcomes.extend(
            entry["days"]
                .as_array()
                .into_iter()
                .flatten()
                .map(read_outcome),
        );
    }
    print!("{}", violation_table(&outcomes));
    Ok(())
}

fn read_outcome(day: &Value) -> Outcome {
    let kinds = day["troubles"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|kind| kind.as_str().map(str::to_owned))
        .collect();
    let violated = day["rules"]
        .as_object()
        .into_iter()
        .flatten()
        .map(|(rule, _)| rule.clone())
        .collect();
    Outcome { kinds, violated }
}
