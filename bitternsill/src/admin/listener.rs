//! The listener of the operators' API: few connections with one call each, which are served however
//! many clients are connected.

use super::calls::{self, Call, Operation};
use super::drain::Schedule;
use crate::core::ports::Answer;
use crate::front::http::{Head, Response};
use crate::front::server::{Cx, Handled, HttpConnection, Service};
use crate::front::{Gatherer, Message, Phase};
use crate::limits::Limits;
use crate::net::{Connection, Ready, Stream, Token};
use dispatch::interface::Time;
use std::collections::VecDeque;
use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener};

/// The listener. It reserves file descriptors, so that operators can connect when clients and hosts
/// have used up all others.
pub struct AdminListener {
    socket: TcpListener,
    /// Open connections, the oldest first.
    connections: VecDeque<Token>,
    /// Each is closed to free its descriptor for a connection.
    reserved: Vec<File>,
}

impl AdminListener {
    /// A listener on this socket.
    pub fn new(socket: TcpListener, limits: &Limits) -> Self {
        let mut listener = AdminListener {
            socket,
            connections: VecDeque::new(),
            reserved: Vec::new(),
        };
        listener.reserve_descriptors(limits);
        listener
    }

    fn reserve_descriptors(&mut self, limits: &Limits) {
        while self.reserved.len() + self.connections.len() < limits.admin_connections {
            match File::open("/dev/null") {
                Ok(file) => self.reserved.push(file),
                Err(_) => return,
            }
        }
    }

    /// Closes the oldest connection, so that idle ones cannot keep out new ones.
    fn evict_oldest(&mut self, cx: &mut Cx<'_>) {
        if let Some(oldest) = self.connections.pop_front() {
            cx.net.post(oldest, Message::Evict);
        }
    }

    fn accept_ready(&mut self, cx: &mut Cx<'_>) {
        for _ in 0..cx.world.limits.admin_connections {
            drop(self.reserved.pop());
            match self.socket.accept() {
                Ok((socket, peer)) => {
                    if socket
                        .set_nonblocking(true)
                        .and_then(|()| socket.set_nodelay(true))
                        .is_err()
                    {
                        continue;
                    }
                    if self.connections.len() >= cx.world.limits.admin_connections {
                        self.evict_oldest(cx);
                    }
                    let service = Box::new(AdminConnection {
                        listener: cx.token,
                        peer,
                    });
                    let connection = HttpConnection::accept(service, Stream::new(socket), cx.world);
                    self.connections.push_back(cx.net.open_first(connection));
                }
                Err(problem) => {
                    if !matches!(
                        problem.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
                    ) {
                        tracing::warn!(%problem, "cannot accept an operator's connection");
                        self.evict_oldest(cx);
                        let _ = cx.net.rearm(&self.socket, cx.token, Ready::default());
                        cx.set_timer(cx.now + cx.world.limits.accept_backoff);
                    }
                    break;
                }
            }
        }
        self.reserve_descriptors(&cx.world.limits);
    }
}

impl Connection<Gatherer> for AdminListener {
    fn opened(&mut self, cx: &mut Cx<'_>) -> io::Result<()> {
        cx.net.register(&self.socket, cx.token, Ready::READ)
    }

    fn ready(&mut self, cx: &mut Cx<'_>, _ready: Ready) {
        self.accept_ready(cx);
    }

    fn deliver(&mut self, cx: &mut Cx<'_>, message: Message) {
        if let Message::AdminConnectionClosed(token) = message {
            self.connections.retain(|caller| *caller != token);
            self.reserve_descriptors(&cx.world.limits);
        }
    }

    fn timer(&mut self, cx: &mut Cx<'_>) {
        self.reserve_descriptors(&cx.world.limits);
        let _ = cx.net.rearm(&self.socket, cx.token, Ready::READ);
    }
}

/// The connection of one operator's call.
struct AdminConnection {
    listener: Token,
    peer: SocketAddr,
}

impl Service for AdminConnection {
    fn request(&mut self, cx: &mut Cx<'_>, head: &Head, body: &[u8]) -> Handled {
        let response = match calls::read(head, body, cx.world.limits.name_bytes) {
            Ok(call) => {
                let response = execute(cx, &call);
                // Readiness is polled several times a second and is not logged.
                if call.operation != Operation::Ready {
                    tracing::info!(%call, peer = %self.peer, status = response.status, "operator's call");
                    if let Some(versions) = &cx.world.versions {
                        versions.record_call(
                            &format!("{call}: {}", response.status),
                            cx.now,
                            cx.net,
                        );
                    }
                }
                response
            }
            Err(response) => {
                tracing::info!(target = head.start.1, peer = %self.peer, status = response.status, "rejected an operator's request");
                response
            }
        };
        Handled::Done(response)
    }

    fn answer(&mut self, _cx: &mut Cx<'_>, _answer: &Answer) -> Handled {
        Handled::Waiting
    }

    fn keeps_alive(&self) -> bool {
        false
    }

    fn read_timeout(&self, limits: &Limits) -> Time {
        limits.admin_read_timeout
    }

    fn closed(&mut self, cx: &mut Cx<'_>) {
        cx.net
            .post(self.listener, Message::AdminConnectionClosed(cx.token));
    }
}

/// Executes a call and returns its response.
fn execute(cx: &mut Cx<'_>, call: &Call) -> Response {
    let serving = cx.world.phase == Phase::Serving;
    match call.operation {
        // The response lists rejected requests too: a gatherer may be ready and still serve nobody.
        Operation::Ready => match cx.world.waiting_for(cx.now) {
            None => Response::text(200, format!("ready{}", cx.world.rejections)),
            Some(wait) => Response::text(
                503,
                format!("not taking clients: {wait}{}", cx.world.rejections),
            ),
        },
        Operation::Exclude => set_exclusion(cx, &call.member, true),
        Operation::Include => set_exclusion(cx, &call.member, false),
        Operation::Evacuate | Operation::Rejoin if !serving => {
            Response::text(503, "this process is shutting down")
        }
        Operation::Evacuate => {
            let begins = cx
                .world
                .orders
                .drain
                .begin(cx.now, Schedule::from_limits(&cx.world.limits));
            Response::text(
                200,
                if begins {
                    "clients are sent away"
                } else {
                    "clients are being sent away already"
                },
            )
        }
        Operation::Rejoin => {
            let ended = cx.world.orders.drain.end();
            Response::text(
                200,
                if ended {
                    "clients are taken again"
                } else {
                    "clients were not sent away"
                },
            )
        }
    }
}

fn set_exclusion(cx: &mut Cx<'_>, uid: &str, excluded: bool) -> Response {
    let world = &mut *cx.world;
    // An excluded host may be missing from the list, as hosts are excluded to be restarted.
    if world.hosts.id_of(uid).is_none() && !world.orders.exclusions.is_excluded(uid) {
        return Response::text(404, format!("no index host `{}`", uid.escape_default()));
    }
    if world.orders.set(uid, excluded, cx.now).is_err() {
        return Response::text(
            507,
            "the maximum number of hosts is already excluded: include one first",
        );
    }
    world.apply_exclusions(cx.net, cx.now);
    Response::text(200, if excluded { "out" } else { "in" })
}
