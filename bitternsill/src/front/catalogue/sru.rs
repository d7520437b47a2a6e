//! The SRU service for clients, over GET, POST and SOAP.

use super::{Shared, answered_round, rejected_round, request_bounds, seconds};
use crate::core::ports::{Answer, Caller};
use crate::front::http::{Head, Response};
use crate::front::server::{Cx, Handled, Service};
use catalogue::cql::Node;
use catalogue::fault::{Fault, Kind};
use catalogue::operation::{FailureReason, Operation, Outcome, Search, ShortReason, Step, Want};
use catalogue::sets::Owner;
use catalogue::sru::request::{self, Form, Refused, Request, ScanRequest, SearchRequest};
use catalogue::sru::{Operation as Verb, explain, response, soap};
use dispatch::interface::Time;
use std::collections::{BTreeMap, BTreeSet};

const XML: &str = "text/xml; charset=utf-8";
const SRU_XML: &str = "application/sru+xml; charset=utf-8";

/// The current operation of a connection.
struct Running {
    form: Form,
    operation: Operation,
    arrived: Time,
}

/// The SRU service on one connection.
pub struct Sru {
    catalogue: Shared,
    running: Option<Running>,
}

/// A started operation with its first step, or the fault in its request.
type Started = Result<(Operation, Step), Fault>;

impl Sru {
    /// Creates the service for one connection.
    pub fn new(catalogue: Shared) -> Self {
        Sru {
            catalogue,
            running: None,
        }
    }

    fn respond(&self, form: &Form, status: u16, body: String) -> Response {
        let content_type = if form.sru_xml && !form.soap {
            SRU_XML
        } else {
            XML
        };
        Response {
            status,
            headers: Vec::new(),
            content_type,
            body: body.into_bytes(),
        }
    }

    /// Runs the steps of an operation until a round is submitted to the core or the operation is
    /// done.
    fn run(&mut self, cx: &mut Cx<'_>, mut running: Running, mut step: Step) -> Handled {
        loop {
            match step {
                Step::Done(outcome) => {
                    return Handled::Done(self.finish(&running.form, outcome));
                }
                Step::Query(plan) => {
                    let caller = Caller::only(cx.token.bits());
                    match self.catalogue.submit_round(
                        cx.world,
                        caller,
                        &plan,
                        running.arrived,
                        cx.now,
                    ) {
                        Ok(()) => {
                            self.running = Some(running);
                            return Handled::Waiting;
                        }
                        Err(rejection) => {
                            let mut sets = self.catalogue.sets();
                            step = running.operation.answered(
                                rejected_round(rejection),
                                &mut sets,
                                cx.now,
                            );
                        }
                    }
                }
            }
        }
    }

    fn finish(&self, form: &Form, outcome: Outcome) -> Response {
        let refused = |hold_off: Time| {
            let fault = Kind::BUSY.of("ask again later");
            let mut response = self.respond(form, 503, response::refused(form, &fault));
            if hold_off > 0 {
                response
                    .headers
                    .push(format!("Retry-After: {}", seconds(hold_off)));
            }
            response
        };
        let failed = |why| {
            let (status, words) = match why {
                FailureReason::TimeUp => (504, "no answer in time"),
                FailureReason::GivenUp => (500, "given up"),
            };
            self.respond(
                form,
                status,
                response::refused(form, &Kind::GENERAL.of(words)),
            )
        };
        match outcome {
            Outcome::Page(page) => match page.short {
                Some(ShortReason::Refused { hold_off }) if page.records.is_empty() => {
                    refused(hold_off)
                }
                Some(ShortReason::Failed(why)) if page.records.is_empty() => failed(why),
                _ => self.respond(
                    form,
                    200,
                    response::page(form, &page, seconds(self.catalogue.session.ttl)),
                ),
            },
            Outcome::Scan(scanned) => self.respond(form, 200, response::scan(form, &scanned)),
            Outcome::Refused { hold_off } => refused(hold_off),
            Outcome::Failed(why) => failed(why),
            Outcome::Fault(fault) => self.respond(form, 200, response::refused(form, &fault)),
        }
    }

    /// Replaces the result sets in a query by the queries that they were made from. Returns the
    /// query and the slices that are missing in any of the sets, which the search must leave out.
    fn resolve(&self, query: Node, now: Time) -> Result<(Node, Vec<u32>), Fault> {
        let mut sets = self.catalogue.sets();
        let mut left_out = BTreeSet::new();
        let query = query.resolve(&mut |name| {
            let id = sets.by_token(name, now)?;
            let set = sets.get(id, now).ok_or_else(|| Kind::SET_GONE.of(name))?;
            left_out.extend(set.missing.iter().copied());
            Ok(set.query.clone())
        })?;
        Ok((query, left_out.into_iter().collect()))
    }

