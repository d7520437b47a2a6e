//! Bodies of responses from backends, which are read up to a bound.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Why a body can't be read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The connection broke.
    #[error(transparent)]
    Connection(#[from] reqwest::Error),
    /// The body is longer than the bound.
    #[error(
        "the response is longer than {max_bytes} bytes: check that the backend pages its answers"
    )]
    TooLong {
        /// The bound, in bytes.
        max_bytes: usize,
    },
}

/// Reads the body of a response, of `max_bytes` at most.
///
/// # Errors
///
/// The connection breaks, or the body is too long; the rest of it is not read then.
pub async fn read(mut response: reqwest::Response, max_bytes: usize) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = response.chunk().await? {
        if body.len() + chunk.len() > max_bytes {
            return Err(BodyError::TooLong { max_bytes });
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
