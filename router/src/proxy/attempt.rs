//! A single attempt: sends a request to one backend and waits for the head of the response.

use super::backend::{Backend, InFlightGuard};
use super::cache_salt::salt;
use super::connection::{Connection, SendError};
use super::headers;
use super::response::ReceivedResponse;
use crate::clock;
use bytes::Bytes;
use compact_str::CompactString;
use control::Millis;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use routing::prompt::Prompt;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// Time limit of connecting to a backend.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Minimum idle time, in milliseconds, before a reset counts as a stale connection. A reset soon
/// after the previous response counts as a failure of the backend.
const MIN_STALE_IDLE: Millis = 50;
/// A pooled connection expires this long before the backend would close it.
const KEEP_ALIVE_MARGIN_MS: u64 = 500;

/// The parts of a client's request that are the same for all attempts.
#[derive(Debug)]
pub struct UpstreamRequest {
    /// Request method.
    pub method: Method,
    /// Path and query, unchanged from the client's request.
    pub uri: Uri,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Request id that the client assigned to this attempt of its own.
    pub request_id: String,
    /// The client's deadline.
    pub deadline: Instant,
    /// Prompt description, if the request has one.
    pub prompt: Option<Prompt>,
    /// Namespace of the tenant's prefix cache; see [`CacheSalt`](super::cache_salt::CacheSalt).
    pub cache_namespace: CompactString,
    /// Whether the route allows an event stream as the response.
    pub streaming: bool,
    /// Whether the request can be retried if its connection turns out to be broken.
    pub is_retryable: bool,
}

/// KV cache transfers requested from a backend.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KvTransfer {
    /// Fetch missing segments from this address.
    pub fetch: Option<SocketAddrV4>,
    /// Save the segments to this address after prefill.
    pub save: Option<SocketAddrV4>,
}

/// Options that differ between the attempts of a request.
#[derive(Debug, Clone, Default)]
pub struct AttemptOptions {
    /// Version of the weights that the backend is expected to have.
    pub version: Option<u64>,
    /// Id of the last event received, if a stream is resumed.
    pub last_event_id: Option<String>,
    /// KV cache transfers to request.
    pub kv_transfer: KvTransfer,
    /// A backend that has not started its response after this time counts as failed.
    pub overdue_after: Duration,
}

/// The head of a response that may be passed to the client.
pub struct ResponseStart {
    /// Headers.
    pub head: HeaderMap,
    /// Status.
    pub status: StatusCode,
    /// Body, complete or as a stream.
    pub content: ResponseBody,
    /// The backend that sent the response.
    pub backend: Arc<Backend>,
    /// Time from the start of the attempt to the start of the response, or to its end if the
    /// response was buffered.
    pub latency: Duration,
}

/// The body of a response.
pub enum ResponseBody {
    /// A complete body.
    Buffered(Bytes),
    /// An event stream whose first bytes have arrived.
    Stream(Box<EventStream>),
}

/// An event stream in progress.
pub struct EventStream {
    /// Bytes that have arrived but have not been relayed yet.
    pub first: Bytes,
    /// The rest of the body.
    pub rest: Incoming,
    /// The connection that carries the body.
    pub connection: Connection,
    /// Counts the request as in flight at its backend.
    pub in_flight_guard: InFlightGuard,
    /// Keep-alive time that the backend announced, in seconds.
    pub keep_alive: Option<u64>,
    /// Whether the backend closes the connection after the response.
    pub closes: bool,
}

/// Why an attempt produced no response that may be passed to the client.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum AttemptError {
    /// The backend could not be reached, or nothing was written: the request was not executed.
    #[error("the backend could not be reached")]
    NotSent,
    /// The backend rejected the request without executing it.
    #[error("the backend rejected the request")]
    Rejected {
        /// The backend's Retry-After, in seconds.
        retry_after: Option<f64>,
        /// Whether the backend is another instance, or has other weights, than expected.
        misdirected: bool,
    },
    /// The connection or the response is broken; the request may have been executed.
    #[error("the connection or the response is broken")]
    Broken,
    /// The attempt was cancelled because requests must no longer start on the backend's version of
    /// the weights. The request may have been executed.
    #[error("the backend's weights became too old")]
    WeightsExpired,
}

/// Outcome of an attempt.
pub type Result = std::result::Result<ResponseStart, AttemptError>;

/// Whether a backend may have executed a request. The flag is shared with the owner of the attempt,
/// which still reads it after dropping the attempt.
#[derive(Debug, Clone, Default)]
pub struct ExecutionFlag(Arc<AtomicBool>);

