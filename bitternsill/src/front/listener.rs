//! The listeners for clients, whatever protocol their connections use.

use super::clients::Eviction;
use super::{Gatherer, Message};
use crate::net::{Connection, Context, Ready, Stream};
use std::io;
use std::net::{TcpListener, TcpStream};

type Cx<'a> = Context<'a, Gatherer>;

/// Makes a connection of an accepted socket.
pub type Accept = Box<dyn Fn(Stream, &Gatherer) -> Box<dyn Connection<Gatherer>>>;

/// A listening socket.
pub struct Listener {
    socket: TcpListener,
    accept: Accept,
    /// The program ends: the listener closes once the backlog is empty.
    retiring: bool,
}

impl Listener {
    /// A listener whose connections are made by `accept`.
    pub fn new(socket: TcpListener, accept: Accept) -> Self {
        Listener {
            socket,
            accept,
            retiring: false,
        }
    }

    fn listen(&mut self, cx: &mut Cx<'_>, on: bool) {
        // A failure here would only make the loop spin until the timer is due.
        let _ = cx.net.rearm(
            &self.socket,
            cx.token,
            if on { Ready::READ } else { Ready::default() },
        );
    }

    /// Evicts some of the connections that have been idle longest, and accepts again after a
    /// backoff.
    fn evict_some(&mut self, cx: &mut Cx<'_>) {
        let limits = cx.world.limits.clone();
        for _ in 0..limits.eviction_burst {
            if cx.world.clients.evict_one(cx.net, cx.now, &limits) != Eviction::Started {
                break;
            }
        }
        self.listen(cx, false);
        cx.set_timer(cx.now + cx.world.limits.accept_backoff);
    }

    /// Accepts the whole backlog, as the close that follows would reset what is left in it. Where
    /// no descriptor is left it goes on after a backoff, as idle connections are closed meanwhile.
    fn accept_all(&mut self, cx: &mut Cx<'_>) {
        loop {
            match self.socket.accept() {
                Ok((socket, _)) => self.open_connection(cx, socket),
                Err(e) if is_passing(&e) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return cx.close(),
                Err(_) => {
                    self.listen(cx, false);
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
            tracing::warn!(%problem, "an accepted socket could not be set up");
            return;
        }
        let connection = (self.accept)(Stream::new(socket), cx.world);
        let token = cx.net.open(connection);
        cx.world.clients.add(token, cx.now);
    }

    fn accept_ready(&mut self, cx: &mut Cx<'_>) {
        for _ in 0..cx.world.limits.accept_burst {
            // The backlog counts as accepted, so an idle connection is evicted for it.
            if cx.world.clients.len() >= cx.world.max_clients() {
                return self.evict_some(cx);
            }
            match self.socket.accept() {
                Ok((socket, _)) => self.open_connection(cx, socket),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if is_passing(&e) => {}
                Err(problem) => {
                    // Out of descriptors: without a backoff the loop would spin on a listener that
                    // stays ready.
                    tracing::warn!(%problem, "cannot accept");
                    return self.evict_some(cx);
                }
            }
        }
    }
}

/// Whether an accept failed for a transient reason that concerns one connection at most.
fn is_passing(problem: &io::Error) -> bool {
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
        self.listen(cx, true);
    }
}
