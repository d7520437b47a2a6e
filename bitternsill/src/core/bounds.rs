//! The bounds of each setting, as tables. They are checked before any setting is used, so that a
//! wrong value is reported by its path whichever deployment it comes from. An absent setting takes
//! the default of its reader.

use super::settings::SettingsError;
use serde_json::Value;
use std::fmt;

/// The values that a setting may have.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Allowed {
    /// A number from one bound to another, both included.
    From(f64, f64),
    /// A number above this.
    Above(f64),
    /// A number above this, up to the other.
    AboveTo(f64, f64),
    /// An integer from this.
    Whole(u64),
    /// True or false.
    Flag,
    /// One of these texts.
    Word(&'static [&'static str]),
    /// Text that is not empty.
    Name,
    /// A list of texts.
    Names,
}

use Allowed::{Above, AboveTo, Flag, From, Name, Names, Whole, Word};

/// Any amount: times, works, prices.
const AMOUNT: Allowed = From(0.0, f64::INFINITY);

/// Settings that stand once, by group.
pub(super) const ONCE: &[(&str, &[(&str, Allowed)])] = &[
    (
        "",
        &[
            ("group_size", Whole(1)),
            ("zone", Whole(0)),
            ("tick", AMOUNT),
            ("discovery", Word(&["push", "ask"])),
            ("zones", Names),
            ("kinds", Names),
        ],
    ),
    (
        "extra",
        &[
            ("sets", Whole(1)),
            ("in_a_row", Whole(1)),
            ("ranges", Whole(1)),
            ("batch", Whole(1)),
            ("per_call_work", AMOUNT),
            ("warm_keys", Flag),
        ],
    ),
    (
        "limits",
        &[
            ("max_attempts", Whole(1)),
            ("max_open", Whole(1)),
            ("streams_per_conn", Whole(1)),
            ("conn_idle", Above(0.0)),
            ("connect_timeout", Above(0.0)),
            ("max_retry_after", AMOUNT),
            ("cancel", Flag),
            ("probes", Flag),
            ("retry_after", Flag),
            ("second_copies", Flag),
        ],
    ),
    (
        "guarantees",
        &[
            ("ask_within", Above(0.0)),
            ("drain_grace", AMOUNT),
            ("start_capacity", AboveTo(0.0, 1.0)),
            ("ramp_time", AMOUNT),
            ("tip_multiple", Above(0.0)),
            ("fall", AMOUNT),
            ("counted_over", AMOUNT),
            ("budget_free", AMOUNT),
            ("repeat_ratio", AMOUNT),
        ],
    ),
    ("clients", &[("marks_retry", Flag)]),
    ("prices", &[("probe", AMOUNT), ("waste", AMOUNT)]),
];

/// Lists in `extra` with one value for each class.
pub(super) const BY_CLASS: &[(&str, Allowed)] = &[
    ("floor_by_class", AboveTo(0.0, 1.0)),
    ("class_need", AboveTo(0.0, 1.0)),
    ("short_worth", AMOUNT),
    ("class_fetch", Whole(0)),
];

/// Settings of each class, and whether they must be there.
pub(super) const CLASS: &[(&str, Allowed, bool)] = &[
    ("name", Name, true),
    ("target", From(1.0, f64::INFINITY), true),
    ("deadline", From(1.0, f64::INFINITY), true),
    (
        "effect",
        Word(&["read_like", "idempotency_key", "non_idempotent"]),
        true,
    ),
    ("key_ttl", AMOUNT, false),
    ("credit", AMOUNT, false),
    ("late_share", From(0.0, 1.0), false),
];

impl Allowed {
    fn fits(self, value: &Value) -> bool {
        let number = |fits: &dyn Fn(f64) -> bool| value.as_f64().is_some_and(fits);
        match self {
            From(least, most) => number(&|n| (least..=most).contains(&n)),
            Above(bound) => number(&|n| n > bound),
            AboveTo(bound, most) => number(&|n| n > bound && n <= most),
            // The same number may be written with a point.
            Whole(least) => number(&|n| n >= least as f64 && n.fract() == 0.0),
            Flag => value.is_boolean(),
            Word(words) => value.as_str().is_some_and(|word| words.contains(&word)),
            Name => value.as_str().is_some_and(|text| !text.is_empty()),
            Names => value
                .as_array()
                .is_some_and(|list| list.iter().all(|text| Name.fits(text))),
        }
    }

    fn check(self, value: &Value, path: &str, needed: bool) -> Result<(), SettingsError> {
        match value {
            Value::Null if needed => Err(SettingsError(format!(
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
            From(least, most) if most.is_infinite() => write!(f, "numbers from {least}"),
            From(least, most) => write!(f, "numbers from {least} to {most}"),
            Above(bound) => write!(f, "numbers above {bound}"),
            AboveTo(bound, most) => write!(f, "numbers above {bound} up to {most}"),
            Whole(least) => write!(f, "whole numbers from {least}"),
            Flag => f.write_str("true and false"),
            Word(words) => write!(f, "`{}`", words.join("`, `")),
            Name => f.write_str("texts that are not empty"),
            Names => f.write_str("lists of texts that are not empty"),
        }
    }
}

/// Checks every setting that is read anywhere; unknown settings are ignored.
///
/// # Errors
///
/// On the first setting that is missing or out of its bounds.
pub fn check(settings: &Value) -> Result<(), SettingsError> {
    for (group, keys) in ONCE {
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
        for (key, allowed, needed) in CLASS {
            allowed.check(
                &class[*key],
                &format!("request_classes[{at}].{key}"),
                *needed,
            )?;
        }
    }
    for (key, allowed) in BY_CLASS {
        let path = format!("extra.{key}");
        let list = match &settings["extra"][*key] {
            Value::Null => continue,
            Value::Array(list) if list.len() == classes.len() => list,
            other => {
                let told = other
                    .as_array()
                    .map_or_else(|| other.to_string(), |l| format!("{} values", l.len()));
                let problem = format!(
                    "`{path}` is {told}; allowed is a list of {} values, one a class",
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