impl ExecutionFlag {
    /// Returns whether the backend may have executed the request.
    pub fn may_have_executed(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn set(&self, value: bool) {
        self.0.store(value, Ordering::Relaxed);
    }
}

/// Sends a request to a backend and waits for the head of the response. If the response is overdue
/// and the backend reports no queue, a failure is recorded, but a late response is still accepted.
pub async fn send(
    upstream_request: Arc<UpstreamRequest>,
    backend: Arc<Backend>,
    options: AttemptOptions,
    prefill_tokens: u64,
    execution_flag: ExecutionFlag,
) -> Result {
    let overdue_after = options.overdue_after;
    let response = send_and_validate(
        upstream_request,
        backend.clone(),
        options,
        prefill_tokens,
        execution_flag,
    );
    tokio::pin!(response);
    if let Ok(result) = tokio::time::timeout(overdue_after, &mut response).await {
        return result;
    }
    if !backend.load().has_queue() {
        backend.record_failure();
    }
    response.await
}

async fn send_and_validate(
    upstream_request: Arc<UpstreamRequest>,
    backend: Arc<Backend>,
    options: AttemptOptions,
    prefill_tokens: u64,
    execution_flag: ExecutionFlag,
) -> Result {
    let started_at = Instant::now();
    let in_flight_guard = InFlightGuard::begin(backend.clone(), prefill_tokens);
    let mut connection = connect(&upstream_request, &backend).await?;
    let idle_time = connection.idle_time(clock::now());
    let request = build_request(&upstream_request, &backend, &options);
    execution_flag.set(true);
    let response = match connection.send(request).await {
        Ok(response) => response,
        Err(failure) => {
            record_send_failure(&backend, idle_time);
            execution_flag.set(failure == SendError::MayHaveExecuted);
            return Err(if failure == SendError::NotWritten {
                AttemptError::NotSent
            } else {
                AttemptError::Broken
            });
        }
    };
    let expected_version = options.version;
    let received = ReceivedResponse {
        upstream_request,
        backend,
        in_flight_guard,
        connection,
        started_at,
        expected_version,
    };
    let result = received.validate(response).await;
    if matches!(result, Err(AttemptError::Rejected { .. })) {
        execution_flag.set(false);
    }
    result
}

async fn connect(
    upstream_request: &UpstreamRequest,
    backend: &Backend,
) -> std::result::Result<Connection, AttemptError> {
    let remaining = upstream_request
        .deadline
        .saturating_duration_since(Instant::now());
    let connected = backend
        .connect(
            remaining.min(CONNECT_TIMEOUT),
            upstream_request.is_retryable,
        )
        .await;
    connected.map_err(|error| {
        log::debug!("connecting to backend {} failed: {error}", backend.id);
        backend.record_unreachable();
        AttemptError::NotSent
    })
}

/// Records a request that got no response, on a connection that was idle for `idle_time` before.
fn record_send_failure(backend: &Backend, idle_time: Millis) {
    if idle_time >= MIN_STALE_IDLE {
        backend.record_stale_connection(idle_time);
    } else {
        backend.record_failure();
    }
}

fn build_request(
    upstream_request: &UpstreamRequest,
    backend: &Backend,
    options: &AttemptOptions,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(upstream_request.body.clone()));
    *request.method_mut() = upstream_request.method.clone();
    *request.uri_mut() = upstream_request.uri.clone();
    let mut request_headers = upstream_request.headers.clone();
    let remaining = upstream_request
        .deadline
        .saturating_duration_since(Instant::now())
        .as_millis()
        .max(1);
    headers::set(
        &mut request_headers,
        headers::DEADLINE_MS,
        &remaining.to_string(),
    );
    headers::set(&mut request_headers, headers::EXPECT_INSTANCE, &backend.id);
    if upstream_request.prompt.is_some() {
        headers::set(
            &mut request_headers,
            headers::SALT,
            &salt(&upstream_request.cache_namespace, options.version),
        );
    }
    if let Some(version) = options.version {
        headers::set(
            &mut request_headers,
            headers::EXPECT_VERSION,
            &version.to_string(),
        );
    }
    if let Some(address) = options.kv_transfer.fetch {
        headers::set(
            &mut request_headers,
            headers::KV_FETCH,
            &address.to_string(),
        );
    }
    if let Some(address) = options.kv_transfer.save {
        headers::set(&mut request_headers, headers::KV_SAVE, &address.to_string());
    }
    if let Some(id) = &options.last_event_id {
        headers::set(&mut request_headers, headers::LAST_EVENT_ID, id);
    }
    *request.headers_mut() = request_headers;
    request
}

/// Returns a connection to the pool once it can take another request, unless it is to be closed.
pub fn recycle(
    backend: Arc<Backend>,
    mut connection: Connection,
    closes: bool,
    keep_alive: Option<u64>,
) {
    if closes {
        return;
    }
    if let Some(seconds) = keep_alive {
        connection.idle_until =
            clock::now() + (seconds * 1_000).saturating_sub(KEEP_ALIVE_MARGIN_MS);
    }
    tokio::spawn(async move {
        if connection.wait_until_ready().await {
            backend.return_connection(connection);
        }
    });
}
