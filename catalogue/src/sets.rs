//! Result sets: their contents, the table that keeps them, and the detection of changes in slices.

use crate::cql::Node;
use crate::fault::{Fault, Kind};
use crate::merge::{self, Count, Row, Source};
use crate::record::Schema;
use crate::sort::SortKey;
use crate::work::{Found, Range};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Nanoseconds on a monotonic clock.
pub type Time = u64;

/// Identifies a result set for the lifetime of the process; identifiers are never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SetId(pub u64);

/// The owner of a result set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Owner {
    /// A Z39.50 session; the set is deleted when the session ends.
    Session(u64),
    /// Every SRU client that knows the set's token.
    Shared,
}

/// The last delivered record of a slice, against which the next page is checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Anchor {
    offset: u64,
    fingerprint: u64,
    schema: Option<Schema>,
}

/// The result of one slice.
#[derive(Debug, Clone)]
pub struct SliceSet {
    /// The slice.
    pub slice: u32,
    /// The number of hits.
    pub hits: u64,
    /// Whether `hits` is the full count.
    pub exact: bool,
    /// The host that returned the result.
    pub host: u32,
    /// When the result arrived.
    pub as_of: Time,
    anchor: Option<Anchor>,
}

/// The known prefix of a sorted set's merged order.
#[derive(Debug, Clone)]
pub struct Merged {
    /// For each known position, the index of its slice in [`ResultSet::slices`].
    pub order: Vec<u16>,
    /// For each slice, the records fetched but not yet merged.
    pub sources: Vec<Source>,
    /// A slice whose host returned records in another order than requested.
    pub disorder: Option<u32>,
}

/// A result set.
#[derive(Debug, Clone)]
pub struct ResultSet {
    /// The query.
    pub query: Node,
    /// The sort keys.
    pub sort: Vec<SortKey>,
    /// The slices that answered, by number.
    pub slices: Vec<SliceSet>,
    /// The slices that did not answer.
    pub missing: Vec<u32>,
    /// The merged order, if the set is sorted.
    pub merged: Option<Merged>,
    /// The result set's identifier for SRU clients.
    pub token: String,
    owner: Owner,
    key: String,
    ttl: Time,
    used: Time,
    bytes: usize,
}

/// A range of records in one slice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SliceRange {
    /// The index of the slice in [`ResultSet::slices`].
    pub at: usize,
    /// The slice.
    pub slice: u32,
    /// The offset of the first record in the slice, from 0.
    pub offset: u64,
    /// The number of records.
    pub count: u64,
}

/// A slice's results differ from those seen before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Changed {
    /// The changed slice.
    pub slice: u32,
}

impl ResultSet {
    /// Creates a set from the slices' results. Slices in `asked` without a result are missing.
    pub fn new(
        query: Node,
        sort: Vec<SortKey>,
        asked: &[u32],
        found: &[(u32, Found)],
        now: Time,
    ) -> ResultSet {
        let slice = |(slice, found): &(u32, Found)| SliceSet {
            slice: *slice,
            hits: found.hits,
            exact: found.exact,
            host: found.host,
            as_of: now,
            anchor: None,
        };
        let mut slices: Vec<SliceSet> = found.iter().map(slice).collect();
        slices.sort_by_key(|s| s.slice);
        let missing = asked
            .iter()
            .copied()
            .filter(|s| !slices.iter().any(|have| have.slice == *s))
            .collect();
        let merged = (!sort.is_empty()).then(|| Merged {
            order: Vec::new(),
            sources: slices.iter().map(|s| Source::new(s.hits)).collect(),
            disorder: None,
        });
        ResultSet {
            query,
            sort,
            slices,
            missing,
            merged,
            token: String::new(),
            owner: Owner::Shared,
            key: String::new(),
            ttl: 0,
            used: now,
            bytes: 0,
        }
    }

    /// The total number of hits.
    pub fn count(&self) -> Count {
        merge::count(
            self.slices.iter().map(|s| (s.hits, s.exact)),
            !self.missing.is_empty(),
        )
    }

