//! The server's side of HTTP/1.1, whatever is served on it: one request at a time, one answer to
//! each.

use super::arrivals::Arrivals;
use super::http::{Head, HttpError, Progress, Reader, Response};
use super::overflow::Overflow;
use super::{Gatherer, Message};
use crate::core::ports::{Answer, Caller};
use crate::limits::Limits;
use crate::net::{Connection, Context, Input, Ready, Stream};
use dispatch::interface::Time;
use std::io;

/// A callback's surroundings.
pub type Cx<'a> = Context<'a, Gatherer>;

/// What became of a request.
pub enum Handled {
    /// It is answered.
    Done(Response),
    /// The core has it; its answer will come through [`Service::answer`].
    Waiting,
}

/// What is served on a connection.
pub trait Service {
    /// Takes a whole request.
    fn request(&mut self, cx: &mut Cx<'_>, head: &Head, body: &[u8]) -> Handled;

    /// Words the core's answer to the request that waits, or asks the core further.
    fn answer(&mut self, cx: &mut Cx<'_>, answer: &Answer) -> Handled;

    /// Whether a connection may have more than one request.
    fn keeps_alive(&self) -> bool {
        true
    }

    /// How long a connection may take over its first request.
    fn read_timeout(&self, limits: &Limits) -> Time {
        limits.request_read
    }

    /// Its connection is about to be dropped.
    fn closed(&mut self, _cx: &mut Cx<'_>) {}
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Between requests, or reading one.
    Reading,
    /// A query is with the core.
    Waiting { keep: bool },
    /// The last answer is being written.
    Ending,
    /// Everything is written; the client's end is awaited until this time at the latest.
    Lingering(Time),
}

/// One client's connection.
pub struct HttpConnection {
    service: Box<dyn Service>,
    stream: Stream,
    input: Vec<u8>,
    reader: Reader,
    state: State,
    continued: bool,
    /// Whole requests that have come.
    requests: u32,
    /// When the bytes of `input` came.
    arrivals: Arrivals,
    /// What came behind more than is kept while a request waits.
    overflow: Option<Overflow>,
    /// Since when nothing has been read, as the client does not read its answers and enough of what
    /// it sent waits here.
    paused: Option<Time>,
    /// The client has sent its last byte, and is still told what had been asked before.
    said_all: bool,
}

impl HttpConnection {
    /// The connection object of an accepted socket.
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
            said_all: false,
        })
    }

    /// Reads what is there, and notes when it came: what a pause has kept waiting may have been
    /// there since its begin.
    fn read_input(&mut self, cx: &Cx<'_>) -> io::Result<Input> {
        if let Some(overflow) = &mut self.overflow {
            let mut more = Vec::new();
            let end = self.stream.read(&mut more, cx.world.limits.read_burst);
            overflow.take(&mut more);
            return end;
        }
        let (before, limits) = (self.input.len(), &cx.world.limits);
        // What waits behind a request has room for one more of any size, and no more than that is
        // kept.
        let waits = matches!(self.state, State::Waiting { .. });
        let most = if waits {
            limits.body_bytes.saturating_sub(before)
        } else {
            usize::MAX
        };
        let end = self
            .stream
            .read(&mut self.input, limits.read_burst.min(most));
        self.arrivals.read(
            self.input.len() - before,
            self.paused.take().unwrap_or(cx.since),
        );
        end
    }

    /// Where more has come behind a request that waits than is kept, drops what is too much.
    fn shrink_buffers(&mut self, cx: &Cx<'_>) {
        let (limits, before) = (&cx.world.limits, self.input.len());
        let waits = matches!(self.state, State::Waiting { .. }) && self.overflow.is_none();
        if waits && before >= limits.body_bytes {
            let reader = Reader::requests(limits.head_bytes, limits.body_bytes);
            self.overflow = Some(Overflow::begin(&mut self.input, reader));
            self.arrivals.dropped(before - self.input.len());
        }
    }

