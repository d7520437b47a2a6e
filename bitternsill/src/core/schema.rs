//! The settings as a JSON schema, from the tables by which they are checked.

use super::bounds::{Allowed, BY_CLASS, CLASS, ONCE};
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
mod tests;