    /// Locates the positions from `start` (counted from 1): for each, the index of its slice in the
    /// set and the offset in the slice. Unsorted sets list the slices in order of their numbers,
    /// sorted sets in merged order. In a sorted set only known positions can be located.
    pub fn locate(&self, start: u64, count: u64) -> Vec<(u64, (usize, u64))> {
        let (first, end) = (
            start.saturating_sub(1),
            start.saturating_sub(1).saturating_add(count),
        );
        let mut located = Vec::new();
        if let Some(merged) = &self.merged {
            let mut offsets = vec![0u64; self.slices.len()];
            for (position, at) in (0u64..end).zip(&merged.order) {
                let at = usize::from(*at);
                if position >= first {
                    located.push((position + 1, (at, offsets[at])));
                }
                offsets[at] += 1;
            }
            return located;
        }
        let mut before = 0u64;
        for (at, slice) in self.slices.iter().enumerate() {
            let (from, to) = (
                first.max(before),
                end.min(before.saturating_add(slice.hits)),
            );
            located.extend((from..to).map(|position| (position + 1, (at, position - before))));
            before = before.saturating_add(slice.hits);
        }
        located
    }

    /// The range to request from a slice. It includes the record before the range if that was the
    /// last one delivered, so that changes can be detected.
    pub fn range_to_fetch(&self, range: &SliceRange) -> Range {
        let anchored = self.slices[range.at]
            .anchor
            .is_some_and(|a| a.offset + 1 == range.offset);
        let back = u64::from(anchored);
        Range {
            slice: range.slice,
            offset: range.offset - back,
            count: (range.count + back) as u32,
        }
    }

    /// Compares a slice's result for a range with earlier results and removes the extra record that
    /// was requested for the check.
    pub fn verify(&self, range: &SliceRange, found: &mut Found) -> Result<(), Changed> {
        let slice = &self.slices[range.at];
        let changed = Err(Changed { slice: slice.slice });
        // A capped count may be capped at another value next time.
        if slice.exact && found.exact && found.hits != slice.hits {
            return changed;
        }
        if let Some(anchor) = slice.anchor.filter(|a| a.offset + 1 == range.offset) {
            if found.records.is_empty() {
                return changed;
            }
            let first = found.records.remove(0);
            // Fingerprints are comparable only within the same schema.
            if first.schema == anchor.schema && first.fingerprint() != anchor.fingerprint {
                return changed;
            }
        }
        if (found.records.len() as u64) < range.count {
            return changed;
        }
        found.records.truncate(range.count as usize);
        Ok(())
    }

    /// Remembers a delivered record, against which the slice's next page is checked.
    pub fn record_delivered(&mut self, at: usize, offset: u64, record: &crate::record::Record) {
        let anchor = Anchor {
            offset,
            fingerprint: record.fingerprint(),
            schema: record.schema,
        };
        self.slices[at].anchor = Some(anchor);
    }

    /// An estimate of the set's memory use in bytes.
    fn measure(&self) -> usize {
        let rows = |row: &Row| row.record.xml.len() + 96;
        let merged = self.merged.as_ref().map_or(0, |m| {
            2 * m.order.len()
                + m.sources
                    .iter()
                    .flat_map(|s| &s.buffered)
                    .map(rows)
                    .sum::<usize>()
        });
        256 + self.key.len() * 3 + self.slices.len() * 112 + merged
    }
}

/// Limits of the table.
#[derive(Debug, Clone, Copy)]
pub struct SetBounds {
    /// Maximum number of sets.
    pub sets: usize,
    /// Maximum bytes of all sets.
    pub bytes: usize,
    /// Longest time that an unused set is kept, also the default for clients that request none.
    pub ttl: Time,
    /// Tokens of deleted sets to remember, which distinguishes them from tokens that never existed.
    pub deleted_tokens: usize,
}

/// All result sets.
#[derive(Debug)]
pub struct SetTable {
    bounds: SetBounds,
    sets: HashMap<SetId, ResultSet>,
    /// When each set expires if it is not used before.
    expirations: BTreeSet<(Time, SetId)>,
    tokens: HashMap<String, SetId>,
    latest_by_search: HashMap<String, SetId>,
    owned: BTreeMap<u64, BTreeSet<SetId>>,
    deleted_tokens: VecDeque<String>,
    bytes: usize,
    next: u64,
    secret: u64,
    /// Sets evicted to make room for others.
    pub evicted: u64,
}

impl SetTable {
    /// Creates an empty table. The seed makes tokens hard to guess.
    pub fn new(bounds: SetBounds, seed: u64) -> SetTable {
        SetTable {
            bounds,
            sets: HashMap::new(),
            expirations: BTreeSet::new(),
            tokens: HashMap::new(),
            latest_by_search: HashMap::new(),
            owned: BTreeMap::new(),
            deleted_tokens: VecDeque::new(),
            bytes: 0,
            next: 1,
            secret: seed,
            evicted: 0,
        }
    }

    /// The number of sets and their memory use in bytes.
    pub fn size(&self) -> (usize, usize) {
        (self.sets.len(), self.bytes)
    }

