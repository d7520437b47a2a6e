//! The frames between gatherers and index hosts: a 4-byte little-endian length, a type byte and a
//! payload.

use crate::core::ports::{Outgoing, Score, Value};
use dispatch::interface::Time;
use std::fmt;

/// A frame received from an index host.
#[derive(Debug, Clone, PartialEq)]
pub enum Frame {
    /// The end of a part.
    Ended {
        /// The part's id on the wire.
        name: String,
        /// How the part ended.
        end: End,
    },
    /// The answer to a probe.
    Probed {
        /// Whether the host is healthy.
        good: bool,
    },
    /// The host could not parse the previous frame, and closes the connection.
    Unusable(String),
}

/// How an index host ended a part.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// Served, with its value.
    Served(Value),
    /// Failed; the part may have run.
    Error,
    /// Rejected; the part did not run.
    Rejected,
    /// The answer is malformed: the part has run, and no frame after this one can be parsed.
    Malformed,
}

/// A frame that cannot be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// The length is 0 or over the limit.
    Length(usize),
    /// The type is not one that an index host sends.
    UnknownType(u8),
    /// The header line is malformed.
    Line,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Length(n) => write!(f, "frame length out of bounds: {n} bytes"),
            FrameError::UnknownType(kind) => {
                write!(f, "unknown frame type {:?}", char::from(*kind))
            }
            FrameError::Line => f.write_str("malformed header line in a frame"),
        }
    }
}

impl std::error::Error for FrameError {}

/// Parses the next complete frame and removes it from `input`; `None` if it has not arrived
/// completely.
pub fn read(input: &mut Vec<u8>, max_bytes: usize) -> Result<Option<Frame>, FrameError> {
    let Some((length, rest)) = input.split_first_chunk::<4>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*length) as usize;
    if length == 0 || length > max_bytes {
        return Err(FrameError::Length(length));
    }
    let Some(body) = rest.get(..length) else {
        return Ok(None);
    };
    let frame = parse(body)?;
    input.drain(..4 + length);
    Ok(Some(frame))
}

fn parse(body: &[u8]) -> Result<Frame, FrameError> {
    let (kind, rest) = body.split_first().ok_or(FrameError::Length(0))?;
    match kind {
        b'q' => {
            let end = rest
                .iter()
                .position(|b| *b == b'\n')
                .ok_or(FrameError::Line)?;
            let mut words = rest[..end]
                .split(|b| *b == b' ')
                .map(|word| std::str::from_utf8(word).ok());
            // The load report after the score is not used here, so it may be malformed.
            let (Some(Some(name)), end_word, score) = (words.next(), words.next(), words.next())
            else {
                return Err(FrameError::Line);
            };
            let score = score.flatten().and_then(Score::parse);
            let end = match (end_word.flatten(), score, value(&rest[end + 1..])) {
                (Some("good"), Some(score), Some(body)) => End::Served(Value {
                    score,
                    body: body.into(),
                }),
                (Some("bad"), ..) => End::Error,
                (Some("later"), ..) => End::Rejected,
                _ => End::Malformed,
            };
            Ok(Frame::Ended {
                name: name.to_owned(),
                end,
            })
        }
        b'o' if rest == b"good" || rest == b"bad" => Ok(Frame::Probed {
            good: rest == b"good",
        }),
        b'r' => Ok(Frame::Unusable(String::from_utf8_lossy(rest).into_owned())),
        other => Err(FrameError::UnknownType(*other)),
    }
}

/// Returns the text of a value, or `None` if it is empty or contains control characters: a wrong
/// frame length makes the value include the next frame, whose length field shows up as such.
fn value(bytes: &[u8]) -> Option<&str> {
    let text = std::str::from_utf8(bytes).ok()?;
    (!text.is_empty() && !text.chars().any(|c| c.is_control() && !c.is_whitespace()))
        .then_some(text)
}

fn frame(kind: u8, rest: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(rest.len() + 5);
    out.extend_from_slice(&(rest.len() as u32 + 1).to_le_bytes());
    out.push(kind);
    out.extend_from_slice(rest);
    out
}

/// Encodes a call with its parts.
pub fn call(parts: &[Outgoing], now: Time) -> Vec<u8> {
    let mut rest = Vec::new();
    for part in parts {
        // The deadline sent is the time left when the frame is written, in milliseconds.
        let left_ms = part.until.saturating_sub(now).div_ceil(1_000_000).max(1);
        let mut list = format!("d={left_ms}");
        if let Some(key) = &part.key {
            list += &format!(",k={key}");
        }
        if let Some(from) = &part.from {
            list += &format!(
                ",from={from},whole={}",
                u8::from(part.first_step_complete == Some(true))
            );
        }
        let line = format!("{} {} {list} {}\n", part.name, part.shard, part.text.len());
        rest.extend_from_slice(line.as_bytes());
        rest.extend_from_slice(part.text.as_bytes());
    }
    frame(b'm', &rest)
}

/// Encodes the cancellation of a part.
pub fn cancel(name: &str) -> Vec<u8> {
    frame(b'n', name.as_bytes())
}

/// Encodes a probe.
pub fn probe() -> Vec<u8> {
    frame(b'o', b"")
}

#[cfg(test)]
mod tests;
