//! The settings as a JSON schema, from the tables by which they are checked.

use super::permitted::{Allowed, BY_CLASS, CLASS, ONCE};
use serde_json::{Map, Value, json};

fn of(allowed: Allowed) -> Value {
    match allowed {
        Allowed::From(least, most) if most.is_infinite() => {
            json!({"type": "number", "minimum": least})
        }
        Allowed::From(least, most) => json!({"type": "number", "minimum": least, "maximum": most}),
        Allowed::Above(bound) => json!({"type": "number", "exclusiveMinimum": bound}),
        Allowed::AboveTo(bound, most) => {
            json!({"type": "number", "exclusiveMinimum": bound, "maximum": most})
        }
        Allowed::Whole(least) => json!({"type": "integer", "minimum": least}),
        Allowed::Flag => json!({"type": "boolean"}),
        Allowed::Word(words) => json!({"type": "string", "enum": words}),
        Allowed::Name => json!({"type": "string", "minLength": 1}),
        Allowed::Names => json!({"type": "array", "items": of(Allowed::Name)}),
    }
}

/// What is absent takes its default, and null is absent.
fn absent_or(schema: Value) -> Value {
    json!({"anyOf": [schema, {"type": "null"}]})
}

/// A schema of the settings. It cannot say that lists by class have one value for each class:
/// `check` does.
pub fn settings() -> Value {
    let mut groups = Map::new();
    for (group, keys) in ONCE {
        let keys: Map<String, Value> = keys
            .iter()
            .map(|(key, allowed)| ((*key).to_owned(), absent_or(of(*allowed))))
            .collect();
        if group.is_empty() {
            groups.extend(keys);
        } else {
            groups.insert(
                (*group).to_owned(),
                json!({"type": ["object", "null"], "properties": keys}),
            );
        }
    }
    for (key, allowed) in BY_CLASS {
        let list = json!({"type": "array", "items": of(*allowed), "minItems": 1});
        groups["extra"]["properties"][*key] = absent_or(list);
    }
    let class = |(key, allowed, needed): &(&str, Allowed, bool)| {
        let schema = of(*allowed);
        (
            (*key).to_owned(),
            if *needed { schema } else { absent_or(schema) },
        )
    };
    let class: Map<String, Value> = CLASS.iter().map(class).collect();
    let needed: Vec<&str> = CLASS
        .iter()
        .filter(|(.., needed)| *needed)
        .map(|(key, ..)| *key)
        .collect();
    let class = json!({"type": "object", "properties": class, "required": needed});
    groups.insert(
        "request_classes".to_owned(),
        json!({"type": "array", "items": class, "minItems": 1}),
    );
    json!({"type": "object", "properties": groups, "required": ["request_classes"]})
}

#[cfg(test)]
mod tests {
    use super::super::permitted::check;
    use super::*;

    fn good() -> Value {
        json!({
            "request_classes": [
                {"name": "a", "target": 1, "deadline": 2, "effect": "read_like"},
                {"name": "b", "target": 1, "deadline": 2, "effect": "idempotency_key", "key_ttl": 5}
            ],
            "extra": {"floor_by_class": [0.7, 1.0], "sets": 6}, "limits": {"max_attempts": 3, "other": []}
        })
    }

    /// Whatever stands in any one place: the schema and the check say the same of it.
    #[test]
    fn the_schema_takes_what_the_check_takes() {
        let schema = jsonschema::validator_for(&settings()).unwrap();
        let mut paths: Vec<(String, String)> = Vec::new();
        for (group, keys) in ONCE {
            let above = if group.is_empty() {
                String::new()
            } else {
                format!("/{group}")
            };
            paths.extend(
                keys.iter()
                    .map(|(key, _)| (above.clone(), (*key).to_owned())),
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
            BY_CLASS
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
        let mut told = [0, 0];
        for (above, key) in paths {
            for value in odd.as_array().unwrap().iter().map(Some).chain([None]) {
                let mut settings = good();
                if settings.pointer(&above).is_none() {
                    settings[&above[1..]] = json!({});
                }
                let group = settings
                    .pointer_mut(&above)
                    .unwrap()
                    .as_object_mut()
                    .unwrap();
                match value {
                    Some(value) => group.insert(key.clone(), value.clone()),
                    None => group.remove(&key),
                };
                let said = check(&settings);
                // How many values such a list has is no matter of the schema's.
                if said
                    .clone()
                    .is_err_and(|problem| problem.0.contains("one a class"))
                {
                    continue;
                }
                assert_eq!(
                    schema.is_valid(&settings),
                    said.is_ok(),
                    "{above}/{key} {value:?}: {said:?}"
                );
                told[usize::from(said.is_ok())] += 1;
            }
        }
        assert!(told.iter().all(|count| *count > 100), "{told:?}");
    }
}
