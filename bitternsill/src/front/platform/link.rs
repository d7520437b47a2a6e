//! A connection to an index host that uses the frame protocol.

use super::frames::{self, End, Frame};
use crate::core::ports::{AttemptId, Outgoing};
use crate::front::hosts::Connector;
use crate::front::{Gatherer, Message};
use crate::limits::Limits;
use crate::net::{self, Attempt, Connection, Context, Input, Ready, Stream};
use dispatch::interface::{Outcome, ServerId, Time};
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

type Cx<'a> = Context<'a, Gatherer>;

/// Opens connections that use the frame protocol.
pub struct FrameConnector {
    /// The program's limits.
    pub limits: Rc<Limits>,
}

impl Connector for FrameConnector {
    fn connect(
        &self,
        host: ServerId,
        to: SocketAddr,
        now: Time,
    ) -> io::Result<Box<dyn Connection<Gatherer>>> {
        Ok(Box::new(Link {
            host,
            stream: net::connect(to)?,
            connected: false,
            retiring: false,
            connect_by: now + self.limits.connect,
            used: now,
            input: Vec::new(),
            queue: VecDeque::new(),
            writing: None,
            in_flight: HashMap::new(),
            closed_ids: HashMap::new(),
            closed_order: VecDeque::new(),
            no_input_since: None,
            unresponsive_since: None,
            partial_since: None,
            probes: VecDeque::new(),
        }))
    }

    fn connection_capacity(&self) -> usize {
        self.limits.parts_per_connection
    }

    // A host limits the parts in flight on a connection, however many calls they are sent in.
    fn call_cost(&self, parts: usize) -> usize {
        parts
    }
}

/// Why a part id is no longer in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Closed {
    Cancelled,
    Answered,
}

struct Link {
    host: ServerId,
    stream: Stream,
    connected: bool,
    /// Accepts no more calls, and closes once nothing is in flight.
    retiring: bool,
    connect_by: Time,
    used: Time,
    input: Vec<u8>,
    /// Calls of which no byte has been written yet.
    queue: VecDeque<Vec<Outgoing>>,
    /// The parts of the call whose frame is partly written.
    writing: Option<Vec<Outgoing>>,
    /// The attempts queued or in flight, by the part's id on the wire.
    in_flight: HashMap<String, AttemptId>,
    /// Ids cancelled or answered recently, for which an answer may still arrive.
    closed_ids: HashMap<String, Closed>,
    /// The keys of `closed_ids`, oldest first.
    closed_order: VecDeque<String>,
    /// Since when parts have been in flight and nothing was received.
    no_input_since: Option<Time>,
    /// When the connection was declared unresponsive.
    unresponsive_since: Option<Time>,
    /// Since when a frame has been received in part.
    partial_since: Option<Time>,
    probes: VecDeque<Time>,
}

impl Link {
    fn release_part(&self, cx: &mut Cx<'_>) {
        cx.world.hosts.release_capacity(self.host, cx.token, 1);
    }

    /// Writes queued calls, one frame at a time: as long as no byte of a frame is written, its
    /// parts are known not to have run.
    fn write(&mut self, cx: &mut Cx<'_>) {
        loop {
            if let Err(problem) = self.stream.flush() {
                tracing::debug!(host = self.host.0, %problem, "connection to index host broke");
                // Answers that arrived before the failure are still valid.
                let _ = self.read_input(cx);
                return cx.close();
            }
            if self.stream.unwritten() > 0 {
                break;
            }
            for part in self.writing.take().unwrap_or_default() {
                cx.world.core.mark_written(part.id);
            }
            let Some(parts) = self.queue.pop_front() else {
                break;
            };
            // After `not_after` the host no longer recognises a retry as a duplicate, so it must
            // not be sent.
            let (fresh, late): (Vec<_>, Vec<_>) =
                parts.into_iter().partition(|p| p.not_after > cx.now);
            for part in late {
                self.unsent(cx, &part, Outcome::Skipped);
            }
            if fresh.is_empty() {
                continue;
            }
            self.stream.push(&frames::call(&fresh, cx.now));
            self.used = cx.now;
            self.no_input_since.get_or_insert(cx.now);
            self.writing = Some(fresh);
        }
        // Arm without flushing: a flush here could finish the frame without `mark_written`, and its
        // parts would count as never run.
        let ready = Ready::READ.and_writable(self.stream.unwritten() > 0);
        if self.stream.arm(cx.net, cx.token, ready).is_err() {
            cx.close();
        }
    }

