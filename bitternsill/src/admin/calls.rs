//! The operators' calls, as they are read: from a request to what is asked, or to why it cannot be.

use crate::front::http::{Head, Response};
use serde_json::Value as Json;
use std::fmt;

/// What an operator may ask for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// Whether this process takes clients.
    Ready,
    /// Nothing more to an index host.
    Exclude,
    /// An index host may serve again.
    Include,
    /// Send clients away.
    Evacuate,
    /// Take clients again.
    Rejoin,
}

/// One call of the door.
#[derive(Debug, Clone, Copy)]
pub struct Route {
    /// The method.
    pub method: &'static str,
    /// The path, compared without its query.
    pub path: &'static str,
    /// What it asks for.
    pub operation: Operation,
    /// What it is for, in a line.
    pub summary: &'static str,
    /// Each status it may answer with, and what that means.
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
    (507, "As many hosts are out as are kept"),
];

/// The door: calls are routed by it, and it is what `describe openapi` prints.
pub const ROUTES: &[Route] = &[
    Route {
        method: "GET",
        path: "/api/ready",
        operation: Operation::Ready,
        summary: "Tells whether this process takes clients",
        answers: &[
            (200, "It does"),
            (
                503,
                "Not yet, or it has been told to send them away or to end",
            ),
        ],
    },
    Route {
        method: "POST",
        path: "/api/exclude",
        operation: Operation::Exclude,
        summary: "Takes an index host out: nothing new goes there until it is taken back",
        answers: HOST_ANSWERS,
    },
    Route {
        method: "POST",
        path: "/api/include",
        operation: Operation::Include,
        summary: "Takes an index host back, however often it was taken out",
        answers: HOST_ANSWERS,
    },
    Route {
        method: "POST",
        path: "/api/evacuate",
        operation: Operation::Evacuate,
        summary: "Sends clients away; the process goes on running",
        answers: &[
            (200, "Begun, or under way already"),
            (503, "The process is ending"),
        ],
    },
    Route {
        method: "POST",
        path: "/api/rejoin",
        operation: Operation::Rejoin,
        summary: "Takes clients again",
        answers: &[
            (200, "Done, or it never sent them away"),
            (503, "The process is ending"),
        ],
    },
];

/// A call as it was understood.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// What is asked for.
    pub operation: Operation,
    /// The index host that it names, where it names one.
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

/// Reads a call; what cannot be one is answered at once.
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
