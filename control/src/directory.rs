//! Soft state that is replicated by anti-entropy with version vectors: backends, members, orders
//! and suspicions.
//!
//! Each incarnation of a node is an origin that numbers its records. A node sends its version
//! vector and receives the records that are newer. Conflicts between two records with the same key
//! are resolved by rank, not by order of arrival, so all nodes converge whichever paths records
//! take.

mod durability;
mod records;

pub use durability::SavePoint;
pub use records::{
    Backend, BackendPhase, Key, Member, MemberStatus, Order, OrderPhase, Origin, Record, Stamp,
    Suspicion, Value, VersionVector,
};

use compact_str::CompactString;
use durability::Durability;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

/// One node's replica of the records.
#[derive(Debug)]
pub struct Directory {
    own: Origin,
    vector: VersionVector,
    records: BTreeMap<Key, (Stamp, Value)>,
    by_stamp: BTreeMap<(Origin, u64), Key>,
    durability: Durability,
}

impl Directory {
    /// An empty directory for a new incarnation of a node.
    pub fn new(own: Origin) -> Self {
        Directory {
            own,
            vector: VersionVector::new(),
            records: BTreeMap::new(),
            by_stamp: BTreeMap::new(),
            durability: Durability::default(),
        }
    }

    /// The version vector: the last known record number of each origin.
    pub fn vector(&self) -> &VersionVector {
        &self.vector
    }

    /// The newest version vector that covers no withdrawal of a backend that is only in memory: what
    /// a node with a disk may state to others as stored.
    pub fn durable_vector(&self) -> &VersionVector {
        self.durability.durable_vector(&self.vector)
    }

    /// Whether some withdrawals of backends are only in memory.
    pub fn has_unsaved_withdrawals(&self) -> bool {
        !self.durability.is_complete()
    }

    /// The number of updates with withdrawals of backends since the start.
    pub fn withdrawals_received(&self) -> u64 {
        self.durability.received()
    }

    /// The number of these updates that are on disk.
    pub fn withdrawals_saved(&self) -> u64 {
        self.durability.saved()
    }

    /// The point that a save of the current records covers.
    pub fn save_point(&self) -> SavePoint {
        self.durability.save_point(&self.vector)
    }

    /// Records that a save has completed.
    pub fn record_saved(&mut self, point: SavePoint) {
        self.durability.record_saved(point);
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The value of a key.
    pub fn get(&self, key: &Key) -> Option<&Value> {
        self.records.get(key).map(|(_, value)| value)
    }

    /// The stamp of a key's record.
    pub fn stamp(&self, key: &Key) -> Option<Stamp> {
        self.records.get(key).map(|(stamp, _)| *stamp)
    }

    /// All backends with their instance ids.
    pub fn backends(&self) -> impl Iterator<Item = (&CompactString, &Backend)> {
        self.records
            .iter()
            .filter_map(|(key, (_, value))| match (key, value) {
                (Key::Backend(id), Value::Backend(backend)) => Some((id, backend)),
                _ => None,
            })
    }

    /// All members with their node names.
    pub fn members(&self) -> impl Iterator<Item = (&CompactString, &Member)> {
        self.records
            .iter()
            .filter_map(|(key, (_, value))| match (key, value) {
                (Key::Member(name), Value::Member(member)) => Some((name, member)),
                _ => None,
            })
    }

    /// The last order that was sent to a backend.
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

    /// Writes a record with this node as its origin. Returns false where the current record
    /// outranks or equals the new one.
    pub fn put(&mut self, key: Key, value: Value) -> bool {
        if let Some((_, current)) = self.records.get(&key)
            && !value.outranks(current)
        {
            return false;
        }
        if value.is_withdrawal() {
            self.durability.record_withdrawal(&self.vector);
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

    /// Removes a record. The version vector still covers its stamp, so no other node sends the
    /// record again.
    pub fn remove(&mut self, key: &Key) {
        if let Some((stamp, _)) = self.records.remove(key) {
            self.by_stamp.remove(&(stamp.origin, stamp.counter));
        }
    }

    /// Whether a node with this version vector may lack records.
    pub fn has_records_since(&self, vector: &VersionVector) -> bool {
        self.vector
            .iter()
            .any(|(origin, counter)| vector.get(origin).copied().unwrap_or(0) < *counter)
    }

    /// The records that a node with this version vector lacks.
    pub fn records_since(&self, vector: &VersionVector) -> Vec<Record> {
        let mut records = Vec::new();
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
                    records.push(Record {
                        key: key.clone(),
                        stamp,
                        value: value.clone(),
                    });
                }
            }
        }
        records
    }

    /// Merges all records that another node, whose version vector is `vector`, has and this one
    /// lacks. Returns the keys whose values changed.
    pub fn merge(&mut self, records: Vec<Record>, vector: &VersionVector) -> BTreeSet<Key> {
        let is_new_withdrawal =
            |record: &Record| record.value.is_withdrawal() && self.replaces_current(record);
        if records.iter().any(is_new_withdrawal) {
            self.durability.record_withdrawal(&self.vector);
        }
        let mut changed = BTreeSet::new();
        for record in records {
            if self.replaces_current(&record) {
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

    /// Whether a record replaces the current one of its key.
    fn replaces_current(&self, record: &Record) -> bool {
        let current = self.records.get(&record.key);
        current.is_none_or(|(_, current)| record.value.outranks(current))
    }

    /// The keys that can be removed: deregistered backends with their orders and suspicions, and
    /// members that are down or have left.
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

    /// The records that are saved on disk: backends and members.
    pub fn persistent_records(&self) -> Vec<(Key, Value)> {
        let persistent = self
            .records
            .iter()
            .filter(|(key, _)| !matches!(key, Key::Order(_) | Key::Suspicion(_)));
        persistent
            .map(|(key, (_, value))| (key.clone(), value.clone()))
            .collect()
    }

    /// Hashes of keys and values, for comparison with another node.
    pub fn hashes(&self) -> Vec<(u64, u64)> {
        let entries = self.records.iter();
        entries
            .map(|(key, (_, value))| (hash_of(key), hash_of(value)))
            .collect()
    }

    /// The records whose key hashes are in `wanted`.
    pub fn by_hash(&self, wanted: &BTreeSet<u64>) -> Vec<Record> {
        let matching = self
            .records
            .iter()
            .filter(|(key, _)| wanted.contains(&hash_of(key)));
        let record = |(key, (stamp, value)): (&Key, &(Stamp, Value))| Record {
            key: key.clone(),
            stamp: *stamp,
            value: value.clone(),
        };
        matching.map(record).collect()
    }
}

fn hash_of(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
