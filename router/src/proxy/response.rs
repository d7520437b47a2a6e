//! Validates the responses of backends: whether a response is authentic and complete, and whether
//! the request was executed.

use super::attempt::{
    AttemptError, EventStream, ResponseBody, ResponseStart, Result, UpstreamRequest, recycle,
};
use super::backend::{Backend, InFlightGuard, ReportedLoad};
use super::connection::Connection;
use super::forwarder::INSTANCE_ID;
use super::headers;
use crate::clock;
use bytes::Bytes;
use http_body_util::{BodyExt, Collected, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use hyper::{HeaderMap, Response, StatusCode};
use std::sync::Arc;
use tokio::time::Instant;

/// Maximum size of a buffered response. All responses except streams are buffered.
const MAX_BUFFERED_BYTES: usize = 8 << 20;

/// A response whose head has arrived.
pub(super) struct ReceivedResponse {
    pub(super) upstream_request: Arc<UpstreamRequest>,
    pub(super) backend: Arc<Backend>,
    pub(super) in_flight_guard: InFlightGuard,
    pub(super) connection: Connection,
    pub(super) started_at: Instant,
    /// Version of the weights that the backend was expected to have.
    pub(super) expected_version: Option<u64>,
}

impl ReceivedResponse {
    /// Validates the response and returns its start if it may be passed to the client.
    pub(super) async fn validate(self, response: Response<Incoming>) -> Result {
        let (head, body) = response.into_parts();
        let request_id = headers::text(&head.headers, &headers::REQUEST_ID);
        let load = headers::text(&head.headers, &headers::LOAD);
        if let Some(reported) = load.and_then(|text| ReportedLoad::parse(text, clock::now())) {
            self.backend.record_load(reported);
        }
        if request_id.is_some_and(|id| id != self.upstream_request.request_id) {
            // This is the response to another request. Requests and responses on the connection do
            // not match any more, so nothing read from it can be trusted.
            self.backend.record_failure();
            return Err(AttemptError::Broken);
        }
        let not_executed = head.headers.contains_key(&headers::NOT_EXECUTED);
        if not_executed || head.status == StatusCode::MISDIRECTED_REQUEST {
            return self.reject(head.status, &head.headers, body).await;
        }
        let (sealed, success) = (
            head.headers.contains_key(&headers::SEAL),
            head.status.is_success(),
        );
        let claims_not_executed = matches!(head.status.as_u16(), 408 | 421 | 429 | 503);
        if claims_not_executed || (success && !(sealed && request_id.is_some())) {
            // The status means that the request was not executed, but the header that confirms it
            // is missing; or there is no evidence that the backend itself produced the success.
            self.backend.record_failure();
            return Err(AttemptError::Broken);
        }
        let version = headers::number(&head.headers, &headers::VERSIONS);
        if let (Some(prompt), Some(version)) = (&self.upstream_request.prompt, version) {
            self.backend.observe_version(&prompt.model, version);
        }
        let is_stream =
            success && self.upstream_request.streaming && is_event_stream(&head.headers);
        let framed = head.headers.contains_key(CONTENT_LENGTH)
            || head.headers.contains_key(TRANSFER_ENCODING);
        if !framed && !body.is_end_stream() {
            // Without framing, a truncated body can't be told from a complete one.
            self.backend.record_failure();
            return Err(AttemptError::Broken);
        }
        if is_stream {
            self.first_event(head.status, head.headers, body).await
        } else {
            self.buffered(head.status, head.headers, body).await
        }
    }

    /// Handles a rejection: the backend has not executed the request.
    async fn reject(self, status: StatusCode, head: &HeaderMap, body: Incoming) -> Result {
        let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        let retry_after = head
            .get("retry-after")
            .and_then(|value| value.to_str().ok()?.parse().ok());
        let reported = headers::number(head, &headers::VERSIONS);
        let other_instance = headers::text(head, &INSTANCE_ID).filter(|id| *id != self.backend.id);
        match (&self.upstream_request.prompt, self.expected_version) {
            _ if misdirected && other_instance.is_some() => self.backend.record_failure(),
            (Some(prompt), Some(expected)) if misdirected => {
                self.backend
                    .observe_version_mismatch(&prompt.model, expected, reported);
            }
            (Some(prompt), _) => {
                reported
                    .into_iter()
                    .for_each(|reported| self.backend.observe_version(&prompt.model, reported));
            }
            (None, _) => {}
        }
        let (backend, closes, keep_alive) = (
            self.backend.clone(),
            headers::closes(head),
            keep_alive(head),
        );
        if Limited::new(body, MAX_BUFFERED_BYTES)
            .collect()
            .await
            .is_ok()
        {
            recycle(backend, self.connection, closes, keep_alive);
        }
        Err(AttemptError::Rejected {
            retry_after,
            misdirected,
        })
    }

    /// Waits for the first bytes of an event stream.
    async fn first_event(
        mut self,
        status: StatusCode,
        head: HeaderMap,
        mut body: Incoming,
    ) -> Result {
        let first = loop {
            match body.frame().await {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if !data.is_empty() => break data,
                    _ => {}
                },
                Some(Err(_)) => {
                    self.backend.record_failure();
                    return Err(AttemptError::Broken);
                }
                None if self.connection.is_broken() => {
                    self.backend.record_failure();
                    return Err(AttemptError::Broken);
                }
                None => break Bytes::new(),
            }
        };
        self.in_flight_guard.prefill_finished();
        self.backend.record_success();
        let events = EventStream {
            first,
            rest: body,
            connection: self.connection,
            in_flight_guard: self.in_flight_guard,
            keep_alive: keep_alive(&head),
            closes: headers::closes(&head),
        };
        let latency = self.started_at.elapsed();
        let content = ResponseBody::Stream(Box::new(events));
        Ok(ResponseStart {
            head,
            status,
            content,
            backend: self.backend,
            latency,
        })
    }

    /// Buffers a response, so that a truncated response is never passed to the client.
    async fn buffered(self, status: StatusCode, head: HeaderMap, body: Incoming) -> Result {
        let collected = Limited::new(body, MAX_BUFFERED_BYTES)
            .collect()
            .await
            .map(Collected::to_bytes);
        let declared = headers::number(&head, &CONTENT_LENGTH);
        // Bytes after the response break the connection, but do not affect a response whose length
        // was declared.
        let is_complete = |bytes: &Bytes| match declared {
            Some(length) => length == bytes.len() as u64,
            None => !self.connection.is_broken(),
        };
        let Some(bytes) = collected.ok().filter(is_complete) else {
            self.backend.record_failure();
            return Err(AttemptError::Broken);
        };
        if is_backend_failure(status) {
            self.backend.record_failure()
        } else {
            self.backend.record_success()
        }
        let latency = self.started_at.elapsed();
        drop(self.in_flight_guard);
        recycle(
            self.backend.clone(),
            self.connection,
            headers::closes(&head),
            keep_alive(&head),
        );
        let content = ResponseBody::Buffered(bytes);
        Ok(ResponseStart {
            head,
            status,
            content,
            backend: self.backend,
            latency,
        })
    }
}

fn is_event_stream(head: &HeaderMap) -> bool {
    let kind = head.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    kind.is_some_and(|kind| kind.trim_start().starts_with("text/event-stream"))
}

/// Keep-alive time announced by a backend, in seconds.
fn keep_alive(head: &HeaderMap) -> Option<u64> {
    let value = headers::text(head, &headers::KEEP_ALIVE)?;
    value
        .split(',')
        .find_map(|option| option.trim().strip_prefix("timeout=")?.trim().parse().ok())
}

/// Returns whether a response states a failure of the backend itself. A gateway timeout is not
/// attributed to the backend.
pub fn is_backend_failure(status: StatusCode) -> bool {
    status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT
}
