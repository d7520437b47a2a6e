//! Tables of the values allowed for each setting. All settings are checked before any is used, so
//! that a wrong value is always reported with its path. An absent setting gets the default of the
//! code that reads it.

use super::settings::SettingsError;
use serde_json::Value;
use std::fmt;

/// The values that a setting may have.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Allowed {
    /// A number between two bounds, both inclusive.
    From(f64, f64),
    /// A number greater than the bound.
    Above(f64),
    /// A number greater than the first bound and at most the second.
    AboveTo(f64, f64),
    /// An integer of at least this value.
    Integer(u64),
    /// True or false.
    Boolean,
    /// One of these strings.
    OneOf(&'static [&'static str]),
    /// A non-empty string.
    Text,
    /// A list of non-empty strings.
    TextList,
}

use Allowed::{Above, AboveTo, Boolean, From, Integer, OneOf, Text, TextList};

/// A non-negative number, such as a time, an amount of work or a price.
const NON_NEGATIVE: Allowed = From(0.0, f64::INFINITY);

/// Settings that do not depend on the class, by group.
pub(super) const GROUPS: &[(&str, &[(&str, Allowed)])] = &[
    (
        "",
        &[
            ("group_size", Integer(1)),
            ("zone", Integer(0)),
            ("tick", NON_NEGATIVE),
            ("discovery", OneOf(&["push", "ask"])),
            ("zones", TextList),
            ("kinds", TextList),
        ],
    ),
    (
        "extra",
        &[
            ("sets", Integer(1)),
            ("in_a_row", Integer(1)),
            ("ranges", Integer(1)),
            ("batch", Integer(1)),
            ("per_call_work", NON_NEGATIVE),
            ("warm_keys", Boolean),
        ],
    ),
    (
        "limits",
        &[
            ("max_attempts", Integer(1)),
            ("max_open", Integer(1)),
            ("streams_per_conn", Integer(1)),
            ("conn_idle", Above(0.0)),
            ("connect_timeout", Above(0.0)),
            ("max_retry_after", NON_NEGATIVE),
            ("cancel", Boolean),
            ("probes", Boolean),
            ("retry_after", Boolean),
            ("second_copies", Boolean),
        ],
    ),
    (
        "guarantees",
        &[
            ("ask_within", Above(0.0)),
            ("drain_grace", NON_NEGATIVE),
            ("start_capacity", AboveTo(0.0, 1.0)),
            ("ramp_time", NON_NEGATIVE),
            ("tip_multiple", Above(0.0)),
            ("fall", NON_NEGATIVE),
            ("counted_over", NON_NEGATIVE),
            ("budget_free", NON_NEGATIVE),
            ("repeat_ratio", NON_NEGATIVE),
        ],
    ),
    ("clients", &[("marks_retry", Boolean)]),
    (
        "prices",
        &[("probe", NON_NEGATIVE), ("waste", NON_NEGATIVE)],
    ),
];

/// Lists in `extra` with one value per class.
pub(super) const CLASS_LISTS: &[(&str, Allowed)] = &[
    ("floor_by_class", AboveTo(0.0, 1.0)),
    ("class_need", AboveTo(0.0, 1.0)),
    ("short_worth", NON_NEGATIVE),
    ("class_fetch", Integer(0)),
];

/// Settings of each entry in `request_classes`, and whether they are required.
pub(super) const CLASS: &[(&str, Allowed, bool)] = &[
    ("name", Text, true),
    ("target", From(1.0, f64::INFINITY), true),
    ("deadline", From(1.0, f64::INFINITY), true),
    (
        "effect",
        OneOf(&["read_like", "idempotency_key", "non_idempotent"]),
        true,
    ),
    ("key_ttl", NON_NEGATIVE, false),
    ("credit", NON_NEGATIVE, false),
    ("late_share", From(0.0, 1.0), false),
];

impl Allowed {
    fn fits(self, value: &Value) -> bool {
        let number = |fits: &dyn Fn(f64) -> bool| value.as_f64().is_some_and(fits);
        match self {
            From(min, max) => number(&|n| (min..=max).contains(&n)),
            Above(bound) => number(&|n| n > bound),
            AboveTo(bound, max) => number(&|n| n > bound && n <= max),
            // JSON may write an integer with a decimal point.
            Integer(min) => number(&|n| n >= min as f64 && n.fract() == 0.0),
            Boolean => value.is_boolean(),
            OneOf(words) => value.as_str().is_some_and(|word| words.contains(&word)),
            Text => value.as_str().is_some_and(|text| !text.is_empty()),
            TextList => value
                .as_array()
                .is_some_and(|list| list.iter().all(|text| Text.fits(text))),
        }
    }

    fn check(self, value: &Value, path: &str, required: bool) -> Result<(), SettingsError> {
        match value {
            Value::Null if required => Err(SettingsError(format!(
                "`{path}` is missing; allowed are {self}"
            ))),
            Value::Null => Ok(()),
            value if self.fits(value) => Ok(()),
            value => Err(SettingsError(format!(
                "`{path}` is {value}; allowed are {self}"
            ))),
        }
    }
}

impl fmt::Display for Allowed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            From(min, max) if max.is_infinite() => write!(f, "numbers from {min}"),
            From(min, max) => write!(f, "numbers from {min} to {max}"),
            Above(bound) => write!(f, "numbers above {bound}"),
            AboveTo(bound, max) => write!(f, "numbers above {bound} up to {max}"),
            Integer(min) => write!(f, "whole numbers from {min}"),
            Boolean => f.write_str("true and false"),
            OneOf(words) => write!(f, "`{}`", words.join("`, `")),
            Text => f.write_str("texts that are not empty"),
            TextList => f.write_str("lists of texts that are not empty"),
        }
    }
}

/// Checks every known setting; unknown settings are ignored.
///
/// # Errors
///
/// Returns the first setting that is missing or not allowed.
pub fn check(settings: &Value) -> Result<(), SettingsError> {
    for (group, keys) in GROUPS {
        let values = if group.is_empty() {
            settings
        } else {
            &settings[*group]
        };
        if !(group.is_empty() || values.is_null() || values.is_object()) {
            return Err(SettingsError(format!(
                "`{group}` is {values}; allowed is an object"
            )));
        }
        for (key, allowed) in *keys {
            let path = if group.is_empty() {
                (*key).to_owned()
            } else {
                format!("{group}.{key}")
            };
            allowed.check(&values[*key], &path, false)?;
        }
    }
    let classes = settings["request_classes"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    if classes.is_empty() {
        return Err(SettingsError(
            "`request_classes` is missing or empty; allowed is a list of classes".to_owned(),
        ));
    }
    for (at, class) in classes.iter().enumerate() {
        for (key, allowed, required) in CLASS {
            allowed.check(
                &class[*key],
                &format!("request_classes[{at}].{key}"),
                *required,
            )?;
        }
    }
    for (key, allowed) in CLASS_LISTS {
        let path = format!("extra.{key}");
        let list = match &settings["extra"][*key] {
            Value::Null => continue,
            Value::Array(list) if list.len() == classes.len() => list,
            other => {
                let found = other
                    .as_array()
                    .map_or_else(|| other.to_string(), |l| format!("{} values", l.len()));
                let problem = format!(
                    "`{path}` is {found}; allowed is a list of {} values, one a class",
                    classes.len()
                );
                return Err(SettingsError(problem));
            }
        };
        for (at, value) in list.iter().enumerate() {
            allowed.check(value, &format!("{path}[{at}]"), true)?;
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
