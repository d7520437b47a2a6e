//! Executes requests and records each execution.

use super::{Body, SLOTS, State, WORK_HEADER, response};
use crate::history::Execution;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response};
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The interval between events of a stream.
const EVENT_GAP: Duration = Duration::from_millis(15);

/// A guard of a recorded execution, whose end is recorded on drop.
struct ExecutionGuard {
    state: Arc<State>,
    /// The index in the history.
    index: usize,
}

impl ExecutionGuard {
    fn record_arrival(state: &Arc<State>, request: u64) -> Self {
        let execution = Execution {
            request,
            backend: state.number,
            version: 0,
            arrived_at: state.environment.clock.now(),
            started_at: None,
            ended_at: None,
            backend_crashed: false,
            reused_from: Vec::new(),
        };
        let mut history = state.environment.recorder.lock();
        history.executions.push(execution);
        ExecutionGuard {
            state: state.clone(),
            index: history.executions.len() - 1,
        }
    }

    fn record_start(&self, version: u64, reused_from: Vec<u64>) {
        let now = self.state.environment.clock.now();
        let execution = &mut self.state.environment.recorder.lock().executions[self.index];
        (execution.version, execution.started_at) = (version, Some(now));
        execution.reused_from = reused_from;
    }
}

impl Drop for ExecutionGuard {
    fn drop(&mut self) {
        let now = self.state.environment.clock.now();
        let execution = &mut self.state.environment.recorder.lock().executions[self.index];
        execution.ended_at = Some(now);
        execution.backend_crashed = self.state.has_crashed.load(Ordering::Relaxed);
    }
}

/// The parameters in the headers of a request.
struct RequestHeaders {
    request: u64,
    work_ms: u64,
    events: u64,
    expected_version: Option<u64>,
    last_event: u64,
    salt: String,
    segments: Vec<String>,
}

impl RequestHeaders {
    fn parse(request: &Request<Incoming>) -> Option<Self> {
        let text = |name: &str| {
            request
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok())
        };
        let (work_ms, events) = text(WORK_HEADER)?.split_once(',')?;
        Some(RequestHeaders {
            request: u64::from_str_radix(text("x-request-id")?, 16).ok()?,
            work_ms: work_ms.parse().ok()?,
            events: events.parse().ok()?,
            expected_version: text("expect-version").and_then(|text| text.parse().ok()),
            last_event: text("last-event-id")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0),
            salt: text("cache-salt").unwrap_or_default().to_owned(),
            segments: text("x-prompt-prefix").map(segment_ids).unwrap_or_default(),
        })
    }
}

/// The ids of the segments in a prompt prefix, which has the form `ID:TOKENS,ID:TOKENS`.
fn segment_ids(prefix: &str) -> Vec<String> {
    let ids = prefix
        .split(',')
        .filter_map(|segment| segment.split_once(':'));
    ids.map(|(id, _)| id.to_owned()).collect()
}

impl State {
    pub(super) async fn execute(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let Some(headers) = RequestHeaders::parse(&request) else {
            return response(400, Bytes::new());
        };
        if self.is_misdirected(&request) {
            return response(421, Bytes::new());
        }
        let guard = ExecutionGuard::record_arrival(&self, headers.request);
        self.wait_if_hanging().await;
        let Ok(_slot) = self.slots.acquire().await else {
            return response(503, Bytes::new());
        };
        let version = self.version.load(Ordering::Relaxed);
        if headers
            .expected_version
            .is_some_and(|expected| expected != version)
        {
            let mut response = response(421, Bytes::new());
            response.headers_mut().insert("versions", version.into());
            return response;
        }
        if self.is_loading.load(Ordering::Relaxed) {
            let mut response = response(503, Bytes::new());
            response.headers_mut().insert("x-not-executed", 1.into());
            return response;
        }
        let reused = self
            .cache
            .use_segments(headers.request, &headers.salt, &headers.segments);
        guard.record_start(version, reused);
        tokio::time::sleep(Duration::from_millis(headers.work_ms)).await;
        self.respond(headers, version, guard)
    }

    fn respond(
        &self,
        headers: RequestHeaders,
        version: u64,
        guard: ExecutionGuard,
    ) -> Response<Body> {
        let id = headers.request;
        let mut response = if headers.events == 0 {
            response(200, format!("done {id:016x}").into())
        } else {
            let mut response = Response::new(event_stream(
                id,
                headers.last_event + 1,
                headers.events,
                guard,
            ));
            let kind = hyper::header::HeaderValue::from_static("text/event-stream");
            response.headers_mut().insert("content-type", kind);
            response
        };
        let head = response.headers_mut();
        let load = format!("{},0,{SLOTS}", SLOTS - self.slots.available_permits());
        for (name, value) in [
            ("x-request-id", format!("{id:016x}")),
            ("x-response-seal", format!("seal-{id:016x}")),
            ("x-server-load", load),
            ("versions", version.to_string()),
        ] {
            if let Ok(value) = value.parse() {
                head.insert(name, value);
            }
        }
        response
    }
}

/// A stream of the events from number `first` to `last`. Dropping the stream ends the execution.
fn event_stream(id: u64, first: u64, last: u64, guard: ExecutionGuard) -> Body {
    let events = stream::unfold((first, guard), move |(number, guard)| async move {
        if number > last {
            return None;
        }
        if number > first {
            tokio::time::sleep(EVENT_GAP).await;
        }
        let text = event(id, number);
        Some((
            Ok::<_, Infallible>(Frame::data(Bytes::from(text))),
            (number + 1, guard),
        ))
    });
    StreamBody::new(events).boxed_unsync()
}

/// The text of one event.
pub fn event(id: u64, number: u64) -> String {
    format!("id: {number}\ndata: {id:016x}-{number}\n\n")
}
