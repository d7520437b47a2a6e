//! Which index hosts are out by hand: a map whose entries are stamped, so that two processes that
//! both change it agree on the later change of each host, in whatever order they hear of it. No
//! I/O.

use dispatch::interface::Time;
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::fmt;

/// The form of the text.
const VERSION: u64 = 1;

/// One host's last change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Mark {
    stamp: Time,
    out: bool,
}

/// As many hosts are out as are kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooMany;

/// A text that cannot be taken for such a map.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Unreadable {
    /// It is cut or changed: the sum does not fit, or there is none.
    Damaged,
    /// It is sound and of another version.
    Version(u64),
    /// It is sound and another gatherer's.
    Foreign(String),
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unreadable::Damaged => f.write_str("it is damaged"),
            Unreadable::Version(version) => {
                write!(f, "it is of version {version}, and only {VERSION} is known")
            }
            Unreadable::Foreign(name) => write!(f, "it is of the gatherer `{name}`"),
        }
    }
}

/// Who is out by hand.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Hand {
    marks: BTreeMap<String, Mark>,
    most: usize,
}

impl Hand {
    /// Nobody is out; at most so many hosts will be remembered.
    pub fn new(most: usize) -> Self {
        Hand {
            marks: BTreeMap::new(),
            most,
        }
    }

    /// Whether a host is out.
    pub fn is_out(&self, uid: &str) -> bool {
        self.marks.get(uid).is_some_and(|mark| mark.out)
    }

    /// The hosts that are out.
    pub fn out(&self) -> impl Iterator<Item = &str> {
        self.marks
            .iter()
            .filter(|(_, mark)| mark.out)
            .map(|(uid, _)| uid.as_str())
    }

    /// Takes a host out or back. Its stamp is later than any that this host has had, whatever the
    /// clock says.
    pub fn set(&mut self, uid: &str, out: bool, now: Time) -> Result<(), TooMany> {
        let known = self.marks.get(uid).map(|mark| mark.stamp);
        if known.is_none() && self.marks.len() >= self.most {
            // Hosts that are back are remembered for the other process alone.
            let oldest = self
                .marks
                .iter()
                .filter(|(_, m)| !m.out)
                .min_by_key(|(_, m)| m.stamp);
            let oldest = oldest.map(|(uid, _)| uid.clone()).ok_or(TooMany)?;
            self.marks.remove(&oldest);
        }
        let stamp = known.map_or(now, |known| now.max(known + 1));
        self.marks.insert(uid.to_owned(), Mark { stamp, out });
        Ok(())
    }

    /// Takes the later change of each host; true where that changes who is out.
    pub fn merge(&mut self, other: &Hand) -> bool {
        let mut changed = false;
        for (uid, theirs) in &other.marks {
            let own = self.marks.get(uid).copied();
            let later = own.is_none_or(|own| own < *theirs);
            if later && (own.is_some() || self.marks.len() < self.most) {
                changed |= own.is_some_and(|own| own.out) != theirs.out;
                self.marks.insert(uid.clone(), *theirs);
            }
        }
        changed
    }

    /// Drops hosts that have been back for so long that every process has heard of it.
    pub fn forget(&mut self, now: Time, after: Time) {
        self.marks
            .retain(|_, mark| mark.out || mark.stamp.saturating_add(after) > now);
    }

    /// The text that keeps the map for a gatherer: a line that sums up the next, and that.
    pub fn encode(&self, name: &str) -> String {
        let marks: Vec<Json> = self
            .marks
            .iter()
            .map(|(uid, m)| json!({"uid": uid, "out": m.out, "stamp": m.stamp}))
            .collect();
        let body = json!({"version": VERSION, "gatherer": name, "hosts": marks}).to_string();
        format!("{:08x}\n{body}\n", crc32fast::hash(body.as_bytes()))
    }

    /// Reads such a text.
    pub fn decode(text: &[u8], name: &str, most: usize) -> Result<Hand, Unreadable> {
        let text = std::str::from_utf8(text).map_err(|_| Unreadable::Damaged)?;
        let (sum, body) = text.split_once('\n').ok_or(Unreadable::Damaged)?;
        let body = body.strip_suffix('\n').ok_or(Unreadable::Damaged)?;
        if sum.len() != 8 || u32::from_str_radix(sum, 16) != Ok(crc32fast::hash(body.as_bytes())) {
            return Err(Unreadable::Damaged);
        }
        let json: Json = serde_json::from_str(body).map_err(|_| Unreadable::Damaged)?;
        match json["version"].as_u64() {
            Some(VERSION) => {}
            Some(other) => return Err(Unreadable::Version(other)),
            None => return Err(Unreadable::Damaged),
        }
        match json["gatherer"].as_str() {
            Some(gatherer) if gatherer == name => {}
            gatherer => return Err(Unreadable::Foreign(gatherer.unwrap_or_default().to_owned())),
        }
        let mut hand = Hand::new(most);
        for host in json["hosts"].as_array().ok_or(Unreadable::Damaged)? {
            let (uid, out, stamp) = (
                host["uid"].as_str(),
                host["out"].as_bool(),
                host["stamp"].as_u64(),
            );
            let (Some(uid), Some(out), Some(stamp)) = (uid, out, stamp) else {
                return Err(Unreadable::Damaged);
            };
            if hand.marks.len() < most {
                hand.marks.insert(uid.to_owned(), Mark { stamp, out });
            }
        }
        Ok(hand)
    }
}

#[cfg(test)]
mod tests;
