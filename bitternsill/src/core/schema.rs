//! The JSON schema of the settings, generated from the tables that they are checked with.

use super::bounds::{Allowed, CLASS, CLASS_LISTS, GROUPS};
use serde_json::{Map, Value, json};

fn schema_of(allowed: Allowed) -> Value {
    match allowed {
        Allowed::From(min, max) if max.is_infinite() => {
            json!({"type": "number", "minimum": min})
        }
        Allowed::From(min, max) => json!({"type": "number", "minimum": min, "maximum": max}),
        Allowed::Above(bound) => json!({"type": "number", "exclusiveMinimum": bound}),
        Allowed::AboveTo(bound, max) => {
            json!({"type": "number", "exclusiveMinimum": bound, "maximum": max})
        }
        Allowed::Integer(min) => json!({"type": "integer", "minimum": min}),
        Allowed::Boolean => json!({"type": "boolean"}),
        Allowed::OneOf(words) => json!({"type": "string", "enum": words}),
        Allowed::Text => json!({"type": "string", "minLength": 1}),
        Allowed::TextList => json!({"type": "array", "items": schema_of(Allowed::Text)}),
    }
}

/// Allows null, which means the default, as an absent setting does.
fn nullable(schema: Value) -> Value {
    json!({"anyOf": [schema, {"type": "null"}]})
}

/// Returns the schema. JSON Schema cannot express that per-class lists have one value per class;
/// [`check`](super::bounds::check) verifies that.
pub fn settings() -> Value {
    let mut groups = Map::new();
    for (group, keys) in GROUPS {
        let keys: Map<String, Value> = keys
            .iter()
            .map(|(key, allowed)| ((*key).to_owned(), nullable(schema_of(*allowed))))
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
    for (key, allowed) in CLASS_LISTS {
        let list = json!({"type": "array", "items": schema_of(*allowed), "minItems": 1});
        groups["extra"]["properties"][*key] = nullable(list);
    }
    let class = |(key, allowed, required): &(&str, Allowed, bool)| {
        let schema = schema_of(*allowed);
        (
            (*key).to_owned(),
            if *required { schema } else { nullable(schema) },
        )
    };
    let class: Map<String, Value> = CLASS.iter().map(class).collect();
    let required: Vec<&str> = CLASS
        .iter()
        .filter(|(.., required)| *required)
        .map(|(key, ..)| *key)
        .collect();
    let class = json!({"type": "object", "properties": class, "required": required});
    groups.insert(
        "request_classes".to_owned(),
        json!({"type": "array", "items": class, "minItems": 1}),
    );
    json!({"type": "object", "properties": groups, "required": ["request_classes"]})
}

#[cfg(test)]
mod tests;
