//! `bitternsill learned`: inspects, compares and converts snapshot files.

use super::folder::{self, ReadError};
use clap::{Subcommand, ValueEnum};
use learning::age::{self, AgingConfig, SnapshotError};
use learning::file::{self, FileError};
use learning::snapshot::{ClassStats, HostStats, Snapshot, UnixMillis};
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// The output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Human-readable lines.
    Text,
    /// A JSON object.
    Json,
}

/// Inspect, compare or convert snapshot files.
#[derive(Debug, Subcommand)]
pub enum Learned {
    /// Print the contents of a snapshot file.
    Show {
        /// The file.
        file: PathBuf,
        /// The output format.
        #[arg(long, default_value = "text")]
        format: Format,
    },
    /// Check a snapshot file; exits with 1 if it is corrupt.
    Verify {
        /// The file.
        file: PathBuf,
    },
    /// Write a snapshot in another version of the file format.
    Convert {
        /// The file.
        file: PathBuf,
        /// The new file, which must not exist yet.
        to: PathBuf,
        /// The version of the format: 1 or 2.
        #[arg(long, default_value_t = file::VERSION, value_parser = clap::value_parser!(u16).range(1..=2))]
        version: u16,
    },
    /// Print which statistics would still be used at a given age, and why the others would not.
    Age {
        /// The file.
        file: PathBuf,
        /// The age, in seconds after the snapshot was taken [default: its age now].
        #[arg(long)]
        after: Option<u64>,
        /// The output format.
        #[arg(long, default_value = "text")]
        format: Format,
    },
    /// Print the differences between two files; exits with 1 if there are any.
    Diff {
        /// The first file.
        file: PathBuf,
        /// The second file.
        other: PathBuf,
        /// The output format.
        #[arg(long, default_value = "text")]
        format: Format,
    },
}

/// Why a command failed.
#[derive(Debug)]
enum LearnedError {
    /// A file cannot be read.
    Read(PathBuf, ReadError),
    /// A file cannot be written.
    Write(PathBuf, io::Error),
    /// The snapshot cannot be encoded.
    Encode(FileError),
    /// The snapshot cannot be aged.
    Age(SnapshotError),
}

impl fmt::Display for LearnedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LearnedError::Read(path, error) => write!(f, "{}: {error}", path.display()),
            LearnedError::Write(path, error) => write!(f, "{}: {error}", path.display()),
            LearnedError::Encode(error) => error.fmt(f),
            LearnedError::Age(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for LearnedError {}

fn load(path: &Path) -> Result<(Snapshot, u16), LearnedError> {
    folder::read(path).map_err(|error| LearnedError::Read(path.to_owned(), error))
}

fn now() -> UnixMillis {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |t| t.as_millis() as UnixMillis)
}

fn class_json(class: &ClassStats) -> Json {
    json!({
        "class": class.name, "median_ms": class.median / 1e6, "p95_ms": class.p95 / 1e6, "least_ms": class.least / 1e6,
        "attempts_median_ms": class.attempts.0 / 1e6, "attempts_p95_ms": class.attempts.1 / 1e6, "answers": class.weight,
    })
}

fn host_json(uid: &str, host: &HostStats) -> Json {
    json!({
        "host": uid, "started_ms": host.started, "slowness": host.slowness, "delay": host.delay,
        "limit": if host.limit < 1e6 { json!(host.limit) } else { Json::Null },
        "errors": host.errors, "answers": host.weight, "judged_ms": host.updated_at,
    })
}

fn host_line(uid: &str, host: &HostStats) -> String {
    let slowness: Vec<String> = host.slowness.iter().map(|s| format!("{s:.2}")).collect();
    let limit = if host.limit < 1e6 {
        format!("{:.1}", host.limit)
    } else {
        "-".to_owned()
    };
    format!(
        "{uid}  slowness {}  limit {limit}  errors {:.2}  answers {:.1}",
        slowness.join(" "),
        host.errors,
        host.weight
    )
}

fn show(snapshot: &Snapshot, version: u16, format: Format) -> String {
    if format == Format::Json {
        let hosts: Vec<Json> = snapshot
            .hosts
            .iter()
            .map(|(uid, host)| host_json(uid, host))
            .collect();
        let all = json!({
            "version": version, "taken_ms": snapshot.taken_at,
            "fleet": {"classes": snapshot.fleet.classes, "cells": snapshot.fleet.cells, "reach": snapshot.fleet.reach},
            "classes": snapshot.classes.iter().map(class_json).collect::<Vec<_>>(), "hosts": hosts,
        });
        return format!("{all:#}");
    }
    let age = now()
        .checked_sub(snapshot.taken_at)
        .map_or("from the future".to_owned(), |ms| {
            format!("{} s old", ms / 1000)
        });
    let mut lines = vec![format!(
        "version {version}, {age}, {} classes, {} hosts, {} cells with each shard on {}",
        snapshot.classes.len(),
        snapshot.hosts.len(),
        snapshot.fleet.cells,
        snapshot.fleet.reach
    )];
    for class in &snapshot.classes {
        lines.push(format!(
            "{}  median {:.1} ms  p95 {:.1} ms  answers {:.0}",
            class.name,
            class.median / 1e6,
            class.p95 / 1e6,
            class.weight
        ));
    }
    lines.extend(
        snapshot
            .hosts
            .iter()
            .map(|(uid, host)| host_line(uid, host)),
    );
    lines.join("\n")
}

