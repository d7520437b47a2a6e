//! Stand-ins of the second review. Each subcommand plays one case and writes its record.

mod client;
mod fleet;
mod host;
mod http;
mod older;
mod twice;
mod walls;

use std::path::PathBuf;
use std::process::ExitCode;
use walls::Trouble;

/// The rule held, was broken, or the case could not run.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, program, folder, record] = &arguments[..] else {
        eprintln!("usage: review-standin-2 CASE PROGRAM FOLDER RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (program, folder, record) = (
        PathBuf::from(program),
        PathBuf::from(folder),
        PathBuf::from(record),
    );
    let mut lines = Vec::new();
    let verdict = match case.as_str() {
        "older" => older::play(&program, &folder, trouble, &mut lines),
        "twice" => twice::play(&program, &folder, trouble, &mut lines),
        "walls" => walls::play(&program, &folder, Trouble::KillOfAll, trouble, &mut lines),
        "walls-frozen" => walls::play(&program, &folder, Trouble::Freeze, trouble, &mut lines),
        _ => Verdict::NotRun,
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::NotRun => ("the case could not run", 2),
    };
    lines.push(text.to_owned());
    println!("{}", lines.join("\n"));
    if std::fs::write(record, lines.join("\n") + "\n").is_err() {
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
