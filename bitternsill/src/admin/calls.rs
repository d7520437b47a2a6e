//! Routing and parsing of operators' calls.

use crate::front::http::{Head, Response};
use serde_json::Value as Json;
use std::fmt;

/// The operations of the operators' API.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// Report whether this process accepts clients.
    Ready,
    /// Send nothing more to an index host.
    Exclude,
    /// Use an index host again.
    Include,
    /// Drain clients.
    Evacuate,
    /// Accept clients again.
    Rejoin,
}

/// A route of the operators' API.
#[derive(Debug, Clone, Copy)]
pub struct Route {
    /// The method.
    pub method: &'static str,
    /// The path, without a query string.
    pub path: &'static str,
    /// The operation.
    pub operation: Operation,
    /// A one-line summary.
    pub summary: &'static str,
    /// Each possible status with its description.
    pub answers: &'static [(u16, &'static str)],
}

impl Route {
    /// Whether the call names an index host.
    pub fn names_host(&self) -> bool {
        matches!(self.operation, Operation::Exclude | Operation::Include)
    }
}

const HOST_ANSWERS: &[(u16, &str)] = &[
    (200, "Done"),
    (400, "The body names no index host"),
    (404, "No such index host"),
    (413, "The body is too large"),
    (507, "The maximum number of hosts is already excluded"),
];

/// The routes of the operators' API. `describe openapi` prints them too.
pub const ROUTES: &[Route] = &[
    Route {
        method: "GET",
        path: "/api/ready",
        operation: Operation::Ready,
        summary: "Reports whether this process accepts clients",
        answers: &[
            (200, "It accepts clients"),
            (
                503,
                "It does not accept clients yet, is draining them, or is shutting down",
            ),
        ],
    },
    Route {
        method: "POST",
        path: "/api/exclude",
        operation: Operation::Exclude,
        summary: "Excludes an index host: it gets no new requests until it is included again",
        answers: HOST_ANSWERS,
    },
    Route {
        method: "POST",
        path: "/api/include",
        operation: Operation::Include,
        summary: "Includes an index host again, however often it was excluded",
        answers: HOST_ANSWERS,
    },
    Route {
        method: "POST",
        path: "/api/evacuate",
        operation: Operation::Evacuate,
        summary: "Drains clients; the process keeps running",
        answers: &[
            (200, "The drain has started, or was already under way"),
            (503, "The process is shutting down"),
        ],
    },
    Route {
        method: "POST",
        path: "/api/rejoin",
        operation: Operation::Rejoin,
        summary: "Accepts clients again",
        answers: &[
            (200, "Done, or it was not draining"),
            (503, "The process is shutting down"),
        ],
    },
];

/// A parsed call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The operation.
    pub operation: Operation,
    /// The index host, or empty for operations that name none.
    pub member: String,
}

impl fmt::Display for Call {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", self.operation)?;
        if self.member.is_empty() {
            Ok(())
        } else {
            write!(f, " {}", self.member)
        }
    }
}

/// Parses a call; for an invalid one, returns the response to send.
pub fn read(head: &Head, body: &[u8], name_bytes: usize) -> Result<Call, Response> {
    let (method, target) = (head.start.0.as_str(), head.start.1.as_str());
    let path = target.split('?').next().unwrap_or_default();
    let wanted = if method == "HEAD" { "GET" } else { method };
    let Some(route) = ROUTES.iter().find(|r| r.path == path && r.method == wanted) else {
        let allowed: Vec<&str> = ROUTES
            .iter()
            .filter(|r| r.path == path)
            .map(|r| r.method)
            .collect();
        return Err(Response::no_route(&allowed));
    };
    let member = if route.names_host() {
        member(body, name_bytes)?
    } else {
        String::new()
    };
    Ok(Call {
        operation: route.operation,
        member,
    })
}

fn member(body: &[u8], name_bytes: usize) -> Result<String, Response> {
    let bad = |why: &str| Response::text(400, format!("{why}; the body is {{\"member\":\"ID\"}}"));
    if body.is_empty() {
        return Err(bad("there is no body"));
    }
    let json: Json = serde_json::from_slice(body).map_err(|_| bad("the body is not JSON"))?;
    match json.get("member") {
        None => Err(bad("`member` is missing")),
        Some(Json::String(id)) if id.is_empty() => Err(bad("`member` is empty")),
        Some(Json::String(id)) if id.len() > name_bytes => {
            Err(bad("`member` is longer than any id"))
        }
        Some(Json::String(id)) => Ok(id.clone()),
        Some(_) => Err(bad("`member` is not a string")),
    }
}
