//! A client's connection and the listener that accepts it.

use super::query;
use crate::core::ports::{Caller, Refusal};
use crate::front::http::{Head, HttpError, Progress, Reader, Response};
use crate::front::{Gatherer, Message};
use crate::net::{Connection, Context, Input, Ready, Stream};
use bramblestair::interface::Time;
use std::io;
use std::net::TcpListener;

type Cx<'a> = Context<'a, Gatherer>;

/// One thing that the HTTP surface offers.
#[derive(Debug, Clone, Copy)]
pub struct Route {
    /// The method.
    pub method: &'static str,
    /// The path, compared without its query.
    pub path: &'static str,
    /// What it does.
    pub operation: Operation,
    /// What it is for, in a line.
    pub summary: &'static str,
    /// Each status it may answer with, and what that means.
    pub answers: &'static [(u16, &'static str)],
}

/// What a route does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// Takes a query.
    Query,
    /// Tells whether clients should be sent here.
    Health,
}

/// The HTTP surface: requests are routed by it, and it is what `describe openapi` prints.
pub const ROUTES: &[Route] = &[
    Route {
        method: "POST",
        path: "/api",
        operation: Operation::Query,
        summary: "Takes a query and gives its one answer",
        answers: &[
            (200, "Served; `total` says whether the answer is whole"),
            (400, "The request is no query"),
            (413, "The body is too large"),
            (500, "Failed"),
            (503, "Refused; trying again is harmless"),
            (504, "Failed: no answer in time"),
        ],
    },
    Route {
        method: "GET",
        path: "/_health",
        operation: Operation::Health,
        summary: "Tells whether clients should be sent here",
        answers: &[(200, "Ready"), (503, "Not ready, or about to end")],
    },
];

/// What a listener makes of an accepted socket.
pub type Accept = fn(Stream, &Gatherer) -> Box<dyn Connection<Gatherer>>;

/// A listening socket.
pub struct Listener {
    socket: TcpListener,
    accept: Accept,
    resting: bool,
}

impl Listener {
    /// A listener whose connections are made by `accept`.
    pub fn new(socket: TcpListener, accept: Accept) -> Self {
        Listener { socket, accept, resting: false }
    }

    fn listen(&mut self, cx: &mut Cx<'_>, on: bool) {
        self.resting = !on;
        // A rest that cannot be set would spin; the timer below takes the loop out of it all the same.
        let _ = cx.net.rearm(&self.socket, cx.token, Ready { readable: on, writable: false });
    }

    fn rest(&mut self, cx: &mut Cx<'_>) {
        self.listen(cx, false);
        cx.set_timer(cx.now + cx.world.limits.accept_rest);
    }

    fn accept_some(&mut self, cx: &mut Cx<'_>) {
        for _ in 0..cx.world.limits.accept_burst {
            // What waits in the backlog counts as taken, so an idle connection gives way to it.
            if cx.world.clients.len() >= cx.world.limits.clients {
                cx.world.clients.make_room(cx.net);
                self.rest(cx);
                return;
            }
            match self.socket.accept() {
                Ok((socket, _)) => {
                    let ready = socket.set_nonblocking(true).and_then(|()| socket.set_nodelay(true));
                    if let Err(problem) = ready {
                        tracing::warn!(%problem, "an accepted socket could not be set up");
                        continue;
                    }
                    let connection = (self.accept)(Stream::new(socket), cx.world);
                    let token = cx.net.open(connection);
                    cx.world.clients.add(token, cx.now);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(problem) => {
                    // Out of descriptors: without a rest the loop would spin on a listener that stays ready.
                    tracing::warn!(%problem, "cannot accept");
                    cx.world.clients.make_room(cx.net);
                    self.rest(cx);
                    return;
                }
            }
        }
    }
}

impl Connection<Gatherer> for Listener {
    fn opened(&mut self, cx: &mut Cx<'_>) -> io::Result<()> {
        cx.net.register(&self.socket, cx.token, Ready { readable: true, writable: false })
    }

    fn ready(&mut self, cx: &mut Cx<'_>, _ready: Ready) {
        self.accept_some(cx);
    }

