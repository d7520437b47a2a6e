//! A connection to an index host that handles one part at a time: an SRU connection or a Z39.50
//! session.

use crate::core::ports::{AttemptId, Outgoing, Score, Value};
use crate::front::hosts::{Choice, Connector};
use crate::front::{Gatherer, Message};
use crate::limits::Limits;
use crate::net::{self, Attempt, Connection, Context, Input, Ready, Stream};
use catalogue::host::{HostBounds, HostEvent, Next};
use catalogue::pool::{self, AbandonedAction, HostCapabilities, Pool, PoolBounds};
use catalogue::work::{Work, WorkResult};
use dispatch::interface::{Outcome, ServerId, Time};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

type Cx<'a> = Context<'a, Gatherer>;

/// A reply from an index host that cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProtocolError(pub String);

/// The client side of a protocol with index hosts, with the state of one connection.
pub trait HostProtocol {
    /// The first message, if the session must be initialised before it can be used.
    fn init_request(&mut self) -> Option<Vec<u8>>;

    /// Starts a part; an unfinished one is dropped.
    fn begin(
        &mut self,
        work: &Work,
        slice: u32,
        database: &str,
        capabilities: &mut HostCapabilities,
        now: Time,
    ) -> Next<Vec<u8>>;

    /// Parses the next complete reply and removes it from `input`.
    fn read(
        &mut self,
        input: &mut Vec<u8>,
        capabilities: &mut HostCapabilities,
        limits: &Limits,
        now: Time,
    ) -> Result<Option<HostEvent>, ProtocolError>;

    /// The reply that is completed by the end of the connection, if there is one.
    fn ended(&mut self, _capabilities: &mut HostCapabilities, _now: Time) -> Option<HostEvent> {
        None
    }

    /// Whether the host has announced that it closes the connection after the last reply.
    fn is_closing(&self) -> bool {
        false
    }
}

/// Creates the protocol state for a connection to an address.
pub type CreateHostProtocol = fn(SocketAddr, HostBounds) -> Box<dyn HostProtocol>;

/// Opens connections that handle one part at a time.
pub struct SerialConnector {
    limits: Rc<Limits>,
    create_protocol: CreateHostProtocol,
    slice_database: Rc<str>,
    pool: Rc<RefCell<Pool>>,
}

impl SerialConnector {
    /// Creates a connector. `slice_database` is the name of the databases at index hosts, with
    /// `{slice}` for the number of the slice.
    pub fn new(
        limits: Rc<Limits>,
        create_protocol: CreateHostProtocol,
        slice_database: &str,
    ) -> Self {
        let pool = Pool::new(PoolBounds {
            sessions: limits.connections_per_host,
            backoff_min: limits.host_backoff.0,
            backoff_max: limits.host_backoff.1,
            capability_ttl: limits.capability_ttl,
            abandoned_time_min: limits.abandoned_search_time.0,
            abandoned_time_max: limits.abandoned_search_time.1,
            hosts: limits.hosts,
        });
        let pool = Rc::new(RefCell::new(pool));
        SerialConnector {
            limits,
            create_protocol,
            slice_database: slice_database.into(),
            pool,
        }
    }
}

/// The limits of the exchanges with an index host.
fn host_bounds(limits: &Limits) -> HostBounds {
    HostBounds {
        local_sort: limits.local_sort,
        message: limits.host_message_bytes / 2,
        named_sets: limits.host_sets.0,
        set_age: limits.host_sets.1,
        exchanges: limits.part_exchanges,
    }
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
            protocol: (self.create_protocol)(to, host_bounds(&self.limits)),
            slice_database: self.slice_database.clone(),
            pool: self.pool.clone(),
            stream: net::connect(to)?,
            connected: false,
            initialised: false,
            retiring: None,
            connect_by: now + self.limits.connect,
            used: now,
            input: Vec::new(),
            queue: VecDeque::new(),
            current: None,
            calls: VecDeque::new(),
        }))
    }

    fn connection_capacity(&self) -> usize {
        1
    }

    fn choose_link(
        &self,
        host: ServerId,
        _cost: usize,
        used: &[usize],
        _max_links: usize,
        now: Time,
    ) -> Choice {
        match self.pool.borrow_mut().choose(host.0, used, now) {
            pool::Choice::Use(index) | pool::Choice::Wait(index) => Choice::Use(index),
            pool::Choice::Open => Choice::Open,
            pool::Choice::Backoff => Choice::Unavailable,
        }
    }
}

/// The part that a session is handling.
enum Current {
    /// A part that the core waits for.
    Active {
        part: Outgoing,
        /// When its first message was queued.
        started: Time,
        /// Whether the first message was written completely, so that the host may have run the
        /// part.
        written: bool,
    },
    /// A cancelled part, whose answer is awaited until this time and dropped.
    Abandoned { until: Time },
}