    fn unsent(&mut self, cx: &mut Cx<'_>, part: &Outgoing, outcome: Outcome) {
        self.in_flight.remove(&part.name);
        cx.world.hosts.attempt_ended(self.host, part.id);
        cx.world.core.attempt_ended(part.id, outcome, cx.now);
        self.release_part(cx);
    }

    fn queue_call(&mut self, cx: &mut Cx<'_>, parts: Vec<Outgoing>) {
        let waiting: usize = self.queue.iter().map(Vec::len).sum();
        let mut accepted = Vec::with_capacity(parts.len());
        for part in parts {
            // The answers to two attempts at one part could not be distinguished on one connection.
            if self.retiring
                || waiting >= cx.world.limits.queued_parts
                || self.in_flight.contains_key(&part.name)
            {
                self.reject_unsent(cx, &part);
                continue;
            }
            self.in_flight.insert(part.name.clone(), part.id);
            accepted.push(part);
        }
        if !accepted.is_empty() {
            self.queue.push_back(accepted);
        }
        if self.connected {
            self.write(cx);
        }
        self.schedule(cx);
    }

    /// Rejects a part without affecting an attempt with the same name that is in flight.
    fn reject_unsent(&mut self, cx: &mut Cx<'_>, part: &Outgoing) {
        cx.world.hosts.attempt_ended(self.host, part.id);
        cx.world
            .core
            .attempt_ended(part.id, Outcome::ConnectFailed, cx.now);
        self.release_part(cx);
    }

    fn cancel(&mut self, cx: &mut Cx<'_>, attempt: AttemptId) {
        let found = self.in_flight.iter().find(|(_, id)| **id == attempt);
        let Some(name) = found.map(|(name, _)| name.clone()) else {
            return;
        };
        self.in_flight.remove(&name);
        self.release_part(cx);
        for queued in &mut self.queue {
            let before = queued.len();
            queued.retain(|p| p.id != attempt);
            if queued.len() < before {
                return;
            }
        }
        if self.connected {
            self.stream.push(&frames::cancel(&name));
            self.remember(cx, name, Closed::Cancelled);
            self.used = cx.now;
            self.write(cx);
        }
        self.schedule(cx);
    }

    fn remember(&mut self, cx: &Cx<'_>, name: String, why: Closed) {
        if self.closed_ids.insert(name.clone(), why).is_none() {
            self.closed_order.push_back(name);
        }
        if self.closed_order.len() > cx.world.limits.recent_part_ids
            && let Some(oldest) = self.closed_order.pop_front()
        {
            self.closed_ids.remove(&oldest);
        }
    }

    /// Closes a connection whose input cannot be parsed any further; parts in flight may have run.
    /// A single part in flight is the one that was answered, so it ends as an error. Several end as
    /// cancelled: the host is alive, and the dispatcher would take resets for a crash.
    fn close_malformed(&mut self, cx: &mut Cx<'_>, problem: &dyn fmt::Display) {
        self.input.clear();
        self.abandon(
            cx,
            problem,
            if self.in_flight.len() == 1 {
                Outcome::Error
            } else {
                Outcome::Cancelled
            },
        );
    }

