//! The file of a snapshot: a header with magic, version, length and checksum, and a body in CBOR
//! with named fields.

use crate::snapshot::{ClassStats, Fleet, HostStats, Snapshot, UnixMillis};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// The first bytes of every file.
pub const MAGIC: [u8; 8] = *b"BSLEARN\n";
/// The version that is written.
pub const VERSION: u16 = 2;
/// Bytes of the header: magic, version, two reserved ones, the body's length and the CRC-32.
pub const HEADER_BYTES: usize = 8 + 2 + 2 + 4 + 4;
/// Maximum length of a body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 20;

/// A file that cannot be loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FileError {
    /// It has another magic.
    NotALearnedFile,
    /// It is truncated, or has bytes behind its end.
    Length {
        /// Length by the header, in bytes.
        wanted: u64,
        /// Length found, in bytes.
        found: u64,
    },
    /// The checksum differs: the file is corrupt.
    Checksum,
    /// A version that is not known here.
    Version(u16),
    /// The checksum is right, but the body cannot be decoded.
    Body(String),
    /// The body is too long, with its length in bytes.
    TooLong(u64),
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FileError::NotALearnedFile => f.write_str("no file of what was learned"),
            FileError::Length { wanted, found } => {
                write!(f, "{found} bytes where {wanted} were written")
            }
            FileError::Checksum => f.write_str("the checksum does not fit"),
            FileError::Version(version) => {
                write!(f, "version {version}; versions 1 to {VERSION} are read")
            }
            FileError::Body(problem) => write!(f, "a body that makes no sense: {problem}"),
            FileError::TooLong(bytes) => write!(f, "{bytes} bytes; {MAX_BODY_BYTES} at most"),
        }
    }
}

impl std::error::Error for FileError {}

#[derive(Serialize, Deserialize)]
struct Body {
    fleet: Fleet,
    #[serde(rename = "taken")]
    taken_at: UnixMillis,
    classes: Vec<ClassStats>,
    hosts: Vec<(String, HostStats)>,
}

/// Version 1: slowness alone, and times in whole seconds.
#[derive(Serialize, Deserialize)]
struct Body1 {
    fleet: Fleet,
    taken_s: u64,
    classes: Vec<Class1>,
    hosts: Vec<Host1>,
}

#[derive(Serialize, Deserialize)]
struct Class1 {
    name: String,
    median_us: f64,
    p95_us: f64,
}

#[derive(Serialize, Deserialize)]
struct Host1 {
    uid: String,
    #[serde(rename = "born")]
    started: UnixMillis,
    slowness: Vec<f32>,
    answers: u32,
    judged_s: u64,
}

impl From<Body1> for Snapshot {
    fn from(old: Body1) -> Snapshot {
        let class = |c: Class1| {
            let (median, p95) = (1000.0 * c.median_us, 1000.0 * c.p95_us);
            // Version 1 has no number of answers: half of what counts in full is assumed.
            ClassStats {
                name: c.name,
                median,
                p95,
                least: median,
                attempts: (median, p95),
                weight: 4.0,
            }
        };
        let host = |h: Host1| {
            let memory = HostStats {
                started: h.started,
                slowness: h.slowness,
                delay: 0.0,
                limit: f32::MAX,
                errors: 0.0,
                weight: h.answers as f32,
                judged: h.judged_s.saturating_mul(1000),
            };
            (Arc::from(h.uid), memory)
        };
        Snapshot {
            fleet: old.fleet,
            taken_at: old.taken_s.saturating_mul(1000),
            classes: old.classes.into_iter().map(class).collect(),
            hosts: old.hosts.into_iter().map(host).collect(),
        }
    }
}

fn frame(version: u16, body: &[u8]) -> Result<Vec<u8>, FileError> {
    let length = u32::try_from(body.len())
        .ok()
        .filter(|_| body.len() <= MAX_BODY_BYTES);
    let length = length.ok_or(FileError::TooLong(body.len() as u64))?;
    let mut out = Vec::with_capacity(HEADER_BYTES + body.len());
    out.extend(MAGIC);
    out.extend(version.to_le_bytes());
    out.extend([0, 0]);
    out.extend(length.to_le_bytes());
    out.extend(checksum(version, body).to_le_bytes());
    out.extend(body);
    Ok(out)
}

