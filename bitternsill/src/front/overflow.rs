//! Handles pipelined requests that exceed the buffer of a client while its request is in flight.
//!
//! These requests are read and dropped, as the end of the stream is only visible after them, and
//! nothing may be sent to index hosts for a client that has disconnected.

use super::http::{HttpError, Progress, Reader};

/// The dropped requests of one connection. Each is rejected once the requests before it are
/// answered.
pub struct Overflow {
    reader: Reader,
    /// The start of the next request that the reader has not consumed yet.
    input: Vec<u8>,
    pending_rejections: usize,
    /// The error of a malformed request, after which nothing can be parsed.
    problem: Option<HttpError>,
}

impl Overflow {
    /// Starts after the complete requests in `input`. These stay there, and the rest is moved here.
    pub fn begin(input: &mut Vec<u8>, mut reader: Reader) -> Self {
        let (mut rest, mut kept) = (input.clone(), 0);
        let problem = loop {
            match reader.read(&mut rest) {
                Ok(Progress::Whole) => {
                    reader.take();
                    kept = input.len() - rest.len();
                }
                Ok(Progress::More) => break None,
                Err(problem) => break Some(problem),
            }
        };
        input.truncate(kept);
        Overflow {
            reader,
            input: rest,
            pending_rejections: 0,
            problem,
        }
    }

    /// Parses and drops the requests in `input`, and empties it.
    pub fn take(&mut self, input: &mut Vec<u8>) {
        self.input.append(input);
        while self.problem.is_none() {
            match self.reader.read(&mut self.input) {
                Ok(Progress::Whole) => {
                    self.reader.take();
                    self.pending_rejections += 1;
                }
                Ok(Progress::More) => return,
                Err(problem) => self.problem = Some(problem),
            }
        }
        self.input = Vec::new();
    }

    /// Removes one pending rejection, and returns whether there was one to send.
    pub fn take_rejection(&mut self) -> bool {
        let is_pending = self.pending_rejections > 0;
        self.pending_rejections -= usize::from(is_pending);
        is_pending
    }

    /// Whether any dropped or partial request still needs an answer.
    pub fn is_pending(&self) -> bool {
        self.pending_rejections > 0
            || self.problem.is_some()
            || !self.input.is_empty()
            || !self.reader.is_fresh()
    }

    /// Returns what follows the last rejection: the reader and the rest of the input for the next
    /// request, or the error in that request.
    pub fn end(self) -> Result<(Reader, Vec<u8>), HttpError> {
        self.problem.map_or(Ok((self.reader, self.input)), Err)
    }
}
