//! The HTTP endpoint for clients: routes and authenticates requests, and builds the responses.

use super::attempt::{ResponseBody, ResponseStart, UpstreamRequest};
use super::cache_namespace::cache_namespace;
use super::forwarder::{AttemptHistory, ForwardError, ForwardRequest, Forwarder};
use super::headers;
use super::relay::{Client, Relay};
use crate::clock;
use crate::counters::Event;
use crate::fleet::ConfigurationInUse;
use crate::listener::{ClientConnection, ClientConnections, RequestInFlight};
use bytes::Bytes;
use compact_str::CompactString;
use control::configuration::{Access, Kind, Route, Tenant};
use hyper::HeaderMap;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderName, HeaderValue, RETRY_AFTER};
use poem::http::StatusCode;
use poem::{Body, Endpoint, Request, Response, Result};
use routing::prompt::Prompt;
use routing::traffic_split::choose_weighted;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Deadline of requests that do not state one, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// The router's own deadline is this long before the client's deadline or the route's timeout.
const RESPONSE_MARGIN: Duration = Duration::from_millis(20);
/// Retry-After while this router has no configuration, or none that is confirmed as the latest, in
/// seconds.
const NOT_READY_RETRY_AFTER_S: &str = "0.3";
/// A request waits for the first confirmation of the state for at most the client's time divided by
/// this.
const CONFIRMATION_WAIT_DIVISOR: u32 = 5;
/// Number of route priorities within each tenant priority.
const ROUTE_PRIORITIES: u8 = 3;
/// The lowest priority at a backend. Larger numbers are less urgent.
const LOWEST_PRIORITY: u8 = 9;

/// The endpoint for clients.
pub struct Ingress {
    forwarder: Arc<Forwarder>,
    connections: ClientConnections,
}

/// Status and Retry-After of the response to a request that no backend has answered.
struct Rejection {
    status: StatusCode,
    retry_after: Option<String>,
}

impl Rejection {
    fn from_status(status: StatusCode) -> Self {
        Rejection {
            status,
            retry_after: None,
        }
    }

    /// A request that its configuration does not allow. If the configuration is not confirmed, a
    /// newer one may allow it, so that the client may try again elsewhere.
    fn denial(status: StatusCode, in_use: &ConfigurationInUse) -> Self {
        if in_use.is_confirmed {
            Self::from_status(status)
        } else {
            Self::unavailable(NOT_READY_RETRY_AFTER_S)
        }
    }

    fn unavailable(retry_after_s: &str) -> Self {
        Rejection {
            status: StatusCode::SERVICE_UNAVAILABLE,
            retry_after: Some(retry_after_s.to_owned()),
        }
    }
}

impl Ingress {
    /// Creates the endpoint.
    pub fn new(forwarder: Arc<Forwarder>, connections: ClientConnections) -> Self {
        Ingress {
            forwarder,
            connections,
        }
    }

