//! One connection to an index host that takes one part at a time: an SRU connection or a Z39.50
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

/// Bytes from an index host that make no sense.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Nonsense(pub String);

/// A protocol, as spoken to an index host.
pub trait Dialect {
    /// What is said first, where the session needs a welcome before it is used.
    fn init_request(&mut self) -> Option<Vec<u8>>;

    /// Begins a part; a former one that is not done is forgotten.
    fn begin(
        &mut self,
        work: &Work,
        slice: u32,
        database: &str,
        capabilities: &mut HostCapabilities,
        now: Time,
    ) -> Next<Vec<u8>>;

    /// Reads the next whole reply and takes it out of `input`.
    fn read(
        &mut self,
        input: &mut Vec<u8>,
        capabilities: &mut HostCapabilities,
        limits: &Limits,
        now: Time,
    ) -> Result<Option<HostEvent>, Nonsense>;

    /// The reply that the end of the connection completes, where that is how the protocol has it.
    fn ended(&mut self, _capabilities: &mut HostCapabilities, _now: Time) -> Option<HostEvent> {
        None
    }

    /// Whether the host closes the connection after the reply that was read last.
    fn is_closing(&self) -> bool {
        false
    }
}

/// Makes the protocol's state for one connection to this address.
pub type MakeDialect = fn(SocketAddr, HostBounds) -> Box<dyn Dialect>;

/// Opens such connections.
pub struct SerialConnector {
    limits: Rc<Limits>,
    dialect: MakeDialect,
    slice_database: Rc<str>,
    pool: Rc<RefCell<Pool>>,
}

impl SerialConnector {
    /// A connector; the databases' names at index hosts have `{slice}` for the slice's number.
    pub fn new(limits: Rc<Limits>, dialect: MakeDialect, slice_database: &str) -> Self {
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
            dialect,
            slice_database: slice_database.into(),
            pool,
        }
    }
}

