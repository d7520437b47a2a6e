//! The connection of a Z39.50 client: its socket and timers, and the queries of its operations.

use super::{Shared, answered_round, rejected_round};
use crate::core::ports::{Answer, Caller};
use crate::front::{Gatherer, Message};
use crate::net::{Connection, Context, Input, Ready, Stream};
use catalogue::ber;
use catalogue::session::{Action, Session, SessionContext};
use catalogue::z3950::CloseReason;
use dispatch::interface::Time;
use std::collections::BTreeMap;
use std::io;

type Cx<'a> = Context<'a, Gatherer>;

/// The connection of a Z39.50 session.
pub struct SessionConnection {
    catalogue: Shared,
    stream: Stream,
    input: Vec<u8>,
    session: Option<Session>,
    /// Since when a data unit has been incomplete, or the first one has been awaited.
    incomplete_since: Option<Time>,
    /// When the request of each operation arrived.
    arrivals: BTreeMap<u32, Time>,
    /// Since when the client has read none of its output, and the number of unread bytes.
    unread: Option<(Time, usize)>,
    /// The time of the last request or answer; 0 before the first.
    last_used: Time,
    /// Set once the session has ended: when to close the connection at the latest.
    close_by: Option<Time>,
}

impl SessionConnection {
    /// Creates the connection object for an accepted socket.
    pub fn accept(catalogue: Shared, stream: Stream) -> Box<dyn Connection<Gatherer>> {
        Box::new(SessionConnection {
            catalogue,
            stream,
            input: Vec::new(),
            session: None,
            incomplete_since: None,
            arrivals: BTreeMap::new(),
            unread: None,
            last_used: 0,
            close_by: None,
        })
    }

    /// Calls the session and executes the resulting actions, including those that follow from them.
    fn step(&mut self, cx: &mut Cx<'_>, call: impl FnOnce(&mut Session, &mut SessionContext<'_>)) {
        let catalogue = self.catalogue.clone();
        let Some(session) = &mut self.session else {
            return;
        };
        let mut actions = Vec::new();
        {
            let mut sets = catalogue.sets();
            let unwritten = self.stream.unwritten();
            call(
                session,
                &mut SessionContext {
                    sets: &mut sets,
                    unwritten,
                    now: cx.now,
                    actions: &mut actions,
                },
            );
        }
        let mut at = 0;
        while let Some(action) = actions.get(at).cloned() {
            at += 1;
            match action {
                Action::Send(bytes) => self.stream.push(&bytes),
                Action::Ask { operation, plan } => {
                    let arrived = *self.arrivals.entry(operation).or_insert(cx.since);
                    let caller = Caller {
                        connection: cx.token.bits(),
                        operation,
                    };
                    if let Err(rejection) =
                        catalogue.submit_round(cx.world, caller, &plan, arrived, cx.now)
                    {
                        let mut sets = catalogue.sets();
                        let unwritten = self.stream.unwritten();
                        let mut context = SessionContext {
                            sets: &mut sets,
                            unwritten,
                            now: cx.now,
                            actions: &mut actions,
                        };
                        session.answered(operation, rejected_round(rejection), &mut context);
                    }
                }
                Action::Withdraw { operation } => {
                    let caller = Caller {
                        connection: cx.token.bits(),
                        operation,
                    };
                    cx.world.core.client_left(caller);
                    self.arrivals.remove(&operation);
                }
                Action::End => self.close_by = Some(cx.now + cx.world.limits.linger),
            }
        }
        let running: Vec<u32> = session.operations().collect();
        self.arrivals
            .retain(|operation, _| running.contains(operation));
    }

    /// Handles complete data units for as long as the session accepts more.
    fn read_units(&mut self, cx: &mut Cx<'_>) {
        while self
            .session
            .as_ref()
            .is_some_and(|s| s.may_read(self.stream.unwritten()))
        {
            match ber::read(
                &mut self.input,
                cx.world.limits.body_bytes,
                cx.world.limits.ber_depth,
            ) {
                Ok(Some(unit)) => {
                    self.last_used = cx.now;
                    self.step(cx, |session, context| session.receive(&unit, context));
                }
                Ok(None) => return,
                Err(problem) => {
                    tracing::debug!(%problem, "malformed data unit");
                    let text = problem.to_string();
                    self.close_session(cx, CloseReason::ProtocolError, &text);
                }
            }
        }
    }

    fn close_session(&mut self, cx: &mut Cx<'_>, reason: CloseReason, text: &str) {
        self.step(cx, |session, context| {
            session.close(reason, text, context.actions)
        });
    }

    fn is_busy(&self) -> bool {
        self.session.as_ref().is_some_and(Session::is_busy)
    }

    /// Updates the idle state, so that an idle connection may be evicted, and sets the timer for an
    /// idle session, an incomplete data unit, unread output or the end of the connection.
    fn schedule(&mut self, cx: &mut Cx<'_>) {
        let limits = cx.world.limits.clone();
        let mut due: Vec<Time> = self.close_by.into_iter().collect();
        if let Some((since, _)) = self.unread {
            due.push(since + limits.stalled_reader);
        }
        if self.close_by.is_none() {
            if self.is_busy() {
                self.incomplete_since = None;
                cx.world.clients.set_busy(cx.token);
            } else if self.input.is_empty() && self.last_used > 0 {
                self.incomplete_since = None;
                // Count a session as having had many requests, so that it is evicted last: its
                // result sets are lost with it.
                cx.world
                    .clients
                    .set_idle(cx.token, self.last_used, u32::MAX);
                due.push(self.last_used + limits.session_idle);
            } else if self.stream.unwritten() == 0 {
                let since = *self.incomplete_since.get_or_insert(cx.now);
                if !self.input.is_empty() {
                    cx.world.clients.set_partial(cx.token, since);
                }
                due.push(since + limits.request_read);
            }
        }
        match due.into_iter().min() {
            Some(at) => cx.set_timer(at),
            None => cx.clear_timer(),
        }
    }

    /// Whether reading is paused until the session has handled the buffered input.
    fn is_paused(&self, cx: &Cx<'_>) -> bool {
        self.close_by.is_none() && self.input.len() > cx.world.limits.body_bytes
    }

    fn flush(&mut self, cx: &mut Cx<'_>) {
        // While paused, leave input in the socket, so that it cannot accumulate here.
        let before = self.stream.unwritten();
        let ready = if self.is_paused(cx) {
            Ready::END
        } else {
            Ready::READ
        };
        match self.stream.flush_and_arm(cx.net, cx.token, ready) {
            Ok(false) => {
                self.unread = None;
                if self.close_by.is_some() {
                    self.stream.end_output();
                }
            }
            Ok(true) => {
                let left = self.stream.unwritten();
                let unchanged = self
                    .unread
                    .is_some_and(|(_, had)| left == had && before == had);
                if !unchanged {
                    self.unread = Some((cx.now, left));
                }
            }
            Err(_) => return cx.close(),
        }
        self.schedule(cx);
    }
}

