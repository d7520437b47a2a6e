//! One connection to an index host that takes one search at a time: an SRU connection or a Z39.50 session.

use super::found::Found;
use crate::core::ports::{AttemptId, Outgoing, Score, Value};
use crate::front::hosts::Connector;
use crate::front::{Gatherer, Message};
use crate::limits::Limits;
use crate::net::{self, Attempt, Connection, Context, Input, Ready, Stream};
use bramblestair::interface::{Outcome, ServerId, Time};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

type Cx<'a> = Context<'a, Gatherer>;

/// What an index host said.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The session may be used.
    Welcome,
    /// The search is done.
    Found(Found),
    /// The search failed; it may have run.
    Failed(String),
    /// The search was turned away unseen.
    TurnedAway,
    /// The host ends the session.
    Bye,
}

/// Bytes from an index host that make no sense.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Nonsense(pub String);

/// A protocol, as spoken to an index host.
pub trait Dialect {
    /// What is said first, where the session needs a welcome before it is used.
    fn hello(&self) -> Option<Vec<u8>>;

    /// A search; an error where the protocol has no words for it.
    fn search(&mut self, part: &Outgoing, database: &str) -> Result<Vec<u8>, Nonsense>;

    /// Reads the next whole reply and takes it out of `input`.
    fn read(&mut self, input: &mut Vec<u8>, limits: &Limits) -> Result<Option<Reply>, Nonsense>;

    /// The reply that the end of the connection completes, where that is how the protocol has it.
    fn ended(&mut self) -> Option<Reply> {
        None
    }

    /// Whether the host closes the connection after the reply that was read last.
    fn is_closing(&self) -> bool {
        false
    }
}

/// Opens such connections.
pub struct SerialConnector {
    /// Every bound.
    pub limits: Rc<Limits>,
    /// Makes the protocol's state for one connection to this address.
    pub dialect: fn(SocketAddr) -> Box<dyn Dialect>,
    /// The databases' names at index hosts, with `{slice}` for the slice's number.
    pub slice_database: String,
}

impl Connector for SerialConnector {
    fn connect(
        &self,
        host: ServerId,
        to: SocketAddr,
        now: Time,
    ) -> io::Result<Box<dyn Connection<Gatherer>>> {
        Ok(Box::new(SerialLink {
            host,
            dialect: (self.dialect)(to),
            slice_database: self.slice_database.clone(),
            stream: net::connect(to)?,
            up: false,
            welcome: false,
            retiring: false,
            connect_by: now + self.limits.connect,
            used: now,
            input: Vec::new(),
            queue: VecDeque::new(),
            current: None,
            written: false,
            calls: VecDeque::new(),
        }))
    }

    fn calls_per_connection(&self) -> usize {
        1
    }
}

struct SerialLink {
    host: ServerId,
    dialect: Box<dyn Dialect>,
    slice_database: String,
    stream: Stream,
    up: bool,
    welcome: bool,
    /// Takes no new work; closes once nothing is out.
    retiring: bool,
    connect_by: Time,
    used: Time,
    input: Vec<u8>,
    /// Parts of which no byte is written yet.
    queue: VecDeque<Outgoing>,
    /// The search under way; where its part was given up, its answer is still awaited.
    current: Option<Outgoing>,
    written: bool,
    /// How many parts of each call have not ended.
    calls: VecDeque<usize>,
}

impl SerialLink {
    fn part_ended(&mut self, cx: &mut Cx<'_>, attempt: AttemptId) {
        cx.world.hosts.attempt_ended(self.host, attempt);
        // Parts end in the order in which their calls came, or all at once.
        if let Some(first) = self.calls.front_mut() {
            *first -= 1;
            if *first == 0 {
                self.calls.pop_front();
                cx.world.hosts.call_ended(self.host, cx.token);
            }
        }
    }

    fn end(&mut self, cx: &mut Cx<'_>, attempt: AttemptId, outcome: Outcome) {
        cx.world.core.ended(attempt, outcome, cx.now);
        self.part_ended(cx, attempt);
    }

    fn drop_unsent(&mut self, cx: &mut Cx<'_>) {
        for part in std::mem::take(&mut self.queue) {
            self.end(cx, part.id, Outcome::ConnectFailed);
        }
    }

    /// Starts the next search, if none is under way, and writes.
    fn write(&mut self, cx: &mut Cx<'_>) {
        while self.welcome && self.current.is_none() {
            let Some(part) = self.queue.pop_front() else { break };
            if part.not_after <= cx.now {
                self.end(cx, part.id, Outcome::Skipped);
                continue;
            }
            let database = self.slice_database.replace("{slice}", &part.shard.to_string());
            match self.dialect.search(&part, &database) {
                Ok(bytes) => {
                    self.stream.push(&bytes);
                    self.used = cx.now;
                    self.written = false;
                    self.current = Some(part);
                }
                Err(Nonsense(problem)) => {
                    tracing::warn!(problem, "a search cannot be worded");
                    self.end(cx, part.id, Outcome::Error);
                }
            }
        }
        if let Err(problem) = self.stream.flush() {
            tracing::debug!(host = self.host.0, %problem, "a link broke");
            return cx.close();
        }
        if self.stream.unwritten() == 0
            && let Some(part) = self.current.as_ref().filter(|_| !self.written)
        {
            cx.world.core.written(part.id);
            self.written = true;
        }
        let ready = Ready { readable: true, writable: self.stream.unwritten() > 0 };
        if self.stream.arm(cx.net, cx.token, ready).is_err() {
            cx.close();
        }
    }

