//! Sort keys, as both protocols have them, and the order that they give.

use crate::fault::{Fault, Kind};
use crate::index::{self, Index};
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;

/// What a record without the key is held to have.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Missing {
    /// None may lack it: the sort ends.
    Fail,
    /// Less than any value.
    Low,
    /// More than any value.
    High,
    /// This value.
    Constant(String),
}

/// One key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SortKey {
    /// The index's name.
    pub index: String,
    /// From the least to the greatest.
    pub ascending: bool,
    /// Whether `A` and `a` differ.
    pub case: bool,
    /// What is held of records without it.
    pub missing: Missing,
}

impl SortKey {
    /// A key by this index: ascending, without case, and what lacks it last.
    pub fn by(index: &Index) -> SortKey {
        SortKey {
            index: index.name.to_owned(),
            ascending: true,
            case: false,
            missing: Missing::High,
        }
    }

    /// A key by the name of its index.
    pub fn named(name: &str) -> Result<SortKey, Fault> {
        let index = index::by_name(name)
            .filter(|i| i.sort)
            .ok_or_else(|| Kind::SORT_KEY.of(name))?;
        Ok(SortKey::by(&index))
    }
}

/// A record's value for a key: one that is there, or where those without it stand.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Value {
    /// Before all.
    Low,
    /// This one, folded as the key says.
    Is(String),
    /// After all.
    High,
}

/// A field's text as it is compared.
pub fn fold(text: &str, case: bool) -> String {
    let spaced = text.split_whitespace().collect::<Vec<_>>().join(" ");
    if case { spaced } else { spaced.to_lowercase() }
}

/// The value of a record whose first text for the key is this; `None` where it lacks one and none
/// may.
pub fn value(key: &SortKey, text: Option<&str>) -> Option<Value> {
    match (text.map(str::trim).filter(|t| !t.is_empty()), &key.missing) {
        (Some(text), _) => Some(Value::Is(fold(text, key.case))),
        (None, Missing::Fail) => None,
        (None, Missing::Low) => Some(Value::Low),
        (None, Missing::High) => Some(Value::High),
        (None, Missing::Constant(text)) => Some(Value::Is(fold(text, key.case))),
    }
}

/// Compares two records' values, key by key.
pub fn compare(keys: &[SortKey], a: &[Value], b: &[Value]) -> Ordering {
    for ((key, a), b) in keys.iter().zip(a).zip(b) {
        let order = if key.ascending { a.cmp(b) } else { b.cmp(a) };
        if order != Ordering::Equal {
            return order;
        }
    }
    Ordering::Equal
}

/// Reads SRU's `sortKeys` (1.1, "Sort Parameters"):
/// `path,schema,ascending,caseSensitive,missingValue`, by spaces.
pub fn read_sort_keys(text: &str, most: usize) -> Result<Vec<SortKey>, Fault> {
    let mut keys = Vec::new();
    for word in text.split_whitespace() {
        let parts: Vec<&str> = word.split(',').collect();
        let part = |at: usize| parts.get(at).copied().unwrap_or_default();
        let mut key = SortKey::named(part(0))?;
        let flag = |at: usize, absent: bool| match part(at) {
            "" => Ok(absent),
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
    if keys.len() > most {
        Err(Kind::SORT_KEYS.of(most.to_string()))
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
