//! A peer is asked for its phase: again and again until it answers, or its answer is waited for no
//! more.

use crate::front::{Gatherer, Message};
use crate::net::{self, Attempt, Connection, Context, Input, Ready, Stream};
use std::io;
use std::net::SocketAddr;

type Cx<'a> = Context<'a, Gatherer>;

/// The object that asks one peer.
pub struct Question {
    peer: u64,
    to: SocketAddr,
    stream: Option<Stream>,
    up: bool,
    input: Vec<u8>,
}

impl Question {
    /// Asks a peer at its address.
    pub fn new(peer: u64, to: SocketAddr) -> Question {
        Question {
            peer,
            to,
            stream: None,
            up: false,
            input: Vec::new(),
        }
    }

    fn is_wanted(&self, cx: &Cx<'_>) -> bool {
        let returning = cx.world.returning.as_ref();
        returning.is_some_and(|returning| returning.state().unanswered().contains(&self.peer))
    }

    fn begin(&mut self, cx: &mut Cx<'_>) {
        if !self.is_wanted(cx) {
            return cx.close();
        }
        (self.up, self.stream) = (false, net::connect(self.to).ok());
        self.input.clear();
        // A peer that is off refuses at once; one that is cut off says nothing.
        cx.set_timer(cx.now + cx.world.limits.recovery_retry);
        if let Some(stream) = &mut self.stream {
            let waits = Ready::WRITE;
            if stream.arm(cx.net, cx.token, waits).is_err() {
                self.stream = None;
            }
        }
    }
}

impl Connection<Gatherer> for Question {
    fn opened(&mut self, cx: &mut Cx<'_>) -> io::Result<()> {
        self.begin(cx);
        Ok(())
    }

    fn ready(&mut self, cx: &mut Cx<'_>, ready: Ready) {
        let Some(stream) = &mut self.stream else {
            return;
        };
        if !self.up {
            match stream.attempt() {
                Attempt::Pending => return,
                Attempt::Up => self.up = true,
                Attempt::Failed(_) => {
                    self.stream = None;
                    return;
                }
            }
            stream.push(format!("{}\n", super::ASK).as_bytes());
        }
        if ready.readable {
            let end = stream.read(&mut self.input, cx.world.limits.read_burst);
            if let Some(at) = self.input.iter().position(|byte| *byte == b'\n') {
                if let (Some(answer), Some(returning)) = (
                    super::read_line(&self.input[..at]),
                    cx.world.returning.as_mut(),
                ) {
                    returning.tell().answered(self.peer, answer, cx.now);
                }
                return cx.close();
            }
            // A line has a bound, and a peer that hangs up is asked again.
            if self.input.len() > cx.world.limits.frame_bytes || !matches!(end, Ok(Input::Open)) {
                self.stream = None;
                return;
            }
        }
        if stream.flush_and_arm(cx.net, cx.token, Ready::READ).is_err() {
            self.stream = None;
        }
    }

    fn deliver(&mut self, _cx: &mut Cx<'_>, _message: Message) {}

    fn timer(&mut self, cx: &mut Cx<'_>) {
        self.begin(cx);
    }
}
