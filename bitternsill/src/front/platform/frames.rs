//! The frames between gatherers and index hosts: a length, a letter and the rest.

use crate::core::ports::{Outgoing, Score, Value};
use dispatch::interface::Time;
use std::fmt;

/// What an index host sent.
#[derive(Debug, Clone, PartialEq)]
pub enum Frame {
    /// How a part ended.
    Ended {
        /// The part's id.
        name: String,
        /// How.
        end: End,
    },
    /// The answer to a probe.
    Probed {
        /// Whether the host is well.
        good: bool,
    },
    /// The frame before could not be used; the connection is closed.
    Unusable(String),
}

/// How an index host ended a part.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// Served, with its value.
    Good(Value),
    /// An error; it may have run.
    Bad,
    /// Turned away; it never ran.
    Later,
    /// Answered, but not so that anything could be passed on; it has run, and nothing behind it can
    /// be read.
    Spoilt,
}

/// A frame that cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// Its length is over the limit, or nothing.
    Length(usize),
    /// Its letter is none of an index host's.
    Letter(u8),
    /// Its line is not as the protocol has it.
    Line,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Length(n) => write!(f, "a frame of {n} bytes"),
            FrameError::Letter(letter) => {
                write!(f, "a frame with the letter {:?}", char::from(*letter))
            }
            FrameError::Line => f.write_str("a frame whose line is malformed"),
        }
    }
}

impl std::error::Error for FrameError {}

/// Reads the next whole frame and takes it out of `input`; any split of the bytes gives the same
/// frames.
pub fn read(input: &mut Vec<u8>, most: usize) -> Result<Option<Frame>, FrameError> {
    let Some((length, rest)) = input.split_first_chunk::<4>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*length) as usize;
    if length == 0 || length > most {
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
    let (letter, rest) = body.split_first().ok_or(FrameError::Length(0))?;
    match letter {
        b'q' => {
            let end = rest
                .iter()
                .position(|b| *b == b'\n')
                .ok_or(FrameError::Line)?;
            let mut words = rest[..end]
                .split(|b| *b == b' ')
                .map(|word| std::str::from_utf8(word).ok());
            // The report, behind the score, may be unreadable: nothing here rests on it.
            let (Some(Some(name)), end_word, score) = (words.next(), words.next(), words.next())
            else {
                return Err(FrameError::Line);
            };
            let score = score.flatten().and_then(Score::parse);
            let end = match (end_word.flatten(), score, value(&rest[end + 1..])) {
                (Some("good"), Some(score), Some(body)) => End::Good(Value {
                    score,
                    body: body.into(),
                }),
                (Some("bad"), ..) => End::Bad,
                (Some("later"), ..) => End::Later,
                _ => End::Spoilt,
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
        other => Err(FrameError::Letter(*other)),
    }
}

/// A value, if it can be one: a length that does not fit takes in the next frame, whose own length
/// shows as control characters.
fn value(bytes: &[u8]) -> Option<&str> {
    let text = std::str::from_utf8(bytes).ok()?;
    (!text.is_empty() && !text.chars().any(|c| c.is_control() && !c.is_whitespace()))
        .then_some(text)
}

fn frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(rest.len() + 5);
    out.extend_from_slice(&(rest.len() as u32 + 1).to_le_bytes());
    out.push(letter);
    out.extend_from_slice(rest);
    out
}

/// One call with its parts.
pub fn call(parts: &[Outgoing], now: Time) -> Vec<u8> {
    let mut rest = Vec::new();
    for part in parts {
        // What the host is told to wait for is what is left now that the frame is written.
        let left = part.until.saturating_sub(now).div_ceil(1_000_000).max(1);
        let mut list = format!("d={left}");
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

/// A part is given up.
pub fn give_up(name: &str) -> Vec<u8> {
    frame(b'n', name.as_bytes())
}

/// A probe.
pub fn probe() -> Vec<u8> {
    frame(b'o', b"")
}

#[cfg(test)]
mod tests;
