//! A Z39.50 session's socket: its bytes, its timers and its operations' way to the core.

use super::{Shared, ended, not_taken};
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

/// One session's connection.
pub struct SessionConnection {
    catalogue: Shared,
    stream: Stream,
    input: Vec<u8>,
    session: Option<Session>,
    /// When the data unit that is not whole yet began to come, or the session, where there was
    /// none.
    begun: Option<Time>,
    /// When each operation's request came.
    asked: BTreeMap<u32, Time>,
    /// Since when the client has read nothing of what waits for it, and how much that was.
    unread: Option<(Time, usize)>,
    /// When the last request or answer was.
    used: Time,
    /// Everything is said; the connection ends when it is written.
    ending: Option<Time>,
}

impl SessionConnection {
    /// The connection object of an accepted socket.
    pub fn accept(catalogue: Shared, stream: Stream) -> Box<dyn Connection<Gatherer>> {
        Box::new(SessionConnection {
            catalogue,
            stream,
            input: Vec::new(),
            session: None,
            begun: None,
            asked: BTreeMap::new(),
            unread: None,
            used: 0,
            ending: None,
        })
    }

    /// Lets the session do something and carries out what comes of it, until nothing more does.
    fn step(&mut self, cx: &mut Cx<'_>, first: impl FnOnce(&mut Session, &mut SessionContext<'_>)) {
        let catalogue = self.catalogue.clone();
        let Some(session) = &mut self.session else {
            return;
        };
        let mut actions = Vec::new();
        {
            let mut sets = catalogue.sets();
            let unwritten = self.stream.unwritten();
            first(
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
        while let Some(act) = actions.get(at).cloned() {
            at += 1;
            match act {
                Action::Send(bytes) => self.stream.push(&bytes),
                Action::Ask { operation, plan } => {
                    let arrived = *self.asked.entry(operation).or_insert(cx.since);
                    let caller = Caller {
                        connection: cx.token.bits(),
                        operation,
                    };
                    if let Err(refusal) = catalogue.ask(cx.world, caller, &plan, arrived, cx.now) {
                        let mut sets = catalogue.sets();
                        let unwritten = self.stream.unwritten();
                        let mut context = SessionContext {
                            sets: &mut sets,
                            unwritten,
                            now: cx.now,
                            actions: &mut actions,
                        };
                        session.answered(operation, not_taken(refusal), &mut context);
                    }
                }
                Action::Withdraw { operation } => {
                    let caller = Caller {
                        connection: cx.token.bits(),
                        operation,
                    };
                    cx.world.core.client_left(caller);
                    self.asked.remove(&operation);
                }
                Action::End => self.ending = Some(cx.now + cx.world.limits.linger),
            }
        }
        let running: Vec<u32> = session.operations().collect();
        self.asked
            .retain(|operation, _| running.contains(operation));
    }

    /// Reads data units and acts on them, for as long as the session takes further ones.
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
                    self.used = cx.now;
                    self.step(cx, |session, context| session.receive(&unit, context));
                }
                Ok(None) => return,
                Err(problem) => {
                    tracing::debug!(%problem, "bad data unit");
                    let words = problem.to_string();
                    self.close_session(cx, CloseReason::ProtocolError, &words);
                }
            }
        }
    }

    fn close_session(&mut self, cx: &mut Cx<'_>, reason: CloseReason, words: &str) {
        self.step(cx, |session, context| {
            session.close(reason, words, context.actions)
        });
    }

    fn is_busy(&self) -> bool {
        self.session.as_ref().is_some_and(Session::is_busy)
    }

    /// Between requests: may be closed for room, and is closed after long disuse, or when it leaves
    /// a data unit half said or its answers unread.
    fn rest(&mut self, cx: &mut Cx<'_>) {
        let limits = cx.world.limits.clone();
        let mut due: Vec<Time> = self.ending.into_iter().collect();
        if let Some((since, _)) = self.unread {
            due.push(since + limits.stalled_reader);
        }
        if self.ending.is_none() {
            if self.is_busy() {
                self.begun = None;
                cx.world.clients.set_busy(cx.token);
            } else if self.input.is_empty() && self.used > 0 {
                self.begun = None;
                // A session holds result sets, so it is worth more than a connection that asked
                // once.
                cx.world.clients.set_idle(cx.token, self.used, u32::MAX);
                due.push(self.used + limits.session_idle);
            } else if self.stream.unwritten() == 0 {
                let begun = *self.begun.get_or_insert(cx.now);
                if !self.input.is_empty() {
                    cx.world.clients.set_partial(cx.token, begun);
                }
                due.push(begun + limits.request_read);
            }
        }
        match due.into_iter().min() {
            Some(at) => cx.set_timer(at),
            None => cx.clear_timer(),
        }
    }

    /// Whether nothing more is read until the session has taken what is here.
    fn is_paused(&self, cx: &Cx<'_>) -> bool {
        self.ending.is_none() && self.input.len() > cx.world.limits.body_bytes
    }

    fn flush(&mut self, cx: &mut Cx<'_>) {
        // Bytes past what may be taken wait in the socket, so that they cannot pile up here.
        let before = self.stream.unwritten();
        let ready = if self.is_paused(cx) {
            Ready::END
        } else {
            Ready::READ
        };
        match self.stream.flush_and_arm(cx.net, cx.token, ready) {
            Ok(false) => {
                self.unread = None;
                if self.ending.is_some() {
                    self.stream.end_output();
                }
            }
            Ok(true) => {
                let left = self.stream.unwritten();
                let same = self
                    .unread
                    .is_some_and(|(_, had)| left == had && before == had);
                if !same {
                    self.unread = Some((cx.now, left));
                }
            }
            Err(_) => return cx.close(),
        }
        self.rest(cx);
    }
}

impl Connection<Gatherer> for SessionConnection {
    fn opened(&mut self, cx: &mut Cx<'_>) -> io::Result<()> {
        self.session = Some(Session::new(
            self.catalogue.session.clone(),
            cx.token.bits(),
        ));
        self.begun = Some(cx.now);
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
            if self.ending.is_some() {
                self.input.clear();
            }
            if ended {
                return cx.close();
            }
        }
        // What is written makes room for further requests.
        if self.stream.flush().is_err() {
            return cx.close();
        }
        self.read_units(cx);
        self.flush(cx);
    }

    fn deliver(&mut self, cx: &mut Cx<'_>, message: Message) {
        match message {
            Message::Answer(operation, answer) => {
                let after = matches!(answer, Answer::Served { .. });
                let round = ended(&answer);
                self.used = if after { cx.now } else { self.used };
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
        if stalled || self.ending.is_some_and(|at| at <= cx.now) {
            return cx.close();
        }
        if self.ending.is_none() && !self.is_busy() {
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
