//! The listeners, whatever their connections speak.

use super::clients::Room;
use super::{Gatherer, Message};
use crate::net::{Connection, Context, Ready, Stream};
use std::io;
use std::net::{TcpListener, TcpStream};

type Cx<'a> = Context<'a, Gatherer>;

/// What a listener makes of an accepted socket.
pub type Accept = Box<dyn Fn(Stream, &Gatherer) -> Box<dyn Connection<Gatherer>>>;

/// A listening socket.
pub struct Listener {
    socket: TcpListener,
    accept: Accept,
}

impl Listener {
    /// A listener whose connections are made by `accept`.
    pub fn new(socket: TcpListener, accept: Accept) -> Self {
        Listener { socket, accept }
    }

    fn listen(&mut self, cx: &mut Cx<'_>, on: bool) {
        // A rest that cannot be set would spin; the timer below takes the loop out of it all the same.
        let _ = cx.net.rearm(&self.socket, cx.token, Ready { readable: on, writable: false });
    }

    /// Closes some connections that have been idle longest, and goes on when they are gone.
    fn make_room(&mut self, cx: &mut Cx<'_>) {
        let limits = cx.world.limits.clone();
        for _ in 0..limits.room_burst {
            if cx.world.clients.make_room(cx.net, cx.now, &limits) != Room::Made {
                break;
            }
        }
        self.listen(cx, false);
        cx.set_timer(cx.now + cx.world.limits.accept_rest);
    }

    /// Takes whoever is in the backlog, however many these are: they would be reset by the close that follows.
    fn accept_all(&mut self, cx: &mut Cx<'_>) {
        while let Ok((socket, _)) = self.socket.accept() {
            self.take(cx, socket);
        }
    }

    fn take(&mut self, cx: &mut Cx<'_>, socket: TcpStream) {
        if let Err(problem) = socket.set_nonblocking(true).and_then(|()| socket.set_nodelay(true)) {
            tracing::warn!(%problem, "an accepted socket could not be set up");
            return;
        }
        let connection = (self.accept)(Stream::new(socket), cx.world);
        let token = cx.net.open(connection);
        cx.world.clients.add(token, cx.now);
    }

    fn accept_some(&mut self, cx: &mut Cx<'_>) {
        for _ in 0..cx.world.limits.accept_burst {
            // What waits in the backlog counts as taken, so an idle connection gives way to it.
            if cx.world.clients.len() >= cx.world.client_places() {
                return self.make_room(cx);
            }
            match self.socket.accept() {
                Ok((socket, _)) => self.take(cx, socket),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(problem) => {
                    // Out of descriptors: without a rest the loop would spin on a listener that stays ready.
                    tracing::warn!(%problem, "cannot accept");
                    return self.make_room(cx);
                }
            }
        }
    }
}

impl Connection<Gatherer> for Listener {
    fn opened(&mut self, cx: &mut Cx<'_>) -> io::Result<()> {
        cx.net.register(&self.socket, cx.token, Ready { readable: true, writable: false })
    }

    fn ready(&mut self, cx: &mut Cx<'_>, _ready: Ready) {
        self.accept_some(cx);
    }

    fn deliver(&mut self, cx: &mut Cx<'_>, message: Message) {
        if let Message::Retire = message {
            // Whoever reached the backlog before the end is still taken.
            self.accept_all(cx);
            cx.close();
        }
    }

    fn timer(&mut self, cx: &mut Cx<'_>) {
        self.listen(cx, true);
    }
}
