//! One connection to an index host, in frames.

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

/// Opens links in frames.
pub struct FrameConnector {
    /// Every bound.
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
            up: false,
            retiring: false,
            connect_by: now + self.limits.connect,
            used: now,
            input: Vec::new(),
            queue: VecDeque::new(),
            writing: None,
            out: HashMap::new(),
            past: HashMap::new(),
            past_order: VecDeque::new(),
            mute_since: None,
            mute: None,
            partial_since: None,
            probes: VecDeque::new(),
        }))
    }

    fn connection_capacity(&self) -> usize {
        self.limits.parts_per_connection
    }

    // A host reads no more parts than that from one connection, however many calls they come in.
    fn call_cost(&self, parts: usize) -> usize {
        parts
    }
}

/// Why an id is no longer out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Past {
    GivenUp,
    Answered,
}

struct Link {
    host: ServerId,
    stream: Stream,
    up: bool,
    /// Takes no new work; closes once nothing is out.
    retiring: bool,
    connect_by: Time,
    used: Time,
    input: Vec<u8>,
    /// The parts of each call of which no byte is written yet.
    queue: VecDeque<Vec<Outgoing>>,
    /// Those of the call whose frame is partly written.
    writing: Option<Vec<Outgoing>>,
    /// What is out here, by the part's id on the wire.
    out: HashMap<String, AttemptId>,
    /// Ids given up or answered here, of which an answer may still come, and their order.
    past: HashMap<String, Past>,
    past_order: VecDeque<String>,
    /// Since when parts have been out here and nothing has come.
    mute_since: Option<Time>,
    /// When it was taken to have fallen mute.
    mute: Option<Time>,
    /// Since when a frame has been there in part.
    partial_since: Option<Time>,
    probes: VecDeque<Time>,
}

impl Link {
    fn end_part(&self, cx: &mut Cx<'_>) {
        cx.world.hosts.release_capacity(self.host, cx.token, 1);
    }

