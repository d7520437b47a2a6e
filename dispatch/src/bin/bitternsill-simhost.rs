//! Hosts aggregators for the simulator: reads its line protocol from standard input and writes the
//! replies to standard output.

use dispatch::wire::Host;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn run() -> Result<(), Box<dyn std::error::Error>> {
    let mut host = Host::new();
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let mut line = String::new();
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Ok(host.finish()?);
        }
        if let Some(reply) = host.line(&line)? {
            output.write_all(reply.as_bytes())?;
            output.flush()?;
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bitternsill-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