    fn search(&self, form: &Form, request: SearchRequest, now: Time) -> Started {
        let bounds = self.catalogue.session.bounds;
        let range = (request.start, request.max_records);
        // A result set on its own, without a sort order: return its records.
        if let (Node::Set(name), true) = (&request.query.root, request.query.sort.is_empty()) {
            let mut sets = self.catalogue.sets();
            let id = sets.by_token(name, now)?;
            return Ok(Operation::page(
                id,
                range,
                form.schema,
                None,
                bounds,
                &mut sets,
                now,
            ));
        }
        let (query, left_out) = self.resolve(request.query.root, now)?;
        let known = self
            .catalogue
            .sets()
            .by_search(&query, &request.query.sort, now);
        let slices = self
            .catalogue
            .session
            .slices
            .iter()
            .copied()
            .filter(|s| !left_out.contains(s))
            .collect();
        let search = Search {
            query,
            sort: request.query.sort,
            schema: form.schema,
            start: request.start,
            want: Want::Count(request.max_records),
            slices,
            left_out,
            facets: request.facets,
            owner: Owner::Shared,
            ttl: request.ttl.map(|s| s.saturating_mul(1_000_000_000)),
        };
        // A first page starts a new search; later pages use the result set of the first one.
        match known.filter(|_| request.start > 1 && search.facets.is_empty()) {
            Some(id) => {
                let mut sets = self.catalogue.sets();
                Ok(Operation::page(
                    id,
                    range,
                    form.schema,
                    Some(search),
                    bounds,
                    &mut sets,
                    now,
                ))
            }
            None => Ok(Operation::search(search, bounds)),
        }
    }

    fn scan(&self, request: &ScanRequest) -> Started {
        let config = &self.catalogue.session;
        Ok(Operation::scan(
            &request.clause,
            request.number,
            request.position,
            config.slices.clone(),
            config.bounds,
        ))
    }

    fn explain(&self, form: &Form, host: &str, page: usize) -> Response {
        let catalogue = &self.catalogue;
        // The explain record has the port in a separate field.
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let about = explain::About {
            host,
            port: catalogue.sru.map_or(0, |a| a.port()),
            database: &catalogue.database,
            title: &catalogue.title,
            page: page as u64,
            idle: seconds(catalogue.session.ttl),
        };
        self.respond(
            form,
            200,
            response::explain(form, &explain::record(form.version, &about)),
        )
    }
}

/// The parameters of a request, and the operation if the SOAP envelope names it.
type Parameters = (Option<Verb>, BTreeMap<String, String>);

/// Reads the parameters from a URL, a form or a SOAP envelope.
fn parameters(head: &Head, query: &str, body: &[u8]) -> Result<Parameters, Box<Response>> {
    if head.start.0 != "POST" {
        return Ok((None, request::parameters(query)));
    }
    let posted = String::from_utf8_lossy(body);
    let kind = head.get("Content-Type").unwrap_or_default();
    let kind = kind.split(';').next().unwrap_or_default().trim();
    if kind == "text/xml" || kind == "application/soap+xml" || head.get("SOAPAction").is_some() {
        return match soap::read(&posted) {
            Ok((verb, parameters)) => Ok((Some(verb), parameters)),
            // SOAP 1.1, section 6.2, requires status 500 for a fault.
            Err(problem) => Err(Box::new(Response {
                status: 500,
                headers: Vec::new(),
                content_type: XML,
                body: soap::fault("Client", &problem).into_bytes(),
            })),
        };
    }
    Ok((None, request::parameters(&posted)))
}

impl Service for Sru {
    fn request(&mut self, cx: &mut Cx<'_>, head: &Head, body: &[u8]) -> Handled {
        let (method, target) = (head.start.0.as_str(), head.start.1.as_str());
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        if !matches!(method, "GET" | "HEAD" | "POST") {
            return Handled::Done(Response::no_route(&["GET", "HEAD", "POST"]));
        }
        let (verb, parameters) = match parameters(head, query, body) {
            Ok(read) => read,
            Err(response) => return Handled::Done(*response),
        };
        let bounds = request_bounds(&cx.world.limits);
        let read = request::read(&parameters, verb, head.get("Accept"), &bounds);
        let form = match &read {
            Ok((form, _)) => form.clone(),
            Err(refused) => refused.form.clone(),
        };
        let name = path.trim_matches('/');
        if name != self.catalogue.database {
            let fault = Kind::DATABASE.of(name);
            return Handled::Done(self.respond(&form, 404, response::refused(&form, &fault)));
        }
        let request = match read {
            Ok((_, request)) => request,
            Err(refused) => {
                let Refused {
                    form,
                    fault,
                    status,
                } = *refused;
                return Handled::Done(self.respond(
                    &form,
                    status,
                    response::refused(&form, &fault),
                ));
            }
        };
        let started = match request {
            Request::Explain => {
                let host = head.get("Host").unwrap_or_default();
                return Handled::Done(self.explain(&form, host, cx.world.limits.page_records));
            }
            Request::Search(request) => self.search(&form, request, cx.now),
            Request::Scan(request) => self.scan(&request),
        };
        match started {
            Ok((operation, step)) => {
                let running = Running {
                    form,
                    operation,
                    arrived: cx.since,
                };
                self.run(cx, running, step)
            }
            Err(fault) => Handled::Done(self.respond(&form, 200, response::refused(&form, &fault))),
        }
    }

    fn answer(&mut self, cx: &mut Cx<'_>, answer: &Answer) -> Handled {
        let Some(mut running) = self.running.take() else {
            return Handled::Done(Response::text(500, "no search in progress"));
        };
        let step =
            running
                .operation
                .answered(answered_round(answer), &mut self.catalogue.sets(), cx.now);
        self.run(cx, running, step)
    }
}
