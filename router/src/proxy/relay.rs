//! Relays an event stream to a client. Only complete events are passed on.

use super::attempt::{EventStream, ResponseBody, ResponseStart, recycle};
use super::backend::Backend;
use super::forwarder::{AttemptHistory, ForwardRequest, Forwarder};
use crate::counters::Event;
use crate::listener::{ClientConnection, ConnectionState, RequestInFlight};
use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use futures_util::stream;
use http_body_util::BodyExt;
use std::io;
use std::sync::Arc;

/// Separator after each event.
const EVENT_END: &[u8] = b"\n\n";

/// The client that a stream is relayed to.
pub struct Client {
    /// Connection of the client.
    pub connection: ClientConnection,
    /// Prevents the idle timeout of the connection until the stream ends.
    pub _in_flight: RequestInFlight,
}

/// An event stream that is being relayed.
pub struct Relay {
    forwarder: Arc<Forwarder>,
    request: ForwardRequest,
    history: AttemptHistory,
    backend: Arc<Backend>,
    events: Option<Box<EventStream>>,
    buffer: BytesMut,
    last_event_id: Option<String>,
    client: Client,
}

impl Relay {
    /// Creates the relay of a stream that has started.
    pub fn new(
        forwarder: Arc<Forwarder>,
        request: ForwardRequest,
        history: AttemptHistory,
        backend: Arc<Backend>,
        mut events: Box<EventStream>,
        client: Client,
    ) -> Self {
        let buffer = BytesMut::from(&std::mem::take(&mut events.first)[..]);
        Relay {
            forwarder,
            request,
            history,
            backend,
            events: Some(events),
            buffer,
            last_event_id: None,
            client,
        }
    }

    /// Returns the bytes for the client. An error aborts the client's connection, so that the
    /// response does not look complete.
    pub fn into_stream(self) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
        stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            let connection = relay.client.connection.clone();
            // The HTTP server detects a disconnected client only when it writes.
            let next = tokio::select! {
                biased;
                () = connection.closed() => Err(io::ErrorKind::ConnectionAborted.into()),
                next = relay.next() => next,
            };
            match next {
                Ok(Some(bytes)) => Some((Ok(bytes), Some(relay))),
                Ok(None) => None,
                Err(error) => {
                    relay.client.connection.abort();
                    Some((Err(error), None))
                }
            }
        })
    }

    /// Returns the next complete events, or `None` at the end of the stream.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            if let Some(complete) = self.take_complete_events() {
                return Ok(Some(complete));
            }
            let deadline = self.request.deadline;
            let Some(events) = &mut self.events else {
                return Ok(None);
            };
            let timed_out = |_| io::Error::new(io::ErrorKind::TimedOut, "event stream timed out");
            match tokio::time::timeout_at(deadline, events.rest.frame())
                .await
                .map_err(timed_out)?
            {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(_)) => self.resume_elsewhere().await?,
                None if events.connection.is_broken() => self.resume_elsewhere().await?,
                None => return Ok(self.end()),
            }
        }
    }

    fn take_complete_events(&mut self) -> Option<Bytes> {
        let end = find_last(&self.buffer, EVENT_END)? + EVENT_END.len();
        let complete = self.buffer.split_to(end).freeze();
        if let Some(id) = last_id(&complete) {
            self.last_event_id = Some(id);
        }
        Some(complete)
    }

    /// Handles the regular end of the backend's response. Returns the bytes that are left, if any.
    fn end(&mut self) -> Option<Bytes> {
        if let Some(events) = self.events.take() {
            let EventStream {
                connection,
                keep_alive,
                closes,
                ..
            } = *events;
            recycle(self.backend.clone(), connection, closes, keep_alive);
        }
        let remaining = self.buffer.split().freeze();
        (!remaining.is_empty()).then_some(remaining)
    }

    /// Drops the incomplete event of a broken stream, and resumes the stream at another backend.
    async fn resume_elsewhere(&mut self) -> io::Result<()> {
        let broken = || {
            io::Error::new(
                io::ErrorKind::ConnectionReset,
                "the backend broke off the event stream",
            )
        };
        self.backend.record_failure();
        self.events = None;
        self.buffer.clear();
        let id = self.last_event_id.clone().ok_or_else(broken)?;
        let resumed = self
            .forwarder
            .resume(&self.request, &mut self.history, id)
            .await
            .ok_or_else(broken)?;
        let ResponseStart {
            backend,
            content: ResponseBody::Stream(mut events),
            ..
        } = resumed
        else {
            return Err(broken());
        };
        self.buffer
            .extend_from_slice(&std::mem::take(&mut events.first));
        (self.backend, self.events) = (backend, Some(events));
        Ok(())
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let is_unfinished = self.events.is_some();
        if is_unfinished && self.client.connection.state() == ConnectionState::ClientDisconnected {
            self.forwarder.count(Event::DisconnectedStreaming);
        }
    }
}

fn find_last(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .rposition(|window| window == wanted)
}

/// The id of the last event that has one.
fn last_id(events: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(events).ok()?;
    let id = text
        .lines()
        .rev()
        .find_map(|line| line.strip_prefix("id:"))?;
    Some(id.trim().to_owned())
}
