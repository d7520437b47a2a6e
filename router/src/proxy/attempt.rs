//! One send of a request to one backend, up to the start of its answer.

use super::backend::{Backend, InFlightGuard};
use super::cache_salt::salt;
use super::connection::{Connection, Failure};
use super::headers;
use super::response::Answer;
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
use tokio::time::Instant;

/// How long a new connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A reset right after the last answer says more of the backend than of its idle connections.
const MIN_STALE_IDLE: Millis = 50;
/// A connection that is kept ends so long before the backend would close it.
const KEEP_ALIVE_MARGIN_MS: u64 = 500;

/// What a client asked for, as it goes to any backend.
#[derive(Debug)]
pub struct UpstreamRequest {
    /// The method.
    pub method: Method,
    /// Path and query, unchanged.
    pub uri: Uri,
    /// Headers that go along.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The id of the client's try.
    pub request_id: String,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// The prompt, where the request has one.
    pub prompt: Option<Prompt>,
    /// The text under which parts are kept, without the version.
    pub cache_namespace: CompactString,
    /// Whether the answer is a series of events.
    pub streaming: bool,
    /// Whether it may be sent once more where it may have run.
    pub is_retryable: bool,
}

/// What a send tells its backend about kept prompts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KvTransfer {
    /// Take missing parts from there.
    pub fetch: Option<SocketAddrV4>,
    /// Send the parts there once they are read.
    pub save: Option<SocketAddrV4>,
}

/// How one send differs from another.
#[derive(Debug, Clone, Default)]
pub struct AttemptOptions {
    /// The version of weights that the backend is to have.
    pub version: Option<u64>,
    /// Where a stream goes on.
    pub last_event_id: Option<String>,
    /// What it tells about stores.
    pub kv_transfer: KvTransfer,
    /// Without the start of an answer for so long, the backend is taken to be at fault.
    pub overdue_after: Duration,
}

/// The start of an answer that may be passed on.
pub struct ResponseStart {
    /// Its head.
    pub head: HeaderMap,
    /// Its status.
    pub status: StatusCode,
    /// What is to follow.
    pub content: ResponseBody,
    /// Where it comes from.
    pub backend: Arc<Backend>,
    /// How long it took to come.
    pub took: Duration,
}

/// The content of an answer.
pub enum ResponseBody {
    /// All of it.
    Buffered(Bytes),
    /// Events, of which the first bytes have come.
    Stream(Box<EventStream>),
}

/// A stream of events under way.
pub struct EventStream {
    /// Bytes that have come and were not passed on.
    pub first: Bytes,
    /// What follows.
    pub rest: Incoming,
    /// The connection on which they come.
    pub connection: Connection,
    /// Counts the request at its backend.
    pub outstanding: InFlightGuard,
    /// When the connection would end if it were idle from now on.
    pub keep_alive: Option<u64>,
    /// Whether the backend closes it behind the answer.
    pub closes: bool,
}

/// How a send ended that brought no answer to pass on.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptError {
    /// The backend could not be reached, or nothing was written: it has not run.
    NotSent,
    /// The backend turned it away: it has not run.
    Rejected {
        /// The backend's advice, in seconds.
        retry_after: Option<f64>,
        /// It is another incarnation, or has other weights.
        misdirected: bool,
    },
    /// It may have run.
    Broken,
    /// It was withdrawn, as the backend's weights got too old for it to start there. It may have
    /// run.
    Withdrawn,
}

/// What came of a send.
pub type Result = std::result::Result<ResponseStart, AttemptError>;

/// Whether bytes of a request may have reached a backend. Shared with whoever gives the send up.
#[derive(Debug, Clone, Default)]
pub struct ExecutionFlag(Arc<AtomicBool>);

impl ExecutionFlag {
    /// Whether the send has come so far that it may run.
    pub fn may_have_executed(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn set(&self, value: bool) {
        self.0.store(value, Ordering::Relaxed);
    }
}

/// Sends a call to a backend and waits for the start of its answer. A backend that is overdue
/// without a reason is noted as at fault; it may answer still.
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
            sent.set(failure == Failure::MayHaveExecuted);
            return Err(if failure == Failure::NotWritten {
                AttemptError::NotSent
            } else {
                AttemptError::Broken
            });
        }
    };
    let expected_version = options.version;
    let answer = Answer {
        upstream_request,
        backend,
        outstanding,
        connection,
        started_at,
        expected_version,
    };
    let result = answer.validate(response).await;
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
    connected.map_err(|problem| {
        log::debug!("backend {} can't be reached: {problem}", backend.id);
        backend.record_unreachable();
        AttemptError::NotSent
    })
}

/// No answer came on a connection that had rested for so long before the request was sent.
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

/// Keeps a connection whose answer is over, once it is ready for another request.
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