    /// Refuses what was not kept, once all before it is answered, and goes on with what follows
    /// that; says whether it did.
    fn reject_overflow(&mut self, cx: &mut Cx<'_>) -> bool {
        if !self.input.is_empty() || !self.reader.is_fresh() {
            return false;
        }
        let Some(mut overflow) = self.overflow.take() else {
            return false;
        };
        if overflow.take_rejection() {
            self.overflow = Some(overflow);
            cx.world.reject_request(
                "too much behind a request that waits",
                "a request behind others",
                cx.now,
            );
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

    /// Parses what has come and acts on whole requests, one at a time.
    fn read_requests(&mut self, cx: &mut Cx<'_>) {
        // Who reads no answers gets no more of them: they would pile up here.
        while self.state == State::Reading && self.stream.unwritten() < cx.world.limits.output {
            if self.reject_overflow(cx) {
                continue;
            }
            let fresh = self.reader.is_fresh();
            let before = self.input.len();
            let progress = self.reader.read(&mut self.input);
            let came = self.arrivals.parsed(before - self.input.len());
            match progress {
                Ok(Progress::Whole) => {
                    let (head, body) = self.reader.take();
                    self.continued = false;
                    // Its client has waited since its last byte, however long others were answered
                    // before it.
                    let since = cx.since;
                    cx.since = came.unwrap_or(since);
                    self.request(cx, &head, &body);
                    cx.since = since;
                }
                Ok(Progress::More) => {
                    if fresh && !self.reader.is_fresh() {
                        cx.world.clients.set_partial(cx.token, cx.now);
                        // A first request's time runs from when its client connected.
                        if self.requests > 0 {
                            cx.set_timer(cx.now + cx.world.limits.request_read);
                        }
                    }
                    let waits = self
                        .reader
                        .head
                        .as_ref()
                        .is_some_and(Head::expects_continue);
                    if waits && !std::mem::replace(&mut self.continued, true) {
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
        cx.world.reject_request(
            &problem.to_string(),
            "something that is no HTTP request",
            cx.now,
        );
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
            // What follows a request that makes no sense may make none either: its length may have
            // been wrong.
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
        // What came behind a request was taken with it: the last of the answers closes the
        // connection.
        let keep = keep
            && self.service.keeps_alive()
            && (!cx.world.closes_connections(cx.now) || self.has_more(cx));
        self.stream.push(&response.encode(!keep, with_body));
        if keep {
            self.state = State::Reading;
            self.become_idle(cx);
        } else {
            self.end_with(cx, cx.world.limits.request_read);
        }
    }

    fn has_more(&mut self, cx: &Cx<'_>) -> bool {
        // An end or a failure shows again at the next event.
        let _ = self.read_input(cx);
        !self.input.is_empty() || self.overflow.as_ref().is_some_and(Overflow::is_pending)
    }

    /// The one way in which this side ends a connection: what is to be said is written, then the
    /// output is ended, and what still comes is read and dropped for a while, as a close over
    /// unread bytes would take the answers with it. Nothing that is read from here on is acted on.
    fn end_with(&mut self, cx: &mut Cx<'_>, patience: Time) {
        cx.world.clients.set_busy(cx.token);
        self.state = State::Ending;
        (self.input, self.overflow) = (Vec::new(), None);
        cx.set_timer(cx.now + patience);
    }

    /// The client has closed its connection, and so has gone: nothing more is done for it. What was
    /// answered before, or could be at once, is still written, as it may have ended its output
    /// alone.
    fn client_ended(&mut self, cx: &mut Cx<'_>) {
        self.read_requests(cx);
        if matches!(self.state, State::Waiting { .. }) || self.stream.flush().is_err() {
            return cx.close();
        }
        if self.stream.unwritten() == 0 {
            return cx.close();
        }
        self.said_all = true;
        self.end_with(cx, cx.world.limits.request_read);
        self.flush(cx);
    }

    fn time_out(&mut self, cx: &mut Cx<'_>) {
        // Where clients are sent away another gatherer may still take it.
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

    /// Between requests: may be closed for room, and is closed after long disuse.
    fn become_idle(&mut self, cx: &mut Cx<'_>) {
        cx.world.clients.set_idle(cx.token, cx.now, self.requests);
        cx.world
            .clients
            .evict_single_request(cx.net, cx.now, &cx.world.limits);
        // Clients that ask once and stay would in time hold every place that clients may have.
        let idle = if self.requests > 1 {
            cx.world.limits.client_idle
        } else {
            cx.world.limits.single_request_idle
        };
        cx.set_timer(cx.now + idle);
    }

    /// Writes what is there and sets what the socket is watched for.
    fn flush(&mut self, cx: &mut Cx<'_>) {
        self.shrink_buffers(cx);
        // What a client sends that reads no answers waits in the socket, so that it cannot pile up
        // here.
        let stalled = self.stream.unwritten() >= cx.world.limits.output;
        let reading = matches!(self.state, State::Reading);
        let paused = stalled && reading && self.input.len() >= cx.world.limits.head_bytes;
        self.paused = paused.then(|| self.paused.unwrap_or(cx.now));
        let ready = match (self.said_all, paused) {
            (true, _) => Ready::default(),
            (_, true) => Ready::END,
            _ => Ready::READ,
        };
        match self.stream.flush_and_arm(cx.net, cx.token, ready) {
            Ok(false) if self.state == State::Ending => {
                // Closing at once could reset the connection before the client has read the answer.
                self.stream.end_output();
                self.state = State::Lingering(cx.now + cx.world.limits.drain);
                cx.world.clients.set_partial(cx.token, cx.now);
                cx.set_timer(cx.now + cx.world.limits.linger);
            }
            Ok(_) => {}
            Err(problem) => {
                tracing::debug!(%problem, "a client's connection broke");
                cx.close();
            }
        }
    }
}

impl HttpConnection {
    /// Ends a connection between two requests, or half through one where its place is wanted. What
    /// is here already is served: closing on it would lose it.
    fn close_if_idle(&mut self, cx: &mut Cx<'_>, for_room: bool) {
        match self.read_input(cx) {
            Ok(Input::Open) => self.read_requests(cx),
            Ok(Input::Ended) => return self.client_ended(cx),
            Err(_) => return cx.close(),
        }
        match (self.state, self.reader.is_fresh()) {
            // Nothing was ever said here, so nothing is owed, and its place is wanted at once.
            (State::Reading, true) if for_room && self.requests == 0 => return cx.close(),
            // It may not have read its answers yet, or be asking in this moment.
            (State::Reading, true) => self.end_with(cx, cx.world.limits.linger),
            // Others wait for its place, and it was given longer than any sound client takes.
            (State::Reading, false) if for_room => return self.time_out(cx),
            _ => {}
        }
        self.flush(cx);
    }

    /// After the last answer: what still comes is dropped, so that a reset does not take the answer
    /// with it.
    fn drain(&mut self, cx: &mut Cx<'_>, ready: Ready) {
        self.input = Vec::new();
        if ready.readable {
            match (self.stream.discard(cx.world.limits.read_burst), self.state) {
                (Ok((_, Input::Open)), State::Lingering(until)) => {
                    return cx.set_timer(until.min(cx.now + cx.world.limits.linger));
                }
                (Ok((_, Input::Open)), _) => {}
                // It said all it had to say, but may still wait for the last answer's bytes.
                (Ok((_, Input::Ended)), State::Ending) => {
                    if self.stream.flush().is_err() || self.stream.unwritten() == 0 {
                        return cx.close();
                    }
                    self.said_all = true;
                }
                _ => return cx.close(),
            }
        }
        self.flush(cx);
    }
}

impl Connection<Gatherer> for HttpConnection {
    fn opened(&mut self, cx: &mut Cx<'_>) -> io::Result<()> {
        // The listener has entered it as silent, and it stays so until its first byte.
        cx.set_timer(cx.now + self.service.read_timeout(&cx.world.limits));
        self.stream.arm(cx.net, cx.token, Ready::READ)
    }

    fn ready(&mut self, cx: &mut Cx<'_>, ready: Ready) {
        if matches!(self.state, State::Ending | State::Lingering(_)) {
            return self.drain(cx, ready);
        }
        // Behind bytes that wait in the socket the client's end cannot be read, but it is told.
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
            // What waited for the client to read.
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
