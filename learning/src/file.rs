//! The file: a header with magic, version, length and checksum, and a body that names its fields.

use crate::picture::{ClassMemory, Fleet, HostMemory, Picture, Wall};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// What every file begins with.
pub const MAGIC: [u8; 8] = *b"BSLEARN\n";
/// The version that is written.
pub const VERSION: u16 = 2;
/// Bytes of the header: magic, version, two spare ones, the body's length and its CRC-32.
pub const HEADER: usize = 8 + 2 + 2 + 4 + 4;
/// The longest body that is read or written.
pub const LONGEST: usize = 64 << 20;

/// A file that cannot be loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FileError {
    /// It does not begin as such a file does.
    NotOne,
    /// It ends before it should, or goes on behind.
    Length {
        /// How long it should be.
        wanted: u64,
        /// How long it is.
        found: u64,
    },
    /// A byte is not what was written.
    Checksum,
    /// A version that this program does not know.
    Version(u16),
    /// The checksum is right and the body makes no sense: it was written so.
    Body(String),
    /// More than such a file may hold.
    TooLong(u64),
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FileError::NotOne => f.write_str("no file of what was learned"),
            FileError::Length { wanted, found } => {
                write!(f, "{found} bytes where {wanted} were written")
            }
            FileError::Checksum => f.write_str("the checksum does not fit"),
            FileError::Version(version) => {
                write!(f, "version {version}; versions 1 to {VERSION} are read")
            }
            FileError::Body(problem) => write!(f, "a body that makes no sense: {problem}"),
            FileError::TooLong(bytes) => write!(f, "{bytes} bytes; {LONGEST} at most"),
        }
    }
}

impl std::error::Error for FileError {}

#[derive(Serialize, Deserialize)]
struct Body {
    fleet: Fleet,
    taken: Wall,
    classes: Vec<ClassMemory>,
    hosts: Vec<(String, HostMemory)>,
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
    born: Wall,
    slowness: Vec<f32>,
    answers: u32,
    judged_s: u64,
}

impl From<Body1> for Picture {
    fn from(old: Body1) -> Picture {
        let class = |c: Class1| {
            let (median, p95) = (1000.0 * c.median_us, 1000.0 * c.p95_us);
            // How many answers that was is not told: half of what counts in full.
            ClassMemory {
                name: c.name,
                median,
                p95,
                least: median,
                tries: (median, p95),
                weight: 4.0,
            }
        };
        let host = |h: Host1| {
            let memory = HostMemory {
                born: h.born,
                slowness: h.slowness,
                delay: 0.0,
                limit: f32::MAX,
                errors: 0.0,
                weight: h.answers as f32,
                judged: h.judged_s.saturating_mul(1000),
            };
            (Arc::from(h.uid), memory)
        };
        Picture {
            fleet: old.fleet,
            taken: old.taken_s.saturating_mul(1000),
            classes: old.classes.into_iter().map(class).collect(),
            hosts: old.hosts.into_iter().map(host).collect(),
        }
    }
}

fn frame(version: u16, body: &[u8]) -> Result<Vec<u8>, FileError> {
    let length = u32::try_from(body.len())
        .ok()
        .filter(|_| body.len() <= LONGEST);
    let length = length.ok_or(FileError::TooLong(body.len() as u64))?;
    let mut out = Vec::with_capacity(HEADER + body.len());
    out.extend(MAGIC);
    out.extend(version.to_le_bytes());
    out.extend([0, 0]);
    out.extend(length.to_le_bytes());
    out.extend(checksum(version, body).to_le_bytes());
    out.extend(body);
    Ok(out)
}

/// Of the version too: a flipped bit there would have the body read as another one's.
fn checksum(version: u16, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&version.to_le_bytes());
    hasher.update(&(body.len() as u32).to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

/// A picture as a file.
pub fn encode(picture: &Picture) -> Result<Vec<u8>, FileError> {
    let body = Body {
        fleet: picture.fleet.clone(),
        taken: picture.taken,
        classes: picture.classes.clone(),
        hosts: picture
            .hosts
            .iter()
            .map(|(uid, host)| (uid.to_string(), host.clone()))
            .collect(),
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&body, &mut bytes).map_err(|e| FileError::Body(e.to_string()))?;
    frame(VERSION, &bytes)
}

/// A picture as a file of version 1, for programs before version 2.
pub fn encode_v1(picture: &Picture) -> Result<Vec<u8>, FileError> {
    let class = |c: &ClassMemory| Class1 {
        name: c.name.clone(),
        median_us: c.median / 1000.0,
        p95_us: c.p95 / 1000.0,
    };
    let host = |(uid, h): (&Arc<str>, &HostMemory)| Host1 {
        uid: uid.to_string(),
        born: h.born,
        slowness: h.slowness.clone(),
        answers: h.weight as u32,
        judged_s: h.judged / 1000,
    };
    let body = Body1 {
        fleet: picture.fleet.clone(),
        taken_s: picture.taken / 1000,
        classes: picture.classes.iter().map(class).collect(),
        hosts: picture.hosts.iter().map(host).collect(),
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&body, &mut bytes).map_err(|e| FileError::Body(e.to_string()))?;
    frame(1, &bytes)
}

/// The length that a file must have, from its header; so that one that is far too long is not read.
pub fn length(header: &[u8]) -> Result<u64, FileError> {
    if header.len() < HEADER || header[..8] != MAGIC {
        return Err(FileError::NotOne);
    }
    let length = u32::from_le_bytes([header[12], header[13], header[14], header[15]]) as usize;
    if length > LONGEST {
        Err(FileError::TooLong(length as u64))
    } else {
        Ok((HEADER + length) as u64)
    }
}

/// A picture from a file of any version, and which that was.
pub fn decode(bytes: &[u8]) -> Result<(Picture, u16), FileError> {
    let wanted = length(bytes)?;
    if wanted != bytes.len() as u64 {
        return Err(FileError::Length {
            wanted,
            found: bytes.len() as u64,
        });
    }
    let version = u16::from_le_bytes([bytes[8], bytes[9]]);
    let body = &bytes[HEADER..];
    let told = u32::from_le_bytes([bytes[16], bytes[17], bytes[18], bytes[19]]);
    if checksum(version, body) != told || bytes[10..12] != [0, 0] {
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
                Picture {
                    fleet: body.fleet,
                    taken: body.taken,
                    classes: body.classes,
                    hosts,
                },
                2,
            ))
        }
        other => Err(FileError::Version(other)),
    }
}