/// What bounds the exchanges of one part.
fn host_bounds(limits: &Limits) -> HostBounds {
    HostBounds {
        local_sort: limits.local_sort,
        message: limits.host_message / 2,
        named_sets: limits.host_sets.0,
        set_age: limits.host_sets.1,
        exchanges: limits.exchanges,
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
            dialect: (self.dialect)(to, host_bounds(&self.limits)),
            slice_database: self.slice_database.clone(),
            pool: self.pool.clone(),
            stream: net::connect(to)?,
            up: false,
            welcome: false,
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

    fn choose(
        &self,
        host: ServerId,
        _call: usize,
        calls: &[usize],
        _most: usize,
        now: Time,
    ) -> Choice {
        match self.pool.borrow_mut().choose(host.0, calls, now) {
            pool::Choice::Use(at) | pool::Choice::Wait(at) => Choice::Use(at),
            pool::Choice::Open => Choice::Open,
            pool::Choice::Backoff => Choice::None,
        }
    }
}

/// What a session is busy with.
enum Current {
    /// A part that somebody waits for.
    Wanted {
        part: Outgoing,
        /// When its first message was begun.
        asked: Time,
        /// The last byte of that was handed over: from here on it may run.
        written: bool,
    },
    /// One that nobody waits for any more: its answer is read and dropped, if it comes by then.
    Draining { until: Time },
}

struct SerialLink {
    host: ServerId,
    dialect: Box<dyn Dialect>,
    slice_database: Rc<str>,
    pool: Rc<RefCell<Pool>>,
    stream: Stream,
    up: bool,
    welcome: bool,
    /// Takes no new work, since then; closes once nothing is out.
    retiring: Option<Time>,
    connect_by: Time,
    used: Time,
    input: Vec<u8>,
    /// Parts of which no byte is written yet.
    queue: VecDeque<Outgoing>,
    current: Option<Current>,
    /// How many parts of each call have not ended.
    calls: VecDeque<usize>,
}

impl SerialLink {
    fn part_ended(&mut self, cx: &mut Cx<'_>, attempt: AttemptId) {
        cx.world.hosts.attempt_ended(self.host, attempt);
        self.count_down(cx);
    }

    /// One part less is carried.
    fn count_down(&mut self, cx: &mut Cx<'_>) {
        // Parts end in the order in which their calls came, or all at once.
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

    /// Starts the next part, if none is under way, and writes.
    fn write(&mut self, cx: &mut Cx<'_>) {
        while self.welcome && self.current.is_none() {
            let Some(part) = self.queue.pop_front() else {
                break;
            };
            if part.not_after <= cx.now {
                self.end(cx, part.id, Outcome::Skipped);
                continue;
            }
            let Some(work) = Work::decode(&part.text) else {
                tracing::error!("a part without its work");
                self.end(cx, part.id, Outcome::Error);
                continue;
            };
            let database = self
                .slice_database
                .replace("{slice}", &part.shard.to_string());
            let next = {
                let mut pool = self.pool.borrow_mut();
                let capabilities = pool.capabilities(self.host.0, cx.now);
                self.dialect
                    .begin(&work, part.shard, &database, capabilities, cx.now)
            };
            self.used = cx.now;
            self.current = Some(Current::Wanted {
                part,
                asked: cx.now,
                written: false,
            });
            self.next(cx, next);
        }
        if let Err(problem) = self.stream.flush() {
            tracing::debug!(host = self.host.0, %problem, "a link broke");
            return cx.close();
        }
        if self.stream.unwritten() == 0
            && let Some(Current::Wanted { part, written, .. }) = &mut self.current
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
        if !self.up || !self.welcome {
            cx.set_timer(self.connect_by);
        } else if idle && (self.retiring.is_some() || self.dialect.is_closing()) {
            cx.close();
        } else if idle {
            cx.set_timer(self.used + cx.world.limits.host_idle);
        } else if let Some(Current::Draining { until }) = &self.current {
            cx.set_timer(*until);
        } else {
            cx.clear_timer();
        }
    }

    fn handle_host_event(&mut self, cx: &mut Cx<'_>, host_event: HostEvent) {
        self.used = cx.now;
        match host_event {
            HostEvent::Opened => {
                self.welcome = true;
                self.pool.borrow_mut().connected(self.host.0, cx.now);
            }
            HostEvent::Rejected(problem) => {
                tracing::info!(host = self.host.0, problem, "no session");
                cx.close();
            }
            HostEvent::Closed => {
                // It says that it ends the session: that is no death, neither of the host nor by
                // the part.
                if let Some(Current::Wanted { part, .. }) = self.current.take() {
                    cx.world
                        .core
                        .attempt_interrupted(part.id, Outcome::Error, cx.now);
                    self.part_ended(cx, part.id);
                }
                cx.close();
            }
            HostEvent::Next(next) => self.next(cx, next),
        }
    }

    /// What comes next for the part under way.
    fn next(&mut self, cx: &mut Cx<'_>, next: Next<Vec<u8>>) {
        if let Some(Current::Draining { .. }) = self.current {
            // Whatever it is, nobody waits for it: the session is free again.
            self.current = None;
            self.pool.borrow_mut().drained(self.host.0, cx.now);
            return self.count_down(cx);
        }
        let Some(Current::Wanted {
            part,
            asked,
            written,
        }) = self.current.take()
        else {
            return cx.close();
        };
        match next {
            Next::Send(bytes) => {
                // A host that leaves, or that closes behind its reply, is asked nothing more for
                // this part either.
                let late = self
                    .retiring
                    .is_some_and(|at| cx.now >= at + cx.world.limits.drain_grace / 2);
                if late || self.dialect.is_closing() {
                    cx.world
                        .core
                        .attempt_interrupted(part.id, Outcome::Reset, cx.now);
                    self.part_ended(cx, part.id);
                    return cx.close();
                }
                self.stream.push(&bytes);
                self.current = Some(Current::Wanted {
                    part,
                    asked,
                    written,
                });
                return;
            }
            Next::Done(given) => {
                self.pool
                    .borrow_mut()
                    .answered(self.host.0, cx.now.saturating_sub(asked), cx.now);
                cx.world
                    .core
                    .attempt_served(part.id, self.value(given), cx.now);
                self.part_ended(cx, part.id);
            }
            Next::Rejected => self.end(cx, part.id, Outcome::Rejected),
            Next::Failed(problem) => {
                tracing::debug!(host = self.host.0, problem, "a part failed");
                self.end(cx, part.id, Outcome::Error);
            }
        }
        if self.dialect.is_closing() {
            // Nothing further may follow on a connection that the host has said it closes.
            self.retire(cx);
            self.move_queue(cx);
        }
    }

    fn value(&self, mut given: WorkResult) -> Value {
        let score = match &mut given {
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
            body: given.encode().into(),
        }
    }

    /// Takes this connection out of the table.
    fn retire(&mut self, cx: &mut Cx<'_>) {
        self.retiring.get_or_insert(cx.now);
        cx.world.hosts.link_ended(self.host, cx.token);
    }

    /// Hands what is queued to other connections of the host.
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
        let Some(Current::Wanted {
            part,
            asked,
            written,
        }) = &self.current
        else {
            return;
        };
        if part.id != attempt {
            return;
        }
        // Neither protocol has a word that every host knows to take a search back. Its session
        // reads the late answer and goes on, or ends with it, whichever is cheaper.
        let action = match written {
            true => self.pool.borrow_mut().abandon(self.host.0, *asked, cx.now),
            false => AbandonedAction::Close,
        };
        cx.world.hosts.attempt_ended(self.host, attempt);
        match action {
            AbandonedAction::Drain(until) => {
                self.current = Some(Current::Draining { until });
                // What waits behind it need not wait for it.
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
                self.dialect
                    .read(&mut self.input, capabilities, &limits, cx.now)
            };
            match host_event {
                Ok(Some(host_event)) => self.handle_host_event(cx, host_event),
                Ok(None) => break,
                Err(Nonsense(problem)) => {
                    tracing::debug!(host = self.host.0, problem, "a link is given up");
                    // The part has had its answer, a bad one: the host did not die.
                    if let Some(Current::Wanted { part, .. }) = self.current.take() {
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
                    self.dialect.ended(capabilities, cx.now)
                };
                if let Some(host_event) = host_event {
                    self.handle_host_event(cx, host_event);
                }
                cx.close();
            }
            // A reset is no end: what has no length may have been cut off anywhere.
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
        if !self.up {
            match self.stream.attempt() {
                Attempt::Pending => return,
                Attempt::Up => self.up = true,
                Attempt::Failed(problem) => {
                    tracing::debug!(host = self.host.0, %problem, "no connection");
                    return cx.close();
                }
            }
            match self.dialect.init_request() {
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
                if self.up {
                    self.write(cx);
                }
                self.schedule(cx);
            }
            Message::CancelAttempt(attempt) => {
                self.cancel(cx, attempt);
                if self.up && !cx.is_closing() {
                    self.write(cx);
                    self.schedule(cx);
                }
            }
            // Neither protocol has a probe; what a connection shows is all there is to know.
            Message::Probe => {
                let outcome = if self.up {
                    Outcome::Ok
                } else {
                    Outcome::ConnectFailed
                };
                cx.world.core.probe_ended(self.host, outcome, cx.now);
            }
            Message::CloseIdle if self.current.is_none() && self.queue.is_empty() => cx.close(),
            Message::CloseIdle | Message::HostDraining => {
                // A session that is still open to a leaving host finishes its part and takes no
                // other.
                self.retire(cx);
                self.drop_unsent(cx);
                self.schedule(cx);
            }
            _ => {}
        }
    }

    fn timer(&mut self, cx: &mut Cx<'_>) {
        if !matches!(self.current, Some(Current::Wanted { .. })) || !self.welcome {
            cx.close();
        }
    }

    fn closed(&mut self, cx: &mut Cx<'_>) {
        cx.world.hosts.link_ended(self.host, cx.token);
        let mut parts = std::mem::take(&mut self.queue);
        {
            let mut pool = self.pool.borrow_mut();
            if !self.welcome {
                pool.failed(self.host.0, cx.now);
            }
            match self.current.take() {
                Some(Current::Wanted { part, .. }) => parts.push_front(part),
                Some(Current::Draining { .. }) => pool.drained(self.host.0, cx.now),
                None => {}
            }
        }
        for part in parts {
            cx.world.hosts.attempt_ended(self.host, part.id);
            cx.world.core.connection_broken(part.id, cx.now);
        }
    }
}
