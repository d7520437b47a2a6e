//! Collects audit logs: fetches them from the gatherers in chunks and stores them in a folder, if
//! one is given. With a folder, an interrupted collection resumes, and a log survives the loss of
//! its gatherer's disk.

use crate::store::client::{ClientError, exchange_line};
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::{self, OpenOptions};
use std::io::{self, Write as _};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use versions::audit::Segments;

/// Why a log could not be fetched.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// A request failed twice.
    #[error(transparent)]
    Request(#[from] ClientError),
    /// The gatherer has no audit log.
    #[error("the gatherer has no trail")]
    NoLog,
    /// A response is malformed.
    #[error("the response is malformed")]
    BadResponse,
    /// The gatherer started another log while this one was being fetched.
    #[error("the gatherer started another audit log during the fetch")]
    LogReplaced,
    /// A chunk could not be stored.
    #[error("{}: {problem}", path.display())]
    Store {
        /// The file.
        path: PathBuf,
        /// Why.
        problem: io::Error,
    },
}

/// A chunk of a segment.
struct Chunk {
    log: Option<u64>,
    segment: u64,
    text: String,
    last_segment: u64,
    more: bool,
}

impl Chunk {
    fn from_json(json: &Json) -> Option<Chunk> {
        Some(Chunk {
            log: json["trail"].as_u64(),
            segment: json["segment"].as_u64()?,
            text: json["text"].as_str()?.to_owned(),
            last_segment: json["last"].as_u64()?,
            more: json["more"] == true,
        })
    }
}

/// A gatherer's address, and the timeout of a request to it.
struct Source {
    address: SocketAddr,
    timeout: Duration,
}

impl Source {
    /// Requests a chunk; a request that fails is retried once.
    fn request(&self, segment: u64, offset: u64) -> Result<Json, FetchError> {
        let request = json!({"ask": "trail", "segment": segment, "from": offset}).to_string();
        let response = exchange_line(self.address, &request, self.timeout)
            .or_else(|_| exchange_line(self.address, &request, self.timeout))
            .map_err(FetchError::Request)?;
        Ok(response["trail"].clone())
    }

    fn chunk(&self, segment: u64, offset: u64) -> Result<Chunk, FetchError> {
        let json = self.request(segment, offset)?;
        Chunk::from_json(&json).ok_or(FetchError::BadResponse)
    }

    /// The gatherer's name and the number of its current log.
    fn current_log(&self) -> Result<(String, u64), FetchError> {
        let json = self.request(u64::MAX, 0)?;
        match (json["name"].as_str(), json["trail"].as_u64()) {
            (Some(name), Some(log)) => Ok((name.to_owned(), log)),
            _ => Err(FetchError::NoLog),
        }
    }
}

/// The logs of a fleet.
#[derive(Debug, Default)]
pub struct CollectedLogs {
    /// By gatherer, and by the number of the log.
    logs: BTreeMap<String, BTreeMap<u64, Segments>>,
    /// The current log of each gatherer that was queried.
    current: BTreeMap<String, u64>,
}

impl CollectedLogs {
    /// All logs of a gatherer, and the number of the one that was fetched last.
    pub fn of(&self, name: &str) -> (Vec<Segments>, Option<u64>) {
        let logs = self.logs.get(name);
        let logs = logs.map(|logs| logs.values().cloned().collect());
        (logs.unwrap_or_default(), self.current.get(name).copied())
    }

