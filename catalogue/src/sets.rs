//! Result sets: what one remembers, which ones are kept, and when one has changed.

use crate::cql::Node;
use crate::fault::{Fault, Kind};
use crate::merge::{self, Count, Row, Source};
use crate::record::Schema;
use crate::sort::SortKey;
use crate::work::{Found, Range};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Nanoseconds of one clock.
pub type Time = u64;

/// Names a set for as long as the program runs; never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SetId(pub u64);

/// Whose a set is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Owner {
    /// A Z39.50 session's; it ends with the session.
    Session(u64),
    /// Any SRU client's that knows its name.
    Shared,
}

/// The last record of a slice that was delivered: what a following page is checked against.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Anchor {
    offset: u64,
    fingerprint: u64,
    schema: Option<Schema>,
}

/// What one slice gave.
#[derive(Debug, Clone)]
pub struct SliceSet {
    /// The slice.
    pub slice: u32,
    /// How many hits.
    pub hits: u64,
    /// Whether that is all of them.
    pub exact: bool,
    /// Which host said so.
    pub host: u32,
    /// When.
    pub as_of: Time,
    anchor: Option<Anchor>,
}

/// The merged order of a sorted set, as far as it is known.
#[derive(Debug, Clone)]
pub struct Merged {
    /// For each known position, the place of its slice among the set's.
    pub order: Vec<u16>,
    /// Each slice's records that are fetched and not placed.
    pub sources: Vec<Source>,
    /// A slice's host gives another order than was asked for.
    pub disorder: Option<u32>,
}

/// A result set.
#[derive(Debug, Clone)]
pub struct ResultSet {
    /// The search.
    pub query: Node,
    /// The order.
    pub sort: Vec<SortKey>,
    /// The slices that are in, by number.
    pub slices: Vec<SliceSet>,
    /// Those that are not.
    pub missing: Vec<u32>,
    /// The merged order, in a sorted set.
    pub merged: Option<Merged>,
    /// Its name towards SRU clients.
    pub token: String,
    owner: Owner,
    key: String,
    ttl: Time,
    used: Time,
    bytes: usize,
}

/// A page's positions as places in slices.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SliceRange {
    /// The place of the slice among the set's.
    pub at: usize,
    /// The slice.
    pub slice: u32,
    /// The first place in it, from 0.
    pub offset: u64,
    /// How many.
    pub count: u64,
}

/// A slice is not what it was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Changed {
    /// Which.
    pub slice: u32,
}

impl ResultSet {
    /// A set of what the slices gave; those of `asked` that gave nothing are missing.
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

    /// How many hits it has.
    pub fn count(&self) -> Count {
        merge::count(
            self.slices.iter().map(|s| (s.hits, s.exact)),
            !self.missing.is_empty(),
        )
    }

    /// Where positions `start` (from 1) and on stand: the place of the slice among the set's, and
    /// the place in the slice. The slices follow one another by number, or as they were merged; of
    /// a sorted set only the known positions can be told.
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

    /// What is asked of a slice for a place in it: the records, and the one before them where that
    /// was delivered, so that a change is seen.
    pub fn ask(&self, place: &SliceRange) -> Range {
        let anchored = self.slices[place.at]
            .anchor
            .is_some_and(|a| a.offset + 1 == place.offset);
        let back = u64::from(anchored);
        Range {
            slice: place.slice,
            offset: place.offset - back,
            count: (place.count + back) as u32,
        }
    }

    /// Holds what a slice gave for such a range against what it gave before; takes the checking
    /// record off.
    pub fn check(&self, place: &SliceRange, found: &mut Found) -> Result<(), Changed> {
        let slice = &self.slices[place.at];
        let changed = Err(Changed { slice: slice.slice });
        // A count that was cut may well be cut elsewhere.
        if slice.exact && found.exact && found.hits != slice.hits {
            return changed;
        }
        if let Some(anchor) = slice.anchor.filter(|a| a.offset + 1 == place.offset) {
            if found.records.is_empty() {
                return changed;
            }
            let first = found.records.remove(0);
            // Two forms of one record cannot be held against each other.
            if first.schema == anchor.schema && first.fingerprint() != anchor.fingerprint {
                return changed;
            }
        }
        if (found.records.len() as u64) < place.count {
            return changed;
        }
        found.records.truncate(place.count as usize);
        Ok(())
    }

    /// A record was delivered: the next page of this slice is checked against it.
    pub fn delivered(&mut self, at: usize, offset: u64, record: &crate::record::Record) {
        let anchor = Anchor {
            offset,
            fingerprint: record.fingerprint(),
            schema: record.schema,
        };
        self.slices[at].anchor = Some(anchor);
    }

    /// About how much memory it holds.
    fn measure(&self) -> usize {
        let rows = |row: &Row| row.record.xml.len() + 96;
        let merged = self.merged.as_ref().map_or(0, |m| {
            2 * m.order.len()
                + m.sources
                    .iter()
                    .flat_map(|s| &s.ahead)
                    .map(rows)
                    .sum::<usize>()
        });
        256 + self.key.len() * 3 + self.slices.len() * 112 + merged
    }
}