struct SerialLink {
    host: ServerId,
    protocol: Box<dyn HostProtocol>,
    slice_database: Rc<str>,
    pool: Rc<RefCell<Pool>>,
    stream: Stream,
    connected: bool,
    /// Whether the session can be used.
    initialised: bool,
    /// Since when no more calls are accepted; the connection closes once it is idle.
    retiring: Option<Time>,
    connect_by: Time,
    used: Time,
    input: Vec<u8>,
    /// Parts of which no byte has been written.
    queue: VecDeque<Outgoing>,
    current: Option<Current>,
    /// The number of unfinished parts of each call.
    calls: VecDeque<usize>,
}

impl SerialLink {
    fn part_ended(&mut self, cx: &mut Cx<'_>, attempt: AttemptId) {
        cx.world.hosts.attempt_ended(self.host, attempt);
        self.release_part(cx);
    }

    /// Counts a finished part, and releases the capacity of its call after the last one.
    fn release_part(&mut self, cx: &mut Cx<'_>) {
        // Parts end in the order of their calls, or all at once.
        if let Some(first) = self.calls.front_mut() {
            *first -= 1;
            if *first == 0 {
                self.calls.pop_front();
                cx.world.hosts.release_capacity(self.host, cx.token, 1);
            }
        }
    }

    fn end(&mut self, cx: &mut Cx<'_>, attempt: AttemptId, outcome: Outcome) {
        cx.world.core.attempt_ended(attempt, outcome, cx.now);
        self.part_ended(cx, attempt);
    }

    fn drop_unsent(&mut self, cx: &mut Cx<'_>) {
        for part in std::mem::take(&mut self.queue) {
            self.end(cx, part.id, Outcome::ConnectFailed);
        }
    }

    /// Starts the next part if there is no current one, and flushes the output.
    fn write(&mut self, cx: &mut Cx<'_>) {
        while self.initialised && self.current.is_none() {
            let Some(part) = self.queue.pop_front() else {
                break;
            };
            if part.not_after <= cx.now {
                self.end(cx, part.id, Outcome::Skipped);
                continue;
            }
            let Some(work) = Work::decode(&part.text) else {
                tracing::error!("cannot decode the request of a part");
                self.end(cx, part.id, Outcome::Error);
                continue;
            };
            let database = self
                .slice_database
                .replace("{slice}", &part.shard.to_string());
            let next = {
                let mut pool = self.pool.borrow_mut();
                let capabilities = pool.capabilities(self.host.0, cx.now);
                self.protocol
                    .begin(&work, part.shard, &database, capabilities, cx.now)
            };
            self.used = cx.now;
            self.current = Some(Current::Active {
                part,
                started: cx.now,
                written: false,
            });
            self.advance(cx, next);
        }
        if let Err(problem) = self.stream.flush() {
            tracing::debug!(host = self.host.0, %problem, "connection to index host broke");
            return cx.close();
        }
        if self.stream.unwritten() == 0
            && let Some(Current::Active { part, written, .. }) = &mut self.current
            && !std::mem::replace(written, true)
        {
            cx.world.core.mark_written(part.id);
        }
        let ready = Ready::READ.and_writable(self.stream.unwritten() > 0);
        if self.stream.arm(cx.net, cx.token, ready).is_err() {
            cx.close();
        }
    }

    fn schedule(&mut self, cx: &mut Cx<'_>) {
        let idle = self.current.is_none() && self.queue.is_empty();
        if !self.connected || !self.initialised {
            cx.set_timer(self.connect_by);
        } else if idle && (self.retiring.is_some() || self.protocol.is_closing()) {
            cx.close();
        } else if idle {
            cx.set_timer(self.used + cx.world.limits.host_idle);
        } else if let Some(Current::Abandoned { until }) = &self.current {
            cx.set_timer(*until);
        } else {
            cx.clear_timer();
        }
    }

    fn handle_host_event(&mut self, cx: &mut Cx<'_>, host_event: HostEvent) {
        self.used = cx.now;
        match host_event {
            HostEvent::Opened => {
                self.initialised = true;
                self.pool.borrow_mut().connected(self.host.0, cx.now);
            }
            HostEvent::Rejected(problem) => {
                tracing::info!(
                    host = self.host.0,
                    problem,
                    "index host rejected the session"
                );
                cx.close();
            }
            HostEvent::Closed => {
                // The host closes the session in an orderly way. This is an error and not a reset,
                // as neither the host crashed nor did the part cause the end.
                if let Some(Current::Active { part, .. }) = self.current.take() {
                    cx.world
                        .core
                        .attempt_interrupted(part.id, Outcome::Error, cx.now);
                    self.part_ended(cx, part.id);
                }
                cx.close();
            }
            HostEvent::Next(next) => self.advance(cx, next),
        }
    }

