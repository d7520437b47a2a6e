//! Requests of clients: finding the route, checking the key, and wording the answer.

use super::attempt::{Begun, Call, Content};
use super::exchange::{Exchanges, GivenUp, Job, Tries};
use super::headers;
use super::relay::Relay;
use crate::counters::Event;
use crate::listener::{ClientConnection, ClientConnections};
use crate::sync::lock;
use bytes::Bytes;
use compact_str::CompactString;
use control::configuration::{Access, Configuration, Kind, Route, Tenant};
use hyper::HeaderMap;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderName, HeaderValue, RETRY_AFTER};
use poem::http::StatusCode;
use poem::{Body, Endpoint, Request, Response, Result};
use routing::prompt::Prompt;
use routing::traffic_split::choose_weighted;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Where a client names no deadline.
const USUAL_DEADLINE_MS: u64 = 30_000;
/// The answer goes out so long before the client stops waiting.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);
/// Advice to clients while this router can't take anything.
const NOT_READY_RETRY_AFTER: &str = "0.3";
/// Ranks that one rank of a tenant stands above one of a route.
const ROUTE_RANKS: u8 = 3;
/// The lowest rank at a backend.
const LOWEST_RANK: u8 = 9;

/// The interface for clients.
pub struct Ingress {
    exchanges: Arc<Exchanges>,
    connections: ClientConnections,
}

/// Why a request is not sent on.
struct Refused {
    status: StatusCode,
    retry_after: Option<String>,
}

impl Refused {
    fn with(status: StatusCode) -> Self {
        Refused {
            status,
            retry_after: None,
        }
    }

    fn for_now(seconds: &str) -> Self {
        Refused {
            status: StatusCode::SERVICE_UNAVAILABLE,
            retry_after: Some(seconds.to_owned()),
        }
    }
}

impl Ingress {
    /// The interface for clients.
    pub fn new(exchanges: Arc<Exchanges>, connections: ClientConnections) -> Self {
        Ingress {
            exchanges,
            connections,
        }
    }

