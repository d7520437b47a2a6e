//! Executes requests and records each execution.

use super::{Body, SLOTS, State, WORK_HEADER, answer};
use crate::history::Run;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response};
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The time between two events of a stream.
const EVENT_GAP: Duration = Duration::from_millis(15);

/// A recorded execution; it ends when this is dropped.
struct Running {
    state: Arc<State>,
    at: usize,
}

impl Running {
    fn arrive(state: &Arc<State>, request: u64) -> Self {
        let run = Run {
            request,
            backend: state.number,
            version: 0,
            arrived_at: state.environment.clock.now(),
            begun_at: None,
            ended_at: None,
            broke_off: false,
        };
        let mut history = state.environment.recorder.open();
        history.runs.push(run);
        Running {
            state: state.clone(),
            at: history.runs.len() - 1,
        }
    }

    fn begin(&self, version: u64) {
        let now = self.state.environment.clock.now();
        let run = &mut self.state.environment.recorder.open().runs[self.at];
        (run.version, run.begun_at) = (version, Some(now));
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let now = self.state.environment.clock.now();
        let run = &mut self.state.environment.recorder.open().runs[self.at];
        run.ended_at = Some(now);
        run.broke_off = self.state.has_crashed.load(Ordering::Relaxed);
    }
}

/// What the headers of a request ask for.
struct RequestHeaders {
    request: u64,
    work_ms: u64,
    events: u64,
    expected_version: Option<u64>,
    last_event: u64,
}

impl RequestHeaders {
    fn read(request: &Request<Incoming>) -> Option<Self> {
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
        })
    }
}

impl State {
    pub(super) async fn run(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let Some(headers) = RequestHeaders::read(&request) else {
            return answer(400, Bytes::new());
        };
        if self.is_misdirected(&request) {
            return answer(421, Bytes::new());
        }
        let running = Running::arrive(&self, headers.request);
        self.hang().await;
        let Ok(_slot) = self.slots.acquire().await else {
            return answer(503, Bytes::new());
        };
        let version = self.version.load(Ordering::Relaxed);
        if headers
            .expected_version
            .is_some_and(|expected| expected != version)
        {
            let mut response = answer(421, Bytes::new());
            response.headers_mut().insert("versions", version.into());
            return response;
        }
        if self.is_loading.load(Ordering::Relaxed) {
            let mut response = answer(503, Bytes::new());
            response.headers_mut().insert("x-not-executed", 1.into());
            return response;
        }
        running.begin(version);
        tokio::time::sleep(Duration::from_millis(headers.work_ms)).await;
        self.respond(headers, version, running)
    }

    fn respond(&self, headers: RequestHeaders, version: u64, running: Running) -> Response<Body> {
        let id = headers.request;
        let mut response = if headers.events == 0 {
            answer(200, format!("done {id:016x}").into())
        } else {
            let mut response =
                Response::new(events(id, headers.last_event + 1, headers.events, running));
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

/// The events of a stream from one number to another. The execution ends when the stream is
/// dropped.
fn events(id: u64, first: u64, last: u64, running: Running) -> Body {
    let events = stream::unfold((first, running), move |(number, running)| async move {
        if number > last {
            return None;
        }
        if number > first {
            tokio::time::sleep(EVENT_GAP).await;
        }
        let text = event(id, number);
        Some((
            Ok::<_, Infallible>(Frame::data(Bytes::from(text))),
            (number + 1, running),
        ))
    });
    StreamBody::new(events).boxed_unsync()
}

/// The text of one event.
pub fn event(id: u64, number: u64) -> String {
    format!("id: {number}\ndata: {id:016x}-{number}\n\n")
}
