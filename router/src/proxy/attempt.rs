//! One send of a request to one backend, up to the start of its answer.

use super::answer::Answer;
use super::backend::{Backend, Outstanding};
use super::connection::{Connection, Failure};
use super::headers;
use super::salt::salt;
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
const CONNECT_PATIENCE: Duration = Duration::from_millis(1_000);
/// A reset right after the last answer says more of the backend than of its idle connections.
const LEAST_REST: Millis = 50;
/// A connection that is kept ends so long before the backend would close it.
const KEEP_ALIVE_MARGIN_MS: u64 = 500;

/// What a client asked for, as it goes to any backend.
#[derive(Debug)]
pub struct Call {
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
    pub wall: CompactString,
    /// Whether the answer is a series of events.
    pub streaming: bool,
    /// Whether it may be sent once more where it may have run.
    pub is_repeatable: bool,
}

/// What a send tells its backend about kept prompts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Transfer {
    /// Take missing parts from there.
    pub fetch: Option<SocketAddrV4>,
    /// Send the parts there once they are read.
    pub save: Option<SocketAddrV4>,
}

/// How one send differs from another.
#[derive(Debug, Clone, Default)]
pub struct Variant {
    /// The version of weights that the backend is to have.
    pub version: Option<u64>,
    /// Where a stream goes on.
    pub last_event_id: Option<String>,
    /// What it tells about stores.
    pub transfer: Transfer,
    /// Without the start of an answer for so long, the backend is taken to be at fault.
    pub overdue_after: Duration,
}

/// The start of an answer that may be passed on.
pub struct Begun {
    /// Its head.
    pub head: HeaderMap,
    /// Its status.
    pub status: StatusCode,
    /// What is to follow.
    pub content: Content,
    /// Where it comes from.
    pub backend: Arc<Backend>,
    /// How long it took to come.
    pub took: Duration,
}

/// The content of an answer.
pub enum Content {
    /// All of it.
    Whole(Bytes),
    /// Events, of which the first bytes have come.
    Events(Box<Events>),
}

/// A stream of events under way.
pub struct Events {
    /// Bytes that have come and were not passed on.
    pub first: Bytes,
    /// What follows.
    pub rest: Incoming,
    /// The connection on which they come.
    pub connection: Connection,
    /// Counts the request at its backend.
    pub outstanding: Outstanding,
    /// When the connection would end if it were idle from now on.
    pub keep_alive: Option<u64>,
    /// Whether the backend closes it behind the answer.
    pub closes: bool,
}

/// How a send ended that brought no answer to pass on.
#[derive(Debug, Clone, PartialEq)]
pub enum Ended {
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
pub type Result = std::result::Result<Begun, Ended>;

/// Whether bytes of a request may have reached a backend. Shared with whoever gives the send up.
#[derive(Debug, Clone, Default)]
pub struct Sent(Arc<AtomicBool>);

impl Sent {
    /// Whether the send has come so far that it may run.
    pub fn may_run(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn set(&self, value: bool) {
        self.0.store(value, Ordering::Relaxed);
    }
}

/// Sends a call to a backend and waits for the start of its answer. A backend that is overdue
/// without a reason is noted as at fault; it may answer still.
pub async fn send(
    call: Arc<Call>,
    backend: Arc<Backend>,
    variant: Variant,
    unread: u64,
    sent: Sent,
) -> Result {
    let overdue_after = variant.overdue_after;
    let answered = send_and_judge(call, backend.clone(), variant, unread, sent);
    tokio::pin!(answered);
    if let Ok(result) = tokio::time::timeout(overdue_after, &mut answered).await {
        return result;
    }
    if !backend.load().says_that_requests_wait() {
        backend.failed();
    }
    answered.await
}

async fn send_and_judge(
    call: Arc<Call>,
    backend: Arc<Backend>,
    variant: Variant,
    unread: u64,
    sent: Sent,
) -> Result {
    let begun = Instant::now();
    let outstanding = Outstanding::begin(backend.clone(), unread);
    let mut connection = connect(&call, &backend).await?;
    let rested = connection.rested(clock::now());
    let request = build(&call, &backend, &variant);
    sent.set(true);
    let response = match connection.send(request).await {
        Ok(response) => response,
        Err(failure) => {
            note_failure(&backend, rested);
            sent.set(failure == Failure::MayHaveRun);
            return Err(if failure == Failure::NotWritten {
                Ended::NotSent
            } else {
                Ended::Broken
            });
        }
    };
    let expected_version = variant.version;
    let answer = Answer {
        call,
        backend,
        outstanding,
        connection,
        begun,
        expected_version,
    };
    let result = answer.judge(response).await;
    if matches!(result, Err(Ended::Rejected { .. })) {
        sent.set(false);
    }
    result
}

async fn connect(call: &Call, backend: &Backend) -> std::result::Result<Connection, Ended> {
    let left = call.deadline.saturating_duration_since(Instant::now());
    let connected = backend
        .connect(left.min(CONNECT_PATIENCE), call.is_repeatable)
        .await;
    connected.map_err(|problem| {
        log::debug!("backend {} can't be reached: {problem}", backend.id);
        backend.was_out_of_reach();
        Ended::NotSent
    })
}

/// No answer came on a connection that had rested for so long before the request was sent.
fn note_failure(backend: &Backend, rested: Millis) {
    if rested >= LEAST_REST {
        backend.forgot_connection(rested);
    } else {
        backend.failed();
    }
}

fn build(call: &Call, backend: &Backend, variant: &Variant) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    let mut sent = call.headers.clone();
    let left = call
        .deadline
        .saturating_duration_since(Instant::now())
        .as_millis()
        .max(1);
    headers::set(&mut sent, headers::DEADLINE_MS, &left.to_string());
    headers::set(&mut sent, headers::EXPECT_INSTANCE, &backend.id);
    if call.prompt.is_some() {
        headers::set(&mut sent, headers::SALT, &salt(&call.wall, variant.version));
    }
    if let Some(version) = variant.version {
        headers::set(&mut sent, headers::EXPECT_VERSION, &version.to_string());
    }
    if let Some(store) = variant.transfer.fetch {
        headers::set(&mut sent, headers::KV_FETCH, &store.to_string());
    }
    if let Some(store) = variant.transfer.save {
        headers::set(&mut sent, headers::KV_SAVE, &store.to_string());
    }
    if let Some(id) = &variant.last_event_id {
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
        if connection.becomes_ready().await {
            backend.keep(connection);
        }
    });
}
