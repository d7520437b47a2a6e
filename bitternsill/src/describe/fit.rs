//! Checks an operator's description against the program's own.

use super::{asyncapi, openapi};
use crate::limits::Limits;
use serde_json::{Map, Value as Json};

/// The points in which a description does not match the program. `None` if the file is not a
/// description.
pub fn check(theirs: &Json, limits: &Limits) -> Option<Vec<String>> {
    let mut problems = Vec::new();
    if theirs.get("openapi").is_some() {
        version(&theirs["openapi"], "openapi", "3.", &mut problems);
        paths(theirs, &openapi::describe(limits), &mut problems);
    } else if theirs.get("asyncapi").is_some() {
        version(&theirs["asyncapi"], "asyncapi", "3.", &mut problems);
        channels(theirs, &asyncapi::describe(), &mut problems);
    } else {
        return None;
    }
    Some(problems)
}

fn version(theirs: &Json, what: &str, wanted: &str, problems: &mut Vec<String>) {
    if !theirs.as_str().is_some_and(|v| v.starts_with(wanted)) {
        problems.push(format!("{what}: version {theirs} is not {wanted}x"));
    }
}

fn object<'a>(
    json: &'a Json,
    what: &str,
    problems: &mut Vec<String>,
) -> Option<&'a Map<String, Json>> {
    let object = json.as_object();
    if object.is_none() {
        problems.push(format!("{what}: missing, or no object"));
    }
    object
}

fn paths(theirs: &Json, ours: &Json, problems: &mut Vec<String>) {
    const METHODS: &[&str] = &[
        "get", "put", "post", "delete", "options", "head", "patch", "trace",
    ];
    let Some(paths) = object(&theirs["paths"], "paths", problems) else {
        return;
    };
    for (path, item) in paths {
        let Some(offered) = ours["paths"].get(path) else {
            problems.push(format!("{path}: not offered"));
            continue;
        };
        let Some(item) = object(item, path, problems) else {
            continue;
        };
        for (method, operation) in item
            .iter()
            .filter(|(name, _)| METHODS.contains(&name.as_str()))
        {
            let place = format!("{} {path}", method.to_uppercase());
            match offered.get(method) {
                Some(ours) => operation_fits(&place, operation, ours, problems),
                None => problems.push(format!("{place}: not offered")),
            }
        }
    }
}

fn operation_fits(place: &str, theirs: &Json, ours: &Json, problems: &mut Vec<String>) {
    let list = |json: &Json| json["parameters"].as_array().cloned().unwrap_or_default();
    let same = |a: &Json, b: &Json| {
        let names = a["name"].as_str().zip(b["name"].as_str());
        names.is_some_and(|(a, b)| a.eq_ignore_ascii_case(b)) && a["in"] == b["in"]
    };
    let (theirs_list, ours_list) = (list(theirs), list(ours));
    for parameter in &theirs_list {
        match ours_list.iter().find(|p| same(p, parameter)) {
            None => problems.push(format!(
                "{place}: parameter {} is not known",
                parameter["name"]
            )),
            Some(p) if p["schema"]["type"] != parameter["schema"]["type"] => {
                problems.push(format!(
                    "{place}: parameter {} is of type {}",
                    p["name"], p["schema"]["type"]
                ));
            }
            Some(_) => {}
        }
    }
    for parameter in ours_list.iter().filter(|p| p["required"] == true) {
        if !theirs_list
            .iter()
            .any(|p| same(p, parameter) && p["required"] == true)
        {
            problems.push(format!(
                "{place}: parameter {} is required",
                parameter["name"]
            ));
        }
    }
    if ours.get("requestBody").is_some() != theirs.get("requestBody").is_some() {
        let is = if ours.get("requestBody").is_some() {
            "has"
        } else {
            "has no"
        };
        problems.push(format!("{place}: the request {is} body"));
    }
    let Some(responses) = object(&theirs["responses"], place, problems) else {
        return;
    };
    for status in responses.keys().filter(|s| *s != "default") {
        if ours["responses"].get(status).is_none() {
            problems.push(format!("{place}: never answers {status}"));
        }
    }
    if !responses.contains_key("default") {
        let offered = ours["responses"]
            .as_object()
            .into_iter()
            .flat_map(Map::keys);
        for status in offered.filter(|s| !responses.contains_key(*s)) {
            problems.push(format!(
                "{place}: may answer {status}, which is not described"
            ));
        }
    }
}

fn channels(theirs: &Json, ours: &Json, problems: &mut Vec<String>) {
    let Some(channels) = object(&theirs["channels"], "channels", problems) else {
        return;
    };
    for (name, channel) in channels {
        let Some(offered) = ours["channels"].get(name) else {
            problems.push(format!("{name}: no such channel"));
            continue;
        };
        let Some(messages) = object(&channel["messages"], name, problems) else {
            continue;
        };
        for (message, described) in messages {
            let Some(known) = offered["messages"].get(message) else {
                problems.push(format!("{name}: no message {message}"));
                continue;
            };
            let wanted = described["payload"]["required"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            for field in wanted.iter().filter_map(Json::as_str) {
                if known["payload"]["properties"].get(field).is_none() {
                    problems.push(format!("{name}: message {message} has no {field}"));
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
