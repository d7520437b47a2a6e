//! The HTTP interfaces as an OpenAPI description.

use crate::admin::calls;
use crate::front::platform::client::{Operation, ROUTES, Route};
use crate::front::platform::query::{AGAIN, BUDGET, CALL_CLASS, CALL_ID, KEY};
use crate::limits::Limits;
use catalogue::sru::request::PARAMETERS;
use catalogue::sru::{OPERATIONS, STATUSES};
use serde_json::{Map, Value as Json, json};

fn parameters(route: &Route) -> Json {
    if route.operation != Operation::Query {
        return json!([]);
    }
    let header = |name: &str, required: bool, schema: Json, about: &str| json!({"name": name, "in": "header", "required": required, "schema": schema, "description": about});
    json!([
        header(
            CALL_ID,
            true,
            json!({"type": "string"}),
            "Differs for every request, including retries"
        ),
        header(
            CALL_CLASS,
            true,
            json!({"type": "string"}),
            "The query's class"
        ),
        header(
            BUDGET,
            true,
            json!({"type": "number", "minimum": 0}),
            "Seconds that the client waits"
        ),
        header(
            AGAIN,
            false,
            json!({"type": "string", "enum": ["1"]}),
            "Marks a retry"
        ),
        header(
            KEY,
            false,
            json!({"type": "string"}),
            "Required in a class with idempotency keys"
        ),
    ])
}

fn request_body(limits: &Limits) -> Json {
    let range = json!({
        "type": "object",
        "required": ["range", "portion"],
        "properties": {
            "range": {"type": "integer", "minimum": 0, "description": "The part's shard"},
            "portion": {"type": "number", "minimum": 0, "description": "The part's share of the whole answer"},
            "price": {"type": "integer", "description": "The part's estimated work, in microseconds"},
            "hash": {"type": "string", "pattern": "^[0-9a-f]{16}$"}
        }
    });
    let schema = json!({
        "type": "object",
        "required": ["ranges", "predicate"],
        "properties": {
            "ranges": {"type": "array", "minItems": 1, "items": range},
            "predicate": {"type": "string", "description": "The text that is sent with every part"}
        }
    });
    let about = format!(
        "At most {} bytes, with a Content-Length or chunked",
        limits.body_bytes
    );
    json!({"required": true, "description": about, "content": {"application/json": {"schema": schema}}})
}

fn answer_content() -> Json {
    let answer = json!({
        "type": "object",
        "required": ["range", "blob"],
        "properties": {"range": {"type": "integer"}, "blob": {"type": "string"}}
    });
    json!({"application/json": {"schema": {
        "type": "object",
        "required": ["total", "answers"],
        "properties": {
            "total": {"type": "boolean", "description": "Whether the answer is complete"},
            "answers": {"type": "array", "items": answer}
        }
    }}})
}

/// A route of the operators' API.
fn call(route: &calls::Route) -> Json {
    let responses: Map<String, Json> = route
        .answers
        .iter()
        .map(|(status, about)| (status.to_string(), json!({"description": about})))
        .collect();
    let mut operation = json!({
        "summary": format!("{} (at the address `admin`)", route.summary),
        "operationId": format!("{:?}", route.operation).to_lowercase(),
        "tags": ["operators"],
        "responses": responses,
    });
    if route.names_host() {
        let schema = json!({
            "type": "object",
            "required": ["member"],
            "properties": {"member": {"type": "string", "minLength": 1, "description": "The index host's id"}}
        });
        operation["requestBody"] =
            json!({"required": true, "content": {"application/json": {"schema": schema}}});
    }
    operation
}

fn operation(route: &Route, limits: &Limits) -> Json {
    let mut responses = Map::new();
    for (status, meaning) in route.answers {
        let mut response = json!({"description": meaning});
        if *status == 200 && route.operation == Operation::Query {
            response["content"] = answer_content();
        }
        responses.insert(status.to_string(), response);
    }
    let mut operation = json!({
        "summary": route.summary,
        "operationId": format!("{:?}", route.operation).to_lowercase(),
        "parameters": parameters(route),
        "responses": responses,
    });
    if route.operation == Operation::Query {
        operation["requestBody"] = request_body(limits);
    }
    operation
}

/// SRU, which is served if an operator's file configures the catalogue front.
fn catalogue() -> Json {
    let names: Vec<&str> = OPERATIONS.iter().map(|(name, _)| *name).collect();
    let mut parameters = vec![json!({
        "name": "database", "in": "path", "required": true, "schema": {"type": "string"},
        "description": "The database's name"
    })];
    parameters.extend(PARAMETERS.iter().map(|(name, _, about)| {
        let schema = if *name == "operation" {
            json!({"type": "string", "enum": names})
        } else {
            json!({"type": "string"})
        };
        json!({"name": name, "in": "query", "required": false, "schema": schema, "description": about})
    }));
    let mut responses = Map::new();
    for (status, meaning) in STATUSES {
        let mut response = json!({"description": meaning});
        response["content"] = json!({"text/xml": {"schema": {"type": "string"}}});
        responses.insert(status.to_string(), response);
    }
    json!({
        "summary": "SRU: a search, a scan, or the server's explain record",
        "operationId": "sru",
        "parameters": parameters,
        "responses": responses,
    })
}

/// The description.
pub fn describe(limits: &Limits) -> Json {
    let mut paths = Map::new();
    for route in ROUTES {
        let path = paths.entry(route.path).or_insert_with(|| json!({}));
        path[route.method.to_lowercase()] = operation(route, limits);
        if route.subject {
            let path = paths
                .entry(format!("{}/{{subject}}", route.path))
                .or_insert_with(|| json!({}));
            let mut operation = operation(route, limits);
            operation["operationId"] = json!(format!("{:?}About", route.operation).to_lowercase());
            let parameters = operation["parameters"]
                .as_array_mut()
                .expect("a list, as made above");
            parameters.push(json!({
                "name": "subject", "in": "path", "required": true, "schema": {"type": "string", "minLength": 1},
                "description": "The subject of the request, if requests carry such a key"
            }));
            path[route.method.to_lowercase()] = operation;
        }
    }
    for route in calls::ROUTES {
        paths.insert(
            route.path.to_owned(),
            json!({route.method.to_lowercase(): call(route)}),
        );
    }
    paths.insert("/{database}".to_owned(), json!({"get": catalogue()}));
    json!({
        "openapi": "3.1.0",
        "info": {"title": "bitternsill", "version": env!("CARGO_PKG_VERSION")},
        "paths": paths,
    })
}
