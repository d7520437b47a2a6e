//! Random damage to messages, by seed, for tests of parsers.

use fastrand::Rng;

/// The deepest nesting that is inserted into a message.
const MAX_NESTING: usize = 60_000;

/// Pieces that parsers may stumble over.
const PIECES: [&[u8]; 14] = [
    b"-1",
    b"18446744073709551616",
    b"1e999",
    b"null",
    b"[]",
    b"{}",
    b"\"\\ud800\"",
    b"\xff\xfe",
    b"\0",
    b"\r\n\r\n",
    b"\"\"",
    b",",
    b"\\",
    b"\xff\xff\xff\xff",
];

/// Makes damaged messages from valid ones.
#[derive(Debug)]
pub struct Mutator {
    samples: Vec<Vec<u8>>,
    rng: Rng,
}

impl Mutator {
    /// A mutator of these messages.
    pub fn new(seed: u64, samples: Vec<Vec<u8>>) -> Self {
        assert!(!samples.is_empty(), "there are messages to damage");
        Mutator {
            samples,
            rng: Rng::with_seed(seed),
        }
    }

    /// A message with one to four kinds of damage.
    pub fn message(&mut self) -> Vec<u8> {
        let chosen = self.rng.usize(..self.samples.len());
        let mut message = self.samples[chosen].clone();
        for _ in 0..self.rng.usize(1..5) {
            self.damage(&mut message);
        }
        message
    }

    fn damage(&mut self, message: &mut Vec<u8>) {
        let at = self.rng.usize(..=message.len());
        let end = self.rng.usize(at..=message.len());
        match self.rng.u32(..8) {
            0 => message.truncate(at),
            1 => drop(message.drain(at..end)),
            2 => {
                let piece = message[at..end].to_vec();
                insert(message, at, &piece);
            }
            3 => {
                let piece = self.rng.choice(PIECES).unwrap_or_default();
                insert(message, at, piece);
            }
            4 => {
                let other = self.rng.usize(..self.samples.len());
                let tail = self.samples[other].clone();
                message.truncate(at);
                message.extend_from_slice(&tail[at.min(tail.len())..]);
            }
            // Deep nesting makes long messages, so it is rare.
            5 if self.rng.u32(..16) == 0 => {
                let opening = self.rng.choice([&b"["[..], b"{\"a\":", b"[{\"a\":"]);
                let depth = self.rng.usize(..MAX_NESTING);
                insert(message, at, &opening.unwrap_or_default().repeat(depth));
            }
            _ => {
                if let Some(byte) = message.get_mut(at) {
                    *byte ^= 1 << self.rng.u32(..8);
                }
            }
        }
    }
}

fn insert(message: &mut Vec<u8>, at: usize, piece: &[u8]) {
    message.splice(at..at, piece.iter().copied());
}

/// The number of messages to try: `FUZZ_CASES`, or a number that keeps the default run short.
pub fn cases() -> u64 {
    const DEFAULT_CASES: u64 = 20_000;
    let number = std::env::var("FUZZ_CASES").ok();
    number
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_CASES)
}
