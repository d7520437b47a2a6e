//! Tests of `core::bounds`.

use super::*;
use serde_json::json;

fn valid_settings() -> Value {
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

/// Sets each setting to values that are not allowed, and checks that the error names its path.
/// Omitting a setting is an error only if it is required.
#[test]
fn wrong_setting_is_reported_by_path() {
    assert_eq!(check(&valid_settings()), Ok(()));
    let mut cases: Vec<(String, String, bool)> = Vec::new();
    for (group, keys) in GROUPS {
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
    for (key, _, required) in CLASS {
        cases.push((
            format!("/request_classes/1/{key}"),
            format!("`request_classes[1].{key}`"),
            *required,
        ));
    }
    for (key, _) in CLASS_LISTS {
        cases.push((format!("/extra/{key}"), format!("`extra.{key}`"), false));
    }
    for (pointer, reported_path, required) in cases {
        let (parent, key) = pointer.rsplit_once('/').unwrap();
        let check_with = |value: Option<Value>| {
            let mut settings = valid_settings();
            if settings.pointer(parent).is_none() {
                settings[&parent[1..]] = json!({});
            }
            let group = settings
                .pointer_mut(parent)
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
            // An empty list of strings is allowed.
            if !(odd == json!([]) && ["zones", "kinds"].contains(&key)) {
                let result = check_with(Some(odd.clone())).map_err(|problem| problem.0);
                assert!(
                    result
                        .clone()
                        .is_err_and(|result| result.contains(&reported_path)),
                    "{pointer} {odd}: {result:?}"
                );
            }
        }
        assert_eq!(check_with(None).is_err(), required, "{pointer} left out");
    }
    let mut settings = valid_settings();
    settings["extra"]["floor_by_class"][1] = json!(1.2);
    let result = check(&settings).unwrap_err().to_string();
    assert_eq!(
        result,
        "settings: `extra.floor_by_class[1]` is 1.2; allowed are numbers above 0 up to 1"
    );
}
