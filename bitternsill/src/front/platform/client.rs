//! What the platform's clients may ask for.

use super::query;
use crate::core::ports::{Answer, Caller, Rejection};
use crate::front::http::{Head, Response};
use crate::front::server::{Cx, Handled, Service};
use ::recovery::slow_start::Admission;

/// One thing that the HTTP surface offers.
#[derive(Debug, Clone, Copy)]
pub struct Route {
    /// The method.
    pub method: &'static str,
    /// The path, compared without its query.
    pub path: &'static str,
    /// Whether one more segment may follow the path: what the request concerns.
    pub subject: bool,
    /// What it does.
    pub operation: Operation,
    /// What it is for, in a line.
    pub summary: &'static str,
    /// Each status it may answer with, and what that means.
    pub answers: &'static [(u16, &'static str)],
}

/// What a route does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// Takes a query.
    Query,
    /// Tells whether clients should be sent here.
    Health,
}

/// The HTTP surface: requests are routed by it, and it is what `describe openapi` prints.
pub const ROUTES: &[Route] = &[
    Route {
        method: "POST",
        path: "/api",
        subject: true,
        operation: Operation::Query,
        summary: "Takes a query and gives its one answer",
        answers: &[
            (200, "Served; `total` says whether the answer is whole"),
            (400, "The request is no query"),
            (409, "Another query of this id is open"),
            (413, "The body is too large"),
            (500, "Failed"),
            (503, "Refused; trying again is harmless"),
            (504, "Failed: no answer in time"),
        ],
    },
    Route {
        method: "GET",
        path: "/_health",
        subject: false,
        operation: Operation::Health,
        summary: "Tells whether clients should be sent here",
        answers: &[(200, "Ready"), (503, "Not ready, or about to end")],
    },
];

impl Route {
    /// Whether a path is this route's. What may follow it is one segment that is not empty: it
    /// names a user or an object.
    fn fits(&self, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(self.path) else {
            return false;
        };
        let subject = rest
            .strip_prefix('/')
            .is_some_and(|s| !s.is_empty() && !s.contains('/'));
        rest.is_empty() || self.subject && subject
    }
}

/// The platform's service.
pub struct Platform;

impl Service for Platform {
    fn request(&mut self, cx: &mut Cx<'_>, head: &Head, body: &[u8]) -> Handled {
        let (method, target) = (head.start.0.as_str(), head.start.1.as_str());
        let path = target.split('?').next().unwrap_or_default();
        let wanted = if method == "HEAD" { "GET" } else { method };
        let Some(route) = ROUTES.iter().find(|r| r.fits(path) && r.method == wanted) else {
            let allowed: Vec<&str> = ROUTES
                .iter()
                .filter(|r| r.fits(path))
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
                let ask = query::parse(
                    head,
                    body,
                    caller,
                    cx.since,
                    &world.core,
                    cx.now,
                    &world.limits,
                );
                // Asked with a clock read now: the process may have stood still since this round
                // began.
                if let (Ok(_), Some(versions)) = (&ask, &world.versions)
                    && !versions.may_accept(cx.net.now())
                {
                    let hold_off = world.core.max_retry_after();
                    return Handled::Done(query::respond(&Answer::Rejected {
                        retry_after: hold_off,
                    }));
                }
                if let (Ok(ask), Some(returning)) = (&ask, &mut world.returning)
                    && let Admission::RetryAfter(wait) = returning.admit(ask.class, ask.arrived)
                {
                    // Where no time to return may be told, none is.
                    let hold_off = wait.min(world.core.max_retry_after());
                    return Handled::Done(query::respond(&Answer::Rejected {
                        retry_after: hold_off,
                    }));
                }
                match ask.map(|ask| world.core.submit(ask, cx.now)) {
                    Ok(Ok(())) => Handled::Waiting,
                    Ok(Err(Rejection::TableFull {
                        retry_after: hold_off,
                    })) => Handled::Done(query::respond(&Answer::Rejected {
                        retry_after: hold_off,
                    })),
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