impl Connection<Gatherer> for SessionConnection {
    fn opened(&mut self, cx: &mut Cx<'_>) -> io::Result<()> {
        self.session = Some(Session::new(
            self.catalogue.session.clone(),
            cx.token.bits(),
        ));
        self.incomplete_since = Some(cx.now);
        cx.set_timer(cx.now + cx.world.limits.request_read);
        self.stream.arm(cx.net, cx.token, Ready::READ)
    }

    fn ready(&mut self, cx: &mut Cx<'_>, ready: Ready) {
        if ready.ended && self.is_paused(cx) {
            return cx.close();
        }
        if ready.readable {
            let ended = match self
                .stream
                .read(&mut self.input, cx.world.limits.read_burst)
            {
                Ok(Input::Open) => false,
                Ok(Input::Ended) | Err(_) => true,
            };
            if self.close_by.is_some() {
                self.input.clear();
            }
            if ended {
                return cx.close();
            }
        }
        // The session accepts further requests only while little output is unwritten.
        if self.stream.flush().is_err() {
            return cx.close();
        }
        self.read_units(cx);
        self.flush(cx);
    }

    fn deliver(&mut self, cx: &mut Cx<'_>, message: Message) {
        match message {
            Message::Answer(operation, answer) => {
                let is_served = matches!(answer, Answer::Served { .. });
                let round = answered_round(&answer);
                self.last_used = if is_served { cx.now } else { self.last_used };
                self.step(cx, |session, context| {
                    session.answered(operation, round, context)
                });
                self.read_units(cx);
            }
            Message::Evict | Message::Retire if !self.is_busy() => {
                self.close_session(cx, CloseReason::Shutdown, "");
            }
            _ => {}
        }
        if cx.world.closes_connections(cx.now) && !self.is_busy() {
            self.close_session(cx, CloseReason::Shutdown, "");
        }
        self.flush(cx);
    }

    fn timer(&mut self, cx: &mut Cx<'_>) {
        let stalled = self
            .unread
            .is_some_and(|(since, _)| since + cx.world.limits.stalled_reader <= cx.now);
        if stalled || self.close_by.is_some_and(|at| at <= cx.now) {
            return cx.close();
        }
        if self.close_by.is_none() && !self.is_busy() {
            self.close_session(cx, CloseReason::LackOfActivity, "");
        }
        self.flush(cx);
    }

    fn closed(&mut self, cx: &mut Cx<'_>) {
        if let Some(session) = &self.session {
            for operation in session.operations() {
                cx.world.core.client_left(Caller {
                    connection: cx.token.bits(),
                    operation,
                });
            }
        }
        self.catalogue.sets().remove_all(cx.token.bits());
        cx.world.clients.remove(cx.token);
    }
}
