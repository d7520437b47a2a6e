//! Checks that a configuration file that is read again is complete: a file that is still being
//! written may be valid JSON and lack keys that it had before.

use serde_json::Value as Json;
use thiserror::Error;

/// Keys that a file may lack although the previous one had them: hints for the start, and keys that
/// are optional by the platform's documentation.
const OPTIONAL: &[&str] = &[
    "known",
    "seed",
    "aim_stretch",
    "warm_keys",
    "budget_free",
    "repeat_ratio",
    "counted_over",
    "fleet",
];

/// The keys of a file and the types of their values.
#[derive(Debug, Clone)]
pub struct Shape(Json);

/// How a new file falls short of the previous one.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum ShapeError {
    /// A key is missing.
    #[error("`{path}` is missing")]
    Missing {
        /// Its path.
        path: String,
    },
    /// A value has another type.
    #[error("`{path}` is {found}, but was {expected} before")]
    Kind {
        /// Its path.
        path: String,
        /// The value.
        found: String,
        /// The type of the previous value.
        expected: &'static str,
    },
    /// An array that had one value for each class has another length.
    #[error("`settings.extra.{key}` must have one value for each class")]
    ClassCount {
        /// Its key.
        key: String,
    },
}

impl Shape {
    /// The shape of a file.
    pub(super) fn new(file: Json) -> Self {
        Shape(file)
    }

    /// Checks that this file has all keys of `other`. A file that is still being written, or was
    /// truncated, may be valid JSON and still lack a limit or a class's price.
    pub fn fits(&self, other: &Shape) -> Result<(), ShapeError> {
        fits(&self.0, &other.0, "")?;
        let classes = |json: &Json| {
            json["settings"]["request_classes"]
                .as_array()
                .map_or(0, Vec::len)
        };
        let arrays = other.0["settings"]["extra"]
            .as_object()
            .into_iter()
            .flatten();
        for (key, value) in arrays {
            let length = |json: &Json| json.as_array().map(Vec::len);
            let here = &self.0["settings"]["extra"][key];
            if length(value) == Some(classes(&other.0)) && length(here) != Some(classes(&self.0)) {
                return Err(ShapeError::ClassCount { key: key.clone() });
            }
        }
        Ok(())
    }
}

fn fits(here: &Json, other: &Json, path: &str) -> Result<(), ShapeError> {
    match (here, other) {
        (Json::Object(here), Json::Object(other)) => {
            for (key, value) in other
                .iter()
                .filter(|(key, _)| !OPTIONAL.contains(&key.as_str()))
            {
                let path = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                match here.get(key) {
                    Some(present) => fits(present, value, &path)?,
                    None => return Err(ShapeError::Missing { path }),
                }
            }
            Ok(())
        }
        // Each entry must have the keys that all previous entries had.
        (Json::Array(here), Json::Array(other))
            if other.iter().all(Json::is_object) && !other.is_empty() =>
        {
            let mut common = other[0].clone();
            if let Json::Object(common) = &mut common {
                common.retain(|key, _| other.iter().all(|entry| entry.get(key).is_some()));
            }
            here.iter()
                .enumerate()
                .try_for_each(|(at, entry)| fits(entry, &common, &format!("{path}[{at}]")))
        }
        _ if std::mem::discriminant(here) == std::mem::discriminant(other) || other.is_null() => {
            Ok(())
        }
        _ => Err(ShapeError::Kind {
            path: path.to_owned(),
            found: here.to_string(),
            expected: kind(other),
        }),
    }
}

fn kind(json: &Json) -> &'static str {
    match json {
        Json::Null => "nothing",
        Json::Bool(_) => "true or false",
        Json::Number(_) => "a number",
        Json::String(_) => "text",
        Json::Array(_) => "a list",
        Json::Object(_) => "an object",
    }
}
