//! Tests of `core::bounds`.

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
fn wrong_setting_is_reported_by_path() {
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
