//! What a client sends behind more than is kept for it while a request of its waits. It is read all
//! the same, as the client's end stands behind it, and a client that has gone must not have
//! anything sent for it.

use super::http::{HttpError, Progress, Reader};

/// The requests of one connection that were read and not kept. Each is owed a refusal, once those
/// before it are answered.
pub struct Overflow {
    reader: Reader,
    /// The begin of the next request, as far as the reader has not taken it.
    input: Vec<u8>,
    pending_rejections: usize,
    /// Where something that is no request has come, which nothing behind it can be told from.
    problem: Option<HttpError>,
}

impl Overflow {
    /// Begins behind the whole requests in `input`, which stay there; what follows them is taken
    /// out.
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

    /// Reads on, and drops what it has read; the bytes are taken out of `input`.
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

    /// Whether one more refusal is owed; it is held to be given.
    pub fn take_rejection(&mut self) -> bool {
        let is_pending_one = self.pending_rejections > 0;
        self.pending_rejections -= usize::from(is_pending_one);
        is_pending_one
    }

    /// Whether anything that has come is still owed something.
    pub fn is_pending(&self) -> bool {
        self.pending_rejections > 0
            || self.problem.is_some()
            || !self.input.is_empty()
            || !self.reader.is_fresh()
    }

    /// What follows the last of the refusals: the begin of the next request, or what is wrong with
    /// it.
    pub fn end(self) -> Result<(Reader, Vec<u8>), HttpError> {
        self.problem.map_or(Ok((self.reader, self.input)), Err)
    }
}