    /// Handles the next step of the current part.
    fn advance(&mut self, cx: &mut Cx<'_>, next: Next<Vec<u8>>) {
        if let Some(Current::Abandoned { .. }) = self.current {
            // The abandoned part has ended, so the session is free again.
            self.current = None;
            self.pool.borrow_mut().drained(self.host.0, cx.now);
            return self.release_part(cx);
        }
        let Some(Current::Active {
            part,
            started,
            written,
        }) = self.current.take()
        else {
            return cx.close();
        };
        match next {
            Next::Send(bytes) => {
                // Send no further message for the part if the host's drain grace period is over or
                // the host closes the connection.
                let drain_over = self
                    .retiring
                    .is_some_and(|at| cx.now >= at + cx.world.limits.drain_grace / 2);
                if drain_over || self.protocol.is_closing() {
                    cx.world
                        .core
                        .attempt_interrupted(part.id, Outcome::Reset, cx.now);
                    self.part_ended(cx, part.id);
                    return cx.close();
                }
                self.stream.push(&bytes);
                self.current = Some(Current::Active {
                    part,
                    started,
                    written,
                });
                return;
            }
            Next::Done(result) => {
                self.pool.borrow_mut().answered(
                    self.host.0,
                    cx.now.saturating_sub(started),
                    cx.now,
                );
                cx.world
                    .core
                    .attempt_served(part.id, self.value(result), cx.now);
                self.part_ended(cx, part.id);
            }
            Next::Rejected => self.end(cx, part.id, Outcome::Rejected),
            Next::Failed(problem) => {
                tracing::debug!(host = self.host.0, problem, "part failed");
                self.end(cx, part.id, Outcome::Error);
            }
        }
        if self.protocol.is_closing() {
            // The host has announced that it closes the connection, so queued parts need another.
            self.retire(cx);
            self.move_queue(cx);
        }
    }

    fn value(&self, mut result: WorkResult) -> Value {
        let score = match &mut result {
            WorkResult::Found(found) => {
                found.host = self.host.0;
                found.hits
            }
            WorkResult::Scanned(terms) => {
                terms.host = self.host.0;
                0
            }
            WorkResult::Refused(_) => 0,
        };
        Value {
            score: Score::Integer(score.into()),
            body: result.encode().into(),
        }
    }

    /// Removes this connection from the table, so that it gets no more calls.
    fn retire(&mut self, cx: &mut Cx<'_>) {
        self.retiring.get_or_insert(cx.now);
        cx.world.hosts.link_ended(self.host, cx.token);
    }

    /// Moves queued parts to other connections of the host.
    fn move_queue(&mut self, cx: &mut Cx<'_>) {
        let parts: Vec<Outgoing> = self.queue.drain(..).collect();
        for part in parts {
            cx.world.hosts.attempt_ended(self.host, part.id);
            if let Err(parts) = cx.world.hosts.call(self.host, vec![part], cx.net, cx.now) {
                for part in parts {
                    cx.world
                        .core
                        .attempt_ended(part.id, Outcome::ConnectFailed, cx.now);
                }
            }
        }
    }

    fn cancel(&mut self, cx: &mut Cx<'_>, attempt: AttemptId) {
        if let Some(at) = self.queue.iter().position(|p| p.id == attempt) {
            self.queue.remove(at);
            self.part_ended(cx, attempt);
            return self.schedule(cx);
        }
        let Some(Current::Active {
            part,
            started,
            written,
        }) = &self.current
        else {
            return;
        };
        if part.id != attempt {
            return;
        }
        // Neither protocol has a cancel message that all hosts support. The session waits for the
        // answer and drops it, or is closed, whichever is cheaper.
        let action = match written {
            true => self
                .pool
                .borrow_mut()
                .abandon(self.host.0, *started, cx.now),
            false => AbandonedAction::Close,
        };
        cx.world.hosts.attempt_ended(self.host, attempt);
        match action {
            AbandonedAction::Drain(until) => {
                self.current = Some(Current::Abandoned { until });
                // Queued parts need not wait for the abandoned one.
                let waiting: Vec<usize> = self.calls.drain(..).collect();
                self.calls.extend(waiting.first().map(|_| 1));
                for _ in 1..waiting.len() {
                    cx.world.hosts.release_capacity(self.host, cx.token, 1);
                }
                self.move_queue(cx);
                self.schedule(cx);
            }
            AbandonedAction::Close => {
                self.current = None;
                self.retire(cx);
                self.move_queue(cx);
                cx.close();
            }
        }
    }