/// The checksum covers the version too: with a flipped bit there the body would be decoded as that
/// of another version.
fn checksum(version: u16, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&version.to_le_bytes());
    hasher.update(&(body.len() as u32).to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

/// Encodes a snapshot.
///
/// # Errors
///
/// [`FileError::TooLong`] if it exceeds [`MAX_BODY_BYTES`].
pub fn encode(snapshot: &Snapshot) -> Result<Vec<u8>, FileError> {
    let body = Body {
        fleet: snapshot.fleet.clone(),
        taken_at: snapshot.taken_at,
        classes: snapshot.classes.clone(),
        hosts: snapshot
            .hosts
            .iter()
            .map(|(uid, host)| (uid.to_string(), host.clone()))
            .collect(),
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&body, &mut bytes).map_err(|e| FileError::Body(e.to_string()))?;
    frame(VERSION, &bytes)
}

/// Encodes a snapshot in version 1, for older programs.
///
/// # Errors
///
/// As for [`encode`].
pub fn encode_v1(snapshot: &Snapshot) -> Result<Vec<u8>, FileError> {
    let class = |c: &ClassStats| Class1 {
        name: c.name.clone(),
        median_us: c.median / 1000.0,
        p95_us: c.p95 / 1000.0,
    };
    let host = |(uid, h): (&Arc<str>, &HostStats)| Host1 {
        uid: uid.to_string(),
        started: h.started,
        slowness: h.slowness.clone(),
        answers: h.weight as u32,
        judged_s: h.judged / 1000,
    };
    let body = Body1 {
        fleet: snapshot.fleet.clone(),
        taken_s: snapshot.taken_at / 1000,
        classes: snapshot.classes.iter().map(class).collect(),
        hosts: snapshot.hosts.iter().map(host).collect(),
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&body, &mut bytes).map_err(|e| FileError::Body(e.to_string()))?;
    frame(1, &bytes)
}

/// The length of a file by its header, so that a file that is too long need not be read.
///
/// # Errors
///
/// [`FileError::NotALearnedFile`] or [`FileError::TooLong`].
pub fn length(header: &[u8]) -> Result<u64, FileError> {
    if header.len() < HEADER_BYTES || header[..8] != MAGIC {
        return Err(FileError::NotALearnedFile);
    }
    let length = u32::from_le_bytes([header[12], header[13], header[14], header[15]]) as usize;
    if length > MAX_BODY_BYTES {
        Err(FileError::TooLong(length as u64))
    } else {
        Ok((HEADER_BYTES + length) as u64)
    }
}

/// Decodes a file of any version; returns the snapshot and the version.
///
/// # Errors
///
/// [`FileError`] if the file is not sound.
pub fn decode(bytes: &[u8]) -> Result<(Snapshot, u16), FileError> {
    let wanted = length(bytes)?;
    if wanted != bytes.len() as u64 {
        return Err(FileError::Length {
            wanted,
            found: bytes.len() as u64,
        });
    }
    let version = u16::from_le_bytes([bytes[8], bytes[9]]);
    let body = &bytes[HEADER_BYTES..];
    let stored_checksum = u32::from_le_bytes([bytes[16], bytes[17], bytes[18], bytes[19]]);
    if checksum(version, body) != stored_checksum || bytes[10..12] != [0, 0] {
        return Err(FileError::Checksum);
    }
    let wrong = |e: ciborium::de::Error<std::io::Error>| FileError::Body(e.to_string());
    match version {
        1 => Ok((
            ciborium::from_reader::<Body1, _>(body)
                .map_err(wrong)?
                .into(),
            1,
        )),
        2 => {
            let body: Body = ciborium::from_reader(body).map_err(wrong)?;
            let hosts = body
                .hosts
                .into_iter()
                .map(|(uid, host)| (Arc::from(uid), host))
                .collect();
            Ok((
                Snapshot {
                    fleet: body.fleet,
                    taken_at: body.taken_at,
                    classes: body.classes,
                    hosts,
                },
                2,
            ))
        }
        other => Err(FileError::Version(other)),
    }
}