    fn abandon(&mut self, cx: &mut Cx<'_>, problem: &dyn fmt::Display, outcome: Outcome) {
        tracing::debug!(
            host = self.host.0,
            %problem,
            in_flight = self.in_flight.len(),
            "connection to index host abandoned"
        );
        for (_, attempt) in self.in_flight.drain() {
            cx.world.hosts.attempt_ended(self.host, attempt);
            cx.world.core.attempt_interrupted(attempt, outcome, cx.now);
        }
        cx.close();
    }

    fn frame(&mut self, cx: &mut Cx<'_>, frame: Frame) {
        match frame {
            Frame::Ended { name, end } => {
                // After a cancellation the id may be in flight again, and this answer may be to
                // either attempt. A value is valid for both; a rejection does not prove that the
                // new attempt did not run.
                let is_ambiguous = self.closed_ids.get(&name) == Some(&Closed::Cancelled);
                let Some(attempt) = self.in_flight.remove(&name) else {
                    // A duplicate or late answer is ignored. An id that was never in flight here
                    // is the corrupted answer to another part.
                    if !self.closed_ids.contains_key(&name) || end == End::Malformed {
                        self.close_malformed(cx, &"answer with an unknown part id");
                    }
                    return;
                };
                cx.world.hosts.attempt_ended(self.host, attempt);
                if !matches!(end, End::Served(_)) {
                    tracing::debug!(host = self.host.0, name, ?end, "part not served");
                }
                let is_malformed = end == End::Malformed;
                match end {
                    End::Served(value) => cx.world.core.attempt_served(attempt, value, cx.now),
                    End::Rejected if !is_ambiguous => {
                        cx.world
                            .core
                            .attempt_ended(attempt, Outcome::Rejected, cx.now)
                    }
                    End::Rejected | End::Error | End::Malformed => {
                        cx.world.core.attempt_ended(attempt, Outcome::Error, cx.now);
                    }
                }
                self.release_part(cx);
                self.remember(cx, name, Closed::Answered);
                if is_malformed {
                    self.close_malformed(cx, &"malformed answer");
                }
            }
            Frame::Probed { good } => {
                if self.probes.pop_front().is_some() {
                    let outcome = if good { Outcome::Ok } else { Outcome::Error };
                    cx.world.core.probe_ended(self.host, outcome, cx.now);
                }
            }
            Frame::Unusable(reason) => {
                tracing::warn!(
                    host = self.host.0,
                    reason,
                    "an index host could not parse a frame"
                );
                cx.close();
            }
        }
    }

    /// Reads from the socket and handles each complete frame.
    fn read_input(&mut self, cx: &mut Cx<'_>) -> io::Result<Input> {
        let end = self
            .stream
            .read(&mut self.input, cx.world.limits.read_burst);
        if !self.input.is_empty() {
            (self.no_input_since, self.unresponsive_since) = (Some(cx.now), None);
            cx.world.hosts.set_unresponsive(self.host, false);
        }
        while !cx.is_closing() {
            match frames::read(&mut self.input, cx.world.limits.frame_bytes) {
                Ok(Some(frame)) => {
                    self.used = cx.now;
                    self.partial_since = None;
                    self.frame(cx, frame);
                }
                Ok(None) => break,
                Err(problem) => self.close_malformed(cx, &problem),
            }
        }
        // Hosts write a frame at once, so one that stays incomplete has a wrong length.
        self.partial_since = match (self.input.is_empty(), self.partial_since) {
            (true, _) => None,
            (false, since) => Some(since.unwrap_or(cx.now)),
        };
        end
    }

    fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
            && self.queue.is_empty()
            && self.writing.is_none()
            && self.probes.is_empty()
    }

    /// Sets the timer for what is expected next: the connection, the rest of a frame, any answer,
    /// or the end of the idle time, which is shorter than the host's own.
    fn schedule(&mut self, cx: &mut Cx<'_>) {
        if self.in_flight.is_empty() {
            self.no_input_since = None;
        }
        if !self.connected {
            cx.set_timer(self.connect_by);
        } else if let Some(since) = self.partial_since {
            cx.set_timer(since + cx.world.limits.frame_read);
        } else if self.is_idle() {
            if self.retiring {
                return cx.close();
            }
            cx.set_timer(self.used + cx.world.limits.host_idle);
        } else if let Some(since) = self.no_input_since {
            let unresponsive_at = || since + cx.world.hosts.unresponsive_after(self.host);
            cx.set_timer(self.unresponsive_since.map_or_else(unresponsive_at, |at| {
                at + 2 * cx.world.limits.link_unresponsive
            }));
        } else {
            cx.clear_timer();
        }
    }

    /// Declares the connection unresponsive. A middlebox may have dropped its state while the host
    /// is alive, and a missing answer is the only sign of that. New calls use another connection at
    /// once; attempts in flight are cancelled if nothing arrives for some more time.
    fn set_unresponsive(&mut self, cx: &mut Cx<'_>) {
        tracing::info!(
            host = self.host.0,
            in_flight = self.in_flight.len(),
            "connection to index host is unresponsive"
        );
        self.unresponsive_since = Some(cx.now);
        cx.world.hosts.set_unresponsive(self.host, true);
        self.retire(cx);
    }

    fn retire(&mut self, cx: &mut Cx<'_>) {
        self.retiring = true;
        cx.world.hosts.link_ended(self.host, cx.token);
        self.drop_unsent(cx);
        self.schedule(cx);
    }

    /// Ends queued attempts, which never ran as none of their bytes were written.
    fn drop_unsent(&mut self, cx: &mut Cx<'_>) {
        for part in std::mem::take(&mut self.queue).iter().flatten() {
            self.unsent(cx, part, Outcome::ConnectFailed);
        }
    }
}

impl Connection<Gatherer> for Link {
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
            self.used = cx.now;
            self.write(cx);
            return self.schedule(cx);
        }
        if ready.readable {
            let end = self.read_input(cx);
            if cx.is_closing() {
                return;
            }
            if !matches!(end, Ok(Input::Open)) {
                return cx.close();
            }
        }
        self.write(cx);
        self.schedule(cx);
    }

    fn deliver(&mut self, cx: &mut Cx<'_>, message: Message) {
        match message {
            Message::Call(parts) => self.queue_call(cx, parts),
            Message::CancelAttempt(attempt) => self.cancel(cx, attempt),
            Message::Probe => {
                if self.retiring || self.probes.len() >= cx.world.limits.queued_probes {
                    return cx
                        .world
                        .core
                        .probe_ended(self.host, Outcome::ConnectFailed, cx.now);
                }
                self.probes.push_back(cx.now);
                // While connecting, the probe is buffered and written once connected.
                self.stream.push(&frames::probe());
                if self.connected {
                    self.write(cx);
                }
                self.schedule(cx);
            }
            Message::CloseIdle if self.is_idle() => cx.close(),
            Message::CloseIdle | Message::HostDraining => self.retire(cx),
            _ => {}
        }
    }

    fn timer(&mut self, cx: &mut Cx<'_>) {
        if self.partial_since.is_some() {
            self.close_malformed(cx, &"incomplete frame");
        } else if !self.connected || self.is_idle() {
            cx.close();
        } else if self.unresponsive_since.is_some() {
            self.abandon(cx, &"connection stays unresponsive", Outcome::Cancelled);
        } else {
            self.set_unresponsive(cx);
        }
    }

    fn closed(&mut self, cx: &mut Cx<'_>) {
        cx.world.hosts.link_ended(self.host, cx.token);
        for (_, attempt) in self.in_flight.drain() {
            cx.world.hosts.attempt_ended(self.host, attempt);
            cx.world.core.connection_broken(attempt, cx.now);
        }
        if !self.probes.is_empty() {
            let outcome = if self.connected {
                Outcome::Reset
            } else {
                Outcome::ConnectFailed
            };
            cx.world.core.probe_ended(self.host, outcome, cx.now);
        }
    }
}