/// What bounds the table.
#[derive(Debug, Clone, Copy)]
pub struct SetBounds {
    /// Sets at once.
    pub sets: usize,
    /// Bytes of all of them.
    pub bytes: usize,
    /// How long a set is kept that is not used, at the most; also what a client gets that asks for
    /// none.
    pub ttl: Time,
    /// Names of sets that are gone, kept to tell them from those that never were.
    pub gone: usize,
}

/// Every result set.
#[derive(Debug)]
pub struct SetTable {
    bounds: SetBounds,
    sets: HashMap<SetId, ResultSet>,
    /// By when they end, if they are not used.
    ends: BTreeSet<(Time, SetId)>,
    tokens: HashMap<String, SetId>,
    keys: HashMap<String, SetId>,
    owned: BTreeMap<u64, BTreeSet<SetId>>,
    gone: VecDeque<String>,
    bytes: usize,
    next: u64,
    secret: u64,
    /// Sets that gave way to others.
    pub evicted: u64,
}

impl SetTable {
    /// An empty table. The seed keeps names from being guessed.
    pub fn new(bounds: SetBounds, seed: u64) -> SetTable {
        SetTable {
            bounds,
            sets: HashMap::new(),
            ends: BTreeSet::new(),
            tokens: HashMap::new(),
            keys: HashMap::new(),
            owned: BTreeMap::new(),
            gone: VecDeque::new(),
            bytes: 0,
            next: 1,
            secret: seed,
            evicted: 0,
        }
    }

    /// How many there are, and how many bytes they hold.
    pub fn size(&self) -> (usize, usize) {
        (self.sets.len(), self.bytes)
    }

    /// Keeps a set. A shared one of the same search and order takes the place of the former as the
    /// one that pages without a set's name continue; whoever knows the former by name still has it.
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
        set.token = format!("{:016x}{:x}", mix(self.secret ^ id.0), id.0);
        set.bytes = set.measure();
        self.bytes += set.bytes;
        self.ends.insert((now.saturating_add(set.ttl), id));
        match owner {
            Owner::Session(session) => {
                self.owned.entry(session).or_default().insert(id);
            }
            Owner::Shared => {
                self.tokens.insert(set.token.clone(), id);
                self.keys.insert(set.key.clone(), id);
            }
        }
        self.sets.insert(id, set);
        self.expire(now);
        // The least recently used give way; the new one itself never does, or a large one could not
        // be made at all.
        while (self.sets.len() > self.bounds.sets || self.bytes > self.bounds.bytes)
            && let Some((_, oldest)) = self.ends.iter().find(|(_, other)| *other != id).copied()
        {
            self.evicted += 1;
            self.remove(oldest);
        }
        id
    }

    /// A set, for as long as it is there; using it keeps it.
    pub fn get(&mut self, id: SetId, now: Time) -> Option<&mut ResultSet> {
        self.expire(now);
        let set = self.sets.get_mut(&id)?;
        self.ends.remove(&(set.used.saturating_add(set.ttl), id));
        set.used = now;
        self.ends.insert((now.saturating_add(set.ttl), id));
        Some(set)
    }

    /// Counts a set's memory anew after it was changed.
    pub fn remeasure(&mut self, id: SetId) {
        if let Some(set) = self.sets.get_mut(&id) {
            let bytes = set.measure();
            self.bytes = self.bytes - set.bytes + bytes;
            set.bytes = bytes;
        }
    }

    /// The shared set of a name.
    pub fn by_token(&mut self, token: &str, now: Time) -> Result<SetId, Fault> {
        self.expire(now);
        match self.tokens.get(token) {
            Some(id) => Ok(*id),
            None if self.gone.iter().any(|gone| gone == token) => Err(Kind::SET_GONE.of(token)),
            None => Err(Kind::NO_SET.of(token)),
        }
    }

    /// The shared set that a page without a set's name continues.
    pub fn by_search(&mut self, query: &Node, sort: &[SortKey], now: Time) -> Option<SetId> {
        self.expire(now);
        self.keys.get(&search_key(query, sort)).copied()
    }

    /// Ends a set.
    pub fn remove(&mut self, id: SetId) {
        let Some(set) = self.sets.remove(&id) else {
            return;
        };
        self.bytes -= set.bytes;
        self.ends.remove(&(set.used.saturating_add(set.ttl), id));
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
                if self.keys.get(&set.key) == Some(&id) {
                    self.keys.remove(&set.key);
                }
                self.gone.push_back(set.token);
                if self.gone.len() > self.bounds.gone {
                    self.gone.pop_front();
                }
            }
        }
    }

    /// Ends a session's sets.
    pub fn remove_all(&mut self, session: u64) {
        for id in self.owned.remove(&session).unwrap_or_default() {
            self.remove(id);
        }
    }

    /// Ends what was not used for its time.
    pub fn expire(&mut self, now: Time) {
        while let Some((_, id)) = self.ends.first().copied().filter(|(at, _)| *at <= now) {
            self.remove(id);
        }
    }
}

fn search_key(query: &Node, sort: &[SortKey]) -> String {
    format!("{query} {}", crate::cql::write_sort(sort))
}

/// One step of splitmix64: spreads a counter so that neighbours have nothing in common.
fn mix(n: u64) -> u64 {
    let n = n.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let n = (n ^ n >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ n >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ n >> 31
}

#[cfg(test)]
mod tests;
