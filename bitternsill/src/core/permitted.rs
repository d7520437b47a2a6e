//! What each setting may be. Read by this table before anything is taken, so that a wrong value is
//! told by its path whichever deployment it comes from; what is absent takes the default of whoever
//! reads it.

use super::settings::SettingsError;
use serde_json::Value;
use std::fmt;

/// What a value may be.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Allowed {
    /// A number from one bound to another, both included.
    From(f64, f64),
    /// A number above this.
    Above(f64),
    /// A number above this, up to the other.
    AboveTo(f64, f64),
    /// A whole number from this.
    Whole(u64),
    /// True or false.
    Flag,
    /// One of these words.
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

/// Checks every setting that is read anywhere; what nobody reads may be anything.
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
mod tests {
    use super::*;
    use serde_json::json;

    fn good() -> Value {
        json!({
            "request_classes": [
                {"name": "a", "target": 1, "deadline": 2, "effect": "read_like", "late_share": 0.3},
                {"name": "b", "target": 1, "deadline": 2, "effect": "idempotency_key", "key_ttl": 5}
            ],
            "extra": {"floor_by_class": [0.7, 1.0], "class_fetch": [0, 0.0], "sets": 6, "warm_keys": true},
            "limits": {"max_attempts": 3, "probes": true, "peer_messages": "whatever nobody reads"},
            "guarantees": {"start_capacity": 0.18}, "discovery": "ask", "zones": ["x"], "tenants": []
        })
    }

    /// Each setting of the tables, put to a value that it may not have, is told by its own path;
    /// without it all is well.
    #[test]
    fn every_setting_that_is_read_is_told_by_its_path_when_wrong_and_may_be_absent() {
        assert_eq!(check(&good()), Ok(()));
        let mut cases: Vec<(String, String, bool)> = Vec::new();
        for (group, keys) in ONCE {
            for (key, _) in *keys {
                let dot = if group.is_empty() {
                    String::new()
                } else {
                    format!("{group}.")
                };
                cases.push((
                    format!("/{}{key}", dot.replace('.', "/")),
                    format!("`{dot}{key}`"),
                    false,
                ));
            }
        }
        for (key, _, needed) in CLASS {
            cases.push((
                format!("/request_classes/1/{key}"),
                format!("`request_classes[1].{key}`"),
                *needed,
            ));
        }
        for (key, _) in BY_CLASS {
            cases.push((format!("/extra/{key}"), format!("`extra.{key}`"), false));
        }
        for (pointer, told, needed) in cases {
            let (above, key) = pointer.rsplit_once('/').unwrap();
            let put = |value: Option<Value>| {
                let mut settings = good();
                if settings.pointer(above).is_none() {
                    settings[&above[1..]] = json!({});
                }
                let group = settings
                    .pointer_mut(above)
                    .unwrap()
                    .as_object_mut()
                    .unwrap();
                match value {
                    Some(value) => group.insert(key.to_owned(), value),
                    None => group.remove(key),
                };
                check(&settings)
            };
            for odd in [json!(-1), json!({}), json!([])] {
                // An empty list of names is one.
                if !(odd == json!([]) && ["zones", "kinds"].contains(&key)) {
                    let said = put(Some(odd.clone())).map_err(|problem| problem.0);
                    assert!(
                        said.clone().is_err_and(|said| said.contains(&told)),
                        "{pointer} {odd}: {said:?}"
                    );
                }
            }
            assert_eq!(put(None).is_err(), needed, "{pointer} left out");
        }
        let mut settings = good();
        settings["extra"]["floor_by_class"][1] = json!(1.2);
        let said = check(&settings).unwrap_err().to_string();
        assert_eq!(
            said,
            "settings: `extra.floor_by_class[1]` is 1.2; allowed are numbers above 0 up to 1"
        );
    }
}
