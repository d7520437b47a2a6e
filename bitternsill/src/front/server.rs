//! The HTTP/1.1 server connection for all services. Requests of a connection are handled one at a
//! time.

use super::arrivals::Arrivals;
use super::http::{Head, HttpError, Progress, Reader, Response};
use super::overflow::Overflow;
use super::{Gatherer, Message};
use crate::core::ports::{Answer, Caller};
use crate::limits::Limits;
use crate::net::{Connection, Context, Input, Ready, Stream};
use dispatch::interface::Time;
use std::io;

/// The context of a callback.
pub type Cx<'a> = Context<'a, Gatherer>;

/// The result of handling a request.
pub enum Handled {
    /// The request is answered.
    Done(Response),
    /// The core handles the request; its answer is passed to [`Service::answer`].
    Waiting,
}

/// The service on a connection.
pub trait Service {
    /// Handles a complete request.
    fn request(&mut self, cx: &mut Cx<'_>, head: &Head, body: &[u8]) -> Handled;

    /// Turns the core's answer into a response, or submits a further query for the same request.
    fn answer(&mut self, cx: &mut Cx<'_>, answer: &Answer) -> Handled;

    /// Whether a connection may serve more than one request.
    fn keeps_alive(&self) -> bool {
        true
    }

    /// The time limit for receiving the first request, from when the client connected.
    fn read_timeout(&self, limits: &Limits) -> Time {
        limits.request_read
    }

    /// Called before the connection is dropped.
    fn closed(&mut self, _cx: &mut Cx<'_>) {}
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Idle, or reading a request.
    Reading,
    /// The core handles the request. `keep` tells whether to keep the connection after the answer.
    Waiting { keep: bool },
    /// The last answer is being written.
    Ending,
    /// Everything is written; waiting until this time for the client to close the connection.
    Lingering(Time),
}

/// A client's HTTP connection.
pub struct HttpConnection {
    service: Box<dyn Service>,
    stream: Stream,
    input: Vec<u8>,
    reader: Reader,
    state: State,
    /// Whether `100 Continue` was sent for the current request.
    continued: bool,
    /// The number of complete requests received.
    requests: u32,
    /// When the bytes in `input` arrived.
    arrivals: Arrivals,
    /// The pipelined requests beyond those that are buffered while a request is in flight.
    overflow: Option<Overflow>,
    /// Since when reading is paused, as the client does not read its answers and has sent more.
    paused: Option<Time>,
    /// Whether the client has ended its output; answers are still written.
    input_ended: bool,
}

impl HttpConnection {
    /// Creates the connection object for an accepted socket.
    pub fn accept(
        service: Box<dyn Service>,
        stream: Stream,
        world: &Gatherer,
    ) -> Box<dyn Connection<Gatherer>> {
        let reader = Reader::requests(world.limits.head_bytes, world.limits.body_bytes);
        let state = State::Reading;
        Box::new(HttpConnection {
            service,
            stream,
            input: Vec::new(),
            reader,
            state,
            continued: false,
            requests: 0,
            arrivals: Arrivals::default(),
            overflow: None,
            paused: None,
            input_ended: false,
        })
    }

    /// Reads from the socket and records when the bytes arrived. Bytes that are read after a pause
    /// may have arrived as early as the start of the pause.
    fn read_input(&mut self, cx: &Cx<'_>) -> io::Result<Input> {
        if let Some(overflow) = &mut self.overflow {
            let mut excess = Vec::new();
            let end = self.stream.read(&mut excess, cx.world.limits.read_burst);
            overflow.take(&mut excess);
            return end;
        }
        let (buffered, limits) = (self.input.len(), &cx.world.limits);
        // While a request is in flight, the buffer has room for one more request of any size.
        let is_waiting = matches!(self.state, State::Waiting { .. });
        let max_bytes = if is_waiting {
            limits.body_bytes.saturating_sub(buffered)
        } else {
            usize::MAX
        };
        let end = self
            .stream
            .read(&mut self.input, limits.read_burst.min(max_bytes));
        self.arrivals.read(
            self.input.len() - buffered,
            self.paused.take().unwrap_or(cx.since),
        );
        end
    }

    /// If more than the buffer holds arrived while a request is in flight, drops the excess.
    fn drop_excess_input(&mut self, cx: &Cx<'_>) {
        let (limits, buffered) = (&cx.world.limits, self.input.len());
        let is_waiting = matches!(self.state, State::Waiting { .. }) && self.overflow.is_none();
        if is_waiting && buffered >= limits.body_bytes {
            let reader = Reader::requests(limits.head_bytes, limits.body_bytes);
            self.overflow = Some(Overflow::begin(&mut self.input, reader));
            self.arrivals.dropped(buffered - self.input.len());
        }
    }

    /// Rejects one dropped request once all requests before it are answered, or resumes parsing
    /// after the last one. Returns whether anything was done.
    fn reject_overflow(&mut self, cx: &mut Cx<'_>) -> bool {
        if !self.input.is_empty() || !self.reader.is_fresh() {
            return false;
        }
        let Some(mut overflow) = self.overflow.take() else {
            return false;
        };
        if overflow.take_rejection() {
            self.overflow = Some(overflow);
            cx.world
                .reject_request("too many pipelined requests", "a pipelined request", cx.now);
            self.respond(
                cx,
                &Response {
                    status: 503,
                    content_type: "text/plain",
                    ..Response::default()
                },
                true,
                false,
            );
            return true;
        }
        match overflow.end() {
            Ok((reader, input)) => {
                (self.reader, self.input) = (reader, input);
                self.arrivals.read(self.input.len(), cx.since);
            }
            Err(problem) => self.reject(cx, problem),
        }
        true
    }

    /// Parses the input and handles complete requests, one at a time.
    fn read_requests(&mut self, cx: &mut Cx<'_>) {
        // If the client does not read its answers, stop handling requests, as unsent answers would
        // accumulate.
        while self.state == State::Reading && self.stream.unwritten() < cx.world.limits.output_bytes
        {
            if self.reject_overflow(cx) {
                continue;
            }
            let was_fresh = self.reader.is_fresh();
            let buffered = self.input.len();
            let progress = self.reader.read(&mut self.input);
            let arrived = self.arrivals.parsed(buffered - self.input.len());
            match progress {
                Ok(Progress::Whole) => {
                    let (head, body) = self.reader.take();
                    self.continued = false;
                    // The client has waited since the last byte of this request arrived, even if
                    // earlier requests were being answered meanwhile.
                    let since = cx.since;
                    cx.since = arrived.unwrap_or(since);
                    self.request(cx, &head, &body);
                    cx.since = since;
                }
                Ok(Progress::More) => {
                    if was_fresh && !self.reader.is_fresh() {
                        cx.world.clients.set_partial(cx.token, cx.now);
                        // The timer for a first request has run since the client connected.
                        if self.requests > 0 {
                            cx.set_timer(cx.now + cx.world.limits.request_read);
                        }
                    }
                    let expects_continue = self
                        .reader
                        .head
                        .as_ref()
                        .is_some_and(Head::expects_continue);
                    if expects_continue && !std::mem::replace(&mut self.continued, true) {
                        self.stream.push(b"HTTP/1.1 100 Continue\r\n\r\n");
                    }
                    return;
                }
                Err(problem) => {
                    self.reject(cx, problem);
                    return;
                }
            }
        }
    }

    fn reject(&mut self, cx: &mut Cx<'_>, problem: HttpError) {
        cx.world
            .reject_request(&problem.to_string(), "a malformed HTTP request", cx.now);
        self.respond(
            cx,
            &Response::text(problem.status(), problem.to_string()),
            false,
            true,
        );
    }

    fn request(&mut self, cx: &mut Cx<'_>, head: &Head, body: &[u8]) {
        let keep = head.keeps_alive();
        let with_body = head.start.0 != "HEAD";
        self.requests = self.requests.saturating_add(1);
        match self.service.request(cx, head, body) {
            // After an invalid request the input may be out of sync, as its length may be wrong.
            Handled::Done(response) => {
                let keep = keep && !(400..500).contains(&response.status);
                self.respond(cx, &response, keep, with_body);
            }
            Handled::Waiting => {
                self.state = State::Waiting { keep };
                cx.world.clients.set_busy(cx.token);
                cx.clear_timer();
            }
        }
    }

    fn respond(&mut self, cx: &mut Cx<'_>, response: &Response, keep: bool, with_body: bool) {
        // Pipelined requests that were received are answered before the connection is closed.
        let keep = keep
            && self.service.keeps_alive()
            && (!cx.world.closes_connections(cx.now) || self.has_unhandled_input(cx));
        self.stream.push(&response.encode(!keep, with_body));
        if keep {
            self.state = State::Reading;
            self.become_idle(cx);
        } else {
            self.close_after_flush(cx, cx.world.limits.request_read);
        }
    }

    /// Whether the client has sent anything that is not handled yet.
    fn has_unhandled_input(&mut self, cx: &Cx<'_>) -> bool {
        // An end of the stream or an error is reported again by the next read.
        let _ = self.read_input(cx);
        !self.input.is_empty() || self.overflow.as_ref().is_some_and(Overflow::is_pending)
    }

    /// Starts to close the connection: writes what is pending, ends the output, and then reads and
    /// drops input for some time, as a close with unread input would reset the connection before
    /// the client has read its answers. No further request is handled.
    fn close_after_flush(&mut self, cx: &mut Cx<'_>, timeout: Time) {
        cx.world.clients.set_busy(cx.token);
        self.state = State::Ending;
        (self.input, self.overflow) = (Vec::new(), None);
        cx.set_timer(cx.now + timeout);
    }

    /// Handles the end of the client's output. A query in flight is abandoned. Answers that exist
    /// or are available at once are still written, as the client may have closed one direction
    /// only.
    fn client_ended(&mut self, cx: &mut Cx<'_>) {
        self.read_requests(cx);
        if matches!(self.state, State::Waiting { .. }) || self.stream.flush().is_err() {
            return cx.close();
        }
        if self.stream.unwritten() == 0 {
            return cx.close();
        }
        self.input_ended = true;
        self.close_after_flush(cx, cx.world.limits.request_read);
        self.flush(cx);
    }

    fn time_out(&mut self, cx: &mut Cx<'_>) {
        // During a drain, another gatherer can still serve the request.
        let status = if cx.world.orders.drain.is_under_way() {
            503
        } else {
            408
        };
        self.respond(
            cx,
            &Response::text(status, "the request did not come in time"),
            false,
            true,
        );
        self.flush(cx);
    }

    /// Marks the connection as idle, so that it may be evicted, and starts the idle timer.
    fn become_idle(&mut self, cx: &mut Cx<'_>) {
        cx.world.clients.set_idle(cx.token, cx.now, self.requests);
        cx.world
            .clients
            .evict_single_request(cx.net, cx.now, &cx.world.limits);
        // Clients that send one request and stay connected would in time use up all connections.
        let timeout = if self.requests > 1 {
            cx.world.limits.client_idle
        } else {
            cx.world.limits.single_request_idle
        };
        cx.set_timer(cx.now + timeout);
    }

    /// Writes pending output and updates the events for which the socket is registered.
    fn flush(&mut self, cx: &mut Cx<'_>) {
        self.drop_excess_input(cx);
        // If the client does not read its answers, leave its input in the socket, so that it cannot
        // accumulate here.
        let stalled = self.stream.unwritten() >= cx.world.limits.output_bytes;
        let reading = matches!(self.state, State::Reading);
        let paused = stalled && reading && self.input.len() >= cx.world.limits.head_bytes;
        self.paused = paused.then(|| self.paused.unwrap_or(cx.now));
        let ready = match (self.input_ended, paused) {
            (true, _) => Ready::default(),
            (_, true) => Ready::END,
            _ => Ready::READ,
        };
        match self.stream.flush_and_arm(cx.net, cx.token, ready) {
            Ok(false) if self.state == State::Ending => {
                // Closing now could reset the connection before the client has read the answer.
                self.stream.end_output();
                self.state = State::Lingering(cx.now + cx.world.limits.max_linger);
                cx.world.clients.set_partial(cx.token, cx.now);
                cx.set_timer(cx.now + cx.world.limits.linger);
            }
            Ok(_) => {}
            Err(problem) => {
                tracing::debug!(%problem, "client connection broke");
                cx.close();
            }
        }
    }
}

impl HttpConnection {
    /// Closes an idle connection, or with `evict` also one that has received part of a request.
    /// Complete requests that have already arrived are served first, as closing would lose them.
    fn close_if_idle(&mut self, cx: &mut Cx<'_>, evict: bool) {
        match self.read_input(cx) {
            Ok(Input::Open) => self.read_requests(cx),
            Ok(Input::Ended) => return self.client_ended(cx),
            Err(_) => return cx.close(),
        }
        match (self.state, self.reader.is_fresh()) {
            // There is no answer that the client may still have to read.
            (State::Reading, true) if evict && self.requests == 0 => return cx.close(),
            // The client may not have read its answers yet, or be sending a request.
            (State::Reading, true) => self.close_after_flush(cx, cx.world.limits.linger),
            // The grace period for partial requests is over.
            (State::Reading, false) if evict => return self.time_out(cx),
            _ => {}
        }
        self.flush(cx);
    }

    /// Drops input after the last answer, so that no reset discards the answer before the client
    /// has read it.
    fn drain(&mut self, cx: &mut Cx<'_>, ready: Ready) {
        self.input = Vec::new();
        if ready.readable {
            match (self.stream.discard(cx.world.limits.read_burst), self.state) {
                (Ok((_, Input::Open)), State::Lingering(until)) => {
                    return cx.set_timer(until.min(cx.now + cx.world.limits.linger));
                }
                (Ok((_, Input::Open)), _) => {}
                // The client has ended its output, but may still be reading the last answer.
                (Ok((_, Input::Ended)), State::Ending) => {
                    if self.stream.flush().is_err() || self.stream.unwritten() == 0 {
                        return cx.close();
                    }
                    self.input_ended = true;
                }
                _ => return cx.close(),
            }
        }
        self.flush(cx);
    }
}

impl Connection<Gatherer> for HttpConnection {
    fn opened(&mut self, cx: &mut Cx<'_>) -> io::Result<()> {
        // The listener added the connection as unused, and it stays so until its first byte.
        cx.set_timer(cx.now + self.service.read_timeout(&cx.world.limits));
        self.stream.arm(cx.net, cx.token, Ready::READ)
    }

    fn ready(&mut self, cx: &mut Cx<'_>, ready: Ready) {
        if matches!(self.state, State::Ending | State::Lingering(_)) {
            return self.drain(cx, ready);
        }
        // While reading is paused, the end of the stream cannot be read, but epoll reports it.
        if ready.ended && self.paused.is_some() {
            return cx.close();
        }
        if ready.readable {
            match self.read_input(cx) {
                Ok(Input::Open) => self.read_requests(cx),
                Ok(Input::Ended) => return self.client_ended(cx),
                Err(_) => return cx.close(),
            }
        }
        self.flush(cx);
        if ready.writable && (!self.input.is_empty() || self.overflow.is_some()) && !cx.is_closing()
        {
            // Continue with the requests that were waiting for the client to read its answers.
            self.read_requests(cx);
            self.flush(cx);
        }
    }

    fn deliver(&mut self, cx: &mut Cx<'_>, message: Message) {
        match message {
            Message::Answer(_, answer) => {
                if let State::Waiting { keep } = self.state
                    && let Handled::Done(response) = self.service.answer(cx, &answer)
                {
                    self.respond(cx, &response, keep, true);
                    self.read_requests(cx);
                    self.flush(cx);
                }
            }
            Message::Evict if matches!(self.state, State::Lingering(_)) => cx.close(),
            Message::Evict | Message::Retire => {
                if self.state != State::Reading {
                    return;
                }
                self.close_if_idle(cx, matches!(message, Message::Evict));
            }
            _ => {}
        }
    }

    fn timer(&mut self, cx: &mut Cx<'_>) {
        match self.state {
            State::Reading if !self.reader.is_fresh() => self.time_out(cx),
            State::Reading => self.close_if_idle(cx, false),
            State::Waiting { .. } => {}
            State::Ending | State::Lingering(_) => cx.close(),
        }
    }

    fn closed(&mut self, cx: &mut Cx<'_>) {
        if matches!(self.state, State::Waiting { .. }) {
            cx.world.core.client_left(Caller::only(cx.token.bits()));
        }
        cx.world.clients.remove(cx.token);
        self.service.closed(cx);
    }
}