    async fn handle(&self, request: Request) -> Response {
        self.exchanges.count(Event::RequestBegun);
        let connection = self.connections.of(request.remote_addr().as_socket_addr());
        // The server library goes on with a request whose client has closed the connection, so this
        // is what ends it: all that waits or works for it is dropped here, and sends to backends
        // end with it.
        let served = tokio::select! {
            biased;
            () = connection.ended() => {
                self.exchanges.count(Event::ClientLeftWaiting);
                return nobody_reads_this();
            }
            served = self.serve(request, &connection) => served,
        };
        let mut response = match served {
            Ok(response) => response,
            Err(refused) => word(&refused),
        };
        if self.exchanges.fleet.is_leaving() {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn serve(
        &self,
        mut request: Request,
        connection: &ClientConnection,
    ) -> std::result::Result<Response, Refused> {
        let arrived = Instant::now();
        let configuration = self
            .configuration()
            .ok_or_else(|| Refused::for_now(NOT_READY_RETRY_AFTER))?;
        let host = host_of(&request);
        let route = configuration.route(&host, request.uri().path());
        let route = route.ok_or_else(|| Refused::with(StatusCode::NOT_FOUND))?;
        let key = headers::bearer(request.headers());
        let tenant = match configuration.access(route, key) {
            Access::Tenant(tenant) => Some(tenant),
            Access::Open => None,
            Access::Denied => return Err(Refused::with(StatusCode::UNAUTHORIZED)),
        };
        let longest = configuration.limits.max_body_bytes as usize;
        let body = read_body(&mut request, longest).await?;
        let job = self.job(&configuration, route, tenant, request, body, arrived)?;
        match self.exchanges.run(&job).await {
            Ok((begun, tries)) => Ok(self.answer(job, begun, tries, connection.clone())),
            Err(given_up) => Err(self.refuse(given_up)),
        }
    }

    fn configuration(&self) -> Option<Arc<Configuration>> {
        lock(&self.exchanges.fleet.published)
            .configuration()
            .cloned()
    }

    fn job(
        &self,
        configuration: &Configuration,
        route: &Route,
        tenant: Option<&Tenant>,
        request: Request,
        body: Bytes,
        arrived: Instant,
    ) -> std::result::Result<Job, Refused> {
        let weights: Vec<u64> = route.split.iter().map(|(_, weight)| *weight).collect();
        let chosen = choose_weighted(&weights, &mut fastrand::Rng::new());
        let (service, _) = chosen
            .and_then(|at| route.split.get(at))
            .ok_or_else(|| Refused::with(StatusCode::INTERNAL_SERVER_ERROR))?;
        let patience =
            headers::number(request.headers(), &headers::DEADLINE_MS).unwrap_or(USUAL_DEADLINE_MS);
        let deadline = arrived + Duration::from_millis(patience);
        let until = deadline.min(arrived + Duration::from_millis(route.timeout_ms)) - ANSWER_MARGIN;
        let call = call_of(request, body, configuration, route, tenant, deadline)
            .ok_or_else(|| Refused::with(StatusCode::BAD_REQUEST))?;
        Ok(Job {
            call: Arc::new(call),
            route: Arc::new(route.clone()),
            service: service.clone(),
            until,
        })
    }

    fn refuse(&self, given_up: GivenUp) -> Refused {
        match given_up {
            GivenUp::NotRun { retry_after } => {
                self.exchanges.count(Event::RefusedUnrun);
                Refused::for_now(&format!("{retry_after:.2}"))
            }
            GivenUp::MayHaveRun { late } => {
                self.exchanges.count(Event::GivenUp);
                Refused::with(if late {
                    StatusCode::GATEWAY_TIMEOUT
                } else {
                    StatusCode::BAD_GATEWAY
                })
            }
        }
    }

    fn answer(
        &self,
        job: Job,
        begun: Begun,
        tries: Tries,
        connection: ClientConnection,
    ) -> Response {
        self.exchanges.count(Event::AnswerBegun);
        let Begun {
            mut head,
            status,
            content,
            backend,
            ..
        } = begun;
        headers::remove_hop_by_hop(&mut head);
        let body = match content {
            Content::Whole(bytes) => {
                head.remove(CONTENT_LENGTH);
                Body::from_bytes(bytes)
            }
            Content::Events(events) => {
                let relay = Relay::new(
                    self.exchanges.clone(),
                    job,
                    tries,
                    backend,
                    events,
                    connection,
                );
                Body::from_bytes_stream(relay.into_stream())
            }
        };
        let mut response = Response::builder().status(status).body(body);
        *response.headers_mut() = head;
        response
    }
}

impl Endpoint for Ingress {
    type Output = Response;

    async fn call(&self, request: Request) -> Result<Self::Output> {
        Ok(self.handle(request).await)
    }
}

/// The server library wants an answer still; on a connection that has ended it is not written.
fn nobody_reads_this() -> Response {
    Response::builder().status(StatusCode::BAD_GATEWAY).finish()
}

fn word(refused: &Refused) -> Response {
    let mut response = Response::builder().status(refused.status).finish();
    if let Some(value) = refused
        .retry_after
        .as_deref()
        .and_then(|text| HeaderValue::from_str(text).ok())
    {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

fn host_of(request: &Request) -> CompactString {
    let named = request
        .headers()
        .get(HOST)
        .and_then(|value| value.to_str().ok());
    let host = named.or(request.uri().host()).unwrap_or_default();
    host.rsplit_once(':')
        .filter(|(_, port)| port.bytes().all(|b| b.is_ascii_digit()))
        .map_or(host, |(h, _)| h)
        .into()
}

async fn read_body(request: &mut Request, longest: usize) -> std::result::Result<Bytes, Refused> {
    let told = headers::number(request.headers(), &CONTENT_LENGTH);
    if told.is_some_and(|length| length > longest as u64) {
        return Err(Refused::with(StatusCode::PAYLOAD_TOO_LARGE));
    }
    match request.take_body().into_bytes_limit(longest).await {
        Ok(body) => Ok(body),
        Err(poem::error::ReadBodyError::PayloadTooLarge) => {
            Err(Refused::with(StatusCode::PAYLOAD_TOO_LARGE))
        }
        Err(_) => Err(Refused::with(StatusCode::BAD_REQUEST)),
    }
}

fn call_of(
    request: Request,
    body: Bytes,
    configuration: &Configuration,
    route: &Route,
    tenant: Option<&Tenant>,
    deadline: Instant,
) -> Option<Call> {
    let mut sent: HeaderMap = request.headers().clone();
    headers::remove_hop_by_hop(&mut sent);
    headers::remove_router_only(&mut sent);
    sent.remove(CONTENT_LENGTH);
    sent.remove(HeaderName::from_static("expect"));
    let request_id = headers::text(&sent, &headers::REQUEST_ID)?.to_owned();
    if let Some(tenant) = tenant {
        headers::set(&mut sent, headers::TENANT, &tenant.name);
    }
    let prompt = Prompt::from_headers(
        headers::text(&sent, &headers::MODEL),
        headers::text(&sent, &headers::PREFIX),
        headers::text(&sent, &headers::TOKENS),
    );
    if prompt.is_some() {
        let tenant_rank = tenant.map_or(0, |tenant| tenant.priority);
        let rank = tenant_rank
            .saturating_mul(ROUTE_RANKS)
            .saturating_add(route.priority)
            .min(LOWEST_RANK);
        headers::set(&mut sent, headers::PRIORITY, &rank.to_string());
    }
    let uri = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str())
        .parse()
        .ok()?;
    Some(Call {
        method: request.method().clone(),
        uri,
        headers: sent,
        body,
        request_id,
        deadline,
        prompt,
        wall: wall(configuration, tenant),
        streaming: route.kind == Kind::Streaming,
        is_repeatable: route.is_idempotent() && route.attempts > 1,
    })
}

/// The wall around a tenant's parts. What is shared is shared under a text that names who is
/// isolated, so that parts made before a tenant was isolated are not found after.
fn wall(configuration: &Configuration, tenant: Option<&Tenant>) -> CompactString {
    if let Some(tenant) = tenant.filter(|tenant| tenant.isolated) {
        return compact_str::format_compact!("t{}-", tenant.name);
    }
    let mut hasher = DefaultHasher::new();
    let isolated = configuration
        .tenants
        .iter()
        .filter(|tenant| tenant.isolated);
    isolated.for_each(|tenant| tenant.name.hash(&mut hasher));
    compact_str::format_compact!("s{:08x}-", hasher.finish() as u32)
}