    /// Stores a set. A shared set replaces an earlier one of the same query and order for requests
    /// that do not name a set. The earlier set remains available under its token.
    pub fn insert(
        &mut self,
        mut set: ResultSet,
        owner: Owner,
        ttl: Option<Time>,
        now: Time,
    ) -> SetId {
        let id = SetId(self.next);
        self.next += 1;
        set.owner = owner;
        set.ttl = ttl.unwrap_or(self.bounds.ttl).min(self.bounds.ttl);
        set.used = now;
        set.key = search_key(&set.query, &set.sort);
        set.token = format!("{:016x}{:x}", splitmix64(self.secret ^ id.0), id.0);
        set.bytes = set.measure();
        self.bytes += set.bytes;
        self.expirations.insert((now.saturating_add(set.ttl), id));
        match owner {
            Owner::Session(session) => {
                self.owned.entry(session).or_default().insert(id);
            }
            Owner::Shared => {
                self.tokens.insert(set.token.clone(), id);
                self.latest_by_search.insert(set.key.clone(), id);
            }
        }
        self.sets.insert(id, set);
        self.expire(now);
        // Evicts the least recently used sets, but never the new one, as otherwise a large set
        // could not be created at all.
        while (self.sets.len() > self.bounds.sets || self.bytes > self.bounds.bytes)
            && let Some((_, oldest)) = self
                .expirations
                .iter()
                .find(|(_, other)| *other != id)
                .copied()
        {
            self.evicted += 1;
            self.remove(oldest);
        }
        id
    }

    /// Returns a set and renews its lifetime.
    pub fn get(&mut self, id: SetId, now: Time) -> Option<&mut ResultSet> {
        self.expire(now);
        let set = self.sets.get_mut(&id)?;
        self.expirations
            .remove(&(set.used.saturating_add(set.ttl), id));
        set.used = now;
        self.expirations.insert((now.saturating_add(set.ttl), id));
        Some(set)
    }

    /// Updates the memory use of a set after a change.
    pub fn remeasure(&mut self, id: SetId) {
        if let Some(set) = self.sets.get_mut(&id) {
            let bytes = set.measure();
            self.bytes = self.bytes - set.bytes + bytes;
            set.bytes = bytes;
        }
    }

    /// The shared set with this token.
    pub fn by_token(&mut self, token: &str, now: Time) -> Result<SetId, Fault> {
        self.expire(now);
        match self.tokens.get(token) {
            Some(id) => Ok(*id),
            None if self.deleted_tokens.iter().any(|deleted| deleted == token) => {
                Err(Kind::SET_GONE.of(token))
            }
            None => Err(Kind::NO_SET.of(token)),
        }
    }

    /// The shared set that a request without a token continues.
    pub fn by_search(&mut self, query: &Node, sort: &[SortKey], now: Time) -> Option<SetId> {
        self.expire(now);
        self.latest_by_search.get(&search_key(query, sort)).copied()
    }

    /// Deletes a set.
    pub fn remove(&mut self, id: SetId) {
        let Some(set) = self.sets.remove(&id) else {
            return;
        };
        self.bytes -= set.bytes;
        self.expirations
            .remove(&(set.used.saturating_add(set.ttl), id));
        match set.owner {
            Owner::Session(session) => {
                if let Some(owned) = self.owned.get_mut(&session) {
                    owned.remove(&id);
                    if owned.is_empty() {
                        self.owned.remove(&session);
                    }
                }
            }
            Owner::Shared => {
                self.tokens.remove(&set.token);
                if self.latest_by_search.get(&set.key) == Some(&id) {
                    self.latest_by_search.remove(&set.key);
                }
                self.deleted_tokens.push_back(set.token);
                if self.deleted_tokens.len() > self.bounds.deleted_tokens {
                    self.deleted_tokens.pop_front();
                }
            }
        }
    }

    /// Deletes the sets of a session.
    pub fn remove_all(&mut self, session: u64) {
        for id in self.owned.remove(&session).unwrap_or_default() {
            self.remove(id);
        }
    }

    /// Deletes expired sets.
    pub fn expire(&mut self, now: Time) {
        while let Some((_, id)) = self
            .expirations
            .first()
            .copied()
            .filter(|(at, _)| *at <= now)
        {
            self.remove(id);
        }
    }
}

fn search_key(query: &Node, sort: &[SortKey]) -> String {
    format!("{query} {}", crate::cql::write_sort(sort))
}

/// One step of splitmix64, which makes consecutive counter values look unrelated.
fn splitmix64(n: u64) -> u64 {
    let n = n.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let n = (n ^ n >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ n >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ n >> 31
}

#[cfg(test)]
mod tests;