    fn schedule(&mut self, cx: &mut Cx<'_>) {
        let idle = self.current.is_none() && self.queue.is_empty();
        if !self.up || !self.welcome {
            cx.set_timer(self.connect_by);
        } else if idle && (self.retiring || self.dialect.is_closing()) {
            cx.close();
        } else if idle {
            cx.set_timer(self.used + cx.world.limits.host_idle);
        } else {
            cx.clear_timer();
        }
    }

    fn reply(&mut self, cx: &mut Cx<'_>, reply: Reply) {
        self.used = cx.now;
        if reply == Reply::Welcome {
            self.welcome = true;
            return;
        }
        if reply == Reply::Bye {
            return cx.close();
        }
        let Some(part) = self.current.take() else { return cx.close() };
        match reply {
            Reply::Found(found) => {
                let value = Value { score: Score::Whole(found.hits.into()), body: found.encode().into() };
                cx.world.core.served(part.id, value, cx.now);
                self.part_ended(cx, part.id);
            }
            Reply::TurnedAway => self.end(cx, part.id, Outcome::Full),
            Reply::Failed(problem) => {
                tracing::debug!(host = self.host.0, problem, "a search failed");
                self.end(cx, part.id, Outcome::Error);
            }
            Reply::Welcome | Reply::Bye => {}
        }
        if self.dialect.is_closing() {
            // No further search may follow on a connection that the host has said it closes.
            self.move_queue(cx);
        }
    }

    /// Takes this connection out of the table and hands what is queued to another one of the host.
    fn move_queue(&mut self, cx: &mut Cx<'_>) {
        self.retiring = true;
        cx.world.hosts.link_ended(self.host, cx.token);
        let parts: Vec<Outgoing> = self.queue.drain(..).collect();
        if parts.is_empty() {
            return;
        }
        if let Err(parts) = cx.world.hosts.call(self.host, parts, cx.net, cx.now) {
            for part in parts {
                cx.world.core.ended(part.id, Outcome::ConnectFailed, cx.now);
            }
        }
    }

    fn give_up(&mut self, cx: &mut Cx<'_>, attempt: AttemptId) {
        if let Some(at) = self.queue.iter().position(|p| p.id == attempt) {
            self.queue.remove(at);
            self.part_ended(cx, attempt);
            return self.schedule(cx);
        }
        if self.current.as_ref().is_some_and(|p| p.id == attempt) {
            // Neither protocol has a word to take a search back: the connection ends with it.
            self.current = None;
            self.move_queue(cx);
            cx.close();
        }
    }
}

impl Connection<Gatherer> for SerialLink {
    fn opened(&mut self, cx: &mut Cx<'_>) -> io::Result<()> {
        cx.set_timer(self.connect_by);
        self.stream.arm(cx.net, cx.token, Ready { readable: false, writable: true })
    }

    fn ready(&mut self, cx: &mut Cx<'_>, ready: Ready) {
        if !self.up {
            match self.stream.attempt() {
                Attempt::Pending => return,
                Attempt::Up => self.up = true,
                Attempt::Failed(problem) => {
                    tracing::debug!(host = self.host.0, %problem, "no connection");
                    return cx.close();
                }
            }
            match self.dialect.hello() {
                Some(hello) => self.stream.push(&hello),
                None => self.welcome = true,
            }
        } else if ready.readable {
            let end = self.stream.read(&mut self.input, cx.world.limits.read_burst);
            loop {
                match self.dialect.read(&mut self.input, &cx.world.limits) {
                    Ok(Some(reply)) => self.reply(cx, reply),
                    Ok(None) => break,
                    Err(Nonsense(problem)) => {
                        tracing::debug!(host = self.host.0, problem, "a link is given up");
                        // The search has had its answer, a bad one: the host did not die.
                        if let Some(part) = self.current.take() {
                            cx.world.core.cut_off(part.id, Outcome::Error, cx.now);
                            self.part_ended(cx, part.id);
                        }
                        return cx.close();
                    }
                }
            }
            if !matches!(end, Ok(Input::Open)) {
                if let Some(reply) = self.dialect.ended() {
                    self.reply(cx, reply);
                }
                return cx.close();
            }
        }
        self.write(cx);
        self.schedule(cx);
    }

    fn deliver(&mut self, cx: &mut Cx<'_>, message: Message) {
        match message {
            Message::Call(parts) => {
                self.calls.push_back(parts.len());
                let full = self.queue.len() + parts.len() > cx.world.limits.queued_parts;
                for part in parts {
                    if self.retiring || full {
                        self.end(cx, part.id, Outcome::ConnectFailed);
                    } else {
                        self.queue.push_back(part);
                    }
                }
                if self.up {
                    self.write(cx);
                }
                self.schedule(cx);
            }
            Message::GiveUp(attempt) => self.give_up(cx, attempt),
            // Neither protocol has a probe; what a connection shows is all there is to know.
            Message::Probe => {
                let outcome = if self.up { Outcome::Ok } else { Outcome::ConnectFailed };
                cx.world.core.probed(self.host, outcome, cx.now);
            }
            Message::CloseIdle if self.current.is_none() && self.queue.is_empty() => cx.close(),
            Message::CloseIdle | Message::HostLeaves => {
                // A session that is still open to a leaving host finishes its search and takes no other.
                self.retiring = true;
                cx.world.hosts.link_ended(self.host, cx.token);
                self.drop_unsent(cx);
                self.schedule(cx);
            }
            _ => {}
        }
    }

    fn timer(&mut self, cx: &mut Cx<'_>) {
        if self.current.is_none() {
            cx.close();
        }
    }

    fn closed(&mut self, cx: &mut Cx<'_>) {
        cx.world.hosts.link_ended(self.host, cx.token);
        for part in self.current.take().into_iter().chain(std::mem::take(&mut self.queue)) {
            cx.world.hosts.attempt_ended(self.host, part.id);
            cx.world.core.broken(part.id, cx.now);
        }
    }
}