    fn deliver(&mut self, cx: &mut Cx<'_>, message: Message) {
        if let Message::Retire = message {
            // Whoever reached the backlog before the end is still taken.
            self.accept_some(cx);
            cx.close();
        }
    }

    fn timer(&mut self, cx: &mut Cx<'_>) {
        self.listen(cx, true);
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Between requests, or reading one.
    Reading,
    /// A query is with the core.
    Waiting { keep: bool },
    /// The last answer is being written.
    Ending,
    /// Everything is written; the client's end is awaited.
    Lingering,
}

/// One client's connection.
pub struct Client {
    stream: Stream,
    input: Vec<u8>,
    reader: Reader,
    state: State,
    continued: bool,
    since: Time,
}

impl Client {
    /// The connection object of an accepted socket.
    pub fn accept(stream: Stream, world: &Gatherer) -> Box<dyn Connection<Gatherer>> {
        let reader = Reader::requests(world.limits.head_bytes, world.limits.body_bytes);
        let state = State::Reading;
        Box::new(Client { stream, input: Vec::new(), reader, state, continued: false, since: 0 })
    }

    fn caller(cx: &Cx<'_>) -> Caller {
        Caller(cx.token.bits())
    }

    /// Parses what has come and acts on whole requests, one at a time.
    fn read_requests(&mut self, cx: &mut Cx<'_>) {
        while self.state == State::Reading {
            let fresh = self.reader.is_fresh();
            match self.reader.read(&mut self.input) {
                Ok(Progress::Whole) => {
                    let (head, body) = self.reader.take();
                    self.continued = false;
                    self.request(cx, &head, &body);
                }
                Ok(Progress::More) => {
                    if fresh && !self.reader.is_fresh() {
                        cx.world.clients.set_idle(cx.token, None);
                        self.since = cx.now;
                        cx.set_timer(cx.now + cx.world.limits.request_read);
                    }
                    let waits = self.reader.head.as_ref().is_some_and(Head::expects_continue);
                    if waits && !std::mem::replace(&mut self.continued, true) {
                        self.stream.push(b"HTTP/1.1 100 Continue\r\n\r\n");
                    }
                    return;
                }
                Err(problem) => {
                    self.refuse(cx, problem);
                    return;
                }
            }
        }
    }

    fn refuse(&mut self, cx: &mut Cx<'_>, problem: HttpError) {
        tracing::debug!(%problem, "bad request");
        self.respond(cx, &Response::text(problem.status(), problem.to_string()), false, true);
    }

    fn request(&mut self, cx: &mut Cx<'_>, head: &Head, body: &[u8]) {
        let keep = head.keeps_alive();
        let (method, target) = (head.start.0.as_str(), head.start.1.as_str());
        let path = target.split('?').next().unwrap_or_default();
        let head_only = method == "HEAD";
        let wanted = if head_only { "GET" } else { method };
        let Some(route) = ROUTES.iter().find(|r| r.path == path && r.method == wanted) else {
            let allowed: Vec<&str> = ROUTES.iter().filter(|r| r.path == path).map(|r| r.method).collect();
            let response = if allowed.is_empty() {
                Response::text(404, "no such path")
            } else {
                let mut response = Response::text(405, "no such method here");
                response.headers.push(format!("Allow: {}", allowed.join(", ")));
                response
            };
            return self.respond(cx, &response, keep, !head_only);
        };
        match route.operation {
            Operation::Health => {
                let ready = cx.world.is_ready(cx.now);
                let response =
                    if ready { Response::text(200, "ready") } else { Response::text(503, "not ready") };
                self.respond(cx, &response, keep, !head_only);
            }
            Operation::Query => {
                let caller = Self::caller(cx);
                let world = &mut *cx.world;
                let ask = query::parse(head, body, caller, cx.now, world.core.deployment(), &world.limits);
                let refused = match ask.map(|ask| world.core.take(ask, cx.now)) {
                    Ok(Ok(())) => {
                        self.state = State::Waiting { keep };
                        cx.world.clients.set_idle(cx.token, None);
                        cx.clear_timer();
                        return;
                    }
                    Ok(Err(Refusal::TableFull)) => Response::text(503, "refused: too much is held"),
                    Ok(Err(Refusal::Busy)) => Response::text(400, "a query is under way here"),
                    Err(problem) => {
                        tracing::debug!(%problem, "bad request");
                        Response::text(400, problem.to_string())
                    }
                };
                self.respond(cx, &refused, keep, true);
            }
        }
    }

