//! The index hosts that operators have excluded, as a last-writer-wins map. Entries carry time
//! stamps, so that two processes that both change it converge on the later change of each host, in
//! whatever order they see the changes. No I/O.

use dispatch::interface::Time;
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::fmt;

/// The version of the stored format.
const VERSION: u64 = 1;

/// One host's last change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Change {
    stamp: Time,
    excluded: bool,
}

/// The maximum number of hosts is already excluded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooManyExclusions;

/// Why a stored map cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DecodeError {
    /// It is truncated or modified: the checksum is missing or does not match.
    Corrupt,
    /// It is valid, but of another version.
    Version(u64),
    /// It is valid, but belongs to another gatherer.
    OtherGatherer(String),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::Corrupt => f.write_str("it is corrupt"),
            DecodeError::Version(version) => {
                write!(f, "it has version {version}; only {VERSION} is supported")
            }
            DecodeError::OtherGatherer(name) => write!(f, "it belongs to the gatherer `{name}`"),
        }
    }
}

/// The excluded hosts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Exclusions {
    changes: BTreeMap<String, Change>,
    capacity: usize,
}

impl Exclusions {
    /// An empty map that stores at most `capacity` hosts.
    pub fn new(capacity: usize) -> Self {
        Exclusions {
            changes: BTreeMap::new(),
            capacity,
        }
    }

    /// Whether a host is excluded.
    pub fn is_excluded(&self, uid: &str) -> bool {
        self.changes.get(uid).is_some_and(|change| change.excluded)
    }

    /// The hosts that are excluded.
    pub fn excluded(&self) -> impl Iterator<Item = &str> {
        self.changes
            .iter()
            .filter(|(_, change)| change.excluded)
            .map(|(uid, _)| uid.as_str())
    }

    /// Excludes or includes a host.
    ///
    /// The new stamp is later than the host's previous one, whatever the clock says. Otherwise,
    /// after a clock stepped back, the other process would take the change for an old one and undo
    /// it.
    ///
    /// # Errors
    ///
    /// The maximum number of hosts is already excluded.
    pub fn set(&mut self, uid: &str, excluded: bool, now: Time) -> Result<(), TooManyExclusions> {
        let known = self.changes.get(uid).map(|change| change.stamp);
        if known.is_none() && self.changes.len() >= self.capacity {
            // Included hosts are stored only for the other process, so the oldest of them is
            // dropped.
            let oldest = self
                .changes
                .iter()
                .filter(|(_, change)| !change.excluded)
                .min_by_key(|(_, change)| change.stamp);
            let oldest = oldest
                .map(|(uid, _)| uid.clone())
                .ok_or(TooManyExclusions)?;
            self.changes.remove(&oldest);
        }
        let stamp = known.map_or(now, |known| now.max(known + 1));
        self.changes
            .insert(uid.to_owned(), Change { stamp, excluded });
        Ok(())
    }

    /// Merges another map, keeping the later change of each host. Returns whether the set of
    /// excluded hosts changed.
    pub fn merge(&mut self, other: &Exclusions) -> bool {
        let mut changed = false;
        for (uid, theirs) in &other.changes {
            let own = self.changes.get(uid).copied();
            let later = own.is_none_or(|own| own < *theirs);
            if later && (own.is_some() || self.changes.len() < self.capacity) {
                changed |= own.is_some_and(|own| own.excluded) != theirs.excluded;
                self.changes.insert(uid.clone(), *theirs);
            }
        }
        changed
    }

    /// Drops hosts that were included longer than `after` ago, when every process has seen the
    /// change.
    pub fn drop_old_inclusions(&mut self, now: Time, after: Time) {
        self.changes
            .retain(|_, change| change.excluded || change.stamp.saturating_add(after) > now);
    }

    /// The stored form for a gatherer: a line with the CRC-32 of the next line, and a line of JSON.
    pub fn encode(&self, name: &str) -> String {
        let changes: Vec<Json> = self
            .changes
            .iter()
            .map(|(uid, m)| json!({"uid": uid, "out": m.excluded, "stamp": m.stamp}))
            .collect();
        let body = json!({"version": VERSION, "gatherer": name, "hosts": changes}).to_string();
        format!("{:08x}\n{body}\n", crc32fast::hash(body.as_bytes()))
    }

    /// Decodes the stored form.
    ///
    /// # Errors
    ///
    /// It is corrupt, or of another version or gatherer.
    pub fn decode(text: &[u8], name: &str, capacity: usize) -> Result<Exclusions, DecodeError> {
        let text = std::str::from_utf8(text).map_err(|_| DecodeError::Corrupt)?;
        let (sum, body) = text.split_once('\n').ok_or(DecodeError::Corrupt)?;
        let body = body.strip_suffix('\n').ok_or(DecodeError::Corrupt)?;
        if sum.len() != 8 || u32::from_str_radix(sum, 16) != Ok(crc32fast::hash(body.as_bytes())) {
            return Err(DecodeError::Corrupt);
        }
        let json: Json = serde_json::from_str(body).map_err(|_| DecodeError::Corrupt)?;
        match json["version"].as_u64() {
            Some(VERSION) => {}
            Some(other) => return Err(DecodeError::Version(other)),
            None => return Err(DecodeError::Corrupt),
        }
        match json["gatherer"].as_str() {
            Some(gatherer) if gatherer == name => {}
            gatherer => {
                return Err(DecodeError::OtherGatherer(
                    gatherer.unwrap_or_default().to_owned(),
                ));
            }
        }
        let mut exclusions = Exclusions::new(capacity);
        for host in json["hosts"].as_array().ok_or(DecodeError::Corrupt)? {
            let (uid, excluded, stamp) = (
                host["uid"].as_str(),
                host["out"].as_bool(),
                host["stamp"].as_u64(),
            );
            let (Some(uid), Some(excluded), Some(stamp)) = (uid, excluded, stamp) else {
                return Err(DecodeError::Corrupt);
            };
            if exclusions.changes.len() < capacity {
                exclusions
                    .changes
                    .insert(uid.to_owned(), Change { stamp, excluded });
            }
        }
        Ok(exclusions)
    }
}

#[cfg(test)]
mod tests;