    /// Hands queued calls to the socket, one frame at a time so that no byte of the next is written
    /// early.
    fn write(&mut self, cx: &mut Cx<'_>) {
        loop {
            if let Err(problem) = self.stream.flush() {
                tracing::debug!(host = self.host.0, %problem, "a link broke");
                // What its host had said before that is there to be read, and counts.
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
            // The host no longer drops a repeat that reaches it too late, so that must not be
            // written.
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
            self.mute_since.get_or_insert(cx.now);
            self.writing = Some(fresh);
        }
        // Only armed here: a flush that finished the frame unseen would leave its parts counted as
        // never run.
        let ready = Ready::READ.and_writable(self.stream.unwritten() > 0);
        if self.stream.arm(cx.net, cx.token, ready).is_err() {
            cx.close();
        }
    }

    fn unsent(&mut self, cx: &mut Cx<'_>, part: &Outgoing, outcome: Outcome) {
        self.out.remove(&part.name);
        cx.world.hosts.attempt_ended(self.host, part.id);
        cx.world.core.attempt_ended(part.id, outcome, cx.now);
        self.end_part(cx);
    }

    fn take_call(&mut self, cx: &mut Cx<'_>, parts: Vec<Outgoing>) {
        let waiting: usize = self.queue.iter().map(Vec::len).sum();
        let mut taken = Vec::with_capacity(parts.len());
        for part in parts {
            // Two attempts of one part on one connection could not be told apart.
            if self.retiring
                || waiting >= cx.world.limits.queued_parts
                || self.out.contains_key(&part.name)
            {
                self.unsent_new(cx, &part);
                continue;
            }
            self.out.insert(part.name.clone(), part.id);
            taken.push(part);
        }
        if !taken.is_empty() {
            self.queue.push_back(taken);
        }
        if self.up {
            self.write(cx);
        }
        self.schedule(cx);
    }

    /// Turns a part away without touching an attempt of the same name that is out.
    fn unsent_new(&mut self, cx: &mut Cx<'_>, part: &Outgoing) {
        cx.world.hosts.attempt_ended(self.host, part.id);
        cx.world
            .core
            .attempt_ended(part.id, Outcome::ConnectFailed, cx.now);
        self.end_part(cx);
    }

    fn cancel(&mut self, cx: &mut Cx<'_>, attempt: AttemptId) {
        let held = self.out.iter().find(|(_, id)| **id == attempt);
        let Some(name) = held.map(|(name, _)| name.clone()) else {
            return;
        };
        self.out.remove(&name);
        self.end_part(cx);
        for queued in &mut self.queue {
            let before = queued.len();
            queued.retain(|p| p.id != attempt);
            if queued.len() < before {
                return;
            }
        }
        if self.up {
            self.stream.push(&frames::give_up(&name));
            self.remember(cx, name, Past::GivenUp);
            self.used = cx.now;
            self.write(cx);
        }
        self.schedule(cx);
    }

    fn remember(&mut self, cx: &Cx<'_>, name: String, past: Past) {
        if self.past.insert(name.clone(), past).is_none() {
            self.past_order.push_back(name);
        }
        if self.past_order.len() > cx.world.limits.past_parts
            && let Some(oldest) = self.past_order.pop_front()
        {
            self.past.remove(&oldest);
        }
    }

    /// Nothing more can be read here: what is out ends with the connection, and may have run. The
    /// host lives, so a lone part has had its answer, a bad one, and of several each is called off
    /// rather than reset: resets would speak of a host that died.
    fn spoilt(&mut self, cx: &mut Cx<'_>, problem: &dyn fmt::Display) {
        self.input.clear();
        self.cut_off(
            cx,
            problem,
            if self.out.len() == 1 {
                Outcome::Error
            } else {
                Outcome::Cancelled
            },
        );
    }

    fn cut_off(&mut self, cx: &mut Cx<'_>, problem: &dyn fmt::Display, outcome: Outcome) {
        tracing::debug!(host = self.host.0, %problem, out = self.out.len(), "a link is given up");
        for (_, attempt) in self.out.drain() {
            cx.world.hosts.attempt_ended(self.host, attempt);
            cx.world.core.attempt_interrupted(attempt, outcome, cx.now);
        }
        cx.close();
    }

    fn frame(&mut self, cx: &mut Cx<'_>, frame: Frame) {
        match frame {
            Frame::Ended { name, end } => {
                // An id given up here may be out again: only a value can be told to belong to
                // either.
                let doubled = self.past.get(&name) == Some(&Past::GivenUp);
                let Some(attempt) = self.out.remove(&name) else {
                    // A second copy, or late; but an id that was never here is somebody's answer,
                    // spoilt.
                    if !self.past.contains_key(&name) || end == End::Spoilt {
                        self.spoilt(cx, &"an unknown id");
                    }
                    return;
                };
                cx.world.hosts.attempt_ended(self.host, attempt);
                if !matches!(end, End::Good(_)) {
                    tracing::debug!(host = self.host.0, name, ?end, "not served");
                }
                let is_spoilt = end == End::Spoilt;
                match end {
                    End::Good(value) => cx.world.core.attempt_served(attempt, value, cx.now),
                    End::Later if !doubled => {
                        cx.world
                            .core
                            .attempt_ended(attempt, Outcome::Rejected, cx.now)
                    }
                    End::Later | End::Bad | End::Spoilt => {
                        cx.world.core.attempt_ended(attempt, Outcome::Error, cx.now);
                    }
                }
                self.end_part(cx);
                self.remember(cx, name, Past::Answered);
                if is_spoilt {
                    self.spoilt(cx, &"a spoilt answer");
                }
            }
            Frame::Probed { good } => {
                if self.probes.pop_front().is_some() {
                    let outcome = if good { Outcome::Ok } else { Outcome::Error };
                    cx.world.core.probe_ended(self.host, outcome, cx.now);
                }
            }
            Frame::Unusable(words) => {
                tracing::warn!(
                    host = self.host.0,
                    words,
                    "an index host could not use a frame"
                );
                cx.close();
            }
        }
    }

    /// Reads what the host has said and acts on each whole frame.
    fn read_input(&mut self, cx: &mut Cx<'_>) -> io::Result<Input> {
        let end = self
            .stream
            .read(&mut self.input, cx.world.limits.read_burst);
        if !self.input.is_empty() {
            (self.mute_since, self.mute) = (Some(cx.now), None);
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
                Err(problem) => self.spoilt(cx, &problem),
            }
        }
        // Hosts write a frame at once. One that stays in part claims a length that does not fit.
        self.partial_since = match (self.input.is_empty(), self.partial_since) {
            (true, _) => None,
            (false, since) => Some(since.unwrap_or(cx.now)),
        };
        end
    }

