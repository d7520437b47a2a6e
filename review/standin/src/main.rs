//! Plays the review's scripted cases against real router processes.
//!
//! `review-standin CASE ROOT FOLDER RECORD`: exits with 1 if the rule was broken, 0 if it held, and
//! 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.

mod client;
mod fleet;
mod forgotten;
mod founding;
mod host;
mod net;
mod small_founding;
mod watchdog;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, folder, record] = &arguments[..] else {
        eprintln!("usage: review-standin CASE ROOT FOLDER RECORD");
        return ExitCode::from(2);
    };
    if let Err(error) = net::open_record(record) {
        eprintln!("{record}: {error}");
        return ExitCode::from(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    watchdog::start(folder.clone());
    let outcome = match case.as_str() {
        "small-founding" => small_founding::play(root, folder, trouble),
        "founding" => founding::play(root, folder, trouble),
        "forgotten" => forgotten::play(root, folder, trouble),
        _ => Err(format!("there is no case {case}")),
    };
    match outcome {
        Ok(true) => ExitCode::from(0),
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            net::record(&format!("the case couldn't run: {error}"));
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
