//! bitternsill: one gatherer on sockets.
#![forbid(unsafe_code)]

mod cli;
mod config;
mod core;
mod describe;
mod front;
mod limits;
mod net;
mod serve;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run(std::env::args_os())
}