    async fn handle(&self, request: Request) -> Response {
        self.forwarder.count(Event::RequestReceived);
        let connection = self.connections.get(request.remote_addr().as_socket_addr());
        let in_flight = connection.begin_request();
        // The HTTP server does not cancel the request of a client that disconnects. Dropping the
        // future here cancels the request and all its attempts.
        let outcome = tokio::select! {
            biased;
            () = connection.closed() => {
                self.forwarder.count(Event::DisconnectedWaiting);
                return undeliverable_response();
            }
            outcome = self.serve(request, &connection, in_flight) => outcome,
        };
        let mut response = match outcome {
            Ok(response) => response,
            Err(rejection) => rejection_response(&rejection),
        };
        if self.forwarder.fleet.is_shutting_down() {
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
        in_flight: RequestInFlight,
    ) -> std::result::Result<Response, Rejection> {
        let received_at = Instant::now();
        let fleet = &self.forwarder.fleet;
        let received_at_ms = clock::now();
        let client_timeout = client_timeout(&request);
        let wait = fleet.wait_for_first_confirmation();
        // A time-out is no error: the request is then handled by an unconfirmed configuration.
        let _ = tokio::time::timeout(client_timeout / CONFIRMATION_WAIT_DIVISOR, wait).await;
        let in_use = fleet
            .configuration_for(received_at_ms)
            .ok_or_else(|| Rejection::unavailable(NOT_READY_RETRY_AFTER_S))?;
        if !in_use.is_confirmed {
            self.forwarder.count(Event::UnconfirmedConfiguration);
        }
        let configuration = in_use.configuration.clone();
        let host = host_of(&request);
        let route = configuration.route(&host, request.uri().path());
        let route = route.ok_or_else(|| Rejection::denial(StatusCode::NOT_FOUND, &in_use))?;
        let key = headers::bearer(request.headers());
        let tenant = match configuration.access(route, key) {
            Access::Tenant(tenant) => Some(tenant),
            Access::Open => None,
            Access::Denied => return Err(Rejection::denial(StatusCode::UNAUTHORIZED, &in_use)),
        };
        let max_bytes = configuration.limits.max_body_bytes as usize;
        let body = read_body(&mut request, max_bytes, &in_use).await?;
        let request = self.forward_request(in_use, route, tenant, request, body, received_at)?;
        match self.forwarder.run(&request).await {
            Ok((response, history)) => {
                let client = Client {
                    connection: connection.clone(),
                    _in_flight: in_flight,
                };
                Ok(self.response(request, response, history, client))
            }
            Err(error) => Err(self.rejection(error)),
        }
    }

    fn forward_request(
        &self,
        in_use: ConfigurationInUse,
        route: &Route,
        tenant: Option<&Tenant>,
        request: Request,
        body: Bytes,
        received_at: Instant,
    ) -> std::result::Result<ForwardRequest, Rejection> {
        let weights: Vec<u64> = route.split.iter().map(|(_, weight)| *weight).collect();
        let chosen = choose_weighted(&weights, &mut fastrand::Rng::new());
        let (service, _) = chosen
            .and_then(|index| route.split.get(index))
            .ok_or_else(|| Rejection::from_status(StatusCode::INTERNAL_SERVER_ERROR))?;
        let deadline = received_at + client_timeout(&request);
        let router_deadline =
            deadline.min(received_at + Duration::from_millis(route.timeout_ms)) - RESPONSE_MARGIN;
        let upstream_request = upstream_request(request, body, &in_use, route, tenant, deadline)
            .ok_or_else(|| Rejection::from_status(StatusCode::BAD_REQUEST))?;
        Ok(ForwardRequest {
            upstream_request: Arc::new(upstream_request),
            route: Arc::new(route.clone()),
            service: service.clone(),
            configuration: in_use,
            deadline: router_deadline,
        })
    }

    fn rejection(&self, error: ForwardError) -> Rejection {
        match error {
            ForwardError::NotExecuted { retry_after } => {
                self.forwarder.count(Event::RejectedNotExecuted);
                Rejection::unavailable(&format!("{retry_after:.2}"))
            }
            ForwardError::MayHaveExecuted { timed_out } => {
                self.forwarder.count(Event::GivenUp);
                Rejection::from_status(if timed_out {
                    StatusCode::GATEWAY_TIMEOUT
                } else {
                    StatusCode::BAD_GATEWAY
                })
            }
        }
    }

    fn response(
        &self,
        request: ForwardRequest,
        response: ResponseStart,
        history: AttemptHistory,
        client: Client,
    ) -> Response {
        self.forwarder.count(Event::ResponseStarted);
        let ResponseStart {
            mut head,
            status,
            content,
            backend,
            ..
        } = response;
        headers::remove_hop_by_hop(&mut head);
        let body = match content {
            ResponseBody::Buffered(bytes) => {
                head.remove(CONTENT_LENGTH);
                Body::from_bytes(bytes)
            }
            ResponseBody::Stream(events) => {
                let relay = Relay::new(
                    self.forwarder.clone(),
                    request,
                    history,
                    backend,
                    events,
                    client,
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

/// A placeholder that the HTTP server requires. It is never written, as the connection is closed.
fn undeliverable_response() -> Response {
    Response::builder().status(StatusCode::BAD_GATEWAY).finish()
}

fn rejection_response(rejection: &Rejection) -> Response {
    let mut response = Response::builder().status(rejection.status).finish();
    if let Some(value) = rejection
        .retry_after
        .as_deref()
        .and_then(|text| HeaderValue::from_str(text).ok())
    {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

fn host_of(request: &Request) -> CompactString {
    let header = request
        .headers()
        .get(HOST)
        .and_then(|value| value.to_str().ok());
    let host = header.or(request.uri().host()).unwrap_or_default();
    host.rsplit_once(':')
        .filter(|(_, port)| port.bytes().all(|b| b.is_ascii_digit()))
        .map_or(host, |(name, _)| name)
        .into()
}

/// How long the client waits for the response.
fn client_timeout(request: &Request) -> Duration {
    let timeout_ms = headers::number(request.headers(), &headers::DEADLINE_MS);
    Duration::from_millis(timeout_ms.unwrap_or(DEFAULT_DEADLINE_MS))
}

async fn read_body(
    request: &mut Request,
    max_bytes: usize,
    in_use: &ConfigurationInUse,
) -> std::result::Result<Bytes, Rejection> {
    let too_large = || Rejection::denial(StatusCode::PAYLOAD_TOO_LARGE, in_use);
    let declared = headers::number(request.headers(), &CONTENT_LENGTH);
    if declared.is_some_and(|length| length > max_bytes as u64) {
        return Err(too_large());
    }
    match request.take_body().into_bytes_limit(max_bytes).await {
        Ok(body) => Ok(body),
        Err(poem::error::ReadBodyError::PayloadTooLarge) => Err(too_large()),
        Err(_) => Err(Rejection::from_status(StatusCode::BAD_REQUEST)),
    }
}

fn upstream_request(
    request: Request,
    body: Bytes,
    in_use: &ConfigurationInUse,
    route: &Route,
    tenant: Option<&Tenant>,
    deadline: Instant,
) -> Option<UpstreamRequest> {
    let mut forwarded: HeaderMap = request.headers().clone();
    headers::remove_hop_by_hop(&mut forwarded);
    headers::remove_router_only(&mut forwarded);
    forwarded.remove(CONTENT_LENGTH);
    forwarded.remove(HeaderName::from_static("expect"));
    let request_id = headers::text(&forwarded, &headers::REQUEST_ID)?.to_owned();
    if let Some(tenant) = tenant {
        headers::set(&mut forwarded, headers::TENANT, &tenant.name);
    }
    let prompt = Prompt::from_headers(
        headers::text(&forwarded, &headers::MODEL),
        headers::text(&forwarded, &headers::PREFIX),
        headers::text(&forwarded, &headers::TOKENS),
    );
    if prompt.is_some() {
        let tenant_priority = tenant.map_or(0, |tenant| tenant.priority);
        let priority = tenant_priority
            .saturating_mul(ROUTE_PRIORITIES)
            .saturating_add(route.priority)
            .min(LOWEST_PRIORITY);
        headers::set(&mut forwarded, headers::PRIORITY, &priority.to_string());
    }
    let uri = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str())
        .parse()
        .ok()?;
    Some(UpstreamRequest {
        method: request.method().clone(),
        uri,
        headers: forwarded,
        body,
        request_id,
        deadline,
        prompt,
        cache_namespace: cache_namespace(in_use, tenant, headers::bearer(request.headers())),
        streaming: route.kind == Kind::Streaming,
        is_retryable: in_use.is_confirmed && route.is_idempotent() && route.attempts > 1,
    })
}
