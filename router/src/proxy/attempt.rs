//! One send of a request to one backend, up to the start of its answer.

use super::backend::{Backend, Outstanding, Told};
use super::connection::{Connection, Failure};
use super::headers;
use super::salt::salt;
use super::stores::Transfer;
use crate::clock;
use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::{BodyExt, Collected, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use routing::prompt::Prompt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Answers that are no streams are taken whole up to this size.
const LONGEST_BUFFERED: usize = 8 << 20;
/// How long a new connection may take.
const CONNECT_PATIENCE: Duration = Duration::from_millis(1_000);
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

/// Sends a call to a backend and waits for the start of its answer.
pub async fn send(
    call: Arc<Call>,
    backend: Arc<Backend>,
    variant: Variant,
    unread: u64,
    sent: Sent,
) -> Result {
    let begun = Instant::now();
    let outstanding = Outstanding::begin(backend.clone(), unread);
    let left = call.deadline.saturating_duration_since(begun);
    let connection = match backend.connect(left.min(CONNECT_PATIENCE)).await {
        Ok(connection) => connection,
        Err(problem) => {
            log::debug!("backend {} can't be reached: {problem}", backend.id);
            backend.failed();
            return Err(Ended::NotSent);
        }
    };
    let request = build(&call, &backend, &variant);
    sent.set(true);
    let mut connection = connection;
    let response = match connection.send(request).await {
        Ok(response) => response,
        Err(failure) => {
            backend.failed();
            sent.set(failure == Failure::MayHaveRun);
            return Err(if failure == Failure::NotWritten { Ended::NotSent } else { Ended::Broken });
        }
    };
    let answer = Answer { call, backend, outstanding, connection, begun };
    let result = answer.judge(response).await;
    if matches!(result, Err(Ended::Rejected { .. })) {
        sent.set(false);
    }
    result
}

fn build(call: &Call, backend: &Backend, variant: &Variant) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    let mut sent = call.headers.clone();
    let left = call.deadline.saturating_duration_since(Instant::now()).as_millis().max(1);
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

/// An answer whose head has come.
struct Answer {
    call: Arc<Call>,
    backend: Arc<Backend>,
    outstanding: Outstanding,
    connection: Connection,
    begun: Instant,
}

impl Answer {
    async fn judge(self, response: Response<Incoming>) -> Result {
        let (head, body) = response.into_parts();
        let own = headers::text(&head.headers, &headers::REQUEST_ID);
        let has_load = headers::text(&head.headers, &headers::LOAD);
        if let Some(told) = has_load.and_then(|text| Told::read(text, clock::now())) {
            self.backend.tell(told);
        }
        if own.is_some_and(|id| id != self.call.request_id) {
            // The answer to another request stands where this one's should: nothing behind it can be trusted.
            return Err(Ended::Broken);
        }
        let not_run = head.headers.contains_key(&headers::NOT_EXECUTED);
        if not_run || head.status == StatusCode::MISDIRECTED_REQUEST {
            return self.reject(head.status, &head.headers, body).await;
        }
        let (sealed, success) = (head.headers.contains_key(&headers::SEAL), head.status.is_success());
        let promises = matches!(head.status.as_u16(), 408 | 421 | 429 | 503);
        if promises || (success && !(sealed && own.is_some())) {
            // A promise that the backend does not make, or a success that is not proven to be its own.
            return Err(Ended::Broken);
        }
        let version = headers::number(&head.headers, &headers::VERSIONS);
        if let (Some(prompt), Some(version)) = (&self.call.prompt, version) {
            self.backend.learn_version(&prompt.model, version);
        }
        let is_stream = success && self.call.streaming && is_event_stream(&head.headers);
        let framed =
            head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING);
        if !framed && !body.is_end_stream() {
            // Whether such an answer is whole can't be told.
            return Err(Ended::Broken);
        }
        if is_stream {
            self.first_event(head.status, head.headers, body).await
        } else {
            self.whole(head.status, head.headers, body).await
        }
    }

    /// The backend has not run the request.
    async fn reject(self, status: StatusCode, head: &HeaderMap, body: Incoming) -> Result {
        let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        let retry_after = head.get("retry-after").and_then(|value| value.to_str().ok()?.parse().ok());
        if let (Some(prompt), Some(version)) = (&self.call.prompt, headers::number(head, &headers::VERSIONS))
        {
            self.backend.learn_version(&prompt.model, version);
        }
        if misdirected {
            let other = headers::text(head, &super::exchange::INSTANCE_ID);
            if other.is_some_and(|id| id != self.backend.id) {
                self.backend.failed();
            }
        }
        let (backend, closes, keep_alive) = (self.backend.clone(), headers::closes(head), keep_alive(head));
        if Limited::new(body, LONGEST_BUFFERED).collect().await.is_ok() {
            recycle(backend, self.connection, closes, keep_alive);
        }
        Err(Ended::Rejected { retry_after, misdirected })
    }

    /// Waits for the first bytes of a stream.
    async fn first_event(mut self, status: StatusCode, head: HeaderMap, mut body: Incoming) -> Result {
        let first = loop {
            match body.frame().await {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if !data.is_empty() => break data,
                    _ => {}
                },
                Some(Err(_)) => {
                    self.backend.failed();
                    return Err(Ended::Broken);
                }
                None if self.connection.is_broken() => {
                    self.backend.failed();
                    return Err(Ended::Broken);
                }
                None => break Bytes::new(),
            }
        };
        self.outstanding.was_read();
        self.backend.succeeded();
        let events = Events {
            first,
            rest: body,
            connection: self.connection,
            outstanding: self.outstanding,
            keep_alive: keep_alive(&head),
            closes: headers::closes(&head),
        };
        let took = self.begun.elapsed();
        let content = Content::Events(Box::new(events));
        Ok(Begun { head, status, content, backend: self.backend, took })
    }

    /// Takes an answer whole, so that one which breaks off is never passed on as if it were.
    async fn whole(self, status: StatusCode, head: HeaderMap, body: Incoming) -> Result {
        let collected = Limited::new(body, LONGEST_BUFFERED).collect().await.map(Collected::to_bytes);
        let told = headers::number(&head, &CONTENT_LENGTH);
        let Some(bytes) = collected.ok().filter(|bytes| {
            !self.connection.is_broken() && told.is_none_or(|length| length == bytes.len() as u64)
        }) else {
            self.backend.failed();
            return Err(Ended::Broken);
        };
        self.backend.succeeded();
        let took = self.begun.elapsed();
        drop(self.outstanding);
        recycle(self.backend.clone(), self.connection, headers::closes(&head), keep_alive(&head));
        let content = Content::Whole(bytes);
        Ok(Begun { head, status, content, backend: self.backend, took })
    }
}

fn is_event_stream(head: &HeaderMap) -> bool {
    let kind = head.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    kind.is_some_and(|kind| kind.trim_start().starts_with("text/event-stream"))
}

/// The time that a backend keeps an idle connection, in seconds.
fn keep_alive(head: &HeaderMap) -> Option<u64> {
    let value = headers::text(head, &headers::KEEP_ALIVE)?;
    value.split(',').find_map(|option| option.trim().strip_prefix("timeout=")?.trim().parse().ok())
}

/// Keeps a connection whose answer is over, once it is ready for another request.
pub fn recycle(backend: Arc<Backend>, mut connection: Connection, closes: bool, keep_alive: Option<u64>) {
    if closes {
        return;
    }
    if let Some(seconds) = keep_alive {
        connection.idle_until = clock::now() + (seconds * 1_000).saturating_sub(KEEP_ALIVE_MARGIN_MS);
    }
    tokio::spawn(async move {
        if connection.becomes_ready().await {
            backend.keep(connection);
        }
    });
}
