//! Range digests for anti-entropy: two replicas of a set of records find the few that differ by
//! comparing digests of ever smaller halves of the key space, as with a Merkle tree.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A range with at most this many records is listed instead of being halved again.
const MAX_LISTED_RECORDS: usize = 8;

/// A range of the hashed key space: all keys whose hash begins with these bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Range {
    /// The first bits, left-aligned.
    pub prefix: u64,
    /// The length of the prefix in bits.
    pub bits: u8,
}

impl Range {
    /// Every key.
    pub const ALL: Range = Range { prefix: 0, bits: 0 };

    fn contains(self, hash: u64) -> bool {
        self.bits == 0 || (hash ^ self.prefix) >> (64 - u32::from(self.bits)) == 0
    }

    fn halves(self) -> [Range; 2] {
        let bits = self.bits + 1;
        let half = 1_u64 << (64 - u32::from(bits));
        [
            Range {
                prefix: self.prefix,
                bits,
            },
            Range {
                prefix: self.prefix | half,
                bits,
            },
        ]
    }
}

/// A replica's summary of a range.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Summary {
    /// The digest of its records.
    Digest(u64),
    /// Each record's key hash and content hash.
    Listed(Vec<(u64, u64)>),
}

/// Hashes of the keys and contents of a set of records.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Digests {
    entries: BTreeMap<u64, u64>,
}

impl Digests {
    /// Digests of records given as hashes of key and content.
    pub fn new(entries: impl IntoIterator<Item = (u64, u64)>) -> Self {
        Digests {
            entries: entries.into_iter().collect(),
        }
    }

    fn within(&self, range: Range) -> impl Iterator<Item = (u64, u64)> + '_ {
        let entries = self
            .entries
            .range(range.prefix..)
            .map(|(key, content)| (*key, *content));
        entries.take_while(move |(key, _)| range.contains(*key))
    }

    /// The digest of a range: the same for the same records.
    pub fn digest(&self, range: Range) -> u64 {
        let mix = |value: u64| {
            (value ^ (value >> 31))
                .wrapping_mul(0x9e37_79b9_7f4a_7c15)
                .rotate_left(27)
        };
        self.within(range).fold(0, |sum, (key, content)| {
            mix(sum ^ mix(key) ^ content.rotate_left(7))
        })
    }

    /// This replica's summary of a range.
    pub fn summary(&self, range: Range) -> Summary {
        let few = self.within(range).nth(MAX_LISTED_RECORDS).is_none();
        if few {
            Summary::Listed(self.within(range).collect())
        } else {
            Summary::Digest(self.digest(range))
        }
    }

    /// Compares another replica's summary of a range with this one's. Returns the subranges to
    /// compare next, and the key hashes whose records differ or are missing here.
    pub fn compare(&self, range: Range, remote: &Summary) -> (Vec<Range>, Vec<u64>) {
        match remote {
            Summary::Digest(digest) if *digest == self.digest(range) => (Vec::new(), Vec::new()),
            Summary::Digest(_) => (range.halves().to_vec(), Vec::new()),
            Summary::Listed(listed) => {
                let differs = |(key, content): &&(u64, u64)| self.entries.get(key) != Some(content);
                (
                    Vec::new(),
                    listed.iter().filter(differs).map(|(key, _)| *key).collect(),
                )
            }
        }
    }
}