fn aged(snapshot: &Snapshot, at: UnixMillis, format: Format) -> Result<String, LearnedError> {
    // Aged against its own hosts: gives what a gatherer would use if all of them were still listed.
    let listed: BTreeMap<String, UnixMillis> = snapshot
        .hosts
        .iter()
        .map(|(uid, h)| (uid.to_string(), h.started))
        .collect();
    let fresh: Vec<ClassStats> = snapshot
        .classes
        .iter()
        .map(|c| ClassStats {
            weight: 0.0,
            ..c.clone()
        })
        .collect();
    let aged = age::age(
        snapshot,
        &snapshot.fleet,
        &fresh,
        &listed,
        at,
        &AgingConfig::default(),
    )
    .map_err(LearnedError::Age)?;
    if format == Format::Json {
        let hosts: Vec<Json> = aged
            .hosts
            .iter()
            .map(|(uid, host)| host_json(uid, host))
            .collect();
        let dropped: Vec<Json> = aged
            .dropped
            .iter()
            .map(|(uid, why)| json!({"host": uid, "why": why}))
            .collect();
        let classes: Vec<Json> = aged
            .classes
            .iter()
            .map(|c| json!({"class": c.name, "answers": c.weight}))
            .collect();
        return Ok(format!(
            "{:#}",
            json!({"age_ms": aged.age, "classes": classes, "hosts": hosts, "dropped": dropped})
        ));
    }
    let mut lines = vec![format!(
        "{} s old: {} hosts count, {} do not",
        aged.age / 1000,
        aged.hosts.len(),
        aged.dropped.len()
    )];
    lines.extend(
        aged.classes
            .iter()
            .map(|c| format!("{}  counts as {:.1} answers", c.name, c.weight)),
    );
    lines.extend(aged.hosts.iter().map(|(uid, host)| host_line(uid, host)));
    lines.extend(
        aged.dropped
            .iter()
            .map(|(uid, why)| format!("{uid}  dropped: {why}")),
    );
    Ok(lines.join("\n"))
}

fn diff(one: &Snapshot, other: &Snapshot, format: Format) -> (bool, String) {
    let mut entries: Vec<(String, &str)> = Vec::new();
    if one.fleet != other.fleet {
        entries.push(("fleet".to_owned(), "differs"));
    }
    for (a, b) in one.classes.iter().zip(&other.classes) {
        if a != b {
            entries.push((format!("class {}", a.name), "differs"));
        }
    }
    for (uid, host) in &one.hosts {
        match other.hosts.get(uid) {
            None => entries.push((format!("host {uid}"), "only in the first")),
            Some(theirs) if theirs != host => entries.push((format!("host {uid}"), "differs")),
            Some(_) => {}
        }
    }
    let new = other
        .hosts
        .keys()
        .filter(|uid| !one.hosts.contains_key(*uid));
    entries.extend(new.map(|uid| (format!("host {uid}"), "only in the second")));
    let text = match format {
        Format::Json => {
            let list: Vec<Json> = entries
                .iter()
                .map(|(what, how)| json!({"what": what, "how": how}))
                .collect();
            format!(
                "{:#}",
                json!({"same": list.is_empty(), "differences": list})
            )
        }
        Format::Text if entries.is_empty() => "no difference".to_owned(),
        Format::Text => entries
            .iter()
            .map(|(what, how)| format!("{what}: {how}"))
            .collect::<Vec<_>>()
            .join("\n"),
    };
    (entries.is_empty(), text)
}

fn convert(file: &Path, to: &Path, version: u16) -> Result<String, LearnedError> {
    let (snapshot, from) = load(file)?;
    let bytes = if version == 1 {
        file::encode_v1(&snapshot)
    } else {
        file::encode(&snapshot)
    };
    let bytes = bytes.map_err(LearnedError::Encode)?;
    let failed = |error| LearnedError::Write(to.to_owned(), error);
    let mut out = std::fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .open(to)
        .map_err(failed)?;
    out.write_all(&bytes)
        .and_then(|()| out.sync_all())
        .map_err(failed)?;
    Ok(format!(
        "{}: version {from} written as {version}, {} bytes",
        to.display(),
        bytes.len()
    ))
}

/// Runs a command; returns whether it counts as successful, and the text to print.
fn execute(call: Learned) -> Result<(bool, String), LearnedError> {
    match call {
        Learned::Show { file, format } => {
            load(&file).map(|(snapshot, version)| (true, show(&snapshot, version, format)))
        }
        Learned::Verify { file } => {
            let (snapshot, version) = load(&file)?;
            Ok((
                true,
                format!(
                    "{}: sound, version {version}, {} hosts",
                    file.display(),
                    snapshot.hosts.len()
                ),
            ))
        }
        Learned::Convert { file, to, version } => {
            convert(&file, &to, version).map(|text| (true, text))
        }
        Learned::Age {
            file,
            after,
            format,
        } => {
            let (snapshot, _) = load(&file)?;
            let at = after.map_or_else(now, |s| {
                snapshot.taken_at.saturating_add(s.saturating_mul(1000))
            });
            aged(&snapshot, at, format).map(|text| (true, text))
        }
        Learned::Diff {
            file,
            other,
            format,
        } => {
            let ((one, _), (other, _)) = (load(&file)?, load(&other)?);
            Ok(diff(&one, &other, format))
        }
    }
}

/// Runs a command and prints its text. Fails if a file cannot be read, or if two files differ.
pub fn run(call: Learned, print: impl Fn(&str) -> ExitCode) -> ExitCode {
    match execute(call) {
        Ok((true, text)) => print(&text),
        Ok((false, text)) => {
            print(&text);
            ExitCode::FAILURE
        }
        Err(problem) => {
            eprintln!("bitternsill: {problem}");
            ExitCode::FAILURE
        }
    }
}
