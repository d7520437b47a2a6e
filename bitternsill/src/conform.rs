//! The conformance suite: test cases for clauses of the standards, run by a client against any
//! server.
//!
//! Requests are built from the element names and tags in the standards, not with the codecs of the
//! front: a fault that both sides of a codec share would go unnoticed.

mod sru;
mod z3950;

use serde_json::{Value as Json, json};
use std::fmt;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;

/// The protocol under test.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Protocol {
    /// Z39.50
    Z3950,
    /// SRU
    Sru,
}

/// The output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    /// A table.
    Text,
    /// A JSON object.
    Json,
}

/// The outcome of a case.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The server conforms to the clause.
    Pass,
    /// The server does not conform; holds what was observed.
    Fail(String),
    /// The server does not offer an optional feature of the standard.
    Skip(String),
}

/// Why a case ended early.
#[derive(Debug)]
pub enum CaseError {
    /// The response does not conform to the clause; holds what was observed.
    Mismatch(String),
    /// The server does not offer the feature.
    NotOffered(String),
}

impl From<io::Error> for CaseError {
    fn from(problem: io::Error) -> Self {
        CaseError::Mismatch(format!("no response: {problem}"))
    }
}

/// The result of a case or of a check in it.
type CaseResult = Result<(), CaseError>;

/// Checks a condition; `observed` describes what was seen if it does not hold.
fn check(holds: bool, observed: impl fmt::Display) -> CaseResult {
    if holds {
        Ok(())
    } else {
        Err(CaseError::Mismatch(observed.to_string()))
    }
}

fn check_eq<T: PartialEq + fmt::Debug>(what: &str, observed: T, expected: T) -> CaseResult {
    check(
        observed == expected,
        format_args!("{what}: {observed:?}, expected {expected:?}"),
    )
}

fn mismatch<T>(observed: impl fmt::Display) -> Result<T, CaseError> {
    Err(CaseError::Mismatch(observed.to_string()))
}

/// The server under test.
#[derive(Debug, Clone)]
pub struct Target {
    /// Its address.
    pub address: SocketAddr,
    /// The database to search.
    pub database: String,
    /// A search that matches several records, in CQL or as a word.
    pub term: String,
    /// The timeout of a response.
    pub timeout: Duration,
}

/// One case.
struct Case {
    /// Its name.
    name: &'static str,
    /// The clause that it tests.
    clause: &'static str,
    run: fn(&Target) -> CaseResult,
}

/// A case with its verdict.
#[derive(Debug, Clone)]
pub struct CaseReport {
    /// The case.
    pub name: &'static str,
    /// The clause that it tests.
    pub clause: &'static str,
    /// The outcome.
    pub verdict: Verdict,
}

/// Runs every case of a protocol.
pub fn run(protocol: Protocol, target: &Target) -> Vec<CaseReport> {
    let cases = match protocol {
        Protocol::Sru => sru::CASES,
        Protocol::Z3950 => z3950::CASES,
    };
    let run_case = |case: &Case| CaseReport {
        name: case.name,
        clause: case.clause,
        verdict: match (case.run)(target) {
            Ok(()) => Verdict::Pass,
            Err(CaseError::Mismatch(observed)) => Verdict::Fail(observed),
            Err(CaseError::NotOffered(what)) => Verdict::Skip(what),
        },
    };
    cases.iter().map(run_case).collect()
}

/// Prints the reports; returns whether no case failed.
pub fn report(reports: &[CaseReport], format: Format, out: &mut impl Write) -> io::Result<bool> {
    let count = |wanted: fn(&Verdict) -> bool| {
        reports
            .iter()
            .filter(|report| wanted(&report.verdict))
            .count()
    };
    let passed = count(|v| matches!(v, Verdict::Pass));
    let failed = count(|v| matches!(v, Verdict::Fail(_)));
    let skipped = count(|v| matches!(v, Verdict::Skip(_)));
    match format {
        Format::Json => {
            let case = |report: &CaseReport| -> Json {
                let (verdict, seen) = match &report.verdict {
                    Verdict::Pass => ("pass", None),
                    Verdict::Fail(seen) => ("fail", Some(seen)),
                    Verdict::Skip(what) => ("skip", Some(what)),
                };
                json!({"case": report.name, "clause": report.clause, "verdict": verdict, "seen": seen})
            };
            let cases: Vec<Json> = reports.iter().map(case).collect();
            let all =
                json!({"passed": passed, "failed": failed, "skipped": skipped, "cases": cases});
            writeln!(out, "{all:#}")?;
        }
        Format::Text => {
            let width = reports
                .iter()
                .map(|report| report.name.chars().count())
                .max()
                .unwrap_or(0);
            for report in reports {
                let (word, seen) = match &report.verdict {
                    Verdict::Pass => ("pass", ""),
                    Verdict::Fail(seen) => ("FAIL", seen.as_str()),
                    Verdict::Skip(what) => ("skip", what.as_str()),
                };
                let line = format!("{word}  {:width$}  {}  {seen}", report.name, report.clause);
                writeln!(out, "{}", line.trim_end())?;
            }
            writeln!(out, "{passed} passed, {failed} failed, {skipped} skipped")?;
        }
    }
    Ok(failed == 0)
}
