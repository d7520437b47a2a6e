//! Sort keys of both protocols, and the resulting order.

use crate::fault::{Fault, Kind};
use crate::index::{self, Index};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;

/// How a record without the sort key is handled.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Missing {
    /// The sort fails.
    Fail,
    /// The record sorts below all values.
    Low,
    /// The record sorts above all values.
    High,
    /// The record sorts by this value.
    Constant(String),
}

/// A sort key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SortKey {
    /// The name of the index.
    pub index: String,
    /// Whether the order is ascending.
    pub ascending: bool,
    /// Whether the comparison is case-sensitive.
    pub case: bool,
    /// How records without the key are handled.
    pub missing: Missing,
}

impl SortKey {
    /// A key for this index: ascending, case-insensitive, and records without the key last.
    pub fn by(index: &Index) -> SortKey {
        SortKey {
            index: index.name.to_owned(),
            ascending: true,
            case: false,
            missing: Missing::High,
        }
    }

    /// A key for the index of this name.
    pub fn named(name: &str) -> Result<SortKey, Fault> {
        let index = index::by_name(name)
            .filter(|i| i.sort)
            .ok_or_else(|| Kind::SORT_KEY.of(name))?;
        Ok(SortKey::by(&index))
    }
}

/// A record's value for a sort key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Value {
    /// Below all values.
    Low,
    /// A value, normalized as the key requires.
    Is(String),
    /// Above all values.
    High,
}

/// Normalizes a field's text for comparison.
pub fn fold(text: &str, case: bool) -> String {
    let spaced = text.split_whitespace().collect::<Vec<_>>().join(" ");
    if case { spaced } else { spaced.to_lowercase() }
}

/// The value of a record whose first text for the key is `text`; `None` if the key is mandatory and
/// there is no text.
pub fn value(key: &SortKey, text: Option<&str>) -> Option<Value> {
    match (text.map(str::trim).filter(|t| !t.is_empty()), &key.missing) {
        (Some(text), _) => Some(Value::Is(fold(text, key.case))),
        (None, Missing::Fail) => None,
        (None, Missing::Low) => Some(Value::Low),
        (None, Missing::High) => Some(Value::High),
        (None, Missing::Constant(text)) => Some(Value::Is(fold(text, key.case))),
    }
}

/// Compares the values of two records, key by key.
pub fn compare(keys: &[SortKey], a: &[Value], b: &[Value]) -> Ordering {
    for ((key, a), b) in keys.iter().zip(a).zip(b) {
        let order = if key.ascending { a.cmp(b) } else { b.cmp(a) };
        if order != Ordering::Equal {
            return order;
        }
    }
    Ordering::Equal
}

/// Parses SRU's `sortKeys` (1.1, "Sort Parameters"):
/// `path,schema,ascending,caseSensitive,missingValue`, separated by spaces.
pub fn read_sort_keys(text: &str, max_keys: usize) -> Result<Vec<SortKey>, Fault> {
    let mut keys = Vec::new();
    for word in text.split_whitespace() {
        let parts: Vec<&str> = word.split(',').collect();
        let part = |at: usize| parts.get(at).copied().unwrap_or_default();
        let mut key = SortKey::named(part(0))?;
        let flag = |at: usize, default: bool| match part(at) {
            "" => Ok(default),
            "1" | "true" => Ok(true),
            "0" | "false" => Ok(false),
            other => Err(Kind::SORT_KEY.of(other)),
        };
        key.ascending = flag(2, true)?;
        key.case = flag(3, false)?;
        key.missing = match part(4) {
            "" | "highValue" => Missing::High,
            "lowValue" => Missing::Low,
            "abort" => Missing::Fail,
            "omit" => return Err(Kind::SORT_MISSING_ACTION.of("omit")),
            constant => Missing::Constant(constant.trim_matches('"').to_owned()),
        };
        keys.push(key);
    }
    if keys.len() > max_keys {
        Err(Kind::SORT_KEYS.of(max_keys.to_string()))
    } else {
        Ok(keys)
    }
}

/// Writes SRU's `sortKeys`.
pub fn write_sort_keys(keys: &[SortKey]) -> String {
    let word = |key: &SortKey| {
        let missing = match &key.missing {
            Missing::Fail => "abort".to_owned(),
            Missing::Low => "lowValue".to_owned(),
            Missing::High => "highValue".to_owned(),
            Missing::Constant(text) => format!("\"{text}\""),
        };
        let name = key.index.rsplit('.').next().unwrap_or_default();
        format!(
            "{name},,{},{},{missing}",
            u8::from(key.ascending),
            u8::from(key.case)
        )
    };
    keys.iter().map(word).collect::<Vec<_>>().join(" ")
}

#[cfg(test)]
mod tests;