    fn is_idle(&self) -> bool {
        self.out.is_empty()
            && self.queue.is_empty()
            && self.writing.is_none()
            && self.probes.is_empty()
    }

    /// Sets the timer: to come up in time, or to close before the host does for want of use.
    fn schedule(&mut self, cx: &mut Cx<'_>) {
        if self.out.is_empty() {
            self.mute_since = None;
        }
        if !self.up {
            cx.set_timer(self.connect_by);
        } else if let Some(since) = self.partial_since {
            cx.set_timer(since + cx.world.limits.frame_read);
        } else if self.is_idle() {
            if self.retiring {
                return cx.close();
            }
            cx.set_timer(self.used + cx.world.limits.host_idle);
        } else if let Some(since) = self.mute_since {
            let mute = || since + cx.world.hosts.unresponsive_after(self.host);
            cx.set_timer(
                self.mute
                    .map_or_else(mute, |at| at + 2 * cx.world.limits.link_unresponsive),
            );
        } else {
            cx.clear_timer();
        }
    }

    /// A connection can fall silent while its host lives on, as when a machine on the way forgets
    /// it: nothing tells so but the silence. New work takes another connection at once; what is out
    /// is called off a little later.
    fn fall_mute(&mut self, cx: &mut Cx<'_>) {
        tracing::info!(host = self.host.0, out = self.out.len(), "a link is mute");
        self.mute = Some(cx.now);
        cx.world.hosts.set_unresponsive(self.host, true);
        self.retire(cx);
    }

    fn retire(&mut self, cx: &mut Cx<'_>) {
        self.retiring = true;
        cx.world.hosts.link_ended(self.host, cx.token);
        self.drop_unsent(cx);
        self.schedule(cx);
    }

    /// Ends what is queued: none of its bytes were written, so it never ran.
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
        if !self.up {
            match self.stream.attempt() {
                Attempt::Pending => return,
                Attempt::Up => self.up = true,
                Attempt::Failed(problem) => {
                    tracing::debug!(host = self.host.0, %problem, "no connection");
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
            Message::Call(parts) => self.take_call(cx, parts),
            Message::CancelAttempt(attempt) => self.cancel(cx, attempt),
            Message::Probe => {
                if self.retiring || self.probes.len() >= cx.world.limits.queued_probes {
                    return cx
                        .world
                        .core
                        .probe_ended(self.host, Outcome::ConnectFailed, cx.now);
                }
                self.probes.push_back(cx.now);
                // Bytes pushed while connecting are written as soon as the connection is up.
                self.stream.push(&frames::probe());
                if self.up {
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
            self.spoilt(cx, &"a frame that does not end");
        } else if !self.up || self.is_idle() {
            cx.close();
        } else if self.mute.is_some() {
            self.cut_off(cx, &"a link stays mute", Outcome::Cancelled);
        } else {
            self.fall_mute(cx);
        }
    }

    fn closed(&mut self, cx: &mut Cx<'_>) {
        cx.world.hosts.link_ended(self.host, cx.token);
        for (_, attempt) in self.out.drain() {
            cx.world.hosts.attempt_ended(self.host, attempt);
            cx.world.core.connection_broken(attempt, cx.now);
        }
        if !self.probes.is_empty() {
            let outcome = if self.up {
                Outcome::Reset
            } else {
                Outcome::ConnectFailed
            };
            cx.world.core.probe_ended(self.host, outcome, cx.now);
        }
    }
}
