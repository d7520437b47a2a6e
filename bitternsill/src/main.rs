//! The program `bitternsill`.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    bitternsill::cli::run(std::env::args_os())
}