    /// Loads the logs that are stored in a folder.
    ///
    /// # Errors
    /// The folder cannot be read.
    pub fn load(folder: &Path) -> io::Result<CollectedLogs> {
        let mut collected = CollectedLogs::default();
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            let Some(segment) = path
                .file_name()
                .and_then(|name| SegmentName::parse(name.to_str()?))
            else {
                continue;
            };
            // A partly stored character is fetched again.
            let text = complete_utf8(fs::read(&path)?);
            collected
                .segments(&segment.gatherer, segment.log)
                .insert(segment.segment, text);
        }
        Ok(collected)
    }

    fn segments(&mut self, name: &str, log: u64) -> &mut Segments {
        self.logs
            .entry(name.to_owned())
            .or_default()
            .entry(log)
            .or_default()
    }

    /// Fetches the missing rest of a gatherer's current log, chunk by chunk; each chunk is stored
    /// before the next is requested. Chunks fetched before an error are kept.
    ///
    /// # Errors A request and its retry failed, or a chunk could not be stored.
    pub fn fetch(
        &mut self,
        address: SocketAddr,
        folder: Option<&Path>,
        timeout: Duration,
    ) -> Result<(), FetchError> {
        let source = Source { address, timeout };
        let (name, log) = source.current_log()?;
        self.current.insert(name.clone(), log);
        let known = self.segments(&name, log);
        let (mut segment, mut offset) = known
            .last_key_value()
            .map_or((0, 0), |(number, text)| (*number, text.len() as u64));
        loop {
            let chunk = source.chunk(segment, offset)?;
            if chunk.log != Some(log) {
                return Err(FetchError::LogReplaced);
            }
            if chunk.segment != segment {
                // The gatherer has deleted the segment: the response is for the oldest one left.
                (segment, offset) = (chunk.segment, 0);
                continue;
            }
            if let Some(folder) = folder.filter(|_| !chunk.text.is_empty()) {
                let file = SegmentName {
                    gatherer: name.clone(),
                    log,
                    segment,
                };
                append(folder.join(file.to_file_name()), &chunk.text)?;
            }
            known.entry(segment).or_default().push_str(&chunk.text);
            offset += chunk.text.len() as u64;
            if chunk.more {
                continue;
            }
            if segment >= chunk.last_segment {
                return Ok(());
            }
            (segment, offset) = (segment + 1, 0);
        }
    }
}

fn append(path: PathBuf, text: &str) -> Result<(), FetchError> {
    let file = OpenOptions::new().create(true).append(true).open(&path);
    file.and_then(|mut file| file.write_all(text.as_bytes()))
        .map_err(|problem| FetchError::Store { path, problem })
}

/// The text up to the last complete character: a chunk may end within a character.
pub fn complete_utf8(bytes: Vec<u8>) -> String {
    String::from_utf8(bytes).unwrap_or_else(|problem| {
        let valid = problem.utf8_error().valid_up_to();
        String::from_utf8_lossy(&problem.as_bytes()[..valid]).into_owned()
    })
}

/// The fields of a stored segment's file name.
#[derive(Debug, PartialEq, Eq)]
struct SegmentName {
    gatherer: String,
    log: u64,
    segment: u64,
}

impl SegmentName {
    /// The gatherer's name is percent-encoded except for ASCII letters, digits and hyphens, so that
    /// it can neither leave the folder nor contain the separator.
    fn to_file_name(&self) -> PathBuf {
        let encoded = self
            .gatherer
            .bytes()
            .fold(String::new(), |mut encoded, byte| {
                if byte.is_ascii_alphanumeric() || byte == b'-' {
                    encoded.push(char::from(byte));
                } else {
                    let _ = write!(encoded, "%{byte:02x}");
                }
                encoded
            });
        let (log, segment) = (self.log, self.segment);
        PathBuf::from(format!("{encoded}.{log:016x}.{segment:06}.trail"))
    }

    /// `None` if it is not the name of a stored segment.
    fn parse(file_name: &str) -> Option<SegmentName> {
        let mut parts = file_name.strip_suffix(".trail")?.split('.');
        let (encoded, log, segment) = (parts.next()?, parts.next()?, parts.next()?);
        let mut name = Vec::new();
        let mut bytes = encoded.bytes();
        let hex_digit = |byte: u8| char::from(byte).to_digit(16);
        while let Some(byte) = bytes.next() {
            if byte == b'%' {
                let (high, low) = (hex_digit(bytes.next()?)?, hex_digit(bytes.next()?)?);
                name.push((high * 16 + low) as u8);
            } else {
                name.push(byte);
            }
        }
        Some(SegmentName {
            log: u64::from_str_radix(log, 16).ok()?,
            segment: segment.parse().ok()?,
            gatherer: String::from_utf8(name).ok()?,
        })
    }
}

#[cfg(test)]
mod tests;
