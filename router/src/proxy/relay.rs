//! Relays an event stream to a client, in complete events.

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

/// Terminates an event.
const EVENT_END: &[u8] = b"\n\n";

/// The client that a stream is relayed to.
pub struct Client {
    /// Its connection.
    pub connection: ClientConnection,
    /// Keeps the connection from being idle until the stream ends.
    pub _in_flight: RequestInFlight,
}

/// A stream that is being relayed.
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
    /// Starts to relay a stream.
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

    /// The bytes for the client. An error aborts the response, so that it does not look complete.
    pub fn into_stream(self) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
        stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            let connection = relay.client.connection.clone();
            // Without a write, the server does not notice that the client has disconnected.
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

    /// The next complete events; `None` at the end.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            if let Some(complete) = self.take_complete_events() {
                return Ok(Some(complete));
            }
            let until = self.request.deadline;
            let Some(events) = &mut self.events else {
                return Ok(None);
            };
            let late = |_| io::Error::new(io::ErrorKind::TimedOut, "the time of the route is over");
            match tokio::time::timeout_at(until, events.rest.frame())
                .await
                .map_err(late)?
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

    /// Handles the regular end of the backend's response.
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
        let rest = self.buffer.split().freeze();
        (!rest.is_empty()).then_some(rest)
    }

    /// Handles a stream that broke: drops the incomplete event and resumes at another backend.
    async fn resume_elsewhere(&mut self) -> io::Result<()> {
        let broken = || {
            io::Error::new(
                io::ErrorKind::ConnectionReset,
                "the backend broke its answer off",
            )
        };
        self.backend.record_failure();
        self.events = None;
        self.buffer.clear();
        let id = self
            .last_event_id
            .clone()
            .filter(|_| self.request.route.is_idempotent())
            .ok_or_else(broken)?;
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

/// The id of the last event.
fn last_id(events: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(events).ok()?;
    let id = text
        .lines()
        .rev()
        .find_map(|line| line.strip_prefix("id:"))?;
    Some(id.trim().to_owned())
}
