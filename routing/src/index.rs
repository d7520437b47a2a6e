//! The index of kept prompts: which backend holds which parts, and under which salt.

use crate::prompt::Part;
use compact_str::CompactString;
use std::collections::HashMap;

/// A part as a backend keeps it: found only under the same salt.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Kept {
    salt: CompactString,
    id: CompactString,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    tokens: u64,
    used: u64,
}

/// What one holder keeps, as far as is known.
#[derive(Debug)]
pub struct HolderIndex {
    capacity: u64,
    tokens: u64,
    clock: u64,
    entries: HashMap<Kept, Entry>,
}

impl HolderIndex {
    /// A holder with room for so many tokens, about which nothing is known.
    pub fn new(capacity: u64) -> Self {
        HolderIndex { capacity, tokens: 0, clock: 0, entries: HashMap::new() }
    }

    /// Tokens at the start of a prompt that the holder does not have to read again.
    pub fn kept_tokens(&self, salt: &str, parts: &[Part]) -> u64 {
        let kept = parts.iter().map_while(|part| {
            let key = Kept { salt: salt.into(), id: part.id.clone() };
            // A part of which only the start is kept ends the run.
            self.entries.get(&key).map(|entry| (entry.tokens.min(part.tokens), part.tokens))
        });
        let mut sum = 0;
        for (held, whole) in kept {
            sum += held;
            if held < whole {
                break;
            }
        }
        sum
    }

    /// The holder is about to read these parts, and will keep them.
    pub fn will_keep(&mut self, salt: &str, parts: &[Part]) {
        parts.iter().for_each(|part| self.keep(salt, &part.id, part.tokens));
        self.evict();
    }

    /// The holder says that it keeps so many tokens of a part; 0 where it keeps none.
    pub fn told(&mut self, salt: &str, id: &str, tokens: u64) {
        if tokens == 0 {
            let key = Kept { salt: salt.into(), id: id.into() };
            if let Some(entry) = self.entries.remove(&key) {
                self.tokens -= entry.tokens;
            }
        } else {
            self.keep(salt, id, tokens);
            self.evict();
        }
    }

    fn keep(&mut self, salt: &str, id: &str, tokens: u64) {
        self.clock += 1;
        let key = Kept { salt: salt.into(), id: id.into() };
        let entry = Entry { tokens, used: self.clock };
        let former = self.entries.insert(key, entry).map_or(0, |former| former.tokens);
        self.tokens = self.tokens + tokens - former;
    }

    /// The least recently used parts give way, as they do at the holder.
    fn evict(&mut self) {
        if self.tokens <= self.capacity {
            return;
        }
        let mut by_age: Vec<(u64, Kept)> =
            self.entries.iter().map(|(key, entry)| (entry.used, key.clone())).collect();
        by_age.sort_unstable_by_key(|(used, _)| *used);
        // Some more than has to go, so that this is not done for every part.
        let target = self.capacity - self.capacity / 16;
        for (_, key) in by_age {
            if self.tokens <= target {
                break;
            }
            if let Some(entry) = self.entries.remove(&key) {
                self.tokens -= entry.tokens;
            }
        }
    }

    /// The holder has lost everything.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.tokens = 0;
    }

    /// Every known part: its salt, its id and its tokens.
    pub fn entries(&self) -> impl Iterator<Item = (&str, &str, u64)> {
        self.entries.iter().map(|(key, entry)| (key.salt.as_str(), key.id.as_str(), entry.tokens))
    }

    /// How many parts are known.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
