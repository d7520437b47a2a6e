//! Pipelined requests beyond what is buffered for a client while its request is in flight. They are
//! read all the same: only behind them the end of the stream can be seen, and nothing may be sent
//! to index hosts for a client that has disconnected.

use super::http::{HttpError, Progress, Reader};

/// The requests of one connection that were read and dropped. Each is rejected once those before it
/// are answered.
pub struct Overflow {
    reader: Reader,
    /// The beginning of the next request, as far as the reader has not consumed it.
    input: Vec<u8>,
    pending_rejections: usize,
    /// A malformed request; what follows it cannot be parsed.
    problem: Option<HttpError>,
}

impl Overflow {
    /// Begins behind the complete requests in `input`, which stay there; what follows them is
    /// removed.
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

    /// Parses and drops what is in `input`, and empties it.
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

    /// Whether one more rejection is to be sent; it counts as sent.
    pub fn take_rejection(&mut self) -> bool {
        let is_pending_one = self.pending_rejections > 0;
        self.pending_rejections -= usize::from(is_pending_one);
        is_pending_one
    }

    /// Whether anything that was read still needs an answer.
    pub fn is_pending(&self) -> bool {
        self.pending_rejections > 0
            || self.problem.is_some()
            || !self.input.is_empty()
            || !self.reader.is_fresh()
    }

    /// What follows the last rejection: the beginning of the next request, or what is wrong with
    /// it.
    pub fn end(self) -> Result<(Reader, Vec<u8>), HttpError> {
        self.problem.map_or(Ok((self.reader, self.input)), Err)
    }
}
