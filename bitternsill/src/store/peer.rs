//! The outgoing connection to another member of the store.

use crate::front::{Gatherer, Message};
use crate::net::{self, Attempt, Connection, Context, Input, Ready, Stream};
use dispatch::interface::Time;
use std::io;
use std::net::SocketAddr;

type Cx<'a> = Context<'a, Gatherer>;

/// Sends messages to another member. A message that cannot be sent at once is dropped: Raft
/// tolerates lost messages.
pub(super) struct Peer {
    address: SocketAddr,
    stream: Option<Stream>,
    connected: bool,
    retry_at: Time,
}

impl Peer {
    pub(super) fn new(address: SocketAddr) -> Peer {
        Peer {
            address,
            stream: None,
            connected: false,
            retry_at: 0,
        }
    }

    fn drop_stream(&mut self, cx: &mut Cx<'_>) {
        self.stream = None;
        self.connected = false;
        self.retry_at = cx.now + cx.world.limits.store_retry;
        cx.clear_timer();
    }

    fn write(&mut self, cx: &mut Cx<'_>) {
        let Some(stream) = &mut self.stream else {
            return;
        };
        let flushed = if self.connected {
            stream.flush()
        } else {
            Ok(())
        };
        let ready = if self.connected {
            Ready::READ.and_writable(stream.unwritten() > 0)
        } else {
            Ready::WRITE
        };
        if flushed
            .and_then(|()| stream.arm(cx.net, cx.token, ready))
            .is_err()
        {
            self.drop_stream(cx);
        }
    }
}

impl Connection<Gatherer> for Peer {
    fn opened(&mut self, _cx: &mut Cx<'_>) -> io::Result<()> {
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
                Attempt::Failed(_) => return self.drop_stream(cx),
            }
            cx.clear_timer();
        } else if ready.readable {
            // Members respond on their own connections: all that is read here is the end of the
            // stream.
            let mut unexpected = Vec::new();
            if !matches!(
                stream.read(&mut unexpected, cx.world.limits.read_burst),
                Ok(Input::Open)
            ) {
                return self.drop_stream(cx);
            }
        }
        self.write(cx);
    }

    fn deliver(&mut self, cx: &mut Cx<'_>, message: Message) {
        let Message::Line(line) = message else { return };
        if self.stream.is_none() && cx.now >= self.retry_at {
            self.stream = net::connect(self.address).ok();
            self.retry_at = cx.now + cx.world.limits.store_retry;
            cx.set_timer(cx.now + cx.world.limits.connect);
        }
        let limit = cx.world.limits.frame_bytes * 2;
        if let Some(stream) = self
            .stream
            .as_mut()
            .filter(|s| s.unwritten() + line.len() <= limit)
        {
            stream.push(line.as_bytes());
        }
        self.write(cx);
    }

    fn timer(&mut self, cx: &mut Cx<'_>) {
        self.drop_stream(cx);
    }
}
