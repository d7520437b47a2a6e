//! The operators' door on sockets: few callers, one call each, served however many clients there
//! are.

use super::calls::{self, Call, Operation};
use super::drain::Steps;
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

/// The listener. It owns its callers' places and the descriptors that are kept back for them.
pub struct Door {
    socket: TcpListener,
    /// Open callers, the longest there first.
    callers: VecDeque<Token>,
    /// Each is given up for one caller: clients and hosts may have taken every other descriptor.
    spares: Vec<File>,
}

impl Door {
    /// A door on this socket.
    pub fn new(socket: TcpListener, limits: &Limits) -> Self {
        let mut door = Door {
            socket,
            callers: VecDeque::new(),
            spares: Vec::new(),
        };
        door.keep_back(limits);
        door
    }

    fn keep_back(&mut self, limits: &Limits) {
        while self.spares.len() + self.callers.len() < limits.door_callers {
            match File::open("/dev/null") {
                Ok(file) => self.spares.push(file),
                Err(_) => return,
            }
        }
    }

    /// Callers that say nothing must not keep out the next: the one there longest gives way, and
    /// its descriptor with it.
    fn make_room(&mut self, cx: &mut Cx<'_>) {
        if let Some(oldest) = self.callers.pop_front() {
            cx.net.post(oldest, Message::MakeRoom);
        }
    }

    fn accept_some(&mut self, cx: &mut Cx<'_>) {
        for _ in 0..cx.world.limits.door_callers {
            drop(self.spares.pop());
            match self.socket.accept() {
                Ok((socket, peer)) => {
                    if socket
                        .set_nonblocking(true)
                        .and_then(|()| socket.set_nodelay(true))
                        .is_err()
                    {
                        continue;
                    }
                    if self.callers.len() >= cx.world.limits.door_callers {
                        self.make_room(cx);
                    }
                    let service = Box::new(Caller {
                        door: cx.token,
                        peer,
                    });
                    let connection = HttpConnection::accept(service, Stream::new(socket), cx.world);
                    self.callers.push_back(cx.net.open_first(connection));
                }
                Err(problem) => {
                    if !matches!(
                        problem.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
                    ) {
                        tracing::warn!(%problem, "an operator's call cannot be accepted");
                        self.make_room(cx);
                        let _ = cx.net.rearm(&self.socket, cx.token, Ready::default());
                        cx.set_timer(cx.now + cx.world.limits.accept_rest);
                    }
                    break;
                }
            }
        }
        self.keep_back(&cx.world.limits);
    }
}

impl Connection<Gatherer> for Door {
    fn opened(&mut self, cx: &mut Cx<'_>) -> io::Result<()> {
        cx.net.register(&self.socket, cx.token, Ready::READ)
    }

    fn ready(&mut self, cx: &mut Cx<'_>, _ready: Ready) {
        self.accept_some(cx);
    }

    fn deliver(&mut self, cx: &mut Cx<'_>, message: Message) {
        if let Message::CallerLeft(token) = message {
            self.callers.retain(|caller| *caller != token);
            self.keep_back(&cx.world.limits);
        }
    }

    fn timer(&mut self, cx: &mut Cx<'_>) {
        self.keep_back(&cx.world.limits);
        let _ = cx.net.rearm(&self.socket, cx.token, Ready::READ);
    }
}

/// One operator's call.
struct Caller {
    door: Token,
    peer: SocketAddr,
}

impl Service for Caller {
    fn request(&mut self, cx: &mut Cx<'_>, head: &Head, body: &[u8]) -> Handled {
        let response = match calls::read(head, body, cx.world.limits.name_bytes) {
            Ok(call) => {
                let response = operate(cx, &call);
                // Whether it is ready is asked several times a second.
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
                tracing::info!(target = head.start.1, peer = %self.peer, status = response.status, "no call");
                response
            }
        };
        Handled::Done(response)
    }

    fn answer(&mut self, _cx: &mut Cx<'_>, _answer: &Answer) -> Handled {
        Handled::Waiting
    }

    fn keeps(&self) -> bool {
        false
    }

    fn patience(&self, limits: &Limits) -> Time {
        limits.door_read
    }

    fn closed(&mut self, cx: &mut Cx<'_>) {
        cx.net.post(self.door, Message::CallerLeft(cx.token));
    }
}

/// Does what is asked, and only then says so.
fn operate(cx: &mut Cx<'_>, call: &Call) -> Response {
    let serving = cx.world.phase == Phase::Serving;
    match call.operation {
        // What is turned away is told too: a gatherer may be ready and yet serve nobody.
        Operation::Ready => match cx.world.waits(cx.now) {
            None => Response::text(200, format!("ready{}", cx.world.turned)),
            Some(wait) => Response::text(
                503,
                format!("not taking clients: {wait}{}", cx.world.turned),
            ),
        },
        Operation::Exclude => stand(cx, &call.member, true),
        Operation::Include => stand(cx, &call.member, false),
        Operation::Evacuate | Operation::Rejoin if !serving => {
            Response::text(503, "this process is ending")
        }
        Operation::Evacuate => {
            let begins = cx
                .world
                .orders
                .drain
                .begin(cx.now, Steps::of(&cx.world.limits));
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

fn stand(cx: &mut Cx<'_>, uid: &str, out: bool) -> Response {
    let world = &mut *cx.world;
    // A host may be gone from the list while it is out, as it is restarted then.
    if world.hosts.id_of(uid).is_none() && !world.orders.hand.is_out(uid) {
        return Response::text(404, format!("no index host `{}`", uid.escape_default()));
    }
    if world.orders.set(uid, out, cx.now).is_err() {
        return Response::text(
            507,
            "as many hosts are out as are kept: take one back first",
        );
    }
    world.hold_hosts(cx.net, cx.now);
    Response::text(200, if out { "out" } else { "in" })
}
