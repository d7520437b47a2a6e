//! Tests of `core::schema`.

use super::super::bounds::check;
use super::*;

fn valid_settings() -> Value {
    json!({
        "request_classes": [
            {"name": "a", "target": 1, "deadline": 2, "effect": "read_like"},
            {"name": "b", "target": 1, "deadline": 2, "effect": "idempotency_key", "key_ttl": 5}
        ],
        "extra": {"floor_by_class": [0.7, 1.0], "sets": 6}, "limits": {"max_attempts": 3, "other": []}
    })
}

/// Puts each of a set of values in each place, and checks that the schema and `check` agree.
#[test]
fn schema_agrees_with_check() {
    let schema = jsonschema::validator_for(&settings()).unwrap();
    let mut paths: Vec<(String, String)> = Vec::new();
    for (group, keys) in GROUPS {
        let parent = if group.is_empty() {
            String::new()
        } else {
            format!("/{group}")
        };
        paths.extend(
            keys.iter()
                .map(|(key, _)| (parent.clone(), (*key).to_owned())),
        );
        if !group.is_empty() {
            paths.push((String::new(), (*group).to_owned()));
        }
    }
    paths.extend(
        CLASS
            .iter()
            .map(|(key, ..)| ("/request_classes/1".to_owned(), (*key).to_owned())),
    );
    paths.extend(
        CLASS_LISTS
            .iter()
            .map(|(key, _)| ("/extra".to_owned(), (*key).to_owned())),
    );
    paths.push((String::new(), "request_classes".to_owned()));
    let odd = json!([
        null,
        true,
        -1,
        0,
        0.5,
        1,
        2.0,
        1e300,
        "",
        "ask",
        "read_like",
        {},
        [],
        ["x"],
        [""],
        [0.5, 2],
        [0, 1],
        [null, 1]
    ]);
    let mut verdicts = [0, 0];
    for (parent, key) in paths {
        for value in odd.as_array().unwrap().iter().map(Some).chain([None]) {
            let mut settings = valid_settings();
            if settings.pointer(&parent).is_none() {
                settings[&parent[1..]] = json!({});
            }
            let group = settings
                .pointer_mut(&parent)
                .unwrap()
                .as_object_mut()
                .unwrap();
            match value {
                Some(value) => group.insert(key.clone(), value.clone()),
                None => group.remove(&key),
            };
            let result = check(&settings);
            // The schema cannot express the length of per-class lists.
            if result
                .clone()
                .is_err_and(|problem| problem.0.contains("one a class"))
            {
                continue;
            }
            assert_eq!(
                schema.is_valid(&settings),
                result.is_ok(),
                "{parent}/{key} {value:?}: {result:?}"
            );
            verdicts[usize::from(result.is_ok())] += 1;
        }
    }
    assert!(verdicts.iter().all(|count| *count > 100), "{verdicts:?}");
}
