//! Soft state that spreads by version vectors: backends, members, and orders under way.
//!
//! Each life of a node is an origin that numbers its records. A holder tells how far it knows each
//! origin, and gets the records that are newer. Which of two records of one thing holds is decided
//! by their rank, not by their order of arrival, so that holders converge whatever the paths.

mod records;

pub use records::{
    Backend, BackendPhase, Key, Member, MemberStatus, Order, OrderPhase, Origin, Record, Stamp,
    Suspicion, Value, VersionVector,
};

use compact_str::CompactString;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

/// The records that one node holds.
#[derive(Debug)]
pub struct Directory {
    own: Origin,
    vector: VersionVector,
    records: BTreeMap<Key, (Stamp, Value)>,
    by_stamp: BTreeMap<(Origin, u64), Key>,
}

impl Directory {
    /// An empty directory of a node's new life.
    pub fn new(own: Origin) -> Self {
        Directory {
            own,
            vector: VersionVector::new(),
            records: BTreeMap::new(),
            by_stamp: BTreeMap::new(),
        }
    }

    /// How far each origin is known.
    pub fn vector(&self) -> &VersionVector {
        &self.vector
    }

    /// How many records are held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// What is held about a thing.
    pub fn get(&self, key: &Key) -> Option<&Value> {
        self.records.get(key).map(|(_, value)| value)
    }

    /// Who wrote what is held about a thing.
    pub fn stamp(&self, key: &Key) -> Option<Stamp> {
        self.records.get(key).map(|(stamp, _)| *stamp)
    }

    /// Every backend with its id.
    pub fn backends(&self) -> impl Iterator<Item = (&CompactString, &Backend)> {
        self.records
            .iter()
            .filter_map(|(key, (_, value))| match (key, value) {
                (Key::Backend(id), Value::Backend(backend)) => Some((id, backend)),
                _ => None,
            })
    }

    /// Every member with its name.
    pub fn members(&self) -> impl Iterator<Item = (&CompactString, &Member)> {
        self.records
            .iter()
            .filter_map(|(key, (_, value))| match (key, value) {
                (Key::Member(name), Value::Member(member)) => Some((name, member)),
                _ => None,
            })
    }

    /// The last order to a backend.
    pub fn order(&self, backend: &str) -> Option<&Order> {
        match self.get(&Key::Order(backend.into())) {
            Some(Value::Order(order)) => Some(order),
            _ => None,
        }
    }

    /// The last suspicion of a backend.
    pub fn suspicion(&self, backend: &str) -> Option<Suspicion> {
        match self.get(&Key::Suspicion(backend.into())) {
            Some(Value::Suspicion(suspicion)) => Some(*suspicion),
            _ => None,
        }
    }

    /// Writes a record of this node's own. False where what is held ranks higher or says the same.
    pub fn put(&mut self, key: Key, value: Value) -> bool {
        if let Some((_, current)) = self.records.get(&key)
            && !value.outranks(current)
        {
            return false;
        }
        let counter = self.vector.entry(self.own).or_default();
        *counter += 1;
        let stamp = Stamp {
            origin: self.own,
            counter: *counter,
        };
        self.insert(key, stamp, value);
        true
    }

    fn insert(&mut self, key: Key, stamp: Stamp, value: Value) {
        if let Some((previous, _)) = self.records.insert(key.clone(), (stamp, value)) {
            self.by_stamp.remove(&(previous.origin, previous.counter));
        }
        self.by_stamp.insert((stamp.origin, stamp.counter), key);
    }

    /// Forgets a record. As its stamp stays covered by the vector, nobody sends it again.
    pub fn remove(&mut self, key: &Key) {
        if let Some((stamp, _)) = self.records.remove(key) {
            self.by_stamp.remove(&(stamp.origin, stamp.counter));
        }
    }

    /// Whether there is anything that the holder of `vector` lacks.
    pub fn has_records_since(&self, vector: &VersionVector) -> bool {
        self.vector
            .iter()
            .any(|(origin, counter)| vector.get(origin).copied().unwrap_or(0) < *counter)
    }

    /// Everything that the holder of `vector` lacks.
    pub fn records_since(&self, vector: &VersionVector) -> Vec<Record> {
        let mut news = Vec::new();
        for (origin, newest) in &self.vector {
            let known = vector.get(origin).copied().unwrap_or(0);
            if known >= *newest {
                continue;
            }
            for ((origin, counter), key) in self
                .by_stamp
                .range((*origin, known + 1)..=(*origin, *newest))
            {
                if let Some((_, value)) = self.records.get(key) {
                    let stamp = Stamp {
                        origin: *origin,
                        counter: *counter,
                    };
                    news.push(Record {
                        key: key.clone(),
                        stamp,
                        value: value.clone(),
                    });
                }
            }
        }
        news
    }

    /// Takes everything that a holder had beyond this directory's vector. Returns what has changed
    /// here.
    pub fn merge(&mut self, news: Vec<Record>, vector: &VersionVector) -> BTreeSet<Key> {
        let mut changed = BTreeSet::new();
        for record in news {
            let current = self.records.get(&record.key);
            if current.is_none_or(|(_, current)| record.value.outranks(current)) {
                changed.insert(record.key.clone());
                self.insert(record.key, record.stamp, record.value);
            }
        }
        for (origin, counter) in vector {
            let known = self.vector.entry(*origin).or_default();
            *known = (*known).max(*counter);
        }
        changed
    }

    /// Keys of what has ended: backends that are gone with their orders and suspicions, and members
    /// that are not there.
    pub fn expired(&self) -> BTreeSet<Key> {
        let is_deregistered = |id: &CompactString| {
            let backend = self.get(&Key::Backend(id.clone()));
            backend.is_none_or(
                |value| matches!(value, Value::Backend(b) if b.phase == BackendPhase::Gone),
            )
        };
        let is_expired = |key: &Key, value: &Value| match (key, value) {
            (Key::Backend(id) | Key::Order(id) | Key::Suspicion(id), _) => is_deregistered(id),
            (_, Value::Member(member)) => member.status != MemberStatus::Up,
            _ => false,
        };
        let expired = self
            .records
            .iter()
            .filter(|(key, (_, value))| is_expired(key, value));
        expired.map(|(key, _)| key.clone()).collect()
    }

    /// Backends and members, to be kept on disk.
    pub fn persistent_records(&self) -> Vec<(Key, Value)> {
        let persistent = self
            .records
            .iter()
            .filter(|(key, _)| !matches!(key, Key::Order(_) | Key::Suspicion(_)));
        persistent
            .map(|(key, (_, value))| (key.clone(), value.clone()))
            .collect()
    }

    /// Hashes of keys and contents, for comparing with another holder.
    pub fn hashes(&self) -> Vec<(u64, u64)> {
        let entries = self.records.iter();
        entries
            .map(|(key, (_, value))| (hash_of(key), hash_of(value)))
            .collect()
    }

    /// The records whose key hashes are named, with their stamps.
    pub fn by_hash(&self, wanted: &BTreeSet<u64>) -> Vec<Record> {
        let chosen = self
            .records
            .iter()
            .filter(|(key, _)| wanted.contains(&hash_of(key)));
        let record = |(key, (stamp, value)): (&Key, &(Stamp, Value))| Record {
            key: key.clone(),
            stamp: *stamp,
            value: value.clone(),
        };
        chosen.map(record).collect()
    }
}

fn hash_of(thing: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    thing.hash(&mut hasher);
    hasher.finish()
}
