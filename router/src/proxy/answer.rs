//! Judging the answer of a backend: whether it is proven to be its own and whole, and whether the
//! request has run.

use super::attempt::{Begun, Call, Content, Ended, Events, Result, recycle};
use super::backend::{Backend, Outstanding, Told};
use super::connection::Connection;
use super::exchange::INSTANCE_ID;
use super::headers;
use crate::clock;
use bytes::Bytes;
use http_body_util::{BodyExt, Collected, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use hyper::{HeaderMap, Response, StatusCode};
use std::sync::Arc;
use tokio::time::Instant;

/// Answers that are no streams are taken whole up to this size.
const LONGEST_BUFFERED: usize = 8 << 20;
/// An answer whose head has come.
pub(super) struct Answer {
    pub(super) call: Arc<Call>,
    pub(super) backend: Arc<Backend>,
    pub(super) outstanding: Outstanding,
    pub(super) connection: Connection,
    pub(super) begun: Instant,
    /// The version of weights that the backend was expected to have.
    pub(super) expected_version: Option<u64>,
}

impl Answer {
    /// Whether the answer may be passed on, and its start if so.
    pub(super) async fn judge(self, response: Response<Incoming>) -> Result {
        let (head, body) = response.into_parts();
        let own = headers::text(&head.headers, &headers::REQUEST_ID);
        let has_load = headers::text(&head.headers, &headers::LOAD);
        if let Some(told) = has_load.and_then(|text| Told::read(text, clock::now())) {
            self.backend.tell(told);
        }
        if own.is_some_and(|id| id != self.call.request_id) {
            // The answer to another request stands where this one's should: nothing behind it can
            // be trusted.
            self.backend.failed();
            return Err(Ended::Broken);
        }
        let not_run = head.headers.contains_key(&headers::NOT_EXECUTED);
        if not_run || head.status == StatusCode::MISDIRECTED_REQUEST {
            return self.reject(head.status, &head.headers, body).await;
        }
        let (sealed, success) = (
            head.headers.contains_key(&headers::SEAL),
            head.status.is_success(),
        );
        let promises = matches!(head.status.as_u16(), 408 | 421 | 429 | 503);
        if promises || (success && !(sealed && own.is_some())) {
            // A promise that the backend does not make, or a success that is not proven to be its
            // own.
            self.backend.failed();
            return Err(Ended::Broken);
        }
        let version = headers::number(&head.headers, &headers::VERSIONS);
        if let (Some(prompt), Some(version)) = (&self.call.prompt, version) {
            self.backend.learn_version(&prompt.model, version);
        }
        let is_stream = success && self.call.streaming && is_event_stream(&head.headers);
        let framed = head.headers.contains_key(CONTENT_LENGTH)
            || head.headers.contains_key(TRANSFER_ENCODING);
        if !framed && !body.is_end_stream() {
            // Whether such an answer is whole can't be told.
            self.backend.failed();
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
        let retry_after = head
            .get("retry-after")
            .and_then(|value| value.to_str().ok()?.parse().ok());
        let told = headers::number(head, &headers::VERSIONS);
        let other = headers::text(head, &INSTANCE_ID).filter(|id| *id != self.backend.id);
        match (&self.call.prompt, self.expected_version) {
            _ if misdirected && other.is_some() => self.backend.failed(),
            (Some(prompt), Some(expected)) if misdirected => {
                self.backend.refuted_version(&prompt.model, expected, told);
            }
            (Some(prompt), _) => {
                told.into_iter()
                    .for_each(|told| self.backend.learn_version(&prompt.model, told));
            }
            (None, _) => {}
        }
        let (backend, closes, keep_alive) = (
            self.backend.clone(),
            headers::closes(head),
            keep_alive(head),
        );
        if Limited::new(body, LONGEST_BUFFERED).collect().await.is_ok() {
            recycle(backend, self.connection, closes, keep_alive);
        }
        Err(Ended::Rejected {
            retry_after,
            misdirected,
        })
    }

    /// Waits for the first bytes of a stream.
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
        Ok(Begun {
            head,
            status,
            content,
            backend: self.backend,
            took,
        })
    }

    /// Takes an answer whole, so that one which breaks off is never passed on as if it were.
    async fn whole(self, status: StatusCode, head: HeaderMap, body: Incoming) -> Result {
        let collected = Limited::new(body, LONGEST_BUFFERED)
            .collect()
            .await
            .map(Collected::to_bytes);
        let told = headers::number(&head, &CONTENT_LENGTH);
        // Bytes behind a whole answer break the connection, and take nothing from an answer whose
        // length was told.
        let is_whole = |bytes: &Bytes| match told {
            Some(length) => length == bytes.len() as u64,
            None => !self.connection.is_broken(),
        };
        let Some(bytes) = collected.ok().filter(is_whole) else {
            self.backend.failed();
            return Err(Ended::Broken);
        };
        if is_own_failure(status) {
            self.backend.failed()
        } else {
            self.backend.succeeded()
        }
        let took = self.begun.elapsed();
        drop(self.outstanding);
        recycle(
            self.backend.clone(),
            self.connection,
            headers::closes(&head),
            keep_alive(&head),
        );
        let content = Content::Whole(bytes);
        Ok(Begun {
            head,
            status,
            content,
            backend: self.backend,
            took,
        })
    }
}

fn is_event_stream(head: &HeaderMap) -> bool {
    let kind = head.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    kind.is_some_and(|kind| kind.trim_start().starts_with("text/event-stream"))
}

/// The time that a backend keeps an idle connection, in seconds.
fn keep_alive(head: &HeaderMap) -> Option<u64> {
    let value = headers::text(head, &headers::KEEP_ALIVE)?;
    value
        .split(',')
        .find_map(|option| option.trim().strip_prefix("timeout=")?.trim().parse().ok())
}

/// Whether a backend says that it failed by its own fault; a request that was too late is nobody's.
pub fn is_own_failure(status: StatusCode) -> bool {
    status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT
}
