//! The file format of a snapshot: a header with magic, version, length and checksum, and a body in
//! CBOR with named fields.

use crate::snapshot::{ClassStats, Fleet, HostStats, Snapshot, UnixMillis};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// The first bytes of every snapshot file.
pub const MAGIC: [u8; 8] = *b"BSLEARN\n";
/// The version that is written.
pub const VERSION: u16 = 2;
/// Bytes of the header: magic, version, two reserved bytes, length of the body and CRC-32.
pub const HEADER_BYTES: usize = 8 + 2 + 2 + 4 + 4;
/// Maximum length of a body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 20;
/// Number of answers assumed for a class of version 1, which does not store it: half of the number
/// that counts in full.
const V1_CLASS_WEIGHT: f64 = 4.0;

/// Why a snapshot file cannot be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FileError {
    /// The file does not start with [`MAGIC`].
    BadMagic,
    /// The file is truncated, or has trailing bytes.
    Length {
        /// Length according to the header, in bytes.
        wanted: u64,
        /// Actual length, in bytes.
        found: u64,
    },
    /// The checksum does not match: the file is corrupt.
    Checksum,
    /// The version is not supported.
    Version(u16),
    /// The checksum matches, but the body cannot be decoded.
    Body(String),
    /// The body exceeds [`MAX_BODY_BYTES`]; contains the length in bytes.
    TooLong(u64),
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FileError::BadMagic => f.write_str("not a file of learned statistics"),
            FileError::Length { wanted, found } => {
                write!(f, "wrong length: {found} bytes, expected {wanted}")
            }
            FileError::Checksum => f.write_str("checksum mismatch"),
            FileError::Version(version) => {
                write!(
                    f,
                    "unsupported version {version}; versions 1 to {VERSION} are supported"
                )
            }
            FileError::Body(problem) => write!(f, "invalid body: {problem}"),
            FileError::TooLong(bytes) => {
                write!(
                    f,
                    "body of {bytes} bytes exceeds the maximum of {MAX_BODY_BYTES}"
                )
            }
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

/// The body of version 1: a host has only slowness and the number of answers, and times are in
/// whole seconds.
#[derive(Serialize, Deserialize)]
struct BodyV1 {
    fleet: Fleet,
    taken_s: u64,
    classes: Vec<ClassV1>,
    hosts: Vec<HostV1>,
}

#[derive(Serialize, Deserialize)]
struct ClassV1 {
    name: String,
    median_us: f64,
    p95_us: f64,
}

#[derive(Serialize, Deserialize)]
struct HostV1 {
    uid: String,
    #[serde(rename = "born")]
    started: UnixMillis,
    slowness: Vec<f32>,
    answers: u32,
    judged_s: u64,
}

impl From<BodyV1> for Snapshot {
    fn from(old: BodyV1) -> Snapshot {
        let class = |c: ClassV1| {
            let (median, p95) = (1000.0 * c.median_us, 1000.0 * c.p95_us);
            ClassStats {
                name: c.name,
                median,
                p95,
                least: median,
                attempts: (median, p95),
                weight: V1_CLASS_WEIGHT,
            }
        };
        let host = |h: HostV1| {
            let stats = HostStats {
                started: h.started,
                slowness: h.slowness,
                delay: 0.0,
                limit: f32::MAX,
                errors: 0.0,
                weight: h.answers as f32,
                updated_at: h.judged_s.saturating_mul(1000),
            };
            (Arc::from(h.uid), stats)
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

/// The checksum of version, length and body. Without the version, a flipped bit there would decode
/// the body as another version's.
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

/// Encodes a snapshot in version 1, for older releases of the program.
///
/// # Errors
///
/// As for [`encode`].
pub fn encode_v1(snapshot: &Snapshot) -> Result<Vec<u8>, FileError> {
    let class = |c: &ClassStats| ClassV1 {
        name: c.name.clone(),
        median_us: c.median / 1000.0,
        p95_us: c.p95 / 1000.0,
    };
    let host = |(uid, h): (&Arc<str>, &HostStats)| HostV1 {
        uid: uid.to_string(),
        started: h.started,
        slowness: h.slowness.clone(),
        answers: h.weight as u32,
        judged_s: h.updated_at / 1000,
    };
    let body = BodyV1 {
        fleet: snapshot.fleet.clone(),
        taken_s: snapshot.taken_at / 1000,
        classes: snapshot.classes.iter().map(class).collect(),
        hosts: snapshot.hosts.iter().map(host).collect(),
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&body, &mut bytes).map_err(|e| FileError::Body(e.to_string()))?;
    frame(1, &bytes)
}

/// The length of a file according to its header, so that a file that is too long is not read.
///
/// # Errors
///
/// [`FileError::BadMagic`] or [`FileError::TooLong`].
pub fn length(header: &[u8]) -> Result<u64, FileError> {
    if header.len() < HEADER_BYTES || header[..8] != MAGIC {
        return Err(FileError::BadMagic);
    }
    let length = u32::from_le_bytes([header[12], header[13], header[14], header[15]]) as usize;
    if length > MAX_BODY_BYTES {
        Err(FileError::TooLong(length as u64))
    } else {
        Ok((HEADER_BYTES + length) as u64)
    }
}

/// Decodes a file of any supported version; returns the snapshot and the version.
///
/// # Errors
///
/// [`FileError`] if the file is invalid.
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
    let invalid_body = |e: ciborium::de::Error<std::io::Error>| FileError::Body(e.to_string());
    match version {
        1 => Ok((
            ciborium::from_reader::<BodyV1, _>(body)
                .map_err(invalid_body)?
                .into(),
            1,
        )),
        2 => {
            let body: Body = ciborium::from_reader(body).map_err(invalid_body)?;
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
