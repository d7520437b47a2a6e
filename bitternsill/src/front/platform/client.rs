//! The HTTP API for the platform's clients.

use super::query;
use crate::core::ports::{Answer, Caller, Rejection};
use crate::front::http::{Head, Response};
use crate::front::server::{Cx, Handled, Service};
use ::recovery::slow_start::Admission;

/// A route of the HTTP API.
#[derive(Debug, Clone, Copy)]
pub struct Route {
    /// The method.
    pub method: &'static str,
    /// The path, compared without the query string.
    pub path: &'static str,
    /// Whether one more path segment may follow, which names a user or an object.
    pub subject: bool,
    /// The operation that the route runs.
    pub operation: Operation,
    /// A one-line summary.
    pub summary: &'static str,
    /// The possible status codes and their meaning.
    pub answers: &'static [(u16, &'static str)],
}

/// The operation of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// Runs a query.
    Query,
    /// Reports whether clients should be sent to this gatherer.
    Health,
}

/// The HTTP API: requests are routed by this table, and `describe openapi` prints it.
pub const ROUTES: &[Route] = &[
    Route {
        method: "POST",
        path: "/api",
        subject: true,
        operation: Operation::Query,
        summary: "Runs a query and returns its answer",
        answers: &[
            (200, "Served; `total` tells whether the answer is complete"),
            (400, "The request is not a valid query"),
            (409, "Another query with this id is open"),
            (413, "The body is too large"),
            (500, "Failed"),
            (503, "Rejected; the query can safely be retried"),
            (504, "Failed: no answer in time"),
        ],
    },
    Route {
        method: "GET",
        path: "/_health",
        subject: false,
        operation: Operation::Health,
        summary: "Reports whether clients should be sent to this gatherer",
        answers: &[(200, "Ready"), (503, "Not ready, or shutting down")],
    },
];

impl Route {
    /// Whether the route serves a path.
    fn matches(&self, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(self.path) else {
            return false;
        };
        let subject = rest
            .strip_prefix('/')
            .is_some_and(|s| !s.is_empty() && !s.contains('/'));
        rest.is_empty() || self.subject && subject
    }
}

/// The HTTP service for the platform's clients.
pub struct Platform;

impl Service for Platform {
    fn request(&mut self, cx: &mut Cx<'_>, head: &Head, body: &[u8]) -> Handled {
        let (method, target) = (head.start.0.as_str(), head.start.1.as_str());
        let path = target.split('?').next().unwrap_or_default();
        let route_method = if method == "HEAD" { "GET" } else { method };
        let Some(route) = ROUTES
            .iter()
            .find(|r| r.matches(path) && r.method == route_method)
        else {
            let allowed: Vec<&str> = ROUTES
                .iter()
                .filter(|r| r.matches(path))
                .map(|r| r.method)
                .collect();
            let why = if allowed.is_empty() {
                "no such path"
            } else {
                "no such method on this path"
            };
            cx.world
                .reject_request(why, &format!("{method} {target}"), cx.now);
            return Handled::Done(Response::no_route(&allowed));
        };
        match route.operation {
            Operation::Health => Handled::Done(match cx.world.waiting_for(cx.now) {
                None => Response::text(200, "ready"),
                Some(wait) => Response::text(503, format!("not ready: {wait}")),
            }),
            Operation::Query => {
                let caller = Caller::only(cx.token.bits());
                let world = &mut *cx.world;
                let request = query::parse(
                    head,
                    body,
                    caller,
                    cx.since,
                    &world.core,
                    cx.now,
                    &world.limits,
                );
                // The clock is read again, as the process may have been stopped since this round of
                // the event loop began.
                if let (Ok(_), Some(versions)) = (&request, &world.versions)
                    && !versions.may_accept(cx.net.now())
                {
                    let retry_after = world.core.max_retry_after();
                    return Handled::Done(query::respond(&Answer::Rejected { retry_after }));
                }
                if let (Ok(request), Some(returning)) = (&request, &mut world.returning)
                    && let Admission::RetryAfter(wait) =
                        returning.admit(request.class, request.arrived)
                {
                    // The settings may forbid a retry-after; the maximum is 0 then.
                    let retry_after = wait.min(world.core.max_retry_after());
                    return Handled::Done(query::respond(&Answer::Rejected { retry_after }));
                }
                match request.map(|request| world.core.submit(request, cx.now)) {
                    Ok(Ok(())) => Handled::Waiting,
                    Ok(Err(Rejection::TableFull { retry_after })) => {
                        Handled::Done(query::respond(&Answer::Rejected { retry_after }))
                    }
                    Ok(Err(Rejection::Busy)) => {
                        Handled::Done(Response::text(400, "a query is under way here"))
                    }
                    Ok(Err(Rejection::NameTaken)) => {
                        Handled::Done(Response::text(409, "a query of this id is open"))
                    }
                    Err(problem) => {
                        cx.world.reject_request(
                            &problem.to_string(),
                            &format!("{method} {target}"),
                            cx.now,
                        );
                        Handled::Done(Response::text(400, problem.to_string()))
                    }
                }
            }
        }
    }

    fn answer(&mut self, _cx: &mut Cx<'_>, answer: &Answer) -> Handled {
        Handled::Done(query::respond(answer))
    }
}
