//! Queries a peer for its phase, and retries until it answers or the answer is no longer needed.

use crate::front::{Gatherer, Message};
use crate::net::{self, Attempt, Connection, Context, Input, Ready, Stream};
use std::io;
use std::net::SocketAddr;

type Cx<'a> = Context<'a, Gatherer>;

/// The query of one peer.
pub struct PeerQuery {
    peer: u64,
    address: SocketAddr,
    stream: Option<Stream>,
    connected: bool,
    input: Vec<u8>,
}

impl PeerQuery {
    /// A query of a peer at its address.
    pub fn new(peer: u64, address: SocketAddr) -> PeerQuery {
        PeerQuery {
            peer,
            address,
            stream: None,
            connected: false,
            input: Vec::new(),
        }
    }

    fn is_needed(&self, cx: &Cx<'_>) -> bool {
        let returning = cx.world.returning.as_ref();
        returning.is_some_and(|returning| returning.recovery().unanswered().contains(&self.peer))
    }

    fn start_attempt(&mut self, cx: &mut Cx<'_>) {
        if !self.is_needed(cx) {
            return cx.close();
        }
        (self.connected, self.stream) = (false, net::connect(self.address).ok());
        self.input.clear();
        // A peer that is down refuses the connection at once; a partitioned one does not respond,
        // so the attempt times out.
        cx.set_timer(cx.now + cx.world.limits.recovery_retry);
        if let Some(stream) = &mut self.stream {
            let waits = Ready::WRITE;
            if stream.arm(cx.net, cx.token, waits).is_err() {
                self.stream = None;
            }
        }
    }
}

impl Connection<Gatherer> for PeerQuery {
    fn opened(&mut self, cx: &mut Cx<'_>) -> io::Result<()> {
        self.start_attempt(cx);
        Ok(())
    }

    fn ready(&mut self, cx: &mut Cx<'_>, ready: Ready) {
        let Some(stream) = &mut self.stream else {
            return;
        };
        if !self.connected {
            match stream.attempt() {
                Attempt::Pending => return,
                Attempt::Up => self.connected = true,
                Attempt::Failed(_) => {
                    self.stream = None;
                    return;
                }
            }
            stream.push(format!("{}\n", super::PHASE_REQUEST).as_bytes());
        }
        if ready.readable {
            let end = stream.read(&mut self.input, cx.world.limits.read_burst);
            if let Some(at) = self.input.iter().position(|byte| *byte == b'\n') {
                if let (Some(answer), Some(returning)) = (
                    super::parse_phase_line(&self.input[..at]),
                    cx.world.returning.as_mut(),
                ) {
                    returning
                        .recovery_mut()
                        .on_peer_answer(self.peer, answer, cx.now);
                }
                return cx.close();
            }
            // The line is bounded, and a peer that closes the connection is queried again.
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
        self.start_attempt(cx);
    }
}
