//! Frames on a connection between routers: a length and a `postcard` message. Long messages are
//! compressed, as many routers may request the full state at once over slow links.
//!
//! The length is a big-endian `u32`. Its highest bit is set if the message is compressed, as an LZ4
//! block with the uncompressed size before it.

use crate::protocol::{Frame, MAX_MESSAGE_BYTES};
use crate::traffic::{MessageKind, Traffic};
use std::io;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Flag in the length field: the message is compressed.
const COMPRESSED: u32 = 1 << 31;
/// Messages shorter than this are not compressed.
const MIN_COMPRESSED_BYTES: usize = 2 << 10;
/// Length of the uncompressed size before a compressed block, in bytes.
const SIZE_BYTES: usize = 4;

/// Why bytes are not a valid frame.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The message is too long.
    #[error(
        "a frame of {length} bytes is longer than {MAX_MESSAGE_BYTES}: check that the other end is a router of this fleet"
    )]
    TooLong {
        /// Length of the message in bytes.
        length: usize,
    },
    /// The message can't be decompressed.
    #[error("a frame can't be decompressed ({0}): check that the other end runs the same version")]
    Compression(#[from] lz4_flex::block::DecompressError),
    /// The message can't be decoded.
    #[error("a frame can't be read ({0}): check that the other end runs the same version")]
    Message(#[from] postcard::Error),
}

impl From<FrameError> for io::Error {
    fn from(error: FrameError) -> Self {
        io::Error::new(io::ErrorKind::InvalidData, error)
    }
}

/// Encodes a frame with its length.
pub fn encode(frame: &Frame) -> Result<Vec<u8>, FrameError> {
    let message = postcard::to_stdvec(frame)?;
    let is_compressed = message.len() >= MIN_COMPRESSED_BYTES;
    let body = if is_compressed {
        lz4_flex::block::compress_prepend_size(&message)
    } else {
        message
    };
    if body.len() > MAX_MESSAGE_BYTES {
        return Err(FrameError::TooLong { length: body.len() });
    }
    let flag = if is_compressed { COMPRESSED } else { 0 };
    let mut bytes = Vec::with_capacity(size_of::<u32>() + body.len());
    bytes.extend((body.len() as u32 | flag).to_be_bytes());
    bytes.extend(body);
    Ok(bytes)
}

/// Decodes the message that follows a length.
fn decode(body: &[u8], is_compressed: bool) -> Result<Frame, FrameError> {
    if !is_compressed {
        return Ok(postcard::from_bytes(body)?);
    }
    let declared = body
        .first_chunk::<SIZE_BYTES>()
        .map_or(0, |size| u32::from_le_bytes(*size) as usize);
    if declared > MAX_MESSAGE_BYTES {
        return Err(FrameError::TooLong { length: declared });
    }
    let message = lz4_flex::block::decompress_size_prepended(body)?;
    Ok(postcard::from_bytes(&message)?)
}

/// Writes a frame.
pub async fn write_frame(
    writer: &mut (impl AsyncWrite + Unpin),
    frame: &Frame,
    traffic: &Traffic,
) -> io::Result<()> {
    let bytes = encode(frame)?;
    writer.write_all(&bytes).await?;
    traffic.record_sent(MessageKind::of(frame), bytes.len());
    Ok(())
}

/// Reads a frame.
pub async fn read_frame(
    reader: &mut (impl AsyncRead + Unpin),
    traffic: &Traffic,
) -> io::Result<Frame> {
    let declared = reader.read_u32().await?;
    let length = (declared & !COMPRESSED) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(FrameError::TooLong { length }.into());
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).await?;
    let frame = decode(&body, declared & COMPRESSED != 0)?;
    traffic.record_received(MessageKind::of(&frame), size_of::<u32>() + length);
    Ok(frame)
}
