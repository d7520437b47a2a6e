//! One attempt: sending a request to one backend, up to the head of its response.

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
/// Minimum idle time, in milliseconds, after which a reset counts as a stale connection. A reset
/// right after the previous response is a failure of the backend instead.
const MIN_STALE_IDLE: Millis = 50;
/// A pooled connection expires this long before the backend would close it.
const KEEP_ALIVE_MARGIN_MS: u64 = 500;

/// A client's request, as it is sent to any backend.
#[derive(Debug)]
pub struct UpstreamRequest {
    /// Request method.
    pub method: Method,
    /// Path and query of the client, unchanged.
    pub uri: Uri,
    /// Headers that are forwarded.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Id of the client's attempt.
    pub request_id: String,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// Prompt description, if the request has one.
    pub prompt: Option<Prompt>,
    /// Namespace of the tenant's prefix cache; see [`CacheSalt`](super::cache_salt::CacheSalt).
    pub cache_namespace: CompactString,
    /// Whether the response is an event stream.
    pub streaming: bool,
    /// Whether the request may be sent again although it may have been executed.
    pub is_retryable: bool,
}

/// KV cache transfers that a backend is asked to make.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KvTransfer {
    /// Fetch missing segments from this address.
    pub fetch: Option<SocketAddrV4>,
    /// Save the segments to this address after prefill.
    pub save: Option<SocketAddrV4>,
}

/// Options in which attempts at the same request differ.
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
    /// The backend that sent it.
    pub backend: Arc<Backend>,
    /// Time from the start of the attempt to the response, or to its end if it was buffered.
    pub took: Duration,
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
    /// Bytes that arrived and were not passed on yet.
    pub first: Bytes,
    /// The rest of the body.
    pub rest: Incoming,
    /// The connection that carries the body.
    pub connection: Connection,
    /// Counts the request as in flight at its backend.
    pub outstanding: InFlightGuard,
    /// Keep-alive time that the backend announced, in seconds.
    pub keep_alive: Option<u64>,
    /// Whether the backend closes the connection after the response.
    pub closes: bool,
}

/// Why an attempt brought no response that may be passed on.
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
    /// The attempt was cancelled because the backend's weights became too old for the request to
    /// start there. The request may have been executed.
    #[error("the backend's weights became too old")]
    Withdrawn,
}

/// Outcome of an attempt.
pub type Result = std::result::Result<ResponseStart, AttemptError>;

/// Whether a backend may have executed a request. Shared with the owner of the attempt, which reads
/// it after dropping the attempt.
#[derive(Debug, Clone, Default)]
pub struct ExecutionFlag(Arc<AtomicBool>);

impl ExecutionFlag {
    /// Returns whether the attempt has come so far that the backend may execute the request.
    pub fn may_have_executed(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn set(&self, value: bool) {
        self.0.store(value, Ordering::Relaxed);
    }
}

/// Sends a request to a backend and waits for the head of its response. A backend that is overdue
/// without reporting a queue is recorded as failed, but its response is still accepted.
pub async fn send(
    upstream_request: Arc<UpstreamRequest>,
    backend: Arc<Backend>,
    options: AttemptOptions,
    prefill_tokens: u64,
    sent: ExecutionFlag,
) -> Result {
    let overdue_after = options.overdue_after;
    let answered = send_and_judge(
        upstream_request,
        backend.clone(),
        options,
        prefill_tokens,
        sent,
    );
    tokio::pin!(answered);
    if let Ok(result) = tokio::time::timeout(overdue_after, &mut answered).await {
        return result;
    }
    if !backend.load().has_queue() {
        backend.record_failure();
    }
    answered.await
}

async fn send_and_judge(
    upstream_request: Arc<UpstreamRequest>,
    backend: Arc<Backend>,
    options: AttemptOptions,
    prefill_tokens: u64,
    sent: ExecutionFlag,
) -> Result {
    let started_at = Instant::now();
    let outstanding = InFlightGuard::begin(backend.clone(), prefill_tokens);
    let mut connection = connect(&upstream_request, &backend).await?;
    let idle_time = connection.idle_time(clock::now());
    let request = build(&upstream_request, &backend, &options);
    sent.set(true);
    let response = match connection.send(request).await {
        Ok(response) => response,
        Err(failure) => {
            record_send_failure(&backend, idle_time);
            sent.set(failure == SendError::MayHaveExecuted);
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
        outstanding,
        connection,
        started_at,
        expected_version,
    };
    let result = received.validate(response).await;
    if matches!(result, Err(AttemptError::Rejected { .. })) {
        sent.set(false);
    }
    result
}

async fn connect(
    upstream_request: &UpstreamRequest,
    backend: &Backend,
) -> std::result::Result<Connection, AttemptError> {
    let left = upstream_request
        .deadline
        .saturating_duration_since(Instant::now());
    let connected = backend
        .connect(left.min(CONNECT_TIMEOUT), upstream_request.is_retryable)
        .await;
    connected.map_err(|error| {
        log::debug!("backend {} can't be reached: {error}", backend.id);
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

fn build(
    upstream_request: &UpstreamRequest,
    backend: &Backend,
    options: &AttemptOptions,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(upstream_request.body.clone()));
    *request.method_mut() = upstream_request.method.clone();
    *request.uri_mut() = upstream_request.uri.clone();
    let mut sent = upstream_request.headers.clone();
    let left = upstream_request
        .deadline
        .saturating_duration_since(Instant::now())
        .as_millis()
        .max(1);
    headers::set(&mut sent, headers::DEADLINE_MS, &left.to_string());
    headers::set(&mut sent, headers::EXPECT_INSTANCE, &backend.id);
    if upstream_request.prompt.is_some() {
        headers::set(
            &mut sent,
            headers::SALT,
            &salt(&upstream_request.cache_namespace, options.version),
        );
    }
    if let Some(version) = options.version {
        headers::set(&mut sent, headers::EXPECT_VERSION, &version.to_string());
    }
    if let Some(store) = options.kv_transfer.fetch {
        headers::set(&mut sent, headers::KV_FETCH, &store.to_string());
    }
    if let Some(store) = options.kv_transfer.save {
        headers::set(&mut sent, headers::KV_SAVE, &store.to_string());
    }
    if let Some(id) = &options.last_event_id {
        headers::set(&mut sent, headers::LAST_EVENT_ID, id);
    }
    *request.headers_mut() = sent;
    request
}

/// Returns a connection to the pool after its response, once it is ready for another request.
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