    fn respond(&mut self, cx: &mut Cx<'_>, response: &Response, keep: bool, with_body: bool) {
        let keep = keep && !cx.world.is_leaving();
        self.stream.push(&response.encode(!keep, with_body));
        if keep {
            self.state = State::Reading;
            self.rest(cx);
        } else {
            self.state = State::Ending;
            cx.set_timer(cx.now + cx.world.limits.request_read);
        }
    }

    /// Between requests: may be closed for room, and is closed after long disuse.
    fn rest(&mut self, cx: &mut Cx<'_>) {
        self.since = cx.now;
        cx.world.clients.set_idle(cx.token, Some(cx.now));
        cx.set_timer(cx.now + cx.world.limits.client_idle);
    }

    /// Writes what is there and sets what the socket is watched for.
    fn flush(&mut self, cx: &mut Cx<'_>) {
        if let Err(problem) = self.stream.flush() {
            tracing::debug!(%problem, "a client's connection broke");
            return cx.close();
        }
        let pending = self.stream.unwritten() > 0;
        if self.state == State::Ending && !pending {
            // Closing at once could reset the connection before the client has read the answer.
            self.stream.end_output();
            self.state = State::Lingering;
            cx.set_timer(cx.now + cx.world.limits.linger);
        }
        // Bytes past the present request wait in the socket, so that they cannot pile up here.
        let readable = self.input.len() < cx.world.limits.head_bytes + cx.world.limits.body_bytes;
        if self.stream.arm(cx.net, cx.token, Ready { readable, writable: pending }).is_err() {
            cx.close();
        }
    }
}

impl Connection<Gatherer> for Client {
    fn opened(&mut self, cx: &mut Cx<'_>) -> io::Result<()> {
        self.rest(cx);
        self.stream.arm(cx.net, cx.token, Ready { readable: true, writable: false })
    }

    fn ready(&mut self, cx: &mut Cx<'_>, ready: Ready) {
        if ready.readable {
            match self.stream.read(&mut self.input, cx.world.limits.read_burst) {
                Ok(Input::Open) => {}
                Ok(Input::Ended) if self.state == State::Ending => {
                    // It said all it had to say, but still waits for the last answer's bytes.
                    if self.stream.flush().is_err() || self.stream.unwritten() == 0 {
                        return cx.close();
                    }
                }
                // A client that closes its connection has gone away.
                Ok(Input::Ended) | Err(_) => {
                    self.read_requests(cx);
                    return cx.close();
                }
            }
            if self.state == State::Lingering {
                self.input.clear();
                return;
            }
            self.read_requests(cx);
        }
        self.flush(cx);
    }

    fn deliver(&mut self, cx: &mut Cx<'_>, message: Message) {
        match message {
            Message::Answer(answer) => {
                if let State::Waiting { keep } = self.state {
                    self.respond(cx, &query::respond(&answer), keep, true);
                    self.read_requests(cx);
                    self.flush(cx);
                }
            }
            Message::MakeRoom | Message::Retire => {
                if self.state != State::Reading {
                    return;
                }
                // A request that is here already is served; closing on it would lose it.
                let ended = self.stream.read(&mut self.input, cx.world.limits.read_burst);
                self.read_requests(cx);
                let idle = self.state == State::Reading && self.reader.is_fresh();
                if idle && self.stream.unwritten() == 0 || !matches!(ended, Ok(Input::Open)) {
                    cx.close();
                } else {
                    self.flush(cx);
                }
            }
            _ => {}
        }
    }

    fn timer(&mut self, cx: &mut Cx<'_>) {
        match self.state {
            State::Reading if !self.reader.is_fresh() => {
                self.respond(cx, &Response::text(408, "the request did not come in time"), false, true);
                self.flush(cx);
            }
            State::Waiting { .. } => {}
            _ => cx.close(),
        }
    }

    fn closed(&mut self, cx: &mut Cx<'_>) {
        if matches!(self.state, State::Waiting { .. }) {
            cx.world.core.client_left(Self::caller(cx));
        }
        cx.world.clients.remove(cx.token);
    }
}