    fn read(&mut self, cx: &mut Cx<'_>) {
        let end = self
            .stream
            .read(&mut self.input, cx.world.limits.read_burst);
        loop {
            if cx.is_closing() {
                return;
            }
            let host_event = {
                let limits = cx.world.limits.clone();
                let mut pool = self.pool.borrow_mut();
                let capabilities = pool.capabilities(self.host.0, cx.now);
                self.protocol
                    .read(&mut self.input, capabilities, &limits, cx.now)
            };
            match host_event {
                Ok(Some(host_event)) => self.handle_host_event(cx, host_event),
                Ok(None) => break,
                Err(ProtocolError(problem)) => {
                    tracing::debug!(
                        host = self.host.0,
                        problem,
                        "malformed reply from index host"
                    );
                    // The host is alive, so this is an error and not a reset.
                    if let Some(Current::Active { part, .. }) = self.current.take() {
                        cx.world
                            .core
                            .attempt_interrupted(part.id, Outcome::Error, cx.now);
                        self.part_ended(cx, part.id);
                    }
                    return cx.close();
                }
            }
        }
        match end {
            Ok(Input::Open) => {}
            Ok(Input::Ended) => {
                let host_event = {
                    let mut pool = self.pool.borrow_mut();
                    let capabilities = pool.capabilities(self.host.0, cx.now);
                    self.protocol.ended(capabilities, cx.now)
                };
                if let Some(host_event) = host_event {
                    self.handle_host_event(cx, host_event);
                }
                cx.close();
            }
            // A reply without a length may be truncated by a reset, so it counts as incomplete.
            Err(_) => cx.close(),
        }
    }
}

impl Connection<Gatherer> for SerialLink {
    fn opened(&mut self, cx: &mut Cx<'_>) -> io::Result<()> {
        cx.set_timer(self.connect_by);
        self.stream.arm(cx.net, cx.token, Ready::WRITE)
    }

    fn ready(&mut self, cx: &mut Cx<'_>, ready: Ready) {
        if !self.connected {
            match self.stream.attempt() {
                Attempt::Pending => return,
                Attempt::Up => self.connected = true,
                Attempt::Failed(problem) => {
                    tracing::debug!(host = self.host.0, %problem, "cannot connect to index host");
                    return cx.close();
                }
            }
            match self.protocol.init_request() {
                Some(init_request) => self.stream.push(&init_request),
                None => self.handle_host_event(cx, HostEvent::Opened),
            }
        } else if ready.readable {
            self.read(cx);
            if cx.is_closing() {
                return;
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
                    if self.retiring.is_some() || full {
                        self.end(cx, part.id, Outcome::ConnectFailed);
                    } else {
                        self.queue.push_back(part);
                    }
                }
                if self.connected {
                    self.write(cx);
                }
                self.schedule(cx);
            }
            Message::CancelAttempt(attempt) => {
                self.cancel(cx, attempt);
                if self.connected && !cx.is_closing() {
                    self.write(cx);
                    self.schedule(cx);
                }
            }
            // Neither protocol has a probe, so an established connection counts as success.
            Message::Probe => {
                let outcome = if self.connected {
                    Outcome::Ok
                } else {
                    Outcome::ConnectFailed
                };
                cx.world.core.probe_ended(self.host, outcome, cx.now);
            }
            Message::CloseIdle if self.current.is_none() && self.queue.is_empty() => cx.close(),
            Message::CloseIdle | Message::HostDraining => {
                // The session finishes its current part and accepts no others.
                self.retire(cx);
                self.drop_unsent(cx);
                self.schedule(cx);
            }
            _ => {}
        }
    }

    fn timer(&mut self, cx: &mut Cx<'_>) {
        if !matches!(self.current, Some(Current::Active { .. })) || !self.initialised {
            cx.close();
        }
    }

    fn closed(&mut self, cx: &mut Cx<'_>) {
        cx.world.hosts.link_ended(self.host, cx.token);
        let mut parts = std::mem::take(&mut self.queue);
        {
            let mut pool = self.pool.borrow_mut();
            if !self.initialised {
                pool.failed(self.host.0, cx.now);
            }
            match self.current.take() {
                Some(Current::Active { part, .. }) => parts.push_front(part),
                Some(Current::Abandoned { .. }) => pool.drained(self.host.0, cx.now),
                None => {}
            }
        }
        for part in parts {
            cx.world.hosts.attempt_ended(self.host, part.id);
            cx.world.core.connection_broken(part.id, cx.now);
        }
    }
}
