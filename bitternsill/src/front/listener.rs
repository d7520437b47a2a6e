//! The listener for client connections of all protocols.

use super::clients::Eviction;
use super::{Gatherer, Message};
use crate::net::{Connection, Context, Ready, Stream};
use std::io;
use std::net::{TcpListener, TcpStream};

type Cx<'a> = Context<'a, Gatherer>;

/// Creates the connection object for an accepted socket.
pub type Accept = Box<dyn Fn(Stream, &Gatherer) -> Box<dyn Connection<Gatherer>>>;

/// A listening socket.
pub struct Listener {
    socket: TcpListener,
    accept: Accept,
    /// The process is shutting down: the listener closes once the backlog is empty.
    retiring: bool,
}

impl Listener {
    /// Creates a listener whose connections are created by `accept`.
    pub fn new(socket: TcpListener, accept: Accept) -> Self {
        Listener {
            socket,
            accept,
            retiring: false,
        }
    }

    fn set_listening(&mut self, cx: &mut Cx<'_>, on: bool) {
        // A failure only makes the event loop spin until the timer fires.
        let _ = cx.net.rearm(
            &self.socket,
            cx.token,
            if on { Ready::READ } else { Ready::default() },
        );
    }

    /// Evicts some idle connections, and accepts again after a backoff.
    fn evict_and_back_off(&mut self, cx: &mut Cx<'_>) {
        let limits = cx.world.limits.clone();
        for _ in 0..limits.eviction_burst {
            if cx.world.clients.evict_one(cx.net, cx.now, &limits) != Eviction::Started {
                break;
            }
        }
        self.set_listening(cx, false);
        cx.set_timer(cx.now + cx.world.limits.accept_backoff);
    }

    /// Accepts the whole backlog, as closing the listener would reset connections left in it. If no
    /// descriptors are left it continues after a backoff, as idle connections are being closed.
    fn accept_all(&mut self, cx: &mut Cx<'_>) {
        loop {
            match self.socket.accept() {
                Ok((socket, _)) => self.open_connection(cx, socket),
                Err(e) if is_transient(&e) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return cx.close(),
                Err(_) => {
                    self.set_listening(cx, false);
                    return cx.set_timer(cx.now + cx.world.limits.accept_backoff);
                }
            }
        }
    }

    fn open_connection(&mut self, cx: &mut Cx<'_>, socket: TcpStream) {
        if let Err(problem) = socket
            .set_nonblocking(true)
            .and_then(|()| socket.set_nodelay(true))
        {
            tracing::warn!(%problem, "cannot configure an accepted socket");
            return;
        }
        let connection = (self.accept)(Stream::new(socket), cx.world);
        let token = cx.net.open(connection);
        cx.world.clients.add(token, cx.now);
    }

    fn accept_ready(&mut self, cx: &mut Cx<'_>) {
        for _ in 0..cx.world.limits.accept_burst {
            // Clients in the backlog are connected already, so idle connections are evicted for
            // them.
            if cx.world.clients.len() >= cx.world.max_clients() {
                return self.evict_and_back_off(cx);
            }
            match self.socket.accept() {
                Ok((socket, _)) => self.open_connection(cx, socket),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if is_transient(&e) => {}
                Err(problem) => {
                    // Out of descriptors. Without a backoff the loop would spin, as the listener
                    // stays ready.
                    tracing::warn!(%problem, "cannot accept a connection");
                    return self.evict_and_back_off(cx);
                }
            }
        }
    }
}

/// Whether an accept error is transient or concerns a single connection only.
fn is_transient(problem: &io::Error) -> bool {
    matches!(
        problem.kind(),
        io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted
    )
}

impl Connection<Gatherer> for Listener {
    fn opened(&mut self, cx: &mut Cx<'_>) -> io::Result<()> {
        cx.net.register(&self.socket, cx.token, Ready::READ)
    }

    fn ready(&mut self, cx: &mut Cx<'_>, _ready: Ready) {
        if !self.retiring {
            self.accept_ready(cx);
        }
    }

    fn deliver(&mut self, cx: &mut Cx<'_>, message: Message) {
        if let Message::Retire = message {
            self.retiring = true;
            self.accept_all(cx);
        }
    }

    fn timer(&mut self, cx: &mut Cx<'_>) {
        if self.retiring {
            return self.accept_all(cx);
        }
        self.set_listening(cx, true);
    }
}
